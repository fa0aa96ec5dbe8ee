"""Sampling of the confirmed primary at the rate that bounded reads need."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...peer import PeerError
from ...request.refusal import RefusalError
from .group_state import GroupState
from .leader_confirmation import GroupLeader, LeaderConfirmation
from .replica_reporter import ReplicaReport, ReplicaReporter

SAMPLES_PER_WANTED_AGE: Final = 3
MIN_SAMPLE_INTERVAL_SECONDS: Final = 0.05
SAMPLING_DURATION_SECONDS: Final = 3.0
FETCH_TIMEOUT_SECONDS: Final = 0.25
FETCH_RETRY_DELAY_SECONDS: Final = 0.01


class PrimarySampler:
    """Take samples periodically while bounded reads need them, or once on demand.

    :param local_leader: returns the leader if its home is on this host.
    :ivar wanted_age: the maximum age of samples in seconds.
    :ivar until: local monotonic time in seconds at which sampling stops.
    """

    def __init__(
        self,
        group_state: GroupState,
        reporter: ReplicaReporter,
        confirmation: LeaderConfirmation,
        local_leader: Callable[[], GroupLeader | None],
        clock: Clock,
    ) -> None:
        self.group_state = group_state
        self.reporter = reporter
        self.confirmation = confirmation
        self.local_leader = local_leader
        self.clock = clock
        self.wanted_age = 0.0
        self.until = 0.0
        self.running: asyncio.Task[None] | None = None
        self.proving: asyncio.Task[None] | None = None

    async def fetch_shared_sample(self, age: float) -> None:
        """Fetch a sample no older than `age` seconds, shared by concurrent callers."""
        self.reporter.record_wanted_age(age)
        if self.proving is None or self.proving.done():
            self.proving = asyncio.create_task(self.fetch_sample(age))
        await asyncio.shield(self.proving)

    async def fetch_sample(self, age: float) -> None:
        """Run a confirmation round, or request a sample from the primary's home."""
        if self.local_leader() is not None:
            await self.confirmation.wait_for_round(self.confirmation.request_round())
            return
        primary = self.group_state.primary
        for home in self.reporter.homes():
            if home.state is None or primary is None:
                continue
            report = ReplicaReport(
                self.group_state.group.name, home.state, age, wait_for_sample=True
            )
            try:
                await self.reporter.call(report, primary, FETCH_TIMEOUT_SECONDS)
            except (PeerError, RefusalError):
                await self.clock.sleep(FETCH_RETRY_DELAY_SECONDS)
            return
        # Without a pause, callers that wait for a proof would retry in a busy loop.
        await self.clock.sleep(FETCH_RETRY_DELAY_SECONDS)

    async def keep_sampling(self, age: float, wait_for_sample: bool) -> None:
        """Start or extend periodic sampling for reads no older than `age` seconds."""
        now = self.clock.monotonic()
        if age < self.wanted_age or now > self.until:
            self.wanted_age = age
        self.until = now + SAMPLING_DURATION_SECONDS
        if self.local_leader() is None:
            return
        if self.running is None or self.running.done():
            self.running = asyncio.create_task(self.sample())
        newest = self.group_state.samples.newest
        if wait_for_sample and (
            newest is None or now - newest.as_of > age / SAMPLES_PER_WANTED_AGE
        ):
            await self.confirmation.wait_for_round(self.confirmation.request_round())

    async def sample(self) -> None:
        """Run confirmation rounds at the needed rate until sampling expires."""
        while self.clock.monotonic() < self.until and self.local_leader():
            interval = max(
                self.wanted_age / SAMPLES_PER_WANTED_AGE, MIN_SAMPLE_INTERVAL_SECONDS
            )
            newest = self.group_state.samples.newest
            now = self.clock.monotonic()
            if newest is None or now - newest.as_of >= interval:
                await self.confirmation.wait_for_round(
                    self.confirmation.request_round()
                )
            await self.clock.sleep(interval)

    def close(self) -> None:
        """Stop sampling."""
        for task in (self.running, self.proving):
            if task is not None:
                task.cancel()
