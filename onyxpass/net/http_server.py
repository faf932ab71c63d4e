"""A server of short HTTP/1.1 calls: one call a connection, bounded in size, time and number.

Its callers have places of their own, so that a crowd at the clients' address takes none of them.
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

# from connecting to the end of the call; then its caller is told so, or closed on
CALL_TIMEOUT_US = 800_000
LEAVE_US = 300_000  # for a caller to take its answer
DRAIN_US = 150_000  # for it to close once it has it
# callers at once; a newcomer takes the place of the one that has said nothing for longest
MAX_CALLS = 16
MAX_BODY_BYTES = 4096
BACKLOG = 64
LISTEN_RETRY_US = 200_000  # till the address, if it is in use, is tried again
TEXT, JSON = b"text/plain; charset=utf-8", b"application/json"
Reply = tuple[int, bytes]
log = structlog.get_logger("control")


class ApiError(Exception):
    """A call that is answered with this status and one line."""

    def __init__(self, status: int, reason: str, **more: Any) -> None:
        super().__init__(reason)
        self.status, self.more = status, more


class CallServer:
    """``answer`` is the server's own; ``kind`` the type of what it answers."""

    content_type = TEXT
    max_calls = MAX_CALLS
    max_body_bytes = MAX_BODY_BYTES

    def __init__(self, wheel: TimerWheel, where: str) -> None:
        self.wheel, self.where = wheel, where
        self.calls: dict[asyncio.Task[None], bool] = {}  # and whether the call is whole
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
            # guards against clients left unserved for the operators' address
            except OSError as problem:
                log.error("listen_failed", address=self.where, why=str(problem))
                await self.wheel.sleep(LISTEN_RETRY_US)
        self.log_listening()
        try:
            await self._accept_all(self.listener)
        finally:
            self.listener.close()

    def log_listening(self) -> None:
        log.info("control", listen=self.where)

    async def _accept_all(self, listener: Listener) -> None:
        while True:
            sock = await listener.accept()
            while len(self.calls) >= self.max_calls and not self._make_room():
                await self.wheel.sleep(10_000)
            task = asyncio.create_task(self._call(sock))
            self.calls[task] = False
            task.add_done_callback(lambda done: self.calls.pop(done, None))
            await asyncio.sleep(0)

    def _make_room(self) -> bool:
        """Guards against callers that say nothing and stay: the eldest of them goes."""
        eldest = next((task for task, whole in self.calls.items() if not whole), None)
        if eldest is not None:
            del self.calls[eldest]
            eldest.cancel()
        return eldest is not None

    async def _call(self, sock: socket.socket) -> None:
        wire: HttpConnection | None = None
        try:
            wire = await HttpConnection.over(sock, h11.SERVER)
            await self._answer(wire)
            wire.close()
            async with self.wheel.timeout(LEAVE_US):
                await wire.writer.wait_closed()
        except (HttpError, OSError, TimeoutError, asyncio.CancelledError) as problem:
            log.debug("call_ended", why=str(problem))
        except Exception:
            log.exception("call_failed")
        finally:
            if wire is not None:
                wire.abort()

    async def _answer(self, wire: HttpConnection) -> None:
        began = False
        try:
            async with self.wheel.timeout(CALL_TIMEOUT_US):
                await wire.fill()
                if not (began := wire.pending):
                    return  # it left without a word
                head = await wire.next_event()
                if not isinstance(head, h11.Request):
                    raise HttpError("not a call", 400)
                text = await read_body(wire, self.max_body_bytes)
        except TimeoutError:
            if not began:
                return
            reply: Reply = (408, self.said("too slow"))
        except HttpError as problem:
            if not problem.status:
                return
            reply = (problem.status, self.said(str(problem)))
        else:
            task = asyncio.current_task()
            if task in self.calls:
                self.calls[task] = True
            try:
                reply = await self.answer(head, text)
            except ApiError as problem:
                reply = (problem.status, self.said(str(problem), **problem.more))
            except Exception:  # guards against a caller left without an answer by a fault here
                log.exception("call_crashed")
                reply = (500, self.said("the program's own fault"))
        await self._write(wire, *reply)

    def said(self, reason: str, **more: Any) -> bytes:
        """A refusal's one line, in the form of the server's answers."""
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
        await drain_input(wire, self.wheel, DRAIN_US)


def parse_json_object(text: bytes) -> dict[str, Any]:
    """The JSON object that a call's body holds; an empty body is an empty one."""
    try:
        found = json.loads(text) if text.strip() else {}
    except (ValueError, RecursionError) as problem:
        raise ApiError(400, f"the body is no JSON: {problem}") from problem
    if not isinstance(found, dict):
        raise ApiError(400, "the body is no JSON object")
    return found


def integer_field(
    call: Mapping[str, Any], name: str, fallback: int, maximum: int, *, minimum: int = 0
) -> int:
    """A whole number of a call's body; 400 if it is none, or out of its bounds."""
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
    """Guards against a misspelt option that is passed over in silence."""
    if unknown := sorted(call.keys() - set(names)):
        raise ApiError(400, f"unknown: {', '.join(unknown)}")
