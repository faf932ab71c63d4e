"""A stand-in client of the platform's front: one request a connection, its answer put on the
trace.
"""

import asyncio
import json
from dataclasses import dataclass

import h11

from onyxpass.history_checkers.trace import EventKind, Trace

CLASSES = ("part-lookup", "shift-summary", "stock-booking")
GIVE_UP_S = 20.0


@dataclass(frozen=True, slots=True)
class Answer:
    request: str
    end: str  # served, refused, failed or broken
    status: int
    events: int


async def ask(
    trace: Trace,
    address: tuple[str, int],
    request: str,
    traffic_class: str,
    session: str = "s1",
    max_out: int = 40,
    timeout_ms: int = 6000,
) -> Answer:
    """Ask once and never again. What has no whole answer is ``broken``; so is one whose stream
    was cut.
    """
    trace.classes[request] = traffic_class
    text = json.dumps(
        {"model": traffic_class, "stream": True, "max_tokens": max_out, "messages": []}
    ).encode()
    headers = [
        ("host", "onyxpass"),
        ("x-request-id", request),
        ("x-priority-class", traffic_class),
        ("x-route-key", session),
        ("x-timeout-ms", str(timeout_ms)),
        ("x-attrs", f"prefix=p-{session},prompt_len=400,prefix_len=200,max_out={max_out}"),
        ("content-length", str(len(text))),
        ("connection", "close"),
    ]
    status, size, end = 0, 0, "broken"
    writer: asyncio.StreamWriter | None = None
    trace.record(EventKind.SENT, request)
    try:
        async with asyncio.timeout(GIVE_UP_S):
            reader, writer = await asyncio.open_connection(*address)
            wire = h11.Connection(h11.CLIENT)
            head = h11.Request(method="POST", target="/v1/chat/completions", headers=headers)
            parts = [wire.send(head), wire.send(h11.Data(data=text)), wire.send(h11.EndOfMessage())]
            writer.writelines([part for part in parts if part])
            while True:
                event = wire.next_event()
                if event is h11.NEED_DATA:
                    wire.receive_data(await reader.read(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    size += bytes(event.data).count(b"data: ")
                elif isinstance(event, h11.EndOfMessage):
                    end = (
                        "served"
                        if status == 200
                        else "refused"
                        if status in (429, 503)
                        else "failed"
                    )
                    break
                else:
                    break
    except (OSError, TimeoutError, h11.ProtocolError):
        end = "broken"
    finally:
        if writer is not None:
            writer.close()
        trace.record(EventKind.ANSWERED, request, detail=end)
    return Answer(request, end, status, size)
