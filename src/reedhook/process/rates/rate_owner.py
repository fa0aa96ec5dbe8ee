"""The one host that counts the operations of a workspace, and grants them."""

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
"""Share of a rate that a host grants which may not be the only one to count. Two
that count grant that much more together, which the slack of a window bears."""

SOLE_OWNER_SECONDS: Final = 2.5
"""Seconds after which a host that heard nothing of the store, and sees no more than
half of the hosts, may have been replaced unnoticed, and grants the restricted share."""

MAX_REQUESTED_OPERATIONS: Final = 100_000
MS_PER_SECOND: Final = 1000.0


class GrantRequest(Record):
    """Carry the question of a home for the next operations of a workspace.

    :param count: operations that are asked for.
    :param unused: operations of the host asked that are void now and were not used.
    :param elsewhere: operations that other hosts have granted since it was asked.
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
        """Return the question as it stands between hosts."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "GrantRequest":
        """Read a question of another host."""
        counts = [non_negative_int_field(message, name) for name in cls.__slots__[1:]]
        return cls(
            string_field(message, "workspace"),
            *(min(n, MAX_REQUESTED_OPERATIONS) for n in counts),
        )


class Grant(Record):
    """Carry an answer of the host that counts.

    :param count: operations that may be admitted.
    :param wait: seconds after which to ask again, if they are fewer than asked for.
    """

    __slots__ = ("count", "wait")

    def __init__(self, count: int, wait: float) -> None:
        self.count = count
        self.wait = wait

    def to_json(self) -> Json:
        """Return the grant as it stands between hosts."""
        return {"count": self.count, "wait_ms": math.ceil(self.wait * MS_PER_SECOND)}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "Grant":
        """Read a grant of another host."""
        return cls(
            non_negative_int_field(message, "count"),
            non_negative_int_field(message, "wait_ms") / MS_PER_SECOND,
        )


class RateOwner:
    """Count the operations of workspaces for which this host is the first in rank.

    Nothing is kept beyond a life of the process. A host that begins to count starts
    with a part of the slack, so that what another granted before it is within bounds.

    :param cut_off: says whether no other availability zone is reached.
    :param sees_most: says whether most hosts are seen to live.
    :param report_silent: has a host looked at that others found silent.
    :ivar buckets: what is left to grant, by workspace.
    :ivar restricted: workspaces of which others may count the rate as well.
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
        """Add the handler of this host."""
        routes.add(RATE_PATH, self.handle_request)

    async def handle_request(self, body: Json) -> Json:
        """Grant operations of a `workspace` to the home of a target.

        See `Ask` for the body.
        """
        return self.grant(GrantRequest.from_json(body)).to_json()

    def owners(self, name: str) -> list[HostRef]:
        """Return the hosts that may count the operations of a workspace, in rank."""
        return self.directory.ranked(f"{RATE_PATH} {name}", "")

    def first(self, name: str) -> HostRef | None:
        """Return the host that counts the operations of a workspace."""
        return self.directory.home(f"{RATE_PATH} {name}", "")

    def grant(self, request: GrantRequest) -> Grant:
        """Grant as many operations of a workspace as there are left."""
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
        """Begin to count anew, since another host may have counted meanwhile."""
        if self.buckets:
            self.decisions.record("rates_reset", cause=cause, count=len(self.buckets))
        self.buckets.clear()
        self.restricted.clear()

    def bucket(self, workspace: Workspace, rate: float, now: float) -> TokenBucket:
        """Return what is left to grant, by the rate that holds here now."""
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
        """Return whether no other host is expected to count the workspace."""
        first = self.first(name)
        if first is not None and first != self.directory.me:
            # Who asks here has found the first one silent.
            self.report_silent(first.host)
            return False
        if self.cut_off():
            return False
        return self.sees_most() or self.freshness.age() < SOLE_OWNER_SECONDS
