"""The HTTP front end: client connections, their requests and the responses.

All decisions about requests are the core's.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import h11
import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.reasons import CloseReason, DisconnectReason
from onyxpass.core.requests import Request
from onyxpass.net.bad_request_limiter import BadRequestLimiter
from onyxpass.net.client import HttpClient
from onyxpass.net.connections import ClientConnection, ClientConnections, Stage
from onyxpass.net.http import (
    CLIENT_CLOSE_TIMEOUT_US,
    HttpConnection,
    HttpError,
    drain_input,
    header,
    read_body,
)
from onyxpass.net.listen import Backoff, Listener
from onyxpass.net.replica import Payload, forwarded_headers
from onyxpass.net.request_parser import BadRequest, check_body, check_framing, read_arrival
from onyxpass.net.tcp import ms_since_last_data

# from the connection, or from the first byte of a later request, to the last byte of a request
REQUEST_TIMEOUT_US = 2_500_000
# minimum time from the accept to the last byte of a request, however long it was queued
MIN_REQUEST_TIMEOUT_US = 1_000_000
IDLE_TIMEOUT_US = 8_000_000  # maximum time between two requests on a connection
FLUSH_TIMEOUT_US = 2_000_000  # for a client to receive the rest of a response
# connections over the limit, accepted from the queue before the listener closes
MAX_EXTRA_ACCEPTS = 16
BACKLOG = 512  # connections that the kernel queues while all slots are taken
# connections accepted in one turn of the event loop, so that open requests are served in between
ACCEPTS_PER_TURN = 16
DELIVERY_GRACE_US = 1_000_000  # after a response was written, until it is assumed delivered
CAPACITY_POLL_US = 20_000  # between two checks for a free slot
BROKEN_POLL_US = 50_000  # between two checks whether the connection of a stream is broken
# maximum time, at shutdown, of retries to accept the queued connections while accept fails
FINAL_ACCEPT_TIMEOUT_US = 1_500_000
# new connections arrive for up to 0.4 s after SIGTERM, if the socket is not inherited
ACCEPT_AFTER_SIGTERM_US = 450_000
# after SIGTERM; a request that arrives later may not be finished in time and is rejected
REJECT_NEW_DELAY_US = 650_000
# After SIGTERM plus the longest deadline, up to a maximum, plus a margin, each request whose stream
# has not begun is failed.
SHUTDOWN_MARGIN_US, MAX_SHUTDOWN_DEADLINE_US = 450_000, 3_000_000
log = structlog.get_logger("front")


INTERNAL_ERROR_STATUS, REQUEST_TIMEOUT_STATUS = 500, 408
OpenRequest = tuple[HttpClient, Request] | None


class Failure(NamedTuple):
    """Why a request can't be served; status 0: no response, because the connection is unusable."""

    status: int
    reason: str


def error_status(error: Exception) -> int:
    """Return the status code for a request that can't be served.

    0: no response, because the connection is unusable.
    """
    match error:
        case HttpError(status=status):
            return status
        case BadRequest():
            return 400
        case TimeoutError():
            return REQUEST_TIMEOUT_STATUS
        case OSError():
            return 0
        case _:
            return INTERNAL_ERROR_STATUS


class Front:
    def __init__(
        self,
        core: RequestDispatcher,
        listen: Address,
        ready: Callable[[], bool],
        max_connections: int,
        inherited: socket.socket | None = None,
    ) -> None:
        self.core, self.listen, self.ready, self.max_connections = (
            core,
            listen,
            ready,
            max_connections,
        )
        self.clock, self.wheel = core.clock, core.wheel
        self.listener = Listener(inherited) if inherited is not None else None
        # another process may accept connections from the same socket
        self.shared = inherited is not None
        self.accepting: asyncio.Task[None] | None = None
        self.connections = ClientConnections()
        self.closing = False
        self.draining = False  # not ready, and each connection closes after its current response
        self.bad_request_limiter = BadRequestLimiter(core.clock)

    async def start(self) -> asyncio.Task[None]:
        """Listen, and return the task that accepts connections until ``close``."""
        if self.listener is None:
            self.listener = Listener.at(self.listen.host, self.listen.port, BACKLOG)
        self.accepting = asyncio.create_task(self._accept_all(self.listener))
        return self.accepting

    @property
    def closes_after_answer(self) -> bool:
        return self.closing or self.draining

    def count_answering(self) -> int:
        """Return the number of connections with an open request or a response still being written."""
        return self.connections.count(Stage.OPEN, Stage.LEAVING)

    def close_idle(self) -> None:
        """Close connections that are idle between two requests.

        A new connection was opened for a request and stays open: that request is served, with
        ``Connection: close``. An idle connection on which bytes have arrived stays open too,
        because a close would reset the request in transit.
        """
        for connection in list(self.connections.values()):
            if connection.wait_timeout is not None and connection.stage is Stage.IDLE:
                connection.wait_timeout.expire()

    @property
    def port(self) -> int:
        """The port in use, also if the system chose it."""
        assert self.listener is not None
        return self.listener.port

    def close(self) -> None:
        """Stop listening; the kernel resets connections queued at a socket that is not shared."""
        if self.accepting is not None:
            self.accepting.cancel()
        if self.listener is not None and not self.listener.closed:
            self.listener.close()

    async def finish_accepting(self) -> None:
        """Accept queued connections up to ``MAX_EXTRA_ACCEPTS`` over the limit; stop listening.

        Prevents a reset of connections that arrived just before the shutdown, even if accept fails
        for a moment. With a shared socket the queue is left to the other process.
        """
        await self._accept_pending()
        self.close()

    async def _accept_pending(self) -> None:
        if self.accepting is None or self.listener is None or self.listener.closed or self.shared:
            return
        self.accepting.cancel()
        backoff, due_us = Backoff(), self.clock.now_us() + FINAL_ACCEPT_TIMEOUT_US
        while len(self.connections) < self.max_connections + MAX_EXTRA_ACCEPTS:
            try:
                sock = self.listener.accept_nowait()
            except OSError as error:
                log.warning("accept_failed", why=str(error))
                if self.clock.now_us() >= due_us:
                    return
                await self.wheel.sleep(backoff.next_us())
                continue
            if sock is None:
                return
            self._start_connection(sock, self.listener.queued_since_ns)

    # Connections

    async def _accept_all(self, listener: Listener) -> None:
        """Accept connections while there are free slots; others wait in the kernel's queue."""
        # until this process is ready, the other one on the shared socket serves
        while self.shared and not self.ready():
            await self.wheel.sleep(CAPACITY_POLL_US)
        backoff = Backoff()
        while True:
            await listener.wait_readable()
            for _ in range(ACCEPTS_PER_TURN):
                # Prevents closing a connection when there is no new one to accept.
                if len(self.connections) >= self.max_connections and listener.has_pending:
                    while len(self.connections) >= self.max_connections and not self._make_room():
                        await self.wheel.sleep(CAPACITY_POLL_US)
                try:
                    sock = listener.accept_nowait()
                # prevents a lack of descriptors from ending the front end
                except OSError as error:
                    log.warning("accept_failed", why=str(error))
                    await self.wheel.sleep(backoff.next_us())
                    break
                backoff.reset()
                if sock is None:
                    break
                self._start_connection(sock, listener.queued_since_ns)
            # prevents a flood of connections from starving all other tasks
            await asyncio.sleep(0)

    def _start_connection(self, sock: socket.socket, queued_since_ns: int) -> None:
        now_us = self.clock.now_us()
        queued_since_us = self.clock.from_monotonic_ns(queued_since_ns)
        if self.shared and (silence_ms := ms_since_last_data(sock)) is not None:
            # The connection may have been queued before this process started.
            queued_since_us = min(queued_since_us, now_us - silence_ms * 1000)
        # Counts the time in the accept queue: a client that stopped within its request is not given
        # the whole time of a new connection on top of it.
        due_us = max(queued_since_us + REQUEST_TIMEOUT_US, now_us + MIN_REQUEST_TIMEOUT_US)
        connection = ClientConnection(now_us, due_us, queued_since_us=queued_since_us)
        self._track(connection, self._open_connection(sock, connection))

    def _forget(self, task: asyncio.Task[None]) -> None:
        self.connections.remove(task)

    def _make_room(self) -> bool:
        """Close the connection that can best be displaced; False if there is none.

        Prevents silent, slow and idle clients from holding every descriptor. A connection
        whose request is being served is never displaced, nor, unless it is already being closed,
        one with unread bytes of a connected client: the new connection waits instead.
        """
        if (found := self.connections.take_displaceable(self.clock.now_us())) is None:
            return False
        task, connection = found
        if connection.wire is not None:
            connection.wire.abort()
        task.cancel()
        return True

    async def _open_connection(self, sock: socket.socket, connection: ClientConnection) -> None:
        try:
            wire = connection.wire = await HttpConnection.from_socket(
                sock, h11.SERVER, self.core.memory_budget
            )
            connection.watched_since_us = self.clock.now_us()
        except OSError as error:
            connection.close_reason = CloseReason.CONNECTION_BROKE
            log.debug("connection_ended", why=str(error))
            return
        await self._serve_and_close(connection, wire)

    def adopt(self, wire: HttpConnection, client: HttpClient, request: Request) -> None:
        """Serve a connection whose request the preceding process was answering."""
        now_us = self.clock.now_us()
        connection = ClientConnection(now_us, now_us, wire, Stage.OPEN)
        self._track(connection, self._serve_and_close(connection, wire, (client, request)))

    def _track(self, connection: ClientConnection, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.connections.add(task, connection)
        task.add_done_callback(self._forget)

    async def _serve_and_close(
        self, connection: ClientConnection, wire: HttpConnection, open_request: OpenRequest = None
    ) -> None:
        try:
            await self._serve(connection, wire, open_request)
        except TimeoutError as error:
            connection.close_reason = CloseReason.TOO_SLOW
            log.debug("connection_ended", why=str(error))
        except (HttpError, OSError) as error:
            connection.close_reason = CloseReason.CONNECTION_BROKE
            log.debug("connection_ended", why=str(error))
        # at displacement or program exit; asyncio's own callback would print a traceback
        except asyncio.CancelledError:
            if connection.close_reason is CloseReason.AFTER_ANSWER:
                connection.close_reason = CloseReason.SHUTTING_DOWN
            log.debug("connection_ended", why="stopped")
        except Exception:
            connection.close_reason = CloseReason.INTERNAL_ERROR
            log.exception("client_connection_failed")
        finally:
            await self._close_connection(connection, wire)
            wire.dispose()

    async def _close_connection(self, connection: ClientConnection, wire: HttpConnection) -> None:
        """Close a connection: this side first, then read until the client closes its side.

        Prevents a reset caused by unread bytes, which would discard data still in transit to the
        client. Time limits prevent a client that never reads the end of its response from holding a
        descriptor.
        """
        self.core.check_connection_close(
            connection.request, not connection.answered and not wire.hung_up
        )
        silent_us = self.clock.now_us() - connection.since_us
        silent = connection.stage is Stage.NEW or (
            connection.stage is Stage.IDLE and silent_us >= DELIVERY_GRACE_US
        )
        self._enter_stage(connection, Stage.LEAVING)
        try:
            # If nothing is in transit to the client, its further bytes must stay unread: a request
            # that is read and not answered is lost, while the client can send one again that
            # meets a closed connection.
            if not silent and not wire.writer.is_closing():
                async with self.wheel.timeout(FLUSH_TIMEOUT_US):
                    await wire.flush()
                await drain_input(wire, self.wheel, CLIENT_CLOSE_TIMEOUT_US)
            wire.close()
            async with self.wheel.timeout(FLUSH_TIMEOUT_US):
                await wire.writer.wait_closed()
        except (OSError, TimeoutError, asyncio.CancelledError):
            wire.abort()

    def _enter_stage(self, connection: ClientConnection, stage: Stage) -> None:
        self.connections.enter(connection, stage, self.clock.now_us())

    async def _serve(
        self, connection: ClientConnection, wire: HttpConnection, open_request: OpenRequest = None
    ) -> None:
        while True:
            if not wire.pending and open_request is None:
                await self._wait_for_bytes(connection, wire)
                if not wire.pending:
                    connection.close_reason = CloseReason.CLIENT_LEFT
                    return
            client = (
                open_request[0]
                if open_request
                else HttpClient(wire, lambda: self.closes_after_answer)
            )
            failure: Failure | None = None
            try:
                if open_request is not None:
                    await self._await_answer(connection, wire, *open_request)
                    open_request = None
                else:
                    self._enter_stage(connection, Stage.READING)
                    connection.reads_before = wire.read_count - 1
                    await self._handle_request(connection, wire, client)
            except Exception as error:
                failure = Failure(error_status(error), str(error) or "too slow")
                if failure.status == INTERNAL_ERROR_STATUS:
                    log.exception("client_connection_failed")
            if failure is not None:
                # Outside the handler: there the error would keep what its frames hold.
                await self._reject(connection, wire, client, failure)
                return
            if client.broken or wire.writer.is_closing():
                connection.close_reason = (
                    CloseReason.STREAM_CUT if client.stream_aborted else CloseReason.CLIENT_LEFT
                )
                return
            async with self.wheel.timeout(FLUSH_TIMEOUT_US):
                await wire.writer.drain()
            if wire.h11.our_state is not h11.DONE or wire.h11.their_state is not h11.DONE:
                return
            wire.start_next_cycle()
            # A request that has already arrived is answered before the connection closes.
            if self.closes_after_answer and not wire.stale:
                connection.close_reason = CloseReason.SHUTTING_DOWN
                return
            self._enter_stage(connection, Stage.IDLE)
            connection.due_us = self.clock.now_us() + IDLE_TIMEOUT_US + REQUEST_TIMEOUT_US

    async def _reject(
        self,
        connection: ClientConnection,
        wire: HttpConnection,
        client: HttpClient,
        failure: Failure,
    ) -> None:
        """Answer a request that can't be served, unless it was answered or nobody can be."""
        wire.settle_memory()
        if not failure.status or client.done.is_set():
            return
        self._enter_stage(connection, Stage.LEAVING)
        connection.close_reason = (
            CloseReason.TOO_SLOW
            if failure.status == REQUEST_TIMEOUT_STATUS
            else CloseReason.BAD_REQUEST
        )
        if not wire.out_of_memory:
            await self._delay_rejection(connection)
        self._answer_error(wire, failure.status, failure.reason)
        await drain_input(wire, self.wheel)

    async def _delay_rejection(self, connection: ClientConnection) -> None:
        """Wait as long as the limiter demands, but not beyond the time limit of the request."""
        delay_us = min(self.bad_request_limiter.delay_us(), connection.due_us - self.clock.now_us())
        if delay_us > 0:
            await self.wheel.sleep(delay_us)

    async def _wait_for_bytes(self, connection: ClientConnection, wire: HttpConnection) -> None:
        """Wait for bytes or the end of the stream; TimeoutError if neither comes in time."""
        limit_us = (
            IDLE_TIMEOUT_US
            if connection.stage is Stage.IDLE
            else connection.due_us - self.clock.now_us()
        )
        timeout = self.wheel.timeout(limit_us)
        connection.wait_timeout = timeout
        try:
            async with timeout:
                await wire.read_more()
        except TimeoutError:
            # A request may have arrived just as the time limit expired.
            if not wire.unread or wire.hung_up:
                raise
            await wire.read_more()
        finally:
            connection.wait_timeout = None

    def _answer_error(self, wire: HttpConnection, status: int, why: str) -> None:
        text = why.encode("ascii", "replace")[:200] + b"\n"
        headers = [(b"content-length", b"%d" % len(text)), (b"connection", b"close")]
        if wire.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            wire.write(
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=text),
                h11.EndOfMessage(),
            )
        self.bad_request_limiter.log_rejection(status, why)

    def _arrived_us(self, connection: ClientConnection, wire: HttpConnection) -> int:
        """Return the earliest time at which the client may have sent its request.

        Prevents telling a server more time than the client has left: the request may have waited in
        the kernel while this process was busy. Bytes that arrived before the event loop watched the
        connection may be as old as the connection.
        """
        since_us = (
            self.clock.from_monotonic_ns(wire.received_since_ns)
            if wire.received_since_ns is not None
            else self.clock.now_us()
        )
        return (
            since_us
            if since_us >= connection.watched_since_us
            else min(since_us, connection.queued_since_us)
        )

    async def _handle_request(
        self, connection: ClientConnection, wire: HttpConnection, client: HttpClient
    ) -> None:
        request = await self._read_request(connection, wire, client)
        if request is not None:
            await self._await_answer(connection, wire, client, request)

    async def _read_request(
        self, connection: ClientConnection, wire: HttpConnection, client: HttpClient
    ) -> Request | None:
        """Read and submit the next request; None if it was answered at once."""
        arrived_us, now_us = self._arrived_us(connection, wire), self.clock.now_us()
        async with self.wheel.timeout(min(connection.due_us - now_us, REQUEST_TIMEOUT_US)):
            head = await wire.next_event()
            if not isinstance(head, h11.Request):
                raise HttpError("closed")
            check_framing(head)
            if wire.h11.they_are_waiting_for_100_continue:
                wire.write(h11.InformationalResponse(status_code=100, headers=[]))
            text = await read_body(wire)
        # a wrong length: the bytes after the body are no request of their own
        if wire.pending:
            raise HttpError("bytes behind the request", 400)
        self._enter_stage(connection, Stage.OPEN)
        wire.protect_memory()
        client.keep_alive = b"close" not in (header(head, b"connection") or b"").lower()
        path = bytes(head.target).partition(b"?")[0]
        if path in (b"/health/ready", b"/health/live"):
            fit = path == b"/health/live" or (self.ready() and not self.closes_after_answer)
            client.answer(*((200, b"ok\n") if fit else (503, b"not ready\n")))
        elif not path.startswith(b"/v1/"):
            client.answer(404, b"no such path\n")
        elif head.method != b"POST":
            client.answer(405, b"POST only\n", (b"allow", b"POST"))
        else:
            request_id, arrival = read_arrival(head, self.core, arrived_us, len(text))
            check_body(text)
            if request_id in self.core.registry.by_id:
                raise HttpError("a request with this id is open", 409)
            # Also after its client has left, and at the other process of an upgrade.
            if not self.core.registry.ids.claim(request_id):
                raise HttpError("a request with this id may have run", 409)
            payload = Payload(
                bytes(head.method), bytes(head.target), forwarded_headers(head.headers), text
            )
            return self.core.submit(request_id, arrival, client, payload)
        return None

    async def _await_answer(
        self,
        connection: ClientConnection,
        wire: HttpConnection,
        client: HttpClient,
        request: Request,
    ) -> None:
        """Wait for the final answer, and watch for a client that disconnects meanwhile."""
        connection.request, connection.answered = request, False
        watch = asyncio.create_task(self._watch_client(wire, client))
        done = asyncio.create_task(client.done.wait())
        try:
            await asyncio.wait((watch, done), return_when=asyncio.FIRST_COMPLETED)
            connection.answered = True  # or the client has left and is owed no answer
            if client.done.is_set():
                return
            reason = watch.result()
            self.core.answers.client_disconnected(request, reason)
            if reason is DisconnectReason.EXTRA_BYTES and not client.stream_begun:
                raise HttpError("bytes behind an open request", 400)
            client.broken = True
            client.done.set()
            wire.abort()
        finally:
            for task in (watch, done):
                task.cancel()
            await asyncio.gather(watch, done, return_exceptions=True)

    async def _watch_client(self, wire: HttpConnection, client: HttpClient) -> DisconnectReason:
        """Return why the client of an open request counts as gone, once it does.

        A connection has one open request at a time. Bytes received before its answer end it,
        because its length was wrong or the client floods the connection. A client that ends its
        sending within its stream may still read: whether it has closed shows when the stream's next
        events are not taken.
        """
        with contextlib.suppress(HttpError):
            await wire.read_more()
        if wire.pending:
            return DisconnectReason.EXTRA_BYTES
        while client.stream_begun and not wire.is_broken:
            await self.wheel.sleep(BROKEN_POLL_US)
        return DisconnectReason.CLOSED

    async def stop(self) -> None:
        """Accept connections for a grace period; return once all requests are answered.

        With a shared socket there is no grace period. All connections are closed on return.
        """
        began_us, self.closing = self.clock.now_us(), True
        longest_us = min(
            MAX_SHUTDOWN_DEADLINE_US,
            max(self.core.deadlines.values(), default=MAX_SHUTDOWN_DEADLINE_US),
        )
        self.wheel.after(REJECT_NEW_DELAY_US, self.core.shutdown.begin)
        self.wheel.after(longest_us + SHUTDOWN_MARGIN_US, self.core.shutdown.fail_unanswered)
        if not self.shared:
            await self.wheel.sleep(ACCEPT_AFTER_SIGTERM_US)
        await self.finish_accepting()
        self.close_idle()
        while self.connections:
            await asyncio.wait(list(self.connections))
        log.info("all_clients_served", us=self.clock.now_us() - began_us)
