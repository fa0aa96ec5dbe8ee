"""Sessions over two hosts: reads that miss the session's position, wrong verdicts.

Each example is a history of session steps, changes of primary and lag, and network
cuts, in virtual time.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from hypothesis import given, strategies as st

from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError
from reedhook.request.session_token import SessionToken, TokenCodec
from reedhook.request.statement import Statement
from reedhook.request.statement_executor import HomeResponse
from reedhook.request.verdict import Verdict

from .fakes_clock import run_virtual
from .fakes_request import World, read, write

SECRET: Final = b"a secret of the cluster"
WORKSPACE: Final = "gate"
SERVICE: Final = "feedlog-db"
MEMBERS: Final = ("g1-z1", "g1-z2", "g1-z3")
HOSTS: Final = ("h1", "h2", "h3")
SETTLE_SECONDS: Final = 10.0

sessions = st.integers(0, 2)
entries = st.integers(0, 1)
history_steps = st.one_of(
    st.tuples(st.just("write"), sessions, entries),
    st.tuples(st.just("read"), sessions, entries, st.none()),
    st.tuples(st.just("read"), sessions, entries, st.sampled_from([0.01, 0.5, 3.0])),
    st.tuples(st.just("again"), sessions, entries),
    st.tuples(st.just("pass"), st.sampled_from([0.001, 0.02, 0.3, 2.0])),
    st.tuples(
        st.just("lag"),
        st.sampled_from(MEMBERS),
        st.sampled_from([0.0, 0.005, 0.2, 5.0]),
    ),
    st.tuples(st.just("promote"), st.sampled_from(MEMBERS)),
    st.tuples(st.just("cut"), entries, st.sampled_from(HOSTS), st.booleans()),
    st.tuples(st.just("heal")),
)


class History:
    """Run the steps of one example and check each response against the model."""

    def __init__(self, proves: bool) -> None:
        self.world = World(lag=0.05)
        self.world.model.proves = proves
        self.codecs = [TokenCodec([SECRET]) for _ in self.world.entries]
        empty = self.codecs[0].encode(SessionToken(WORKSPACE, SERVICE))
        self.tokens = [empty] * 3
        self.last: list[str | None] = [None] * 3
        self.verdicts: dict[str, list[Verdict]] = {}
        self.calls: list[asyncio.Task[None]] = []
        self.issued = 0

    async def run(self, history: list[tuple[Any, ...]]) -> None:
        """Run all steps, then check the verdicts against what ran."""
        actions: dict[str, Callable[..., None]] = {
            "write": self.write,
            "again": self.again,
            "read": self.read,
            "lag": self.lag,
            "promote": self.world.model.promote,
            "cut": self.cut,
            "heal": self.world.network.heal,
        }
        for name, *arguments in history:
            if name == "pass":
                await asyncio.sleep(arguments[0])
            else:
                actions[name](*arguments)
                await asyncio.sleep(0)
        await asyncio.gather(*self.calls)
        await asyncio.sleep(SETTLE_SECONDS)
        self.check_truth()
        await self.world.close()

    def write(self, session: int, entry: int) -> None:
        """Start a write with a new request id."""
        self.issued += 1
        self.last[session] = f"{self.issued}-id"
        self.again(session, entry)

    def again(self, session: int, entry: int) -> None:
        """Repeat the last write of the session, possibly while it runs."""
        request_id = self.last[session]
        if request_id is not None:
            call = self.answered(session, entry, write(request_id))
            self.calls.append(asyncio.create_task(call))

    def read(self, session: int, entry: int, max_age: float | None) -> None:
        """Start a read."""
        call = self.answered(session, entry, read(max_age=max_age))
        self.calls.append(asyncio.create_task(call))

    async def answered(self, session: int, entry: int, statement: Statement) -> None:
        """Run a statement with the session's current token and check the response."""
        codec = self.codecs[entry]
        before = codec.decode(self.tokens[session], WORKSPACE, SERVICE)
        statement.min_position = before.positions.get("g1")
        try:
            response = await self.world.run(statement, entry)
        except RefusalError as refusal:
            self.note(statement, refusal.verdict)
            return
        self.note(statement, Verdict.DONE)
        self.check(statement, response)
        current = codec.decode(self.tokens[session], WORKSPACE, SERVICE)
        advanced = current.advanced("g1", response.result.position)
        assert advanced.covers(before) and advanced.covers(current)
        self.tokens[session] = codec.encode(advanced)

    def check(self, statement: Statement, response: HomeResponse) -> None:
        """Check the position and the age of a response."""
        covers: Position | None = statement.min_position
        if covers is not None and statement.request_id is None:
            assert response.result.position.covers(covers)
        if statement.max_age is not None:
            assert response.result.age is not None
            assert response.result.age <= statement.max_age

    def note(self, statement: Statement, verdict: Verdict) -> None:
        """Record the verdict on a write."""
        if statement.request_id is not None:
            self.verdicts.setdefault(statement.request_id, []).append(verdict)

    def lag(self, member: str, seconds: float) -> None:
        """Change the lag of a member."""
        self.world.model.lags[member] = seconds

    def cut(self, entry: int, home: str, outwards: bool) -> None:
        """Cut one direction between an entry host and a home."""
        pair = (f"e{entry + 1}", home)
        self.world.network.cut(*(pair if outwards else pair[::-1]))

    def check_truth(self) -> None:
        """Check the verdicts on each request id against how often it ran."""
        for request_id, verdicts in self.verdicts.items():
            ran = self.world.model.ran[request_id]
            assert ran <= 1
            if Verdict.DONE in verdicts:
                assert ran == 1
            if set(verdicts) == {Verdict.NOT_RUN}:
                assert ran == 0


@given(st.lists(history_steps, max_size=40), st.booleans())
def test_sessions_cover_their_tokens_and_verdicts_are_correct(
    history: list[tuple[Any, ...]], proves: bool
) -> None:
    run_virtual(History(proves).run(history))
