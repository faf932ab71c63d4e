"""Prefill state is released in time if the request to the next server is not delivered."""

import asyncio
import json
import socket
import time
from pathlib import Path

from cluster import PREFILLED, Replica, chat_request
from fault_injection import ChildProcess, open_connection, run_async, servers_and_config

from tests.support.simulator_settings import WIRE_SETTINGS

# The limit is 0.6 s, with a margin for a busy machine; a wait for the answer would take over 5 s.
MAX_HELD_S = 2.0
BODY = json.dumps({"text": "x" * 200_000}).encode()


class NonReadingReplica(Replica):
    """Accepts connections and reads nothing, so that data stays in the sender's kernel."""

    async def start(self) -> "NonReadingReplica":
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._accept, sock=sock, limit=1)
        self.port = sock.getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.Event().wait()


def test_prefill_state_is_released_in_time_while_a_request_is_not_delivered(tmp_path: Path) -> None:
    async def scenario() -> None:
        reader, writer = Replica(PREFILLED), NonReadingReplica(PREFILLED)
        slow = {**WIRE_SETTINGS["grades"][0], "promiseUs": 4_000_000}  # type: ignore[index]
        settings = {**WIRE_SETTINGS, "grades": [slow]}
        async with servers_and_config(tmp_path, [reader], [writer], settings=settings) as (path, _):
            process = await ChildProcess.start("serve", "--config", str(path))
            async with open_connection(await process.port()) as (_, client):
                client.write(chat_request("a1", "a", ms=6000, text=BODY))
                while not reader.heads:
                    await asyncio.sleep(0.002)
                prefilled_s = time.monotonic()
                while not reader.leases:
                    await asyncio.sleep(0.005)
                assert reader.leases[0].endswith("a1")
                assert time.monotonic() - prefilled_s <= MAX_HELD_S
            assert await process.terminate() == 0

    run_async(scenario())
