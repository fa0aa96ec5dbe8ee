"""The ``timeline`` command of the tool."""

import re
import time
from datetime import datetime
from pathlib import Path
from typing import Final

from ...wire import WireError
from ..events.timeline_html import page_of
from ..events.timeline_merge import EventHistory
from ..events.timeline_text import text_of
from .command_client import Client
from .command_error import CommandError, ToolExitCode
from .command_report import Result

AGO: Final = re.compile(r"([0-9]{1,6})([smhd])")
SECONDS: Final = {"s": 1, "m": 60, "h": 3600, "d": 86400}


async def timeline(
    client: Client,
    group: str | None,
    host: str | None,
    kind: str | None,
    since: str | None,
    page: str | None,
) -> Result:
    """Show the events of all hosts in causal order.

    :param page: file to which to write an HTML page, or None.
    """
    body = await client.get(
        "/admin/events",
        all=1,
        group=group,
        host=host,
        kind=kind,
        since=None if since is None else since_ms(since, time.time()),
    )
    try:
        history = EventHistory.from_json(body)
    except WireError as error:
        problem = f"malformed events from the host: {error}"
        advice = "use the same version of the tool as the hosts"
        raise CommandError(ToolExitCode.REFUSED, problem, advice) from error
    if page is None:
        return Result(body, text_of(history))
    write_page(Path(page), page_of(history, title(group)))
    return Result(body, f"The time line is in {page}.")


def title(group: str | None) -> str:
    """Return the title of the page."""
    return "Time line" if group is None else f"Time line of {group}"


def write_page(file: Path, page: str) -> None:
    """Write an HTML page.

    :raises CommandError: if the file cannot be written.
    """
    try:
        file.write_text(page, encoding="utf-8")
    except OSError as error:
        raise CommandError(
            ToolExitCode.USAGE, str(error), "give another file"
        ) from error


def since_ms(text: str, now: float) -> int:
    """Parse a time, such as ``10m`` ago, into milliseconds since the epoch.

    :param now: wall-clock time in seconds.
    :raises CommandError: if `text` is malformed.
    """
    ago = AGO.fullmatch(text)
    if ago is not None:
        return int((now - int(ago[1]) * SECONDS[ago[2]]) * 1000)
    try:
        return int(datetime.fromisoformat(text).timestamp() * 1000)
    except ValueError:
        problem = f"--since is '{text}'"
        advice = "give 90s, 10m, 2h, or 2026-03-12T06:30:00Z"
        raise CommandError(ToolExitCode.USAGE, problem, advice) from None
