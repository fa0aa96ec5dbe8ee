"""Typed representation of the active configuration of one site."""

from ..record import Record
from .workspace import Workspaces


class Member(Record):
    """Describe one target as a member of a database group.

    :param member_id: the member's id.
    :param zone: its availability zone.
    :param address: ``IP:port``.
    """

    __slots__ = ("member_id", "zone", "address")

    def __init__(self, member_id: str, zone: str, address: str) -> None:
        self.member_id = member_id
        self.zone = zone
        self.address = address


class Group(Record):
    """Describe a database group.

    :param service: the service that the group belongs to.
    :param slots: maximum number of concurrent statements per target.
    :param connections: maximum number of connections per target.
    """

    __slots__ = ("name", "service", "members", "slots", "connections")

    def __init__(
        self,
        name: str,
        service: str,
        members: tuple[Member, ...],
        slots: int,
        connections: int,
    ) -> None:
        self.name = name
        self.service = service
        self.members = members
        self.slots = slots
        self.connections = connections

    @property
    def majority(self) -> int:
        """Return the number of members in a majority."""
        return len(self.members) // 2 + 1


class Limits(Record):
    """Describe the limits configured for a site.

    :param deadline_ms: default deadline of a statement.
    :param queue: maximum number of queued statements per target.
    :param default_max_age_ms: default staleness bound of a bounded read.
    :param drain_s: time that a graceful shutdown waits for running statements.
    :param transaction_idle_ms: idle time after which a transaction is rolled back.
    """

    __slots__ = (
        "deadline_ms",
        "queue",
        "default_max_age_ms",
        "drain_s",
        "transaction_idle_ms",
    )

    def __init__(
        self,
        deadline_ms: int = 2000,
        queue: int = 64,
        default_max_age_ms: int = 5000,
        drain_s: int = 10,
        transaction_idle_ms: int = 10000,
    ) -> None:
        self.deadline_ms = deadline_ms
        self.queue = queue
        self.default_max_age_ms = default_max_age_ms
        self.drain_s = drain_s
        self.transaction_idle_ms = transaction_idle_ms


class Catalog(Record):
    """Hold the merged configuration of one site.

    :param version: the accepted version; versions only increase.
    :param site: the availability zone that the configuration applies to.
    """

    __slots__ = ("version", "site", "groups", "workspaces", "limits")

    def __init__(
        self,
        version: int,
        site: str,
        groups: dict[str, Group],
        workspaces: Workspaces,
        limits: Limits,
    ) -> None:
        self.version = version
        self.site = site
        self.groups = groups
        self.workspaces = workspaces
        self.limits = limits

    def member(self, member: str) -> tuple[Group, Member] | None:
        """Return a member and its group, or None if it is not configured."""
        for group in self.groups.values():
            for candidate in group.members:
                if candidate.member_id == member:
                    return group, candidate
        return None
