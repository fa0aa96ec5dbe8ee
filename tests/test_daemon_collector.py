"""The garbage collector of the daemon."""

import gc
import weakref
from collections.abc import Iterator
from contextlib import contextmanager

from reedhook.process.collector import freeze_startup_objects


class Cycle:
    """Refer to itself, so that only the collector frees it."""

    def __init__(self) -> None:
        self.own = self


@contextmanager
def spared() -> Iterator[None]:
    """Spare the collector what exists, and undo that at the end."""
    freeze_startup_objects()
    try:
        yield
    finally:
        gc.unfreeze()


def test_what_the_start_leaves_is_not_looked_at_again() -> None:
    with spared():
        assert not any(one is Cycle for one in gc.get_objects())


def test_what_comes_later_is_still_freed() -> None:
    with spared():
        gone = weakref.ref(Cycle())
        assert gone() is not None
        gc.collect()
        assert gone() is None
