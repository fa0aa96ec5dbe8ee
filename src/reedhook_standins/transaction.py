"""An interactive transaction, bound to one TCP connection."""

from .engine import Engine
from .log import LoggedStatement, RequestKey, Rows


class SqlTransaction:
    """Execute steps on a copy of the rows, invisible to others before commit.

    :param term: the term in which it began.
    :param active: when its last statement ended, clock time in seconds.
    """

    __slots__ = ("engine", "term", "key", "changes", "active")

    def __init__(
        self, engine: Engine, term: int, key: RequestKey | None, active: float
    ) -> None:
        self.engine = engine
        self.term = term
        self.key = key
        self.changes: list[LoggedStatement] = []
        self.active = active

    def step(self, change: LoggedStatement) -> Rows:
        """Execute a statement; a failed one leaves the transaction open."""
        rows = self.engine.run(change, writable=True)
        if self.engine.wrote:
            self.changes.append(change)
        return rows
