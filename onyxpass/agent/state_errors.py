"""Errors of the agent's state store.

``StateStoreError`` and its subclasses mean that the store can't be opened.
``StateStoreWriteError`` means that an open store accepts no writes at present.
"""

from pathlib import Path

RECOVERY_HINT = (
    "; agent.db is left as it is: stop the instances that still run, move it aside and start again"
)


class StateStoreWriteError(RuntimeError):
    """A write failed, so an action that must be stored first can't be performed.

    ``reason`` is the database's error message.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class StateStoreError(RuntimeError):
    """The state in ``folder`` (None: in memory) can't be used, because of ``reason``."""

    def __init__(self, folder: Path | None, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder
        self.reason = reason


class StateStoreInUseError(StateStoreError):
    """Another agent, with the process id ``owner``, has locked the folder."""

    def __init__(self, folder: Path, owner: str) -> None:
        super().__init__(folder, f"another agent holds it (process {owner})")
        self.owner = owner


class StateStoreDamagedError(StateStoreError):
    """The database file is damaged. It is never replaced: that could start instances twice."""

    def __init__(self, folder: Path | None, reason: str) -> None:
        super().__init__(folder, f"{reason}{RECOVERY_HINT}")


class StateStoreVersionError(StateStoreError):
    """The schema's version, ``found``, is not supported; ``known`` is the current one."""

    def __init__(self, folder: Path | None, found: int, known: int) -> None:
        super().__init__(folder, f"the state is of version {found}; this agent knows {known}")
        self.found = found
        self.known = known
