"""The addresses at which the platform asks for readiness and metrics."""

from collections.abc import Callable
from typing import Final

from aiohttp import web

READY: Final = "/-/readiness"
METRICS: Final = "/metrics"
OK: Final = 200
ABSENT: Final = 404
UNREADY: Final = 503


class Probe:
    """Answer the platform's questions about this process.

    :param ready: says whether callers may be sent here.
    :param metrics: returns the metrics as text.
    """

    def __init__(self, ready: Callable[[], bool], metrics: Callable[[], str]) -> None:
        self.ready = ready
        self.metrics = metrics

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path == READY:
            return web.Response(status=OK if self.ready() else UNREADY)
        if request.path == METRICS:
            return web.Response(text=self.metrics())
        return web.Response(status=ABSENT)
