"""The key that callers of an agent present, in a file that only its owner may read."""

import hmac
import os
import secrets
import stat
from pathlib import Path

from onyxpass.config.platform_file import ConfigError

MIN_KEY_CHARACTERS = 16
MAX_KEY_FILE_BYTES = 4096
KEY_RANDOM_BYTES = 32


def read_key(path: Path) -> str:
    """Return the key in a file.

    Raises ``ConfigError`` if the file can't be read, belongs to another user, is accessible to
    others, or holds no valid key.
    """
    try:
        with path.open("rb") as file:
            status = os.fstat(file.fileno())
            text = file.read(MAX_KEY_FILE_BYTES)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    if status.st_uid != os.geteuid():
        raise ConfigError(f"{path}: the key must belong to the user who uses it")
    if stat.S_IMODE(status.st_mode) & 0o077:
        raise ConfigError(f"{path}: others may read the key; chmod 600 it")
    key = text.decode("ascii", "replace").strip()
    if len(key) < MIN_KEY_CHARACTERS or not key.isprintable() or " " in key or "\ufffd" in key:
        raise ConfigError(
            f"{path}: the key must be {MIN_KEY_CHARACTERS} or more printable characters on one line"
        )
    return key


def make_key(path: Path) -> None:
    """Create a file with a new key; raises ``FileExistsError`` if the file exists."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
    with os.fdopen(descriptor, "w") as file:
        file.write(secrets.token_urlsafe(KEY_RANDOM_BYTES) + "\n")


def is_authorized(authorization: bytes | None, key: str) -> bool:
    """Return whether an ``Authorization`` header carries the key, compared in constant time."""
    expected = b"Bearer " + key.encode()
    return hmac.compare_digest((authorization or b"").strip(), expected)
