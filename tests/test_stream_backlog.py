"""A stream whose events have piled up, while each write of the process takes long.

Seen in a soak: a dispatcher whose sends took 24 ms each served nobody for 1.9 s, and requests were
refused 0.75 s after their time was over. How it came about: a server's events had come together,
and what has come already is forwarded without a pause in which others have their turn. What proved
it: this test; the requests' log lines all came at the moment at which the stream ended.
"""

import time
from pathlib import Path

from shimmed import Process, connection, control, parties, run
from world import EVENTS, HEAD, READ, Replica, ask, says

PILED_UP = 200
DELAY_S = 0.02  # of each send
# Of the time that the stream takes; in one go it takes PILED_UP times DELAY_S, 4 s.
OTHER_MOST_S = 1.5
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"x"}}]}\n\n'


def chunks(*events: bytes) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (len(event), event) for event in events)


PILE = HEAD + chunks(*([EVENT] * PILED_UP), *EVENTS) + b"0\r\n\r\n"


def test_others_are_answered_while_a_stream_that_has_piled_up_is_forwarded(tmp_path: Path) -> None:
    async def go() -> None:
        faults = control(tmp_path)
        async with parties(tmp_path, [Replica(READ)], [Replica(says(PILE))]) as (path, _):
            process = await Process.start("serve", "--config", str(path), control=faults)
            port = await process.port()
            async with connection(port) as (stream, asks), connection(port) as (other, looks):
                faults.delay_sends(DELAY_S)
                asks.write(ask("a1", "a", ms=6000, close=True))
                await stream.readuntil(EVENT)
                began_s = time.monotonic()
                looks.write(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
                await other.readuntil(b"ok\n")
                took_s = time.monotonic() - began_s
                faults.delay_sends(0)
                assert (await stream.read()).endswith(b"0\r\n\r\n"), "the stream is whole"
                assert took_s <= OTHER_MOST_S
            assert await process.end() == 0

    run(go())
