"""Transaction state of a session."""

from enum import Enum


class SessionState(str, Enum):
    """Transaction state of a session or a connection."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"
