"""Events on record: what happened to each instance, for operators, as a bounded log."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from onyxpass.agent.state_database import StateDatabase

MAX_EVENTS = 10_000
MAX_EVENTS_PER_QUERY = 500


@dataclass(frozen=True, slots=True)
class EventRecord:
    """One event; ``instance`` is empty where it concerns the agent. ``at_s`` is Unix time."""

    number: int
    at_s: float
    instance: str
    what: str
    detail: Mapping[str, Any]

    def to_dict(self) -> dict[str, Any]:
        """Return its JSON form at the agent's address."""
        return {
            "number": self.number,
            "at": round(self.at_s, 3),
            "instance": self.instance,
            "what": self.what,
            **self.detail,
        }


class EventRecords:
    """The table ``events``."""

    def __init__(self, database: StateDatabase) -> None:
        self._database = database

    def append(self, instance: str, what: str, **detail: Any) -> None:
        """Record an event of now; written now, or once the disk takes it."""
        self._database.append_row(
            "events",
            MAX_EVENTS,
            "INSERT INTO events (at, name, what, detail) VALUES (?, ?, ?, ?)",
            (time.time(), instance, what, json.dumps(detail)),
        )

    def after(self, number: int, limit: int = MAX_EVENTS_PER_QUERY) -> list[EventRecord]:
        """Return the events after ``number``, oldest first, at most ``limit``."""
        rows = self._database.query(
            "SELECT number, at, name, what, detail FROM events WHERE number > ?"
            " ORDER BY number LIMIT ?",
            (number, limit),
        )
        return [
            EventRecord(found, at_s, instance, what, json.loads(detail))
            for found, at_s, instance, what, detail in rows
        ]
