"""Bad clients: each sends one request with a body of up to 60 MB in small chunks, at full speed.

Started as ``bad_clients.py ADDRESS COUNT CHUNK``; prints how each ended. They read whatever they
are sent, and stop at the first byte of an answer, at a close, or after 60 s.
"""

import asyncio
import sys
import time

BODY_BYTES = 60_000_000
CHUNKS_PER_WRITE = 2_000
LIMIT_S = 60.0


async def attack(host: str, port: int, number: int, size: int) -> str:
    """Send one request; return how it ended, and after how many seconds."""
    began_s, sent = time.monotonic(), 0
    reader, writer = await asyncio.open_connection(host, port)
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n"
        f"X-Request-ID: bad{number:04d}\r\nX-Priority-Class: part-lookup\r\n"
        "X-Timeout-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    piece = (b"%x\r\n" % size + b"a" * size + b"\r\n") * CHUNKS_PER_WRITE

    async def send() -> None:
        nonlocal sent
        writer.write(head.encode())
        while sent < BODY_BYTES:
            writer.write(piece)
            await writer.drain()
            sent += size * CHUNKS_PER_WRITE

    sending = asyncio.create_task(send())
    try:
        line = await asyncio.wait_for(reader.readline(), LIMIT_S)
        ended = line.decode("latin-1").strip() or "closed"
    except TimeoutError:
        ended = "neither an answer nor a close"
    except OSError:
        ended = "reset"
    sending.cancel()
    writer.close()
    return f"{ended} after {time.monotonic() - began_s:.1f} s, {sent} bytes of body written"


async def main() -> None:
    """Attack with all clients at once."""
    host, _, port = sys.argv[1].partition(":")
    count, size = int(sys.argv[2]), int(sys.argv[3])
    attacks = [attack(host, int(port), number, size) for number in range(count)]
    for end in await asyncio.gather(*attacks, return_exceptions=True):
        sys.stdout.write(f"{end}\n")


if __name__ == "__main__":
    asyncio.run(main())
