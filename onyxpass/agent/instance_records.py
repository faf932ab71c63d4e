"""Stored instances: their desired state, configuration, last process and exits."""

import time
from dataclasses import dataclass
from typing import Any

from onyxpass.agent.process import ProcessIdentity
from onyxpass.agent.state_database import Row, StateDatabase

MAX_EXITS = 2_000
EXITS_SHOWN = 5
SAVE_STATEMENT = "INSERT OR REPLACE INTO instances VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"


@dataclass(slots=True)
class InstanceRecord:
    """The stored state of one instance, owned by the instance's actor.

    ``digest`` is that of the configuration of ``generation``; operations set and save both.
    ``launch`` is the id of the last launch, which is also in the environment of its process; empty
    once that process has ended.
    """

    name: str
    wanted: bool = True
    generation: int = 0
    digest: str = ""
    launch: str = ""
    process: ProcessIdentity | None = None
    restarts: int = 0
    last_exit: int | None = None


@dataclass(frozen=True, slots=True)
class ExitRecord:
    """The exit of one process: its Unix time, its code if known, and how long the process ran."""

    at_s: float
    code: int | None
    ran_s: float

    def to_dict(self) -> dict[str, Any]:
        """Return the exit's JSON form in the agent's API."""
        return {"at": round(self.at_s, 3), "code": self.code, "ran_s": round(self.ran_s, 3)}


class InstanceRecords:
    """The tables ``instances`` and ``exits``."""

    def __init__(self, database: StateDatabase) -> None:
        self._database = database

    def load(self) -> dict[str, InstanceRecord]:
        """Return all stored instances, by name."""
        rows = self._database.query(
            "SELECT name, wanted, generation, digest, launch, pid, ticks, boot, restarts, last_exit"
            " FROM instances"
        )
        records = [_from_row(row) for row in rows]
        return {record.name: record for record in records}

    def save_now(self, record: InstanceRecord) -> None:
        """Save a record before an action that must not happen unrecorded.

        Raises ``StateStoreWriteError`` if the write fails; the action must not be performed then.
        """
        self._database.write_now(record.name, SAVE_STATEMENT, _to_row(record))

    def save(self, record: InstanceRecord) -> None:
        """Save a record of what has already happened, now or once the disk accepts writes."""
        self._database.write_state(record.name, SAVE_STATEMENT, _to_row(record))

    def delete(self, name: str) -> None:
        """Remove an instance that the configuration no longer names."""
        self._database.execute("DELETE FROM instances WHERE name = ?", (name,))

    def add_exit(self, name: str, code: int | None, ran_s: float) -> None:
        """Record that the instance's process has just ended, after ``ran_s`` seconds."""
        self._database.append_row(
            "exits",
            MAX_EXITS,
            "INSERT INTO exits (name, at, code, ran_s) VALUES (?, ?, ?, ?)",
            (name, time.time(), code, ran_s),
        )

    def latest_exits(self, name: str, limit: int = EXITS_SHOWN) -> list[ExitRecord]:
        """Return the last exits of an instance, newest first."""
        rows = self._database.query(
            "SELECT at, code, ran_s FROM exits WHERE name = ? ORDER BY number DESC LIMIT ?",
            (name, limit),
        )
        return [ExitRecord(*row) for row in rows]


def _from_row(row: Row) -> InstanceRecord:
    name, wanted, generation, digest, launch, pid, ticks, boot, restarts, last_exit = row
    return InstanceRecord(
        name=name,
        wanted=bool(wanted),
        generation=generation,
        digest=digest,
        launch=launch,
        process=ProcessIdentity(pid, ticks, boot) if pid is not None else None,
        restarts=restarts,
        last_exit=last_exit,
    )


def _to_row(record: InstanceRecord) -> Row:
    process = record.process
    identity = (process.pid, process.ticks, process.boot) if process else (None, None, None)
    return (
        record.name,
        int(record.wanted),
        record.generation,
        record.digest,
        record.launch,
        *identity,
        record.restarts,
        record.last_exit,
    )
