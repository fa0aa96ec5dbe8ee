"""Sends load reports of this host's targets, and reads those of other hosts."""

from collections.abc import Iterator
from typing import Any, Final

from ..clock import Clock
from ..connection.session_target_home import SessionTargetHome
from ..decision_log import DecisionLog
from ..host_directory import HostDirectory
from ..request.target_load import TargetLoad
from ..request.target_loads import TargetLoads
from ..wire import Json, WireError
from .statement_server import StatementServer

REPORTS_FIELD: Final = "l"
"""Field of a heartbeat that asks for load reports, and of the answer that has them."""

MIN_REQUEST_INTERVAL_SECONDS: Final = 1.0
"""Time without a request for reports after which a heartbeat to a watched host asks
for them. A host sends 9 heartbeats a second, nearly all to two watched hosts of its
zone; reports in all answers would take 5.2 KB/s of the 21 KB/s for control traffic."""


class LoadReporter:
    """Exchange load reports with other hosts by the answers to heartbeats.

    Only answers carry reports, since the sender of a request cannot tell how old its
    reports are when they arrive. All heartbeats to hosts chosen at random ask for
    reports, which spreads them over all zones.

    :ivar requested_at: when reports were last asked for, by `Clock.monotonic`.
    """

    def __init__(
        self,
        statement_server: StatementServer,
        directory: HostDirectory,
        loads: TargetLoads,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.statement_server = statement_server
        self.directory = directory
        self.loads = loads
        self.clock = clock
        self.decisions = decisions
        self.requested_at = float("-inf")

    def request_reports(self, message: Json, is_random: bool) -> None:
        """Ask for reports with a heartbeat, if it is time to."""
        now = self.clock.monotonic()
        if is_random or now - self.requested_at >= MIN_REQUEST_INTERVAL_SECONDS:
            self.requested_at = now
            message[REPORTS_FIELD] = 1

    def add_reports(self, request: Json, answer: Json) -> None:
        """Add load reports to the answer to a heartbeat that asks for them."""
        if REPORTS_FIELD not in request:
            return
        reports = self.loads.reports_to_send(self.own_reports())
        if reports:
            answer[REPORTS_FIELD] = reports

    def read_reports(self, answer: Json, requested_at: float, host: str) -> None:
        """Keep the load reports in a heartbeat's answer.

        A malformed report costs the reports of this answer only, since the host that
        sent it is alive.

        :param requested_at: when the heartbeat was sent, by `Clock.boottime`.
        """
        reports: Any = answer.get(REPORTS_FIELD)
        if reports is None:
            return
        elapsed = self.clock.boottime() - requested_at
        try:
            self.loads.record_received(reports, self.clock.monotonic() - elapsed)
        except WireError as error:
            self.decisions.record("load_report_invalid", source=host, error=str(error))

    def own_reports(self) -> list[TargetLoad]:
        """Return current reports of the targets whose home is this host."""
        return [home.load_meter.report() for home in self.own_homes()]

    def own_homes(self) -> Iterator[SessionTargetHome]:
        """Yield the homes of this host, without those that other hosts have taken over.

        A former home has no statements, and would report that its target is idle.
        """
        leases = self.statement_server.primary_leases
        for lease in leases.held.values():
            if lease.home is not None and not lease.draining:
                yield lease.home
        primaries = {record.primary for record in leases.registry.records.values()}
        me = self.directory.me
        for target, home in self.statement_server.replica_homes.items():
            if target in primaries:
                continue
            if self.directory.home(target, home.entry.zone) == me:
                yield home
