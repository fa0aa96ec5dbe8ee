"""Local copy of the store, and updates from it since any revision."""

from collections.abc import Callable

import pytest
from hypothesis import given, strategies as st

from reedhook.process.discovery import store_mirror as module
from reedhook.process.discovery.key_value_store import (
    HistoryCompactedError,
    Item,
    Items,
)
from reedhook.process.discovery.store_mirror import StoreMirror

CHANGES = st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=30)


def items_of(mirror: StoreMirror) -> dict[str, bytes | None]:
    """Return the values of a mirror by key."""
    return {key: item.value for key, item in mirror.items.items()}


@given(CHANGES, st.integers(0, 30), st.integers(0, 30))
def test_who_follows_holds_the_same(
    changes: list[tuple[str, bool]], first: int, again: int
) -> None:
    relay, follower = StoreMirror(), StoreMirror()
    for revision, (key, kept) in enumerate(changes, 2):
        value = b"%d" % revision if kept else None
        relay.apply(Items([Item(key, value, revision)], revision))
        if revision in (first, again):
            follow(follower, relay)
    follow(follower, relay)
    assert items_of(follower) == items_of(relay)


def follow(follower: StoreMirror, relay: StoreMirror) -> None:
    """Update a follower from a relay, as hosts do."""
    try:
        follower.apply(Items(relay.changes(follower.revision), relay.revision))
    except HistoryCompactedError:
        follower.apply(Items(relay.written(follower.revision), relay.revision))
        follower.apply(Items(follower.missing(set(relay.items)), relay.revision))


def test_older_states_are_ignored() -> None:
    mirror = StoreMirror()
    assert mirror.apply(Items([Item("a", b"2", 5)], 5))
    assert not mirror.apply(Items([Item("a", b"1", 4)], 6))
    assert not mirror.apply(Items([Item("a", None, 5)], 6))
    assert mirror.apply(Items([Item("a", None, 7)], 7))
    assert not mirror.apply(Items([Item("a", b"1", 6)], 7))
    assert items_of(mirror) == {}


def test_changes_fail_if_deletions_are_no_longer_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "KEPT_DELETIONS", 2)
    mirror = StoreMirror()
    mirror.apply(Items([Item(key, b"v", 2) for key in "abcd"], 2))
    for revision, key in enumerate("abc", 3):
        mirror.apply(Items([Item(key, None, revision)], revision))
    assert [item.key for item in mirror.changes(3)] == ["b", "c"]
    with pytest.raises(HistoryCompactedError):
        mirror.changes(2)


@pytest.mark.parametrize("read", [StoreMirror.written, StoreMirror.changes])
def test_no_changes_after_the_newest_revision(
    read: Callable[[StoreMirror, int], list[Item]],
) -> None:
    mirror = StoreMirror()
    mirror.apply(Items([Item("a", b"v", 2), Item("b", None, 3)], 3))
    assert read(mirror, 3) == []
    assert not mirror.changed_after(3)
    assert mirror.changed_after(2)
