"""Merging the base file with the overlay of a site."""

from typing import Any

from ..record import Record
from ..wire import Json
from .document import ParsedDocument
from .errors import KeyPath, SourceLocation


class MergedConfiguration(Record):
    """Carry the merged values of one site and where each was stated.

    :param site: the availability zone; None stands for the base alone.
    """

    __slots__ = ("site", "content", "base", "overlay")

    def __init__(
        self,
        site: str | None,
        content: Json,
        base: ParsedDocument,
        overlay: ParsedDocument | None,
    ) -> None:
        self.site = site
        self.content = content
        self.base = base
        self.overlay = overlay

    @property
    def files(self) -> tuple[str, ...]:
        """Return the names of the documents that were merged."""
        overlay = () if self.overlay is None else (self.overlay.file,)
        return (self.base.file, *overlay)

    def locate(self, path: KeyPath) -> SourceLocation:
        """Return where the value at `path`, or the nearest around it, is stated."""
        while path:
            if self.overlay is not None and path in self.overlay.lines:
                return self.overlay.locate(path)
            if path in self.base.lines:
                return self.base.locate(path)
            path = path[:-1]
        return (self.overlay or self.base).locate(())


def merge_site(
    site: str, base: ParsedDocument, overlay: ParsedDocument
) -> MergedConfiguration:
    """Return what holds at `site`."""
    return MergedConfiguration(
        site, merge(base.content, overlay.content), base, overlay
    )


def merge(base: Any, overlay: Any) -> Any:
    """Merge recursively: mappings by key, anything else is replaced.

    Parts that the overlay leaves alone are shared with `base`, not copied.
    """
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    merged = dict(base)
    for key, value in overlay.items():
        merged[key] = merge(base[key], value) if key in base else value
    return merged


def changed_paths(old: Any, new: Any, path: KeyPath = ()) -> list[KeyPath]:
    """Return the paths at which two documents differ, each as deep as possible."""
    if old == new and type(old) is type(new):
        return []
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [path]
    paths: list[KeyPath] = []
    for key in [*old, *(key for key in new if key not in old)]:
        if key in old and key in new:
            paths += changed_paths(old[key], new[key], (*path, key))
            continue
        paths.append((*path, key))
    return paths
