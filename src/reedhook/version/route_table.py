"""Routes of databases to services, and the announcements of targets."""

from enum import Enum
from typing import Final

from ..record import Record
from .workspace import Workspaces

DEFAULT_TARGET_SLOTS: Final = 2
"""Slots of a target that announces none."""


class RouteConsistency(str, Enum):
    """Read consistency of a route."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


class Route(Record):
    """Describe how the sessions of one database are routed.

    :param database: the database name that callers connect to.
    :param service: the service whose targets hold the database.
    :param statement_timeout_seconds: maximum run time of one statement.
    :param latency_objective_seconds: latency that callers expect of an operation.
    :param priority: 0 is the highest priority.
    :param max_age: maximum staleness of a read in seconds, or None.
    :param public: whether callers may connect without a key.
    """

    __slots__ = (
        "database",
        "service",
        "kind",
        "statement_timeout_seconds",
        "latency_objective_seconds",
        "priority",
        "max_age",
        "public",
    )

    def __init__(
        self,
        database: str,
        service: str,
        kind: RouteConsistency,
        statement_timeout_seconds: float,
        latency_objective_seconds: float,
        priority: int,
        max_age: float | None,
        public: bool = True,
    ) -> None:
        self.database = database
        self.service = service
        self.kind = kind
        self.statement_timeout_seconds = statement_timeout_seconds
        self.latency_objective_seconds = latency_objective_seconds
        self.priority = priority
        self.max_age = max_age
        self.public = public


class ServiceLimits(Record):
    """Describe the limits of the targets of a service.

    :param connections: maximum number of connections to one target from all hosts.
    :param sync_replicas: replicas that have received a commit that is acknowledged.
    """

    __slots__ = ("service", "connections", "sync_replicas")

    def __init__(self, service: str, connections: int, sync_replicas: int = 0) -> None:
        self.service = service
        self.connections = connections
        self.sync_replicas = sync_replicas


class RouteTable(Record):
    """Hold one version of the routes and limits.

    :param routes: routes by database.
    :param services: limits by service.
    :param transaction_idle: seconds after which an idle transaction may be ended.
    :param start_timeout: seconds within which a new connection must name its database.
    :param workspaces: the workspaces whose keys open routes that are not public.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "transaction_idle",
        "start_timeout",
        "workspaces",
    )

    def __init__(
        self,
        version: int,
        routes: dict[str, Route],
        services: dict[str, ServiceLimits],
        transaction_idle: float,
        start_timeout: float,
        workspaces: Workspaces | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.transaction_idle = transaction_idle
        self.start_timeout = start_timeout
        self.workspaces = workspaces or Workspaces()


class TargetAnnouncement(Record):
    """Describe a target by its own announcement.

    :param address: ``IP:port``.
    :param leaving: whether it takes no new work.
    :param claims_primary: whether it considers itself the primary.
    :param started_at_ms: when its process started, in Unix milliseconds; 0 if unknown.
        A target that restarts under the same id has lost its earlier data.
    :param slots: maximum number of concurrent statements.
    :param sequence: number of the announcement within its process.
    """

    __slots__ = (
        "target",
        "service",
        "address",
        "zone",
        "leaving",
        "claims_primary",
        "started_at_ms",
        "slots",
        "sequence",
    )

    def __init__(
        self,
        target: str,
        service: str,
        address: str,
        zone: str,
        leaving: bool,
        claims_primary: bool,
        started_at_ms: int = 0,
        slots: int = DEFAULT_TARGET_SLOTS,
        sequence: int = 0,
    ) -> None:
        self.target = target
        self.service = service
        self.address = address
        self.zone = zone
        self.leaving = leaving
        self.claims_primary = claims_primary
        self.started_at_ms = started_at_ms
        self.slots = slots
        self.sequence = sequence

    def is_incarnation(self, started_at_ms: int) -> bool:
        """Return whether this may be the process started at `started_at_ms`."""
        return self.started_at_ms == started_at_ms or 0 in (
            self.started_at_ms,
            started_at_ms,
        )

    def is_older_than(self, other: "TargetAnnouncement") -> bool:
        """Return whether this is known to be older than `other`."""
        if 0 in (self.started_at_ms, other.started_at_ms):
            return False
        return (self.started_at_ms, self.sequence) < (
            other.started_at_ms,
            other.sequence,
        )

    def differs_from(self, other: "TargetAnnouncement | None") -> bool:
        """Return whether anything but the sequence number differs from `other`."""
        return other is None or self.values()[:-1] != other.values()[:-1]


EMPTY_ROUTE_TABLE: Final = RouteTable(0, {}, {}, 3.0, 3.0)
"""Route table before the first version is known; contains no routes."""
