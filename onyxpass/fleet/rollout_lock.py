"""The lock that prevents two processes from running rollouts on the same record.

It is an advisory lock on a file, which the operating system releases when its process ends. The
file names the process that holds the lock. ``RolloutRecord`` owns the lock.
"""

import fcntl
import getpass
import os
import socket
import time
from pathlib import Path

FILE_NAME = "lock"
MAX_TEXT_BYTES = 4096


class RolloutLockedError(RuntimeError):
    """Another process runs a rollout; the message says which."""


def process_identity() -> str:
    """Return user, host and process id, for people."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):  # the user id has no name
        user = str(os.getuid())
    return f"{user}@{socket.gethostname()} process {os.getpid()}"


class RolloutLock:
    """The lock of one folder; owns the file descriptor while the lock is held."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._descriptor = -1

    def acquire(self, rollout: str) -> None:
        """Lock the folder for this rollout; ``RolloutLockedError`` if another process holds it."""
        descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            owner = _read_owner(descriptor)
            os.close(descriptor)
            raise RolloutLockedError(f"rollout {owner or 'of another process'}") from error
        since = time.strftime("%Y-%m-%d %H:%M:%S")
        owner = f"{rollout} is held by {process_identity()} since {since}\n"
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, owner.encode(), 0)
        self._descriptor = descriptor

    def owner(self) -> str:
        """Return who holds the lock now; empty if nobody does."""
        try:
            descriptor = os.open(self._path, os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return ""
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return _read_owner(descriptor)
        else:
            return ""
        finally:
            os.close(descriptor)

    def release(self) -> None:
        """Release the lock if this object holds it."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def _read_owner(descriptor: int) -> str:
    return os.pread(descriptor, MAX_TEXT_BYTES, 0).decode("utf-8", "replace").strip()
