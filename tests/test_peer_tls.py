"""TLS between hosts: mutual authentication, and reload with open connections."""

import asyncio
import ssl
from pathlib import Path

import pytest
import trustme

from reedhook.clock import SystemClock
from reedhook.peer import HostRef, PeerError, PeerRoutes
from reedhook.process.events.timeline import Timeline
from reedhook.process.network.peer_http import HttpPeers
from reedhook.process.network.peer_server import PeerEndpoint, PeerServer
from reedhook.process.network.tls import TlsContexts
from reedhook.process.settings import TlsSettings
from reedhook.wire import Json

from .support import on_loop

SECRET = "a credential of the hosts"


def issue(authority: trustme.CA, folder: Path, address: str = "127.0.0.1") -> None:
    """Write a new certificate issued by `authority` with its key."""
    certificate = authority.issue_cert(address)
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    chain = b"".join(blob.bytes() for blob in certificate.cert_chain_pems)
    (folder / "cert.pem").write_bytes(chain)
    authority.cert_pem.write_to_path(folder / "ca.pem")


def settings_in(folder: Path) -> TlsSettings:
    """Return the settings that name the files of `folder`."""
    return TlsSettings(folder / "cert.pem", folder / "key.pem", folder / "ca.pem")


class HostPair:
    """Run a peer server and a client that calls it."""

    def __init__(self, served: TlsContexts, client: ssl.SSLContext | None) -> None:
        clock = SystemClock()
        timeline = Timeline("there", clock)
        routes = PeerRoutes()
        routes.add("echo", self.echo)
        routes.add("slow", self.slow)
        endpoint = PeerEndpoint(routes, SECRET, timeline)
        self.server = PeerServer(endpoint, "127.0.0.1:0", served.peers, 0.1)
        me = HostRef("here", "vittoria", "127.0.0.1:1")
        self.peers = HttpPeers(me, SECRET, Timeline("here", clock), clock, client)

    async def echo(self, body: Json) -> Json:
        return body

    async def slow(self, body: Json) -> Json:
        await asyncio.sleep(0.2)
        return body

    async def call(self, path: str = "echo") -> Json:
        ref = HostRef("there", "comiso", self.server.address)
        return await self.peers.call(ref, path, {"n": 1}, 2.0)

    async def __aenter__(self) -> "HostPair":
        await self.server.start()
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.peers.close()
        await self.server.stop()


@on_loop
async def test_hosts_with_certificates_of_one_authority_can_connect(
    tmp_path: Path,
) -> None:
    issue(trustme.CA(), tmp_path)
    contexts = TlsContexts(settings_in(tmp_path))
    async with HostPair(contexts, contexts.client) as pair:
        assert await pair.call() == {"n": 1}


@pytest.mark.parametrize("shown", ["none", "other authority", "plain"])
@on_loop
async def test_client_without_certificate_of_the_authority_is_refused(
    tmp_path: Path, shown: str
) -> None:
    authority = trustme.CA()
    issue(authority, tmp_path)
    client: ssl.SSLContext | None = None
    if shown != "plain":
        client = ssl.create_default_context(cafile=str(tmp_path / "ca.pem"))
    if client is not None and shown == "other authority":
        trustme.CA().issue_cert("127.0.0.1").configure_cert(client)
    async with HostPair(TlsContexts(settings_in(tmp_path)), client) as pair:
        with pytest.raises(PeerError):
            await pair.call()


@on_loop
async def test_server_certificate_for_another_address_is_rejected(
    tmp_path: Path,
) -> None:
    issue(trustme.CA(), tmp_path, "127.0.0.2")
    contexts = TlsContexts(settings_in(tmp_path))
    async with HostPair(contexts, contexts.client) as pair:
        with pytest.raises(PeerError) as failed:
            await pair.call()
        assert not failed.value.sent


@on_loop
async def test_reload_keeps_connections_and_serves_the_new_certificate(
    tmp_path: Path,
) -> None:
    authority = trustme.CA()
    issue(authority, tmp_path)
    contexts = TlsContexts(settings_in(tmp_path))
    assert not contexts.reload()
    async with HostPair(contexts, contexts.client) as pair:
        await pair.call()
        link = pair.peers.channel_pools[pair.server.address]
        call = asyncio.create_task(pair.call("slow"))
        await asyncio.sleep(0.05)
        former_certificate = await served_certificate(pair.server.address)
        issue(authority, tmp_path)
        assert contexts.reload()
        assert await call == {"n": 1}
        assert await pair.call() == {"n": 1}
        assert pair.peers.channel_pools[pair.server.address] is link
        assert await served_certificate(pair.server.address) != former_certificate


async def served_certificate(address: str) -> bytes:
    """Return the certificate that a server presents on a new connection."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    host, port = address.rsplit(":", 1)
    _, writer = await asyncio.open_connection(host, int(port), ssl=context)
    shown: bytes = writer.get_extra_info("ssl_object").getpeercert(True)
    writer.close()
    return shown


@pytest.mark.parametrize("name", ["cert.pem", "key.pem", "ca.pem"])
@on_loop
async def test_invalid_file_leaves_the_contexts_unchanged(
    tmp_path: Path, name: str
) -> None:
    issue(trustme.CA(), tmp_path)
    contexts = TlsContexts(settings_in(tmp_path))
    async with HostPair(contexts, contexts.client) as pair:
        (tmp_path / name).write_text("not a certificate")
        assert not contexts.reload()
        assert await pair.call() == {"n": 1}
        (tmp_path / name).unlink()
        assert not contexts.reload()
        assert await pair.call() == {"n": 1}
