# ruff: noqa
"""Hundreds of requests without an id come at once, each with a long head of many short headers."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.path.insert(0, str(FOLDER.parent.parent))
from standins_2 import *  # noqa: E402, F403

from onyxpass.testbed.client import send_request  # noqa: E402
from onyxpass.testbed.replicas import StandinFleet  # noqa: E402
from onyxpass.testbed.settings import dispatcher_config  # noqa: E402

BAD_CLIENTS = 440  # of 480 places that 1,024 descriptors leave to clients
HEADERS = 6_200  # 31 KB, under the limit of a head (32 KiB)
USUAL, EVERY_S, TIME_MS = 100, 0.1, 3000
LATE_S = TIME_MS / 1000 + 0.5 + 0.05  # half a second after its time, and 50 ms on sockets


async def scenario(bench, record):
    fleet = await StandinFleet(2, 2).start()
    bench.servers.append(fleet)
    port = free_port()
    config = dispatcher_config("n1", f"127.0.0.1:{port}", fleet)
    (bench.folder / "n1.json").write_text(json.dumps(config))
    await bench.program("n1", "serve", env={"ROUTER_CONFIG": str(bench.folder / "n1.json")})
    await wait_port(port)
    await asyncio.sleep(1.0)
    answers, asks, bad = [], [], {}

    async def usual():
        for number in range(USUAL):

            async def ask(name=f"u{number}"):
                since = time.monotonic()
                result = await send_request(
                    fleet.trace, ("127.0.0.1", port), name, "part-lookup", f"s-{name}", 12, TIME_MS
                )
                took = time.monotonic() - since
                answers.append((name, result.outcome, took))
                record(f"usual client {name}: {result.outcome} {result.status} after {took:.2f} s")

            asks.append(asyncio.create_task(ask()))
            await asyncio.sleep(EVERY_S)

    async def bad_client(reader, writer):
        try:
            writer.write(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                + b"a:b\r\n" * HEADERS
                + b"Content-Length: 2\r\n\r\n{}"
            )
            answer = await asyncio.wait_for(reader.read(), 30.0)
            text = answer.split(b"\r\n")[0].decode() or "closed"
        except (OSError, TimeoutError) as error:
            text = type(error).__name__
        finally:
            writer.close()
        bad[text] = bad.get(text, 0) + 1

    traffic = asyncio.create_task(usual())
    await asyncio.sleep(2.0)
    if TROUBLE:
        links = [await asyncio.open_connection("127.0.0.1", port) for _ in range(BAD_CLIENTS)]
        record(f"{BAD_CLIENTS} clients send a head of {HEADERS} headers each, and no id")
        await asyncio.gather(*(bad_client(*link) for link in links))
    await traffic
    await asyncio.gather(*asks)
    lost = [name for name, outcome, took in answers if took > LATE_S or outcome == "broken"]
    longest = max(took for _, _, took in answers)
    record(f"bad clients: {bad}; usual clients: {len(answers)}, longest wait {longest:.2f} s")
    record(f"usual requests with an answer later than {LATE_S:.2f} s, or none: {len(lost)}")
    return BROKEN if lost else HELD


run(FOLDER / "record.txt", scenario)  # what was sent, answered and run
