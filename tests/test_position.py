"""The ordering rule of log positions."""

from hypothesis import given, strategies as st

from reedhook.request.position import Position

positions = st.builds(Position, st.integers(0, 5), st.integers(0, 50))


@given(positions, positions)
def test_a_later_term_covers_whatever_the_index(one: Position, other: Position) -> None:
    if one.term > other.term:
        assert one.covers(other)
        assert not other.covers(one)


@given(positions, positions, positions)
def test_covering_is_a_total_order(a: Position, b: Position, c: Position) -> None:
    assert a.covers(b) or b.covers(a)
    if a.covers(b) and b.covers(c):
        assert a.covers(c)
    if a.covers(b) and b.covers(a):
        assert a == b
