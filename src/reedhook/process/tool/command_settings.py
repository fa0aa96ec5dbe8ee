"""The ``settings check`` command, for both formats of settings files."""

from collections.abc import Callable
from pathlib import Path
from typing import Final

from ...platform.settings import SettingsFileError, load as load_hosting
from ..settings import load_settings
from .command_error import CommandError, ToolExitCode
from .command_report import Result

COMMENT: Final = "#"
CHECKS: Final = {True: "the platform's format", False: "YAML"}


def check(path: Path) -> Result:
    """Check a settings file, whose format is detected from its content.

    :raises CommandError: with all faults, if the file is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = f"the file cannot be read: {error}"
        raise CommandError(
            ToolExitCode.USAGE, problem, "name a settings file"
        ) from None
    has_platform_format = is_platforms(text)
    faults = faults_of(path, load_hosting if has_platform_format else load_settings)
    format = CHECKS[has_platform_format]
    if faults:
        problem = f"the settings in {path} ({format}) are wrong"
        raise CommandError(ToolExitCode.USAGE, problem, "fix the lines listed", faults)
    body = {"file": str(path), "format": format}
    return Result(body, f"The settings in {path} ({format}) are fine.")


def is_platforms(text: str) -> bool:
    """Return whether a file has lines ``name=value`` instead of ``name: value``."""
    for line in text.splitlines():
        if not line.strip() or line.startswith(COMMENT):
            continue
        name, separator, _ = line.partition("=")
        return bool(separator) and ":" not in name
    return False


def faults_of(path: Path, load: Callable[[Path], object]) -> tuple[str, ...]:
    """Return the faults of a file, one line for each."""
    try:
        load(path)
    except ExceptionGroup as errors:
        return tuple(str(error) for error in errors.exceptions)
    except (OSError, SettingsFileError) as error:
        return (str(error),)
    return ()
