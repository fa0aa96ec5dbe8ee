"""Assemble a host with its adapters and its three HTTP servers."""

from random import Random
from typing import Final

from ..clock import Clock, SystemClock
from ..connection.target_http import HttpTargetFactory
from ..metrics import MemoryMetrics, Metrics
from ..peer import HostRef
from ..request.endpoint import CallerEndpoint
from .administration.admin import admin_app
from .administration.admin_config import config_routes
from .configuring.store_http import HttpStore
from .events.timeline import Timeline
from .fleet.hostlist_http import HttpHostList
from .host import Host
from .lifecycle import Companion, HostDaemon
from .network.peer_http import HttpPeers
from .network.peer_server import PeerEndpoint, PeerServer
from .network.server import ApplicationServer, HandlerServer
from .network.tls import TlsContexts
from .settings import Settings
from .statsd_metrics import StatsdMetrics

METRICS_PREFIX: Final = "reedhook"


def assemble_host(settings: Settings) -> HostDaemon:
    """Return the host process that the daemon runs."""
    if settings.statsd is None:
        return assemble(settings, SystemClock(), Random(), MemoryMetrics())
    metrics = StatsdMetrics(settings.statsd, f"{METRICS_PREFIX}.{settings.host}")
    return assemble(settings, SystemClock(), Random(), metrics, (metrics.run,))


def assemble(
    settings: Settings,
    clock: Clock,
    random: Random,
    metrics: Metrics,
    companions: tuple[Companion, ...] = (),
) -> HostDaemon:
    """Return a host process with the given clock and random source.

    :raises OSError: if a certificate file cannot be used.
    """
    tls = None if settings.tls is None else TlsContexts(settings.tls)
    if tls is not None:
        companions = (*companions, tls.watch_files)
    return serve(make_host(settings, clock, random, metrics, tls), tls, companions)


def serve(
    host: Host,
    tls: TlsContexts | None = None,
    companions: tuple[Companion, ...] = (),
) -> HostDaemon:
    """Return the process that runs `host` behind its three servers."""
    settings = host.settings
    endpoint = PeerEndpoint(host.routes, settings.peer_credential, host.timeline)
    callers = CallerEndpoint(host.api)
    operators_app = admin_app(host.admin, config_routes(host.admin, host.editor))
    limits = settings.limits
    caller_tls = None if tls is None else tls.callers
    return HostDaemon(
        host,
        HandlerServer("callers", callers.handle, settings.listen, limits, caller_tls),
        PeerServer(endpoint, settings.peer_listen, None if tls is None else tls.peers),
        ApplicationServer(
            "operators", operators_app, settings.admin_listen, limits, caller_tls
        ),
        host.clock,
        limits.shutdown_s,
        companions,
    )


def make_host(
    settings: Settings,
    clock: Clock,
    random: Random,
    metrics: Metrics,
    tls: TlsContexts | None = None,
) -> Host:
    """Return a host with HTTP adapters to the platform, targets and peers."""
    timeline = Timeline(settings.host, clock)
    me = HostRef(settings.host, settings.zone, settings.peer_listen)
    context = None if tls is None else tls.client
    return Host(
        settings,
        clock,
        random,
        HttpStore(settings.store),
        HttpHostList(settings.hostlist),
        HttpTargetFactory(settings.host),
        timeline,
        HttpPeers(me, settings.peer_credential, timeline, clock, context),
        metrics,
    )
