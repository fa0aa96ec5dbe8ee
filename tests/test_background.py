"""Tests that background tasks can be cancelled and their failures are logged."""

import asyncio
import os

from reedhook.background_tasks import BackgroundTasks
from reedhook.decision_log import DecisionLog
from reedhook.wire import decode

from .fakes_clock import LoopClock, run_virtual


async def fail() -> None:
    raise ValueError("broken")


def test_failure_is_logged_with_its_fields() -> None:
    async def main() -> None:
        read_fd, write_fd = os.pipe()
        background = BackgroundTasks(
            DecisionLog("h1", LoopClock(), write_fd), service="db"
        )
        background.spawn(fail())
        await asyncio.sleep(0.01)
        line = decode(os.read(read_fd, 1000))
        assert line["event"] == "task_failed"
        assert line["service"] == "db"
        assert "broken" in line["error"]
        assert not background.tasks

    run_virtual(main())


def test_cancellation_is_not_logged_as_failure() -> None:
    async def main() -> None:
        read_fd, write_fd = os.pipe()
        os.set_blocking(read_fd, False)
        background = BackgroundTasks(DecisionLog("h1", LoopClock(), write_fd))
        task = background.spawn(asyncio.sleep(10.0))
        await asyncio.sleep(0.01)
        background.cancel()
        await asyncio.sleep(0.01)
        assert task.cancelled()
        assert not background.tasks
        try:
            raise AssertionError(os.read(read_fd, 1000))
        except BlockingIOError:
            pass

    run_virtual(main())
