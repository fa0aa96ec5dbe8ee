"""Invariants of terms and logs, for any order of steps."""

from hypothesis import given, settings, strategies as st

from reedhook.clock import Clock
from reedhook.request.position import Position
from reedhook_standins.group import GroupStandin
from reedhook_standins.log import LoggedStatement
from reedhook_standins.member import MemberStandin
from reedhook_standins.service import ServiceRefusal

NAMES = ["m1", "m2", "m3"]
MAJORITY = 2


class StepClock(Clock):
    """Advance by a second with each reading."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        self.now += 1.0
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        raise AssertionError("the rules wait for nothing")


class GroupModel:
    """Drive a group without connections, and record acknowledged entries.

    :ivar granted: the last position of each member that granted a term, by term and
        owner.
    :ivar led: the member that a coordinator promoted, by term and owner.
    """

    def __init__(self) -> None:
        self.group = GroupStandin("g1", NAMES, StepClock())
        self.granted: dict[tuple[int, str], dict[str, Position]] = {}
        self.led: dict[tuple[int, str], str] = {}
        self.acknowledged: set[Position] = set()
        for member in self.members:
            member.running.set()

    @property
    def members(self) -> list[MemberStandin]:
        return list(self.group.members.values())

    def campaign(self, voters: list[str], owner: str, raised: int) -> None:
        """Request promises of a term that is not lower than the voters' promises."""
        states = [self.group.members[name].state for name in voters]
        term = max(state.promised for state in states) + raised
        for state in states:
            state.raise_term(term, owner)
            grants = self.granted.setdefault((term, owner), {})
            grants.setdefault(state.member, state.held)

    def promote(self, owner: str) -> None:
        """Promote the best voter of the owner's last term, given a majority."""
        won = [
            term
            for (term, candidate), granted in self.granted.items()
            if candidate == owner and len(granted) >= MAJORITY
        ]
        if not won:
            return
        bid = (max(won), owner)
        grants = self.granted[bid]
        best = max(sorted(grants), key=lambda candidate: grants[candidate])
        state = self.group.members[self.led.setdefault(bid, best)].state
        state.promote(*bid)
        self.group.truth.lead(state.leader_term, state.log)

    def follow(self, name: str, back: int) -> None:
        """Follow one of the latest primaries."""
        led = sorted(self.led.items())
        if len(led) <= back:
            return
        (term, _), primary = led[-1 - back]
        if primary != name:
            self.group.members[name].state.follow(term, primary)

    def write(self, number: int) -> None:
        """Write on one of the members that act as primary."""
        leaders = [
            member for member in self.members if member.state.leader == member.name
        ]
        change = LoggedStatement("CREATE TABLE IF NOT EXISTS t (a)", [])
        leaders[number % len(leaders)].state.write(change, None)

    def ship(self, name: str, most: int) -> None:
        """Pull some entries from the member's primary."""
        member = self.group.members[name]
        for _ in range(most):
            entry = member.replication.next_entry()
            if entry is not None:
                member.state.take(entry)

    def acknowledge(self) -> None:
        """Acknowledge the entries that a majority holds in the term of its primary."""
        for leader in self.members:
            state = leader.state
            if state.leader != leader.name:
                continue
            held = state.held
            holders = [
                member
                for member in self.members
                if member.state.leader_term == held.term
                and member.state.held.covers(held)
            ]
            if held.term == state.leader_term and len(holders) >= MAJORITY:
                self.acknowledged.add(held)


names = st.sampled_from(NAMES)
owners = st.sampled_from(["h1", "h2"])
voters = st.sampled_from([["m1", "m2"], ["m2", "m3"], ["m1", "m3"], ["m2"], ["m3"]])
steps = st.one_of(
    st.tuples(st.just("campaign"), voters, owners, st.integers(0, 1)),
    st.tuples(st.just("promote"), owners),
    st.tuples(st.just("follow"), names, st.integers(0, 1)),
    st.tuples(st.just("write"), st.integers(0, 2)),
    st.tuples(st.just("ship"), names, st.integers(1, 3)),
)


@settings(max_examples=150)
@given(st.lists(steps, min_size=20, max_size=60))
def test_logs_match_and_acknowledged_entries_survive(
    taken: list[tuple[str, object]],
) -> None:
    model = GroupModel()
    for step, *arguments in taken:
        try:
            getattr(model, step)(*arguments)
        except ServiceRefusal:
            continue
        model.acknowledge()
        check(model)


def check(model: GroupModel) -> None:
    written = [entry.position for entry in model.group.truth.written]
    assert len(written) == len(set(written)), "two members wrote in one term"
    for one in model.members:
        for other in model.members:
            check_matching(one, other)
    for position in model.acknowledged:
        assert model.group.truth.holds(position), position


def check_matching(one: MemberStandin, other: MemberStandin) -> None:
    """Check that logs with a common position share all entries up to it."""
    left = one.state.log.entries
    right = other.state.log.entries
    shared = one.state.log.shared(other.state.log)
    assert left[:shared] == right[:shared]
    for index in range(shared, min(len(left), len(right))):
        assert left[index].position != right[index].position
