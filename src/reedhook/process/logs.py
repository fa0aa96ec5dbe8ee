"""Logs to standard error, each line with the prefix of the part that wrote it."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, TextIO

import logbook
from logbook.compat import redirected_logging

LINE: Final = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:<8}"
    "{record.channel}: {record.message}"
)


@contextmanager
def logs(level: str, stream: TextIO | None = None) -> Iterator[None]:
    """Send log records to `stream` while the context lasts.

    Records of libraries, which use the standard module, go the same way.

    :param level: the lowest level that is written, such as ``info``.
    :param stream: standard error if None.
    """
    logbook.set_datetime_format("utc")
    lines = logbook.StreamHandler(
        stream or sys.stderr, level=level.upper(), format_string=LINE
    )
    # What is below the level would else reach logbook's own last handler.
    setup = logbook.NestedSetup([logbook.NullHandler(), lines])
    redirection = redirected_logging(set_root_logger_level=False)
    with setup.applicationbound(), redirection:
        yield
