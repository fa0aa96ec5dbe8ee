"""The administration API: HTTP with JSON, described in docs/ADMIN.md."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

import logbook
from aiohttp import web

from ...request.api import read_body, respond, respond_refused
from ...request.group_view import GroupView
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...request.verdict import Verdict
from ...version.catalog import Group
from ...wire import Json, WireError, decode
from ..events.timeline_filter import EventFilter
from .admin_fleet import FleetQueries
from .admin_operator import OperatorAuthenticator
from .admin_query import bad_request_refusal, kinds, require_known, whole_number
from .admin_source import AdminSource
from .admin_status import group_json

Handler: TypeAlias = Callable[[web.Request], Awaitable[web.StreamResponse]]

MAX_CONCURRENT_GROUPS: Final = 16
OPERATOR: Final = web.RequestKey("operator", str)

log = logbook.Logger("admin")


class Admin:
    """Handle the requests of operators.

    :param limit: maximum size of a request body in bytes.
    """

    __slots__ = ("source", "fleet", "operators", "limit")

    def __init__(
        self,
        source: AdminSource,
        fleet: FleetQueries,
        operators: OperatorAuthenticator,
        limit: int,
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.operators = operators
        self.limit = limit

    async def status(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/status``."""
        require_known(request, ())
        return respond(200, self.source.status().to_json())

    async def metrics(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/metrics``."""
        require_known(request, ())
        metrics = self.source.metrics()
        if metrics is None:
            return respond(200, {"counters": {}, "gauges": {}})
        return respond(
            200, {"counters": dict(metrics.counters), "gauges": metrics.gauges}
        )

    async def hosts(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/hosts``."""
        require_known(request, ())
        hosts = sorted(
            self.source.known_hosts(), key=lambda host: (host.zone, host.host)
        )
        return respond(200, {"hosts": [host.to_json() for host in hosts]})

    async def groups(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/groups``."""
        require_known(request, ("group",))
        name = request.query.get("group")
        if name is None:
            groups = list(self.all_groups().values())
        else:
            groups = [self.group(name)]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_GROUPS)
        statuses = (self.group_status(group, semaphore) for group in groups)
        return respond(200, {"groups": await asyncio.gather(*statuses)})

    async def group_status(self, group: Group, places: asyncio.Semaphore) -> Json:
        """Return the status of a group as its homes report it."""
        async with places:
            view = await self.source.view(group)
        return self.group_line(group, view)

    def group_line(self, group: Group, view: GroupView) -> Json:
        """Return the JSON of a group."""
        homes: dict[str, str | None] = {}
        for member in group.members:
            home = self.source.home(member.member_id, member.zone)
            homes[member.member_id] = None if home is None else home.host
        return group_json(group, view, homes, self.source.now())

    async def events(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/events``."""
        require_known(request, ("group", "host", "kind", "since", "all"))
        group = request.query.get("group")
        event_filter = EventFilter(
            names=None if group is None else self.names(group),
            host=request.query.get("host"),
            kinds=kinds(request),
            since_ms=whole_number(request, "since"),
        )
        everywhere = whole_number(request, "all") == 1
        history = await self.fleet.history(event_filter, everywhere)
        return respond(200, history.to_json())

    async def drain(self, request: web.Request) -> web.Response:
        """Answer ``POST /admin/drain``; the body may name a ``host``."""
        body = await self.body(request)
        host = body.get("host", self.source.me.host)
        if not isinstance(host, str) or set(body) - {"host"}:
            raise bad_request_refusal(
                "the body must be {} or hold only a host name as a string"
            )
        log.notice("Operator {} requested a drain of host {}.", request[OPERATOR], host)
        await self.fleet.drain(host)
        return respond(202, {"verdict": Verdict.DONE.value, "host": host})

    async def body(self, request: web.Request) -> Json:
        """Return the JSON object in the body; {} if the body is empty.

        :raises RefusalError: if the body is malformed, too large or late.
        """
        raw = await read_body(request, self.limit)
        if not raw:
            return {}
        try:
            return decode(raw)
        except WireError as error:
            raise bad_request_refusal(f"invalid body: {error}") from error

    def all_groups(self) -> dict[str, Group]:
        """Return the groups by name.

        :raises RefusalError: if no configuration is in force yet.
        """
        catalog = self.source.catalog()
        if catalog is None:
            raise not_run(
                RefusalReason.NO_CONFIGURATION, "no configuration is in force here"
            )
        return catalog.groups

    def group(self, name: str) -> Group:
        """Return the group called `name`.

        :raises RefusalError: if there is no such group.
        """
        group = self.all_groups().get(name)
        if group is None:
            raise not_run(RefusalReason.UNKNOWN_GROUP, f"there is no group {name}")
        return group

    def names(self, group: str) -> frozenset[str]:
        """Return the names of a group and of its targets."""
        members = (member.member_id for member in self.group(group).members)
        return frozenset({group, *members})


def admin_app(admin: Admin, routes: list[web.RouteDef]) -> web.Application:
    """Return the application with the routes of `admin` and `routes`."""
    app = web.Application(
        middlewares=[typed_errors, authentication(admin.operators)],
        client_max_size=admin.limit,
    )
    app.add_routes(admin_routes(admin))
    app.add_routes(routes)
    return app


def admin_routes(admin: Admin) -> list[web.RouteDef]:
    """Return the routes that do not need the configuration editor."""
    return [
        web.get("/admin/status", admin.status),
        web.get("/admin/metrics", admin.metrics),
        web.get("/admin/hosts", admin.hosts),
        web.get("/admin/groups", admin.groups),
        web.get("/admin/events", admin.events),
        web.post("/admin/drain", admin.drain),
    ]


@web.middleware
async def typed_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert any exception of `handler` to a typed refusal."""
    try:
        return await handler(request)
    except RefusalError as refusal:
        return respond_refused(refusal)
    except web.HTTPException as error:
        detail = f"{request.method} {request.path}: {error.reason}"
        return respond(error.status, bad_request_refusal(detail).to_json())
    except Exception:
        log.exception("Unexpected error in a request to the administration API.")
        detail = "internal error; see the log of this host"
        verdict = Verdict.NOT_RUN if request.method == "GET" else Verdict.MAY_HAVE_RUN
        return respond_refused(RefusalError(RefusalReason.INTERNAL, verdict, detail))


def authentication(
    operators: OperatorAuthenticator,
) -> Callable[..., Awaitable[web.StreamResponse]]:
    """Return a middleware that rejects requests without an operator's credential."""

    @web.middleware
    async def authenticate(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        header = request.headers.get("Authorization")
        request[OPERATOR] = operators.authenticate(header)
        return await handler(request)

    return authenticate
