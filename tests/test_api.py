"""HTTP interface for callers: wrong responses, refusals or effects of requests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from hashlib import sha256
from typing import Any, Final

import pytest
from aiohttp import ClientResponse, ClientSession
from aiohttp.test_utils import RawTestServer, TestClient
from aiohttp.web import BaseRequest

from reedhook.clock import SystemClock
from reedhook.metrics import MemoryMetrics
from reedhook.process.network.limits import ServerLimits
from reedhook.process.network.server import HandlerServer
from reedhook.request.api import Api
from reedhook.request.endpoint import CallerEndpoint
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalReason, may_have_run, not_run
from reedhook.request.statement import StatementKind
from reedhook.version.catalog import Catalog

from .fakes_peers import FakeNetwork
from .fakes_request import (
    CREDENTIAL,
    EntryHost,
    FakeDirectory,
    FakeGroup,
    join_hosts,
    make_catalog,
    make_group,
    make_workspace,
)
from .support import on_loop, run, using

Caller = TestClient[BaseRequest, None]

OTHER_CREDENTIAL: Final = "desk-credential"
READ: Final = {"group": "g1", "sql": "select 1"}


class Bench:
    """Set up an API whose three homes share one model of a group.

    :ivar caller: a client of the API while it is served.
    """

    caller: Caller

    def __init__(self, seed: int = 1) -> None:
        digest = sha256(CREDENTIAL.encode()).hexdigest()
        other = sha256(OTHER_CREDENTIAL.encode()).hexdigest()
        services = frozenset({"feedlog-db"})
        self.group = make_group()
        self.catalog: Catalog | None = make_catalog(
            [self.group, make_group("d1", "dispatch-core")],
            [
                make_workspace("gate", digest, services),
                make_workspace("desk", other, services, rate=2.0),
            ],
        )
        self.clock = SystemClock()
        self.model = FakeGroup(self.group, lag=0.001)
        network = FakeNetwork(delay=0.0)
        hosts = join_hosts(network, self.model)
        me = hosts[0]
        self.directory = FakeDirectory(me, hosts)
        entry = EntryHost(
            network,
            self.directory,
            lambda: self.catalog,
            self.model,
            self.clock,
            seed,
        )
        self.router = entry.router
        self.api = Api(
            me,
            lambda: self.catalog,
            entry.router,
            entry.dispatch,
            (b"a secret of the cluster",),
            self.clock,
            entry.metrics,
        )

    def server(self) -> RawTestServer:
        """Return a server of the API that is not started."""
        handle = CallerEndpoint(self.api).handle
        return RawTestServer(handle, host="127.0.0.1", port=0)

    def request_id(self, ahead: float = 0.0) -> str:
        """Return a request id issued `ahead` seconds from now."""
        return f"{int((self.clock.wall() + ahead) * 1000)}-ticket-0001"


@asynccontextmanager
async def serving() -> AsyncIterator[Bench]:
    """Serve an API on a loopback port."""
    bench = Bench()
    server = bench.server()
    async with TestClient(server) as bench.caller:
        yield bench
    await bench.router.views.close()


async def post(
    caller: Caller, path: str, body: Any, credential: str | None = CREDENTIAL
) -> tuple[int, dict[str, Any]]:
    """Send a request; return the status and the decoded response."""
    headers = {"Authorization": f"Bearer {credential}"} if credential else {}
    async with caller.post(path, json=body, headers=headers) as response:
        return response.status, await decoded(response)


async def decoded(response: ClientResponse) -> dict[str, Any]:
    """Return the JSON object of a response."""
    message: dict[str, Any] = await response.json()
    return message


@using(serving)
async def test_session_read_covers_its_own_write(bench: Bench) -> None:
    write = {
        "group": "g1",
        "sql": "insert into t values (?)",
        "params": [1],
        "request_id": bench.request_id(),
    }
    status, write_response = await post(bench.caller, "/v1/write", write)
    assert (status, write_response["verdict"]) == (200, "done")
    assert write_response["role"] == "primary" and write_response["host"] == "h1"
    read = {**READ, "token": write_response["token"]}
    status, read_response = await post(bench.caller, "/v1/read", read)
    assert status == 200
    assert read_response["position"] >= write_response["position"]


@using(serving)
async def test_repeated_request_id_returns_first_result(bench: Bench) -> None:
    write = {"group": "g1", "sql": "pay", "request_id": bench.request_id()}
    _, first = await post(bench.caller, "/v1/write", write)
    _, second = await post(bench.caller, "/v1/write", write)
    assert second["position"] == first["position"]
    assert second["repeated"] and not first["repeated"]
    assert len(bench.model.log) == 1


@using(serving)
async def test_request_ids_are_scoped_to_workspace(bench: Bench) -> None:
    write = {"group": "g1", "sql": "pay", "request_id": bench.request_id()}
    await post(bench.caller, "/v1/write", write)
    await post(bench.caller, "/v1/write", write, OTHER_CREDENTIAL)
    assert len(bench.model.log) == 2


INVALID_REQUESTS: Final[list[tuple[str, Any, int, str, str]]] = [
    ("/v1/read", {**READ, "group": "d1"}, 403, "forbidden", "dispatch-core"),
    ("/v1/read", {**READ, "group": "g9"}, 404, "unknown_group", "g9"),
    ("/v1/read", {"sql": "x"}, 400, "bad_request", "service with key"),
    ("/v1/read", {"group": "g1"}, 400, "bad_request", "sql is missing"),
    ("/v1/read", {**READ, "colour": 1}, 400, "bad_request", "'colour'"),
    ("/v1/read", {**READ, "sql": "a\0b"}, 400, "bad_request", "NUL"),
    ("/v1/read", {**READ, "params": [[1]]}, 400, "bad_request", "params may"),
    ("/v1/read", {**READ, "params": [2**63]}, 400, "bad_request", "64 bits"),
    ("/v1/read", {**READ, "max_age_ms": 5}, 400, "bad_request", "max_age only"),
    ("/v1/read", {**READ, "deadline_ms": 0}, 400, "bad_request", "deadline_ms"),
    ("/v1/read", {**READ, "consistency": "x"}, 400, "bad_request", "must be fresh"),
    ("/v1/read", {**READ, "token": "x"}, 400, "token_invalid", "empty"),
    ("/v1/read", [1], 400, "bad_request", "JSON object"),
    ("/v1/write", {"group": "g1", "sql": "x"}, 400, "bad_request", "request_id"),
    (
        "/v1/write",
        {"group": "g1", "sql": "x", "request_id": "1"},
        400,
        "bad_request",
        "13 digits",
    ),
    (
        "/v1/write",
        {"group": "g1", "sql": "x", "request_id": "9999999999999-ticket-0001"},
        400,
        "bad_request",
        "future",
    ),
    ("/v1/nowhere", {}, 400, "bad_request", "POST is not supported on this path"),
    ("/v1/health", {}, 400, "bad_request", "POST is not supported on this path"),
    ("/v1/transactions/AAAA/commit", {}, 404, "unknown_transaction", "not known"),
]


@pytest.mark.parametrize(
    ("path", "body", "status", "reason", "words"), INVALID_REQUESTS
)
@using(serving)
async def test_invalid_request_is_refused_without_effect(
    bench: Bench, path: str, body: Any, status: int, reason: str, words: str
) -> None:
    response_status, refusal = await post(bench.caller, path, body)
    assert (response_status, refusal["reason"]) == (status, reason)
    assert refusal["verdict"] == "not run"
    assert words in refusal["detail"]
    assert not bench.model.executed


@pytest.mark.parametrize("credential", [None, "unknown", "x" * 2000])
@using(serving)
async def test_missing_or_unknown_credential_is_refused(
    bench: Bench, credential: str | None
) -> None:
    status, refusal = await post(bench.caller, "/v1/read", READ, credential)
    assert (status, refusal["reason"]) == (401, "unauthenticated")
    assert not bench.model.executed


@using(serving)
async def test_oversized_body_is_refused(bench: Bench) -> None:
    async def chunks() -> Any:
        for _ in range(40):
            yield b"x" * 65536

    headers = {"Authorization": f"Bearer {CREDENTIAL}"}
    for body in (b"x" * 2_000_000, chunks()):
        async with bench.caller.post(
            "/v1/read", data=body, headers=headers
        ) as response:
            assert response.status == 413
            assert (await decoded(response))["reason"] == "too_large"


@using(serving)
async def test_rate_limited_request_gets_retry_after(
    bench: Bench,
) -> None:
    for _ in range(2):
        status, _ = await post(bench.caller, "/v1/read", READ, OTHER_CREDENTIAL)
        assert status == 200
    headers = {"Authorization": f"Bearer {OTHER_CREDENTIAL}"}
    async with bench.caller.post("/v1/read", json=READ, headers=headers) as response:
        refusal = await decoded(response)
        assert response.status == 429
        assert response.headers["Retry-After"] == "1"
    assert 0 < refusal["retry_after_ms"] <= 501


@using(serving)
async def test_transaction_handle_is_limited_to_its_workspace(
    bench: Bench,
) -> None:
    begin = {"group": "g1", "request_id": bench.request_id()}
    status, begin_response = await post(bench.caller, "/v1/transactions", begin)
    assert status == 200
    path = f"/v1/transactions/{begin_response['transaction']}"
    step = {"sql": "insert into t values (1)"}
    status, answer = await post(bench.caller, f"{path}/statements", step)
    assert (status, answer["transaction"]) == (200, begin_response["transaction"])
    executed = bench.model.executed.total()
    status, refusal = await post(bench.caller, f"{path}/commit", {}, OTHER_CREDENTIAL)
    assert (status, refusal["reason"]) == (404, "unknown_transaction")
    altered_path = f"/v1/transactions/{begin_response['transaction'][:-2]}AA/commit"
    status, refusal = await post(bench.caller, altered_path, {})
    assert (status, refusal["reason"]) == (404, "unknown_transaction")
    assert bench.model.executed.total() == executed
    status, _ = await post(bench.caller, f"{path}/commit", [])
    assert status == 400
    status, answer = await post(bench.caller, f"{path}/commit", {})
    assert status == 200 and "transaction" not in answer


@using(serving)
async def test_commit_of_unknown_transaction_may_have_run(bench: Bench) -> None:
    begin = {"group": "g1", "request_id": bench.request_id()}
    _, begin_response = await post(bench.caller, "/v1/transactions", begin)
    bench.model.refuse(
        StatementKind.COMMIT,
        not_run(RefusalReason.UNKNOWN_TRANSACTION, "not known here"),
    )
    path = f"/v1/transactions/{begin_response['transaction']}/commit"
    status, refusal = await post(bench.caller, path, {})
    assert (status, refusal["verdict"]) == (404, "may have run")


@pytest.mark.parametrize(
    ("path", "verdict"), [("/v1/read", "not run"), ("/v1/write", "may have run")]
)
@using(serving)
async def test_internal_error_becomes_typed_refusal(
    bench: Bench, path: str, verdict: str
) -> None:
    for member in bench.group.members:
        bench.directory.fixed[member.member_id] = [bench.directory.me]
    bench.model.refuse(StatementKind.READ, ZeroDivisionError("a fault"))
    bench.model.refuse(StatementKind.WRITE, ZeroDivisionError("a fault"))
    body = {**READ, "idempotent": True} if path == "/v1/write" else READ
    status, refusal = await post(bench.caller, path, body)
    assert (status, refusal["reason"]) == (503, "internal")
    assert refusal["verdict"] == verdict
    assert "a fault" not in refusal["detail"]


@on_loop
async def test_a_write_goes_on_when_its_caller_hangs_up() -> None:
    bench = Bench()
    bench.model.service_time = 0.1
    handle = CallerEndpoint(bench.api).handle
    server = HandlerServer("callers", handle, "127.0.0.1:0", ServerLimits())
    await server.start()
    write = {"group": "g1", "sql": "pay", "request_id": bench.request_id()}
    headers = {"Authorization": f"Bearer {CREDENTIAL}"}
    url = f"http://{server.address}/v1/write"
    async with ClientSession() as session:
        call = asyncio.create_task(session.post(url, json=write, headers=headers))
        while not bench.model.executed:
            await asyncio.sleep(0.005)
        call.cancel()
    assert not bench.model.log
    while bench.api.active_requests:
        await asyncio.sleep(0.005)
    assert len(bench.model.log) == 1
    await server.stop()
    await bench.router.views.close()


@using(serving)
async def test_leaving_host_fails_health_check_but_serves_requests(
    bench: Bench,
) -> None:
    bench.api.leaving = True
    async with bench.caller.get("/v1/health") as response:
        assert response.status == 503
        assert (await decoded(response))["status"] == "draining"
    status, _ = await post(bench.caller, "/v1/read", READ)
    assert status == 200
    assert isinstance(bench.api.metrics, MemoryMetrics)
    assert bench.api.metrics.counters["api.read.replica"] == 1


@using(serving)
async def test_draining_host_serves_only_open_transactions(
    bench: Bench,
) -> None:
    begin = {"group": "g1", "request_id": bench.request_id()}
    _, begin_response = await post(bench.caller, "/v1/transactions", begin)
    bench.api.draining = True
    status, refusal = await post(bench.caller, "/v1/read", READ)
    assert (status, refusal["reason"]) == (503, "draining")
    path = f"/v1/transactions/{begin_response['transaction']}/commit"
    status, _ = await post(bench.caller, path, {})
    assert status == 200
    async with bench.caller.get("/v1/health") as response:
        assert response.status == 503
        assert (await decoded(response))["status"] == "draining"


@using(serving)
async def test_host_without_configuration_refuses_requests(bench: Bench) -> None:
    bench.catalog = None
    status, refusal = await post(bench.caller, "/v1/read", READ)
    assert (status, refusal["reason"]) == (503, "no_configuration")


@using(serving)
async def test_key_selects_group_of_its_service(bench: Bench) -> None:
    body = {"service": "feedlog-db", "key": "farm 7", "sql": "select 1"}
    status, response = await post(bench.caller, "/v1/read", body)
    assert status == 200 and response["target"].startswith("g1-")
    body["service"] = "dispatch-core"
    status, refusal = await post(bench.caller, "/v1/read", body)
    assert (status, refusal["reason"]) == (403, "forbidden")


@using(serving)
async def test_later_refusal_keeps_may_have_run_verdict(bench: Bench) -> None:
    lost = may_have_run(RefusalReason.TARGET_LOST, "no answer")
    refused = not_run(RefusalReason.OVERLOADED, "no slot", 100)
    bench.model.refuse(StatementKind.WRITE, lost)
    bench.model.refuse(StatementKind.WRITE, refused)
    write = {"group": "g1", "sql": "pay", "request_id": bench.request_id()}
    status, refusal = await post(bench.caller, "/v1/write", write)
    assert (status, refusal["reason"]) == (503, "overloaded")
    assert refusal["verdict"] == "may have run"
    assert refusal["retry_after_ms"] == 100
    assert bench.model.applied(bench.model.primary) == Position(1, 0)


@using(serving)
async def test_expect_continue_is_answered(bench: Bench) -> None:
    headers = {"Authorization": f"Bearer {CREDENTIAL}"}
    async with bench.caller.post(
        "/v1/read", json=READ, headers=headers, expect100=True
    ) as response:
        assert response.status == 200
    headers["Expect"] = "a-miracle"
    async with bench.caller.post("/v1/read", json=READ, headers=headers) as response:
        assert response.status == 400
        assert (await response.json())["verdict"] == "not run"


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "/v1/read"),
        ("POST", "/v1/health"),
        ("POST", "/v1/transactions/"),
        ("POST", "/v1/transactions//commit"),
        ("POST", "/v1/transactions/x/y/commit"),
        ("GET", "/v1/transactions/x/commit"),
        ("POST", "/"),
    ],
)
def test_unsupported_method_or_path_is_refused(method: str, path: str) -> None:
    async def main() -> tuple[int, str]:
        async with serving() as bench:
            async with bench.caller.request(method, path) as response:
                return response.status, (await response.json())["reason"]

    assert run(main()) == (400, "bad_request")
