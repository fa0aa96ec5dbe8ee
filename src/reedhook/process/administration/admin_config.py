"""Configuration endpoints of the administration API."""

from typing import Final

import logbook
from aiohttp import web

from ...request.api import respond
from ...request.verdict import Verdict
from ...version.document import ConfigurationDocuments
from ...version.errors import InvalidConfigurationError
from ...version.snapshot import SnapshotManifest
from ...wire import Json, WireError
from ..configuring.editor import ConfigurationEditor
from .admin import OPERATOR, Admin
from .admin_query import bad_request_refusal, needed_number, require_known, whole_number

INVALID_STATUS: Final = 422
DEFAULT_HISTORY: Final = 20
MAX_HISTORY: Final = 200

log = logbook.Logger("admin")


class ConfigurationAdmin:
    """Handle the requests of operators about the configuration."""

    __slots__ = ("admin", "editor")

    def __init__(self, admin: Admin, editor: ConfigurationEditor) -> None:
        self.admin = admin
        self.editor = editor

    async def show(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/config``."""
        require_known(request, ("version",))
        head, documents = await self.editor.show(whole_number(request, "version"))
        return respond(200, {"head": head.summary(), **documents.to_json()})

    async def history(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/config/history``."""
        require_known(request, ("limit",))
        limit = whole_number(request, "limit") or DEFAULT_HISTORY
        heads = await self.editor.history(min(limit, MAX_HISTORY))
        return respond(200, {"versions": [head.summary() for head in heads]})

    async def diff(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/config/diff``."""
        require_known(request, ("from", "to"))
        old, new = needed_number(request, "from"), needed_number(request, "to")
        changes = await self.editor.diff(old, new)
        return respond(200, {"changes": [change.to_json() for change in changes]})

    async def status(self, request: web.Request) -> web.Response:
        """Answer ``GET /admin/config/status``: the version of each host."""
        require_known(request, ())
        statuses, missing = await self.admin.fleet.statuses()
        statuses.sort(key=lambda status: (status.zone, status.host))
        hosts = [
            {
                "host": status.host,
                "zone": status.zone,
                "version": status.version,
                "in_force_ms": status.in_force_ms,
            }
            for status in statuses
        ]
        newest = max(status.version for status in statuses)
        return respond(200, {"newest": newest, "hosts": hosts, "missing": missing})

    async def check(self, request: web.Request) -> web.Response:
        """Answer ``POST /admin/config/check``; changes nothing."""
        body = await self.admin.body(request)
        documents = documents_of(body, {"base", "overlays"})
        try:
            await self.editor.check(documents)
        except InvalidConfigurationError as error:
            return respond_invalid(error)
        return respond(200, {"verdict": Verdict.DONE.value, "valid": True})

    async def apply(self, request: web.Request) -> web.Response:
        """Answer ``POST /admin/config/apply``."""
        body = await self.admin.body(request)
        documents = documents_of(body, EDIT_FIELDS)
        operator = request[OPERATOR]
        parent = body.get("parent")
        if type(parent) is not int or parent < 0:
            raise bad_request_refusal(
                "parent must be the version that was edited, 0 for none"
            )
        try:
            head = await self.editor.apply(
                documents,
                parent,
                operator,
                text_of(body, "comment"),
                text_of(body, "edit_id"),
            )
        except InvalidConfigurationError as error:
            return respond_invalid(error)
        log.notice(
            "Operator {} applied configuration version {}.", operator, head.version
        )
        return respond(200, applied(head))


EDIT_FIELDS: Final = {"base", "overlays", "parent", "comment", "edit_id"}


def config_routes(admin: Admin, editor: ConfigurationEditor) -> list[web.RouteDef]:
    """Return the routes that need the configuration editor."""
    config = ConfigurationAdmin(admin, editor)
    return [
        web.get("/admin/config", config.show),
        web.get("/admin/config/history", config.history),
        web.get("/admin/config/diff", config.diff),
        web.get("/admin/config/status", config.status),
        web.post("/admin/config/check", config.check),
        web.post("/admin/config/apply", config.apply),
    ]


def documents_of(body: Json, known: set[str]) -> ConfigurationDocuments:
    """Return the documents in a body.

    :raises RefusalError: if the body is malformed.
    """
    unknown = ", ".join(sorted(set(body) - known))
    if unknown:
        raise bad_request_refusal(f"unknown field: {unknown}")
    try:
        return ConfigurationDocuments.from_json(body)
    except WireError as error:
        raise bad_request_refusal(str(error)) from error


def text_of(body: Json, name: str) -> str:
    """Return a string field of a body.

    :raises RefusalError: if it is missing or not a string.
    """
    value = body.get(name)
    if not isinstance(value, str):
        raise bad_request_refusal(f"{name} must be a string")
    return value


def applied(head: SnapshotManifest) -> Json:
    """Return the response to an accepted edit."""
    return {"verdict": Verdict.DONE.value, "head": head.summary()}


def respond_invalid(error: InvalidConfigurationError) -> web.Response:
    """Return the response that lists all faults of a rejected edit."""
    count = len(error.exceptions)
    message = {
        "verdict": Verdict.NOT_RUN.value,
        "reason": "invalid_configuration",
        "detail": f"the configuration has {count} fault(s)",
        "retry_after_ms": None,
        "faults": error.to_json(),
    }
    return respond(INVALID_STATUS, message)
