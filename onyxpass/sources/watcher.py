"""Watches files and folders, by notifications of the system if available and by polling."""

import asyncio
import os
from collections.abc import AsyncIterator, Mapping, Sequence
from pathlib import Path

import structlog

POLLS_PER_FULL_READ = 10  # polls after which all files are read even if unchanged
SUFFIX = ".toml"
log = structlog.get_logger("sources")

Stamp = tuple[int, ...]


def list_files(paths: Sequence[Path]) -> list[Path]:
    """Return the files to read: in the order of ``paths``, those of a folder sorted by name.

    Files of a folder whose names begin with a dot, such as editors' temporary files, are left out.
    A path that is no folder is left out unless its suffix is ``.toml``; so a missing folder counts
    as empty, and a missing file is returned and can't be read.
    """
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            inside = [
                p for p in path.iterdir() if p.suffix == SUFFIX and not p.name.startswith(".")
            ]
            files += sorted(inside, key=lambda p: p.name)
        elif path.suffix == SUFFIX:
            files.append(path)
    return list(dict.fromkeys(files))


def file_stamps(paths: Sequence[Path]) -> dict[str, Stamp]:
    """Return metadata of each file, which shows a possible change without reading it."""
    stamps: dict[str, Stamp] = {}
    for path in list_files(paths):
        try:
            status = path.stat()
            stamps[str(path)] = (
                status.st_dev,
                status.st_ino,
                status.st_mtime_ns,
                status.st_ctime_ns,
                status.st_size,
            )
        except OSError as problem:
            stamps[str(path)] = (-1, problem.errno or 0)
    return stamps


def read_all(paths: Sequence[Path]) -> Mapping[str, bytes | OSError]:
    """Read all files; the error stands in place of the contents of a file that cannot be read."""
    contents: dict[str, bytes | OSError] = {}
    for path in list_files(paths):
        try:
            contents[str(path)] = path.read_bytes()
        except OSError as problem:
            contents[str(path)] = problem
    return contents


def nearest_existing_folder(path: Path) -> Path:
    """Return the existing folder to watch: the path itself or its nearest existing parent."""
    folder = path if path.is_dir() else path.parent
    while not folder.is_dir() and folder != folder.parent:
        folder = folder.parent
    return folder


class FileWatcher:
    """Detects changes of files and folders."""

    def __init__(self, paths: Sequence[Path], poll_s: float) -> None:
        self.paths, self.poll_s = paths, poll_s
        self.changed = asyncio.Event()
        self.notifications_active = False  # whether the system notifies of changes
        self._stamps: dict[str, Stamp] = {}
        self._polls = 0

    async def changes(self) -> AsyncIterator[None]:
        """Yield whenever the files should be read.

        They are read at first, after a change, and at each ``POLLS_PER_FULL_READ``-th check.
        """
        notified = True
        while True:
            current = await asyncio.to_thread(file_stamps, self.paths)
            self._polls += 1
            # The full read finds a second write within one tick of the file system's clock, which
            # leaves the metadata unchanged.
            if notified or current != self._stamps or self._polls % POLLS_PER_FULL_READ == 0:
                self._stamps = current
                yield
            try:
                # ``asyncio.wait_for`` would swallow a cancellation that comes with the event.
                async with asyncio.timeout(self.poll_s):
                    await self.changed.wait()
                notified = True
            except TimeoutError:
                notified = False
            self.changed.clear()

    async def listen(self) -> None:
        """Wait for notifications of the system; does not return.

        Without the package watchfiles changes are found by polling only.
        """
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
            folders = {nearest_existing_folder(path) for path in self.paths}
            folders |= {Path(os.path.realpath(folder)) for folder in folders}
            try:
                self.notifications_active = True
                async for _ in awatch(*folders, recursive=False, step=20, debounce=50):
                    self.changed.set()
                    if {nearest_existing_folder(path) for path in self.paths} - folders:
                        break  # a folder has appeared
            except (OSError, RuntimeError) as problem:
                self.notifications_active = False
                log.warning("file_watch_unavailable", why=str(problem))
                await asyncio.sleep(self.poll_s)
