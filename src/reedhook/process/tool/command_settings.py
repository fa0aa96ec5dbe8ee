"""The tool's check of a settings file, in either of the two formats."""

from collections.abc import Callable
from pathlib import Path
from typing import Final

from ...platform.settings import SettingsError, load as load_hosting
from ..settings import load_settings
from .command_error import CommandError, ToolExitCode
from .command_report import Result

COMMENT: Final = "#"
CHECKS: Final = {True: "the platform's format", False: "YAML"}


def check(path: Path) -> Result:
    """Check a settings file; its content tells the format.

    :raises CommandError: naming every fault that was found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = f"the file cannot be read: {error}"
        raise CommandError(
            ToolExitCode.USAGE, problem, "name a settings file"
        ) from None
    by_platform = is_platforms(text)
    faults = faults_of(path, load_hosting if by_platform else load_settings)
    format = CHECKS[by_platform]
    if faults:
        problem = f"the settings in {path} ({format}) are wrong"
        raise CommandError(ToolExitCode.USAGE, problem, "mend the lines named", faults)
    body = {"file": str(path), "format": format}
    return Result(body, f"The settings in {path} ({format}) are fine.")


def is_platforms(text: str) -> bool:
    """Say whether a file has lines of ``name=value``, not of ``name: value``."""
    for line in text.splitlines():
        if not line.strip() or line.startswith(COMMENT):
            continue
        name, separator, _ = line.partition("=")
        return bool(separator) and ":" not in name
    return False


def faults_of(path: Path, load: Callable[[Path], object]) -> tuple[str, ...]:
    """Return what is wrong with a file, one line for each fault."""
    try:
        load(path)
    except ExceptionGroup as errors:
        return tuple(str(one) for one in errors.exceptions)
    except (OSError, SettingsError) as error:
        return (str(error),)
    return ()
