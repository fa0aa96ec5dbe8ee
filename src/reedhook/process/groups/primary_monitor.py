"""Watch over the primary of a group, and decide when to replace it."""

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
    """Turn doubts into evidence and evidence into a change of primary.

    :param on_host_lost: is called when the primary lives and its home seems
        dead, so that membership may look at that host sooner.
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
        """Look at the primary soon."""
        self.check_requested.set()

    async def run(self) -> None:
        """Look at the primary whenever something speaks against it."""
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
        """Return what speaks against the primary now, or None."""
        primary = self.group_state.primary
        if primary is None:
            return PromotionCause.LEADERLESS
        lost = self.detect_loss(primary)
        if (
            lost is None
            and self.group_state.highest_promised_term > self.group_state.term
        ):
            return PromotionCause.FENCED
        self.leaderless_since = None
        return lost

    def detect_loss(self, primary: str) -> PromotionCause | None:
        """Return in what way the primary seems lost, or None."""
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
        """Gather evidence and act on it."""
        if cause in (PromotionCause.LEADERLESS, PromotionCause.FENCED):
            await self.find_leader(cause)
            return
        primary = self.group_state.primary
        term = self.group_state.term
        since = self.first_sign()
        if primary is None:
            return
        self.suspect(primary, cause, since)
        evidence = await self.gather_evidence(primary, cause)
        if evidence is PrimaryLiveness.HOMELESS and self.may_get_new_home(primary):
            await self.pause(RECHECK_DELAY_SECONDS)
            return
        self.homeless_since = None
        if evidence is PrimaryLiveness.ALIVE and cause is PromotionCause.SILENT:
            self.clear("answers others")
            await self.pause(RECHECK_DELAY_SECONDS)
            return
        if self.group_state.term != term or self.detect_cause() is None:
            self.clear("answers again")
            return
        if evidence is PrimaryLiveness.HOMELESS:
            cause = PromotionCause.HOMELESS
        await self.change_primary(cause, since)

    async def gather_evidence(
        self, primary: str, cause: PromotionCause
    ) -> PrimaryLiveness:
        """Ask about the primary until the answer can be acted on.

        A silence must have lasted, with a check that covers its end. Timeouts
        of a host that lags itself prove nothing, so it asks again.
        """
        for _ in range(MAX_CHECKS):
            begun = self.clock.monotonic()
            found = await self.prober.probe_primary(primary)
            now = self.clock.monotonic()
            silence = self.silence(now)
            if found is not PrimaryLiveness.LOST:
                self.alive_at = begun
            if found is not PrimaryLiveness.LOST or (
                cause is PromotionCause.SILENT and not silence
            ):
                return found
            lasted = (
                cause is not PromotionCause.SILENT or silence >= SUSPECT_AFTER_SECONDS
            )
            if lasted and now - begun < SLOW_CHECK_SECONDS:
                return found
            await self.clock.sleep(
                max(0.0, SUSPECT_AFTER_SECONDS - FINAL_CHECK_SECONDS - silence)
            )
        return PrimaryLiveness.LOST

    def silence(self, now: float) -> float:
        """Return for how many seconds nobody has shown the primary alive."""
        since = self.reporter.contact.silent_since
        return 0.0 if since is None else now - max(since, self.alive_at)

    def first_sign(self) -> float:
        """Return when the primary first seemed lost, in local monotonic time."""
        now = self.clock.monotonic()
        home = self.reporter.home(self.group_state.primary)
        if home is not None:
            return home.unreachable_since or now
        return self.reporter.contact.silent_since or now

    async def change_primary(self, cause: PromotionCause, since: float) -> None:
        """Try a change of primary once; look again if it came to nothing."""
        suspicion = self.clock.monotonic() - since
        if await self.coordinator.change_primary(cause, suspicion):
            self.reporter.contact.reset()
            self.leaderless_since = None
            self.suspected = False
            return
        self.check_requested.set()

    def may_get_new_home(self, primary: str) -> bool:
        """Say whether a standby may still take over a primary that lives."""
        now = self.clock.monotonic()
        if self.homeless_since is None:
            self.homeless_since = now
        if self.on_host_lost is not None:
            for host in self.prober.direct_probers(primary)[:1]:
                self.on_host_lost(host)
        return now - self.homeless_since < HOMELESS_AFTER_SECONDS

    async def find_leader(self, cause: PromotionCause) -> None:
        """Ask the members who leads; without an answer for long, elect."""
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
        """Look again after `seconds`."""
        await self.clock.sleep(seconds)
        self.check_requested.set()

    def suspect(self, primary: str, cause: PromotionCause, since: float) -> None:
        """Record the suspicion, once while it lasts."""
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
        """Record that the suspicion was unfounded."""
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
