"""Validation of the administration API's query parameters."""

from collections.abc import Iterable
from typing import Final

from aiohttp import web

from ...request.refusal import RefusalError, RefusalReason, not_run
from ..events.timeline import EventKind

MAX_NUMBER: Final = 2**53


def require_known(request: web.Request, known: Iterable[str]) -> None:
    """Reject unknown query parameters.

    :raises RefusalError: ``bad_request`` if there is one.
    """
    unknown = sorted(set(request.query) - set(known))
    if unknown:
        names = ", ".join(unknown)
        raise bad_request_refusal(f"unknown query parameter: {names}")


def whole_number(request: web.Request, name: str) -> int | None:
    """Return a query parameter as an integer; None if it is absent.

    :raises RefusalError: ``bad_request`` if it is not a non-negative integer.
    """
    text = request.query.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_NUMBER)):
        raise bad_request_refusal(f"{name} must be a whole number")
    return int(text)


def needed_number(request: web.Request, name: str) -> int:
    """Return a required query parameter as an integer.

    :raises RefusalError: ``bad_request`` if it is absent or invalid.
    """
    number = whole_number(request, name)
    if number is None:
        raise bad_request_refusal(f"{name} is missing")
    return number


def kinds(request: web.Request) -> frozenset[EventKind] | None:
    """Return the event kinds listed in the parameter ``kind``; None if it is absent.

    :raises RefusalError: ``bad_request`` if one is unknown.
    """
    text = request.query.get("kind")
    if text is None:
        return None
    try:
        return frozenset(EventKind(name) for name in text.split(","))
    except ValueError:
        known = ", ".join(kind.value for kind in EventKind)
        raise bad_request_refusal(f"kind must be of: {known}") from None


def bad_request_refusal(detail: str) -> RefusalError:
    """Return the refusal of a malformed request."""
    return not_run(RefusalReason.BAD_REQUEST, detail)
