"""Ids of requests that come again: what may have run does not run a second time.

Guards against an id that ran twice when it came again after its client had left, or at the other
process of an upgrade.
"""

import asyncio
import fcntl
import random
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from cluster import (
    PREFILLED,
    SERVER_FULL,
    STREAM,
    Replica,
    chat_request,
    run_async,
    running_cluster,
)
from fault_injection import ChildProcess, servers_and_config
from fault_injection import run_async as run_with_processes
from standins import until

from onyxpass.core.request_ids import REMEMBERED_US, SLOTS, RequestIdTable
from onyxpass.hot_restart.shared_request_ids import FILE_NAME, open_shared_table

SEEDS = range(6860, 6866)


@pytest.mark.parametrize("traffic_class", ["light", "once"])
def test_an_id_does_not_run_again_after_its_client_has_left(traffic_class: str) -> None:
    async def scenario() -> None:
        for seed in SEEDS:
            rng = random.Random(seed)
            hold = asyncio.Event()

            async def slow(
                self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
            ) -> None:
                await hold.wait()  # noqa: B023
                await STREAM(self, reader, writer, b"")

            async with running_cluster([Replica(PREFILLED)], [Replica(slow)]) as w:
                _, writer = await w.send(chat_request("a1", traffic_class))
                await until(lambda: len(w.writers[0].heads) == 1)
                await asyncio.sleep(rng.uniform(0, 0.05))
                writer.transport.abort()
                if rng.random() < 0.5:
                    await until(lambda: not w.dispatcher.core.registry.by_id)
                answers = [await w.request("a1", traffic_class) for _ in range(2)]
                hold.set()
                assert all(b"HTTP/1.1 409" in answer for answer in answers), (seed, answers)
                assert len(w.writers[0].heads) == 1, seed
                assert b"HTTP/1.1 200" in await w.request("a2", traffic_class)

    run_async(scenario)


def test_an_id_may_come_again_if_nothing_has_run() -> None:
    async def scenario() -> None:
        full = Replica(SERVER_FULL)
        async with running_cluster([Replica(PREFILLED)], [full]) as w:
            assert b"HTTP/1.1 503" in await w.request("a1", "once")
            full.answers = [STREAM]
            assert b"HTTP/1.1 200" in await w.request("a1", "once")
            assert b"HTTP/1.1 409" in await w.request("a1", "once")

    run_async(scenario)


def test_an_id_does_not_run_again_at_the_other_process_of_an_upgrade(tmp_path: Path) -> None:
    async def scenario() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        port, number = listener.getsockname()[1], listener.fileno()
        environment = {"ROUTER_PASSED_SOCKET": str(number), "TMPDIR": str(tmp_path)}
        writers = [Replica(STREAM)]
        async with servers_and_config(tmp_path, [Replica(PREFILLED)], writers) as (path, _):
            environment["ROUTER_CONFIG"] = str(path)

            async def ask(name: str) -> bytes:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(chat_request(name, "a", close=True))
                answer = await reader.read()
                writer.close()
                return answer[:12]

            def start() -> "asyncio.Task[ChildProcess]":
                started = ChildProcess.start("serve", environment=environment, pass_fds=(number,))
                return asyncio.ensure_future(started)

            old = await start()
            await old.port()
            assert await ask("a1") == b"HTTP/1.1 200"
            new = await start()
            await new.port()
            assert await old.terminate() == 0
            assert await ask("a1") == b"HTTP/1.1 409", "at the new process"
            assert await ask("a2") == b"HTTP/1.1 200"
            assert len(writers[0].heads) == 2
            assert await new.terminate() == 0
        listener.close()

    run_with_processes(scenario())


def test_the_table_forgets_in_time_and_is_bounded() -> None:
    now_us = 1
    table = RequestIdTable(lambda: now_us)
    assert table.claim("a") and not table.claim("a")
    table.release("a")
    assert table.claim("a")
    now_us += REMEMBERED_US
    assert table.claim("a"), "forgotten"
    names = [f"n{number}" for number in range(SLOTS // 8)]
    assert all(table.claim(name) for name in names)
    assert not any(table.claim(name) for name in names), "an eighth full, nothing makes room"
    assert all(table.claim(f"m{number}") for number in range(4 * SLOTS))


def test_processes_that_claim_at_once_get_an_id_once(tmp_path: Path) -> None:
    program = (
        "import sys, pathlib\n"
        "from onyxpass.hot_restart.shared_request_ids import open_shared_table\n"
        "table = open_shared_table(pathlib.Path(sys.argv[1]), lambda: 1)\n"
        "print(sum(table.claim(f'r{n}') for n in range(2000)))\n"
    )
    processes = [
        subprocess.Popen([sys.executable, "-c", program, str(tmp_path)], stdout=subprocess.PIPE)
        for _ in range(3)
    ]
    claimed = [int(process.communicate(timeout=60)[0]) for process in processes]
    assert sum(claimed) == 2000, claimed
    assert not open_shared_table(tmp_path, lambda: 1).claim("r7")


def test_a_process_that_stops_with_the_lock_does_not_stop_the_other_one(tmp_path: Path) -> None:
    """Guards against an event loop that waits for a lock whose holder is suspended."""
    table = open_shared_table(tmp_path, lambda: 1)
    with (tmp_path / FILE_NAME).open() as other:
        fcntl.flock(other, fcntl.LOCK_EX)
        assert table.claim("a") and not table.claim("a")
