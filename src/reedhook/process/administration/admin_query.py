"""Query parameters of the administration API, checked."""

from collections.abc import Iterable
from typing import Final

from aiohttp import web

from ...request.refusal import RefusalError, RefusalReason, not_run
from ..events.timeline import EventKind

MAX_NUMBER: Final = 2**53


def require_known(request: web.Request, known: Iterable[str]) -> None:
    """Refuse query parameters that mean nothing here.

    :raises Refusal: ``bad_request``.
    """
    odd = sorted(set(request.query) - set(known))
    if odd:
        names = ", ".join(odd)
        raise bad_request_refusal(f"unknown query parameter: {names}")


def whole_number(request: web.Request, name: str) -> int | None:
    """Return a query parameter as a number; None if it is absent.

    :raises Refusal: ``bad_request`` if it is no number from 0 up.
    """
    text = request.query.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_NUMBER)):
        raise bad_request_refusal(f"{name} must be a whole number")
    return int(text)


def needed_number(request: web.Request, name: str) -> int:
    """Return a query parameter as a number.

    :raises Refusal: ``bad_request`` if it is absent or no number.
    """
    number = whole_number(request, name)
    if number is None:
        raise bad_request_refusal(f"{name} is missing")
    return number


def kinds(request: web.Request) -> frozenset[EventKind] | None:
    """Return the kinds of event named by ``kind``, with commas between them.

    :raises Refusal: ``bad_request`` if one is unknown.
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
