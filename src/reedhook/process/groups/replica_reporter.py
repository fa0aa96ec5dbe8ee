"""Reports of replica states to the home of the primary."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import MemberState, TargetError
from ...host_directory import HostDirectory
from ...peer import HostRef, PeerClient, PeerError
from ...record import Record
from ...request.group_view import GroupView
from ...request.refusal import RefusalError
from ...wire import Json, string_field, wraps_decode_errors
from .group_state import GroupState
from .primary_sample import PrimarySample

REPORT_INTERVAL_SECONDS: Final = 0.2
SILENT_PRIMARY_INTERVAL_SECONDS: Final = 0.1
PRIMARY_CHECK_INTERVAL_SECONDS: Final = 0.05
CHECK_UNANSWERED_AFTER_SECONDS: Final = 0.1
REPORT_TIMEOUT_SECONDS: Final = 0.25
HOME_SILENT_AFTER_SECONDS: Final = 0.25
MAX_REPORTS_IN_FLIGHT: Final = 2
FOLLOW_TIMEOUT_SECONDS: Final = 0.25
WANTED_AGE_VALIDITY_SECONDS: Final = 3.0
REPORTS_PER_WANTED_AGE: Final = 3
MAX_RECEIVERS: Final = 2


class ReplicaReport(Record):
    """Report of a replica's state to the home of its primary.

    :param wanted_age: smallest age in seconds of recent bounded reads, or None.
    :param wait_for_sample: whether the answer waits for a recent enough sample.
    """

    __slots__ = ("group", "state", "wanted_age", "wait_for_sample")

    def __init__(
        self,
        group: str,
        state: MemberState,
        wanted_age: float | None,
        wait_for_sample: bool = False,
    ) -> None:
        self.group = group
        self.state = state
        self.wanted_age = wanted_age
        self.wait_for_sample = wait_for_sample

    def to_json(self) -> Json:
        """Return the body of the peer path ``report``."""
        return {
            "group": self.group,
            "state": self.state.to_json(),
            "want": self.wanted_age,
            "prompt": self.wait_for_sample,
        }

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "ReplicaReport":
        """Parse the body of the peer path ``report``."""
        want = message["want"]
        return cls(
            string_field(message, "group"),
            MemberState.from_json(message["state"]),
            None if want is None else float(want),
            message["prompt"],
        )


class ReplicaReportAnswer(Record):
    """Answer to a report.

    :param is_primary_home: whether the receiver is home of the primary.
    :param primary_alive: whether the primary answers the receiver.
    """

    __slots__ = ("view", "sample", "is_primary_home", "primary_alive")

    def __init__(
        self,
        view: GroupView,
        sample: PrimarySample | None,
        is_primary_home: bool,
        primary_alive: bool,
    ) -> None:
        self.view = view
        self.sample = sample
        self.is_primary_home = is_primary_home
        self.primary_alive = primary_alive

    def to_json(self, now: float) -> Json:
        """Return the answer of the peer path ``report``."""
        return {
            "view": self.view.to_json(now),
            "sample": self.sample.to_json(now) if self.sample else None,
            "home": self.is_primary_home,
            "alive": self.primary_alive,
        }

    @classmethod
    def from_json(cls, message: Json, asked: float) -> "ReplicaReportAnswer":
        """Parse the answer to a report sent at `asked`, local monotonic seconds."""
        sample = message["sample"]
        return cls(
            GroupView.from_json(message["view"], asked),
            PrimarySample.from_json(sample, asked) if sample else None,
            message["home"],
            message["alive"],
        )


class PrimaryContact:
    """Track whether the home of the primary answers reports.

    :ivar last_sent: local monotonic time in seconds of the last report.
    :ivar silent_since: local monotonic time in seconds at which the unanswered
        reports begin; None if all are answered.
    :ivar broken: whether a report failed or timed out since the last answer.
    :ivar primary_reported_lost: whether the home reported the primary unreachable.
    """

    def __init__(self) -> None:
        self.silent_since: float | None = None
        self.broken = False
        self.last_sent = 0.0
        self.primary_reported_lost = False

    def record_sent(self, now: float) -> None:
        """Record a report that is sent now."""
        self.last_sent = now
        if self.silent_since is None:
            self.silent_since = now

    def record_answer(self, asked: float, alive: bool) -> None:
        """Record an answer to the report sent at `asked`.

        If a later report is still unanswered, the silence starts at the last one.
        """
        self.primary_reported_lost = not alive
        self.broken = False
        self.silent_since = self.last_sent if self.last_sent > asked else None

    def reset(self) -> None:
        """Clear the state after a change of primary."""
        self.silent_since = None
        self.broken = False
        self.primary_reported_lost = False

    def silence(self, now: float) -> float:
        """Return the seconds for which reports have been unanswered."""
        return 0.0 if self.silent_since is None else now - self.silent_since


class ReplicaReporter:
    """Follow the states of local members and report those of replicas.

    :param request_check: called when the primary may be lost.
    :ivar smallest_wanted_age: smallest age in seconds of recent bounded reads.
    :ivar want_until: local monotonic time in seconds at which that age expires.
    :ivar receiver_index: counter that alternates the receiver of reports.
    """

    def __init__(
        self,
        group_state: GroupState,
        homes: Callable[[], Iterable[Home]],
        directory: HostDirectory,
        peers: PeerClient,
        clock: Clock,
        request_check: Callable[[], None],
    ) -> None:
        self.group_state = group_state
        self.homes = homes
        self.directory = directory
        self.peers = peers
        self.clock = clock
        self.request_check = request_check
        self.contact = PrimaryContact()
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.sending: set[asyncio.Task[None]] = set()
        self.send_permits: dict[str, asyncio.Semaphore] = {}
        self.smallest_wanted_age: float | None = None
        self.want_until = 0.0
        self.receiver_index = 0

    def refresh(self) -> None:
        """Follow exactly the members whose home is on this host."""
        local = {home.member.member_id: home for home in self.homes()}
        if not local:
            self.contact.reset()
        for member in self.tasks.keys() - local.keys():
            self.tasks.pop(member).cancel()
        for member, home in local.items():
            task = self.tasks.get(member)
            if task is None or task.done():
                self.send_permits[member] = asyncio.Semaphore(MAX_REPORTS_IN_FLIGHT)
                self.tasks[member] = asyncio.create_task(self.follow(home))

    def reset(self) -> None:
        """Cancel reports to the former primary's home to free their permits."""
        self.contact.reset()
        for task in self.sending - {asyncio.current_task()}:
            task.cancel()

    def close(self) -> None:
        """Cancel all tasks."""
        for task in [*self.tasks.values(), *self.sending]:
            task.cancel()
        self.tasks.clear()

    def home(self, member: str | None) -> Home | None:
        """Return the local home of `member`, or None."""
        for home in self.homes():
            if home.member.member_id == member:
                return home
        return None

    def record_wanted_age(self, age: float) -> None:
        """Record the maximum age of a bounded read, in seconds."""
        now = self.clock.monotonic()
        if (
            self.smallest_wanted_age is None
            or age < self.smallest_wanted_age
            or now > self.want_until
        ):
            self.smallest_wanted_age = age
        self.want_until = now + WANTED_AGE_VALIDITY_SECONDS

    def wanted_age(self) -> float | None:
        """Return the smallest age of recent bounded reads in seconds, or None."""
        return (
            self.smallest_wanted_age
            if self.clock.monotonic() <= self.want_until
            else None
        )

    def interval(self, member: str) -> float:
        """Return the seconds after which an unchanged state is processed again.

        The home of the primary checks often, since it is the first to detect an
        unreachable primary, and the check sends no message.
        """
        if member == self.group_state.primary:
            return PRIMARY_CHECK_INTERVAL_SECONDS
        if self.contact.silent_since is not None:
            return SILENT_PRIMARY_INTERVAL_SECONDS
        wanted_age = self.wanted_age()
        if wanted_age is None:
            return REPORT_INTERVAL_SECONDS
        return min(
            REPORT_INTERVAL_SECONDS,
            max(
                wanted_age / REPORTS_PER_WANTED_AGE, SILENT_PRIMARY_INTERVAL_SECONDS / 2
            ),
        )

    async def follow(self, home: Home) -> None:
        """Merge and report each change of state of one local member."""
        revision = -1
        while True:
            await home.wait_for_state_change(
                revision, self.interval(home.member.member_id)
            )
            state = home.state
            if home.unreachable_since is not None or self.fenced(state):
                self.request_check()
            if state is None:
                continue
            revision = state.revision
            self.merge_local_state(home)
            if state.member == self.group_state.primary:
                continue
            await self.redirect_stale_member(home, state)
            await self.send_permits[state.member].acquire()
            self.start_report(home)

    def fenced(self, state: MemberState | None) -> bool:
        """Return whether a member promised a term that has no known leader yet."""
        return state is not None and state.promised > self.group_state.term

    def merge_local_state(self, home: Home) -> None:
        """Merge the newest state of a local member."""
        if home.state is not None:
            wait = home.load().wait
            self.group_state.merge_state(
                home.state, home.state_requested_at, wait, home.leaving
            )

    async def redirect_stale_member(self, home: Home, state: MemberState) -> None:
        """Make a member of a former term follow the current primary."""
        term, primary = self.group_state.term, self.group_state.primary
        if primary is None or state.leader_term >= term or state.promised > term:
            return
        if home.unreachable_since is not None:
            return
        try:
            await home.follow(term, primary, FOLLOW_TIMEOUT_SECONDS)
        except TargetError:
            return
        self.merge_local_state(home)

    def start_report(self, home: Home) -> None:
        """Report the newest state in a separate task."""
        task = asyncio.create_task(self.report_state(home))
        self.sending.add(task)
        task.add_done_callback(self.sending.discard)

    async def report_state(self, home: Home) -> None:
        """Report once and release the permit that :meth:`follow` acquired."""
        try:
            primary = self.group_state.primary
            if home.state is None or primary is None or self.home(primary):
                if primary is None:
                    self.request_check()
                return
            await self.send_report(home.state, primary)
        finally:
            self.send_permits[home.member.member_id].release()

    async def send_report(self, state: MemberState, primary: str) -> None:
        """Send one report and merge its answer."""
        asked = self.clock.monotonic()
        self.contact.record_sent(asked)
        loop = asyncio.get_running_loop()
        check_timer = loop.call_later(
            CHECK_UNANSWERED_AFTER_SECONDS, self.request_check
        )
        try:
            report = ReplicaReport(
                self.group_state.group.name, state, self.wanted_age()
            )
            answer = await self.call(report, primary, REPORT_TIMEOUT_SECONDS)
        except PeerError:
            self.contact.broken = True
            self.request_check()
            return
        except RefusalError:
            self.request_check()
            return
        finally:
            check_timer.cancel()
        if answer.is_primary_home and self.group_state.primary == primary:
            self.contact.record_answer(asked, answer.primary_alive)
        if not answer.primary_alive:
            self.request_check()

    async def call(
        self, report: ReplicaReport, primary: str, timeout: float
    ) -> ReplicaReportAnswer:
        """Send a report to the primary's home and merge the answer.

        :raises PeerError: if no answer came.
        :raises RefusalError: if the receiver has no home of the group.
        """
        host = self.receiver(primary)
        asked = self.clock.monotonic()
        message = await self.peers.call(host, "report", report.to_json(), timeout)
        answer = ReplicaReportAnswer.from_json(message, asked)
        self.group_state.merge(answer.view)
        if answer.sample is not None:
            self.group_state.samples.add(answer.sample)
        return answer

    def receiver(self, primary: str) -> HostRef:
        """Return the host to report to: the primary's home.

        While the home is silent, reports alternate between it and its standby.

        :raises PeerError: if no live host is known.
        """
        hosts = self.directory.ranked(primary, self.zone(primary))[:MAX_RECEIVERS]
        if not hosts:
            raise PeerError("no live host is known", sent=False)
        if self.contact.silence(self.clock.monotonic()) < HOME_SILENT_AFTER_SECONDS:
            return hosts[0]
        self.receiver_index += 1
        return hosts[self.receiver_index % len(hosts)]

    def zone(self, member: str) -> str:
        """Return the availability zone of `member`."""
        for candidate in self.group_state.group.members:
            if candidate.member_id == member:
                return candidate.zone
        return ""
