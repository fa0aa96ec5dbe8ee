"""Coordinate one database group: its state, its proofs and its primary."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import MemberState, TargetError
from ...host_directory import HostDirectory
from ...metrics import Metrics
from ...peer import PeerClient, PeerError
from ...request.group_view import GroupView
from ...request.position import Position
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...version.catalog import Group
from ..events.timeline import EventKind, Timeline
from .group_promotion_coordinator import (
    GroupPromotionCoordinator,
    PrimaryChangeCallback,
    to_rounded_ms,
)
from .group_state import GroupState
from .leader_confirmation import GroupLeader, LeaderConfirmation
from .member_control import (
    ControlOperation,
    MemberController,
    MemberControlRequest,
    PeerMemberController,
)
from .pending_proofs import PendingProofs
from .planned_handover import PlannedHandover
from .primary_monitor import HostLostCallback, PrimaryMonitor
from .primary_prober import PrimaryProber
from .primary_sampler import PrimarySampler
from .replica_reporter import ReplicaReport, ReplicaReportAnswer, ReplicaReporter

CONFIRM_TIMEOUT_SECONDS: Final = 0.25
CONFIRM_RETRY_DELAY_SECONDS: Final = 0.01
CONFIRM_WRITES_SLOWER_THAN_SECONDS: Final = 0.1
MEMBER_SILENT_AFTER_SECONDS: Final = 0.5
ISOLATION_CHECK_INTERVAL_SECONDS: Final = 0.1
VIEW_INTERVAL_SECONDS: Final = 1.0
RETRY_AFTER_MS: Final = 50
RETRY_NOT_DURABLE_MS: Final = 250
RETRY_ISOLATED_MS: Final = 100


class GroupManager:
    """Manage one group on a host that is home of at least one of its members.

    :param homes: returns the local homes of the group's members.
    :param on_primary_change: called after each change of primary made by this host.
    :param on_host_lost: called when a home seems dead but its target is alive.
    """

    def __init__(
        self,
        group: Group,
        homes: Callable[[], Iterable[Home]],
        directory: HostDirectory,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        timeline: Timeline,
        metrics: Metrics,
        on_primary_change: PrimaryChangeCallback,
        on_host_lost: HostLostCallback | None = None,
        controller: MemberController | None = None,
    ) -> None:
        self.group = group
        self.homes = homes
        self.directory = directory
        self.peers = peers
        self.clock = clock
        self.timeline = timeline
        self.metrics = metrics
        self.group_state = GroupState(group, clock)
        self.group_state.on_leader.append(self.on_leader_change)
        self.group_state.on_durable.append(self.on_watermark_advance)
        self.controller = controller or PeerMemberController(
            group, self.home, directory, peers
        )
        self.reporter = ReplicaReporter(
            self.group_state, homes, directory, peers, clock, self.request_primary_check
        )
        self.prober = PrimaryProber(group, directory, peers)
        self.coordinator = GroupPromotionCoordinator(
            self.group_state,
            self.controller,
            homes,
            directory,
            clock,
            random,
            timeline,
            metrics,
            on_primary_change,
        )
        self.primary_monitor = PrimaryMonitor(
            self.group_state,
            self.reporter,
            self.prober,
            self.coordinator,
            directory,
            clock,
            timeline,
            metrics,
            on_host_lost,
        )
        self.confirmation = LeaderConfirmation(
            [member.member_id for member in group.members],
            group.majority,
            self.request_state,
            self.known_leader,
            self.group_state.samples.add,
            clock,
            CONFIRM_TIMEOUT_SECONDS,
        )
        self.planned_handover = PlannedHandover(
            self.group_state, self.coordinator, clock
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.sampler = PrimarySampler(
            self.group_state, self.reporter, self.confirmation, self.local_leader, clock
        )
        self.state_polling: asyncio.Task[None] | None = None
        self.pending_proofs = PendingProofs()
        self.leader_changed_at = 0.0
        self.last_durable_term = 0
        self.leader_changed = asyncio.Event()
        self.isolation_detected = False
        self.last_report_at: dict[str, float] = {}
        self.last_view_sent_at: dict[str, float] = {}

    @property
    def view(self) -> GroupView:
        """Return this host's view of the group."""
        return self.group_state.view

    async def start(self) -> None:
        """Start monitoring the local members and the primary."""
        self.tasks = [
            asyncio.create_task(self.primary_monitor.run()),
            asyncio.create_task(self.monitor_isolation()),
        ]
        self.refresh()
        self.request_primary_check()

    def refresh(self) -> None:
        """Update the monitored members after a possible change of local homes."""
        self.reporter.refresh()
        if self.group_state.durability.has_waiters():
            self.start_state_polling()

    async def retire(self) -> None:
        """Close after the pending proofs have ended; each of them has a deadline."""
        for task in self.tasks:
            task.cancel()
        self.refresh()
        await self.pending_proofs.wait_until_idle()
        await self.close()

    async def close(self) -> None:
        """Cancel all tasks; the members keep their roles."""
        self.reporter.close()
        self.confirmation.close()
        self.sampler.close()
        for task in [*self.tasks, self.state_polling]:
            if task is not None:
                task.cancel()

    def request_primary_check(self) -> None:
        """Ask the primary monitor to check the primary soon."""
        self.primary_monitor.request_check()

    def home(self, member: str | None) -> Home | None:
        """Return the local home of `member`, or None."""
        return self.reporter.home(member)

    def known_leader(self) -> GroupLeader | None:
        """Return the known leader, or None."""
        primary = self.group_state.primary
        return None if primary is None else GroupLeader(self.group_state.term, primary)

    def local_leader(self) -> GroupLeader | None:
        """Return the known leader if its home is on this host."""
        if self.home(self.group_state.primary) is None:
            return None
        return self.known_leader()

    # Proofs for statements

    def record_write(self, member: str, position: Position) -> None:
        """Record the position of a write that `member` executed."""
        self.group_state.record_write(member, position)

    async def wait_until_durable(
        self, position: Position, timeout: float, since: float | None = None
    ) -> None:
        """Wait until a majority holds `position` at its term.

        A write that took long also needs a confirmation of the leader: this host
        may have been paused while another member was promoted.

        :param since: local monotonic time in seconds at which the write was
            sent to the target; now by default.
        :raises RefusalError: ``not_durable`` after `timeout` seconds or if no
            majority is reachable, ``superseded`` if a later term began before
            the write was known to be durable; the write may have run.
        """
        started_at = self.clock.monotonic() if since is None else since
        try:
            async with self.pending_proofs, asyncio.timeout(timeout):
                self.start_state_polling()
                durable = await self.group_state.durability.wait(position, timeout)
                if (
                    durable
                    and self.clock.monotonic() - started_at
                    > CONFIRM_WRITES_SLOWER_THAN_SECONDS
                ):
                    durable = await self.wait_until_leadership_confirmed(
                        self.request_confirmation(), position.term
                    )
        except TimeoutError:
            self.metrics.increment("group.not_durable")
            raise may_have_run(
                RefusalReason.NOT_DURABLE,
                "applied, not yet safe: no majority holds it in time",
                RETRY_NOT_DURABLE_MS,
            ) from None
        if not durable:
            self.check_majority_reachable()
            self.metrics.increment("group.superseded")
            raise may_have_run(
                RefusalReason.SUPERSEDED,
                "the primary was superseded before the write was known to be durable",
                RETRY_AFTER_MS,
            )

    def start_state_polling(self) -> None:
        """Poll the members while writes wait and reports go to another host.

        A transaction may commit here after the primary's home has moved.
        """
        if self.local_leader() is None and (
            self.state_polling is None or self.state_polling.done()
        ):
            self.state_polling = asyncio.create_task(self.poll_member_states())

    async def poll_member_states(self) -> None:
        """Fetch the members' states in rounds while writes wait for durability."""
        while self.group_state.durability.has_waiters() and self.local_leader() is None:
            await self.confirmation.wait_for_round(self.confirmation.request_round())
            await self.clock.sleep(CONFIRM_RETRY_DELAY_SECONDS)

    def request_confirmation(self) -> int:
        """Return the number of a confirmation round that starts after this call."""
        return self.confirmation.request_round()

    async def wait_until_confirmed(
        self, round_number: int, position: Position, timeout: float
    ) -> None:
        """Wait until a round proves that the primary led after its start.

        The position that the read saw must be durable too. Otherwise a change
        of primary could revoke what the read returned.

        :param round_number: a number from :meth:`request_confirmation`.
        :raises RefusalError: ``unconfirmed``; a read has no effect.
        """
        try:
            async with self.pending_proofs, asyncio.timeout(timeout):
                confirmed = await self.wait_until_leadership_confirmed(
                    round_number, position.term
                )
                confirmed = confirmed and await self.group_state.durability.wait(
                    position, timeout
                )
        except TimeoutError:
            confirmed = False
        if not confirmed:
            self.metrics.increment("group.unconfirmed")
            raise not_run(
                RefusalReason.UNCONFIRMED,
                "no majority confirmed that the primary still leads",
                RETRY_AFTER_MS,
            )

    async def wait_until_leadership_confirmed(
        self, round_number: int, term: int
    ) -> bool:
        """Wait until a round proves that the primary of `term` still led.

        Failed rounds are repeated; a later round proves at least as much.

        :returns: False if a later term is known or no majority is reachable.
        """
        await self.confirmation.wait_for_round(round_number)
        while not self.confirmation.is_confirmed(round_number, term):
            if self.group_state.term > term or self.isolated:
                return False
            await self.clock.sleep(CONFIRM_RETRY_DELAY_SECONDS)
            await self.confirmation.wait_for_round(self.confirmation.request_round())
        return True

    def age(self, applied: Position) -> float | None:
        """Return a proved upper bound of the age of `applied` in seconds, or None."""
        return self.group_state.age(applied)

    # Requests of other hosts

    async def on_report(self, report: ReplicaReport) -> ReplicaReportAnswer:
        """Merge a replica's report and return the answer."""
        now = self.clock.monotonic()
        self.group_state.merge_state(report.state, now)
        self.last_report_at[report.state.member] = now
        if report.wanted_age is not None:
            await self.sampler.keep_sampling(report.wanted_age, report.wait_for_sample)
        return self.report_answer(report.state.member)

    def report_answer(self, member: str) -> ReplicaReportAnswer:
        """Return the answer to a report of `member`.

        The states of the other members are included once per
        `VIEW_INTERVAL_SECONDS`.
        """
        view = GroupView(self.group.name, self.view.term, self.view.primary)
        now = self.clock.monotonic()
        if (
            now - self.last_view_sent_at.get(member, -VIEW_INTERVAL_SECONDS)
            >= VIEW_INTERVAL_SECONDS
        ):
            self.last_view_sent_at[member] = now
            self.refresh_view()
            view = self.view
        home = self.home(self.group_state.primary)
        return ReplicaReportAnswer(
            view,
            self.group_state.samples.newest,
            home is not None,
            home is None or home.unreachable_since is None,
        )

    def refresh_view(self) -> None:
        """Merge the newest states of the local members into the view."""
        for home in self.homes():
            self.reporter.merge_local_state(home)

    async def on_confirm(self, member: str) -> MemberState:
        """Fetch a state that the local target `member` sends after this call.

        :raises RefusalError: if its home is not on this host or the target does
            not answer.
        """
        home = self.home(member)
        if home is None:
            raise not_run(
                RefusalReason.WRONG_HOME, f"{member} has no home on this host"
            )
        asked = self.clock.monotonic()
        try:
            state = await home.fetch_state(CONFIRM_TIMEOUT_SECONDS)
        except TargetError as error:
            raise not_run(RefusalReason.TARGET_UNREACHABLE, str(error)) from error
        self.group_state.merge_state(state, asked)
        return state

    def on_control(
        self, request: MemberControlRequest, state: MemberState, asked: float
    ) -> None:
        """Record the result of a control request of another host."""
        if (
            request.operation is ControlOperation.FOLLOW
            and state.leader_term == request.term
        ):
            self.group_state.record_leader(request.term, request.primary)
        self.group_state.merge_state(state, asked)

    # Confirmation

    async def request_state(self, member: str, timeout: float) -> MemberState | None:
        """Fetch a state of `member` sent after this call; None without an answer."""
        try:
            if self.home(member) is not None:
                return await self.on_confirm(member)
            return await self.ask_peer(member, timeout)
        except (PeerError, RefusalError):
            return None

    async def ask_peer(self, member: str, timeout: float) -> MemberState | None:
        """Call the peer path ``confirm`` at the home of `member`."""
        host = self.directory.home(member, self.reporter.zone(member))
        if host is None:
            return None
        asked = self.clock.monotonic()
        body = {"group": self.group.name, "member": member, "term": self.view.term}
        answer = await self.peers.call(host, "confirm", body, timeout)
        state = MemberState.from_json(answer["state"])
        self.group_state.merge(GroupView.from_json(answer["view"], asked))
        self.group_state.merge_state(state, asked)
        self.last_report_at[member] = self.clock.monotonic()
        return state

    # Change of primary

    async def monitor_isolation(self) -> None:
        """Query the other members when no majority reports to a local primary.

        This is how an isolated primary detects that it was superseded. If no
        majority answers, pending waits for durability fail at once.
        """
        while True:
            await self.clock.sleep(ISOLATION_CHECK_INTERVAL_SECONDS)
            leader = self.local_leader()
            if leader is None or self.majority_reported_recently():
                self.isolation_detected = False
                continue
            await self.confirmation.wait_for_round(self.confirmation.request_round())
            if self.confirmation.stalled:
                # Answers may still be unread in this process.
                continue
            # Members that reported during the round prove that a majority is
            # reachable, even if a stall of this process delays later reports.
            self.isolation_detected = (
                self.local_leader() == leader and not self.majority_reported_recently()
            )
            if self.isolated:
                self.group_state.durability.abandon_waits()

    @property
    def isolated(self) -> bool:
        """Return whether a local primary was found to reach no majority."""
        return self.isolation_detected and not self.majority_reported_recently()

    def check_majority_reachable(self) -> None:
        """Refuse a write while no majority is reachable.

        The write is not sent to the target, but an earlier attempt with the same
        request id may have run there.

        :raises RefusalError: ``not_durable``; may have run.
        """
        if not self.isolated:
            return
        self.metrics.increment("group.not_durable")
        raise may_have_run(
            RefusalReason.NOT_DURABLE,
            "the home of the primary cannot reach a majority of the group",
            RETRY_ISOLATED_MS,
        )

    def majority_reported_recently(self) -> bool:
        """Return whether a majority reported within the last interval.

        True just after a change of leader, since the other members have yet to
        find the new primary's home.
        """
        now = self.clock.monotonic()
        if now - self.leader_changed_at < MEMBER_SILENT_AFTER_SECONDS:
            return True
        local = {home.member.member_id for home in self.homes()}
        reported = {
            member
            for member, at in self.last_report_at.items()
            if now - at < MEMBER_SILENT_AFTER_SECONDS
        }
        return len(local | reported) >= self.group.majority

    async def hand_over(self, timeout: float) -> bool:
        """Move leadership to another member with a short pause of writes.

        :returns: whether another member leads now.
        """
        return await self.planned_handover.run(timeout)

    async def wait_for_newer_leader(
        self, term: int, primary: str | None, hold: float
    ) -> None:
        """Wait up to `hold` seconds for a leader that the requester does not know.

        :param term: the highest term that the requester knows.
        :param primary: the primary of `term`, or None if the requester does not
            know it.
        """
        try:
            async with asyncio.timeout(hold):
                while not self.knows_newer_leader(term, primary):
                    await self.leader_changed.wait()
        except TimeoutError:
            return

    def knows_newer_leader(self, term: int, primary: str | None) -> bool:
        """Return whether this host knows a leader that the requester does not."""
        if self.group_state.primary is None:
            return False
        return self.group_state.term > term or (
            self.group_state.term == term and primary is None
        )

    def on_leader_change(self, term: int, primary: str) -> None:
        """Wake long polls and reset reporting after a change of leader."""
        self.leader_changed.set()
        self.leader_changed = asyncio.Event()
        self.leader_changed_at = self.clock.monotonic()
        self.reporter.reset()
        self.timeline.record(
            EventKind.PRIMARY_LEARNED, self.group.name, term=term, primary=primary
        )

    def on_watermark_advance(self, watermark: Position) -> None:
        """Record when the first entry of a new term becomes durable."""
        if watermark.term <= self.last_durable_term:
            return
        previous_term, self.last_durable_term = self.last_durable_term, watermark.term
        if self.local_leader() is None:
            return
        elapsed = self.clock.monotonic() - self.leader_changed_at
        if previous_term:
            self.metrics.timing("primary.first_write", elapsed)
        self.timeline.record(
            EventKind.WRITES_RESUMED,
            self.group.name,
            term=watermark.term,
            primary=self.group_state.primary,
            after_learned_ms=to_rounded_ms(elapsed),
        )
