"""Who else may still use the primary of a service, as its holder knows it."""

import asyncio
from typing import Final

from ...clock import Clock
from ...connection.memberhome import SessionTargetHome
from ...decisions import Decisions
from ...peer import HostRef, PeerError, Peers
from ...request.refusal import RefusalError
from .claim import Claim
from .ranking import Ranking
from .record import Holder
from .tenure import MARGIN, TENURE
from .vigil import Vigil

WORD_TIMEOUT: Final = 0.5
"""Seconds in which a former holder says that it has stopped."""

PATH: Final = "lead"
LIFE_PATH: Final = "life"


class OtherUsers:
    """Name the deputy, and have former holders and deputies stop.

    :ivar former_at: when somebody last became a former holder.
    :ivar spoken: lives of former holders that have said that they stopped.
    """

    def __init__(
        self,
        claim: Claim,
        ranking: Ranking,
        vigil: Vigil,
        peers: Peers,
        clock: Clock,
        decisions: Decisions,
    ) -> None:
        self.claim = claim
        self.service = claim.service
        self.ranking = ranking
        self.vigil = vigil
        self.peers = peers
        self.clock = clock
        self.decisions = decisions
        self.former_at = clock.elapsed()
        self.spoken: set[str] = set()

    async def stopped(self) -> bool:
        """Have all others stop; return whether none can use the primary.

        The deputy may do so at any time and is always asked.
        """
        record = self.claim.record
        asked = [one for one in record.former if one.life not in self.spoken]
        if self.former_over():
            asked = []
        elif not record.complete:
            return False
        deputy = record.deputy
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
        record = self.claim.record
        body = {
            "service": self.service,
            "records": self.claim.book.to_json(),
            "revision": record.revision,
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
        if stopped and former != self.claim.record.deputy:
            self.spoken.add(former.life)
        return stopped

    async def look_after_deputy(self, home: SessionTargetHome) -> None:
        """Have a living host in a third zone stand in, should this one be lost."""
        deputy = self.claim.record.deputy
        chosen = self.ranking.deputy(self.service, home.entry)
        if deputy is not None and not self.vigil.is_lost(deputy.ref):
            if chosen is None or deputy.ref.zone == chosen.zone:
                chosen = deputy.ref
        if chosen is None:
            return
        life = await self.life(chosen)
        if life is not None:
            await self.appoint(Holder(chosen, life))

    async def life(self, host: HostRef) -> str | None:
        """Ask a host for the life of its process; None without an answer."""
        try:
            answer = await self.peers.call(host, LIFE_PATH, {}, WORD_TIMEOUT)
        except (PeerError, RefusalError):
            return None
        life = answer.get("life")
        return life if isinstance(life, str) else None

    async def appoint(self, deputy: Holder | None) -> None:
        """Write down who stands in from now on."""
        record = self.claim.record
        if deputy == record.deputy:
            return
        if await self.claim.write(record.with_deputy(deputy)):
            self.former_at = self.clock.elapsed()

    async def forget_former(self) -> None:
        """Write down that nobody but the deputy can still use the primary."""
        record = self.claim.record
        if (record.former or not record.complete) and self.former_over():
            await self.claim.write(record.without_former())
