"""Intervals and timeouts of the failure detector."""

from ...record import Record


class HeartbeatTiming(Record):
    """Configure the failure detector; all values are in seconds.

    :param watch_interval: interval between probes of a monitored host.
    :param answer_timeout: timeout of a probe.
    :param refute_timeout: time a suspected host of this zone has to refute.
    :param other_zone_refute_timeout: the same for a host of another zone.
    :param probe_interval: mean interval between probes of random hosts.
    :param tick_interval: interval of the maintenance loop.
    :param pause_threshold: a tick this late means that this host was paused.
    :param presumed_dead_threshold: after a pause this long, other hosts may have
        declared this host dead.
    :param slow_tick_threshold: a tick this late indicates that this host is slow.
    :param pull_interval: interval between pulls of differing records.
    :param gone_retention: time for which the record of a gone host is kept.
    :param dead_retention: time for which the record of a dead host is kept.
    """

    __slots__ = (
        "watch_interval",
        "answer_timeout",
        "refute_timeout",
        "other_zone_refute_timeout",
        "probe_interval",
        "tick_interval",
        "pause_threshold",
        "presumed_dead_threshold",
        "slow_tick_threshold",
        "pull_interval",
        "gone_retention",
        "dead_retention",
    )

    def __init__(
        self,
        watch_interval: float = 0.25,
        answer_timeout: float = 0.1,
        refute_timeout: float = 0.15,
        other_zone_refute_timeout: float = 1.0,
        probe_interval: float = 1.0,
        tick_interval: float = 0.05,
        pause_threshold: float = 0.1,
        presumed_dead_threshold: float = 0.5,
        slow_tick_threshold: float = 0.03,
        pull_interval: float = 2.0,
        gone_retention: float = 300.0,
        dead_retention: float = 3600.0,
    ) -> None:
        self.watch_interval = watch_interval
        self.answer_timeout = answer_timeout
        self.refute_timeout = refute_timeout
        self.other_zone_refute_timeout = other_zone_refute_timeout
        self.probe_interval = probe_interval
        self.tick_interval = tick_interval
        self.pause_threshold = pause_threshold
        self.presumed_dead_threshold = presumed_dead_threshold
        self.slow_tick_threshold = slow_tick_threshold
        self.pull_interval = pull_interval
        self.gone_retention = gone_retention
        self.dead_retention = dead_retention
