"""Which hosts have refused operations beyond a rate, and until when."""

import math
from typing import Final

from ..clock import Clock
from .refusal import RefusalError, RefusalReason, not_run
from .session_statement import SessionStatement

MS_PER_SECOND: Final = 1000.0


class RemoteRateLimits:
    """Refuse at once what another host has refused a moment ago.

    :ivar retry_at: when to ask again, by workspace and host, by `Clock.monotonic`.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.retry_at: dict[tuple[str, str], float] = {}

    def check(self, host: str, statement: SessionStatement) -> None:
        """Refuse an operation that the host would refuse.

        :raises Refusal: not run.
        """
        if not statement.workspace or not statement.starts_operation:
            return
        key = (statement.workspace, host)
        until = self.retry_at.get(key)
        if until is None:
            return
        left = until - self.clock.monotonic()
        if left <= 0.0:
            del self.retry_at[key]
            return
        raise not_run(
            RefusalReason.RATE_LIMITED,
            f"the workspace {statement.workspace} exceeds its rate",
            math.ceil(left * MS_PER_SECOND),
        )

    def record_refusal(
        self, host: str, statement: SessionStatement, refusal: RefusalError
    ) -> None:
        """Take note of a refusal of another host."""
        if refusal.reason is not RefusalReason.RATE_LIMITED:
            return
        wait = (refusal.retry_after_ms or 0) / MS_PER_SECOND
        self.retry_at[statement.workspace, host] = self.clock.monotonic() + wait
