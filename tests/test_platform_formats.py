"""Tests of the parsers of the platform's lines, statements, documents and settings."""

import contextlib

import orjson
import pytest
from hypothesis import given, strategies as st

from reedhook.platform.documents import PlatformDocuments
from reedhook.platform.line import MAX_LINE_BYTES, LineError, LineReader, encode_line
from reedhook.platform.settings import SettingsFileError, read, settings_path
from reedhook.platform.text import (
    after,
    read_command,
    read_position,
    write_position,
)
from reedhook.process.rates.rate_tolerance import DEFAULT_TOLERANCE, RateTolerance
from reedhook.request.position import Position
from reedhook.request.session_command import SessionCommandKind
from reedhook.version.route_table import RouteConsistency, TargetAnnouncement
from reedhook.wire import WireError, encode

ANNOUNCEMENT: dict[str, object] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "vittoria",
    "state": "draining",
    "database_role": "primary",
    "born": 1_764_720_000_000,
    "slots": 3,
    "sequence": 4,
}

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"]), max_size=8),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(
            [*ANNOUNCEMENT, "version", "routes", "services", "limits", "name"]
        ),
        inner,
        max_size=6,
    ),
    max_leaves=12,
)


def read_announcement(**fields: object) -> TargetAnnouncement:
    """Parse a target announcement with `fields`."""
    return PlatformDocuments().read_target("servers/i-7f3a", orjson.dumps(fields))


LINES = st.lists(
    st.text(st.characters(max_codepoint=255, exclude_characters="\r\n\0"), max_size=30),
    max_size=8,
)

SETTINGS = """
# written by the platform
node_name=front-vittoria-1
ip=10.1.0.8
zone=vittoria
listen.front=10.1.0.8:8784
listen.ready=10.1.0.8:8785
internal_ports=7440,7455
platform.address=10.200.1.7:8783
cloud.address=10.200.0.160:8783
bounds.grace_s=6
something.new=1
"""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "lepu270",
            "prefix": "/",
            "kind": "bounded_staleness",
            "timeout_ms": 1200,
            "target_latency_ms": 300,
            "priority": 2,
            "service": "huvo11a",
            "max_staleness_ms": 1500,
        },
        {
            "name": "n",
            "host": "new",
            "kind": "of a later day",
            "timeout_ms": 1,
            "target_latency_ms": 1,
            "service": "huvo11a",
        },
    ],
    "services": [
        {"name": "huvo11a", "connection_limit": 16},
        {"name": "huvo11b", "sync_replicas": 1},
    ],
    "limits": {"transaction_idle_ms": 3000, "header_timeout_ms": 2000},
}


@given(LINES, st.lists(st.integers(1, 40), min_size=1))
def test_lines_do_not_depend_on_how_the_stream_is_split(
    lines: list[str], cuts: list[int]
) -> None:
    data = b"".join(encode_line(line) for line in lines)
    reader = LineReader()
    found: list[str] = []
    start = 0
    index = 0
    while start < len(data):
        size = cuts[index % len(cuts)]
        found += reader.feed(data[start : start + size])
        start += size
        index += 1
    assert found == lines


@given(st.binary(max_size=200))
def test_line_reader_raises_only_line_errors(data: bytes) -> None:
    reader = LineReader()
    try:
        for line in reader.feed(data):
            assert not set(line) & {"\r", "\n", "\0"}
    except LineError:
        return


@pytest.mark.parametrize(
    "data",
    [
        b"READ a\nREAD b\r\n",
        b"READ \0\r\n",
        b"READ a\rb\r\n",
        b"x" * (MAX_LINE_BYTES + 3),
    ],
    ids=["bare line feed", "nul", "bare carriage return", "too long"],
)
def test_lines_with_control_characters_or_excess_length_are_refused(
    data: bytes,
) -> None:
    with pytest.raises(LineError):
        list(LineReader().feed(data))


def test_line_of_maximum_length_is_read() -> None:
    line = "x" * (MAX_LINE_BYTES - 2)
    assert list(LineReader().feed(encode_line(line))) == [line]


@pytest.mark.parametrize(
    "text, kind, name, writes",
    [
        ("BEGIN", SessionCommandKind.BEGIN, "", False),
        ("BEGIN READ", SessionCommandKind.BEGIN_READ, "", False),
        ("COMMIT", SessionCommandKind.COMMIT, "", False),
        ("ROLLBACK", SessionCommandKind.ROLLBACK, "", False),
        ("READ 1a4", SessionCommandKind.READ, "", False),
        ("WRITE 1a4 some data", SessionCommandKind.WRITE, "", False),
        ("SET name value", SessionCommandKind.SET, "name", False),
        ("PREPARE s1 WRITE q2c", SessionCommandKind.PREPARE, "s1", True),
        ("PREPARE s1 READ q2c", SessionCommandKind.PREPARE, "s1", False),
        ("EXECUTE s1 1a4 xkqp", SessionCommandKind.EXECUTE, "s1", False),
        ("DEALLOCATE s1", SessionCommandKind.DEALLOCATE, "s1", False),
    ],
)
def test_statements_are_parsed(
    text: str, kind: SessionCommandKind, name: str, writes: bool
) -> None:
    command = read_command(text)
    assert (command.kind, command.name, command.writes) == (kind, name, writes)
    assert command.text == text


@pytest.mark.parametrize(
    "text",
    ["", "READ", "READ  a", "AFTER 3.1 READ a", "STATUS", "DEMOTE 4", "begin", "RESET"],
)
def test_statements_not_allowed_to_callers_are_malformed(text: str) -> None:
    assert read_command(text).kind is SessionCommandKind.MALFORMED


@given(st.text(max_size=40))
def test_statement_parser_accepts_any_text(text: str) -> None:
    assert read_command(text).text == text


def test_positions_are_parsed_and_formatted() -> None:
    assert read_position("3.1207") == Position(3, 1207)
    assert read_position("-") is None
    assert write_position(None) == "-"
    assert after(Position(3, 9), "READ a") == "AFTER 3.9 READ a"


def test_configuration_is_parsed_and_routes_of_unknown_kind_skipped() -> None:
    table = PlatformDocuments().read_table(encode(CONFIGURATION))
    assert table.version == 7
    assert set(table.routes) == {"lepu270"}
    route = table.routes["lepu270"]
    assert route.kind is RouteConsistency.BOUNDED
    assert (route.statement_timeout_seconds, route.max_age) == (1.2, 1.5)
    assert table.services["huvo11a"].connections == 16
    sync_replicas = [table.services[name].sync_replicas for name in table.services]
    assert sync_replicas == [0, 1]
    assert (table.transaction_idle, table.start_timeout) == (3.0, 2.0)


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version": 1}', b"\xff"])
def test_malformed_configuration_is_refused(value: bytes) -> None:
    with pytest.raises(WireError):
        PlatformDocuments().read_table(value)


def test_announcement_is_parsed() -> None:
    entry = read_announcement(**ANNOUNCEMENT)
    assert entry.target == "i-7f3a"
    assert entry.leaving and entry.claims_primary
    assert (entry.started_at_ms, entry.sequence) == (1_764_720_000_000, 4)


def test_announcement_without_start_time_is_parsed() -> None:
    entry = read_announcement(
        **{name: ANNOUNCEMENT[name] for name in ANNOUNCEMENT if name != "born"}
    )
    assert entry.started_at_ms == 0


@pytest.mark.parametrize("name", [name for name in ANNOUNCEMENT if name != "born"])
def test_announcement_without_a_required_field_is_refused(name: str) -> None:
    with pytest.raises(WireError):
        read_announcement(
            **{one: ANNOUNCEMENT[one] for one in ANNOUNCEMENT if one != name}
        )


@pytest.mark.parametrize("name", list(ANNOUNCEMENT))
@pytest.mark.parametrize(
    "value", [None, True, False, -1, 1.5, "", "a b", "a\r\nb", [], {}, ["ready"], "é"]
)
def test_announcement_with_an_invalid_field_is_refused(
    name: str, value: object
) -> None:
    with pytest.raises(WireError):
        read_announcement(**{**ANNOUNCEMENT, name: value})


@pytest.mark.parametrize("key", ["servers/", "servers/a b", "servers/a\r\nb", "op/x"])
def test_invalid_key_of_an_announcement_is_refused(key: str) -> None:
    with pytest.raises(WireError):
        PlatformDocuments().read_target(key, encode(ANNOUNCEMENT))


@given(st.binary(max_size=300) | JSON.map(orjson.dumps))
def test_parsers_of_store_values_raise_only_wire_errors(value: bytes) -> None:
    with contextlib.suppress(WireError):
        PlatformDocuments().read_table(value)
    with contextlib.suppress(WireError):
        PlatformDocuments().read_target("servers/a", value)


@given(st.sampled_from(list(CONFIGURATION)), JSON)
def test_configuration_parser_raises_only_wire_errors(name: str, value: object) -> None:
    with contextlib.suppress(WireError):
        PlatformDocuments().read_table(orjson.dumps({**CONFIGURATION, name: value}))


@given(JSON, st.sampled_from(["name", "api_keys", "rate_per_s", "burst", "priority"]))
def test_workspace_parser_raises_only_wire_errors(value: object, name: str) -> None:
    good = {"name": "farm", "api_keys": ["key"], "rate_per_s": 5, "burst": 5}
    documents = PlatformDocuments()
    for tenants in (value, [value, good], [{**good, name: value}]):
        whole = orjson.dumps({**CONFIGURATION, "tenants": tenants})
        with contextlib.suppress(WireError):
            documents.read_table(documents.without_keys(whole))


def test_revocation_and_rate_bounds_are_parsed() -> None:
    settings = read(SETTINGS)
    assert settings.revoke is None
    assert settings.rates == DEFAULT_TOLERANCE
    bounds = (
        "bounds.strict_revoke=true\nbounds.revoke_ms=4000\n"
        "bounds.quota_window_s=10\nbounds.quota_overshoot=0.2\nbounds.quota_slack=5\n"
    )
    settings = read(SETTINGS + bounds)
    assert settings.revoke == 4.0
    assert settings.rates == RateTolerance(10.0, 0.2, 5.0)
    assert read(SETTINGS + bounds.replace("true", "false")).revoke is None


@pytest.mark.parametrize(
    "line, enabled",
    [
        ("", False),
        ("contracts=health\n", False),
        ("contracts=health, pressure\n", True),
        ("contracts=pressures\n", False),
    ],
)
def test_overload_control_follows_the_contracts(line: str, enabled: bool) -> None:
    """A deployment that does not list the word must be served as before."""
    assert read(SETTINGS + line).overload_control is enabled


def test_settings_are_parsed_and_unknown_fields_ignored() -> None:
    settings = read(SETTINGS)
    assert settings.host == "front-vittoria-1"
    assert settings.peer_listen == "10.1.0.8:7440"
    assert settings.metrics_listen == "10.1.0.8:7455"
    assert settings.grace == 6.0


def test_outlier_detection_is_off_unless_a_contract_asks_for_it() -> None:
    assert not read(SETTINGS).target_outlier_detection
    assert not read(SETTINGS + "contracts=\n").target_outlier_detection
    assert not read(SETTINGS + "contracts=healthy,x\n").target_outlier_detection
    assert read(SETTINGS + "contracts=x, health\n").target_outlier_detection


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("zone=vittoria", "zone=", "line 5: zone is empty"),
        ("zone=vittoria", "", "the field zone is missing"),
        ("zone=vittoria", "zone", "line 5: expected name=value"),
        ("listen.front=10.1.0.8:8784", "listen.front=x:1", "line 6: listen.front: "),
        ("=7440,7455", "=7455,7440", "line 8: internal_ports must be two ports"),
        ("grace_s=6", "grace_s=soon", "line 11: bounds.grace_s must be a number"),
        (
            "grace_s=6",
            "grace_s=6\nbounds.strict_revoke=true",
            "the field bounds.revoke_ms is missing",
        ),
    ],
)
def test_invalid_settings_are_reported_with_their_line(
    old: str, new: str, message: str
) -> None:
    with pytest.raises(SettingsFileError, match=message.replace(".", r"\.")):
        read(SETTINGS.replace(old, new))


def test_settings_path_comes_from_command_line_or_environment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delenv("REEDHOOK_SETTINGS", raising=False)
    with pytest.raises(SettingsFileError):
        settings_path(None)
    monkeypatch.setenv("REEDHOOK_SETTINGS", "/x/settings.conf")
    assert str(settings_path(None)) == "/x/settings.conf"
    assert str(settings_path("/y")) == "/y"
