"""Servers that write slowly: a stream whose bytes still come is not cut off.

Guards against an answer that is lost although its server goes on writing it: an event or a chunk that
took longer than a second was taken for a stalled one.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from cluster import EVENTS, HEAD, PREFILLED, Cluster, Replica, chat_request, running_cluster
from fault_injection import run_async
from test_endless_input import chunk

SEEDS = range(6820, 6840)
MAX_CLIENT_WAIT_S = 5.0  # for a client, after its running server's last event
SILENCE_S = 4.0  # of a server that is slow within an event
CLASS_TIME_MS = 6000
MAX_EVENT_DELAY_S = 0.3  # from an event's last byte at the server to the client
LAST_CHUNK = b"0\r\n\r\n"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n'


@dataclass
class SlowWriter:
    """What a server writes, in pieces, each after a pause in seconds; None: a silence without end."""

    pieces: Sequence[tuple[float, bytes | None]]
    written_s: list[float] = field(default_factory=list)  # when each piece was written


class SlowWriters(Replica):
    """Answers each request as its id says."""

    def __init__(self) -> None:
        super().__init__(self.answer)
        self.by_id: dict[str, SlowWriter] = {}

    @staticmethod
    async def answer(
        self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
    ) -> None:
        assert isinstance(self, SlowWriters)
        request_id = head.split(b"X-Request-ID: ".lower())[1].split(b"\r\n")[0].decode()
        script = self.by_id[request_id]
        with contextlib.suppress(OSError):
            for pause_s, piece in script.pieces:
                await asyncio.sleep(pause_s)
                if piece is None:
                    await reader.read(1)
                    return
                writer.write(piece)
                await writer.drain()
                script.written_s.append(time.monotonic())


def draw_slow_writer(seed: int, before_commit: bool) -> SlowWriter:
    """Draw a stream whose first or second event comes in pieces, for longer than a second in all."""
    random_source = random.Random(seed)
    slow = chunk(EVENT % (b"x" * random_source.randint(40, 4000)))
    count = random_source.randint(3, 8)
    cuts = sorted(random_source.sample(range(1, len(slow)), count - 1))
    parts = [slow[a:b] for a, b in zip([0, *cuts], [*cuts, len(slow)], strict=True)]
    # Servers that have not begun to answer may be given up sooner: others can take their place.
    in_all_s = random_source.uniform(1.3, 1.7) if before_commit else random_source.uniform(1.3, 6.0)
    shares = [random_source.uniform(1, 3) for _ in parts[1:]]
    pauses_s = [0.1, *(in_all_s * share / sum(shares) for share in shares)]
    longest_s = 0.9 if before_commit or in_all_s > SILENCE_S else SILENCE_S
    pauses_s = [min(pause_s, longest_s) for pause_s in pauses_s]
    first = HEAD if before_commit else HEAD + chunk(EVENTS[0])
    rest = chunk(EVENTS[1]) + LAST_CHUNK
    return SlowWriter([(0.0, first), *zip(pauses_s, parts, strict=True), (0.1, rest)])


async def read_stream(
    cluster: Cluster, request_id: str
) -> tuple[bytes, list[tuple[float, bytes]], float]:
    """Return what a client receives, when each part of it came, and when its connection ended."""
    reader, writer = await cluster.send(chat_request(request_id, ms=CLASS_TIME_MS, close=True))
    received, parts = b"", []
    with contextlib.suppress(ConnectionResetError):
        while part := await reader.read(65536):
            received += part
            parts.append((time.monotonic(), part))
    writer.close()
    return received, parts, time.monotonic()


def test_a_stream_whose_bytes_still_come_is_not_cut_off() -> None:
    """Guards against answers that are cut off while their servers are still writing them."""

    async def scenario() -> None:
        writers = SlowWriters()
        for seed in SEEDS:
            writers.by_id[f"a{seed}"] = draw_slow_writer(seed, before_commit=seed % 2 == 0)
        async with running_cluster([Replica(PREFILLED)], [writers]) as w:
            ids = list(writers.by_id)
            answers = await asyncio.gather(*(read_stream(w, name) for name in ids))
        cut = [
            name
            for name, (text, _, _) in zip(ids, answers, strict=True)
            if not text.endswith(LAST_CHUNK)
        ]
        assert not cut, f"{len(cut)} of {len(ids)}"

    run_async(scenario())


def test_events_within_a_slow_chunk_are_forwarded_as_they_come() -> None:
    """Guards against events that are held back until the chunk around them is complete."""

    async def scenario() -> None:
        events = [EVENT % (b"%d" % number * 200) for number in range(6)]
        text = b"".join(events) + EVENTS[1]
        pieces = [(0.0, HEAD + chunk(EVENTS[0])), (0.1, b"%x\r\n" % len(text))]
        pieces += [(0.6, event) for event in (*events, EVENTS[1])]
        script = SlowWriter([*pieces, (0.0, b"\r\n" + LAST_CHUNK)])
        writers = SlowWriters()
        writers.by_id["a1"] = script
        async with running_cluster([Replica(PREFILLED)], [writers]) as w:
            received, parts, _ = await read_stream(w, "a1")
        assert received.endswith(LAST_CHUNK)
        for number, event in enumerate(events):
            came_s = next(at for at, part in parts if event in part)
            assert came_s - script.written_s[2 + number] <= MAX_EVENT_DELAY_S, number

    run_async(scenario())


def test_a_stream_that_falls_silent_within_an_event_ends_before_its_client_has_waited_too_long() -> (
    None
):
    async def scenario() -> None:
        event = chunk(EVENT % b"x")
        writers = SlowWriters()
        for cut in (1, 3, len(event) // 2, len(event) - 3):
            pieces = [(0.0, HEAD + chunk(EVENTS[0])), (2.0, event[:cut]), (0.0, None)]
            writers.by_id[f"a{cut}"] = SlowWriter(pieces)
        async with running_cluster([Replica(PREFILLED)], [writers]) as w:
            ids = list(writers.by_id)
            streams = await asyncio.gather(*(read_stream(w, name) for name in ids))
        for (received, _, ended_s), script in zip(streams, writers.by_id.values(), strict=True):
            assert ended_s - script.written_s[0] <= MAX_CLIENT_WAIT_S
            assert not received.endswith(LAST_CHUNK)

    run_async(scenario())
