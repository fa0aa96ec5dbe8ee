"""A pooled connection to a target and the session state applied to it."""

import asyncio

from .session_target import SessionTargetConnection


class PooledConnection:
    """Track a connection and the session state applied to it.

    :ivar workspace: the only workspace whose statements it runs while it is open.
    :ivar session: the session that used it last.
    :ivar applied_settings: settings and prepared statements, by kind and name.
    :ivar state_uncertain: whether `applied_settings` may differ from the target's
        state.
    :ivar used: time of the last reply, by `Clock.monotonic`.
    :ivar lent_at: time when it was last lent, by `Clock.monotonic`.
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
        """Return whether statements of a workspace may run; None for internal ones."""
        return workspace is None or workspace == self.workspace


class Waiter:
    """Wait for a connection of a workspace, or for capacity to open one."""

    __slots__ = ("workspace", "granted")

    def __init__(self, workspace: str | None) -> None:
        self.workspace = workspace
        self.granted: asyncio.Future[PooledConnection | None] = (
            asyncio.get_running_loop().create_future()
        )


def reset_cost(pooled: PooledConnection, session: str) -> int:
    """Return the relative cost of bringing a connection to the state of a session."""
    if pooled.session == session:
        return 0
    return 2 if pooled.applied_settings or pooled.state_uncertain else 1


def is_granted(grant: "asyncio.Future[PooledConnection | None]") -> bool:
    """Return whether a waiter was granted a connection, or capacity for one."""
    return grant.done() and not grant.cancelled()
