"""Tolerance of workspace rate limits, and the limits derived from it."""

from typing import Final

from ...record import Record
from ...version.workspace import Workspace

MAX_GRANT_SECONDS: Final = 2.0
"""Maximum lifetime of a grant."""

GRANT_SLACK_FRACTION: Final = 0.5
"""Share of the slack for unused grants, which may be used in the next window."""

INITIAL_SLACK_FRACTION: Final = 0.25
"""Share of the slack that a new owner may grant at once, since it does not know what
the previous owner granted recently."""

BURST_SLACK_FRACTION: Final = 0.2
"""Share of the slack added to the burst at the owner, since hosts do not use their
grants at once."""


class RateTolerance(Record):
    """Define by how much a workspace may exceed its rate in any window.

    In a window, (rate * window + burst) * (1 + overshoot) + slack operations may run.

    :param window: seconds.
    :param overshoot: fraction of the operations that rate and burst allow.
    :param slack: operations.
    """

    __slots__ = ("window", "overshoot", "slack")

    def __init__(self, window: float, overshoot: float, slack: float) -> None:
        self.window = window
        self.overshoot = overshoot
        self.slack = slack

    def spare(self, workspace: Workspace, rate: float) -> float:
        """Return the operations in a window beyond what the rate and burst allow."""
        return (rate * self.window + workspace.burst) * self.overshoot + self.slack

    def start(self, workspace: Workspace, rate: float) -> float:
        """Return the operations that a new owner may grant at once."""
        return INITIAL_SLACK_FRACTION * self.spare(workspace, rate)

    def burst_limit(self, workspace: Workspace, rate: float) -> float:
        """Return the operations that may be granted at once after idle time."""
        extra = BURST_SLACK_FRACTION * self.spare(workspace, rate)
        return max(workspace.burst + extra, self.start(workspace, rate), 1.0)

    def grant_seconds(self, workspace: Workspace, rate: float) -> float:
        """Return the lifetime of a grant in seconds.

        Operations granted in one window and used in the next exceed the rate there.
        """
        return min(
            MAX_GRANT_SECONDS, GRANT_SLACK_FRACTION * self.spare(workspace, rate) / rate
        )


DEFAULT_TOLERANCE: Final = RateTolerance(5.0, 0.1, 20.0)
"""Applies unless the platform specifies another tolerance."""
