"""Differences between two versions of the configuration."""

from ..record import Record
from ..wire import Json
from .document import BASE_FILE, ConfigurationDocuments, overlay_file, parse_document
from .errors import ConfigurationError
from .merge import changed_paths
from .snapshot import SnapshotManifest


class PathChange(Record):
    """Describe one path that differs between two versions.

    :param file: the name of the document.
    :param path: the keys of the differing value, joined by dots.
    """

    __slots__ = ("file", "path")

    def __init__(self, file: str, path: str) -> None:
        self.file = file
        self.path = path

    def to_json(self) -> Json:
        """Return the change in wire format."""
        return {"file": self.file, "path": self.path}


class VersionChanges(Record):
    """Describe the changes made by one version.

    :param manifest: the manifest of the version.
    :param changes: the changed paths; empty if only comments or layout changed.
    """

    __slots__ = ("manifest", "changes")

    def __init__(
        self, manifest: SnapshotManifest, changes: tuple[PathChange, ...]
    ) -> None:
        self.manifest = manifest
        self.changes = changes

    def to_json(self) -> Json:
        """Return the changes in wire format."""
        changes = [change.to_json() for change in self.changes]
        return {**self.manifest.summary(), "changes": changes}


def changes_between(
    before: ConfigurationDocuments, after: ConfigurationDocuments
) -> list[PathChange]:
    """Return the paths at which two versions differ."""
    ignored: list[ConfigurationError] = []
    texts = {BASE_FILE: (before.base, after.base)}
    for site in sorted({*before.overlays, *after.overlays}):
        pair = before.overlays.get(site, ""), after.overlays.get(site, "")
        texts[overlay_file(site)] = pair
    changes: list[PathChange] = []
    for file, (old, new) in texts.items():
        if old == new:
            continue
        left, right = parse_document(file, old, ignored), parse_document(
            file, new, ignored
        )
        for path in changed_paths(left.content, right.content):
            changes.append(PathChange(file, ".".join(path)))
    return changes
