"""Targets over HTTP with JSON: one TCP connection for each target connection."""

import asyncio
from typing import Any, Final

import orjson

from ..request.position import Position
from ..wire import Json, WireError, decode, encode
from .channel import (
    Channel,
    ChannelAnswer,
    ChannelBroken,
    ChannelClosed,
    open_channel,
)
from .target import (
    MemberState,
    Role,
    Target,
    TargetConnection,
    TargetFactory,
    TargetFull,
    TargetRefused,
    TargetResult as Result,
    TargetSilent,
    TargetUnreachable,
)

HOLD_MARGIN: Final = 1.0
# The target gives up waiting a little earlier than this side, so that its
# refusal, which proves that nothing ran, arrives in time.
WAIT_SHARE: Final = 0.9
CODE_FULL: Final = "full"
STATUS_OK: Final = 200
STATUS_ERROR: Final = 500


class HttpTargetFactory(TargetFactory):
    """Make targets that are reached over HTTP.

    :param client: the name under which this host greets a target.
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
        except ChannelClosed as error:
            raise TargetUnreachable(str(error)) from error
        connection = HttpTargetConnection(channel)
        try:
            await connection.ask(
                "hello", {"client": self.client}, deadline - loop.time()
            )
        except TargetRefused as error:
            channel.close()
            if error.code == CODE_FULL:
                raise TargetFull(error.detail) from error
            raise TargetUnreachable(error.detail) from error
        except TargetSilent as error:
            raise TargetUnreachable(f"no greeting: {error}") from error
        return connection


class HttpTargetConnection(TargetConnection):
    """Run one exchange at a time on one TCP connection."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel

    async def read(self, sql: str, params: list[Any], timeout: float) -> Result:
        return result(await self.ask("read", sql_json(sql, params, timeout), timeout))

    async def write(
        self, sql: str, params: list[Any], request_id: str | None, timeout: float
    ) -> Result:
        body = sql_json(sql, params, timeout)
        body["request_id"] = request_id
        return result(await self.ask("write", body, timeout))

    async def begin(self, request_id: str | None, timeout: float) -> Result:
        body: Json = {"request_id": request_id, "timeout": timeout * WAIT_SHARE}
        return result(await self.ask("begin", body, timeout))

    async def step(self, sql: str, params: list[Any], timeout: float) -> Result:
        return result(await self.ask("step", sql_json(sql, params, timeout), timeout))

    async def commit(self, timeout: float) -> Result:
        return result(
            await self.ask("commit", {"timeout": timeout * WAIT_SHARE}, timeout)
        )

    async def rollback(self, timeout: float) -> None:
        await self.ask("rollback", {}, timeout)

    async def state(self, timeout: float) -> MemberState:
        return await self.ask_state("state", {}, timeout)

    async def wait_state(self, revision: int, hold: float) -> MemberState:
        body: Json = {"revision": revision, "hold": hold}
        return await self.ask_state("wait_state", body, hold + HOLD_MARGIN)

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        body: Json = {"term": term, "owner": owner}
        return await self.ask_state("raise_term", body, timeout)

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        body: Json = {"term": term, "owner": owner}
        return await self.ask_state("promote", body, timeout)

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        body: Json = {"term": term, "primary": primary}
        return await self.ask_state("follow", body, timeout)

    async def close(self) -> None:
        self.channel.close()

    async def ask_state(self, path: str, body: Json, timeout: float) -> MemberState:
        """Ask for something that is answered with the member's state."""
        message = await self.ask(path, body, timeout)
        try:
            return MemberState.from_json(message)
        except (KeyError, TypeError, ValueError) as error:
            raise TargetSilent(f"not a state: {error!r}") from error

    async def ask(self, path: str, body: Json, timeout: float) -> Json:
        """Send `body` and return the whole answer.

        The connection closes when an answer is missing or incomplete, so that
        a late answer can never be taken for that of another request.

        :raises TargetError: if no result came.
        """
        try:
            data = encode(body)
        except orjson.JSONEncodeError as error:
            raise TargetRefused("bad_request", str(error)) from error
        try:
            answer = await self.channel.exchange(path, data, timeout)
        except ChannelClosed as error:
            raise TargetUnreachable(str(error)) from error
        except ChannelBroken as error:
            raise TargetSilent(f"no answer to {path}: {error}") from error
        return self.check(answer)

    def check(self, answer: ChannelAnswer) -> Json:
        """Return the message of an answer, or raise what it refuses."""
        try:
            message = decode(answer.body)
            if answer.status == STATUS_OK:
                return message
            code = str(message["code"])
            detail = str(message["detail"])
        except (WireError, KeyError) as error:
            self.channel.close()
            raise TargetSilent(f"no usable answer: {error!r}") from error
        if answer.status >= STATUS_ERROR:
            self.channel.close()
            raise TargetSilent(detail)
        raise TargetRefused(code, detail)


def sql_json(sql: str, params: list[Any], timeout: float) -> Json:
    """Return the body that carries a statement."""
    return {"sql": sql, "params": params, "timeout": timeout * WAIT_SHARE}


def result(message: Json) -> Result:
    """Read a result from the wire.

    :raises TargetSilent: if it is none; the statement may have run.
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
        raise TargetSilent(f"not a result: {error!r}") from error
