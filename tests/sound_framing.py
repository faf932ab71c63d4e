"""Sound chunked bodies whose chunks end anywhere, written in parts that end anywhere.

The content is such that a part of it could be taken for a size, for a line of a trailer, or for an end.
"""

import asyncio
import random
from collections.abc import Iterator
from itertools import pairwise

from test_endless_input import chunk

DIGITS = b"0123456789abcdefABCDEF"
LAST_CHUNK = b"0\r\n\r\n"
WRITE_PAUSE_S = 0.001  # so that a part of a message is a read of its own
PACED_PARTS = 100  # of one body; the others follow as they can


def digits(random_source: random.Random, longest: int) -> bytes:
    """Draw hexadecimal digits, which state a size of up to gigabytes if they are taken for one."""
    return bytes(random_source.choices(DIGITS, k=random_source.randint(1, longest)))


def cut(random_source: random.Random, text: bytes, largest: int) -> Iterator[bytes]:
    """Cut a text into parts of drawn sizes."""
    while text:
        size = random_source.randint(1, largest)
        yield text[:size]
        text = text[size:]


def written_parts(random_source: random.Random, body: bytes) -> Iterator[bytes]:
    """Return a chunked body as it is written: in one of four forms, which may split anything."""
    chunks = [
        (b"%x\r\n" % len(content), content)
        for content in cut(random_source, body, random_source.choice((8, 60, 3000, 20_000)))
    ]
    form = random_source.randrange(4)
    if form == 0:  # the size line, the content and its line end
        for size_line, content in chunks:
            yield from (size_line, content, b"\r\n")
        yield LAST_CHUNK
    elif form == 1:  # each content with the size line that follows it
        yield chunks[0][0]
        for (_, content), (next_size_line, _) in pairwise(chunks):
            yield content + b"\r\n" + next_size_line
        yield chunks[-1][1] + b"\r\n" + LAST_CHUNK
    else:
        text = b"".join(chunk(content) for _, content in chunks) + LAST_CHUNK
        yield from cut(random_source, text, 12 if form == 2 else 200)


async def write_in_parts(
    random_source: random.Random, writer: asyncio.StreamWriter, body: bytes
) -> None:
    """Write a chunked body in drawn parts, the first ones in reads of their own."""
    for number, part in enumerate(written_parts(random_source, body)):
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(WRITE_PAUSE_S if number < PACED_PARTS else 0)
