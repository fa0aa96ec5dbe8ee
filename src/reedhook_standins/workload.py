"""The workloads of the example deployments: writers, readers, rates, consistency."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, ClassVar, Final, TypeAlias

from reedhook.record import Record
from reedhook.request.statement import Consistency

from .caller import Caller, GaveUp, ReadOrder, WriteOrder

PATIENCE_S: Final = 15.0

MakeCaller: TypeAlias = Callable[[str, str], Caller]


class Table(Record):
    """Describe a table whose rows raise registers.

    :param key: the column that names the register.
    :param version: the column that holds the version.
    :param columns: the other columns, as in a create statement.
    """

    __slots__ = ("name", "key", "version", "columns")

    def __init__(self, name: str, key: str, version: str, columns: list[str]) -> None:
        self.name = name
        self.key = key
        self.version = version
        self.columns = columns

    @property
    def create(self) -> str:
        """Return the statement that creates the table.

        The request id is deliberately not unique, so that a write that runs twice is
        detected.
        """
        extra = ", ".join(f"{column} NOT NULL" for column in self.columns)
        return (
            f"CREATE TABLE IF NOT EXISTS {self.name} (request_id TEXT NOT NULL, "
            f"{self.key} TEXT NOT NULL, {self.version} INTEGER NOT NULL, {extra})"
        )

    @property
    def index(self) -> str:
        """Return the statement that creates the index of the registers."""
        return (
            f"CREATE INDEX IF NOT EXISTS {self.name}_by_{self.key} "
            f"ON {self.name} ({self.key}, {self.version})"
        )

    @property
    def insert(self) -> str:
        """Return the statement that adds a row."""
        marks = ", ".join("?" for _ in range(3 + len(self.columns)))
        return f"INSERT INTO {self.name} VALUES ({marks})"

    @property
    def newest(self) -> str:
        """Return the statement that reads one register."""
        return (
            f"SELECT ?, ?, COALESCE(MAX({self.version}), 0) "
            f"FROM {self.name} WHERE {self.key} = ?"
        )

    @property
    def overview(self) -> str:
        """Return the statement that reads all registers of the table."""
        return (
            f"SELECT ?, {self.key}, MAX({self.version}), COUNT(*) "
            f"FROM {self.name} GROUP BY {self.key}"
        )

    @property
    def truth(self) -> str:
        """Return the statement that lists request id, key and version of all rows."""
        return f"SELECT request_id, {self.key}, {self.version} FROM {self.name}"


class Day(ABC):
    """Run the callers of one deployment until told to stop.

    :param groups: the names of the database groups.
    :param make_caller: creates a caller from its name and its workspace's name.
    :cvar tables: the tables of the deployment.
    :cvar writers: the workspace that creates them.
    :ivar gave_up: messages of the callers that gave up.
    """

    tables: ClassVar[tuple[Table, ...]]
    writers: ClassVar[str]

    def __init__(
        self,
        groups: Sequence[str],
        make_caller: MakeCaller,
        random: random.Random,
    ) -> None:
        self.groups = groups
        self.make_caller = make_caller
        self.random = random
        self.stopping = asyncio.Event()
        self.gave_up: list[str] = []

    @abstractmethod
    def roles(self, group: str) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines of the callers of `group`."""

    async def prepare(self) -> None:
        """Create the tables of all groups through the proxy."""
        for group in self.groups:
            caller = self.make_caller(f"{group}/operator", self.writers)
            for table in self.tables:
                await caller.define(group, table.create, PATIENCE_S)
                await caller.define(group, table.index, PATIENCE_S)

    async def run(self) -> None:
        """Run all callers until `stop`; each completes its current request."""
        async with asyncio.TaskGroup() as tasks:
            for group in self.groups:
                for role in self.roles(group):
                    tasks.create_task(role)

    def stop(self) -> None:
        """Make each caller end after its current request."""
        self.stopping.set()

    async def repeat(self, mean: float, step: Callable[[int], Awaitable[None]]) -> None:
        """Call `step` with 1, 2, 3 and so on, about every `mean` seconds."""
        number = 0
        await self.pause(self.random.uniform(0, mean))
        while not self.stopping.is_set():
            number += 1
            try:
                await step(number)
            except GaveUp as error:
                self.gave_up.append(str(error))
            await self.pause(self.random.uniform(0.5, 1.5) * mean)

    async def pause(self, seconds: float) -> None:
        """Wait for `seconds`, or until the run ends."""
        try:
            async with asyncio.timeout(seconds):
                await self.stopping.wait()
        except TimeoutError:
            return

    async def read_newest(
        self,
        caller: Caller,
        kind: str,
        group: str,
        table: Table,
        key: str,
        consistency: Consistency,
        max_age: float | None = None,
    ) -> None:
        """Read one register."""
        order = ReadOrder(
            kind, group, table.newest, [key, key], [key], consistency, max_age
        )
        await caller.read(order, PATIENCE_S)

    async def read_overview(
        self,
        caller: Caller,
        kind: str,
        group: str,
        table: Table,
        keys: list[str],
        max_age: float,
    ) -> None:
        """Read all registers of a table with a maximum age in seconds."""
        order = ReadOrder(
            kind, group, table.overview, [], keys, Consistency.MAX_AGE, max_age
        )
        await caller.read(order, PATIENCE_S)


class PlantDay(Day):
    """Generate gate tickets, mix views and settlement reports of the biogas plant."""

    tickets: Final = Table("tickets", "gate", "serial", ["farmer TEXT", "kilos REAL"])
    mixes: Final = Table("mixes", "digester", "step", ["feed TEXT", "share REAL"])
    tables = (tickets, mixes)
    writers = "gate"

    feeds: Final = ("olive pomace", "citrus peel", "manure", "whey")
    gates: Final = 3
    viewers: Final = 2
    ticket_every: Final = 0.15
    dose_every: Final = 0.4
    view_every: Final = 0.1
    report_every: Final = 0.2
    mix_max_age: Final = 0.5
    report_max_age: Final = 5.0

    def roles(self, group: str) -> list[Coroutine[Any, Any, None]]:
        gates = [f"{group}/gate-{number}" for number in range(1, self.gates + 1)]
        digester = f"{group}/digester"
        viewers = [
            f"{group}/agronomist-{index}" for index in range(1, self.viewers + 1)
        ]
        return [
            *(self.gate(group, gate) for gate in gates),
            self.operator(group, digester),
            *(self.agronomist(group, viewer, digester) for viewer in viewers),
            self.clerk(group, gates),
        ]

    async def gate(self, group: str, gate: str) -> None:
        """Record each delivery once, then read it through another host."""
        caller = self.make_caller(gate, "gate")

        async def deliver(serial: int) -> None:
            farmer = f"farmer-{self.random.randrange(40)}"
            kilos = self.random.randrange(800, 12000)
            order = WriteOrder(
                group, gate, serial, self.tickets.insert, [gate, serial, farmer, kilos]
            )
            await caller.write(order, PATIENCE_S)
            caller.roam()
            await self.read_newest(
                caller, "ticket", group, self.tickets, gate, Consistency.SESSION
            )

        await self.repeat(self.ticket_every, deliver)

    async def operator(self, group: str, digester: str) -> None:
        """Write the digester's dose step by step."""
        caller = self.make_caller(f"{group}/operator-on-duty", "mix")

        async def dose(step: int) -> None:
            feed = self.random.choice(self.feeds)
            share = self.random.uniform(0.1, 0.9)
            order = WriteOrder(
                group, digester, step, self.mixes.insert, [digester, step, feed, share]
            )
            await caller.write(order, PATIENCE_S)

        await self.repeat(self.dose_every, dose)

    async def agronomist(self, group: str, name: str, digester: str) -> None:
        """Read the mix: fresh before dosing, through any host; otherwise bounded."""
        caller = self.make_caller(name, "mix")

        async def view(turn: int) -> None:
            if turn % 3 == 0:
                caller.forget()
                caller.roam()
                await self.read_newest(
                    caller,
                    "mix before dosing",
                    group,
                    self.mixes,
                    digester,
                    Consistency.FRESH,
                )
                return
            await self.read_newest(
                caller,
                "mix view",
                group,
                self.mixes,
                digester,
                Consistency.MAX_AGE,
                self.mix_max_age,
            )

        await self.repeat(self.view_every, view)

    async def clerk(self, group: str, gates: list[str]) -> None:
        """Read settlements with bounded staleness."""
        caller = self.make_caller(f"{group}/clerk", "settlement")

        async def report(turn: int) -> None:
            await self.read_overview(
                caller, "settlement", group, self.tickets, gates, self.report_max_age
            )

        await self.repeat(self.report_every, report)


class DanubeDay(Day):
    """Generate assignments, queue positions and schedules of the tug dispatchers."""

    assignments: Final = Table(
        "assignments", "desk", "serial", ["tug TEXT", "convoy TEXT"]
    )
    tables = (assignments,)
    writers = "desk"

    desks: Final = 2
    skippers: Final = 6
    harbour_masters: Final = 2
    assign_every: Final = 0.3
    check_every: Final = 0.12
    schedule_every: Final = 0.15
    schedule_max_age: Final = 2.0

    def roles(self, group: str) -> list[Coroutine[Any, Any, None]]:
        desks = [f"{group}/desk-{number}" for number in range(1, self.desks + 1)]
        skippers = [f"{group}/skipper-{index}" for index in range(1, self.skippers + 1)]
        masters = [
            f"{group}/master-{index}" for index in range(1, self.harbour_masters + 1)
        ]
        return [
            *(self.desk(group, desk) for desk in desks),
            *(self.skipper(group, name, desks) for name in skippers),
            *(self.harbour_master(group, name, desks) for name in masters),
        ]

    async def desk(self, group: str, desk: str) -> None:
        """Assign each convoy one tug, then read it through another host."""
        caller = self.make_caller(desk, "desk")

        async def assign(serial: int) -> None:
            tug = f"tug-{self.random.randrange(30)}"
            order = WriteOrder(
                group,
                desk,
                serial,
                self.assignments.insert,
                [desk, serial, tug, f"{desk}/convoy-{serial}"],
            )
            await caller.write(order, PATIENCE_S)
            caller.roam()
            await self.read_newest(
                caller, "assignment", group, self.assignments, desk, Consistency.SESSION
            )

        await self.repeat(self.assign_every, assign)

    async def skipper(self, group: str, name: str, desks: list[str]) -> None:
        """Read the queue repeatedly in one session; it must never go backwards."""
        caller = self.make_caller(name, "skipper")

        async def check(turn: int) -> None:
            if turn % 10 == 0:
                caller.roam()
            await self.read_newest(
                caller,
                "queue position",
                group,
                self.assignments,
                desks[turn % len(desks)],
                Consistency.SESSION,
            )

        await self.repeat(self.check_every, check)

    async def harbour_master(self, group: str, name: str, desks: list[str]) -> None:
        """Read the schedules, and occasionally the latest assignment."""
        caller = self.make_caller(name, "harbour")

        async def pull(turn: int) -> None:
            if turn % 6 == 0:
                caller.forget()
                caller.roam()
                await self.read_newest(
                    caller,
                    "newest assignment",
                    group,
                    self.assignments,
                    desks[turn // 6 % len(desks)],
                    Consistency.FRESH,
                )
                return
            await self.read_overview(
                caller,
                "schedule",
                group,
                self.assignments,
                desks,
                self.schedule_max_age,
            )

        await self.repeat(self.schedule_every, pull)


DAYS: Final[dict[str, type[Day]]] = {"plant": PlantDay, "danube": DanubeDay}
