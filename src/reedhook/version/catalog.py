"""The configuration in force at one site, as typed objects."""

from ..record import Record
from .workspace import Workspaces


class Member(Record):
    """Describe a member of a group: one target.

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

    :param service: the service it belongs to.
    :param slots: statements that one target runs at a time.
    :param connections: connections that one target accepts.
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
        """Return how many members make a majority."""
        return len(self.members) // 2 + 1


class Limits(Record):
    """Carry the limits that a site sets.

    :param deadline_ms: deadline of a statement that states none.
    :param queue: statements that may wait at one target.
    :param default_max_age_ms: age accepted by a bounded read that states none.
    :param drain_s: how long a graceful shutdown waits for work in progress.
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
    """Carry the merged configuration of one site.

    :param version: the accepted version; it only ever grows.
    :param site: the availability zone that it holds for.
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
        """Return the group and description of a member, or None."""
        for group in self.groups.values():
            for one in group.members:
                if one.member_id == member:
                    return group, one
        return None
