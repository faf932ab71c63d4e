"""HTTP/1.1 calls as a client, each on a connection of its own."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import h11

from onyxpass.config.platform_file import Address
from onyxpass.core.loop_turn import StepFlow
from onyxpass.net.unix import short_socket_path

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Opener = Callable[[], Awaitable[Streams]]


class RequestNotSentError(Exception):
    """No byte of the call was sent, so it had no effect."""


class ResponseLostError(Exception):
    """The call may have been received; whether it had an effect is unknown."""


@dataclass(frozen=True, slots=True)
class ApiResponse:
    status: int
    body: Mapping[str, Any]

    @property
    def reason(self) -> str:
        return str(self.body.get("error") or f"status {self.status}")


def tcp_opener(address: Address) -> Opener:
    return lambda: asyncio.open_connection(address.host, address.port)


def unix_opener(path: Path) -> Opener:
    async def open_streams() -> Streams:
        with short_socket_path(path) as name:
            return await asyncio.open_unix_connection(name)

    return open_streams


async def call_api(
    opener: Opener,
    method: str,
    target: str,
    message: Mapping[str, Any] | None = None,
    *,
    key: str = "",
    timeout_s: float = 2.0,
) -> ApiResponse:
    """Make one call with a JSON body and return the response.

    Raises ``RequestNotSentError`` or ``ResponseLostError`` if there is no valid response within
    ``timeout_s``.
    """
    sent = False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await opener()
            text = json.dumps(message).encode() if message is not None else b""
            headers = [
                ("host", "onyxpass"),
                ("content-length", str(len(text))),
                ("connection", "close"),
            ]
            if key:
                headers.append(("authorization", f"Bearer {key}"))
            wire = h11.Connection(h11.CLIENT)
            parts = [
                wire.send(h11.Request(method=method, target=target, headers=headers)),
                wire.send(h11.Data(data=text)),
                wire.send(h11.EndOfMessage()),
            ]
            sent = True  # from here on the call may have been received
            writer.writelines([part for part in parts if part])
            return await _read_response(wire, reader)
    except TimeoutError as error:
        if sent:
            raise ResponseLostError(f"no answer within {timeout_s:g} s") from error
        raise RequestNotSentError(f"no connection within {timeout_s:g} s") from error
    except (OSError, h11.ProtocolError, ValueError, RecursionError) as error:
        reason = (error.strerror if isinstance(error, OSError) else None) or str(error)
        raise (ResponseLostError if sent else RequestNotSentError)(
            reason or type(error).__name__
        ) from error
    finally:
        if writer is not None:
            writer.transport.abort()


async def _read_response(wire: h11.Connection, reader: asyncio.StreamReader) -> ApiResponse:
    status, text, flow = 0, bytearray(), StepFlow()
    while True:
        await flow.begin_step()
        event = wire.next_event()
        if event is h11.NEED_DATA:
            wire.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            text += bytes(event.data)
            if len(text) > MAX_RESPONSE_BYTES:
                raise ValueError("the response exceeds the size limit")
        elif isinstance(event, h11.EndOfMessage):
            found = json.loads(text) if text.strip() else {}
            if not isinstance(found, dict):
                raise ValueError("the response is not a JSON object")
            return ApiResponse(status, found)
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("connection closed without a response")
