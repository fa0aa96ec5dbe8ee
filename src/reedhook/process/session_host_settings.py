"""Settings of a host that serves sessions on a platform with a store."""

from ..record import Record
from .rates.rate_tolerance import DEFAULT_TOLERANCE, RateTolerance


class SessionHostSettings(Record):
    """Represent the settings of a session host; addresses are ``IP:port``.

    :param host: the host's id, unique in the deployment.
    :param zone: its availability zone.
    :param callers_listen: listen address for callers.
    :param ready_listen: listen address for readiness checks.
    :param peer_listen: listen address for other hosts.
    :param metrics_listen: listen address for the metrics endpoint.
    :param store: address of the platform's store.
    :param promotions: address of the platform's promotion API.
    :param grace: seconds from the stop signal until the process is killed.
    :param cores: processor cores that the host may use.
    :param link_mbps: bandwidth of its network link, in Mbit/s.
    :param revoke: seconds within which a revoked key loses access at every host,
        even one that cannot reach the store; None for no bound.
    :param rates: tolerance of the rate limits of workspaces.
    :param target_outlier_detection: whether hosts exchange load reports of targets,
        avoid failing ones and run failed reads again elsewhere.
    :param overload_control: whether homes apply the reserve of lower priorities, the
        limits of long statements and of reads at the primary, and the retry schedule.
    """

    __slots__ = (
        "host",
        "zone",
        "callers_listen",
        "ready_listen",
        "peer_listen",
        "metrics_listen",
        "store",
        "promotions",
        "grace",
        "cores",
        "link_mbps",
        "revoke",
        "rates",
        "target_outlier_detection",
        "overload_control",
    )

    def __init__(
        self,
        host: str,
        zone: str,
        callers_listen: str,
        ready_listen: str,
        peer_listen: str,
        metrics_listen: str,
        store: str,
        promotions: str,
        grace: float,
        cores: float,
        link_mbps: float,
        revoke: float | None = None,
        rates: RateTolerance = DEFAULT_TOLERANCE,
        target_outlier_detection: bool = False,
        overload_control: bool = False,
    ) -> None:
        self.target_outlier_detection = target_outlier_detection
        self.overload_control = overload_control
        self.rates = rates
        self.revoke = revoke
        self.host = host
        self.zone = zone
        self.callers_listen = callers_listen
        self.ready_listen = ready_listen
        self.peer_listen = peer_listen
        self.metrics_listen = metrics_listen
        self.store = store
        self.promotions = promotions
        self.grace = grace
        self.cores = cores
        self.link_mbps = link_mbps
