"""Garbage collector settings of the daemon."""

import gc
import weakref
from collections.abc import Iterator
from contextlib import contextmanager

from reedhook.process.collector import freeze_startup_objects


class Cycle:
    """Reference itself, so that only the garbage collector frees it."""

    def __init__(self) -> None:
        self.own = self


@contextmanager
def frozen_startup_objects() -> Iterator[None]:
    """Freeze the existing objects and unfreeze them at the end."""
    freeze_startup_objects()
    try:
        yield
    finally:
        gc.unfreeze()


def test_startup_objects_are_not_scanned_again() -> None:
    with frozen_startup_objects():
        assert not any(one is Cycle for one in gc.get_objects())


def test_later_garbage_is_still_collected() -> None:
    with frozen_startup_objects():
        reference = weakref.ref(Cycle())
        assert reference() is not None
        gc.collect()
        assert reference() is None
