"""Migration of open streams to the process that replaces this one, with both connections.

The old process offers a stream between two complete chunks, with nothing partly read or written and
reading paused. The new process accepts if it can continue the stream. Only when the old one
confirms does the new one take over, and the old one closes its copies of the connections. No
request is sent again to a replica, and a failure before the confirmation leaves the stream with the
old process.
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
from onyxpass.net.event_stream import EventSplitter
from onyxpass.net.front import Front
from onyxpass.net.http import HttpConnection
from onyxpass.net.listen import Listener
from onyxpass.net.replica import AdoptedStream
from onyxpass.net.replicas import Replicas
from onyxpass.net.response_reader import ResponseReader
from onyxpass.net.unix import short_socket_path
from onyxpass.scheduling import contract

VERSION = 2  # version of the message; unknown ones are rejected
# message version whose times are on the sender's own clock, which other processes may not share
LOCAL_CLOCK_VERSION = 1
MAX_MESSAGE_BYTES = 64 * 1024
MAX_CONCURRENT_OFFERS = 4
MAX_FAILED_OFFERS = 8  # failed offers after which no more are made
OFFER_TIMEOUT_US = 300_000  # from the offer to the other process's reply
BACKLOG = 64
TIME_FIELDS = ("deadline_us", "arrived_us", "sent_us")
ACCEPTED, CONFIRMED = b"1", b"2"
log = structlog.get_logger("succession")


def encode_stream(attempt: Attempt, events: EventSplitter, keep_alive: bool, clock: Clock) -> bytes:
    """Encode what the other process needs to know of a stream besides its two connections.

    Times are on the monotonic clock, which all processes of a machine share and nobody sets.
    """
    request = attempt.request
    arrival = request.arrival
    fields = {
        "version": VERSION,
        "id": request.id,
        "cls": arrival.traffic_class,
        "session": arrival.session,
        "deadline_us": clock.to_monotonic_us(arrival.deadline_us),
        "prompt_tokens": arrival.prompt_tokens,
        "max_tokens": arrival.max_tokens,
        "arrived_us": clock.to_monotonic_us(request.arrived_us),
        "n": attempt.number,
        "server": attempt.server,
        "sent_us": clock.to_monotonic_us(attempt.sent_us),
        "first_us": attempt.first_event_us,
        "parts": attempt.event_count,
        "gap_us": attempt.longest_gap_us,
        "rest": events.partial_event.decode("latin-1"),
        "last_event": events.has_last_event,
        "keeps": keep_alive,
    }
    return json.dumps(fields).encode()


class StreamSender:
    """The old process's side: offers streams to the new one."""

    def __init__(self, path: Path, core: RequestDispatcher) -> None:
        self.path, self.core, self.wheel = path, core, core.wheel
        self.offer_slots = asyncio.Semaphore(MAX_CONCURRENT_OFFERS)
        self.failures = 0

    async def migrate(
        self, attempt: Attempt, incoming: ResponseReader, events: EventSplitter
    ) -> bool:
        """Migrate a stream; True if it belongs to the other process now.

        After that, nothing of the stream may be used here any more.
        """
        client = attempt.request.client
        if not isinstance(client, HttpClient) or not client.stream_begun:
            return False
        # prevents delays of streams by offers that nobody accepts
        if self.failures >= MAX_FAILED_OFFERS:
            return False
        async with self.offer_slots:
            wires = (client.wire, incoming.wire)
            if (
                attempt.stop_status
                or client.done.is_set()
                or not incoming.at_chunk_boundary
                or not all(map(is_quiescent, wires))
            ):
                return False
            message = encode_stream(attempt, events, client.keep_alive, self.core.clock)
            if len(message) > MAX_MESSAGE_BYTES:
                return False
            for wire in wires:  # bytes from now on are for the process that continues the stream
                wire.writer.transport.pause_reading()  # type: ignore[attr-defined]
            taken = False
            try:
                descriptors = [wire.writer.get_extra_info("socket").fileno() for wire in wires]
                taken = await self._offer(message, descriptors)
            except (OSError, TimeoutError) as error:
                log.warning(
                    "stream_not_migrated",
                    id=attempt.request.id,
                    why=str(error) or "no reply in time",
                )
            finally:
                if taken:
                    client.detach()
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
            async with self.wheel.timeout(OFFER_TIMEOUT_US):
                answer = await asyncio.get_running_loop().sock_recv(sock, 1)
            if answer != ACCEPTED:
                return False
            sock.send(CONFIRMED)
            return True


def is_quiescent(wire: HttpConnection) -> bool:
    """Return whether an open connection has no unused input and no output still to be written.

    Output counts as written once the kernel has accepted it.
    """
    reader = wire.reader
    ended = reader.at_eof() or reader.exception() is not None
    return not (ended or bool(getattr(reader, "_buffer", b"")) or wire.pending) and wire.written


class StreamReceiver:
    """The new process's side: takes over streams of the preceding one."""

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
        # the socket is only needed for an upgrade and must not prevent the start
        except OSError as error:
            log.error("stream_receiver_unavailable", why=str(error))
            sock.close()
            await asyncio.Event().wait()
        listener = Listener(sock)
        try:
            while True:
                offer = await listener.accept()
                task = asyncio.create_task(self._handle_offer(offer))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        finally:
            listener.close()
            self.path.unlink(missing_ok=True)

    async def _handle_offer(self, offer: socket.socket) -> None:
        loop, sockets = asyncio.get_running_loop(), list[socket.socket]()
        offer.setblocking(False)
        try:
            async with self.wheel.timeout(OFFER_TIMEOUT_US):
                message, descriptors = await receive_offer(offer)
                sockets = [socket.socket(fileno=number) for number in descriptors]
                stream = self._decode_stream(message, sockets)
                offer.send(ACCEPTED)
                if await loop.sock_recv(offer, 1) != CONFIRMED:
                    raise ValueError("offer withdrawn")
            client, replica = sockets
            sockets = []
            await self._adopt(stream, client, replica)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError, RecursionError) as error:
            log.warning("stream_offer_rejected", why=str(error) or "no reply in time")
        except Exception:
            log.exception("stream_migration_crashed")
        finally:
            for sock in sockets:  # a duplicate: the other process's connection stays open
                sock.close()
            offer.close()

    def _decode_stream(self, message: bytes, sockets: list[socket.socket]) -> dict[str, Any]:
        fields: Any = json.loads(message)
        known = isinstance(fields, dict) and fields["version"] in (VERSION, LOCAL_CLOCK_VERSION)
        if not known or len(sockets) != 2:
            raise ValueError("unsupported message version, or not two connections")
        for name in ("id", "cls", "session", "server", "rest"):
            if not isinstance(fields[name], str):
                raise ValueError(f"{name} is not a string")
        for name in (
            "deadline_us",
            "prompt_tokens",
            "max_tokens",
            "arrived_us",
            "n",
            "sent_us",
            "first_us",
        ):
            if type(fields[name]) is not int or fields[name] < 0:
                raise ValueError(f"{name} is not a non-negative integer")
        if fields["version"] != LOCAL_CLOCK_VERSION:
            for name in TIME_FIELDS:
                fields[name] = self.core.clock.from_monotonic_ns(fields[name] * 1000)
        fields["rest"].encode("latin-1")
        # Senders of earlier builds don't tell it; only the framing shows the end of their streams.
        if type(fields.setdefault("last_event", True)) is not bool:
            raise ValueError("last_event is not a truth value")
        if fields["id"] in self.core.registry.by_id:  # prevents two responses under one id
            raise ValueError("a request with this id is open")
        return cast("dict[str, Any]", fields)

    async def _adopt(
        self, fields: dict[str, Any], client_sock: socket.socket, sock: socket.socket
    ) -> None:
        wire = await HttpConnection.from_socket(sock, h11.CLIENT)
        try:
            client_wire = await HttpConnection.from_socket(client_sock, h11.SERVER)
        # prevents a replica from working for a client that can't be answered
        except BaseException:
            wire.abort()
            raise
        client = HttpClient(client_wire, lambda: self.front.closing)
        client.stream_begun, client.keep_alive = True, bool(fields["keeps"])
        restore_http_state(wire, client_wire, client.keep_alive)
        arrival = contract.Arrival(
            id=self.core.registry.allocate_number(fields["id"]),
            traffic_class=fields["cls"],
            session=fields["session"],
            deadline_us=fields["deadline_us"],
            prompt_tokens=fields["prompt_tokens"],
            max_tokens=fields["max_tokens"],
        )
        request = Request(fields["id"], arrival.id, arrival, client, None, fields["arrived_us"])
        attempt = Attempt(
            request, fields["n"], fields["server"], 0, fields["sent_us"], fully_sent=True
        )
        attempt.first_event_us, attempt.event_count = fields["first_us"], int(fields["parts"])
        attempt.longest_gap_us, attempt.last_event_us = (
            int(fields["gap_us"]),
            self.core.clock.now_us(),
        )
        self.core.adopt_stream(request, attempt)
        self.front.adopt(client_wire, client, request)
        events = EventSplitter(fields["rest"].encode("latin-1"), fields["last_event"])
        self.replicas.adopt(attempt, AdoptedStream(wire, events), replica_address(wire))
        log.info("stream_adopted", id=request.id, server=attempt.server)


async def receive_offer(sock: socket.socket) -> tuple[bytes, list[int]]:
    """Receive one message with its descriptors."""
    loop, ready = asyncio.get_running_loop(), asyncio.Event()
    loop.add_reader(sock.fileno(), ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_reader(sock.fileno())
    message, descriptors, _, _ = socket.recv_fds(sock, MAX_MESSAGE_BYTES, 2)
    return message, descriptors


def replica_address(wire: HttpConnection) -> Address:
    """Return the replica's address; ``NO_ADDRESS`` if the connection has broken meanwhile."""
    name = wire.writer.get_extra_info("peername")
    return Address(str(name[0]), int(name[1])) if isinstance(name, tuple) else NO_ADDRESS


def restore_http_state(wire: HttpConnection, client_wire: HttpConnection, keep_alive: bool) -> None:
    """Bring two new h11 state machines to the state within a chunked body."""
    wire.h11.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"x")]))
    wire.h11.send(h11.EndOfMessage())
    wire.receive(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    wire.poll()
    client_wire.receive(
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%b\r\n"
        % (b"" if keep_alive else b"Connection: close\r\n")
    )
    client_wire.poll()
    client_wire.poll()
    chunked = [(b"transfer-encoding", b"chunked")]
    client_wire.h11.send(h11.Response(status_code=200, headers=chunked))
