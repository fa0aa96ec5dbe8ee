"""Order and wire form of revisions, and the epoch that a host knows."""

import pytest
from hypothesis import given, strategies as st

from reedhook.decision_log import DecisionLog
from reedhook.metrics import MemoryMetrics
from reedhook.process.discovery.store_epoch import StoreEpoch
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.wire import WireError

from .fakes_clock import LoopClock, in_virtual_time

COUNTS = st.integers(0, 2**53)


@given(COUNTS, COUNTS, COUNTS, COUNTS)
def test_order_is_total_with_the_epoch_first(a: int, b: int, c: int, d: int) -> None:
    """Guards against a number of an earlier epoch that counts as newer."""
    one, other = StoreRevision(a, b), StoreRevision(c, d)
    assert (one < other) == ((a, b) < (c, d))
    assert (one <= other) == (not one > other)
    assert (one >= other) == (not one < other)
    assert (one == other) == (one <= other and one >= other)


@given(COUNTS, COUNTS)
def test_wire_form_is_read_back(epoch: int, number: int) -> None:
    """Guards against another wire form while the store was never restored."""
    revision = StoreRevision(epoch, number)
    assert StoreRevision.from_json(revision.to_json()) == revision
    assert StoreRevision(0, number).to_json() == number


@pytest.mark.parametrize(
    "message", [None, True, -1, 1.0, "1", [], [1], [1, 2, 3], [1, -2], [True, 1], {}]
)
def test_malformed_wire_form_is_rejected(message: object) -> None:
    """Guards against a peer's malformed revision that ends a task."""
    with pytest.raises(WireError):
        StoreRevision.from_json(message)


@in_virtual_time
async def test_lower_epoch_changes_nothing() -> None:
    """Guards against a late answer that takes a host back to an earlier epoch."""
    metrics = MemoryMetrics()
    decisions = DecisionLog("h1", LoopClock(), output_fd=None)
    epoch = StoreEpoch(decisions, metrics)
    learned: list[int] = []
    epoch.on_change.append(learned.append)
    for stated in (0, 2, 1, 2, 3):
        epoch.learn(stated, "h2")
    assert (epoch.current, learned) == (3, [2, 3])
    assert metrics.counters["store.epochs"] == 2
