"""Atomic replacement of files: a reader finds the old content or the new, never a part.

The new content is written to a file beside the old one, synced, and renamed into place.
"""

import contextlib
import os
import threading
from pathlib import Path


def replace(path: Path, content: bytes) -> None:
    """Replace a file's content; it is durable once this returns.

    Creates the folder if it is absent. Raises ``OSError`` on failure. The file then still has its
    old content, unless only the sync of the folder failed; the temporary file is removed if
    possible.
    """
    temporary = _temporary_path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    try:
        with temporary.open("wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise
    _sync_folder(path.parent)


def _temporary_path(path: Path) -> Path:
    """Return a path unique to this thread, since several may replace the same file at once."""
    return path.with_name(f"{path.name}.{os.getpid()}.{threading.get_ident()}.new")


def _sync_folder(path: Path) -> None:
    """Sync a folder, so that a rename in it survives a crash of the machine."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
