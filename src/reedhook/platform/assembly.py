"""Assembly of a host with its adapters to the platform."""

import os
from pathlib import Path
from random import Random
from typing import Final

import logbook

from ..clock import Clock, SystemClock
from ..decision_log import DecisionLog
from ..peer import HostRef
from ..process.discovery.store_epoch import StoreEpoch
from ..process.events.timeline import Timeline
from ..process.histograms import HistogramMetrics
from ..process.network.peer_http import HttpPeers
from ..process.network.peer_server import PeerEndpoint, PeerServer
from ..process.network.plain_server import PlainServer
from ..process.session_host import SessionHost
from ..process.session_host_settings import SessionHostSettings
from ..process.session_process import SessionProcess
from . import settings as settings_file
from .caller_listener import CallerListener
from .documents import PlatformDocuments
from .driver import WireDriver, WirePhrases
from .probe import ProbeHandler
from .promoter import PlatformPromoter
from .store import PlatformStore

PEER_CREDENTIAL: Final = "reedhook"
"""Rejects stray connections to the peer ports. It is not a secret: the platform
provides none."""

PROBE_MAX_BODY_BYTES: Final = 1024
"""Limit of a probe's body, which is usually empty."""

PROBE_KEEPALIVE_SECONDS: Final = 75.0
"""Time after which an idle probe connection is closed."""

PROBE_SHUTDOWN_GRACE_SECONDS: Final = 1.0
"""Time for which probe connections stay open while the process stops."""

log = logbook.Logger("daemon")


class PlatformProcess(SessionProcess):
    """Run a host on the platform and reload its settings file when it changes."""

    def __init__(
        self,
        path: Path,
        settings: SessionHostSettings,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
        known: float,
    ) -> None:
        self.path = path
        metrics = HistogramMetrics()
        self.store = PlatformStore(
            settings.store, clock, StoreEpoch(decisions, metrics)
        )
        self.promoter = PlatformPromoter(settings.promotions, clock)
        timeline = Timeline(settings.host, clock)
        me = HostRef(settings.host, settings.zone, settings.peer_listen)
        host = SessionHost(
            settings,
            clock,
            random,
            self.store,
            PlatformDocuments(),
            self.promoter,
            WireDriver(settings.host),
            WirePhrases(),
            HttpPeers(me, PEER_CREDENTIAL, timeline, clock, metrics=metrics),
            timeline,
            decisions,
            metrics,
        )
        endpoint = PeerEndpoint(host.routes, PEER_CREDENTIAL, timeline)
        probe = ProbeHandler(lambda: host.ready, metrics.render)
        super().__init__(
            host,
            CallerListener(host.caller_sessions, settings.callers_listen),
            PeerServer(endpoint, settings.peer_listen),
            probe_server("platform", probe, settings.ready_listen),
            probe_server("metrics", probe, settings.metrics_listen),
            known,
        )

    def reload(self) -> None:
        """Reload the settings file and apply it.

        An invalid file is logged and changes nothing.
        """
        decisions = self.host.decisions
        try:
            settings = settings_file.load(self.path)
        except (OSError, settings_file.SettingsFileError) as error:
            decisions.record("reload_refused", error=str(error))
            return
        self.store.change_address(settings.store)
        self.promoter.change_address(settings.promotions)
        self.host.apply_settings(settings)

    def stamp(self) -> float:
        return modification_time(self.path)


def modification_time(path: Path) -> float:
    """Return the modification time of a settings file, 0.0 if it is unknown."""
    try:
        return os.stat(path).st_mtime
    except OSError as error:
        # The file may be being replaced; the next check reads it again.
        log.warn("Cannot get the modification time of the settings file: {}.", error)
        return 0.0


def probe_server(name: str, probe: ProbeHandler, address: str) -> PlainServer:
    """Return a server for readiness probes and metrics scrapes."""
    return PlainServer(
        name,
        probe.answer,
        address,
        PROBE_MAX_BODY_BYTES,
        PROBE_KEEPALIVE_SECONDS,
        PROBE_SHUTDOWN_GRACE_SECONDS,
    )


def create_process(path: Path) -> PlatformProcess:
    """Return the process of a host with the settings in `path`.

    :raises OSError: if the file cannot be read.
    :raises SettingsError: if the settings are invalid.
    """
    known = modification_time(path)
    settings = settings_file.load(path)
    clock = SystemClock()
    decisions = DecisionLog(settings.host, clock)
    return PlatformProcess(path, settings, clock, Random(), decisions, known)
