"""Watches files and folders: told by the system where that can be had, and by looking now and
then.
"""

import asyncio
import os
from collections.abc import AsyncIterator, Mapping, Sequence
from pathlib import Path

import structlog

FULL_LOOKS = 10  # every so many looks all files are read, whatever their stamps say
SUFFIX = ".toml"
log = structlog.get_logger("sources")

Stamp = tuple[int, ...]


def named(paths: Sequence[Path]) -> list[Path]:
    """The files to read, in their fixed order: as told, and those of a folder by name.

    What begins with a dot, as editors' drafts do, is none of them. A folder that is not there yet
    is empty; a file that is not there is named all the same, and can't be read.
    """
    found: list[Path] = []
    for path in paths:
        if path.is_dir():
            inside = [
                p for p in path.iterdir() if p.suffix == SUFFIX and not p.name.startswith(".")
            ]
            found += sorted(inside, key=lambda p: p.name)
        elif path.suffix == SUFFIX:
            found.append(path)
    return list(dict.fromkeys(found))


def stamp_of(paths: Sequence[Path]) -> dict[str, Stamp]:
    """What tells cheaply that files may have changed."""
    found: dict[str, Stamp] = {}
    for path in named(paths):
        try:
            told = path.stat()
            found[str(path)] = (
                told.st_dev,
                told.st_ino,
                told.st_mtime_ns,
                told.st_ctime_ns,
                told.st_size,
            )
        except OSError as problem:
            found[str(path)] = (-1, problem.errno or 0)
    return found


def read_all(paths: Sequence[Path]) -> Mapping[str, bytes | OSError]:
    """All files at once; what can't be read is told in place of its text."""
    found: dict[str, bytes | OSError] = {}
    for path in named(paths):
        try:
            found[str(path)] = path.read_bytes()
        except OSError as problem:
            found[str(path)] = problem
    return found


def nearest(path: Path) -> Path:
    """The folder to be told of changes in, which is there: of a path that appears later, one
    above it.
    """
    folder = path if path.is_dir() else path.parent
    while not folder.is_dir() and folder != folder.parent:
        folder = folder.parent
    return folder


class FileWatcher:
    """``looks`` yields whenever the files should be read: after a change, else rarely."""

    def __init__(self, paths: Sequence[Path], poll_s: float) -> None:
        self.paths, self.poll_s = paths, poll_s
        self.told = asyncio.Event()
        self.notified = False  # whether the system tells of changes
        self._stamp: dict[str, Stamp] = {}
        self._looks = 0

    async def looks(self) -> AsyncIterator[None]:
        """Once at first, then after each change."""
        told = True
        while True:
            stamp = await asyncio.to_thread(stamp_of, self.paths)
            self._looks += 1
            # Guards against two writes within one tick of the file system's clock, which look like
            # one.
            if told or stamp != self._stamp or self._looks % FULL_LOOKS == 0:
                self._stamp = stamp
                yield
            try:
                await asyncio.wait_for(self.told.wait(), self.poll_s)
                told = True
            except TimeoutError:
                told = False
            self.told.clear()

    async def listen(self) -> None:
        """Have the system tell; never ends. Without it, looking now and then is all there is."""
        try:
            from watchfiles import awatch
        except ImportError:
            log.info(
                "files_polled",
                every_s=self.poll_s,
                why="watchfiles is not installed",
            )
            await asyncio.Event().wait()
            return
        while True:
            folders = {nearest(path) for path in self.paths}
            folders |= {Path(os.path.realpath(folder)) for folder in folders}
            try:
                self.notified = True
                async for _ in awatch(*folders, recursive=False, step=20, debounce=50):
                    self.told.set()
                    if {nearest(path) for path in self.paths} - folders:
                        break  # a folder has appeared
            except (OSError, RuntimeError) as problem:
                self.notified = False
                log.warning("file_watch_unavailable", why=str(problem))
                await asyncio.sleep(self.poll_s)
