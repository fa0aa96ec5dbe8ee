"""Dispatches callers' HTTP requests to the handlers of their paths.

aiohttp's low-level server calls one handler for all requests. Its application
layer adds overhead that these few paths do not need.
"""

from typing import Final

from aiohttp import hdrs, web

from .api import TRANSACTION_HANDLE, Api, Handler, refuse_on_error
from .refusal import RefusalReason, not_run

TRANSACTION_PATH_PREFIX: Final = "/v1/transactions/"
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
CONTINUE_EXPECTATION: Final = "100-continue"


class CallerEndpoint:
    """Answer each request of a caller with a response or a typed refusal.

    :ivar handle: answers one request without raising an exception.
    :ivar handlers: handlers by method and path.
    :ivar transaction_handlers: handlers by the path segment after the id of an open
        transaction.
    """

    __slots__ = ("handle", "handlers", "transaction_handlers")

    def __init__(self, api: Api) -> None:
        self.handle = refuse_on_error(api, self.answer)
        self.handlers: dict[tuple[str, str], Handler] = {
            (hdrs.METH_POST, "/v1/read"): api.read,
            (hdrs.METH_POST, "/v1/write"): api.write,
            (hdrs.METH_POST, "/v1/transactions"): api.begin,
            (hdrs.METH_GET, "/v1/health"): api.health,
            (hdrs.METH_HEAD, "/v1/health"): api.health,
        }
        self.transaction_handlers: dict[str, Handler] = {
            "statements": api.step,
            "commit": api.commit,
            "rollback": api.rollback,
        }

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one request.

        :raises RefusalError: if the request cannot be served.
        """
        handler = self.handler(request)
        if hdrs.EXPECT in request.headers:
            await send_continue(request)
        return await handler(request)

    def handler(self, request: web.BaseRequest) -> Handler:
        """Return the handler of a request.

        :raises RefusalError: if no handler exists for its method and path.
        """
        path = request.path
        handler = self.handlers.get((request.method, path))
        if handler is None and request.method == hdrs.METH_POST:
            handler = self.transaction_handler(request, path)
        if handler is None:
            detail = f"the method {request.method} is not supported on this path"
            raise not_run(RefusalReason.BAD_REQUEST, detail)
        return handler

    def transaction_handler(
        self, request: web.BaseRequest, path: str
    ) -> Handler | None:
        """Return the handler of a path of an open transaction, or None."""
        if not path.startswith(TRANSACTION_PATH_PREFIX):
            return None
        transaction, _, action = path[len(TRANSACTION_PATH_PREFIX) :].partition("/")
        request[TRANSACTION_HANDLE] = transaction
        return self.transaction_handlers.get(action) if transaction else None


async def send_continue(request: web.BaseRequest) -> None:
    """Answer an ``Expect: 100-continue`` header.

    :raises RefusalError: if the header has another value.
    """
    if request.headers[hdrs.EXPECT].lower() != CONTINUE_EXPECTATION:
        raise not_run(
            RefusalReason.BAD_REQUEST, "the header Expect has an unknown value"
        )
    await request.writer.write(CONTINUE_RESPONSE)
    # aiohttp takes a nonzero size for response headers that are already sent.
    request.writer.output_size = 0
