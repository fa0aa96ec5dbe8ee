"""Background tasks that end with their owner and log unexpected failures."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from .decision_log import DecisionLog


class BackgroundTasks:
    """Run coroutines as tasks and log their failures.

    :param log_fields: added to the log line of a failure, such as the service.
    :ivar tasks: tasks that have not ended.
    """

    __slots__ = ("decisions", "log_fields", "tasks")

    def __init__(self, decisions: DecisionLog, **log_fields: str) -> None:
        self.decisions = decisions
        self.log_fields = log_fields
        self.tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start `work` as a task; `cancel` ends it."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.handle_done)
        return task

    def handle_done(self, task: asyncio.Task[None]) -> None:
        """Remove a task that has ended, and log its failure."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.decisions.record("task_failed", **self.log_fields, error=repr(error))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self.tasks):
            task.cancel()
