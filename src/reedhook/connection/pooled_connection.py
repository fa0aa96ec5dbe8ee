"""One connection to a target, with what the session before left on it."""

import asyncio

from .session_target import SessionTargetConnection


class PooledConnection:
    """Keep one connection with what a session left on it.

    :ivar workspace: whose statements it runs, for as long as it is open.
    :ivar session: the session that used it last.
    :ivar applied_settings: what is set and prepared on it, by kind and name.
    :ivar state_uncertain: whether `applied` may differ from what the target holds.
    :ivar used: when it last answered, by `Clock.monotonic`.
    :ivar lent_at: when it was last lent, by `Clock.monotonic`.
    """

    __slots__ = (
        "connection",
        "workspace",
        "session",
        "applied_settings",
        "state_uncertain",
        "used",
        "lent_at",
    )

    def __init__(
        self, connection: SessionTargetConnection, used: float, workspace: str = ""
    ) -> None:
        self.connection = connection
        self.workspace = workspace
        self.session = ""
        self.applied_settings: dict[str, str] = {}
        self.state_uncertain = False
        self.used = used
        self.lent_at = used

    def accepts_workspace(self, workspace: str | None) -> bool:
        """Say whether statements of a workspace may run on it; None for our own."""
        return workspace is None or workspace == self.workspace


class Waiter:
    """Wait for a connection of a workspace, or for the room to open one."""

    __slots__ = ("workspace", "granted")

    def __init__(self, workspace: str | None) -> None:
        self.workspace = workspace
        self.granted: asyncio.Future[PooledConnection | None] = (
            asyncio.get_running_loop().create_future()
        )


def reset_cost(pooled: PooledConnection, session: str) -> int:
    """Return how far a connection is from the state of a session."""
    if pooled.session == session:
        return 0
    return 2 if pooled.applied_settings or pooled.state_uncertain else 1


def is_granted(grant: "asyncio.Future[PooledConnection | None]") -> bool:
    """Say whether a turn in the queue has come."""
    return grant.done() and not grant.cancelled()
