"""A stand-in for clients of the platform: one request per connection, recorded in a trace."""

import asyncio
import json
from dataclasses import dataclass

import h11

from onyxpass.history_checkers.trace import EventKind, Trace

CLASSES = ("part-lookup", "shift-summary", "stock-booking")
CLIENT_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class ClientResult:
    request: str
    outcome: str  # served, refused, failed or broken
    status: int
    events: int


async def send_request(
    trace: Trace,
    address: tuple[str, int],
    request: str,
    traffic_class: str,
    session: str = "s1",
    max_out: int = 40,
    timeout_ms: int = 6000,
) -> ClientResult:
    """Send a request once, without retries, and return its outcome.

    The outcome is ``broken`` if no complete answer arrives, for example if its stream is cut.
    """
    trace.classes[request] = traffic_class
    body = json.dumps(
        {"model": traffic_class, "stream": True, "max_tokens": max_out, "messages": []}
    ).encode()
    headers = [
        ("host", "onyxpass"),
        ("x-request-id", request),
        ("x-priority-class", traffic_class),
        ("x-route-key", session),
        ("x-timeout-ms", str(timeout_ms)),
        ("x-attrs", f"prefix=p-{session},prompt_len=400,prefix_len=200,max_out={max_out}"),
        ("content-length", str(len(body))),
        ("connection", "close"),
    ]
    status, events, outcome = 0, 0, "broken"
    writer: asyncio.StreamWriter | None = None
    trace.record(EventKind.SENT, request)
    try:
        async with asyncio.timeout(CLIENT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            connection = h11.Connection(h11.CLIENT)
            head = h11.Request(method="POST", target="/v1/chat/completions", headers=headers)
            parts = [
                connection.send(head),
                connection.send(h11.Data(data=body)),
                connection.send(h11.EndOfMessage()),
            ]
            writer.writelines([part for part in parts if part])
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    connection.receive_data(await reader.read(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    events += bytes(event.data).count(b"data: ")
                elif isinstance(event, h11.EndOfMessage):
                    outcome = (
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
        outcome = "broken"
    finally:
        if writer is not None:
            writer.close()
        trace.record(EventKind.ANSWERED, request, detail=outcome)
    return ClientResult(request, outcome, status, events)
