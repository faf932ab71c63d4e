"""State that stays reserved behind a send which its server never took.

Seen: in two runs ten requests were prefilled and sent on at once, and none of these sends was
taken; the state stayed with its prefill server until the records ended. How it came about: a
decode server, or the way to it, had fallen silent, while the connection to it took every byte.
Cause: an attempt counted as in flight from its last byte on, and only a kernel that had not
acknowledged the bytes was taken for a sign that they had not arrived; a relay or the kernel of a
process that hangs acknowledges them. What proved it: the first test of each front, with a server
that reads and never answers and with one whose process never accepts.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
import standins as st
import test_toolcalls as calls
from shimmed import Process, connection, parties, run
from world import CHUNKS, HEAD, READ, Replica, ask, silence

from tests.support.simulator_settings import CONF

# Of the 0.6 s that are allowed, for a busy machine; the wait for an answer takes 4 s here.
RELEASE_MOST_S = 2.0
SLOW_S = 1.0  # a decode server's first token, well past the time in which state must be used
OBJECTIVE_US = 5_000_000
DEADLINE_MS = 6_000
CLASSES = ("read_like", "non_idempotent")


class StoppedProcess(Replica):
    """Its kernel accepts connections and acknowledges what comes; the process does not run."""

    async def start(self) -> "StoppedProcess":
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=16)
        self.port = int(self.socket.getsockname()[1])
        return self

    async def stop(self) -> None:
        self.socket.close()


async def slow(
    self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
) -> None:
    """Take the request at once, and stream the answer late."""
    await asyncio.sleep(SLOW_S)
    writer.write(HEAD + CHUNKS + b"0\r\n\r\n")


def settings(idempotency: str) -> dict[str, object]:
    grades = CONF["grades"]
    only = {**grades[0], "promiseUs": OBJECTIVE_US, "repeat": idempotency}  # type: ignore[index]
    return {**CONF, "grades": [only]}


@dataclass(frozen=True)
class Silent:
    """Servers that are silent: decode servers to the send, and maybe prefill servers to calls."""

    writers: Callable[[], Replica]
    idempotency: str
    holders_too: bool = False  # then another server has to pass the release on


CASES = (
    *(Silent(lambda: Replica(silence), idempotency) for idempotency in CLASSES),
    *(Silent(lambda: StoppedProcess(READ), idempotency) for idempotency in CLASSES),
    Silent(lambda: Replica(silence), "read_like", holders_too=True),
)


def test_state_is_released_while_a_send_was_acknowledged_and_not_taken(tmp_path: Path) -> None:
    async def go(case: Silent) -> None:
        readers, writers = [Replica(READ), Replica(READ)], [case.writers(), case.writers()]
        for reader in readers:
            reader.lets_go = not case.holders_too
        asked = writers if case.holders_too else readers
        async with parties(tmp_path, readers, writers, settings=settings(case.idempotency)) as made:
            process = await Process.start("serve", "--config", str(made[0]))
            async with connection(await process.port()) as (_, client):
                sent_s = time.monotonic()
                client.write(ask("a1", "a", ms=DEADLINE_MS))
                while not (released := [lease for server in asked for lease in server.leases]):
                    await asyncio.sleep(0.005)
                assert time.monotonic() - sent_s <= RELEASE_MOST_S, case
                assert released[0].endswith("a1")
                assert not process.of("attempt"), "the send may still come through"
            assert await process.end() == 0

    for case in CASES:
        run(go(case))


@pytest.mark.parametrize("idempotency", CLASSES)
def test_a_send_that_was_taken_is_not_given_up_nor_sent_again(
    tmp_path: Path, idempotency: str
) -> None:
    async def go() -> None:
        reader, writers = Replica(READ), [Replica(slow), Replica(slow)]
        async with parties(tmp_path, [reader], writers, settings=settings(idempotency)) as made:
            process = await Process.start("serve", "--config", str(made[0]))
            async with connection(await process.port()) as (answer, client):
                client.write(ask("a1", "a", ms=DEADLINE_MS, close=True))
                assert (await answer.read()).endswith(b"0\r\n\r\n")
            assert sum(len(writer.heads) for writer in writers) == 1 == len(reader.heads)
            assert not process.of("attempt")
            assert await process.end() == 0

    run(go())


def test_state_is_released_at_the_json_rpc_front_as_well() -> None:
    async def go() -> None:
        async with calls.world(st.hold_on) as w:
            client = await w.client()
            client.generate(1)
            await st.until(lambda: w.writes)
            sent_s = time.monotonic()
            await st.until(lambda: any(reader.released for reader in w.readers))
            assert time.monotonic() - sent_s <= RELEASE_MOST_S
            assert w.writes == 1 and not client.responses, "the send may still come through"

    calls.run(go)


def test_a_slow_stream_at_the_json_rpc_front_is_served_by_one_attempt() -> None:
    async def late(
        _: st.Writer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(SLOW_S)

    async def go() -> None:
        async with calls.world(late, st.say("Booked.")) as w:
            client = await w.client()
            client.generate(1)
            assert (await client.response(1))["result"]["finish"] == "stop"
            assert w.writes == 1 and client.texts == ["Booked."]

    calls.run(go)
