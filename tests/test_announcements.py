"""How long hosts hold their questions for changes."""

from random import Random

import pytest

from reedhook.process.announced.announcements import HOSTS, MARGIN, Announcements
from reedhook.process.announced.keyspace import Item
from reedhook.process.decisions import Decisions

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeStore
from .session_world import PlainDocuments

ASKED = 200
IN_FORCE = 3.0
"""Seconds that the platform gives a configuration, at the least."""

LEFT_OUT = 7.0
"""Seconds in which a target that leaves is to get nothing any more, at the least."""


@pytest.mark.parametrize("hosts", [1, 9, 18, 40, 91, 740])
@in_virtual_time
async def test_questions_end_in_time_and_apart(hosts: int) -> None:
    clock = LoopClock()
    announcements = Announcements(
        FakeStore().client("h1"),
        PlainDocuments(),
        clock,
        Random(1),
        Decisions("h1", clock, out=None),
    )
    for number in range(hosts):
        announcements.take_own(Item(f"{HOSTS}h{number}", b"{}", number + 1))
    holds = [announcements.hold() for _ in range(ASKED)]
    assert max(holds) + MARGIN < LEFT_OUT
    # Some host asks soon enough to tell the others of a version.
    soonest = sorted(holds)[max(ASKED // max(hosts, 2) - 1, 0)]
    assert soonest + MARGIN < IN_FORCE
