"""Keep one database group: what is known of it, proofs, and its primary."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import MemberState, TargetError
from ...directory import Directory
from ...metrics import Metrics
from ...peer import PeerError, Peers
from ...request.position import Position
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...request.view import GroupView
from ...version.catalog import Group
from ..events.timeline import EventKind, Timeline
from .confirmation import Confirmation, Lead
from .control import Control, Controller, Op, PeerController
from .coordinator import Coordinator, OutcomeCallback, milliseconds
from .guard import Guard, HostLostCallback
from .handover import HandOver
from .knowledge import Knowledge
from .proofs import Proofs
from .report import Report, ReportAnswer, Reporter
from .sampling import Sampling
from .suspicion import Verifier

CONFIRM_TIMEOUT: Final = 0.25
CONFIRM_AGAIN: Final = 0.01
CONFIRM_SLOW: Final = 0.1
UNHEARD_AFTER: Final = 0.5
LOOK_AFTER_LEAD: Final = 0.1
VIEW_INTERVAL: Final = 1.0
RETRY_SOON_MS: Final = 50
RETRY_UNSAFE_MS: Final = 250
RETRY_ISOLATED_MS: Final = 100


class GroupKeeper:
    """Answer for one group on a host that is home of one of its members.

    :param homes: returns the local homes of the group's members.
    :param on_outcome: is told of each change of primary made here.
    :param on_host_lost: is told when a home seems dead and its target lives.
    :ivar view: what this host knows of the group.
    """

    def __init__(
        self,
        group: Group,
        homes: Callable[[], Iterable[Home]],
        directory: Directory,
        peers: Peers,
        clock: Clock,
        random: Random,
        timeline: Timeline,
        metrics: Metrics,
        on_outcome: OutcomeCallback,
        on_host_lost: HostLostCallback | None = None,
        controller: Controller | None = None,
    ) -> None:
        self.group = group
        self.homes = homes
        self.directory = directory
        self.peers = peers
        self.clock = clock
        self.timeline = timeline
        self.metrics = metrics
        self.knowledge = Knowledge(group, clock)
        self.knowledge.on_leader.append(self.leader_learned)
        self.knowledge.on_durable.append(self.durable_grew)
        self.controller = controller or PeerController(
            group, self.home, directory, peers
        )
        self.reporter = Reporter(
            self.knowledge, homes, directory, peers, clock, self.doubt
        )
        self.verifier = Verifier(group, directory, peers)
        self.coordinator = Coordinator(
            self.knowledge,
            self.controller,
            homes,
            directory,
            clock,
            random,
            timeline,
            metrics,
            on_outcome,
        )
        self.guard = Guard(
            self.knowledge,
            self.reporter,
            self.verifier,
            self.coordinator,
            directory,
            clock,
            timeline,
            metrics,
            on_host_lost,
        )
        self.confirmation = Confirmation(
            [member.member for member in group.members],
            group.majority,
            self.ask,
            self.known_lead,
            self.knowledge.samples.add,
            clock,
            CONFIRM_TIMEOUT,
        )
        self.handing = HandOver(self.knowledge, self.coordinator, clock)
        self.tasks: list[asyncio.Task[None]] = []
        self.sampling = Sampling(
            self.knowledge, self.reporter, self.confirmation, self.local_lead, clock
        )
        self.asking: asyncio.Task[None] | None = None
        self.proofs = Proofs()
        self.learned_at = 0.0
        self.resumed = 0
        self.leader_news = asyncio.Event()
        self.alone = False
        self.heard: dict[str, float] = {}
        self.told: dict[str, float] = {}

    @property
    def view(self) -> GroupView:
        """Return what this host knows of the group."""
        return self.knowledge.view

    async def start(self) -> None:
        """Begin to follow the local members and to watch the primary."""
        self.tasks = [
            asyncio.create_task(self.guard.run()),
            asyncio.create_task(self.look_after_lead()),
        ]
        self.refresh()
        self.doubt()

    def refresh(self) -> None:
        """Take note that the set of local homes may have changed."""
        self.reporter.refresh()
        if self.knowledge.durability.waited():
            self.ask_if_unreported()

    async def retire(self) -> None:
        """Close once the proofs in progress have ended; they have deadlines."""
        for task in self.tasks:
            task.cancel()
        self.refresh()
        await self.proofs.ended()
        await self.close()

    async def close(self) -> None:
        """Stop; the members are left as they are."""
        self.reporter.close()
        self.confirmation.close()
        self.sampling.close()
        for task in [*self.tasks, self.asking]:
            if task is not None:
                task.cancel()

    def doubt(self) -> None:
        """Have the guard look at the primary soon."""
        self.guard.doubt()

    def home(self, member: str | None) -> Home | None:
        """Return the local home of `member`, or None."""
        return self.reporter.home(member)

    def known_lead(self) -> Lead | None:
        """Return the leader that is known."""
        primary = self.knowledge.primary
        return None if primary is None else Lead(self.knowledge.term, primary)

    def local_lead(self) -> Lead | None:
        """Return the leader if its home is here."""
        if self.home(self.knowledge.primary) is None:
            return None
        return self.known_lead()

    # Proofs for statements

    def wrote(self, member: str, position: Position) -> None:
        """Learn from the answer to a write."""
        self.knowledge.note_write(member, position)

    async def durable(
        self, position: Position, timeout: float, since: float | None = None
    ) -> None:
        """Return once a majority holds `position` at its term.

        What took long is confirmed besides: this host may have been paused
        while another primary came up, and must not speak for the former one.

        :param since: local monotonic time in seconds at which the write was
            sent to the target; now by default.
        :raises Refusal: ``not_durable`` after `timeout` seconds or once no
            majority is reached, or ``superseded`` once a later term leaves
            its fate unknown; the write may have run.
        """
        begun = self.clock.monotonic() if since is None else since
        try:
            async with self.proofs, asyncio.timeout(timeout):
                self.ask_if_unreported()
                held = await self.knowledge.durability.wait(position, timeout)
                if held and self.clock.monotonic() - begun > CONFIRM_SLOW:
                    held = await self.led(self.request_confirmation(), position.term)
        except TimeoutError:
            self.metrics.increment("group.not_durable")
            raise may_have_run(
                RefusalReason.NOT_DURABLE,
                "applied, not yet safe: no majority holds it in time",
                RETRY_UNSAFE_MS,
            ) from None
        if not held:
            self.check_reach()
            self.metrics.increment("group.superseded")
            raise may_have_run(
                RefusalReason.SUPERSEDED,
                "the primary was superseded before the write was known to be safe",
                RETRY_SOON_MS,
            )

    def ask_if_unreported(self) -> None:
        """Ask the members while somebody waits and their reports go elsewhere.

        A commit may end here after the primary's home has moved.
        """
        if self.local_lead() is None and (self.asking is None or self.asking.done()):
            self.asking = asyncio.create_task(self.ask_while_waited())

    async def ask_while_waited(self) -> None:
        """Learn the members' states by rounds until nobody waits here for them."""
        while self.knowledge.durability.waited() and self.local_lead() is None:
            await self.confirmation.wait(self.confirmation.request())
            await self.clock.sleep(CONFIRM_AGAIN)

    def request_confirmation(self) -> int:
        """Return the ticket of a confirmation that begins from now on."""
        return self.confirmation.request()

    async def confirmed(self, ticket: int, position: Position, timeout: float) -> None:
        """Return once the primary is proved to have led after the ticket.

        The position that the read saw must be durable too, lest a change of
        primary take back what the read showed.

        :raises Refusal: ``unconfirmed``; a read has no effect.
        """
        try:
            async with self.proofs, asyncio.timeout(timeout):
                held = await self.led(ticket, position.term)
                held = held and await self.knowledge.durability.wait(position, timeout)
        except TimeoutError:
            held = False
        if not held:
            self.metrics.increment("group.unconfirmed")
            raise not_run(
                RefusalReason.UNCONFIRMED,
                "no majority confirms that the primary still leads",
                RETRY_SOON_MS,
            )

    async def led(self, ticket: int, term: int) -> bool:
        """Prove that the primary of `term` led after the ticket was taken.

        A round that fails is followed by another one, which proves more.

        :returns: False if a later term is known.
        """
        await self.confirmation.wait(ticket)
        while not self.confirmation.confirms(ticket, term):
            if self.knowledge.term > term or self.isolated:
                return False
            await self.clock.sleep(CONFIRM_AGAIN)
            await self.confirmation.wait(self.confirmation.request())
        return True

    def age(self, applied: Position) -> float | None:
        """Return the proved upper bound of the age of `applied`, in seconds."""
        return self.knowledge.age(applied)

    # Questions of other hosts

    async def on_report(self, report: Report) -> ReportAnswer:
        """Learn from a report and answer it."""
        now = self.clock.monotonic()
        self.knowledge.absorb(report.state, now)
        self.heard[report.state.member] = now
        if report.want is not None:
            await self.sampling.serve(report.want, report.prompt)
        return self.report_answer(report.state.member)

    def report_answer(self, member: str) -> ReportAnswer:
        """Return what the home of `member` should know.

        What is known of the other members goes along once a second.
        """
        view = GroupView(self.group.name, self.view.term, self.view.primary)
        now = self.clock.monotonic()
        if now - self.told.get(member, -VIEW_INTERVAL) >= VIEW_INTERVAL:
            self.told[member] = now
            self.refresh_view()
            view = self.view
        home = self.home(self.knowledge.primary)
        return ReportAnswer(
            view,
            self.knowledge.samples.newest,
            home is not None,
            home is None or home.unreachable_since is None,
        )

    def refresh_view(self) -> None:
        """Bring the view of the local members up to date."""
        for home in self.homes():
            self.reporter.learn(home)

    async def on_confirm(self, member: str) -> MemberState:
        """Ask the local target `member` for a state sent from now on.

        :raises Refusal: if it is not at home here or gives no answer.
        """
        home = self.home(member)
        if home is None:
            raise not_run(RefusalReason.WRONG_HOME, f"{member} is not at home here")
        asked = self.clock.monotonic()
        try:
            state = await home.fetch_state(CONFIRM_TIMEOUT)
        except TargetError as error:
            raise not_run(RefusalReason.TARGET_UNREACHABLE, str(error)) from error
        self.knowledge.absorb(state, asked)
        return state

    def controlled(self, order: Control, state: MemberState, asked: float) -> None:
        """Learn from an order that another host gave to a local member."""
        if order.op is Op.FOLLOW and state.leader_term == order.term:
            self.knowledge.lead(order.term, order.primary)
        self.knowledge.absorb(state, asked)

    # Confirmation

    async def ask(self, member: str, timeout: float) -> MemberState | None:
        """Ask `member` for a state sent from now on, at its home."""
        try:
            if self.home(member) is not None:
                return await self.on_confirm(member)
            return await self.ask_peer(member, timeout)
        except (PeerError, RefusalError):
            return None

    async def ask_peer(self, member: str, timeout: float) -> MemberState | None:
        """Send the question `confirm` to the home of `member`."""
        host = self.directory.home(member, self.reporter.zone(member))
        if host is None:
            return None
        asked = self.clock.monotonic()
        body = {"group": self.group.name, "member": member, "term": self.view.term}
        answer = await self.peers.call(host, "confirm", body, timeout)
        state = MemberState.from_json(answer["state"])
        self.knowledge.merge(GroupView.from_json(answer["view"], asked))
        self.knowledge.absorb(state, asked)
        self.heard[member] = self.clock.monotonic()
        return state

    # Change of primary

    async def look_after_lead(self) -> None:
        """Ask the other members when a local primary hears nothing of them.

        A primary that was cut off learns so that it has been superseded. If
        none answers, those who wait for a proof get their answer at once.
        """
        while True:
            await self.clock.sleep(LOOK_AFTER_LEAD)
            lead = self.local_lead()
            if lead is None or self.hears_majority():
                self.alone = False
                continue
            await self.confirmation.wait(self.confirmation.request())
            if self.confirmation.stalled:
                # Answers may lie unread in this process: nothing is known yet.
                continue
            # Who was heard just now is not alone, also if a stall of this process
            # makes the next reports late before the next look.
            self.alone = self.local_lead() == lead and not self.hears_majority()
            if self.isolated:
                self.knowledge.durability.abandon()

    @property
    def isolated(self) -> bool:
        """Say whether a local primary was found to reach no majority."""
        return self.alone and not self.hears_majority()

    def check_reach(self) -> None:
        """Refuse a write while no majority can be reached.

        It is not sent to the target, but an earlier one of its request id may
        have run there.

        :raises Refusal: ``not_durable``; may have run.
        """
        if not self.isolated:
            return
        self.metrics.increment("group.not_durable")
        raise may_have_run(
            RefusalReason.NOT_DURABLE,
            "the primary's home reaches no majority of the group",
            RETRY_ISOLATED_MS,
        )

    def hears_majority(self) -> bool:
        """Say whether enough members reported lately to make a majority.

        A new primary's home has yet to be found by the others.
        """
        now = self.clock.monotonic()
        if now - self.learned_at < UNHEARD_AFTER:
            return True
        local = {home.member.member for home in self.homes()}
        heard = {
            member for member, at in self.heard.items() if now - at < UNHEARD_AFTER
        }
        return len(local | heard) >= self.group.majority

    async def hand_over(self, timeout: float) -> bool:
        """Move the lead away from the present primary, with a short pause.

        :returns: whether another member leads now.
        """
        return await self.handing.run(timeout)

    async def newer_leader(self, term: int, primary: str | None, hold: float) -> None:
        """Wait up to `hold` seconds for a leader that an asker does not know.

        :param term: the term that the asker knows, with its primary if known.
        """
        try:
            async with asyncio.timeout(hold):
                while not self.newer(term, primary):
                    await self.leader_news.wait()
        except TimeoutError:
            return

    def newer(self, term: int, primary: str | None) -> bool:
        """Say whether a leader is known here that is news to an asker."""
        if self.knowledge.primary is None:
            return False
        return self.knowledge.term > term or (
            self.knowledge.term == term and primary is None
        )

    def leader_learned(self, term: int, primary: str) -> None:
        """Act on a new leader."""
        self.leader_news.set()
        self.leader_news = asyncio.Event()
        self.learned_at = self.clock.monotonic()
        self.reporter.reset()
        self.timeline.record(
            EventKind.PRIMARY_LEARNED, self.group.name, term=term, primary=primary
        )

    def durable_grew(self, mark: Position) -> None:
        """Record when the first entry of a term is durable."""
        if mark.term <= self.resumed:
            return
        former, self.resumed = self.resumed, mark.term
        if self.local_lead() is None:
            return
        since = self.clock.monotonic() - self.learned_at
        if former:
            self.metrics.timing("primary.first_write", since)
        self.timeline.record(
            EventKind.WRITES_RESUMED,
            self.group.name,
            term=mark.term,
            primary=self.knowledge.primary,
            after_learned_ms=milliseconds(since),
        )
