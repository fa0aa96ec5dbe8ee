"""Tests of the administration API over HTTP, with fake hosts."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp.test_utils import TestClient, TestServer
from hypothesis import given, settings, strategies as st
from syrupy.assertion import SnapshotAssertion

from reedhook.process.administration.admin import Admin, admin_app
from reedhook.process.administration.admin_fleet import MAX_EVENTS
from reedhook.process.administration.admin_operator import OperatorAuthenticator
from reedhook.process.events.timeline import EventKind
from reedhook.wire import Json

from .admin_fakes import DIGESTS, HEADERS, FakeNetwork
from .support import run

LIMIT = 4096
PATHS = ["status", "metrics", "hosts", "groups", "events", "drain"]


def run_with_client(
    network: FakeNetwork, steps: Callable[[Any], Awaitable[Any]]
) -> Any:
    """Run `steps` with an HTTP client of the first host of `network`."""

    async def main() -> Any:
        source = network.sources["vittoria-1"]
        admin = Admin(source, network.fleet(), OperatorAuthenticator(DIGESTS), LIMIT)
        server = TestServer(admin_app(admin, []), host="127.0.0.1")
        async with TestClient(server) as client:
            return await steps(client)

    return run(main())


def get(network: FakeNetwork, path: str, headers: Any = HEADERS) -> tuple[int, Json]:
    """Send a GET request; return status and body."""

    async def steps(client: Any) -> tuple[int, Json]:
        async with client.get(path, headers=headers) as response:
            return response.status, await response.json()

    found: tuple[int, Json] = run_with_client(network, steps)
    return found


def post(
    network: FakeNetwork, path: str, data: bytes, headers: Any = HEADERS
) -> tuple[int, Json]:
    """Send a POST request; return status and body."""

    async def steps(client: Any) -> tuple[int, Json]:
        async with client.post(path, data=data, headers=headers) as response:
            return response.status, await response.json()

    found: tuple[int, Json] = run_with_client(network, steps)
    return found


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Authorization": "Bearer wrong"},
        {"Authorization": "Basic YW5uYTph"},
        {"Authorization": "Bearer "},
    ],
)
def test_requests_without_an_operator_credential_are_rejected(
    headers: dict[str, str],
) -> None:
    network = FakeNetwork()
    for path in PATHS:
        status, body = get(network, f"/admin/{path}", headers)
        assert (status, body["reason"]) == (401, "unauthenticated")
    assert post(network, "/admin/drain", b"{}", headers)[0] == 401
    assert not network.sources["vittoria-1"].draining


def test_status_hosts_and_groups(snapshot: SnapshotAssertion) -> None:
    network = FakeNetwork()
    for path in ("status", "hosts", "groups", "groups?group=feedlog-1", "metrics"):
        assert get(network, f"/admin/{path}") == snapshot(name=path)


def test_groups_are_refused_without_a_configuration() -> None:
    network = FakeNetwork()
    network.sources["vittoria-1"].known = None
    status, body = get(network, "/admin/groups")
    assert (status, body["reason"]) == (503, "no_configuration")


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("groups?group=absent", 404),
        ("groups?gruop=feedlog-1", 400),
        ("events?kind=odd", 400),
        ("events?since=yesterday", 400),
        ("events?since=-1", 400),
        ("absent", 404),
        ("drain", 405),
    ],
)
def test_invalid_requests_get_typed_errors(path: str, status: int) -> None:
    found, body = get(FakeNetwork(), f"/admin/{path}")
    assert found == status
    assert body["verdict"] == "not run"
    assert body["detail"]


def test_drain_reaches_this_host_or_the_named_host() -> None:
    network = FakeNetwork()
    assert post(network, "/admin/drain", b"")[0] == 202
    assert network.sources["vittoria-1"].draining
    status, body = post(network, "/admin/drain", b'{"host": "vittoria-3"}')
    assert (status, body["host"]) == (202, "vittoria-3")
    draining_hosts = [one.me.host for one in network.sources.values() if one.draining]
    assert draining_hosts == ["vittoria-1", "vittoria-3"]


def test_unanswered_drain_is_reported_as_may_have_run() -> None:
    network = FakeNetwork()
    network.cut.add("vittoria-2")
    status, body = post(network, "/admin/drain", b'{"host": "vittoria-2"}')
    assert (status, body["verdict"]) == (503, "may have run")
    assert body["retry_after_ms"] > 0


@pytest.mark.parametrize(
    "data", [b"[]", b"{", b'{"host": 4}', b'{"host": "absent"}', b'{"hots": "a"}']
)
def test_malformed_drain_has_no_effect(data: bytes) -> None:
    network = FakeNetwork()
    status, body = post(network, "/admin/drain", data)
    assert (status, body["verdict"]) == (400, "not run")
    assert not any(one.draining for one in network.sources.values())


def test_body_above_the_limit_is_refused() -> None:
    status, body = post(FakeNetwork(), "/admin/drain", b" " * (LIMIT + 1))
    assert (status, body["reason"]) == (413, "too_large")


def test_events_of_all_hosts_are_merged_and_missing_hosts_listed() -> None:
    network = FakeNetwork(4)
    for number in (3, 1, 2):
        source = network.sources[f"vittoria-{number}"]
        source.clock.now += number
        source.timeline.record(EventKind.STORE, "store")
        source.timeline.record(EventKind.PRIMARY_SUSPECTED, "feedlog-1")
        source.timeline.record(EventKind.CONNECTION_SILENT, "feedlog-1-b")
    network.cut.add("vittoria-2")
    network.malformed.add("vittoria-4")
    _, body = get(network, "/admin/events?all=1&group=feedlog-1")
    hosts = [one["host"] for one in body["events"]]
    assert hosts == ["vittoria-1"] * 2 + ["vittoria-3"] * 2
    assert body["missing"]["vittoria-2"] == "no answer in time"
    assert "malformed" in body["missing"]["vittoria-4"]
    _, body = get(network, "/admin/events?kind=store,drain")
    assert [(one["host"], one["kind"]) for one in body["events"]] == [
        ("vittoria-1", "store")
    ]
    _, body = get(network, "/admin/events?all=1&host=vittoria-3&kind=store")
    assert [one["host"] for one in body["events"]] == ["vittoria-3"]
    assert body["missing"] == {}


def test_hosts_with_truncated_events_are_listed() -> None:
    network = FakeNetwork()
    for number, count in ((1, MAX_EVENTS), (2, MAX_EVENTS + 1)):
        timeline = network.sources[f"vittoria-{number}"].timeline
        for index in range(count):
            timeline.record(EventKind.STORE, str(index))
    _, body = get(network, "/admin/events?all=1")
    assert body["cut"] == ["vittoria-2"]
    assert len(body["events"]) == 2 * MAX_EVENTS
    assert "0" not in {
        one["subject"] for one in body["events"] if one["host"] == "vittoria-2"
    }


def test_concurrent_host_queries_are_bounded() -> None:
    network = FakeNetwork(100)
    statuses, missing = run(network.fleet().statuses())
    assert len(statuses) == 100
    assert missing == {}
    assert 1 < network.most <= 32


@settings(max_examples=30)
@given(
    path=st.sampled_from(PATHS),
    method=st.sampled_from(["GET", "POST", "PUT", "DELETE"]),
    query=st.dictionaries(st.text(max_size=8), st.text(max_size=8), max_size=3),
    data=st.binary(max_size=64),
)
def test_no_request_causes_an_internal_error(
    path: str, method: str, query: dict[str, str], data: bytes
) -> None:
    async def steps(client: Any) -> tuple[int, Json]:
        url = f"/admin/{path}"
        async with client.request(
            method, url, params=query, data=data, headers=HEADERS
        ) as response:
            return response.status, await response.json()

    status, body = run_with_client(FakeNetwork(1), steps)
    assert status < 500
    assert status < 300 or body["verdict"] == "not run"
