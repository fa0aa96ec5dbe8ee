"""Processes of a benchmark, and their processor time as measured by the kernel.

Only benchmarks start processes; the product never does.
"""

import asyncio
import multiprocessing
import os
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from multiprocessing.connection import Connection
from multiprocessing.context import SpawnProcess
from pathlib import Path
from types import TracebackType
from typing import Any, Final, TypeAlias

Serve: TypeAlias = Callable[..., Awaitable[Any]]

START_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 5.0
NANOSECONDS: Final = 1e-9
SPAWN: Final = multiprocessing.get_context("spawn")


class RoleFailed(Exception):
    """Report that a process of the benchmark did not start."""


class RoleProcess(AbstractContextManager["RoleProcess"]):
    """Run one role in its own process until the block ends.

    :param serve: coroutine function that starts the role, returns what the driver
        needs, such as an address, and leaves tasks running.
    :ivar facts: the result of `serve`.
    """

    def __init__(self, name: str, serve: Serve, *arguments: Any) -> None:
        self.name = name
        self.facts: Any = None
        self.pipe, child = SPAWN.Pipe()
        self.process: SpawnProcess = SPAWN.Process(
            target=run_role, args=(child, serve, arguments), name=name, daemon=True
        )

    def __enter__(self) -> "RoleProcess":
        self.process.start()
        if not self.pipe.poll(START_TIMEOUT_S):
            raise RoleFailed(f"{self.name} did not start")
        try:
            self.facts = self.pipe.recv()
        except EOFError as error:
            raise RoleFailed(f"{self.name} ended at its start") from error
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.process.terminate()
        self.process.join(STOP_TIMEOUT_S)

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process.pid is not None
        return self.process.pid

    def processor_time(self) -> float:
        """Return the processor time of all threads so far, in seconds."""
        return processor_time(self.pid)


def processor_time(pid: int) -> float:
    """Return the processor time of a process so far, in seconds.

    The kernel's scheduler counts nanoseconds; the process statistics count ticks of 10
    ms, which is too coarse for a short block.
    """
    tasks = Path("/proc", str(pid), "task")
    ran = [int(read_text(task / "schedstat").split()[0]) for task in tasks.iterdir()]
    return sum(ran) * NANOSECONDS


def read_text(path: Path) -> str:
    """Return the text of a small file."""
    return path.read_text(encoding="ascii")


def run_role(pipe: Connection, serve: Serve, arguments: tuple[Any, ...]) -> None:
    """Run a role in the current process until it is terminated."""
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    async def main() -> None:
        pipe.send(await serve(*arguments))
        await asyncio.Event().wait()

    uvloop.run(main())
