"""Log lines: logger name, level and records of libraries."""

import io
import logging

import logbook

from reedhook.process.logs import logs


def test_lines_contain_logger_name_and_level() -> None:
    stream = io.StringIO()
    with logs("info", stream):
        logbook.Logger("membership").info("Host {} is live.", "vittoria-1")
        logbook.Logger("membership").debug("Not written.")
    assert stream.getvalue().endswith(
        "Z INFO    membership: Host vittoria-1 is live.\n"
    )
    assert "Not written" not in stream.getvalue()


def test_records_of_standard_logging_are_written() -> None:
    stream = io.StringIO()
    with logs("info", stream):
        logging.getLogger("aiohttp.server").warning("odd %s", "request")
    assert "WARNING aiohttp.server: odd request" in stream.getvalue()
    written = stream.getvalue()
    logging.getLogger("aiohttp.server").warning("later")
    assert stream.getvalue() == written
