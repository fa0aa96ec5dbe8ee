"""Standing in for the holder of a lead while it is lost and the store is silent."""

from typing import Final

from ...clock import Clock
from ...decisions import Decisions
from ..announced.announcements import Announcements
from .claim import Claim
from .states import TargetStates
from .user import HomeMaker, PrimaryUser

LOOK: Final = 4.0
"""Seconds between two looks at whether this host is still the deputy; with a
tenure of 12 s at least 8 s are left to act when the store goes silent."""

LOOK_AGAIN: Final = 0.5
"""Seconds until the next look while there is no permission."""

LET_END: Final = 1.0
"""Seconds for which transactions may end once the holder is back."""


class Deputy(PrimaryUser):
    """Use the primary of a service in place of its holder.

    It promotes nobody. The holder, and whoever takes the lead over, asks for
    its word before a promotion, or waits until its permission has ended.

    :param claim: names this host as the deputy.
    """

    def __init__(
        self,
        claim: Claim,
        announcements: Announcements,
        states: TargetStates,
        make_home: HomeMaker,
        clock: Clock,
        decisions: Decisions,
    ) -> None:
        super().__init__(claim, states, make_home, clock, decisions)
        self.announcements = announcements
        self.acting = False

    def start(self) -> None:
        """Begin to renew the permission."""
        self.background.spawn(self.renew())

    async def renew(self) -> None:
        """Look into the store again and again whether this host is named."""
        while True:
            await self.clock.sleep(LOOK if self.tenure.valid else LOOK_AGAIN)
            await self.claim.look()

    async def act(self) -> None:
        """Use the primary, if it leads as the record says."""
        if self.acting or self.yielding or not self.tenure.valid:
            return
        self.acting = True
        entry = self.announcements.targets.get(self.record.primary)
        status = None if entry is None else await self.states.status(entry)
        promoting = bool(self.record.successor)
        if entry is None or status is None or not status.is_primary or promoting:
            self.acting = False
            return
        same = status.term == self.record.term and entry.is_life(self.record.born)
        if not same or self.yielding:
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

    def given_up(self) -> None:
        self.decisions.note("deputy_dismissed", service=self.service)
