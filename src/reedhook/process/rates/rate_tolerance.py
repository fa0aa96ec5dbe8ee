"""How strictly the rates of workspaces are held."""

from typing import Final

from ...record import Record
from ...version.workspace import Workspace

MAX_GRANT_SECONDS: Final = 2.0
"""Seconds for which operations that were granted may be admitted at the most."""

GRANT_SLACK_FRACTION: Final = 0.5
"""Share of the slack that grants which are not used at once may take up."""

INITIAL_SLACK_FRACTION: Final = 0.25
"""Share of the slack that a host may grant at once as it begins to count: what the
one before it has granted of late is not known to it."""

BURST_SLACK_FRACTION: Final = 0.2
"""Share of the slack by which the host that counts allows more at once, since what
it grants is not used at once everywhere."""


class RateTolerance(Record):
    """Say by how much a workspace may exceed its rate in any window.

    In a window, (rate * window + burst) * (1 + overshoot) + slack operations may run.

    :param window: seconds.
    :param overshoot: share of what the rate and the burst allow.
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
        """Return the operations that a host may grant as it begins to count."""
        return INITIAL_SLACK_FRACTION * self.spare(workspace, rate)

    def burst_limit(self, workspace: Workspace, rate: float) -> float:
        """Return the operations that may be granted at once after a pause."""
        extra = BURST_SLACK_FRACTION * self.spare(workspace, rate)
        return max(workspace.burst + extra, self.start(workspace, rate), 1.0)

    def grant_seconds(self, workspace: Workspace, rate: float) -> float:
        """Return the seconds for which a grant may be used.

        What is granted in a window and used in the next one is beyond the rate there.
        """
        return min(
            MAX_GRANT_SECONDS, GRANT_SLACK_FRACTION * self.spare(workspace, rate) / rate
        )


DEFAULT_TOLERANCE: Final = RateTolerance(5.0, 0.1, 20.0)
"""Hold where the platform states nothing else."""
