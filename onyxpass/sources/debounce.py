"""When files that change are judged, without I/O: once they are still, and sooner or later in
any case.

An editor writes in steps, and a server moves from one file to another in two: what is seen in
between must not come into force. Files are judged once they have been the same for ``settle_s``, or
for ``leave_s`` where servers would leave. Files that never rest are judged after ``most_s`` all the
same, as they then are.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

MOST = 10  # times the settling time that a storm of changes may put off the judgement

Files = Mapping[str, bytes | OSError]


def contents_digest(files: Files) -> bytes:
    """Names what the files hold, in their order; what can't be read counts as that."""
    found = hashlib.blake2b(digest_size=16)
    for name, data in files.items():
        told = data if isinstance(data, bytes) else repr(data).encode()
        found.update(b"%d %d " % (len(name.encode("utf-8", "surrogateescape")), len(told)))
        found.update(name.encode("utf-8", "surrogateescape"))
        found.update(told)
    return found.digest()


@dataclass(slots=True)
class Debouncer:
    """``judged``: the contents that were judged last, so that each version is judged and logged
    once.
    """

    settle_s: float
    leave_s: float
    judged: bytes = b""
    seen: bytes = b""
    since_s: float = 0.0  # since when they are as they are
    first_s: float = 0.0  # since when they differ from what was judged

    def look(self, contents: bytes, now_s: float, loses: bool) -> float | None:
        """0 if they are to be judged now, else seconds until the next look, or None: nothing is
        new.

        ``loses``: whether servers would leave.
        """
        if contents == self.judged:
            self.seen = contents
            return None
        if contents != self.seen:
            if self.seen in (b"", self.judged):
                self.first_s = now_s
            self.seen, self.since_s = contents, now_s
        still_s = max(self.settle_s, self.leave_s) if loses else self.settle_s
        left_s = min(self.since_s + still_s, self.first_s + MOST * max(still_s, 0.01)) - now_s
        return max(0.0, left_s)

    def done(self, contents: bytes) -> None:
        self.judged = self.seen = contents
