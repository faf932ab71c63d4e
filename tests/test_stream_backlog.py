"""A stream with a backlog of events, while each write of the process is slow.

Guards against one stream that starves all others: in a soak, a dispatcher whose sends took 24 ms
each served nobody for 1.9 s, and requests were refused 0.75 s after their deadline. A server's
events had arrived together, and events that have already arrived were forwarded without yielding to
other tasks. All log lines of the requests came at the moment at which the stream ended.
"""

import asyncio
import time
from pathlib import Path

import pytest
import standins as st
import test_toolcalls as calls
from cluster import EVENTS, HEAD, PREFILLED, Replica, chat_request, respond_with
from fault_injection import (
    ChildProcess,
    fault_control,
    open_connection,
    run_async,
    servers_and_config,
)

from onyxpass.core import event_loop
from onyxpass.core.loop_turn import MAX_TURN_US, StepFlow
from onyxpass.toolcalls.front import RpcClient

BACKLOG_EVENTS = 200
DELAY_S = 0.02  # duration of each send
# Bound of the other client's response time; forwarding in one go takes BACKLOG_EVENTS times DELAY_S, 4 s.
MAX_OTHER_S = 1.5
BUSY_TASKS, BUSY_STEPS, BUSY_STEP_US = 40, 60, 500  # of tasks whose input is buffered
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"x"}}]}\n\n'


def chunks(*events: bytes) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (len(event), event) for event in events)


BACKLOG = HEAD + chunks(*([EVENT] * BACKLOG_EVENTS), *EVENTS) + b"0\r\n\r\n"


def test_others_are_answered_while_a_backlog_of_events_is_forwarded(tmp_path: Path) -> None:
    async def scenario() -> None:
        faults = fault_control(tmp_path)
        async with servers_and_config(
            tmp_path, [Replica(PREFILLED)], [Replica(respond_with(BACKLOG))]
        ) as (path, _):
            process = await ChildProcess.start("serve", "--config", str(path), control=faults)
            port = await process.port()
            async with (
                open_connection(port) as (stream, stream_writer),
                open_connection(port) as (other, health_writer),
            ):
                faults.delay_sends(DELAY_S)
                stream_writer.write(chat_request("a1", "a", ms=6000, close=True))
                await stream.readuntil(EVENT)
                began_s = time.monotonic()
                health_writer.write(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
                await other.readuntil(b"ok\n")
                took_s = time.monotonic() - began_s
                faults.delay_sends(0)
                assert (await stream.read()).endswith(b"0\r\n\r\n"), "the stream is complete"
                assert took_s <= MAX_OTHER_S
            assert await process.terminate() == 0

    run_async(scenario())


def test_a_backlog_of_texts_at_the_json_rpc_front_does_not_starve_other_tasks() -> None:
    async def send_backlog(
        _: st.DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(BACKLOG_EVENTS):
            st.send_message(writer, method="text", params={"text": "x"})

    async def scenario() -> None:
        async with calls.world(send_backlog) as w:
            forward, turns, busy = RpcClient.forward, 0, True

            async def slow(self: RpcClient, event: bytes) -> None:
                time.sleep(DELAY_S / 4)
                await forward(self, event)

            async def count_turns() -> None:
                nonlocal turns
                while busy:
                    await asyncio.sleep(0)
                    turns += len(client.texts) > 0

            client = await w.client()
            counting = asyncio.create_task(count_turns())
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(RpcClient, "forward", slow)
                client.generate(1)
                await client.response(1)
            busy = False
            await counting
            assert len(client.texts) == BACKLOG_EVENTS
            assert turns > BACKLOG_EVENTS // 10

    calls.run(scenario)


def test_a_turn_ends_once_its_steps_have_used_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each second step of half a turn yields, on the programs' loop and on any other one."""
    now_ns = 10**9
    monkeypatch.setattr(time, "monotonic_ns", lambda: now_ns)

    async def scenario() -> None:
        nonlocal now_ns
        others = asyncio.Event()
        await asyncio.sleep(0)
        await StepFlow().begin_step()
        for step, yields in enumerate((False, True, False, True)):
            asyncio.get_running_loop().call_soon(others.set)
            now_ns += MAX_TURN_US * 1000 // 2
            await StepFlow().begin_step()
            assert others.is_set() is yields, step
            if yields:
                await StepFlow().begin_step()  # notes the start of a turn on a plain loop
            others.clear()

    for factory in (event_loop.make, asyncio.new_event_loop):
        with asyncio.Runner(loop_factory=factory) as runner:
            runner.run(scenario())


def test_many_tasks_with_buffered_input_share_one_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a turn of as many times ``MAX_TURN_US`` as there are busy tasks."""
    now_ns = 10**9
    monkeypatch.setattr(time, "monotonic_ns", lambda: now_ns)

    async def busy() -> None:
        nonlocal now_ns
        for _ in range(BUSY_STEPS):
            await StepFlow().begin_step()
            now_ns += BUSY_STEP_US * 1000

    async def scenario() -> None:
        event_loop.restart_longest_turn()
        await asyncio.gather(*(busy() for _ in range(BUSY_TASKS)))
        await asyncio.sleep(0)
        longest_us = MAX_TURN_US + BUSY_TASKS * BUSY_STEP_US
        assert MAX_TURN_US <= event_loop.longest_turn_us() <= longest_us
        assert event_loop.take_recent_longest_turn_us() == event_loop.longest_turn_us()
        assert event_loop.take_recent_longest_turn_us() == 0

    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(scenario())
