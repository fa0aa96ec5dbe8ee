"""Keepers of the groups that this host is home of a member of."""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

import logbook

from ...connection.home import Home
from ...version.catalog import Catalog, Group
from .group_manager import GroupManager

GroupHomesLookup: TypeAlias = Callable[[str], list[Home]]
GroupManagerFactory: TypeAlias = Callable[[Group], GroupManager]

log = logbook.Logger("keepers")


class GroupManagers:
    """Hold one keeper for each group of which a home is here.

    :param make_manager: makes a keeper that is not started yet.
    :param homes: returns the local homes of a group's members, with former
        ones in which transactions still end; their commits need proof.
    """

    __slots__ = ("make_manager", "homes", "catalog", "managers", "retiring", "tasks")

    def __init__(
        self, make_manager: GroupManagerFactory, homes: GroupHomesLookup
    ) -> None:
        self.make_manager = make_manager
        self.homes = homes
        self.catalog: Catalog | None = None
        self.managers: dict[str, GroupManager] = {}
        self.retiring: set[GroupManager] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def get(self, group: str) -> GroupManager | None:
        """Return the keeper of `group`, or None if no home of it is here."""
        return self.managers.get(group)

    def apply_catalog(self, catalog: Catalog) -> None:
        """Take note of the configuration now in force."""
        self.catalog = catalog
        self.reconcile()

    def reconcile(self) -> None:
        """Start, refresh and close keepers to match the homes that are here."""
        wanted = self.wanted()
        for name, keeper in list(self.managers.items()):
            if wanted.get(name) == keeper.group:
                keeper.refresh()
                continue
            del self.managers[name]
            self.retire(keeper)
        for name, group in wanted.items():
            if name not in self.managers:
                self.open(group)

    def wanted(self) -> dict[str, Group]:
        """Return the groups of which a home is here."""
        if self.catalog is None:
            return {}
        return {
            name: group
            for name, group in self.catalog.groups.items()
            if self.homes(name)
        }

    def open(self, group: Group) -> None:
        """Make and start the keeper of `group`."""
        keeper = self.make_manager(group)
        self.managers[group.name] = keeper
        task = asyncio.create_task(keeper.start())
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def retire(self, manager: GroupManager) -> None:
        """Close a keeper in the background, once its proofs have ended."""
        self.retiring.add(manager)
        task = asyncio.create_task(manager.retire())
        self.tasks.add(task)
        task.add_done_callback(lambda done: self.retiring.discard(manager))
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Forget a task; log what it raised."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("A keeper failed: {!r}.", task.exception())

    async def close(self) -> None:
        """Close all keepers."""
        held, self.managers = self.managers, {}
        for task in self.tasks:
            task.cancel()
        for keeper in [*held.values(), *self.retiring]:
            await keeper.close()
        if self.tasks:
            await asyncio.wait(self.tasks)
