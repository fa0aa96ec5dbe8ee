"""Whether a session has a transaction open."""

from enum import Enum


class SessionState(str, Enum):
    """Name what a session may do next."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"
