"""Stand-in of the platform's list of entry hosts and targets, with a delay."""

from reedhook.clock import Clock, SystemClock
from reedhook.process.fleet.hostlist import HostListEntry, ListedKind, ListedState
from reedhook.record import Record
from reedhook.wire import Json

from .service import AnswerLost, Service, ServiceConnection, ServiceRefusal


class ListChange(Record):
    """Represent a change of the list; `listed` is None for a removal.

    :param at: clock time in seconds.
    """

    __slots__ = ("at", "host", "listed")

    def __init__(self, at: float, host: str, listed: HostListEntry | None) -> None:
        self.at = at
        self.host = host
        self.listed = listed


class HostListStandin(Service):
    """Serve a list that shows each change `lag` seconds late.

    :ivar down: whether connections close without an answer.
    """

    def __init__(self, clock: Clock | None = None, lag: float = 0.0) -> None:
        super().__init__()
        self.clock = clock or SystemClock()
        self.lag = lag
        self.down = False
        self.calls = 0
        self.changes: list[ListChange] = []

    def put(
        self,
        host: str,
        zone: str,
        address: str,
        state: ListedState = ListedState.LIVE,
        kind: ListedKind = ListedKind.HOST,
    ) -> None:
        """Add a host or replace its entry."""
        listed = HostListEntry(host, zone, address, state, kind)
        self.changes.append(ListChange(self.clock.monotonic(), host, listed))

    def leave(self, host: str) -> None:
        """Mark a listed host as leaving."""
        host_changes = [change for change in self.changes if change.host == host]
        listed = host_changes[-1].listed
        assert listed is not None, host
        self.put(host, listed.zone, listed.address, ListedState.LEAVING, listed.kind)

    def remove(self, host: str) -> None:
        """Remove a host from the list."""
        self.changes.append(ListChange(self.clock.monotonic(), host, None))

    def visible(self) -> list[HostListEntry]:
        """Return the list as of `lag` seconds ago."""
        newest = self.clock.monotonic() - self.lag
        lines: dict[str, HostListEntry] = {}
        for change in self.changes:
            if change.at > newest:
                continue
            lines.pop(change.host, None)
            if change.listed is not None:
                lines[change.host] = change.listed
        return list(lines.values())

    async def close(self) -> None:
        """Stop serving."""
        self.hang_up()

    async def serve(
        self, connection: ServiceConnection, name: str, message: Json
    ) -> Json:
        self.calls += 1
        if self.down:
            raise AnswerLost
        if name != "hosts":
            raise ServiceRefusal("bad_request", f"unknown call {name}", 404)
        lines = [
            [entry.host, entry.zone, entry.address, entry.state.value, entry.kind.value]
            for entry in self.visible()
        ]
        return {"hosts": lines}
