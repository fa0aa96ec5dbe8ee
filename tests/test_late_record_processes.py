"""Real hosts whose writes of the lease record are lost and take effect late.

Guards against commits at a superseded primary, and reads that lack them, if the holder
ends while the store may still record the successor that it has chosen.
"""

import asyncio
import base64
from pathlib import Path
from random import Random
from typing import Final

import orjson
import pytest
from aiohttp import web

from reedhook_standins.soak.faults import (
    FaultContext,
    Killed,
    Paused,
    Restarted,
    SoakFault,
    happens,
    writes_lease,
)
from reedhook_standins.soak.soak import Soak
from reedhook_standins.unanswered import UnansweredCalls

HOSTS: Final = 6

QUIET_SECONDS: Final = 4.0
"""Time after the start in which the hosts write their first lease records."""

OUTAGE_SECONDS: Final = 1.2
LATE_SECONDS: Final = 3.0
"""Time after which a lost write takes effect, if its condition still holds."""

LONGEST_LOSS_SECONDS: Final = 6.0
"""Writes of the lease record are lost until one takes effect, at most this long."""

END_DELAY_SECONDS: Final = 0.15
SLOW_LINK_SECONDS: Final = 0.3
"""Delay of the other hosts' links to the former primary, which is demoted later."""


class LateCalls(UnansweredCalls):
    """Apply all chosen calls equally late.

    :ivar successors: number of chosen calls that record a successor.
    """

    successors = 0

    async def choose(self, request: web.Request) -> float | None:
        if await super().choose(request) is None:
            return None
        writes = orjson.loads(await request.read())["writes"]
        self.successors += any(b'"successor":""' not in decoded(row) for row in writes)
        return LATE_SECONDS


class LostRecords(SoakFault):
    """Lose all writes of the lease record around a short outage, and end the holder.

    :param end: how the holder ends.
    :param after: whether it ends after the late write took effect, or before.
    """

    def __init__(self, end: type[SoakFault], after: bool) -> None:
        self.end = end
        self.after = after
        self.calls = LateCalls(Random(1), 1.0, 1000, 1.0, writes_lease)

    async def strike(self, field: FaultContext) -> str:
        await asyncio.sleep(QUIET_SECONDS)
        around, holder = field.around, field.lease_holder()
        primary = around.group.primary
        links = [
            around.links[host.name, primary.entry.target]
            for host in field.hosts
            if host is not holder
        ]
        losing = asyncio.create_task(self.lose(field))
        primary.down = True
        await asyncio.sleep(OUTAGE_SECONDS)
        primary.down = False
        for link in links:
            link.delay = SLOW_LINK_SECONDS
        if self.after:
            await losing
        await asyncio.sleep(END_DELAY_SECONDS)
        description = await self.end().strike(field.only(holder))
        await losing
        for link in links:
            link.heal()
        return description

    async def lose(self, field: FaultContext) -> None:
        """Leave all writes of the lease record unanswered until one takes effect."""
        field.around.store.unanswered = self.calls
        await happens(self.calls.late_applied, LONGEST_LOSS_SECONDS)
        field.around.store.unanswered = None


class LostRecordsSoak(Soak):
    """Run one order of events instead of drawn faults."""

    fault: LostRecords

    async def disturb(self) -> None:
        self.struck.append(await self.inject(self.fault, self.fault_context()))


@pytest.mark.parametrize("after", [False, True], ids=["before", "after"])
@pytest.mark.parametrize("end", [Restarted, Killed, Paused])
def test_holder_ends_while_its_record_is_late(
    end: type[SoakFault], after: bool, tmp_path: Path
) -> None:
    soak = LostRecordsSoak(1, HOSTS, 0.0, tmp_path)
    soak.fault = LostRecords(end, after)
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.fault.calls.successors
    assert soak.fault.calls.late_applied.is_set()


def decoded(row: dict[str, str]) -> bytes:
    """Return the value of a write."""
    return base64.b64decode(row["value"])
