"""Rendezvous hashing, and the shares of connections that go with ranks."""

from collections.abc import Iterable
from typing import Final

import xxhash

# Under a half, so that two hosts that do not know of each other yet and both
# take themselves for the first stay within a target's connections.
HOME_CONNECTION_FRACTION: Final = 0.47
STANDBY_CONNECTION_FRACTION: Final = 0.27
THIRD_RANK_CONNECTION_FRACTION: Final = 0.2
HOME_OPEN_CONNECTION_FRACTION: Final = 0.72
"""Part of a target's connections that a home may have open, those included that are
not in use. What is left is for a successor, until the target has found out that the
connections of one that died are closed."""


def score(key: str, host: str) -> int:
    """Return how well `host` suits `key`; the highest is the best."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())


def ranked_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return `hosts` for `key`, best first; all hosts compute the same."""
    return sorted(hosts, key=lambda host: (score(key, host), host), reverse=True)


def connection_quota(connections: int, rank: int) -> int:
    """Return how many of a target's connections the host of `rank` may open.

    The shares of all ranks sum up to `connections` at most, so that any set
    of hosts that believe to be the home stays within it together. Every rank
    gets one connection at least while any are left.
    """
    left = connections
    given = 0
    for one in range(rank + 1):
        if not left:
            return 0
        wanted = max(1, int(connections * connection_fraction(one)))
        given = min(wanted, left)
        left -= given
    return given


def home_connection_limit(connections: int) -> int:
    """Return how many of a target's connections its home may have open."""
    return max(
        connection_quota(connections, 0),
        int(connections * HOME_OPEN_CONNECTION_FRACTION),
    )


def connection_fraction(rank: int) -> float:
    """Return the part of the connections that goes to `rank`."""
    if rank == 0:
        return HOME_CONNECTION_FRACTION
    if rank == 1:
        return STANDBY_CONNECTION_FRACTION
    return THIRD_RANK_CONNECTION_FRACTION if rank == 2 else 0.0
