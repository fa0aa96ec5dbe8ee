"""What callers' connections cost a host: memory at rest, time to open one.

The callers are in a process of their own. Each opens a connection and sends
one statement that is refused for its credential, so that what is measured is
the connection and not a target.
"""

import asyncio
import ssl
import time
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

import trustme

from reedhook.process.settings import TlsSettings
from reedhook.wire import Json
from reedhook_standins.world import free_addresses
from tests.test_peer_tls import issue, settings_in

from .capacity_idle import HOSTS, LISTENERS, ask, enter, serve_host, serve_platform
from .rig import RoleProcess

STEPS: Final = (500, 1000, 2000)
AT_ONCE: Final = 50
SETTLE_S: Final = 2.0
MICROSECONDS: Final = 1e6
REQUEST: Final = (
    b"POST /v1/read HTTP/1.1\r\nHost: reedhook\r\n"
    b"Authorization: Bearer unknown\r\nContent-Type: application/json\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)
# The connections of the callers' process, which nothing else refers to.
KEPT: Final[list[asyncio.StreamWriter]] = []


def measure() -> Json:
    """Measure the connections of callers, plain and with TLS."""
    return {
        "plain": asyncio.run(measure_connections(False)),
        "tls": asyncio.run(measure_connections(True)),
    }


async def measure_connections(encrypted: bool) -> Json:
    """Open connections step by step to one host."""
    with ExitStack() as stack:
        tls = None
        if encrypted:
            folder = Path(stack.enter_context(TemporaryDirectory()))
            issue(trustme.CA(), folder)
            tls = settings_in(folder)
        platform = await enter(stack, RoleProcess("platform", serve_platform, 1, 1))
        addresses = free_addresses(LISTENERS * HOSTS)
        host = await enter(
            stack,
            RoleProcess("host", serve_host, platform.facts, 0, addresses, False, tls),
        )
        await asyncio.sleep(SETTLE_S)
        rows = [await row(host, 0, {"seconds": 0.0}, 0.0)]
        done = 0
        for step in STEPS:
            before = host.processor_time()
            callers = await enter(
                stack,
                RoleProcess(
                    "callers", open_connections, addresses[0], step - done, tls
                ),
            )
            spent = host.processor_time() - before
            await asyncio.sleep(SETTLE_S)
            rows.append(await row(host, step, callers.facts, spent / (step - done)))
            done = step
        return {"steps": rows, "each_kib": each_kib(rows)}


async def row(host: RoleProcess, number: int, opened: Json, spent: float) -> Json:
    """Return what the host takes with so many connections."""
    facts = await ask(host)
    return {
        "connections": number,
        "rss_kib": facts["rss_kib"],
        "opened_in_s": round(opened["seconds"], 3),
        "processor_us_each": round(spent * MICROSECONDS),
    }


def each_kib(rows: list[Json]) -> float:
    """Return the memory of one connection from the first step to the last."""
    first, last = rows[0], rows[-1]
    grown = last["rss_kib"] - first["rss_kib"]
    each: float = grown / last["connections"]
    return round(each, 2)


async def open_connections(address: str, number: int, tls: TlsSettings | None) -> Json:
    """Open connections and keep them; return how long that took."""
    context = None if tls is None else ssl.create_default_context(cafile=tls.ca)
    room = asyncio.Semaphore(AT_ONCE)
    began = time.perf_counter()
    await asyncio.gather(*(open_one(address, room, context) for _ in range(number)))
    return {"seconds": time.perf_counter() - began}


async def open_one(
    address: str, room: asyncio.Semaphore, context: ssl.SSLContext | None
) -> None:
    """Open one connection and send one statement on it."""
    host, _, port = address.rpartition(":")
    async with room:
        reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        status = head.splitlines()[0]
        if b" 401 " not in status:
            raise ConnectionError(f"not refused as expected: {status!r}")
        KEPT.append(writer)
