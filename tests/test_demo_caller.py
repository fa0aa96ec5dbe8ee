"""The caller retries by verdict and retry delay, with one id, at other hosts."""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from reedhook import wire
from reedhook.clock import Clock, SystemClock
from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict
from reedhook.wire import Json
from reedhook_standins.caller import Caller, GaveUp, ReadOrder, WriteOrder
from reedhook_standins.history import History

from .support import run

ORDER = WriteOrder("feed", "gate", 7, "INSERT INTO t VALUES (?, ?)", ["gate"])
LOOK = ReadOrder("ticket", "feed", "SELECT ?", [], ["gate"], Consistency.SESSION)
DONE: Json = {"verdict": "done", "rows": [], "token": "t1", "repeated": False}
CUT = None


def refusal(verdict: str, hint: int | None, reason: str = "no_primary") -> Json:
    return {
        "verdict": verdict,
        "reason": reason,
        "detail": "as scripted",
        "retry_after_ms": hint,
    }


class ScriptedHost:
    """Answer requests with scripted replies; `CUT` closes without an answer."""

    def __init__(self, *script: Json | None) -> None:
        self.script = deque(script)
        self.seen: list[Json] = []
        self.address = ""

    async def __aenter__(self) -> "ScriptedHost":
        self.runner = web.ServerRunner(web.Server(self.answer))
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        port = self.runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.runner.cleanup()

    async def answer(self, request: web.BaseRequest) -> web.Response:
        self.seen.append(wire.decode(await request.read()))
        scripted = self.script.popleft()
        if scripted is None:
            assert request.transport is not None
            request.transport.close()
            return web.Response()
        return web.Response(body=wire.encode(scripted))


class SleeplessClock(SystemClock):
    """Record the requested sleeps, and return at once."""

    def __init__(self) -> None:
        self.sleeps: list[float] = []

    async def sleep(self, seconds: float) -> None:
        self.sleeps.append(seconds)


Act = Callable[[Caller], Awaitable[Json]]


def run_caller(act: Act, *hosts: ScriptedHost, clock: Clock | None = None) -> History:
    async def main() -> History:
        history = History()
        async with hosts[0], hosts[-1], aiohttp.ClientSession() as http:
            addresses = [host.address for host in hosts]
            caller = Caller(
                "gate",
                addresses,
                "credential",
                http,
                history,
                clock or SleeplessClock(),
                random.Random(1),
            )
            caller.host = addresses[0]
            await act(caller)
        return history

    return run(main())


def test_refused_write_is_retried_with_same_id() -> None:
    host = ScriptedHost(refusal("not run", 1), refusal("may have run", 1), DONE)
    history = run_caller(lambda caller: caller.write(ORDER, 5.0), host)
    assert len({body["request_id"] for body in host.seen}) == 1
    assert [attempt.verdict for attempt in history.attempts] == [
        Verdict.NOT_RUN,
        Verdict.MAY_HAVE_RUN,
        Verdict.DONE,
    ]
    assert {attempt.version for attempt in history.attempts} == {7}


def test_retry_waits_for_the_hinted_delay() -> None:
    clock = SleeplessClock()
    host = ScriptedHost(refusal("not run", 80), DONE)
    run_caller(lambda caller: caller.write(ORDER, 5.0), host, clock=clock)
    assert [slept for slept in clock.sleeps if slept] == [0.08]


def test_refusal_without_hint_is_not_retried() -> None:
    host = ScriptedHost(refusal("not run", None, "statement_failed"))
    with pytest.raises(GaveUp, match="statement_failed"):
        run_caller(lambda caller: caller.write(ORDER, 5.0), host)
    assert len(host.seen) == 1


def test_missed_deadline_is_retried_without_hint() -> None:
    host = ScriptedHost(refusal("may have run", None, "deadline"), DONE)
    history = run_caller(lambda caller: caller.write(ORDER, 5.0), host)
    assert [attempt.verdict for attempt in history.attempts] == [
        Verdict.MAY_HAVE_RUN,
        Verdict.DONE,
    ]


def test_caller_gives_up_after_time_limit() -> None:
    host = ScriptedHost(refusal("not run", 2000))
    with pytest.raises(GaveUp, match="still no_primary"):
        run_caller(lambda caller: caller.write(ORDER, 1.0), host)


def test_lost_answer_is_in_doubt_and_retried_at_another_host() -> None:
    first, second = ScriptedHost(CUT), ScriptedHost({**DONE, "repeated": True})
    history = run_caller(lambda caller: caller.write(ORDER, 5.0), first, second)
    assert first.seen[0]["request_id"] == second.seen[0]["request_id"]
    broken, answered = history.attempts
    assert broken.verdict is Verdict.MAY_HAVE_RUN
    assert answered.repeated


def test_session_token_is_sent_to_next_host() -> None:
    first = ScriptedHost(DONE)
    second = ScriptedHost({**DONE, "rows": [["gate/1", "gate", 9]]})

    async def write_and_look(caller: Caller) -> Json:
        await caller.write(ORDER, 5.0)
        caller.roam()
        return await caller.read(LOOK, 5.0)

    history = run_caller(write_and_look, first, second)
    assert second.seen[0]["token"] == "t1"
    (read,) = history.reads
    assert read.versions == {"gate": 9}
    assert read.echoed == read.mark == "gate/1"


def test_answer_with_foreign_mark_is_recorded() -> None:
    host = ScriptedHost({**DONE, "rows": [["skipper/4", "gate", 9]]})
    history = run_caller(lambda caller: caller.read(LOOK, 5.0), host)
    (read,) = history.reads
    assert (read.mark, read.echoed) == ("gate/1", "skipper/4")


def test_unreachable_host_is_recorded_as_not_run() -> None:
    host = ScriptedHost(DONE)

    async def from_nowhere(caller: Caller) -> Json:
        with_listener_gone = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = with_listener_gone.sockets[0].getsockname()[1]
        with_listener_gone.close()
        await with_listener_gone.wait_closed()
        caller.host = f"127.0.0.1:{port}"
        return await caller.write(ORDER, 5.0)

    history = run_caller(from_nowhere, host)
    assert [attempt.verdict for attempt in history.attempts] == [
        Verdict.NOT_RUN,
        Verdict.DONE,
    ]
