"""Checking an edition: every site's merged result, all faults at once."""

import ipaddress
import re
from collections.abc import Iterator
from typing import Any, Final

from ..record import Record
from ..wire import Json
from .catalog import Catalog, Group, Limits, Member
from .document import (
    BASE_FILE,
    ConfigurationDocuments,
    ParsedDocument,
    overlay_file,
    parse_document,
)
from .errors import (
    ConfigurationError,
    InvalidReferenceError,
    KeyPath,
    OverlayConflictError,
    SchemaViolationError,
    SourceLocation,
    raise_errors,
)
from .merge import MergedConfiguration, merge_site
from .schema import NAME_PATTERN, violations
from .workspace import Workspace, Workspaces

EMPTY_SECTIONS: Final[Json] = {"services": {}, "workspaces": {}, "limits": {}}
DEFAULT_PRIORITY: Final = 1
MAX_PORT: Final = 65535


class ValidatedConfiguration(Record):
    """Carry an edition that passed all checks.

    :param base: what holds at a zone without an overlay.
    :param sites: what holds at each site that was checked.
    """

    __slots__ = ("base", "sites")

    def __init__(
        self, base: MergedConfiguration, sites: dict[str, MergedConfiguration]
    ) -> None:
        self.base = base
        self.sites = sites

    def catalog(self, version: int, site: str) -> Catalog:
        """Return the configuration of `site` as typed objects."""
        return build_catalog(version, site, self.sites.get(site, self.base).content)


def validate_documents(
    documents: ConfigurationDocuments, only_site: str | None = None
) -> ValidatedConfiguration:
    """Check the base and the merged result of each site.

    :param only_site: check this site alone, as a host does with an edition that was
        accepted earlier.
    :raises InvalidConfiguration: with every fault found.
    """
    faults: list[ConfigurationError] = []
    base = parse_document(BASE_FILE, documents.base, faults)
    overlays = parse_overlays(documents, only_site, faults)
    if not base.readable:
        raise_errors(faults)
    unread = {(fault.location.file, fault.path) for fault in faults}
    alone = MergedConfiguration(None, base.content, base, None)
    broken = check_schema(alone, {}, unread, faults)
    if "services" not in broken:
        faults += service_errors(alone, set(documents.overlays))
    check_workspaces(alone, broken, faults)
    sites: dict[str, MergedConfiguration] = {}
    for site, overlay in overlays.items():
        merged = sites[site] = merge_site(site, base, overlay)
        faults += overlay_conflicts(base, overlay)
        broken_here = check_schema(merged, base.content, unread, faults)
        check_workspaces(merged, broken | broken_here, faults)
    raise_errors(faults)
    return ValidatedConfiguration(alone, sites)


def check_schema(
    merged: MergedConfiguration,
    checked: Json,
    unread: set[tuple[str, KeyPath]],
    faults: list[ConfigurationError],
) -> set[str]:
    """Append what breaks the schema; return the sections that are not sound.

    The checks of meaning read sections by the shape that the schema ensures.

    :param unread: files and paths of values that could not be read as plain
        YAML and were told already.
    """
    broken = {path[0] for file, path in unread if path and file in merged.files}
    for fault in schema_errors(merged, checked):
        broken.update(fault.path[:1] or EMPTY_SECTIONS)
        if (fault.location.file, fault.path) not in unread:
            faults.append(fault)
    return broken


def check_workspaces(
    merged: MergedConfiguration, broken: set[str], faults: list[ConfigurationError]
) -> None:
    """Append what is wrong with the workspaces, if they and the services are sound."""
    if broken.isdisjoint(("services", "workspaces")):
        faults += workspace_errors(merged)


def parse_overlays(
    documents: ConfigurationDocuments,
    only: str | None,
    faults: list[ConfigurationError],
) -> dict[str, ParsedDocument]:
    """Return the overlays that are to be checked and can be read."""
    overlays: dict[str, ParsedDocument] = {}
    for site, text in documents.overlays.items():
        if only not in (None, site):
            continue
        overlay = parse_document(overlay_file(site), text, faults)
        if overlay.readable:
            overlays[site] = overlay
    return overlays


def schema_errors(
    merged: MergedConfiguration, checked: Json
) -> Iterator[ConfigurationError]:
    """Yield what breaks the schema in sections that differ from `checked`.

    Sections that a site shares with the base are checked once, there.
    """
    values = dict(merged.content)
    for section, empty in EMPTY_SECTIONS.items():
        if section in checked and values[section] == checked[section]:
            values[section] = empty
    for path, reason in violations(values):
        yield SchemaViolationError(merged.locate(path), path, reason)


def overlay_conflicts(
    base: ParsedDocument, overlay: ParsedDocument
) -> Iterator[ConfigurationError]:
    """Yield what an overlay changes in the services.

    Any host may be home of any target, so that all sites must agree on the
    members of each group, their places and their budgets.
    """
    if "services" not in overlay.content:
        return
    known, stated = base.content.get("services"), overlay.content["services"]
    for path in overridden(known, stated, ("services",)):
        reason = "all sites must agree on the services; change it in the base"
        yield OverlayConflictError(overlay.locate(path), path, reason)


def overridden(base: Any, overlay: Any, path: KeyPath) -> Iterator[KeyPath]:
    """Yield the paths whose value in `overlay` is not that of `base`."""
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        if base != overlay:
            yield path
        return
    for key, value in overlay.items():
        if key not in base:
            yield (*path, key)
            continue
        yield from overridden(base[key], value, (*path, key))


def service_errors(
    base: MergedConfiguration, sites: set[str]
) -> Iterator[ConfigurationError]:
    """Yield what is wrong between services, groups and members."""
    owners = UniquenessChecker(base)
    for name, service in base.content["services"].items():
        path: KeyPath = ("services", name)
        if service["slots"] > service["connections"]:
            reason = "must not exceed the connections"
            yield reference_error(base, (*path, "slots"), reason)
        for group, content in service["groups"].items():
            place = (*path, "groups", group)
            yield from owners.check_unique("group", group, place)
            for member, one in content["members"].items():
                where = (*place, "members", member)
                yield from owners.check_unique("member", member, where)
                yield from member_errors(base, where, one, sites, owners)
    yield from site_name_errors(sites)


def member_errors(
    base: MergedConfiguration,
    path: KeyPath,
    member: Json,
    sites: set[str],
    owners: "UniquenessChecker",
) -> Iterator[ConfigurationError]:
    """Yield what is wrong with one member."""
    if sites and member["zone"] not in sites:
        reason = f"no site {member['zone']!r} has an overlay"
        yield reference_error(base, (*path, "zone"), reason)
    place = (*path, "address")
    if not is_address(member["address"]):
        reason = "expected IP:port with a number, such as 127.0.0.1:17101"
        yield reference_error(base, place, reason)
        return
    yield from owners.check_unique("address", member["address"], place)


def site_name_errors(sites: set[str]) -> Iterator[ConfigurationError]:
    """Yield the sites whose name is not a name."""
    for site in sorted(sites):
        if re.match(NAME_PATTERN, site) is None:
            mark = SourceLocation(overlay_file(site), None)
            yield InvalidReferenceError(mark, (), "the site's name is not a name")


def workspace_errors(merged: MergedConfiguration) -> Iterator[ConfigurationError]:
    """Yield what is wrong with the workspaces of one site."""
    owners = UniquenessChecker(merged)
    for name, workspace in merged.content["workspaces"].items():
        path: KeyPath = ("workspaces", name)
        for index, service in enumerate(workspace["services"]):
            if service not in merged.content["services"]:
                reason = f"there is no service {service!r}"
                yield reference_error(merged, (*path, "services", str(index)), reason)
        place = (*path, "token_sha256")
        yield from owners.check_unique("credential", workspace["token_sha256"], place)


def reference_error(
    merged: MergedConfiguration, path: KeyPath, reason: str
) -> ConfigurationError:
    """Return a fault of reference at `path`."""
    return InvalidReferenceError(merged.locate(path), path, reason)


def is_address(text: str) -> bool:
    """Say whether `text` is an IP number and a port, in their shortest form."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdecimal() or len(port) > 5:
        return False
    if str(int(port)) != port or not 1 <= int(port) <= MAX_PORT:
        return False
    try:
        number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    written = f"[{number}]" if number.version == 6 else str(number)
    return host == written


class UniquenessChecker:
    """Find names that two things share."""

    __slots__ = ("merged", "first")

    def __init__(self, merged: MergedConfiguration) -> None:
        self.merged = merged
        self.first: dict[tuple[str, str], KeyPath] = {}

    def check_unique(
        self, kind: str, name: str, path: KeyPath
    ) -> Iterator[ConfigurationError]:
        """Yield a fault if another path claimed the name before."""
        first = self.first.setdefault((kind, name), path)
        if first != path:
            mark = self.merged.locate(first)
            reason = f"same {kind} as {'.'.join(first)} ({mark})"
            yield reference_error(self.merged, path, reason)


def build_catalog(version: int, site: str, values: Json) -> Catalog:
    """Return checked values as typed objects."""
    groups = {
        group: build_group(group, name, service)
        for name, service in values["services"].items()
        for group in service["groups"]
    }
    workspaces = Workspaces(
        build_workspace(name, one) for name, one in values["workspaces"].items()
    )
    limits = {name: int(value) for name, value in values.get("limits", {}).items()}
    return Catalog(version, site, groups, workspaces, Limits(**limits))


def build_group(group: str, name: str, service: Json) -> Group:
    """Return a group of the service `name`."""
    members = tuple(
        Member(member, one["zone"], one["address"])
        for member, one in service["groups"][group]["members"].items()
    )
    return Group(
        group, name, members, int(service["slots"]), int(service["connections"])
    )


def build_workspace(name: str, workspace: Json) -> Workspace:
    """Return a workspace; it has one key, its credential."""
    rate = workspace.get("rate")
    return Workspace(
        name,
        frozenset([workspace["token_sha256"]]),
        int(workspace.get("priority", DEFAULT_PRIORITY)),
        rate,
        rate or 0.0,
        frozenset(workspace["services"]),
    )
