"""Merging of the base file with the overlay of a site."""

from typing import Any

from ..record import Record
from ..wire import Json
from .document import ParsedDocument
from .errors import KeyPath, SourceLocation


class MergedConfiguration(Record):
    """Hold the merged values of one site and their source documents.

    :param site: the availability zone; None for the base without an overlay.
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
        """Return the names of the merged documents."""
        overlay = () if self.overlay is None else (self.overlay.file,)
        return (self.base.file, *overlay)

    def locate(self, path: KeyPath) -> SourceLocation:
        """Return the location of `path` or of its nearest enclosing value."""
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
    """Return the merged configuration of `site`."""
    return MergedConfiguration(
        site, merge(base.content, overlay.content), base, overlay
    )


def merge(base: Any, overlay: Any) -> Any:
    """Merge recursively: mappings by key; other values are replaced.

    Unchanged parts are shared with `base`, not copied.
    """
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    merged = dict(base)
    for key, value in overlay.items():
        merged[key] = merge(base[key], value) if key in base else value
    return merged


def changed_paths(old: Any, new: Any, path: KeyPath = ()) -> list[KeyPath]:
    """Return the most specific paths at which two documents differ."""
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
