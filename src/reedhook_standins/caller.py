"""A client of the statement interface that records every attempt and its result."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, Final, TypeAlias

import aiohttp

from reedhook import wire
from reedhook.clock import Clock
from reedhook.record import Record
from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict
from reedhook.wire import Json

from .history import History, ReadSeen, WriteAttempt

DEADLINE_MS: Final = 1500
ANSWER_SLACK_S: Final = 0.5
CONNECT_TIMEOUT_S: Final = 0.25
MOVE_PAUSE_S: Final = 0.01
LATE: Final = "deadline"
LATE_PAUSE_S: Final = 0.05
UNREACHABLE: Final = "host unreachable"
NO_ANSWER: Final = "no answer"
MOVING_REASONS: Final = frozenset(
    {
        "age_unproved",
        "draining",
        "host_unreachable",
        "no_configuration",
        "no_primary",
        "not_covered",
        "not_durable",
        "target_lost",
        "target_unreachable",
        "unconfirmed",
        "wrong_home",
        UNREACHABLE,
        NO_ANSWER,
    }
)

Note: TypeAlias = Callable[[str, float, "Reply"], None]


class GaveUp(Exception):
    """Report that a request got no answer within the caller's time limit."""


class Reply(Record):
    """Represent the result of one call.

    :param body: the answer or refusal; empty if none came.
    :param reason: why the call got no answer; None for an answer.
    :param retry_after: seconds until the next try; None if a retry cannot help.
    """

    __slots__ = ("body", "verdict", "reason", "retry_after")

    def __init__(
        self,
        body: Json,
        verdict: Verdict,
        reason: str | None = None,
        retry_after: float | None = None,
    ) -> None:
        self.body = body
        self.verdict = verdict
        self.reason = reason
        self.retry_after = retry_after


class WriteOrder(Record):
    """Describe a write that raises the version of a register.

    :param key: the register.
    :param version: the version that it sets.
    :param sql: the statement; its first parameter is the request id.
    :param params: the parameters after the request id.
    """

    __slots__ = ("group", "key", "version", "sql", "params")

    def __init__(
        self, group: str, key: str, version: int, sql: str, params: list[Any]
    ) -> None:
        self.group = group
        self.key = key
        self.version = version
        self.sql = sql
        self.params = params


class ReadOrder(Record):
    """Describe a read of registers.

    :param kind: the workload's name of the read.
    :param sql: the statement; it returns its first parameter as the first column, then
        key and version.
    :param params: the parameters after the mark.
    :param keys: the registers that count as absent if no row names them.
    :param max_age: maximum age in seconds; for bounded reads.
    """

    __slots__ = ("kind", "group", "sql", "params", "keys", "consistency", "max_age")

    def __init__(
        self,
        kind: str,
        group: str,
        sql: str,
        params: list[Any],
        keys: list[str],
        consistency: Consistency,
        max_age: float | None = None,
    ) -> None:
        self.kind = kind
        self.group = group
        self.sql = sql
        self.params = params
        self.keys = keys
        self.consistency = consistency
        self.max_age = max_age


class Caller:
    """Send the requests of one session sequentially, through changing entry hosts.

    :param name: the name of the session.
    :param hosts: ``IP:port`` of the entry hosts that the caller knows.
    :param credential: the credential of the caller's workspace.
    :param delay: one-way delay to the entry hosts, in seconds.
    """

    __slots__ = (
        "name",
        "hosts",
        "credential",
        "http",
        "history",
        "clock",
        "random",
        "delay",
        "host",
        "token",
        "marks",
    )

    def __init__(
        self,
        name: str,
        hosts: Sequence[str],
        credential: str,
        http: aiohttp.ClientSession,
        history: History,
        clock: Clock,
        random: random.Random,
        delay: float = 0.0,
    ) -> None:
        self.name = name
        self.hosts = hosts
        self.credential = credential
        self.http = http
        self.history = history
        self.clock = clock
        self.random = random
        self.delay = delay
        self.host = random.choice(hosts)
        self.token: str | None = None
        self.marks = 0

    def roam(self) -> None:
        """Switch to another host, as a load balancer may do."""
        other_hosts = [host for host in self.hosts if host != self.host]
        self.host = self.random.choice(other_hosts or list(self.hosts))

    def forget(self) -> None:
        """Drop the session token, so that the next read has no minimum position."""
        self.token = None

    async def write(self, order: WriteOrder, patience: float) -> Json:
        """Run a write at most once and return the answer.

        Each try carries the same request id.

        :param patience: time limit of all tries, in seconds.
        :raises GaveUp: if no answer came by then or a retry cannot help.
        """
        request_id = self.new_request_id()
        body: Json = {
            "group": order.group,
            "sql": order.sql,
            "params": [request_id, *order.params],
            "request_id": request_id,
        }

        def note(host: str, started: float, reply: Reply) -> None:
            self.history.attempts.append(
                WriteAttempt(
                    request_id,
                    order.group,
                    order.key,
                    order.version,
                    self.name,
                    host,
                    started,
                    self.clock.monotonic(),
                    reply.verdict,
                    reply.reason,
                    bool(reply.body.get("repeated")),
                )
            )

        return await self.persist("/v1/write", body, patience, note)

    async def read(self, order: ReadOrder, patience: float) -> Json:
        """Run a read and return the answer.

        :param patience: time limit of all tries, in seconds.
        :raises GaveUp: if no answer came by then or a retry cannot help.
        """
        mark = self.new_mark()
        body: Json = {
            "group": order.group,
            "sql": order.sql,
            "params": [mark, *order.params],
            "consistency": order.consistency.value,
        }
        if order.max_age is not None:
            body["max_age_ms"] = round(order.max_age * 1000)

        def note(host: str, started: float, reply: Reply) -> None:
            self.history.reads.append(self.read_seen(order, mark, host, started, reply))

        return await self.persist("/v1/read", body, patience, note)

    async def define(self, group: str, sql: str, patience: float) -> None:
        """Run a statement that changes the schema.

        :raises GaveUp: if no answer came by then or a retry cannot help.
        """
        body: Json = {
            "group": group,
            "sql": sql,
            "params": [],
            "request_id": self.new_request_id(),
        }
        await self.persist("/v1/write", body, patience, lambda *seen: None)

    async def persist(self, path: str, body: Json, patience: float, note: Note) -> Json:
        """Send `body` until it is answered, and call `note` with the result of each
        try.
        """
        until = self.clock.monotonic() + patience
        while True:
            host, started = self.host, self.clock.monotonic()
            reply = await self.call(path, body)
            note(host, started, reply)
            if reply.reason is None:
                return reply.body
            await self.prepare_retry(reply, until)

    def read_seen(
        self, order: ReadOrder, mark: str, host: str, started: float, reply: Reply
    ) -> ReadSeen:
        """Return the record of a read."""
        rows = reply.body.get("rows") or []
        versions = dict.fromkeys(order.keys, 0)
        versions.update({row[1]: row[2] for row in rows})
        age_ms = reply.body.get("age_ms")
        return ReadSeen(
            kind=order.kind,
            group=order.group,
            session=self.name,
            host=host,
            consistency=order.consistency,
            started=started,
            ended=self.clock.monotonic(),
            mark=mark,
            echoed=echo(mark, rows),
            versions=versions,
            reason=reply.reason,
            role=reply.body.get("role"),
            age=None if age_ms is None else age_ms / 1000,
        )

    async def call(self, path: str, body: Json) -> Reply:
        """Send one request to the current host and store the returned token."""
        body = {**body, "deadline_ms": DEADLINE_MS}
        if self.token is not None:
            body["token"] = self.token
        await self.clock.sleep(self.delay)
        reply = await self.exchange(path, wire.encode(body))
        await self.clock.sleep(self.delay)
        self.token = reply.body.get("token") or self.token
        return reply

    async def exchange(self, path: str, body: bytes) -> Reply:
        """Send one request and return the answer, or the reason why there is none."""
        timeout = aiohttp.ClientTimeout(
            total=DEADLINE_MS / 1000 + ANSWER_SLACK_S, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.http.post(
                f"http://{self.host}{path}",
                data=body,
                headers={
                    "Authorization": f"Bearer {self.credential}",
                    "Content-Type": "application/json",
                },
                timeout=timeout,
            ) as response:
                return reply_from(wire.decode(await response.read()))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Reply({}, Verdict.NOT_RUN, UNREACHABLE, MOVE_PAUSE_S)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return Reply({}, Verdict.MAY_HAVE_RUN, NO_ANSWER, MOVE_PAUSE_S)

    async def prepare_retry(self, reply: Reply, until: float) -> None:
        """Wait for the retry delay and choose the host of the next try.

        :raises GaveUp: if a retry cannot help or would come too late.
        """
        if reply.retry_after is None:
            raise GaveUp(f"{self.name}: {reply.reason}: {reply.body.get('detail')}")
        if self.clock.monotonic() + reply.retry_after > until:
            raise GaveUp(f"{self.name}: still {reply.reason}")
        if reply.reason in MOVING_REASONS:
            self.roam()
        await self.clock.sleep(reply.retry_after)

    def new_request_id(self) -> str:
        """Return a unique request id."""
        wall_ms = int(self.clock.wall() * 1000)
        unique = self.random.getrandbits(48)
        return f"{wall_ms:013d}-{unique:012x}"

    def new_mark(self) -> str:
        """Return a unique text that a read returns, to detect mixed-up answers."""
        self.marks += 1
        return f"{self.name}/{self.marks}"


def reply_from(message: Json) -> Reply:
    """Parse an answer or refusal.

    A missed deadline is retried even if it carries no retry delay.
    """
    verdict = Verdict(message["verdict"])
    if "reason" not in message:
        return Reply(message, verdict)
    reason = message["reason"]
    retry_after_ms = message.get("retry_after_ms")
    if retry_after_ms is None and reason == LATE:
        return Reply(message, verdict, reason, LATE_PAUSE_S)
    return Reply(
        message,
        verdict,
        reason,
        None if retry_after_ms is None else retry_after_ms / 1000,
    )


def echo(mark: str, rows: list[list[Any]]) -> str:
    """Return the mark in the rows, or `mark` if there are no rows."""
    marks = {str(row[0]) for row in rows}
    return ",".join(sorted(marks)) if marks else mark
