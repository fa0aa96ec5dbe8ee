"""The leads of services: which this host holds, and which it takes over."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

from ...background import Background
from ...clock import Clock
from ...decisions import Decisions
from ...peer import PeerError, PeerRoutes, Peers
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import Json, text
from ..announced.announcements import Announcements
from ..announced.keyspace import Keyspace, KeyspaceError, Unanswered
from ..fleet.membership_table import MembershipTable
from .book import LeadBook
from .claim import STORE_TIMEOUT
from .deputies import Deputies
from .lead import Lead
from .others import LIFE_PATH, PATH
from .ranking import Ranking
from .record import Holder, LeadRecord, lead_key
from .user import PrimaryUser
from .vigil import Vigil
from .witness import TAKE_PATH, TAKE_TIMEOUT, Witnesses

LeadMaker: TypeAlias = Callable[[LeadRecord, float], Lead]

RECORDS_PATH: Final = "records"
TAKE_LOST_PATH: Final = "take_lost"

MOST_ASKED: Final = 4
"""Hosts that are asked in turn to take a lead that this one cannot take."""

TICK: Final = 0.2
"""Seconds between two looks at who holds the leads."""

SETTLED: Final = 0.3
"""Seconds for which the known hosts must stay the same, so that those that
start together agree on who takes a lead."""

RETRY: Final = 0.3
"""Seconds until a lead that could not be taken is tried for again."""

STOPS_SOON: Final = 0.25
"""Seconds for which the answer to a successor waits for this host to let go; half
of what the successor waits for the answer. Asked again, it would cost 0.5 s."""

LET_END: Final = 2.0
"""Seconds for which transactions may end on a lead that has moved."""


class Leads:
    """Hold leads, take over those that nobody holds, pass them on.

    :ivar held: leads of this host, by service.
    :ivar giving_up: what lets leads go that have moved, by service.
    :ivar lives: life of the last known holder, by service.
    """

    def __init__(
        self,
        me: Holder,
        keyspace: Keyspace,
        announcements: Announcements,
        book: LeadBook,
        table: MembershipTable,
        ranking: Ranking,
        deputies: Deputies,
        witnesses: Witnesses,
        vigil: Vigil,
        peers: Peers,
        make_lead: LeadMaker,
        clock: Clock,
        decisions: Decisions,
    ) -> None:
        self.me = me
        self.keyspace = keyspace
        self.announcements = announcements
        self.book = book
        self.table = table
        self.ranking = ranking
        self.deputies = deputies
        self.witnesses = witnesses
        self.vigil = vigil
        self.peers = peers
        self.make_lead = make_lead
        self.clock = clock
        self.decisions = decisions
        self.held: dict[str, Lead] = {}
        self.giving_up: dict[str, asyncio.Task[None]] = {}
        self.lives: dict[str, str] = {}
        self.taking: set[str] = set()
        self.tried_at: dict[str, float] = {}
        self.background = Background(decisions)
        self.leaving = False
        self.wake = asyncio.Event()
        book.on_change.append(self.changed)
        announcements.on_targets.append(self.wake.set)
        # A holder that was lost is replaced 0.1 s sooner than at the next look.
        vigil.on_lost = self.wake.set

    def register(self, routes: PeerRoutes) -> None:
        """Add the handlers of this host."""
        routes.add(PATH, self.answer_lead)
        routes.add(TAKE_PATH, self.answer_take)
        routes.add(TAKE_LOST_PATH, self.answer_take_lost)
        routes.add(RECORDS_PATH, self.answer_records)
        routes.add(LIFE_PATH, self.answer_life)

    async def answer_lead(self, body: Json) -> Json:
        """Say whether this host may still use the primary of a service.

        A deputy gives its word not to act by the record that the holder has.
        """
        records = body.get("records")
        if isinstance(records, dict):
            self.book.merge(records, "peer")
        service = text(body, "service")
        revision = body.get("revision")
        await self.deputies.promise(
            service, revision if isinstance(revision, int) else 0
        )
        return {"life": self.me.life, "holds": not await self.stopped(service)}

    async def stopped(self, service: str) -> bool:
        """Say whether this host holds a lead no more, which may be due soon."""
        giving_up = self.giving_up.get(service)
        if giving_up is not None:
            await asyncio.wait({giving_up}, timeout=STOPS_SOON)
        return service not in self.held

    async def answer_life(self, body: Json) -> Json:
        """Say which life of its process this host is in."""
        return {"life": self.me.life}

    async def answer_take(self, body: Json) -> Json:
        """Take a lead over at the wish of its holder.

        :raises Refusal: if this host ends itself.
        """
        if self.leaving:
            raise not_run(RefusalReason.DRAINING, "this host ends itself")
        if not self.announcements.reached:
            # Said at once: who asks goes on to the next host, or tries the
            # store anew, in place of waiting for a call that fails.
            return {"taken": False}
        service = text(body, "service")
        alone = body.get("alone") is True
        return {"taken": await self.take(service, asked_to=True, alone=alone)}

    async def answer_records(self, body: Json) -> Json:
        """Return what is known of the leads."""
        return {"records": self.book.to_json()}

    async def run(self) -> None:
        """Take over what nobody holds, until cancelled."""
        while True:
            await self.awakened()
            if self.leaving:
                continue
            for service in list(self.announcements.table.services):
                self.watch(service)
                if self.is_mine(service):
                    await self.take(service, asked_to=False)
                lost = service not in self.held and self.is_takeable(service)
                await self.deputies.stand_in(service, lost)

    def user(self, service: str) -> PrimaryUser | None:
        """Return what uses the primary of a service here, or None."""
        lead = self.held.get(service)
        return self.deputies.acting(service) if lead is None else lead

    async def awakened(self) -> None:
        """Wait for news of a lead or a target, or for the next look."""
        try:
            async with asyncio.timeout(TICK):
                await self.wake.wait()
        except TimeoutError:
            # Nothing was heard; it is time to look all the same.
            return
        finally:
            self.wake.clear()

    def watch(self, service: str) -> None:
        """Ask after the holder of a lead, if this host stands by for it."""
        record = self.book.get(service)
        if record is None or service in self.held:
            return
        if record.holder.ref.host == self.me.ref.host:
            return
        if self.me.ref in self.ranking.standbys(service, record.holder.ref):
            self.vigil.watch(record.holder.ref)

    def is_mine(self, service: str) -> bool:
        """Say whether this host is to take a lead now."""
        now = self.clock.monotonic()
        if service in self.held:
            return False
        if now - self.tried_at.get(service, float("-inf")) < RETRY:
            return False
        if not self.is_takeable(service) or not self.is_announced(service):
            return False
        record = self.book.get(service)
        if record is not None and record.holder.ref.host == self.me.ref.host:
            # Others see this host live and leave the lead to it.
            return True
        if record is None:
            if now - self.table.changed_at < SETTLED:
                return False
            return self.ranking.ranked(service)[0] == self.me.ref
        return self.me.ref in self.ranking.standbys(service, record.holder.ref)

    def is_takeable(self, service: str) -> bool:
        """Say whether nobody who lives holds the lead of a service.

        A holder counts as lost once it was asked for in vain; what membership
        says may come from hosts that were cut off themselves.
        """
        record = self.book.get(service)
        if record is None:
            return True
        if record.holder.ref.host == self.me.ref.host:
            return record.holder.life != self.me.life
        return self.vigil.is_lost(record.holder.ref)

    def is_announced(self, service: str) -> bool:
        """Say whether there is a target that leads, or led."""
        return bool(self.ranking.primary_zone(service))

    async def take(self, service: str, asked_to: bool, alone: bool = False) -> bool:
        """Take the lead of a service; return whether this host holds it.

        :param asked_to: whether its holder wants that, so that it need not be
            vacant.
        :param alone: whether the holder says that no earlier one is left.
        """
        if service in self.held:
            return True
        if service in self.taking:
            return False
        self.taking.add(service)
        self.tried_at[service] = self.clock.monotonic()
        try:
            return await self.take_at_store(service, asked_to, alone)
        except Unanswered as error:
            self.decisions.note("lead_not_taken", service=service, error=str(error))
            if not asked_to:
                self.background.spawn(self.ask_others(service))
            return False
        except KeyspaceError as error:
            self.decisions.note("lead_not_taken", service=service, error=str(error))
            return False
        finally:
            self.taking.discard(service)

    async def ask_others(self, service: str) -> None:
        """Have a host take a lead over that this one cannot take at the store."""
        record = self.book.get(service)
        if record is None:
            return
        body: Json = {"service": service, "lost": record.holder.ref.to_json()}
        for host in self.witnesses.chosen(record.holder.ref.zone)[:MOST_ASKED]:
            try:
                answer = await self.peers.call(host, TAKE_LOST_PATH, body, TAKE_TIMEOUT)
            except (PeerError, RefusalError) as error:
                self.decisions.note("take_unanswered", host=host.host, error=str(error))
                continue
            if answer.get("taken") is True:
                return

    async def answer_take_lost(self, body: Json) -> Json:
        """Take a lead over if its holder is found lost from here, too."""
        service = text(body, "service")
        record = self.book.get(service)
        if self.leaving or record is None or not self.announcements.reached:
            return {"taken": False}
        if record.holder.ref.to_json() != body.get("lost"):
            return {"taken": False}
        await self.vigil.look(record.holder.ref)
        if not self.vigil.is_lost(record.holder.ref):
            return {"taken": False}
        return {"taken": await self.take(service, asked_to=False)}

    async def take_at_store(self, service: str, asked_to: bool, alone: bool) -> bool:
        """Write this host into the record as it stands in the store.

        :raises KeyspaceError: if the store gives no answer.
        """
        key = lead_key(service)
        item = await self.keyspace.get(key, STORE_TIMEOUT)
        if item is not None:
            record = LeadRecord.from_item(item)
            self.book.learn(record, "look")
            if not asked_to and not self.is_takeable(service):
                return False
            if record.holder != self.me:
                record = record.taken_by(self.me, alone)
        else:
            record = LeadRecord(service, self.me, None, [], True, "", 0, "", 0)
        asked = self.clock.elapsed()
        revision = await self.keyspace.put(
            key, record.encoded(), record.revision, STORE_TIMEOUT
        )
        self.begin(record.at(revision), asked)
        return True

    def begin(self, record: LeadRecord, asked: float) -> None:
        """Hold a lead from now on."""
        self.decisions.note(
            "lead_taken",
            service=record.service,
            revision=record.revision,
            former=[one.ref.host for one in record.former],
        )
        lead = self.make_lead(record, asked)
        self.held[record.service] = lead
        self.book.learn(record, "own")
        lead.start()

    def changed(self, record: LeadRecord) -> None:
        """Act on news of who holds a lead.

        A holder in a new life was not the one that was found lost: taking the
        lead from it would cost its callers another change of home.
        """
        self.wake.set()
        if self.lives.get(record.service) != record.holder.life:
            self.lives[record.service] = record.holder.life
            self.vigil.forget(record.holder.ref)
        self.deputies.appointed(record)
        lead = self.held.get(record.service)
        if lead is None or record.holder == self.me or lead.yielding:
            return
        if record.revision > lead.record.revision:
            self.spawn_give_up(lead)

    def spawn_give_up(self, lead: Lead) -> None:
        """Let go of a lead in the background."""
        lead.yielding = True
        self.giving_up[lead.service] = self.background.spawn(self.give_up(lead))

    async def give_up(self, lead: Lead) -> None:
        """Let go of a lead once its transactions have ended."""
        await lead.give_up(LET_END)
        self.giving_up.pop(lead.service, None)
        if self.held.get(lead.service) is lead:
            del self.held[lead.service]

    async def pass_all_on(self) -> None:
        """Have others take all leads over, as this host ends."""
        self.leaving = True
        await self.deputies.close()
        await asyncio.gather(*(self.pass_on(one) for one in list(self.held)))

    async def pass_on(self, service: str) -> None:
        """Have the next in rank take one lead over."""
        for host in self.ranking.ranked(service):
            if host.host == self.me.ref.host:
                continue
            lead = self.held.get(service)
            alone = lead is not None and lead.others.former_over()
            if await self.witnesses.pass_on(service, host, alone):
                self.decisions.note("lead_passed_on", service=service, to=host.host)
                break
        lead = self.held.get(service)
        if lead is not None and not lead.yielding:
            self.spawn_give_up(lead)

    async def close(self) -> None:
        """Use no primary any more."""
        await self.deputies.close()
        for lead in list(self.held.values()):
            lead.stop()
            lead.tenure.end()
            if lead.home is not None:
                await lead.home.close()
        self.held.clear()
