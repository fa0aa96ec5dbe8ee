"""Status messages of hosts and groups."""

from collections.abc import Iterable
from enum import Enum
from typing import Any

from ...record import Record
from ...request.group_view import GroupView
from ...version.catalog import Group
from ...wire import Json, WireError


class HostPhase(str, Enum):
    """Enumerate the phases of a host's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class JsonRecord(Record):
    """Record that is encoded as a JSON object of its slots."""

    __slots__: tuple[str, ...] = ()

    def to_json(self) -> Json:
        """Return the values by name."""
        return {name: getattr(self, name) for name in self.__slots__}


class HostStatus(JsonRecord):
    """Hold the status that a host reports.

    :param version: version of the configuration in force; 0 before the first.
    :param in_force_ms: wall-clock time at which it came into force, in
        milliseconds; None before the first.
    :param started_ms: wall-clock time at which the host started, in milliseconds.
    :param active: callers' requests in progress.
    :param homes: targets whose home is this host.
    :param rejected_stamps: timestamps rejected as too far ahead of its clock.
    """

    __slots__ = (
        "host",
        "zone",
        "address",
        "state",
        "version",
        "in_force_ms",
        "started_ms",
        "active",
        "homes",
        "rejected_stamps",
    )

    def __init__(
        self,
        host: str,
        zone: str,
        address: str,
        state: HostPhase,
        version: int,
        in_force_ms: int | None,
        started_ms: int,
        active: int,
        homes: tuple[str, ...],
        rejected_stamps: int,
    ) -> None:
        self.host = host
        self.zone = zone
        self.address = address
        self.state = state
        self.version = version
        self.in_force_ms = in_force_ms
        self.started_ms = started_ms
        self.active = active
        self.homes = homes
        self.rejected_stamps = rejected_stamps

    @classmethod
    def from_json(cls, message: Any) -> "HostStatus":
        """Parse a status from JSON.

        :raises WireError: if it is malformed.
        """
        try:
            values = {name: message[name] for name in cls.__slots__}
            values["state"] = HostPhase(values["state"])
            values["homes"] = tuple(values["homes"])
        except (KeyError, TypeError, ValueError) as error:
            raise WireError(f"malformed status: {error}") from error
        return cls(**values)


class KnownHost(JsonRecord):
    """Hold what this host knows of a host.

    :param state: ``live``, ``suspected``, ``leaving``, ``dead`` or ``gone``.
    :param version: version of the configuration that it last reported; None if
        it has reported none.
    """

    __slots__ = ("host", "zone", "address", "state", "version")

    def __init__(
        self, host: str, zone: str, address: str, state: str, version: int | None
    ) -> None:
        self.host = host
        self.zone = zone
        self.address = address
        self.state = state
        self.version = version


def group_json(
    group: Group, view: GroupView, homes: dict[str, str | None], now: float
) -> Json:
    """Return the JSON of a group's status.

    :param homes: the home of each member.
    :param now: local monotonic time in seconds.
    """
    return {
        "group": group.name,
        "service": group.service,
        "term": view.term,
        "primary": view.primary,
        "members": list(member_lines(group, view, homes, now)),
    }


def member_lines(
    group: Group, view: GroupView, homes: dict[str, str | None], now: float
) -> Iterable[Json]:
    """Yield the JSON of each member's status."""
    for member in group.members:
        member_view = view.members.get(member.member_id)
        line: Json = {
            "member": member.member_id,
            "zone": member.zone,
            "address": member.address,
            "home": homes.get(member.member_id),
            "role": role_of(member.member_id, view),
            "known": member_view is not None,
        }
        if member_view is not None:
            line["held"] = member_view.held.to_json()
            line["applied"] = member_view.applied.to_json()
            line["age_ms"] = round((now - member_view.observed_at) * 1000)
            line["wait_ms"] = round(member_view.expected_wait * 1000, 1)
            line["lag_ms"] = (
                None if member_view.lag is None else round(member_view.lag * 1000)
            )
            line["leaving"] = member_view.leaving
        yield line


def role_of(member: str, view: GroupView) -> str:
    """Return the role of a member, ``unknown`` if the primary is unknown."""
    if view.primary is None:
        return "unknown"
    return "primary" if member == view.primary else "replica"
