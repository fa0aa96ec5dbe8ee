"""The answer to requests that are not HTTP, or pass a bound of it."""

import asyncio
from typing import Any, Final

import logbook
from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import encode

DETAIL_MOST: Final = 160
"""Characters of the parser's words that are kept: it quotes what was sent, and
a line of a log is not to grow with it."""

log = logbook.Logger("server")


class RefusingServer(web.Server):
    """Answer what cannot be parsed with a typed refusal, and one log line.

    aiohttp answers in plain text and logs a traceback for each.
    """

    def __init__(self, handler: Any, **options: Any) -> None:
        factory = options.pop("request_factory", None)
        super().__init__(handler, request_factory=factory, **options)
        self.options = options

    def __call__(self) -> RequestHandler:
        return RefusingHandler(self, loop=asyncio.get_running_loop(), **self.options)


class RefusingHandler(RequestHandler):
    """Serve one connection."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        refusal = malformed_request_refusal(message or "")
        log.warning("A request of {} was refused: {}", request.remote, refusal.detail)
        response = web.Response(
            body=encode(refusal.to_json()),
            status=refusal.status,
            content_type="application/json",
        )
        response.force_close()
        return response


def malformed_request_refusal(message: str) -> RefusalError:
    """Return the refusal of a request by what the parser says."""
    first = message.strip().partition("\n")[0]
    detail = f"the request cannot be read: {first[:DETAIL_MOST]}"
    return not_run(RefusalReason.BAD_REQUEST, detail)
