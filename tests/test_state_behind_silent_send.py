"""State that stays reserved behind a send which its server never processed.

In two runs ten requests were prefilled and sent at once, and none of these sends was processed; the
state stayed with its prefill server until the end of the records. A decode server, or the route to
it, had fallen silent while the connection to it accepted every byte. An attempt counted as in
flight from its last byte on, and only unacknowledged bytes were taken as a sign that they had not
arrived; but a relay, or the kernel of a hanging process, acknowledges them. The tests use a server
that reads and never answers, and one whose process never accepts.
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
from cluster import CHUNKS, HEAD, PREFILLED, Replica, chat_request, never_answer
from fault_injection import ChildProcess, open_connection, run_async, servers_and_config

from tests.support.simulator_settings import WIRE_SETTINGS

# 0.6 s are allowed; the rest is for a busy machine. The wait for an answer takes 4 s here.
MAX_RELEASE_S = 2.0
# delay of a decode server's first token, well past the time in which state must be used
SLOW_S = 1.0
OBJECTIVE_US = 5_000_000
DEADLINE_MS = 6_000
CLASSES = ("read_like", "non_idempotent")


class StoppedProcess(Replica):
    """A stopped process: its kernel accepts connections and acknowledges bytes."""

    async def start(self) -> "StoppedProcess":
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=16)
        self.port = int(self.socket.getsockname()[1])
        return self

    async def stop(self) -> None:
        self.socket.close()


async def slow(
    self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
) -> None:
    """Accept the request at once, and stream the answer late."""
    await asyncio.sleep(SLOW_S)
    writer.write(HEAD + CHUNKS + b"0\r\n\r\n")


def settings(idempotency: str) -> dict[str, object]:
    grades = WIRE_SETTINGS["grades"]
    only = {**grades[0], "promiseUs": OBJECTIVE_US, "repeat": idempotency}  # type: ignore[index]
    return {**WIRE_SETTINGS, "grades": [only]}


@dataclass(frozen=True)
class SilentServers:
    """Decode servers that are silent to a send.

    Prefill servers may be silent too, to requests to release state.
    """

    writers: Callable[[], Replica]
    idempotency: str
    prefill_servers_too: bool = False  # then another server has to forward the release


CASES = (
    *(SilentServers(lambda: Replica(never_answer), idempotency) for idempotency in CLASSES),
    *(SilentServers(lambda: StoppedProcess(PREFILLED), idempotency) for idempotency in CLASSES),
    SilentServers(lambda: Replica(never_answer), "read_like", prefill_servers_too=True),
)


def test_state_is_released_while_a_send_was_acknowledged_and_not_processed(tmp_path: Path) -> None:
    async def scenario(case: SilentServers) -> None:
        readers, writers = (
            [Replica(PREFILLED), Replica(PREFILLED)],
            [case.writers(), case.writers()],
        )
        for reader in readers:
            reader.answers_deletes = not case.prefill_servers_too
        asked = writers if case.prefill_servers_too else readers
        async with servers_and_config(
            tmp_path, readers, writers, settings=settings(case.idempotency)
        ) as made:
            process = await ChildProcess.start("serve", "--config", str(made[0]))
            async with open_connection(await process.port()) as (_, client):
                sent_s = time.monotonic()
                client.write(chat_request("a1", "a", ms=DEADLINE_MS))
                while not (released := [lease for server in asked for lease in server.leases]):
                    await asyncio.sleep(0.005)
                assert time.monotonic() - sent_s <= MAX_RELEASE_S, case
                assert released[0].endswith("a1")
                assert not process.events("attempt"), "the send may still be processed"
            assert await process.terminate() == 0

    for case in CASES:
        run_async(scenario(case))


@pytest.mark.parametrize("idempotency", CLASSES)
def test_a_send_that_was_processed_is_not_given_up_nor_repeated(
    tmp_path: Path, idempotency: str
) -> None:
    async def scenario() -> None:
        reader, writers = Replica(PREFILLED), [Replica(slow), Replica(slow)]
        async with servers_and_config(
            tmp_path, [reader], writers, settings=settings(idempotency)
        ) as made:
            process = await ChildProcess.start("serve", "--config", str(made[0]))
            async with open_connection(await process.port()) as (answer, client):
                client.write(chat_request("a1", "a", ms=DEADLINE_MS, close=True))
                assert (await answer.read()).endswith(b"0\r\n\r\n")
            assert sum(len(writer.heads) for writer in writers) == 1 == len(reader.heads)
            assert not process.events("attempt")
            assert await process.terminate() == 0

    run_async(scenario())


def test_state_is_released_at_the_json_rpc_front_as_well() -> None:
    async def scenario() -> None:
        async with calls.world(st.read_until_closed) as w:
            client = await w.client()
            client.generate(1)
            await st.until(lambda: w.writes)
            sent_s = time.monotonic()
            await st.until(lambda: any(reader.released for reader in w.readers))
            assert time.monotonic() - sent_s <= MAX_RELEASE_S
            assert w.writes == 1 and not client.responses, "the send may still be processed"

    calls.run(scenario)


def test_a_slow_stream_at_the_json_rpc_front_is_served_by_one_attempt() -> None:
    async def late(
        _: st.DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(SLOW_S)

    async def scenario() -> None:
        async with calls.world(late, st.send_text("Booked.")) as w:
            client = await w.client()
            client.generate(1)
            assert (await client.response(1))["result"]["finish"] == "stop"
            assert w.writes == 1 and client.texts == ["Booked."]

    calls.run(scenario)
