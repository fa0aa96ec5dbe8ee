"""What a host knows of one group: leader, states of members, proofs."""

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
    """Learn from everything that says something of the group.

    :ivar view: what is passed on to other hosts.
    :ivar states: the newest state of each member seen on this host.
    :ivar highest_promised_term: the highest term that any member is known to have
        promised.
    :ivar on_leader: called when a new leader becomes known.
    :ivar on_durable: called when the durable position grows.
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
        """Return the member that leads in that term, or None if unknown."""
        return self.view.primary

    def record_leader(self, term: int, primary: str | None) -> None:
        """Take note of a leader term, and of who leads if that is known."""
        if not self.view.record_primary(term, primary):
            return
        self.leader_changed()

    def leader_changed(self) -> None:
        """Act on a new leader of the view."""
        self.highest_promised_term = max(self.highest_promised_term, self.view.term)
        self.durability.enter_term(self.view.term)
        if self.view.primary is None:
            return
        for callback in self.on_leader:
            callback(self.view.term, self.view.primary)

    def merge(self, other: GroupView) -> None:
        """Take over what another host knows better."""
        if self.view.merge(other):
            self.leader_changed()

    def merge_state(
        self,
        state: MemberState,
        asked: float,
        wait: float = 0.0,
        leaving: bool = False,
    ) -> None:
        """Learn from the state of a member; an older one changes nothing.

        :param asked: local monotonic time in seconds at which the question
            was sent that the state answers.
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
        """Learn from a write's answer what its primary holds.

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
        """Work out again what is durable at the current term."""
        mark = durable_position(
            self.states.values(), self.view.term, self.group.majority
        )
        if mark is not None and self.durability.advance(mark):
            for callback in self.on_durable:
                callback(mark)

    def age(self, applied: Position) -> float | None:
        """Return the proved upper bound of the age of `applied`, in seconds."""
        return self.samples.age(applied, self.clock.monotonic())


def state_order_key(state: MemberState) -> tuple[int, int, Position]:
    """Order the states of one member; each part only ever grows in this order."""
    return state.promised, state.leader_term, state.held
