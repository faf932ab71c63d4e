"""Measures what a waiting client costs a dispatcher in memory: `make bench-waiting-memory`.

Each row is a kind of client, of which CLIENTS connect to a fresh dispatcher with stand-in servers and
stay. The figure is the growth of the process's private memory by then, divided by their number.
Writes docs/measurements/waiting_memory.md.
"""

import asyncio
import json
import os
import platform
from dataclasses import dataclass

from bench_support import ROOT, private_bytes, running_dispatcher

from onyxpass.testbed.replicas import Speed, StandinFleet

CLIENTS = 200
SETTLING_S = 2.0  # until what the clients sent has been read
SLOW = Speed(read_s=60.0)  # no prefill ends while the memory is read
HEAD = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"


@dataclass(frozen=True, slots=True)
class ClientKind:
    """A kind of waiting client: what it sends, with ``{n}`` for its number."""

    name: str
    text: str


def request(body_bytes: int, sent_bytes: int) -> str:
    """Return a valid request with a body of ``body_bytes``, of which ``sent_bytes`` are sent."""
    body = json.dumps({"text": ""})
    body = body[:-2] + "x" * (body_bytes - len(body)) + body[-2:]
    head = (
        f"{HEAD}X-Request-ID: r{{n}}\r\nX-Priority-Class: part-lookup\r\nX-Route-Key: s{{n}}\r\n"
        "X-Timeout-Ms: 6000\r\nX-Attrs: prefix=p1,prompt_len=400,prefix_len=200,max_out=40\r\n"
        f"Content-Length: {body_bytes}\r\n\r\n"
    )
    return head + body[:sent_bytes].replace("{", "{{").replace("}", "}}")


KINDS = (
    ClientKind("connected, nothing sent", ""),
    ClientKind("a head of 1 KiB without its end", HEAD + "X-Note: " + "x" * 950),
    ClientKind("a body of 8 KiB, one byte short", request(8 * 1024, 8 * 1024 - 1)),
    ClientKind("a body of 64 KiB, one byte short", request(64 * 1024, 64 * 1024 - 1)),
    ClientKind("an open request with a body of 200 bytes", request(200, 200)),
    ClientKind("an open request with a body of 8 KiB", request(8 * 1024, 8 * 1024)),
)


async def bytes_per_client(kind: ClientKind) -> int:
    """Return the growth of a dispatcher's memory for each client of a kind."""
    fleet = await StandinFleet(4, 4, speed=SLOW).start()
    async with running_dispatcher(fleet) as (pid, port):
        before = private_bytes(pid)
        writers = []
        for number in range(CLIENTS):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(kind.text.format(n=number).encode())
            writers.append(writer)
        await asyncio.sleep(SETTLING_S)
        grown = private_bytes(pid) - before
        for writer in writers:
            writer.transport.abort()
    await fleet.stop()
    return grown // CLIENTS


async def main() -> None:
    """Measure all kinds, and write the page."""
    rows = []
    for kind in KINDS:
        rows.append(f"| {kind.name} | {await bytes_per_client(kind):,} |")
        print(rows[-1], flush=True)
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    (ROOT / "docs/measurements/waiting_memory.md").write_text(f"""\
# What a waiting client costs in memory

`make bench-waiting-memory`. {machine}; {CLIENTS} clients of one kind at a fresh dispatcher, {SETTLING_S:g} s after they have connected; growth of its private memory
for each of them, one run. How the sum is bounded: [the incident](../incidents/2026-12-04-unfinished-bodies-exceed-memory.md).

| client | bytes each |
| --- | --- |
{chr(10).join(rows)}
""")


if __name__ == "__main__":
    asyncio.run(main())
