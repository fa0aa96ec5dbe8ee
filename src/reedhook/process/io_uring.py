"""Keep the process off io_uring, which the machines don't offer."""

import os
from collections.abc import MutableMapping
from pathlib import Path
from typing import Final

DESCRIPTORS: Final = Path("/proc/self/fd")
IO_URING: Final = "anon_inode:[io_uring]"
SWITCH: Final = "UV_USE_IO_URING"


class IoUringInUseError(RuntimeError):
    """Say that the process holds io_uring descriptors."""


def forbid_io_uring(environment: MutableMapping[str, str] = os.environ) -> None:
    """Tell libuv to do without; has an effect only before the first loop is made."""
    environment[SWITCH] = "0"


def require_no_io_uring(descriptors: Path = DESCRIPTORS) -> None:
    """Look through the open descriptors.

    :param descriptors: folder with one symbolic link for each descriptor.
    :raises IoUringInUse: if one belongs to io_uring.
    """
    found = [link.name for link in descriptors.iterdir() if points_to_ring(link)]
    if found:
        numbers = ", ".join(sorted(found))
        raise IoUringInUseError(f"io_uring is in use by the descriptors {numbers}")


def points_to_ring(link: Path) -> bool:
    """Say whether the descriptor behind `link` belongs to io_uring."""
    try:
        return os.readlink(link) == IO_URING
    except OSError:
        # The descriptor that lists the folder is closed by now.
        return False
