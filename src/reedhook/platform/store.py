"""Client of the platform's key-value store over HTTP with JSON."""

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
    EarlierEpochError,
    HistoryCompactedError,
    Item,
    Items,
    KeyValueStore,
    RevisionConflictError,
    StoreLeaseExpiredError,
    StoreRejectedError,
    StoreUnansweredError,
)
from ..process.discovery.store_epoch import StoreEpoch
from ..process.discovery.store_revision import StoreRevision
from ..record import Record
from ..wire import Json, WireError, decode, encode

KEY: Final = "-/kv-key"
RANGE: Final = "-/kv-range"
WATCH: Final = "-/kv-watch"
CHANGE: Final = "-/kv-txn"
LEASE: Final = "-/kv-lease"
KEEP: Final = "-/kv-keep/"
LEASE_END: Final = "-/kv-lease-end/"

EPOCH_HEADER: Final = b"store-era"
"""Number of restores of the store; a response without it counts as 0."""

MAX_EPOCH_DIGITS: Final = 15
"""Epochs are sent to other hosts as JSON integers, which hold 64 bits."""

OK: Final = 200
ABSENT: Final = 404
GONE: Final = 410
CONFLICT: Final = 412
SERVER_ERROR: Final = 500
UNAVAILABLE: Final = 503
"""The only server error that states that nothing was done."""

MS_PER_SECOND: Final = 1000

MAX_SILENCE_SECONDS: Final = 1.0
"""Time without progress after which a partly received response is abandoned, so that
a large response over a slow link may take longer than the timeout."""


class PlatformStore(KeyValueStore):
    """Call the store at `address` (``IP:port``)."""

    def __init__(self, address: str, clock: Clock, epoch: StoreEpoch) -> None:
        super().__init__(epoch)
        self.clock = clock
        self.link = ChannelPool(address, JSON_HEADERS)

    def change_address(self, address: str) -> None:
        """Send further requests to another address."""
        if address != self.link.address:
            self.link.retire()
            self.link = ChannelPool(address, JSON_HEADERS)

    async def get(self, key: str, timeout: float) -> Item | None:
        answer = await self.request("GET", KEY, {"key": key}, None, timeout)
        if answer.status == ABSENT:
            return None
        return read_item(require_ok(answer), answer.epoch)

    async def list(self, prefix: str, timeout: float) -> Items:
        items: list[Item] = []
        query = {"prefix": prefix}
        first_revision = None
        transfer_seconds = 0.0
        while True:
            answer = await self.request("GET", RANGE, query, None, timeout)
            page = read_items(answer, "items")
            first_revision = page.revision if first_revision is None else first_revision
            if page.revision.epoch != first_revision.epoch:
                # The store was restored between two pages.
                raise EarlierEpochError("the first page is of an earlier epoch")
            items += page.items
            transfer_seconds += page.transfer_seconds
            if not answer.message.get("truncated") or not page.items:
                # Pages are not a snapshot: a watch from the revision of the first
                # page returns what changed while the others were read.
                return Items(items, first_revision, transfer_seconds)
            query = {"prefix": prefix, "after": page.items[-1].key}

    async def changes(
        self, prefix: str, after: StoreRevision, hold: float, margin: float
    ) -> Items:
        query = {
            "prefix": prefix,
            "after": str(after.number),
            "wait_ms": str(int(hold * MS_PER_SECOND)),
        }
        timeout = hold + margin
        answer = await self.request("GET", WATCH, query, None, timeout)
        if answer.status == GONE:
            raise HistoryCompactedError(
                f"the history after revision {after.number} was compacted"
            )
        if answer.epoch != after.epoch:
            # The number may have been assigned again, so that the response lacks
            # changes between the restored copy and this number.
            raise HistoryCompactedError(
                f"revision {after.number} is of epoch {after.epoch}"
            )
        return read_items(answer, "events")

    async def put(
        self,
        key: str,
        value: bytes,
        expected: StoreRevision | None,
        timeout: float,
        lease: int = 0,
    ) -> StoreRevision:
        self.check_condition(key, expected)
        conditions = []
        if expected is not None:
            conditions = [{"key": key, "revision": expected.number}]
        write = {"key": key, "value": b64encode(value).decode(), "lease": lease}
        body: Json = {"expect": conditions, "writes": [write], "deletes": []}
        answer = await self.request("POST", CHANGE, {}, body, timeout)
        if answer.status == CONFLICT:
            raise RevisionConflictError(f"{key} is not at {expected}")
        if answer.status == ABSENT:
            raise StoreLeaseExpiredError(f"there is no lease {lease}")
        return StoreRevision(answer.epoch, read_number(answer, "revision"))

    async def grant_lease(self, seconds: float, timeout: float) -> int:
        body: Json = {"ttl_ms": int(seconds * MS_PER_SECOND)}
        answer = await self.request("POST", LEASE, {}, body, timeout)
        return read_number(answer, "lease")

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
        """Send one request without retrying it.

        :raises StoreUnansweredError: if no complete response arrived.
        :raises EarlierEpochError: if the response is of an earlier epoch.
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
            # The other pooled connections may be broken as well.
            self.link.drop_idle()
            raise StoreUnansweredError(f"no answer to {path}: {error}") from error
        epoch = read_epoch(answer)
        self.receive_epoch(epoch)
        return StoreAnswer(
            answer.status, epoch, read_body(answer), answer.transfer_seconds
        )


class StoreAnswer(Record):
    """Hold the store's response to a request.

    :param epoch: the epoch that the response states.
    :param transfer_seconds: seconds from the first byte to the last.
    """

    __slots__ = ("status", "epoch", "message", "transfer_seconds")

    def __init__(
        self, status: int, epoch: int, message: Json, transfer_seconds: float
    ) -> None:
        self.status = status
        self.epoch = epoch
        self.message = message
        self.transfer_seconds = transfer_seconds


def read_epoch(answer: ChannelResponse) -> int:
    """Return the epoch that a response states.

    :raises StoreUnansweredError: if it is not a number, so that nothing is known of
        the state that the response describes.
    """
    stated = answer.headers.get(EPOCH_HEADER, b"0").strip()
    if not stated.isdigit() or len(stated) > MAX_EPOCH_DIGITS:
        raise StoreUnansweredError(f"malformed epoch {stated[:20]!r}")
    return int(stated)


def read_body(answer: ChannelResponse) -> Json:
    """Return the message of a response, or the parse error in ``error``."""
    if not answer.body.strip():
        return {}
    try:
        return decode(answer.body)
    except WireError as error:
        return {"error": str(error)}


def require_ok(answer: StoreAnswer) -> Json:
    """Return the message of a successful response.

    :raises StoreRejectedError: if the status says that nothing was done.
    :raises StoreUnansweredError: for any other status than 200.
    """
    if answer.status == OK:
        return answer.message
    cause = f"the store responded with status {answer.status}"
    if answer.status < SERVER_ERROR or answer.status == UNAVAILABLE:
        raise StoreRejectedError(cause)
    raise StoreUnansweredError(cause)


def read_number(answer: StoreAnswer, name: str) -> int:
    """Return a number of the response to a call that changes the store.

    :raises StoreRejectedError: if nothing was done.
    :raises StoreUnansweredError: if the response is malformed.
    """
    message = require_ok(answer)
    try:
        return int(message[name])
    except (LookupError, TypeError, ValueError) as error:
        raise StoreUnansweredError(f"malformed response: {error!r}") from error


def read_items(answer: StoreAnswer, name: str) -> Items:
    """Parse a list of items and its revision.

    :raises StoreRejectedError: if the request failed or the response is malformed.
    """
    message = require_ok(answer)
    try:
        items = [read_item(item, answer.epoch) for item in message[name]]
        revision = StoreRevision(answer.epoch, int(message["at"]))
        return Items(items, revision, answer.transfer_seconds)
    except (LookupError, TypeError, ValueError) as error:
        raise StoreRejectedError(f"malformed response: {error!r}") from error


def read_item(message: Any, epoch: int) -> Item:
    """Parse an item; a deleted one has a `tombstone`.

    :param epoch: epoch of the response.

    :raises StoreRejectedError: if the message is malformed.
    """
    try:
        value = None
        if "tombstone" not in message:
            value = b64decode(message["value"], validate=True)
        revision = StoreRevision(epoch, int(message["revision"]))
        return Item(str(message["key"]), value, revision)
    except (LookupError, TypeError, ValueError) as error:
        raise StoreRejectedError(f"malformed item: {error!r}") from error
