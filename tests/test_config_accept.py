"""Guard against lost, doubled or half-written edits of the configuration."""

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
    """Run two hosts of one zone with version 1 active; yield the first."""
    async with Fleet(per_zone=2, zones=ONE_ZONE) as fleet:
        await fleet.hosts[0].apply(1, "first", 0)
        await asyncio.sleep(1.0)
        yield fleet.hosts[0]


async def edit_ids(host: FleetHost) -> list[str]:
    return [manifest.edit_id for manifest in await host.editor.history()]


@using(two_hosts, run_virtual)
async def test_accepted_edit_is_active_on_the_accepting_host_immediately(
    host: FleetHost,
) -> None:
    manifest = await host.apply(7, "second")
    assert (manifest.version, manifest.parent, manifest.author) == (2, 1, "ana")
    assert host.keeper.catalog is not None
    assert host.keeper.catalog.limits.queue == 7
    assert await edit_ids(host) == ["second", "first"]
    assert (await host.editor.show(1))[1] == documents(1)


@using(two_hosts, run_virtual)
async def test_invalid_edit_writes_nothing_to_the_store(host: FleetHost) -> None:
    before = host.fleet.store.keys()
    with pytest.raises(InvalidConfigurationError):
        await host.apply(-1, "second")
    assert host.fleet.store.keys() == before


@pytest.mark.parametrize("queues", [(10, 11), (10, 10)])
@using(two_hosts, run_virtual)
async def test_one_of_two_concurrent_edits_wins_and_the_other_gets_its_changes(
    host: FleetHost, queues: tuple[int, int]
) -> None:
    for editing_host in host.fleet.hosts:
        editing_host.worker.most = 0.0
    edits = [
        editing_host.apply(queue, f"edit by {editing_host.ref.host}", 1)
        for editing_host, queue in zip(host.fleet.hosts, queues)
    ]
    results = await asyncio.gather(*edits, return_exceptions=True)
    won = [result for result in results if isinstance(result, SnapshotManifest)]
    lost = [result for result in results if isinstance(result, EditConflictError)]
    assert (len(won), len(lost)) == (1, 1)
    assert lost[0].verdict is Verdict.NOT_RUN
    (since,) = lost[0].since
    assert since.manifest == won[0]
    assert [change.path for change in since.changes] == ["limits.queue"]
    assert await edit_ids(host) == [won[0].edit_id, "first"]
    # The parts of the losing edit are deleted, those of the winning edit are not.
    assert len(host.fleet.store.keys(PART_PREFIX)) == 2
    await host.editor.reader.archive.read_snapshot(won[0], {})


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
@using(two_hosts, run_virtual)
async def test_concurrent_edits_with_lost_responses_and_stale_reads_have_one_winner(
    host: FleetHost, lost: int
) -> None:
    for editing_host in host.fleet.hosts:
        editing_host.worker.most = 0.0
        editing_host.store.lose_answers = lost
        reads = iter([1, 0, 1, 0, 1])
        editing_host.store.stale = lambda key, reads=reads: (  # type: ignore[misc]
            next(reads, 0) if key == HEAD_KEY else 0
        )
    edits = [
        editing_host.apply(n + 7, f"edit-{n}", 1)
        for n, editing_host in enumerate(host.fleet.hosts)
    ]
    results = await asyncio.gather(*edits, return_exceptions=True)
    assert {type(result) for result in results} == {SnapshotManifest, EditConflictError}
    (won,) = [result for result in results if isinstance(result, SnapshotManifest)]
    assert won.version == 2
    assert await edit_ids(host) == [won.edit_id, "first"]


@using(two_hosts, run_virtual)
async def test_conflict_lists_the_versions_since_the_parent(host: FleetHost) -> None:
    for queue in range(2, 14):
        await host.apply(queue, f"edit-{queue}")
    with pytest.raises(EditConflictError) as conflict:
        await host.apply(99, "late", 1)
    message = conflict.value.to_json()
    assert message["version"] == 13
    assert [item["version"] for item in message["since"]] == list(range(13, 5, -1))
    assert message["omitted"] == 4


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("kind", ["lose_answers", "lose_requests"])
@using(two_hosts, run_virtual)
async def test_lost_messages_neither_duplicate_nor_drop_an_edit(
    host: FleetHost, kind: str, lost: int
) -> None:
    setattr(host.store, kind, lost)
    manifest = await host.apply(7, "second")
    assert manifest.version == 2
    assert await edit_ids(host) == ["second", "first"]


def lose_swap_response(host: FleetHost, then: Callable[[], Awaitable[None]]) -> None:
    """Lose the response to the next swap of the head and run `then`."""
    put = host.store.put

    async def lossy_put(
        key: str, value: bytes, expected: int, timeout: float
    ) -> object:
        if key == HEAD_KEY:
            host.store.put = put  # type: ignore[method-assign]
            host.store.lose_answers = 1
            try:
                await put(key, value, expected, timeout)
            finally:
                await then()
        return await put(key, value, expected, timeout)

    host.store.put = lossy_put  # type: ignore[assignment,method-assign]


def run_before_swap(host: FleetHost, then: Callable[[], Awaitable[None]]) -> None:
    """Run `then` before the next swap of the head."""
    put = host.store.put

    async def delayed_put(
        key: str, value: bytes, expected: int, timeout: float
    ) -> object:
        if key == HEAD_KEY:
            host.store.put = put  # type: ignore[method-assign]
            await then()
        return await put(key, value, expected, timeout)

    host.store.put = delayed_put  # type: ignore[assignment,method-assign]


@using(two_hosts, run_virtual)
async def test_losing_edit_keeps_parts_used_by_the_winner(host: FleetHost) -> None:
    async def apply_winner() -> None:
        await host.fleet.hosts[1].apply(7, "winner", 1)

    run_before_swap(host, apply_winner)
    with pytest.raises(EditConflictError):
        await host.apply(7, "loser", 1)
    newest, _ = await host.editor.history()
    snapshot = await host.editor.reader.archive.read_snapshot(newest, {})
    assert snapshot.documents() == documents(7)


@pytest.mark.parametrize("kept_ids", [32, 1])
@using(two_hosts, run_virtual)
async def test_edit_with_lost_response_is_found_below_later_versions(
    host: FleetHost, kept_ids: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(edition_module, "KEPT_EDIT_IDS", kept_ids)

    async def apply_later_edits() -> None:
        other = host.fleet.hosts[1]
        for version in range(2, 5):
            await other.apply(version * 10, f"other-{version}", version)

    lose_swap_response(host, apply_later_edits)
    manifest = await host.apply(7, "second")
    assert (manifest.version, manifest.edit_id) == (2, "second")
    assert (await edit_ids(host)).count("second") == 1


@using(two_hosts, run_virtual)
async def test_edit_may_have_run_if_the_store_fails_after_the_swap(
    host: FleetHost,
) -> None:
    async def stop_store() -> None:
        host.fleet.store.down = True

    lose_swap_response(host, stop_store)
    with pytest.raises(RefusalError) as refused:
        await host.apply(7, "second")
    assert refused.value.verdict is Verdict.MAY_HAVE_RUN
    host.fleet.store.down = False
    manifest = await host.apply(7, "second", 1)
    assert manifest.version == 2
    assert await edit_ids(host) == ["second", "first"]


@using(two_hosts, run_virtual)
async def test_edit_has_no_effect_while_the_store_is_down(host: FleetHost) -> None:
    host.fleet.store.down = True
    with pytest.raises(RefusalError) as refused:
        await host.apply(7, "second")
    assert refused.value.reason is RefusalReason.STORE_UNAVAILABLE
    assert refused.value.verdict is Verdict.NOT_RUN
    host.fleet.store.down = False
    assert await edit_ids(host) == ["first"]
    assert (await host.editor.show())[1] == documents(1)


@using(two_hosts, run_virtual)
async def test_stale_read_neither_accepts_nor_rejects_an_edit(
    host: FleetHost,
) -> None:
    await host.apply(2, "second")
    other = host.fleet.hosts[1]
    await asyncio.sleep(3.0)
    reads = iter([1, 1, 1])
    other.store.stale = lambda key: next(reads, 0) if key == HEAD_KEY else 0
    manifest = await other.apply(3, "third", 2)
    assert manifest.version == 3
    reads = iter([1, 1, 1])
    with pytest.raises(EditConflictError):
        await other.apply(4, "fourth", 2)
    reads = iter([1])
    with pytest.raises(RefusalError) as refused:
        await other.editor.history()
    assert refused.value.reason is RefusalReason.STORE_UNAVAILABLE


@using(two_hosts, run_virtual)
async def test_edit_of_an_unknown_parent_version_is_refused(host: FleetHost) -> None:
    with pytest.raises(RefusalError) as refused:
        await host.apply(5, "second", 99)
    assert refused.value.reason is RefusalReason.CONFLICT
    assert refused.value.verdict is Verdict.NOT_RUN
    assert host.keeper.version == 1


@using(two_hosts, run_virtual)
async def test_reused_edit_id_with_other_documents_is_refused(host: FleetHost) -> None:
    with pytest.raises(RefusalError) as refused:
        await host.apply(5, "first")
    assert refused.value.reason is RefusalReason.REQUEST_REUSED
    assert host.keeper.version == 1


@pytest.mark.parametrize("step", range(6))
@using(two_hosts, run_virtual)
async def test_crash_between_any_two_writes_leaves_a_consistent_version(
    host: FleetHost, step: int
) -> None:
    remaining = step

    async def crash(key: str, value: bytes, expected: int, timeout: float) -> object:
        nonlocal remaining
        if remaining == 0:
            raise asyncio.CancelledError
        remaining -= 1
        return await put(key, value, expected, timeout)

    put = host.store.put
    host.store.put = crash  # type: ignore[assignment,method-assign]
    edit = asyncio.create_task(host.editor.apply(large(), 1, "ana", "", "second"))
    await asyncio.wait([edit])
    host.store.put = put  # type: ignore[method-assign]
    await host.restart()
    await asyncio.sleep(5.0)
    expected_documents = documents(1) if edit.cancelled() else large()
    for fleet_host in host.fleet.hosts:
        assert (await fleet_host.editor.show())[1] == expected_documents
    # The next edit succeeds and the history has no gap.
    newest = await host.apply(9, "third")
    manifests = await host.editor.history()
    assert [manifest.version for manifest in manifests] == list(
        range(newest.version, 0, -1)
    )


@on_loop
async def test_validation_runs_in_a_worker_thread() -> None:
    worker = ThreadWorker()
    checked = await worker.run(validate_documents, documents(5), only_site="comiso")
    assert checked.catalog(1, "comiso").limits.queue == 5
    with pytest.raises(InvalidConfigurationError):
        await worker.run(validate_documents, documents(-5))


def test_truncated_or_extended_part_is_refused() -> None:
    snapshot = build_snapshot(documents(1), None, "first", "ana", "", 0.0)
    (part,) = snapshot.manifest.parts
    packed = snapshot.packed[part.digest]
    assert decompress_part(part, packed)
    for damaged in [packed[:size] for size in range(len(packed))] + [packed + b"x"]:
        with pytest.raises(SnapshotError):
            decompress_part(part, damaged)


def test_responses_with_parts_have_a_bounded_size() -> None:
    noise = random.Random(1)
    lines = [f"# {noise.randbytes(500).hex()}\n" for _ in range(900)]
    snapshot = build_snapshot(documents(1, "".join(lines)), None, "e", "ana", "", 0.0)
    wanted = [part.digest for part in snapshot.manifest.parts]
    sent: list[str] = []
    while len(sent) < len(wanted):
        parts = parts_answer(snapshot, wanted[len(sent) :])["parts"]
        packed = sum(len(snapshot.packed[digest]) for digest in parts)
        assert 0 < packed <= MAX_ANSWER_BYTES
        sent += parts
    assert sent == wanted
    assert sum(map(len, snapshot.packed.values())) > MAX_ANSWER_BYTES


def large(groups: int = 280, note: str = "") -> ConfigurationDocuments:
    """Return documents with `groups` groups of 3 members each."""
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
async def test_large_documents_are_stored_in_parts_and_activated_together(
    host: FleetHost,
) -> None:
    padding = f"  # {'x' * 1050}"
    texts = large(note=padding)
    assert 0.9 * MAX_VALUE < len(texts.base) < MAX_VALUE
    await host.editor.apply(texts, 1, "ana", "", "second")
    await asyncio.sleep(5.0)
    assert host.fleet.versions() == {2}
    for fleet_host in host.fleet.hosts:
        assert fleet_host.keeper.catalog is not None
        assert len(fleet_host.keeper.catalog.groups) == 280
        assert (await fleet_host.editor.show())[1] == texts
    assert host.store.largest <= MAX_PART_BYTES
    parts = len(host.fleet.store.keys(PART_PREFIX))
    assert parts > 4
    # A change of one line rewrites only the part that contains it.
    text = texts.base.replace("10.0.100.1:17101", "10.9.9.9:17101")
    await host.editor.apply(
        ConfigurationDocuments(text, texts.overlays), 2, "ana", "", "third"
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

    # Most parts are shared by all versions, and one changes.
    shared_text = "".join(f"# {n} {'x' * 90}\n" for n in range(500)) + BASE
    for version in range(2, 21):
        # The content repeats every third version.
        texts = documents(version % 3 + 1, shared_text)
        await host.editor.apply(texts, version - 1, "ana", "", f"edit-{version}")
        if version == 12:
            # Simulates a losing edit that deleted history first.
            archive = host.editor.reader.archive
            stored = await archive.read_head()
            assert stored.manifest is not None
            assert await archive.trim(stored.manifest) > stored.manifest.trimmed
    manifests = await host.editor.history(100)
    assert [manifest.version for manifest in manifests] == list(range(20, 14, -1))
    used = {part_key(part) for manifest in manifests for part in manifest.parts}
    assert len(manifests[0].parts) > 1
    assert set(host.fleet.store.keys(PART_PREFIX)) == used
    assert history_key(14) not in host.fleet.store.keys()
    for manifest in manifests:
        queue = manifest.version % 3 + 1
        shown = (await host.editor.show(manifest.version))[1]
        assert shown == documents(queue, shared_text)
    with pytest.raises(RefusalError) as refused:
        await host.editor.show(2)
    assert "not kept" in refused.value.detail
    with pytest.raises(RefusalError) as refused:
        await host.apply(3, "very late", 2)
    assert refused.value.verdict is Verdict.MAY_HAVE_RUN


@using(two_hosts, run_virtual)
async def test_damaged_part_in_the_store_is_repaired_by_the_next_write(
    host: FleetHost,
) -> None:
    await host.apply(2, "second")
    (key,) = [key for key in host.fleet.store.keys(PART_PREFIX) if "/2-" in key]
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
