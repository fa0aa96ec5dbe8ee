"""Work that goes on beside its owner."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from .decision_log import DecisionLog


class BackgroundTasks:
    """Run work in tasks, and log the failure that none is meant to have.

    :param log_fields: stands in the line of a failure, such as the service.
    :ivar tasks: those that have not ended.
    """

    __slots__ = ("decisions", "log_fields", "tasks")

    def __init__(self, decisions: DecisionLog, **log_fields: str) -> None:
        self.decisions = decisions
        self.log_fields = log_fields
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run `work` until it ends, or `cancel` is called."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.handle_done)
        return task

    def handle_done(self, task: asyncio.Task[None]) -> None:
        """Forget a task, and log it if it failed."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.decisions.record("task_failed", **self.log_fields, error=repr(error))

    def cancel(self) -> None:
        """End all tasks."""
        for task in list(self.tasks):
            task.cancel()
