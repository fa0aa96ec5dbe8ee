"""Keep the process from using io_uring, which the machines do not support."""

import os
from collections.abc import MutableMapping
from pathlib import Path
from typing import Final

DESCRIPTORS: Final = Path("/proc/self/fd")
IO_URING: Final = "anon_inode:[io_uring]"
SWITCH: Final = "UV_USE_IO_URING"


class IoUringInUseError(RuntimeError):
    """Signal that the process holds io_uring descriptors."""


def forbid_io_uring(environment: MutableMapping[str, str] = os.environ) -> None:
    """Disable io_uring in libuv; must be called before the first loop is created."""
    environment[SWITCH] = "0"


def require_no_io_uring(descriptors: Path = DESCRIPTORS) -> None:
    """Check that no open descriptor belongs to io_uring.

    :param descriptors: directory with one symbolic link for each descriptor.
    :raises IoUringInUseError: if a descriptor belongs to io_uring.
    """
    found = [link.name for link in descriptors.iterdir() if points_to_ring(link)]
    if found:
        numbers = ", ".join(sorted(found))
        raise IoUringInUseError(f"io_uring is in use by the descriptors {numbers}")


def points_to_ring(link: Path) -> bool:
    """Return whether the descriptor behind `link` belongs to io_uring."""
    try:
        return os.readlink(link) == IO_URING
    except OSError:
        # The descriptor that listed the directory is already closed.
        return False
