"""Case 2: bookings that are being read, while the watched file makes their reader's id a writer's.

The rule is broken if a client is told that its booking is done and no writer has written it.
"""

import asyncio
import json
import os
import random
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from common import BROKEN, HELD, NOT_RUN, Bench, CannotRunError, Record, free_port, program, trouble

HERE = Path(__file__).resolve().parent
CLIENTS = 24
PLAY_S, CHANGE_AT_S = 12.0, 5.0
ANSWER_S = 10.0  # the class's deadline is 7.5 s
CONFIG = """
name = "toolcalls-1"
listen = "127.0.0.1:{listen}"
sources = "sources.toml"
[store]
url = "redis://127.0.0.1:{store}/0"
[tools]
address = "127.0.0.1:{tools}"
[settings]
az = "boa-vista"
hostTypes = ["reader", "writer"]
[[settings.grades]]
name = "stock-booking"
promiseUs = 1500000
deadlineUs = 7500000
value = 2.0
lateWorth = 0.1
repeat = "non_idempotent"
[settings.extra]
roleByKind = ["read", "write"]
tokensByKind = [240000, 150000]
tokenAimUs = [70000]
aimUsPer1000PromptTokens = [40000]
[settings.limits]
maxAttempts = 4
cancelling = true
retryAfter = true
maxRetryAfterUs = 1000000
"""
SERVERS = ("s1", "s2", "s3", "s4")  # two readers and two writers
NEW = "s2-new"  # the process that takes the place of s2, as a writer


@dataclass
class Answer:
    """What a client was told of one booking."""

    name: str
    done: bool
    texts: int
    message: dict[str, Any]


def write_servers(folder: Path, rows: dict[str, tuple[str, int]]) -> None:
    """Replace the watched file: kind and port of each server."""
    text = "".join(
        f'[[servers]]\nid = "{name}"\nkind = "{kind}"\nhall = "boa-vista"\n'
        f'address = "127.0.0.1:{port}"\n'
        for name, (kind, port) in rows.items()
    )
    beside = folder / "servers.new"
    beside.write_text(text)
    os.replace(beside, folder / "servers.toml")  # noqa: PTH105 - as an operator's tool does


class Client:
    """Asks for one booking after the other, each under a new name."""

    def __init__(self, number: int, port: int, record: Record) -> None:
        self.number, self.port, self.record = number, port, record
        self.rng = random.Random(number)
        self.answers: list[Answer] = []

    async def run(self, until_s: float) -> None:
        """Ask until then."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        count, loop = 0, asyncio.get_running_loop()
        while loop.time() < until_s:
            count += 1
            name = f"booking-{self.number}-{count}"
            params = {"class": "stock-booking", "request": name, "prompt": "Book one out. " * 20}
            call = {"jsonrpc": "2.0", "id": count, "method": "generate", "params": params}
            writer.write(json.dumps(call).encode() + b"\n")
            self.record("sent", name=name)
            texts = 0
            while True:
                message = json.loads(await asyncio.wait_for(reader.readline(), ANSWER_S))
                if message.get("method") != "text":
                    break
                texts += 1
            answer = Answer(name, "result" in message, texts, message)
            self.answers.append(answer)
            self.record("answer", name=name, texts=texts, message=message)
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        writer.close()


async def wait_until_served(port: int) -> None:
    """Wait until the front answers."""
    for _ in range(200):
        await asyncio.sleep(0.1)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n')
            line = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            continue
        if b'"ready":true' in line:
            return
    raise CannotRunError("the JSON-RPC front is not ready")


async def play(bench: Bench, record: Record) -> int:
    """Run the case and return its exit code."""
    ports = {name: free_port() for name in ("listen", "store", "tools", *SERVERS, NEW)}
    folder = bench.folder
    bench.start_standin("store", HERE.parent / "store.py", str(ports["store"]))
    await bench.first_line("store")
    roles = dict(zip(SERVERS, ("reader", "reader", "writer", "writer"), strict=True))
    roles[NEW] = "writer"
    words = [f"{name}:{role}:{ports[name]}" for name, role in roles.items()]
    bench.start_standin("servers", HERE / "servers.py", str(folder / "runs"), *words)
    await bench.first_line("servers")
    rows = {name: (roles[name], ports[name]) for name in SERVERS}
    write_servers(folder, rows)
    (folder / "sources.toml").write_text('watch = ["servers.toml"]\n')
    (folder / "toolcalls.toml").write_text(CONFIG.format(**ports))
    config = str(folder / "toolcalls.toml")
    front = bench.start("front", program("toolcalls", "--config", config))
    await wait_until_served(ports["listen"])
    await asyncio.sleep(1.0)
    clients = [Client(number, ports["listen"], record) for number in range(CLIENTS)]
    until_s = asyncio.get_running_loop().time() + PLAY_S
    tasks = [asyncio.create_task(client.run(until_s)) for client in clients]
    await asyncio.sleep(CHANGE_AT_S)
    if trouble():
        write_servers(folder, {**rows, "s2": ("writer", ports[NEW])})
        record("the watched file has changed", s2="writer, another address")
    await asyncio.gather(*tasks)
    if front.poll() is not None:
        raise CannotRunError("the front has ended")
    for line in bench.log("front").splitlines():
        if '"event": "view"' in line or '"refused"' in line:
            record("front's log " + line)
    runs = [json.loads(line) for line in (folder / "runs").read_text().splitlines()]
    for run in runs:
        record("server " + json.dumps(run))
    written = [run["request"] for run in runs if run["what"] == "write"]
    answers = [answer for client in clients for answer in client.answers]
    false = [a.name for a in answers if a.done and a.name not in written]
    doubled = sorted({name for name in written if written.count(name) > 1})
    record(
        "verdict",
        answers=len(answers),
        done=sum(a.done for a in answers),
        done_and_never_written=false,
        written_twice=doubled,
    )
    sys.stdout.write(f"{len(answers)} bookings, {len(false)} told as done and never written\n")
    return BROKEN if false or doubled else HELD


async def main() -> int:
    """Run the case, and end whatever it has started."""
    record, bench = Record(HERE / "record.txt"), Bench()
    try:
        async with asyncio.timeout(100):
            return await play(bench, record)
    except Exception as error:  # noqa: BLE001 - whatever fails here says nothing about the rule
        record("could not run", why=repr(error))
        return NOT_RUN
    finally:
        bench.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
