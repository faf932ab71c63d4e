"""Debounces file changes, without I/O: decides when changed files are validated.

An editor writes a file in several steps, and a server moves from one file to another in two steps:
the intermediate states must not be applied. Files are validated once they have been unchanged for
``settle_s``, and also for ``leave_s`` if servers would be removed. Files that keep changing are
validated after ``MAX_DELAY_FACTOR`` times that period, with the contents that they have then.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

# Upper bound of the delay by continuous changes, as a multiple of the settling period.
MAX_DELAY_FACTOR = 10

Files = Mapping[str, bytes | OSError]


def contents_digest(files: Files) -> bytes:
    """Return a digest of the files' names and contents, in their order.

    For a file that cannot be read the error stands for its contents.
    """
    digest = hashlib.blake2b(digest_size=16)
    for name, data in files.items():
        content = data if isinstance(data, bytes) else repr(data).encode()
        digest.update(b"%d %d " % (len(name.encode("utf-8", "surrogateescape")), len(content)))
        digest.update(name.encode("utf-8", "surrogateescape"))
        digest.update(content)
    return digest.digest()


@dataclass(slots=True)
class Debouncer:
    """Tracks how long the files have been unchanged.

    ``validated`` is the digest of the contents that were validated last, so that each version is
    validated and logged once.
    """

    settle_s: float
    leave_s: float
    validated: bytes = b""
    current: bytes = b""
    changed_s: float = 0.0  # time of the last change
    differs_s: float = 0.0  # time at which they began to differ from the validated contents

    def seconds_until_due(
        self, contents: bytes, now_s: float, removes_servers: bool
    ) -> float | None:
        """Return the seconds until the contents are due, 0 if they are due now.

        Returns None if these contents were validated last. ``removes_servers`` tells whether the
        contents would remove servers.
        """
        if contents == self.validated:
            self.current = contents
            return None
        if contents != self.current:
            if self.current in (b"", self.validated):
                self.differs_s = now_s
            self.current, self.changed_s = contents, now_s
        settling_s = max(self.settle_s, self.leave_s) if removes_servers else self.settle_s
        left_s = (
            min(
                self.changed_s + settling_s,
                self.differs_s + MAX_DELAY_FACTOR * max(settling_s, 0.01),
            )
            - now_s
        )
        return max(0.0, left_s)

    def mark_validated(self, contents: bytes) -> None:
        self.validated = self.current = contents
