"""Order of log positions: covering that is not total or ignores terms."""

from hypothesis import given, strategies as st

from reedhook.request.position import Position

positions = st.builds(Position, st.integers(0, 5), st.integers(0, 50))


@given(positions, positions)
def test_later_term_covers_any_index(first: Position, second: Position) -> None:
    if first.term > second.term:
        assert first.covers(second)
        assert not second.covers(first)


@given(positions, positions, positions)
def test_covering_is_a_total_order(a: Position, b: Position, c: Position) -> None:
    assert a.covers(b) or b.covers(a)
    if a.covers(b) and b.covers(c):
        assert a.covers(c)
    if a.covers(b) and b.covers(a):
        assert a == b
