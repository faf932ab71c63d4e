"""Operations on record: each is written before anything is done, and once more when it ends."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from onyxpass.agent.state_database import StateDatabase

MAX_OPERATIONS = 2_000
INTERRUPTED_REASON = "the agent ended while it was under way"


class OperationState(StrEnum):
    """How an operation stands; the values are those on record and at the agent's address."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"  # it may or may not have taken effect


@dataclass(slots=True)
class Operation:
    """One order on one instance, under its caller's id. Times are Unix times in seconds."""

    id: str
    instance: str
    kind: str
    state: OperationState = OperationState.RUNNING
    reason: str = ""
    detail: Mapping[str, Any] | None = None
    began_s: float = 0.0
    ended_s: float | None = None

    def finish(
        self, state: OperationState, reason: str = "", detail: Mapping[str, Any] | None = None
    ) -> None:
        """Set how it ended; ``detail`` None leaves what there is."""
        self.state = state
        self.reason = reason
        if detail is not None:
            self.detail = detail

    def to_dict(self) -> dict[str, Any]:
        """Return its JSON form at the agent's address."""
        return {
            "id": self.id,
            "instance": self.instance,
            "kind": self.kind,
            "state": self.state.value,
            "reason": self.reason,
            "detail": dict(self.detail or {}),
            "began": round(self.began_s, 3),
            "ended": round(self.ended_s, 3) if self.ended_s is not None else None,
        }


class OperationRecords:
    """The table ``operations``."""

    def __init__(self, database: StateDatabase) -> None:
        self._database = database

    def begin(self, operation: Operation) -> None:
        """Record an operation before anything of it is done.

        ``StateStoreWriteError``, with nothing of it on record, if the disk takes no write.
        """
        operation.began_s = time.time()
        with self._database.transaction():
            ((number,),) = self._database.query(
                "SELECT coalesce(max(number), 0) + 1 FROM operations"
            )
            self._database.execute(
                "INSERT INTO operations VALUES (?, ?, ?, ?, 'running', '', '{}', ?, NULL)",
                (operation.id, number, operation.instance, operation.kind, operation.began_s),
            )
            self._database.execute(
                "DELETE FROM operations WHERE number <= ?", (number - MAX_OPERATIONS,)
            )

    def end(self, operation: Operation) -> None:
        """Record how it ended, now or once the disk takes it."""
        operation.ended_s = time.time()
        self._database.write_state(
            f"operation {operation.id}",
            "UPDATE operations SET state = ?, reason = ?, detail = ?, ended = ? WHERE id = ?",
            (
                operation.state.value,
                operation.reason,
                json.dumps(dict(operation.detail or {})),
                operation.ended_s,
                operation.id,
            ),
        )

    def find(self, operation_id: str) -> Operation | None:
        """Return the operation on record under this id, if there is one."""
        rows = self._database.query(
            "SELECT name, kind, state, reason, detail, began, ended FROM operations WHERE id = ?",
            (operation_id,),
        )
        if not rows:
            return None
        instance, kind, state, reason, detail, began_s, ended_s = rows[0]
        return Operation(
            id=operation_id,
            instance=instance,
            kind=kind,
            state=OperationState(state),
            reason=reason,
            detail=json.loads(detail),
            began_s=began_s,
            ended_s=ended_s,
        )

    def end_interrupted(self) -> list[Operation]:
        """End as unknown, and return, what was under way when the agent before this one ended."""
        rows = self._database.query("SELECT id FROM operations WHERE state = 'running'")
        found = [operation for (row_id,) in rows if (operation := self.find(row_id)) is not None]
        for operation in found:
            operation.finish(OperationState.UNKNOWN, INTERRUPTED_REASON)
            self.end(operation)
        return found
