"""HTTP client for the platform's host list."""

from aiohttp import (
    ClientError,
    ClientTimeout,
)
from yarl import URL

from ...connector import SingleStepConnector, create_client_session
from ...wire import WireError, decode
from .hostlist import (
    HostList,
    HostListEntry,
    HostListUnavailableError,
    ListedKind,
    ListedState,
)


class HttpHostList(HostList):
    """Read the host list served at `address` (``IP:port``)."""

    def __init__(self, address: str) -> None:
        self.url = URL(f"http://{address}/hosts")
        self.session = create_client_session(SingleStepConnector())

    async def hosts(self, timeout: float) -> list[HostListEntry]:
        limit = ClientTimeout(total=timeout)
        try:
            async with self.session.post(self.url, timeout=limit) as response:
                message = decode(await response.read())
            return [
                HostListEntry(host, zone, address, ListedState(state), ListedKind(kind))
                for host, zone, address, state, kind in message["hosts"]
            ]
        except (ClientError, OSError, TimeoutError, WireError) as error:
            raise HostListUnavailableError(f"request failed: {error!r}") from error
        except (KeyError, TypeError, ValueError) as error:
            raise HostListUnavailableError(f"malformed list: {error!r}") from error

    async def close(self) -> None:
        await self.session.close()
