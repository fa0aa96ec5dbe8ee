"""Division of the connections that a home may open to its target."""

from typing import Final

MIN_SHARE_FOR_STATE_WATCH: Final = 4
"""Smallest share in which a connection is reserved to follow the state."""

MIN_SHARE_FOR_CONTROL: Final = 3
"""Smallest share in which a connection is reserved for control calls and probes."""


class ConnectionBudget:
    """Divide a share of a target's connections.

    :param share: connections that this host may open at once.
    :param slots: statements that the target runs concurrently.
    :ivar watch_reserved: whether one is reserved to follow the state.
    :ivar reserved: connections that statements may not borrow.
    :ivar transactions: transactions that may be open at once; at least one
        connection remains for single statements.
    """

    __slots__ = ("share", "watch_reserved", "reserved", "transactions")

    def __init__(self, share: int, slots: int) -> None:
        self.share = share
        self.watch_reserved = share >= MIN_SHARE_FOR_STATE_WATCH
        self.reserved = int(self.watch_reserved) + int(share >= MIN_SHARE_FOR_CONTROL)
        lendable = share - self.reserved
        max_transactions = max(lendable - 1, 0)
        self.transactions = min(max(lendable - slots, 1), max_transactions)
