"""Parser of the platform's settings file: lines ``a.b=value``, lists with commas."""

import os
from pathlib import Path
from typing import Final

from ..address import split_address
from ..process.rates.rate_tolerance import DEFAULT_TOLERANCE, RateTolerance
from ..process.session_host_settings import SessionHostSettings

SETTINGS_VARIABLE: Final = "REEDHOOK_SETTINGS"
"""Environment variable that holds the path of the file."""

COMMENT: Final = "#"
MS_PER_SECOND: Final = 1000.0

OUTLIER_DETECTION_CONTRACT: Final = "health"
"""Word of the field ``contracts`` that turns on target outlier detection."""

OVERLOAD_CONTROL_CONTRACT: Final = "pressure"
"""Word of the field ``contracts`` that turns on overload control."""

DEFAULT_CORES: Final = 1.0
DEFAULT_LINK_MBPS: Final = 1000.0
"""Used if the file does not state the machine's limits."""


class SettingsFileError(ValueError):
    """Report an invalid settings file, with the line if there is one."""


def settings_path(named: str | None) -> Path:
    """Return the path of the settings file.

    :param named: the path given on the command line, or None.
    :raises SettingsError: if neither the command line nor the environment has one.
    """
    path = named or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsFileError(f"the variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


class SettingsLine:
    """Hold a value and its line number."""

    __slots__ = ("number", "value")

    def __init__(self, number: int, value: str) -> None:
        self.number = number
        self.value = value


def load(path: Path) -> SessionHostSettings:
    """Read and validate a settings file.

    :raises OSError: if it cannot be read.
    :raises SettingsError: if a required field is missing or a field is invalid.
    """
    return read(path.read_text(encoding="utf-8"))


def read(text: str) -> SessionHostSettings:
    """Parse settings; unknown fields are ignored.

    :raises SettingsError: if a required field is missing or a field is invalid.
    """
    fields = parse_fields(text)
    ip = required(fields, "ip")
    first, last = ports(fields)
    return SessionHostSettings(
        host=required(fields, "node_name"),
        zone=required(fields, "zone"),
        callers_listen=address(fields, "listen.front"),
        ready_listen=address(fields, "listen.ready"),
        peer_listen=f"{ip}:{first}",
        metrics_listen=f"{ip}:{last}",
        store=address(fields, "platform.address"),
        promotions=address(fields, "cloud.address"),
        grace=number(fields, "bounds.grace_s"),
        cores=optional(fields, "limits.cores", DEFAULT_CORES)
        * optional(fields, "limits.cpu_share", 1.0),
        link_mbps=optional(fields, "limits.link_mbps", DEFAULT_LINK_MBPS),
        revoke=revoke_seconds(fields),
        rates=rates(fields),
        target_outlier_detection=OUTLIER_DETECTION_CONTRACT in contracts(fields),
        overload_control=OVERLOAD_CONTROL_CONTRACT in contracts(fields),
    )


def contracts(fields: dict[str, SettingsLine]) -> frozenset[str]:
    """Return the words of the field ``contracts``; none if it is missing."""
    line = fields.get("contracts")
    words = [] if line is None else line.value.split(",")
    return frozenset(word.strip() for word in words)


def rates(fields: dict[str, SettingsLine]) -> RateTolerance:
    """Return the tolerance of the workspaces' rate limits."""
    return RateTolerance(
        optional(fields, "bounds.quota_window_s", DEFAULT_TOLERANCE.window),
        optional(fields, "bounds.quota_overshoot", DEFAULT_TOLERANCE.overshoot),
        optional(fields, "bounds.quota_slack", DEFAULT_TOLERANCE.slack),
    )


def revoke_seconds(fields: dict[str, SettingsLine]) -> float | None:
    """Return the time limit for revoking a key in seconds; None if not strict."""
    strict = fields.get("bounds.strict_revoke")
    if strict is None or strict.value != "true":
        return None
    return number(fields, "bounds.revoke_ms") / MS_PER_SECOND


def parse_fields(text: str) -> dict[str, SettingsLine]:
    """Parse the lines of a file into fields.

    :raises SettingsError: if a line has no ``=``.
    """
    fields = {}
    for line_number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith(COMMENT):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsFileError(f"line {line_number}: expected name=value")
        fields[name.strip()] = SettingsLine(line_number, value.strip())
    return fields


def required(fields: dict[str, SettingsLine], name: str) -> str:
    """Return the value of a required field.

    :raises SettingsError: if it is missing or empty.
    """
    line = fields.get(name)
    if line is None:
        raise SettingsFileError(f"the field {name} is missing")
    if not line.value:
        raise SettingsFileError(f"line {line.number}: {name} is empty")
    return line.value


def address(fields: dict[str, SettingsLine], name: str) -> str:
    """Return a required field that holds an ``IP:port``.

    :raises SettingsError: if it is missing or invalid.
    """
    value = required(fields, name)
    try:
        split_address(value)
    except ValueError as error:
        line_number = fields[name].number
        raise SettingsFileError(f"line {line_number}: {name}: {error}") from None
    return value


def number(fields: dict[str, SettingsLine], name: str) -> float:
    """Return a required field that holds a positive number.

    :raises SettingsError: if it is missing or invalid.
    """
    value = required(fields, name)
    try:
        parsed = float(value)
    except ValueError:
        parsed = 0.0
    if parsed <= 0.0:
        line_number = fields[name].number
        raise SettingsFileError(f"line {line_number}: {name} must be a number above 0")
    return parsed


def optional(fields: dict[str, SettingsLine], name: str, default: float) -> float:
    """Return a field that holds a positive number, or `default` if it is missing."""
    return number(fields, name) if name in fields else default


def ports(fields: dict[str, SettingsLine]) -> tuple[int, int]:
    """Return the first and the last of the ports for internal use."""
    name = "internal_ports"
    value = required(fields, name)
    first, _, last = value.partition(",")
    if not (first.isdigit() and last.isdigit()) or int(first) >= int(last):
        line_number = fields[name].number
        raise SettingsFileError(
            f"line {line_number}: {name} must be two ports in ascending order"
        )
    return int(first), int(last)
