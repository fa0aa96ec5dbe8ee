"""The part of the administration API that edits and shows the configuration."""

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
LONGEST_HISTORY: Final = 200

log = logbook.Logger("admin")


class ConfigurationAdmin:
    """Answer operators about the configuration."""

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
        heads = await self.editor.history(min(limit, LONGEST_HISTORY))
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
        statuses.sort(key=lambda one: (one.zone, one.host))
        hosts = [
            {
                "host": one.host,
                "zone": one.zone,
                "version": one.version,
                "in_force_ms": one.in_force_ms,
            }
            for one in statuses
        ]
        newest = max(one.version for one in statuses)
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
        log.notice("{} applied version {}.", operator, head.version)
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

    :raises Refusal: if the body has another form.
    """
    odd = ", ".join(sorted(set(body) - known))
    if odd:
        raise bad_request_refusal(f"unknown field: {odd}")
    try:
        return ConfigurationDocuments.from_json(body)
    except WireError as error:
        raise bad_request_refusal(str(error)) from error


def text_of(body: Json, name: str) -> str:
    """Return a text from a body.

    :raises Refusal: if it is missing or something else.
    """
    value = body.get(name)
    if not isinstance(value, str):
        raise bad_request_refusal(f"{name} must be a text")
    return value


def applied(head: SnapshotManifest) -> Json:
    """Return the answer to an accepted edit."""
    return {"verdict": Verdict.DONE.value, "head": head.summary()}


def respond_invalid(error: InvalidConfigurationError) -> web.Response:
    """Return the response that names every fault; nothing was changed."""
    count = len(error.exceptions)
    message = {
        "verdict": Verdict.NOT_RUN.value,
        "reason": "invalid_configuration",
        "detail": f"the configuration has {count} fault(s)",
        "retry_after_ms": None,
        "faults": error.to_json(),
    }
    return respond(INVALID_STATUS, message)
