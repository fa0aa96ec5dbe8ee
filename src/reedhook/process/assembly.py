"""Put a host together with its adapters and its three HTTP servers."""

from random import Random
from typing import Final

from aiohttp import web

from ..clock import Clock, SystemClock
from ..connection.target_http import HttpTargetFactory
from ..request.api import caller_routes
from .admin import admin_app
from .admin_config import config_routes
from .host import Host
from .hostlist_http import HttpHostList
from .lifecycle import HostProcess
from .metrics import MemoryMetrics, Metrics
from .peer import HostRef
from .peer_http import HttpPeers
from .peer_server import PeerEndpoint, PeerServer
from .server import Server
from .settings import Settings
from .statsd_metrics import StatsdMetrics
from .store_http import HttpStore
from .timeline import Timeline

METRICS_PREFIX: Final = "reedhook"


def assemble_host(settings: Settings) -> HostProcess:
    """Return the process of a host as the daemon runs it."""
    metrics: Metrics = MemoryMetrics()
    if settings.statsd is not None:
        metrics = StatsdMetrics(settings.statsd, METRICS_PREFIX)
    return assemble(settings, SystemClock(), Random(), metrics)


def assemble(
    settings: Settings, clock: Clock, random: Random, metrics: Metrics
) -> HostProcess:
    """Return the process of a host with the given clock and random source."""
    host = make_host(settings, clock, random, metrics)
    endpoint = PeerEndpoint(host.routes, settings.peer_credential, host.timeline)
    return HostProcess(
        host,
        Server("callers", caller_app(host), settings.listen, settings.limits),
        PeerServer(endpoint, settings.peer_listen),
        Server(
            "operators",
            admin_app(host.admin, config_routes(host.admin, host.editor)),
            settings.admin_listen,
            settings.limits,
        ),
        clock,
        settings.limits.shutdown_s,
    )


def make_host(
    settings: Settings, clock: Clock, random: Random, metrics: Metrics
) -> Host:
    """Return a host with HTTP adapters to the outside."""
    timeline = Timeline(settings.host, clock)
    me = HostRef(settings.host, settings.zone, settings.peer_listen)
    return Host(
        settings,
        clock,
        random,
        HttpStore(settings.store),
        HttpHostList(settings.hostlist),
        HttpTargetFactory(settings.host),
        timeline,
        HttpPeers(me, settings.peer_credential, timeline, clock),
        metrics,
    )


def caller_app(host: Host) -> web.Application:
    """Return the callers' interface."""
    app = web.Application(client_max_size=host.settings.limits.body_bytes)
    app.add_routes(caller_routes(host.api))
    return app
