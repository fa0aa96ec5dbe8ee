"""Guard against hosts that miss a configuration version or revert to an older one."""

import asyncio
import base64
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st

from reedhook.peer import HostRef
from reedhook.process.configuring.configuration_edit import EditConflictError
from reedhook.process.configuring.editor import ConfigurationEditor
from reedhook.process.configuring.snapshot_repository import HEAD_KEY
from reedhook.process.configuring.store_http import HttpStore
from reedhook.process.events.timeline import EventKind
from reedhook.request.refusal import RefusalError
from reedhook.request.verdict import Verdict
from reedhook.version.document import ConfigurationDocuments
from reedhook.version.snapshot import SnapshotManifest, compress_part
from reedhook.wire import Json
from reedhook_standins.store import StoreStandin

from .config_fleet import ZONES, Fleet, documents
from .fakes_clock import in_virtual_time, run_virtual
from .support import on_loop, using
from .support_group import until

IN_FORCE_WITHIN = 5.0


@asynccontextmanager
async def fleet_of(per_zone: int = 3) -> AsyncIterator[Fleet]:
    """Run a fleet with version 1 active; check that no host reverts to an older one."""
    async with Fleet(per_zone) as fleet:
        await fleet.hosts[0].apply(1, "first", 0)
        await asyncio.sleep(IN_FORCE_WITHIN)
        assert fleet.versions() == {1}
        yield fleet
        assert not any(host.fell for host in fleet.hosts)


@in_virtual_time
async def test_edit_is_active_on_all_hosts_within_a_second() -> None:
    async with fleet_of(per_zone=10) as fleet:
        await fleet.hosts[4].apply(2, "second")
        await asyncio.sleep(1.0)
        assert fleet.versions() == {2}
        for host in fleet.hosts:
            event = host.keeper.timeline.events[-1]
            assert event.kind is EventKind.CONFIGURATION
            assert event.detail["version"] == 2


@using(fleet_of, run_virtual)
async def test_edit_by_a_crashed_host_arrives_through_store_watches(
    fleet: Fleet,
) -> None:
    # The accepting host cannot announce the version to its peers.
    fleet.network.crash(fleet.hosts[0].ref.host)
    await fleet.hosts[0].apply(2, "second")
    await asyncio.sleep(1.0)
    assert fleet.versions() == {2}


@pytest.mark.parametrize("per_zone", [3, 12])
@in_virtual_time
async def test_store_calls_do_not_depend_on_the_number_of_hosts(per_zone: int) -> None:
    async with fleet_of(per_zone) as fleet:
        before = fleet.calls()
        await fleet.hosts[-1].apply(2, "second")
        await asyncio.sleep(1.0)
        assert fleet.versions() == {2}
        # Each of two relays in three zones repeats its watch, reads one part and
        # polls at most once; the edit itself takes four calls.
        assert fleet.calls() - before <= 4 + 6 * 3


@using(fleet_of, run_virtual)
async def test_polls_make_up_for_lost_watches(fleet: Fleet) -> None:
    for host in fleet.hosts:
        host.store.mute_watches = True
    fleet.store.down = True
    await asyncio.sleep(60.0)
    fleet.store.down = False
    await asyncio.sleep(60.0)
    fleet.network.crash(fleet.hosts[0].ref.host)
    await fleet.hosts[0].apply(2, "second")
    await asyncio.sleep(IN_FORCE_WITHIN)
    assert fleet.versions() == {2}
    # A watch without a response is cancelled and repeated.
    relay = fleet.hosts[3].store
    watches = relay.calls["watch head"]
    await asyncio.sleep(60.0)
    assert relay.calls["watch head"] >= watches + 1


@using(fleet_of, run_virtual)
async def test_stale_reads_never_revert_a_host(fleet: Fleet) -> None:
    for queue in (2, 3):
        await fleet.hosts[0].apply(queue, f"edit-{queue}")
        await asyncio.sleep(1.0)
    for host in fleet.hosts:
        host.store.stale = lambda key: 2 if key == HEAD_KEY else 0
        host.store.calls.clear()
    await asyncio.sleep(60.0)
    assert not any(host.store.calls["get part"] for host in fleet.hosts)
    assert fleet.versions() == {3}
    assert all(host.relay.store_version == 1 for host in fleet.hosts[:2])


@using(fleet_of, run_virtual)
async def test_restarted_host_gets_the_version_from_peers_while_the_store_is_down(
    fleet: Fleet,
) -> None:
    await fleet.hosts[0].apply(2, "second")
    await asyncio.sleep(1.0)
    fleet.store.down = True
    await asyncio.sleep(600.0)
    for host in fleet.hosts:
        await host.restart()
        assert host.versions == [2]
        with pytest.raises(RefusalError) as refused:
            await host.apply(3, "third")
        assert refused.value.verdict is Verdict.NOT_RUN
    fleet.store.down = False
    await fleet.hosts[0].apply(3, "third")
    await asyncio.sleep(IN_FORCE_WITHIN)
    assert fleet.versions() == {3}


@using(fleet_of, run_virtual)
async def test_restarted_relay_with_a_stale_store_starts_with_its_peers_version(
    fleet: Fleet,
) -> None:
    await fleet.hosts[0].apply(2, "second")
    await asyncio.sleep(1.0)
    relay = fleet.hosts[0]
    relay.store.stale = lambda key: 1 if key == HEAD_KEY else 0
    await relay.restart()
    assert relay.versions == [2]
    # A stale response to a watch does not cause a busy loop.
    relay.store.calls.clear()
    await asyncio.sleep(60.0)
    assert relay.store.calls["watch head"] <= 60
    assert relay.versions == [2]


@using(fleet_of, run_virtual)
async def test_partitioned_zone_keeps_its_version_and_catches_up(fleet: Fleet) -> None:
    fleet.cut_zone("ispica")
    await fleet.hosts[0].apply(2, "second")
    await asyncio.sleep(60.0)
    partitioned = fleet.zone("ispica")
    assert {host.keeper.version for host in partitioned} == {1}
    assert fleet.versions() == {1, 2}
    await partitioned[0].restart()
    assert partitioned[0].keeper.version == 1
    fleet.end_faults()
    await asyncio.sleep(IN_FORCE_WITHIN)
    assert fleet.versions() == {2}


def shorten(answer: Json) -> Json:
    """Truncate the parts of a response."""
    if not answer.get("parts"):
        return answer
    return {"parts": {key: text[:-8] for key, text in answer["parts"].items()}}


def swap_parts(answer: Json) -> Json:
    """Replace the parts of a response by other content."""
    if not answer.get("parts"):
        return answer
    other = base64.b64encode(compress_part(documents(9).base.encode())).decode()
    return {"parts": dict.fromkeys(answer["parts"], other)}


def raise_version(answer: Json) -> Json:
    """Change the version in the manifest of a response."""
    if not answer.get("head"):
        return answer
    return {**answer, "head": {**answer["head"], "version": 99}}


@pytest.mark.parametrize("corrupt", [shorten, swap_parts, raise_version])
@using(fleet_of, run_virtual)
async def test_corrupt_pull_is_dropped_and_repeated(
    fleet: Fleet, corrupt: Callable[[Json], Json]
) -> None:
    corrupted = 0

    def corrupt_some(answer: Json) -> Json:
        nonlocal corrupted
        corrupted += corrupt(answer) != answer and corrupted < 12
        return corrupt(answer) if corrupted < 12 else answer

    for host in fleet.hosts:
        call = host.peers.call

        async def faulty(
            peer: HostRef, path: str, body: Json, timeout: float, call: Any = call
        ) -> Json:
            return corrupt_some(await call(peer, path, body, timeout))

        host.peers.call = faulty  # type: ignore[method-assign]
        host.relaying = host is fleet.hosts[0]
    await fleet.hosts[0].apply(2, "second")
    await asyncio.sleep(60.0)
    assert corrupted == 12
    assert fleet.versions() == {2}
    assert all(host.versions == [1, 2] for host in fleet.hosts)


@using(fleet_of, run_virtual)
async def test_version_that_fails_validation_is_not_activated_or_pulled_again(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def accept_all(
        editor: ConfigurationEditor, documents: ConfigurationDocuments
    ) -> None:
        return

    monkeypatch.setattr(ConfigurationEditor, "check", accept_all)
    newer = fleet.hosts[0]
    assert (await newer.apply(-1, "second")).version == 2
    await asyncio.sleep(10.0)
    assert fleet.versions() == {1}
    relays = [host for host in fleet.hosts if host.relaying]
    for host in relays:
        event = host.keeper.timeline.events[-1]
        assert event.detail["version"] == 2
        assert "limits.queue" in event.detail["refused"]
    pulls = fleet.network.calls["config"]
    await asyncio.sleep(60.0)
    assert fleet.network.calls["config"] == pulls
    await newer.apply(3, "third", 2)
    await asyncio.sleep(IN_FORCE_WITHIN)
    assert fleet.versions() == {3}


@using(fleet_of, run_virtual)
async def test_announced_version_that_does_not_exist_is_dropped(fleet: Fleet) -> None:
    keeper = fleet.hosts[5].keeper
    keeper.record_peer_version(1000, fleet.hosts[3].ref)
    await asyncio.sleep(60.0)
    assert fleet.versions() == {1}
    assert keeper.sources == {}


@using(fleet_of, run_virtual)
async def test_failing_callback_does_not_prevent_later_callbacks(
    fleet: Fleet,
) -> None:
    host = fleet.hosts[2]
    host.keeper.callbacks.insert(0, lambda catalog: [][0])
    await fleet.hosts[0].apply(2, "second")
    await asyncio.sleep(1.0)
    assert host.versions == [1, 2]


@pytest.mark.parametrize("body", [{}, {"have": "x"}, {"want": 3}, {"offer": 2}])
@using(fleet_of, run_virtual)
async def test_malformed_request_is_refused(fleet: Fleet, body: Json) -> None:
    with pytest.raises(RefusalError) as refused:
        await fleet.hosts[0].peers.call(fleet.hosts[1].ref, "config", body, 1.0)
    assert refused.value.verdict is Verdict.NOT_RUN


@on_loop
async def test_edits_are_distributed_through_the_http_store() -> None:
    standin = StoreStandin()
    await standin.listen()
    stores = []
    fleet = Fleet(per_zone=2)
    for host in fleet.hosts:
        stores.append(HttpStore(standin.address))
        host.editor.reader.archive.store = stores[-1]
    async with fleet:
        standin.lose_answers = 2
        await fleet.hosts[0].apply(1, "first", 0)
        await until(lambda: fleet.versions() == {1})
        with pytest.raises(EditConflictError):
            await fleet.hosts[1].apply(2, "late", 0)
        standin.drop_watches()
        edits = [host.apply(3, host.ref.host, 1) for host in fleet.hosts]
        results = await asyncio.gather(*edits, return_exceptions=True)
        assert sum(isinstance(result, SnapshotManifest) for result in results) == 1
        assert sum(isinstance(result, EditConflictError) for result in results) == 5
        await until(lambda: fleet.versions() == {2})
        await fleet.hosts[2].restart()
        assert fleet.hosts[2].versions == [2]
    for store in stores:
        await store.close()
    await standin.close()


class Outcomes:
    """Record the outcome of each edit and compare it with the history."""

    def __init__(self) -> None:
        self.verdicts: dict[str, Verdict] = {}
        self.versions: dict[str, int] = {}

    async def apply(self, fleet: Fleet, at: int, edit: int) -> None:
        """Apply an edit at one host and record the outcome."""
        name = f"edit-{edit}"
        try:
            manifest = await fleet.hosts[at].apply(edit + 10, name)
        except RefusalError as refusal:
            self.verdicts[name] = refusal.verdict
            return
        self.verdicts[name] = Verdict.DONE
        self.versions[name] = manifest.version

    def compare(self, history: dict[int, str]) -> None:
        """Check the recorded outcomes against the accepted versions."""
        accepted = list(history.values())
        assert sorted(history) == list(range(1, len(history) + 1))
        assert len(set(accepted)) == len(accepted)
        for name, verdict in self.verdicts.items():
            if verdict is Verdict.DONE:
                assert history[self.versions[name]] == name
            if verdict is Verdict.NOT_RUN:
                assert name not in accepted


HOSTS = st.integers(0, 5)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("apply"), HOSTS),
        st.tuples(st.just("race"), HOSTS),
        st.tuples(st.just("restart"), HOSTS),
        st.tuples(st.just("down"), HOSTS),
        st.tuples(st.just("lose_answers"), HOSTS),
        st.tuples(st.just("lose_requests"), HOSTS),
        st.tuples(st.just("stale"), HOSTS),
        st.tuples(st.just("mute"), HOSTS),
        st.tuples(st.just("old_news"), HOSTS),
        st.tuples(st.just("outage"), st.just(0)),
        st.tuples(st.just("cut"), st.sampled_from(range(len(ZONES)))),
        st.tuples(st.just("end"), st.just(0)),
        st.tuples(st.just("wait"), st.integers(0, 8)),
    ),
    max_size=25,
)


@given(STEPS)
@settings(max_examples=100)
def test_accepted_configuration_reaches_all_hosts_and_never_reverts(
    steps: list[tuple[str, int]],
) -> None:
    outcomes = Outcomes()

    async def step(fleet: Fleet, number: int, kind: str, at: int) -> None:
        host = fleet.hosts[at % len(fleet.hosts)]
        match kind:
            case "apply":
                await outcomes.apply(fleet, at, number)
            case "race":
                edits = [(at, number * 100), ((at + 3) % 6, number * 100 + 1)]
                await asyncio.gather(*(outcomes.apply(fleet, *edit) for edit in edits))
            case "restart":
                await host.restart()
            case "down":
                host.store.down = True
            case "lose_answers" | "lose_requests":
                setattr(host.store, kind, 2)
            case "stale":
                host.store.stale = lambda key: 2
            case "mute":
                host.store.mute_watches = True
            case "old_news":
                host.keeper.record_peer_version(
                    host.keeper.version + 1, fleet.hosts[0].ref
                )
            case "outage":
                fleet.store.down = True
            case "cut":
                fleet.cut_zone(ZONES[at])
            case "end":
                fleet.end_faults()
            case "wait":
                await asyncio.sleep(at)

    async def main() -> None:
        async with Fleet(per_zone=2) as fleet:
            await fleet.hosts[0].apply(1, "first", 0)
            await asyncio.sleep(IN_FORCE_WITHIN)
            for number, (kind, at) in enumerate(steps):
                await step(fleet, number, kind, at)
                await asyncio.sleep(0.05)
            fleet.end_faults()
            await asyncio.sleep(20.0)
            manifests = await fleet.hosts[0].editor.history(100)
            assert fleet.versions() == {manifests[0].version}
            assert not any(host.fell for host in fleet.hosts)
            outcomes.compare({one.version: one.edit_id for one in manifests})

    run_virtual(main())
