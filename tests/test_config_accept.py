"""Acceptance of edits: racing operators, lost answers, crashes, sizes."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Final

import pytest

from reedhook.process.configuring import snapshot_repository as archive_module
from reedhook.process.configuring.configuration_edit import EditConflictError
from reedhook.process.configuring.snapshot_exchange import (
    MAX_ANSWER_BYTES,
    parts_answer,
)
from reedhook.process.configuring.snapshot_repository import (
    HEAD_KEY,
    PART_PREFIX,
    history_key,
    part_key,
)
from reedhook.process.worker import ThreadWorker
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.verdict import Verdict
from reedhook.version import snapshot as edition_module
from reedhook.version.document import ConfigurationDocuments
from reedhook.version.errors import InvalidConfigurationError
from reedhook.version.snapshot import (
    MAX_PART_BYTES,
    SnapshotError,
    SnapshotManifest,
    build_snapshot,
    decompress_part,
)
from reedhook.version.validation import validate_documents

from .config_fleet import BASE, Fleet, FleetHost, documents
from .fakes_clock import run_virtual
from .fakes_store import MAX_VALUE
from .support import on_loop, using

ONE_ZONE: Final = ("vittoria",)


@asynccontextmanager
async def two_hosts() -> AsyncIterator[FleetHost]:
    """Run two hosts of one zone and yield the first; version 1 stands."""
    async with Fleet(per_zone=2, zones=ONE_ZONE) as fleet:
        await fleet.hosts[0].apply(1, "first", 0)
        await asyncio.sleep(1.0)
        yield fleet.hosts[0]


async def edit_ids(host: FleetHost) -> list[str]:
    return [head.edit_id for head in await host.editor.history()]


@using(two_hosts, run_virtual)
async def test_an_accepted_edit_is_in_force_here_at_once(host: FleetHost) -> None:
    head = await host.apply(7, "second")
    assert (head.version, head.parent, head.author) == (2, 1, "ana")
    assert host.keeper.catalog is not None
    assert host.keeper.catalog.limits.queue == 7
    assert await edit_ids(host) == ["second", "first"]
    assert (await host.editor.show(1))[1] == documents(1)


@using(two_hosts, run_virtual)
async def test_an_invalid_edit_touches_nothing(host: FleetHost) -> None:
    before = host.fleet.store.keys()
    with pytest.raises(InvalidConfigurationError):
        await host.apply(-1, "second")
    assert host.fleet.store.keys() == before


@pytest.mark.parametrize("queues", [(10, 11), (10, 10)])
@using(two_hosts, run_virtual)
async def test_of_racing_operators_one_wins_and_the_others_learn_what_changed(
    host: FleetHost, queues: tuple[int, int]
) -> None:
    for one in host.fleet.hosts:
        one.worker.most = 0.0
    edits = [
        one.apply(queue, f"edit by {one.ref.host}", 1)
        for one, queue in zip(host.fleet.hosts, queues)
    ]
    results = await asyncio.gather(*edits, return_exceptions=True)
    won = [one for one in results if isinstance(one, SnapshotManifest)]
    lost = [one for one in results if isinstance(one, EditConflictError)]
    assert (len(won), len(lost)) == (1, 1)
    assert lost[0].verdict is Verdict.NOT_RUN
    (since,) = lost[0].since
    assert since.manifest == won[0]
    assert [change.path for change in since.changes] == ["limits.queue"]
    assert await edit_ids(host) == [won[0].edit_id, "first"]
    # The loser's parts are gone, the winner's are not.
    assert len(host.fleet.store.keys(PART_PREFIX)) == 2
    await host.editor.reader.archive.read_snapshot(won[0], {})


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
@using(two_hosts, run_virtual)
async def test_operators_race_while_both_lose_answers_and_read_stale(
    host: FleetHost, lost: int
) -> None:
    for one in host.fleet.hosts:
        one.worker.most = 0.0
        one.store.lose_answers = lost
        reads = iter([1, 0, 1, 0, 1])
        one.store.stale = lambda key, reads=reads: (  # type: ignore[misc]
            next(reads, 0) if key == HEAD_KEY else 0
        )
    edits = [one.apply(n + 7, f"edit-{n}", 1) for n, one in enumerate(host.fleet.hosts)]
    results = await asyncio.gather(*edits, return_exceptions=True)
    assert {type(one) for one in results} == {SnapshotManifest, EditConflictError}
    (won,) = [one for one in results if isinstance(one, SnapshotManifest)]
    assert won.version == 2
    assert await edit_ids(host) == [won.edit_id, "first"]


@using(two_hosts, run_virtual)
async def test_a_conflict_names_each_version_since(host: FleetHost) -> None:
    for queue in range(2, 14):
        await host.apply(queue, f"edit-{queue}")
    with pytest.raises(EditConflictError) as conflict:
        await host.apply(99, "late", 1)
    told = conflict.value.to_json()
    assert told["version"] == 13
    assert [one["version"] for one in told["since"]] == list(range(13, 5, -1))
    assert told["omitted"] == 4


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("kind", ["lose_answers", "lose_requests"])
@using(two_hosts, run_virtual)
async def test_lost_messages_do_not_double_or_drop_an_edit(
    host: FleetHost, kind: str, lost: int
) -> None:
    setattr(host.store, kind, lost)
    head = await host.apply(7, "second")
    assert head.version == 2
    assert await edit_ids(host) == ["second", "first"]


def swap_unheard(host: FleetHost, then: Callable[[], Awaitable[None]]) -> None:
    """Lose the answer of the next swap of the head, and run `then`."""
    put = host.store.put

    async def unheard(key: str, value: bytes, expected: int, timeout: float) -> object:
        if key == HEAD_KEY:
            host.store.put = put  # type: ignore[method-assign]
            host.store.lose_answers = 1
            try:
                await put(key, value, expected, timeout)
            finally:
                await then()
        return await put(key, value, expected, timeout)

    host.store.put = unheard  # type: ignore[assignment,method-assign]


def before_swap(host: FleetHost, then: Callable[[], Awaitable[None]]) -> None:
    """Run `then` before the next swap of the head."""
    put = host.store.put

    async def late(key: str, value: bytes, expected: int, timeout: float) -> object:
        if key == HEAD_KEY:
            host.store.put = put  # type: ignore[method-assign]
            await then()
        return await put(key, value, expected, timeout)

    host.store.put = late  # type: ignore[assignment,method-assign]


@using(two_hosts, run_virtual)
async def test_who_loses_leaves_the_parts_that_the_winner_uses(host: FleetHost) -> None:
    async def overtake() -> None:
        await host.fleet.hosts[1].apply(7, "winner", 1)

    before_swap(host, overtake)
    with pytest.raises(EditConflictError):
        await host.apply(7, "loser", 1)
    head, _ = await host.editor.history()
    edition = await host.editor.reader.archive.read_snapshot(head, {})
    assert edition.documents() == documents(7)


@pytest.mark.parametrize("kept_ids", [32, 1])
@using(two_hosts, run_virtual)
async def test_an_edit_whose_answer_was_lost_is_found_below_later_versions(
    host: FleetHost, kept_ids: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(edition_module, "KEPT_EDIT_IDS", kept_ids)

    async def edit_on() -> None:
        other = host.fleet.hosts[1]
        for version in range(2, 5):
            await other.apply(version * 10, f"other-{version}", version)

    swap_unheard(host, edit_on)
    head = await host.apply(7, "second")
    assert (head.version, head.edit_id) == (2, "second")
    assert (await edit_ids(host)).count("second") == 1


@using(two_hosts, run_virtual)
async def test_the_store_goes_down_with_the_answer(host: FleetHost) -> None:
    async def fail() -> None:
        host.fleet.store.down = True

    swap_unheard(host, fail)
    with pytest.raises(RefusalError) as refused:
        await host.apply(7, "second")
    assert refused.value.verdict is Verdict.MAY_HAVE_RUN
    host.fleet.store.down = False
    head = await host.apply(7, "second", 1)
    assert head.version == 2
    assert await edit_ids(host) == ["second", "first"]


@using(two_hosts, run_virtual)
async def test_with_the_store_down_an_edit_has_no_effect(host: FleetHost) -> None:
    host.fleet.store.down = True
    with pytest.raises(RefusalError) as refused:
        await host.apply(7, "second")
    assert refused.value.reason is RefusalReason.STORE_UNAVAILABLE
    assert refused.value.verdict is Verdict.NOT_RUN
    host.fleet.store.down = False
    assert await edit_ids(host) == ["first"]
    assert (await host.editor.show())[1] == documents(1)


@using(two_hosts, run_virtual)
async def test_a_stale_read_is_no_reason_to_accept_or_to_refuse(
    host: FleetHost,
) -> None:
    await host.apply(2, "second")
    other = host.fleet.hosts[1]
    await asyncio.sleep(3.0)
    reads = iter([1, 1, 1])
    other.store.stale = lambda key: next(reads, 0) if key == HEAD_KEY else 0
    head = await other.apply(3, "third", 2)
    assert head.version == 3
    reads = iter([1, 1, 1])
    with pytest.raises(EditConflictError):
        await other.apply(4, "fourth", 2)
    reads = iter([1])
    with pytest.raises(RefusalError) as refused:
        await other.editor.history()
    assert refused.value.reason is RefusalReason.STORE_UNAVAILABLE


@using(two_hosts, run_virtual)
async def test_a_version_that_nobody_knows_cannot_be_edited(host: FleetHost) -> None:
    with pytest.raises(RefusalError) as refused:
        await host.apply(5, "second", 99)
    assert refused.value.reason is RefusalReason.CONFLICT
    assert refused.value.verdict is Verdict.NOT_RUN
    assert host.keeper.version == 1


@using(two_hosts, run_virtual)
async def test_a_repeated_id_with_other_documents_is_refused(host: FleetHost) -> None:
    with pytest.raises(RefusalError) as refused:
        await host.apply(5, "first")
    assert refused.value.reason is RefusalReason.REQUEST_REUSED
    assert host.keeper.version == 1


@pytest.mark.parametrize("step", range(6))
@using(two_hosts, run_virtual)
async def test_a_crash_between_any_two_steps_leaves_one_whole_edition(
    host: FleetHost, step: int
) -> None:
    left = step

    async def crash(key: str, value: bytes, expected: int, timeout: float) -> object:
        nonlocal left
        if left == 0:
            raise asyncio.CancelledError
        left -= 1
        return await put(key, value, expected, timeout)

    put = host.store.put
    host.store.put = crash  # type: ignore[assignment,method-assign]
    edit = asyncio.create_task(host.editor.apply(large(), 1, "ana", "", "second"))
    await asyncio.wait([edit])
    host.store.put = put  # type: ignore[method-assign]
    await host.restart()
    await asyncio.sleep(5.0)
    whole = documents(1) if edit.cancelled() else large()
    for one in host.fleet.hosts:
        assert (await one.editor.show())[1] == whole
    # The next edit goes on from there, without a gap in the history.
    head = await host.apply(9, "third")
    heads = await host.editor.history()
    assert [one.version for one in heads] == list(range(head.version, 0, -1))


@on_loop
async def test_checks_run_in_threads_beside_the_loop() -> None:
    worker = ThreadWorker()
    checked = await worker.run(validate_documents, documents(5), only_site="comiso")
    assert checked.catalog(1, "comiso").limits.queue == 5
    with pytest.raises(InvalidConfigurationError):
        await worker.run(validate_documents, documents(-5))


def test_a_part_cut_short_or_lengthened_is_refused() -> None:
    edition = build_snapshot(documents(1), None, "first", "ana", "", 0.0)
    (part,) = edition.manifest.parts
    packed = edition.packed[part.digest]
    assert decompress_part(part, packed)
    for damaged in [packed[:size] for size in range(len(packed))] + [packed + b"x"]:
        with pytest.raises(SnapshotError):
            decompress_part(part, damaged)


def test_parts_go_out_in_answers_of_bounded_size() -> None:
    noise = random.Random(1)
    lines = [f"# {noise.randbytes(500).hex()}\n" for _ in range(900)]
    edition = build_snapshot(documents(1, "".join(lines)), None, "e", "ana", "", 0.0)
    wanted = [part.digest for part in edition.manifest.parts]
    sent: list[str] = []
    while len(sent) < len(wanted):
        parts = parts_answer(edition, wanted[len(sent) :])["parts"]
        packed = sum(len(edition.packed[digest]) for digest in parts)
        assert 0 < packed <= MAX_ANSWER_BYTES
        sent += parts
    assert sent == wanted
    assert sum(map(len, edition.packed.values())) > MAX_ANSWER_BYTES


def large(groups: int = 280, note: str = "") -> ConfigurationDocuments:
    """Return documents with 3 members for each group."""
    lines = ["services:", "  feedlog-db:", "    slots: 2", "    connections: 15"]
    lines.append("    groups:")
    for group in range(groups):
        lines += [f"      group-{group}:", "        members:"]
        for member in range(3):
            address = f"10.{group // 250}.{group % 250}.{member}:17101"
            text = f'{{zone: vittoria, address: "{address}"}}'
            lines.append(f"          target-{group}-{member}: {text}{note}")
    return ConfigurationDocuments(
        "\n".join([*lines, "workspaces: {}", ""]), {"vittoria": ""}
    )


@using(two_hosts, run_virtual)
async def test_840_databases_of_nearly_a_megabyte_are_split_and_swapped_whole(
    host: FleetHost,
) -> None:
    padding = f"  # {'x' * 1050}"
    edition = large(note=padding)
    assert 0.9 * MAX_VALUE < len(edition.base) < MAX_VALUE
    await host.editor.apply(edition, 1, "ana", "", "second")
    await asyncio.sleep(5.0)
    assert host.fleet.versions() == {2}
    for one in host.fleet.hosts:
        assert one.keeper.catalog is not None
        assert len(one.keeper.catalog.groups) == 280
        assert (await one.editor.show())[1] == edition
    assert host.store.largest <= MAX_PART_BYTES
    parts = len(host.fleet.store.keys(PART_PREFIX))
    assert parts > 4
    # A change of one line writes one part anew, not the whole.
    text = edition.base.replace("10.0.100.1:17101", "10.9.9.9:17101")
    await host.editor.apply(
        ConfigurationDocuments(text, edition.overlays), 2, "ana", "", "third"
    )
    assert len(host.fleet.store.keys(PART_PREFIX)) <= parts + 2
    changes = await host.editor.diff(2, 3)
    member = "services.feedlog-db.groups.group-100.members.target-100-1"
    assert [change.path for change in changes] == [f"{member}.address"]


@using(two_hosts, run_virtual)
async def test_history_is_bounded_and_old_parts_are_deleted(
    host: FleetHost, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(archive_module, "KEPT_VERSIONS", 5)

    # Parts that stay from version to version, and one that changes.
    lasting = "".join(f"# {n} {'x' * 90}\n" for n in range(500)) + BASE
    for version in range(2, 21):
        # Every third edit brings back what an earlier one had.
        edition = documents(version % 3 + 1, lasting)
        await host.editor.apply(edition, version - 1, "ana", "", f"edit-{version}")
        if version == 12:
            # An edit that lost had deleted history before it lost.
            archive = host.editor.reader.archive
            stored = await archive.read_head()
            assert stored.manifest is not None
            assert await archive.trim(stored.manifest) > stored.manifest.trimmed
    heads = await host.editor.history(100)
    assert [head.version for head in heads] == list(range(20, 14, -1))
    used = {part_key(part) for head in heads for part in head.parts}
    assert len(heads[0].parts) > 1
    assert set(host.fleet.store.keys(PART_PREFIX)) == used
    assert history_key(14) not in host.fleet.store.keys()
    for head in heads:
        queue = head.version % 3 + 1
        shown = (await host.editor.show(head.version))[1]
        assert shown == documents(queue, lasting)
    with pytest.raises(RefusalError) as refused:
        await host.editor.show(2)
    assert "not kept" in refused.value.detail
    with pytest.raises(RefusalError) as refused:
        await host.apply(3, "very late", 2)
    assert refused.value.verdict is Verdict.MAY_HAVE_RUN


@using(two_hosts, run_virtual)
async def test_a_damaged_part_in_the_store_is_mended_by_the_next_writer(
    host: FleetHost,
) -> None:
    await host.apply(2, "second")
    (key,) = [one for one in host.fleet.store.keys(PART_PREFIX) if "/2-" in one]
    host.fleet.store.past[HEAD_KEY].pop()
    host.fleet.store.past[key][-1] = b"damaged"
    other = host.fleet.hosts[1]
    await other.restart()
    other.keeper.snapshot = None
    await other.keeper.close()
    with pytest.raises(RefusalError):
        await other.editor.show(2)
    await other.apply(2, "again", 1)
    assert host.fleet.store.past[key][-1] != b"damaged"
