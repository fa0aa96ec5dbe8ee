"""Whether the caller of the statement in progress is still connected.

A queued statement whose caller has gone would take a slot for an answer that nobody
reads. The connection that a statement came from, of a caller or of another host, sets
its presence in the context of the task that serves it.
"""

from collections.abc import Callable
from contextvars import ContextVar

from .refusal import RefusalError, RefusalReason, not_run


class CallerPresence:
    """Tell those that work for one connection when it has closed.

    :ivar gone: whether it has closed.
    :ivar listeners: called when it closes.
    """

    __slots__ = ("gone", "listeners")

    def __init__(self) -> None:
        self.gone = False
        self.listeners: set[Callable[[], object]] = set()

    def leave(self) -> None:
        """Record that the connection has closed, and call the listeners once."""
        self.gone = True
        while self.listeners:
            self.listeners.pop()()


PRESENCE: ContextVar[CallerPresence] = ContextVar("caller_presence")


def current_presence() -> CallerPresence:
    """Return the presence of the current caller; one that stays if none is set."""
    presence = PRESENCE.get(None)
    return CallerPresence() if presence is None else presence


def caller_gone_refusal() -> RefusalError:
    """Return the refusal of a statement that was not sent to a target."""
    return not_run(RefusalReason.CALLER_GONE, "the caller has disconnected")
