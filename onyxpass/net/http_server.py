"""Server for short HTTP/1.1 API calls: one call per connection, limited in size, time and number.

Its connections have slots of their own, which connections at the clients' address can't take.
"""

import asyncio
import json
import socket
from collections.abc import Mapping
from typing import Any

import h11
import structlog

from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net.http import HttpConnection, HttpError, drain_input, read_body
from onyxpass.net.listen import Listener

# from the connection to the last byte of a call; then 408, or a close if nothing was sent
CALL_TIMEOUT_US = 800_000
FLUSH_TIMEOUT_US = 300_000  # for a caller to receive its response
DRAIN_TIMEOUT_US = 150_000  # for a caller to close after its response
# concurrent calls; a new one displaces the oldest whose request is incomplete
MAX_CALLS = 16
MAX_BODY_BYTES = 4096
BACKLOG = 64
LISTEN_RETRY_US = 200_000  # before a retry to listen, if the address is in use
TEXT, JSON = b"text/plain; charset=utf-8", b"application/json"
Reply = tuple[int, bytes]
log = structlog.get_logger("control")


class ApiError(Exception):
    """A call rejected with this status and a one-line reason."""

    def __init__(self, status: int, reason: str, **more: Any) -> None:
        super().__init__(reason)
        self.status, self.more = status, more


class CallServer:
    """Base of the API servers.

    A subclass defines ``answer``, and the media type of its responses in ``content_type``.
    """

    content_type = TEXT
    max_calls = MAX_CALLS
    max_body_bytes = MAX_BODY_BYTES

    def __init__(self, wheel: TimerWheel, address_text: str) -> None:
        self.wheel, self.address_text = wheel, address_text
        self.calls: dict[asyncio.Task[None], bool] = {}  # whether the call's request is complete
        self.listener: Listener | None = None

    def listen(self) -> Listener:
        raise NotImplementedError

    async def answer(self, head: h11.Request, text: bytes) -> Reply:
        raise NotImplementedError

    @property
    def port(self) -> int:
        assert self.listener is not None
        return self.listener.port

    async def run(self) -> None:
        while self.listener is None:
            try:
                self.listener = self.listen()
            # an unavailable API address must not stop the service of clients
            except OSError as error:
                log.error("listen_failed", address=self.address_text, why=str(error))
                await self.wheel.sleep(LISTEN_RETRY_US)
        self.log_listening()
        try:
            await self._accept_all(self.listener)
        finally:
            self.listener.close()

    def log_listening(self) -> None:
        log.info("control", listen=self.address_text)

    async def _accept_all(self, listener: Listener) -> None:
        while True:
            sock = await listener.accept()
            while len(self.calls) >= self.max_calls and not self._make_room():
                await self.wheel.sleep(10_000)
            task = asyncio.create_task(self._serve_call(sock))
            self.calls[task] = False
            task.add_done_callback(lambda done: self.calls.pop(done, None))
            await asyncio.sleep(0)

    def _make_room(self) -> bool:
        """Displace the oldest call whose request is incomplete; False if there is none."""
        oldest = next((task for task, complete in self.calls.items() if not complete), None)
        if oldest is not None:
            del self.calls[oldest]
            oldest.cancel()
        return oldest is not None

    async def _serve_call(self, sock: socket.socket) -> None:
        wire: HttpConnection | None = None
        try:
            wire = await HttpConnection.from_socket(sock, h11.SERVER)
            await self._handle_call(wire)
            wire.close()
            async with self.wheel.timeout(FLUSH_TIMEOUT_US):
                await wire.writer.wait_closed()
        except (HttpError, OSError, TimeoutError, asyncio.CancelledError) as error:
            log.debug("call_ended", why=str(error))
        except Exception:
            log.exception("call_failed")
        finally:
            if wire is not None:
                wire.abort()
                wire.dispose()

    async def _handle_call(self, wire: HttpConnection) -> None:
        began = False
        try:
            async with self.wheel.timeout(CALL_TIMEOUT_US):
                await wire.read_more()
                if not (began := wire.pending):
                    return  # the caller closed without a request
                head = await wire.next_event()
                if not isinstance(head, h11.Request):
                    raise HttpError("not a call", 400)
                text = await read_body(wire, self.max_body_bytes)
        except TimeoutError:
            if not began:
                return
            reply: Reply = (408, self.error_body("too slow"))
        except HttpError as error:
            if not error.status:
                return
            reply = (error.status, self.error_body(str(error)))
        else:
            task = asyncio.current_task()
            if task in self.calls:
                self.calls[task] = True
            try:
                reply = await self.answer(head, text)
            except ApiError as error:
                reply = (error.status, self.error_body(str(error), **error.more))
            except Exception:  # the caller gets a response even for an internal error
                log.exception("call_crashed")
                reply = (500, self.error_body("the program's own fault"))
        await self._write(wire, *reply)

    def error_body(self, reason: str, **more: Any) -> bytes:
        """Return the body of an error response in the server's content type."""
        if self.content_type is JSON:
            return json.dumps({"error": reason[:400], **more}).encode() + b"\n"
        return reason.encode("ascii", "replace")[:200] + b"\n"

    async def _write(self, wire: HttpConnection, status: int, text: bytes) -> None:
        headers = [
            (b"content-type", self.content_type),
            (b"content-length", b"%d" % len(text)),
            (b"connection", b"close"),
        ]
        if wire.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(status_code=status, headers=headers)
            wire.write(head, h11.Data(data=text), h11.EndOfMessage())
        await drain_input(wire, self.wheel, DRAIN_TIMEOUT_US)


def parse_json_object(text: bytes) -> dict[str, Any]:
    """Parse a call's body as a JSON object; an empty body is an empty object."""
    try:
        found = json.loads(text) if text.strip() else {}
    except (ValueError, RecursionError) as error:
        raise ApiError(400, f"the body is no JSON: {error}") from error
    if not isinstance(found, dict):
        raise ApiError(400, "the body is no JSON object")
    return found


def integer_field(
    call: Mapping[str, Any], name: str, fallback: int, maximum: int, *, minimum: int = 0
) -> int:
    """Return an integer field of a call; ``ApiError`` 400 if invalid or out of its bounds."""
    value = call.get(name, fallback)
    if type(value) is not int or not minimum <= value <= maximum:
        raise ApiError(400, f"{name} must be a whole number from {minimum} to {maximum}")
    return value


def boolean_field(call: Mapping[str, Any], name: str, fallback: bool = False) -> bool:
    value = call.get(name, fallback)
    if not isinstance(value, bool):
        raise ApiError(400, f"{name} must be true or false")
    return value


def reject_unknown_fields(call: Mapping[str, Any], *names: str) -> None:
    """Raise ``ApiError`` 400 for an unknown field, so that a misspelt option is not ignored."""
    if unknown := sorted(call.keys() - set(names)):
        raise ApiError(400, f"unknown: {', '.join(unknown)}")
