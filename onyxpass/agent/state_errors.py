"""Errors of the agent's state store.

``StateStoreError`` and its subclasses mean that the store can't be opened at all.
``StateStoreWriteError`` means that a store in use takes no write at present.
"""

from pathlib import Path

RECOVERY_HINT = (
    "; agent.db is left as it is: stop the instances that still run, move it aside and start again"
)


class StateStoreWriteError(RuntimeError):
    """The disk takes no write at present, so an action that must be recorded first can't be done.

    ``reason`` is the database's own text.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class StateStoreError(RuntimeError):
    """The state in ``folder`` can't be used, for ``reason``; ``folder`` None is memory."""

    def __init__(self, folder: Path | None, reason: str) -> None:
        super().__init__(f"{folder}: {reason}")
        self.folder = folder
        self.reason = reason


class StateStoreInUseError(StateStoreError):
    """Another agent, of the process id ``owner``, has locked the folder."""

    def __init__(self, folder: Path, owner: str) -> None:
        super().__init__(folder, f"another agent holds it (process {owner})")
        self.owner = owner


class StateStoreDamagedError(StateStoreError):
    """The database file is damaged. It is never replaced: that could start instances twice."""

    def __init__(self, folder: Path | None, reason: str) -> None:
        super().__init__(folder, f"{reason}{RECOVERY_HINT}")


class StateStoreVersionError(StateStoreError):
    """The schema's version, ``found``, is not one that this program knows."""

    def __init__(self, folder: Path | None, found: int, known: int) -> None:
        super().__init__(folder, f"the state is of version {found}; this agent knows {known}")
        self.found = found
        self.known = known
