"""Guard against host lists that are misread or failures that go unreported."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TypeAlias

import pytest

from reedhook.process.fleet.hostlist import (
    HostListEntry,
    HostListUnavailableError,
    ListedState,
)
from reedhook.process.fleet.hostlist_http import HttpHostList
from reedhook_standins.hostlist import HostListStandin

from .fakes_clock import LoopClock
from .support import using

Pair: TypeAlias = tuple[HostListStandin, HttpHostList]

FIRST = HostListEntry("h1", "vittoria", "127.0.0.1:1001", ListedState.LIVE)
SECOND = HostListEntry("h2", "comiso", "127.0.0.1:1002", ListedState.LIVE)


@asynccontextmanager
async def listed(
    lag: float = 0.0,
) -> AsyncIterator[Pair]:
    standin = HostListStandin(LoopClock(), lag)
    standin.put(FIRST.host, FIRST.zone, FIRST.address)
    standin.put(SECOND.host, SECOND.zone, SECOND.address)
    await standin.listen()
    hosts = HttpHostList(standin.address)
    try:
        yield standin, hosts
    finally:
        await hosts.close()
        await standin.close()


@using(listed)
async def test_hosts_are_listed_with_their_state(pair: Pair) -> None:
    standin, hosts = pair
    assert await hosts.hosts(1.0) == [FIRST, SECOND]
    standin.leave("h1")
    standin.remove("h2")
    leaving = HostListEntry("h1", "vittoria", FIRST.address, ListedState.LEAVING)
    assert await hosts.hosts(1.0) == [leaving]


@using(lambda: listed(lag=60.0))
async def test_change_is_listed_only_after_the_lag(pair: Pair) -> None:
    standin, hosts = pair
    assert await hosts.hosts(1.0) == []
    standin.changes[0].at -= 90.0
    assert await hosts.hosts(1.0) == [FIRST]
    standin.lag = 0.0
    assert await hosts.hosts(1.0) == [FIRST, SECOND]


@using(listed)
async def test_host_list_that_is_down_is_reported_as_unavailable(pair: Pair) -> None:
    standin, hosts = pair
    standin.down = True
    with pytest.raises(HostListUnavailableError):
        await hosts.hosts(1.0)
    standin.down = False
    assert len(await hosts.hosts(1.0)) == 2


@using(listed)
async def test_malformed_response_is_reported_as_unavailable(pair: Pair) -> None:
    standin, hosts = pair
    hosts.url = hosts.url.with_path("/nothing")
    with pytest.raises(HostListUnavailableError):
        await hosts.hosts(1.0)
