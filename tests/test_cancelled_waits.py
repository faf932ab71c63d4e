"""Waits with a time limit that are cancelled in the moment in which they end.

Guards against a stop or a reload that waits for ever: ``asyncio.wait_for`` of Python 3.11 swallows a
cancellation that comes together with the result, and the task goes on.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from onyxpass.agent import connection_check
from onyxpass.agent.instance import Instance
from onyxpass.agent.operations import Operations
from onyxpass.config.platform_file import Address
from onyxpass.sources.watcher import FileWatcher

TURNS = 6  # turns of the event loop between the end of a wait and the cancellation
LIMIT_S = 30.0


class TimedWait:
    """A task in one wait, which ``end`` ends."""

    def __init__(self, work: Awaitable[Any], end: Callable[[], None]) -> None:
        self.task, self.end = asyncio.ensure_future(work), end


async def watching(folder: Path) -> TimedWait:
    watcher = FileWatcher([folder], LIMIT_S)
    changes = watcher.changes()
    await anext(changes)
    return TimedWait(anext(changes), watcher.changed.set)


async def waiting_for_an_operation(_: Path) -> TimedWait:
    ended = asyncio.Event()
    operations = cast(
        "Operations", SimpleNamespace(_end_events={"o1": ended}, find=lambda _: "ended")
    )
    return TimedWait(Operations.wait(operations, "o1", LIMIT_S), ended.set)


async def terminating(_: Path) -> TimedWait:
    ended = asyncio.Event()
    instance = SimpleNamespace(
        config=SimpleNamespace(termination_grace_s=LIMIT_S),
        _wait_until_ended=lambda _: ended.wait(),
    )
    process = SimpleNamespace(send=lambda _: None)
    return TimedWait(
        Instance._terminate(cast("Instance", instance), cast("Any", process)), ended.set
    )


async def connecting(_: Path) -> TimedWait:
    opened = asyncio.Event()

    async def open_connection(*_: object) -> tuple[None, Any]:
        await opened.wait()
        return None, SimpleNamespace(close=lambda: None)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection_check.asyncio, "open_connection", open_connection)
        wait = TimedWait(connection_check.accepts_connections(Address("127.0.0.1", 1)), opened.set)
        await asyncio.sleep(0)
    return wait


@pytest.mark.parametrize("turns", range(TURNS))
@pytest.mark.parametrize("begin", [watching, waiting_for_an_operation, terminating, connecting])
def test_a_cancellation_that_comes_with_the_end_of_a_wait_is_not_lost(
    tmp_path: Path, begin: Callable[[Path], Awaitable[TimedWait]], turns: int
) -> None:
    async def scenario() -> None:
        wait = await begin(tmp_path)
        await asyncio.sleep(0.05)
        wait.end()
        for _ in range(turns):
            await asyncio.sleep(0)
        if not wait.task.cancel():
            return  # it had ended before
        with pytest.raises(asyncio.CancelledError):
            await wait.task

    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))
