"""Whether a target lives, asked on new connections only.

An open connection can go silent for good while new ones work, so silence
alone says nothing about the target.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from ..clock import Clock
from .pool import Pool, PoolExhausted
from .target import MemberState, TargetError, TargetFull

PROBES: Final = 3
"""Connections on which the target is asked, in case packets are lost."""

PROBE_INTERVAL: Final = 0.05
"""Seconds after which the next probe starts; the last has as long to answer."""

PROBE_WINDOW: Final = PROBES * PROBE_INTERVAL
"""Seconds within which one of the probes has to be answered."""

PROOF_KEPT: Final = 0.1
"""Seconds for which an answered probe spares the next one."""


class Health:
    """Probe a target and keep since when it has been unreachable.

    :param learn: takes a state and the monotonic time when it was asked.
    :param changed: called when the target becomes unreachable or answers again.
    :ivar unreachable_since: monotonic time in seconds; None while it answers.
    :ivar proved: monotonic time at which the last answered probe began.
    """

    __slots__ = (
        "pool",
        "clock",
        "learn",
        "changed",
        "unreachable_since",
        "proved",
        "examination",
    )

    def __init__(
        self,
        pool: Pool,
        clock: Clock,
        learn: Callable[[MemberState, float], None],
        changed: Callable[[float | None], None],
    ) -> None:
        self.pool = pool
        self.clock = clock
        self.learn = learn
        self.changed = changed
        self.unreachable_since: float | None = None
        self.proved = float("-inf")
        self.examination: asyncio.Task[bool] | None = None

    def heard(self) -> None:
        """Take note of an answer of the target."""
        if self.unreachable_since is not None:
            self.unreachable_since = None
            self.changed(None)

    def examine(self) -> asyncio.Task[bool]:
        """Return the examination in progress, or start one.

        Its result is whether the target lives.
        """
        if self.examination is None or self.examination.done():
            loop = asyncio.get_running_loop()
            self.examination = loop.create_task(self.probe())
        return self.examination

    def proved_lately(self) -> bool:
        """Say whether a probe has just been answered."""
        return self.clock.monotonic() - self.proved < PROOF_KEPT

    async def lives(self) -> bool:
        """Return whether the target answers on a new connection, or just has."""
        return self.proved_lately() or await self.answers()

    async def answers(self) -> bool:
        """Return whether the target answers on a new connection now."""
        return await asyncio.shield(self.examine())

    async def close(self) -> None:
        """Stop an examination in progress."""
        if self.examination is not None:
            self.examination.cancel()
            await asyncio.gather(self.examination, return_exceptions=True)

    async def probe(self) -> bool:
        """Ask on new connections, one after the other; one answer is enough."""
        began = self.clock.monotonic()
        lives = await self.ask_in_turns()
        if lives:
            self.heard()
        else:
            self.failed(began)
        return lives

    async def ask_in_turns(self) -> bool:
        """Return whether one of the probes is answered."""
        loop = asyncio.get_running_loop()
        pending: set[asyncio.Task[bool]] = set()
        try:
            for _ in range(PROBES):
                pending.add(loop.create_task(self.attempt()))
                done, pending = await asyncio.wait(
                    pending,
                    timeout=PROBE_INTERVAL,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(probe.result() for probe in done):
                    return True
            return False
        finally:
            for probe in pending:
                probe.cancel()

    async def attempt(self) -> bool:
        """Return whether the target answers on one new connection.

        A target that says it is full has answered. Without room in our own
        share nothing is proved: the target is neither suspected nor cleared,
        and what is silent ends at its deadline.
        """
        asked = self.clock.monotonic()
        try:
            connection = await self.pool.fresh(PROBE_WINDOW)
        except PoolExhausted:
            return self.unreachable_since is None
        except TargetFull:
            return True
        except TargetError:
            return False
        try:
            state = await connection.state(PROBE_WINDOW)
        except BaseException as error:
            self.pool.discard(connection)
            if isinstance(error, TargetError):
                return False
            raise
        self.pool.keep(connection)
        self.proved = asked
        self.learn(state, asked)
        return True

    def failed(self, began: float) -> None:
        """Take note that nothing answered."""
        if self.unreachable_since is None:
            self.unreachable_since = began
            self.changed(began)
