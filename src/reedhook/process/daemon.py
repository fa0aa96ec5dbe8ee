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
import sys
from collections.abc import Callable
from pathlib import Path

import logbook
import uvloop
from docopt import DocoptExit, docopt

from .io_uring import IoUringInUseError, forbid_io_uring
from .logs import logs
from .run import Assemble, DaemonExitCode, HostRun, HostSettings

log = logbook.Logger("daemon")


def main(argv: list[str] | None = None) -> int:
    """Run the command; return its exit code."""
    try:
        arguments = docopt(__doc__, argv)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return DaemonExitCode.USAGE
    if arguments["--platform"]:
        return run_on_platform(arguments["--settings"], arguments["--check"])
    return run_by_yaml(Path(arguments["--settings"]), arguments["--check"])


def run_by_yaml(path: Path, check: bool) -> int:
    """Run a host with YAML settings; return the exit code."""
    # Imported here to keep startup short: each kind of host loads only the modules
    # that it needs.
    from .assembly import assemble_host
    from .settings import load_settings

    try:
        settings = load_settings(path)
    except ExceptionGroup as errors:
        for error in errors.exceptions:
            print(f"reedhookd: {error}", file=sys.stderr)
        return DaemonExitCode.USAGE
    if check:
        print("The settings are fine.")
        return DaemonExitCode.DONE
    with logs(settings.log_level):
        return serve(settings, assemble_host)


def run_on_platform(named: str | None, check: bool) -> int:
    """Run a host with the platform's settings file; return the exit code."""
    from ..platform.assembly import create_process
    from ..platform.settings import SettingsFileError, load, settings_path

    try:
        path = settings_path(named)
        settings = load(path)
    except (OSError, SettingsFileError) as error:
        print(f"reedhookd: {error}", file=sys.stderr)
        return DaemonExitCode.USAGE
    if check:
        print("The settings are fine.")
        return DaemonExitCode.DONE
    with logs("warning"):
        return serve_bare(settings, lambda _: create_process(path))


def serve(settings: HostSettings, assemble: Assemble) -> int:
    """Run a host as an aiomisc service until a stop signal; return the exit code."""
    from .service import run_service

    return run_with_exit_code(HostRun(settings, assemble), run_service)


def serve_bare(settings: HostSettings, assemble: Assemble) -> int:
    """Run a host without aiomisc until a stop signal; return the exit code.

    Importing aiomisc would take a large part of the startup time.
    """
    return run_with_exit_code(HostRun(settings, assemble), run_bare)


def run_bare(run: HostRun) -> None:
    """Run a host on a uvloop event loop until a stop signal arrives."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run.run())


def run_with_exit_code(run: HostRun, way: Callable[[HostRun], None]) -> int:
    """Run a host with the given runner; return the exit code."""
    forbid_io_uring()
    try:
        way(run)
    except (OSError, IoUringInUseError) as error:
        log.error("The host cannot start and exits: {}.", error)
        return DaemonExitCode.FAILED
    except Exception:
        log.exception("The host failed with an unexpected error and exits.")
        return DaemonExitCode.FAILED
    return run.exit_code
