"""Homes on this host, opened and closed as hosts and configuration change."""

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
# Limits how long targets stay here if the leaving host does not leave.
TAKEOVER_VALIDITY_SECONDS: Final = 5.0
# Hosts with an older view still use the former home during this delay.
RELEASE_DELAY_SECONDS: Final = 0.2
RECONCILE_INTERVAL_SECONDS: Final = 5.0
MIN_RECONCILE_PAUSE_SECONDS: Final = 0.002
# Multiple of the duration of a reconciliation to pause before the next one.
RECONCILE_PAUSE_FACTOR: Final = 10.0
GROWTH_AFTER_SECONDS: Final = 10.0

log = logbook.Logger("homes")


class HeldHome:
    """An open home and the configuration that it was made from.

    :ivar since: monotonic time in seconds at which the home was opened.
    :ivar release_at: monotonic time in seconds of its scheduled release, or None.
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
        """Return whether the home can stay as it is with this configuration."""
        same = self.member == member and self.group.slots == group.slots
        return same and self.group.connections == group.connections

    def adopt(self, group: Group) -> None:
        """Update a group that differs only in other members."""
        if group != self.group:
            self.group = self.home.group = group


class LocalHomes:
    """Manage a home for each target that rendezvous hashing assigns to this host.

    :param make_home: creates a home from a group, a member and a connection limit.
    :param joined: set once this host has joined the other hosts.
    :ivar held: open homes by member.
    :ivar closing: released homes that still have work in progress, by member.
    :ivar closed: the last closed home of each member.
    :ivar takeover_requests: leaving host and end of validity, by member.
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
        self.other_home_hosts: dict[str, HostRef | None] = {}
        self.takeover_requests: dict[str, tuple[str, float]] = {}
        self.draining = False
        self.change_event = asyncio.Event()
        self.reconciled_event = asyncio.Event()
        self.callbacks: list[Callable[[], None]] = []
        directory.subscribe(self.change_event.set)

    def register(self, routes: PeerRoutes) -> None:
        """Add the handler of takeover requests."""
        routes.add(TAKEOVER_PATH, self.handle_takeover)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the set of homes."""
        self.callbacks.append(callback)

    def apply(self, catalog: Catalog) -> None:
        """Apply a configuration; homes that it does not change stay open."""
        self.catalog = catalog
        self.configured = {member.member_id for _, member in targets(catalog)}
        self.limits = catalog.limits
        for held in self.held.values():
            held.home.update_limits(catalog.limits)
        self.change_event.set()

    def get(self, member: str) -> Home | None:
        """Return the home of `member` that accepts new work here, or None."""
        held = self.held.get(member)
        return None if held is None else held.home

    def of_group(self, group: str) -> list[Home]:
        """Return the open homes of the members of `group`."""
        return [held.home for held in self.held.values() if held.group.name == group]

    def closing_of(self, member: str) -> list[Home]:
        """Return the released homes of `member` that may have open transactions."""
        return list(self.closing.get(member, ()))

    def open_and_closing_homes(self, group: str) -> list[Home]:
        """Return the homes of `group` on this host, released ones included."""
        closing = [home for homes in self.closing.values() for home in homes]
        closing_of_group = [home for home in closing if home.group.name == group]
        return self.of_group(group) + closing_of_group

    def find_transaction_home(self, member: str, statement: Statement) -> Home:
        """Return the home that holds the transaction of a statement.

        Released homes are searched too.

        :raises RefusalError: if the transaction is not open here;
            ``transaction_lost`` if the last closed home ended it.
        """
        released = [*self.closing_of(member), self.closed.get(member)]
        homes = [home for home in (self.get(member), *released) if home is not None]
        for home in homes:
            if home.has_transaction(statement.transaction or ""):
                return home
        for home in homes:
            refusal = home.unknown_transaction_refusal(statement)
            if refusal.reason is RefusalReason.TRANSACTION_LOST:
                raise refusal
        raise not_run(
            RefusalReason.UNKNOWN_TRANSACTION,
            "the transaction is not open on this host",
        )

    async def run(self) -> None:
        """Reconcile after each change, until cancelled.

        Waits until this host has joined: without knowing the others it would
        open homes that belong to them.
        """
        await self.joined.wait()
        while True:
            await self.wait_for_change()
            self.change_event.clear()
            started_at = self.clock.monotonic()
            await self.reconcile()
            duration = self.clock.monotonic() - started_at
            self.reconciled_event.set()
            await self.clock.sleep(
                max(MIN_RECONCILE_PAUSE_SECONDS, RECONCILE_PAUSE_FACTOR * duration)
            )

    async def wait_for_change(self) -> None:
        """Wait for a change, the next scheduled release or the interval."""
        now = self.clock.monotonic()
        release_times = [
            held.release_at for held in self.held.values() if held.release_at
        ]
        timeout = min([now + RECONCILE_INTERVAL_SECONDS, *release_times]) - now
        try:
            async with asyncio.timeout(max(timeout, 0.0)):
                await self.change_event.wait()
        except TimeoutError:
            return

    async def reconcile(self) -> None:
        """Open and release homes to match hosts and configuration."""
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
        opened = await asyncio.gather(
            *(self.ensure_home(group, member, now) for group, member in wanted.values())
        )
        if changed or any(opened):
            self.notify()

    def wanted(self) -> Iterator[tuple[Group, Member]]:
        """Iterate over the targets whose home is here in this host's view."""
        zone_has_hosts: dict[str, bool] = {}
        for group, member in targets(self.catalog):
            zone = member.zone
            if self.takeover_requested(member.member_id):
                yield group, member
                continue
            if zone not in zone_has_hosts:
                zone_has_hosts[zone] = self.directory.has_live_host(zone)
            if zone != self.me.zone and (
                zone_has_hosts[zone] or not self.has_connection_share(group, zone)
            ):
                continue
            home_host = self.directory.home(member.member_id, zone)
            if home_host == self.me:
                yield group, member
            else:
                self.other_home_hosts[member.member_id] = home_host

    def has_connection_share(self, group: Group, zone: str) -> bool:
        """Return whether a host outside `zone` may connect to a target there.

        Such a host ranks after all known hosts of the zone, so the quota of a
        large zone leaves it nothing. This check avoids ranking all hosts for
        each target of a lost region, which would block the event loop.
        """
        return (
            connection_quota(group.connections, self.directory.known_host_count(zone))
            > 0
        )

    def takeover_requested(self, member: str) -> bool:
        """Return whether a leaving host has requested a takeover of `member`."""
        request = self.takeover_requests.get(member)
        if request is None:
            return False
        leaving_host, valid_until = request
        if (
            self.membership.table.live(leaving_host)
            and self.clock.monotonic() < valid_until
        ):
            return True
        del self.takeover_requests[member]
        return False

    async def ensure_home(self, group: Group, member: Member, now: float) -> bool:
        """Open or reopen the home of a target; return whether one was opened."""
        held = self.held.get(member.member_id)
        connection_limit = self.connection_share(group, member)
        if held is None:
            return await self.open_home(
                group, member, connection_limit, self.takeover_cause(member.member_id)
            )
        grown = (
            connection_limit > held.connection_limit
            and now - held.since > GROWTH_AFTER_SECONDS
        )
        if held.fits(group, member) and not (
            grown or connection_limit < held.connection_limit
        ):
            held.adopt(group)
            return False
        cause = "share" if held.fits(group, member) else "configuration"
        self.release(member.member_id, cause)
        return await self.open_home(group, member, connection_limit, cause)

    def connection_share(self, group: Group, member: Member) -> int:
        """Return the number of connections this host may open to a target."""
        rank = self.directory.rank_of(member.member_id, member.zone, self.me.host)
        return 0 if rank is None else connection_quota(group.connections, rank)

    async def open_home(
        self, group: Group, member: Member, size: int, cause: str
    ) -> bool:
        """Create and start a home; return whether it is open."""
        if size == 0:
            return False
        home = self.make_home(group, member, size)
        try:
            await home.start()
        except Exception:
            log.exception(
                "The home of {} failed to start; retrying later.", member.member_id
            )
            return False
        now = self.clock.monotonic()
        self.held[member.member_id] = HeldHome(home, group, member, size, now)
        self.timeline.record(
            EventKind.HOME_TAKEN, member.member_id, cause=cause, share=size
        )
        return True

    def takeover_cause(self, member: str) -> str:
        """Return the cause for the timeline of a home that is opened."""
        former_host = self.other_home_hosts.pop(member, None)
        if member in self.takeover_requests:
            return f"{self.takeover_requests[member][0]} is leaving"
        if former_host is None:
            return "start"
        record = self.membership.table.get(former_host.host)
        state = MembershipState.GONE if record is None else record.state
        if state <= MembershipState.SUSPECTED:
            return f"preferred to {former_host.host}"
        return f"{former_host.host} is {state.name.lower()}"

    def release_after_delay(self, member: str, held: HeldHome, now: float) -> bool:
        """Release a home of another host after a delay; return whether it did."""
        if member not in self.configured:
            self.release(member, "configuration")
            return True
        if held.release_at is None:
            held.release_at = now + RELEASE_DELAY_SECONDS
        if now < held.release_at:
            return False
        new_host = self.other_home_hosts.get(member)
        self.release(member, "home moved", to=new_host.host if new_host else None)
        return True

    def release(self, member: str, cause: str, to: str | None = None) -> None:
        """Remove a home from service and close it in the background."""
        held = self.held.pop(member)
        self.timeline.record(EventKind.HOME_RELEASED, member, cause=cause, to=to)
        self.closing.setdefault(member, []).append(held.home)
        task = asyncio.create_task(self.close_home(member, held.home))
        self.closers.add(task)
        task.add_done_callback(self.closers.discard)

    async def close_home(self, member: str, home: Home) -> None:
        """Close a home, with a grace period for work in progress."""
        try:
            await home.close(float(self.limits.drain_s))
        except Exception:
            log.exception("The home of {} failed to close.", member)
        finally:
            self.closed[member] = home
            self.closing[member].remove(home)
            if not self.closing[member]:
                del self.closing[member]
            self.notify()

    def notify(self) -> None:
        """Call the callbacks for a change of the set of homes."""
        for callback in self.callbacks:
            callback()

    async def handle_takeover(self, body: Json) -> Json:
        """Open the homes that a leaving host hands over.

        The host stays live for others until these homes are open.

        :raises WireError: if the request is malformed.
        """
        leaving_host, members = body.get("host"), body.get("members")
        if not isinstance(leaving_host, str) or not isinstance(members, list):
            raise WireError("a takeover request needs a host and a list of members")
        valid_until = self.clock.monotonic() + TAKEOVER_VALIDITY_SECONDS
        configured = self.configured.intersection(map(str, members))
        self.takeover_requests.update(
            dict.fromkeys(configured, (leaving_host, valid_until))
        )
        await self.wait_for_homes(configured)
        return {"taken": [member for member in members if member in self.held]}

    async def wait_for_homes(self, members: set[str]) -> None:
        """Wait up to `TAKEOVER_WAIT_SECONDS` until the homes are open."""
        try:
            async with asyncio.timeout(TAKEOVER_WAIT_SECONDS):
                while not members <= self.held.keys():
                    self.reconciled_event.clear()
                    self.change_event.set()
                    await self.reconciled_event.wait()
        except TimeoutError:
            return

    async def drain(self) -> None:
        """Hand over all homes, leave, then wait for work in progress.

        The successors open the homes first, so that they are ready before other
        hosts route to them.
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
        """Return the targets that each host takes over when this one leaves."""
        members_by_host: dict[HostRef, list[str]] = {}
        for name, held in self.held.items():
            ref = self.directory.successor(name, held.member.zone)
            if ref is not None:
                members_by_host.setdefault(ref, []).append(name)
        return members_by_host

    async def request_takeover(self, ref: HostRef, members: list[str]) -> None:
        """Ask `ref` to take over targets; if it fails, `ref` opens them later."""
        body: Json = {
            "host": self.me.host,
            "members": members,
        }
        try:
            await self.peers.call(ref, TAKEOVER_PATH, body, TAKEOVER_TIMEOUT_SECONDS)
        except (PeerError, RefusalError) as error:
            log.info("host {} did not confirm a takeover: {}", ref.host, error)

    async def close(self) -> None:
        """Close all homes without a grace period."""
        homes = [held.home for held in self.held.values()]
        self.held.clear()
        await asyncio.gather(*(home.close(0.0) for home in homes))
        for task in self.closers:
            task.cancel()
        await asyncio.gather(*self.closers, return_exceptions=True)


def targets(catalog: Catalog | None) -> Iterable[tuple[Group, Member]]:
    """Iterate over the groups and members of a configuration."""
    if catalog is None:
        return
    for group in catalog.groups.values():
        for member in group.members:
            yield group, member
