"""Reload signals sent to the real program while it starts or stops.

They guard against the default action of SIGHUP, which kills the process.
"""

import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

import pytest

from reedhook.process.start import ignore_reloads
from reedhook_standins.soak.hosts import PORTS, free_ports

HERE: Final = "127.0.0.1"
NOWHERE: Final = "127.0.0.1:1"
ROOT: Final = Path(__file__).parent.parent

REPETITIONS: Final = 5
START_TIMEOUT_SECONDS: Final = 60.0

LOADED_LIBRARY: Final = "uvloop"
"""Library that is mapped into the process once the program loads its modules."""

COMMANDS: Final = [
    ["-m", "reedhook.process.start", "--platform"],
    [str(ROOT / "deploy" / "reedhookd.py"), "--platform"],
]


def settings() -> str:
    """Return the settings of a host whose platform is unreachable."""
    callers, ready, peers, metrics = sorted(free_ports(HERE, PORTS))
    fields = {
        "node_name": "h1",
        "zone": "z1",
        "ip": HERE,
        "listen.front": f"{HERE}:{callers}",
        "listen.ready": f"{HERE}:{ready}",
        "internal_ports": f"{peers},{metrics}",
        "platform.address": NOWHERE,
        "cloud.address": NOWHERE,
        "bounds.grace_s": "6",
    }
    return "".join(f"{name}={value}\n" for name, value in fields.items())


@contextmanager
def launch(
    command: list[str], folder: Path, preexec: Callable[[], object] | None = None
) -> Iterator[subprocess.Popen[bytes]]:
    """Run the program; its output goes to the file ``log``.

    :param preexec: called in the new process before the program is executed.
    """
    path = folder / "settings"
    path.write_text(settings())
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, *command, "--settings", str(path)],
            stdout=log,
            stderr=log,
            preexec_fn=preexec,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def handles_reload(process: subprocess.Popen[bytes]) -> bool:
    """Return whether the process ignores or handles the reload signal."""
    bit = 1 << (signal.SIGHUP - 1)
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(("SigIgn:", "SigCgt:")) and int(line[8:], 16) & bit:
            return True
    return False


def has_loaded_libraries(process: subprocess.Popen[bytes]) -> bool:
    """Return whether the program has started to load its modules."""
    return LOADED_LIBRARY in Path(f"/proc/{process.pid}/maps").read_text()


def await_event(
    event: bytes,
    process: subprocess.Popen[bytes],
    folder: Path,
    deadline: float,
    repeated_signal: signal.Signals | None = None,
) -> None:
    """Wait until the program logs an event.

    :param repeated_signal: sent to the program every millisecond meanwhile.
    """
    while b'"' + event + b'"' not in (folder / "log").read_bytes():
        if repeated_signal is not None:
            process.send_signal(repeated_signal)
        assert process.poll() is None, (folder / "log").read_bytes()
        assert time.monotonic() < deadline
        time.sleep(0.001)


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize("number", range(REPETITIONS))
def test_reload_does_not_kill_a_starting_host(
    command: list[str], number: int, tmp_path: Path
) -> None:
    with launch(command, tmp_path) as process:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not handles_reload(process):
            assert process.poll() is None
            assert not has_loaded_libraries(
                process
            ), "the reload would end a host that loads"
            assert time.monotonic() < deadline
        await_event(b"start", process, tmp_path, deadline, signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        await_event(b"reload", process, tmp_path, deadline)


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize("number", range(REPETITIONS))
def test_reload_does_not_kill_a_host_that_inherits_an_ignored_signal(
    command: list[str], number: int, tmp_path: Path
) -> None:
    with launch(command, tmp_path, ignore_reloads) as process:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        await_event(b"reload", process, tmp_path, deadline, signal.SIGHUP)


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize("number", range(REPETITIONS))
def test_reload_does_not_kill_a_stopping_host(
    command: list[str], number: int, tmp_path: Path
) -> None:
    with launch(command, tmp_path) as process:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        await_event(b"start", process, tmp_path, deadline)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(signal.SIGHUP)
            assert time.monotonic() < deadline
            time.sleep(0.0002)
        assert process.returncode == 0, (tmp_path / "log").read_bytes()
