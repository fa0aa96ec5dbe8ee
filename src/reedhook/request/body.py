"""Parses and validates the bodies of callers' requests.

The checks are hand-written, since a general schema validator is too slow on this
path; see docs/design/routing.md.
"""

import re
from collections.abc import Callable
from typing import Any, Final, TypeAlias

from ..record import Record
from ..wire import Json, WireError, decode
from .refusal import RefusalReason, not_run
from .statement import Consistency

MAX_BODY_BYTES: Final = 1_048_576
MAX_SQL_CHARACTERS: Final = 65_536
MAX_PARAMS: Final = 1_000
MAX_NAME_CHARACTERS: Final = 256
MAX_DEADLINE_MS: Final = 60_000
MAX_AGE_MS: Final = 86_400_000
INT64_LIMIT: Final = 2**63
REQUEST_ID_PATTERN: Final = re.compile(r"[0-9]{13}-[A-Za-z0-9_-]{8,64}")
CONSISTENCIES: Final = frozenset(one.value for one in Consistency)

Check: TypeAlias = Callable[[Any], str | None]


class BodySchema(Record):
    """Describe the request body of one path of the callers' interface.

    :param allowed_fields: names of the permitted fields.
    :param requires_sql: whether a statement is required.
    :param requires_group: whether a group, or service and key, are required.
    :param requires_idempotency: whether a request id or the flag ``idempotent`` is
        required.
    :param allows_empty: whether the body may be omitted.
    """

    __slots__ = (
        "allowed_fields",
        "requires_sql",
        "requires_group",
        "requires_idempotency",
        "allows_empty",
    )

    def __init__(
        self,
        allowed_fields: frozenset[str],
        requires_sql: bool = False,
        requires_group: bool = False,
        requires_idempotency: bool = False,
        allows_empty: bool = False,
    ) -> None:
        self.allowed_fields = allowed_fields
        self.requires_sql = requires_sql
        self.requires_group = requires_group
        self.requires_idempotency = requires_idempotency
        self.allows_empty = allows_empty


class RequestBody(Record):
    """Carry the validated fields of a request; None means absent."""

    __slots__ = (
        "group",
        "service",
        "key",
        "sql",
        "params",
        "consistency",
        "max_age_ms",
        "token",
        "deadline_ms",
        "request_id",
        "idempotent",
    )

    def __init__(self, fields: Json) -> None:
        get = fields.get
        self.group: str | None = get("group")
        self.service: str | None = get("service")
        self.key: str | None = get("key")
        self.sql: str = get("sql", "")
        self.params: list[Any] = get("params") or []
        self.consistency: str | None = get("consistency")
        self.max_age_ms: float | None = get("max_age_ms")
        self.token: str | None = get("token")
        self.deadline_ms: float | None = get("deadline_ms")
        self.request_id: str | None = get("request_id")
        self.idempotent: bool = get("idempotent") or False


def parse_body(schema: BodySchema, raw: bytes) -> RequestBody:
    """Parse and validate the body of a request.

    :raises RefusalError: ``bad_request``, with all errors found.
    """
    fields = decode_fields(schema, raw)
    errors = field_errors(schema, fields)
    body = RequestBody(fields)
    if not errors:
        errors = cross_field_errors(schema, body)
    if errors:
        raise not_run(RefusalReason.BAD_REQUEST, "; ".join(errors))
    return body


def decode_fields(schema: BodySchema, raw: bytes) -> Json:
    """Decode the body; return no fields for an empty one that is allowed.

    :raises RefusalError: ``bad_request`` if the body is not a JSON object.
    """
    if not raw and schema.allows_empty:
        return {}
    try:
        return decode(raw)
    except WireError as error:
        raise not_run(RefusalReason.BAD_REQUEST, f"the body is {error}") from error


def field_errors(schema: BodySchema, fields: Json) -> list[str]:
    """Return the errors of single fields."""
    errors = []
    for name, value in fields.items():
        if name not in schema.allowed_fields:
            errors.append(f"unknown field {name[:MAX_NAME_CHARACTERS]!r}")
        elif value is not None and (error := FIELD_CHECKS[name](value)) is not None:
            errors.append(f"{name} {error}")
    return errors


def cross_field_errors(schema: BodySchema, body: RequestBody) -> list[str]:
    """Return the errors of combinations of fields."""
    errors = []
    if schema.requires_sql and not body.sql:
        errors.append("sql is missing")
    if schema.requires_group and not names_group(body):
        errors.append("either group, or service with key, must be given")
    if schema.requires_idempotency and (body.request_id is not None) == body.idempotent:
        errors.append("either request_id or idempotent: true must be given")
    if body.max_age_ms is not None and body.consistency != Consistency.MAX_AGE:
        errors.append("max_age_ms is allowed with consistency max_age only")
    return errors


def names_group(body: RequestBody) -> bool:
    """Return whether the body specifies its group in exactly one way."""
    if body.group is not None:
        return body.service is None and body.key is None
    return body.service is not None and body.key is not None


def check_name(value: Any) -> str | None:
    """Return the error of a name, or None."""
    if isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS:
        return None
    return f"must be a string of 1 to {MAX_NAME_CHARACTERS} characters"


def check_sql(value: Any) -> str | None:
    """Return the error of a statement's text, or None."""
    if not isinstance(value, str) or len(value) > MAX_SQL_CHARACTERS:
        return f"must be a string of at most {MAX_SQL_CHARACTERS} characters"
    if "\0" in value:
        return "must not contain the character NUL"
    return None


def check_params(value: Any) -> str | None:
    """Return the error of a statement's parameters, or None."""
    if not isinstance(value, list) or len(value) > MAX_PARAMS:
        return f"must be a list of at most {MAX_PARAMS} values"
    for param in value:
        if isinstance(param, int) and not -INT64_LIMIT <= param < INT64_LIMIT:
            return "contains an integer that does not fit into 64 bits"
        if isinstance(param, (list, dict)):
            return "may contain only strings, numbers, true, false and null"
    return None


def check_consistency(value: Any) -> str | None:
    """Return the error of a consistency, or None."""
    if isinstance(value, str) and value in CONSISTENCIES:
        return None
    return "must be fresh, session or max_age"


def check_text(value: Any) -> str | None:
    """Return the error of a string, or None."""
    return None if isinstance(value, str) else "must be a string"


def check_flag(value: Any) -> str | None:
    """Return the error of a boolean, or None."""
    return None if isinstance(value, bool) else "must be true or false"


def check_request_id(value: Any) -> str | None:
    """Return the error of a request id, or None."""
    if isinstance(value, str) and REQUEST_ID_PATTERN.fullmatch(value):
        return None
    return "must be 13 digits of milliseconds, a dash and 8 to 64 of A-Za-z0-9_-"


def check_deadline(value: Any) -> str | None:
    """Return the error of a deadline in milliseconds, or None."""
    return number_error(value, 1, MAX_DEADLINE_MS)


def check_age(value: Any) -> str | None:
    """Return the error of a maximum age in milliseconds, or None."""
    return number_error(value, 0, MAX_AGE_MS)


def number_error(value: Any, low: int, high: int) -> str | None:
    """Return the error of a number outside `low` to `high`, or None."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if is_number and low <= value <= high:
        return None
    return f"must be a number from {low} to {high}"


FIELD_CHECKS: Final[dict[str, Check]] = {
    "group": check_name,
    "service": check_name,
    "key": check_name,
    "sql": check_sql,
    "params": check_params,
    "consistency": check_consistency,
    "max_age_ms": check_age,
    "token": check_text,
    "deadline_ms": check_deadline,
    "request_id": check_request_id,
    "idempotent": check_flag,
}
ROUTING_FIELDS: Final = frozenset({"group", "service", "key", "token", "deadline_ms"})
IDEMPOTENCY_FIELDS: Final = frozenset({"request_id", "idempotent"})
STATEMENT_FIELDS: Final = frozenset({"sql", "params"})
IN_TRANSACTION_FIELDS: Final = frozenset({"token", "deadline_ms"})
READ_SCHEMA: Final = BodySchema(
    ROUTING_FIELDS | STATEMENT_FIELDS | {"consistency", "max_age_ms"},
    requires_sql=True,
    requires_group=True,
)
WRITE_SCHEMA: Final = BodySchema(
    ROUTING_FIELDS | STATEMENT_FIELDS | IDEMPOTENCY_FIELDS,
    requires_sql=True,
    requires_group=True,
    requires_idempotency=True,
)
BEGIN_SCHEMA: Final = BodySchema(
    ROUTING_FIELDS | IDEMPOTENCY_FIELDS, requires_group=True, requires_idempotency=True
)
STEP_SCHEMA: Final = BodySchema(
    STATEMENT_FIELDS | IN_TRANSACTION_FIELDS, requires_sql=True
)
END_SCHEMA: Final = BodySchema(IN_TRANSACTION_FIELDS, allows_empty=True)
