"""Servers excluded by operators, in force in all processes of one dispatcher.

They are kept in one file, ``excluded.json``, which is changed under a lock and replaced by rename;
its version increases by one with each change. ``SharedExclusions`` owns this process's copy.
"""

import fcntl
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.hot_restart.process_files import MAX_FILE_BYTES

LOCK_RETRY_US = 5_000
LOCK_TIMEOUT_US = 200_000
log = structlog.get_logger("hot_restart")


@dataclass(frozen=True, slots=True)
class ExclusionList:
    """The excluded servers as of one version; on disk ``{"version": ..., "excluded": [...]}``."""

    version: int = 0
    servers: frozenset[str] = frozenset()

    def to_json(self) -> str:
        """Return the file format."""
        return json.dumps({"version": self.version, "excluded": sorted(self.servers)})

    @classmethod
    def from_json(cls, text: bytes) -> "ExclusionList":
        """Parse the file format; ValueError, KeyError, TypeError or RecursionError if damaged."""
        raw: Any = json.loads(text)
        version = int(raw["version"])
        names = raw["excluded"]
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise ValueError("excluded is not a list of names")
        return cls(version, frozenset(names))

    def changed(self, server: str, *, excluded: bool, version: int) -> "ExclusionList":
        """Return a list of ``version`` with one server excluded or included again."""
        servers = self.servers | {server} if excluded else self.servers - {server}
        return ExclusionList(version, servers)


class SharedExclusions:
    """This process's copy of the exclusions; calls ``on_change`` with each new set."""

    def __init__(self, folder: Path | None, wheel: TimerWheel) -> None:
        """Use the file in ``folder``; if None, keep the exclusions in memory only."""
        self.folder = folder
        self.current = ExclusionList()
        self.on_change: Callable[[frozenset[str]], None] = lambda _: None
        self._wheel = wheel
        self._file_stamp: tuple[int, int, int] | None = None

    @property
    def version(self) -> int:
        """The version in force in this process."""
        return self.current.version

    @property
    def servers(self) -> frozenset[str]:
        """The excluded servers."""
        return self.current.servers

    def refresh(self, folder: Path) -> None:
        """Apply the file if it has changed since the last refresh; OSError if it can't be read."""
        path = _file_in(folder)
        try:
            stat = path.stat()
        except FileNotFoundError:
            return
        stamp = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        if stamp != self._file_stamp:
            self._file_stamp = stamp
            self._apply(self._read(path))

    async def change(self, server: str, *, excluded: bool) -> bool:
        """Exclude a server or include it again, in this process at once; True once it is saved.

        If it can't be saved, it is in force in this process under the old version.
        """
        if self.folder is None:
            version = self.version + 1
            self._apply(self.current.changed(server, excluded=excluded, version=version))
            return True
        try:
            await self._change_file(self.folder, server, excluded)
        except OSError as error:
            log.error("exclusion_not_saved", server=server, error=str(error))
            self._apply(self.current.changed(server, excluded=excluded, version=self.version))
            return False
        return True

    async def _change_file(self, folder: Path, server: str, excluded: bool) -> None:
        lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            await self._acquire(lock)
            path = _file_in(folder)
            saved = self._read(path)
            changed = saved.changed(server, excluded=excluded, version=saved.version + 1)
            temporary = path.with_suffix(".new")
            temporary.write_text(changed.to_json())
            temporary.replace(path)  # atomic: no reader sees a partial file
            self._apply(changed)
        finally:
            os.close(lock)

    async def _acquire(self, lock: int) -> None:
        """Lock the file; OSError if another process holds the lock for too long."""
        deadline_us = self._wheel.clock.now_us() + LOCK_TIMEOUT_US
        while True:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                if self._wheel.clock.now_us() >= deadline_us:
                    raise OSError("another process holds the lock") from None
                await self._wheel.sleep(LOCK_RETRY_US)
            else:
                return

    def _read(self, path: Path) -> ExclusionList:
        """Return the saved list; without a valid file, the one in force in this process.

        A damaged file must not prevent the start.
        """
        try:
            with path.open("rb") as file:
                return ExclusionList.from_json(file.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return self.current
        except (ValueError, KeyError, TypeError, RecursionError, OSError) as error:
            log.error("exclusions_file_unusable", path=str(path), error=repr(error))
            return self.current

    def _apply(self, new: ExclusionList) -> None:
        old = self.current
        self.current = new
        if new.servers != old.servers:
            self.on_change(new.servers)


def _file_in(folder: Path) -> Path:
    return folder / "excluded.json"
