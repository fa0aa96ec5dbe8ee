"""Values that the operators and the targets keep in the platform's store."""

from typing import Any, Final

from ..address import split_address
from ..process.announced.documents import StoreValueParser
from ..version.registry import (
    Route,
    RouteConsistency,
    RouteTable,
    ServiceLimits,
    TargetAnnouncement,
)
from ..version.workspace import (
    MAX_KEY_CHARACTERS,
    Workspace,
    Workspaces,
    key_digest,
    sanitize_number,
    sanitize_rate,
)
from ..wire import Json, WireError, decode, encode, reader, text, whole

CONFIGURATION_KEY: Final = "op/config"
TARGET_PREFIX: Final = "servers/"

KINDS: Final = {
    "primary": RouteConsistency.PRIMARY,
    "bounded_staleness": RouteConsistency.BOUNDED,
    "own_writes": RouteConsistency.OWN_WRITES,
}
LEAVING: Final = {"ready": False, "draining": True}
CLAIMS_LEAD: Final = {"primary": True, "replica": False}
MILLISECONDS: Final = 1000.0
DEFAULT_CONNECTIONS: Final = 16
DEFAULT_IDLE_MS: Final = 3000
DEFAULT_START_MS: Final = 3000
DEFAULT_PRIORITY: Final = 1

WORKSPACES: Final = "tenants"
KEYS: Final = "api_keys"
DIGESTS: Final = "key_digests"
"""Stands in place of the keys wherever the system keeps a configuration."""


@reader
def read_table(value: bytes) -> RouteTable:
    """Read the operators' configuration.

    A route's `host` is the name of a database, not of a machine.

    :raises WireError: if it has another form.
    """
    message = decode(value)
    limits = message.get("limits", {})
    keyed = WORKSPACES in message
    routes = [read_route(one, keyed) for one in message["routes"]]
    services = [read_terms(one) for one in message["services"]]
    return RouteTable(
        int(message["version"]),
        {route.database: route for route in routes if route is not None},
        {terms.service: terms for terms in services},
        limits.get("transaction_idle_ms", DEFAULT_IDLE_MS) / MILLISECONDS,
        limits.get("header_timeout_ms", DEFAULT_START_MS) / MILLISECONDS,
        Workspaces(read_workspaces(message.get(WORKSPACES, []))),
    )


def read_route(message: Any, keyed: bool) -> Route | None:
    """Read a route; one of a kind that is not known here serves nobody.

    :param keyed: whether callers need a key unless the route is public.
    """
    kind = KINDS.get(message.get("kind", ""))
    if kind is None:
        return None
    max_age = message.get("max_staleness_ms")
    return Route(
        database=message["host"],
        service=message["service"],
        kind=kind,
        statement_timeout_seconds=message["timeout_ms"] / MILLISECONDS,
        latency_objective_seconds=message["target_latency_ms"] / MILLISECONDS,
        priority=int(message.get("priority", 1)),
        max_age=None if max_age is None else max_age / MILLISECONDS,
        public=not keyed or message.get("public") is True,
    )


def read_terms(message: Any) -> ServiceLimits:
    """Read what the targets of a service bear."""
    connections = message.get("connection_limit", DEFAULT_CONNECTIONS)
    return ServiceLimits(message["name"], int(connections))


def read_workspaces(message: Any) -> list[Workspace]:
    """Read all workspaces that can be read; the others have no callers."""
    if not isinstance(message, list):
        return []
    found = [read_workspace(one) for one in message]
    return [one for one in found if one is not None]


def read_workspace(message: Any) -> Workspace | None:
    """Read a workspace; None for one without a name that targets could be told.

    Nothing of what is wrong is repeated in an error: it may be a key.
    """
    if not isinstance(message, dict):
        return None
    name = message.get("name")
    if not isinstance(name, str) or not is_one_word(name):
        return None
    rate = sanitize_rate(message.get("rate_per_s"))
    burst = message.get("burst")
    priority = message.get("priority")
    return Workspace(
        name,
        read_digests(message),
        priority if type(priority) is int else DEFAULT_PRIORITY,
        rate,
        (rate or 0.0) if burst is None else sanitize_number(burst),
    )


def read_digests(message: Json) -> frozenset[str]:
    """Return the digests of the keys of a workspace, however they are stated."""
    digests = message.get(DIGESTS)
    if isinstance(digests, list):
        return frozenset(one for one in digests if isinstance(one, str))
    keys = message.get(KEYS)
    if not isinstance(keys, list):
        return frozenset()
    return frozenset(key_digest(one) for one in keys if is_key(one))


def is_key(key: object) -> bool:
    """Say whether callers can present it as a key."""
    return isinstance(key, str) and 0 < len(key) <= MAX_KEY_CHARACTERS


@reader
def without_keys(value: bytes) -> bytes:
    """Return a configuration with the digests of keys in their place.

    :raises WireError: if it is not a JSON object.
    """
    message = decode(value)
    found = message.get(WORKSPACES)
    if isinstance(found, list):
        for one in found:
            if isinstance(one, dict):
                one[DIGESTS] = sorted(read_digests(one))
                one.pop(KEYS, None)
    return encode(message)


@reader
def read_target(key: str, value: bytes) -> TargetAnnouncement:
    """Read what a target announces; its id is in the key only.

    Others may write there, so each field is looked at. `born` is unknown where
    the platform does not state it.

    :raises WireError: if it has another form.
    """
    if not key.startswith(TARGET_PREFIX):
        raise WireError(f"{key} names no target")
    message = decode(value)
    split_address(text(message, "address"))
    return TargetAnnouncement(
        target=one_word(key[len(TARGET_PREFIX) :]),
        service=one_word(text(message, "service")),
        address=message["address"],
        zone=one_word(text(message, "zone")),
        leaving=LEAVING[message["state"]],
        claims_primary=CLAIMS_LEAD[message["database_role"]],
        started_at_ms=read_born(message),
        slots=read_slots(message),
        sequence=whole(message, "sequence"),
    )


def read_born(message: Json) -> int:
    """Return when the process of a target started; 0 if that is not stated."""
    return whole(message, "born") if "born" in message else 0


def read_slots(message: Json) -> int:
    """Return how many statements a target runs at a time.

    :raises WireError: if it runs none.
    """
    slots = whole(message, "slots")
    if not slots:
        raise WireError("a target has at least one slot")
    return slots


def one_word(field: str) -> str:
    """Return a name that can stand on a line of the wire.

    :raises WireError: if it is empty, or would end there as another field.
    """
    if not is_one_word(field):
        raise WireError("a name of printable characters without blanks is expected")
    return field


def is_one_word(field: str) -> bool:
    """Say whether a name can stand on a line of the wire."""
    return field.isascii() and field.isprintable() and " " not in field and bool(field)


class PlatformDocuments(StoreValueParser):
    """Read the values under the platform's keys."""

    def is_table(self, key: str) -> bool:
        return key == CONFIGURATION_KEY

    def is_target(self, key: str) -> bool:
        return key.startswith(TARGET_PREFIX)

    def target_of(self, key: str) -> str:
        return key[len(TARGET_PREFIX) :]

    def without_keys(self, value: bytes) -> bytes:
        return without_keys(value)

    def read_table(self, value: bytes) -> RouteTable:
        return read_table(value)

    def read_target(self, key: str, value: bytes) -> TargetAnnouncement:
        return read_target(key, value)
