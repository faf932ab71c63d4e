"""The agent's queue of pending writes, with a fake disk."""

import pytest

from onyxpass.agent.write_behind import MAX_PENDING_ROWS, WriteBehindQueue


class FakeDisk:
    def __init__(self) -> None:
        self.full, self.written = False, list[str]()

    def write(self, text: str) -> None:
        if self.full:
            raise OSError("disk full")
        self.written.append(text)


def test_failed_writes_are_retried_in_order_with_only_the_latest_of_each_state() -> None:
    disk, queue = FakeDisk(), WriteBehindQueue(OSError)
    assert queue.write_state("n1", lambda: disk.write("n1 a")) is None
    disk.full = True
    assert queue.write_state("n1", lambda: disk.write("n1 b")) is not None
    queue.write_row(lambda: disk.write("event 1"))
    queue.write_state("n2", lambda: disk.write("n2 a"))
    queue.write_state("n1", lambda: disk.write("n1 c"))
    queue.write_row(lambda: disk.write("event 2"))
    assert len(queue) == 4 and disk.written == ["n1 a"]
    disk.full = False
    assert queue.flush() is None and not queue
    assert disk.written == ["n1 a", "n2 a", "n1 c", "event 1", "event 2"]


def test_a_state_that_was_written_directly_is_no_longer_pending() -> None:
    disk, queue = FakeDisk(), WriteBehindQueue(OSError)
    disk.full = True
    queue.write_state("n1", lambda: disk.write("old"))
    queue.discard_state("n1")
    disk.full = False
    queue.flush()
    assert not disk.written


def test_pending_rows_are_bounded_and_the_oldest_are_dropped() -> None:
    disk, queue = FakeDisk(), WriteBehindQueue(OSError)
    disk.full = True
    for number in range(MAX_PENDING_ROWS + 3):
        queue.write_row(lambda number=number: disk.write(f"event {number}"))  # type: ignore[misc]
    assert len(queue) == MAX_PENDING_ROWS and queue.dropped_rows == 3
    disk.full = False
    queue.flush()
    assert disk.written[0] == "event 3"


def test_an_error_that_is_not_retryable_is_raised() -> None:
    def raise_value_error() -> None:
        raise ValueError

    queue = WriteBehindQueue(OSError)
    with pytest.raises(ValueError):
        queue.write_row(raise_value_error)
