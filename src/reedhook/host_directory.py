"""Interface through which routing finds the hosts of a target."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from .peer import HostRef


class HostDirectory(ABC):
    """Map each target to its home and its standby hosts.

    The home of a target is the first live host of the target's own
    availability zone by rendezvous hashing; the next in rank is its standby.
    Targets of a zone without live hosts have their homes in other zones.
    """

    @property
    @abstractmethod
    def me(self) -> HostRef:
        """Return this host."""

    @abstractmethod
    def ranked(self, member: str, zone: str) -> list[HostRef]:
        """Return the live hosts for the target `member` in `zone`, by rank."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the live hosts."""

    def home(self, member: str, zone: str) -> HostRef | None:
        """Return the home of the target, or None if no host is live."""
        hosts = self.ranked(member, zone)
        return hosts[0] if hosts else None
