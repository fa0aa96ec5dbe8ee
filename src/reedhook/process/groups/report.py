"""Reports of replicas' states to the home of their primary."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import MemberState, TargetError
from ...directory import Directory
from ...peer import HostRef, PeerError, Peers
from ...record import Record
from ...request.refusal import RefusalError
from ...request.view import GroupView
from ...wire import Json, reader, text
from .knowledge import Knowledge
from .sample import Sample

REPORT_INTERVAL: Final = 0.2
SILENT_INTERVAL: Final = 0.1
LOOK_INTERVAL: Final = 0.05
DOUBT_AFTER: Final = 0.1
REPORT_TIMEOUT: Final = 0.25
HOME_SILENT_AFTER: Final = 0.25
IN_FLIGHT: Final = 2
FOLLOW_TIMEOUT: Final = 0.25
WANT_KEPT: Final = 3.0
WANT_SHARE: Final = 3
CANDIDATES: Final = 2


class Report(Record):
    """Carry the state of a replica to its primary's home.

    :param want: age in seconds that bounded reads asked lately; None if none.
    :param prompt: whether the answer should wait for a sample that serves.
    """

    __slots__ = ("group", "state", "want", "prompt")

    def __init__(
        self,
        group: str,
        state: MemberState,
        want: float | None,
        prompt: bool = False,
    ) -> None:
        self.group = group
        self.state = state
        self.want = want
        self.prompt = prompt

    def to_json(self) -> Json:
        """Return the body of the peer path ``report``."""
        return {
            "group": self.group,
            "state": self.state.to_json(),
            "want": self.want,
            "prompt": self.prompt,
        }

    @classmethod
    @reader
    def from_json(cls, message: Json) -> "Report":
        """Read the body of the peer path ``report``."""
        want = message["want"]
        return cls(
            text(message, "group"),
            MemberState.from_json(message["state"]),
            None if want is None else float(want),
            message["prompt"],
        )


class ReportAnswer(Record):
    """Carry what the receiver of a report knows.

    :param home: whether it is home of the primary.
    :param alive: whether the primary answers it.
    """

    __slots__ = ("view", "sample", "home", "alive")

    def __init__(
        self, view: GroupView, sample: Sample | None, home: bool, alive: bool
    ) -> None:
        self.view = view
        self.sample = sample
        self.home = home
        self.alive = alive

    def to_json(self, now: float) -> Json:
        """Return the answer of the peer path ``report``."""
        return {
            "view": self.view.to_json(now),
            "sample": self.sample.to_json(now) if self.sample else None,
            "home": self.home,
            "alive": self.alive,
        }

    @classmethod
    def from_json(cls, message: Json, asked: float) -> "ReportAnswer":
        """Read the answer to a report sent at `asked`."""
        sample = message["sample"]
        return cls(
            GroupView.from_json(message["view"], asked),
            Sample.from_json(sample, asked) if sample else None,
            message["home"],
            message["alive"],
        )


class Contact:
    """Track since when the primary's home leaves reports unanswered.

    :ivar silent_since: local monotonic time in seconds at which the first
        report was sent that no answer followed; None if there is none.
    :ivar broken: whether a report could not be sent or was not answered in time.
    :ivar told_lost: whether the home says that the primary does not answer.
    """

    def __init__(self) -> None:
        self.silent_since: float | None = None
        self.broken = False
        self.last_sent = 0.0
        self.told_lost = False

    def sent(self, now: float) -> None:
        """Take note of a report sent now."""
        self.last_sent = now
        if self.silent_since is None:
            self.silent_since = now

    def answered(self, asked: float, alive: bool) -> None:
        """Take note of an answer to the report sent at `asked`.

        Reports sent later are still open, but none was open for longer.
        """
        self.told_lost = not alive
        self.broken = False
        self.silent_since = self.last_sent if self.last_sent > asked else None

    def reset(self) -> None:
        """Forget everything; the primary has changed."""
        self.silent_since = None
        self.broken = False
        self.told_lost = False

    def silence(self, now: float) -> float:
        """Return for how many seconds reports have stayed unanswered."""
        return 0.0 if self.silent_since is None else now - self.silent_since


class Reporter:
    """Follow the states of the local members and report those of replicas.

    :param doubt: is called whenever something speaks against the primary.
    :ivar want: smallest age asked by bounded reads lately, in seconds.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        homes: Callable[[], Iterable[Home]],
        directory: Directory,
        peers: Peers,
        clock: Clock,
        doubt: Callable[[], None],
    ) -> None:
        self.knowledge = knowledge
        self.homes = homes
        self.directory = directory
        self.peers = peers
        self.clock = clock
        self.doubt = doubt
        self.contact = Contact()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.sending: set[asyncio.Task[None]] = set()
        self.slots: dict[str, asyncio.Semaphore] = {}
        self.want: float | None = None
        self.want_until = 0.0
        self.turn = 0

    def refresh(self) -> None:
        """Follow exactly the members whose home is here now."""
        local = {home.member.member: home for home in self.homes()}
        if not local:
            self.contact.reset()
        for member in self.tasks.keys() - local.keys():
            self.tasks.pop(member).cancel()
        for member, home in local.items():
            task = self.tasks.get(member)
            if task is None or task.done():
                self.slots[member] = asyncio.Semaphore(IN_FLIGHT)
                self.tasks[member] = asyncio.create_task(self.follow(home))

    def reset(self) -> None:
        """Give up reports to a former primary's home; they hold the slots."""
        self.contact.reset()
        for task in self.sending - {asyncio.current_task()}:
            task.cancel()

    def close(self) -> None:
        """Stop following and reporting."""
        for task in [*self.tasks.values(), *self.sending]:
            task.cancel()
        self.tasks.clear()

    def home(self, member: str | None) -> Home | None:
        """Return the local home of `member`, or None."""
        for home in self.homes():
            if home.member.member == member:
                return home
        return None

    def desire(self, age: float) -> None:
        """Take note that bounded reads ask for `age` seconds."""
        now = self.clock.monotonic()
        if self.want is None or age < self.want or now > self.want_until:
            self.want = age
        self.want_until = now + WANT_KEPT

    def wanted(self) -> float | None:
        """Return the age that bounded reads asked lately, in seconds."""
        return self.want if self.clock.monotonic() <= self.want_until else None

    def interval(self, member: str) -> float:
        """Return after how many seconds an unchanged state is looked at again.

        The home of the primary looks often, since it sees first whether the
        primary answers, and a look costs no message.
        """
        if member == self.knowledge.primary:
            return LOOK_INTERVAL
        if self.contact.silent_since is not None:
            return SILENT_INTERVAL
        want = self.wanted()
        if want is None:
            return REPORT_INTERVAL
        return min(REPORT_INTERVAL, max(want / WANT_SHARE, SILENT_INTERVAL / 2))

    async def follow(self, home: Home) -> None:
        """Learn each change of the state of one local member, and report it."""
        revision = -1
        while True:
            await home.wait_for_state_change(
                revision, self.interval(home.member.member)
            )
            state = home.state
            if home.unreachable_since is not None or self.fenced(state):
                self.doubt()
            if state is None:
                continue
            revision = state.revision
            self.learn(home)
            if state.member == self.knowledge.primary:
                continue
            await self.heal(home, state)
            await self.slots[state.member].acquire()
            self.send(home)

    def fenced(self, state: MemberState | None) -> bool:
        """Say whether a member has promised a term that nobody leads yet."""
        return state is not None and state.promised > self.knowledge.term

    def learn(self, home: Home) -> None:
        """Learn the newest state of a local member."""
        if home.state is not None:
            wait = home.load().wait
            self.knowledge.absorb(
                home.state, home.state_requested_at, wait, home.leaving
            )

    async def heal(self, home: Home, state: MemberState) -> None:
        """Tell a member that follows a former term whom to follow now."""
        term, primary = self.knowledge.term, self.knowledge.primary
        if primary is None or state.leader_term >= term or state.promised > term:
            return
        if home.unreachable_since is not None:
            return
        try:
            await home.follow(term, primary, FOLLOW_TIMEOUT)
        except TargetError:
            return
        self.learn(home)

    def send(self, home: Home) -> None:
        """Report the newest state in a task of its own."""
        task = asyncio.create_task(self.report(home))
        self.sending.add(task)
        task.add_done_callback(self.sending.discard)

    async def report(self, home: Home) -> None:
        """Report once; the slot taken by the caller is freed."""
        try:
            primary = self.knowledge.primary
            if home.state is None or primary is None or self.home(primary):
                if primary is None:
                    self.doubt()
                return
            await self.ask(home.state, primary)
        finally:
            self.slots[home.member.member].release()

    async def ask(self, state: MemberState, primary: str) -> None:
        """Send one report and learn from its answer."""
        asked = self.clock.monotonic()
        self.contact.sent(asked)
        loop = asyncio.get_running_loop()
        alarm = loop.call_later(DOUBT_AFTER, self.doubt)
        try:
            report = Report(self.knowledge.group.name, state, self.wanted())
            answer = await self.call(report, primary, REPORT_TIMEOUT)
        except PeerError:
            self.contact.broken = True
            self.doubt()
            return
        except RefusalError:
            self.doubt()
            return
        finally:
            alarm.cancel()
        if answer.home and self.knowledge.primary == primary:
            self.contact.answered(asked, answer.alive)
        if not answer.alive:
            self.doubt()

    async def call(self, report: Report, primary: str, timeout: float) -> ReportAnswer:
        """Report to the primary's home and take over what it knows.

        :raises PeerError: if no answer came.
        :raises Refusal: if the receiver knows nothing of the group.
        """
        host = self.receiver(primary)
        asked = self.clock.monotonic()
        message = await self.peers.call(host, "report", report.to_json(), timeout)
        answer = ReportAnswer.from_json(message, asked)
        self.knowledge.merge(answer.view)
        if answer.sample is not None:
            self.knowledge.samples.add(answer.sample)
        return answer

    def receiver(self, primary: str) -> HostRef:
        """Return the primary's home; while it is silent, its standby in turn.

        :raises PeerError: if no live host is known.
        """
        hosts = self.directory.ranked(primary, self.zone(primary))[:CANDIDATES]
        if not hosts:
            raise PeerError("no live host is known", sent=False)
        if self.contact.silence(self.clock.monotonic()) < HOME_SILENT_AFTER:
            return hosts[0]
        self.turn += 1
        return hosts[self.turn % len(hosts)]

    def zone(self, member: str) -> str:
        """Return the availability zone of `member`."""
        for one in self.knowledge.group.members:
            if one.member == member:
                return one.zone
        return ""
