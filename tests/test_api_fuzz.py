"""Fuzzing of each HTTP path: status 500, or effects of a refused request."""

import asyncio
from typing import Any, Final

import orjson
from aiohttp import hdrs
from aiohttp.test_utils import TestClient
from hypothesis import given, settings, strategies as st

from reedhook.request.refusal import RefusalReason
from reedhook.request.verdict import Verdict

from .fakes_request import CREDENTIAL
from .support import run
from .test_api import Bench

MAX_EXAMPLES: Final = 150
REASONS: Final = frozenset(one.value for one in RefusalReason)

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=12)
)
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)
likely: dict[str, st.SearchStrategy[Any]] = {
    "group": st.sampled_from(["g1", "g1", "g2", "d1"]) | values,
    "service": st.just("feedlog-db") | values,
    "key": st.text(max_size=4) | values,
    "sql": st.just("select 1") | values,
    "params": st.lists(scalars, max_size=3) | values,
    "consistency": st.sampled_from(["fresh", "session", "max_age"]) | values,
    "max_age_ms": st.integers(0, 5000) | values,
    "token": st.text(max_size=60) | values,
    "deadline_ms": st.sampled_from([20, 200]) | values,
    "request_id": st.sampled_from(["1700000000000-ticket-1", "x"]) | values,
    "idempotent": st.booleans() | values,
    "other": values,
}
fields = st.fixed_dictionaries(
    {"group": likely["group"], "sql": likely["sql"]},
    optional={name: likely[name] for name in likely if name not in ("group", "sql")},
)
bodies = st.one_of(
    fields.map(orjson.dumps),
    fields.map(orjson.dumps),
    values.map(orjson.dumps),
    st.binary(max_size=60),
)
transactions = st.text("ABCxyz019-_.%~", min_size=1, max_size=60).filter(
    lambda text: text.strip(".")
)
paths = st.one_of(
    st.sampled_from(["/v1/read", "/v1/write", "/v1/transactions"]),
    st.tuples(transactions, st.sampled_from(["statements", "commit", "rollback"])).map(
        lambda pair: f"/v1/transactions/{pair[0].replace('%', '%25')}/{pair[1]}"
    ),
)
credentials = st.sampled_from(
    [f"Bearer {CREDENTIAL}"] * 6 + [None, "Bearer", "Basic eA==", "Bearer \u00fc"]
)
types = st.sampled_from([None, "application/json", "text/plain", "x/y; charset=no"])
encodings = st.sampled_from([None, None, None, "gzip", "br", "nonsense"])


class Call:
    """Describe one arbitrary request."""

    def __init__(
        self,
        path: str,
        body: bytes,
        credential: str | None,
        content_type: str | None,
        encoding: str | None,
    ) -> None:
        self.path = path
        self.body = body
        self.headers = {
            name: value
            for name, value in (
                (hdrs.AUTHORIZATION, credential),
                (hdrs.CONTENT_TYPE, content_type),
                (hdrs.CONTENT_ENCODING, encoding),
            )
            if value is not None
        }

    def __repr__(self) -> str:
        return f"Call({self.path!r}, {self.body!r}, {self.headers!r})"


calls = st.builds(Call, paths, bodies, credentials, types, encodings)


async def send(bench: Bench, caller: Any, call: Call) -> None:
    """Send a request and check its response against the effects in the model."""
    log_length = len(bench.model.log)
    async with caller.post(
        call.path, data=call.body, headers=call.headers, skip_auto_headers=["Accept"]
    ) as response:
        raw = await response.read()
        status = response.status
    answer = orjson.loads(raw)
    effects = len(bench.model.log) - log_length
    assert status != 500
    if status == 200:
        assert answer["verdict"] == Verdict.DONE.value
        return
    assert answer["reason"] in REASONS
    assert answer["detail"]
    assert answer["reason"] != RefusalReason.INTERNAL.value
    if answer["verdict"] == Verdict.NOT_RUN.value:
        assert effects == 0
    else:
        assert answer["verdict"] == Verdict.MAY_HAVE_RUN.value


@settings(max_examples=MAX_EXAMPLES)
@given(st.lists(calls, min_size=1, max_size=8))
def test_arbitrary_requests_get_valid_response_and_no_effect_if_refused(
    sequence: list[Call],
) -> None:
    async def main() -> None:
        bench = Bench()
        bench.model.service_time = 0.0
        server = bench.server()
        await server.start_server(auto_decompress=False)
        async with TestClient(server, auto_decompress=False) as bench.caller:
            for call in sequence:
                await asyncio.wait_for(send(bench, bench.caller, call), 10.0)
        await bench.router.views.close()

    run(main())
