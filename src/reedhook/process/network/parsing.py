"""Responses to requests that are not valid HTTP or exceed a limit."""

import asyncio
from typing import Any, Final

import logbook
from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import encode

MAX_DETAIL_CHARACTERS: Final = 160
"""Limit of the parser's message in a log line, since it quotes the request."""

log = logbook.Logger("server")


class RefusingServer(web.Server):
    """Answer unparsable requests with a typed refusal and one log line.

    aiohttp would answer in plain text and log a traceback for each.
    """

    def __init__(self, handler: Any, **options: Any) -> None:
        factory = options.pop("request_factory", None)
        super().__init__(handler, request_factory=factory, **options)
        self.options = options

    def __call__(self) -> RequestHandler:
        return RefusingHandler(self, loop=asyncio.get_running_loop(), **self.options)


class RefusingHandler(RequestHandler):
    """Serve one connection of a `RefusingServer`."""

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
        log.warning(
            "Refused a request from {}; closing the connection: {}",
            request.remote,
            refusal.detail,
        )
        response = web.Response(
            body=encode(refusal.to_json()),
            status=refusal.status,
            content_type="application/json",
        )
        response.force_close()
        return response


def malformed_request_refusal(message: str) -> RefusalError:
    """Return the refusal of a request that the parser rejected with `message`."""
    first_line = message.strip().partition("\n")[0]
    detail = f"the request cannot be parsed: {first_line[:MAX_DETAIL_CHARACTERS]}"
    return not_run(RefusalReason.BAD_REQUEST, detail)
