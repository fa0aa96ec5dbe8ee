"""The way from a caller's HTTP request to the handler of its path.

aiohttp's application with its router and signals takes longer than a choice
among these few paths; its plain server calls one handler for all requests.
"""

from typing import Final

from aiohttp import hdrs, web

from .api import TRANSACTION_HANDLE, Api, Handler, refuse_on_error
from .refusal import RefusalReason, not_run

TRANSACTION_PATH_PREFIX: Final = "/v1/transactions/"
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
CONTINUE_EXPECTATION: Final = "100-continue"


class CallerEndpoint:
    """Answer each request of a caller, be it by a typed refusal.

    :ivar handle: answers one request; it raises nothing.
    :ivar handlers: handlers by method and path.
    :ivar transaction_handlers: handlers by what follows the id of an open transaction.
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

        :raises Refusal: if it cannot be served.
        """
        handler = self.handler(request)
        if hdrs.EXPECT in request.headers:
            await send_continue(request)
        return await handler(request)

    def handler(self, request: web.BaseRequest) -> Handler:
        """Return the handler of a request.

        :raises Refusal: if the interface does not have its method and path.
        """
        path = request.path
        handler = self.handlers.get((request.method, path))
        if handler is None and request.method == hdrs.METH_POST:
            handler = self.transaction_handler(request, path)
        if handler is None:
            detail = f"there is no {request.method} on this path"
            raise not_run(RefusalReason.BAD_REQUEST, detail)
        return handler

    def transaction_handler(
        self, request: web.BaseRequest, path: str
    ) -> Handler | None:
        """Return the handler of a path below an open transaction."""
        if not path.startswith(TRANSACTION_PATH_PREFIX):
            return None
        transaction, _, end = path[len(TRANSACTION_PATH_PREFIX) :].partition("/")
        request[TRANSACTION_HANDLE] = transaction
        return self.transaction_handlers.get(end) if transaction else None


async def send_continue(request: web.BaseRequest) -> None:
    """Tell a client that waits for it to send the body now.

    :raises Refusal: if the client expects anything else.
    """
    if request.headers[hdrs.EXPECT].lower() != CONTINUE_EXPECTATION:
        raise not_run(
            RefusalReason.BAD_REQUEST, "the header Expect holds an unknown value"
        )
    await request.writer.write(CONTINUE_RESPONSE)
    # The head of the answer proper is still to be sent.
    request.writer.output_size = 0
