"""Peer paths that concern database groups."""

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
    """Hand the questions of other hosts to the right keeper or home.

    :param catalog: returns the configuration in force, or None.
    :param find_home: gives the local home of a member, or None.
    :param find_manager: gives the keeper of a group, or None.
    :param factory: opens a connection to a target that has no home here.
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
        """Execute a statement at a member whose home is here."""
        statement = Statement.from_json(body.get("statement"))
        served = await self.execution.execute(string_field(body, "member"), statement)
        return served.to_json(self.clock.monotonic())

    async def report(self, body: Json) -> Json:
        """Take the report of a replica's home."""
        report = ReplicaReport.from_json(body)
        answer = await self.require_manager(report.group).on_report(report)
        return answer.to_json(self.clock.monotonic())

    async def confirm(self, body: Json) -> Json:
        """Give the state that a local target has from now on."""
        keeper = self.require_manager(string_field(body, "group"))
        state = await keeper.on_confirm(string_field(body, "member"))
        return {
            "state": state.to_json(),
            "view": keeper.view.to_json(self.clock.monotonic()),
        }

    async def view(self, body: Json) -> Json:
        """Give what is known of a group here, held open for a newer leader."""
        question = GroupViewRequest.from_json(body)
        keeper = self.require_manager(question.group)
        if question.long_poll_seconds > 0.0:
            hold = min(question.long_poll_seconds, MAX_HOLD_SECONDS)
            await keeper.wait_for_newer_leader(question.term, question.primary, hold)
        keeper.refresh_view()
        return {"view": keeper.view.to_json(self.clock.monotonic())}

    async def control(self, body: Json) -> Json:
        """Carry out a step of a change of primary at a member of this zone."""
        order = MemberControlRequest.from_json(body)
        asked = self.clock.monotonic()
        group, member = self.find(order.member)
        state = await self.execute_control(order, member)
        keeper = self.find_manager(group.name)
        if keeper is not None:
            keeper.on_control(order, state, asked)
        return {"state": state.to_json()}

    async def execute_control(
        self, request: MemberControlRequest, member: Member
    ) -> MemberState:
        """Use the local home, or as a standby a connection of its own."""
        home = self.find_home(request.member)
        if home is not None:
            return await control_at_home(home, request, CONTROL_TIMEOUT_SECONDS)
        self.check_standby(member)
        return await control_at_target(
            self.factory, member, request, CONTROL_TIMEOUT_SECONDS
        )

    async def probe(self, body: Json) -> Json:
        """Say whether a target answers, from as near as this host can look."""
        group, member = self.find(string_field(body, "member"))
        home = self.find_home(member.member_id)
        if home is not None:
            return {"alive": await is_target_alive(home), "home": True}
        if self.is_standby(member):
            return {"alive": await self.probe_unowned_target(member), "home": False}
        keeper = self.find_manager(group.name)
        if keeper is None or not body.get("relay"):
            raise not_run(
                RefusalReason.WRONG_HOME, f"{member.member_id} is not near here"
            )
        evidence = await keeper.prober.probe_for_peer(member.member_id)
        return {
            "alive": evidence is not PrimaryLiveness.LOST,
            "home": evidence is PrimaryLiveness.ALIVE,
        }

    async def probe_unowned_target(self, member: Member) -> bool:
        """Say whether a target without a home here answers on a new connection."""
        order = MemberControlRequest(member.member_id, ControlOperation.STATE)
        try:
            await control_at_target(
                self.factory, member, order, LOCAL_PROBE_TIMEOUT_SECONDS
            )
        except RefusalError:
            return False
        return True

    def find(self, member: str) -> tuple[Group, Member]:
        """Return the group and description of a member.

        :raises Refusal: if the configuration in force does not name it.
        """
        catalog = self.catalog()
        found = catalog.member(member) if catalog is not None else None
        if found is None:
            raise not_run(RefusalReason.WRONG_HOME, f"no member {member} is known here")
        return found

    def require_manager(self, group: str) -> GroupManager:
        """Return the keeper of `group`.

        :raises Refusal: if no member of it is at home here.
        """
        keeper = self.find_manager(group)
        if keeper is None:
            raise not_run(
                RefusalReason.WRONG_HOME, f"no member of {group} is at home here"
            )
        return keeper

    def is_standby(self, member: Member) -> bool:
        """Say whether this host is among the first that serve a target."""
        me = self.directory.me.host
        ranked = self.directory.ranked(member.member_id, member.zone)
        return me in [host.host for host in ranked[:MAX_PROBED_HOSTS]]

    def check_standby(self, member: Member) -> None:
        """Refuse what only a host near the target may do."""
        if not self.is_standby(member):
            raise not_run(
                RefusalReason.WRONG_HOME, f"{member.member_id} is not near here"
            )


async def is_target_alive(home: Home) -> bool:
    """Say whether the target of a local home answers.

    A target that is only slow still counts, until its home has tried a new
    connection in vain.
    """
    try:
        await home.fetch_state(LOCAL_PROBE_TIMEOUT_SECONDS)
    except TargetError:
        return home.unreachable_since is None
    return True
