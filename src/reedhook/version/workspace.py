"""Workspaces: the callers that share keys, a priority and a rate."""

import hashlib
import math
from collections.abc import Iterable
from typing import Final

from ..record import Record

MAX_KEY_CHARACTERS: Final = 256
"""Characters of a caller's key at the most."""

SHOWN_DIGITS: Final = 8
"""Hex digits of a digest that logs show; enough to find a key, not to try keys."""


class Workspace(Record):
    """Describe a workspace.

    :param digests: of its callers' keys, as `key_digest` makes them.
    :param priority: 0 runs first.
    :param rate: operations per second that it may run, on the platform at all hosts
        together, elsewhere at each; None for no limit.
    :param burst: operations that it may run at once beyond the rate.
    :param services: names of those that its callers may use; None for all.
    """

    __slots__ = ("name", "digests", "priority", "rate", "burst", "services")

    def __init__(
        self,
        name: str,
        digests: frozenset[str],
        priority: int,
        rate: float | None,
        burst: float,
        services: frozenset[str] | None = None,
    ) -> None:
        self.services = services
        self.name = name
        self.digests = digests
        self.priority = priority
        self.rate = rate
        self.burst = burst

    def may_use(self, service: str) -> bool:
        """Say whether its callers may use a service."""
        return self.services is None or service in self.services


class Workspaces:
    """Find workspaces by name, and by the digest of a caller's key.

    A key that several workspaces claim belongs to none of them: whose work it
    starts could not be told.

    :ivar by_name: all of them.
    :ivar disputed: digests that several claim.
    """

    __slots__ = ("by_name", "by_digest", "disputed")

    def __init__(self, workspaces: Iterable[Workspace] = ()) -> None:
        self.by_name: dict[str, Workspace] = {}
        self.by_digest: dict[str, Workspace] = {}
        self.disputed: set[str] = set()
        for one in workspaces:
            self.add(one)
        for digest in self.disputed:
            del self.by_digest[digest]

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Workspaces):
            return NotImplemented
        return self.by_name == other.by_name

    def __hash__(self) -> int:
        return hash(frozenset(self.by_name))

    def __repr__(self) -> str:
        return f"Workspaces({list(self.by_name.values())!r})"

    def add(self, workspace: Workspace) -> None:
        """Add a workspace; what stands twice under a name is one, the last."""
        self.by_name[workspace.name] = workspace
        for digest in workspace.digests:
            other = self.by_digest.setdefault(digest, workspace)
            if other.name != workspace.name:
                self.disputed.add(digest)

    def find_by_digest(self, digest: str) -> Workspace | None:
        """Return the workspace that a key belongs to, or None."""
        return self.by_digest.get(digest)


def key_digest(key: str) -> str:
    """Return what is kept and compared in place of a caller's key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def short_digest(digest: str) -> str:
    """Return the part of a digest that logs show."""
    return digest[:SHOWN_DIGITS]


def sanitize_rate(rate: object) -> float | None:
    """Return a rate as it is enforced; None for no limit.

    What is no number above 0 admits nothing, rather than everything.
    """
    if rate is None:
        return None
    return sanitize_number(rate)


def sanitize_number(value: object) -> float:
    """Return a finite number of 0 or more; 0 for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    if not math.isfinite(value) or value < 0:
        return 0.0
    return float(value)
