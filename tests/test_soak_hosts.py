"""The host processes of the soak test under overlapping start and end faults."""

import asyncio
import signal
from pathlib import Path

import pytest

from reedhook_standins.soak.hosts import SoakHostProcess


class Process:
    """Imitate a subprocess."""

    def __init__(self) -> None:
        self.returncode: int | None = None
        self.over = asyncio.Event()
        self.signals: list[int] = []

    def send_signal(self, number: int) -> None:
        """Record a signal; exit on SIGKILL."""
        self.signals.append(number)
        if number == signal.SIGKILL:
            self.finish(-number)

    def kill(self) -> None:
        """Exit as killed."""
        self.send_signal(signal.SIGKILL)

    def finish(self, code: int) -> None:
        """Exit with a code."""
        self.returncode = code
        self.over.set()

    async def wait(self) -> int | None:
        """Wait for the exit."""
        await self.over.wait()
        return self.returncode


class Launches:
    """Create processes once ``ready`` is set."""

    def __init__(self) -> None:
        self.ready = asyncio.Event()
        self.processes: list[Process] = []

    async def launch(self, *words: str, **options: object) -> Process:
        """Return a new process after ``ready`` is set."""
        await self.ready.wait()
        self.processes.append(Process())
        return self.processes[-1]


def host(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> tuple[SoakHostProcess, Launches]:
    """Return a host whose processes are fakes."""
    launches = Launches()
    monkeypatch.setattr(asyncio, "create_subprocess_exec", launches.launch)
    process_host = SoakHostProcess(
        0, "h0", "z0", tmp_path, "127.0.0.1:1", "127.0.0.1:2"
    )
    process_host.log_file.touch()
    return process_host, launches


async def started(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> tuple[SoakHostProcess, Launches]:
    """Return a host whose first process runs."""
    process_host, launches = host(tmp_path, monkeypatch)
    launches.ready.set()
    await process_host.start()
    return process_host, launches


async def settled() -> None:
    """Let all tasks run until they wait."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_killed_process_is_not_reported_as_unexpected_exit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        process_host, launches = await started(tmp_path, monkeypatch)
        await process_host.kill()
        launches.ready.clear()
        restart = asyncio.ensure_future(process_host.start())
        await settled()
        assert process_host.ended_by_itself() == ""
        launches.ready.set()
        await restart
        assert process_host.ended_by_itself() == ""

    asyncio.run(scenario())


def test_unexpected_exit_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        process_host, launches = await started(tmp_path, monkeypatch)
        launches.processes[0].finish(1)
        assert process_host.ended_by_itself().startswith(
            "h0 exited unexpectedly with 1"
        )

    asyncio.run(scenario())


def test_concurrent_starts_launch_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        process_host, launches = host(tmp_path, monkeypatch)
        first = asyncio.ensure_future(process_host.start())
        second = asyncio.ensure_future(process_host.start())
        await settled()
        launches.ready.set()
        await asyncio.gather(first, second)
        assert len(launches.processes) == 1

    asyncio.run(scenario())


def test_delayed_kill_spares_the_next_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr("reedhook_standins.soak.hosts.GRACE", 0.0)
        process_host, launches = await started(tmp_path, monkeypatch)
        ending = asyncio.ensure_future(process_host.end())
        await asyncio.sleep(0)
        launches.processes[0].finish(0)
        await process_host.start()
        await ending
        assert launches.processes[1].returncode is None
        assert process_host.running

    asyncio.run(scenario())


def test_start_waits_for_graceful_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        process_host, launches = await started(tmp_path, monkeypatch)
        ending = asyncio.ensure_future(process_host.end())
        await settled()
        starting = asyncio.ensure_future(process_host.start())
        await settled()
        launches.processes[0].finish(0)
        await asyncio.gather(ending, starting)
        assert process_host.ended_by_itself() == ""
        assert len(launches.processes) == 2
        assert process_host.running

    asyncio.run(scenario())
