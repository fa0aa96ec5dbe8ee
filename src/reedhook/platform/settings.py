"""The platform's settings file: lines ``a.b=value``, lists joined by commas."""

import os
from pathlib import Path
from typing import Final

from ..address import split_address
from ..process.rates.rate_tolerance import DEFAULT_TOLERANCE, RateTolerance
from ..process.session_host_settings import SessionHostSettings

SETTINGS_VARIABLE: Final = "REEDHOOK_SETTINGS"
"""Environment variable with the path of the file."""

COMMENT: Final = "#"
MS_PER_SECOND: Final = 1000.0

DEFAULT_CORES: Final = 1.0
DEFAULT_LINK_MBPS: Final = 1000.0
"""Cores, and Mbit/s, of a machine whose limits the file does not state. A core is
a share of the machine's time: `cpu_share` says how much of each of `cores`."""


class SettingsError(ValueError):
    """Say what is wrong in which line of a settings file."""


def settings_path(named: str | None) -> Path:
    """Return the path of the settings file.

    :param named: on the command line, or None.
    :raises SettingsFault: if nobody names one.
    """
    path = named or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the variable {SETTINGS_VARIABLE} is not set")
    return Path(path)


class SettingsLine:
    """Keep a value with the number of its line."""

    __slots__ = ("number", "value")

    def __init__(self, number: int, value: str) -> None:
        self.number = number
        self.value = value


def load(path: Path) -> SessionHostSettings:
    """Read and check a settings file.

    :raises OSError: if it cannot be read.
    :raises SettingsFault: if a field that is needed is missing or wrong.
    """
    return read(path.read_text(encoding="utf-8"))


def read(text: str) -> SessionHostSettings:
    """Read settings; fields that are not known here are ignored.

    :raises SettingsFault: as `load`.
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
    )


def rates(fields: dict[str, SettingsLine]) -> RateTolerance:
    """Return how strictly the rates of workspaces are held."""
    return RateTolerance(
        optional(fields, "bounds.quota_window_s", DEFAULT_TOLERANCE.window),
        optional(fields, "bounds.quota_overshoot", DEFAULT_TOLERANCE.overshoot),
        optional(fields, "bounds.quota_slack", DEFAULT_TOLERANCE.slack),
    )


def revoke_seconds(fields: dict[str, SettingsLine]) -> float | None:
    """Return the seconds in which a key is taken away everywhere, if that is strict."""
    strict = fields.get("bounds.strict_revoke")
    if strict is None or strict.value != "true":
        return None
    return number(fields, "bounds.revoke_ms") / MS_PER_SECOND


def parse_fields(text: str) -> dict[str, SettingsLine]:
    """Return the fields of a file.

    :raises SettingsFault: for a line without a value.
    """
    fields = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith(COMMENT):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"line {number}: expected name=value")
        fields[name.strip()] = SettingsLine(number, value.strip())
    return fields


def required(fields: dict[str, SettingsLine], name: str) -> str:
    """Return a value.

    :raises SettingsFault: if it is missing or empty.
    """
    line = fields.get(name)
    if line is None:
        raise SettingsError(f"the field {name} is missing")
    if not line.value:
        raise SettingsError(f"line {line.number}: {name} is empty")
    return line.value


def address(fields: dict[str, SettingsLine], name: str) -> str:
    """Return an ``IP:port``; raises as `required`."""
    value = required(fields, name)
    try:
        split_address(value)
    except ValueError as error:
        number = fields[name].number
        raise SettingsError(f"line {number}: {name}: {error}") from None
    return value


def number(fields: dict[str, SettingsLine], name: str) -> float:
    """Return a number above 0; raises as `required`."""
    value = required(fields, name)
    try:
        found = float(value)
    except ValueError:
        found = 0.0
    if found <= 0.0:
        line = fields[name].number
        raise SettingsError(f"line {line}: {name} is to be a number above 0")
    return found


def optional(fields: dict[str, SettingsLine], name: str, default: float) -> float:
    """Return a number above 0, or `default` for a field that is not there."""
    return number(fields, name) if name in fields else default


def ports(fields: dict[str, SettingsLine]) -> tuple[int, int]:
    """Return the first and the last port for the system's own use."""
    name = "internal_ports"
    value = required(fields, name)
    first, _, last = value.partition(",")
    if not (first.isdigit() and last.isdigit()) or int(first) >= int(last):
        line = fields[name].number
        raise SettingsError(f"line {line}: {name} is to be two ports in order")
    return int(first), int(last)
