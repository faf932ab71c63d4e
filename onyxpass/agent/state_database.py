"""The agent's SQLite file: its schema and versions, and the one connection to it.

``StateDatabase`` is the only owner of the connection and of the folder's lock. Each statement is
durable once it returns (WAL with full sync). Most writes are of one of these kinds:

- ``write_now``, before an action that must not happen unrecorded: raises if the write fails;
- ``transaction``, like ``write_now``, for several statements that are executed together;
- ``write_state``, after something has happened: written now, or once the disk accepts writes;
- ``append_row``, for logs: like ``write_state``, with a bounded number of rows.

A damaged file is rejected and left unchanged: an empty one could start instances twice.
"""

import contextlib
import sqlite3
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import structlog

from onyxpass.agent.folder_lock import FolderLock
from onyxpass.agent.state_errors import (
    StateStoreDamagedError,
    StateStoreError,
    StateStoreVersionError,
    StateStoreWriteError,
)
from onyxpass.agent.write_behind import WriteBehindQueue

DATABASE_FILE = "agent.db"
SCHEMA_VERSION = 2
VERSION_WITHOUT_FENCES = 1
TABLES = """
CREATE TABLE instances (name TEXT PRIMARY KEY, wanted INTEGER NOT NULL, generation INTEGER NOT NULL,
    digest TEXT NOT NULL, launch TEXT NOT NULL, pid INTEGER, ticks INTEGER, boot TEXT,
    restarts INTEGER NOT NULL, last_exit INTEGER);
CREATE TABLE exits (number INTEGER PRIMARY KEY, name TEXT NOT NULL, at REAL NOT NULL, code INTEGER,
    ran_s REAL);
CREATE TABLE operations (id TEXT PRIMARY KEY, number INTEGER NOT NULL, name TEXT NOT NULL,
    kind TEXT NOT NULL, state TEXT NOT NULL, reason TEXT NOT NULL, detail TEXT NOT NULL,
    began REAL NOT NULL, ended REAL);
CREATE TABLE events (number INTEGER PRIMARY KEY AUTOINCREMENT, at REAL NOT NULL, name TEXT NOT NULL,
    what TEXT NOT NULL, detail TEXT NOT NULL);
CREATE TABLE holds (one INTEGER PRIMARY KEY CHECK (one = 1), rollout TEXT NOT NULL, holder TEXT NOT NULL,
    ttl_s REAL NOT NULL);
"""  # noqa: E501 - SQLite stores the text of a table as it was created
FENCES_TABLE = """
CREATE TABLE fences (lease TEXT PRIMARY KEY, token INTEGER NOT NULL, holder TEXT NOT NULL);
"""
log = structlog.get_logger("state_database")

Row = tuple[Any, ...]


class StateDatabase:
    """An open database in ``folder``, or in memory if ``folder`` is None."""

    def __init__(self, folder: Path | None) -> None:
        """Lock the folder, open the file and migrate it; raises ``StateStoreError`` on failure."""
        self.folder = folder
        self._pending = WriteBehindQueue(sqlite3.OperationalError)
        self._has_backlog = False
        with contextlib.ExitStack() as resources:
            try:
                self._open(resources)
            except sqlite3.OperationalError as error:
                raise StateStoreError(folder, str(error)) from error
            except sqlite3.DatabaseError as error:
                raise StateStoreDamagedError(folder, str(error)) from error
            except (OSError, sqlite3.Error) as error:
                raise StateStoreError(folder, str(error)) from error
            self._resources = resources.pop_all()

    def _open(self, resources: contextlib.ExitStack) -> None:
        if self.folder is not None:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            resources.enter_context(FolderLock(self.folder))
        target = str(self.folder / DATABASE_FILE) if self.folder else ":memory:"
        self._connection = sqlite3.connect(target, isolation_level=None)
        resources.callback(self._connection.close)
        self._connection.execute("PRAGMA journal_mode=WAL")
        self._connection.execute("PRAGMA synchronous=FULL")
        self._check_integrity()
        self._migrate()

    def _check_integrity(self) -> None:
        found = self._connection.execute("PRAGMA quick_check").fetchone()[0]
        if found != "ok":
            raise StateStoreDamagedError(self.folder, f"the state is damaged: {found}")

    def _migrate(self) -> None:
        """Create the schema, or migrate an older one, in one transaction."""
        version = int(self._connection.execute("PRAGMA user_version").fetchone()[0])
        if version == SCHEMA_VERSION:
            return
        if version == 0:
            statements = TABLES + FENCES_TABLE
        elif version == VERSION_WITHOUT_FENCES:
            statements = FENCES_TABLE
        else:
            raise StateStoreVersionError(self.folder, version, SCHEMA_VERSION)
        self._connection.executescript(
            f"BEGIN; {statements} PRAGMA user_version={SCHEMA_VERSION}; COMMIT;"
        )

    def close(self) -> None:
        """Write what is pending if possible, then close the file and release the folder's lock."""
        self.flush()
        self._resources.close()

    def query(self, statement: str, values: Sequence[object] = ()) -> list[Row]:
        """Return all rows of a query."""
        return self._connection.execute(statement, values).fetchall()

    def execute(self, statement: str, values: Sequence[object] = ()) -> None:
        """Execute one statement at once; raises ``sqlite3.OperationalError`` if that fails."""
        self._connection.execute(statement, values)

    def write_now(self, key: str, statement: str, values: Sequence[object]) -> None:
        """Write the state of ``key`` before something takes effect.

        Drops a pending write of ``key``. Raises ``StateStoreWriteError`` if the write fails;
        nothing is stored then, and pending writes stay pending.
        """
        try:
            self.execute(statement, values)
        except sqlite3.OperationalError as error:
            raise StateStoreWriteError(str(error)) from error
        self._pending.discard_state(key)

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        """Execute several statements or none; raises ``StateStoreWriteError`` if a write fails."""
        try:
            self.execute("BEGIN")
            yield
            self.execute("COMMIT")
        except sqlite3.OperationalError as error:
            # Prevents a transaction from staying open, after which no later one could begin.
            if self._connection.in_transaction:
                self.execute("ROLLBACK")
            raise StateStoreWriteError(str(error)) from error

    def write_state(self, key: str, statement: str, values: Sequence[object] = ()) -> None:
        """Write the state of ``key``, now or once the disk accepts writes; the latest one wins."""
        self._log_backlog_change(
            self._pending.write_state(key, lambda: self.execute(statement, values))
        )

    def append_row(
        self, table: str, max_rows: int, statement: str, values: Sequence[object]
    ) -> None:
        """Append a row to a log table, now or later, and delete the oldest beyond ``max_rows``."""

        def write() -> None:
            self.execute(statement, values)
            self._delete_oldest(table, max_rows)

        self._log_backlog_change(self._pending.write_row(write))

    def _delete_oldest(self, table: str, max_rows: int) -> None:
        """Bound a log table; after a failure, the next append deletes the rows."""
        with contextlib.suppress(sqlite3.OperationalError):
            self.execute(
                f"DELETE FROM {table} WHERE number <= (SELECT max(number) FROM {table}) - ?",
                (max_rows,),
            )

    def flush(self) -> None:
        """Write what is pending, if the disk accepts writes again."""
        if self._pending:
            self._log_backlog_change(self._pending.flush())

    def _log_backlog_change(self, error: Exception | None) -> None:
        """Log when writes begin to wait, and when none waits any more."""
        has_backlog = error is not None
        if has_backlog == self._has_backlog:
            return
        self._has_backlog = has_backlog
        if has_backlog:
            log.warning("state_writes_delayed", error=str(error))
        else:
            log.warning("state_writes_caught_up")
