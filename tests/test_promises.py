"""One test or more for each of the nine promises, named for it.

docs/design/proofs.md lists which other tests and traces go with each, and the
faults put into the code that each of them was seen to notice.
"""

import asyncio
from typing import Any

import pytest
from hypothesis import example, given, settings, strategies as st

from reedhook.connection.targethome import TargetHome
from reedhook.process.host import Host
from reedhook.process.hostlist import ListedKind, ListedState
from reedhook.process.peer import PeerError
from reedhook.request.position import Position
from reedhook.request.refusal import Reason, Refusal, may_have_run
from reedhook.request.statement import Consistency, Kind, Statement
from reedhook.request.token import SessionToken, TokenCodec
from reedhook.request.verdict import Verdict
from reedhook.wire import Json

from .cluster_group import Cluster, values
from .fakes_clock import in_virtual_time, run_virtual
from .fakes_request import World, read, write
from .fakes_target import Break, FakeTarget
from .home_support import home_at, outcome_of, statement
from .support import using
from .test_peer_http import Both, calling_a_listener
from .trace_replay import Replay
from .trace_world import GROUP, TraceWorld

ZONES = {"vittoria": 2, "comiso": 2, "ragusa-office": 2}
MEMBERS = {"m1": "vittoria", "m2": "comiso", "m3": "ragusa-office"}
SCENE = {"seed": 1, "zones": ZONES, "members": MEMBERS}

zones = st.sampled_from(sorted(ZONES))
members = st.sampled_from(sorted(MEMBERS))
points = st.sampled_from([None, None, Break.BEFORE_EFFECT, Break.AFTER_EFFECT])


def at(*moments: float) -> st.SearchStrategy[float]:
    return st.sampled_from(moments)


# A session has read-your-writes


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 1), at(0.0, 0.01, 0.3)), max_size=12
    ),
    st.tuples(at(0.0, 0.005, 0.2, 5.0), at(0.0, 0.02, 5.0)),
    st.integers(0, 12),
)
@settings(max_examples=25)
@in_virtual_time
async def test_a_session_reads_its_writes_after_roaming(
    steps: list[tuple[bool, int, float]], lags: tuple[float, float], moved: int
) -> None:
    codecs = [TokenCodec([b"a secret of the cluster"]) for _ in range(2)]
    world = World(lag=0.05)
    world.model.proves = False
    world.model.lags.update(zip(("g1-z2", "g1-z3"), lags))
    token = codecs[0].encode(SessionToken("gate", "feedlog-db"))
    seen = Position(0, 0)
    for number, (writes, entry, pause) in enumerate(steps):
        if number == moved:
            world.model.promote("g1-z2")
        known = codecs[entry].decode(token, "gate", "feedlog-db")
        covers = known.positions.get("g1")
        asked = write(f"{number}-id") if writes else read(covers=covers)
        served = await world.run(asked, entry)
        assert served.answer.position >= seen
        seen = max(seen, served.answer.position)
        token = codecs[entry].encode(known.advanced("g1", served.answer.position))
        await asyncio.sleep(pause)
    await world.close()


def test_a_session_reads_its_writes_at_the_home_of_a_replica_that_lags() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        cluster.truth.members["m2"].lag = 0.04
        for number in range(20):
            position = await cluster.write("m1", f"ticket {number}")
            await asyncio.sleep(0.001 * number)
            try:
                served = await cluster.read("m2", Consistency.SESSION, position)
            except Refusal as refusal:
                assert refusal.verdict is Verdict.NOT_RUN
                continue
            assert f"ticket {number}" in values(served)
        await cluster.stop()

    run_virtual(main())


# No write is acknowledged by a superseded primary


@given(
    st.integers(0, 100),
    at(0.0, 0.1, 0.5, 0.9),
    st.booleans(),
    st.lists(at(0.0, 0.05, 0.2, 0.35, 0.5, 0.8, 1.1, 1.6), min_size=1, max_size=6),
)
@settings(max_examples=15)
def test_no_write_is_acknowledged_by_a_superseded_primary(
    seed: int, healed: float, paused: bool, moments: list[float]
) -> None:
    """Write at the former primary at any moment around a change of primary."""

    async def main() -> None:
        cluster = Cluster(seed)
        await cluster.start()
        told: list[tuple[str, Position]] = []

        async def try_write(after: float, member: str, name: str) -> None:
            await asyncio.sleep(after)
            try:
                position = await cluster.write(member, name, 1.5, name)
            except Refusal:
                return
            later = [one for _, one in told if one.term > position.term]
            assert later == [], f"{name} was acknowledged after {later}"
            told.append((name, position))

        if paused:
            cluster.network.pause("m1a")
        cluster.cut_zone("m1")
        tries = [
            asyncio.create_task(try_write(after, member, f"{member} {number}"))
            for number, after in enumerate(moments)
            for member in cluster.truth.members
        ]
        await asyncio.sleep(healed)
        cluster.heal()
        await asyncio.sleep(1.0)
        cluster.network.resume("m1a")
        await asyncio.gather(*tries)
        await cluster.until_writable()
        leader = cluster.truth.members[cluster.leader()]
        held = [entry.value for entry in leader.log]
        for name, _ in told:
            assert held.count(name) == 1
        await cluster.stop()

    run_virtual(main())


# Statements of different transactions never mix on one connection


@given(
    st.lists(
        st.tuples(at(0.0, 0.01, 0.05), at(0.0, 0.01, 0.2)), min_size=2, max_size=9
    ),
    st.lists(points, max_size=12),
    st.booleans(),
)
@settings(max_examples=30)
@in_virtual_time
async def test_statements_of_different_transactions_never_share_a_connection(
    plans: list[tuple[float, float]], breaks: list[Break | None], abrupt: bool
) -> None:
    target = FakeTarget(service=0.01)
    target.breaks, target.abrupt = list(breaks), abrupt

    async def go(home: TargetHome, name: str, plan: tuple[float, float]) -> None:
        await asyncio.sleep(plan[0])
        for kind, sql in [
            (Kind.BEGIN, "begin"),
            (Kind.STEP, f"{name}:1"),
            (Kind.STEP, f"{name}:2"),
            (Kind.COMMIT, "commit"),
        ]:
            await outcome_of(home.run(statement(kind, sql, 0.5, transaction=name)))
            await outcome_of(home.run(statement(Kind.READ, f"{name} view", 0.5)))
            await asyncio.sleep(plan[1])

    async with home_at(target) as home:
        works = [go(home, f"t{n}", plan) for n, plan in enumerate(plans)]
        await asyncio.gather(*works)
    assert target.faults == []
    for texts in target.commits:
        assert len({text.split(":")[0] for text in texts}) <= 1


# A caller gets the whole answer to its own request


@using(calling_a_listener)
async def test_a_caller_gets_its_own_whole_answer_late_or_out_of_order(
    both: Both,
) -> None:
    peers, listener = both
    arrived: list[int] = []
    gates = {mark: asyncio.Event() for mark in range(40)}

    async def echo(body: Json) -> Json:
        mark = body["mark"]
        arrived.append(mark)
        await gates[mark].wait()
        return answer_to(mark)

    def answer_to(mark: int) -> Json:
        return {"mark": mark, "rows": [mark] * (1 + mark % 3 * 20_000)}

    async def ask(mark: int, timeout: float) -> Json | None:
        try:
            return await peers.call(listener.ref, "echo", {"mark": mark}, timeout)
        except PeerError:
            return None

    listener.routes.add("echo", echo)
    given_up = await asyncio.gather(*(ask(mark, 0.1) for mark in range(20)))
    assert given_up == [None] * 20
    asking = [asyncio.create_task(ask(mark, 30.0)) for mark in range(20, 40)]
    while not set(range(20, 40)) <= set(arrived):
        await asyncio.sleep(0.001)
    for mark in reversed(range(40)):
        gates[mark].set()
        await asyncio.sleep(0)
    answers = await asyncio.gather(*asking)
    assert answers == [answer_to(mark) for mark in range(20, 40)]


def test_a_caller_gets_its_own_whole_answer_from_a_target_that_answers_late() -> None:
    async def main() -> None:
        world = TraceWorld(ZONES, MEMBERS, 3)
        await world.start()
        server = world.servers["m1"]
        server.service = 0.15

        async def ask(number: int) -> None:
            body: Json = {"group": GROUP, "sql": f"mark {number}"}
            body.update(consistency="fresh", deadline_ms=200 + 37 * number)
            host = list(world.hosts)[number % len(world.hosts)]
            answer = await world.call(host, "read", body)
            if answer["verdict"] == "done":
                assert answer["columns"] == [f"mark {number}"]
                answered.append(number)

        answered: list[int] = []
        await asyncio.gather(*(ask(number) for number in range(24)))
        server.service = 0.002
        await asyncio.gather(*(ask(number) for number in range(24, 48)))
        assert 10 <= len(answered) < 48
        assert server.faults == []
        await world.stop()

    run_virtual(main())


# "Not run" is true, and what may not be repeated runs at most once


def check_truth(target: FakeTarget, told: dict[str, list[Verdict]]) -> None:
    """Hold the verdicts on each row against how often it ran."""
    for row, verdicts in told.items():
        assert target.ran[row] <= 1
        if set(verdicts) == {Verdict.NOT_RUN}:
            assert target.ran[row] == 0
        if Verdict.DONE in verdicts:
            assert target.ran[row] == 1


faulty = st.fixed_dictionaries(
    {
        "breaks": st.lists(points, max_size=10),
        "abrupt": st.booleans(),
        "remaining": st.lists(at(0.005, 0.02, 0.3, 2.0), min_size=1, max_size=8),
        "died": st.one_of(st.none(), at(0.0, 0.02, 0.1)),
        "fenced": st.one_of(st.none(), at(0.02, 0.025, 0.1, 0.25)),
        "identified": st.booleans(),
    }
)


# The second attempt is refused after the first took effect without an answer.
REFUSED_AGAIN = {
    "breaks": [Break.AFTER_EFFECT],
    "abrupt": True,
    "remaining": [2.0],
    "died": None,
    "fenced": 0.025,
    "identified": True,
}


@given(faulty)
@example(REFUSED_AGAIN)
@settings(max_examples=40)
def test_not_run_means_no_effect(plan: dict[str, Any]) -> None:
    check_truth(*writes_under(plan, plan["identified"], again=False))


@given(faulty)
@settings(max_examples=40)
def test_a_request_that_may_not_be_repeated_runs_at_most_once(
    plan: dict[str, Any],
) -> None:
    check_truth(*writes_under(plan, identified=True, again=True))


def writes_under(
    plan: dict[str, Any], identified: bool, again: bool
) -> tuple[FakeTarget, dict[str, list[Verdict]]]:
    """Write rows under faults, with an id or without, perhaps again."""
    target = FakeTarget(service=0.01)
    target.breaks, target.abrupt = list(plan["breaks"]), plan["abrupt"]
    told: dict[str, list[Verdict]] = {}

    async def send(home: TargetHome, row: str, remaining: float) -> None:
        request_id = row if identified else None
        one = statement(Kind.WRITE, row, remaining, request_id=request_id)
        ended = await outcome_of(home.run(one))
        verdict = ended.verdict if isinstance(ended, Refusal) else Verdict.DONE
        told.setdefault(row, []).append(verdict)

    async def die() -> None:
        if plan["died"] is not None:
            await asyncio.sleep(plan["died"])
            target.dead = True
            await asyncio.sleep(0.5)
            target.dead = False

    async def be_fenced() -> None:
        if plan["fenced"] is not None:
            await asyncio.sleep(plan["fenced"])
            target.refusal = "not_primary"
            await asyncio.sleep(0.5)
            target.refusal = None

    async def main() -> None:
        async with home_at(target) as home:
            rows = [(f"row {n}", left) for n, left in enumerate(plan["remaining"])]
            await asyncio.gather(
                die(), be_fenced(), *(send(home, *row) for row in rows)
            )
            if again:
                await asyncio.sleep(1.0)
                await asyncio.gather(*(send(home, row, 2.0) for row, _ in rows))
            await asyncio.sleep(3.0)

    run_virtual(main())
    return target, told


@given(st.lists(st.tuples(st.integers(0, 1), at(0.0, 0.3)), min_size=2, max_size=5))
@settings(max_examples=15)
@in_virtual_time
async def test_a_request_that_may_not_be_repeated_runs_at_most_once_through_two_hosts(
    tries: list[tuple[int, float]],
) -> None:
    world = World()
    await world.warm()
    world.network.cut("h1", "e1")

    async def send(entry: int, after: float) -> None:
        await asyncio.sleep(after)
        try:
            await world.run(write("0-pay", 0.6), entry)
        except Refusal as refusal:
            assert refusal.verdict is Verdict.MAY_HAVE_RUN

    await asyncio.gather(*(send(*one) for one in tries))
    assert world.model.ran["0-pay"] == 1
    await world.close()


def test_a_write_without_an_id_that_may_have_run_is_not_sent_again() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        doubt = may_have_run(Reason.HOST_UNREACHABLE, "the hop broke", 50)
        world.model.refuse(Kind.WRITE, doubt)
        once = Statement(Kind.WRITE, "g1", "gate", "pay", [], 2.0)
        with pytest.raises(Refusal) as refused:
            await world.entries[0].router.run(world.model.group, once, False)
        assert refused.value.verdict is Verdict.MAY_HAVE_RUN
        await asyncio.sleep(2.0)
        assert world.model.ran["pay"] == 0
        await world.close()

    run_virtual(main())


# Generated traces: all promises to callers at once, at whole hosts


faults = st.one_of(
    st.fixed_dictionaries({"do": st.just("cut"), "zone": zones}),
    st.fixed_dictionaries({"do": st.just("silence"), "member": members}),
    st.fixed_dictionaries({"do": st.just("pause"), "host": zones}),
    st.fixed_dictionaries(
        {"do": st.just("lose_answers"), "member": members, "count": st.just(2)}
    ),
    st.fixed_dictionaries({"do": st.just("kill"), "member": members}),
    st.fixed_dictionaries({"do": st.just("store"), "up": st.just(False)}),
)


@given(
    st.lists(st.tuples(at(0.1, 0.4, 0.41, 0.9, 1.3), faults), min_size=2, max_size=4)
)
@settings(max_examples=5)
def test_callers_are_told_the_truth_under_any_faults_together(
    drawn: list[tuple[float, dict[str, Any]]],
) -> None:
    through = sorted(ZONES)
    calls = {"at": 0.0, "until": 2.0, "through": through, "every": 0.1}
    events: list[dict[str, Any]] = [
        {**calls, "do": "work", "name": "gate"},
        {**calls, "do": "reads", "name": "dose", "consistency": "fresh"},
        {**calls, "do": "reads", "name": "mix", "consistency": "max_age", "age": 900},
    ]
    events += [{"at": moment, **fault} for moment, fault in sorted(drawn, key=str)]
    events += [{"at": 2.0, "do": "revive", "member": name} for name in MEMBERS]
    events += [{"at": 2.0, "do": "heal"}, {"at": 2.0, "do": "resume_all"}]
    outcome = {"all_done": ["gate"], "same_logs": sorted(MEMBERS)}
    run_virtual(Replay({"scene": SCENE, "events": events, "outcome": outcome}).run())


# A leaving target receives no new work after a few seconds


def test_a_leaving_target_gets_no_new_work() -> None:
    async def main() -> None:
        world = TraceWorld(ZONES, MEMBERS, 2)
        await world.start()
        for name in ("m2", "m3"):
            world.list_as(name, MEMBERS[name], ListedState.LEAVING, ListedKind.TARGET)
        await asyncio.sleep(3.0)
        before = world.servers["m2"].served, world.servers["m3"].served
        for number in range(60):
            host = list(world.hosts)[number % len(world.hosts)]
            body = {"group": GROUP, "sql": "queue", "consistency": "session"}
            answer = await world.call(host, "read", body)
            assert answer["verdict"] == "done"
            assert answer["target"] == "m1"
        assert (world.servers["m2"].served, world.servers["m3"].served) == before
        await world.stop()

    run_virtual(main())


# Each planned stop is a graceful shutdown


@pytest.mark.parametrize("consistency", ["session", "fresh"])
def test_a_planned_stop_cuts_no_request(consistency: str) -> None:
    """Stop a host that is entry and home, or entry to a home elsewhere."""

    async def main() -> None:
        world = TraceWorld(ZONES, MEMBERS, 4)
        await world.start()
        stopped = world.home("m1" if consistency == "session" else "m2")
        for server in world.servers.values():
            server.service = 0.3

        async def ask(number: int) -> Json:
            body = {"group": GROUP, "sql": f"q{number}", "consistency": consistency}
            return await world.call(stopped, "read", {**body, "deadline_ms": 9000})

        before = [asyncio.create_task(ask(number)) for number in range(20)]
        await asyncio.sleep(0.01)
        await world.hosts[stopped].drain()
        assert all(task.done() for task in before)
        assert {task.result()["verdict"] for task in before} == {"done"}
        after = await ask(99)
        assert (after["verdict"], after["reason"]) == ("not run", "draining")
        assert stopped not in {world.home(member) for member in MEMBERS}
        await world.stop()

    run_virtual(main())


# An accepted configuration is in force everywhere within seconds


@in_virtual_time
async def test_an_accepted_configuration_is_in_force_everywhere_and_never_reverts() -> (
    None
):
    def note(host: Host) -> list[int]:
        versions: list[int] = []
        host.configuration.on_change(lambda one: versions.append(one.version))
        return versions

    world = TraceWorld(ZONES, MEMBERS, 5)
    await world.start()
    seen = [note(host) for host in world.hosts.values()]
    hosts = list(world.hosts.values())
    await hosts[0].editor.apply(world.documents(), 1, "ana", "b", "edit-2")
    await asyncio.sleep(2.0)
    assert {host.configuration.version for host in hosts} == {2}
    world.cut_zones(["comiso"])
    await hosts[0].editor.apply(world.documents(), 2, "ana", "c", "edit-3")
    world.store.down = True
    await asyncio.sleep(2.0)
    world.heal()
    for store in world.stores.values():
        store.stale = lambda key: 1
    world.store.down = False
    await asyncio.sleep(5.0)
    assert {host.configuration.version for host in hosts} == {3}
    assert all(versions == [1, 2, 3] for versions in seen)
    await world.stop()
