"""HTTP client of the tool."""

from typing import Final

import aiohttp

from ...connector import SingleStepConnector
from ...wire import Json, WireError, decode, encode
from .command_access import Endpoint
from .command_error import CommandError, HostsUnreachableError, ToolExitCode

REQUEST_TIMEOUT_SECONDS: Final = 30.0
CONNECT_TIMEOUT_SECONDS: Final = 3.0
BAD_INPUT: Final = frozenset({400, 404, 413, 422})
CONFLICT: Final = 409
REDIRECTION: Final = 300
ADVICE: Final = {
    "unauthenticated": "check the credential",
    "no_configuration": "put one in force by config apply DIR --parent 0",
}
NOT_SENT: Final = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class RequestRefusedError(Exception):
    """Report that a host refused a request.

    :param status: the HTTP status.
    :param body: the typed refusal.
    """

    def __init__(self, status: int, body: Json) -> None:
        super().__init__(str(body.get("detail")))
        self.status = status
        self.body = body

    def error(self) -> CommandError:
        """Return the error to show to the user."""
        detail = str(self.body.get("detail"))
        reason = str(self.body.get("reason"))
        verdict = self.body.get("verdict")
        return CommandError(
            self.code(),
            f"{reason}: {detail} ({verdict})",
            advice_for(self.body),
        )

    def code(self) -> ToolExitCode:
        """Return the exit code."""
        if self.body.get("verdict") == "may have run":
            return ToolExitCode.IN_DOUBT
        if self.status == CONFLICT:
            return ToolExitCode.CONFLICT
        return ToolExitCode.USAGE if self.status in BAD_INPUT else ToolExitCode.REFUSED


def advice_for(body: Json) -> str:
    """Return advice on a refusal; may be empty."""
    advice = ADVICE.get(str(body.get("reason")))
    if advice is not None:
        return advice
    retry_ms = body.get("retry_after_ms")
    return "" if retry_ms is None else f"try again after {retry_ms} ms"


class Client:
    """Send requests to the first host that responds.

    A request may reach more than one host, so it must be safe to repeat: edits
    and writes carry an id.
    """

    __slots__ = ("endpoint", "session")

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        tls = self.endpoint.tls
        self.session = aiohttp.ClientSession(
            connector=SingleStepConnector(ssl=True if tls is None else tls),
            headers={"Authorization": f"Bearer {self.endpoint.credential}"},
            timeout=aiohttp.ClientTimeout(
                REQUEST_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
        )
        return self

    async def __aexit__(self, *exception: object) -> None:
        if self.session is not None:
            await self.session.close()

    async def get(self, path: str, **query: str | int | None) -> Json:
        """Send a GET request; parameters that are None are left out.

        :raises RequestRefusedError: if the host refused the request.
        :raises HostsUnreachableError: if no host responded.
        """
        params = {
            name: str(value) for name, value in query.items() if value is not None
        }
        return await self.ask("GET", path, params, None)

    async def post(self, path: str, body: Json) -> Json:
        """Send a POST request; raises the errors of `get`."""
        return await self.ask("POST", path, {}, encode(body))

    async def ask(
        self, method: str, path: str, params: dict[str, str], data: bytes | None
    ) -> Json:
        """Try one host after the other until one responds."""
        failures: list[str] = []
        sent = False
        for address in self.endpoint.addresses:
            url = f"{self.endpoint.scheme}://{address}{path}"
            try:
                return await self.exchange(method, url, params, data)
            except NOT_SENT as error:
                failures.append(f"{address}: {cause_of(error)}")
            except (aiohttp.ClientError, OSError, WireError) as error:
                sent = True
                failures.append(f"{address}: {cause_of(error)}")
        raise HostsUnreachableError("no host answers: " + "; ".join(failures), sent)

    async def exchange(
        self, method: str, url: str, params: dict[str, str], data: bytes | None
    ) -> Json:
        """Send a request to one host."""
        assert self.session is not None
        async with self.session.request(
            method, url, params=params, data=data, allow_redirects=False
        ) as response:
            body = decode(await response.read())
            if response.status >= REDIRECTION:
                raise RequestRefusedError(response.status, body)
            return body


def cause_of(error: Exception) -> str:
    """Return why a host did not respond, as text."""
    if isinstance(error, aiohttp.ClientConnectorError):
        return str(error.os_error.strerror or error.os_error)
    return str(error) or type(error).__name__
