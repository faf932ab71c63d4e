"""Files through which the processes of one dispatcher find each other.

Each process keeps a lock on its own file ``NUMBER-PID.process`` while it runs, and publishes its
status there. Numbers increase, so names sort by start order. A file without a lock belonged to a
process that was killed; a scan of the folder removes it.
"""

import fcntl
import json
import os
import re
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

MAX_FILE_BYTES = 1024 * 1024
STATUS_BYTES = 64  # fixed size, so that a shorter status leaves no bytes of a longer one
PROCESS_FILE = re.compile(r"(\d{20})-\d+\.process\Z")


def next_process_name(folder: Path) -> str:
    """Return a name that sorts after those of all processes that have a file in the folder.

    A number, unlike the time, keeps the start order after a step of the wall clock: with names made
    of the time, the old process could count itself as the successor of the new one.
    """
    matches = [PROCESS_FILE.match(path.name) for path in folder.glob("*.process")]
    number = 1 + max((int(match[1]) for match in matches if match), default=0)
    return f"{number:020d}-{os.getpid()}.process"


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Status that a process publishes; on disk ``{"seen": ..., "limit": ...}``."""

    exclusions_version: int = -1  # version of the exclusions in force in it
    descriptor_limit: int | None = None  # descriptors that it may hold; None: not yet published

    def to_json(self) -> bytes:
        """Return the file format, padded to a fixed size."""
        fields = {"seen": self.exclusions_version, "limit": self.descriptor_limit}
        return json.dumps(fields).encode().ljust(STATUS_BYTES)

    @classmethod
    def from_json(cls, text: bytes) -> "ProcessStatus":
        """Parse the file format; ValueError, KeyError, TypeError or RecursionError if damaged."""
        fields = json.loads(text)
        return cls(int(fields["seen"]), int(fields["limit"]))


@dataclass(frozen=True, slots=True)
class OtherProcess:
    """Another running process of this dispatcher."""

    name: str
    status: ProcessStatus


class OwnProcessFile:
    """This process's file, locked from ``create`` to ``remove`` or the end of the process."""

    def __init__(self, path: Path, descriptor: int) -> None:
        self.path = path
        self._descriptor = descriptor
        self._published = b""

    @classmethod
    def create(cls, folder: Path) -> "OwnProcessFile":
        """Create the file, and the folder if necessary; OSError on failure."""
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        path = folder / next_process_name(folder)
        unlocked = path.with_suffix(".new")
        descriptor = os.open(unlocked, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            unlocked.rename(path)  # locked before any other process sees it
        except OSError:
            os.close(descriptor)
            raise
        return cls(path, descriptor)

    def publish(self, status: ProcessStatus) -> None:
        """Write the status if it has changed; OSError on failure."""
        text = status.to_json()
        if text != self._published:
            os.pwrite(self._descriptor, text, 0)
            self._published = text

    def remove(self) -> None:
        """Remove the file and release its lock; nothing may be published afterwards."""
        self.path.unlink(missing_ok=True)
        os.close(self._descriptor)


def running_processes(
    folder: Path, own_name: str, known: Sequence[OtherProcess]
) -> list[OtherProcess]:
    """Return the other processes in start order; remove the files of killed ones.

    A status that can't be read, because it is being written, is taken from ``known``.
    """
    last_status = {process.name: process.status for process in known}
    running = []
    for path in sorted(folder.glob("*.process")):
        if path.name != own_name and (text := _read_if_locked(path)) is not None:
            status = _status_or(text, last_status.get(path.name, ProcessStatus()))
            running.append(OtherProcess(path.name, status))
    return running


def _read_if_locked(path: Path) -> bytes | None:
    """Return the file's text if its process runs; otherwise remove the file and return None."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path.unlink(missing_ok=True)
        path.with_suffix(".heir").unlink(missing_ok=True)
    except BlockingIOError:
        return os.pread(descriptor, MAX_FILE_BYTES, 0)
    finally:
        os.close(descriptor)
    return None


def _status_or(text: bytes, default: ProcessStatus) -> ProcessStatus:
    try:
        return ProcessStatus.from_json(text)
    except (ValueError, KeyError, TypeError, RecursionError):
        return default
