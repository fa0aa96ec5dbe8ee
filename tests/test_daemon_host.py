"""Real host with its three servers, assembled as the daemon does."""

import asyncio
from pathlib import Path
from random import Random

import pytest
import trustme

from reedhook.clock import SystemClock
from reedhook.metrics import MemoryMetrics
from reedhook.process.assembly import assemble
from reedhook.process.lifecycle import HostDaemon
from reedhook.process.settings import Settings, TlsSettings
from reedhook.process.tool.command_access import Endpoint, create_tls_context
from reedhook.process.tool.command_client import Client
from reedhook.process.tool.command_error import HostsUnreachableError

from .admin_fakes import CREDENTIAL, DIGESTS
from .support import on_loop

NOWHERE = "127.0.0.1:1"


def settings(tls: TlsSettings | None = None) -> Settings:
    """Return settings of a host whose platform is unreachable and that has no peers."""
    here = "127.0.0.1:0"
    return Settings(
        host="vittoria-1",
        zone="vittoria",
        listen=here,
        peer_listen=here,
        admin_listen=here,
        store=NOWHERE,
        hostlist=NOWHERE,
        peer_credential="peers-peers-peers",
        token_secret="tokens-tokens-tokens",
        admins=DIGESTS,
        tls=tls,
    )


def assemble_process(given: Settings) -> HostDaemon:
    """Return the process of a host."""
    return assemble(given, SystemClock(), Random(1), MemoryMetrics())


@on_loop
async def test_host_starts_answers_and_stops_without_platform() -> None:
    process = assemble_process(settings())
    await process.start()
    endpoint = Endpoint((process.admin_server.address,), CREDENTIAL)
    async with Client(endpoint) as client:
        assert (await client.get("/admin/status"))["state"] == "serving"
    await process.stop()
    remaining_tasks = [
        one for one in asyncio.all_tasks() if one is not asyncio.current_task()
    ]
    assert remaining_tasks == []


@on_loop
async def test_plain_connections_are_refused_with_tls(tmp_path: Path) -> None:
    authority = trustme.CA()
    pair = authority.issue_cert("127.0.0.1").private_key_and_cert_chain_pem
    authority.cert_pem.write_to_path(str(tmp_path / "ca"))
    pair.write_to_path(str(tmp_path / "pair"))
    files = TlsSettings(tmp_path / "pair", tmp_path / "pair", tmp_path / "ca")
    process = assemble_process(settings(files))
    await process.start()
    here = (process.admin_server.address,)
    async with Client(
        Endpoint(here, CREDENTIAL, create_tls_context(str(tmp_path / "ca")))
    ) as client:
        assert (await client.get("/admin/status"))["host"] == "vittoria-1"
    async with Client(Endpoint(here, CREDENTIAL)) as client:
        with pytest.raises(HostsUnreachableError):
            await client.get("/admin/status")
    await process.stop()
