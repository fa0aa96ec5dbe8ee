"""The platform's call that promotes a target."""

from typing import Final

from ..connection.channel import (
    ChannelClosedError,
    ResponseIncompleteError,
    open_channel,
)
from ..process.lead.duty import OrderOutcome, Promoter
from ..wire import encode

PATH: Final = "promotion"
HOLDER: Final = "Duty-Holder"
TOKEN: Final = "Fencing-Token"
JSON_TYPE: Final = "application/json"
OUTCOMES: Final = {200: OrderOutcome.DONE, 409: OrderOutcome.NOT_RUNNING}


class PlatformPromoter(Promoter):
    """Order promotions at `address` (``IP:port``)."""

    def __init__(self, address: str) -> None:
        self.address = address

    def move(self, address: str) -> None:
        """Go on at another address."""
        self.address = address

    async def promote(
        self, service: str, target: str, holder: str, token: int, timeout: float
    ) -> OrderOutcome:
        # Orders are rare and must not meet a connection that went silent, so
        # that each has one of its own.
        headers = {HOLDER: holder, TOKEN: str(token), "Content-Type": JSON_TYPE}
        body = encode({"service": service, "id": target})
        try:
            channel = await open_channel(self.address, timeout, headers)
            try:
                answer = await channel.exchange(PATH, body, timeout)
            finally:
                channel.close()
        except (ChannelClosedError, ResponseIncompleteError):
            return OrderOutcome.UNANSWERED
        return OUTCOMES.get(answer.status, OrderOutcome.UNANSWERED)
