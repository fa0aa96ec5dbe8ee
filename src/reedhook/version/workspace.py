"""Workspaces: groups of callers that share keys, a priority and a rate limit."""

import hashlib
import math
from collections.abc import Iterable
from typing import Final

from ..record import Record

MAX_KEY_CHARACTERS: Final = 256
"""Maximum length of a caller's key."""

SHOWN_DIGITS: Final = 8
"""Hex digits of a key digest in logs: enough to identify a key, not to guess it."""


class Workspace(Record):
    """Describe a workspace.

    :param digests: digests of its callers' keys, see `key_digest`.
    :param priority: 0 is the highest priority.
    :param rate: allowed operations per second, on the platform for all hosts together,
        elsewhere per host; None for no limit.
    :param burst: operations allowed at once in excess of the rate.
    :param services: services that its callers may use; None for all.
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
        """Return whether its callers may use a service."""
        return self.services is None or service in self.services


class Workspaces:
    """Index workspaces by name and by key digest.

    A key that several workspaces claim is accepted for none of them, since its
    operations could not be attributed.

    :ivar by_name: all workspaces by name.
    :ivar disputed: digests that several workspaces claim.
    """

    __slots__ = ("by_name", "by_digest", "disputed")

    def __init__(self, workspaces: Iterable[Workspace] = ()) -> None:
        self.by_name: dict[str, Workspace] = {}
        self.by_digest: dict[str, Workspace] = {}
        self.disputed: set[str] = set()
        for workspace in workspaces:
            self.add(workspace)
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
        """Add a workspace; a later one of the same name replaces it in `by_name`."""
        self.by_name[workspace.name] = workspace
        for digest in workspace.digests:
            other = self.by_digest.setdefault(digest, workspace)
            if other.name != workspace.name:
                self.disputed.add(digest)

    def find_by_digest(self, digest: str) -> Workspace | None:
        """Return the workspace that a key digest belongs to, or None."""
        return self.by_digest.get(digest)


def key_digest(key: str) -> str:
    """Return the SHA-256 hex digest of a caller's key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def short_digest(digest: str) -> str:
    """Return the prefix of a digest that is shown in logs."""
    return digest[:SHOWN_DIGITS]


def sanitize_rate(rate: object) -> float | None:
    """Return the rate to enforce; None for no limit.

    An invalid rate becomes 0, so that it admits nothing rather than everything.
    """
    if rate is None:
        return None
    return sanitize_number(rate)


def sanitize_number(value: object) -> float:
    """Return `value` if it is a finite non-negative number, else 0."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    if not math.isfinite(value) or value < 0:
        return 0.0
    return float(value)
