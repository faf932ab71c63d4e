"""Silent clients fill a dispatcher's places; some go with a reset while others connect."""

import asyncio
import contextlib
import os
import socket
import struct
import sys
from pathlib import Path

from standins import (
    Answer,
    CannotRunError,
    Discovery,
    Programs,
    Record,
    Replica,
    States,
    dispatcher_config,
    free_port,
    send,
)

SOCKETS = 512
CLIENTS, CONNECTIONS = 6, 110  # bad clients, and the connections that each opens at once
HOLDS_S = (0.21, 0.24, 0.27, 0.31, 0.36, 0.42)  # for which each keeps them before it goes
TROUBLE_AT_S, PLAY_S = 5.0, 40.0
CLASSES = ("part-lookup", "shift-summary", "stock-booking")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def bad_client(port: int, hold_s: float, record: Record, ended: asyncio.Event) -> None:
    """Open connections, say nothing, go as a process that dies, and come again."""
    loop, opened = asyncio.get_running_loop(), 0
    while record.now() < PLAY_S and not ended.is_set():
        socks: list[socket.socket] = []
        for _ in range(CONNECTIONS):
            sock = socket.socket()
            sock.setblocking(False)
            # A connection of a process that dies is reset.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.05):
                    await loop.sock_connect(sock, ("127.0.0.1", port))
            socks.append(sock)
        opened += len(socks)
        await asyncio.sleep(hold_s)
        for sock in socks:
            sock.close()
    record.write("bad_client_done", hold_s=hold_s, opened=opened)


async def usual_clients(port: int, record: Record, ended: asyncio.Event) -> list[Answer]:
    """Send ten requests a second, of all classes, until the dispatcher has ended."""
    tasks: list[asyncio.Task[Answer]] = []
    while record.now() < PLAY_S and not ended.is_set():
        number = len(tasks)
        work = send(port, record, f"{number:016x}", CLASSES[number % 3], f"s{number % 7}")
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*tasks)


async def play(record: Record) -> int:
    """Play the case and return its exit code."""
    states, discovery = States(), Discovery(record)
    for number, hall in enumerate(("boa-vista", "santo-amaro", "derby"), 1):
        for role, kind in (("read", "reader"), ("write", "writer")):
            replica = Replica(f"{kind}-{number}", role, record, states)
            await replica.start()
            discovery.add(replica, kind, hall)
    await discovery.start()
    async with Programs(record) as programs:
        port, ended = free_port(), asyncio.Event()
        config = dispatcher_config("n1", port, discovery.address, sockets=SOCKETS)
        process = await programs.dispatcher(config)

        async def watch() -> None:
            code = await process.wait()
            record.write("ended", code=code)
            ended.set()

        watching = asyncio.create_task(watch())
        usual = asyncio.create_task(usual_clients(port, record, ended))
        await asyncio.sleep(max(0.0, TROUBLE_AT_S - record.now()))
        if TROUBLE:
            record.write("bad_clients_begin", clients=CLIENTS, connections=CONNECTIONS)
            await asyncio.gather(*(bad_client(port, hold, record, ended) for hold in HOLDS_S))
        answers = await usual
        crashed, code = ended.is_set(), process.returncode
        last = programs.text("n1.log").decode(errors="replace").strip().splitlines()[-1:]
        watching.cancel()
    unanswered = sum(not answer.whole for answer in answers)
    record.write("log_ends", line=last[0][:200] if last else "")
    record.write("verdict", crashed=crashed, code=code, usual=len(answers), unanswered=unanswered)
    return 1 if crashed else 0


def main() -> int:
    """Play the case beside its record."""
    record = Record(Path(__file__).parent / "record.txt")
    try:
        return asyncio.run(asyncio.wait_for(play(record), 110))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write("could_not_run", why=repr(error))
        return 2


if __name__ == "__main__":
    sys.exit(main())
