"""HTTP endpoints of the platform's readiness probes and metrics scrapes."""

from collections.abc import Callable
from typing import Final

from ..process.network.plain_server import PlainRequest, PlainResponse

READY: Final = "/-/readiness"
METRICS: Final = "/metrics"
OK: Final = 200
ABSENT: Final = 404
UNREADY: Final = 503
PLAIN_TEXT: Final = "text/plain; charset=utf-8"


class ProbeHandler:
    """Answer readiness probes and metrics scrapes.

    :param ready: returns whether this host accepts callers.
    :param metrics: returns the metrics as text.
    """

    def __init__(self, ready: Callable[[], bool], metrics: Callable[[], str]) -> None:
        self.ready = ready
        self.metrics = metrics

    async def answer(self, request: PlainRequest) -> PlainResponse:
        """Return the response to a request."""
        if request.path == READY:
            return PlainResponse(OK if self.ready() else UNREADY)
        if request.path == METRICS:
            return PlainResponse(OK, self.metrics().encode(), PLAIN_TEXT)
        return PlainResponse(ABSENT)
