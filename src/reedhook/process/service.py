"""A host as a service of aiomisc."""

import uvloop
from aiomisc import Service, entrypoint

from .run import HostRun


class HostService(Service):  # type: ignore[misc]
    """Let the entry point start and stop a host.

    :param run: the run of the host.
    """

    __required__ = ("run",)

    run: HostRun

    async def start(self) -> None:
        """Start the host."""
        await self.run.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the host."""
        await self.run.stop()


def run_service(run: HostRun) -> None:
    """Run a host until it is told to stop."""
    with entrypoint(
        HostService(run=run),
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        loop.run_until_complete(run.wait_for_stop_signal())
