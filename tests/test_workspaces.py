"""Guard against invalid workspaces that grant access or disable valid ones."""

from typing import Any

import pytest

from reedhook.platform.documents import PlatformDocuments
from reedhook.version.route_table import RouteTable
from reedhook.version.workspace import (
    MAX_KEY_CHARACTERS,
    Workspace,
    Workspaces,
    key_digest,
    sanitize_rate,
)
from reedhook.wire import Json, decode, encode

ROUTE: Json = {
    "host": "db1",
    "kind": "primary",
    "timeout_ms": 800,
    "target_latency_ms": 150,
    "service": "s1",
}
SERVICE: Json = {"name": "s1", "connection_limit": 47}
GOOD: Json = {
    "name": "farm",
    "api_keys": ["key-one", "key-two"],
    "priority": 0,
    "rate_per_s": 15,
    "burst": 20,
}


def configuration(*tenants: Any, **route: Any) -> bytes:
    """Encode a platform configuration with the given workspaces."""
    return encode(
        {
            "version": 3,
            "routes": [{**ROUTE, **route}],
            "services": [SERVICE],
            "tenants": list(tenants),
        }
    )


def read(value: bytes) -> RouteTable:
    """Read a configuration as a host does after fetching it from the store."""
    documents = PlatformDocuments()
    return documents.read_table(documents.without_keys(value))


def test_workspace_is_read_with_digests_of_its_keys() -> None:
    table = read(configuration(GOOD))
    farm = table.workspaces.by_name["farm"]
    assert farm.digests == {key_digest("key-one"), key_digest("key-two")}
    assert (farm.priority, farm.rate, farm.burst) == (0, 15.0, 20.0)
    assert table.workspaces.find_by_digest(key_digest("key-two")) == farm
    assert table.workspaces.find_by_digest(key_digest("key-three")) is None
    assert not table.routes["db1"].public


def test_stored_and_forwarded_documents_contain_no_keys() -> None:
    kept = PlatformDocuments().without_keys(configuration(GOOD))
    assert b"key-one" not in kept
    assert decode(kept)["tenants"][0]["rate_per_s"] == 15
    # A forwarded document is unchanged and gives the same route table.
    assert PlatformDocuments().without_keys(kept) == kept
    assert PlatformDocuments().read_table(kept) == read(configuration(GOOD))


def test_keys_under_an_escaped_field_name_are_removed() -> None:
    value = configuration(GOOD).replace(b'"api_keys"', b'"api\\u005fkeys"')
    assert b"key-one" not in PlatformDocuments().without_keys(value)


@pytest.mark.parametrize("public", [True, False])
def test_route_is_public_as_configured(public: bool) -> None:
    assert read(configuration(GOOD, public=public)).routes["db1"].public is public


def test_routes_are_public_if_no_workspaces_are_configured() -> None:
    message = decode(configuration())
    del message["tenants"]
    assert read(encode(message)).routes["db1"].public
    # With an empty list, no key is valid and routes stay private.
    assert not read(configuration()).routes["db1"].public


@pytest.mark.parametrize(
    ("change", "rate", "burst"),
    [
        ({"rate_per_s": 0}, 0.0, 20.0),
        ({"rate_per_s": -4}, 0.0, 20.0),
        ({"rate_per_s": "many"}, 0.0, 20.0),
        ({"rate_per_s": True}, 0.0, 20.0),
        ({"rate_per_s": None}, None, 20.0),
        ({"burst": -1}, 15.0, 0.0),
        ({"burst": None}, 15.0, 15.0),
    ],
)
def test_invalid_rate_or_burst_admits_nothing(
    change: Json, rate: float | None, burst: float
) -> None:
    found = read(configuration({**GOOD, **change})).workspaces.by_name["farm"]
    assert (found.rate, found.burst) == (rate, burst)


@pytest.mark.parametrize("rate", [float("nan"), float("inf")])
def test_non_finite_rate_admits_nothing(rate: float) -> None:
    assert sanitize_rate(rate) == 0.0


@pytest.mark.parametrize(
    "bad",
    [
        {"name": "", "api_keys": ["key-bad"]},
        {"name": "two words", "api_keys": ["key-bad"]},
        {"name": "bad", "api_keys": []},
        {"name": "bad", "api_keys": "key-bad"},
        {"name": "bad", "api_keys": ["", 7, None, "k" * (MAX_KEY_CHARACTERS + 1)]},
        {"name": "bad"},
        {"api_keys": ["key-bad"]},
        "bad",
        None,
    ],
)
def test_invalid_workspace_does_not_affect_others(bad: Any) -> None:
    table = read(configuration(bad, GOOD))
    assert table.workspaces.find_by_digest(key_digest("key-bad")) is None
    assert table.workspaces.find_by_digest("") is None
    holder = table.workspaces.find_by_digest(key_digest("key-one"))
    assert holder is not None and holder.name == "farm"


def test_key_of_two_workspaces_is_accepted_for_neither() -> None:
    other = {**GOOD, "name": "mill", "api_keys": ["key-two", "key-four"]}
    workspaces = read(configuration(GOOD, other)).workspaces
    assert workspaces.find_by_digest(key_digest("key-two")) is None
    assert workspaces.by_digest[key_digest("key-one")].name == "farm"
    assert workspaces.by_digest[key_digest("key-four")].name == "mill"


def test_keys_of_many_workspaces_are_found() -> None:
    """Guard against lookups that fail with many keys per workspace."""
    many = [
        Workspace(
            f"w{index}",
            frozenset(key_digest(f"k{index}.{key}") for key in range(6)),
            1,
            1.0,
            1.0,
        )
        for index in range(840)
    ]
    huge = frozenset(key_digest(f"h{key}") for key in range(10_000))
    found = Workspaces([*many, Workspace("huge", huge, 1, 1.0, 1.0)])
    assert len(found.by_digest) == 840 * 6 + 10_000
    assert found.find_by_digest(key_digest("k839.5")) == many[839]
    assert found.find_by_digest(key_digest("h9999")) is found.by_name["huge"]
