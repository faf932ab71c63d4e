"""One client of the JSON-RPC front that sends at full speed, and the others beside it.

Guards against late answers for all others, and against memory that grows with what one client sends.
"""

import asyncio
import contextlib
import json
import random
import socket
import sys
import time

import pytest
import standins as st
import test_toolcalls as calls
from cluster import PREFILLED, STREAM, Replica, chat_request, run_async, running_cluster
from standins import until
from test_endless_input import CLASS_TIME_MS, check_rpc_requests, run_rpc

from onyxpass.core import event_loop
from onyxpass.core.actor import Actor
from onyxpass.core.loop_turn import MAX_TURN_US
from onyxpass.core.memory_budget import MIB
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.front import MAX_NAME_CHARACTERS

SEED = 6880
FLOOD_LINES = 200
STEP_S = 0.004  # of a message that takes long


def generate_line(number: int, **params: object) -> bytes:
    fields = {"class": "part-lookup", "prompt": "x", "request": f"r{number}", **params}
    return rpc.request(number, "generate", fields)


async def never_end(
    server: st.DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read()
    raise ConnectionResetError


def test_requests_of_one_connection_queue_for_decisions_one_at_a_time() -> None:
    """Guards against others that wait behind all requests which one client has sent at once."""

    async def scenario() -> None:
        async with calls.world(st.send_text("a")) as bed:
            core, queued = bed.service.core, [0]
            flood = await bed.client()
            rng = random.Random(SEED)
            for number in range(FLOOD_LINES):
                flood.writer.write(generate_line(number, session=f"s{rng.random()}"))

            async def watch() -> None:
                while True:
                    arrivals = sum(1 for m in core.mailbox._queue if hasattr(m, "session"))  # type: ignore[attr-defined]
                    queued.append(arrivals)
                    await asyncio.sleep(0)

            watching = asyncio.create_task(watch())
            await check_rpc_requests(bed, await bed.client())
            await until(lambda: len(flood.responses) == FLOOD_LINES)
            watching.cancel()
            assert max(queued) <= 2, "one of each connection"

    run_rpc(scenario)


def test_prompts_of_open_requests_stay_within_the_budget() -> None:
    """Guards against one client that holds 256 prompts of 256 KiB, four times that in memory."""

    async def scenario() -> None:
        async with calls.world(never_end) as bed:
            core = bed.service.core
            core.memory_budget.limit_bytes = 2 * MIB
            flood, held = await bed.client(), [0]
            prompt = "\U0001f600" + "x" * 40_000  # one character makes all of them wide
            for number in range(40):
                flood.writer.write(
                    generate_line(number, prompt=prompt, prompt_tokens=9, timeout_ms=1500)
                )
                await flood.writer.drain()
                await asyncio.sleep(0.005)
                open_requests = core.registry.by_number.values()
                held.append(sum(sys.getsizeof(r.payload.prompt) for r in open_requests))
            await until(lambda: len(flood.responses) == 40)
            assert all(r["error"]["code"] == rpc.REFUSED for r in flood.responses)
            assert max(held) <= core.memory_budget.limit_bytes
            await until(lambda: not core.registry.by_number)
            await until(lambda: core.memory_budget.charged_bytes == 0)
            for writer in bed.writers:
                writer.steps = (st.send_text("a"),)
            await check_rpc_requests(bed, await bed.client())

    run_rpc(scenario)


@pytest.mark.parametrize("name", ["session", "prefix"])
def test_long_names_are_rejected(name: str) -> None:
    """Guards against tables that grow by 100 KB with each request under a new name."""

    async def scenario() -> None:
        async with calls.world(st.send_text("a")) as bed:
            client = await bed.client()
            client.generate(1, **{name: "y" * (MAX_NAME_CHARACTERS + 1)})
            assert (await client.response(1))["error"]["code"] == rpc.INVALID_PARAMS
            client.generate(2, **{name: "y" * MAX_NAME_CHARACTERS})
            assert "result" in await client.response(2)

    run_rpc(scenario)


def test_an_actor_with_a_long_queue_lets_others_run() -> None:
    """Guards against timers that are late while messages wait: a crowd of requests came at once."""

    class Slow(Actor[int]):
        def receive(self, message: int) -> None:
            time.sleep(STEP_S)

    async def scenario() -> None:
        actor, gaps_s = Slow("slow"), [0.0]
        for number in range(50):
            actor.tell(number)
        running = asyncio.create_task(actor.run())
        before_s = time.monotonic()
        settled = asyncio.create_task(actor.settled())
        turns = 0
        while not settled.done():
            await asyncio.sleep(0)
            turns += 1
            now_s = time.monotonic()
            gaps_s.append(now_s - before_s)
            before_s = now_s
        running.cancel()
        assert turns >= 50 * STEP_S * 1e6 / MAX_TURN_US / 2

    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(asyncio.wait_for(scenario(), 30))


def test_nothing_is_sent_on_for_a_request_whose_attempt_has_ended() -> None:
    """Guards against a request that its server gets after it was cancelled: a close of the connection
    went on sending what the server had not read."""

    async def scenario() -> None:
        async with calls.world(st.send_text("a")) as bed:
            received: list[bytes] = []

            async def read_slowly(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await go_on.wait()
                with contextlib.suppress(OSError):
                    received.append(await reader.read(-1))
                writer.close()

            go_on = asyncio.Event()
            for server in (*bed.readers, *bed.writers):
                await server.stop()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.bind(("127.0.0.1", 0))
            slow = await asyncio.start_server(read_slowly, sock=sock, limit=1024)
            host, port = sock.getsockname()
            for replica in bed.service.replicas.actors.values():
                replica.address = type(replica.address)(host, port)
                original = replica._send_request

                def send(
                    writer: asyncio.StreamWriter, attempt: object, original: object = original
                ) -> None:
                    # The system takes little, as from a server behind a slow link.
                    connection = writer.get_extra_info("socket")
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                    original(writer, attempt)  # type: ignore[operator]

                replica._send_request = send  # type: ignore[method-assign]
            client = await bed.client()
            client.generate(1, "part-lookup", prompt="x" * 250_000, timeout_ms=800)
            began_s = time.monotonic()
            assert "error" in await client.response(1)
            assert time.monotonic() - began_s <= 0.8, "in its time, although the server is slow"
            await until(lambda: not bed.service.core.registry.by_number)
            go_on.set()
            await until(lambda: len(received) > 0 or not bed.service.replicas.release_tasks)
            await asyncio.sleep(0.5)
            whole = [text for text in received for line in text.split(b"\n")[:-1] if _is_work(line)]
            assert not whole, "a request came in full after its attempt had ended"
            slow.close()

    def _is_work(line: bytes) -> bool:
        return json.loads(line).get("method") in ("read", "write")

    run_rpc(scenario)


def test_requests_at_full_speed_on_one_connection_keep_no_other_client_waiting() -> None:
    """The same at the HTTP front: small, unsound and pipelined requests, also under new names."""

    async def scenario() -> None:
        rng = random.Random(SEED)
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:

            async def flood(end_s: float) -> None:
                number = 0
                while time.monotonic() < end_s:
                    _, writer = await asyncio.open_connection("127.0.0.1", w.port)
                    with contextlib.suppress(OSError):
                        for _ in range(rng.randint(1, 60)):
                            number += 1
                            writer.write(
                                rng.choice(
                                    (
                                        chat_request(f"f{number}"),
                                        chat_request(f"f{number}", f"class-{number}"),
                                        b"GET /x%d HTTP/1.1\r\nHost: x\r\n\r\n" % number,
                                        b"nonsense\r\n\r\n",
                                    )
                                )
                            )
                            await writer.drain()
                    writer.transport.abort()

            flooding = asyncio.create_task(flood(time.monotonic() + 3))
            longest_s, served = 0.0, 0
            while not flooding.done():
                began_s = time.monotonic()
                served += b"HTTP/1.1 200" in await w.request(f"u{began_s}")
                longest_s = max(longest_s, time.monotonic() - began_s)
            await flooding
            assert longest_s * 1000 <= CLASS_TIME_MS and served >= 10
            await until(lambda: not w.dispatcher.core.registry.by_number)

    run_async(scenario)
