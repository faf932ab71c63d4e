"""One HTTP/1.1 call as a client: a connection of its own, one answer, and a plain word on what
went wrong.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import h11

from onyxpass.config.platform_file import Address
from onyxpass.net.unix import short_socket_path

ANSWER_MOST = 8 * 1024 * 1024
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Opener = Callable[[], Awaitable[Streams]]


class RequestNotSentError(Exception):
    """Nothing of the call has left: it can't have had an effect."""


class ResponseLostError(Exception):
    """The call may have arrived; whether it had an effect is not known."""


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
    async def opened() -> Streams:
        with short_socket_path(path) as name:
            return await asyncio.open_unix_connection(name)

    return opened


async def call_api(
    opener: Opener,
    method: str,
    target: str,
    message: Mapping[str, Any] | None = None,
    *,
    key: str = "",
    timeout_s: float = 2.0,
) -> ApiResponse:
    """NotSent or NoAnswer where there is none within ``timeout_s``, or none that can be read."""
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
            sent = True  # from here on it may have arrived
            writer.writelines([part for part in parts if part])
            return await _answer(wire, reader)
    except TimeoutError as problem:
        if sent:
            raise ResponseLostError(f"no answer within {timeout_s:g} s") from problem
        raise RequestNotSentError(f"no connection within {timeout_s:g} s") from problem
    except (OSError, h11.ProtocolError, ValueError, RecursionError) as problem:
        reason = (problem.strerror if isinstance(problem, OSError) else None) or str(problem)
        raise (ResponseLostError if sent else RequestNotSentError)(
            reason or type(problem).__name__
        ) from problem
    finally:
        if writer is not None:
            writer.transport.abort()


async def _answer(wire: h11.Connection, reader: asyncio.StreamReader) -> ApiResponse:
    status, text = 0, b""
    while True:
        event = wire.next_event()
        if event is h11.NEED_DATA:
            wire.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            text += bytes(event.data)
            if len(text) > ANSWER_MOST:
                raise ValueError("an answer too long")
        elif isinstance(event, h11.EndOfMessage):
            found = json.loads(text) if text.strip() else {}
            if not isinstance(found, dict):
                raise ValueError("an answer that is no JSON object")
            return ApiResponse(status, found)
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("closed without an answer")
