"""An exclusive lock on a state folder, so that two agents never use the same state.

The kernel releases the lock when the process that holds it ends, also after SIGKILL.
"""

import fcntl
import os
from pathlib import Path
from types import TracebackType

from onyxpass.agent.state_errors import StateStoreInUseError

LOCK_FILE = "lock"
MAX_OWNER_BYTES = 64


class FolderLock:
    """An ``flock`` on the folder's lock file, which contains the owner's process id."""

    def __init__(self, folder: Path) -> None:
        """Acquire the lock; raises ``StateStoreInUseError`` if another process holds it."""
        self._descriptor = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._write_owner()
        except BlockingIOError as error:
            owner = os.pread(self._descriptor, MAX_OWNER_BYTES, 0).decode("ascii", "replace")
            self.close()
            raise StateStoreInUseError(folder, owner.strip()) from error
        except OSError:
            self.close()
            raise

    def _write_owner(self) -> None:
        os.ftruncate(self._descriptor, 0)
        os.pwrite(self._descriptor, b"%d\n" % os.getpid(), 0)

    def close(self) -> None:
        """Release the lock; a second call does nothing."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def __enter__(self) -> "FolderLock":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()
