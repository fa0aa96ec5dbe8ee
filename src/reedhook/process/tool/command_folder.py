"""The folder in which an operator edits the configuration."""

import re
from pathlib import Path
from typing import Final

from ...wire import Json
from .command_error import CommandError, ToolExitCode

BASE: Final = "base.yaml"
OVERLAYS: Final = "overlays"
SUFFIX: Final = ".yaml"
VERSION: Final = ".version"
SITE: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,127}")


class ConfigurationFolder:
    """Read and write ``base.yaml``, ``overlays/SITE.yaml`` and ``.version``.

    The last one holds the version on which the folder is based, so that an
    edit is rejected if the configuration has changed since.
    """

    __slots__ = ("path",)

    def __init__(self, path: Path) -> None:
        self.path = path

    def documents(self) -> Json:
        """Return the documents in the format of the administration API.

        :raises CommandError: if they cannot be read.
        """
        try:
            base = (self.path / BASE).read_text(encoding="utf-8")
            overlays = {
                file.stem: file.read_text(encoding="utf-8")
                for file in sorted((self.path / OVERLAYS).glob(f"*{SUFFIX}"))
            }
        except (OSError, UnicodeDecodeError) as error:
            advice = f"give a folder with {BASE} and {OVERLAYS}/SITE{SUFFIX}"
            raise CommandError(ToolExitCode.USAGE, str(error), advice) from error
        return {"base": base, "overlays": overlays}

    def version(self) -> int | None:
        """Return the version on which the folder is based; None if it is unknown."""
        try:
            return int((self.path / VERSION).read_text(encoding="ascii"))
        except (OSError, ValueError):
            return None

    def write(self, documents: Json, version: int, force: bool) -> None:
        """Write the documents of a version.

        :param force: replace the documents in a folder that is not empty.
        :raises CommandError: if the folder is not empty or cannot be written.
        """
        if not force and self.path.is_dir() and any(self.path.iterdir()):
            advice = "give another folder, or --force to replace its documents"
            problem = f"the folder {self.path} is not empty"
            raise CommandError(ToolExitCode.USAGE, problem, advice)
        overlays: dict[str, str] = documents["overlays"]
        refuse_odd_sites(overlays)
        try:
            self.write_files(documents["base"], overlays)
            self.set_version(version)
        except OSError as error:
            raise CommandError(
                ToolExitCode.USAGE, str(error), "give another folder"
            ) from error

    def write_files(self, base: str, overlays: dict[str, str]) -> None:
        """Write the documents and delete other overlays."""
        folder = self.path / OVERLAYS
        folder.mkdir(parents=True, exist_ok=True)
        for file in folder.glob(f"*{SUFFIX}"):
            if file.stem not in overlays:
                file.unlink()
        for site, text in overlays.items():
            (folder / f"{site}{SUFFIX}").write_text(text, encoding="utf-8")
        (self.path / BASE).write_text(base, encoding="utf-8")

    def set_version(self, version: int) -> None:
        """Store the version on which the folder is based."""
        (self.path / VERSION).write_text(f"{version}\n", encoding="ascii")


def refuse_odd_sites(overlays: dict[str, str]) -> None:
    """Reject site names that could be paths outside the folder.

    :raises CommandError: if there is one.
    """
    for site in overlays:
        if not SITE.fullmatch(site):
            problem = f"the site '{site}' cannot be a file name"
            raise CommandError(ToolExitCode.REFUSED, problem)
