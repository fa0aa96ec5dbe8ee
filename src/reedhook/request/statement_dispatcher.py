"""Dispatches a statement to the home of its target, over at most one hop."""

from collections.abc import Callable
from typing import Final, TypeAlias

from ..clock import Clock
from ..host_directory import HostDirectory
from ..peer import HostRef, PeerClient, PeerError
from ..version.catalog import Catalog
from .refusal import RefusalError, RefusalReason, may_have_run, not_run
from .statement import Statement, StatementKind
from .statement_executor import HomeResponse, StatementExecutor
from .verdict import Verdict

HOP_GRACE_SECONDS: Final = 0.05
VIEW_INTERVAL_SECONDS: Final = 0.02
MIN_WAIT_LIMIT_SECONDS: Final = 0.25
WAIT_LIMIT_FRACTION: Final = 0.5
RETRY_AFTER_MS: Final = 500
RETRY_SOON_MS: Final = 50
NEXT_HOST_REASONS: Final = frozenset(
    {RefusalReason.WRONG_HOME, RefusalReason.HOST_UNREACHABLE}
)
NO_EFFECT_KINDS: Final = frozenset({StatementKind.READ, StatementKind.BEGIN})
# Refusals of a begin whose request id was already committed.
EARLIER_COMMIT_REASONS: Final = frozenset(
    {RefusalReason.NOT_DURABLE, RefusalReason.SUPERSEDED}
)

CatalogSource: TypeAlias = Callable[[], Catalog | None]


class StatementDispatcher(StatementExecutor):
    """Execute statements at the homes of their targets.

    :param local_executor: executes at targets whose home is this host.
    :ivar view_read_at: monotonic time at which the members of a view were last read,
        by group.
    :ivar on_host_lost: called with a host that did not answer.
    """

    __slots__ = (
        "local_executor",
        "directory",
        "peers",
        "catalog",
        "clock",
        "view_read_at",
        "on_host_lost",
    )

    def __init__(
        self,
        local_executor: StatementExecutor,
        directory: HostDirectory,
        peers: PeerClient,
        catalog: CatalogSource,
        clock: Clock,
    ) -> None:
        self.local_executor = local_executor
        self.directory = directory
        self.peers = peers
        self.catalog = catalog
        self.clock = clock
        self.view_read_at: dict[str, float] = {}
        self.on_host_lost: Callable[[HostRef], None] = lambda host: None

    async def execute(self, member: str, statement: Statement) -> HomeResponse:
        """Execute at the home of `member`, or at the next host in rank.

        The next host is tried once, and only if the first has not run the statement.
        """
        home = self.home(member, statement.group)
        started_at = self.clock.monotonic()
        try:
            return await self.execute_at(home, member, statement)
        except RefusalError as refusal:
            if refusal.verdict is not Verdict.NOT_RUN:
                raise
            if refusal.reason not in NEXT_HOST_REASONS:
                raise
            next_host = self.next_host(home, member, statement.group)
            statement.remaining -= self.clock.monotonic() - started_at
            if next_host is None or statement.remaining <= 0:
                raise
        return await self.execute_at(next_host, member, statement)

    async def execute_at(
        self, host: HostRef, member: str, statement: Statement
    ) -> HomeResponse:
        """Execute at `host`, which may be this host.

        :raises RefusalError: with a correct verdict even if the connection fails.
        """
        if host.host == self.directory.me.host:
            response = await self.local_executor.execute(member, statement)
            response.host = host
            return response
        return await self.forward(host, member, statement)

    async def forward(
        self, host: HostRef, member: str, statement: Statement
    ) -> HomeResponse:
        """Send the statement to `host` and return its response.

        :raises RefusalError: with a correct verdict even if the connection fails.
        """
        body = {"member": member, "statement": statement.to_json()}
        requested_at = self.clock.monotonic()
        try:
            message = await self.peers.call(
                host, "statement", body, wait_limit_seconds(statement)
            )
            include_members = self.should_read_view(statement.group)
            return HomeResponse.from_json(message, requested_at, host, include_members)
        except RefusalError as refusal:
            if (
                statement.kind in NO_EFFECT_KINDS
                and refusal.reason not in EARLIER_COMMIT_REASONS
            ):
                refusal.verdict = Verdict.NOT_RUN
            raise
        except PeerError as error:
            self.on_host_lost(host)
            raise no_answer_refusal(
                host, statement.kind, str(error), error.sent
            ) from error
        except (LookupError, TypeError, ValueError) as error:
            raise no_answer_refusal(
                host, statement.kind, "the answer is malformed", True
            ) from error

    def should_read_view(self, group: str) -> bool:
        """Return whether to decode the members in the next view of `group`.

        Decoding them from every response takes too much CPU time.
        """
        now = self.clock.monotonic()
        if now - self.view_read_at.get(group, float("-inf")) < VIEW_INTERVAL_SECONDS:
            return False
        self.view_read_at[group] = now
        return True

    def home(self, member: str, group: str) -> HostRef:
        """Return the home of `member`.

        :raises RefusalError: not run, if no host is live.
        """
        hosts = self.ranked_hosts(member, group)
        if hosts:
            return hosts[0]
        raise not_run(
            RefusalReason.HOST_UNREACHABLE,
            f"no live host is known for the target {member}",
            RETRY_AFTER_MS,
        )

    def next_host(self, tried: HostRef, member: str, group: str) -> HostRef | None:
        """Return the host to try after `tried`, by the current directory."""
        for host in self.ranked_hosts(member, group)[:2]:
            if host.host != tried.host:
                return host
        return None

    def ranked_hosts(self, member: str, group: str) -> list[HostRef]:
        """Return the live hosts for `member`, best first.

        :raises RefusalError: not run, if the group or the member is unknown.
        """
        catalog = self.catalog()
        known_group = catalog.groups.get(group) if catalog is not None else None
        if known_group is None:
            raise not_run(
                RefusalReason.UNKNOWN_GROUP, f"the group {group} is not known"
            )
        for group_member in known_group.members:
            if group_member.member_id == member:
                return self.directory.ranked(member, group_member.zone)
        raise not_run(
            RefusalReason.TARGET_LEAVING,
            f"the target {member} has left the group {group}",
        )


def wait_limit_seconds(statement: Statement) -> float:
    """Return how long to wait for a response of another host, in seconds.

    A statement that is safe to retry gets only a part of the remaining time, so that
    it can be retried on another connection if this one is half-open.
    """
    remaining = statement.remaining + HOP_GRACE_SECONDS
    if statement.kind is StatementKind.READ or statement.request_id is not None:
        return min(
            remaining, max(MIN_WAIT_LIMIT_SECONDS, WAIT_LIMIT_FRACTION * remaining)
        )
    return remaining


def no_answer_refusal(
    host: HostRef, kind: StatementKind, detail: str, sent: bool
) -> RefusalError:
    """Return the refusal of a statement whose response was lost.

    A read has no effect, and a transaction whose handle never reached the caller is
    rolled back, so both count as not run.
    """
    text = f"the host {host.host} gave no answer: {detail}"
    if sent and kind not in NO_EFFECT_KINDS:
        return may_have_run(RefusalReason.HOST_UNREACHABLE, text, RETRY_SOON_MS)
    return not_run(RefusalReason.HOST_UNREACHABLE, text, RETRY_SOON_MS)
