"""A queue of writes that wait until the disk accepts writes again. Without I/O of its own.

The writes record what has already happened, whether or not it can be stored at present. A keyed
state, such as that of an instance, has at most one pending write, its latest. Rows of a log are
appended one by one, and pending rows are bounded in number.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

MAX_PENDING_ROWS = 1_000  # beyond this, the oldest are dropped

Write = Callable[[], None]


class WriteBehindQueue:
    """Pending writes. ``retryable``: the errors after which a write stays pending for a retry."""

    def __init__(self, *retryable: type[Exception]) -> None:
        self._retryable = retryable
        self._states: OrderedDict[str, Write] = OrderedDict()
        self._rows: OrderedDict[int, Write] = OrderedDict()
        self._next_row = 0
        self.dropped_rows = 0

    def __len__(self) -> int:
        return len(self._states) + len(self._rows)

    def write_state(self, key: str, write: Write) -> Exception | None:
        """Queue the state of ``key`` in place of a pending one; return what ``flush`` returns."""
        self._states[key] = write
        self._states.move_to_end(key)
        return self.flush()

    def discard_state(self, key: str) -> None:
        """Drop the pending state of ``key``, because a newer one has been written directly."""
        self._states.pop(key, None)

    def write_row(self, write: Write) -> Exception | None:
        """Queue one row of a log; return what ``flush`` returns."""
        self._rows[self._next_row] = write
        self._next_row += 1
        while len(self._rows) > MAX_PENDING_ROWS:
            self._rows.popitem(last=False)
            self.dropped_rows += 1
        return self.flush()

    def flush(self) -> Exception | None:
        """Write all that is pending, states first.

        Returns the retryable error at which it stopped, or None if nothing is pending any more.
        Any other error is raised, and the write that failed stays pending.
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
