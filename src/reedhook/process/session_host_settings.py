"""Settings of a host that serves sessions on a platform with a store."""

from ..record import Record
from .rates.rate_tolerance import DEFAULT_TOLERANCE, RateTolerance


class SessionHostSettings(Record):
    """Carry the settings; addresses are ``IP:port``.

    :param host: the host's id, unique in the deployment.
    :param zone: its availability zone.
    :param callers_listen: where callers reach it.
    :param ready_listen: where the platform asks whether it is ready.
    :param peer_listen: where other hosts reach it.
    :param metrics_listen: where its metrics are read.
    :param store: the platform's store.
    :param promotions: where promotions are ordered.
    :param grace: seconds from the signal to stop until the process is killed.
    :param cores: processor cores that the host may use.
    :param link_mbps: what its link carries, in Mbit/s.
    :param revoke: seconds after which a key that was taken away opens nothing at any
        host, whether it reaches the store or not; None where that is not bounded.
    :param rates: how strictly the rates of workspaces are held.
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
    ) -> None:
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
