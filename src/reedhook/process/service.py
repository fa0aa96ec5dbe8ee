"""Run a host as an aiomisc service."""

import uvloop
from aiomisc import Service, entrypoint

from .run import HostRun


class HostService(Service):  # type: ignore[misc]
    """Start and stop a host in the lifecycle of an aiomisc entry point.

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
    """Run a host until a stop signal arrives."""
    with entrypoint(
        HostService(run=run),
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        loop.run_until_complete(run.wait_for_stop_signal())
