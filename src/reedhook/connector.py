"""Connector of the HTTP clients of the process."""

import asyncio
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
)
from aiohttp.client_proto import ResponseHandler


class SingleStepConnector(TCPConnector):
    """Open connections to IP addresses in one step.

    aiohttp first connects a socket and then hands it to the loop. If a timeout
    cancels the second step, uvloop 0.22.1 and the socket object both close the
    descriptor, which aborts the process or closes an unrelated connection.
    `loop.create_connection` connects in a single step.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(use_dns_cache=False, **options)

    async def _wrap_create_connection(  # type: ignore[override]
        self,
        factory: Any,
        addr_infos: list[Any],
        req: Any,
        timeout: ClientTimeout,
        client_error: type[ClientConnectorError] = ClientConnectorError,
        **options: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        """Connect to the single address of an IP host.

        :raises ClientConnectorError: if the connection cannot be opened.
        """
        host, port = addr_infos[0][4][:2]
        loop = asyncio.get_running_loop()
        opened: tuple[asyncio.Transport, ResponseHandler]
        try:
            async with asyncio.timeout(timeout.sock_connect):
                opened = await loop.create_connection(factory, host, port, **options)
                return opened
        except TimeoutError:
            raise
        except OSError as error:
            raise client_error(req.connection_key, error) from error


def create_client_session(connector: SingleStepConnector) -> ClientSession:
    """Return a client that ignores cookies and proxy settings of the environment."""
    return ClientSession(
        connector=connector, cookie_jar=DummyCookieJar(), trust_env=False
    )
