"""The homes at this host: taken and released as hosts and configuration change."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Final, TypeAlias

import logbook

from ...clock import Clock
from ...connection.home import Home
from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...request.statement import Statement
from ...version.catalog import Catalog, Group, Limits, Member
from ...wire import Json, WireError
from ..events.timeline import EventKind, Timeline
from ..fleet.membership import Membership
from ..fleet.membership_directory import MembershipDirectory
from ..fleet.membership_record import MembershipState
from ..fleet.rendezvous import connection_quota

HomeFactory: TypeAlias = Callable[[Group, Member, int], Home]

TAKEOVER_PATH: Final = "takeover"
TAKEOVER_TIMEOUT_SECONDS: Final = 1.0
TAKEOVER_WAIT_SECONDS: Final = 0.5
# How long targets are kept for a host that said it would leave and did not.
TAKEOVER_VALIDITY_SECONDS: Final = 5.0
# Hosts whose view is a little older still find the former home meanwhile.
RELEASE_DELAY_SECONDS: Final = 0.2
RECONCILE_INTERVAL_SECONDS: Final = 5.0
MIN_RECONCILE_PAUSE_SECONDS: Final = 0.002
# After a pass that took long, the next one waits many times as long.
RECONCILE_PAUSE_FACTOR: Final = 10.0
GROWTH_AFTER_SECONDS: Final = 10.0

log = logbook.Logger("homes")


class HeldHome:
    """Hold a home with what it was made from.

    :ivar since: monotonic time in seconds at which it was taken.
    :ivar release_at: monotonic time at which it is to be released, or None.
    """

    __slots__ = ("home", "group", "member", "connection_limit", "since", "release_at")

    def __init__(
        self,
        home: Home,
        group: Group,
        member: Member,
        connection_limit: int,
        since: float,
    ) -> None:
        self.home = home
        self.group = group
        self.member = member
        self.connection_limit = connection_limit
        self.since = since
        self.release_at: float | None = None

    def fits(self, group: Group, member: Member) -> bool:
        """Return whether a configuration leaves this home as it is."""
        same = self.member == member and self.group.slots == group.slots
        return same and self.group.connections == group.connections

    def adopt(self, group: Group) -> None:
        """Take over a description that differs in other members only."""
        if group != self.group:
            self.group = self.home.group = group


class LocalHomes:
    """Keep a home for each target whose home this host is.

    :param make_home: makes a home from group, member and share.
    :param joined: set once this host knows the others.
    """

    def __init__(
        self,
        membership: Membership,
        directory: MembershipDirectory,
        peers: PeerClient,
        clock: Clock,
        timeline: Timeline,
        make_home: HomeFactory,
        joined: asyncio.Event,
    ) -> None:
        self.membership = membership
        self.directory = directory
        self.me = directory.me
        self.peers = peers
        self.clock = clock
        self.timeline = timeline
        self.make_home = make_home
        self.limits = Limits()
        self.joined = joined
        self.catalog: Catalog | None = None
        self.configured: set[str] = set()
        self.held: dict[str, HeldHome] = {}
        self.closing: dict[str, list[Home]] = {}
        self.closed: dict[str, Home] = {}
        self.closers: set[asyncio.Task[None]] = set()
        self.former: dict[str, HostRef | None] = {}
        self.takeover_requests: dict[str, tuple[str, float]] = {}
        self.draining = False
        self.change_event = asyncio.Event()
        self.reconciled_event = asyncio.Event()
        self.callbacks: list[Callable[[], None]] = []
        directory.subscribe(self.change_event.set)

    def register(self, routes: PeerRoutes) -> None:
        """Add the handler of this host."""
        routes.add(TAKEOVER_PATH, self.handle_takeover)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the set of homes."""
        self.callbacks.append(callback)

    def apply(self, catalog: Catalog) -> None:
        """Put a configuration in force; homes that it leaves alone stay."""
        self.catalog = catalog
        self.configured = {member.member_id for _, member in targets(catalog)}
        self.limits = catalog.limits
        for held in self.held.values():
            held.home.update_limits(catalog.limits)
        self.change_event.set()

    def get(self, member: str) -> Home | None:
        """Return the home of `member` if it is here and takes new work."""
        held = self.held.get(member)
        return None if held is None else held.home

    def of_group(self, group: str) -> list[Home]:
        """Return the homes here of the members of `group`."""
        return [held.home for held in self.held.values() if held.group.name == group]

    def closing_of(self, member: str) -> list[Home]:
        """Return former homes of `member` in which transactions may still end."""
        return list(self.closing.get(member, ()))

    def open_and_closing_homes(self, group: str) -> list[Home]:
        """Return the homes of `group` here, with former ones that still close."""
        closing = [home for homes in self.closing.values() for home in homes]
        former = [home for home in closing if home.group.name == group]
        return self.of_group(group) + former

    def find_transaction_home(self, member: str, statement: Statement) -> Home:
        """Return the home that holds a statement's transaction, former ones too.

        :raises Refusal: if it is not open here; the last home that closed
            still tells why it ended a transaction.
        """
        former = [*self.closing_of(member), self.closed.get(member)]
        homes = [home for home in (self.get(member), *former) if home is not None]
        for home in homes:
            if home.has_transaction(statement.transaction or ""):
                return home
        for home in homes:
            refusal = home.unknown_transaction_refusal(statement)
            if refusal.reason is RefusalReason.TRANSACTION_LOST:
                raise refusal
        raise not_run(
            RefusalReason.UNKNOWN_TRANSACTION, "no such transaction is open here"
        )

    async def run(self) -> None:
        """Follow hosts and configuration until cancelled.

        A host that knows no other yet would take homes that are not its own.
        """
        await self.joined.wait()
        while True:
            await self.wait_for_change()
            self.change_event.clear()
            started = self.clock.monotonic()
            await self.reconcile()
            cost = self.clock.monotonic() - started
            self.reconciled_event.set()
            await self.clock.sleep(
                max(MIN_RECONCILE_PAUSE_SECONDS, RECONCILE_PAUSE_FACTOR * cost)
            )

    async def wait_for_change(self) -> None:
        """Wait for a change, or for the next home that is due."""
        now = self.clock.monotonic()
        due = [one.release_at for one in self.held.values() if one.release_at]
        wait = min([now + RECONCILE_INTERVAL_SECONDS, *due]) - now
        try:
            async with asyncio.timeout(max(wait, 0.0)):
                await self.change_event.wait()
        except TimeoutError:
            return

    async def reconcile(self) -> None:
        """Take and release homes until they match hosts and configuration."""
        if self.catalog is None or self.draining:
            return
        now = self.clock.monotonic()
        wanted = {member.member_id: (group, member) for group, member in self.wanted()}
        changed = False
        for name, held in list(self.held.items()):
            if name not in wanted:
                changed |= self.release_after_delay(name, held, now)
            else:
                held.release_at = None
        kept = await asyncio.gather(
            *(self.ensure_home(group, member, now) for group, member in wanted.values())
        )
        if changed or any(kept):
            self.notify()

    def wanted(self) -> Iterator[tuple[Group, Member]]:
        """Iterate over the targets whose home is here by the view of this host."""
        served: dict[str, bool] = {}
        for group, member in targets(self.catalog):
            zone = member.zone
            if self.takeover_requested(member.member_id):
                yield group, member
                continue
            if zone not in served:
                served[zone] = self.directory.has_live_host(zone)
            if zone != self.me.zone and (
                served[zone] or not self.has_connection_share(group, zone)
            ):
                continue
            home = self.directory.home(member.member_id, zone)
            if home == self.me:
                yield group, member
            else:
                self.former[member.member_id] = home

    def has_connection_share(self, group: Group, zone: str) -> bool:
        """Return whether a host outside `zone` may connect to a target there.

        It ranks after the zone's known hosts, of which a large zone has too
        many to leave anything. Ranking all hosts for each target of a lost
        region would hold the loop up for long, and for nothing.
        """
        return (
            connection_quota(group.connections, self.directory.known_host_count(zone))
            > 0
        )

    def takeover_requested(self, member: str) -> bool:
        """Return whether a host that is about to leave passed `member` on."""
        promise = self.takeover_requests.get(member)
        if promise is None:
            return False
        leaver, until = promise
        if self.membership.table.live(leaver) and self.clock.monotonic() < until:
            return True
        del self.takeover_requests[member]
        return False

    async def ensure_home(self, group: Group, member: Member, now: float) -> bool:
        """Make the home of a target unless it is there as it should be."""
        held = self.held.get(member.member_id)
        size = self.connection_share(group, member)
        if held is None:
            return await self.open_home(
                group, member, size, self.takeover_cause(member.member_id)
            )
        grown = size > held.connection_limit and now - held.since > GROWTH_AFTER_SECONDS
        if held.fits(group, member) and not (grown or size < held.connection_limit):
            held.adopt(group)
            return False
        cause = "share" if held.fits(group, member) else "configuration"
        self.release(member.member_id, cause)
        return await self.open_home(group, member, size, cause)

    def connection_share(self, group: Group, member: Member) -> int:
        """Return the connections that this host may open to a target."""
        rank = self.directory.rank_of(member.member_id, member.zone, self.me.host)
        return 0 if rank is None else connection_quota(group.connections, rank)

    async def open_home(
        self, group: Group, member: Member, size: int, cause: str
    ) -> bool:
        """Make and start a home; return whether it is there now."""
        if size == 0:
            return False
        home = self.make_home(group, member, size)
        try:
            await home.start()
        except Exception:
            log.exception("The home of {} did not start.", member.member_id)
            return False
        now = self.clock.monotonic()
        self.held[member.member_id] = HeldHome(home, group, member, size, now)
        self.timeline.record(
            EventKind.HOME_TAKEN, member.member_id, cause=cause, share=size
        )
        return True

    def takeover_cause(self, member: str) -> str:
        """Say why this host takes over `member`."""
        former = self.former.pop(member, None)
        if member in self.takeover_requests:
            return f"{self.takeover_requests[member][0]} is leaving"
        if former is None:
            return "start"
        record = self.membership.table.get(former.host)
        state = MembershipState.GONE if record is None else record.state
        if state <= MembershipState.SUSPECTED:
            return f"preferred to {former.host}"
        return f"{former.host} is {state.name.lower()}"

    def release_after_delay(self, member: str, held: HeldHome, now: float) -> bool:
        """Release a home that is another host's, once that had time to start."""
        if member not in self.configured:
            self.release(member, "configuration")
            return True
        if held.release_at is None:
            held.release_at = now + RELEASE_DELAY_SECONDS
        if now < held.release_at:
            return False
        former = self.former.get(member)
        self.release(member, "home moved", to=former.host if former else None)
        return True

    def release(self, member: str, cause: str, to: str | None = None) -> None:
        """Let a home take no new work and close once its work has ended."""
        held = self.held.pop(member)
        self.timeline.record(EventKind.HOME_RELEASED, member, cause=cause, to=to)
        self.closing.setdefault(member, []).append(held.home)
        task = asyncio.create_task(self.close_home(member, held.home))
        self.closers.add(task)
        task.add_done_callback(self.closers.discard)

    async def close_home(self, member: str, home: Home) -> None:
        """Close a home after its grace period."""
        try:
            await home.close(float(self.limits.drain_s))
        except Exception:
            log.exception("The home of {} did not close.", member)
        finally:
            self.closed[member] = home
            self.closing[member].remove(home)
            if not self.closing[member]:
                del self.closing[member]
            self.notify()

    def notify(self) -> None:
        """Tell that the set of homes has changed."""
        for callback in self.callbacks:
            callback()

    async def handle_takeover(self, body: Json) -> Json:
        """Take homes over from a host that is about to leave.

        The host is still live for others; it leaves once these homes are here.
        """
        leaver, members = body.get("host"), body.get("members")
        if not isinstance(leaver, str) or not isinstance(members, list):
            raise WireError("a host that leaves and its targets are expected")
        until = self.clock.monotonic() + TAKEOVER_VALIDITY_SECONDS
        known = self.configured.intersection(map(str, members))
        self.takeover_requests.update(dict.fromkeys(known, (leaver, until)))
        await self.wait_for_homes(known)
        return {"taken": [one for one in members if one in self.held]}

    async def wait_for_homes(self, members: set[str]) -> None:
        """Wait a little until the homes of `members` are here."""
        try:
            async with asyncio.timeout(TAKEOVER_WAIT_SECONDS):
                while not members <= self.held.keys():
                    self.reconciled_event.clear()
                    self.change_event.set()
                    await self.reconciled_event.wait()
        except TimeoutError:
            return

    async def drain(self) -> None:
        """Hand all homes over, then let work in progress end.

        The next in rank is told first, so that it is ready before any host
        looks for it.
        """
        self.draining = True
        await asyncio.gather(
            *(
                self.request_takeover(ref, names)
                for ref, names in self.successors().items()
            )
        )
        self.membership.leave()
        await self.clock.sleep(RELEASE_DELAY_SECONDS)
        for member in list(self.held):
            self.release(member, "drain")
        self.notify()
        await asyncio.gather(*self.closers)

    def successors(self) -> dict[HostRef, list[str]]:
        """Return which targets go to which host when this one leaves."""
        found: dict[HostRef, list[str]] = {}
        for name, held in self.held.items():
            ref = self.directory.successor(name, held.member.zone)
            if ref is not None:
                found.setdefault(ref, []).append(name)
        return found

    async def request_takeover(self, ref: HostRef, members: list[str]) -> None:
        """Ask `ref` to take targets over; without an answer it learns it later."""
        body: Json = {
            "host": self.me.host,
            "members": members,
        }
        try:
            await self.peers.call(ref, TAKEOVER_PATH, body, TAKEOVER_TIMEOUT_SECONDS)
        except (PeerError, RefusalError) as error:
            log.info("{} did not take over: {}", ref.host, error)

    async def close(self) -> None:
        """Close all homes at once."""
        homes = [held.home for held in self.held.values()]
        self.held.clear()
        await asyncio.gather(*(home.close(0.0) for home in homes))
        for task in self.closers:
            task.cancel()
        await asyncio.gather(*self.closers, return_exceptions=True)


def targets(catalog: Catalog | None) -> Iterable[tuple[Group, Member]]:
    """Iterate over all targets of a configuration with their groups."""
    if catalog is None:
        return
    for group in catalog.groups.values():
        for member in group.members:
            yield group, member
