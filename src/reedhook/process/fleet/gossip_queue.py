"""Changes that are still to be passed on with heartbeats."""

import math
from typing import Final

MAX_RECORDS_PER_MESSAGE: Final = 10
# Half of them go out at once, the others with the next heartbeats.
RETRANSMIT: Final = 8
# Hosts that join are also found by what they announce, and by pulls.
RETRANSMIT_JOIN: Final = 2


class GossipQueue:
    """Keep changes that are still to be passed on, each a bounded number of times."""

    __slots__ = ("remaining_sends",)

    def __init__(self) -> None:
        self.remaining_sends: dict[str, int] = {}

    def add(self, host: str, hosts: int, joins: bool = False) -> None:
        """Pass on the record of `host`; `hosts` is how many there are.

        :param joins: whether it was not known before.
        """
        times = RETRANSMIT_JOIN if joins else RETRANSMIT
        self.remaining_sends[host] = times * max(1, math.ceil(math.log10(hosts + 1)))

    def next_batch(self) -> list[str]:
        """Return the hosts to tell of in one message, the newest first."""
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
