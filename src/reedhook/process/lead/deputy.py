"""Standing in for the holder of a lead while it is lost and the store is silent."""

from typing import Final

from ...clock import Clock
from ...connection.member import MemberDriver
from ..announced.announcements import Announcements
from ..announced.keyspace import Keyspace, KeyspaceError
from ..decisions import Decisions
from .book import LeadBook
from .record import Holder, LeadRecord, lead_key
from .user import HomeMaker, PrimaryUser

LOOK: Final = 4.0
"""Seconds between two looks at whether this host is still the deputy; with a
tenure of 12 s at least 8 s are left to act when the store goes silent."""

LOOK_AGAIN: Final = 0.5
"""Seconds until the next look while there is no permission."""

STORE_TIMEOUT: Final = 0.5
"""Seconds for an answer of the store: 4 ms, or 240 ms when it is slow."""

LET_END: Final = 1.0
"""Seconds for which transactions may end once the holder is back."""


class Deputy(PrimaryUser):
    """Use the primary of a service in place of its holder.

    It promotes nobody. The holder, and whoever takes the lead over, asks for
    its word before a promotion, or waits until its permission has ended.

    :param asked: when the question that found this host named was sent.
    """

    def __init__(
        self,
        record: LeadRecord,
        asked: float,
        me: Holder,
        keyspace: Keyspace,
        announcements: Announcements,
        book: LeadBook,
        driver: MemberDriver,
        make_home: HomeMaker,
        clock: Clock,
        decisions: Decisions,
    ) -> None:
        super().__init__(record, announcements, driver, make_home, clock, decisions)
        self.me = me
        self.keyspace = keyspace
        self.book = book
        self.acting = False
        self.tenure.confirmed(asked)

    def start(self) -> None:
        """Begin to renew the permission."""
        self.spawn(self.renew())

    async def renew(self) -> None:
        """Look into the store again and again whether this host is named."""
        while True:
            await self.clock.sleep(LOOK if self.tenure.valid else LOOK_AGAIN)
            asked = self.clock.elapsed()
            try:
                item = await self.keyspace.get(lead_key(self.service), STORE_TIMEOUT)
            except KeyspaceError as error:
                self.decisions.note(
                    "deputy_unconfirmed", service=self.service, error=str(error)
                )
                continue
            if item is None:
                continue
            found = LeadRecord.from_item(item)
            if found.deputy == self.me and not self.yielding:
                self.tenure.confirmed(asked)
                self.record = found
            self.book.learn(found, "look")

    async def act(self) -> None:
        """Use the primary, if it leads as the record says."""
        if self.acting or self.yielding or not self.tenure.valid:
            return
        self.acting = True
        entry = self.announcements.targets.get(self.record.primary)
        status = None if entry is None else await self.status(entry)
        promoting = bool(self.record.successor)
        if entry is None or status is None or not status.leads or promoting:
            self.acting = False
            return
        if status.term != self.record.term or self.yielding:
            self.acting = False
            return
        self.decisions.note(
            "deputy_acts",
            service=self.service,
            holder=self.record.holder.ref.host,
            revision=self.record.revision,
            left=round(self.tenure.until - self.clock.elapsed(), 2),
        )
        self.use(entry, status)

    async def rest(self) -> None:
        """Leave the primary to its holder, who is back."""
        if not self.acting:
            return
        self.decisions.note("deputy_rests", service=self.service)
        self.ready.clear()
        home, self.home = self.home, None
        if home is not None:
            await self.until_quiet(home, LET_END)
            await home.close()
        self.acting = False
