"""One run of a host: its start, the signal that ends it, its gentle stop."""

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
        """Begin to serve."""

    async def stop(self) -> None:
        """Shut down gracefully."""


class HostSettings(Protocol):
    """Name the host that settings are of."""

    host: str


Assemble: TypeAlias = Callable[[Any], Process]

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

log = logbook.Logger("daemon")


class DaemonExitCode(IntEnum):
    """Name the exit codes."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    OVERDUE = 3


class HostRun:
    """Start a host, wait for a signal, stop it.

    :param settings: of the host.
    :param assemble: makes the host.
    :ivar exit_code: the exit code of the process.
    """

    def __init__(self, settings: HostSettings, assemble: Assemble) -> None:
        self.settings = settings
        self.assemble = assemble
        self.exit_code = DaemonExitCode.DONE
        self.stopping = asyncio.Event()
        self.process: Process | None = None

    async def whole(self) -> None:
        """Serve from the start to the stop.

        :raises OSError: if the host cannot start.
        """
        await self.start()
        await self.wait_for_stop_signal()
        await self.stop()

    async def start(self) -> None:
        """Start the host, unless a signal to stop comes first."""
        require_no_io_uring()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.stopping.set)
        self.process = self.assemble(self.settings)
        reload = getattr(self.process, "reload", None)
        if reload is not None:
            handle_reloads(loop, reload)
        starting = asyncio.ensure_future(self.process.start())
        told = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait({starting, told}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            told.cancel()
            await starting
            freeze_startup_objects()
            log.info("Host {} serves.", self.settings.host)
            return
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)

    async def wait_for_stop_signal(self) -> None:
        """Return once a signal to stop has come.

        Further signals change nothing: the shutdown has its bound, and a
        process that must end at once is ended by SIGKILL.
        """
        await self.stopping.wait()

    async def stop(self) -> None:
        """Shut down gracefully, within the bound of the settings."""
        if self.process is None:
            return
        try:
            await self.process.stop()
        except ShutdownTimeoutError:
            self.exit_code = DaemonExitCode.OVERDUE


def handle_reloads(
    loop: asyncio.AbstractEventLoop, reload: Callable[[], object]
) -> None:
    """Have a signal to reload handled for as long as the process lives.

    The handler is not the loop's own: a loop that closes puts the default back, by
    which a reload in the last milliseconds of a process ends it with a failure.
    """

    def handle(number: int, frame: FrameType | None) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(reload)

    signal.signal(signal.SIGHUP, handle)
