"""Epoch of the store, which rises with each restore from an older copy."""

from collections.abc import Callable
from typing import Final

from ...decision_log import DecisionLog
from ...metrics import Metrics
from ...wire import Json, non_negative_int_field

EPOCH_FIELD: Final = "e"
"""Field of messages between hosts; left out while the epoch is 0."""

ANSWER_SOURCE: Final = "store"
"""Source of an epoch that an answer of the store stated."""


class StoreEpoch:
    """Keep the highest epoch known to this host, and notify listeners of a higher one.

    :ivar current: the highest epoch that the store or a peer has stated.
    :ivar on_change: callbacks that receive each new epoch.
    """

    def __init__(self, decisions: DecisionLog, metrics: Metrics) -> None:
        self.decisions = decisions
        self.metrics = metrics
        self.current = 0
        self.on_change: list[Callable[[int], None]] = []

    def learn(self, epoch: int, source: str) -> None:
        """Record an epoch; one that is not higher than the known one changes nothing.

        :param source: `ANSWER_SOURCE` or the ID of the host that stated it.
        """
        if epoch <= self.current:
            return
        self.current = epoch
        self.decisions.record("store_epoch", epoch=epoch, source=source)
        self.metrics.increment("store.epochs")
        for callback in self.on_change:
            callback(epoch)

    def add_to(self, answer: Json) -> None:
        """State the epoch in a response to another host, if it is above 0."""
        if self.current:
            answer[EPOCH_FIELD] = self.current

    def learn_from(self, answer: Json, source: str) -> bool:
        """Learn the epoch that the response of another host states.

        :returns: whether the host knows the current epoch.
        :raises WireError: if the epoch is malformed.
        """
        stated = 0
        if EPOCH_FIELD in answer:
            stated = non_negative_int_field(answer, EPOCH_FIELD)
        self.learn(stated, source)
        return stated == self.current
