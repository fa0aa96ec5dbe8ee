"""Run a host: start, wait for a stop signal, graceful shutdown."""

import asyncio
import signal
from collections.abc import Callable
from enum import IntEnum
from types import FrameType
from typing import Any, Final, Protocol, TypeAlias

import logbook

from .collector import freeze_startup_objects
from .io_uring import require_no_io_uring
from .shutdown_errors import ShutdownTimeoutError


class Process(Protocol):
    """Start and stop what a daemon runs."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Shut down gracefully."""


class HostSettings(Protocol):
    """Describe the settings that a run needs."""

    host: str


Assemble: TypeAlias = Callable[[Any], Process]

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

log = logbook.Logger("daemon")


class DaemonExitCode(IntEnum):
    """Enumerate the exit codes of the daemon."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    OVERDUE = 3


class HostRun:
    """Start a host, wait for a stop signal, shut the host down.

    :param settings: the settings of the host.
    :param assemble: creates the process from the settings.
    :ivar exit_code: the exit code of the process.
    """

    def __init__(self, settings: HostSettings, assemble: Assemble) -> None:
        self.settings = settings
        self.assemble = assemble
        self.exit_code = DaemonExitCode.DONE
        self.stopping = asyncio.Event()
        self.process: Process | None = None

    async def run(self) -> None:
        """Start the host, serve until a stop signal, then shut down.

        :raises OSError: if the host cannot start.
        """
        await self.start()
        await self.wait_for_stop_signal()
        await self.stop()

    async def start(self) -> None:
        """Start the host; abandon the start if a stop signal arrives first."""
        require_no_io_uring()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.stopping.set)
        self.process = self.assemble(self.settings)
        reload = getattr(self.process, "reload", None)
        if reload is not None:
            handle_reloads(loop, reload)
        starting = asyncio.ensure_future(self.process.start())
        stop_requested = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait(
            {starting, stop_requested}, return_when=asyncio.FIRST_COMPLETED
        )
        if starting.done():
            stop_requested.cancel()
            await starting
            freeze_startup_objects()
            log.info("Host {} is serving.", self.settings.host)
            return
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)

    async def wait_for_stop_signal(self) -> None:
        """Wait for a stop signal.

        Further signals have no effect: the shutdown has a time limit, and SIGKILL
        ends the process immediately.
        """
        await self.stopping.wait()

    async def stop(self) -> None:
        """Shut down gracefully; set the exit code if that times out."""
        if self.process is None:
            return
        try:
            await self.process.stop()
        except ShutdownTimeoutError:
            self.exit_code = DaemonExitCode.OVERDUE


def handle_reloads(
    loop: asyncio.AbstractEventLoop, reload: Callable[[], object]
) -> None:
    """Install a handler of the reload signal that outlives the event loop.

    A closing loop would restore the default action of its own handlers, and a
    reload signal during the end of the process would then kill it.
    """

    def handle(number: int, frame: FrameType | None) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(reload)

    signal.signal(signal.SIGHUP, handle)
