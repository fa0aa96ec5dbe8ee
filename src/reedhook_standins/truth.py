"""The final contents of the groups, read directly from the stand-ins."""

from collections import defaultdict, deque
from collections.abc import Iterator

from .group import GroupStandin
from .history import Effect
from .workload import Day, Table


def effects(group: GroupStandin, day: type[Day]) -> Iterator[Effect]:
    """Yield the effects that the current primary of `group` holds.

    The rows define the effects; the log only adds the commit times.
    """
    times = commit_times(group)
    for table in day.tables:
        for request_id, key, version in rows(group, table):
            committed = times[request_id].popleft() if times[request_id] else None
            yield Effect(request_id, group.name, key, version, committed)


def rows(group: GroupStandin, table: Table) -> list[tuple[str, str, int]]:
    """Return request id, key and version of each row of `table`."""
    cursor = group.primary.state.engine.database.execute(table.truth)
    return [(str(row[0]), str(row[1]), int(row[2])) for row in cursor]


def commit_times(group: GroupStandin) -> dict[str, deque[float]]:
    """Return when the primary wrote the changes of each request id.

    The workload passes the request id as the first parameter of an insert.
    """
    times: dict[str, deque[float]] = defaultdict(deque)
    for entry in group.truth.entries:
        for change in entry.changes:
            if change.params:
                times[str(change.params[0])].append(entry.written)
    return times
