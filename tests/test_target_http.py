"""The HTTP adapter of targets against the stand-in of a database group."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from reedhook.connection.target import Role
from reedhook.connection.target_http import HttpTargetConnection, HttpTargetFactory
from reedhook.request.position import Position
from reedhook_standins.group import GroupStandin
from reedhook_standins.member import MemberStandin

from .support import run

CREATE = "CREATE TABLE ticket (id INTEGER PRIMARY KEY, load TEXT)"
INSERT = "INSERT INTO ticket (load) VALUES (?)"
COUNT = "SELECT count(*) FROM ticket"


@asynccontextmanager
async def group_of(
    count: int = 3, connections: int = 15
) -> AsyncIterator[GroupStandin]:
    names = [f"m{number}" for number in range(1, count + 1)]
    group = GroupStandin("g1", names, connections=connections)
    for member in group.members.values():
        member.statement_time = 0.0
    await group.start()
    try:
        yield group
    finally:
        await group.close()


async def connect(member: MemberStandin, client: str = "") -> HttpTargetConnection:
    target = HttpTargetFactory(client).target(member.name, member.address)
    return await target.connect(1.0)


def test_a_write_reaches_the_replicas() -> None:
    async def main() -> None:
        async with group_of() as group:
            first, second, _ = group.members.values()
            one = await connect(first)
            other = await connect(second)
            await one.write(CREATE, [], None, 1.0)
            written = await one.write(INSERT, ["pomace"], None, 1.0)
            assert written.position == Position(1, 3)
            assert written.role is Role.PRIMARY
            state = await other.state(1.0)
            while not state.applied.covers(written.position):
                state = await other.wait_state(state.revision, 1.0)
            read = await other.read("SELECT id, load FROM ticket", [], 1.0)
            assert read.rows == [[1, "pomace"]]
            assert read.columns == ["id", "load"]
            assert read.position == written.position
            assert read.role is Role.REPLICA
            await one.close()
            await other.close()

    run(main())
