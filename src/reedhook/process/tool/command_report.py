"""Output of the tool, as text or JSON."""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any, TextIO

import orjson

from ...record import Record
from ...wire import Json
from .command_error import CommandError, ToolExitCode


class Result(Record):
    """Hold the outcome of a command.

    :param value: printed as JSON with ``--json``.
    :param text: printed otherwise.
    """

    __slots__ = ("value", "text", "code")

    def __init__(
        self, value: Json, text: str, code: ToolExitCode = ToolExitCode.DONE
    ) -> None:
        self.value = value
        self.text = text
        self.code = code


class ResultPrinter:
    """Print results and errors."""

    __slots__ = ("out", "err", "as_json")

    def __init__(self, out: TextIO, err: TextIO, as_json: bool) -> None:
        self.out = out
        self.err = err
        self.as_json = as_json

    def result(self, result: Result) -> None:
        """Print a result."""
        text = pretty(result.value) if self.as_json else result.text
        print(text.rstrip("\n"), file=self.out)

    def error(self, error: CommandError) -> None:
        """Print the details of an error and then the error as one line."""
        for line in error.details:
            print(line, file=self.err)
        print(f"reedhook: {error.line}", file=self.err)


def pretty(value: Json) -> str:
    """Return `value` as indented JSON."""
    return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()


def table(titles: tuple[str, ...], rows: Iterable[tuple[Any, ...]]) -> str:
    """Return aligned columns with titles."""
    lines = [titles, *(tuple(map(cell, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths)).rstrip()
        for line in lines
    )


def cell(value: Any) -> str:
    """Return the text of a table cell."""
    if value is None:
        return "-"
    return ("no", "yes")[value] if isinstance(value, bool) else str(value)


def moment(seconds: float | None) -> str:
    """Format a time since the epoch as ISO 8601 in UTC."""
    if seconds is None:
        return "-"
    text = datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")
    return text.replace("+00:00", "Z")


def hosts_text(body: Json) -> str:
    """Return the table of hosts."""
    rows = [
        (host["host"], host["zone"], host["address"], host["state"], host["version"])
        for host in body["hosts"]
    ]
    return table(("HOST", "ZONE", "ADDRESS", "STATE", "VERSION"), rows)


def groups_text(body: Json) -> str:
    """Return the table of groups and their members."""
    rows = [
        member_row(group, member)
        for group in body["groups"]
        for member in group["members"]
    ]
    titles = ("GROUP", "TERM", "MEMBER", "ZONE", "ROLE", "HOME", "APPLIED", "AGE <=")
    return table(titles, rows)


def member_row(group: Json, member: Json) -> tuple[Any, ...]:
    """Return the row of one member."""
    applied = member.get("applied")
    position = None if applied is None else "/".join(map(str, applied))
    lag = member.get("lag_ms")
    role = member["role"] + (", leaving" if member.get("leaving") else "")
    return (
        group["group"],
        group["term"],
        member["member"],
        member["zone"],
        role if member["known"] else f"{role}, not heard of",
        member["home"],
        position,
        None if lag is None else f"{lag} ms",
    )


def status_text(body: Json) -> str:
    """Return the table of the hosts' configuration versions."""
    rows: list[tuple[Any, ...]] = [
        (host["host"], host["zone"], host["version"], moment_ms(host["in_force_ms"]))
        for host in body["hosts"]
    ]
    rows += [
        (host, None, cause, None) for host, cause in sorted(body["missing"].items())
    ]
    return table(("HOST", "ZONE", "VERSION", "IN FORCE SINCE"), rows)


def moment_ms(milliseconds: int | None) -> str:
    """Format a time in milliseconds since the epoch as ISO 8601 in UTC."""
    return moment(None if milliseconds is None else milliseconds / 1000)


def history_text(body: Json) -> str:
    """Return the table of accepted versions."""
    rows = [
        (head["version"], moment(head["wall"]), head["author"], head["comment"])
        for head in body["versions"]
    ]
    return table(("VERSION", "ACCEPTED", "AUTHOR", "COMMENT"), rows)


def query_text(body: Json) -> str:
    """Return the rows, the summary and the session token of a statement."""
    lines = []
    if body["columns"]:
        lines.append(table(tuple(body["columns"]), map(tuple, body["rows"])))
    lines.append(answer_line(body))
    if body.get("token"):
        lines.append(f"token: {body['token']}")
    return "\n".join(lines)


def answer_line(body: Json) -> str:
    """Return the row count, source and age of a result as one line."""
    age = body["age_ms"]
    age_text = "" if age is None else f", at most {age:g} ms old"
    repeated = ", the answer of an earlier run" if body["repeated"] else ""
    count = len(body["rows"]) if body["columns"] else body["rowcount"]
    noun = "row" if count == 1 else "rows"
    summary = noun if body["columns"] else f"{noun} changed"
    target, role, host = body["target"], body["role"], body["host"]
    return f"{count} {summary}; {target} ({role}) by {host}{age_text}{repeated}"
