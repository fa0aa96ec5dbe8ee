"""Guard against invalid configurations being accepted or badly reported."""

import re
from pathlib import Path
from typing import Final

import logbook
import pytest
from hypothesis import given, strategies as st

from reedhook.version.catalog import Limits
from reedhook.version.document import ConfigurationDocuments
from reedhook.version.errors import (
    ConfigurationSyntaxError,
    DuplicateKeyError,
    InvalidConfigurationError,
)
from reedhook.version.validation import validate_documents

EXAMPLES: Final = Path(__file__).parent.parent / "examples"
DIGEST: Final = "0" * 64
BASE: Final = f"""\
services:
  feedlog-db:
    slots: 2
    connections: 15
    groups:
      feedlog-1:
        members:
          feedlog-1-a: {{zone: vittoria, address: "127.0.0.1:17101"}}
          feedlog-1-b: {{zone: comiso, address: "127.0.0.1:17102"}}
workspaces:
  gate: {{services: [feedlog-db], token_sha256: "{DIGEST}", rate: 200}}
limits: {{queue: 64}}
"""
OVERLAYS: Final = {"vittoria": "limits: {queue: 9}\n", "comiso": ""}


def example(name: str) -> ConfigurationDocuments:
    root = EXAMPLES / name
    overlays = {path.stem: path.read_text() for path in root.glob("overlays/*.yaml")}
    return ConfigurationDocuments((root / "base.yaml").read_text(), overlays)


def validation_errors(base: str, overlays: dict[str, str] | None = None) -> list[str]:
    with pytest.raises(InvalidConfigurationError) as refused:
        validate_documents(
            ConfigurationDocuments(base, OVERLAYS if overlays is None else overlays)
        )
    return [str(error) for error in refused.value.exceptions]


@pytest.mark.parametrize(
    ("name", "service", "connections", "sites"),
    [("plant", "feedlog-db", 15, 4), ("danube", "dispatch-core", 35, 3)],
)
def test_examples_are_valid(
    name: str, service: str, connections: int, sites: int
) -> None:
    documents = example(name)
    checked = validate_documents(documents)
    catalogs = [checked.catalog(1, site) for site in documents.overlays]
    assert len(catalogs) == sites
    for catalog in catalogs:
        assert [len(group.members) for group in catalog.groups.values()] == [3, 3, 3]
        for group in catalog.groups.values():
            budget = (group.service, group.slots, group.connections)
            assert budget == (service, 2, connections)
    assert (
        len({repr((catalog.limits, catalog.workspaces)) for catalog in catalogs})
        == sites
    )


def test_examples_on_the_operators_page_are_valid() -> None:
    page = (EXAMPLES.parent / "docs" / "CONFIGURATION.md").read_text()
    base, overlay = re.findall(r"```yaml\n(.*?)```", page, re.DOTALL)
    overlays = {"vittoria": overlay, "comiso": "", "ispica": ""}
    checked = validate_documents(ConfigurationDocuments(base, overlays))
    assert checked.catalog(1, "comiso").limits == Limits()
    assert checked.catalog(1, "vittoria").limits.deadline_ms == 4000
    assert checked.catalog(1, "vittoria").workspaces.by_name["gate"].rate == 400


def test_overlay_changes_only_its_own_site() -> None:
    checked = validate_documents(ConfigurationDocuments(BASE, OVERLAYS))
    assert checked.catalog(3, "vittoria").limits.queue == 9
    assert checked.catalog(3, "comiso").limits.queue == 64
    assert checked.catalog(3, "elsewhere").limits.queue == 64
    assert checked.catalog(3, "vittoria").groups == checked.catalog(3, "comiso").groups


def test_all_errors_are_reported_together_with_file_and_line() -> None:
    base = BASE.replace("slots: 2", "slots: two").replace("queue:", "queues:")
    overlays = {
        "vittoria": "limits:\n  drain_s: -1\n",
        "comiso": "\nworkspaces:\n  mix: {services: []}\n",
    }
    assert validation_errors(base, overlays) == [
        "base.yaml:3: services.feedlog-db.slots: expected integer, found string",
        "base.yaml:12: limits.queues: unknown key",
        "overlays/vittoria.yaml:2: limits.drain_s: must be at least 0",
        "overlays/comiso.yaml:3: workspaces.mix: missing token_sha256",
    ]


def test_errors_of_all_kinds_are_reported_together() -> None:
    base = BASE.replace("17102", "17101").replace("queue:", "queue: &a 6, queues:")
    overlays = {
        "vittoria": "workspaces: {gate: {services: [other]}}\nlimits: {queue: *a}",
        "comiso": "services: {feedlog-db: {slots: 3}}\nlimits: {queue: 1, queue: 2}",
        "Ispica": "",
        "ispica": "workspaces: {gate: {services: [other]}}",
    }
    assert [line.split(": ")[0] for line in validation_errors(base, overlays)] == [
        "overlays/vittoria.yaml:2",
        "overlays/comiso.yaml:2",
        "base.yaml:12",
        "base.yaml:9",
        "overlays/Ispica.yaml",
        "overlays/comiso.yaml:1",
        "overlays/ispica.yaml:1",
    ]


@pytest.mark.parametrize(
    "overlay",
    [
        "services: {feedlog-db: {groups: {feedlog-1: {members: {new: {}}}}}}",
        "services: {feedlog-db: {groups: {feedlog-1: {members:"
        ' {feedlog-1-a: {address: "127.0.0.1:9"}}}}}}',
        "services: {feedlog-db: {groups: {feedlog-1: {members:"
        " {feedlog-1-a: {zone: comiso}}}}}}",
        "services: {feedlog-db: {connections: 16}}",
        "services: {other-db: {slots: 1}}",
        "services: null",
    ],
)
def test_overlay_that_changes_services_is_refused(overlay: str) -> None:
    errors = validation_errors(BASE, {"vittoria": overlay, "comiso": ""})
    assert "all sites must agree" in errors[0]
    assert errors[0].startswith("overlays/vittoria.yaml:1: services")


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ("connections: 15", "connections: 2", "must be at least 3"),
        ("slots: 2", "slots: 16", "must not exceed the connections"),
        ("services: [feedlog-db]", "services: 3", "expected array, found integer"),
        ("zone: comiso", "zone: ispica", "no site 'ispica' has an overlay"),
        ("17102", "17101", "same address as"),
        ("127.0.0.1:17102", "localhost:17102", "expected IP:port"),
        ("127.0.0.1:17102", "127.0.0.1:017102", "expected IP:port"),
        ("127.0.0.1:17102", "127.0.0.1:0", "expected IP:port"),
        ("127.0.0.1:17102", "::1:17102", "expected IP:port"),
        ("[feedlog-db]", "[feedlog]", "there is no service 'feedlog'"),
        (DIGEST, "gate-secret", "expected 64 lower-case hex digits"),
        ("feedlog-1-b:", "feedlog-1-a:", "stated twice; first in line 8"),
        ("rate: 200", "rate: .inf", "a finite number is expected"),
        ("slots: 2", "slots: true", "expected integer, found boolean"),
        ("slots: 2", "slots: !!bool yess", "expected a string, number or boolean"),
        ("queue: 64", "queue: &a 64, drain_s: *a", "aliases are not accepted"),
        ("zone: comiso", "zone: Comiso", "expected a lower-case name"),
        ("queue: 64", "queue: " + "[" * 200 + "]" * 200, "nested deeper than"),
    ],
)
def test_single_error_is_reported_once(old: str, new: str, reason: str) -> None:
    assert BASE.count(old) >= 1
    errors = validation_errors(BASE.replace(old, new))
    assert len(errors) == 1
    assert reason in errors[0]


def test_names_and_addresses_must_be_unique_across_services() -> None:
    other = (
        BASE.split("workspaces:")[0].partition("\n")[2].replace("feedlog-db", "x-db")
    )
    errors = validation_errors(BASE.replace("workspaces:", f"{other}workspaces:"))
    kinds = [line.split(": ")[-1].split(" as ")[0] for line in errors]
    assert sorted(kinds) == ["same address"] * 2 + ["same group"] + ["same member"] * 2


def test_errors_do_not_contain_credentials() -> None:
    errors = validation_errors(BASE.replace(DIGEST, "gate-secret"))
    assert not any("gate-secret" in line for line in errors)


def test_errors_have_specific_types() -> None:
    with_duplicate = BASE.replace("limits:", "workspaces: {}\nlimits:")
    with pytest.raises(ExceptionGroup) as refused:
        validate_documents(
            ConfigurationDocuments(with_duplicate, {"vittoria": "\t", "comiso": ""})
        )
    duplicates, rest = refused.value.split(DuplicateKeyError)
    assert duplicates is not None and rest is not None
    assert [type(error) for error in rest.exceptions] == [ConfigurationSyntaxError]


@given(st.text(max_size=200), st.text(max_size=80))
def test_arbitrary_text_is_refused_with_reasons(base: str, overlay: str) -> None:
    with pytest.raises(InvalidConfigurationError) as refused:
        validate_documents(ConfigurationDocuments(base, {"vittoria": overlay}))
    assert all(str(error) for error in refused.value.exceptions)


def test_shuffled_yaml_lines_are_accepted_or_refused_with_reasons() -> None:
    lines = BASE.splitlines()

    @given(st.lists(st.sampled_from([*lines, "  ? [a]", "x: !!timestamp 1", "<<: {}"])))
    def check_shuffled_lines(chosen: list[str]) -> None:
        try:
            validate_documents(
                ConfigurationDocuments(
                    "\n".join(chosen), {"vittoria": "\n".join(chosen[::-1])}
                )
            )
        except InvalidConfigurationError as refused:
            assert refused.exceptions

    check_shuffled_lines()


def test_former_section_name_teams_is_accepted_with_a_warning() -> None:
    former = BASE.replace("workspaces:", "teams:")
    assert former != BASE
    with logbook.TestHandler() as log_records:
        checked = validate_documents(ConfigurationDocuments(former, OVERLAYS))
    current = validate_documents(ConfigurationDocuments(BASE, OVERLAYS))
    assert checked.catalog(3, "comiso") == current.catalog(3, "comiso")
    assert log_records.has_warning(
        "base.yaml uses teams, which was renamed to workspaces.",
        channel="configuration",
    )


def test_workspaces_under_both_section_names_are_refused() -> None:
    (error,) = validation_errors(BASE + "teams: {}\n")
    assert "stated twice" in error
