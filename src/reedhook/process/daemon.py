"""Run one host of the database proxy.

Usage:
  reedhookd --settings FILE [--check]
  reedhookd --help

Options:
  --settings FILE  YAML file with the settings of this host.
  --check          Only check the settings.
  --help           Show this text.

Exit codes:
  0  ended after a graceful shutdown, or the settings are fine
  1  could not start, or failed
  2  the command line or the settings are wrong
  3  the shutdown took longer than its bound; requests were cut
"""

import asyncio
import signal
import sys
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import Any, Final, TypeAlias

import logbook
import uvloop
from aiomisc import Service, entrypoint
from docopt import DocoptExit, docopt

from .assembly import assemble_host
from .collector import spare_collector
from .io_uring import IoUringInUse, forbid_io_uring, require_no_io_uring
from .lifecycle import HostProcess, ShutdownOverdue
from .logs import logs
from .settings import Settings, load_settings

Assemble: TypeAlias = Callable[[Settings], HostProcess]

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

log = logbook.Logger("daemon")


class Exit(IntEnum):
    """Name the exit codes."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    OVERDUE = 3


class HostService(Service):  # type: ignore[misc]
    """Let the entry point start and stop a host.

    :param settings: of the host.
    :param assemble: makes the host.
    :ivar code: the exit code of the process.
    """

    __required__ = ("settings", "assemble")

    settings: Settings
    assemble: Assemble

    def __init__(self, **parameters: Any) -> None:
        super().__init__(**parameters)
        self.code = Exit.DONE
        self.stopping = asyncio.Event()
        self.process: HostProcess | None = None

    async def start(self) -> None:
        """Start the host, unless a signal to stop comes first."""
        require_no_io_uring()
        for number in STOP_SIGNALS:
            self.loop.add_signal_handler(number, self.stopping.set)
        self.process = self.assemble(self.settings)
        starting = asyncio.ensure_future(self.process.start())
        told = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait({starting, told}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            told.cancel()
            await starting
            spare_collector()
            log.info("Host {} serves.", self.settings.host)
            return
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)

    async def finished(self) -> None:
        """Return once a signal to stop has come.

        Further signals change nothing: the shutdown has its bound, and a
        process that must end at once is ended by SIGKILL.
        """
        await self.stopping.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Shut down gracefully, within the bound of the settings."""
        if self.process is None:
            return
        try:
            await self.process.stop()
        except ShutdownOverdue:
            self.code = Exit.OVERDUE


def main(argv: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    try:
        arguments = docopt(__doc__, argv)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return Exit.USAGE
    try:
        settings = load_settings(Path(arguments["--settings"]))
    except ExceptionGroup as errors:
        for one in errors.exceptions:
            print(f"reedhookd: {one}", file=sys.stderr)
        return Exit.USAGE
    if arguments["--check"]:
        print("The settings are fine.")
        return Exit.DONE
    with logs(settings.log_level):
        return serve(settings)


def serve(settings: Settings, assemble: Assemble = assemble_host) -> int:
    """Run a host until it is told to stop; return the exit code."""
    forbid_io_uring()
    service = HostService(settings=settings, assemble=assemble)
    try:
        with entrypoint(
            service,
            log_config=False,
            catch_signals=(),
            loop_factory=uvloop.new_event_loop,
        ) as loop:
            loop.run_until_complete(service.finished())
    except (OSError, IoUringInUse) as error:
        log.error("The host cannot start: {}.", error)
        return Exit.FAILED
    except Exception:
        log.exception("The host failed.")
        return Exit.FAILED
    return service.code


if __name__ == "__main__":
    sys.exit(main())
