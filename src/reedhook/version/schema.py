"""JSON schema of a merged configuration and its error messages."""

from collections.abc import Iterator
from typing import Any, Final

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from ..wire import Json
from .errors import KeyPath

NAME_PATTERN: Final = r"^[a-z][a-z0-9-]{0,62}\Z"
NAME: Final[Json] = {
    "type": "string",
    "pattern": NAME_PATTERN,
    "description": "a lower-case name of letters, digits and hyphens",
}
# Each rank of home has a quota of a target's connections, which must not be empty.
MIN_CONNECTIONS: Final = 3


def named(values: Json) -> Json:
    """Return the schema of a mapping from names to `values`."""
    return {
        "type": "object",
        "propertyNames": NAME,
        "additionalProperties": values,
    }


def closed(properties: Json, required: list[str]) -> Json:
    """Return the schema of a mapping that rejects unknown keys."""
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def whole(minimum: int, maximum: int) -> Json:
    """Return the schema of an integer in a range."""
    return {"type": "integer", "minimum": minimum, "maximum": maximum}


MEMBER: Final = closed(
    {"zone": NAME, "address": {"type": "string"}}, ["zone", "address"]
)
GROUP: Final = closed({"members": {**named(MEMBER), "minProperties": 1}}, ["members"])
SERVICE: Final = closed(
    {
        "slots": whole(1, 1024),
        "connections": whole(MIN_CONNECTIONS, 65535),
        "groups": {**named(GROUP), "minProperties": 1},
    },
    ["slots", "connections", "groups"],
)
WORKSPACE: Final = closed(
    {
        "services": {"type": "array", "items": NAME, "uniqueItems": True},
        "token_sha256": {
            "type": "string",
            "pattern": r"^[0-9a-f]{64}\Z",
            "description": "64 lower-case hex digits",
        },
        "priority": whole(0, 9),
        "rate": {"type": ["number", "null"], "exclusiveMinimum": 0},
    },
    ["services", "token_sha256"],
)
LIMITS: Final = closed(
    {
        "deadline_ms": whole(1, 600_000),
        "queue": whole(1, 100_000),
        "default_max_age_ms": whole(1, 86_400_000),
        "drain_s": whole(0, 3600),
        "transaction_idle_ms": whole(100, 3_600_000),
    },
    [],
)
SCHEMA: Final = closed(
    {"services": named(SERVICE), "workspaces": named(WORKSPACE), "limits": LIMITS},
    ["services", "workspaces"],
)
VALIDATOR: Final = Draft202012Validator(SCHEMA)


def violations(values: Json) -> Iterator[tuple[KeyPath, str]]:
    """Yield the path and the message of each schema violation."""
    for error in VALIDATOR.iter_errors(values):
        yield from explain(error)


def explain(error: ValidationError) -> Iterator[tuple[KeyPath, str]]:
    """Yield paths and messages of a schema error; omit values, which may be secret."""
    path = tuple(str(step) for step in error.absolute_path)
    rule: Any = error.validator_value
    schema: Any = error.schema
    instance: Any = error.instance
    if error.validator == "additionalProperties":
        for key in instance:
            if key not in schema["properties"]:
                yield (*path, str(key)), "unknown key"
        return
    if error.validator == "required":
        missing = next(key for key in rule if f"{key!r} is" in error.message)
        yield path, f"missing {missing}"
        return
    if "propertyNames" in error.absolute_schema_path:
        path = (*path, str(error.instance))
    yield path, expectation(error)


def expectation(error: ValidationError) -> str:
    """Return a message that describes the expected value."""
    rule: Any = error.validator_value
    schema: Any = error.schema
    match error.validator:
        case "type":
            wanted = rule if isinstance(rule, str) else " or ".join(rule)
            return f"expected {wanted}, found {type_name(error.instance)}"
        case "pattern":
            return f"expected {schema['description']}"
        case "minimum":
            return f"must be at least {rule}"
        case "maximum":
            return f"must be at most {rule}"
        case "exclusiveMinimum":
            return f"must be more than {rule}"
        case "minProperties":
            return "must not be empty"
        case "uniqueItems":
            return "contains duplicate items"
    return f"violates the schema rule {error.validator}"


def type_name(value: Any) -> str:
    """Return the JSON schema type name of `value`."""
    names = {dict: "object", list: "array", str: "string", bool: "boolean"}
    names |= {int: "integer", float: "number", type(None): "null"}
    return names.get(type(value), type(value).__name__)
