"""Streams under way go over to the process that takes this one's place, with both of their
connections.

The old process offers a stream between two whole chunks, with nothing half read or half written and
reading paused. The new one says that it could go on with it; only then is it told to, and the old
one lets go. Nothing goes out again to a replica, and whatever fails before that word leaves the
stream where it was.
"""

import asyncio
import json
import socket
from pathlib import Path
from typing import Any, cast

import h11
import structlog

from onyxpass.config.platform_file import NO_ADDRESS, Address
from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.requests import Attempt, Request
from onyxpass.net.client import HttpClient
from onyxpass.net.front import Front
from onyxpass.net.http import HttpConnection
from onyxpass.net.listen import Listener
from onyxpass.net.replica import Resumed
from onyxpass.net.replicas import Replicas
from onyxpass.net.response_reader import EventSplitter, ResponseReader
from onyxpass.net.unix import short_socket_path
from onyxpass.scheduling import contract

VERSION = 2  # of the message; one that is not among those known is turned down
OWN_CLOCK_VERSION = 1  # told times on its process's own clock, which others need not share
MESSAGE_MOST = 64 * 1024
TURNS = 4  # streams on their way at once
FAILURES = 8  # offers in vain, till no more are made
OFFER_US = 300_000  # from the offer to the other process's word
BACKLOG = 64
TIMES = ("deadline_us", "arrived_us", "sent_us")
WILLING, GO = b"1", b"2"
log = structlog.get_logger("succession")


def describe(attempt: Attempt, rest: bytes, keeps: bool, clock: Clock) -> bytes:
    """What the other process needs to know of a stream besides its two connections.

    Times are those of the monotonic clock, which all processes of a machine share and nobody sets.
    """
    request = attempt.request
    asked = request.arrival
    told = {
        "version": VERSION,
        "id": request.id,
        "cls": asked.traffic_class,
        "session": asked.session,
        "deadline_us": clock.to_monotonic_us(asked.deadline_us),
        "prompt_tokens": asked.prompt_tokens,
        "max_tokens": asked.max_tokens,
        "arrived_us": clock.to_monotonic_us(request.arrived_us),
        "n": attempt.number,
        "server": attempt.server,
        "sent_us": clock.to_monotonic_us(attempt.sent_us),
        "first_us": attempt.first_event_us,
        "parts": attempt.event_count,
        "gap_us": attempt.longest_gap_us,
        "rest": rest.decode("latin-1"),
        "keeps": keeps,
    }
    return json.dumps(told).encode()


class StreamSender:
    """The new process, as the old one sees it."""

    def __init__(self, path: Path, core: RequestDispatcher) -> None:
        self.path, self.core, self.wheel = path, core, core.wheel
        self.turns = asyncio.Semaphore(TURNS)
        self.failures = 0

    async def take(self, attempt: Attempt, incoming: ResponseReader, events: EventSplitter) -> bool:
        """True: the stream is the other process's, and nothing of it may be touched here any
        more.
        """
        client = attempt.request.client
        if not isinstance(client, HttpClient) or not client.begun:
            return False
        if self.failures >= FAILURES:  # guards against streams held up by offers that nobody takes
            return False
        async with self.turns:
            wires = (client.wire, incoming.wire)
            if (
                attempt.stop_status
                or client.done.is_set()
                or not incoming.between
                or not all(map(quiet, wires))
            ):
                return False
            message = describe(attempt, events.partial_event, client.keeps, self.core.clock)
            if len(message) > MESSAGE_MOST:
                return False
            for wire in wires:  # what comes from now on is for the one who goes on
                wire.writer.transport.pause_reading()  # type: ignore[attr-defined]
            taken = False
            try:
                held = [wire.writer.get_extra_info("socket").fileno() for wire in wires]
                taken = await self._offer(message, held)
            except (OSError, TimeoutError) as problem:
                log.warning(
                    "stream_not_migrated", id=attempt.request.id, why=str(problem) or "no answer"
                )
            finally:
                if taken:
                    client.leave()
                else:
                    self.failures += 1
                    for wire in wires:
                        wire.writer.transport.resume_reading()  # type: ignore[attr-defined]
            return taken

    async def _offer(self, message: bytes, descriptors: list[int]) -> bool:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.setblocking(False)
            with short_socket_path(self.path) as path:
                sock.connect(path)
            socket.send_fds(sock, [message], descriptors)
            async with self.wheel.timeout(OFFER_US):
                answer = await asyncio.get_running_loop().sock_recv(sock, 1)
            if answer != WILLING:
                return False
            sock.send(GO)
            return True


def quiet(wire: HttpConnection) -> bool:
    """Whether nothing is half done on it: all that was read is used, all that was written has
    left.
    """
    reader = wire.reader
    ended = reader.at_eof() or reader.exception() is not None
    return not (ended or bool(getattr(reader, "_buffer", b"")) or wire.pending) and wire.written


class StreamReceiver:
    """The new process's side: takes over streams from the one before it."""

    def __init__(
        self, path: Path, core: RequestDispatcher, front: Front, replicas: Replicas
    ) -> None:
        self.path, self.core, self.front, self.replicas = path, core, front, replicas
        self.wheel = core.wheel
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with short_socket_path(self.path) as path:
                sock.bind(path)
            sock.listen(BACKLOG)
        # guards against a start that fails for what is only needed at an upgrade
        except OSError as problem:
            log.error("stream_receiver_unavailable", why=str(problem))
            sock.close()
            await asyncio.Event().wait()
        listener = Listener(sock)
        try:
            while True:
                offer = await listener.accept()
                task = asyncio.create_task(self._hear(offer))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        finally:
            listener.close()
            self.path.unlink(missing_ok=True)

    async def _hear(self, offer: socket.socket) -> None:
        loop, held = asyncio.get_running_loop(), list[socket.socket]()
        offer.setblocking(False)
        try:
            async with self.wheel.timeout(OFFER_US):
                message, descriptors = await receive(offer)
                held = [socket.socket(fileno=number) for number in descriptors]
                stream = self._read(message, held)
                offer.send(WILLING)
                if await loop.sock_recv(offer, 1) != GO:
                    raise ValueError("taken back")
            client, replica = held
            held = []
            await self._go_on(stream, client, replica)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError, RecursionError) as problem:
            log.warning("stream_offer_rejected", why=str(problem) or "no word")
        except Exception:
            log.exception("stream_migration_crashed")
        finally:
            for sock in held:  # a copy: the other process's connection lives on
                sock.close()
            offer.close()

    def _read(self, message: bytes, held: list[socket.socket]) -> dict[str, Any]:
        told: Any = json.loads(message)
        known = isinstance(told, dict) and told["version"] in (VERSION, OWN_CLOCK_VERSION)
        if not known or len(held) != 2:
            raise ValueError("not a stream that this version knows")
        for name in ("id", "cls", "session", "server", "rest"):
            if not isinstance(told[name], str):
                raise ValueError(f"{name} is no text")
        for name in (
            "deadline_us",
            "prompt_tokens",
            "max_tokens",
            "arrived_us",
            "n",
            "sent_us",
            "first_us",
        ):
            if type(told[name]) is not int or told[name] < 0:
                raise ValueError(f"{name} is no number")
        if told["version"] != OWN_CLOCK_VERSION:
            for name in TIMES:
                told[name] = self.core.clock.from_monotonic_ns(told[name] * 1000)
        told["rest"].encode("latin-1")
        if told["id"] in self.core.registry.by_id:  # guards against two answers under one id
            raise ValueError("a request with this id is open")
        return cast("dict[str, Any]", told)

    async def _go_on(
        self, told: dict[str, Any], client_sock: socket.socket, sock: socket.socket
    ) -> None:
        wire = await HttpConnection.over(sock, h11.CLIENT)
        try:
            client_wire = await HttpConnection.over(client_sock, h11.SERVER)
        # guards against a replica kept at work for a client that can't be answered
        except BaseException:
            wire.abort()
            raise
        client = HttpClient(client_wire, lambda: self.front.closing)
        client.begun, client.keeps = True, bool(told["keeps"])
        replay(wire, client_wire, client.keeps)
        asked = contract.Arrival(
            id=self.core.registry.allocate_number(told["id"]),
            traffic_class=told["cls"],
            session=told["session"],
            deadline_us=told["deadline_us"],
            prompt_tokens=told["prompt_tokens"],
            max_tokens=told["max_tokens"],
        )
        request = Request(told["id"], asked.id, asked, client, None, told["arrived_us"])
        attempt = Attempt(request, told["n"], told["server"], 0, told["sent_us"], fully_sent=True)
        attempt.first_event_us, attempt.event_count = told["first_us"], int(told["parts"])
        attempt.longest_gap_us, attempt.last_event_us = (
            int(told["gap_us"]),
            self.core.clock.now_us(),
        )
        self.core.adopt_stream(request, attempt)
        self.front.adopt(client_wire, client, request)
        rest = EventSplitter(told["rest"].encode("latin-1"))
        self.replicas.adopt(attempt, Resumed(wire, rest), replica_address(wire))
        log.info("stream_adopted", id=request.id, server=attempt.server)


async def receive(sock: socket.socket) -> tuple[bytes, list[int]]:
    """One message with the descriptors that came with it."""
    loop, ready = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(sock.fileno(), ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(sock.fileno())
    message, descriptors, _, _ = socket.recv_fds(sock, MESSAGE_MOST, 2)
    return message, descriptors


def replica_address(wire: HttpConnection) -> Address:
    """Where its other side listens; nowhere, if the connection has broken meanwhile."""
    name = wire.writer.get_extra_info("peername")
    return Address(str(name[0]), int(name[1])) if isinstance(name, tuple) else NO_ADDRESS


def replay(wire: HttpConnection, client_wire: HttpConnection, keeps: bool) -> None:
    """Bring two fresh h11 machines to where those of the other process are: within a body in
    chunks.
    """
    wire.h11.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"x")]))
    wire.h11.send(h11.EndOfMessage())
    wire.h11.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    wire.h11.next_event()
    client_wire.h11.receive_data(
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%b\r\n"
        % (b"" if keeps else b"Connection: close\r\n")
    )
    client_wire.h11.next_event()
    client_wire.h11.next_event()
    chunked = [(b"transfer-encoding", b"chunked")]
    client_wire.h11.send(h11.Response(status_code=200, headers=chunked))
