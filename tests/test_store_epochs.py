"""Hosts follow a store that was restored from an older copy."""

import asyncio
import math

import pytest
from hypothesis import given, settings, strategies as st

from reedhook.metrics import MemoryMetrics
from reedhook.process.discovery.configuration_freshness import STATEMENT_WAIT_SECONDS
from reedhook.process.discovery.freshness_prover import FreshnessProver
from reedhook.process.discovery.host_registration import REGISTRATIONS_PER_SECOND
from reedhook.process.discovery.key_value_store import EarlierEpochError, Item
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.discovery.update_source import UPDATES_PATH, encode_item
from reedhook.request.authorization import Authorizer
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.wire import encode

from .epoch_world import EpochHost, EpochWorld
from .fakes_clock import in_virtual_time
from .session_world import TABLE_KEY, SessionWorld

HOSTS = 740
TARGETS = 840
HOSTS_OF_ZONE = 74

REVOCATION_SECONDS = 5.0


@in_virtual_time
async def test_late_answer_of_an_earlier_epoch_changes_nothing() -> None:
    """Guards against items that a restore has lost and a late answer brings back."""
    world = EpochWorld(["h1"], relays=["h1"])
    host = world.hosts["h1"]
    world.store.write("x", b"kept")
    world.store.save()
    await host.watch.read_all()
    world.store.write("x", b"lost")
    world.store.held["h1"] = 1.0
    reading = asyncio.create_task(host.watch.read_all())
    await asyncio.sleep(0.5)
    world.store.restore(0.0)
    host.epoch.learn(1, "h2")
    with pytest.raises(EarlierEpochError):
        await reading
    assert host.values() == world.values()
    assert host.freshness.age() == math.inf


@in_virtual_time
async def test_late_write_of_an_earlier_epoch_is_not_acknowledged() -> None:
    """Guards against a write that counts as done and is lost with the restore."""
    world = EpochWorld(["h1"], relays=["h1"])
    host = world.hosts["h1"]
    world.store.save()
    world.store.held["h1"] = 1.0
    writing = asyncio.create_task(host.keyspace.put("x", b"lost", None, 0.5))
    await asyncio.sleep(0.5)
    world.store.restore(0.0)
    host.epoch.learn(1, "h2")
    with pytest.raises(EarlierEpochError):
        await writing


@in_virtual_time
async def test_late_updates_of_an_earlier_epoch_change_nothing() -> None:
    """Guards against lost items that the late answer of a relay brings back."""
    world = EpochWorld(["h1", "h2", "h3"], relays=["h1"])
    world.store.save()
    await world.start()
    host = world.hosts["h3"]
    revision = world.store.write("x", b"lost")
    item = Item("x", b"lost", revision)
    late = {
        "at": revision.to_json(),
        "items": [encode_item(item)],
        "keys": None,
        "version": 0,
        "reached": True,
    }
    world.store.restore(0.0)
    await asyncio.sleep(3.0)
    assert host.announcements.mirror.revision.epoch == 1
    host.source.apply_response(host.ref, late)
    assert host.values() == world.values() == {}
    assert host.source.behind
    world.stop()


@in_virtual_time
async def test_item_that_reads_the_same_keeps_its_revision() -> None:
    """Guards against a restore after which relays send all items to all hosts."""
    world = EpochWorld(["h1"], relays=["h1"])
    host = world.hosts["h1"]
    world.store.write("same", b"1")
    world.store.write("changed", b"1")
    world.store.save()
    world.store.write("changed", b"2")
    world.store.write("added", b"1")
    await host.watch.read_all()
    before = host.announcements.mirror.revision
    same = host.announcements.mirror.items["same"].revision
    world.store.restore(0.0)
    await host.watch.read_all()
    mirror = host.announcements.mirror
    assert mirror.items["same"].revision == same
    assert mirror.items["changed"].revision == StoreRevision(1, 3)
    assert {item.key for item in mirror.changes(before)} == {"changed", "added"}
    assert host.values() == world.values()


@in_virtual_time
async def test_follower_ahead_of_its_relay_at_the_restore_drops_lost_items() -> None:
    """Guards against lost items that stay at a follower whose relay never had them."""
    world = EpochWorld(["h1", "h2", "h3"], relays=["h1", "h2"])
    world.store.write("changed", b"1")
    world.store.save()
    await world.start()
    # h2 does not see what follows; h3 learns it from h1.
    world.store.silent.add("h2")
    world.store.write("changed", b"2")
    world.store.write("added", b"1")
    await asyncio.sleep(4.0)
    follower = world.hosts["h3"]
    assert "added" in follower.values()
    assert "added" not in world.hosts["h2"].values()
    world.network.isolate({"h1"}, {"h3"})
    world.store.silent.add("h3")
    world.store.restore(0.0)
    world.store.silent.remove("h2")
    await world.settle()
    assert follower.values() == world.values()
    assert follower.decisions.count("updates_differ") == 1
    world.stop()


@in_virtual_time
async def test_relay_that_missed_a_deletion_does_not_leave_the_item_at_followers() -> (
    None
):
    """Guards against an item that was written and deleted between two readings of a
    relay, and that a follower learned from the other relay."""
    world = EpochWorld(["h1", "h2", "h3"], relays=["h1", "h2"])
    world.store.save()
    await world.start()
    world.store.silent.add("h1")
    world.store.restore(0.0)
    world.store.write("x", b"1")
    await asyncio.sleep(6.0)
    follower = world.hosts["h3"]
    assert "x" in follower.values()
    assert "x" not in world.hosts["h1"].values()
    world.network.isolate({"h2"}, {"h3"})
    world.store.silent.add("h3")
    world.store.write("x", None)
    world.store.silent.remove("h1")
    await world.settle()
    assert follower.values() == world.values() == {}
    world.stop()


@in_virtual_time
async def test_proofs_of_an_earlier_epoch_prove_nothing() -> None:
    """Guards against a configuration that a lost proof makes count as fresh."""
    world = EpochWorld(["h1", "h2"], relays=["h1"])
    world.configure(1, ["key"])
    world.store.save()
    await world.start()
    host = world.hosts["h1"]
    prover = prover_of(host)
    # The revision of the answer is not applied here yet, so the proof is pending.
    world.store.write("x", b"lost")
    await host.keyspace.get("x", 0.5)
    prover.awaited = (StoreRevision(0, world.store.revision), host.clock.boottime())
    answer = await world.hosts["h2"].answer_beat({})
    assert answer["a"] < 2000 and "e" not in answer
    requested_at = host.clock.boottime()
    world.stop()
    host.epoch.learn(1, "h9")
    assert host.freshness.age() == math.inf
    host.freshness.read_age(answer, 1, requested_at, "h2")
    assert host.freshness.age() == math.inf
    host.announcements.complete(StoreRevision(1, 99))
    prover.apply_awaited_proof()
    assert host.freshness.age() == math.inf
    # A proof of the new epoch counts.
    host.freshness.read_age({**answer, "e": 1}, 1, requested_at, "h2")
    assert host.freshness.age() < 2.0


def prover_of(host: EpochHost) -> FreshnessProver:
    """Return a prover that queries the store only."""
    return FreshnessProver(
        host.keyspace,
        host.announcements,
        host.freshness,
        host.ref,
        lambda: host.ref,
        lambda: True,
        lambda ref: asyncio.sleep(0.0, False),
        host.clock,
        host.random,
    )


@in_virtual_time
async def test_epoch_does_not_make_all_hosts_query_the_store() -> None:
    """Guards against 740 reads at once, since no host has a proof after a restore."""
    world = EpochWorld(["h1"], relays=[])
    world.configure(1, ["key"])
    host = world.hosts["h1"]
    await host.watch.read_all()
    prover = prover_of(host)
    running = asyncio.create_task(prover.run())
    host.epoch.learn(1, "h2")
    calls = len(world.store.calls)
    await asyncio.sleep(0.9)
    assert len(world.store.calls) == calls
    running.cancel()


@in_virtual_time
async def test_revoked_key_stays_revoked_at_a_host_that_starts_after_a_restore() -> (
    None
):
    """Guards against an older configuration of the restored store, whose keys a new
    host would accept, since its own read of the store proves that it is the newest."""
    world = EpochWorld(["h1", "h2"], relays=["h1"])
    world.configure(1, ["old", "new"])
    world.store.save()
    await world.start()
    world.configure(2, ["new"])
    await asyncio.sleep(2.0)
    world.store.restore(0.0)
    await asyncio.sleep(1.0)
    host = world.add("h3")
    for other in ("h1", "h2"):
        world.network.delays[other, "h3"] = world.network.delays["h3", other] = 0.1
    authorizer = Authorizer(
        host.announcements,
        host.freshness,
        REVOCATION_SECONDS,
        host.decisions,
        MemoryMetrics(),
    )
    host.start()
    reasons = set()
    versions = set()
    for _ in range(300):
        await asyncio.sleep(0.02)
        versions.add(host.announcements.table.version)
        if host.announcements.table.version:
            reasons.add(refusal_of(host, authorizer, "old"))
    assert versions >= {1, 2}
    assert reasons == {RefusalReason.KEYS_UNPROVED, RefusalReason.UNAUTHENTICATED}
    assert refusal_of(host, authorizer, "old") is RefusalReason.UNAUTHENTICATED
    assert refusal_of(host, authorizer, "new") is None
    world.stop()


@in_virtual_time
async def test_no_proof_counts_while_another_host_has_a_newer_version() -> None:
    """Guards against a revoked key that is accepted while the version that revoked it
    is on its way from another host."""
    world = EpochWorld(["h1"], relays=["h1"])
    world.configure(1, ["old"])
    host = world.hosts["h1"]
    host.epoch.learn(1, "h2")
    host.announcements.apply_table(table_value(1))
    host.freshness.learn_version(2)
    host.freshness.record_proof(host.clock.boottime())
    host.freshness.record_proof(host.clock.boottime() + 0.1)
    assert host.freshness.age() == math.inf
    assert host.decisions.count("configuration_outdated") == 1
    host.announcements.apply_table(table_value(2))
    host.freshness.record_proof(host.clock.boottime())
    assert host.freshness.age() == 0.0


def table_value(version: int) -> bytes:
    """Return a configuration as hosts keep it."""
    return encode({"version": version, "routes": [], "workspaces": []})


def refusal_of(
    host: EpochHost, authorizer: Authorizer, key: str
) -> RefusalReason | None:
    """Return why a key is refused, or None if it is accepted."""
    route = host.announcements.table.routes["views"]
    try:
        authorizer.authorize_session(route, key)
    except RefusalError as refusal:
        return refusal.reason
    return None


@in_virtual_time
async def test_host_without_others_serves_after_a_wait() -> None:
    """Guards against a deployment of one host that refuses all keys after a restore."""
    world = EpochWorld(["h1"], relays=["h1"])
    world.configure(1, ["key"])
    world.store.save()
    await world.start()
    world.store.restore(0.0)
    await asyncio.sleep(STATEMENT_WAIT_SECONDS - 1.0)
    host = world.hosts["h1"]
    assert host.freshness.age() == math.inf
    await asyncio.sleep(5.0)
    assert host.freshness.age() < 4.0
    world.stop()


@in_virtual_time
async def test_newer_configuration_stays_in_force_after_a_restore() -> None:
    """Guards against a return to an older configuration along with the store."""
    world = EpochWorld(["h1", "h2", "h3"], relays=["h1"])
    world.configure(1, ["key"])
    world.store.save()
    await world.start()
    world.configure(2, ["key"])
    await asyncio.sleep(2.0)
    later: list[int] = []
    for host in world.hosts.values():
        host.announcements.on_table.append(lambda table: later.append(table.version))
    world.store.restore(0.0)
    await world.settle()
    assert not later
    assert {one.announcements.table.version for one in world.hosts.values()} == {2}
    assert max(one.freshness.age() for one in world.hosts.values()) < 5.0
    world.stop()


@in_virtual_time
async def test_epoch_is_learned_from_a_peer() -> None:
    """Guards against a host that keeps lost items and old proofs while it does not
    reach the store itself."""
    world = EpochWorld(["h1", "h2", "h3"], relays=["h1"])
    world.configure(1, ["key"])
    world.store.save()
    await world.start()
    world.store.write("x", b"lost")
    await asyncio.sleep(1.0)
    world.store.silent.add("h3")
    assert "x" in world.hosts["h3"].values()
    calls = world.store.calls.count("list")
    world.store.restore(0.0)
    await asyncio.sleep(3.0)
    host = world.hosts["h3"]
    assert host.epoch.current == 1
    sources = [
        inputs["source"]
        for event, inputs in host.decisions.events
        if event == "store_epoch"
    ]
    assert sources in (["h1"], ["h2"])
    assert host.values() == world.values()
    assert host.freshness.age() < 3.0
    assert world.store.calls.count("list") == calls + 1
    world.stop()


@in_virtual_time
async def test_epoch_is_learned_from_heartbeats() -> None:
    """Guards against a relay that is cut off from the store and does not learn that
    its proofs prove nothing."""
    world = EpochWorld(["h1", "h2"], relays=["h1", "h2"])
    world.store.save()
    await world.start()
    world.store.silent.add("h2")
    world.store.restore(0.0)
    await asyncio.sleep(3.0)
    host = world.hosts["h2"]
    assert host.epoch.current == 1
    assert host.decisions.count("store_epoch") == 1
    assert ("store_epoch", {"epoch": 1, "source": "h1"}) in host.decisions.events
    world.stop()


@in_virtual_time
async def test_second_restore_while_the_first_is_handled() -> None:
    """Guards against items of the epoch between two restores that stay for good."""
    world = EpochWorld(["h1", "h2", "h3", "h4"], relays=["h1", "h2"])
    world.store.write("x", b"1")
    world.store.save()
    await world.start()
    world.store.write("x", b"2")
    await asyncio.sleep(1.0)
    world.store.restore(0.0)
    world.store.write("y", b"between")
    # The relay h1 has the items of the first restore, its followers not all of them.
    await asyncio.sleep(0.02)
    world.store.held["h2"] = 0.5
    world.store.restore(0.0)
    world.store.write("z", b"after")
    await world.settle()
    for host in world.hosts.values():
        assert host.epoch.current == 2
        assert host.values() == world.values()
    world.stop()


@in_virtual_time
async def test_registrations_of_all_hosts_are_spread_after_a_restore() -> None:
    """Guards against 740 hosts that all write to the restored store at once, and
    against a host that keeps a lease whose ID may now be another host's."""
    world = EpochWorld([], relays=[])
    world.counted_hosts = HOSTS
    hosts = [world.add(f"h{number}") for number in range(HOSTS)]
    world.store.save()
    tasks = [asyncio.create_task(host.registration.run()) for host in hosts]
    await asyncio.sleep(5.0)
    assert len(world.store.items) == HOSTS
    world.store.restore(0.0)
    assert not world.store.items
    restored_at = asyncio.get_running_loop().time()
    for host in hosts:
        host.epoch.learn(1, "peer")
    written: list[float] = []
    write = world.store.write

    def record_write(key: str, value: bytes | None, lease: int = 0) -> StoreRevision:
        written.append(asyncio.get_running_loop().time() - restored_at)
        return write(key, value, lease)

    world.store.write = record_write  # type: ignore[method-assign]
    calls = len(world.store.calls)
    await asyncio.sleep(HOSTS / REGISTRATIONS_PER_SECOND + 0.5)
    assert len(world.store.items) == HOSTS
    assert len(written) == HOSTS
    assert len(world.store.calls) - calls == 2 * HOSTS
    a_second = [
        sum(start <= moment < start + 1.0 for moment in written) for start in written
    ]
    # Uniformly random moments: 100 a second on average, with a deviation of 10.
    assert max(a_second) < 1.5 * REGISTRATIONS_PER_SECOND
    leases = [host.registration.lease for host in hosts]
    assert len(set(leases)) == HOSTS and None not in leases
    for task in tasks:
        task.cancel()


@in_virtual_time
async def test_host_that_leaves_keeps_the_entries_of_others() -> None:
    """Guards against the end of a lease whose ID was granted again, to another host."""
    world = EpochWorld(["h1", "h2"], relays=[])
    world.store.save()
    leaving, other = world.hosts["h1"], world.hosts["h2"]
    await leaving.registration.renew()
    world.store.restore(0.0)
    await other.registration.renew()
    assert leaving.registration.lease == other.registration.lease
    leaving.epoch.learn(1, "h2")
    await leaving.registration.withdraw()
    assert other.registration.key in world.store.items


@in_virtual_time
async def test_host_registers_once_at_a_store_that_was_restored_before() -> None:
    """Guards against two registrations at each start, since a host that starts takes
    the first epoch it hears of for a restore."""
    world = EpochWorld(["h1"], relays=[])
    world.store.save()
    world.store.restore(0.0)
    host = world.hosts["h1"]
    running = asyncio.create_task(host.registration.run())
    await asyncio.sleep(5.0)
    assert world.store.calls == ["grant", "put"]
    running.cancel()


@in_virtual_time
async def test_updates_of_a_zone_after_a_restore_are_small() -> None:
    """Guards against relays that send the whole store to 72 hosts each time.

    The zone is one of 10 of a deployment of 740 hosts and 840 targets, of which 20
    targets and 4 hosts have changed since the copy.
    """
    names = [f"h{number}" for number in range(HOSTS_OF_ZONE)]
    world = EpochWorld(names, relays=["h0", "h1"])
    for number in range(HOSTS + TARGETS):
        world.store.write(f"item/{number}", b"x" * 200)
    world.store.save()
    await world.start()
    for number in range(24):
        world.store.write(f"item/{number}", b"y" * 200)
    await asyncio.sleep(3.0)
    sent_before = sum(world.network.sent_bytes.values())
    news_before = world.network.calls[UPDATES_PATH]
    lists_before = world.store.calls.count("list")
    world.store.restore(0.0)
    await asyncio.sleep(5.0)
    assert all(one.values() == world.values() for one in world.hosts.values())
    assert world.store.calls.count("list") - lists_before == 2
    sent = (sum(world.network.sent_bytes.values()) - sent_before) / HOSTS_OF_ZONE
    news = (world.network.calls[UPDATES_PATH] - news_before) / HOSTS_OF_ZONE
    print(f"{sent:.0f} bytes and {news:.1f} update requests a host in 5 s")
    assert sent < 10_000
    assert news < 6
    world.stop()


@in_virtual_time
async def test_store_restored_after_an_outage_is_read_by_relays_only() -> None:
    """Guards against all hosts that read the whole store as it comes back: while it
    fails they leave their relays and watch the store themselves."""
    names = [f"h{number}" for number in range(HOSTS_OF_ZONE)]
    world = EpochWorld(names, relays=["h0", "h1"])
    world.store.save()
    await world.start()
    world.store.declining |= set(names)
    await asyncio.sleep(8.0)
    lists_before = world.store.calls.count("list")
    world.store.restore(0.0)
    world.store.write("x", b"after")
    world.store.declining.clear()
    await asyncio.sleep(5.0)
    assert world.store.calls.count("list") - lists_before == 2
    assert all(one.values() == world.values() for one in world.hosts.values())
    world.stop()


@in_virtual_time
async def test_nothing_else_is_sent_while_the_epoch_is_0() -> None:
    """Guards against messages that hosts of earlier deployments do not know."""
    world = EpochWorld(["h1", "h2"], relays=["h1"])
    world.configure(1, ["key"])
    world.store.write("x", b"1")
    await world.start()
    body = {"after": 0, "version": 0, "hold_ms": 0}
    news = await world.hosts["h1"].routes.handlers[UPDATES_PATH](body)
    assert sorted(news) == ["a", "at", "items", "keys", "reached", "version"]
    assert news["at"] == world.store.revision
    assert news["items"][0][:2] == ["x", world.store.revision]
    assert sorted(await world.hosts["h1"].answer_beat({})) == ["a", "v"]
    world.stop()


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from("abcd"), st.integers(0, 2)),
        st.tuples(st.just("delete"), st.sampled_from("abcd"), st.just(0)),
        st.tuples(st.just("save"), st.just(""), st.just(0)),
        st.tuples(st.just("restore"), st.just(""), st.integers(0, 2)),
        st.tuples(st.just("hold"), st.sampled_from(["h1", "h2", "h3"]), st.just(0)),
        st.tuples(st.just("silence"), st.sampled_from(["h1", "h2"]), st.just(0)),
        st.tuples(st.just("relays"), st.sampled_from(["h1", "h2", "h3"]), st.just(0)),
        st.tuples(st.just("wait"), st.just(""), st.integers(1, 20)),
    ),
    max_size=25,
)


def act(world: EpochWorld, action: str, name: str, number: int) -> None:
    """Apply one step of a random sequence; `wait` is the caller's."""
    store = world.store
    if action == "write":
        store.write(name, b"%d" % number)
    elif action == "delete" and name in store.items:
        store.write(name, None)
    elif action == "save":
        store.save()
    elif action == "restore":
        store.restore(store_age(world, number))
    elif action == "hold":
        store.held[name] = 0.0 if store.held.get(name) else 0.7
    elif action == "silence":
        store.silent ^= {name}
    elif action == "relays":
        world.relays = sorted(set(world.relays) ^ {name}) or [name]


def store_age(world: EpochWorld, back: int) -> float:
    """Return the age of one of the last copies."""
    copies = world.store.copies
    copy = copies[max(len(copies) - 1 - back, 0)]
    return asyncio.get_running_loop().time() - copy.saved_at


@given(ACTIONS, st.integers(0, 2**16))
@settings(max_examples=60, deadline=None)
def test_hosts_converge_to_the_restored_store(
    actions: list[tuple[str, str, int]], seed: int
) -> None:
    """Guards against any item that stays at a host and that the store does not hold,
    whatever writes, restores, late answers and changes of relays come before."""
    converge(actions, seed)


@in_virtual_time
async def converge(actions: list[tuple[str, str, int]], seed: int) -> None:
    """Run a sequence, then compare what hosts hold with the store."""
    world = EpochWorld(["h1", "h2", "h3", "h4"], relays=["h1", "h2"], seed=seed)
    world.store.write("a", b"0")
    world.store.save()
    await world.start()
    for action, name, number in actions:
        if action == "wait":
            await asyncio.sleep(number / 10.0)
        else:
            act(world, action, name, number)
    world.store.held.clear()
    world.store.silent.clear()
    await world.settle()
    for host in world.hosts.values():
        assert host.epoch.current == world.store.epoch, host.ref.host
        assert host.values() == world.values(), host.ref.host
        assert host.announcements.mirror.revision == world.store.at()
    world.stop()


@in_virtual_time
async def test_session_hosts_follow_a_restored_store() -> None:
    """Guards against parts of a host that are not connected to the epoch."""
    world = SessionWorld()
    await world.start()
    await asyncio.sleep(2.0)
    world.store.save()
    world.store.write("t/lost", b"{}")
    rates = {name: host.rate_owner.buckets for name, host in world.hosts.items()}
    leases = {name: host.registration.lease for name, host in world.hosts.items()}
    await asyncio.sleep(3.0)
    world.store.restore(0.0)
    await asyncio.sleep(10.0)
    stored = {key: item.value for key, item in world.store.items.items()}
    stored.pop(TABLE_KEY)
    for name, host in world.hosts.items():
        assert host.keyspace.epoch.current == 1
        assert host.metrics.counters["store.epochs"] == 1
        mirror = host.announcements.mirror
        assert {key: item.value for key, item in mirror.items.items()} == stored
        assert host.registration.lease_epoch == 1
        assert host.registration.lease != leases[name]
        assert host.rate_owner.buckets is rates[name]
        assert host.freshness.age() < 5.0
    assert not world.network.failures
    for name in list(world.hosts):
        await world.kill(name)
