"""Writes that wait for a disk which takes none at present, in their order. Without I/O of its own.

What an agent has decided is carried out whether or not it can be recorded; the record is written
once the disk takes it again. A thing that has one state, such as an instance, has at most one
pending write, its latest. Lines of a log are appended one by one, and bounded in number.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

MAX_PENDING_ROWS = 1_000  # past that, the oldest are dropped

Write = Callable[[], None]


class WriteBehindQueue:
    """Pending writes. ``retryable``: the errors after which a write is tried again later."""

    def __init__(self, *retryable: type[Exception]) -> None:
        self._retryable = retryable
        self._states: OrderedDict[str, Write] = OrderedDict()
        self._rows: OrderedDict[int, Write] = OrderedDict()
        self._next_row = 0
        self.dropped_rows = 0

    def __len__(self) -> int:
        return len(self._states) + len(self._rows)

    def write_state(self, key: str, write: Write) -> Exception | None:
        """Write the state of ``key``, in place of what is pending for it; like ``flush``."""
        self._states[key] = write
        self._states.move_to_end(key)
        return self.flush()

    def discard_state(self, key: str) -> None:
        """Drop what is pending for ``key``, because a newer state has been written directly."""
        self._states.pop(key, None)

    def write_row(self, write: Write) -> Exception | None:
        """Write one line of a log; like ``flush``."""
        self._rows[self._next_row] = write
        self._next_row += 1
        while len(self._rows) > MAX_PENDING_ROWS:
            self._rows.popitem(last=False)
            self.dropped_rows += 1
        return self.flush()

    def flush(self) -> Exception | None:
        """Write all that is pending, states first.

        Returns the retryable error at which it stopped, or None if nothing is pending any more.
        Any other error is raised, and its write stays pending.
        """
        return self._flush(self._states) or self._flush(self._rows)

    def _flush(self, pending: OrderedDict[Any, Write]) -> Exception | None:
        while pending:
            key, write = next(iter(pending.items()))
            try:
                write()
            except self._retryable as error:
                return error
            del pending[key]
        return None
