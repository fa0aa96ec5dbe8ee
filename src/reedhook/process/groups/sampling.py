"""Samples of a confirmed primary, taken at the pace that bounded reads need."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...peer import PeerError
from ...request.refusal import RefusalError
from .confirmation import Confirmation, Lead
from .knowledge import Knowledge
from .report import Report, Reporter

SAMPLE_SHARE: Final = 3
SAMPLE_SPACING: Final = 0.05
SAMPLING_KEPT: Final = 3.0
PROVE_TIMEOUT: Final = 0.25
ASK_AGAIN: Final = 0.01


class Sampling:
    """Keep samples coming while somebody asks for them, and fetch single ones.

    :param lead: tells the leader if its home is here.
    :ivar wanted_age: the age in seconds that samples are asked for.
    :ivar until: local monotonic time until which they are wanted.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        reporter: Reporter,
        confirmation: Confirmation,
        lead: Callable[[], Lead | None],
        clock: Clock,
    ) -> None:
        self.knowledge = knowledge
        self.reporter = reporter
        self.confirmation = confirmation
        self.lead = lead
        self.clock = clock
        self.wanted_age = 0.0
        self.until = 0.0
        self.running: asyncio.Task[None] | None = None
        self.proving: asyncio.Task[None] | None = None

    async def prove(self, age: float) -> None:
        """Fetch a sample not older than `age` seconds; shared by all that wait."""
        self.reporter.desire(age)
        if self.proving is None or self.proving.done():
            self.proving = asyncio.create_task(self.fetch_sample(age))
        await asyncio.shield(self.proving)

    async def fetch_sample(self, age: float) -> None:
        """Run a round if the primary's home is here, else ask that home."""
        if self.lead() is not None:
            await self.confirmation.wait(self.confirmation.request())
            return
        primary = self.knowledge.primary
        for home in self.reporter.homes():
            if home.state is None or primary is None:
                continue
            report = Report(self.knowledge.group.name, home.state, age, prompt=True)
            try:
                await self.reporter.call(report, primary, PROVE_TIMEOUT)
            except (PeerError, RefusalError):
                await self.clock.sleep(ASK_AGAIN)
            return
        # Nobody can be asked yet; who waits for a proof asks again at once.
        await self.clock.sleep(ASK_AGAIN)

    async def serve(self, age: float, prompt: bool) -> None:
        """Keep samples not older than `age` coming while they are asked for."""
        now = self.clock.monotonic()
        if age < self.wanted_age or now > self.until:
            self.wanted_age = age
        self.until = now + SAMPLING_KEPT
        if self.lead() is None:
            return
        if self.running is None or self.running.done():
            self.running = asyncio.create_task(self.sample())
        newest = self.knowledge.samples.newest
        if prompt and (newest is None or now - newest.dated > age / SAMPLE_SHARE):
            await self.confirmation.wait(self.confirmation.request())

    async def sample(self) -> None:
        """Run rounds at the pace that bounded reads need, while there are any."""
        while self.clock.monotonic() < self.until and self.lead():
            pace = max(self.wanted_age / SAMPLE_SHARE, SAMPLE_SPACING)
            newest = self.knowledge.samples.newest
            now = self.clock.monotonic()
            if newest is None or now - newest.dated >= pace:
                await self.confirmation.wait(self.confirmation.request())
            await self.clock.sleep(pace)

    def close(self) -> None:
        """Stop taking samples."""
        for task in (self.running, self.proving):
            if task is not None:
                task.cancel()
