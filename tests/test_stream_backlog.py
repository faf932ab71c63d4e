"""A stream whose events have piled up, while each write of the process takes long.

Seen in a soak: a dispatcher whose sends took 24 ms each served nobody for 1.9 s, and requests were
refused 0.75 s after their time was over. How it came about: a server's events had come together,
and what has come already is forwarded without a pause in which others have their turn. What proved
it: this test; the requests' log lines all came at the moment at which the stream ended.
"""

import asyncio
import time
from pathlib import Path

import pytest
import standins as st
import test_toolcalls as calls
from shimmed import Process, connection, control, parties, run
from world import EVENTS, HEAD, READ, Replica, ask, says

from onyxpass.core.loop_turn import MAX_TURN_US, LoopTurn
from onyxpass.toolcalls.front import RpcClient
from tests.support.dispatcher_bed import HandClock

PILED_UP = 200
DELAY_S = 0.02  # of each send
# Of the time that the stream takes; in one go it takes PILED_UP times DELAY_S, 4 s.
OTHER_MOST_S = 1.5
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"x"}}]}\n\n'


def chunks(*events: bytes) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (len(event), event) for event in events)


PILE = HEAD + chunks(*([EVENT] * PILED_UP), *EVENTS) + b"0\r\n\r\n"


def test_others_are_answered_while_a_stream_that_has_piled_up_is_forwarded(tmp_path: Path) -> None:
    async def go() -> None:
        faults = control(tmp_path)
        async with parties(tmp_path, [Replica(READ)], [Replica(says(PILE))]) as (path, _):
            process = await Process.start("serve", "--config", str(path), control=faults)
            port = await process.port()
            async with connection(port) as (stream, asks), connection(port) as (other, looks):
                faults.delay_sends(DELAY_S)
                asks.write(ask("a1", "a", ms=6000, close=True))
                await stream.readuntil(EVENT)
                began_s = time.monotonic()
                looks.write(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
                await other.readuntil(b"ok\n")
                took_s = time.monotonic() - began_s
                faults.delay_sends(0)
                assert (await stream.read()).endswith(b"0\r\n\r\n"), "the stream is whole"
                assert took_s <= OTHER_MOST_S
            assert await process.end() == 0

    run(go())


def test_texts_that_have_piled_up_at_the_json_rpc_front_leave_others_their_turn() -> None:
    async def pile(
        _: st.Writer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for _ in range(PILED_UP):
            st.put(writer, method="text", params={"text": "x"})

    async def go() -> None:
        async with calls.world(pile) as w:
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
            assert len(client.texts) == PILED_UP
            assert turns > PILED_UP // 10

    calls.run(go)


def test_a_turn_ends_once_its_steps_have_taken_long() -> None:
    async def go() -> None:
        clock = HandClock()
        turn = LoopTurn(clock)
        others = asyncio.Event()
        for step, lets in enumerate((False, True, False, True)):
            asyncio.get_running_loop().call_soon(others.set)
            turn.begin_step()
            clock.us += MAX_TURN_US // 2
            await turn.end_step()
            assert others.is_set() is lets, step
            others.clear()

    asyncio.run(go())
