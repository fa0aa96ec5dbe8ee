"""Command-line tool against the real administration API of fake hosts."""

from pathlib import Path

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from syrupy.assertion import SnapshotAssertion

from reedhook.process.events.timeline_merge import merge
from reedhook.process.tool.command_timeline import since_ms

from .admin_fakes import CREDENTIAL
from .command_fakes import FakeCallers, Tool, a_tool, folder
from .config_fleet import BASE
from .support import using
from .timeline_fakes import a_failover


@using(a_tool)
async def test_what_people_see(tool: Tool, snapshot: SnapshotAssertion) -> None:
    sources = tool.network.sources
    here, *elsewhere = a_failover()
    sources["vittoria-1"].timeline.events.extend(here)
    sources["vittoria-2"].timeline.events.extend(merge(elsewhere))
    tool.network.sources["vittoria-2"].version = 6
    tool.network.cut.add("vittoria-3")
    for command in ("hosts", "groups", "config status", "timeline"):
        outcome = await tool(*command.split())
        assert (outcome.code, outcome.out, outcome.err) == snapshot(name=command)


@using(a_tool)
async def test_programs_get_json(tool: Tool, snapshot: SnapshotAssertion) -> None:
    outcome = await tool("hosts", "--json")
    assert (outcome.code, outcome.out) == snapshot


@using(a_tool)
async def test_edited_checkout_is_applied_and_listed_in_history(
    tool: Tool, tmp_path: Path
) -> None:
    first = folder(tmp_path / "first", 11)
    assert (await tool("config", "check", str(first))).code == 0
    outcome = await tool("config", "apply", str(first), "--parent", "0")
    assert (outcome.code, outcome.out) == (0, "Version 1 is accepted.\n")
    copy = tmp_path / "copy"
    await tool("config", "show", "--output", str(copy))
    assert (copy / ".version").read_text() == "1\n"
    assert (copy / "base.yaml").read_text() == (first / "base.yaml").read_text()
    folder(copy, 12)
    assert (await tool("config", "apply", str(copy), "--comment", "more")).code == 0
    assert (copy / ".version").read_text() == "2\n"
    outcome = await tool("config", "diff", "1", "2")
    assert "-limits: {queue: 11}" in outcome.out
    assert "+limits: {queue: 12}" in outcome.out
    outcome = await tool("config", "history")
    assert [line.split()[0] for line in outcome.out.splitlines()[1:]] == ["2", "1"]
    assert "more" in outcome.out
    assert "queue: 11" in (await tool("config", "show", "--version", "1")).out


@using(a_tool)
async def test_conflicting_apply_reports_newer_version_and_its_author(
    tool: Tool, tmp_path: Path
) -> None:
    one = folder(tmp_path / "one", 11)
    await tool("config", "apply", str(one), "--parent", "0")
    two = tmp_path / "two"
    await tool("config", "show", "--output", str(two))
    await tool("config", "apply", str(folder(one, 12)))
    outcome = await tool("config", "apply", str(folder(two, 13)))
    assert outcome.code == 4
    assert "version 2 by anna" in outcome.err
    assert "limits.queue" in outcome.err
    assert "take version 2" in outcome.err.splitlines()[-1]
    assert (two / ".version").read_text() == "1\n"


@using(a_tool)
async def test_invalid_configuration_is_reported_with_file_line_and_reason(
    tool: Tool, tmp_path: Path
) -> None:
    wrong = folder(tmp_path, 11)
    (wrong / "overlays" / "comiso.yaml").write_text("limits:\n  queue: -4\n")
    (wrong / "base.yaml").write_text(f"{BASE}limits: {{qeueu: 1}}\n")
    for command in ("check", "apply --parent 0"):
        verb, *rest = command.split()
        outcome = await tool("config", verb, str(wrong), *rest)
        assert outcome.code == 2
        assert "overlays/comiso.yaml:2: limits.queue:" in outcome.err
        assert "base.yaml:10: limits.qeueu:" in outcome.err
        assert outcome.err.splitlines()[-1].startswith("reedhook: ")


@using(a_tool)
async def test_unanswered_apply_can_be_repeated_with_its_edit_id(
    tool: Tool, tmp_path: Path
) -> None:
    async def close_without_response(request: web.Request) -> web.Response:
        await request.read()
        assert request.transport is not None
        request.transport.close()
        return web.Response()

    app = web.Application()
    app.router.add_post("/admin/config/apply", close_without_response)
    async with TestServer(app, host="127.0.0.1") as server:
        dead = f"127.0.0.1:{server.port}"
        path = str(folder(tmp_path, 11))
        outcome = await tool(
            "config", "apply", path, "--parent", "0", REEDHOOK_ADMIN=dead
        )
        assert outcome.code == 5
        edit_id = outcome.err.split("--edit-id ")[1].strip()
        both = f"{dead},{tool.environment['REEDHOOK_ADMIN']}"
        again = ("config", "apply", path, "--parent", "0", "--edit-id", edit_id)
        assert (await tool(*again, REEDHOOK_ADMIN=both)).code == 0
        assert (await tool(*again)).out == "Version 1 is accepted.\n"


@using(a_tool)
async def test_show_overwrites_local_changes_only_with_force(
    tool: Tool, tmp_path: Path
) -> None:
    path = folder(tmp_path, 11)
    await tool("config", "apply", str(path), "--parent", "0")
    (path / "overlays" / "ragusa-office.yaml").write_text("{}\n")
    (path / "base.yaml").write_text("mine\n")
    assert (await tool("config", "show", "--output", str(path))).code == 2
    assert (path / "base.yaml").read_text() == "mine\n"
    outcome = await tool("config", "show", "--output", str(path), "--force")
    assert outcome.code == 0
    assert (path / "base.yaml").read_text() != "mine\n"
    assert not (path / "overlays" / "ragusa-office.yaml").exists()


@using(a_tool)
async def test_drain_command_drains_the_host(tool: Tool) -> None:
    outcome = await tool("drain", "vittoria-2")
    assert outcome.out == "Host vittoria-2 drains.\n"
    assert tool.network.sources["vittoria-2"].draining
    assert (await tool("drain", "absent")).code == 2
    tool.network.cut.add("vittoria-3")
    assert (await tool("drain", "vittoria-3")).code == 5


@using(a_tool)
async def test_timeline_html_page_is_written(tool: Tool, tmp_path: Path) -> None:
    ring = tool.network.sources["vittoria-1"].timeline.events
    ring.extend(merge(a_failover()))
    file = tmp_path / "page.html"
    outcome = await tool("timeline", "--group", "feedlog-1", "--html", str(file))
    assert outcome.code == 0
    assert "Time line of feedlog-1" in file.read_text()
    assert file.read_text().count("<circle") == 6
    assert (await tool("timeline", "--html", str(tmp_path / "x" / "y"))).code == 2


@pytest.mark.parametrize(
    ("argv", "code", "expected_message"),
    [
        (["hosts", "--admin", "127.0.0.1:1"], 3, "no host answers"),
        (["hosts", "--admin", "localhost:80"], 2, "IP number"),
        (["hosts", "--access", "absent.yaml"], 2, "--access"),
        (["groups", "--group", "absent"], 2, "unknown_group"),
        (["timeline", "--since", "soon"], 2, "--since"),
        (["timeline", "--kind", "odd"], 2, "kind must be of"),
        (["config", "diff", "x"], 2, "whole number"),
        (["config", "apply", "absent"], 2, "--parent"),
        (["config", "apply", "absent", "--parent", "1"], 2, "base.yaml"),
        (["config", "show"], 1, "no_configuration"),
        (["odd"], 2, "Usage"),
    ],
)
@using(a_tool)
async def test_errors_have_exit_code_and_message(
    tool: Tool, argv: list[str], code: int, expected_message: str
) -> None:
    outcome = await tool(*argv)
    assert (outcome.code, outcome.out) == (code, "")
    assert expected_message in outcome.err
    assert code == 2 or len(outcome.err.splitlines()) == 1


@using(a_tool)
async def test_missing_or_wrong_credential_is_refused(tool: Tool) -> None:
    assert (await tool("hosts", REEDHOOK_CREDENTIAL="")).code == 2
    outcome = await tool("hosts", REEDHOOK_CREDENTIAL="wrong")
    assert (outcome.code, "check the credential" in outcome.err) == (1, True)
    assert "wrong" not in outcome.err


@using(a_tool)
async def test_access_file_replaces_environment_variables(
    tool: Tool, tmp_path: Path
) -> None:
    address = tool.environment["REEDHOOK_ADMIN"]
    file = tmp_path / "access.yaml"
    file.write_text(f"admin: ['127.0.0.1:1', '{address}']\ncredential: {CREDENTIAL}\n")
    tool.environment.clear()
    assert (await tool("hosts", "--access", str(file))).code == 0
    file.write_text("admn: x\n")
    outcome = await tool("hosts", "--access", str(file))
    assert (outcome.code, "may hold only" in outcome.err) == (2, True)


@using(a_tool)
async def test_a_statement_goes_to_the_callers_interface(
    tool: Tool, snapshot: SnapshotAssertion
) -> None:
    callers = FakeCallers()
    app = web.Application()
    app.router.add_post("/v1/{entry}", callers.answer)
    async with TestServer(app, host="127.0.0.1") as server:
        tool.environment["REEDHOOK_CALLERS"] = f"127.0.0.1:{server.port}"
        tool.environment["REEDHOOK_CALLER_CREDENTIAL"] = "gate"
        sql = "select id, tons from ticket where gate = ? and id < ?"
        read = ("query", "feedlog-1", sql, "north", "5", "--max-age", "500")
        outcome = await tool(*read)
        assert (outcome.code, outcome.out) == snapshot
        write = ("query", "feedlog-1", "delete from t", "--write", "--token", "abc")
        assert (await tool(*write)).code == 0
        assert (await tool("query", "g", "s", "--consistency", "odd")).code == 2
    path, body = callers.bodies[0]
    assert path == "/v1/read"
    assert body["params"] == ["north", 5]
    assert (body["consistency"], body["max_age_ms"]) == ("max_age", 500)
    path, body = callers.bodies[1]
    assert (path, body["token"]) == ("/v1/write", "abc")
    assert len(body["request_id"].split("-")[0]) == 13
    assert len(callers.bodies) == 2


def test_since_accepts_durations_and_timestamps() -> None:
    assert since_ms("90s", 1000.0) == 910_000
    assert since_ms("2h", 10_000.0) == 2_800_000
    assert since_ms("2026-02-02T02:40:00Z", 0.0) == 1_770_000_000_000
