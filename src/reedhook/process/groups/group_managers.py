"""Group managers of the groups with a home on this host."""

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
    """Run one group manager for each group with a home on this host.

    :param make_manager: creates a group manager without starting it.
    :param homes: returns the local homes of a group's members, released ones
        included, since the commits of their open transactions need proof.
    :ivar retiring: managers without a local home that finish their proofs.
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
        """Return the manager of `group`, or None without a local home."""
        return self.managers.get(group)

    def apply_catalog(self, catalog: Catalog) -> None:
        """Apply a new configuration."""
        self.catalog = catalog
        self.reconcile()

    def reconcile(self) -> None:
        """Start, refresh and retire managers to match the local homes."""
        wanted = self.wanted()
        for name, manager in list(self.managers.items()):
            if wanted.get(name) == manager.group:
                manager.refresh()
                continue
            del self.managers[name]
            self.retire(manager)
        for name, group in wanted.items():
            if name not in self.managers:
                self.open(group)

    def wanted(self) -> dict[str, Group]:
        """Return the groups with a home on this host."""
        if self.catalog is None:
            return {}
        return {
            name: group
            for name, group in self.catalog.groups.items()
            if self.homes(name)
        }

    def open(self, group: Group) -> None:
        """Create and start the manager of `group`."""
        manager = self.make_manager(group)
        self.managers[group.name] = manager
        task = asyncio.create_task(manager.start())
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def retire(self, manager: GroupManager) -> None:
        """Close a manager in the background after its pending proofs."""
        self.retiring.add(manager)
        task = asyncio.create_task(manager.retire())
        self.tasks.add(task)
        task.add_done_callback(lambda done: self.retiring.discard(manager))
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task and log its exception."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("A group manager failed: {!r}.", task.exception())

    async def close(self) -> None:
        """Close all managers."""
        managers, self.managers = self.managers, {}
        for task in self.tasks:
            task.cancel()
        for manager in [*managers.values(), *self.retiring]:
            await manager.close()
        if self.tasks:
            await asyncio.wait(self.tasks)
