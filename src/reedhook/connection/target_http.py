"""Targets over HTTP and JSON, with one TCP connection per target connection."""

import asyncio
from typing import Any, Final

import orjson

from ..request.position import Position
from ..wire import Json, WireError, decode, encode
from .channel import (
    Channel,
    ChannelClosedError,
    ChannelResponse,
    ResponseIncompleteError,
    open_channel,
)
from .target import (
    MemberState,
    Role,
    Target,
    TargetConnection,
    TargetFactory,
    TargetFullError,
    TargetNoReplyError,
    TargetRefusedError,
    TargetResult as Result,
    TargetUnreachableError,
)

LONG_POLL_MARGIN_SECONDS: Final = 1.0
# The target times out a little earlier than this side, so that its refusal, which
# proves that nothing ran, arrives in time.
TARGET_TIMEOUT_FRACTION: Final = 0.9
CODE_FULL: Final = "full"
STATUS_OK: Final = 200
STATUS_ERROR: Final = 500


class HttpTargetFactory(TargetFactory):
    """Create targets that are reached over HTTP.

    :param client: the name of this host in the ``hello`` request.
    """

    def __init__(self, client: str = "") -> None:
        self.client = client

    def target(self, member: str, address: str) -> "HttpTarget":
        return HttpTarget(address, self.client)


class HttpTarget(Target):
    """Open connections to the target at `address`."""

    def __init__(self, address: str, client: str) -> None:
        self.address = address
        self.client = client

    async def connect(self, timeout: float) -> "HttpTargetConnection":
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        try:
            channel = await open_channel(self.address, timeout)
        except ChannelClosedError as error:
            raise TargetUnreachableError(str(error)) from error
        connection = HttpTargetConnection(channel)
        try:
            await connection.request(
                "hello", {"client": self.client}, deadline - loop.time()
            )
        except TargetRefusedError as error:
            channel.close()
            if error.code == CODE_FULL:
                raise TargetFullError(error.detail) from error
            raise TargetUnreachableError(error.detail) from error
        except TargetNoReplyError as error:
            raise TargetUnreachableError(f"no reply to hello: {error}") from error
        return connection


class HttpTargetConnection(TargetConnection):
    """Run one exchange at a time on one TCP connection."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel

    async def read(self, sql: str, params: list[Any], timeout: float) -> Result:
        return result(
            await self.request("read", sql_json(sql, params, timeout), timeout)
        )

    async def write(
        self, sql: str, params: list[Any], request_id: str | None, timeout: float
    ) -> Result:
        body = sql_json(sql, params, timeout)
        body["request_id"] = request_id
        return result(await self.request("write", body, timeout))

    async def begin(self, request_id: str | None, timeout: float) -> Result:
        body: Json = {
            "request_id": request_id,
            "timeout": timeout * TARGET_TIMEOUT_FRACTION,
        }
        return result(await self.request("begin", body, timeout))

    async def step(self, sql: str, params: list[Any], timeout: float) -> Result:
        return result(
            await self.request("step", sql_json(sql, params, timeout), timeout)
        )

    async def commit(self, timeout: float) -> Result:
        return result(
            await self.request(
                "commit", {"timeout": timeout * TARGET_TIMEOUT_FRACTION}, timeout
            )
        )

    async def rollback(self, timeout: float) -> None:
        await self.request("rollback", {}, timeout)

    async def state(self, timeout: float) -> MemberState:
        return await self.request_state("state", {}, timeout)

    async def wait_state(self, revision: int, hold: float) -> MemberState:
        body: Json = {"revision": revision, "hold": hold}
        return await self.request_state(
            "wait_state", body, hold + LONG_POLL_MARGIN_SECONDS
        )

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        body: Json = {"term": term, "owner": owner}
        return await self.request_state("raise_term", body, timeout)

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        body: Json = {"term": term, "owner": owner}
        return await self.request_state("promote", body, timeout)

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        body: Json = {"term": term, "primary": primary}
        return await self.request_state("follow", body, timeout)

    async def close(self) -> None:
        self.channel.close()

    async def request_state(self, path: str, body: Json, timeout: float) -> MemberState:
        """Send a request whose response is the member's state."""
        message = await self.request(path, body, timeout)
        try:
            return MemberState.from_json(message)
        except (KeyError, TypeError, ValueError) as error:
            raise TargetNoReplyError(f"malformed state: {error!r}") from error

    async def request(self, path: str, body: Json, timeout: float) -> Json:
        """Send `body` and return the response message.

        The connection is closed if the response is missing or incomplete, so that a
        late one is never taken for the response to another request.

        :raises TargetError: if there is no result.
        """
        try:
            data = encode(body)
        except orjson.JSONEncodeError as error:
            raise TargetRefusedError("bad_request", str(error)) from error
        try:
            response = await self.channel.exchange(path, data, timeout)
        except ChannelClosedError as error:
            raise TargetUnreachableError(str(error)) from error
        except ResponseIncompleteError as error:
            raise TargetNoReplyError(f"no response to {path}: {error}") from error
        return self.check(response)

    def check(self, answer: ChannelResponse) -> Json:
        """Return the message of a response, or raise the error that it carries."""
        try:
            message = decode(answer.body)
            if answer.status == STATUS_OK:
                return message
            code = str(message["code"])
            detail = str(message["detail"])
        except (WireError, KeyError) as error:
            self.channel.close()
            raise TargetNoReplyError(f"malformed response: {error!r}") from error
        if answer.status >= STATUS_ERROR:
            self.channel.close()
            raise TargetNoReplyError(detail)
        raise TargetRefusedError(code, detail)


def sql_json(sql: str, params: list[Any], timeout: float) -> Json:
    """Return the request body of a statement."""
    return {"sql": sql, "params": params, "timeout": timeout * TARGET_TIMEOUT_FRACTION}


def result(message: Json) -> Result:
    """Parse a result from its wire form.

    :raises TargetNoReplyError: if it is malformed; the statement may have run.
    """
    try:
        return Result(
            columns=message["columns"],
            rows=message["rows"],
            rowcount=message["rowcount"],
            position=Position.from_json(message["position"]),
            term=message["term"],
            role=Role(message["role"]),
            repeated=message["repeated"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise TargetNoReplyError(f"malformed result: {error!r}") from error
