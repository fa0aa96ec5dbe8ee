"""Work beside its owner: it ends with it, and its failure is logged."""

import asyncio
import os

from reedhook.background_tasks import BackgroundTasks
from reedhook.decision_log import DecisionLog
from reedhook.wire import decode

from .fakes_clock import LoopClock, run_virtual


async def failing() -> None:
    raise ValueError("broken")


def test_a_failure_is_logged_with_what_it_was_about() -> None:
    async def main() -> None:
        out, into = os.pipe()
        background = BackgroundTasks(DecisionLog("h1", LoopClock(), into), service="db")
        background.spawn(failing())
        await asyncio.sleep(0.01)
        line = decode(os.read(out, 1000))
        assert line["event"] == "task_failed"
        assert line["service"] == "db"
        assert "broken" in line["error"]
        assert not background.tasks

    run_virtual(main())


def test_cancelled_work_is_no_failure() -> None:
    async def main() -> None:
        out, into = os.pipe()
        os.set_blocking(out, False)
        background = BackgroundTasks(DecisionLog("h1", LoopClock(), into))
        task = background.spawn(asyncio.sleep(10.0))
        await asyncio.sleep(0.01)
        background.cancel()
        await asyncio.sleep(0.01)
        assert task.cancelled()
        assert not background.tasks
        try:
            raise AssertionError(os.read(out, 1000))
        except BlockingIOError:
            pass

    run_virtual(main())
