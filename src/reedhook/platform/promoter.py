"""Client of the platform's promotion call."""

from typing import Final

from ..clock import Clock
from ..connection.channel import (
    ChannelClosedError,
    ResponseIncompleteError,
    open_channel,
)
from ..process.primary_lease.promotion_coordinator import OrderOutcome, Promoter
from ..wire import encode

PROMOTION_PATH: Final = "promotion"
HOLDER_HEADER: Final = "Duty-Holder"
FENCING_TOKEN_HEADER: Final = "Fencing-Token"
JSON_TYPE: Final = "application/json"
OUTCOME_BY_STATUS: Final = {200: OrderOutcome.DONE, 409: OrderOutcome.NOT_RUNNING}


class PlatformPromoter(Promoter):
    """Order promotions at `address` (``IP:port``)."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address = address
        self.clock = clock

    def change_address(self, address: str) -> None:
        """Send further orders to another address."""
        self.address = address

    async def promote(
        self, service: str, target: str, holder: str, token: int, timeout: float
    ) -> OrderOutcome:
        # Promotions are rare, so a pooled connection could be dead by then; each
        # order opens a new one.
        headers = {
            HOLDER_HEADER: holder,
            FENCING_TOKEN_HEADER: str(token),
            "Content-Type": JSON_TYPE,
        }
        body = encode({"service": service, "id": target})
        deadline = self.clock.boottime() + timeout
        try:
            channel = await open_channel(self.address, timeout, headers)
            try:
                # A process that was paused while it connected must not send an order
                # for which its permission has ended.
                remaining = deadline - self.clock.boottime()
                if remaining <= 0.0:
                    return OrderOutcome.UNANSWERED
                answer = await channel.exchange(PROMOTION_PATH, body, remaining)
            finally:
                channel.close()
        except (ChannelClosedError, ResponseIncompleteError):
            return OrderOutcome.UNANSWERED
        return OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.UNANSWERED)
