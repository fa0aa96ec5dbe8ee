"""Which hosts there are, as routing asks for them."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from .peer import HostRef


class HostDirectory(ABC):
    """Tell the home and the standbys of each target.

    The home of a target is the first live host of the target's own
    availability zone by rendezvous hashing; the next in rank stands by. A
    zone without live hosts is served from the other zones.
    """

    @property
    @abstractmethod
    def me(self) -> HostRef:
        """Return this host."""

    @abstractmethod
    def ranked(self, member: str, zone: str) -> list[HostRef]:
        """Return the live hosts for the target `member` in `zone`, best first."""

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the view."""

    def home(self, member: str, zone: str) -> HostRef | None:
        """Return the home of the target, or None if no host is live."""
        hosts = self.ranked(member, zone)
        return hosts[0] if hosts else None
