"""Logging to standard error, each line prefixed with the logger's name."""

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
    """Write log records to `stream` while the context is active.

    Records of libraries that use the standard `logging` module are included.

    :param level: the lowest level that is written, such as ``info``.
    :param stream: standard error if None.
    """
    logbook.set_datetime_format("utc")
    lines = logbook.StreamHandler(
        stream or sys.stderr, level=level.upper(), format_string=LINE
    )
    # Without the null handler, records below the level would reach logbook's
    # default handler.
    setup = logbook.NestedSetup([logbook.NullHandler(), lines])
    redirection = redirected_logging(set_root_logger_level=False)
    with setup.applicationbound(), redirection:
        yield
