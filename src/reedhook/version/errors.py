"""Errors in configuration documents and their locations."""

from collections.abc import Sequence
from typing import TypeAlias

from ..record import Record
from ..wire import Json

KeyPath: TypeAlias = tuple[str, ...]


class SourceLocation(Record):
    """Identify a location in a document.

    :param file: the name of the document.
    :param line: the line, counted from 1; None if unknown.
    """

    __slots__ = ("file", "line")

    def __init__(self, file: str, line: int | None) -> None:
        self.file = file
        self.line = line

    def __str__(self) -> str:
        return self.file if self.line is None else f"{self.file}:{self.line}"


class ConfigurationError(Exception):
    """Describe an error at one location; base class of the errors below.

    :param location: the location in the document.
    :param path: the keys that lead to the value.
    :param reason: a one-line explanation for the operator.
    """

    def __init__(self, location: SourceLocation, path: KeyPath, reason: str) -> None:
        where = ".".join(path) or "the document"
        super().__init__(f"{location}: {where}: {reason}")
        self.location = location
        self.path = path
        self.reason = reason

    def to_json(self) -> Json:
        """Return the error in wire format."""
        return {
            "file": self.location.file,
            "line": self.location.line,
            "path": ".".join(self.path),
            "reason": self.reason,
        }


class ConfigurationSyntaxError(ConfigurationError):
    """Signal invalid YAML or an unsupported YAML feature."""


class DuplicateKeyError(ConfigurationError):
    """Signal a duplicate key in a mapping."""


class SchemaViolationError(ConfigurationError):
    """Signal a key or value that violates the schema."""


class InvalidReferenceError(ConfigurationError):
    """Signal an undefined reference, an invalid name or a duplicate name."""


class OverlayConflictError(ConfigurationError):
    """Signal that an overlay changes a value that must be equal at all sites."""


class InvalidConfigurationError(ExceptionGroup[ConfigurationError]):
    """Report all errors of a configuration together."""

    def derive(  # type: ignore[override]
        self, excs: Sequence[ConfigurationError]
    ) -> "InvalidConfigurationError":
        """Return a group of some of the errors, for `split` and `subgroup`."""
        return InvalidConfigurationError(self.message, excs)

    def to_json(self) -> list[Json]:
        """Return the errors in wire format."""
        faults = [
            error for error in self.exceptions if isinstance(error, ConfigurationError)
        ]
        return [fault.to_json() for fault in faults]


def raise_errors(faults: list[ConfigurationError]) -> None:
    """Raise `InvalidConfigurationError` if there are errors, without duplicates."""
    unique = {str(fault): fault for fault in faults}
    if unique:
        raise InvalidConfigurationError(
            "the configuration is not valid", [*unique.values()]
        )
