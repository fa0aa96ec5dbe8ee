"""A running stand-in of a database group, and connections to its members."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.target import MemberState, TargetRefusedError
from reedhook.connection.target_http import HttpTargetConnection, HttpTargetFactory
from reedhook.request.position import Position
from reedhook_standins.group import GroupStandin
from reedhook_standins.member import MemberStandin

CREATE = "CREATE TABLE ticket (id INTEGER PRIMARY KEY, load TEXT UNIQUE)"
INSERT = "INSERT INTO ticket (load) VALUES (?)"
SELECT = "SELECT load FROM ticket ORDER BY id"
ISSUED = 1_700_000_000_000
SECOND = 1000
DAY = 86400 * SECOND


def request_id(number: int, issued: int = ISSUED) -> str:
    """Return a well-formed request id."""
    return f"{issued:013}-request{number:04}"


@asynccontextmanager
async def group_of(
    count: int = 3, connections: int = 15, slots: int = 2
) -> AsyncIterator[GroupStandin]:
    """Run a group with an empty table and statements that take no time."""
    names = [f"m{number}" for number in range(1, count + 1)]
    group = GroupStandin("g1", names, connections=connections, slots=slots)
    for member in group.members.values():
        member.statement_time = 0.0
    await group.start()
    connection = await connect(group.primary)
    await connection.write(CREATE, [], None, 1.0)
    await connection.close()
    await until(lambda: group.primary.open_connections == 0)
    try:
        yield group
    finally:
        await group.close()


async def connect(
    member: MemberStandin, client: str = "", timeout: float = 1.0
) -> HttpTargetConnection:
    """Open a connection to a member."""
    target = HttpTargetFactory(client).target(member.name, member.address)
    return await target.connect(timeout)


async def until(condition: Callable[[], object]) -> None:
    """Wait until `condition` holds."""
    while not condition():
        await asyncio.sleep(0.001)


async def refusal_code(awaitable: Awaitable[object]) -> str:
    """Return the refusal code that `awaitable` raises."""
    with pytest.raises(TargetRefusedError) as caught:
        await awaitable
    return caught.value.code


async def applied(connection: HttpTargetConnection, position: Position) -> MemberState:
    """Wait until reads of a member see `position`."""
    state = await connection.state(1.0)
    while not state.applied.covers(position):
        state = await connection.wait_state(state.revision, 1.0)
    return state


async def held(connection: HttpTargetConnection, position: Position) -> MemberState:
    """Wait until a member holds `position`."""
    state = await connection.state(1.0)
    while not state.held.covers(position):
        state = await connection.wait_state(state.revision, 1.0)
    return state


async def change_primary(
    group: GroupStandin, name: str, term: int, voters: list[str]
) -> None:
    """Make `name` primary of `term`, with promises of `voters`, which follow it."""
    for voter in voters:
        connection = await connect(group.members[voter])
        await connection.raise_term(term, "test", 1.0)
        await connection.close()
    connection = await connect(group.members[name])
    await connection.promote(term, "test", 1.0)
    await connection.close()
    for voter in voters:
        if voter != name:
            connection = await connect(group.members[voter])
            await connection.follow(term, name, 1.0)
            await connection.close()
