"""Detect that this host is isolated from all other availability zones."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any, Final

from ..clock import Clock
from ..decision_log import DecisionLog
from ..peer import HostRef
from .discovery.announcements import Announcements
from .fleet.membership_table import MembershipTable
from .network.answer_tracking_peers import AnswerTrackingPeers
from .primary_lease.holder_failure_detector import HolderFailureDetector
from .primary_lease.target_status import TargetStatusClient

CHECK_INTERVAL_SECONDS: Final = 0.1
RECENT_ANSWER_SECONDS: Final = 0.2
"""Time without a response from another zone after which the other zones are probed."""

FIRST_PROBE_TIMEOUT_SECONDS: Final = 0.08
"""Timeout of the first probe, of one host; without a response all zones are probed.
Short, since writes are refused until an isolation is detected."""

PROBE_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of the probes that decide; targets may serve other statements before a
new connection."""


class ZoneIsolationDetector:
    """Detect that no other availability zone is reachable.

    An isolated host can serve reads only until their maximum age is exceeded, so
    it reports itself unready and callers move to hosts of other zones.

    Unreachable hosts alone are no proof: if all other hosts are down, this one has
    to serve all callers. Targets of the other zones must be unreachable as well.

    :ivar isolated_since: time of the detection, by `Clock.monotonic`; None while
        another zone is reachable.
    """

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        announcements: Announcements,
        states: TargetStatusClient,
        failure_detector: HolderFailureDetector,
        peers: AnswerTrackingPeers,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.table = table
        self.announcements = announcements
        self.states = states
        self.failure_detector = failure_detector
        self.peers = peers
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.isolated_since: float | None = None
        self.probed_hosts: dict[str, HostRef] = {}

    @property
    def is_isolated(self) -> bool:
        """Return whether no other zone is reachable."""
        return self.isolated_since is not None

    def isolated_seconds(self) -> float:
        """Return how long this host has been isolated, in seconds; 0 if it is not."""
        return (
            0.0
            if self.isolated_since is None
            else self.clock.monotonic() - self.isolated_since
        )

    async def run(self) -> None:
        """Check the other zones periodically, until cancelled."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_SECONDS)
            await self.check_zones()

    async def check_zones(self) -> None:
        """Check whether another zone is reachable, with probes if none answered lately.

        One host is probed first: probes of all zones, each with a new connection
        to a target, would be frequent at a host with little traffic.
        """
        if self.has_recent_answer() or not self.choose_probed_hosts():
            self.record_reachability(True)
            return
        probed_host = self.random.choice(list(self.probed_hosts.values()))
        if not self.is_isolated and await self.failure_detector.is_reachable(
            probed_host, FIRST_PROBE_TIMEOUT_SECONDS
        ):
            return
        answers = await asyncio.gather(*self.make_probes())
        self.record_reachability(any(answers) or self.has_recent_answer())

    def has_recent_answer(self) -> bool:
        """Return whether a host of another zone answered a call recently."""
        cutoff = self.clock.monotonic() - RECENT_ANSWER_SECONDS
        return self.peers.other_zone_answered_since(self.me.zone, cutoff)

    def choose_probed_hosts(self) -> bool:
        """Choose a host of each other zone to probe; return whether there is one.

        The previous choice is kept for a zone without live hosts, since membership
        forgets unreachable hosts.
        """
        for zone in self.table.zones:
            if zone != self.me.zone and (live := self.table.refs(zone)):
                self.probed_hosts[zone] = self.random.choice(live)
        return bool(self.probed_hosts)

    def make_probes(self) -> list[Coroutine[Any, Any, bool]]:
        """Return probes of one host and one target of each other zone."""
        targets = [
            entry
            for entry in self.announcements.targets.values()
            if entry.zone != self.me.zone
        ]
        self.random.shuffle(targets)
        target_by_zone = {entry.zone: entry for entry in targets}
        return [
            *(
                self.failure_detector.is_reachable(host, PROBE_TIMEOUT_SECONDS)
                for host in self.probed_hosts.values()
            ),
            *(
                self.states.is_reachable(target, PROBE_TIMEOUT_SECONDS)
                for target in target_by_zone.values()
            ),
        ]

    def record_reachability(self, reached: bool) -> None:
        """Record a change of whether another zone is reachable."""
        if reached and self.isolated_since is not None:
            self.decisions.record(
                "zone_isolation_ended", after=round(self.isolated_seconds(), 2)
            )
            self.isolated_since = None
        elif not reached and self.isolated_since is None:
            self.isolated_since = self.clock.monotonic()
            self.decisions.record("zone_isolated", zones=sorted(self.probed_hosts))
