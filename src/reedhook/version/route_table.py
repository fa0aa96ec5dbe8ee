"""Routes of callers and targets of services, as the operators announce them."""

from enum import Enum
from typing import Final

from ..record import Record
from .workspace import Workspaces

DEFAULT_TARGET_SLOTS: Final = 2
"""Slots of a target that states none."""


class RouteConsistency(str, Enum):
    """Name how fresh the reads of a route must be."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


class Route(Record):
    """Say how the sessions of one database are served.

    :param database: the name that callers ask for.
    :param service: the group of targets that holds it.
    :param statement_timeout_seconds: seconds for one statement.
    :param latency_objective_seconds: seconds in which callers expect an operation to
        end.
    :param priority: 0 runs first.
    :param max_age: seconds by which a read may lag, or None.
    :param public: whether callers need no key.
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
    """Say what the targets of a service bear.

    :param connections: that one target accepts from all hosts together.
    """

    __slots__ = ("service", "connections")

    def __init__(self, service: str, connections: int) -> None:
        self.service = service
        self.connections = connections


class RouteTable(Record):
    """Hold one version of what the operators decided.

    :param routes: by database.
    :param services: by service.
    :param transaction_idle: seconds after which a transaction at rest may end.
    :param start_timeout: seconds in which a connection must name its database.
    :param workspaces: whose keys open the routes that are not public.
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
    """Carry what a target announces of itself.

    :param address: ``IP:port``.
    :param leaving: whether it takes no new work.
    :param claims_primary: whether it believes to be the primary.
    :param started_at_ms: when its process started, in Unix milliseconds; 0 if unknown.
        A
        target that starts again under its id holds nothing of before.
    :param slots: statements that it runs at a time.
    :param sequence: counts what one process announces.
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
        """Say whether it may be the process that started at `born`."""
        return self.started_at_ms == started_at_ms or 0 in (
            self.started_at_ms,
            started_at_ms,
        )

    def is_older_than(self, other: "TargetAnnouncement") -> bool:
        """Say whether it was announced before `other`, as far as that is known."""
        if 0 in (self.started_at_ms, other.started_at_ms):
            return False
        return (self.started_at_ms, self.sequence) < (
            other.started_at_ms,
            other.sequence,
        )

    def differs_from(self, other: "TargetAnnouncement | None") -> bool:
        """Say whether it tells anything but that the target still announces itself."""
        return other is None or self.values()[:-1] != other.values()[:-1]


EMPTY_ROUTE_TABLE: Final = RouteTable(0, {}, {}, 3.0, 3.0)
"""Stands for the time before the first version is known; serves nobody."""
