"""Admission of operations at homes, within the rate limits of workspaces."""

import asyncio
import math
from typing import Final

from ...background_tasks import BackgroundTasks
from ...clock import Clock
from ...decision_log import DecisionLog
from ...metrics import Metrics
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...version.workspace import Workspace
from ...wire import WireError
from .operation_allowance import OperationAllowance
from .rate_owner import RATE_PATH, Grant, GrantRequest, RateOwner
from .rate_tolerance import RateTolerance

REQUEST_TIMEOUT_SECONDS: Final = 0.15
"""Timeout of a grant request to the owner."""

AVOID_SECONDS: Final = 1.0
"""Time for which an unresponsive host gets no requests; membership detects its loss
within that time."""

MAX_TRIES: Final = 2
"""Hosts tried for one grant, in rank."""

PREFETCH_OPERATIONS: Final = 2.0
"""Expected operations per grant from which on the next grant is requested early."""

MIN_PAUSE_SECONDS: Final = 0.02
MAX_PAUSE_SECONDS: Final = 0.5
"""Limits of the pause after an owner had nothing to grant."""

MIN_RETRY_MS: Final = 50

MS_PER_SECOND: Final = 1000.0


class WorkspaceRateLimiter:
    """Admit operations at the homes of this host, each counted once.

    The owner of a workspace grants operations in portions sized by the local demand.
    Grants expire soon after the request, so that unused ones stay within the slack.
    """

    def __init__(
        self,
        owner: RateOwner,
        peers: PeerClient,
        tolerance: RateTolerance,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.owner = owner
        self.me = owner.directory.me
        self.peers = peers
        self.tolerance = tolerance
        self.clock = clock
        self.decisions = decisions
        self.metrics = metrics
        self.by_name: dict[str, OperationAllowance] = {}
        self.avoided: dict[str, float] = {}
        self.background = BackgroundTasks(decisions)

    async def admit(self, name: str) -> None:
        """Admit one operation of a workspace.

        :raises RefusalError: if it exceeds the rate or no owner responds; nothing ran.
        """
        workspace = self.owner.workspaces().by_name.get(name)
        if workspace is None or workspace.rate is None:
            return
        now = self.clock.boottime()
        allowance = self.by_name.get(name)
        if allowance is None:
            allowance = self.by_name[name] = OperationAllowance(now)
        allowance.record_operation(now)
        if workspace.rate <= 0.0:
            raise self.limited(name, 1.0)
        if not allowance.try_admit(now):
            await self.wait(workspace, workspace.rate, allowance)
        elif (
            not allowance.left
            and self.expected(workspace, allowance) >= PREFETCH_OPERATIONS
        ):
            self.start_request(workspace, workspace.rate, allowance)

    async def wait(
        self, workspace: Workspace, rate: float, allowance: OperationAllowance
    ) -> None:
        """Wait for a grant and use one operation of it.

        :raises RefusalError: if there is none; nothing ran.
        """
        allowance.waiting += 1
        try:
            while True:
                now = self.clock.boottime()
                if now < allowance.limited_until:
                    left = allowance.limited_until - now
                    if allowance.owner_unreachable:
                        raise self.unknown(workspace.name, left)
                    raise self.limited(workspace.name, left)
                await asyncio.shield(self.start_request(workspace, rate, allowance))
                if allowance.try_admit(self.clock.boottime()):
                    return
        finally:
            allowance.waiting -= 1

    def give_back(self, name: str) -> None:
        """Return an admitted operation that did not reach a target."""
        allowance = self.by_name.get(name)
        if allowance is not None:
            allowance.left += 1

    def limited(self, name: str, wait: float) -> RefusalError:
        """Return the refusal of an operation that exceeds the rate."""
        detail = f"the workspace {name} exceeds its rate"
        return self.refusal(RefusalReason.RATE_LIMITED, detail, wait)

    def unknown(self, name: str, wait: float) -> RefusalError:
        """Return the refusal of an operation for which no owner responds."""
        detail = f"no host that counts the operations of {name} responded"
        return self.refusal(RefusalReason.RATE_UNKNOWN, detail, wait)

    def refusal(self, reason: RefusalReason, detail: str, wait: float) -> RefusalError:
        """Count a refusal and return it with a retry delay.

        :param wait: seconds.
        """
        self.metrics.increment(reason.value)
        retry_ms = max(MIN_RETRY_MS, math.ceil(wait * MS_PER_SECOND))
        return not_run(reason, detail, retry_ms)

    def expected(self, workspace: Workspace, allowance: OperationAllowance) -> float:
        """Return the operations expected within the lifetime of a grant."""
        assert workspace.rate
        return allowance.demand * self.tolerance.grant_seconds(
            workspace, workspace.rate
        )

    def start_request(
        self, workspace: Workspace, rate: float, allowance: OperationAllowance
    ) -> "asyncio.Task[None]":
        """Request the next grant; concurrent calls share one request."""
        if allowance.request_task is None or allowance.request_task.done():
            work = self.refill(workspace, rate, allowance)
            allowance.request_task = self.background.spawn(work)
        return allowance.request_task

    async def refill(
        self, workspace: Workspace, rate: float, allowance: OperationAllowance
    ) -> None:
        """Request a grant from the owner, or the next in rank if it is unresponsive."""
        requested_at = self.clock.boottime()
        unused = allowance.discard_expired(requested_at)
        count = max(1, allowance.waiting, int(self.expected(workspace, allowance)))
        for _ in range(MAX_TRIES):
            host = self.choose_owner(workspace.name)
            if host is None:
                break
            request = GrantRequest(workspace.name, count)
            request.unused = unused if host.host == allowance.owner else 0
            request.elsewhere = allowance.unreported.get(host.host, 0)
            try:
                grant = await self.fetch_grant(host, request)
            except (PeerError, RefusalError, WireError) as error:
                self.avoid(host, workspace.name, error)
                continue
            self.apply_grant(workspace, rate, allowance, host, grant, requested_at)
            return
        allowance.limited_until = self.clock.boottime() + MAX_PAUSE_SECONDS
        allowance.owner_unreachable = True

    def apply_grant(
        self,
        workspace: Workspace,
        rate: float,
        allowance: OperationAllowance,
        host: HostRef,
        grant: Grant,
        requested_at: float,
    ) -> None:
        """Add a grant to the allowance, or pause requests if it is empty."""
        now = self.clock.boottime()
        until = requested_at + self.tolerance.grant_seconds(workspace, rate)
        allowance.add_grant(host.host, grant.count, until)
        if not grant.count:
            pause = min(max(grant.wait, MIN_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
            allowance.limited_until = now + pause
            allowance.owner_unreachable = False

    def choose_owner(self, name: str) -> HostRef | None:
        """Return the first host in rank that is not avoided, or None."""
        now = self.clock.monotonic()
        first = self.owner.owner_of(name)
        if first is not None and self.avoided.get(first.host, now) <= now:
            return first
        for one in self.owner.owners(name):
            if self.avoided.get(one.host, now) <= now:
                return one
        return None

    async def fetch_grant(self, host: HostRef, request: GrantRequest) -> Grant:
        """Request a grant from a host.

        :raises PeerError: if it does not respond.
        :raises RefusalError: if it refuses.
        :raises WireError: if its response is malformed.
        """
        if host.host == self.me.host:
            return self.owner.grant(request)
        answer = await self.peers.call(
            host, RATE_PATH, request.to_json(), REQUEST_TIMEOUT_SECONDS
        )
        return Grant.from_json(answer)

    def avoid(self, host: HostRef, name: str, error: Exception) -> None:
        """Send no requests to an unresponsive host for AVOID_SECONDS."""
        self.avoided[host.host] = self.clock.monotonic() + AVOID_SECONDS
        self.owner.report_silent(host.host)
        self.decisions.record(
            "rate_unanswered", workspace=name, owner=host.host, error=str(error)
        )

    def tidy(self) -> None:
        """Drop the allowances of workspaces that no longer exist."""
        known = self.owner.workspaces().by_name
        for name in [one for one in self.by_name if one not in known]:
            del self.by_name[name]

    def close(self) -> None:
        """Cancel the requests in progress."""
        self.background.cancel()
