"""Races at server connections: connects, reuse, repeats, state releases and streams."""

import asyncio
import re
import socket
from dataclasses import replace
from typing import Any

import pytest
import test_toolcalls
from cluster import (
    CHUNKS,
    EVENTS,
    HEAD,
    PREFILLED,
    STREAM,
    Replica,
    Responder,
    break_connection,
    chat_request,
    never_answer,
    run_async,
    running_cluster,
)
from helpers import MS, SETTINGS, S
from standins import until
from test_net import StubClient

from onyxpass.core.requests import Attempt, Request
from onyxpass.net import replica as net_replica
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from tests.support.dispatcher_bed import DispatcherBed

KEYED = replace(
    SETTINGS,
    max_attempts=8,
    classes=(
        contract.TrafficClass(
            "all",
            2 * S,
            8 * S,
            1.0,
            0.0,
            contract.Idempotency.KEYED,
            contract.DeduplicationScope.ALL,
            300 * MS,
        ),
        contract.TrafficClass(
            "zone",
            2 * S,
            8 * S,
            1.0,
            0.0,
            contract.Idempotency.KEYED,
            contract.DeduplicationScope.ZONE,
            300 * MS,
        ),
        contract.TrafficClass("once", 2 * S, 8 * S, 1.0, 0.0, contract.Idempotency.NONE),
    ),
)


# Repeats


@pytest.mark.parametrize(
    ("traffic_class", "status", "sends"),
    [("all", b"503", 1), ("zone", b"502", 1), ("once", b"502", 1)],
)
def test_a_deduplication_window_that_ends_during_the_connect_stops_the_send(
    traffic_class: str, status: bytes, sends: int
) -> None:
    async def scenario() -> None:
        async with running_cluster(
            [Replica(PREFILLED)],
            [Replica(break_connection()), Replica(break_connection())],
            settings=KEYED,
        ) as w:
            core, connects = w.dispatcher.core, []
            deduplication_window_us = KEYED.classes[0].deduplication_window_us
            for actor in (w.dispatcher.replicas.actors[name] for name in ("w0", "w1")):

                async def slow(timeout_us: int | None = None, connect: Any = actor._open) -> Any:
                    wire = await connect(None)
                    connects.append(core.clock.now_us())
                    # the repeat was selected in time, and its connection is established late
                    if len(connects) == 2:
                        (request,) = core.registry.by_number.values()
                        first = next(a for a in request.attempts if a.may_generate)
                        await until(
                            lambda: core.clock.now_us() >= first.sent_us + deduplication_window_us
                        )
                    return wire

                actor._open = slow  # type: ignore[method-assign]
            answer = await w.request("a1", traffic_class)
            assert answer.split()[1] == status, "refused only where no server can run it twice"
            assert sum(len(x.heads) for x in w.writers) == sends

    run_async(scenario)


def test_a_repeat_within_its_window_is_sent() -> None:
    async def scenario() -> None:
        wide = tuple(replace(c, deduplication_window_us=60 * S) for c in KEYED.classes)
        many = replace(KEYED, classes=wide)
        async with running_cluster(
            [Replica(PREFILLED)],
            [Replica(break_connection(), STREAM), Replica(break_connection(), STREAM)],
            settings=many,
        ) as w:
            assert b"HTTP/1.1 200" in await w.request("a1", "all")
            assert sum(len(x.heads) for x in w.writers) == 3

    run_async(scenario)


@pytest.mark.parametrize(
    ("traffic_class", "first", "then", "after_us", "goes"),
    [
        ("keyed", "w0", "w2", 0, True),  # in the same zone
        ("keyed", "w0", "w1", 0, False),
        ("keyed", "w0", "w2", 5 * S, False),
        ("keyed", "r0", "w1", 6 * S, True),  # a prefill has no effect
        ("once", "w0", "w2", 0, False),
        ("once", "r0", "w1", 6 * S, True),
        ("light", "w0", "w1", 6 * S, True),
    ],
)
def test_a_repeat_after_a_possible_run_is_sent_only_where_idempotency_allows(
    traffic_class: str, first: str, then: str, after_us: int, goes: bool
) -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, first, 500_000), traffic_class=traffic_class, wait_us=20 * S)
    bed.advance(after_us)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.RESET)
    bed.step([contract.SendAttempt(7, then, 500_000)])
    assert [a.server for a in bed.fleet.started[1:]] == [then] * goes
    if goes:
        assert not bed.core.preconditions.check(bed.fleet.started[1])
        bed.client.disconnected = True
        assert "ended" in bed.core.preconditions.check(bed.fleet.started[1])


@pytest.mark.parametrize("traffic_class", ["keyed", "once"])
def test_a_request_that_may_have_run_is_failed_and_not_refused(traffic_class: str) -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "w0", 500_000), traffic_class=traffic_class)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.RESET)
    bed.step([contract.Reject(7)])
    assert bed.client.final_answers == ["fail"]


# Connections


def test_a_late_second_response_never_answers_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(net_replica, "REUSE_DELAY_US", 60 * S)

    async def scenario() -> None:
        wrong = b'data: {"wrong":1}\n\n'
        late = HEAD + b"%x\r\n%b\r\n0\r\n\r\n" % (len(wrong), wrong)

        async def respond_twice(
            self: Replica, reader: Any, writer: asyncio.StreamWriter, _: bytes
        ) -> None:
            """Write the second response once the next request has arrived, on any connection."""
            writer.write(HEAD + CHUNKS + b"0\r\n\r\n")
            n = len(self.heads)

            async def second() -> None:
                await until(lambda: len(self.heads) > n)
                writer.write(late)

            self.second = asyncio.create_task(second())  # type: ignore[attr-defined]

        async def slow(self: Replica, reader: Any, writer: asyncio.StreamWriter, _: bytes) -> None:
            await self.second  # type: ignore[attr-defined]
            writer.write(HEAD + CHUNKS + b"0\r\n\r\n")

        async with running_cluster([Replica(PREFILLED)], [Replica(respond_twice, slow)]) as w:
            assert b"wrong" not in await w.request("a1")
            answer = await w.request("a2")
            assert b"wrong" not in answer and answer.endswith(b"0\r\n\r\n")
            (actor,) = (a for a in w.dispatcher.replicas.actors.values() if a.name == "w0")
            await until(lambda: any(idle.wire.stale for idle in actor.idle))
            w.dispatcher.replicas.sweep()
            await until(lambda: len(actor.idle) == 1)

    run_async(scenario)


def test_a_connection_is_reused_after_the_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net_replica, "REUSE_DELAY_US", 1_000)

    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            now_us, actor = w.dispatcher.clock.now_us, w.dispatcher.replicas.actors["w0"]
            for n in range(3):
                assert b"HTTP/1.1 200" in await w.request(f"a{n}")
                await until(lambda: all(now_us() >= idle.reusable_us for idle in actor.idle))
            assert w.writers[0].connections == 1

    run_async(scenario)


def test_a_connect_that_succeeds_as_its_time_limit_expires_sends_nothing_and_leaks_no_descriptor() -> (
    None
):
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            loop = asyncio.get_running_loop()
            actor, connected = w.dispatcher.replicas.actors["r0"], loop.sock_connect
            limits: list[Any] = []
            timeout = w.dispatcher.wheel.timeout

            def record_limit(delay_us: int) -> Any:
                limits.append(timeout(delay_us))
                return limits[-1]

            async def expire_at_connect(sock: socket.socket, address: Any) -> None:
                await connected(sock, address)
                limits[-1].expire()  # in the same step as the success

            actor.wheel = type("Noted", (), {"timeout": staticmethod(record_limit)})()
            loop.sock_connect = expire_at_connect  # type: ignore[method-assign]
            try:
                with pytest.raises(TimeoutError):
                    await actor._open()
            finally:
                loop.sock_connect = connected  # type: ignore[method-assign]
            assert w.dispatcher.replicas.budget.open == 0
            await until(lambda: w.readers[0].eof == 1)
            assert not w.readers[0].heads

    run_async(scenario)


# State releases


def test_state_is_released_even_if_no_server_can_be_asked_at_first() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            replicas, asked = w.dispatcher.replicas, asyncio.Event()
            most, replicas.budget.limit = replicas.budget.limit, 0
            tries, let_go = [], replicas._release_lease

            async def counted(name: str, request_id: str) -> bool:
                tries.append(name)
                if len(tries) > 6:
                    asked.set()
                return await let_go(name, request_id)

            replicas._release_lease = counted  # type: ignore[method-assign]
            request = Request("a1", 1, None, StubClient(), None, state_holder="r0")  # type: ignore[arg-type]
            # keeps the duration of the test out of the release's time limit
            request.reserved_since_us = w.dispatcher.clock.now_us() + 60 * S
            replicas.release(request, False)
            await asked.wait()
            replicas.budget.limit = most
            await until(lambda: w.readers[0].leases or w.writers[0].leases)
            assert request.release_task is not None
            await request.release_task
            assert replicas.budget.open <= 2

    run_async(scenario)


@pytest.mark.parametrize("front", ["http", "json-rpc"])
def test_state_is_released_by_the_last_of_many_servers_if_the_others_are_silent(front: str) -> None:
    async def scenario() -> None:
        async with running_cluster(
            [Replica(PREFILLED)], [Replica(never_answer) for _ in range(8)]
        ) as w:
            for part in (*w.readers, *w.writers[:-1]):
                part.answers_deletes = False
            replicas = w.dispatcher.replicas
            for n, name in enumerate(sorted(replicas.actors)):
                replicas.actors[name].answered_us = 100 - n  # the one that answers is asked last
            request = Request("a1", 1, None, StubClient(), None, state_holder="r0")  # type: ignore[arg-type]
            request.reserved_since_us = w.dispatcher.clock.now_us() + 60 * S
            replicas.release(request, False)
            await until(lambda: w.writers[-1].leases == ["/kv/leases/a1"])

    async def rpc() -> None:
        async with test_toolcalls.world() as w:
            replicas = w.service.replicas  # type: ignore[attr-defined]
            silent = [name for name in replicas.actors if name != "writer-1"]
            for name in silent:
                replicas.actors[name].call = lambda *_: asyncio.sleep(60, False)
            request = Request("a1", 1, None, StubClient(), None, state_holder="reader-0")  # type: ignore[arg-type]
            request.reserved_since_us = w.service.core.clock.now_us() + 60 * S  # type: ignore[attr-defined]
            done: list[str] = []

            async def deletes_state(*_: Any) -> bool:
                done.append("writer-1")
                return True

            replicas.actors["writer-1"].call = deletes_state
            replicas.release(request, False)
            await until(lambda: done)

    run_async(scenario if front == "http" else rpc)


def test_a_release_has_one_time_limit_from_the_end_of_the_last_attempt() -> None:
    """A release retries until its one time limit, and time that connects have used up counts.

    After connects of 300 ms only the minimum time of a release is left. The test checks that the
    release does not end earlier, not that it ends at the limit.
    """

    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(never_answer)]) as w:
            for part in (*w.readers, *w.writers):
                part.answers_deletes = False
            core, replicas = w.dispatcher.core, w.dispatcher.replicas
            for spent_us, expected_us in ((0, 450_000), (300_000, 225_000)):
                request = Request("a1", 1, None, StubClient(), None, state_holder="r0")  # type: ignore[arg-type]
                began_us = core.clock.now_us()
                request.reserved_since_us = began_us - spent_us
                replicas.release(request, False)
                assert request.release_task is not None
                await request.release_task
                took_us = core.clock.now_us() - began_us
                assert took_us >= expected_us, "it retries until the end of its time limit"

    run_async(scenario)


# Answers and streams


def endless(first: bytes, again: bytes) -> Responder:
    async def answer(self: Replica, reader: Any, writer: asyncio.StreamWriter, _: bytes) -> None:
        gone = asyncio.create_task(reader.read())
        writer.write(first)
        while not gone.done():
            writer.write(again)
            await asyncio.sleep(0.01)
        self.eof += 1
        raise ConnectionResetError

    return answer


@pytest.mark.parametrize(
    "text",
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
        (HEAD, b"1\r\n:\r\n"),
        (b"HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\n \r\n"),
    ],
)
@pytest.mark.parametrize("traffic_class", ["light", "once"])
def test_an_endless_answer_is_given_up_in_time_and_a_non_idempotent_request_is_not_repeated(
    text: tuple[bytes, bytes], traffic_class: str
) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(endless(*text))]) as w:
            answer = await w.request("a1", traffic_class, ms=700)
            assert answer.split()[1] in (b"502", b"503", b"504")
            await until(lambda: w.writers[0].eof == len(w.writers[0].heads))
            assert len(w.writers[0].heads) == 1 or traffic_class == "light"
            await until(lambda: not w.dispatcher.core.registry.by_number)

    run_async(scenario)


def test_each_event_is_forwarded_as_it_arrives_in_any_segmentation_beside_a_slow_client() -> None:
    async def scenario() -> None:
        steps: asyncio.Queue[bytes] = asyncio.Queue()

        async def paced(
            self: Replica, reader: Any, writer: asyncio.StreamWriter, head: bytes
        ) -> None:
            writer.write(HEAD)
            if b"slow" in head:
                big = b'data: {"x":"%b"}\n\n' % (b"y" * 60_000)
                gone = asyncio.create_task(reader.read())
                # a client that reads nothing: only its own stream is held back
                while not gone.done():
                    writer.write(b"%x\r\n%b\r\n" % (len(big), big))
                    await asyncio.wait(
                        [gone, asyncio.create_task(writer.drain())], return_when="FIRST_COMPLETED"
                    )
                return
            while text := await steps.get():
                writer.write(text)

        async with running_cluster([Replica(PREFILLED)], [Replica(paced)]) as w:
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.connect(("127.0.0.1", w.port))
            slow.sendall(chat_request("slow"))
            await until(lambda: any(b"slow" in head for head in w.writers[0].heads))
            reader, writer = await w.send(chat_request("a1", close=True))
            first, second, third = (b'data: {"n":%d}\n\n' % n for n in range(3))
            steps.put_nowait(b"%x\r\n%b\r\n%x\r\n%b\r\n" % (len(first), first, len(second), second))
            await reader.readuntil(second)  # both events, while the stream stays open
            whole = b"%x\r\n%b\r\n" % (len(third), third)
            for n in range(len(whole)):  # one event split over many segments
                steps.put_nowait(whole[n : n + 1])
            await reader.readuntil(third)
            steps.put_nowait(b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENTS[-1]), EVENTS[-1]))
            assert (await reader.read()).endswith(b"0\r\n\r\n")
            writer.close()
            slow.close()

    run_async(scenario)


def test_state_of_a_prefill_that_ends_as_its_client_leaves_is_released() -> None:
    async def scenario() -> None:
        hold = asyncio.Event()

        async def late(self: Replica, reader: Any, writer: asyncio.StreamWriter, _: bytes) -> None:
            await hold.wait()
            send_prefill_answer(writer)

        def send_prefill_answer(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}")

        async with running_cluster([Replica(late)], [Replica(STREAM)]) as w:
            _, writer = await w.send(chat_request("a1"))
            await until(lambda: w.readers[0].heads)
            writer.transport.abort()
            hold.set()  # the 202 and the client's close are in transit at once
            await until(lambda: w.readers[0].leases or w.writers[0].leases)
            await until(lambda: not w.dispatcher.core.registry.by_number)
            assert not w.writers[0].heads

    run_async(scenario)


def test_an_attempt_tells_the_time_left_at_its_first_byte_and_not_at_its_selection() -> None:
    """Guards against telling a server more time than is left.

    The time of a connect, or of the release before a send, was not subtracted from the value.
    """

    async def scenario() -> None:
        reader, waited_us, attempts = Replica(PREFILLED), 200_000, list[Attempt]()
        async with running_cluster([reader], [Replica(STREAM)]) as w:
            actor = w.dispatcher.replicas.actors["r0"]
            open_one, run_attempt = actor._open, actor.run_attempt

            async def slowly(timeout_us: int | None = None) -> Any:
                await asyncio.sleep(waited_us / S)
                return await open_one(timeout_us)

            async def carried(attempt: Attempt, resumed: Any = None) -> None:
                attempts.append(attempt)
                await run_attempt(attempt, resumed)

            actor._open, actor.run_attempt = slowly, carried  # type: ignore[method-assign]
            assert b" 200 " in await w.request("a1")
        timeout_ms = re.search(rb"x-timeout-ms: (\d+)", reader.heads[0])
        assert timeout_ms is not None and attempts[0].timeout_us > 2 * waited_us
        assert 1 < int(timeout_ms[1]) <= (attempts[0].timeout_us - waited_us) // 1000

    run_async(scenario)
