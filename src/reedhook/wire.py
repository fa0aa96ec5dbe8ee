"""JSON as it stands on the wire, with typed errors."""

from typing import Any, TypeAlias

import orjson

Json: TypeAlias = dict[str, Any]


class WireError(ValueError):
    """Say that a message does not have the expected form."""


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
