"""Whether a target lives, asked on new connections only.

An open connection can go silent for good while new ones work, so silence
alone says nothing about the target.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from ..clock import Clock
from .target import MemberState, TargetError, TargetFullError
from .target_connection_pool import PoolExhaustedError, TargetConnectionPool

MAX_PROBES: Final = 3
"""Connections on which the target is asked, in case packets are lost."""

PROBE_INTERVAL_SECONDS: Final = 0.05
"""Seconds after which the next probe starts; the last has as long to answer."""

PROBE_WINDOW_SECONDS: Final = MAX_PROBES * PROBE_INTERVAL_SECONDS
"""Seconds within which one of the probes has to be answered."""

PROBE_RESULT_VALIDITY_SECONDS: Final = 0.1
"""Seconds for which an answered probe spares the next one."""


class TargetFailureDetector:
    """Probe a target and keep since when it has been unreachable.

    :param on_state: takes a state and the monotonic time when it was asked.
    :param on_reachability_change: called when the target becomes unreachable or answers
        again.
    :ivar unreachable_since: monotonic time in seconds; None while it answers.
    :ivar last_success_at: monotonic time at which the last answered probe began.
    """

    __slots__ = (
        "pool",
        "clock",
        "on_state",
        "on_reachability_change",
        "unreachable_since",
        "last_success_at",
        "probe_task",
    )

    def __init__(
        self,
        pool: TargetConnectionPool,
        clock: Clock,
        on_state: Callable[[MemberState, float], None],
        on_reachability_change: Callable[[float | None], None],
    ) -> None:
        self.pool = pool
        self.clock = clock
        self.on_state = on_state
        self.on_reachability_change = on_reachability_change
        self.unreachable_since: float | None = None
        self.last_success_at = float("-inf")
        self.probe_task: asyncio.Task[bool] | None = None

    def record_response(self) -> None:
        """Take note of an answer of the target."""
        if self.unreachable_since is not None:
            self.unreachable_since = None
            self.on_reachability_change(None)

    def start_probe(self) -> asyncio.Task[bool]:
        """Return the examination in progress, or start one.

        Its result is whether the target lives.
        """
        if self.probe_task is None or self.probe_task.done():
            loop = asyncio.get_running_loop()
            self.probe_task = loop.create_task(self.probe())
        return self.probe_task

    def recently_answered(self) -> bool:
        """Say whether a probe has just been answered."""
        return (
            self.clock.monotonic() - self.last_success_at
            < PROBE_RESULT_VALIDITY_SECONDS
        )

    async def is_alive(self) -> bool:
        """Return whether the target answers on a new connection, or just has."""
        return self.recently_answered() or await self.probe_now()

    async def probe_now(self) -> bool:
        """Return whether the target answers on a new connection now."""
        return await asyncio.shield(self.start_probe())

    async def close(self) -> None:
        """Stop an examination in progress."""
        if self.probe_task is not None:
            self.probe_task.cancel()
            await asyncio.gather(self.probe_task, return_exceptions=True)

    async def probe(self) -> bool:
        """Ask on new connections, one after the other; one answer is enough."""
        began = self.clock.monotonic()
        lives = await self.run_probes()
        if lives:
            self.record_response()
        else:
            self.failed(began)
        return lives

    async def run_probes(self) -> bool:
        """Return whether one of the probes is answered."""
        loop = asyncio.get_running_loop()
        pending: set[asyncio.Task[bool]] = set()
        try:
            for _ in range(MAX_PROBES):
                pending.add(loop.create_task(self.probe_once()))
                done, pending = await asyncio.wait(
                    pending,
                    timeout=PROBE_INTERVAL_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(probe.result() for probe in done):
                    return True
            return False
        finally:
            for probe in pending:
                probe.cancel()

    async def probe_once(self) -> bool:
        """Return whether the target answers on one new connection.

        A target that says it is full has answered. Without room in our own
        share nothing is proved: the target is neither suspected nor cleared,
        and what is silent ends at its deadline.
        """
        asked = self.clock.monotonic()
        try:
            connection = await self.pool.open_control(PROBE_WINDOW_SECONDS)
        except PoolExhaustedError:
            return self.unreachable_since is None
        except TargetFullError:
            return True
        except TargetError:
            return False
        try:
            state = await connection.state(PROBE_WINDOW_SECONDS)
        except BaseException as error:
            self.pool.discard(connection)
            if isinstance(error, TargetError):
                return False
            raise
        self.pool.add_idle(connection)
        self.last_success_at = asked
        self.on_state(state, asked)
        return True

    def failed(self, began: float) -> None:
        """Take note that nothing answered."""
        if self.unreachable_since is None:
            self.unreachable_since = began
            self.on_reachability_change(began)
