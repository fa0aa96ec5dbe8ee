"""Time since this host learned of the store's epoch."""

from ...clock import Clock
from ..discovery.store_epoch import StoreEpoch


class EpochAge:
    """Note when this host learned of the present epoch, which follows the restore.

    :ivar learned_at: that time, by `Clock.boottime`.
    """

    def __init__(self, epoch: StoreEpoch, clock: Clock) -> None:
        self.epoch = epoch
        self.clock = clock
        self.learned_at = float("-inf")
        epoch.on_change.append(self.handle_epoch)

    def handle_epoch(self, epoch: int) -> None:
        """Note the time of a new epoch."""
        self.learned_at = self.clock.boottime()

    def seconds(self) -> float:
        """Return the seconds since the epoch was learned; infinite for the first."""
        return self.clock.boottime() - self.learned_at
