"""Bring a statement to the home of its target, over one hop at most."""

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
# What a begin is told whose request id has committed before.
EARLIER_COMMIT_REASONS: Final = frozenset(
    {RefusalReason.NOT_DURABLE, RefusalReason.SUPERSEDED}
)

CatalogSource: TypeAlias = Callable[[], Catalog | None]


class StatementDispatcher(StatementExecutor):
    """Execute statements at the homes of their targets.

    :param local_executor: executes at targets whose home is this host.
    :ivar on_host_lost: is told of a host that gave no answer.
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
        """Execute at the home of `member`, or at the next in rank.

        The next in rank is tried once, and only if the first ran nothing.
        """
        home = self.home(member, statement.group)
        began = self.clock.monotonic()
        try:
            return await self.execute_at(home, member, statement)
        except RefusalError as refusal:
            if refusal.verdict is not Verdict.NOT_RUN:
                raise
            if refusal.reason not in NEXT_HOST_REASONS:
                raise
            other = self.next_host(home, member, statement.group)
            statement.remaining -= self.clock.monotonic() - began
            if other is None or statement.remaining <= 0:
                raise
        return await self.execute_at(other, member, statement)

    async def execute_at(
        self, host: HostRef, member: str, statement: Statement
    ) -> HomeResponse:
        """Execute at `host`, which this may be.

        :raises Refusal: with a verdict that holds also if the hop breaks.
        """
        if host.host == self.directory.me.host:
            served = await self.local_executor.execute(member, statement)
            served.host = host
            return served
        return await self.forward(host, member, statement)

    async def forward(
        self, host: HostRef, member: str, statement: Statement
    ) -> HomeResponse:
        """Send the statement to `host` and read its answer."""
        body = {"member": member, "statement": statement.to_json()}
        asked = self.clock.monotonic()
        try:
            message = await self.peers.call(
                host, "statement", body, wait_limit_seconds(statement)
            )
            news = self.should_read_view(statement.group)
            return HomeResponse.from_json(message, asked, host, news)
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
        """Say whether to read the members of the next view of `group`.

        Answers follow each other closely; reading the view of each was
        measured at a third of the router's processor time.
        """
        now = self.clock.monotonic()
        if now - self.view_read_at.get(group, float("-inf")) < VIEW_INTERVAL_SECONDS:
            return False
        self.view_read_at[group] = now
        return True

    def home(self, member: str, group: str) -> HostRef:
        """Return the home of `member`.

        :raises Refusal: if no host is live; nothing was run.
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
        """Return the host to try after `tried`, by the directory as it is now."""
        for host in self.ranked_hosts(member, group)[:2]:
            if host.host != tried.host:
                return host
        return None

    def ranked_hosts(self, member: str, group: str) -> list[HostRef]:
        """Return the live hosts for `member`, best first."""
        catalog = self.catalog()
        found = catalog.groups.get(group) if catalog is not None else None
        if found is None:
            raise not_run(
                RefusalReason.UNKNOWN_GROUP, f"the group {group} is not known"
            )
        for one in found.members:
            if one.member_id == member:
                return self.directory.ranked(member, one.zone)
        raise not_run(
            RefusalReason.TARGET_LEAVING,
            f"the target {member} has left the group {group}",
        )


def wait_limit_seconds(statement: Statement) -> float:
    """Return how long to wait for an answer over the hop, in seconds.

    A connection may have gone silent. What can be repeated safely is given
    up while there is time left to repeat it on another connection.
    """
    left = statement.remaining + HOP_GRACE_SECONDS
    if statement.kind is StatementKind.READ or statement.request_id is not None:
        return min(left, max(MIN_WAIT_LIMIT_SECONDS, WAIT_LIMIT_FRACTION * left))
    return left


def no_answer_refusal(
    host: HostRef, kind: StatementKind, detail: str, sent: bool
) -> RefusalError:
    """Return the refusal for a hop that gave no answer.

    A read has no effect, and a transaction that was begun and never named to
    the caller is rolled back, so that both can be called not run.
    """
    text = f"the host {host.host} gave no answer: {detail}"
    if sent and kind not in NO_EFFECT_KINDS:
        return may_have_run(RefusalReason.HOST_UNREACHABLE, text, RETRY_SOON_MS)
    return not_run(RefusalReason.HOST_UNREACHABLE, text, RETRY_SOON_MS)
