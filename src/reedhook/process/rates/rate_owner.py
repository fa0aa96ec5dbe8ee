"""Owner side of workspace rate limits: count operations and grant them."""

import math
from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...host_directory import HostDirectory
from ...peer import HostRef, PeerRoutes
from ...record import Record
from ...request.token_bucket import TokenBucket
from ...version.workspace import Workspace, Workspaces
from ...wire import Json, non_negative_int_field, string_field, wraps_decode_errors
from ..discovery.configuration_freshness import ConfigurationFreshness
from .rate_tolerance import RateTolerance

RATE_PATH: Final = "rate"

RESTRICTED_FRACTION: Final = 0.1
"""Share of the rate that a host grants while another one may be the owner as well.
The excess of two owners must fit into the slack of a window."""

SOLE_OWNER_SECONDS: Final = 2.5
"""Configuration age above which an owner that sees only a minority of hosts may have
been replaced, and grants only the restricted share."""

MAX_REQUESTED_OPERATIONS: Final = 100_000
MS_PER_SECOND: Final = 1000.0


class GrantRequest(Record):
    """Request operations of a workspace from its owner.

    :param count: requested operations.
    :param unused: operations granted by this owner that expired unused.
    :param elsewhere: operations granted by other hosts since this owner's last grant.
    """

    __slots__ = ("workspace", "count", "unused", "elsewhere")

    def __init__(
        self, workspace: str, count: int, unused: int = 0, elsewhere: int = 0
    ) -> None:
        self.workspace = workspace
        self.count = count
        self.unused = unused
        self.elsewhere = elsewhere

    def to_json(self) -> Json:
        """Return the form sent to other hosts."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "GrantRequest":
        """Decode a request of another host.

        :raises WireError: if it is malformed.
        """
        counts = [non_negative_int_field(message, name) for name in cls.__slots__[1:]]
        return cls(
            string_field(message, "workspace"),
            *(min(n, MAX_REQUESTED_OPERATIONS) for n in counts),
        )


class Grant(Record):
    """Carry the owner's response to a grant request.

    :param count: granted operations.
    :param wait: seconds after which to retry if fewer were granted than requested.
    """

    __slots__ = ("count", "wait")

    def __init__(self, count: int, wait: float) -> None:
        self.count = count
        self.wait = wait

    def to_json(self) -> Json:
        """Return the form sent to other hosts."""
        return {"count": self.count, "wait_ms": math.ceil(self.wait * MS_PER_SECOND)}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "Grant":
        """Decode a grant of another host.

        :raises WireError: if it is malformed.
        """
        return cls(
            non_negative_int_field(message, "count"),
            non_negative_int_field(message, "wait_ms") / MS_PER_SECOND,
        )


class RateOwner:
    """Count and grant operations of workspaces that this host owns.

    Counts are not persisted. A new owner starts with a part of the slack only, so that
    its grants and those of the previous owner together stay within the tolerance.

    :param cut_off: returns whether no other availability zone is reachable.
    :param sees_most: returns whether a majority of hosts is seen alive.
    :param report_silent: has a host probed that did not respond to others.
    :ivar buckets: token buckets by workspace.
    :ivar restricted: workspaces that another host may own as well.
    """

    def __init__(
        self,
        directory: HostDirectory,
        workspaces: Callable[[], Workspaces],
        freshness: ConfigurationFreshness,
        cut_off: Callable[[], bool],
        sees_most: Callable[[], bool],
        report_silent: Callable[[str], None],
        tolerance: RateTolerance,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.directory = directory
        self.workspaces = workspaces
        self.freshness = freshness
        self.cut_off = cut_off
        self.sees_most = sees_most
        self.report_silent = report_silent
        self.tolerance = tolerance
        self.clock = clock
        self.decisions = decisions
        self.buckets: dict[str, TokenBucket] = {}
        self.restricted: set[str] = set()

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handler."""
        routes.add(RATE_PATH, self.handle_request)

    async def handle_request(self, body: Json) -> Json:
        """Grant operations to the home of a target.

        :param body: the form of a `GrantRequest`.
        """
        return self.grant(GrantRequest.from_json(body)).to_json()

    def owners(self, name: str) -> list[HostRef]:
        """Return the hosts that may own a workspace, in rank."""
        return self.directory.ranked(f"{RATE_PATH} {name}", "")

    def owner_of(self, name: str) -> HostRef | None:
        """Return the owner of a workspace, as known here."""
        return self.directory.home(f"{RATE_PATH} {name}", "")

    def grant(self, request: GrantRequest) -> Grant:
        """Grant as many of the requested operations as are available."""
        workspace = self.workspaces().by_name.get(request.workspace)
        if workspace is None or workspace.rate is None or workspace.rate <= 0.0:
            return Grant(0, 1.0)
        now = self.clock.boottime()
        bucket = self.bucket(workspace, workspace.rate, now)
        bucket.deduct(request.elsewhere - request.unused)
        granted = bucket.acquire_up_to(request.count, now)
        return Grant(
            granted,
            bucket.seconds_until_available() if granted < request.count else 0.0,
        )

    def reset(self, cause: str) -> None:
        """Discard all counts, since another host may have been the owner meanwhile."""
        if self.buckets:
            self.decisions.record("rates_reset", cause=cause, count=len(self.buckets))
        self.buckets.clear()
        self.restricted.clear()

    def bucket(self, workspace: Workspace, rate: float, now: float) -> TokenBucket:
        """Return the token bucket of a workspace, set to the rate to apply now."""
        name = workspace.name
        start = self.tolerance.start(workspace, rate)
        sole = self.is_sole(name)
        allowed = rate if sole else rate * RESTRICTED_FRACTION
        burst = self.tolerance.burst_limit(workspace, rate)
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(allowed, burst, now, start)
            self.decisions.record("rate_owner", workspace=name, sole=sole)
        elif sole == (name in self.restricted):
            bucket.refill(now)
            bucket.level = min(bucket.level, start)
            self.decisions.record("rate_owner", workspace=name, sole=sole)
        if sole:
            self.restricted.discard(name)
        else:
            self.restricted.add(name)
        bucket.set_rate(allowed, burst, now)
        return bucket

    def is_sole(self, name: str) -> bool:
        """Return whether no other host is expected to own the workspace."""
        first = self.owner_of(name)
        if first is not None and first != self.directory.me:
            # The requesting host got no response from the first owner.
            self.report_silent(first.host)
            return False
        if self.cut_off():
            return False
        return self.sees_most() or self.freshness.age() < SOLE_OWNER_SECONDS
