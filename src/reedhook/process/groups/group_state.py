"""State of one group as known to a host: leader, members and proofs."""

from collections.abc import Callable
from typing import TypeAlias

from ...clock import Clock
from ...connection.target import MemberState, Role
from ...request.group_view import GroupView, MemberView
from ...request.position import Position
from ...version.catalog import Group
from .durability_tracker import DurabilityTracker, durable_position
from .primary_sample import PrimarySamples

LeaderCallback: TypeAlias = Callable[[int, str], None]
DurableCallback: TypeAlias = Callable[[Position], None]


class GroupState:
    """Merge all information about a group that reaches this host.

    :ivar view: the part that is sent to other hosts.
    :ivar states: the newest state of each member seen on this host.
    :ivar highest_promised_term: the highest term that any member is known to have
        promised.
    :ivar on_leader: callbacks for a new leader.
    :ivar on_durable: callbacks for an advance of the durable position.
    """

    def __init__(self, group: Group, clock: Clock) -> None:
        self.group = group
        self.clock = clock
        self.view = GroupView(group.name)
        self.states: dict[str, MemberState] = {}
        self.durability = DurabilityTracker()
        self.samples = PrimarySamples()
        self.highest_promised_term = 0
        self.on_leader: list[LeaderCallback] = []
        self.on_durable: list[DurableCallback] = []

    @property
    def term(self) -> int:
        """Return the highest leader term known."""
        return self.view.term

    @property
    def primary(self) -> str | None:
        """Return the member that leads in `term`, or None if unknown."""
        return self.view.primary

    def record_leader(self, term: int, primary: str | None) -> None:
        """Record a leader term, and its primary if known."""
        if not self.view.record_primary(term, primary):
            return
        self.leader_changed()

    def leader_changed(self) -> None:
        """Update the state and call the callbacks after a change of leader."""
        self.highest_promised_term = max(self.highest_promised_term, self.view.term)
        self.durability.enter_term(self.view.term)
        if self.view.primary is None:
            return
        for callback in self.on_leader:
            callback(self.view.term, self.view.primary)

    def merge(self, other: GroupView) -> None:
        """Merge the view of another host; newer information wins."""
        if self.view.merge(other):
            self.leader_changed()

    def merge_state(
        self,
        state: MemberState,
        asked: float,
        wait: float = 0.0,
        leaving: bool = False,
    ) -> None:
        """Merge the state of a member; an older state is ignored.

        :param asked: local monotonic time in seconds at which the state was
            requested.
        :param wait: expected wait of a new statement at the member's home, in seconds.
        :param leaving: whether the target is leaving and accepts no new work.
        """
        self.highest_promised_term = max(self.highest_promised_term, state.promised)
        if state.role is Role.PRIMARY:
            self.record_leader(state.leader_term, state.member)
        else:
            self.record_leader(state.leader_term, None)
        known = self.states.get(state.member)
        if known is None or state_order_key(state) >= state_order_key(known):
            self.states[state.member] = state
            self.update_watermark()
        now = self.clock.monotonic()
        self.view.merge_member(
            MemberView(
                state.member,
                state.applied,
                state.held,
                asked,
                wait,
                self.samples.age(state.applied, now),
                leaving,
            )
        )

    def record_write(self, member: str, position: Position) -> None:
        """Record that `member` holds a write that it executed as primary.

        The primary had promised no higher term when it wrote the entry.
        """
        known = self.states.get(member)
        if known is None or known.promised != position.term:
            return
        if known.role is not Role.PRIMARY or known.held >= position:
            return
        self.states[member] = MemberState(
            member,
            known.role,
            known.promised,
            known.leader_term,
            position,
            position,
            known.connections,
            known.revision,
        )
        self.update_watermark()

    def update_watermark(self) -> None:
        """Recompute the durable position of the current term."""
        watermark = durable_position(
            self.states.values(), self.view.term, self.group.majority
        )
        if watermark is not None and self.durability.advance(watermark):
            for callback in self.on_durable:
                callback(watermark)

    def age(self, applied: Position) -> float | None:
        """Return a proved upper bound of the age of `applied` in seconds, or None."""
        return self.samples.age(applied, self.clock.monotonic())


def state_order_key(state: MemberState) -> tuple[int, int, Position]:
    """Return the sort key of a member's states; it never decreases over time."""
    return state.promised, state.leader_term, state.held
