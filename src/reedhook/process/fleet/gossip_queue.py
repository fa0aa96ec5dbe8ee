"""Queue of membership changes to piggyback on heartbeats."""

import math
from typing import Final

MAX_RECORDS_PER_MESSAGE: Final = 10
RETRANSMIT: Final = 8
# Fewer, since joins also spread by announcements and pulls.
RETRANSMIT_JOIN: Final = 2


class GossipQueue:
    """Queue changed hosts, each for a bounded number of transmissions."""

    __slots__ = ("remaining_sends",)

    def __init__(self) -> None:
        self.remaining_sends: dict[str, int] = {}

    def add(self, host: str, hosts: int, joins: bool = False) -> None:
        """Queue the record of `host`.

        :param hosts: the number of known hosts.
        :param joins: whether the host was not known before.
        """
        times = RETRANSMIT_JOIN if joins else RETRANSMIT
        self.remaining_sends[host] = times * max(1, math.ceil(math.log10(hosts + 1)))

    def next_batch(self) -> list[str]:
        """Return the hosts whose records go into the next message, newest first."""
        if not self.remaining_sends:
            return []
        newest = sorted(
            self.remaining_sends, key=self.remaining_sends.__getitem__, reverse=True
        )
        chosen = newest[:MAX_RECORDS_PER_MESSAGE]
        for host in chosen:
            self.remaining_sends[host] -= 1
            if self.remaining_sends[host] <= 0:
                del self.remaining_sends[host]
        return chosen
