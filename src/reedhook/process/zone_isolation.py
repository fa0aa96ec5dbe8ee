"""Whether this host is cut off from all other availability zones."""

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
"""Seconds between two looks."""

RECENT_ANSWER_SECONDS: Final = 0.2
"""Seconds without an answer from another zone after which answers are asked for;
a call takes 3 ms, and a busy host hears from other zones many times a second."""

FIRST_PROBE_TIMEOUT_SECONDS: Final = 0.08
"""Seconds for the first answer, which takes 3 ms; without it all zones are asked.
To notice a cut 0.4 s sooner sends a quarter of the callers of four zones elsewhere
as much sooner, until when their writes are refused."""

PROBE_TIMEOUT_SECONDS: Final = 0.25
"""Seconds for the answers that decide; targets may have statements of 110 ms ahead
of a new connection."""


class ZoneIsolationDetector:
    """Notice that no other availability zone can be reached any more.

    A host that is cut off serves what the targets of its zone can prove, which
    ends after the greatest age that its routes allow. The callers of its zone
    are served by other zones then: one that is not ready gets no new ones.

    Hosts alone do not tell: where all other hosts are down, this one serves
    everybody. So targets of other zones have to be silent, too.

    :ivar isolated_since: when it was noticed, by `Clock.monotonic`; None while another
        zone is reached.
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
    def cut_off(self) -> bool:
        """Say whether no other zone is reached."""
        return self.isolated_since is not None

    def isolated_seconds(self) -> float:
        """Return for how many seconds no other zone was reached; 0 while one is."""
        return (
            0.0
            if self.isolated_since is None
            else self.clock.monotonic() - self.isolated_since
        )

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_SECONDS)
            await self.check_zones()

    async def check_zones(self) -> None:
        """Find out whether another zone is reached, asking where none was heard.

        One host is asked first: a question to all, with a new connection to a
        target of each zone, would come often where a host has little to do.
        """
        if self.has_recent_answer() or not self.choose_probed_hosts():
            self.record_reachability(True)
            return
        one = self.random.choice(list(self.probed_hosts.values()))
        if not self.cut_off and await self.failure_detector.is_reachable(
            one, FIRST_PROBE_TIMEOUT_SECONDS
        ):
            return
        answers = await asyncio.gather(*self.make_probes())
        self.record_reachability(any(answers) or self.has_recent_answer())

    def has_recent_answer(self) -> bool:
        """Say whether a host of another zone answered a call lately."""
        after = self.clock.monotonic() - RECENT_ANSWER_SECONDS
        return self.peers.other_zone_answered_since(self.me.zone, after)

    def choose_probed_hosts(self) -> bool:
        """Choose a host of each other zone to ask; return whether there is one.

        It is kept where none lives: membership forgets those that are cut off.
        """
        for zone in self.table.zones:
            if zone != self.me.zone and (live := self.table.refs(zone)):
                self.probed_hosts[zone] = self.random.choice(live)
        return bool(self.probed_hosts)

    def make_probes(self) -> list[Coroutine[Any, Any, bool]]:
        """Ask one host and one target of each other zone for an answer."""
        targets = [
            entry
            for entry in self.announcements.targets.values()
            if entry.zone != self.me.zone
        ]
        self.random.shuffle(targets)
        chosen = {entry.zone: entry for entry in targets}
        return [
            *(
                self.failure_detector.is_reachable(host, PROBE_TIMEOUT_SECONDS)
                for host in self.probed_hosts.values()
            ),
            *(
                self.states.is_reachable(target, PROBE_TIMEOUT_SECONDS)
                for target in chosen.values()
            ),
        ]

    def record_reachability(self, reached: bool) -> None:
        """Take note of a change."""
        if reached and self.isolated_since is not None:
            self.decisions.record(
                "zones_reached", after=round(self.isolated_seconds(), 2)
            )
            self.isolated_since = None
        elif not reached and self.isolated_since is None:
            self.isolated_since = self.clock.monotonic()
            self.decisions.record("cut_off", zones=sorted(self.probed_hosts))
