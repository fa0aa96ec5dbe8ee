"""Client of the platform's promotion call."""

from typing import Final

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

    def __init__(self, address: str) -> None:
        self.address = address

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
        try:
            channel = await open_channel(self.address, timeout, headers)
            try:
                answer = await channel.exchange(PROMOTION_PATH, body, timeout)
            finally:
                channel.close()
        except (ChannelClosedError, ResponseIncompleteError):
            return OrderOutcome.UNANSWERED
        return OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.UNANSWERED)
