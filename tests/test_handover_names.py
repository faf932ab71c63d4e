"""The order of the processes of an upgrade, by the names of their files."""

import os
from pathlib import Path

from onyxpass.handover import name_after


def test_a_later_process_sorts_last_whatever_the_wall_clock_says(tmp_path: Path) -> None:
    first = name_after(tmp_path)
    (tmp_path / first).touch()
    second = name_after(tmp_path)
    assert first < second and str(os.getpid()) in second
    by_time = f"{10**15:020d}-7.process"  # as the release before named its processes
    (tmp_path / by_time).touch()
    assert name_after(tmp_path) > by_time
    (tmp_path / "x.process").touch()
    assert name_after(tmp_path) > by_time, "what is no process's file counts for nothing"
