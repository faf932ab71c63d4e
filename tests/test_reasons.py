"""The reasons of closed connections are counted, and those of rejections are logged."""

from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from cluster import (
    PREFILLED,
    SERVER_FULL,
    STREAM,
    Cluster,
    Replica,
    break_connection,
    chat_request,
    never_answer,
    run_async,
    running_cluster,
    until,
)

from onyxpass.core.reasons import CloseReason, DisconnectReason, Reason

CUT_STREAM = break_connection(
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    b'10\r\ndata: {"a":1}\n\n\n\r\n'
)


OVERSIZED_CHUNK = break_connection(
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"c0000000\r\n"
)


async def wait_for_close(w: Cluster, reason: CloseReason) -> None:
    await until(lambda: w.dispatcher.front.connections.closed[reason] == 1)
    assert w.dispatcher.front.connections.closed.total() == 1


def test_client_connections_are_counted_by_why_they_ended() -> None:
    async def answered() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            assert (await w.request()).startswith(b"HTTP/1.1 200")
            await wait_for_close(w, CloseReason.AFTER_ANSWER)

    async def bad_request() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            reader, writer = await w.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 400")
            writer.close()
            await wait_for_close(w, CloseReason.BAD_REQUEST)

    async def client_left() -> None:
        async with running_cluster([Replica(never_answer)], [Replica(STREAM)]) as w:
            _, writer = await w.send(chat_request("a1"))
            await until(lambda: w.readers[0].heads)
            writer.close()
            await wait_for_close(w, CloseReason.CLIENT_LEFT)

    async def stream_cut() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(CUT_STREAM)]) as w:
            assert not (await w.request("a1", "once")).endswith(b"0\r\n\r\n")
            await wait_for_close(w, CloseReason.STREAM_CUT)

    for case in (answered, bad_request, client_left, stream_cut):
        run_async(case)


@pytest.fixture
def logged() -> Iterator[list[Any]]:
    with structlog.testing.capture_logs() as lines:
        yield lines


def test_a_rejection_is_logged_with_its_reason(logged: list[Any]) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(SERVER_FULL)], [Replica(STREAM)]) as w:
            assert (await w.request("a1")).startswith(b"HTTP/1.1 503")
            w.dispatcher.core.shutdown.begin()
            assert (await w.request("a2")).startswith(b"HTTP/1.1 503")

    run_async(scenario)
    reasons = {line["id"]: line["why"] for line in logged if line["event"] == "refused"}
    assert reasons == {"a1": Reason.ATTEMPTS_FAILED, "a2": Reason.SHUTTING_DOWN}


def test_the_reasons_of_each_enum_have_distinct_values() -> None:
    for reasons in (Reason, CloseReason, DisconnectReason):
        assert len({reason.value for reason in reasons}) == len(reasons)
    assert not Reason.NONE, "NONE is falsy"


@pytest.mark.parametrize("reason", DisconnectReason)
def test_a_client_that_is_gone_is_logged_with_the_reason(
    logged: list[Any], reason: DisconnectReason
) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(never_answer)], [Replica(STREAM)]) as w:
            _, writer = await w.send(chat_request("a1"))
            await until(lambda: w.readers[0].heads)
            if reason is DisconnectReason.EXTRA_BYTES:
                writer.write(b"POST")
            else:
                writer.close()
            await until(lambda: any(line["event"] == "client_gone" for line in logged))
            writer.close()

    run_async(scenario)
    assert [line["why"] for line in logged if line["event"] == "client_gone"] == [reason]


def test_an_impossible_size_of_a_chunk_is_logged(logged: list[Any]) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(OVERSIZED_CHUNK)]) as w:
            await w.request("a1", "once")

    run_async(scenario)
    (why,) = (line["why"] for line in logged if line["event"] == "attempt")
    assert "states more than 262,144 bytes" in why
