"""Failure detection of a target by probes on new connections.

An open connection can go silent for good while new ones work, so a missing reply
alone does not show that the target has failed.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from ..clock import Clock
from .stalled_loop import wait_for_first
from .target import MemberState, TargetError, TargetFullError
from .target_connection_pool import PoolExhaustedError, TargetConnectionPool

MAX_PROBES: Final = 3
"""Probes per check; more than one, in case packets are lost."""

PROBE_INTERVAL_SECONDS: Final = 0.05
"""Delay before the next probe starts, and after the last one."""

PROBE_TIMEOUT_SECONDS: Final = 60.0
"""Timeout of a probe. The end of the check cancels it long before, and without
counting the time in which the loop of this host was stalled, which a timeout would."""

PROBE_RESULT_VALIDITY_SECONDS: Final = 0.1
"""Time after a successful probe in which no new one is needed."""


class TargetFailureDetector:
    """Probe a target and track since when it has been unreachable.

    :param on_state: called with a state and the monotonic time of its request.
    :param on_reachability_change: called with `unreachable_since` when it changes.
    :ivar unreachable_since: monotonic time in seconds; None while the target replies.
    :ivar last_success_at: monotonic time at which the last successful probe began.
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
        """Mark the target as reachable."""
        if self.unreachable_since is not None:
            self.unreachable_since = None
            self.on_reachability_change(None)

    def start_probe(self) -> asyncio.Task[bool]:
        """Return the check in progress, or start one.

        The result of the task is whether the target is alive.
        """
        if self.probe_task is None or self.probe_task.done():
            loop = asyncio.get_running_loop()
            self.probe_task = loop.create_task(self.probe())
        return self.probe_task

    def recently_answered(self) -> bool:
        """Return whether a probe has succeeded recently."""
        return (
            self.clock.monotonic() - self.last_success_at
            < PROBE_RESULT_VALIDITY_SECONDS
        )

    async def is_alive(self) -> bool:
        """Return whether a probe succeeds, or has succeeded recently."""
        return self.recently_answered() or await self.probe_now()

    async def probe_now(self) -> bool:
        """Return whether the target replies on a new connection now."""
        return await asyncio.shield(self.start_probe())

    async def close(self) -> None:
        """Cancel a check in progress."""
        if self.probe_task is not None:
            self.probe_task.cancel()
            await asyncio.gather(self.probe_task, return_exceptions=True)

    async def probe(self) -> bool:
        """Run the probes and update the reachability of the target."""
        started = self.clock.monotonic()
        alive = await self.run_probes()
        if alive:
            self.record_response()
        else:
            self.mark_unreachable(started)
        return alive

    async def run_probes(self) -> bool:
        """Start the probes at intervals; return whether one of them succeeds."""
        loop = asyncio.get_running_loop()
        pending: set[asyncio.Task[bool]] = set()
        try:
            for _ in range(MAX_PROBES):
                pending.add(loop.create_task(self.probe_once()))
                done, pending = await wait_for_first(pending, PROBE_INTERVAL_SECONDS)
                if any(probe.result() for probe in done):
                    return True
            return False
        finally:
            for probe in pending:
                probe.cancel()

    async def probe_once(self) -> bool:
        """Return whether the target replies on one new connection.

        A target that refuses a connection because it is full is alive. If this host's
        own share is exhausted, the result is the current state: no probe was sent.
        """
        sent_at = self.clock.monotonic()
        try:
            connection = await self.pool.open_control(PROBE_TIMEOUT_SECONDS)
        except PoolExhaustedError:
            return self.unreachable_since is None
        except TargetFullError:
            return True
        except TargetError:
            return False
        try:
            state = await connection.state(PROBE_TIMEOUT_SECONDS)
        except BaseException as error:
            self.pool.discard(connection)
            if isinstance(error, TargetError):
                return False
            raise
        self.pool.add_idle(connection)
        self.last_success_at = sent_at
        self.on_state(state, sent_at)
        return True

    def mark_unreachable(self, began: float) -> None:
        """Mark the target as unreachable since `began`."""
        if self.unreachable_since is None:
            self.unreachable_since = began
            self.on_reachability_change(began)
