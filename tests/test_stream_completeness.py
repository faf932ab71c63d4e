"""Whether a stream counts as complete: only if its last event has come, and its framing has ended.

Guards against answers that are cut short by their server, with its chunks ended in order, and that
clients are told to be complete.
"""

import asyncio
import random

import pytest
from cluster import HEAD, PREFILLED, Replica, respond_with, run_async, running_cluster

from onyxpass.net.event_stream import EventSplitter

SEEDS = range(6800, 6812)
LAST_CHUNK = b"0\r\n\r\n"
USAGE = b'data: {"choices":[],"usage":{"completion_tokens":9}}\n\n'
# every form of the last event that the format of server-sent events allows
LAST_EVENTS = (
    b"data: [DONE]\n\n",
    b"data:[DONE]\n\n",
    b"data: [DONE]\r\n\r\n",
    b"data: [DONE]\r\r",
    b": end\ndata: [DONE]\n\n",
    b"event: message\r\ndata: [DONE]\r\nid: 7\r\n\r\n",
    b"data: [DONE]\n\n: bye\n\n",
)


def token_event(number: int) -> bytes:
    return b'data: {"choices":[{"index":0,"delta":{"content":"[DONE] %d"}}]}\n\n' % number


def chunks_of(random_source: random.Random, text: bytes) -> bytes:
    """Return the text in chunks of drawn sizes, which need not be those of its events."""
    framed, at = b"", 0
    while at < len(text):
        part = text[at : at + random_source.randint(1, 120)]
        framed += b"%x\r\n%b\r\n" % (len(part), part)
        at += len(part)
    return framed


def events_without_end(random_source: random.Random) -> bytes:
    events = [token_event(number) for number in range(random_source.randint(1, 9))]
    return b"".join(events) + random_source.choice((b"", USAGE))


def test_a_stream_without_its_last_event_is_not_told_as_complete() -> None:
    """Guards against answers of which a part is lost, told as served: the server ended its chunks
    in order in the middle of its answer, and the client got a last chunk."""

    async def answer_to(text: bytes) -> bytes:
        async with running_cluster([Replica(PREFILLED)], [Replica(respond_with(text))]) as w:
            answer = await asyncio.wait_for(w.request("a1"), 5)
            assert len(w.writers[0].heads) == 1, "nothing is sent again"
            return answer

    async def scenario() -> None:
        for seed in SEEDS:
            random_source = random.Random(seed)
            events = events_without_end(random_source)
            framed = HEAD + chunks_of(random_source, events) + LAST_CHUNK
            assert not (await answer_to(framed)).endswith(LAST_CHUNK), f"chunks, seed {seed}"
            plain = HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: %d" % len(events))
            assert not (await answer_to(plain + events)).endswith(LAST_CHUNK), f"seed {seed}"

    run_async(scenario)


@pytest.mark.parametrize("last", LAST_EVENTS)
def test_each_form_of_the_last_event_completes_a_stream(last: bytes) -> None:
    async def scenario() -> None:
        for seed in SEEDS[:3]:
            random_source = random.Random(seed)
            events = events_without_end(random_source) + last
            text = HEAD + chunks_of(random_source, events) + LAST_CHUNK
            async with running_cluster([Replica(PREFILLED)], [Replica(respond_with(text))]) as w:
                assert (await w.request("a1")).endswith(LAST_CHUNK), f"seed {seed}"

    run_async(scenario)


def test_the_last_event_is_recognised_in_pieces_and_not_within_other_text() -> None:
    for last in LAST_EVENTS:
        splitter = EventSplitter()
        splitter.feed(token_event(1))
        assert not splitter.has_last_event
        for byte in last:
            splitter.feed(bytes([byte]))
        assert splitter.has_last_event, last
    for other in (token_event(1), b": data: [DONE]\n\n", b"data: [DONE]\ndata: x\n\n"):
        splitter = EventSplitter()
        splitter.feed(token_event(0) + other)
        assert not splitter.has_last_event, other
