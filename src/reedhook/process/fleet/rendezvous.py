"""Rendezvous hashing and connection quotas by rank."""

from collections.abc import Iterable
from typing import Final

import xxhash

# Below one half, so that two hosts that both believe to be the home stay within the
# target's connection limit together.
HOME_CONNECTION_FRACTION: Final = 0.47
STANDBY_CONNECTION_FRACTION: Final = 0.27
THIRD_RANK_CONNECTION_FRACTION: Final = 0.2
HOME_OPEN_CONNECTION_FRACTION: Final = 0.72
"""Fraction that a home may hold open, idle connections included. The rest is for a
successor until the target has closed the connections of a dead home."""


def score(key: str, host: str) -> int:
    """Return the rendezvous score of `host` for `key`; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())


def ranked_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return `hosts` ordered by their score for `key`, best first."""
    return sorted(hosts, key=lambda host: (score(key, host), host), reverse=True)


def connection_quota(connections: int, rank: int) -> int:
    """Return how many of a target's connections the host of `rank` may open.

    The quotas of all ranks add up to at most `connections`, so hosts of different
    ranks that all act as the home stay within the limit. Each rank gets at least one
    connection while any are left.
    """
    left = connections
    given = 0
    for each_rank in range(rank + 1):
        if not left:
            return 0
        wanted = max(1, int(connections * connection_fraction(each_rank)))
        given = min(wanted, left)
        left -= given
    return given


def home_connection_limit(connections: int) -> int:
    """Return how many connections to a target its home may hold open."""
    return max(
        connection_quota(connections, 0),
        int(connections * HOME_OPEN_CONNECTION_FRACTION),
    )


def connection_fraction(rank: int) -> float:
    """Return the fraction of the connections assigned to `rank`."""
    if rank == 0:
        return HOME_CONNECTION_FRACTION
    if rank == 1:
        return STANDBY_CONNECTION_FRACTION
    return THIRD_RANK_CONNECTION_FRACTION if rank == 2 else 0.0
