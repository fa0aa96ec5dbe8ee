"""A whole deployment on loopback, from a caller's write to a killed host."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from reedhook.request.statement import Consistency
from reedhook_standins.caller import Caller, ReadOrder, WriteOrder
from reedhook_standins.deployment import Deployment
from reedhook_standins.group import GroupStandin
from reedhook_standins.history import History, Promise, violations
from reedhook_standins.truth import effects
from reedhook_standins.workload import DanubeDay
from reedhook_standins.world import World

from .support import using

DESK = "desk-1"
PATIENCE = 30.0


class Scene:
    """Hold a running world with one caller that writes to one group."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.history = History()
        make = world.caller_of(self.history)
        self.group = next(iter(world.platform.groups.values()))
        self.desk: Caller = make(DESK, "desk")
        self.day = DanubeDay([self.group.name], make, world.random)
        self.serial = 0

    async def assign(self) -> None:
        """Write the next assignment."""
        self.serial += 1
        values = [DESK, self.serial, "tug-1", f"convoy-{self.serial}"]
        sql = DanubeDay.assignments.insert
        order = WriteOrder(self.group.name, DESK, self.serial, sql, values)
        await self.desk.write(order, PATIENCE)

    async def look(
        self,
        consistency: Consistency,
        max_age: float | None = None,
        through: str | None = None,
    ) -> int:
        """Return the latest serial, read through another host or a given one."""
        self.desk.roam()
        self.desk.host = through or self.desk.host
        order = ReadOrder(
            "assignment",
            self.group.name,
            DanubeDay.assignments.newest,
            [DESK, DESK],
            [DESK],
            consistency,
            max_age,
        )
        await self.desk.read(order, PATIENCE)
        return self.history.reads[-1].versions[DESK]

    def broken(self) -> list[Promise]:
        """Return the violated guarantees so far."""
        group_effects = effects(self.group, DanubeDay)
        return [
            violation.promise for violation in violations(self.history, group_effects)
        ]


@asynccontextmanager
async def scene_of(hosts: int = 3) -> AsyncIterator[Scene]:
    """Run a small world with its tables created."""
    async with World(Deployment("danube"), hosts=hosts) as world:
        scene = Scene(world)
        await scene.day.prepare()
        yield scene


@using(scene_of)
async def test_each_consistency_reads_write_through_other_host(
    scene: Scene,
) -> None:
    await scene.assign()
    assert await scene.look(Consistency.SESSION) == 1
    assert await scene.look(Consistency.FRESH) == 1
    await scene.look(Consistency.MAX_AGE, 5.0)
    assert scene.history.reads[-1].age is not None
    assert scene.history.acknowledged()[0].version == 1
    assert scene.broken() == []


@using(scene_of)
async def test_failover_from_isolated_primary_loses_no_writes(scene: Scene) -> None:
    await scene.assign()
    old_primary = scene.group.primary.name
    scene.world.cut_target_off(old_primary)
    await scene.assign()
    assert scene.group.primary.name != old_primary
    scene.world.heal_target(old_primary)
    assert await scene.look(Consistency.FRESH) == 2
    assert scene.broken() == []


@using(scene_of)
async def test_isolated_zone_loses_no_writes_and_serves_no_stale_reads(
    scene: Scene,
) -> None:
    await scene.assign()
    old_primary = scene.group.primary.name
    zone = scene.world.target_zones()[old_primary]
    scene.world.cut_zone_off(zone)
    await scene.assign()
    assert scene.group.primary.name != old_primary
    (isolated_address,) = (
        settings.listen
        for settings in scene.world.settings.values()
        if settings.zone == zone
    )
    scene.desk.forget()
    assert await scene.look(Consistency.FRESH, through=isolated_address) == 2
    refused, *_, answered = scene.history.reads
    assert refused.host == isolated_address
    assert answered.host != isolated_address
    scene.world.heal_zone(zone)
    await scene.assign()
    assert scene.broken() == []


@using(scene_of)
async def test_killed_home_is_replaced_and_restarts(scene: Scene) -> None:
    await scene.assign()
    home = scene.world.home_of(scene.group.primary.name)
    await scene.world.kill_host(home)
    await scene.assign()
    assert scene.world.home_of(scene.group.primary.name) != home
    await scene.world.start_host(home)
    assert await scene.look(Consistency.SESSION) == 2
    assert scene.broken() == []


@using(scene_of)
async def test_missing_and_duplicated_rows_are_detected(scene: Scene) -> None:
    await scene.assign()
    assert scene.broken() == []
    table = DanubeDay.assignments.name
    tamper(scene.group, f"INSERT INTO {table} SELECT * FROM {table}")
    assert scene.broken() == [Promise.DOUBLED]
    tamper(scene.group, f"DELETE FROM {table}")
    assert scene.broken() == [Promise.LOST]


def tamper(group: GroupStandin, sql: str) -> None:
    """Change the rows of the primary directly, bypassing the log."""
    group.primary.state.engine.database.execute(sql)


def test_workspace_zones_exclude_unserved_zones() -> None:
    plant = Deployment("plant")
    assert "ispica" in plant.zones
    assert "ispica" in plant.zones_of("gate")
    assert "ispica" not in plant.zones_of("settlement")


def test_hosts_are_spread_evenly_over_zones() -> None:
    zones = list(Deployment("plant").host_zones(9).values())
    counts = {zone: zones.count(zone) for zone in zones}
    assert sorted(counts.values()) == [2, 2, 2, 3]
