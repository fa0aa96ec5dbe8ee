"""Validation of configuration documents for all sites."""

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
    """Hold a configuration that passed validation.

    :param base: the configuration of zones without an overlay.
    :param sites: the merged configuration of each validated site.
    """

    __slots__ = ("base", "sites")

    def __init__(
        self, base: MergedConfiguration, sites: dict[str, MergedConfiguration]
    ) -> None:
        self.base = base
        self.sites = sites

    def catalog(self, version: int, site: str) -> Catalog:
        """Return the typed configuration of `site`."""
        return build_catalog(version, site, self.sites.get(site, self.base).content)


def validate_documents(
    documents: ConfigurationDocuments, only_site: str | None = None
) -> ValidatedConfiguration:
    """Validate the base and the merged configuration of each site.

    :param only_site: validate only this site, as hosts do for an accepted version.
    :raises InvalidConfigurationError: with all errors found.
    """
    faults: list[ConfigurationError] = []
    base = parse_document(BASE_FILE, documents.base, faults)
    overlays = parse_overlays(documents, only_site, faults)
    if not base.readable:
        raise_errors(faults)
    unread = {(fault.location.file, fault.path) for fault in faults}
    base_only = MergedConfiguration(None, base.content, base, None)
    broken = check_schema(base_only, {}, unread, faults)
    if "services" not in broken:
        faults += service_errors(base_only, set(documents.overlays))
    check_workspaces(base_only, broken, faults)
    sites: dict[str, MergedConfiguration] = {}
    for site, overlay in overlays.items():
        merged = sites[site] = merge_site(site, base, overlay)
        faults += overlay_conflicts(base, overlay)
        site_broken = check_schema(merged, base.content, unread, faults)
        check_workspaces(merged, broken | site_broken, faults)
    raise_errors(faults)
    return ValidatedConfiguration(base_only, sites)


def check_schema(
    merged: MergedConfiguration,
    checked: Json,
    unread: set[tuple[str, KeyPath]],
    faults: list[ConfigurationError],
) -> set[str]:
    """Append schema violations to `faults`; return the names of invalid sections.

    Semantic checks must skip invalid sections, since they rely on the schema.

    :param unread: files and paths of values that could not be parsed and are already
        in `faults`.
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
    """Append errors of the workspaces unless a required section is invalid."""
    if broken.isdisjoint(("services", "workspaces")):
        faults += workspace_errors(merged)


def parse_overlays(
    documents: ConfigurationDocuments,
    only: str | None,
    faults: list[ConfigurationError],
) -> dict[str, ParsedDocument]:
    """Parse the overlays to validate; omit unreadable ones."""
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
    """Yield schema violations in sections that differ from `checked`.

    Sections that are equal to those of the base were already checked there.
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
    """Yield an error for each value that an overlay changes in the services.

    Any host may be the home of any target, so all sites must have the same members,
    zones, addresses and limits.
    """
    if "services" not in overlay.content:
        return
    known, stated = base.content.get("services"), overlay.content["services"]
    for path in overridden(known, stated, ("services",)):
        reason = "all sites must agree on the services; change it in the base"
        yield OverlayConflictError(overlay.locate(path), path, reason)


def overridden(base: Any, overlay: Any, path: KeyPath) -> Iterator[KeyPath]:
    """Yield the paths of `overlay` whose values differ from `base`."""
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
    """Yield semantic errors of services, groups and members."""
    owners = UniquenessChecker(base)
    for name, service in base.content["services"].items():
        path: KeyPath = ("services", name)
        if service["slots"] > service["connections"]:
            reason = "must not exceed the connections"
            yield reference_error(base, (*path, "slots"), reason)
        for group, content in service["groups"].items():
            group_path = (*path, "groups", group)
            yield from owners.check_unique("group", group, group_path)
            for member, description in content["members"].items():
                member_path = (*group_path, "members", member)
                yield from owners.check_unique("member", member, member_path)
                yield from member_errors(base, member_path, description, sites, owners)
    yield from site_name_errors(sites)


def member_errors(
    base: MergedConfiguration,
    path: KeyPath,
    member: Json,
    sites: set[str],
    owners: "UniquenessChecker",
) -> Iterator[ConfigurationError]:
    """Yield semantic errors of one member."""
    if sites and member["zone"] not in sites:
        reason = f"no site {member['zone']!r} has an overlay"
        yield reference_error(base, (*path, "zone"), reason)
    address_path = (*path, "address")
    if not is_address(member["address"]):
        reason = "expected IP:port with a number, such as 127.0.0.1:17101"
        yield reference_error(base, address_path, reason)
        return
    yield from owners.check_unique("address", member["address"], address_path)


def site_name_errors(sites: set[str]) -> Iterator[ConfigurationError]:
    """Yield an error for each site with an invalid name."""
    for site in sorted(sites):
        if re.match(NAME_PATTERN, site) is None:
            mark = SourceLocation(overlay_file(site), None)
            yield InvalidReferenceError(mark, (), "the name of the site is invalid")


def workspace_errors(merged: MergedConfiguration) -> Iterator[ConfigurationError]:
    """Yield semantic errors of the workspaces of one site."""
    owners = UniquenessChecker(merged)
    for name, workspace in merged.content["workspaces"].items():
        path: KeyPath = ("workspaces", name)
        for index, service in enumerate(workspace["services"]):
            if service not in merged.content["services"]:
                reason = f"there is no service {service!r}"
                yield reference_error(merged, (*path, "services", str(index)), reason)
        token_path = (*path, "token_sha256")
        yield from owners.check_unique(
            "credential", workspace["token_sha256"], token_path
        )


def reference_error(
    merged: MergedConfiguration, path: KeyPath, reason: str
) -> ConfigurationError:
    """Return an `InvalidReferenceError` at `path`."""
    return InvalidReferenceError(merged.locate(path), path, reason)


def is_address(text: str) -> bool:
    """Return whether `text` is an IP address and a port in canonical form."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdecimal() or len(port) > 5:
        return False
    if str(int(port)) != port or not 1 <= int(port) <= MAX_PORT:
        return False
    try:
        address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    canonical = f"[{address}]" if address.version == 6 else str(address)
    return host == canonical


class UniquenessChecker:
    """Detect duplicate names within a merged configuration."""

    __slots__ = ("merged", "first")

    def __init__(self, merged: MergedConfiguration) -> None:
        self.merged = merged
        self.first: dict[tuple[str, str], KeyPath] = {}

    def check_unique(
        self, kind: str, name: str, path: KeyPath
    ) -> Iterator[ConfigurationError]:
        """Yield an error if another path already uses the name."""
        first = self.first.setdefault((kind, name), path)
        if first != path:
            mark = self.merged.locate(first)
            reason = f"same {kind} as {'.'.join(first)} ({mark})"
            yield reference_error(self.merged, path, reason)


def build_catalog(version: int, site: str, values: Json) -> Catalog:
    """Convert validated values to a catalog."""
    groups = {
        group: build_group(group, name, service)
        for name, service in values["services"].items()
        for group in service["groups"]
    }
    workspaces = Workspaces(
        build_workspace(name, description)
        for name, description in values["workspaces"].items()
    )
    limits = {name: int(value) for name, value in values.get("limits", {}).items()}
    return Catalog(version, site, groups, workspaces, Limits(**limits))


def build_group(group: str, name: str, service: Json) -> Group:
    """Build a group of the service `name`."""
    members = tuple(
        Member(member, description["zone"], description["address"])
        for member, description in service["groups"][group]["members"].items()
    )
    return Group(
        group, name, members, int(service["slots"]), int(service["connections"])
    )


def build_workspace(name: str, workspace: Json) -> Workspace:
    """Build a workspace with its credential as its only key."""
    rate = workspace.get("rate")
    return Workspace(
        name,
        frozenset([workspace["token_sha256"]]),
        int(workspace.get("priority", DEFAULT_PRIORITY)),
        rate,
        rate or 0.0,
        frozenset(workspace["services"]),
    )
