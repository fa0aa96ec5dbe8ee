"""Caches rate limit refusals of other hosts."""

import math
from typing import Final

from ..clock import Clock
from .refusal import RefusalError, RefusalReason, not_run
from .session_statement import SessionStatement

MS_PER_SECOND: Final = 1000.0


class RemoteRateLimits:
    """Refuse operations locally while another host's rate limit refusal is valid.

    :ivar retry_at: monotonic time of the next attempt, by workspace and host.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.retry_at: dict[tuple[str, str], float] = {}

    def check(self, host: str, statement: SessionStatement) -> None:
        """Check that the host is not known to refuse the operation.

        :raises RefusalError: not run, if it would be refused.
        """
        if not statement.workspace or not statement.starts_operation:
            return
        key = (statement.workspace, host)
        retry_at = self.retry_at.get(key)
        if retry_at is None:
            return
        remaining = retry_at - self.clock.monotonic()
        if remaining <= 0.0:
            del self.retry_at[key]
            return
        raise not_run(
            RefusalReason.RATE_LIMITED,
            f"the workspace {statement.workspace} exceeds its rate",
            math.ceil(remaining * MS_PER_SECOND),
        )

    def record_refusal(
        self, host: str, statement: SessionStatement, refusal: RefusalError
    ) -> None:
        """Record a refusal by another host, if it is for the rate limit."""
        if refusal.reason is not RefusalReason.RATE_LIMITED:
            return
        wait = (refusal.retry_after_ms or 0) / MS_PER_SECOND
        self.retry_at[statement.workspace, host] = self.clock.monotonic() + wait
