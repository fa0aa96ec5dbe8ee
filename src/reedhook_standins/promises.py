"""Check the answers given to callers against what the targets of a group did."""

from collections.abc import Callable

import orjson

from reedhook.record import Record
from reedhook.request.position import Position
from reedhook.version.route_table import RouteConsistency

from .database import DatabaseGroup, DatabaseSession


class Acknowledged(Record):
    """Represent an acknowledged commit.

    :param at: when the caller got the answer, by the clock of the check.
    :ivar key: term and index of the position, as in the answer to a read.
    """

    __slots__ = ("position", "at", "session", "key")

    def __init__(self, position: Position, at: float, session: str) -> None:
        self.position = position
        self.key = (position.term, position.index)
        self.at = at
        self.session = session


class Viewer(Record):
    """Describe a reader and the settings and statements of its session.

    :param max_age: seconds; None if the route states none.
    """

    __slots__ = ("name", "session", "kind", "max_age", "settings", "prepared")

    def __init__(
        self,
        name: str,
        session: str,
        kind: RouteConsistency,
        max_age: float | None,
        settings: dict[str, str],
        prepared: dict[str, bool],
    ) -> None:
        self.name = name
        self.session = session
        self.kind = kind
        self.max_age = max_age
        self.settings = settings
        self.prepared = prepared

    def must_see(self, one: Acknowledged, asked: float) -> float:
        """Return the time up to which commits must be visible to a read.

        :param asked: when the read, or its transaction, was sent.
        """
        if self.kind is RouteConsistency.PRIMARY:
            return asked
        if self.kind is RouteConsistency.OWN_WRITES and one.session == self.session:
            return asked
        return asked - (self.max_age or 0.0)


class Sent(Record):
    """Represent a statement that a caller sent.

    :param transaction: names its transaction; empty for none.
    """

    __slots__ = ("text", "transaction", "settings", "prepared")

    def __init__(
        self,
        text: str,
        transaction: str,
        settings: dict[str, str],
        prepared: dict[str, bool],
    ) -> None:
        self.text = text
        self.transaction = transaction
        self.settings = settings
        self.prepared = prepared


class GuaranteeChecker:
    """Check reads, acknowledgements, "not run" answers and executed statements.

    :param now: returns the time by the clock of the check, in seconds.
    :ivar violations: descriptions of the violated guarantees.
    """

    def __init__(self, group: DatabaseGroup, now: Callable[[], float]) -> None:
        self.group = group
        self.now = now
        self.acknowledged: list[Acknowledged] = []
        self.violations: list[str] = []
        self.sent: dict[str, Sent] = {}
        self.pinned: dict[str, DatabaseSession] = {}
        self.committed: set[str] = set()
        self.without_trace: set[str] = set()

    def watch(self) -> None:
        """Observe each statement that a target runs, and each commit."""
        self.group.on_run = self.ran
        self.group.on_commit = self.has_committed

    def broken(self, text: str) -> None:
        """Record a violation."""
        self.violations.append(f"{self.now():.3f} {text}")

    # Answers to callers

    def acknowledge(self, name: str, position: Position, session: str) -> None:
        """Record an acknowledged commit."""
        if position in self.group.superseded:
            self.broken(
                f"{name}: acknowledged {position} committed at a superseded primary"
            )
        self.acknowledged.append(Acknowledged(position, self.now(), session))

    def read(self, viewer: Viewer, row: str, asked: float) -> None:
        """Check that a read saw every commit it must see."""
        visible = orjson.loads(row)
        # Each read is compared with all commits, so that pairs of numbers are used.
        log = set(map(tuple, visible["log"]))
        if (
            visible["values"] != viewer.settings
            or visible["prepared"] != viewer.prepared
        ):
            self.broken(
                f"{viewer.name} ran with {visible['values']} {visible['prepared']}"
            )
        for commit in self.acknowledged:
            if commit.key in log or self.was_rolled_back(commit.position):
                continue
            if commit.at <= viewer.must_see(commit, asked):
                self.broken(
                    f"{viewer.name} ({viewer.kind.value}) read at {asked:.3f} a log "
                    f"without {commit.position}, acknowledged at {commit.at:.3f}"
                )

    def check_synchronous(self) -> None:
        """Report acknowledged commits that a promotion rolled back in spite of receipt.

        What a superseded primary commits is reported with its acknowledgement.
        """
        if not self.group.sync_replicas:
            return
        for commit in self.acknowledged:
            if self.was_rolled_back(commit.position):
                self.broken(
                    f"{commit.position}, acknowledged at {commit.at:.3f}, was rolled "
                    "back by a promotion"
                )

    def was_rolled_back(self, position: Position) -> bool:
        """Return whether a promotion rolled a commit back.

        It cannot roll back what a superseded primary commits later.
        """
        return position in self.group.lost and position not in self.group.superseded

    def promise(self, name: str, ids: list[str]) -> None:
        """Record the answer that none of these statements had an effect."""
        self.without_trace.update(ids)
        for id in ids:
            if id in self.committed:
                self.broken(f"{name}: {id} was committed but answered as not run")

    # Events at targets

    def ran(self, id: str, text: str, session: DatabaseSession) -> None:
        """Check a running statement against the one that was sent."""
        sent = self.sent.get(id)
        if sent is None or sent.text != text:
            self.broken(f"{id} runs as {text!r}, which no caller sent")
            return
        if bool(session.open) != bool(sent.transaction):
            self.broken(f"{id} of transaction {sent.transaction!r} runs outside it")
        if sent.transaction:
            if self.pinned.setdefault(sent.transaction, session) is not session:
                self.broken(f"{id} runs on another connection than its transaction")
        if session.values != sent.settings or session.prepared != sent.prepared:
            self.broken(f"{id} runs with {session.values} {session.prepared}")

    def has_committed(self, ids: list[str]) -> None:
        """Record that statements took effect."""
        for id in ids:
            if id in self.committed:
                self.broken(f"{id} took effect twice")
            if id in self.without_trace:
                self.broken(f"{id} took effect but was answered as not run")
            self.committed.add(id)
