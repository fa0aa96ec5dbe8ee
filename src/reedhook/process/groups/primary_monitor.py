"""Failure detection for the primary of a group, and the decision to replace it."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...host_directory import HostDirectory
from ...metrics import Metrics
from ...peer import HostRef
from ..events.timeline import EventKind, Timeline
from .group_promotion_coordinator import GroupPromotionCoordinator, to_rounded_ms
from .group_state import GroupState
from .primary_prober import PrimaryLiveness, PrimaryProber, PromotionCause
from .replica_reporter import CHECK_UNANSWERED_AFTER_SECONDS, ReplicaReporter

SUSPECT_AFTER_SECONDS: Final = 0.35
FINAL_CHECK_SECONDS: Final = 0.13
HOMELESS_AFTER_SECONDS: Final = 3.0
LEADERLESS_AFTER_SECONDS: Final = 0.4
RECHECK_DELAY_SECONDS: Final = 0.1
MAX_CHECKS: Final = 6
SLOW_CHECK_SECONDS: Final = 0.17
SILENCE_TOLERANCE_FACTOR: Final = 0.9

HostLostCallback = Callable[[HostRef], None]


class PrimaryMonitor:
    """Check a suspected primary and start a change of primary if it is lost.

    :param on_host_lost: called when the primary is alive but its home seems
        dead, so that membership checks that host sooner.
    :ivar alive_at: local monotonic time in seconds of the last probe that found
        the primary alive.
    :ivar homeless_since: local monotonic time since which the primary has been
        alive without a home; None if it has one.
    :ivar leaderless_since: local monotonic time since which the group has had no
        leader that can act; None if it has one.
    """

    def __init__(
        self,
        group_state: GroupState,
        reporter: ReplicaReporter,
        prober: PrimaryProber,
        coordinator: GroupPromotionCoordinator,
        directory: HostDirectory,
        clock: Clock,
        timeline: Timeline,
        metrics: Metrics,
        on_host_lost: HostLostCallback | None,
    ) -> None:
        self.group_state = group_state
        self.reporter = reporter
        self.prober = prober
        self.coordinator = coordinator
        self.directory = directory
        self.clock = clock
        self.timeline = timeline
        self.metrics = metrics
        self.on_host_lost = on_host_lost
        self.check_requested = asyncio.Event()
        self.leaderless_since: float | None = None
        self.suspected = False
        self.alive_at = float("-inf")
        self.homeless_since: float | None = None

    def request_check(self) -> None:
        """Request a check of the primary."""
        self.check_requested.set()

    async def run(self) -> None:
        """Check the primary on each request, until cancelled."""
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            cause = self.detect_cause()
            if cause is None:
                self.homeless_since = None
                self.clear("answers again")
                continue
            await self.investigate(cause)

    def detect_cause(self) -> PromotionCause | None:
        """Return the current cause for a change of primary, or None."""
        primary = self.group_state.primary
        if primary is None:
            return PromotionCause.LEADERLESS
        cause = self.detect_loss(primary)
        if (
            cause is None
            and self.group_state.highest_promised_term > self.group_state.term
        ):
            return PromotionCause.FENCED
        self.leaderless_since = None
        return cause

    def detect_loss(self, primary: str) -> PromotionCause | None:
        """Return in which way the primary seems lost, or None."""
        home = self.reporter.home(primary)
        if home is not None:
            return (
                PromotionCause.TARGET_LOST
                if home.unreachable_since is not None
                else None
            )
        contact = self.reporter.contact
        if contact.primary_reported_lost:
            return PromotionCause.TARGET_LOST
        silence = contact.silence(self.clock.monotonic())
        silent = (
            contact.broken
            or silence >= CHECK_UNANSWERED_AFTER_SECONDS * SILENCE_TOLERANCE_FACTOR
        )
        return PromotionCause.SILENT if silent else None

    async def investigate(self, cause: PromotionCause) -> None:
        """Probe the primary and change it if the cause is confirmed."""
        if cause in (PromotionCause.LEADERLESS, PromotionCause.FENCED):
            await self.find_leader(cause)
            return
        primary = self.group_state.primary
        term = self.group_state.term
        since = self.first_sign()
        if primary is None:
            return
        self.suspect(primary, cause, since)
        liveness = await self.gather_evidence(primary, cause)
        if liveness is PrimaryLiveness.HOMELESS and self.may_get_new_home(primary):
            await self.pause(RECHECK_DELAY_SECONDS)
            return
        self.homeless_since = None
        if liveness is PrimaryLiveness.ALIVE and cause is PromotionCause.SILENT:
            self.clear("answers others")
            await self.pause(RECHECK_DELAY_SECONDS)
            return
        if self.group_state.term != term or self.detect_cause() is None:
            self.clear("answers again")
            return
        if liveness is PrimaryLiveness.HOMELESS:
            cause = PromotionCause.HOMELESS
        await self.change_primary(cause, since)

    async def gather_evidence(
        self, primary: str, cause: PromotionCause
    ) -> PrimaryLiveness:
        """Probe the primary until the result is conclusive.

        A silence must have lasted `SUSPECT_AFTER_SECONDS`, with a probe at its
        end. The timeouts of a slow probe prove nothing, since this host itself
        may be overloaded, so the probe is repeated.
        """
        for _ in range(MAX_CHECKS):
            started_at = self.clock.monotonic()
            liveness = await self.prober.probe_primary(primary)
            now = self.clock.monotonic()
            silence = self.silence(now)
            if liveness is not PrimaryLiveness.LOST:
                self.alive_at = started_at
            if liveness is not PrimaryLiveness.LOST or (
                cause is PromotionCause.SILENT and not silence
            ):
                return liveness
            long_enough = (
                cause is not PromotionCause.SILENT or silence >= SUSPECT_AFTER_SECONDS
            )
            if long_enough and now - started_at < SLOW_CHECK_SECONDS:
                return liveness
            await self.clock.sleep(
                max(0.0, SUSPECT_AFTER_SECONDS - FINAL_CHECK_SECONDS - silence)
            )
        return PrimaryLiveness.LOST

    def silence(self, now: float) -> float:
        """Return the seconds without evidence that the primary is alive."""
        since = self.reporter.contact.silent_since
        return 0.0 if since is None else now - max(since, self.alive_at)

    def first_sign(self) -> float:
        """Return the local monotonic time at which the primary first seemed lost."""
        now = self.clock.monotonic()
        home = self.reporter.home(self.group_state.primary)
        if home is not None:
            return home.unreachable_since or now
        return self.reporter.contact.silent_since or now

    async def change_primary(self, cause: PromotionCause, since: float) -> None:
        """Try a change of primary once; request another check if it fails."""
        suspicion = self.clock.monotonic() - since
        if await self.coordinator.change_primary(cause, suspicion):
            self.reporter.contact.reset()
            self.leaderless_since = None
            self.suspected = False
            return
        self.check_requested.set()

    def may_get_new_home(self, primary: str) -> bool:
        """Return whether a standby host may still take over the home."""
        now = self.clock.monotonic()
        if self.homeless_since is None:
            self.homeless_since = now
        if self.on_host_lost is not None:
            for host in self.prober.direct_probers(primary)[:1]:
                self.on_host_lost(host)
        return now - self.homeless_since < HOMELESS_AFTER_SECONDS

    async def find_leader(self, cause: PromotionCause) -> None:
        """Query the members for the leader; elect one if none is found in time."""
        now = self.clock.monotonic()
        if self.leaderless_since is None:
            self.leaderless_since = now
        await self.coordinator.survey(frozenset())
        if self.detect_cause() not in (
            PromotionCause.LEADERLESS,
            PromotionCause.FENCED,
        ):
            return
        if now - self.leaderless_since < LEADERLESS_AFTER_SECONDS:
            await self.pause(RECHECK_DELAY_SECONDS)
            return
        await self.change_primary(cause, self.leaderless_since)

    async def pause(self, seconds: float) -> None:
        """Request another check after `seconds`."""
        await self.clock.sleep(seconds)
        self.check_requested.set()

    def suspect(self, primary: str, cause: PromotionCause, since: float) -> None:
        """Record a suspicion, unless one is already recorded."""
        if self.suspected:
            return
        self.suspected = True
        self.metrics.increment("primary.suspected")
        self.timeline.record(
            EventKind.PRIMARY_SUSPECTED,
            self.group_state.group.name,
            primary=primary,
            term=self.group_state.term,
            cause=cause.value,
            since_ms=to_rounded_ms(self.clock.monotonic() - since),
        )

    def clear(self, why: str) -> None:
        """Record the end of a suspicion without a change of primary."""
        if not self.suspected:
            return
        self.suspected = False
        self.metrics.increment("primary.cleared")
        self.timeline.record(
            EventKind.PRIMARY_CLEARED,
            self.group_state.group.name,
            primary=self.group_state.primary,
            term=self.group_state.term,
            why=why,
        )
