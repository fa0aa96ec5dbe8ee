"""What callers were told, compared with what the targets of a group did."""

import json
from collections.abc import Callable

from reedhook.record import Record
from reedhook.request.position import Position
from reedhook.version.route_table import RouteConsistency

from .database import DatabaseGroup, DatabaseSession


class Acknowledged(Record):
    """Remember a commit that a caller was told of.

    :param at: when the caller was told, by the clock of the check.
    """

    __slots__ = ("position", "at", "session")

    def __init__(self, position: Position, at: float, session: str) -> None:
        self.position = position
        self.at = at
        self.session = session


class Viewer(Record):
    """Say who reads, and what its session has set and prepared.

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
        """Return until when commits must be in the log of a read.

        :param asked: when the read, or its transaction, was sent.
        """
        if self.kind is RouteConsistency.PRIMARY:
            return asked
        if self.kind is RouteConsistency.OWN_WRITES and one.session == self.session:
            return asked
        return asked - (self.max_age or 0.0)


class Sent(Record):
    """Remember a statement that a caller sent.

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


class Promises:
    """Judge what was read, acknowledged, promised and run.

    :param now: returns the time by the clock of the check, in seconds.
    :ivar violations: what was promised and not kept, in words.
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
        """Look at each statement that a target runs, and at each commit."""
        self.group.on_run = self.ran
        self.group.on_commit = self.has_committed

    def broken(self, text: str) -> None:
        """Take note of a broken promise."""
        self.violations.append(f"{self.now():.3f} {text}")

    # What callers are told

    def acknowledge(self, name: str, position: Position, session: str) -> None:
        """Remember a commit that a caller was just told of."""
        if position in self.group.superseded:
            self.broken(f"{name} was told of {position}, committed too late")
        self.acknowledged.append(Acknowledged(position, self.now(), session))

    def read(self, viewer: Viewer, row: str, asked: float) -> None:
        """Compare what a read saw with what it must not miss."""
        seen = json.loads(row)
        log = {Position.from_json(one) for one in seen["log"]}
        if seen["values"] != viewer.settings or seen["prepared"] != viewer.prepared:
            self.broken(f"{viewer.name} ran with {seen['values']} {seen['prepared']}")
        for one in self.acknowledged:
            if one.position in log or one.position in self.group.lost:
                continue
            if one.at <= viewer.must_see(one, asked):
                self.broken(
                    f"{viewer.name} ({viewer.kind.value}) read at {asked:.3f} a log "
                    f"without {one.position}, acknowledged at {one.at:.3f}"
                )

    def promise(self, name: str, ids: list[str]) -> None:
        """Take note that a caller was told that nothing of these is kept."""
        self.without_trace.update(ids)
        for id in ids:
            if id in self.committed:
                self.broken(f"{name}: {id} was committed and said not to be kept")

    # What targets do

    def ran(self, id: str, text: str, session: DatabaseSession) -> None:
        """Compare a statement that runs with the one that was sent."""
        sent = self.sent.get(id)
        if sent is None or sent.text != text:
            self.broken(f"{id} runs as {text!r}, which nobody sent")
            return
        if bool(session.open) != bool(sent.transaction):
            self.broken(f"{id} of transaction {sent.transaction!r} runs elsewhere")
        if sent.transaction:
            if self.pinned.setdefault(sent.transaction, session) is not session:
                self.broken(f"{id} runs on another connection than its transaction")
        if session.values != sent.settings or session.prepared != sent.prepared:
            self.broken(f"{id} runs with {session.values} {session.prepared}")

    def has_committed(self, ids: list[str]) -> None:
        """Take note that statements took effect."""
        for id in ids:
            if id in self.committed:
                self.broken(f"{id} took effect twice")
            if id in self.without_trace:
                self.broken(f"{id} took effect and was said not to be kept")
            self.committed.add(id)
