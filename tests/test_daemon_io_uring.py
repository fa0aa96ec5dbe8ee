"""The process uses no io_uring, and an io_uring descriptor is detected."""

import os
from pathlib import Path

import pytest
import uvloop

from reedhook.process.io_uring import (
    IO_URING,
    IoUringInUseError,
    forbid_io_uring,
    require_no_io_uring,
)


def test_io_uring_descriptor_is_detected(tmp_path: Path) -> None:
    (tmp_path / "3").symlink_to("socket:[1234]")
    require_no_io_uring(tmp_path)
    (tmp_path / "7").symlink_to(IO_URING)
    with pytest.raises(IoUringInUseError, match="descriptors 7"):
        require_no_io_uring(tmp_path)


def test_event_loop_uses_no_io_uring(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("UV_USE_IO_URING", raising=False)
    forbid_io_uring()
    loop = uvloop.new_event_loop()
    try:
        loop.run_until_complete(loop.run_in_executor(None, os.getpid))
        require_no_io_uring()
    finally:
        loop.close()
