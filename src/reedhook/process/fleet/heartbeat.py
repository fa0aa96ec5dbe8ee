"""Failure detection by heartbeats between hosts.

Each host monitors the next hosts on a ring of its availability zone, periodically
probes a random host, and gossips urgent updates to a few peers. The number of
messages that a host sends does not depend on the number of hosts.
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

OTHER_ZONE_PROBE_ROUNDS: Final = 4
DEAD_HOST_PROBE_ROUNDS: Final = 2
SEED_PROBE_ROUNDS: Final = 5

log = logbook.Logger("heartbeat")


class Heartbeats:
    """Exchange heartbeats with other hosts.

    :param seeds: addresses (``IP:port``) at which other hosts may be found.
    :param list_addresses: reads more such addresses from the platform's list.
    :ivar refusing_hosts: hosts that refused the last connection attempt.
    :ivar on_answer: called with each response, its configuration version, the
        `Clock.boottime` of the request, and the id of the responding host.
    :ivar on_probe: adds fields to a request; called with it, and with whether the
        probed host was chosen at random.
    :ivar on_presumed_dead: called with the reason why other hosts may have declared
        this host dead.
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
        self.on_probe: Callable[[Json, bool], None] = lambda message, is_random: None
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
        self.probes_in_progress: set[str] = set()
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
        """Register the peer request handlers."""
        routes.add("heartbeat", self.answer_heartbeat)
        routes.add("members", self.answer_members)
        routes.add("reach", self.answer_reach)

    async def answer_heartbeat(self, body: Json) -> Json:
        """Handle a heartbeat request."""
        return self.membership.handle_heartbeat(body)

    async def answer_members(self, body: Json) -> Json:
        """Handle a pull request for differing records."""
        return self.membership.pull_answer(body)

    async def answer_reach(self, body: Json) -> Json:
        """Probe a host on behalf of a peer that gets no response from it."""
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
                # Statements that end after this may still call `request_probe`.
                self.group = self.discovery.group = None

    def some_peers(self, count: int) -> list[HostRef]:
        """Return up to `count` random live hosts."""
        return self.sample(self.others(self.table.refs()), count)

    async def probe(self, ref: HostRef, is_random: bool = False) -> bool:
        """Exchange one heartbeat; return whether the probed host itself responded.

        :param is_random: whether the host was chosen at random.
        """
        membership = self.membership
        timeout = self.timing.answer_timeout * self.health.timeout_factor
        message = membership.message_to(ref.host)
        self.on_probe(message, is_random)
        started = self.clock.monotonic()
        requested_at = self.clock.boottime()
        try:
            answer = await self.peers.call(ref, "heartbeat", message, timeout)
            sender = membership.merge(answer)
            self.on_answer(answer, answer["v"], requested_at, sender.ref.host)
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

    async def verify_liveness(
        self, record: HostRecord, is_random: bool = False
    ) -> bool:
        """Probe a host directly and indirectly; suspect it if all probes fail.

        The second direct probe uses a new connection, since the transport closes a
        connection on which a request timed out. Indirect probes run concurrently.
        """
        host = record.ref.host
        if host in self.probes_in_progress:
            return True
        self.probes_in_progress.add(host)
        started = self.clock.monotonic()
        try:
            if await self.probe(record.ref, is_random):
                return True
            probes = [self.probe(record.ref)]
            probes += [
                self.probe_indirectly(helper, record) for helper in self.helpers(host)
            ]
            answers = await asyncio.gather(*probes)
        finally:
            self.probes_in_progress.discard(host)
        if any(answers):
            return True
        if self.resumed_at > started or self.heard_since(host, started):
            return True
        self.membership.suspect(record)
        return False

    def heard_since(self, host: str, moment: float) -> bool:
        """Return whether a heartbeat from `host` arrived after `moment`."""
        return self.membership.last_contact_at.get(host, -1.0) > moment

    async def probe_indirectly(self, helper: HostRef, record: HostRecord) -> bool:
        """Ask `helper` to probe a host; return whether that host responded."""
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
        """Choose hosts for indirect probes, one of them in the zone of `host`."""
        zone = self.table.records[host].ref.zone if host in self.table.records else ""
        near = self.others(self.table.refs(zone), host)
        far = self.others(self.table.refs(), host)
        chosen = self.sample(near, 1)
        return chosen + self.sample([ref for ref in far if ref not in chosen], 1)

    def others(self, refs: list[HostRef], host: str = "") -> list[HostRef]:
        """Return `refs` except this host and `host`."""
        return [ref for ref in refs if ref.host not in (self.me.host, host)]

    def sample(self, refs: list[HostRef], count: int) -> list[HostRef]:
        """Return up to `count` random elements of `refs`."""
        return self.rng.sample(refs, min(count, len(refs)))

    def request_probe(self, host: str) -> None:
        """Probe `host` immediately after a call to it failed."""
        record = self.table.get(host)
        if self.group is None or record is None or not record.live:
            return
        if host not in self.probes_in_progress and host != self.me.host:
            self.group.create_task(self.run_requested_probe(record))

    async def run_requested_probe(self, record: HostRecord) -> None:
        """Verify the liveness of a host after a failed call."""
        await self.verify_liveness(record)

    async def run_maintenance(self) -> None:
        """Detect pauses of this host, expire records and update the watchers."""
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
        """Restart the timers of hosts that are not live after a pause of this host."""
        log.info(
            "This host was paused for {:.2f} s; restarting suspicion timers.", pause
        )
        self.resumed_at = now
        for host in self.table.not_live_hosts:
            self.table.since[host] = now

    def expire(self, now: float) -> None:
        """Declare suspected hosts dead and remove expired records."""
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
        """Return the seconds that a suspected host has to refute."""
        near = record.ref.zone == self.me.zone
        bound = (
            self.timing.refute_timeout
            if near
            else self.timing.other_zone_refute_timeout
        )
        # A refused connection does not depend on how slow this host is.
        refused = record.ref.host in self.refusing_hosts
        return bound if refused else bound * self.health.timeout_factor

    def watch(self) -> None:
        """Start and stop the tasks that monitor single hosts."""
        assert self.group is not None
        wanted = watched_hosts(self.me, self.table)
        for host in set(self.watchers) - wanted:
            self.watchers.pop(host).cancel()
        for host in sorted(wanted - set(self.watchers)):
            self.watchers[host] = self.group.create_task(self.watch_host(host))

    async def watch_host(self, host: str) -> None:
        """Probe `host` periodically, more often while it does not respond."""
        await self.clock.sleep(self.rng.random() * self.timing.watch_interval)
        while True:
            record = self.table.get(host)
            if record is None:
                return
            alive = await self.verify_liveness(record)
            pause = self.timing.watch_interval if alive else self.timing.tick_interval
            await self.clock.sleep(pause * self.health.timeout_factor)

    async def probe_random_hosts(self) -> None:
        """Probe random hosts: near ones each round, others every few rounds."""
        while True:
            await self.clock.sleep(
                self.timing.probe_interval * self.rng.uniform(0.8, 1.2)
            )
            self.rounds += 1
            near = self.next_near()
            if near is not None:
                await self.verify_liveness(near, True)
            if near is None or self.rounds % OTHER_ZONE_PROBE_ROUNDS == 0:
                await self.probe_other_zone()
            if near is None or self.rounds % DEAD_HOST_PROBE_ROUNDS == 0:
                await self.probe_dead_host()
            if self.rounds % SEED_PROBE_ROUNDS == 0:
                await self.discovery.probe_unknown_address()

    def next_near(self) -> HostRecord | None:
        """Return the next live host of this zone, in shuffled round-robin order."""
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
        """Probe a random host of another zone."""
        far = [ref for ref in self.table.refs() if ref.zone != self.me.zone]
        for ref in self.sample(far, 1):
            await self.verify_liveness(self.table.records[ref.host], True)

    async def probe_dead_host(self) -> None:
        """Probe a random dead host to detect a healed partition."""
        dead = [
            record.ref
            for record in self.table.records.values()
            if record.state is MembershipState.DEAD
        ]
        for ref in self.sample(dead, 1):
            await self.probe(ref)

    def record_mismatch(self, peer: HostRef) -> None:
        """Record a peer whose table differs, for `repair` to pull from."""
        self.mismatched_peer = peer

    async def repair(self) -> None:
        """Pull differing records from mismatched peers until cancelled."""
        while True:
            await self.clock.sleep(self.timing.pull_interval)
            peer, self.mismatched_peer = self.mismatched_peer, None
            if peer is not None and self.table.live(peer.host):
                await self.pull(peer)

    async def pull(self, peer: HostRef) -> int:
        """Pull differing records from a peer; return how many were applied."""
        request = self.membership.pull_request()
        try:
            answer = await self.peers.call(
                peer,
                "members",
                request,
                5 * self.timing.answer_timeout * self.health.timeout_factor,
            )
            return self.membership.merge_pulled(answer)
        except (PeerError, RefusalError, WireError):
            return 0


def nothing(answer: Json, version: int, asked: float, host: str) -> None:
    """Ignore a heartbeat response."""
