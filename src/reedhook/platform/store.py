"""The platform's store over HTTP with JSON."""

from base64 import b64decode, b64encode
from typing import Any, Final
from urllib.parse import urlencode

from ..clock import Clock
from ..connection.channel import (
    JSON_HEADERS,
    ChannelClosedError,
    ChannelResponse,
    ResponseIncompleteError,
)
from ..connection.channel_pool import ChannelPool
from ..process.discovery.key_value_store import (
    HistoryCompactedError,
    Item,
    Items,
    KeyValueStore,
    RevisionConflictError,
    StoreLeaseExpiredError,
    StoreRejectedError,
    StoreUnansweredError,
)
from ..record import Record
from ..wire import Json, WireError, decode, encode

KEY: Final = "-/kv-key"
RANGE: Final = "-/kv-range"
WATCH: Final = "-/kv-watch"
CHANGE: Final = "-/kv-txn"
LEASE: Final = "-/kv-lease"
KEEP: Final = "-/kv-keep/"
LEASE_END: Final = "-/kv-lease-end/"

OK: Final = 200
ABSENT: Final = 404
GONE: Final = 410
CONFLICT: Final = 412

MILLISECONDS: Final = 1000

MAX_SILENCE_SECONDS: Final = 1.0
"""Seconds of silence after which an answer that has begun to arrive is given up; a
configuration of 250 KB takes 2.7 s over a link of 1 Mbit/s, and begun anew it would
cross the same link twice."""


class PlatformStore(KeyValueStore):
    """Reach the store at `address` (``IP:port``)."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.clock = clock
        self.link = ChannelPool(address, JSON_HEADERS)

    def change_address(self, address: str) -> None:
        """Go on at another address."""
        if address != self.link.address:
            self.link.retire()
            self.link = ChannelPool(address, JSON_HEADERS)

    async def get(self, key: str, timeout: float) -> Item | None:
        answer = await self.request("GET", KEY, {"key": key}, None, timeout)
        if answer.status == ABSENT:
            return None
        return read_item(require_ok(answer))

    async def list(self, prefix: str, timeout: float) -> Items:
        items: list[Item] = []
        query = {"prefix": prefix}
        at = None
        arrival = 0.0
        while True:
            answer = await self.request("GET", RANGE, query, None, timeout)
            page = read_items(answer, "items")
            at = page.revision if at is None else at
            items += page.items
            arrival += page.transfer_seconds
            if not answer.message.get("truncated") or not page.items:
                # Pages are no snapshot: what changed since the first is in
                # the changes after its revision.
                return Items(items, at, arrival)
            query = {"prefix": prefix, "after": page.items[-1].key}

    async def changes(
        self, prefix: str, after: int, hold: float, margin: float
    ) -> Items:
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(hold * MILLISECONDS)),
        }
        timeout = hold + margin
        answer = await self.request("GET", WATCH, query, None, timeout)
        if answer.status == GONE:
            raise HistoryCompactedError(f"changes after {after} are gone")
        return read_items(answer, "events")

    async def put(
        self,
        key: str,
        value: bytes,
        expected: int | None,
        timeout: float,
        lease: int = 0,
    ) -> int:
        conditions = []
        if expected is not None:
            conditions = [{"key": key, "revision": expected}]
        write = {"key": key, "value": b64encode(value).decode(), "lease": lease}
        body: Json = {"expect": conditions, "writes": [write], "deletes": []}
        answer = await self.request("POST", CHANGE, {}, body, timeout)
        if answer.status == CONFLICT:
            raise RevisionConflictError(f"{key} is not at revision {expected}")
        if answer.status == ABSENT:
            raise StoreLeaseExpiredError(f"there is no lease {lease}")
        return int(require_ok(answer)["revision"])

    async def grant_lease(self, seconds: float, timeout: float) -> int:
        body: Json = {"ttl_ms": int(seconds * MILLISECONDS)}
        answer = await self.request("POST", LEASE, {}, body, timeout)
        return int(require_ok(answer)["lease"])

    async def renew_lease(self, lease: int, timeout: float) -> None:
        answer = await self.request("POST", f"{KEEP}{lease}", {}, None, timeout)
        if answer.status == ABSENT:
            raise StoreLeaseExpiredError(f"there is no lease {lease}")
        require_ok(answer)

    async def revoke_lease(self, lease: int, timeout: float) -> None:
        path = f"{LEASE_END}{lease}"
        answer = await self.request("DELETE", path, {}, None, timeout)
        if answer.status != ABSENT:
            require_ok(answer)

    async def close(self) -> None:
        self.link.retire()
        self.link.abort_exchanges()

    async def request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Json | None,
        timeout: float,
    ) -> "StoreAnswer":
        """Send one call; it is never repeated here.

        :raises Unanswered: if no whole answer came.
        """
        raw = b"" if body is None else encode(body)
        if query:
            path = f"{path}?{urlencode(query)}"
        try:
            answer = await self.link.exchange(
                path,
                raw,
                timeout,
                self.clock,
                method=method,
                progress_timeout=MAX_SILENCE_SECONDS,
            )
        except (ChannelClosedError, ResponseIncompleteError) as error:
            # What lost track of one connection may have lost them all.
            self.link.drop_idle()
            raise StoreUnansweredError(f"no answer to {path}: {error}") from error
        return StoreAnswer(answer.status, read_body(answer), answer.transfer_seconds)


class StoreAnswer(Record):
    """Carry the answer of the store to one call.

    :param arrival: seconds from its first byte to the last.
    """

    __slots__ = ("status", "message", "arrival")

    def __init__(self, status: int, message: Json, arrival: float) -> None:
        self.status = status
        self.message = message
        self.arrival = arrival


def read_body(answer: ChannelResponse) -> Json:
    """Return the message of an answer; one that cannot be read tells nothing."""
    if not answer.body.strip():
        return {}
    try:
        return decode(answer.body)
    except WireError as error:
        return {"error": str(error)}


def require_ok(answer: StoreAnswer) -> Json:
    """Return the message of a call that was done.

    :raises Declined: otherwise.
    """
    if answer.status != OK:
        raise StoreRejectedError(f"the store answers {answer.status}")
    return answer.message


def read_items(answer: StoreAnswer, name: str) -> Items:
    """Read a list of items and the revision at which they stood.

    :raises Declined: if it was not done or has another form.
    """
    message = require_ok(answer)
    try:
        items = [read_item(one) for one in message[name]]
        return Items(items, int(message["at"]), answer.arrival)
    except (LookupError, TypeError, ValueError) as error:
        raise StoreRejectedError(f"malformed answer: {error!r}") from error


def read_item(message: Any) -> Item:
    """Read an item; one that was deleted has a `tombstone`.

    :raises Declined: if the message has another form.
    """
    try:
        value = None
        if "tombstone" not in message:
            value = b64decode(message["value"], validate=True)
        return Item(str(message["key"]), value, int(message["revision"]))
    except (LookupError, TypeError, ValueError) as error:
        raise StoreRejectedError(f"malformed item: {error!r}") from error
