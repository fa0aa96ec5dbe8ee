"""Handlers of the peer paths for database groups."""

from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import MemberState, TargetError, TargetFactory
from ...host_directory import HostDirectory
from ...peer import PeerRoutes
from ...request.group_view import GroupViewRequest
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...request.statement import Statement
from ...request.statement_executor import StatementExecutor
from ...version.catalog import Catalog, Group, Member
from ...wire import Json, string_field
from .group_manager import GroupManager
from .member_control import (
    ControlOperation,
    MemberControlRequest,
    control_at_home,
    control_at_target,
)
from .primary_prober import MAX_PROBED_HOSTS, PrimaryLiveness
from .replica_reporter import ReplicaReport

CONTROL_TIMEOUT_SECONDS: Final = 0.2
LOCAL_PROBE_TIMEOUT_SECONDS: Final = 0.06
MAX_HOLD_SECONDS: Final = 1.0


class GroupRoutes:
    """Dispatch requests of other hosts to the group manager or home concerned.

    :param catalog: returns the configuration in force, or None.
    :param find_home: returns the local home of a member, or None.
    :param find_manager: returns the group manager of a group, or None.
    :param factory: opens connections to targets without a home on this host.
    """

    def __init__(
        self,
        catalog: Callable[[], Catalog | None],
        find_home: Callable[[str], Home | None],
        find_manager: Callable[[str], GroupManager | None],
        execution: StatementExecutor,
        factory: TargetFactory,
        directory: HostDirectory,
        clock: Clock,
    ) -> None:
        self.catalog = catalog
        self.find_home = find_home
        self.find_manager = find_manager
        self.execution = execution
        self.factory = factory
        self.directory = directory
        self.clock = clock

    def register(self, routes: PeerRoutes) -> None:
        """Add the handlers to `routes`."""
        routes.add("statement", self.statement)
        routes.add("report", self.report)
        routes.add("confirm", self.confirm)
        routes.add("control", self.control)
        routes.add("probe", self.probe)
        routes.add("view", self.view)

    async def statement(self, body: Json) -> Json:
        """Execute a statement at a member whose home is on this host."""
        statement = Statement.from_json(body.get("statement"))
        response = await self.execution.execute(string_field(body, "member"), statement)
        return response.to_json(self.clock.monotonic())

    async def report(self, body: Json) -> Json:
        """Handle the report of a replica's home."""
        report = ReplicaReport.from_json(body)
        answer = await self.require_manager(report.group).on_report(report)
        return answer.to_json(self.clock.monotonic())

    async def confirm(self, body: Json) -> Json:
        """Return a state that a local target sends after this request."""
        manager = self.require_manager(string_field(body, "group"))
        state = await manager.on_confirm(string_field(body, "member"))
        return {
            "state": state.to_json(),
            "view": manager.view.to_json(self.clock.monotonic()),
        }

    async def view(self, body: Json) -> Json:
        """Return the view of a group, with a long poll for a newer leader."""
        request = GroupViewRequest.from_json(body)
        manager = self.require_manager(request.group)
        if request.long_poll_seconds > 0.0:
            hold = min(request.long_poll_seconds, MAX_HOLD_SECONDS)
            await manager.wait_for_newer_leader(request.term, request.primary, hold)
        manager.refresh_view()
        return {"view": manager.view.to_json(self.clock.monotonic())}

    async def control(self, body: Json) -> Json:
        """Carry out a control request at a member."""
        request = MemberControlRequest.from_json(body)
        asked = self.clock.monotonic()
        group, member = self.find(request.member)
        state = await self.execute_control(request, member)
        manager = self.find_manager(group.name)
        if manager is not None:
            manager.on_control(request, state, asked)
        return {"state": state.to_json()}

    async def execute_control(
        self, request: MemberControlRequest, member: Member
    ) -> MemberState:
        """Use the local home, or a new connection if this host is a standby."""
        home = self.find_home(request.member)
        if home is not None:
            return await control_at_home(home, request, CONTROL_TIMEOUT_SECONDS)
        self.check_standby(member)
        return await control_at_target(
            self.factory, member, request, CONTROL_TIMEOUT_SECONDS
        )

    async def probe(self, body: Json) -> Json:
        """Return whether a target answers, probed or relayed by this host."""
        group, member = self.find(string_field(body, "member"))
        home = self.find_home(member.member_id)
        if home is not None:
            return {"alive": await is_target_alive(home), "home": True}
        if self.is_standby(member):
            return {"alive": await self.probe_unowned_target(member), "home": False}
        manager = self.find_manager(group.name)
        if manager is None or not body.get("relay"):
            raise not_run(
                RefusalReason.WRONG_HOME,
                f"this host is no standby of {member.member_id}",
            )
        liveness = await manager.prober.probe_for_peer(member.member_id)
        return {
            "alive": liveness is not PrimaryLiveness.LOST,
            "home": liveness is PrimaryLiveness.ALIVE,
        }

    async def probe_unowned_target(self, member: Member) -> bool:
        """Return whether a target without a home here answers on a new connection."""
        request = MemberControlRequest(member.member_id, ControlOperation.STATE)
        try:
            await control_at_target(
                self.factory, member, request, LOCAL_PROBE_TIMEOUT_SECONDS
            )
        except RefusalError:
            return False
        return True

    def find(self, member: str) -> tuple[Group, Member]:
        """Return the group and description of a member.

        :raises RefusalError: if the current configuration does not contain it.
        """
        catalog = self.catalog()
        found = catalog.member(member) if catalog is not None else None
        if found is None:
            raise not_run(
                RefusalReason.WRONG_HOME, f"member {member} is not in the configuration"
            )
        return found

    def require_manager(self, group: str) -> GroupManager:
        """Return the group manager of `group`.

        :raises RefusalError: if no member of it has its home on this host.
        """
        manager = self.find_manager(group)
        if manager is None:
            raise not_run(
                RefusalReason.WRONG_HOME,
                f"no member of {group} has a home on this host",
            )
        return manager

    def is_standby(self, member: Member) -> bool:
        """Return whether this host is among the first in rank for a target."""
        own_host = self.directory.me.host
        ranked = self.directory.ranked(member.member_id, member.zone)
        return own_host in [host.host for host in ranked[:MAX_PROBED_HOSTS]]

    def check_standby(self, member: Member) -> None:
        """Refuse a request that only a standby host of the target may carry out."""
        if not self.is_standby(member):
            raise not_run(
                RefusalReason.WRONG_HOME,
                f"this host is no standby of {member.member_id}",
            )


async def is_target_alive(home: Home) -> bool:
    """Return whether the target of a local home answers.

    A slow target counts as alive until its home has failed to open a new
    connection.
    """
    try:
        await home.fetch_state(LOCAL_PROBE_TIMEOUT_SECONDS)
    except TargetError:
        return home.unreachable_since is None
    return True
