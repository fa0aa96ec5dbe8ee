"""What operators see of hosts and groups, as typed messages."""

from collections.abc import Iterable
from enum import Enum
from typing import Any

from ...record import Record
from ...request.group_view import GroupView
from ...version.catalog import Group
from ...wire import Json, WireError


class HostPhase(str, Enum):
    """Name what a host does now."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class JsonRecord(Record):
    """Stand on the wire as an object with all its values."""

    __slots__: tuple[str, ...] = ()

    def to_json(self) -> Json:
        """Return the values by their names."""
        return {name: getattr(self, name) for name in self.__slots__}


class HostStatus(JsonRecord):
    """Carry what a host says of itself.

    :param version: the version of the configuration in force; 0 before the first.
    :param in_force_ms: wall-clock time since when, in milliseconds; None before.
    :param started_ms: wall-clock time of its start, in milliseconds.
    :param active: callers' requests in progress.
    :param homes: the targets that it is home of.
    :param rejected_stamps: stamps too far ahead of its clock.
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
        """Read a status from the wire.

        :raises WireError: if it has another form.
        """
        try:
            values = {name: message[name] for name in cls.__slots__}
            values["state"] = HostPhase(values["state"])
            values["homes"] = tuple(values["homes"])
        except (KeyError, TypeError, ValueError) as error:
            raise WireError(f"not a status: {error}") from error
        return cls(**values)


class KnownHost(JsonRecord):
    """Carry what this host knows of another.

    :param state: ``live``, ``suspected``, ``leaving``, ``dead`` or ``gone``.
    :param version: the version of the configuration that it last stated; None
        if it stated none here.
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
    """Return what is known of a group as it stands on the wire.

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
    """Give what is known of each member."""
    for member in group.members:
        known = view.members.get(member.member_id)
        line: Json = {
            "member": member.member_id,
            "zone": member.zone,
            "address": member.address,
            "home": homes.get(member.member_id),
            "role": role_of(member.member_id, view),
            "known": known is not None,
        }
        if known is not None:
            line["held"] = known.held.to_json()
            line["applied"] = known.applied.to_json()
            line["age_ms"] = round((now - known.observed_at) * 1000)
            line["wait_ms"] = round(known.expected_wait * 1000, 1)
            line["lag_ms"] = None if known.lag is None else round(known.lag * 1000)
            line["leaving"] = known.leaving
        yield line


def role_of(member: str, view: GroupView) -> str:
    """Return the part that a member plays, as far as it is known."""
    if view.primary is None:
        return "unknown"
    return "primary" if member == view.primary else "replica"
