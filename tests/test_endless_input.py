"""Peers whose input is always there, without an end, so that reading it never waits.

Guards against one peer that keeps the event loop: a decode server opened its stream with load reports
without end, nobody was answered for half a minute, and most other requests were lost. Nothing that
is read from a peer may keep the loop for longer than a turn, and the work for a byte may not grow with
what came before it.
"""

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import h11
import pytest
import standins as st
import test_toolcalls as calls
from cluster import HEAD, PREFILLED, STREAM, Replica, chat_request, respond_with
from fault_injection import ChildProcess, open_connection, run_async, servers_and_config

from onyxpass.core import event_loop
from onyxpass.core.clock import Clock
from onyxpass.core.loop_turn import MAX_TURN_US, StepFlow
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net import event_stream, http_client
from onyxpass.net.endpoint_watcher import JsonObjectSplitter
from onyxpass.net.event_stream import EventSplitter, has_data_event
from onyxpass.net.http import HttpConnection, HttpError, read_body
from onyxpass.net.response_reader import ResponseReader
from onyxpass.toolcalls import rpc

REPORT = b": X-Server-Load: ?\n\n"  # a comment line of a stream
ENDLESS_PIECES = 400  # pieces of input that a loop finds buffered
STEP_NS = 1_000_000  # what reading the clock costs in a test of the turns
CLASS_TIME_MS = 3000
PLAY_S = 4.0
CLIENTS_PER_S = 10
MANY_PEERS = 40


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


# Turns of the loop


async def connection_with(data: bytes, role: type[h11.CLIENT] | type[h11.SERVER]) -> HttpConnection:
    """Return a connection that has received these bytes, and then its end, without any wait."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return HttpConnection(role, reader, None)


async def read_request_body() -> None:
    """Read a request's body in chunks of one byte."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = chunk(b"x") * ENDLESS_PIECES + b"0\r\n\r\n"
    wire = await connection_with(head + body, h11.SERVER)
    await wire.next_event()
    assert await read_body(wire) == b"x" * ENDLESS_PIECES


async def read_parts(data: bytes) -> None:
    """Read a response up to its end, or to the end of the connection."""
    wire = await connection_with(data, h11.CLIENT)
    wire.h11.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"x")]))
    wire.h11.send(h11.EndOfMessage())
    incoming = ResponseReader(wire, TimerWheel(Clock()))
    with contextlib.suppress(HttpError):
        while not isinstance(await incoming.next(), h11.EndOfMessage | h11.ConnectionClosed):
            pass


async def read_interim_responses() -> None:
    await read_parts(b"HTTP/1.1 103 Early Hints\r\n\r\n" * ENDLESS_PIECES)


async def read_comment_chunks() -> None:
    await read_parts(HEAD + chunk(REPORT) * ENDLESS_PIECES)


async def read_blank_lines() -> None:
    """Read blank lines at the JSON-RPC front."""
    reader = asyncio.StreamReader(rpc.LINE_LIMIT)
    reader.feed_data(b"\n" * ENDLESS_PIECES)
    reader.feed_eof()
    assert await rpc.read_line(reader, StepFlow()) is None


async def read_lines() -> None:
    """Read JSON-RPC lines."""
    reader = asyncio.StreamReader(rpc.LINE_LIMIT)
    reader.feed_data(b"{}\n" * ENDLESS_PIECES)
    reader.feed_eof()
    while await rpc.read_line(reader, StepFlow()) is not None:
        pass


async def read_api_response() -> None:
    """Read an agent's answer in chunks of one byte."""
    wire = h11.Connection(h11.CLIENT)
    wire.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"x")]))
    wire.send(h11.EndOfMessage())
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader = asyncio.StreamReader()
    reader.feed_data(head + chunk(b" ") * ENDLESS_PIECES + chunk(b"{}") + b"0\r\n\r\n")
    reader.feed_eof()
    assert (await http_client._read_response(wire, reader)).status == 200


READS: Sequence[Callable[[], Awaitable[None]]] = (
    read_request_body,
    read_interim_responses,
    read_comment_chunks,
    read_blank_lines,
    read_lines,
    read_api_response,
)


@pytest.mark.parametrize("read", READS)
def test_buffered_input_is_read_in_turns(
    read: Callable[[], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a loop over buffered input that no other task interrupts."""
    now_ns = 10**9

    def clock_ns() -> int:
        nonlocal now_ns
        now_ns += STEP_NS
        return now_ns

    monkeypatch.setattr(time, "monotonic_ns", clock_ns)

    async def scenario() -> int:
        turns, reading = 0, asyncio.ensure_future(read())
        while not reading.done():
            turns += 1
            await asyncio.sleep(0)
        await reading
        return turns

    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        turns = runner.run(scenario())
    assert turns >= ENDLESS_PIECES * STEP_NS // (MAX_TURN_US * 1000)


# Work for a byte


def test_each_comment_before_the_first_event_is_validated_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against validating everything again at each comment, 31 s of work for one stream."""
    validated = 0

    def count(text: bytes, is_first: bool = True) -> bool:
        nonlocal validated
        validated += len(text)
        return has_data_event(text, is_first)

    monkeypatch.setattr(event_stream, "has_data_event", count)
    splitter, event = EventSplitter(), b'data: {"a":1}\n\n'
    for _ in range(ENDLESS_PIECES):
        assert not splitter.feed(REPORT)
    assert splitter.feed(event) == REPORT * ENDLESS_PIECES + event
    assert validated == len(REPORT) * ENDLESS_PIECES + len(event)
    assert splitter.feed(event) == event


def test_only_a_stream_may_begin_with_a_byte_order_mark() -> None:
    mark = b"\xef\xbb\xbf"
    assert EventSplitter().feed(mark + b'data: {"a":1}\n\n')
    splitter = EventSplitter()
    splitter.feed(REPORT)
    with pytest.raises(HttpError):
        splitter.feed(mark + b'data: {"a":1}\n\n')


def test_a_list_in_pieces_of_one_byte_is_not_copied_at_each() -> None:
    """Guards against a line of the endpoint list whose bytes are copied again at each piece."""

    def cpu_s(size: int) -> float:
        splitter, began_s = JsonObjectSplitter(), time.process_time()
        for byte in b'{"a":"' + b"x" * size + b'"}':
            splitter.feed(bytes((byte,)))
        assert len(splitter.feed(b"\n")) == 1
        return time.process_time() - began_s

    size, growth = 40_000, 8
    cpu_s(size)
    # Copying would make it growth ** 2 times as long.
    assert cpu_s(growth * size) <= growth**1.5 * cpu_s(size)


# Whole processes


class Play:
    """A dispatcher with a sound prefill server and usual requests beside endless peers."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.longest_s = 0.0

    async def request(self, name: str, text: bytes = b"") -> bytes:
        """Return the response to a request; empty if its connection was reset."""
        began_s = time.monotonic()
        async with open_connection(self.port) as (reader, writer):
            writer.write(text or chat_request(name, "a", CLASS_TIME_MS, close=True))
            with contextlib.suppress(ConnectionResetError):
                answer = await reader.read()
                self.longest_s = max(self.longest_s, time.monotonic() - began_s)
                return answer
        return b""

    async def usual_requests(self) -> list[bytes]:
        """Send usual requests for a while, and return their responses."""
        tasks = []
        for number in range(round(PLAY_S * CLIENTS_PER_S)):
            tasks.append(asyncio.create_task(self.request(f"a{number}")))
            await asyncio.sleep(1 / CLIENTS_PER_S)
        return await asyncio.gather(*tasks)

    async def check_usual_requests(self) -> None:
        """Assert that each usual request has its final answer before its client gives up."""
        answers = await self.usual_requests()
        served = sum(answer.startswith(b"HTTP/1.1 200") for answer in answers)
        assert all(answer.startswith(b"HTTP/1.1") for answer in answers)
        assert self.longest_s * 1000 <= CLASS_TIME_MS
        assert served >= len(answers) // 2, served


@contextlib.asynccontextmanager
async def play(folder: Path, readers: list[Replica], writers: list[Replica]) -> AsyncIterator[Play]:
    async with servers_and_config(folder, readers, writers) as (path, _):
        process = await ChildProcess.start("serve", "--config", str(path))
        yield Play(await process.port())
        assert await process.terminate() == 0, process.other_output
        assert not process.other_output


class EndlessWriter(Replica):
    """A decode server whose first ``endless`` streams never end; ``ended`` counts those closed."""

    def __init__(self, endless: int, opening: bytes, piece: bytes, pause_s: float = 0.0) -> None:
        super().__init__(self.answer)
        self.endless, self.opening, self.piece, self.pause_s = endless, opening, piece, pause_s
        self.begun = self.ended = 0

    @staticmethod
    async def answer(
        self: "Replica", reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
    ) -> None:
        assert isinstance(self, EndlessWriter)
        if self.begun >= self.endless:
            await STREAM(self, reader, writer, head)
            return
        self.begun += 1
        try:
            writer.write(self.opening)
            while True:
                writer.write(self.piece)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        finally:
            self.ended += 1


INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
ENDLESS_STREAMS = {
    "load reports": (HEAD, chunk(REPORT) * 200),
    "chunks of one byte": (HEAD, chunk(b":") * 200),
    "interim responses": (b"", INTERIM * 50),
}


@pytest.mark.parametrize("peers", [1, MANY_PEERS])
@pytest.mark.parametrize("kind", ENDLESS_STREAMS)
def test_endless_streams_keep_nobody_from_an_answer(tmp_path: Path, kind: str, peers: int) -> None:
    """Guards against the half minute without an answer beside one stream; forty are no worse."""

    async def scenario() -> None:
        writer = EndlessWriter(peers, *ENDLESS_STREAMS[kind])
        async with play(tmp_path, [Replica(PREFILLED)], [writer, Replica(STREAM)]) as p:
            victims = [asyncio.create_task(p.request(f"v{n}")) for n in range(2 * peers)]
            await st.until(lambda: writer.begun >= min(peers, 1))
            await p.check_usual_requests()
            answers = await asyncio.gather(*victims)
            assert all(answer.startswith(b"HTTP/1.1") for answer in answers)
            await st.until(lambda: writer.ended == writer.begun)

    run_async(scenario())


def test_a_stream_that_opens_slowly_without_end_is_given_up_in_time(tmp_path: Path) -> None:
    """Guards against comments that come one by one and keep an attempt alive for ever."""

    async def scenario() -> None:
        writer = EndlessWriter(1, HEAD, chunk(REPORT), pause_s=0.05)
        async with play(tmp_path, [Replica(PREFILLED)], [writer]) as p:
            assert (await p.request("a1")).startswith(b"HTTP/1.1")
            assert p.longest_s * 1000 <= CLASS_TIME_MS
            await st.until(lambda: writer.ended == 1)

    run_async(scenario())


def test_a_prefill_answer_in_chunks_of_one_byte_keeps_nobody_from_an_answer(tmp_path: Path) -> None:
    async def scenario() -> None:
        text = json.dumps({"cached_tokens": 1, "pad": "x" * 200_000}).encode()
        head = b"HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"".join(chunk(bytes((byte,))) for byte in text)
        slow = respond_with(head + body + b"0\r\n\r\n")
        readers = [Replica(slow, PREFILLED), Replica(PREFILLED)]
        async with play(tmp_path, readers, [Replica(STREAM)]) as p:
            await p.check_usual_requests()

    run_async(scenario())


async def send_until_ended(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, piece: bytes
) -> None:
    """Send this piece again and again until the peer answers or ends the connection; then reset."""
    ended = asyncio.create_task(reader.read(1))
    try:
        while not ended.done():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        ended.cancel()
        await asyncio.gather(ended, return_exceptions=True)
        writer.transport.abort()


async def write_small_chunks(port: int) -> None:
    """Send bodies in chunks of four bytes, one request after another, each until it is ended."""
    head = chat_request("b1").replace(b"Content-Length: 2", b"Transfer-Encoding: chunked")
    while True:
        with contextlib.suppress(OSError):
            async with open_connection(port) as (reader, writer):
                writer.write(head[: head.index(b"\r\n\r\n") + 4])
                await send_until_ended(reader, writer, chunk(b"abcd") * 200)


def test_many_clients_with_small_chunks_keep_nobody_from_an_answer(tmp_path: Path) -> None:
    """Guards against 40 bad clients beside which 27 to 35 requests were lost."""

    async def scenario() -> None:
        async with play(tmp_path, [Replica(PREFILLED)], [Replica(STREAM)]) as p:
            bad = [asyncio.create_task(write_small_chunks(p.port)) for _ in range(MANY_PEERS)]
            await p.check_usual_requests()
            for task in bad:
                task.cancel()
            await asyncio.gather(*bad, return_exceptions=True)

    run_async(scenario())


# The JSON-RPC front

ENDLESS_LINES = {
    "blank lines": b"\n" * 20_000,
    "pings": b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n' * 500,
    "answers to nothing": b'{"jsonrpc":"2.0","id":"none","result":{}}\n' * 500,
}


def run_rpc(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(asyncio.wait_for(scenario(), 30))


async def check_rpc_requests(bed: calls.ToolCallTestBed, client: st.Client) -> None:
    """Assert that requests of one client are answered, each before its client gives up."""
    for id in range(5):
        began_s = time.monotonic()
        client.generate(id, timeout_ms=CLASS_TIME_MS)
        assert "result" in await client.response(id)
        assert (time.monotonic() - began_s) * 1000 <= CLASS_TIME_MS


@pytest.mark.parametrize("kind", ENDLESS_LINES)
def test_many_clients_that_send_lines_without_end_keep_nobody_from_an_answer(kind: str) -> None:
    async def flood(port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        if kind == "pings":
            discarding = asyncio.create_task(discard(reader))
            await send_until_ended(asyncio.StreamReader(), writer, ENDLESS_LINES[kind])
            await discarding
        await send_until_ended(reader, writer, ENDLESS_LINES[kind])

    async def scenario() -> None:
        async with calls.world(st.send_text("a")) as bed:
            client = await bed.client()
            port = bed.service.front.port
            floods = [asyncio.create_task(flood(port)) for _ in range(MANY_PEERS)]
            await asyncio.sleep(0.5)
            await check_rpc_requests(bed, client)
            for task in floods:
                task.cancel()
            await asyncio.gather(*floods, return_exceptions=True)

    run_rpc(scenario)


@pytest.mark.parametrize("kind", ["blank lines", "answers to nothing"])
def test_a_writer_that_sends_lines_without_end_keeps_nobody_from_an_answer(kind: str) -> None:
    async def flood(
        _: st.DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await send_until_ended(reader, writer, ENDLESS_LINES[kind])
        raise ConnectionResetError

    async def scenario() -> None:
        async with calls.world(flood) as bed:
            client = await bed.client()
            began_s = time.monotonic()
            client.generate(1, timeout_ms=CLASS_TIME_MS)
            await st.until(lambda: bed.writes)
            for id in range(10, 20):
                st.send_message(client.writer, id=id, method="ping")
                await client.response(id)
            assert "error" in await client.response(1)
            assert (time.monotonic() - began_s) * 1000 <= CLASS_TIME_MS

    run_rpc(scenario)


async def discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(2**16):
            pass
