"""A whole deployment whose listeners all use TLS."""

import ssl
from pathlib import Path

import aiohttp
import pytest
import trustme

from reedhook.process.settings import Settings, TlsSettings
from reedhook_standins.deployment import Deployment, credential
from reedhook_standins.world import OPERATOR_CREDENTIAL, World

from .support import on_loop
from .test_peer_tls import issue, settings_in


class TlsWorld(World):
    """Give all hosts certificates."""

    tls: TlsSettings

    def make_settings(self) -> dict[str, Settings]:
        """Return settings with the certificate files."""
        made = super().make_settings()
        for host_settings in made.values():
            host_settings.tls = self.tls
        return made


def bearer(text: str) -> dict[str, str]:
    """Return the header that carries a credential."""
    return {"Authorization": f"Bearer {text}"}


@on_loop
async def test_all_listeners_require_tls(tmp_path: Path) -> None:
    authority = trustme.CA()
    issue(authority, tmp_path)
    world = TlsWorld(Deployment("danube"), hosts=3)
    world.tls = settings_in(tmp_path)
    client_context = ssl.create_default_context()
    authority.configure_trust(client_context)
    async with world, aiohttp.ClientSession() as http:
        settings = next(iter(world.settings.values()))
        group = next(iter(world.platform.groups))
        body = {"group": group, "sql": "SELECT 1", "consistency": "fresh"}
        url = f"//{settings.listen}/v1/read"
        desk = bearer(credential("desk"))
        async with http.post(
            f"https:{url}", json=body, headers=desk, ssl=client_context
        ) as response:
            assert (await response.json())["rows"] == [[1]]
        operator = bearer(OPERATOR_CREDENTIAL)
        status = f"https://{settings.admin_listen}/admin/config/status"
        async with http.get(status, headers=operator, ssl=client_context) as response:
            message = await response.json()
            assert len(message["hosts"]) == 3
        with pytest.raises(aiohttp.ClientError):
            await http.post(f"http:{url}", json=body, headers=desk)
        peer = f"https://{settings.peer_listen}/peer/status"
        # Peers must present a certificate of the same authority.
        with pytest.raises(aiohttp.ClientError):
            async with http.post(peer, json={}, ssl=client_context) as response:
                await response.read()
