"""The folder in which an operator edits a version of the configuration."""

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

    The last one holds the version that the folder was made of, so that an
    edit is accepted only if nobody else changed it since.
    """

    __slots__ = ("path",)

    def __init__(self, path: Path) -> None:
        self.path = path

    def documents(self) -> Json:
        """Return the documents as the administration API takes them.

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
        """Return the version that the folder was made of, if it is known."""
        try:
            return int((self.path / VERSION).read_text(encoding="ascii"))
        except (OSError, ValueError):
            return None

    def write(self, documents: Json, version: int, force: bool) -> None:
        """Fill the folder with a version.

        :param force: also if it holds something; its files are replaced.
        :raises CommandError: if it holds something or cannot be written.
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
        """Write the documents and drop overlays that are not among them."""
        folder = self.path / OVERLAYS
        folder.mkdir(parents=True, exist_ok=True)
        for file in folder.glob(f"*{SUFFIX}"):
            if file.stem not in overlays:
                file.unlink()
        for site, text in overlays.items():
            (folder / f"{site}{SUFFIX}").write_text(text, encoding="utf-8")
        (self.path / BASE).write_text(base, encoding="utf-8")

    def set_version(self, version: int) -> None:
        """State the version that the folder holds now."""
        (self.path / VERSION).write_text(f"{version}\n", encoding="ascii")


def refuse_odd_sites(overlays: dict[str, str]) -> None:
    """Refuse names of sites that would lead out of the folder."""
    for site in overlays:
        if not SITE.fullmatch(site):
            problem = f"the site '{site}' cannot be a file name"
            raise CommandError(ToolExitCode.REFUSED, problem)
