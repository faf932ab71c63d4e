"""Clients whose input is costly to parse, hundreds of them at once or again and again.

Guards against a turn of the event loop in which each of them has a step: 440 heads of 6,200 lines at
once kept all others from being answered for 8 to 16 s.
"""

import asyncio
import contextlib
import time
from pathlib import Path

import h11
import pytest
import standins as st
import test_toolcalls as calls
from cluster import PREFILLED, STREAM, Replica, chat_request, respond_with, running_cluster
from fault_injection import open_connection, run_async
from test_endless_input import (
    CLASS_TIME_MS,
    Play,
    check_rpc_requests,
    chunk,
    connection_with,
    play,
    run_rpc,
)

from onyxpass.core import event_loop
from onyxpass.core.loop_turn import (
    MAX_NEW_REQUESTS_US,
    MAX_TURN_US,
    StepFlow,
    StepPriority,
    step_waits,
)
from onyxpass.net.connections import ClientConnection
from onyxpass.net.framing_limits import MAX_LINES
from onyxpass.net.http import HttpConnection, HttpError, read_body

STEP_US = 1_000
MANY_STEPS = 200
MANY_CLIENTS = 200
START_LINE, HOST = b"POST /v1/chat/completions HTTP/1.1\r\n", b"Host: x\r\n"
SHORT_LINE = b"a:b\r\n"
MANY_LINES = 6_200  # a head of 31 KB, which the limit of its bytes allows
ALLOWED_LINES = MAX_LINES - 10
SOUND_LINES = 600


class ManualClock:
    """Stands in for the monotonic clock, which only moves when a test says so."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_ns = 10**9
        monkeypatch.setattr(time, "monotonic_ns", lambda: self.now_ns)

    def advance_us(self, duration_us: int) -> None:
        self.now_ns += duration_us * 1000


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    return ManualClock(monkeypatch)


# Turns of the loop


@pytest.mark.parametrize("priority", StepPriority)
def test_a_turn_has_no_step_of_each_waiting_task(
    clock: ManualClock, priority: StepPriority
) -> None:
    """Guards against tasks that yield once and then all step in the next turn, for 8 s."""

    async def step() -> None:
        await StepFlow(priority).begin_step()
        clock.advance_us(STEP_US)

    async def scenario() -> None:
        await asyncio.sleep(0)
        event_loop.restart_longest_turn()
        await asyncio.gather(*(step() for _ in range(MANY_STEPS)))
        await asyncio.sleep(0)
        assert event_loop.longest_turn_us() <= MAX_TURN_US + STEP_US
        waits = step_waits(priority)
        assert waits.steps > MANY_STEPS // 2
        assert waits.longest_us <= MANY_STEPS * STEP_US

    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(scenario())


def test_steps_of_new_requests_leave_the_turn_to_open_ones(clock: ManualClock) -> None:
    """Guards against a turn of new requests only, and against one without any."""
    begun: list[StepPriority] = []

    async def step(priority: StepPriority) -> None:
        await StepFlow(priority).begin_step()
        clock.advance_us(STEP_US)
        begun.append(priority)

    async def scenario() -> None:
        await asyncio.sleep(0)
        work = [step(priority) for priority in StepPriority for _ in range(MANY_STEPS)]
        await asyncio.gather(*work)

    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(scenario())
    last_open = len(begun) - begun[::-1].index(StepPriority.OPEN_REQUEST)
    new_beside_open = begun[:last_open].count(StepPriority.NEW_REQUEST)
    open_turns = MANY_STEPS * STEP_US // MAX_TURN_US
    assert open_turns <= new_beside_open <= (open_turns + 1) * (MAX_NEW_REQUESTS_US // STEP_US + 1)


def test_a_cancelled_wait_for_a_turn_keeps_no_other_waiting(clock: ManualClock) -> None:
    async def step() -> None:
        await StepFlow().begin_step()
        clock.advance_us(MAX_TURN_US)

    async def scenario() -> None:
        tasks = [asyncio.create_task(step()) for _ in range(MANY_STEPS)]
        await asyncio.sleep(0)
        for task in tasks[1::2]:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert results[::2] == [None] * (MANY_STEPS // 2)

    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(asyncio.wait_for(scenario(), 30))


def test_a_short_request_is_parsed_before_long_ones_that_came_first(clock: ManualClock) -> None:
    """Guards against usual requests that wait behind hundreds of long heads, one after another."""
    order: list[str] = []

    async def read(name: str, lines: int) -> None:
        head = START_LINE + HOST + SHORT_LINE * lines + b"Content-Length: 2\r\n\r\n{}"
        reader = asyncio.StreamReader()
        reader.feed_data(head)
        wire = HttpConnection(h11.SERVER, reader, None)
        await wire.read_more()
        await wire.next_event()
        clock.advance_us(MAX_NEW_REQUESTS_US)
        assert await read_body(wire) == b"{}"
        order.append(name)

    async def scenario() -> None:
        long_ones = [asyncio.create_task(read("long", ALLOWED_LINES)) for _ in range(20)]
        await asyncio.sleep(0)
        await asyncio.gather(read("short", 5), *long_ones)

    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(scenario())
    assert order.index("short") <= 1, order  # one long head may have been parsed before it came


def test_a_request_that_waits_for_its_turn_does_not_make_room() -> None:
    """Guards against a sound request that is closed unanswered while its bytes wait to be parsed."""

    class Wire:
        hung_up = unread = False
        is_waiting_for_step = True

    connection = ClientConnection(0, 0, Wire())  # type: ignore[arg-type]
    assert connection.unread
    Wire.hung_up = True
    assert not connection.unread


# Lines of one message

HEAD_ENDS = (b"\r\n", b"\n")


async def head_status(head: bytes, part_bytes: int) -> int:
    """Return the status of a head that comes in parts; 0 if it is parsed."""
    reader = asyncio.StreamReader()
    wire = HttpConnection(h11.SERVER, reader, None)
    try:
        for start in range(0, len(head), part_bytes):
            reader.feed_data(head[start : start + part_bytes])
            await wire.read_more()
            if (event := wire.poll()) is not None:
                assert isinstance(event, h11.Request)
                return 0
    except HttpError as error:
        return error.status
    raise AssertionError("incomplete")


@pytest.mark.parametrize("line_end", HEAD_ENDS)
@pytest.mark.parametrize("part_bytes", [1, 7, 100_000])
def test_the_lines_of_a_head_are_bounded(line_end: bytes, part_bytes: int) -> None:
    """Guards against a head that is one step of 17 ms; several hundred headers are served."""

    def head(lines: int) -> bytes:
        text = START_LINE + HOST + SHORT_LINE * (lines - 2) + b"\r\n"
        return text.replace(b"\r\n", line_end) + b"\n" * MAX_LINES  # a body's lines don't count

    async def scenario() -> None:
        assert await head_status(head(SOUND_LINES), part_bytes) == 0
        assert await head_status(head(MAX_LINES - 1), part_bytes) == 0
        assert await head_status(head(MAX_LINES + 1), part_bytes) == 431
        folded = START_LINE + HOST + SHORT_LINE + b" c\r\n" * MAX_LINES + b"\r\n"
        assert await head_status(folded, part_bytes) == 431

    asyncio.run(scenario())


@pytest.mark.parametrize("lines", [SOUND_LINES, MANY_LINES])
def test_the_lines_of_trailers_are_bounded(lines: int) -> None:
    """Guards against trailers that are one step of 22 ms; the lines of a body are free."""
    content = b"\r\n0\r\n" * MANY_LINES
    head = START_LINE + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
    end = b"0\r\n" + SHORT_LINE * lines + b"\r\n"

    async def scenario() -> None:
        wire = await connection_with(head + chunk(content) + chunk(content) + end, h11.SERVER)
        await wire.next_event()
        if lines < MAX_LINES:
            assert await read_body(wire) == content * 2
            return
        with pytest.raises(HttpError, match="too many"):
            await read_body(wire)

    asyncio.run(scenario())


def test_the_lines_of_the_next_message_are_counted_anew() -> None:
    """Guards against a count that goes on from one message of a connection to the next."""
    message = START_LINE + HOST + SHORT_LINE * SOUND_LINES + b"Content-Length: 1000\r\n\r\n"
    message += b"\n" * 1000

    async def scenario() -> None:
        reader = asyncio.StreamReader()
        wire = HttpConnection(h11.SERVER, reader, None)
        reader.feed_data(message * 3)
        for _ in range(3):
            assert isinstance(await wire.next_event(), h11.Request)
            assert len(await read_body(wire)) == 1000
            wire.h11.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
            wire.h11.send(h11.EndOfMessage())
            wire.start_next_cycle()

    asyncio.run(scenario())


def test_a_long_head_of_a_server_is_a_failed_attempt() -> None:
    """Guards against servers whose heads, interim ones included, are steps of 14 ms."""
    lines = SHORT_LINE * MANY_LINES + b"\r\n"
    too_long = respond_with(b"HTTP/1.1 103 Early Hints\r\n" + lines)
    some_interim = respond_with(
        (b"HTTP/1.1 103 Early Hints\r\n" + SHORT_LINE * SOUND_LINES + b"\r\n") * 3
        + b'HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{"cached_tokens":1}\n'
    )

    async def scenario() -> None:
        async with running_cluster([Replica(too_long, some_interim)], [Replica(STREAM)]) as w:
            assert (await w.request("a1")).startswith(b"HTTP/1.1 200")
            assert len(w.readers[0].heads) == 2

    calls.run(scenario)


# Whole processes


def costly_head(lines: int) -> bytes:
    """Return a request without an id whose head has about this many lines."""
    return START_LINE + HOST + SHORT_LINE * lines + b"Content-Length: 2\r\n\r\n{}"


COSTLY_REQUESTS = {
    "heads over the limit": costly_head(MANY_LINES),
    "heads under the limit": costly_head(ALLOWED_LINES),
    "heads of half the limit": costly_head(MAX_LINES // 2),
    "heads without an end": START_LINE + HOST + SHORT_LINE * ALLOWED_LINES,
    "trailers": START_LINE
    + HOST
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(b"{}")
    + b"0\r\n"
    + SHORT_LINE * MANY_LINES
    + b"\r\n",
}


async def send_again_and_again(port: int, text: bytes) -> None:
    """Send this request on a new connection each time it was answered."""
    while True:
        with contextlib.suppress(OSError):
            async with open_connection(port) as (reader, writer):
                writer.write(text)
                await reader.read()


def sound_request(name: str) -> bytes:
    """Return a usual request with several hundred headers."""
    text = chat_request(name, "a", CLASS_TIME_MS, close=True)
    return text.replace(b"\r\n", b"\r\n" + SHORT_LINE * SOUND_LINES, 1)


async def check_sound_request(p: Play) -> None:
    """Assert that a request with several hundred headers is answered beside the usual ones."""
    await asyncio.sleep(1.0)
    assert (await p.request("sound", sound_request("sound"))).startswith(b"HTTP/1.1")


@pytest.mark.parametrize("kind", COSTLY_REQUESTS)
def test_many_clients_with_costly_requests_keep_nobody_from_an_answer(
    tmp_path: Path, kind: str
) -> None:
    """Guards against 8 to 16 s without an answer beside 440 long heads."""

    async def scenario() -> None:
        async with play(tmp_path, [Replica(PREFILLED)], [Replica(STREAM)]) as p:
            text = COSTLY_REQUESTS[kind]
            bad = [
                asyncio.create_task(send_again_and_again(p.port, text)) for _ in range(MANY_CLIENTS)
            ]
            await asyncio.gather(p.check_usual_requests(), check_sound_request(p))
            for task in bad:
                task.cancel()
            await asyncio.gather(*bad, return_exceptions=True)

    run_async(scenario())


COSTLY_BYTES = 250_000
COSTLY_LINES = {
    "many values": b'{"a":[' + b"1," * (COSTLY_BYTES // 2) + b"0]}\n",
    "a long prompt": b'{"jsonrpc":"2.0","id":1,"method":"generate","params":{"class":"none","prompt":"'
    + b"x" * COSTLY_BYTES
    + b'"}}\n',
}


@pytest.mark.parametrize("kind", COSTLY_LINES)
def test_many_clients_with_costly_lines_keep_nobody_from_an_answer(kind: str) -> None:
    """Guards against the same at the JSON-RPC front: lines that came together were one turn."""

    async def scenario() -> None:
        async with calls.world(st.send_text("a")) as bed:
            client = await bed.client()
            streams = [
                await asyncio.open_connection("127.0.0.1", bed.service.front.port)
                for _ in range(MANY_CLIENTS)
            ]
            # The transports would write part of a line each: the lines come together.
            for _, writer in streams:
                writer.write(COSTLY_LINES[kind])
            await check_rpc_requests(bed, client)
            for _, writer in streams:
                writer.transport.abort()

    run_rpc(scenario)
