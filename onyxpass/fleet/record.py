"""The record of rollouts: what was planned, which orders were sent and how they ended.

It is a SQLite database and a lock in one folder per fleet; the process that runs a rollout owns
both. Every order is durable in it before it is sent. The record tells a resumed rollout which
instances were ordered; it is no proof of an instance's state. This module holds the mapping between
its tables and the names used in the code.
"""

import json
import sqlite3
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from onyxpass.fleet.outcome import InstanceOutcome, OutcomeKind
from onyxpass.fleet.rollout import ChangeMethod, InstanceTarget
from onyxpass.fleet.rollout_lock import RolloutLock

FILE_NAME = "rollouts.db"
SCHEMA_VERSION = 1
BUSY_TIMEOUT_MS = 2_000
TABLES = """
CREATE TABLE rollouts (id TEXT PRIMARY KEY, number INTEGER NOT NULL, began REAL NOT NULL, ended REAL,
    method TEXT NOT NULL, options TEXT NOT NULL, state TEXT NOT NULL, why TEXT NOT NULL);
CREATE TABLE members (rollout TEXT NOT NULL, name TEXT NOT NULL, digest TEXT NOT NULL, launch TEXT NOT NULL,
    operation TEXT NOT NULL, outcome TEXT, reason TEXT NOT NULL, PRIMARY KEY (rollout, name));
"""  # noqa: E501  # SQLite stores the text of a table, so it stays as it is


class RolloutRecordError(RuntimeError):
    """The record in ``folder`` can't be used; ``reason`` says why in one line."""

    def __init__(self, folder: Path, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder
        self.reason = reason


class RolloutState(StrEnum):
    """The recorded state of a rollout.

    A rollout that is RUNNING or ABORTING while no process holds the lock was interrupted.
    """

    RUNNING = "running"
    ABORTING = "aborting"
    ENDED = "ended"
    ABORTED = "aborted"


@dataclass(slots=True)
class RecordedInstance:
    """One instance of a rollout; ``operation`` is the id of its order, empty before the order."""

    name: str
    target: InstanceTarget
    operation: str = ""
    outcome: InstanceOutcome | None = None


@dataclass(slots=True)
class RecordedRollout:
    """A recorded rollout; ``began`` and ``ended`` are Unix times in seconds."""

    id: str
    method: ChangeMethod
    options: Mapping[str, Any]
    state: RolloutState
    why: str
    began: float
    ended: float | None
    instances: dict[str, RecordedInstance]


class RolloutRecord:
    """The record of one fleet, a context manager that closes the record.

    Raises ``RolloutRecordError`` if the folder or the database can't be used.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._lock = RolloutLock(folder)
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._database = sqlite3.connect(str(folder / FILE_NAME), isolation_level=None)
            self._prepare_database()
        except (OSError, sqlite3.Error) as error:
            raise RolloutRecordError(folder, str(error)) from error

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _prepare_database(self) -> None:
        database = self._database
        database.execute(f"PRAGMA busy_timeout={BUSY_TIMEOUT_MS}")
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=FULL")
        found = database.execute("PRAGMA quick_check").fetchone()[0]
        if found != "ok":
            raise RolloutRecordError(self.folder, f"the record is damaged: {found}")
        version = int(database.execute("PRAGMA user_version").fetchone()[0])
        if version == 0:
            database.executescript(f"BEGIN; {TABLES} PRAGMA user_version={SCHEMA_VERSION}; COMMIT;")
        elif version != SCHEMA_VERSION:
            raise RolloutRecordError(
                self.folder,
                f"the record has version {version}; this program supports {SCHEMA_VERSION}",
            )

    def close(self) -> None:
        """Close the database and release the lock."""
        self._database.close()
        self._lock.release()

    # The lock

    def lock(self, rollout: str) -> None:
        """Lock the record for a rollout; ``RolloutLockedError`` if another process holds it."""
        self._lock.acquire(rollout)

    def lock_owner(self) -> str:
        """Return who runs a rollout now; empty if nobody does."""
        return self._lock.owner()

    # Rollouts

    def begin(
        self,
        rollout: str,
        method: ChangeMethod,
        options: Mapping[str, Any],
        targets: Mapping[str, InstanceTarget],
    ) -> None:
        """Record a new rollout as running."""
        database = self._database
        database.execute("BEGIN")
        number = database.execute("SELECT coalesce(max(number), 0) + 1 FROM rollouts").fetchone()[0]
        row = (rollout, number, time.time(), method.value, json.dumps(dict(options)))
        database.execute("INSERT INTO rollouts VALUES (?, ?, ?, NULL, ?, ?, 'running', '')", row)
        database.executemany(
            "INSERT INTO members VALUES (?, ?, ?, ?, '', NULL, '')",
            [(rollout, name, target.digest, target.launch) for name, target in targets.items()],
        )
        database.execute("COMMIT")

    def record_order(self, rollout: str, name: str, operation: str) -> None:
        """Record the operation of an instance; must be called before the order is sent."""
        self._database.execute(
            "UPDATE members SET operation = ? WHERE rollout = ? AND name = ?",
            (operation, rollout, name),
        )

    def record_outcome(self, rollout: str, name: str, outcome: InstanceOutcome) -> None:
        """Record the outcome of an instance."""
        self._database.execute(
            "UPDATE members SET outcome = ?, reason = ? WHERE rollout = ? AND name = ?",
            (outcome.kind.value, outcome.reason, rollout, name),
        )

    def end(self, rollout: str, state: RolloutState, why: str) -> None:
        """Record the end of a rollout."""
        self._database.execute(
            "UPDATE rollouts SET state = ?, why = ?, ended = ? WHERE id = ?",
            (state.value, why, time.time(), rollout),
        )

    def request_abort(self, rollout: str, why: str) -> None:
        """Record a request to abort, for which the process that runs the rollout polls."""
        self._database.execute(
            "UPDATE rollouts SET state = 'aborting', why = ? WHERE id = ? AND state = 'running'",
            (why, rollout),
        )

    def requested_abort(self, rollout: str) -> str:
        """Return the reason for which an abort was requested; empty if none was."""
        row = self._database.execute(
            "SELECT state, why FROM rollouts WHERE id = ?", (rollout,)
        ).fetchone()
        return str(row[1]) if row is not None and row[0] == RolloutState.ABORTING else ""

    def find(self, rollout: str = "") -> RecordedRollout | None:
        """Return the rollout of this id, or the latest; None if there is none."""
        row = self._database.execute(
            "SELECT id, method, options, state, why, began, ended FROM rollouts"
            " WHERE id = ? OR ? = '' ORDER BY number DESC LIMIT 1",
            (rollout, rollout),
        ).fetchone()
        if row is None:
            return None
        found, method, options, state, why, began, ended = row
        return RecordedRollout(
            id=found,
            method=ChangeMethod(method),
            options=json.loads(options),
            state=RolloutState(state),
            why=why,
            began=began,
            ended=ended,
            instances=self._instances_of(found),
        )

    def _instances_of(self, rollout: str) -> dict[str, RecordedInstance]:
        rows = self._database.execute(
            "SELECT name, digest, launch, operation, outcome, reason FROM members"
            " WHERE rollout = ?",
            (rollout,),
        )
        instances = {}
        for name, digest, launch, operation, kind, reason in rows:
            outcome = InstanceOutcome(OutcomeKind(kind), reason) if kind is not None else None
            target = InstanceTarget(digest, launch)
            instances[name] = RecordedInstance(name, target, operation, outcome)
        return instances
