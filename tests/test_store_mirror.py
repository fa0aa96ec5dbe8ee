"""Local copy of the store, and updates from it since any revision."""

from collections.abc import Callable, Mapping

import pytest
from hypothesis import given, strategies as st

from reedhook.process.discovery import store_mirror as module
from reedhook.process.discovery.key_value_store import (
    HistoryCompactedError,
    Item,
    Items,
)
from reedhook.process.discovery.store_mirror import StoreMirror
from reedhook.process.discovery.store_revision import StoreRevision

CHANGES = st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=30)


def items_of(mirror: StoreMirror) -> dict[str, bytes | None]:
    """Return the values of a mirror by key."""
    return {key: item.value for key, item in mirror.items.items()}


@given(CHANGES, st.integers(0, 30), st.integers(0, 30))
def test_who_follows_holds_the_same(
    changes: list[tuple[str, bool]], first: int, again: int
) -> None:
    relay, follower = StoreMirror(), StoreMirror()
    for number, (key, kept) in enumerate(changes, 2):
        value = b"%d" % number if kept else None
        relay.apply(changes_at(number, {key: value}))
        if number in (first, again):
            follow(follower, relay)
    follow(follower, relay)
    assert items_of(follower) == items_of(relay)


def follow(follower: StoreMirror, relay: StoreMirror) -> None:
    """Update a follower from a relay, as hosts do."""
    try:
        follower.apply(Items(relay.changes(follower.revision), relay.revision))
    except HistoryCompactedError:
        follower.apply(Items(relay.written(follower.revision), relay.revision))
        follower.apply(
            Items(follower.missing(set(relay.items), relay.revision), relay.revision)
        )


def revision(number: int) -> StoreRevision:
    """Return a revision of a store that was never restored."""
    return StoreRevision(0, number)


def changes_at(number: int, values: Mapping[str, bytes | None]) -> Items:
    """Return changes of several keys at one revision."""
    at = revision(number)
    return Items([Item(key, value, at) for key, value in values.items()], at)


def test_older_states_are_ignored() -> None:
    mirror = StoreMirror()
    assert mirror.apply(changes_at(5, {"a": b"2"}))
    assert not mirror.apply(Items([Item("a", b"1", revision(4))], revision(6)))
    assert not mirror.apply(Items([Item("a", None, revision(5))], revision(6)))
    assert mirror.apply(changes_at(7, {"a": None}))
    assert not mirror.apply(Items([Item("a", b"1", revision(6))], revision(7)))
    assert items_of(mirror) == {}


def test_deletion_before_a_restore_does_not_hide_a_write_after_it() -> None:
    """Guards against a deletion whose number is above those of the restored store and
    that a follower takes for one of the new epoch."""
    relay, follower = StoreMirror(), StoreMirror()
    for mirror in (relay, follower):
        mirror.apply(changes_at(45, {"a": b"lost"}))
    relay.apply(changes_at(51, {"a": None}))
    restored = Items([], StoreRevision(1, 40))
    relay.apply_restored(restored, True)
    relay.complete(restored.revision)
    found = Items(relay.changes(follower.revision), relay.revision)
    follower.apply_restored(found, False)
    follower.complete(found.revision)
    assert items_of(follower) == {}
    written = StoreRevision(1, 45)
    assert follower.apply(Items([Item("a", b"1", written)], written))
    assert follower.items["a"].revision == written


def test_changes_fail_if_deletions_are_no_longer_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "KEPT_DELETIONS", 2)
    mirror = StoreMirror()
    mirror.apply(changes_at(2, dict.fromkeys("abcd", b"v")))
    for number, key in enumerate("abc", 3):
        mirror.apply(changes_at(number, {key: None}))
    assert [item.key for item in mirror.changes(revision(3))] == ["b", "c"]
    with pytest.raises(HistoryCompactedError):
        mirror.changes(revision(2))


@pytest.mark.parametrize("read", [StoreMirror.written, StoreMirror.changes])
def test_no_changes_after_the_newest_revision(
    read: Callable[[StoreMirror, StoreRevision], list[Item]],
) -> None:
    mirror = StoreMirror()
    mirror.apply(
        Items([Item("a", b"v", revision(2)), Item("b", None, revision(3))], revision(3))
    )
    assert read(mirror, revision(3)) == []
    assert not mirror.changed_after(revision(3))
    assert mirror.changed_after(revision(2))
