"""The log tells why: each client's connection is counted by why it ended, each refusal names its
reason.
"""

from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from world import FULL, READ, STREAM, Replica, World, ask, breaks, run, silence, until, world

from onyxpass.core.reasons import CloseReason, Reason

CUT = breaks(
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    b'10\r\ndata: {"a":1}\n\n\n\r\n'
)


async def closed(w: World, why: CloseReason) -> None:
    await until(lambda: w.dispatcher.front.connections.closed[why] == 1)
    assert w.dispatcher.front.connections.closed.total() == 1


def test_why_a_clients_connection_ended_is_counted() -> None:
    async def answered() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            assert (await w.ask()).startswith(b"HTTP/1.1 200")
            await closed(w, CloseReason.AFTER_ANSWER)

    async def bad() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            reader, writer = await w.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 400")
            writer.close()
            await closed(w, CloseReason.BAD_REQUEST)

    async def left() -> None:
        async with world([Replica(silence)], [Replica(STREAM)]) as w:
            _, writer = await w.send(ask("a1"))
            await until(lambda: w.readers[0].heads)
            writer.close()
            await closed(w, CloseReason.CLIENT_LEFT)

    async def cut() -> None:
        async with world([Replica(READ)], [Replica(CUT)]) as w:
            assert not (await w.ask("a1", "once")).endswith(b"0\r\n\r\n")
            await closed(w, CloseReason.STREAM_CUT)

    for case in (answered, bad, left, cut):
        run(case)


@pytest.fixture
def logged() -> Iterator[list[Any]]:
    with structlog.testing.capture_logs() as lines:
        yield lines


def test_a_refusal_says_why(logged: list[Any]) -> None:
    async def go() -> None:
        async with world([Replica(FULL)], [Replica(STREAM)]) as w:
            assert (await w.ask("a1")).startswith(b"HTTP/1.1 503")
            w.dispatcher.core.shutdown.begin()
            assert (await w.ask("a2")).startswith(b"HTTP/1.1 503")

    run(go)
    refused = {line["id"]: line["why"] for line in logged if line["event"] == "refused"}
    assert refused == {"a1": Reason.ATTEMPTS_FAILED, "a2": Reason.SHUTTING_DOWN}


def test_each_reason_is_told_once_in_the_set() -> None:
    for reasons in (Reason, CloseReason):
        assert len({reason.value for reason in reasons}) == len(reasons)
    assert not Reason.NONE, "it counts as nothing in the way"
