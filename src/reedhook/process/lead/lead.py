"""The lead of one service as this host holds it: the only user of its primary."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

from ...clock import Clock
from ...connection.member import (
    MemberDriver,
    MemberSilent,
    MemberStatus,
    MemberUnreachable,
    Phrases,
    Query,
)
from ...connection.memberhome import MemberHome
from ...request.position import ORIGIN, Position
from ...request.refusal import Refusal
from ...version.registry import TargetEntry
from ..announced.announcements import Announcements
from ..announced.keyspace import Conflict, Keyspace, KeyspaceError
from ..decisions import Decisions
from ..peer import HostRef, PeerError, Peers
from .book import LeadBook
from .duty import Duty, OrderOutcome
from .record import Holder, LeadRecord, lead_key
from .tenure import MARGIN, RENEW, TENURE
from .user import POLL, SIGHT_TIMEOUT, STATUS_TIMEOUT, HomeMaker, PrimaryUser
from .vigil import Vigil
from .witness import Witnesses

HostChooser: TypeAlias = Callable[[str, TargetEntry], HostRef | None]

TICK: Final = 0.1
"""Seconds between two looks at the primary."""

QUIET: Final = 0.3
"""Seconds without an answer after which the primary is asked for one; the
longest usual statements take 110 ms."""

FRESH_TIMEOUT: Final = 0.4
"""Seconds for a new connection, which waits for a slot behind statements."""

GONE_AFTER: Final = 3.0
"""Seconds after which a target that announces itself no more counts as gone,
while the store answers; entries that lapsed with the store are back in 2 s."""

CATCH_UP: Final = 2.0
"""Seconds for which a planned change waits for a replica to hold everything."""

LET_END: Final = 1.5
"""Seconds for which a planned change lets open transactions end."""

LEADING_TIMEOUT: Final = 3.0
"""Seconds in which an ordered promotion takes effect; it needs 0.3 to 0.6."""

STORE_TIMEOUT: Final = 0.5
"""Seconds for an answer of the store: 4 ms, or 240 ms when it is slow."""

WORD_TIMEOUT: Final = 0.5
"""Seconds in which a former holder says that it has stopped."""

DEMOTE_EVERY: Final = 1.0
"""Seconds between two orders to a target that wrongly believes to lead."""

DEPUTIZE_EVERY: Final = 2.0
"""Seconds between two changes of the deputy, each one write."""

PATH: Final = "lead"
LIFE_PATH: Final = "life"


class Lead(PrimaryUser):
    """Use the primary of one service, watch over it and have it replaced.

    :param record: names this host as the holder.
    :param asked: when the question that found so was sent, `Clock.elapsed`.
    :param choose_deputy: returns the host that is to stand in, or None.
    :param better_host: returns the host that should hold the lead instead.
    :ivar former_at: when somebody last became a former holder.
    """

    def __init__(
        self,
        record: LeadRecord,
        asked: float,
        me: Holder,
        keyspace: Keyspace,
        announcements: Announcements,
        book: LeadBook,
        duty: Duty,
        witnesses: Witnesses,
        vigil: Vigil,
        choose_deputy: HostChooser,
        better_host: HostChooser,
        peers: Peers,
        driver: MemberDriver,
        phrases: Phrases,
        make_home: HomeMaker,
        clock: Clock,
        decisions: Decisions,
    ) -> None:
        super().__init__(record, announcements, driver, make_home, clock, decisions)
        self.me = me
        self.keyspace = keyspace
        self.book = book
        self.duty = duty
        self.witnesses = witnesses
        self.vigil = vigil
        self.peers = peers
        self.phrases = phrases
        self.choose_deputy = choose_deputy
        self.better_host = better_host
        self.tenure.confirmed(asked)
        self.former_at = clock.elapsed()
        self.spoken: set[str] = set()
        self.saved = True
        self.demoted_at = float("-inf")
        self.deputized_at = float("-inf")

    def start(self) -> None:
        """Begin to renew the permission and to look after the primary."""
        self.spawn(self.renew())
        self.spawn(self.look_after())

    # Permission

    async def renew(self) -> None:
        """Look into the store again and again whether this host is named."""
        while True:
            await self.clock.sleep(RENEW)
            await self.look()

    async def look(self) -> bool:
        """Look once; the permission lasts from when the question was sent.

        :returns: whether the store has answered.
        """
        asked = self.clock.elapsed()
        try:
            item = await self.keyspace.get(lead_key(self.service), STORE_TIMEOUT)
        except KeyspaceError as error:
            left = round(self.tenure.until - asked, 2)
            self.decisions.note(
                "tenure_unconfirmed", service=self.service, left=left, error=str(error)
            )
            return False
        if item is None:
            # The store forgets nothing that it has acknowledged.
            self.decisions.note("lead_record_missing", service=self.service)
            return True
        found = LeadRecord.from_item(item)
        if found.holder == self.me:
            self.tenure.confirmed(asked)
            self.adopt(found)
        self.book.learn(found, "look")
        return True

    def adopt(self, found: LeadRecord) -> None:
        """Take over a record of the store that names this host."""
        if found.revision > self.record.revision:
            self.record = found

    # The primary

    async def look_after(self) -> None:
        """Keep a primary in use until cancelled."""
        while True:
            if not self.yielding and self.tenure.valid:
                await self.look_once()
            await self.clock.sleep(TICK)

    async def look_once(self) -> None:
        """Do what the state of the primary demands now."""
        if not self.saved:
            await self.write(self.record)
        if self.record.successor:
            await self.finish()
        elif self.home is None:
            await self.establish()
        else:
            await self.judge(self.home)
        await self.demote_others()
        if self.home is not None and self.ready.is_set():
            await self.look_after_deputy(self.home)
            await self.forget_former()

    async def judge(self, home: MemberHome) -> None:
        """Decide whether the primary is to be replaced."""
        target = home.entry.target
        entry = self.announcements.targets.get(target)
        if entry is not None and entry.leaving:
            await self.change("leaving", home.entry, planned=True)
            return
        if entry is None and self.is_gone(target):
            await self.change("gone", home.entry, planned=True)
            return
        if self.clock.monotonic() - home.answered_at < QUIET:
            self.usable_again()
            return
        if await self.sighted(home):
            self.usable_again()
            return
        await self.doubt(home.entry)

    def usable_again(self) -> None:
        """Let statements through to the primary."""
        if not self.ready.is_set():
            self.decisions.note(
                "primary_usable", service=self.service, primary=self.record.primary
            )
            self.ready.set()

    def is_gone(self, target: str) -> bool:
        """Say whether a target that announces itself no more has left."""
        now = self.clock.elapsed()
        announced = self.announcements
        if not announced.reached or now - announced.back_at < GONE_AFTER:
            return False
        return now - announced.missing_since.get(target, now) >= GONE_AFTER

    async def sighted(self, home: MemberHome) -> bool:
        """Ask the primary for a sign of life, unless all connections are in use."""
        if home.lanes.exhausted():
            return False
        try:
            await home.sight(SIGHT_TIMEOUT)
        except (MemberSilent, MemberUnreachable, Refusal):
            home.lanes.drop_idle()
            return False
        return True

    async def reached(self, entry: TargetEntry) -> bool:
        """Say whether a target accepts a new connection from here."""
        try:
            connection = await self.driver.connect(entry, FRESH_TIMEOUT)
        except MemberUnreachable:
            return False
        connection.close()
        return True

    async def doubt(self, entry: TargetEntry) -> None:
        """Look for a primary on a new connection and by others, then act."""
        if self.ready.is_set():
            self.doubted_at = self.clock.monotonic()
            self.ready.clear()
        reached, witness, stored = await asyncio.gather(
            self.reached(entry),
            self.witnesses.reaching(entry),
            self.look(),
        )
        if reached:
            self.usable_again()
            return
        if witness is not None:
            self.decisions.note(
                "primary_reached_by_other",
                service=self.service,
                primary=entry.target,
                host=witness.host,
            )
            await self.witnesses.pass_on(self.service, witness)
            return
        if not stored:
            # Without the store no promotion can be written down from here.
            await self.witnesses.pass_on_to_any(self.service)
            return
        await self.change("unreachable", entry, planned=False)

    async def establish(self) -> None:
        """Find out who leads, and use it; doubt a primary that is not found."""
        entries = self.members()
        missing = self.announcements.missing.get(self.record.primary)
        if missing is not None:
            entries.append(missing)
        found = await self.statuses(entries)
        leading = [pair for pair in found if pair[1].leads]
        if leading:
            entry, status = max(leading, key=lambda pair: pair[1].term)
            if status.term >= self.record.term:
                await self.established(entry, status)
                return
        known = self.record.primary
        entry_known = self.announcements.targets.get(known)
        entry_known = entry_known or self.announcements.missing.get(known)
        if entry_known is not None:
            await self.doubt(entry_known)

    async def established(self, entry: TargetEntry, status: MemberStatus) -> None:
        """Use the target that leads by its own word, of the highest term."""
        if self.record.primary != entry.target or self.record.term != status.term:
            await self.write(self.record.with_primary(entry.target, status.term))
        self.use(entry, status)

    # Change of primary

    async def change(self, cause: str, old: TargetEntry, planned: bool) -> None:
        """Have another target promoted.

        Nothing is lost by a planned change: a replica holds everything first.
        """
        self.ready.clear()
        if planned and self.home is not None:
            await self.until_quiet(self.home, LET_END)
        if not await self.alone():
            return
        successor, back = await asyncio.gather(
            self.successor(old, planned), self.is_back(old, planned)
        )
        if successor is None or back:
            self.decisions.note(
                "no_change", service=self.service, cause=cause, primary_back=back
            )
            return
        self.decisions.note(
            "primary_change",
            service=self.service,
            cause=cause,
            primary=old.target,
            successor=successor.target,
        )
        decided = self.record.with_primary(
            self.record.primary, self.record.term, successor.target
        )
        if await self.write(decided):
            await self.finish()

    async def is_back(self, old: TargetEntry, planned: bool) -> bool:
        """Say whether a primary that was lost is reached again."""
        return not planned and await self.reached(old)

    def promising(self) -> bool:
        return bool(self.record.successor) or super().promising()

    async def alone(self) -> bool:
        """Say whether nobody else can still use the primary.

        The deputy may do so at any time and is always asked.
        """
        asked = [one for one in self.record.former if one.life not in self.spoken]
        if self.former_over():
            asked = []
        elif not self.record.complete:
            return False
        deputy = self.record.deputy
        if deputy is not None:
            asked.append(deputy)
        words = await asyncio.gather(*(self.word(one) for one in asked))
        if deputy is not None and not words[-1]:
            # It cannot be told apart from one that acts until its time is over.
            await self.appoint(None)
        return all(words)

    def former_over(self) -> bool:
        """Say whether the permission of each former holder has ended by itself."""
        return self.clock.elapsed() - self.former_at >= TENURE + MARGIN

    async def word(self, former: Holder) -> bool:
        """Ask a former holder whether it has stopped, or is another life."""
        body = {
            "service": self.service,
            "records": self.book.to_json(),
            "revision": self.record.revision,
        }
        try:
            answer = await self.peers.call(former.ref, PATH, body, WORD_TIMEOUT)
        except PeerError as error:
            self.decisions.note(
                "former_holder_silent",
                service=self.service,
                host=former.ref.host,
                wait=round(self.former_at + TENURE + MARGIN - self.clock.elapsed(), 2),
                error=str(error),
            )
            return False
        stopped = answer.get("life") != former.life or answer.get("holds") is False
        if stopped and former != self.record.deputy:
            self.spoken.add(former.life)
        return stopped

    async def look_after_deputy(self, home: MemberHome) -> None:
        """Have a living host in a third zone stand in, should this one be lost."""
        deputy = self.record.deputy
        if deputy is not None:
            self.vigil.watch(deputy.ref)
        now = self.clock.monotonic()
        if now - self.deputized_at < DEPUTIZE_EVERY:
            return
        self.deputized_at = now
        better = self.better_host(self.service, home.entry)
        if better is not None and await self.witnesses.pass_on(
            self.service, better, self.former_over()
        ):
            self.decisions.note("lead_passed_on", service=self.service, to=better.host)
            return
        chosen = self.choose_deputy(self.service, home.entry)
        if deputy is not None and not self.vigil.is_lost(deputy.ref):
            if chosen is None or deputy.ref.zone == chosen.zone:
                chosen = deputy.ref
        if chosen is None:
            return
        life = await self.life(chosen)
        if life is not None:
            await self.appoint(Holder(chosen, life))

    async def life(self, host: HostRef) -> str | None:
        """Ask a host for the life of its process."""
        try:
            answer = await self.peers.call(host, LIFE_PATH, {}, WORD_TIMEOUT)
        except (PeerError, Refusal):
            return None
        life = answer.get("life")
        return life if isinstance(life, str) else None

    async def appoint(self, deputy: Holder | None) -> None:
        """Write down who stands in from now on."""
        if deputy == self.record.deputy:
            return
        if await self.write(self.record.with_deputy(deputy)):
            self.former_at = self.clock.elapsed()

    async def forget_former(self) -> None:
        """Write down that nobody but the deputy can still use the primary."""
        if (self.record.former or not self.record.complete) and self.former_over():
            await self.write(self.record.without_former())

    async def successor(self, old: TargetEntry, planned: bool) -> TargetEntry | None:
        """Return the target that holds the most of those that answer."""
        deadline = self.clock.monotonic() + (CATCH_UP if planned else 0.0)
        goal = await self.goal(old) if planned else ORIGIN
        while True:
            others = [
                one
                for one in self.members()
                if one.target != old.target and not one.leaving
            ]
            found = await self.statuses(others)
            if not found:
                return None
            entry, status = max(found, key=self.fitness)
            if status.received >= goal or self.clock.monotonic() >= deadline:
                return entry
            await self.clock.sleep(POLL)

    def fitness(self, pair: tuple[TargetEntry, MemberStatus]) -> tuple[Position, bool]:
        """Return the order in which targets are preferred as primary.

        A primary in another availability zone than its user can be told from
        a cut-off zone, and replaced, by whichever side lives on.
        """
        entry, status = pair
        return status.received, entry.zone != self.me.ref.zone

    async def goal(self, old: TargetEntry) -> Position:
        """Return what a successor must hold, as far as it can be known."""
        status = await self.status(old)
        if status is not None:
            return status.received
        return ORIGIN if self.top is None else self.top

    async def finish(self) -> None:
        """Have the promotion that was decided ordered, and use the new primary."""
        self.ready.clear()
        home, self.home = self.home, None
        if home is not None:
            # Reads in progress are sent anew; writes are in doubt for good.
            await home.close()
        target = self.record.successor
        announced = self.announcements
        entry = announced.targets.get(target) or announced.missing.get(target)
        outcome = await self.duty.order(self.service, target)
        if outcome is OrderOutcome.NOT_RUNNING:
            await self.choose_again()
            return
        if entry is None:
            # The order may have taken effect; another target would be wrong.
            self.decisions.note("successor_unknown", target=target)
            return
        deadline = self.clock.monotonic() + LEADING_TIMEOUT
        while self.clock.monotonic() < deadline and not self.yielding:
            status = await self.status(entry)
            if status is not None and status.leads:
                await self.promoted(entry, status)
                return
            if outcome is OrderOutcome.UNANSWERED:
                return
            await self.clock.sleep(POLL)

    async def choose_again(self) -> None:
        """Decide on another target after one that was found not to run."""
        found = await self.statuses(self.members())
        usable = [pair for pair in found if pair[0].target != self.record.successor]
        if not usable:
            return
        entry, _ = max(usable, key=self.fitness)
        await self.write(
            self.record.with_primary(
                self.record.primary, self.record.term, entry.target
            )
        )

    async def promoted(self, entry: TargetEntry, status: MemberStatus) -> None:
        """Use the new primary; the store learns of it as soon as it answers."""
        self.decisions.note(
            "primary_promoted",
            service=self.service,
            primary=entry.target,
            term=status.term,
            received=status.received.to_json(),
        )
        self.record = self.record.with_primary(entry.target, status.term)
        self.saved = False
        self.use(entry, status)
        await self.write(self.record)

    async def demote_others(self) -> None:
        """Tell targets that wrongly believe to lead that they do not."""
        now = self.clock.monotonic()
        if now - self.demoted_at < DEMOTE_EVERY or not self.ready.is_set():
            return
        self.demoted_at = now
        for entry in self.members():
            if entry.claims_lead and entry.target != self.record.primary:
                await self.demote(entry)

    async def demote(self, entry: TargetEntry) -> None:
        """Make a former primary a replica."""
        try:
            connection = await self.driver.connect(entry, STATUS_TIMEOUT)
        except MemberUnreachable:
            return
        query = Query("", self.phrases.demote(self.record.term))
        try:
            (reply,) = await connection.exchange([query], STATUS_TIMEOUT)
            self.decisions.note("demoted", target=entry.target, fault=reply.fault.value)
        except MemberSilent as error:
            self.decisions.note(
                "demote_unanswered", target=entry.target, error=str(error)
            )
        finally:
            connection.close()

    async def write(self, record: LeadRecord) -> bool:
        """Put a record into the store; return whether it stands there.

        A lost answer is resolved by a look: no two of our records are equal.
        """
        key, value = lead_key(self.service), record.encoded()
        asked = self.clock.elapsed()
        try:
            revision = await self.keyspace.put(
                key, value, record.revision, STORE_TIMEOUT
            )
        except Conflict:
            return await self.resolve(value)
        except KeyspaceError as error:
            self.decisions.note(
                "lead_not_written", service=self.service, error=str(error)
            )
            return await self.resolve(value)
        self.tenure.confirmed(asked)
        self.written(record.at(revision))
        return True

    async def resolve(self, value: bytes) -> bool:
        """Find out whether a record was written after all."""
        try:
            item = await self.keyspace.get(lead_key(self.service), STORE_TIMEOUT)
        except KeyspaceError:
            return False
        if item is None:
            return False
        found = LeadRecord.from_item(item)
        if found.holder != self.me:
            self.book.learn(found, "look")
            return False
        if item.value == value:
            self.written(found)
            return True
        # Another record of this host: the next try builds on its revision.
        self.record = self.record.at(found.revision)
        return False

    def written(self, record: LeadRecord) -> None:
        """Go on from a record that stands in the store."""
        self.record = record
        self.saved = True
        self.book.learn(record, "own")
