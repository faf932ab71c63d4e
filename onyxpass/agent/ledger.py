"""What an agent must know after it was killed: a SQLite file, each change durable before it takes effect.

It holds the wanted state of every instance, the process that ran it last, operations with their ends, and
events. A file that is damaged is refused: to start over with nothing could start instances twice.
"""

import fcntl
import json
import os
import sqlite3
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpass.agent.process import Identity

VERSION = 2
EVENTS_MOST, OPERATIONS_MOST, EXITS_MOST = 10_000, 2_000, 2_000
DAMAGED = "; agent.db is left as it is: stop the instances that still run, move it aside and start again"
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
"""
FENCES = """
CREATE TABLE fences (lease TEXT PRIMARY KEY, token INTEGER NOT NULL, holder TEXT NOT NULL);
"""


class LedgerError(RuntimeError):
    """The state can't be used: damaged, of another version, not writable, or held by another agent."""


@dataclass(slots=True)
class Kept:
    """One instance as the ledger has it. ``digest``: of the configuration of its ``generation``."""

    name: str
    wanted: bool = True
    generation: int = 0
    digest: str = ""
    launch: str = ""
    process: Identity | None = None
    restarts: int = 0
    last_exit: int | None = None


@dataclass(slots=True)
class Operation:
    """``state``: running, done, failed or unknown."""

    id: str
    name: str
    kind: str
    state: str = "running"
    reason: str = ""
    detail: Mapping[str, Any] | None = None
    began: float = 0.0
    ended: float | None = None

    def told(self) -> dict[str, Any]:
        return {
            "id": self.id,
            "instance": self.name,
            "kind": self.kind,
            "state": self.state,
            "reason": self.reason,
            "detail": dict(self.detail or {}),
            "began": round(self.began, 3),
            "ended": round(self.ended, 3) if self.ended is not None else None,
        }


class Ledger:
    """``folder`` None: in memory, for an agent that nothing is to outlive."""

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self._lock = -1
        try:
            if folder is not None:
                folder.mkdir(mode=0o700, parents=True, exist_ok=True)
                self._hold(folder / "lock")
            self._db = sqlite3.connect(
                str(folder / "agent.db") if folder else ":memory:", isolation_level=None
            )
            self._open()
        except (OSError, sqlite3.Error) as problem:
            self._release()
            damaged = isinstance(problem, sqlite3.DatabaseError) and not isinstance(
                problem, sqlite3.OperationalError
            )
            raise LedgerError(f"{folder}: {problem}{DAMAGED if damaged else ''}") from problem
        except LedgerError:
            self._release()
            raise

    def _hold(self, path: Path) -> None:
        self._lock = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as problem:
            owner = os.pread(self._lock, 64, 0).decode("ascii", "replace").strip()
            raise LedgerError(f"{path.parent}: another agent holds it (process {owner})") from problem
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, b"%d\n" % os.getpid(), 0)

    def _release(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _open(self) -> None:
        db = self._db
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        if (found := db.execute("PRAGMA quick_check").fetchone()[0]) != "ok":
            raise LedgerError(f"{self.folder}: the state is damaged: {found}{DAMAGED}")
        version = int(db.execute("PRAGMA user_version").fetchone()[0])
        if version == 0:
            db.executescript(f"BEGIN; {TABLES} {FENCES} PRAGMA user_version={VERSION}; COMMIT;")
        elif version == 1:  # of an agent that knew no leases
            db.executescript(f"BEGIN; {FENCES} PRAGMA user_version={VERSION}; COMMIT;")
        elif version != VERSION:
            raise LedgerError(f"{self.folder}: the state is of version {version}; this agent knows {VERSION}")

    def close(self) -> None:
        self._db.close()
        self._release()

    # Instances

    def instances(self) -> dict[str, Kept]:
        rows = self._db.execute(
            "SELECT name, wanted, generation, digest, launch, pid, ticks, boot, restarts, last_exit"
            " FROM instances"
        )
        found = {}
        for name, wanted, generation, digest, launch, pid, ticks, booted, restarts, last_exit in rows:
            process = Identity(pid, ticks, booted) if pid is not None else None
            found[name] = Kept(name, bool(wanted), generation, digest, launch, process, restarts, last_exit)
        return found

    def keep(self, kept: Kept) -> None:
        who = kept.process
        self._db.execute(
            "INSERT OR REPLACE INTO instances VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                kept.name,
                int(kept.wanted),
                kept.generation,
                kept.digest,
                kept.launch,
                *((who.pid, who.ticks, who.boot) if who else (None, None, None)),
                kept.restarts,
                kept.last_exit,
            ),
        )

    def forget(self, name: str) -> None:
        self._db.execute("DELETE FROM instances WHERE name = ?", (name,))

    def exited(self, name: str, code: int | None, ran_s: float) -> None:
        at = time.time()
        self._db.execute(
            "INSERT INTO exits (name, at, code, ran_s) VALUES (?, ?, ?, ?)", (name, at, code, ran_s)
        )
        self._db.execute(
            "DELETE FROM exits WHERE number <= (SELECT max(number) FROM exits) - ?", (EXITS_MOST,)
        )

    def exits(self, name: str, most: int = 5) -> list[dict[str, Any]]:
        """The last ones, the newest first."""
        rows = self._db.execute(
            "SELECT at, code, ran_s FROM exits WHERE name = ? ORDER BY number DESC LIMIT ?", (name, most)
        )
        return [{"at": round(at, 3), "code": code, "ran_s": round(ran_s, 3)} for at, code, ran_s in rows]

    # Operations

    def begin(self, operation: Operation) -> None:
        operation.began = time.time()
        self._db.execute("BEGIN")
        number = self._db.execute("SELECT coalesce(max(number), 0) + 1 FROM operations").fetchone()[0]
        row = (operation.id, number, operation.name, operation.kind, "running", "", "{}", operation.began)
        self._db.execute("INSERT INTO operations VALUES (?, ?, ?, ?, ?, ?, ?, ?, NULL)", row)
        self._db.execute("DELETE FROM operations WHERE number <= ?", (number - OPERATIONS_MOST,))
        self._db.execute("COMMIT")

    def end(self, operation: Operation) -> None:
        operation.ended = time.time()
        self._db.execute(
            "UPDATE operations SET state = ?, reason = ?, detail = ?, ended = ? WHERE id = ?",
            (
                operation.state,
                operation.reason,
                json.dumps(dict(operation.detail or {})),
                operation.ended,
                operation.id,
            ),
        )

    def operation(self, id: str) -> Operation | None:
        row = self._db.execute(
            "SELECT name, kind, state, reason, detail, began, ended FROM operations WHERE id = ?", (id,)
        ).fetchone()
        if row is None:
            return None
        name, kind, state, reason, detail, began, ended = row
        return Operation(id, name, kind, state, reason, json.loads(detail), began, ended)

    def interrupted(self) -> list[Operation]:
        """What was under way when the agent before this one ended; each of them ends as unknown now."""
        rows = self._db.execute("SELECT id FROM operations WHERE state = 'running'").fetchall()
        found = [operation for (id,) in rows if (operation := self.operation(id)) is not None]
        for operation in found:
            operation.state, operation.reason = "unknown", "the agent ended while it was under way"
            self.end(operation)
        return found

    # Events

    def event(self, name: str, what: str, **detail: Any) -> None:
        self._db.execute(
            "INSERT INTO events (at, name, what, detail) VALUES (?, ?, ?, ?)",
            (time.time(), name, what, json.dumps(detail)),
        )
        self._db.execute(
            "DELETE FROM events WHERE number <= (SELECT max(number) FROM events) - ?", (EVENTS_MOST,)
        )

    def events(self, since: int, most: int = 500) -> list[dict[str, Any]]:
        """Those after number ``since``, oldest first."""
        rows = self._db.execute(
            "SELECT number, at, name, what, detail FROM events WHERE number > ? ORDER BY number LIMIT ?",
            (since, most),
        )
        return [
            {"number": n, "at": round(at, 3), "instance": name, "what": what, **json.loads(detail)}
            for n, at, name, what, detail in rows
        ]

    # The hold of a rollout

    def hold(self) -> tuple[str, str, float] | None:
        """Rollout, holder and seconds to live, as they were last granted."""
        row = self._db.execute("SELECT rollout, holder, ttl_s FROM holds").fetchone()
        return (str(row[0]), str(row[1]), float(row[2])) if row else None

    def keep_hold(self, rollout: str, holder: str, ttl_s: float) -> None:
        self._db.execute("INSERT OR REPLACE INTO holds VALUES (1, ?, ?, ?)", (rollout, holder, ttl_s))

    # The fences of leases

    def fences(self) -> dict[str, tuple[int, str]]:
        """By lease: the highest token that was let in, and whose it was."""
        rows = self._db.execute("SELECT lease, token, holder FROM fences")
        return {str(lease): (int(token), str(holder)) for lease, token, holder in rows}

    def keep_fence(self, lease: str, token: int, holder: str) -> None:
        self._db.execute("INSERT OR REPLACE INTO fences VALUES (?, ?, ?)", (lease, token, holder))

    def drop_hold(self) -> None:
        self._db.execute("DELETE FROM holds")
