"""HTTP and JSON interface for callers, described in docs/API.md."""

import asyncio
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from math import ceil
from typing import Final, TypeAlias

import logbook
from aiohttp import web
from aiohttp.hdrs import CONTENT_ENCODING
from xxhash import xxh3_64_intdigest

from ..clock import Clock
from ..metrics import Metrics
from ..peer import HostRef
from ..version.catalog import Catalog, Group
from ..version.workspace import Workspace
from ..wire import Json, encode
from .body import (
    BEGIN_SCHEMA,
    END_SCHEMA,
    MAX_BODY_BYTES,
    READ_SCHEMA,
    STEP_SCHEMA,
    WRITE_SCHEMA,
    BodySchema,
    RequestBody,
    parse_body,
)
from .credential import authenticate, check_service_access
from .position import Position
from .refusal import RefusalError, RefusalReason, may_have_run, not_run
from .router import Router
from .session_token import SessionToken, TokenCodec
from .statement import Consistency, Statement, StatementKind
from .statement_dispatcher import NO_EFFECT_KINDS, CatalogSource, StatementDispatcher
from .statement_executor import HomeResponse
from .token_bucket import LocalRateLimiter
from .transaction_handle import (
    TransactionHandle,
    TransactionHandleCodec,
    unknown_transaction,
)
from .verdict import Verdict

MAX_REQUEST_ID_AHEAD_SECONDS: Final = 300.0
ISSUED_AT_DIGITS: Final = 13
REQUEST_ID_DIGEST_BYTES: Final = 24
DRAIN_RETRY_MS: Final = 100
START_RETRY_MS: Final = 500
INTERNAL_RETRY_MS: Final = 1000
BODY_TIMEOUT_SECONDS: Final = 10.0
IDENTITY_ENCODING: Final = "identity"
JSON_TYPE: Final = "application/json"

Handler: TypeAlias = Callable[[web.BaseRequest], Awaitable[web.Response]]

log = logbook.Logger("api")


class RequestContext:
    """Keep the state of one request while it is served.

    :param token_text: the session token as the caller sent it, if any.
    :ivar forwarded: whether the request left this layer, so that it may have run.
    """

    __slots__ = (
        "workspace",
        "catalog",
        "group",
        "token",
        "token_text",
        "kind",
        "forwarded",
    )

    def __init__(
        self,
        workspace: Workspace,
        catalog: Catalog,
        group: Group,
        token: SessionToken,
        token_text: str | None,
        kind: StatementKind,
    ) -> None:
        self.workspace = workspace
        self.catalog = catalog
        self.group = group
        self.token = token
        self.token_text = token_text
        self.kind = kind
        self.forwarded = False


REQUEST_CONTEXT: Final = web.RequestKey("ask", RequestContext)
TRANSACTION_HANDLE: Final = web.RequestKey("transaction", str)


class Api:
    """Serve callers' requests.

    The server must not cancel handlers when a caller disconnects (aiohttp's
    default), so that each write gets a definite outcome. It must not decompress
    bodies (``auto_decompress=False``); compressed ones are refused here.

    :param me: this host.
    :param secrets: secrets of session tokens and transaction handles, shared
        by all hosts; the first one signs.
    :ivar active_requests: requests in progress.
    :ivar leaving: whether the load balancer should stop sending callers here.
    :ivar draining: whether only open transactions are still served.
    """

    __slots__ = (
        "me",
        "catalog",
        "router",
        "dispatcher",
        "tokens",
        "handles",
        "rates",
        "clock",
        "metrics",
        "max_body_bytes",
        "active_requests",
        "leaving",
        "draining",
    )

    def __init__(
        self,
        me: HostRef,
        catalog: CatalogSource,
        router: Router,
        dispatcher: StatementDispatcher,
        secrets: tuple[bytes, ...],
        clock: Clock,
        metrics: Metrics,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.me = me
        self.catalog = catalog
        self.router = router
        self.dispatcher = dispatcher
        self.tokens = TokenCodec(secrets)
        self.handles = TransactionHandleCodec(secrets)
        self.rates = LocalRateLimiter()
        self.clock = clock
        self.metrics = metrics
        self.max_body_bytes = max_body_bytes
        self.active_requests = 0
        self.leaving = False
        self.draining = False

    async def read(self, request: web.BaseRequest) -> web.Response:
        """Handle ``POST /v1/read``."""
        body, context = await self.open_request(
            request, READ_SCHEMA, StatementKind.READ
        )
        statement = self.build_statement(context, body)
        set_consistency(statement, body, context.catalog)
        return self.build_response(context, await self.run(context, statement, True))

    async def write(self, request: web.BaseRequest) -> web.Response:
        """Handle ``POST /v1/write``."""
        body, context = await self.open_request(
            request, WRITE_SCHEMA, StatementKind.WRITE
        )
        statement = self.build_statement(context, body)
        statement.request_id = self.scoped_request_id(context.workspace, body)
        return self.build_response(context, await self.run(context, statement, True))

    async def begin(self, request: web.BaseRequest) -> web.Response:
        """Handle ``POST /v1/transactions``."""
        body, context = await self.open_request(
            request, BEGIN_SCHEMA, StatementKind.BEGIN
        )
        statement = self.build_statement(context, body)
        statement.request_id = self.scoped_request_id(context.workspace, body)
        home_response = await self.run(context, statement, True)
        return self.build_response(
            context, home_response, self.new_handle(context, statement, home_response)
        )

    async def step(self, request: web.BaseRequest) -> web.Response:
        """Handle ``POST /v1/transactions/{id}/statements``."""
        return await self.run_in_transaction(request, STEP_SCHEMA, StatementKind.STEP)

    async def commit(self, request: web.BaseRequest) -> web.Response:
        """Handle ``POST /v1/transactions/{id}/commit``."""
        return await self.run_in_transaction(request, END_SCHEMA, StatementKind.COMMIT)

    async def rollback(self, request: web.BaseRequest) -> web.Response:
        """Handle ``POST /v1/transactions/{id}/rollback``."""
        return await self.run_in_transaction(
            request, END_SCHEMA, StatementKind.ROLLBACK
        )

    async def health(self, request: web.BaseRequest) -> web.Response:
        """Handle ``GET /v1/health`` of the platform's load balancer."""
        catalog = self.catalog()
        status = "ok" if catalog else "starting"
        if self.leaving or self.draining:
            status = "draining"
        message = {
            "status": status,
            "host": self.me.host,
            "zone": self.me.zone,
            "version": catalog.version if catalog else None,
        }
        return respond(200 if status == "ok" else 503, message)

    async def open_request(
        self, request: web.BaseRequest, schema: BodySchema, kind: StatementKind
    ) -> tuple[RequestBody, RequestContext]:
        """Parse and check a request that is not part of an open transaction.

        :raises RefusalError: not run, if the request is invalid.
        """
        if self.draining:
            raise not_run(
                RefusalReason.DRAINING, "this host is draining", DRAIN_RETRY_MS
            )
        catalog, workspace = self.admit_request(request)
        body = parse_body(schema, await read_body(request, self.max_body_bytes))
        group = resolve_group(body, catalog, workspace)
        return body, self.new_context(request, workspace, catalog, group, body, kind)

    async def run_in_transaction(
        self, request: web.BaseRequest, schema: BodySchema, kind: StatementKind
    ) -> web.Response:
        """Run a statement of an open transaction at the host that holds it.

        :raises RefusalError: if the request is invalid or the statement fails.
        """
        catalog, workspace = self.admit_request(request)
        body = parse_body(schema, await read_body(request, self.max_body_bytes))
        handle = self.handles.decode(request[TRANSACTION_HANDLE], workspace.name)
        group = catalog.groups.get(handle.group)
        if group is None:
            raise unknown_transaction()
        check_service_access(workspace, group)
        context = self.new_context(request, workspace, catalog, group, body, kind)
        statement = self.build_statement(context, body)
        statement.transaction = handle.transaction
        context.forwarded = True
        home_response = await self.execute_at_holder(handle, statement)
        transaction = (
            request[TRANSACTION_HANDLE] if kind is StatementKind.STEP else None
        )
        return self.build_response(context, home_response, transaction)

    async def execute_at_holder(
        self, handle: TransactionHandle, statement: Statement
    ) -> HomeResponse:
        """Run a statement of a transaction once, at the host that began it.

        :raises RefusalError: ``may have run`` for a commit of an unknown
            transaction, since an earlier commit may have succeeded.
        """
        try:
            return await self.dispatcher.execute_at(
                handle.host, handle.member, statement
            )
        except RefusalError as refusal:
            transaction_unknown = refusal.reason is RefusalReason.UNKNOWN_TRANSACTION
            if transaction_unknown and statement.kind is StatementKind.COMMIT:
                raise may_have_run(refusal.reason, refusal.detail) from refusal
            raise

    def admit_request(self, request: web.BaseRequest) -> tuple[Catalog, Workspace]:
        """Authenticate a request and apply the rate limit of its workspace.

        :raises RefusalError: not run, if the request is not admitted.
        """
        catalog = self.catalog()
        if catalog is None:
            raise not_run(
                RefusalReason.NO_CONFIGURATION,
                "no configuration is in force yet",
                START_RETRY_MS,
            )
        workspace = authenticate(request.headers.get("Authorization"), catalog)
        self.rates.admit(workspace, self.clock.monotonic())
        return catalog, workspace

    def new_context(
        self,
        request: web.BaseRequest,
        workspace: Workspace,
        catalog: Catalog,
        group: Group,
        body: RequestBody,
        kind: StatementKind,
    ) -> RequestContext:
        """Return the context of a request and attach it to the request.

        :raises RefusalError: ``token_invalid``.
        """
        if body.token is None:
            token = SessionToken(workspace.name, group.service)
        else:
            token = self.tokens.decode(body.token, workspace.name, group.service)
        context = RequestContext(workspace, catalog, group, token, body.token, kind)
        request[REQUEST_CONTEXT] = context
        return context

    def build_statement(self, context: RequestContext, body: RequestBody) -> Statement:
        """Return the statement of a request."""
        deadline_ms = body.deadline_ms or context.catalog.limits.deadline_ms
        return Statement(
            kind=context.kind,
            group=context.group.name,
            caller=context.workspace.name,
            sql=body.sql,
            params=body.params,
            remaining=deadline_ms / 1000.0,
            priority=context.workspace.priority,
            min_position=context.token.positions.get(context.group.name),
        )

    async def run(
        self, context: RequestContext, statement: Statement, repeatable: bool
    ) -> HomeResponse:
        """Run a statement through the router."""
        context.forwarded = True
        return await self.router.run(context.group, statement, repeatable)

    def scoped_request_id(self, workspace: Workspace, body: RequestBody) -> str | None:
        """Return the request id that targets record.

        It includes a digest of the caller's id and the workspace, so that a guessed
        id does not match a request of another workspace.

        :raises RefusalError: if the id was issued too far in the future.
        """
        caller_request_id = body.request_id
        if caller_request_id is None:
            return None
        issued_at = caller_request_id[:ISSUED_AT_DIGITS]
        if int(issued_at) / 1000.0 > self.clock.wall() + MAX_REQUEST_ID_AHEAD_SECONDS:
            raise not_run(
                RefusalReason.BAD_REQUEST, "request_id was issued too far in the future"
            )
        digest = blake2b(
            f"{workspace.name}\0{caller_request_id}".encode(),
            digest_size=REQUEST_ID_DIGEST_BYTES,
        )
        return f"{issued_at}-{digest.hexdigest()}"

    def new_handle(
        self, context: RequestContext, statement: Statement, home_response: HomeResponse
    ) -> str | None:
        """Return the handle of a new transaction.

        None if the request id was already committed: the response is then that of
        the earlier commit.
        """
        if home_response.result.repeated or statement.transaction is None:
            return None
        assert home_response.host is not None
        return self.handles.encode(
            TransactionHandle(
                context.workspace.name,
                context.group.name,
                home_response.result.target,
                home_response.host,
                statement.transaction,
            )
        )

    def build_response(
        self,
        context: RequestContext,
        home_response: HomeResponse,
        transaction: str | None = None,
    ) -> web.Response:
        """Return the response, with a token that covers its position."""
        result = home_response.result
        age = result.age
        self.metrics.increment(f"api.{context.kind.value}.{result.role}")
        message: Json = {
            "verdict": Verdict.DONE.value,
            "columns": result.columns,
            "rows": result.rows,
            "rowcount": result.rowcount,
            "token": self.token_after(context, result.position),
            "age_ms": None if age is None else round(age * 1000.0, 3),
            "target": result.target,
            "role": result.role,
            "host": self.me.host,
            "home": home_response.host.host if home_response.host else None,
            "term": result.position.term,
            "position": result.position.to_json(),
            "repeated": result.repeated,
        }
        if transaction is not None:
            message["transaction"] = transaction
        return respond(200, message)

    def token_after(self, context: RequestContext, position: Position) -> str:
        """Return a token that also covers `position`."""
        token = context.token.advanced(context.group.name, position)
        if token is context.token and context.token_text is not None:
            return context.token_text
        return self.tokens.encode(token)


def refuse_on_error(api: Api, handler: Handler) -> Handler:
    """Wrap `handler` so that every exception becomes a typed refusal."""

    async def answer(request: web.BaseRequest) -> web.Response:
        api.active_requests += 1
        try:
            return await handler(request)
        except RefusalError as refusal:
            api.metrics.increment(f"api.refused.{refusal.reason.value}")
            return respond_refused(refusal)
        except Exception:
            api.metrics.increment("api.refused.internal")
            log.exception("unexpected error in a request handler; refusing the request")
            return respond_refused(internal_error_refusal(request))
        finally:
            api.active_requests -= 1

    return answer


def internal_error_refusal(request: web.BaseRequest) -> RefusalError:
    """Return the refusal of a request whose handler failed."""
    context = request.get(REQUEST_CONTEXT)
    detail = "internal error; see the log of this host"
    if (
        context is not None
        and context.forwarded
        and context.kind not in NO_EFFECT_KINDS
    ):
        return may_have_run(RefusalReason.INTERNAL, detail, INTERNAL_RETRY_MS)
    return not_run(RefusalReason.INTERNAL, detail, INTERNAL_RETRY_MS)


def respond(status: int, message: Json) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(status=status, body=encode(message), content_type=JSON_TYPE)


def respond_refused(refusal: RefusalError) -> web.Response:
    """Return the response that carries a refusal."""
    response = respond(refusal.status, refusal.to_json())
    if refusal.retry_after_ms is not None:
        seconds = ceil(refusal.retry_after_ms / 1000.0)
        response.headers["Retry-After"] = str(seconds)
    if refusal.reason is RefusalReason.UNAUTHENTICATED:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


async def read_body(request: web.BaseRequest, limit: int) -> bytes:
    """Read the body of a request, with limits on size and time.

    :raises RefusalError: if a limit is exceeded or the body is incomplete.
    """
    if request.headers.get(CONTENT_ENCODING, IDENTITY_ENCODING) != IDENTITY_ENCODING:
        raise not_run(RefusalReason.BAD_REQUEST, "compressed bodies are not accepted")
    size = request.content_length
    if size is not None and size > limit:
        raise too_large(limit)
    try:
        if request.content.is_eof():
            raw = await request.read()
        else:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                raw = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise too_large(limit) from error
    except TimeoutError as error:
        raise not_run(
            RefusalReason.BAD_REQUEST, "the body did not arrive in time"
        ) from error
    except (web.RequestPayloadError, ConnectionError) as error:
        raise not_run(
            RefusalReason.BAD_REQUEST, "the body could not be read"
        ) from error
    if len(raw) > limit:
        raise too_large(limit)
    return raw


def too_large(limit: int) -> RefusalError:
    """Return the refusal of a body of more than `limit` bytes."""
    return not_run(RefusalReason.TOO_LARGE, f"a body may hold at most {limit} bytes")


def resolve_group(body: RequestBody, catalog: Catalog, workspace: Workspace) -> Group:
    """Return the group that a request specifies, by name or by service and key.

    :raises RefusalError: if the group is unknown or the workspace may not use it.
    """
    name = body.group
    if name is None:
        assert body.service is not None and body.key is not None
        if not workspace.may_use(body.service):
            raise not_run(
                RefusalReason.FORBIDDEN,
                f"the workspace {workspace.name} may not use {body.service}",
            )
        name = group_for_key(catalog, body.service, body.key)
    group = catalog.groups.get(name)
    if group is None:
        raise not_run(RefusalReason.UNKNOWN_GROUP, f"the group {name} is not known")
    check_service_access(workspace, group)
    return group


def group_for_key(catalog: Catalog, service: str, key: str) -> str:
    """Return the name of the group of `service` that holds `key`.

    :raises RefusalError: ``unknown_group`` if the service has no groups.
    """
    names = [one.name for one in catalog.groups.values() if one.service == service]
    if not names:
        raise not_run(
            RefusalReason.UNKNOWN_GROUP, f"the service {service} has no groups"
        )
    names.sort()
    return names[xxh3_64_intdigest(key.encode()) % len(names)]


def set_consistency(statement: Statement, body: RequestBody, catalog: Catalog) -> None:
    """Set the consistency of a read and its maximum age."""
    statement.consistency = Consistency(body.consistency or Consistency.SESSION)
    if statement.consistency is not Consistency.MAX_AGE:
        return
    age_ms = body.max_age_ms
    if age_ms is None:
        age_ms = catalog.limits.default_max_age_ms
    statement.max_age = age_ms / 1000.0
