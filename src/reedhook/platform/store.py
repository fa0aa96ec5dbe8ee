"""The platform's store over HTTP with JSON."""

from base64 import b64decode, b64encode
from typing import Any, Final
from urllib.parse import urlencode

from ..clock import Clock
from ..connection.channel import (
    JSON_HEADERS,
    ChannelAnswer,
    ChannelBroken,
    ChannelClosed,
)
from ..connection.link import Link
from ..process.announced.keyspace import (
    Conflict,
    Declined,
    HistoryGone,
    Item,
    Items,
    Keyspace,
    LeaseEnded,
    Unanswered,
)
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


class PlatformStore(Keyspace):
    """Reach the store at `address` (``IP:port``)."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.clock = clock
        self.link = Link(address, JSON_HEADERS)

    def move(self, address: str) -> None:
        """Go on at another address."""
        if address != self.link.address:
            self.link.retire()
            self.link = Link(address, JSON_HEADERS)

    async def get(self, key: str, timeout: float) -> Item | None:
        status, message = await self.ask("GET", KEY, {"key": key}, None, timeout)
        if status == ABSENT:
            return None
        return read_item(accepted(status, message))

    async def list(self, prefix: str, timeout: float) -> Items:
        items: list[Item] = []
        query = {"prefix": prefix}
        at = None
        while True:
            status, message = await self.ask("GET", RANGE, query, None, timeout)
            page = read_items(accepted(status, message), "items")
            at = page.at if at is None else at
            items += page.items
            if not message.get("truncated") or not page.items:
                # Pages are no snapshot: what changed since the first is in
                # the changes after its revision.
                return Items(items, at)
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
        status, message = await self.ask("GET", WATCH, query, None, timeout)
        if status == GONE:
            raise HistoryGone(f"changes after {after} are gone")
        return read_items(accepted(status, message), "events")

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
        status, message = await self.ask("POST", CHANGE, {}, body, timeout)
        if status == CONFLICT:
            raise Conflict(f"{key} is not at revision {expected}")
        if status == ABSENT:
            raise LeaseEnded(f"there is no lease {lease}")
        return int(accepted(status, message)["revision"])

    async def grant(self, seconds: float, timeout: float) -> int:
        body: Json = {"ttl_ms": int(seconds * MILLISECONDS)}
        status, message = await self.ask("POST", LEASE, {}, body, timeout)
        return int(accepted(status, message)["lease"])

    async def keep(self, lease: int, timeout: float) -> None:
        status, message = await self.ask("POST", f"{KEEP}{lease}", {}, None, timeout)
        if status == ABSENT:
            raise LeaseEnded(f"there is no lease {lease}")
        accepted(status, message)

    async def end(self, lease: int, timeout: float) -> None:
        path = f"{LEASE_END}{lease}"
        status, message = await self.ask("DELETE", path, {}, None, timeout)
        if status != ABSENT:
            accepted(status, message)

    async def close(self) -> None:
        self.link.retire()
        self.link.cut()

    async def ask(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Json | None,
        timeout: float,
    ) -> tuple[int, Json]:
        """Send one call; it is never repeated here.

        :returns: the status and the body of the answer.
        :raises Unanswered: if no whole answer came.
        """
        raw = b"" if body is None else encode(body)
        if query:
            path = f"{path}?{urlencode(query)}"
        try:
            answer = await self.link.exchange(
                path, raw, timeout, self.clock, method=method
            )
        except (ChannelClosed, ChannelBroken) as error:
            # What lost track of one connection may have lost them all.
            self.link.drop_idle()
            raise Unanswered(f"no answer to {path}: {error}") from error
        return answer.status, read_body(answer)


def read_body(answer: ChannelAnswer) -> Json:
    """Return the message of an answer; one that cannot be read tells nothing."""
    if not answer.body.strip():
        return {}
    try:
        return decode(answer.body)
    except WireError as error:
        return {"error": str(error)}


def accepted(status: int, message: Json) -> Json:
    """Return the message of a call that was done.

    :raises Declined: otherwise.
    """
    if status != OK:
        raise Declined(f"the store answers {status}")
    return message


def read_items(message: Json, name: str) -> Items:
    """Read a list of items and the revision at which they stood.

    :raises Declined: if the message has another form.
    """
    try:
        items = [read_item(one) for one in message[name]]
        return Items(items, int(message["at"]))
    except (LookupError, TypeError, ValueError) as error:
        raise Declined(f"malformed answer: {error!r}") from error


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
        raise Declined(f"malformed item: {error!r}") from error
