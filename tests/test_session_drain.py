"""Shutdown of a session host under load: no statement that was read is cut.

Guards against statements of busy sessions that a stopping host took until its process
ended, and that then got no answer.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from reedhook.process.drain_schedule import DrainSchedule
from reedhook.process.session_host import SessionHost
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.request.verdict import Verdict
from reedhook_standins.promises import Sent

from .drain_callers import ConnectionEnded, LineCaller, Request, StoppingProcess
from .fakes_clock import LoopClock, run_virtual
from .fakes_members import Slots
from .session_world import SERVICE, SessionWorld
from .support import using

GRACE = 6.0
DATABASES = ("tickets", "views", "reports")
SPREAD_SECONDS = 0.2
"""Interval in which at most half of the sessions may close."""

IMMEDIATE_SECONDS = 0.01
PAUSE_SECONDS = 0.02
"""Pause of a caller, too short for its session to count as idle."""

NUMBERS = itertools.count(1)


class Scene:
    """One host that is about to stop, and its callers."""

    def __init__(self, world: SessionWorld, host: SessionHost) -> None:
        self.world = world
        self.host = host
        self.process = StoppingProcess(host)
        self.callers: list[LineCaller] = []
        self.tasks: list[asyncio.Task[None]] = []

    def caller(self) -> LineCaller:
        """Open a connection to the host."""
        caller = LineCaller(self.world, self.host, next(NUMBERS))
        self.callers.append(caller)
        return caller

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a caller in the background until its connection ends."""
        self.tasks.append(asyncio.create_task(until_ended(work)))

    async def stop(self) -> float:
        """Stop the host; return the seconds that this took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.world.hosts.pop(self.host.me.host)
        await self.process.stop()
        self.world.network.crash(self.host.me.host)
        seconds = loop.time() - started_at
        await asyncio.gather(*self.tasks)
        return seconds

    def requests(self) -> list[Request]:
        """Return all statements of all callers."""
        return [request for caller in self.callers for request in caller.requests]

    def check_no_request_cut(self) -> None:
        """Fail if a statement that the host has read got no complete answer."""
        cut = [request.text for request in self.requests() if not request.state]
        assert not cut, f"{len(cut)} of {len(self.requests())} were cut: {cut[:5]}"


async def until_ended(work: Coroutine[Any, Any, None]) -> None:
    """Run a caller until its connection ends."""
    try:
        await work
    except ConnectionEnded:
        return


@asynccontextmanager
async def a_scene(holds_lease: bool = False) -> AsyncIterator[Scene]:
    """Yield a scene, and check the guarantees of its world at the end."""
    world = SessionWorld(seed=3, hosts_a_zone=1)
    await world.start()
    holder = world.leader()
    others = [host for host in world.hosts.values() if host is not holder]
    yield Scene(world, holder if holds_lease else others[0])
    world.check()
    await world.stop()


async def work_without_rest(caller: LineCaller, database: str) -> None:
    """Send statement after statement; some callers make no pause at all."""
    assert not await caller.open(database)
    pause = PAUSE_SECONDS if caller.number % 4 else 0.0
    for number in itertools.count():
        text = "WRITE a b" if number % 5 == 0 else "READ a"
        await pause_after(await caller.ask(text), pause)


async def work_ahead(caller: LineCaller, database: str) -> None:
    """Always have three statements in progress."""
    assert not await caller.open(database)
    for _ in range(3):
        caller.send("READ a")
    while True:
        await pause_after(await caller.receive(), PAUSE_SECONDS)
        if caller.is_closing():
            break
        caller.send("READ a")
    while caller.unanswered:
        await caller.receive()


async def pause_after(request: Request, seconds: float = 0.0) -> None:
    """Pause after an answer; after a refusal always, since it may take no time."""
    if request.error or seconds:
        await asyncio.sleep(max(seconds, 0.001))


async def drain_busy_sessions(
    scene: Scene, work: Callable[[LineCaller, str], Coroutine[Any, Any, None]]
) -> None:
    """Stop the host under busy sessions; check that none is cut."""
    for number in range(8):
        scene.run(work(scene.caller(), DATABASES[number % 3]))
    await asyncio.sleep(0.3)
    stopped_at = asyncio.get_running_loop().time()
    seconds = await scene.stop()
    scene.check_no_request_cut()
    assert {caller.last_state for caller in scene.callers} == {"I"}
    assert seconds < GRACE - 1.0
    check_spread([caller.ended_at for caller in scene.callers], stopped_at)


def check_spread(times: list[float | None], stopped_at: float) -> None:
    """Check that sessions do not close at one moment."""
    ends = [time - stopped_at for time in times if time is not None]
    assert len(ends) == len(times)
    for start in ends:
        close = [end for end in ends if start <= end < start + SPREAD_SECONDS]
        assert len(close) <= len(ends) / 2, sorted(ends)


# Regression: a busy session never looked idle to the poll that closed sessions, so that
# its statements were cut when the process ended.
@using(a_scene, run_virtual)
async def test_no_statement_of_a_busy_session_is_cut(scene: Scene) -> None:
    await drain_busy_sessions(scene, work_without_rest)


# Regression: as above; the holder of a primary lease also hands it over meanwhile.
@using(lambda: a_scene(holds_lease=True), run_virtual)
async def test_lease_holder_cuts_no_statement_of_a_busy_session(scene: Scene) -> None:
    await drain_busy_sessions(scene, work_without_rest)


# Regression: a session with statements in its queue was never closed before the end.
@using(a_scene, run_virtual)
async def test_no_pipelined_statement_is_cut(scene: Scene) -> None:
    await drain_busy_sessions(scene, work_ahead)


# Regression: idle sessions all closed at once, and their callers came back together.
@using(a_scene, run_virtual)
async def test_idle_sessions_close_one_by_one(scene: Scene) -> None:
    for number in range(24):
        assert not await scene.caller().open(DATABASES[number % 3])
    await asyncio.sleep(1.0)
    stopped_at = asyncio.get_running_loop().time()
    seconds = await scene.stop()
    check_spread([caller.ended_at for caller in scene.callers], stopped_at)
    assert seconds <= GRACE / 2 + SPREAD_SECONDS


# Regression: the listener stayed open to the end of the process, whose last sessions
# were cut.
@using(a_scene, run_virtual)
async def test_sessions_opened_late_are_served_or_refused(scene: Scene) -> None:
    refusals = []

    async def run_late(caller: LineCaller, database: str) -> None:
        error = await caller.open(database)
        if error:
            refusals.append(error)
            return
        while True:
            await pause_after(await caller.ask("READ a"), PAUSE_SECONDS)

    async def open_sessions() -> None:
        number = 0
        while scene.process.listening:
            number += 1
            scene.run(run_late(scene.caller(), DATABASES[number % 3]))
            await asyncio.sleep(0.1)

    scene.tasks.append(asyncio.create_task(open_sessions()))
    await scene.stop()
    scene.check_no_request_cut()
    assert all(error.startswith("BUSY retry_after_ms=") for error in refusals)
    late = [one for one in scene.requests() if not one.error]
    assert late, "a host that still gets callers serves them"


# Regression: statements that were sent shortly before the end of the process and take
# most of their timeout were cut.
@using(a_scene, run_virtual)
async def test_slow_statements_are_answered_before_the_end(scene: Scene) -> None:
    for target in scene.world.group.members:
        scene.world.slots[target] = Slots(8, 0.4, 1)
    for host in scene.world.hosts.values():
        host.driver.slots = scene.world.slots  # type: ignore[attr-defined]

    async def reopen(database: str) -> None:
        while scene.process.listening:
            caller = scene.caller()
            try:
                if await caller.open(database):
                    await asyncio.sleep(0.05)
                    continue
                while True:
                    await pause_after(await caller.ask("READ a"))
            except ConnectionEnded:
                await asyncio.sleep(0.01)

    for number in range(6):
        scene.run(reopen(DATABASES[number % 3]))
    await asyncio.sleep(1.0)
    seconds = await scene.stop()
    scene.check_no_request_cut()
    assert seconds < GRACE


# Regression: a transaction that always had a statement in progress was neither aborted
# after its time nor answered at the end.
@using(a_scene, run_virtual)
async def test_busy_transaction_is_aborted_with_an_answer(scene: Scene) -> None:
    caller = scene.caller()

    async def transact() -> None:
        assert not await caller.open("tickets")
        assert not (await caller.ask("BEGIN")).error
        while not (await caller.ask("WRITE a b")).error:
            continue
        await caller.ask("ROLLBACK")

    scene.run(transact())
    await asyncio.sleep(0.5)
    started_at = asyncio.get_running_loop().time()
    seconds = await scene.stop()
    scene.check_no_request_cut()
    failed, rolled_back = caller.requests[-2:]
    assert failed.error.startswith("ABORTED retry_after_ms=")
    assert failed.sent_at - started_at >= GRACE / 2
    assert failed.answered_at - failed.sent_at <= IMMEDIATE_SECONDS
    assert (rolled_back.error, rolled_back.state) == ("", "I")
    assert seconds < GRACE / 2 + SPREAD_SECONDS


# Regression: the first statement after the host had aborted an idle transaction was
# answered as malformed, which does not say that nothing is kept.
@using(a_scene, run_virtual)
async def test_idle_transaction_is_told_that_it_was_aborted(scene: Scene) -> None:
    caller = scene.caller()

    async def transact() -> None:
        assert not await caller.open("tickets")
        await caller.ask("BEGIN")
        await caller.ask("WRITE a b")
        await asyncio.sleep(GRACE / 2 + 0.2)
        await caller.ask("READ a")

    scene.run(transact())
    await asyncio.sleep(0.1)
    await scene.stop()
    scene.check_no_request_cut()
    assert len(caller.requests) == 3
    assert caller.requests[-1].error.startswith("ABORTED retry_after_ms=")


@using(a_scene, run_virtual)
async def test_open_transaction_commits_in_the_first_half(scene: Scene) -> None:
    caller = scene.caller()

    async def transact() -> None:
        assert not await caller.open("tickets")
        await caller.ask("BEGIN")
        await caller.ask("WRITE a b")
        await asyncio.sleep(GRACE / 2 - 0.3)
        await caller.ask("COMMIT")
        await caller.ask("READ a")

    scene.run(transact())
    await asyncio.sleep(0.1)
    await scene.stop()
    assert [one.error for one in caller.requests] == ["", "", ""]
    assert caller.last_state == "I"


# Regression: a transaction that began just before the limit was aborted at it.
@using(a_scene, run_virtual)
async def test_transaction_without_time_is_refused_at_once(scene: Scene) -> None:
    scene.host.drain_schedule.start(GRACE)
    await asyncio.sleep(GRACE / 2 - 0.1)
    caller = scene.caller()
    assert not await caller.open("tickets")
    begun = await caller.ask("BEGIN")
    assert begun.error.startswith("BUSY retry_after_ms=")
    assert begun.state == "I"
    assert begun.answered_at - begun.sent_at <= IMMEDIATE_SECONDS
    await scene.stop()


# Regression: statements of other hosts were cut when the process ended, as long as
# these had not learned that it stops.
@using(a_scene, run_virtual)
async def test_no_forwarded_statement_is_cut(scene: Scene) -> None:
    target = next(iter(set(scene.world.group.members) - {primary_of(scene)}))
    pending: set[str] = set()
    refusals: list[RefusalError] = []

    async def forward(name: str) -> None:
        for number in itertools.count():
            id = f"{name}-{number}"
            pending.add(id)
            read = a_read(scene, target, id).to_json()
            try:
                await scene.host.statement_server.handle_work(read)
            except RefusalError as refusal:
                refusals.append(refusal)
                return
            finally:
                pending.discard(id)

    tasks = [asyncio.create_task(forward(f"peer{number}")) for number in range(2)]
    await asyncio.sleep(0.5)
    close = scene.host.close

    async def close_when_answered() -> None:
        assert not pending, "the process ends while statements are in progress"
        await close()

    scene.host.close = close_when_answered  # type: ignore[method-assign]
    await scene.stop()
    await asyncio.gather(*tasks)
    assert {refusal.verdict for refusal in refusals} == {Verdict.NOT_RUN}
    assert all(refusal.retry_after_ms for refusal in refusals)


# Regression: as above, for statements of transactions, which cannot move.
@using(a_scene, run_virtual)
async def test_forwarded_transaction_step_is_refused_as_lost(scene: Scene) -> None:
    target = next(iter(set(scene.world.group.members) - {primary_of(scene)}))
    server = scene.host.statement_server
    first = a_read(scene, target, "1", "t")
    first.begin = TransactionMode.READ
    await server.handle_work(first.to_json())
    await server.finish(asyncio.get_running_loop().time() + 1.0)
    try:
        await server.handle_work(a_read(scene, target, "2", "t").to_json())
    except RefusalError as refusal:
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.reason is RefusalReason.TRANSACTION_LOST
    else:
        raise AssertionError("a stopped host runs statements")


def primary_of(scene: Scene) -> str:
    """Return the target that is primary."""
    return scene.world.group.primary.entry.target


def a_read(
    scene: Scene, target: str, id: str, transaction: str = ""
) -> SessionStatement:
    """Return a read that another host sends to a replica."""
    scene.world.promises.sent[id] = Sent("READ a", transaction, {}, {})
    return SessionStatement(
        service=SERVICE,
        target=target,
        session="peer.1",
        settings={},
        transaction=transaction,
        begin=TransactionMode.NONE,
        min_position=None,
        kind=SessionStatementKind.READ,
        id=id,
        text="READ a",
        remaining=0.8,
    )


def a_schedule(grace: float) -> DrainSchedule:
    """Return a schedule that has just started."""
    schedule = DrainSchedule(LoopClock(), Random(1))
    schedule.start(grace)
    return schedule


def test_margins_fit_into_short_grace_periods() -> None:
    async def check() -> None:
        for grace in (0.5, 1.0, 3.0, 6.0, 30.0):
            schedule = a_schedule(grace)
            assert schedule.transactions_end == schedule.started_at + grace / 2
            assert schedule.transactions_end < schedule.replies_end
            assert schedule.replies_end < schedule.deadlines_end < schedule.exit_at
            assert schedule.exit_at < schedule.started_at + grace

    run_virtual(check())


def test_statement_is_accepted_if_its_timeout_ends_before_the_process() -> None:
    async def check() -> None:
        schedule = a_schedule(GRACE)
        await asyncio.sleep(3.5)
        schedule.check_statement(1.2)
        await asyncio.sleep(0.2)
        schedule.check_statement(0.8)
        try:
            schedule.check_statement(1.2)
        except RefusalError as refusal:
            assert refusal.verdict is Verdict.NOT_RUN
            assert refusal.retry_after_ms
        else:
            raise AssertionError("the statement may outlast the process")

    run_virtual(check())


def test_long_statement_gets_a_deadline_before_the_end() -> None:
    async def check() -> None:
        schedule = a_schedule(GRACE)
        await asyncio.sleep(2.9)
        schedule.check_statement(10.0)
        assert schedule.clock.monotonic() + schedule.limit(10.0) < schedule.exit_at

    run_virtual(check())
