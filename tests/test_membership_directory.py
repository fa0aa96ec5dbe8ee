"""Guard against homes that differ between hosts, and against exceeded quotas."""

import random

from hypothesis import given, strategies as st

from reedhook.peer import HostRef
from reedhook.process.fleet.membership_directory import MembershipDirectory
from reedhook.process.fleet.membership_record import HostRecord, MembershipState
from reedhook.process.fleet.membership_table import MembershipTable
from reedhook.process.fleet.rendezvous import connection_quota, ranked_hosts

ZONES = ("a", "b", "c")
TARGETS = tuple((f"t{number}", zone) for number in range(8) for zone in ZONES)

connections = st.integers(1, 200)
sizes = st.tuples(st.integers(0, 5), st.integers(0, 5), st.integers(1, 5))
states = st.sampled_from(list(MembershipState))
seeds = st.integers(0, 1000)


def hosts_of(counts: tuple[int, ...]) -> list[HostRef]:
    """Return `counts[i]` hosts in the i-th zone."""
    return [
        HostRef(f"{zone}-{number}", zone, f"10.0.{index}.1:{number + 1}")
        for index, zone in enumerate(ZONES)
        for number in range(counts[index])
    ]


def table_of(records: list[HostRecord]) -> MembershipTable:
    """Return a table of records, each applied after a live record of its host."""
    table = MembershipTable()
    for record in records:
        live = HostRecord(record.ref, record.incarnation, penalty=record.penalty)
        table.apply(live, 0.0)
        table.apply(record, 0.0)
    return table


def random_records(seed: int, refs: list[HostRef]) -> list[HostRecord]:
    """Return a record in a random state for each host."""
    rng = random.Random(seed)
    return [
        HostRecord(ref, 10, rng.choice(list(MembershipState)), rng.choice([0, 0, 0, 2]))
        for ref in refs
    ]


@given(connections, st.sets(st.integers(0, 300)))
def test_quotas_of_any_ranks_fit_the_connection_limit(
    count: int, ranks: set[int]
) -> None:
    assert sum(connection_quota(count, rank) for rank in ranks) <= count
    assert connection_quota(count, 0) >= 1


@given(connections)
def test_quotas_decrease_with_the_rank(count: int) -> None:
    quotas = [connection_quota(count, rank) for rank in range(8)]
    assert quotas == sorted(quotas, reverse=True)
    if count >= 10:
        assert quotas[0] == int(count * 0.47)
        assert quotas[1] == int(count * 0.27)


@given(connections.filter(lambda count: count >= 3))
def test_two_hosts_that_both_act_as_home_fit_the_connection_limit(count: int) -> None:
    assert 2 * connection_quota(count, 0) <= count


@given(sizes, st.lists(seeds, min_size=1, max_size=6), connections)
def test_homes_of_diverging_views_fit_the_connection_limit(
    counts: tuple[int, ...], views: list[int], count: int
) -> None:
    refs = hosts_of(counts)
    for member, zone in TARGETS:
        assigned: dict[str, int] = {}
        for seed in views:
            table = table_of(random_records(seed, refs))
            directory = MembershipDirectory(refs[0], table)
            home = directory.home(member, zone)
            if home is None:
                continue
            rank = directory.rank_of(member, zone, home.host)
            assert rank is not None
            assigned[home.host] = connection_quota(count, rank)
        assert sum(assigned.values()) <= count


@given(sizes, seeds, seeds)
def test_equal_tables_select_equal_homes_in_any_order(
    counts: tuple[int, ...], seed: int, order: int
) -> None:
    records = random_records(seed, hosts_of(counts))
    shuffled = records[:]
    random.Random(order).shuffle(shuffled)
    table, other_table = table_of(records), table_of(shuffled)
    assert table.digest() == other_table.digest()
    assert table.buckets == other_table.buckets
    directory = MembershipDirectory(records[0].ref, table)
    other_directory = MembershipDirectory(records[-1].ref, other_table)
    for member, zone in TARGETS:
        assert directory.ranked(member, zone) == other_directory.ranked(member, zone)
        first = directory.ranked(member, zone)[:1]
        home = directory.home(member, zone)
        assert first == ([] if home is None else [home])


@given(sizes, seeds)
def test_home_is_live_in_the_zone_and_without_penalty_if_possible(
    counts: tuple[int, ...], seed: int
) -> None:
    records = random_records(seed, hosts_of(counts))
    live = {record.ref: record.penalty for record in records if record.live}
    directory = MembershipDirectory(records[0].ref, table_of(records))
    for member, zone in TARGETS:
        home = directory.home(member, zone)
        if not live:
            assert home is None
            continue
        assert home is not None
        in_zone = {ref: value for ref, value in live.items() if ref.zone == zone}
        candidates = in_zone or live
        assert home in candidates
        assert candidates[home] == 0 or all(candidates.values())


@given(sizes, seeds)
def test_successor_becomes_the_home_after_this_host_leaves(
    counts: tuple[int, ...], seed: int
) -> None:
    records = random_records(seed, hosts_of(counts))
    me = records[0].ref
    before = MembershipDirectory(me, table_of(records))
    records[0] = HostRecord(me, 11, MembershipState.LEAVING)
    after = MembershipDirectory(me, table_of(records))
    for member, zone in TARGETS:
        assert before.successor(member, zone) == after.home(member, zone)


def test_removed_host_moves_only_its_own_targets() -> None:
    hosts = [f"host-{number}" for number in range(20)]
    keys = [f"target-{number}" for number in range(500)]
    before = {key: ranked_hosts(key, hosts) for key in keys}
    after = {key: ranked_hosts(key, hosts[1:])[0] for key in keys}
    for key in keys:
        first, second = before[key][:2]
        assert after[key] == (second if first == "host-0" else first)


@given(sizes, seeds, seeds)
def test_tables_converge_in_any_order_of_updates_and_repeats(
    counts: tuple[int, ...], seed: int, order: int
) -> None:
    """Guard against merges that depend on the path a record takes."""
    rng = random.Random(seed)
    refs = hosts_of(counts)
    records = [HostRecord(ref, 0) for ref in refs]
    updates = [
        HostRecord(
            rng.choice(refs), rng.randrange(3), rng.choice(list(MembershipState))
        )
        for _ in range(20)
    ]
    tables = []
    for shuffler in (random.Random(order), random.Random(order + 1)):
        table = table_of(records)
        sequence = updates + updates[:5]
        shuffler.shuffle(sequence)
        for record in sequence:
            table.apply(record, 1.0)
        tables.append(table)
    assert tables[0].records == tables[1].records
    assert tables[0].buckets == tables[1].buckets
    assert tables[0].not_live_hosts == tables[1].not_live_hosts
