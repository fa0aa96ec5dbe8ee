"""JSON as it stands on the wire, with typed errors."""

from collections.abc import Callable
from functools import wraps
from typing import Any, ParamSpec, TypeAlias, TypeVar

import orjson

Json: TypeAlias = dict[str, Any]
P = ParamSpec("P")
T = TypeVar("T")


class WireError(ValueError):
    """Say that a message does not have the expected form."""


def wraps_decode_errors(read: Callable[P, T]) -> Callable[P, T]:
    """Let what reads a message raise `WireError` for one of the wrong form."""

    @wraps(read)
    def typed(*args: P.args, **kwargs: P.kwargs) -> T:
        try:
            return read(*args, **kwargs)
        except WireError:
            raise
        except (AttributeError, LookupError, TypeError, ValueError) as error:
            raise WireError(f"malformed message: {error!r}") from error

    return typed


def string_field(message: Json, name: str) -> str:
    """Return a field that holds a text.

    :raises WireError: if it does not.
    """
    value = message.get(name)
    if not isinstance(value, str):
        raise WireError(f"{name} is to hold a text")
    return value


def non_negative_int_field(message: Json, name: str) -> int:
    """Return a field that holds a whole number that is not negative.

    :raises WireError: if it does not; true and false are no numbers.
    """
    value = message.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise WireError(f"{name} is to hold a whole number")
    return value


def encode(message: Json) -> bytes:
    """Encode `message` as JSON."""
    return orjson.dumps(message)


def decode(body: bytes) -> Json:
    """Decode a JSON object.

    :raises WireError: if `body` is not a JSON object.
    """
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise WireError(f"not JSON: {error}") from error
    if not isinstance(message, dict):
        raise WireError("a JSON object is expected")
    return message
