"""The ``query`` command of the tool."""

import time
from typing import Any, Final
from uuid import uuid4

import orjson

from ...record import Record
from ...wire import Json
from .command_client import Client
from .command_error import CommandError, HostsUnreachableError, ToolExitCode
from .command_report import Result, query_text

CONSISTENCIES: Final = ("fresh", "session", "max_age")


class StatementRequest(Record):
    """Hold a statement and its options from the command line.

    :param params: parameters, each parsed as JSON or else taken as a string.
    :param write: whether the statement is a write.
    :param max_age_ms: accepted age of the result; implies ``max_age``.
    :param request_id: id of an earlier attempt with an unknown outcome.
    """

    __slots__ = (
        "group",
        "sql",
        "params",
        "write",
        "consistency",
        "max_age_ms",
        "token",
        "deadline_ms",
        "request_id",
    )

    def __init__(
        self,
        group: str,
        sql: str,
        params: list[str],
        write: bool = False,
        consistency: str | None = None,
        max_age_ms: int | None = None,
        token: str | None = None,
        deadline_ms: int | None = None,
        request_id: str | None = None,
    ) -> None:
        self.group = group
        self.sql = sql
        self.params = params
        self.write = write
        self.consistency = consistency
        self.max_age_ms = max_age_ms
        self.token = token
        self.deadline_ms = deadline_ms
        self.request_id = request_id

    def body(self) -> Json:
        """Return the request in the format of the callers' API.

        :raises CommandError: if the consistency is unknown.
        """
        body: Json = {
            "group": self.group,
            "sql": self.sql,
            "params": [parameter(text) for text in self.params],
            "token": self.token,
            "deadline_ms": self.deadline_ms,
        }
        if self.write:
            body["request_id"] = self.request_id or new_request_id()
        else:
            body |= self.read_fields()
        return {name: value for name, value in body.items() if value is not None}

    def read_fields(self) -> Json:
        """Return the fields that are specific to reads.

        :raises CommandError: if the consistency is unknown.
        """
        consistency = self.consistency
        if consistency is None and self.max_age_ms is not None:
            consistency = "max_age"
        if consistency not in (None, *CONSISTENCIES):
            choices = ", ".join(CONSISTENCIES)
            problem = f"unknown consistency '{consistency}'"
            raise CommandError(ToolExitCode.USAGE, problem, f"give one of: {choices}")
        return {"consistency": consistency, "max_age_ms": self.max_age_ms}


async def query(client: Client, wanted: StatementRequest) -> Result:
    """Send a statement and return its result."""
    body = wanted.body()
    path = "/v1/write" if wanted.write else "/v1/read"
    try:
        answer = await client.post(path, body)
    except HostsUnreachableError as error:
        if not wanted.write:
            raise
        advice = f"repeat it with --request-id {body['request_id']}"
        raise error.in_doubt(advice) from error
    return Result(answer, query_text(answer))


def parameter(text: str) -> Any:
    """Parse a JSON scalar; return `text` itself if it is anything else."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return text
    return text if isinstance(value, list | dict) else value


def new_request_id() -> str:
    """Return a unique id that starts with the current time in milliseconds."""
    return f"{int(time.time() * 1000):013d}-{uuid4().hex}"
