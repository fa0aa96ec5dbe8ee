"""An in-memory SQLite database as the storage engine of one member."""

import sqlite3
from collections.abc import Iterable
from hashlib import sha256
from typing import Any, Final

import orjson

from .log import LogEntry, LoggedStatement, RequestKey, Rows
from .service import ServiceRefusal

KEEP_IDS_MS: Final = 24 * 3600 * 1000
OWN_TABLES: Final = "reedhook_"
MAX_ROWS: Final = 100_000
STEP_BATCH: Final = 100_000
MAX_BATCHES: Final = 200
READS: Final = frozenset(
    (
        sqlite3.SQLITE_SELECT,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_RECURSIVE,
    )
)
NEVER: Final = frozenset(
    (
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_TRANSACTION,
    )
)
# Replicas re-execute the statements, so the results must be deterministic.
NOT_REPEATABLE: Final = frozenset(("random", "randomblob", "load_extension"))
SCHEMA: Final = (
    "CREATE TABLE reedhook_requests (id TEXT PRIMARY KEY, issued INTEGER NOT NULL,"
    " digest TEXT NOT NULL, result TEXT NOT NULL) WITHOUT ROWID",
    "CREATE INDEX reedhook_issued ON reedhook_requests (issued)",
    "CREATE TABLE reedhook_newest (issued INTEGER NOT NULL)",
    "INSERT INTO reedhook_newest VALUES (0)",
)
FAILURES: Final = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


class Engine:
    """Execute statements on one SQLite database.

    :ivar wrote: whether the last statement changed something.
    """

    __slots__ = ("database", "guarded", "writable", "wrote", "batches")

    def __init__(self, image: bytes | None = None) -> None:
        # Cached statements would keep the permissions of their first run.
        self.database = sqlite3.connect(
            ":memory:", isolation_level=None, cached_statements=0
        )
        self.guarded = False
        self.writable = False
        self.wrote = False
        self.batches = 0
        if image is not None:
            self.database.deserialize(image)
        else:
            self.prepare()
        self.database.set_authorizer(self.authorize)
        self.database.set_progress_handler(self.progress, STEP_BATCH)

    def prepare(self) -> None:
        """Create the internal tables."""
        for sql in SCHEMA:
            self.database.execute(sql)

    def copy(self) -> "Engine":
        """Return an independent engine with the same rows."""
        return Engine(self.database.serialize())

    def read(self, change: LoggedStatement) -> Rows:
        """Execute a read-only statement.

        :raises ServiceRefusal: with ``statement_failed``.
        """
        return self.run(change, writable=False)

    def write(self, changes: Iterable[LoggedStatement], key: RequestKey | None) -> Rows:
        """Run the changes of one transaction and record its request id.

        :returns: the rows of the last change.
        :raises ServiceRefusal: with ``statement_failed``; nothing changed.
        """
        result = Rows([], [], 0)
        self.database.execute("BEGIN IMMEDIATE")
        try:
            for change in changes:
                result = self.run(change, writable=True)
            if key is not None:
                self.record(key, result)
        except BaseException:
            self.database.execute("ROLLBACK")
            raise
        self.database.execute("COMMIT")
        return result

    def apply(self, entry: LogEntry) -> None:
        """Apply a log entry."""
        self.write(entry.changes, entry.key)

    def run(self, change: LoggedStatement, writable: bool) -> Rows:
        """Execute one statement of a caller."""
        self.guarded = True
        self.writable = writable
        self.wrote = False
        self.batches = 0
        try:
            cursor = self.database.execute(change.sql, change.params)
            rows = cursor.fetchmany(MAX_ROWS + 1)
            check_rows(rows)
        except FAILURES as error:
            raise ServiceRefusal("statement_failed", str(error), 422) from error
        finally:
            self.guarded = False
        columns = [column[0] for column in cursor.description or ()]
        return Rows(columns, [list(row) for row in rows], max(0, cursor.rowcount))

    def authorize(
        self, action: int, one: str | None, two: str | None, *rest: Any
    ) -> int:
        """Authorize an action of the running statement."""
        if not self.guarded:
            return sqlite3.SQLITE_OK
        if action in NEVER or (one or "").startswith(OWN_TABLES):
            return sqlite3.SQLITE_DENY
        if action in READS:
            refused = action == sqlite3.SQLITE_FUNCTION and two in NOT_REPEATABLE
            return sqlite3.SQLITE_DENY if refused else sqlite3.SQLITE_OK
        self.wrote = True
        return sqlite3.SQLITE_OK if self.writable else sqlite3.SQLITE_DENY

    def progress(self) -> int:
        """Interrupt a statement that runs too long."""
        self.batches += 1
        return int(self.guarded and self.batches > MAX_BATCHES)

    def known(self, key: RequestKey) -> Rows | None:
        """Return the recorded result of a request, or None if it has not run.

        :raises ServiceRefusal: with ``request_reused`` if the recorded request differs,
            with ``request_expired`` if its id is too old to tell whether it has run.
        """
        record = self.database.execute(
            "SELECT digest, result FROM reedhook_requests WHERE id = ?",
            (key.request_id,),
        ).fetchone()
        if record is None:
            self.refuse_expired(key)
            return None
        digest, text = record
        if digest != key.digest:
            detail = "the request id was used for another statement"
            raise ServiceRefusal("request_reused", detail)
        columns, rows, rowcount = orjson.loads(text)
        return Rows(columns, rows, rowcount)

    def refuse_expired(self, key: RequestKey) -> None:
        """Refuse an id whose record may have been dropped."""
        if key.issued <= self.watermark():
            detail = "the request id is older than the ids that are kept"
            raise ServiceRefusal("request_expired", detail, 410)

    def watermark(self) -> int:
        """Return the issue time up to which ids have been dropped."""
        (newest,) = self.database.execute(
            "SELECT issued FROM reedhook_newest"
        ).fetchone()
        return int(newest) - KEEP_IDS_MS

    def record(self, key: RequestKey, result: Rows) -> None:
        """Record the id and result of a request, and drop expired ids."""
        text = orjson.dumps([result.columns, result.rows, result.rowcount]).decode()
        execute = self.database.execute
        execute(
            "INSERT INTO reedhook_requests VALUES (?, ?, ?, ?)",
            (key.request_id, key.issued, key.digest, text),
        )
        execute("UPDATE reedhook_newest SET issued = max(issued, ?)", (key.issued,))
        execute("DELETE FROM reedhook_requests WHERE issued <= ?", (self.watermark(),))


def check_rows(rows: list[Any]) -> None:
    """Check that the rows can be encoded as JSON.

    :raises ValueError: for too many rows or a value that is not JSON.
    """
    if len(rows) > MAX_ROWS:
        raise ValueError(f"more than {MAX_ROWS} rows")
    if any(isinstance(value, bytes) for row in rows for value in row):
        raise ValueError("a BLOB cannot be returned as JSON")


def digest(parts: list[Any]) -> str:
    """Return a digest of a request's content."""
    return sha256(orjson.dumps(parts)).hexdigest()
