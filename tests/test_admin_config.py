"""Tests of the configuration endpoints, with the real editor."""

import json
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from aiohttp.test_utils import TestClient, TestServer
from hypothesis import given, settings, strategies as st

from reedhook.clock import SystemClock
from reedhook.metrics import MemoryMetrics
from reedhook.process.administration.admin import Admin, admin_app
from reedhook.process.administration.admin_config import config_routes
from reedhook.process.administration.admin_operator import OperatorAuthenticator
from reedhook.process.configuring.configuration_manager import ConfigurationManager
from reedhook.process.configuring.editor import ConfigurationEditor
from reedhook.process.configuring.snapshot_repository import SnapshotRepository
from reedhook.wire import Json

from .admin_fakes import DIGESTS, HEADERS, FakeNetwork
from .config_fleet import BASE, documents
from .fakes_store import FakeStore
from .support import on_loop, using

LIMIT = 65536


def editor_of(network: FakeNetwork, store: FakeStore) -> ConfigurationEditor:
    """Return a configuration editor for the first host."""
    source, clock = network.sources["vittoria-1"], SystemClock()
    manager = ConfigurationManager(
        source.me,
        network,
        lambda count: [],
        clock,
        random.Random(1),
        source.timeline,
        MemoryMetrics(),
    )
    return ConfigurationEditor(manager, SnapshotRepository(store), clock)


@asynccontextmanager
async def api_client(network: FakeNetwork | None = None) -> AsyncIterator[Any]:
    """Serve the API at the first host and yield a client."""
    hosts = network or FakeNetwork()
    source = hosts.sources["vittoria-1"]
    admin = Admin(source, hosts.fleet(), OperatorAuthenticator(DIGESTS), LIMIT)
    editor = editor_of(hosts, FakeStore(0.0))
    app = admin_app(admin, config_routes(admin, editor))
    server = TestServer(app, host="127.0.0.1")
    async with TestClient(server, headers=HEADERS) as client:
        yield client


def edit(queue: int, parent: int, edit_id: str, **changes: Any) -> Json:
    """Return the body of an edit."""
    body = documents(queue).to_json()
    return body | {"parent": parent, "comment": "", "edit_id": edit_id} | changes


async def apply(client: Any, body: Json) -> tuple[int, Json]:
    """Send an edit; return status and body."""
    async with client.post("/admin/config/apply", json=body) as response:
        return response.status, await response.json()


async def get(client: Any, path: str) -> tuple[int, Json]:
    """Send a GET request; return status and body."""
    async with client.get(f"/admin/config{path}") as response:
        return response.status, await response.json()


@using(api_client)
async def test_accepted_edit_is_shown_with_its_author(
    client: Any,
) -> None:
    status, body = await apply(client, edit(11, 0, "e1", comment="why"))
    assert (status, body["verdict"], body["head"]["version"]) == (200, "done", 1)
    status, shown = await get(client, "")
    assert shown["base"] == documents(11).base
    assert shown["head"]["author"] == "anna"
    assert shown["head"]["comment"] == "why"


@using(api_client)
async def test_repeated_edit_is_accepted_once(client: Any) -> None:
    first = await apply(client, edit(11, 0, "e1"))
    assert await apply(client, edit(11, 0, "e1")) == first
    _, history = await get(client, "/history")
    assert [one["version"] for one in history["versions"]] == [1]


@using(api_client)
async def test_conflicting_edit_is_refused_with_the_changes_since(client: Any) -> None:
    await apply(client, edit(11, 0, "e1"))
    assert (await apply(client, edit(12, 1, "e2")))[0] == 200
    status, body = await apply(client, edit(13, 1, "e3"))
    assert (status, body["reason"], body["verdict"]) == (409, "conflict", "not run")
    assert body["version"] == 2
    assert body["since"][0]["author"] == "anna"
    assert body["since"][0]["changes"] == [
        {"file": "base.yaml", "path": "limits.queue"}
    ]
    _, shown = await get(client, "")
    assert shown["base"] == documents(12).base


@using(api_client)
async def test_invalid_edit_lists_all_faults_and_changes_nothing(client: Any) -> None:
    wrong = {"base": "limits: {queue: -1, qeueu: 2}\n", "overlays": {"x": "- 1"}}
    async with client.post("/admin/config/check", json=wrong) as response:
        checked = await response.json()
        assert response.status == 422
    status, applied = await apply(client, edit(1, 0, "e1", **wrong))
    assert status == 422
    assert checked["faults"] == applied["faults"]
    assert all(
        set(one) == {"file", "line", "path", "reason"} for one in applied["faults"]
    )
    assert (await get(client, "/history"))[1] == {"versions": []}


@using(api_client)
async def test_check_of_valid_documents_changes_nothing(client: Any) -> None:
    body = documents(11).to_json()
    async with client.post("/admin/config/check", json=body) as response:
        assert (await response.json())["valid"] is True
    assert (await get(client, ""))[1]["reason"] == "no_configuration"


@using(api_client)
async def test_malformed_edits_are_refused(client: Any) -> None:
    wrong: list[Json] = [
        {"parent": "1"},
        {"parent": True},
        {"parent": -1},
        {"comment": None},
        {"edit_id": 4},
        {"base": 4},
        {"overlays": []},
        {"odd": 1},
    ]
    for changes in wrong:
        status, body = await apply(client, edit(1, 0, "e1") | changes)
        assert (status, body["verdict"]) == (400, "not run"), changes
    for path in ("/diff", "/diff?from=a&to=b", "?version=x", "/history?odd=1"):
        assert (await get(client, path))[0] == 400
    assert (await get(client, "/history"))[1] == {"versions": []}


@using(api_client)
async def test_diff_lists_the_changed_paths(client: Any) -> None:
    await apply(client, edit(11, 0, "e1"))
    await apply(client, edit(12, 1, "e2"))
    _, body = await get(client, "/diff?from=1&to=2")
    assert body["changes"] == [{"file": "base.yaml", "path": "limits.queue"}]
    assert (await get(client, "/diff?from=1&to=9"))[0] == 400


values = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 2**70) | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(st.text(max_size=4), inner, max_size=2),
    max_leaves=4,
)
edits = st.fixed_dictionaries(
    {},
    optional={
        "base": st.sampled_from([BASE, "a: [", "\0"]) | values,
        "overlays": st.dictionaries(st.text(max_size=4), values, max_size=2) | values,
        "parent": values,
        "comment": values,
        "edit_id": st.just("e1") | values,
        "odd": values,
    },
)


@settings(max_examples=60)
@given(path=st.sampled_from(["check", "apply"]), body=edits | values)
@using(api_client)
async def test_arbitrary_edits_cause_no_internal_error_or_unreported_change(
    client: Any, path: str, body: Any
) -> None:
    url = f"/admin/config/{path}"
    data = json.dumps(body).encode()
    async with client.post(url, data=data) as response:
        answer = await response.json()
    assert response.status in (200, 400, 409, 422), answer
    accepted = path == "apply" and response.status == 200
    assert accepted or answer["verdict"] == "not run" or answer["valid"]
    assert len((await get(client, "/history"))[1]["versions"]) == int(accepted)


@on_loop
async def test_status_lists_the_version_of_each_host() -> None:
    network = FakeNetwork(3)
    network.sources["vittoria-3"].version = 9
    network.cut.add("vittoria-2")
    async with api_client(network=network) as client:
        _, body = await get(client, "/status")
        assert body["newest"] == 9
        versions = {one["host"]: one["version"] for one in body["hosts"]}
        assert versions == {"vittoria-1": 7, "vittoria-3": 9}
        assert body["missing"] == {"vittoria-2": "no answer in time"}
