"""What is wrong with a configuration, and where."""

from collections.abc import Sequence
from typing import TypeAlias

from ..record import Record
from ..wire import Json

KeyPath: TypeAlias = tuple[str, ...]


class SourceLocation(Record):
    """Name a place in a document.

    :param file: the document, as operators name it.
    :param line: the line, counted from 1; None if there is none.
    """

    __slots__ = ("file", "line")

    def __init__(self, file: str, line: int | None) -> None:
        self.file = file
        self.line = line

    def __str__(self) -> str:
        return self.file if self.line is None else f"{self.file}:{self.line}"


class ConfigurationError(Exception):
    """Say what is wrong at one place; base of the faults below.

    :param location: the place in the document.
    :param path: the keys that lead there.
    :param reason: one clause for the operator.
    """

    def __init__(self, location: SourceLocation, path: KeyPath, reason: str) -> None:
        where = ".".join(path) or "the document"
        super().__init__(f"{location}: {where}: {reason}")
        self.location = location
        self.path = path
        self.reason = reason

    def to_json(self) -> Json:
        """Return the fault as it stands on the wire."""
        return {
            "file": self.location.file,
            "line": self.location.line,
            "path": ".".join(self.path),
            "reason": self.reason,
        }


class ConfigurationSyntaxError(ConfigurationError):
    """Say that a document is not the plain YAML that is expected."""


class DuplicateKeyError(ConfigurationError):
    """Say that a mapping states a key twice."""


class SchemaViolationError(ConfigurationError):
    """Say that a value or key does not fit the schema."""


class InvalidReferenceError(ConfigurationError):
    """Say that a name refers to nothing, or that two things share one name."""


class OverlayConflictError(ConfigurationError):
    """Say that an overlay changes what all sites must agree on."""


class InvalidConfigurationError(ExceptionGroup[ConfigurationError]):
    """Report all faults of a configuration at once."""

    def derive(  # type: ignore[override]
        self, excs: Sequence[ConfigurationError]
    ) -> "InvalidConfigurationError":
        """Return a group of some of the faults, as `split` and `subgroup` need."""
        return InvalidConfigurationError(self.message, excs)

    def to_json(self) -> list[Json]:
        """Return the faults as they stand on the wire."""
        faults = [one for one in self.exceptions if isinstance(one, ConfigurationError)]
        return [fault.to_json() for fault in faults]


def raise_errors(faults: list[ConfigurationError]) -> None:
    """Raise `InvalidConfiguration` if there are faults, each named once."""
    unique = {str(fault): fault for fault in faults}
    if unique:
        raise InvalidConfigurationError(
            "the configuration is not valid", [*unique.values()]
        )
