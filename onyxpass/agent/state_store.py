"""The state that must survive a crash of the agent.

One SQLite file holds the desired state of every instance and its last process (``instances``),
operations with their outcomes (``operations``), events (``events``), and the rollout lock with the
fences of leases (``locks``). ``StateStore`` owns them and the database's connection. While the disk
accepts no writes, an action that must not happen unrecorded is rejected with
``StateStoreWriteError``, and what has already happened is written later.
"""

from pathlib import Path
from types import TracebackType

from onyxpass.agent.event_records import EventRecords
from onyxpass.agent.instance_records import InstanceRecords
from onyxpass.agent.lock_records import LockRecords
from onyxpass.agent.operation_records import OperationRecords
from onyxpass.agent.state_database import StateDatabase
from onyxpass.agent.state_errors import StateStoreError, StateStoreWriteError

__all__ = ["StateStore", "StateStoreError", "StateStoreWriteError"]


class StateStore:
    """The state of one agent, in ``folder``; None keeps it in memory, until the agent ends."""

    def __init__(self, folder: Path | None) -> None:
        """Open the state; ``StateStoreError`` if unusable, in use or of an unknown version."""
        self._database = StateDatabase(folder)
        self.instances = InstanceRecords(self._database)
        self.operations = OperationRecords(self._database)
        self.events = EventRecords(self._database)
        self.locks = LockRecords(self._database)

    def flush(self) -> None:
        """Write what is pending, if the disk accepts writes again."""
        self._database.flush()

    def close(self) -> None:
        """Write what is pending if possible, and release the folder for another agent."""
        self._database.close()

    def __enter__(self) -> "StateStore":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()
