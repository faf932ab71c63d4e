"""State shared by the two processes of an upgrade: exclusions, descriptors and start order."""

import asyncio
import json
import os
import socket
from pathlib import Path

import pytest

from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.hot_restart import descriptor_limits
from onyxpass.hot_restart.inherited_listener import inherited_listener
from onyxpass.hot_restart.process_files import next_process_name
from onyxpass.hot_restart.process_registry import ProcessRegistry
from tests.support.dispatcher_bed import ManualClock


class ProcessPair:
    """Processes of one dispatcher that share a folder, on a clock that the test controls."""

    def __init__(self, folder: Path) -> None:
        self.clock = ManualClock()
        self.wheel = TimerWheel(self.clock)
        self.folder = folder

    def process(self) -> ProcessRegistry:
        made = ProcessRegistry(self.folder, "n1|127.0.0.1:1", 256, self.wheel)
        made.start()
        self.clock.us += 1_000
        return made

    async def excluded(self, by: ProcessRegistry, server: str, excluded: bool = True) -> bool:
        task = asyncio.create_task(by.set_excluded(server, excluded))
        while not task.done():
            await asyncio.sleep(0)
            self.clock.us += 10_000
            self.wheel.advance()
        return task.result()


def test_a_confirmed_exclusion_is_in_force_in_both_processes_and_in_the_next_one(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        pair = ProcessPair(tmp_path)
        older, younger = pair.process(), pair.process()
        changes: list[frozenset[str]] = []
        younger.exclusions.on_change = changes.append
        assert await pair.excluded(older, "r1")
        assert younger.exclusions.servers == {"r1"} and changes == [{"r1"}]
        assert await pair.excluded(younger, "r1") and await pair.excluded(younger, "w1")
        assert await pair.excluded(older, "r1", excluded=False)
        older.end()
        younger.end()
        assert pair.process().exclusions.servers == {"w1"}

    asyncio.run(scenario())


def test_an_exclusion_is_not_confirmed_while_the_other_process_does_not_refresh(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        pair = ProcessPair(tmp_path)
        older, younger = pair.process(), pair.process()
        younger.refresh = lambda: None  # type: ignore[method-assign]
        assert not await pair.excluded(older, "r1")
        assert older.exclusions.servers == {"r1"}, "in force in this process nevertheless"
        assert not younger.exclusions.servers

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "left", [b"", b"{", b"[]", b'{"version":1,"excluded":[1]}', b"\xff\x00", b"[" * 9999]
)
def test_damaged_files_and_files_of_killed_processes_do_no_harm(
    tmp_path: Path, left: bytes
) -> None:
    pair = ProcessPair(tmp_path)
    folder = pair.process().folder
    assert folder is not None
    (folder / "excluded.json").write_bytes(left)
    (folder / "00000000000000000001-9.process").write_bytes(left)
    fresh = pair.process()
    assert (
        not fresh.exclusions.servers
        and asyncio.run(pair.excluded(fresh, "r1"))
        and fresh.exclusions.servers == {"r1"}
    )
    assert not (folder / "00000000000000000001-9.process").exists(), "no process holds its lock"
    assert json.loads((folder / "excluded.json").read_text())["excluded"] == ["r1"]


def test_an_unwritable_folder_does_not_prevent_the_start(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    made = ProcessRegistry(tmp_path / "file", "n1", 256, TimerWheel(ManualClock()))
    made.start()
    assert asyncio.run(made.set_excluded("r1", True)) and made.exclusions.servers == {"r1"}


def test_an_inherited_descriptor_is_used_only_if_it_listens() -> None:
    ours = socket.create_server(("127.0.0.1", 0))
    found = inherited_listener(ours.dup().detach())
    assert (
        found is not None
        and found.getsockname() == ours.getsockname()
        and not found.get_inheritable()
    )
    found.close()
    ours.close()
    plain = socket.socket()
    assert inherited_listener(plain.fileno()) is None and plain.fileno() >= 0, (
        "a descriptor of another owner is left open"
    )
    plain.close()
    assert inherited_listener(None) is None and inherited_listener(987_654) is None


def test_two_processes_together_hold_hardly_more_descriptors_than_one(tmp_path: Path) -> None:
    pair = ProcessPair(tmp_path)
    older = pair.process()
    assert older.descriptor_limit == 256
    younger = pair.process()
    floor = 256 // descriptor_limits.MIN_SHARE_DIVISOR
    assert younger.descriptor_limit == floor, "the older one has not yielded any yet"
    for _ in range(3):
        for process in (younger, older):
            process.refresh()
            assert (
                process is older or older.descriptor_limit + process.descriptor_limit <= 256 + floor
            )
    assert (older.descriptor_limit, younger.descriptor_limit) == (128, 128)
    older.stopping = True
    older.refresh()
    younger.refresh()
    assert older.descriptor_limit < 128 and older.descriptor_limit + younger.descriptor_limit == 256
    older.end()
    younger.refresh()
    assert younger.descriptor_limit == 256


def test_a_later_process_sorts_last_whatever_the_wall_clock(tmp_path: Path) -> None:
    first = next_process_name(tmp_path)
    (tmp_path / first).touch()
    second = next_process_name(tmp_path)
    assert first < second and str(os.getpid()) in second
    by_time = f"{10**15:020d}-7.process"  # as the previous release named its processes
    (tmp_path / by_time).touch()
    assert next_process_name(tmp_path) > by_time
    (tmp_path / "x.process").touch()
    assert next_process_name(tmp_path) > by_time, "a file of another name is ignored"
