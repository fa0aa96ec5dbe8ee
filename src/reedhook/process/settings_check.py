"""Validate a settings document without the files that it names."""

from collections.abc import Iterator
from typing import Any, Final

from jsonschema import Draft202012Validator, ValidationError

from .settings_schema import FORMATS, MIN_SECRET_CHARACTERS, SETTINGS

LISTENERS: Final = ("listen", "peer_listen", "admin_listen")
REASONS: Final = {
    "format": "an IP number with a port is expected, such as 10.0.0.1:8000",
    "additionalProperties": "unknown setting",
    "oneOf": f"a string of at least {MIN_SECRET_CHARACTERS} characters or 'file: PATH'"
    " is expected",
    "uniqueItems": "the list contains a duplicate entry",
    "minProperties": "at least one entry is expected",
}


class SettingsError(Exception):
    """Signal that one setting is invalid.

    :param path: path of the setting, such as ``limits.body_bytes``.
    :param reason: human-readable cause; must not contain a secret.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason


def schema_errors(document: object) -> Iterator[SettingsError]:
    """Validate `document` against the schema."""
    validator = Draft202012Validator(SETTINGS, format_checker=FORMATS)
    errors = validator.iter_errors(document)
    for error in sorted(errors, key=lambda error: error.json_path):
        yield from describe(error)


def describe(error: ValidationError) -> Iterator[SettingsError]:
    """Convert a validator error to errors that contain no values."""
    path = dotted(error.absolute_path)
    if error.validator == "required":
        for name in missing(error):
            yield SettingsError(join(path, name), "the setting is missing")
        return
    if error.validator == "additionalProperties":
        for name in unknown(error):
            yield SettingsError(join(path, name), REASONS["additionalProperties"])
        return
    yield SettingsError(path, reason_of(error))


def missing(error: ValidationError) -> list[str]:
    """Return the required name that `error` reports as missing."""
    required: Any = error.validator_value
    return [name for name in required if error.message.startswith(f"'{name}'")]


def unknown(error: ValidationError) -> list[str]:
    """Return the names that the schema does not define."""
    schema: Any = error.schema
    allowed = schema["properties"]
    instance: Any = error.instance
    return [str(name) for name in instance if name not in allowed]


def reason_of(error: ValidationError) -> str:
    """Return a short description of the expected value."""
    expected: Any = error.validator_value
    match error.validator:
        case "type":
            return f"{expected} is expected"
        case "enum":
            choices = ", ".join(expected)
            return f"one of {choices} is expected"
        case "pattern":
            return f"a string that matches {expected} is expected"
        case "minimum":
            return f"{expected} or more is expected"
        case "maximum":
            return f"{expected} or less is expected"
    return REASONS.get(str(error.validator), "the value is invalid")


def listener_errors(document: dict[Any, Any]) -> Iterator[SettingsError]:
    """Report listen addresses that are used twice."""
    name_by_address: dict[str, str] = {}
    for name in LISTENERS:
        address = document.get(name)
        if not isinstance(address, str):
            continue
        first_name = name_by_address.setdefault(address, name)
        if first_name != name:
            yield SettingsError(name, f"the address is already used by {first_name}")


def dotted(path: Any) -> str:
    """Return the path of a setting as text, such as ``seeds[1]``."""
    text = ""
    for part in path:
        text = f"{text}[{part}]" if isinstance(part, int) else join(text, str(part))
    return text


def join(place: str, name: str) -> str:
    """Return the path of `name` below `place`."""
    return f"{place}.{name}" if place else name
