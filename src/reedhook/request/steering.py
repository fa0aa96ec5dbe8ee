"""Where the statements of sessions run: at the primary, or at which replica."""

from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..connection.member import Fault
from ..process.announced.announcements import Announcements
from ..process.decisions import Decisions
from ..process.desk import END, PROOF, WORK, Desk
from ..process.directory import Directory
from ..process.lead.book import LeadBook
from ..process.lead.leads import RECORDS_PATH
from ..process.lead.record import LeadRecord
from ..process.peer import HostRef, PeerError, Peers
from ..record import Record
from ..version.registry import Route, RouteKind, TargetEntry
from ..wire import Json, WireError
from .position import Position
from .refusal import Reason, Refusal, may_have_run, not_run
from .sightings import Sightings
from .verdict import Verdict
from .work import Proof, Work, WorkAnswer, WorkKind

AGE_MARGIN: Final = 0.15
"""Seconds by which a proof must be younger than a read demands: the way of the
read to the target, with a wait for a connection."""

HOP_GRACE: Final = 0.05
"""Seconds beyond the deadline for the answer of another host to arrive."""

READ_PATIENCE: Final = 0.45
"""Seconds after which a read that another host does not answer is sent
elsewhere; the host itself gives a target 0.35 s."""

PROOF_TIMEOUT: Final = 0.25
"""Seconds for another host to state a position."""

AGAIN_TIMEOUT: Final = 0.5
"""Seconds for another host to say again what became of a write."""

RECORDS_TIMEOUT: Final = 0.25
"""Seconds for another host to say who holds the leads."""

TRY_SILENT_EVERY: Final = 0.2
"""Seconds between two statements that try a host which gave no answer."""

SILENT_FOR: Final = 1.5
"""Seconds in which another host takes over from one that is lost; later what
depends on it is refused at once."""

LONGEST_WAIT: Final = 0.5
"""Seconds for which a statement looks for a primary; half of the shortest
timeout of a statement, rounded, so that it can run afterwards."""

PAUSE: Final = 0.06
"""Seconds between two tries to find the primary."""

BUSY_PAUSE: Final = 0.015
"""Seconds until a target with a full queue is asked again; one statement."""

MOST_BUSY: Final = 3
"""Times that targets with full queues are asked for one statement."""

MOST_REPLICAS: Final = 2
"""Replicas that are tried before the primary."""

ABROAD: Final = 0.012
"""Seconds by which a target of another availability zone must be faster: a hop
of 3 ms, and bytes between zones that are paid for."""

RETRY_MS: Final = 100
"""When to come back if no primary is found, in milliseconds."""

ELSEWHERE: Final = frozenset(
    {
        Reason.WRONG_HOME,
        Reason.HOST_UNREACHABLE,
        Reason.TARGET_UNREACHABLE,
        Reason.NO_PRIMARY,
    }
)
"""Reasons for which the primary may be found at another host a little later."""


class Place(Record):
    """Say where a transaction runs.

    :param target: empty for the primary.
    """

    __slots__ = ("host", "target")

    def __init__(self, host: HostRef, target: str) -> None:
        self.host = host
        self.target = target


class Placed(Record):
    """Carry an answer with the place that gave it."""

    __slots__ = ("answer", "place")

    def __init__(self, answer: WorkAnswer, place: Place) -> None:
        self.answer = answer
        self.place = place


class Steering:
    """Bring statements to targets by way of their homes.

    :ivar on_host_lost: is told of a host that gave no answer.
    """

    def __init__(
        self,
        desk: Desk,
        book: LeadBook,
        directory: Directory,
        peers: Peers,
        announcements: Announcements,
        clock: Clock,
        decisions: Decisions,
    ) -> None:
        self.desk = desk
        self.book = book
        self.directory = directory
        self.me = directory.me
        self.peers = peers
        self.announcements = announcements
        self.clock = clock
        self.decisions = decisions
        self.services: dict[str, Sightings] = {}
        self.lost_since: dict[str, float] = {}
        self.tried_at: dict[str, float] = {}
        self.on_host_lost: Callable[[HostRef], None] = lambda host: None

    async def run(
        self, route: Route, work: Work, own: Position | None, anywhere: bool
    ) -> Placed:
        """Run a statement that belongs to no transaction yet.

        :param own: the position of the session's last commit.
        :param anywhere: whether a replica may serve it.
        :raises Refusal: with a verdict that holds.
        """
        deadline = self.clock.monotonic() + work.left
        if anywhere and route.kind is not RouteKind.PRIMARY:
            placed = await self.at_replicas(route, work, own, deadline)
            if placed is not None:
                return placed
        work.after = None
        return await self.at_primary(work, deadline)

    # Replicas

    async def at_replicas(
        self, route: Route, work: Work, own: Position | None, deadline: float
    ) -> Placed | None:
        """Run a read at a replica that is fresh enough, or return None."""
        floor = await self.floor(route, own)
        if floor is None:
            return None
        tried: set[str] = set()
        while len(tried) < MOST_REPLICAS:
            entry = self.best_replica(route.service, floor, tried)
            if entry is None:
                return None
            tried.add(entry.target)
            placed = await self.at_replica(entry, work, floor, deadline)
            if placed is not None:
                return placed
        return None

    async def floor(self, route: Route, own: Position | None) -> Position | None:
        """Return the position that a replica must hold; None if unknown."""
        if route.max_age is None:
            return own
        since = self.clock.elapsed() - route.max_age + AGE_MARGIN
        sightings = self.sightings(route.service)
        proof = sightings.oldest(since)
        if proof is None:
            proof = await self.ask_proof(route, sightings)
        if proof is None:
            return None
        if own is not None and own > proof.position:
            return own
        return proof.position

    async def ask_proof(self, route: Route, sightings: Sightings) -> Proof | None:
        """Ask the host that leads the service for the primary's position."""
        record = self.book.get(route.service)
        assert route.max_age is not None
        age = route.max_age / 2
        if record is None:
            return None
        host = self.leader(record, False)
        asked = self.clock.elapsed()
        try:
            if host.host == self.me.host:
                proof = await self.desk.prove(route.service, asked - age)
            else:
                body: Json = {"service": route.service, "age": age}
                answer = await self.peers.call(host, PROOF, body, PROOF_TIMEOUT)
                proof = Proof.from_json(answer, asked)
        except (PeerError, Refusal, WireError) as error:
            self.decisions.note(
                "position_unknown", service=route.service, error=str(error)
            )
            return None
        sightings.prove(proof)
        return proof

    def best_replica(
        self, service: str, floor: Position, tried: set[str]
    ) -> TargetEntry | None:
        """Return the replica that is expected to answer first, or None."""
        now = self.clock.monotonic()
        sightings = self.sightings(service)
        record = self.book.get(service)
        primary = "" if record is None else record.primary
        best: TargetEntry | None = None
        least = float("inf")
        for entry in self.announcements.targets.values():
            if entry.service != service or entry.leaving or entry.target == primary:
                continue
            seen = sightings.target(entry.target)
            covered = seen.position is not None and seen.position >= floor
            if entry.target in tried or (now < seen.avoid_until and not covered):
                continue
            cost = seen.expected(now)
            cost += 0.0 if entry.zone == self.me.zone else ABROAD
            if cost < least:
                best, least = entry, cost
        return best

    async def at_replica(
        self, entry: TargetEntry, work: Work, floor: Position, deadline: float
    ) -> Placed | None:
        """Run a read at one replica; None if another target is to serve it."""
        host = self.directory.home(entry.target, entry.zone)
        if host is None:
            return None
        work.target = entry.target
        work.after = floor
        work.left = deadline - self.clock.monotonic()
        seen = self.sightings(work.service).target(entry.target)
        begun = self.clock.monotonic()
        seen.inflight += 1
        place = Place(host, entry.target)
        try:
            answer = await self.run_at(place, work)
        except Refusal as refusal:
            if refusal.verdict is not Verdict.NOT_RUN or work.left <= 0.0:
                raise
            seen.lost(self.clock.monotonic())
            self.rerouted(work, entry.target, refusal.reason.value)
            return None
        finally:
            seen.inflight -= 1
        now = self.clock.monotonic()
        reply = answer.reply
        if reply.fault is Fault.LAGGING:
            seen.lagged(reply.position, now)
            self.rerouted(work, entry.target, reply.fault.value, floor)
            return None
        if reply.fault is Fault.BUSY:
            self.rerouted(work, entry.target, reply.fault.value)
            return None
        seen.answered(now - begun, reply.position, now)
        return Placed(answer, place)

    def rerouted(
        self, work: Work, target: str, cause: str, floor: Position | None = None
    ) -> None:
        """Log that a read goes elsewhere."""
        position = None if floor is None else floor.to_json()
        self.decisions.note(
            "rerouted", id=work.id, target=target, cause=cause, floor=position
        )

    # The primary

    async def at_primary(self, work: Work, deadline: float) -> Placed:
        """Run a statement at the primary, looking for it for a while.

        :raises Refusal: with a verdict that holds.
        """
        work.target = ""
        give_up = self.clock.monotonic() + min(LONGEST_WAIT, work.left / 2)
        busy = 0
        refused_by_deputy = False
        while True:
            record = self.book.get(work.service)
            revision = 0 if record is None else record.revision
            work.left = deadline - self.clock.monotonic()
            try:
                if record is None:
                    raise no_primary(work.service)
                host = self.leader(record, refused_by_deputy)
                place = Place(host, "")
                answer = await self.run_at(place, work)
            except Refusal as refusal:
                if record is not None and host != record.holder.ref:
                    refused_by_deputy = True
                    if refusal.reason is Reason.WRONG_HOME:
                        continue
                await self.settle(work, refusal, revision, give_up)
                continue
            fault = answer.reply.fault
            if (
                fault is Fault.BUSY
                and busy < MOST_BUSY
                and work.kind is not WorkKind.COMMIT
            ):
                busy += 1
                await self.clock.sleep(BUSY_PAUSE)
                continue
            if fault is Fault.READ_ONLY and self.clock.monotonic() < give_up:
                self.rerouted(work, answer.target, fault.value)
                await self.clock.sleep(PAUSE)
                continue
            self.learn(work.service, answer)
            return Placed(answer, place)

    def leader(self, record: LeadRecord, refused_by_deputy: bool) -> HostRef:
        """Return the host that uses the primary: the holder, or its deputy.

        :param refused_by_deputy: whether the deputy was asked for this
            statement and does not act.
        """
        holder, deputy = record.holder.ref, record.deputy
        if refused_by_deputy or deputy is None or holder.host not in self.lost_since:
            return holder
        return holder if deputy.ref.host in self.lost_since else deputy.ref

    async def settle(
        self, work: Work, refusal: Refusal, revision: int, give_up: float
    ) -> None:
        """Return once another try makes sense, or raise what is final."""
        if refusal.verdict is not Verdict.NOT_RUN or refusal.reason not in ELSEWHERE:
            raise refusal
        record = self.book.get(work.service)
        same = record is not None and record.revision == revision
        if self.clock.monotonic() >= give_up:
            raise refusal
        if same and record is not None and not self.patient(record.holder.ref):
            raise refusal
        self.rerouted(work, "primary", refusal.reason.value)
        if refusal.reason in (Reason.WRONG_HOME, Reason.HOST_UNREACHABLE):
            await self.learn_records(work.service)
        record = self.book.get(work.service)
        if record is None or record.revision == revision:
            await self.clock.sleep(PAUSE)

    async def learn_records(self, service: str) -> None:
        """Ask the present holder, or else somebody, who holds the leads."""
        record = self.book.get(service)
        others = [
            ref
            for ref in self.directory.ranked(service, self.me.zone)
            if ref != self.me
        ]
        asked = others[:1] if record is None else [record.holder.ref, *others[:1]]
        for host in asked:
            if host.host == self.me.host:
                continue
            try:
                answer = await self.peers.call(host, RECORDS_PATH, {}, RECORDS_TIMEOUT)
                self.book.merge(answer["records"], host.host)
                return
            except (PeerError, Refusal, WireError, LookupError) as error:
                self.decisions.note("records_unknown", host=host.host, error=str(error))

    def learn(self, service: str, answer: WorkAnswer) -> None:
        """Take over what an answer of the primary tells."""
        self.sightings(service).prove(answer.proof)

    # Both

    async def run_at(self, place: Place, work: Work) -> WorkAnswer:
        """Run a statement at a place.

        :raises Refusal: with a verdict that holds also if the hop breaks.
        """
        if place.host.host == self.me.host:
            return await self.desk.execute(work)
        self.check_host(place.host)
        asked = self.clock.elapsed()
        timeout = work.left + HOP_GRACE
        if work.kind is WorkKind.READ and not work.transaction:
            timeout = min(timeout, READ_PATIENCE)
        try:
            message = await self.peers.call(place.host, WORK, work.to_json(), timeout)
            self.lost_since.pop(place.host.host, None)
            return WorkAnswer.from_json(message, asked)
        except WireError as error:
            return await self.broken(place, work, str(error), True)
        except PeerError as error:
            return await self.broken(place, work, str(error), error.sent)

    def check_host(self, host: HostRef) -> None:
        """Refuse at once what would wait for a host that is known to be silent.

        Now and then one statement tries it all the same.

        :raises Refusal: not run.
        """
        since = self.lost_since.get(host.host)
        if since is None:
            return
        now = self.clock.monotonic()
        if now - self.tried_at.get(host.host, since) < TRY_SILENT_EVERY:
            raise not_run(
                Reason.HOST_UNREACHABLE, f"the host {host.host} is silent", RETRY_MS
            )
        self.tried_at[host.host] = now

    def patient(self, host: HostRef) -> bool:
        """Say whether a silent host is likely to be replaced soon."""
        since = self.lost_since.get(host.host)
        return since is None or self.clock.monotonic() - since < SILENT_FOR

    async def broken(
        self, place: Place, work: Work, detail: str, sent: bool
    ) -> WorkAnswer:
        """Find out what became of a statement whose hop broke.

        A read has no effect, and a transaction is rolled back unless its
        commit was sent. What is in doubt is asked for once more.

        :raises Refusal: unless the host still tells the outcome.
        """
        self.on_host_lost(place.host)
        self.lost_since.setdefault(place.host.host, self.clock.monotonic())
        self.decisions.note(
            "host_silent", id=work.id, host=place.host.host, sent=sent, error=detail
        )
        text = f"the host {place.host.host} gave no answer"
        if not sent or work.kind is WorkKind.READ and not work.transaction:
            raise not_run(Reason.HOST_UNREACHABLE, text, RETRY_MS)
        if work.kind is WorkKind.WRITE and work.transaction:
            raise not_run(Reason.TRANSACTION_LOST, text, RETRY_MS)
        if work.kind is WorkKind.READ:
            raise not_run(Reason.TRANSACTION_LOST, text, RETRY_MS)
        work.again = True
        asked = self.clock.elapsed()
        try:
            message = await self.peers.call(
                place.host, WORK, work.to_json(), AGAIN_TIMEOUT
            )
            return WorkAnswer.from_json(message, asked)
        except (PeerError, WireError) as error:
            raise may_have_run(Reason.HOST_UNREACHABLE, text) from error

    async def end(self, service: str, place: Place, name: str) -> None:
        """Roll a transaction back; without an answer its home does so itself."""
        if place.host.host == self.me.host:
            self.desk.end(service, place.target, name)
            return
        body: Json = {"service": service, "target": place.target, "name": name}
        try:
            await self.peers.call(place.host, END, body, AGAIN_TIMEOUT)
        except (PeerError, Refusal) as error:
            self.decisions.note(
                "rollback_unanswered", host=place.host.host, error=str(error)
            )

    def sightings(self, service: str) -> Sightings:
        """Return what this host has learned of a service."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = Sightings()
        return found


def no_primary(service: str) -> Refusal:
    """Return the refusal of a statement whose service nobody leads."""
    return not_run(Reason.NO_PRIMARY, f"nobody leads the service {service}", RETRY_MS)
