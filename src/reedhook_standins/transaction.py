"""An interactive transaction, pinned to one TCP connection."""

from .engine import Engine
from .log import Change, RequestKey, Rows


class Transaction:
    """Run steps on a copy of the rows, which no one else sees before commit.

    :param term: the leader term in which it began.
    :param active: when its last statement ended, clock time in seconds.
    """

    __slots__ = ("engine", "term", "key", "changes", "active")

    def __init__(
        self, engine: Engine, term: int, key: RequestKey | None, active: float
    ) -> None:
        self.engine = engine
        self.term = term
        self.key = key
        self.changes: list[Change] = []
        self.active = active

    def step(self, change: Change) -> Rows:
        """Run a statement; one that fails leaves the transaction open."""
        rows = self.engine.run(change, writable=True)
        if self.engine.wrote:
            self.changes.append(change)
        return rows
