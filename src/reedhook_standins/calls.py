"""The request handlers of one stand-in member."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, Final, TypeAlias

from reedhook.request.position import Position
from reedhook.wire import Json

from .engine import digest
from .log import NO_ROWS, LoggedStatement, RequestKey, Rows
from .service import AnswerLost, ServiceConnection, ServiceRefusal
from .transaction import SqlTransaction

if TYPE_CHECKING:
    from .member import MemberStandin

Handler: TypeAlias = Callable[[ServiceConnection, Json], Awaitable[Json]]

REQUEST_ID: Final = re.compile(r"([0-9]{13})-[A-Za-z0-9_-]{8,64}")
TRANSACTION_DIGEST: Final = "transaction"


class TargetCallHandler:
    """Handle the calls of `TargetConnection` that no injected fault blocks."""

    def __init__(self, member: "MemberStandin") -> None:
        self.member = member
        self.state = member.state
        self.handlers: dict[str, Handler] = {
            "hello": self.hello,
            "read": self.read,
            "write": self.write,
            "begin": self.begin,
            "step": self.step,
            "commit": self.commit,
            "rollback": self.rollback,
            "state": self.tell_state,
            "wait_state": self.wait_state,
            "raise_term": self.raise_term,
            "promote": self.promote,
            "follow": self.follow,
        }

    async def hello(self, connection: ServiceConnection, message: Json) -> Json:
        """Accept the greeting of a client that names itself."""
        return {"member": self.member.name}

    async def read(self, connection: ServiceConnection, message: Json) -> Json:
        """Run a read; allowed in every role."""
        change = change_of(message)
        await self.member.occupy(message["timeout"])
        rows = self.state.engine.read(change)
        return self.result(rows, self.state.visible)

    async def write(self, connection: ServiceConnection, message: Json) -> Json:
        """Run a write on the primary, or return the result of its earlier run."""
        change = change_of(message)
        key = key_of(message["request_id"], digest([change.sql, change.params]))
        timeout = message["timeout"]
        if connection.transaction is not None:
            raise ServiceRefusal("bad_request", "a transaction is open", 400)
        self.state.require_primary()
        await self.member.lock(timeout)
        try:
            await self.member.occupy(timeout)
            earlier = self.earlier(key)
            if earlier is not None:
                return self.result(earlier, self.state.held, repeated=True)
            entry = self.state.write(change, key)
            return self.result(entry.result, entry.position)
        finally:
            self.member.writing.release()

    async def begin(self, connection: ServiceConnection, message: Json) -> Json:
        """Open a transaction, unless one with the same request id has committed."""
        key = key_of(message["request_id"], TRANSACTION_DIGEST)
        if connection.transaction is not None:
            raise ServiceRefusal("bad_request", "a transaction is open", 400)
        self.state.require_primary()
        await self.member.lock(message["timeout"])
        try:
            earlier = self.earlier(key)
            if connection.closed.is_set():
                raise AnswerLost
        except BaseException:
            self.member.writing.release()
            raise
        if earlier is not None:
            self.member.writing.release()
            return self.result(earlier, self.state.held, repeated=True)
        connection.transaction = SqlTransaction(
            self.state.engine.copy(),
            self.state.leader_term,
            key,
            self.member.clock.monotonic(),
        )
        return self.result(NO_ROWS, self.state.held)

    async def step(self, connection: ServiceConnection, message: Json) -> Json:
        """Run a statement in the open transaction."""
        change = change_of(message)
        transaction = transaction_of(connection)
        await self.member.occupy(message["timeout"])
        if connection.transaction is not transaction:
            raise unknown_transaction()
        rows = transaction.step(change)
        transaction.active = self.member.clock.monotonic()
        return self.result(rows, self.state.held)

    async def commit(self, connection: ServiceConnection, message: Json) -> Json:
        """Commit the open transaction and record its request id."""
        transaction = transaction_of(connection)
        await self.member.occupy(message["timeout"])
        if connection.transaction is not transaction:
            raise unknown_transaction()
        try:
            rows = self.state.adopt(
                transaction.engine, transaction.changes, transaction.key
            )
        finally:
            self.member.end_transaction(connection)
        return self.result(rows, self.state.held)

    async def rollback(self, connection: ServiceConnection, message: Json) -> Json:
        """Roll the open transaction back."""
        transaction_of(connection)
        self.member.end_transaction(connection)
        return {}

    async def tell_state(self, connection: ServiceConnection, message: Json) -> Json:
        """Return the member's state."""
        return self.member.report().to_json()

    async def wait_state(self, connection: ServiceConnection, message: Json) -> Json:
        """Return the state once its revision differs from the known one."""
        try:
            async with asyncio.timeout(message["hold"]):
                while self.member.revision == message["revision"]:
                    await self.member.changed.wait()
        except TimeoutError:
            pass
        return self.member.report().to_json()

    async def raise_term(self, connection: ServiceConnection, message: Json) -> Json:
        """Promise a term."""
        self.state.raise_term(int(message["term"]), str(message["owner"]))
        return self.member.terms_moved()

    async def promote(self, connection: ServiceConnection, message: Json) -> Json:
        """Become primary of a promised term."""
        self.state.promote(int(message["term"]), str(message["owner"]))
        self.member.group.truth.lead(self.state.leader_term, self.state.log)
        return self.member.terms_moved()

    async def follow(self, connection: ServiceConnection, message: Json) -> Json:
        """Follow the primary of a term."""
        self.state.follow(int(message["term"]), str(message["primary"]))
        return self.member.terms_moved()

    def result(self, rows: Rows, position: Position, repeated: bool = False) -> Json:
        """Encode the result of a statement for the wire."""
        return {
            "columns": rows.columns,
            "rows": rows.rows,
            "rowcount": rows.rowcount,
            "position": position.to_json(),
            "term": self.state.leader_term,
            "role": self.state.role.value,
            "repeated": repeated,
        }

    def earlier(self, key: RequestKey | None) -> Rows | None:
        """Return the result of an earlier run of a request, or None."""
        self.state.require_primary()
        return self.state.engine.known(key) if key is not None else None


def change_of(message: Json) -> LoggedStatement:
    """Parse a statement from the wire."""
    sql: Any = message["sql"]
    params: Any = message["params"]
    if not isinstance(sql, str) or not isinstance(params, list):
        raise ServiceRefusal("bad_request", "sql is text, params a list", 400)
    return LoggedStatement(sql, params)


def key_of(request_id: str | None, content: str) -> RequestKey | None:
    """Parse a request id, which begins with its time of issue."""
    if request_id is None:
        return None
    match = REQUEST_ID.fullmatch(request_id)
    if match is None:
        raise ServiceRefusal("bad_request", "not a request id", 400)
    return RequestKey(request_id, int(match[1]), content)


def transaction_of(connection: ServiceConnection) -> SqlTransaction:
    """Return the open transaction of a connection."""
    transaction = connection.transaction
    if not isinstance(transaction, SqlTransaction):
        raise unknown_transaction()
    return transaction


def unknown_transaction() -> ServiceRefusal:
    """Return the refusal of a step outside a transaction."""
    return ServiceRefusal("unknown_transaction", "no transaction is open", 404)
