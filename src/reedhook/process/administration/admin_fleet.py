"""Queries of operators to all hosts, and the handlers that answer them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...record import Record
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...wire import Json, WireError
from ..events.timeline import Event
from ..events.timeline_filter import EventFilter
from ..events.timeline_merge import EventHistory, merge
from .admin_source import AdminSource
from .admin_status import HostStatus

MAX_CONCURRENT_REQUESTS: Final = 32
TIMEOUT_SECONDS: Final = 2.0
MAX_EVENTS: Final = 1000
RETRY_MS: Final = 1000

T = TypeVar("T")


class HostEvents(Record):
    """Hold events of one host.

    :param truncated: whether older matching events were left out.
    """

    __slots__ = ("events", "truncated")

    def __init__(self, events: list[Event], truncated: bool) -> None:
        self.events = events
        self.truncated = truncated


class FleetQueries:
    """Query all hosts, with a limit on concurrent requests."""

    __slots__ = ("source", "peers")

    def __init__(self, source: AdminSource, peers: PeerClient) -> None:
        self.source = source
        self.peers = peers

    def register(self, routes: PeerRoutes) -> None:
        """Register the peer paths ``status``, ``events`` and ``drain``."""
        routes.add("status", self.answer_status)
        routes.add("events", self.answer_events)
        routes.add("drain", self.answer_drain)

    async def answer_status(self, body: Json) -> Json:
        """Answer the peer path ``status``."""
        return self.source.status().to_json()

    async def answer_events(self, body: Json) -> Json:
        """Answer the peer path ``events``; the body is a filter."""
        part = self.own_part(EventFilter.from_json(body))
        return {
            "events": [event.to_json() for event in part.events],
            "cut": part.truncated,
        }

    async def answer_drain(self, body: Json) -> Json:
        """Answer the peer path ``drain``."""
        self.source.start_drain()
        return {"host": self.source.me.host}

    def own_part(self, wanted: EventFilter) -> "HostEvents":
        """Return the newest events of this host that match the filter."""
        events = [
            event for event in self.source.timeline.events if wanted.accepts(event)
        ]
        return HostEvents(events[-MAX_EVENTS:], len(events) > MAX_EVENTS)

    async def statuses(self) -> tuple[list[HostStatus], dict[str, str]]:
        """Return the status of each host, and errors of hosts that did not respond."""
        answers, missing = await self.query_hosts(self.status_of)
        return [self.source.status(), *answers.values()], missing

    async def history(self, wanted: EventFilter, everywhere: bool) -> EventHistory:
        """Return the events of this host or of all hosts in one causal order."""
        parts: dict[str, HostEvents] = {}
        missing: dict[str, str] = {}

        async def fetch_events(peer: HostRef) -> HostEvents:
            answer = await self.call(peer, "events", wanted.to_json())
            events = [Event.from_json(event) for event in answer["events"]]
            return HostEvents(events, answer["cut"] is True)

        if everywhere:
            hosts = self.asked_hosts(wanted)
            parts, missing = await self.query_hosts(fetch_events, hosts)
        parts[self.source.me.host] = self.own_part(wanted)
        truncated = tuple(host for host, part in parts.items() if part.truncated)
        event_lists = [part.events for part in parts.values()]
        return EventHistory(merge(event_lists), missing, truncated)

    def asked_hosts(self, wanted: EventFilter) -> list[HostRef]:
        """Return the other hosts that may have matching events."""
        others = self.source.others()
        if wanted.host is None:
            return others
        return [peer for peer in others if peer.host == wanted.host]

    async def drain(self, host: str) -> None:
        """Start to drain `host`.

        :raises RefusalError: if it is unknown or does not respond.
        """
        if host == self.source.me.host:
            self.source.start_drain()
            return
        for peer in self.source.others():
            if peer.host == host:
                await self.drain_other(peer)
                return
        raise not_run(RefusalReason.BAD_REQUEST, f"unknown host {host}")

    async def drain_other(self, peer: HostRef) -> None:
        """Forward a drain request to another host."""
        try:
            await self.call(peer, "drain", {})
        except PeerError as error:
            detail = f"{peer.host} did not respond; the request may be repeated safely"
            refuse = may_have_run if error.sent else not_run
            raise refuse(RefusalReason.HOST_UNREACHABLE, detail, RETRY_MS) from error

    async def status_of(self, peer: HostRef) -> HostStatus:
        """Return the status of another host."""
        return HostStatus.from_json(await self.call(peer, "status", {}))

    async def call(self, peer: HostRef, path: str, body: Json) -> Json:
        """Call another host."""
        return await self.peers.call(peer, path, body, TIMEOUT_SECONDS)

    async def query_hosts(
        self,
        question: Callable[[HostRef], Awaitable[T]],
        hosts: Iterable[HostRef] | None = None,
    ) -> tuple[dict[str, T], dict[str, str]]:
        """Return the responses and the errors, each by host.

        :param hosts: all other hosts if None.
        """
        answers: dict[str, T] = {}
        missing: dict[str, str] = {}
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def query_host(peer: HostRef) -> None:
            async with semaphore:
                try:
                    answers[peer.host] = await question(peer)
                except (PeerError, RefusalError) as error:
                    missing[peer.host] = str(error)
                except (WireError, KeyError, TypeError) as error:
                    missing[peer.host] = f"malformed response: {error}"

        async with asyncio.TaskGroup() as tasks:
            for peer in self.source.others() if hosts is None else hosts:
                tasks.create_task(query_host(peer))
        return answers, missing
