"""Daemon: command line, signals and exit codes."""

import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
import yaml

from reedhook.process.daemon import main, serve
from reedhook.process.lifecycle import HostDaemon
from reedhook.process.settings import Settings, parse_settings

from .daemon_fakes import Counted, FakeHost, a_process
from .test_settings import document


def settings() -> Settings:
    """Return valid settings."""
    return parse_settings(yaml.safe_dump(document()), Path("."))


class SignallingHost(FakeHost):
    """Send the process a signal during or after the start, or during the drain."""

    def __init__(self, number: int, early: bool, again: bool = False) -> None:
        super().__init__()
        self.number = number
        self.early = early
        self.again = again

    async def start(self) -> None:
        if self.early:
            self.started.clear()
        os.kill(os.getpid(), self.number)
        await super().start()

    async def drain(self) -> None:
        if self.again:
            os.kill(os.getpid(), self.number)
        await super().drain()


def assembler_for(
    host: FakeHost, shutdown_seconds: float = 10
) -> Callable[[Settings], HostDaemon]:
    """Return a function that assembles a process around `host`."""
    return lambda settings: a_process(host, Counted().app(), shutdown_seconds)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_starts_graceful_shutdown(number: int) -> None:
    host = SignallingHost(number, early=False)
    assert serve(settings(), assembler_for(host)) == 0
    assert host.steps == ["start", "started", "drain", "drained", "close"]


def test_second_signal_does_not_abort_the_shutdown() -> None:
    host = SignallingHost(signal.SIGTERM, early=False, again=True)
    assert serve(settings(), assembler_for(host)) == 0
    assert host.steps[-2:] == ["drained", "close"]


def test_stop_signal_during_start_ends_the_process() -> None:
    host = SignallingHost(signal.SIGTERM, early=True)
    assert serve(settings(), assembler_for(host)) == 0
    assert "started" not in host.steps
    assert host.steps[-1] == "close"


def test_shutdown_timeout_has_its_own_exit_code() -> None:
    host = SignallingHost(signal.SIGTERM, early=False)
    host.drained.clear()
    assert serve(settings(), assembler_for(host, shutdown_seconds=0.2)) == 3


def test_address_in_use_fails_the_start(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]

        def assemble(given: Settings) -> HostDaemon:
            process = a_process(FakeHost(), Counted().app(), 10)
            process.caller_server.address = f"127.0.0.1:{port}"
            return process

        assert serve(settings(), assemble) == 1


def test_invalid_settings_are_printed_one_per_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "host.yaml"
    file.write_text(yaml.safe_dump(document() | {"zone": 4, "listen": "here"}))
    assert main(["--settings", str(file)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.split(":")[1].strip() for line in lines] == ["listen", "zone"]


def test_check_validates_settings_without_starting(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "host.yaml"
    file.write_text(yaml.safe_dump(document()))
    assert main(["--settings", str(file), "--check"]) == 0
    assert capsys.readouterr().out == "The settings are fine.\n"


def test_wrong_command_line_has_its_own_exit_code(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["--setings", "x"]) == 2
    assert "Usage:" in capsys.readouterr().err
