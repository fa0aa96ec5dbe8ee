"""The order of hosts that may hold a primary lease, kept until something changes.

Guards against an order that outlives a change, and against sorting all hosts at each
check of a holder, which grows with hosts times services.
"""

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.fleet.membership_directory import MembershipDirectory
from reedhook.process.fleet.membership_record import HostRecord, MembershipState
from reedhook.process.fleet.membership_table import MembershipTable
from reedhook.process.primary_lease.holder_failure_detector import HolderFailureDetector
from reedhook.process.primary_lease.holder_ranking import LeaseHolderRanking
from reedhook.process.primary_lease.lease_registry import PrimaryLeaseRegistry

from .fakes_clock import LoopClock, in_virtual_time
from .session_world import PlainDocuments


class Ranking:
    """Rank six hosts in three zones; count how often capacities are compared."""

    def __init__(self) -> None:
        clock = LoopClock()
        decisions = DecisionLog("h00", clock, output_fd=None)
        self.refs = [
            HostRef(f"h{zone}{number}", f"z{zone}", f"10.0.{zone}.{number}:1")
            for zone in range(3)
            for number in range(2)
        ]
        self.table = MembershipTable()
        for ref in self.refs:
            self.table.apply(HostRecord(ref, 1), 0.0)
        self.announcements = Announcements(PlainDocuments(), clock, decisions)
        self.weak: set[str] = set()
        self.version = 0
        self.comparisons = 0
        self.ranking = LeaseHolderRanking(
            self.refs[0],
            MembershipDirectory(self.refs[0], self.table),
            self.announcements,
            PrimaryLeaseRegistry(self.announcements, decisions),
            # The order does not depend on failure detection.
            HolderFailureDetector.__new__(HolderFailureDetector),
            self.is_weak,
            lambda: self.version,
        )

    def is_weak(self, host: str) -> bool:
        self.comparisons += 1
        return host in self.weak

    def hosts(self) -> list[str]:
        return [ref.host for ref in self.ranking.ranked("db")]


@in_virtual_time
async def test_order_is_computed_once_while_nothing_changes() -> None:
    ranking = Ranking()
    first = ranking.hosts()
    after_first = ranking.comparisons
    assert len(first) == 6
    assert [ranking.hosts() for _ in range(50)] == [first] * 50
    assert ranking.comparisons == after_first


@in_virtual_time
async def test_lost_host_leaves_the_order_and_returns() -> None:
    ranking = Ranking()
    first = ranking.hosts()
    lost = next(ref for ref in ranking.refs if ref.host == first[0])
    ranking.table.apply(HostRecord(lost, 1, MembershipState.DEAD), 1.0)
    assert ranking.hosts() == first[1:]
    ranking.table.apply(HostRecord(lost, 2), 2.0)
    assert ranking.hosts() == first


@in_virtual_time
async def test_host_that_becomes_weak_ranks_last() -> None:
    ranking = Ranking()
    first = ranking.hosts()
    ranking.weak.add(first[0])
    ranking.version += 1
    assert ranking.hosts() == [*first[1:], first[0]]
