"""Encoding and decoding of JSON messages, with typed errors."""

from collections.abc import Callable
from functools import wraps
from typing import Any, ParamSpec, TypeAlias, TypeVar

import orjson

Json: TypeAlias = dict[str, Any]
P = ParamSpec("P")
T = TypeVar("T")


class WireError(ValueError):
    """Report that a message is malformed."""


def wraps_decode_errors(read: Callable[P, T]) -> Callable[P, T]:
    """Decorate a parser to raise `WireError` for a malformed message."""

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
    """Return a string field.

    :raises WireError: if it is missing or not a string.
    """
    value = message.get(name)
    if not isinstance(value, str):
        raise WireError(f"{name} must be a string")
    return value


def non_negative_int_field(message: Json, name: str) -> int:
    """Return a field that holds a non-negative integer.

    :raises WireError: if it holds anything else, booleans included.
    """
    value = message.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise WireError(f"{name} must be a non-negative integer")
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
        raise WireError("expected a JSON object")
    return message
