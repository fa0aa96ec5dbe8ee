"""HTTP client for the platform's key-value store."""

from base64 import b64decode, b64encode
from typing import Final

from aiohttp import (
    ClientError,
    ClientTimeout,
)
from yarl import URL

from ...connector import SingleStepConnector, create_client_session
from ...wire import Json, WireError, decode, encode
from .store import (
    Store,
    StoreConflictError,
    StoreEntry,
    StoreError,
    StoreUnavailableError,
)

HOLD_MARGIN_SECONDS: Final = 1.0
CODE_CONFLICT: Final = "conflict"
STATUS_OK: Final = 200
STATUS_ERROR: Final = 500


class HttpStore(Store):
    """Use the store served at `address` (``IP:port``)."""

    def __init__(self, address: str) -> None:
        self.base = URL(f"http://{address}")
        self.session = create_client_session(SingleStepConnector(limit=0))

    async def get(self, key: str, timeout: float) -> StoreEntry | None:
        return await self.ask_entry("get", {"key": key}, timeout)

    async def put(
        self, key: str, value: bytes, expected: int, timeout: float
    ) -> StoreEntry:
        body: Json = {
            "key": key,
            "value": b64encode(value).decode(),
            "expected": expected,
        }
        entry = await self.ask_entry("put", body, timeout)
        if entry is None:
            raise StoreUnavailableError("response to put has no entry")
        return entry

    async def watch(self, key: str, revision: int, hold: float) -> StoreEntry | None:
        body: Json = {"key": key, "revision": revision, "hold": hold}
        return await self.ask_entry("watch", body, hold + HOLD_MARGIN_SECONDS)

    async def delete(self, key: str, expected: int, timeout: float) -> None:
        await self.ask("delete", {"key": key, "expected": expected}, timeout)

    async def close(self) -> None:
        await self.session.close()

    async def ask_entry(
        self, path: str, body: Json, timeout: float
    ) -> StoreEntry | None:
        """Send a request whose response is an entry or none."""
        message = await self.ask(path, body, timeout)
        try:
            return read_entry(message["entry"])
        except (KeyError, TypeError, ValueError) as error:
            raise StoreUnavailableError(f"malformed entry: {error!r}") from error

    async def ask(self, path: str, body: Json, timeout: float) -> Json:
        """Send one request without retries.

        :raises StoreUnavailableError: if there is no complete response, or its HTTP
            status is 500 or above.
        :raises StoreConflictError: if the revision differs.
        :raises StoreError: if the store rejects the request for another reason.
        """
        try:
            async with self.session.post(
                self.base / path,
                data=encode(body),
                timeout=ClientTimeout(total=timeout),
            ) as response:
                status = response.status
                message = decode(await response.read())
        except (ClientError, OSError, TimeoutError, WireError) as error:
            raise StoreUnavailableError(f"request {path} failed: {error!r}") from error
        if status == STATUS_OK:
            return message
        detail = str(message.get("detail"))
        if status >= STATUS_ERROR:
            raise StoreUnavailableError(detail)
        if message.get("code") == CODE_CONFLICT:
            raise StoreConflictError(detail)
        raise StoreError(detail)


def read_entry(message: Json | None) -> StoreEntry | None:
    """Parse an entry in wire format; None for null."""
    if message is None:
        return None
    value = b64decode(message["value"], validate=True)
    return StoreEntry(str(message["key"]), value, int(message["revision"]))
