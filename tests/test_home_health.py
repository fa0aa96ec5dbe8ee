"""Half-open connections, dead and slow targets, and the reported state."""

import asyncio

from reedhook.connection.target import Role, TargetError
from reedhook.connection.target_home import TargetHome
from reedhook.process.events.timeline import EventKind
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalReason
from reedhook.request.statement import Statement, StatementKind
from reedhook.request.verdict import Verdict

from .fakes_clock import in_virtual_time
from .fakes_target import FakeTarget
from .home_support import home_at, kinds, refusal_of, statement, timed

DETECTION_SECONDS = 0.31
"""Seconds: duration and margin of the state poll, then the probe window."""

REPLICA_DETECTION_SECONDS = 0.61
"""The same for a replica, whose state poll takes longer."""


async def warm_up(home: TargetHome) -> None:
    """Open connections and receive the state."""
    await home.run(statement(StatementKind.READ))
    await asyncio.sleep(0.5)


@in_virtual_time
async def test_read_on_a_silent_connection_is_retried_on_a_new_one() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        target.silence_all()
        result, seconds = await timed(home.run(statement(StatementKind.READ)))
        assert result.rows == [[1]]
        assert seconds < 0.3
        assert EventKind.CONNECTION_SILENT in kinds(home)
        assert home.unreachable_since is None
    assert target.faults == []


@in_virtual_time
async def test_write_with_an_id_on_a_silent_connection_runs_once() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        target.silence_all()
        write = statement(StatementKind.WRITE, "ticket", request_id="r1")
        result = await home.run(write)
        assert not result.repeated
        assert target.ran["ticket"] == 1


@in_virtual_time
async def test_unanswered_write_without_an_id_may_have_run() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        write = statement(StatementKind.WRITE, "ticket", remaining=5.0)
        await home.run(write)
        await warm_up(home)
        target.silence_all()
        refusal, seconds = await timed(refusal_of(home.run(write)))
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert refusal.reason is RefusalReason.TARGET_LOST
        assert seconds < 1.1
        assert home.unreachable_since is None


@in_virtual_time
async def test_a_dead_target_is_known_without_traffic() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        target.dead = True
        await asyncio.sleep(DETECTION_SECONDS)
        assert home.unreachable_since is not None
        refusal, seconds = await timed(
            refusal_of(home.run(statement(StatementKind.WRITE)))
        )
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.reason is RefusalReason.TARGET_UNREACHABLE
        assert refusal.retry_after_ms is not None
        assert seconds == 0.0
        target.dead = False
        await asyncio.sleep(1.3)
        assert home.unreachable_since is None
        await home.run(statement(StatementKind.READ))


@in_virtual_time
async def test_replica_is_polled_rarely_but_reports_changes_at_once() -> None:
    target = FakeTarget(role=Role.REPLICA)
    async with home_at(target) as home:
        await warm_up(home)
        before = target.state_questions
        await asyncio.sleep(4.0)
        assert 8 <= target.state_questions - before <= 10
        target.change(role=Role.PRIMARY)
        await asyncio.sleep(0.01)
        assert home.state is not None and home.state.role is Role.PRIMARY
        target.dead = True
        await asyncio.sleep(DETECTION_SECONDS)
        assert home.unreachable_since is not None


@in_virtual_time
async def test_dead_replica_is_detected_without_traffic() -> None:
    target = FakeTarget(role=Role.REPLICA)
    async with home_at(target) as home:
        await warm_up(home)
        target.dead = True
        await asyncio.sleep(REPLICA_DETECTION_SECONDS)
        assert home.unreachable_since is not None


@in_virtual_time
async def test_target_that_dies_just_after_a_probe_is_detected_at_once() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        target.silence_all()
        await home.run(statement(StatementKind.READ))
        await asyncio.sleep(0.02)
        events = len(home.timeline.events)
        target.refusing = True
        target.hang_up_all()
        await asyncio.sleep(0.02)
        assert home.unreachable_since is not None
        assert len(home.timeline.events) - events <= 1


@in_virtual_time
async def test_dead_target_stays_unreachable_while_its_connections_close() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        connections = [await home.pool.open_control(1.0) for _ in range(5)]
        target.dead = True
        await asyncio.sleep(1.0)
        since = home.unreachable_since
        assert since is not None
        target.close_delay = 0.9
        home.pool.share = home.pool.open
        for connection in connections:
            home.pool.discard(connection)
        assert not await home.health.probe_now()
        assert home.unreachable_since == since


@in_virtual_time
async def test_target_that_returns_after_an_hour_is_detected() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        target.dead = True
        await asyncio.sleep(3600.0)
        assert home.unreachable_since is not None
        target.dead = False
        await asyncio.sleep(1.5)
        assert home.unreachable_since is None
        await home.run(statement(StatementKind.READ))


@in_virtual_time
async def test_dead_target_ends_statements_in_progress_at_once() -> None:
    target = FakeTarget(service=0.2)
    async with home_at(target) as home:
        await warm_up(home)
        write = asyncio.create_task(
            refusal_of(home.run(statement(StatementKind.WRITE)))
        )
        read = asyncio.create_task(refusal_of(home.run(statement(StatementKind.READ))))
        await asyncio.sleep(0.05)
        target.dead = True
        (written, seconds), was_read = await asyncio.gather(timed(write), read)
        assert written.verdict is Verdict.MAY_HAVE_RUN
        assert was_read.verdict is Verdict.NOT_RUN
        assert seconds <= DETECTION_SECONDS


@in_virtual_time
async def test_refused_connection_is_detected_sooner_than_a_silent_one() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        target.refusing = True
        target.silence_all()
        await asyncio.sleep(0.16)
        assert home.unreachable_since is not None


@in_virtual_time
async def test_slow_target_stays_reachable() -> None:
    target = FakeTarget(service=1.5)
    async with home_at(target) as home:
        await asyncio.sleep(0.1)
        write = statement(StatementKind.WRITE, "slow", remaining=5.0, request_id="r1")
        await home.run(write)
        assert home.unreachable_since is None
        assert target.ran["slow"] == 1


@in_virtual_time
async def test_stalled_writes_of_a_live_target_are_reported_and_run_once() -> None:
    target = FakeTarget()

    def ticket(number: int) -> Statement:
        return statement(
            StatementKind.WRITE, f"ticket {number}", 2.5, request_id=f"{number}"
        )

    async with home_at(target) as home:
        await warm_up(home)
        target.service_of = lambda sql: 60.0 if sql.startswith("ticket") else 0.002
        writes = [refusal_of(home.run(ticket(number))) for number in range(6)]
        refusals = await asyncio.gather(*writes)
        assert home.unreachable_since is None
        sent = {text for texts in target.used.values() for text in texts}
        ran = [refusal.verdict is Verdict.MAY_HAVE_RUN for refusal in refusals]
        assert ran == [f"ticket {number}" in sent for number in range(6)]
        assert set(ran) == {True, False}
        assert kinds(home).count(EventKind.WRITES_STALLED) == 1
        target.service_of = None
        await asyncio.sleep(200.0)
        for number in range(6):
            await home.run(ticket(number))
        assert {target.ran[f"ticket {number}"] for number in range(6)} == {1}
        assert kinds(home).count(EventKind.WRITES_ANSWERED) == 1


@in_virtual_time
async def test_statement_known_to_be_slow_is_run_once() -> None:
    target = FakeTarget(service=0.6)
    async with home_at(target) as home:
        await home.run(statement(StatementKind.READ, "report", remaining=5.0))
        texts_before = sum(target.used.values(), []).count("report")
        await home.run(statement(StatementKind.READ, "report", remaining=5.0))
        texts = sum(target.used.values(), []).count("report")
        assert texts - texts_before == 1


@in_virtual_time
async def test_idle_connections_are_verified_after_one_went_silent() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        reads = [home.run(statement(StatementKind.READ)) for _ in range(6)]
        await asyncio.gather(*reads)
        target.silence_all()
        await home.run(statement(StatementKind.READ))
        await asyncio.sleep(0.6)
        _, seconds = await timed(home.run(statement(StatementKind.READ)))
        assert seconds < 0.02
        assert all(not one.silent for one in target.connections)


@in_virtual_time
async def test_state_change_wakes_its_waiters() -> None:
    target = FakeTarget(role=Role.REPLICA)
    async with home_at(target) as home:
        await warm_up(home)
        assert home.state is not None
        known = home.state.revision
        waiting = asyncio.create_task(timed(home.wait_for_state_change(known, 5.0)))
        await asyncio.sleep(0.3)
        target.change(applied=Position(1, 7), held=Position(1, 7))
        _, seconds = await waiting
        assert seconds < 0.35
        assert home.state.applied == Position(1, 7)


@in_virtual_time
async def test_older_state_does_not_replace_a_newer_one() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        old_state = target.state_now()
        requested_at = home.clock.monotonic()
        target.append()
        await asyncio.sleep(0.05)
        home.merge_state(old_state, requested_at)
        assert home.state is not None
        assert home.state.applied == Position(1, 1)


@in_virtual_time
async def test_lower_revision_of_a_restarted_target_is_accepted() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        target.revision = 50
        await warm_up(home)
        target.revision = 2
        target.change(applied=Position(1, 9))
        await asyncio.sleep(0.5)
        assert home.state is not None
        assert home.state.revision == 3


@in_virtual_time
async def test_control_calls_survive_a_silent_connection() -> None:
    target = FakeTarget(role=Role.REPLICA)
    async with home_at(target) as home:
        await warm_up(home)
        target.silence_all()
        state = await home.raise_term(4, "host-1", timeout=0.5)
        assert state.promised == 4
        promoted = await home.promote(4, "host-1", timeout=0.5)
        assert promoted.role is Role.PRIMARY
        assert (await home.fetch_state(0.5)).leader_term == 4


@in_virtual_time
async def test_control_call_to_a_dead_target_fails_in_time() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        target.dead = True
        try:
            _, seconds = await timed(home.fetch_state(0.3))
        except TargetError:
            return
        raise AssertionError(f"answered after {seconds} s")


@in_virtual_time
async def test_idle_target_is_polled_at_a_bounded_rate() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await warm_up(home)
        before = target.state_questions
        await asyncio.sleep(10.0)
        assert target.state_questions - before <= 101
