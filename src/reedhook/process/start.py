"""Entry point of the daemon; ignores reload signals before loading the program."""

import signal
import sys


def main() -> int:
    """Run the daemon; return its exit code.

    The default action of a reload signal would kill the process before its handler
    is installed, and again during interpreter shutdown, when handlers are removed.
    Ignoring it loses no change: settings are read later, and a change after that
    is detected by the stamp of their file.
    """
    ignore_reloads()
    # Imported late: a reload signal may arrive while the program is loaded.
    from .daemon import main as run

    try:
        return run()
    finally:
        ignore_reloads()


def ignore_reloads() -> None:
    """Ignore the reload signal; child processes inherit this."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


if __name__ == "__main__":
    sys.exit(main())
