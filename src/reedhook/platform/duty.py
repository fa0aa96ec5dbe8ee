"""The platform's call that promotes a target."""

from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout
from yarl import URL

from ..connector import Connector, plain_session
from ..process.lead.duty import OrderOutcome, Promoter
from ..wire import encode

PATH: Final = "/promotion"
HOLDER: Final = "Duty-Holder"
TOKEN: Final = "Fencing-Token"
JSON_TYPE: Final = "application/json"
OK: Final = 200
NOT_RUNNING: Final = 409


class PlatformPromoter(Promoter):
    """Order promotions at `address` (``IP:port``)."""

    def __init__(self, address: str) -> None:
        self.base = URL(f"http://{address}")

    def move(self, address: str) -> None:
        """Go on at another address."""
        self.base = URL(f"http://{address}")

    async def promote(
        self, service: str, target: str, holder: str, token: int, timeout: float
    ) -> OrderOutcome:
        # Orders are rare and must not meet a connection that went silent, so
        # that each has one of its own.
        headers = {HOLDER: holder, TOKEN: str(token), "Content-Type": JSON_TYPE}
        body = encode({"service": service, "id": target})
        try:
            async with plain_session(Connector(force_close=True)) as session:
                return await self.send(session, headers, body, timeout)
        except (ClientError, OSError, TimeoutError):
            return OrderOutcome.UNANSWERED

    async def send(
        self,
        session: ClientSession,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> OrderOutcome:
        """Send the order and read its outcome."""
        async with session.post(
            self.base.with_path(PATH),
            data=body,
            headers=headers,
            timeout=ClientTimeout(total=timeout),
        ) as response:
            await response.read()
            if response.status == OK:
                return OrderOutcome.DONE
            if response.status == NOT_RUNNING:
                return OrderOutcome.NOT_RUNNING
            return OrderOutcome.UNANSWERED
