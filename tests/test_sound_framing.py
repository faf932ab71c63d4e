"""Sound peers whose chunks and writes end anywhere: each message is read as it was meant.

Guards against a stream that is cut off although its server still writes it: content of a chunk was taken
for the size of the next one, if the size line before it had come in a read of its own.
"""

import asyncio
import contextlib
import json
import random
import socket
from pathlib import Path

from cluster import EVENTS, HEAD, Discovery, Replica
from fault_injection import (
    ChildProcess,
    open_connection,
    run_async,
    servers_and_config,
    start_with_socket,
)
from sound_framing import LAST_CHUNK, cut, digits, write_in_parts
from standins import until
from test_endless_input import chunk

from onyxpass.net.framing_limits import MAX_LINES

SEEDS = range(7410, 7413)
REQUESTS = 40
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PREFILLED_HEAD = b"HTTP/1.1 202 Accepted\r\n" + CHUNKED
REQUEST_HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: a%d\r\nConnection: close\r\n"
    b"X-Priority-Class: a\r\nX-Timeout-Ms: 6000\r\n" + CHUNKED
)


class SoundServer(Replica):
    """A server whose answers are sound, in drawn chunks and writes."""

    head = HEAD

    def __init__(self, seed: int) -> None:
        super().__init__(self.answer)
        self.random_source = random.Random(seed)

    @staticmethod
    async def answer(
        self: Replica, _: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
    ) -> None:
        assert isinstance(self, SoundServer)
        writer.write(self.head)
        await write_in_parts(self.random_source, writer, self.draw_body())

    def draw_body(self) -> bytes:
        source = self.random_source
        events = [b'data: {"a":"%b"}\n\n' % digits(source, 90) for _ in range(20)]
        return b"".join(events) + EVENTS[1]


class SoundReader(SoundServer):
    head = PREFILLED_HEAD

    def draw_body(self) -> bytes:
        return b'{"id":"%b","cached_tokens":12}' % digits(self.random_source, 400)


class SoundDiscovery(Discovery):
    """Sends its list in drawn chunks and writes, indented over many short lines."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random_source = random.Random(seed)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"watch" not in head.split()[1]
        more = [digits(self.random_source, 12).decode() for _ in range(MAX_LINES * 3 // 2)]
        text = json.dumps(
            {"seq": self.seq, "whole": True, "hosts": self.hosts, "x": more}, indent=0
        )
        writer.write(b"HTTP/1.1 200 OK\r\n" + CHUNKED)
        await write_in_parts(self.random_source, writer, text.encode())
        await super().serve(reader, writer)


def draw_request(random_source: random.Random) -> bytes:
    """Draw a body of many short lines."""
    lines = [digits(random_source, 12).decode() for _ in range(random_source.randint(10, 1500))]
    return json.dumps({"stream": True, "lines": lines}, indent=0).encode()


async def play(folder: Path, seed: int) -> dict[str, object]:
    """Return what went wrong between sound peers of every kind and one process."""
    random_source, writers = random.Random(seed), [SoundServer(seed), SoundServer(seed + 100)]
    discovery = SoundDiscovery(seed)
    async with servers_and_config(folder, [SoundReader(seed)], writers, discovery=discovery) as (
        path,
        _,
    ):
        process = await ChildProcess.start("serve", environment={"ROUTER_CONFIG": str(path)})
        port = await process.port()

        async def request(number: int) -> bytes:
            with contextlib.suppress(OSError):
                async with open_connection(port) as (reader, writer):
                    writer.write(REQUEST_HEAD % number)
                    await write_in_parts(random_source, writer, draw_request(random_source))
                    return await reader.read()
            return b""

        answers = await asyncio.gather(*(request(number) for number in range(REQUESTS)))
        assert await process.terminate() == 0, process.other_output
    cut = sum(not answer.endswith(LAST_CHUNK) for answer in answers)
    reasons = [
        line.get("why") for line in process.events("attempt") + process.events("bad_request")
    ]
    lost_watches = process.events("watch_lost")
    found = {"cut": cut, "reasons": reasons, "lost watches": lost_watches}
    return {name: what for name, what in found.items() if what}


def test_sound_messages_in_any_chunks_and_writes_are_read_by_every_part(tmp_path: Path) -> None:
    """Guards against streams, requests and lists that are ended for a size that nobody stated."""
    wrong = {seed: run_async(play(tmp_path, seed)) for seed in SEEDS}
    assert not any(wrong.values()), wrong


class SlowServer(SoundServer):
    """Writes each size line, each content and each line end apart."""

    @staticmethod
    async def answer(
        self: Replica, _: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
    ) -> None:
        assert isinstance(self, SlowServer)
        writer.write(HEAD)
        for content in cut(self.random_source, self.draw_body(), 200):
            for part in (b"%x\r\n" % len(content), content, b"\r\n"):
                writer.write(part)
                await asyncio.sleep(self.random_source.uniform(0.0, 0.05))
        writer.write(LAST_CHUNK)


def test_streams_that_migrate_at_any_moment_are_complete(tmp_path: Path) -> None:
    """Guards against a stream that is handed over behind a size line, and is then read as unsound."""

    async def scenario() -> None:
        servers = [SlowServer(7420)]
        async with servers_and_config(tmp_path, [SoundReader(7420)], servers) as (path, _):
            with socket.create_server(("127.0.0.1", 0)) as listening:
                port = listening.getsockname()[1]
                environment = {"TMPDIR": str(tmp_path)}
                old = await start_with_socket(path, listening, **environment)
                await old.wait_for_event("list", form="full")

                async def request(number: int) -> bytes:
                    async with open_connection(port) as (reader, writer):
                        writer.write(REQUEST_HEAD % number + chunk(b"{}") + LAST_CHUNK)
                        return await reader.read()

                requests = [asyncio.create_task(request(number)) for number in range(REQUESTS)]
                await until(lambda: len(servers[0].heads) == REQUESTS)
                new = await start_with_socket(path, listening, **environment)
                await new.wait_for_event("list", form="full")
                assert await old.terminate() == 0
                answers = await asyncio.gather(*requests)
                assert await new.terminate() == 0
            incomplete = sum(not answer.endswith(LAST_CHUNK) for answer in answers)
            assert old.events("stream_migrated")
            reasons = [line.get("why") for line in new.events("attempt")]
            assert not incomplete, (incomplete, reasons)

    run_async(scenario())
