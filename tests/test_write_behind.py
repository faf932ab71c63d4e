"""Pending writes of the agent, without a disk."""

import pytest

from onyxpass.agent.write_behind import MAX_PENDING_ROWS, WriteBehindQueue


class Disk:
    def __init__(self) -> None:
        self.full, self.lines = False, list[str]()

    def write(self, line: str) -> None:
        if self.full:
            raise OSError("no room")
        self.lines.append(line)


def test_what_can_not_be_written_is_written_later_in_order_and_only_the_latest_state() -> None:
    disk, queue = Disk(), WriteBehindQueue(OSError)
    assert queue.write_state("n1", lambda: disk.write("n1 a")) is None
    disk.full = True
    assert queue.write_state("n1", lambda: disk.write("n1 b")) is not None
    queue.write_row(lambda: disk.write("event 1"))
    queue.write_state("n2", lambda: disk.write("n2 a"))
    queue.write_state("n1", lambda: disk.write("n1 c"))
    queue.write_row(lambda: disk.write("event 2"))
    assert len(queue) == 4 and disk.lines == ["n1 a"]
    disk.full = False
    assert queue.flush() is None and not queue
    assert disk.lines == ["n1 a", "n2 a", "n1 c", "event 1", "event 2"]


def test_a_state_that_was_written_directly_is_pending_no_more() -> None:
    disk, queue = Disk(), WriteBehindQueue(OSError)
    disk.full = True
    queue.write_state("n1", lambda: disk.write("old"))
    queue.discard_state("n1")
    disk.full = False
    queue.flush()
    assert not disk.lines


def test_pending_lines_are_bounded_and_the_oldest_are_dropped() -> None:
    disk, queue = Disk(), WriteBehindQueue(OSError)
    disk.full = True
    for n in range(MAX_PENDING_ROWS + 3):
        queue.write_row(lambda n=n: disk.write(f"event {n}"))  # type: ignore[misc]
    assert len(queue) == MAX_PENDING_ROWS and queue.dropped_rows == 3
    disk.full = False
    queue.flush()
    assert disk.lines[0] == "event 3"


def test_an_error_that_is_not_retryable_is_raised() -> None:
    def broken() -> None:
        raise ValueError

    queue = WriteBehindQueue(OSError)
    with pytest.raises(ValueError):
        queue.write_row(broken)
