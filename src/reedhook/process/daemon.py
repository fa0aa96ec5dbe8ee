"""Run one host of the database proxy.

Usage:
  reedhookd --settings FILE [--check]
  reedhookd --platform [--settings FILE] [--check]
  reedhookd --help

Options:
  --settings FILE  YAML file with the settings of this host; with --platform,
                   the file that the platform writes.
  --platform       Serve sessions on a platform with a store. Without a file,
                   the platform says in the environment where it is.
  --check          Only check the settings.
  --help           Show this text.

Exit codes:
  0  ended after a graceful shutdown, or the settings are fine
  1  could not start, or failed
  2  the command line or the settings are wrong
  3  the shutdown took longer than its bound; requests were cut
"""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import Any, Final, Protocol, TypeAlias

import logbook
import uvloop
from aiomisc import Service, entrypoint
from docopt import DocoptExit, docopt

from .collector import spare_collector
from .io_uring import IoUringInUse, forbid_io_uring, require_no_io_uring
from .logs import logs
from .overdue import ShutdownOverdue


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

AUTHORITIES: Final = "SSL_CERT_FILE"
"""Environment variable with the file of certificates that are trusted."""

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

    settings: HostSettings
    assemble: Assemble

    def __init__(self, **parameters: Any) -> None:
        super().__init__(**parameters)
        self.code = Exit.DONE
        self.stopping = asyncio.Event()
        self.process: Process | None = None

    async def start(self) -> None:
        """Start the host, unless a signal to stop comes first."""
        require_no_io_uring()
        for number in STOP_SIGNALS:
            self.loop.add_signal_handler(number, self.stopping.set)
        self.process = self.assemble(self.settings)
        reload = getattr(self.process, "reload", None)
        if reload is not None:
            self.loop.add_signal_handler(signal.SIGHUP, reload)
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
    if arguments["--platform"]:
        return run_on_platform(arguments["--settings"], arguments["--check"])
    return run_by_yaml(Path(arguments["--settings"]), arguments["--check"])


def run_by_yaml(path: Path, check: bool) -> int:
    """Run a host by its YAML settings; return the exit code."""
    # Each kind of host loads only what it needs: all hosts start together after
    # a loss of power, and the modules of the other kind take 0.2 s of a core.
    from .assembly import assemble_host
    from .settings import load_settings

    try:
        settings = load_settings(path)
    except ExceptionGroup as errors:
        for one in errors.exceptions:
            print(f"reedhookd: {one}", file=sys.stderr)
        return Exit.USAGE
    if check:
        print("The settings are fine.")
        return Exit.DONE
    with logs(settings.log_level):
        return serve(settings, assemble_host)


def run_on_platform(named: str | None, check: bool) -> int:
    """Run a host by the platform's settings file; return the exit code."""
    # Nothing on the platform speaks TLS. aiohttp loads the certificates of all
    # authorities when it is imported, 0.2 s of a core at each start.
    os.environ.setdefault(AUTHORITIES, os.devnull)
    from ..platform.assembly import assemble
    from ..platform.settings import SettingsFault, load, settings_path

    try:
        path = settings_path(named)
        settings = load(path)
    except (OSError, SettingsFault) as error:
        print(f"reedhookd: {error}", file=sys.stderr)
        return Exit.USAGE
    if check:
        print("The settings are fine.")
        return Exit.DONE
    with logs("warning"):
        return serve(settings, lambda _: assemble(path))


def serve(settings: HostSettings, assemble: Assemble) -> int:
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
