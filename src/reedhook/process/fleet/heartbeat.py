"""Heartbeats between hosts: who is asked, how often, and when one is suspected.

Each host watches the next few hosts on a ring of its availability zone, asks
a random host now and then, and spreads urgent news to a few at once. What a
host sends in an interval does not grow with the number of hosts.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import logbook

from ...clock import Clock
from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError, RefusalReason
from ...wire import Json, WireError
from .gossip_sender import GossipSender
from .heartbeat_timing import HeartbeatTiming
from .host_discovery import UNKNOWN_ID, HostDiscovery
from .local_health import LocalHealth
from .membership import Membership
from .membership_record import HostRecord, MembershipState
from .ring import watched_hosts

FAR_EVERY: Final = 4
DEAD_EVERY: Final = 2
SEED_EVERY: Final = 5

log = logbook.Logger("heartbeat")


class Heartbeats:
    """Exchange heartbeats with other hosts.

    :param seeds: addresses (``IP:port``) at which other hosts may be found.
    :param list_addresses: reads more such addresses from the platform's list.
    :ivar refusing_hosts: hosts that refused the last connection.
    :ivar on_answer: is given each answer, with the version that it states, when it
        was asked for by `Clock.elapsed`, and by whom it was given.
    :ivar on_presumed_dead: is told why other hosts may have taken this one for lost.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerClient,
        clock: Clock,
        rng: random.Random,
        seeds: Iterable[str] = (),
        timing: HeartbeatTiming | None = None,
        list_addresses: Callable[[], Awaitable[list[str]]] | None = None,
    ) -> None:
        self.membership = membership
        self.table = membership.table
        self.me = membership.me
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.timing = timing if timing is not None else HeartbeatTiming()
        self.refusing_hosts: set[str] = set()
        self.on_answer: Callable[[Json, int, float, str], None] = nothing
        self.on_presumed_dead: Callable[[str], None] = lambda cause: None
        self.health = LocalHealth(membership.me.zone, self.timing.answer_timeout, clock)
        self.discovery = HostDiscovery(
            self.me,
            self.table,
            self.probe,
            self.pull,
            clock,
            rng,
            seeds,
            list_addresses,
        )
        self.group: asyncio.TaskGroup | None = None
        self.watchers: dict[str, asyncio.Task[None]] = {}
        self.asked_now: set[str] = set()
        self.gossip_sender = GossipSender(
            self.me, self.table, self.probe, self.health, clock, rng
        )
        self.resumed_at = clock.monotonic()
        self.pulled_at = -self.timing.pull_interval
        self.mismatched_peer: HostRef | None = None
        self.shuffled: list[str] = []
        self.rounds = 0
        membership.on_urgent = self.gossip_sender.gossip_pending.set
        membership.on_refuted = self.health.worsen
        membership.on_declared_dead = lambda: self.on_presumed_dead("declared dead")
        membership.on_mismatch = self.record_mismatch

    def register(self, routes: PeerRoutes) -> None:
        """Add the handlers of this host."""
        routes.add("heartbeat", self.answer_heartbeat)
        routes.add("members", self.answer_members)
        routes.add("reach", self.answer_reach)

    async def answer_heartbeat(self, body: Json) -> Json:
        """Merge a heartbeat and answer it."""
        return self.membership.handle_heartbeat(body)

    async def answer_members(self, body: Json) -> Json:
        """Answer a pull of differing records."""
        return self.membership.pull_answer(body)

    async def answer_reach(self, body: Json) -> Json:
        """Ask a host on behalf of another that gets no answer from it."""
        record = HostRecord.from_json(body.get("host"))
        return {"alive": await self.probe(record.ref)}

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = self.discovery.group = group
            try:
                group.create_task(self.run_maintenance())
                group.create_task(self.gossip_sender.run())
                group.create_task(self.repair())
                await self.discovery.join()
                await group.create_task(self.probe_random_hosts())
            finally:
                # Statements that still end may doubt a host; nobody is asked then.
                self.group = self.discovery.group = None

    def some_peers(self, count: int) -> list[HostRef]:
        """Return up to `count` live hosts chosen at random."""
        return self.sample(self.others(self.table.refs()), count)

    async def probe(self, ref: HostRef) -> bool:
        """Exchange one heartbeat; return whether the host itself answered."""
        membership = self.membership
        timeout = self.timing.answer_timeout * self.health.timeout_factor
        started = self.clock.monotonic()
        asked = self.clock.boottime()
        try:
            answer = await self.peers.call(
                ref, "heartbeat", membership.message_to(ref.host), timeout
            )
            sender = membership.merge(answer)
            self.on_answer(answer, answer["v"], asked, sender.ref.host)
            if "died" in answer:
                membership.handle_death_report(answer["died"])
        except RefusalError as refusal:
            return refusal.reason is not RefusalReason.UNAUTHENTICATED
        except PeerError as error:
            late = self.clock.monotonic() - started >= timeout
            if late:
                self.health.record_timeout(ref)
            elif not error.sent:
                self.refusing_hosts.add(ref.host)
            return False
        except WireError:
            return False
        self.health.record_answer(sender.ref, self.clock.monotonic() - started)
        self.refusing_hosts.discard(ref.host)
        return ref.host in (UNKNOWN_ID, sender.ref.host)

    async def verify_liveness(self, record: HostRecord) -> bool:
        """Ask a host in all ways before it is suspected.

        The second question goes out on a new connection, since the transport
        gives up those on which the first got no answer. At the same time
        others are asked to reach it.
        """
        host = record.ref.host
        if host in self.asked_now:
            return True
        self.asked_now.add(host)
        started = self.clock.monotonic()
        try:
            if await self.probe(record.ref):
                return True
            questions = [self.probe(record.ref)]
            questions += [
                self.probe_indirectly(one, record) for one in self.helpers(host)
            ]
            answers = await asyncio.gather(*questions)
        finally:
            self.asked_now.discard(host)
        if any(answers):
            return True
        if self.resumed_at > started or self.heard_since(host, started):
            return True
        self.membership.suspect(record)
        return False

    def heard_since(self, host: str, moment: float) -> bool:
        """Return whether `host` gave a sign of life after `moment`."""
        return self.membership.last_contact_at.get(host, -1.0) > moment

    async def probe_indirectly(self, helper: HostRef, record: HostRecord) -> bool:
        """Let `helper` ask a host."""
        body: Json = {"host": record.to_json()}
        try:
            answer = await self.peers.call(
                helper,
                "reach",
                body,
                2 * self.timing.answer_timeout * self.health.timeout_factor,
            )
        except (PeerError, RefusalError):
            return False
        return answer.get("alive") is True

    def helpers(self, host: str) -> list[HostRef]:
        """Choose hosts to ask on our behalf, the zone of `host` first."""
        zone = self.table.records[host].ref.zone if host in self.table.records else ""
        near = self.others(self.table.refs(zone), host)
        far = self.others(self.table.refs(), host)
        chosen = self.sample(near, 1)
        return chosen + self.sample([ref for ref in far if ref not in chosen], 1)

    def others(self, refs: list[HostRef], host: str = "") -> list[HostRef]:
        """Return `refs` without this host and `host`."""
        return [ref for ref in refs if ref.host not in (self.me.host, host)]

    def sample(self, refs: list[HostRef], count: int) -> list[HostRef]:
        """Return up to `count` of `refs` at random."""
        return self.rng.sample(refs, min(count, len(refs)))

    def request_probe(self, host: str) -> None:
        """Ask `host` now, since a call to it failed."""
        record = self.table.get(host)
        if self.group is None or record is None or not record.live:
            return
        if host not in self.asked_now and host != self.me.host:
            self.group.create_task(self.run_requested_probe(record))

    async def run_requested_probe(self, record: HostRecord) -> None:
        """Check a host that a call failed to."""
        await self.verify_liveness(record)

    async def run_maintenance(self) -> None:
        """Notice a pause of this host, expire suspicions, forget, watch."""
        before = self.clock.monotonic()
        elapsed = self.clock.boottime()
        epoch = -1
        while True:
            await self.clock.sleep(self.timing.tick_interval)
            now = self.clock.monotonic()
            if self.clock.boottime() - elapsed > self.timing.presumed_dead_threshold:
                self.on_presumed_dead("paused")
            elapsed = self.clock.boottime()
            late = now - before - self.timing.tick_interval
            if late > self.timing.pause_threshold:
                self.resume(late, now)
            if late > self.timing.slow_tick_threshold:
                self.health.worsen()
            before = now
            self.expire(now)
            self.membership.expire_penalty(now)
            if epoch != self.table.epoch:
                epoch = self.table.epoch
                self.watch()

    def resume(self, pause: float, now: float) -> None:
        """Give all hosts a fresh chance after a pause of this one."""
        log.info("This host was paused for {:.2f} s.", pause)
        self.resumed_at = now
        for host in self.table.not_live_hosts:
            self.table.since[host] = now

    def expire(self, now: float) -> None:
        """Declare suspected hosts dead and forget those long gone."""
        for host in sorted(self.table.not_live_hosts - {self.me.host}):
            record = self.table.records[host]
            age = now - self.table.since[host]
            if (
                record.state is MembershipState.SUSPECTED
                and age >= self.refute_timeout(record)
            ):
                self.table.apply(record.in_state(MembershipState.DEAD), now)
                self.refusing_hosts.discard(host)
            elif (
                record.state is MembershipState.GONE
                and age >= self.timing.gone_retention
            ):
                self.table.forget(host, now)
            elif (
                record.state is MembershipState.DEAD
                and age >= self.timing.dead_retention
            ):
                self.table.forget(host, now)

    def refute_timeout(self, record: HostRecord) -> float:
        """Return how long a suspected host may refute."""
        near = record.ref.zone == self.me.zone
        bound = (
            self.timing.refute_timeout
            if near
            else self.timing.other_zone_refute_timeout
        )
        # That nobody listens there is true however slow this host is.
        sure = record.ref.host in self.refusing_hosts
        return bound if sure else bound * self.health.timeout_factor

    def watch(self) -> None:
        """Start and stop the tasks that watch single hosts."""
        assert self.group is not None
        wanted = watched_hosts(self.me, self.table)
        for host in set(self.watchers) - wanted:
            self.watchers.pop(host).cancel()
        for host in sorted(wanted - set(self.watchers)):
            self.watchers[host] = self.group.create_task(self.watch_host(host))

    async def watch_host(self, host: str) -> None:
        """Ask `host` again and again, at once more often while suspected."""
        await self.clock.sleep(self.rng.random() * self.timing.watch_interval)
        while True:
            record = self.table.get(host)
            if record is None:
                return
            alive = await self.verify_liveness(record)
            pause = self.timing.watch_interval if alive else self.timing.tick_interval
            await self.clock.sleep(pause * self.health.timeout_factor)

    async def probe_random_hosts(self) -> None:
        """Ask a random host each round; now and then far, dead and seed ones."""
        while True:
            await self.clock.sleep(
                self.timing.probe_interval * self.rng.uniform(0.8, 1.2)
            )
            self.rounds += 1
            near = self.next_near()
            if near is not None:
                await self.verify_liveness(near)
            if near is None or self.rounds % FAR_EVERY == 0:
                await self.probe_other_zone()
            if near is None or self.rounds % DEAD_EVERY == 0:
                await self.probe_dead_host()
            if self.rounds % SEED_EVERY == 0:
                await self.discovery.probe_unknown_address()

    def next_near(self) -> HostRecord | None:
        """Return the next host of the own zone, all in turn in a random order."""
        for _ in range(2):
            while self.shuffled:
                record = self.table.get(self.shuffled.pop())
                if record is not None and record.live:
                    return record
            self.shuffled = [
                ref.host for ref in self.others(self.table.refs(self.me.zone))
            ]
            self.rng.shuffle(self.shuffled)
        return None

    async def probe_other_zone(self) -> None:
        """Ask a random host of another zone."""
        far = [ref for ref in self.table.refs() if ref.zone != self.me.zone]
        for ref in self.sample(far, 1):
            await self.verify_liveness(self.table.records[ref.host])

    async def probe_dead_host(self) -> None:
        """Ask a random dead host, so that healed partitions are noticed."""
        dead = [
            record.ref
            for record in self.table.records.values()
            if record.state is MembershipState.DEAD
        ]
        for ref in self.sample(dead, 1):
            await self.probe(ref)

    def record_mismatch(self, peer: HostRef) -> None:
        """Remember a peer whose table differs; `repair` looks into it."""
        self.mismatched_peer = peer

    async def repair(self) -> None:
        """Pull differing records once the news had its chance."""
        while True:
            await self.clock.sleep(self.timing.pull_interval)
            peer, self.mismatched_peer = self.mismatched_peer, None
            if peer is not None and self.table.live(peer.host):
                await self.pull(peer)

    async def pull(self, peer: HostRef) -> int:
        """Pull differing records; return how many were new."""
        request = self.membership.pull_request()
        try:
            answer = await self.peers.call(
                peer,
                "members",
                request,
                5 * self.timing.answer_timeout * self.health.timeout_factor,
            )
            return self.membership.take_pulled(answer)
        except (PeerError, RefusalError, WireError):
            return 0


def nothing(answer: Json, version: int, asked: float, host: str) -> None:
    """Take nothing over from an answer."""
