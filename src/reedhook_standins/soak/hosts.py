"""The hosts of the soak test, each a process of the real program."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Final

from reedhook.process.start import ignore_reloads

from .proxy import Proxy, ProxyLink

NETWORK: Final = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}."
FIRST_NUMBER: Final = 10
"""Each host has its own loopback address, so that no proxy and no other soak that runs
at the same time takes one of its ports."""

GRACE: Final = 6.0
"""Seconds from SIGTERM until a host is killed."""

PORTS: Final = 4
"""Ports of a host: callers, readiness, other hosts, metrics."""

TAIL: Final = 2000
"""Bytes of the log shown for a host that exited unexpectedly."""


class SoakHostProcess:
    """Start, disturb and end one host.

    Faults overlap: several may start and end one host at the same time, so each method
    acts on the process that it found and leaves a later one alone.

    :param store: ``IP:port`` of the store.
    :param promotions: ``IP:port`` of the promotion endpoint.
    :ivar process: the last process that was started.
    :ivar told: the process that was last told to end; its exit is expected.
    :ivar terminated_at: when a process was last told to end gracefully, by the loop.
    """

    def __init__(
        self,
        index: int,
        name: str,
        zone: str,
        folder: Path,
        store: str,
        promotions: str,
    ) -> None:
        self.ip = f"{NETWORK}{FIRST_NUMBER + index}"
        self.name = name
        self.zone = zone
        self.folder = folder
        ports = free_ports(self.ip, PORTS)
        self.callers, self.ready, self.peers, self.metrics = sorted(ports)
        self.store = Proxy(store, ProxyLink())
        self.promotions = Proxy(promotions, ProxyLink())
        self.front = Proxy(f"{self.ip}:{self.callers}", ProxyLink())
        self.process: asyncio.subprocess.Process | None = None
        self.starting = asyncio.Lock()
        self.told: asyncio.subprocess.Process | None = None
        self.terminated_at = float("-inf")

    @property
    def proxies(self) -> list[Proxy]:
        """Return the proxies of this host."""
        return [self.store, self.promotions, self.front]

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def prepare(self) -> None:
        """Start the proxies and write the settings."""
        for proxy in self.proxies:
            await proxy.start()
        self.settings_file.write_text(self.settings())

    @property
    def settings_file(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.name}.settings"

    @property
    def log_file(self) -> Path:
        """Return the path of the process's output."""
        return self.folder / f"{self.name}.log"

    def settings(self) -> str:
        """Return the settings in the platform's format."""
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen.front": f"{self.ip}:{self.callers}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "internal_ports": f"{self.peers},{self.metrics}",
            "platform.address": self.store.address,
            "cloud.address": self.promotions.address,
            "bounds.grace_s": str(GRACE),
        }
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    async def start(self) -> None:
        """Start the process, as a new incarnation if it ran before."""
        if self.told is not None:
            await self.told.wait()
        async with self.starting:
            if not self.running:
                self.process = await self.launch()

    async def launch(self) -> asyncio.subprocess.Process:
        """Start a new process of the program."""
        environment = {**os.environ, "REEDHOOK_SETTINGS": str(self.settings_file)}
        # A new process cannot handle signals before its first line runs, but inherits
        # the signals that its parent ignores.
        with self.log_file.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "reedhook.process.start",
                "--platform",
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=ignore_reloads,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        if process := await self.ending():
            await killed(process)

    async def end(self) -> None:
        """Terminate the process gracefully, or kill it after a time limit."""
        process = await self.ending()
        if process is None:
            return
        self.terminated_at = asyncio.get_running_loop().time()
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE):
                await process.wait()
        except TimeoutError:
            # A paused process cannot end in time.
            await killed(process)

    async def ending(self) -> asyncio.subprocess.Process | None:
        """Return the process, recorded as told to end."""
        async with self.starting:
            self.told = self.process
        return self.process

    def pause(self) -> None:
        """Pause the process."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.send(signal.SIGCONT)

    def ended_by_itself(self) -> str:
        """Return the end of the log if the process exited unexpectedly, or nothing."""
        if self.process is None or self.running or self.process is self.told:
            return ""
        log_tail = self.log_file.read_bytes()[-TAIL:].decode(errors="replace")
        return (
            f"{self.name} exited unexpectedly with "
            f"{self.process.returncode}: {log_tail}"
        )


async def killed(process: asyncio.subprocess.Process) -> None:
    """Kill a process, if it still runs."""
    if process.returncode is None:
        process.kill()
    await process.wait()


def free_ports(ip: str, count: int) -> list[int]:
    """Return unused ports."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
