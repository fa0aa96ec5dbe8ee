"""Parsers of the configuration and the target announcements in the platform's store."""

from typing import Any, Final

from ..address import split_address
from ..process.discovery.store_value_parser import StoreValueParser
from ..version.route_table import (
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
from ..wire import (
    Json,
    WireError,
    decode,
    encode,
    non_negative_int_field,
    string_field,
    wraps_decode_errors,
)

CONFIGURATION_KEY: Final = "op/config"
TARGET_PREFIX: Final = "servers/"

ROUTE_KINDS: Final = {
    "primary": RouteConsistency.PRIMARY,
    "bounded_staleness": RouteConsistency.BOUNDED,
    "own_writes": RouteConsistency.OWN_WRITES,
}
LEAVING_BY_STATE: Final = {"ready": False, "draining": True}
IS_PRIMARY_BY_ROLE: Final = {"primary": True, "replica": False}
MS_PER_SECOND: Final = 1000.0
DEFAULT_CONNECTIONS: Final = 16
DEFAULT_TRANSACTION_IDLE_MS: Final = 3000
DEFAULT_START_MS: Final = 3000
DEFAULT_PRIORITY: Final = 1

WORKSPACES_FIELD: Final = "tenants"
MAX_NAME_CHARACTERS: Final = 255
"""Limit of names in target announcements. They become fields of protocol lines, of log
lines and of labels; a longer one is another program's data."""

API_KEYS_FIELD: Final = "api_keys"
KEY_DIGESTS_FIELD: Final = "key_digests"
"""Replaces the keys in every copy of a configuration that the system keeps."""


@wraps_decode_errors
def read_table(value: bytes) -> RouteTable:
    """Parse the operators' configuration.

    The `host` of a route is the name of a database, not of a machine.

    :raises WireError: if the configuration is malformed.
    """
    message = decode(value)
    limits = message.get("limits", {})
    keys_required = WORKSPACES_FIELD in message
    routes = [read_route(route, keys_required) for route in message["routes"]]
    services = [read_service_limits(service) for service in message["services"]]
    return RouteTable(
        int(message["version"]),
        {route.database: route for route in routes if route is not None},
        {limit.service: limit for limit in services},
        limits.get("transaction_idle_ms", DEFAULT_TRANSACTION_IDLE_MS) / MS_PER_SECOND,
        limits.get("header_timeout_ms", DEFAULT_START_MS) / MS_PER_SECOND,
        Workspaces(read_workspaces(message.get(WORKSPACES_FIELD, []))),
    )


def read_route(message: Any, keys_required: bool) -> Route | None:
    """Parse a route; return None if its kind is unknown.

    :param keys_required: whether callers need a key unless the route is public.
    """
    kind = ROUTE_KINDS.get(message.get("kind", ""))
    if kind is None:
        return None
    max_age = message.get("max_staleness_ms")
    return Route(
        database=message["host"],
        service=message["service"],
        kind=kind,
        statement_timeout_seconds=message["timeout_ms"] / MS_PER_SECOND,
        latency_objective_seconds=message["target_latency_ms"] / MS_PER_SECOND,
        priority=int(message.get("priority", 1)),
        max_age=None if max_age is None else max_age / MS_PER_SECOND,
        public=not keys_required or message.get("public") is True,
    )


def read_service_limits(message: Any) -> ServiceLimits:
    """Parse the limits of the targets of a service."""
    connections = message.get("connection_limit", DEFAULT_CONNECTIONS)
    sync_replicas = int(message.get("sync_replicas") or 0)
    return ServiceLimits(message["name"], int(connections), sync_replicas)


def read_workspaces(message: Any) -> list[Workspace]:
    """Parse the workspaces and skip malformed ones, whose keys are not accepted."""
    if not isinstance(message, list):
        return []
    workspaces = [read_workspace(item) for item in message]
    return [workspace for workspace in workspaces if workspace is not None]


def read_workspace(message: Any) -> Workspace | None:
    """Parse a workspace; return None if its name cannot be sent to targets.

    Errors do not quote the input, which may be a key.
    """
    if not isinstance(message, dict):
        return None
    name = message.get("name")
    if not isinstance(name, str) or not is_valid_name(name):
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
    """Return the digests of a workspace's keys, given as digests or as keys."""
    digests = message.get(KEY_DIGESTS_FIELD)
    if isinstance(digests, list):
        return frozenset(digest for digest in digests if isinstance(digest, str))
    keys = message.get(API_KEYS_FIELD)
    if not isinstance(keys, list):
        return frozenset()
    return frozenset(key_digest(key) for key in keys if is_valid_key(key))


def is_valid_key(key: object) -> bool:
    """Return whether callers can present `key`."""
    return isinstance(key, str) and 0 < len(key) <= MAX_KEY_CHARACTERS


@wraps_decode_errors
def replace_keys_by_digests(value: bytes) -> bytes:
    """Return a configuration with the keys replaced by their digests.

    :raises WireError: if it is not a JSON object.
    """
    message = decode(value)
    workspaces = message.get(WORKSPACES_FIELD)
    if isinstance(workspaces, list):
        for workspace in workspaces:
            if isinstance(workspace, dict):
                workspace[KEY_DIGESTS_FIELD] = sorted(read_digests(workspace))
                workspace.pop(API_KEYS_FIELD, None)
    return encode(message)


@wraps_decode_errors
def read_target(key: str, value: bytes) -> TargetAnnouncement:
    """Parse the announcement of a target; its id is only in the key.

    Every field is validated, as other programs may write to the store.

    :raises WireError: if the key or a field is invalid.
    """
    if not key.startswith(TARGET_PREFIX):
        raise WireError(f"{key} is not the key of a target")
    message = decode(value)
    split_address(string_field(message, "address"))
    return TargetAnnouncement(
        target=check_name(key[len(TARGET_PREFIX) :]),
        service=check_name(string_field(message, "service")),
        address=message["address"],
        zone=check_name(string_field(message, "zone")),
        leaving=LEAVING_BY_STATE[message["state"]],
        claims_primary=IS_PRIMARY_BY_ROLE[message["database_role"]],
        started_at_ms=read_start_time(message),
        slots=read_slots(message),
        sequence=non_negative_int_field(message, "sequence"),
    )


def read_start_time(message: Json) -> int:
    """Return the start time of a target's process; 0 if it is not given."""
    return non_negative_int_field(message, "born") if "born" in message else 0


def read_slots(message: Json) -> int:
    """Return the number of statements that a target runs concurrently.

    :raises WireError: if it is 0.
    """
    slots = non_negative_int_field(message, "slots")
    if not slots:
        raise WireError("slots must be at least 1")
    return slots


def check_name(field: str) -> str:
    """Return `field` if it is valid as a field of a protocol line.

    :raises WireError: if it is empty, too long, or holds a space or an unprintable
        character.
    """
    if len(field) > MAX_NAME_CHARACTERS:
        raise WireError(f"a name of {len(field)} characters is too long")
    if not is_valid_name(field):
        raise WireError("expected a name of printable ASCII characters without spaces")
    return field


def is_valid_name(field: str) -> bool:
    """Return whether a name is valid as a field of a protocol line."""
    return field.isascii() and field.isprintable() and " " not in field and bool(field)


class PlatformDocuments(StoreValueParser):
    """Parse the values that the platform's store holds."""

    def is_table(self, key: str) -> bool:
        return key == CONFIGURATION_KEY

    def is_target(self, key: str) -> bool:
        return key.startswith(TARGET_PREFIX)

    def target_of(self, key: str) -> str:
        return key[len(TARGET_PREFIX) :]

    def target_key(self, target: str) -> str:
        return TARGET_PREFIX + target

    def without_keys(self, value: bytes) -> bytes:
        return replace_keys_by_digests(value)

    def read_table(self, value: bytes) -> RouteTable:
        return read_table(value)

    def read_target(self, key: str, value: bytes) -> TargetAnnouncement:
        return read_target(key, value)
