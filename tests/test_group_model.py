"""Model test of one group under faults: checks the guarantees given to callers."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from reedhook.connection.target import Role
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError
from reedhook.request.statement import Consistency, StatementKind, StatementResult
from reedhook.request.verdict import Verdict

from .cluster_group import NAMES, Cluster
from .fakes_clock import VirtualLoop

members = st.sampled_from(NAMES)
moments = st.sampled_from([0.002, 0.02, 0.15, 0.4, 1.0])


class Write:
    """A write request as its callers see it.

    :ivar acknowledged: time of the acknowledgement, or None.
    :ivar refused: whether every attempt was refused as not run.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.acknowledged: float | None = None
        self.position: Position | None = None
        self.refused = True


class GroupModel(RuleBasedStateMachine):
    """Drive the hosts of a group and record their answers to callers."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.writes: list[Write] = []
        self.pending: list[asyncio.Task[None]] = []
        self.failures: list[str] = []
        self.first_acknowledged: dict[int, float] = {}

    def run_in_loop(self, work: Coroutine[Any, Any, None]) -> None:
        self.runner.run(work)

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        async def main() -> None:
            self.cluster = Cluster(seed)
            await self.cluster.start()

        self.run_in_loop(main())

    # Callers

    @rule(member=members, leader=st.booleans(), moment=moments)
    def write(self, member: str, leader: bool, moment: float) -> None:
        """Write at the leader or at any member, which may be a stale leader."""
        write = Write(f"r{len(self.writes)}")
        self.writes.append(write)
        self.send(write, member, leader, moment)

    @rule(member=members, leader=st.booleans(), moment=moments, index=st.integers(0))
    def retry(self, member: str, leader: bool, moment: float, index: int) -> None:
        """Repeat a request regardless of its result."""
        if self.writes:
            write = self.writes[index % len(self.writes)]
            self.send(write, member, leader, moment)

    def send(self, write: Write, member: str, leader: bool, moment: float) -> None:
        async def main() -> None:
            target = self.cluster.leader() if leader else member
            self.spawn(self.submit(write, target))
            await asyncio.sleep(moment)

        self.run_in_loop(main())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self.pending.append(asyncio.get_running_loop().create_task(work))

    async def submit(self, write: Write, member: str) -> None:
        """Write and check the answer against earlier acknowledgements."""
        started_at = self.cluster.now()
        statement = self.cluster.statement(StatementKind.WRITE, write.request_id, 1.0)
        statement.request_id = write.request_id
        try:
            response = await self.cluster.home(member).executor.execute(
                member, statement
            )
        except RefusalError as refusal:
            if refusal.verdict is not Verdict.NOT_RUN:
                write.refused = False
            return
        position = response.result.position
        later_terms = [term for term in self.first_acknowledged if term > position.term]
        if later_terms:
            self.failures.append(
                f"{write.request_id} acknowledged at term {position.term}, started at"
                f" {started_at}, after term {later_terms[0]} acknowledged something"
            )
        now = self.cluster.now()
        self.first_acknowledged.setdefault(position.term, now)
        write.refused = False
        if write.acknowledged is None:
            write.acknowledged = now
            write.position = position

    @rule(member=members, leader=st.booleans())
    def read_fresh(self, member: str, leader: bool) -> None:
        """Read fresh at the leader or at any member, which may be a stale leader."""

        async def main() -> None:
            await self.check_fresh(self.cluster.leader() if leader else member)

        self.run_in_loop(main())

    async def check_fresh(self, member: str) -> None:
        """Check that a fresh read returns all writes acknowledged before it."""
        acknowledged = self.acknowledged_before(self.cluster.now())
        try:
            response = await self.cluster.read(member, Consistency.FRESH)
        except RefusalError as refusal:
            assert refusal.verdict is Verdict.NOT_RUN
            return
        missed = acknowledged - request_ids_of(response.result)
        assert not missed, f"a fresh read at {member} misses {missed}"

    @rule(member=members, index=st.integers(0))
    def read_session(self, member: str, index: int) -> None:
        """Check that a session read returns a write at or before its position."""
        acknowledged = [write for write in self.writes if write.position is not None]
        if not acknowledged:
            return
        write = acknowledged[index % len(acknowledged)]

        async def main() -> None:
            try:
                response = await self.cluster.read(
                    member, Consistency.SESSION, covers=write.position, remaining=0.3
                )
            except RefusalError as refusal:
                assert refusal.verdict is Verdict.NOT_RUN
                return
            assert write.request_id in request_ids_of(response.result)

        self.run_in_loop(main())

    @rule(member=members, bound=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def read_bounded(self, member: str, bound: float) -> None:
        """Check that the age of an answer is an upper bound of its true age."""

        async def main() -> None:
            try:
                response = await self.cluster.read(
                    member, Consistency.MAX_AGE, max_age=bound
                )
            except RefusalError as refusal:
                assert refusal.verdict is Verdict.NOT_RUN
                return
            now = self.cluster.now()
            age = response.result.age
            assert age is not None and age <= bound
            missed = self.acknowledged_before(now - age) - request_ids_of(
                response.result
            )
            assert not missed, f"{member} misses {missed} with a stated age of {age}"

        self.run_in_loop(main())

    def acknowledged_before(self, moment: float) -> set[str]:
        return {
            write.request_id
            for write in self.writes
            if write.acknowledged is not None and write.acknowledged < moment
        }

    # Faults

    @rule(moment=moments)
    def wait(self, moment: float) -> None:
        async def main() -> None:
            await asyncio.sleep(moment)

        self.run_in_loop(main())

    @rule(member=members)
    def cut(self, member: str) -> None:
        self.cluster.cut_zone(member)

    @rule()
    def isolate_leader(self) -> None:
        """Isolate the leader, write at its successor, read fresh at the former one."""

        async def main() -> None:
            former = self.cluster.leader()
            self.cluster.cut_zone(former)
            await asyncio.sleep(0.8)
            write = Write(f"r{len(self.writes)}")
            self.writes.append(write)
            self.spawn(self.submit(write, self.cluster.leader()))
            await asyncio.sleep(0.05)
            await self.check_fresh(former)

        self.run_in_loop(main())

    @rule()
    def heal(self) -> None:
        self.cluster.heal()
        self.cluster.network.loss = 0.0

    @rule()
    def lose_some(self) -> None:
        self.cluster.network.loss = 0.1

    @rule(member=members)
    def kill(self, member: str) -> None:
        self.cluster.kill_target(member)

    @rule(member=members)
    def revive(self, member: str) -> None:
        self.cluster.revive_target(member)

    @rule(member=members)
    def pause(self, member: str) -> None:
        self.cluster.network.pause(f"{member}a")

    @rule(member=members)
    def resume(self, member: str) -> None:
        self.cluster.network.resume(f"{member}a")

    @rule(member=members, lag=st.sampled_from([0.0, 0.05, 1.0]))
    def lag(self, member: str, lag: float) -> None:
        self.cluster.truth.members[member].lag = lag

    @rule(member=members)
    def raise_and_leave(self, member: str) -> None:
        """Simulate a coordinator that crashes after raising the term."""
        target = self.cluster.truth.members[member]

        async def main() -> None:
            target.raise_term(target.promised + 1, f"gone{target.promised}")

        if not target.down:
            self.run_in_loop(main())

    # Guarantees

    @invariant()
    def nothing_is_acknowledged_by_a_superseded_primary(self) -> None:
        assert self.failures == []

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        try:
            self.run_in_loop(self.finish())
        finally:
            self.runner.close()

    async def finish(self) -> None:
        """End all faults and check the group against the answers to callers."""
        cluster = self.cluster
        cluster.heal()
        cluster.network.loss = 0.0
        for member in NAMES:
            cluster.revive_target(member)
            cluster.network.resume(f"{member}a")
        await asyncio.gather(*self.pending)
        await cluster.until_writable(20.0)
        await asyncio.sleep(4.0)
        assert self.failures == []
        self.check_logs()
        await cluster.stop()

    def check_logs(self) -> None:
        """Check that no acknowledged write is lost, repeated or run after "not run"."""
        truth = self.cluster.truth
        leader = truth.members[self.cluster.leader()]
        assert leader.role is Role.PRIMARY
        logged = [entry.request_id for entry in leader.log if entry.request_id]
        assert len(logged) == len(set(logged))
        executed = {request_id for request_id, _ in truth.executed}
        for write in self.writes:
            if write.acknowledged is not None:
                assert write.request_id in logged, f"{write.request_id} was lost"
            elif write.refused:
                assert write.request_id not in executed
        for member in truth.members.values():
            assert [e.position for e in member.log] == [e.position for e in leader.log]


def request_ids_of(answer: StatementResult) -> set[str]:
    """Return the request ids of the writes in an answer."""
    return {row[0] for row in answer.rows}


TestGroup = GroupModel.TestCase
TestGroup.settings = settings(max_examples=40, stateful_step_count=25)
