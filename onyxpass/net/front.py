"""The HTTP front: clients' connections, their requests, and the answers. It decides nothing."""

import asyncio
import socket
from collections.abc import Callable, Coroutine

import h11
import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.reasons import CloseReason
from onyxpass.core.requests import Request
from onyxpass.net.bad_request_limiter import Complaints
from onyxpass.net.client import HttpClient
from onyxpass.net.connections import ClientConnection, ClientConnections, Stage
from onyxpass.net.http import (
    CHUNK,
    CLIENT_CLOSE_TIMEOUT_US,
    HttpConnection,
    HttpError,
    drain_input,
    header,
    read_body,
)
from onyxpass.net.listen import Listener, Pause
from onyxpass.net.replica import Payload, passed_on
from onyxpass.net.request_parser import BadRequest, check_body, check_framing, read_arrival
from onyxpass.net.tcp import silent_ms

# from connecting, or from a later request's first byte, to a request's last byte
REQUEST_TIMEOUT_US = 2_500_000
FIRST_LEAST_US = 1_000_000  # of that, however long the connection waited to be accepted
IDLE_TIMEOUT_US = 8_000_000  # between requests
LEAVE_US = 2_000_000  # for a client to take the rest of its answer
REST_MOST = 16  # past the limit, of what still waits in the kernel as the listener closes
BACKLOG = 512  # connections that may wait in the kernel while there is no room
ACCEPTS = 16  # connections taken in one turn of the loop: requests under way have theirs in between
SETTLED_US = 1_000_000  # after an answer, till it has surely arrived
ROOM_US = 20_000  # between looks whether there is room
LAST_ACCEPTS_US = 1_500_000  # of trying on, at a shutdown, to take what waits while accepting fails
# after SIGTERM new connections keep coming for up to 0.4 s, where the socket is our own
LINGER_US = 450_000
REJECT_NEW_DELAY_US = 650_000  # after SIGTERM what comes so late may not be finished in time
SHUTDOWN_MARGIN_US, END_MOST_US = (
    450_000,
    3_000_000,
)  # after the longest deadline (at most this), and SIGTERM, all is answered
log = structlog.get_logger("front")


INTERNAL_ERROR, TOO_SLOW = 500, 408
UnderWay = tuple[HttpClient, Request] | None


def status_of(problem: Exception) -> int:
    """What a client is answered whose request can't be served; 0: nothing, as its connection is
    no use.
    """
    match problem:
        case HttpError(status=status):
            return status
        case BadRequest():
            return 400
        case TimeoutError():
            return TOO_SLOW
        case OSError():
            return 0
        case _:
            return INTERNAL_ERROR


class Front:
    def __init__(
        self,
        core: RequestDispatcher,
        listen: Address,
        ready: Callable[[], bool],
        max_connections: int,
        passed: socket.socket | None = None,
    ) -> None:
        self.core, self.listen, self.ready, self.max_connections = (
            core,
            listen,
            ready,
            max_connections,
        )
        self.clock, self.wheel = core.clock, core.wheel
        self.listener = Listener(passed) if passed is not None else None
        # another process may take connections from the same socket
        self.shared = passed is not None
        self.accepting: asyncio.Task[None] | None = None
        self.connections = ClientConnections()
        self.closing = False
        self.draining = False  # not ready, and each connection ends with its present answer
        self.complaints = Complaints(core.clock)

    async def start(self) -> asyncio.Task[None]:
        """Listen; the task that accepts runs till ``close``."""
        if self.listener is None:
            self.listener = Listener.at(self.listen.host, self.listen.port, BACKLOG)
        self.accepting = asyncio.create_task(self._accept_all(self.listener))
        return self.accepting

    @property
    def closes_after_answer(self) -> bool:
        return self.closing or self.draining

    def count_answering(self) -> int:
        """Connections on which a request is open, or its answer has not wholly left."""
        return self.connections.count(Stage.OPEN, Stage.LEAVING)

    def close_idle(self) -> None:
        """Close the connections on which nothing is on its way.

        Guards against a reset of what is on its way: only where nothing has come is a connection
        closed; a new one was opened for a request, which is served, with ``Connection: close``.
        """
        for connection in list(self.connections.values()):
            if connection.resting is not None and connection.stage is Stage.IDLE:
                connection.resting.expire()

    @property
    def port(self) -> int:
        """Where it really listens, should the port have been left to the system."""
        assert self.listener is not None
        return self.listener.port

    def close(self) -> None:
        """Stop listening; the system resets what it has accepted for us and nobody has taken."""
        if self.accepting is not None:
            self.accepting.cancel()
        if self.listener is not None and not self.listener.closed:
            self.listener.close()

    async def finish_accepting(self) -> None:
        """Take in what the system has accepted for us already, and stop listening.

        Guards against a reset of what came just before the end, also while accepting fails for a
        moment. Where the socket is shared, what waits is the other process's.
        """
        await self._take_the_last()
        self.close()

    async def _take_the_last(self) -> None:
        if self.accepting is None or self.listener is None or self.listener.closed or self.shared:
            return
        self.accepting.cancel()
        pause, due_us = Pause(), self.clock.now_us() + LAST_ACCEPTS_US
        while len(self.connections) < self.max_connections + REST_MOST:
            try:
                sock = self.listener.take()
            except OSError as problem:
                log.warning("accept_failed", why=str(problem))
                if self.clock.now_us() >= due_us:
                    return
                await self.wheel.sleep(pause.next_us())
                continue
            if sock is None:
                return
            self._welcome(sock, self.listener.waited_since_ns)

    # Connections

    async def _accept_all(self, listener: Listener) -> None:
        """Takes a connection only where there is room for it; till then it waits in the kernel's
        queue.
        """
        # till then the other process, if there is one, serves
        while self.shared and not self.ready():
            await self.wheel.sleep(ROOM_US)
        pause = Pause()
        while True:
            await listener.newcomer()
            for _ in range(ACCEPTS):
                # Guards against a connection closed for a newcomer that never comes.
                if len(self.connections) >= self.max_connections and listener.waiting_now:
                    while len(self.connections) >= self.max_connections and not self._make_room():
                        await self.wheel.sleep(ROOM_US)
                try:
                    sock = listener.take()
                # guards against a front that ends when descriptors run out
                except OSError as problem:
                    log.warning("accept_failed", why=str(problem))
                    await self.wheel.sleep(pause.next_us())
                    break
                pause.reset()
                if sock is None:
                    break
                self._welcome(sock, listener.waited_since_ns)
            # guards against a flood of connections that lets nothing else run
            await asyncio.sleep(0)

    def _welcome(self, sock: socket.socket, waited_since_ns: int) -> None:
        now_us = self.clock.now_us()
        arrived_us = self.clock.from_monotonic_ns(waited_since_ns)
        if self.shared and (silent := silent_ms(sock)) is not None:
            # Guards against a request that waited for this process longer than it has lived.
            arrived_us = min(arrived_us, now_us - silent * 1000)
        # Prevents a client that stopped in the middle from waiting in the queue and then for the
        # whole time of a connection that has just come.
        due_us = max(arrived_us + REQUEST_TIMEOUT_US, now_us + FIRST_LEAST_US)
        connection = ClientConnection(now_us, due_us, arrived_us=arrived_us)
        self._keep(connection, self._converse(sock, connection))

    def _gone(self, task: asyncio.Task[None]) -> None:
        self.connections.remove(task)

    def _make_room(self) -> bool:
        """Close the connection that is missed least, if there is one that may be closed.

        Guards against silent, slow and idle clients that hold every descriptor. One on which a
        request may be on its way, or is being served, is never closed for another: then the
        newcomer waits.
        """
        if (found := self.connections.take_least_missed(self.clock.now_us())) is None:
            return False
        task, connection = found
        if connection.wire is not None:
            connection.wire.abort()
        task.cancel()
        return True

    async def _converse(self, sock: socket.socket, connection: ClientConnection) -> None:
        try:
            wire = connection.wire = await HttpConnection.over(sock, h11.SERVER)
            connection.watched_us = self.clock.now_us()
        except OSError as problem:
            connection.why = CloseReason.CONNECTION_BROKE
            log.debug("connection_ended", why=str(problem))
            return
        await self._follow(connection, wire)

    def adopt(self, wire: HttpConnection, client: HttpClient, request: Request) -> None:
        """Go on with a connection whose request the process before this one was answering."""
        now_us = self.clock.now_us()
        connection = ClientConnection(now_us, now_us, wire, Stage.OPEN)
        self._keep(connection, self._follow(connection, wire, (client, request)))

    def _keep(self, connection: ClientConnection, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.connections.add(task, connection)
        task.add_done_callback(self._gone)

    async def _follow(
        self, connection: ClientConnection, wire: HttpConnection, under_way: UnderWay = None
    ) -> None:
        try:
            await self._serve(connection, wire, under_way)
        except TimeoutError as problem:
            connection.why = CloseReason.TOO_SLOW
            log.debug("connection_ended", why=str(problem))
        except (HttpError, OSError) as problem:
            connection.why = CloseReason.CONNECTION_BROKE
            log.debug("connection_ended", why=str(problem))
        # the program ends; asyncio's own callback would print a traceback
        except asyncio.CancelledError:
            if connection.why is CloseReason.AFTER_ANSWER:
                connection.why = CloseReason.SHUTTING_DOWN
            log.debug("connection_ended", why="stopped")
        except Exception:
            connection.why = CloseReason.INTERNAL_ERROR
            log.exception("client_connection_failed")
        finally:
            await self._end(connection, wire)

    async def _end(self, connection: ClientConnection, wire: HttpConnection) -> None:
        """End our side first, and read on till the client ends its own.

        Guards against a reset by bytes that nobody has read, which takes with it what is still on
        its way to the client; and against a descriptor held by a client that never takes the end of
        its answer.
        """
        self.core.check_connection_close(
            connection.request, not connection.answered and not wire.hung_up
        )
        silent_us = self.clock.now_us() - connection.since_us
        silent = connection.stage is Stage.NEW or (
            connection.stage is Stage.IDLE and silent_us >= SETTLED_US
        )
        self._at(connection, Stage.LEAVING)
        try:
            # Where nothing is on its way to the client, what it sends from now on must not be read:
            # a request that is read and gets no answer is lost, one that meets a closed connection
            # is sent again.
            if not silent and not wire.writer.is_closing():
                async with self.wheel.timeout(LEAVE_US):
                    await wire.flush()
                await drain_input(wire, self.wheel, CLIENT_CLOSE_TIMEOUT_US)
            wire.close()
            async with self.wheel.timeout(LEAVE_US):
                await wire.writer.wait_closed()
        except (OSError, TimeoutError, asyncio.CancelledError):
            wire.abort()

    def _at(self, connection: ClientConnection, stage: Stage) -> None:
        self.connections.enter(connection, stage, self.clock.now_us())

    async def _serve(
        self, connection: ClientConnection, wire: HttpConnection, under_way: UnderWay = None
    ) -> None:
        while True:
            if not wire.pending and under_way is None:
                await self._next(connection, wire)
                if not wire.pending:
                    connection.why = CloseReason.CLIENT_LEFT
                    return
            client = (
                under_way[0] if under_way else HttpClient(wire, lambda: self.closes_after_answer)
            )
            try:
                if under_way is not None:
                    await self._await_answer(connection, wire, *under_way)
                    under_way = None
                else:
                    self._at(connection, Stage.READING)
                    connection.pieces = wire.pieces - 1
                    await self._exchange(connection, wire, client)
            except Exception as problem:
                status = status_of(problem)
                if status == INTERNAL_ERROR:
                    log.exception("client_connection_failed")
                if status and not client.done.is_set():
                    self._at(connection, Stage.LEAVING)
                    connection.why = (
                        CloseReason.TOO_SLOW if status == TOO_SLOW else CloseReason.BAD_REQUEST
                    )
                    wait_us = min(
                        self.complaints.wait_us(), connection.due_us - self.clock.now_us()
                    )
                    if wait_us > 0:  # never past the time that the client is owed its answer in
                        await self.wheel.sleep(wait_us)
                    self._complain(wire, status, str(problem) or "too slow")
                    await drain_input(wire, self.wheel)
                return
            if client.broken or wire.writer.is_closing():
                connection.why = (
                    CloseReason.STREAM_CUT if client.was_cut else CloseReason.CLIENT_LEFT
                )
                return
            async with self.wheel.timeout(LEAVE_US):
                await wire.writer.drain()
            if wire.h11.our_state is not h11.DONE or wire.h11.their_state is not h11.DONE:
                return
            wire.h11.start_next_cycle()
            # Guards against a request that is here already and would get no answer.
            if self.closes_after_answer and not wire.stale:
                connection.why = CloseReason.SHUTTING_DOWN
                return
            self._at(connection, Stage.IDLE)
            connection.due_us = self.clock.now_us() + IDLE_TIMEOUT_US + REQUEST_TIMEOUT_US

    async def _next(self, connection: ClientConnection, wire: HttpConnection) -> None:
        """Wait for what comes next, be it the end; TimeoutError if nothing does."""
        limit_us = (
            IDLE_TIMEOUT_US
            if connection.stage is Stage.IDLE
            else connection.due_us - self.clock.now_us()
        )
        limit = self.wheel.timeout(limit_us)
        connection.resting = limit
        try:
            async with limit:
                await wire.fill()
        except TimeoutError:
            # Guards against a request that came in the very moment in which its connection was to
            # be closed.
            if not wire.unread or wire.hung_up:
                raise
            await wire.fill()
        finally:
            connection.resting = None

    def _complain(self, wire: HttpConnection, status: int, why: str) -> None:
        text = why.encode("ascii", "replace")[:200] + b"\n"
        headers = [(b"content-length", b"%d" % len(text)), (b"connection", b"close")]
        if wire.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            wire.write(
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=text),
                h11.EndOfMessage(),
            )
        self.complaints.told(status, why)

    def _arrived_us(self, connection: ClientConnection, wire: HttpConnection) -> int:
        """Since when, at the earliest, the client may count its request.

        Guards against telling a server more time than the client has left: a request may have
        waited in the kernel while this process had no turn to look. What came before the loop
        watched its connection may be as old as the connection.
        """
        since_us = (
            self.clock.from_monotonic_ns(wire.since_ns)
            if wire.since_ns is not None
            else self.clock.now_us()
        )
        return (
            since_us if since_us >= connection.watched_us else min(since_us, connection.arrived_us)
        )

    async def _exchange(
        self, connection: ClientConnection, wire: HttpConnection, client: HttpClient
    ) -> None:
        arrived_us, now_us = self._arrived_us(connection, wire), self.clock.now_us()
        async with self.wheel.timeout(min(connection.due_us - now_us, REQUEST_TIMEOUT_US)):
            head = await wire.next_event()
            if not isinstance(head, h11.Request):
                raise HttpError("closed")
            check_framing(head)
            if wire.h11.they_are_waiting_for_100_continue:
                wire.write(h11.InformationalResponse(status_code=100, headers=[]))
            text = await read_body(wire)
        # guards against a length that is wrong: what came behind is no request of its own
        if wire.pending:
            raise HttpError("bytes behind the request", 400)
        self._at(connection, Stage.OPEN)
        client.keeps = b"close" not in (header(head, b"connection") or b"").lower()
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
            payload = Payload(bytes(head.method), bytes(head.target), passed_on(head.headers), text)
            request = self.core.submit(request_id, arrival, client, payload)
            await self._await_answer(connection, wire, client, request)

    async def _await_answer(
        self,
        connection: ClientConnection,
        wire: HttpConnection,
        client: HttpClient,
        request: Request,
    ) -> None:
        """Wait for the final answer, and watch for a client that goes away meanwhile."""
        connection.request, connection.answered = request, False
        watch = asyncio.create_task(self._until_gone(wire))
        done = asyncio.create_task(client.done.wait())
        try:
            await asyncio.wait((watch, done), return_when=asyncio.FIRST_COMPLETED)
            connection.answered = True  # or its client has left, and none is owed
            if client.done.is_set():
                if (
                    watch.done()
                ):  # guards against a next request lost that comes together with this answer's end
                    wire.h11.receive_data(watch.result())
                return
            self.core.answers.client_disconnected(request)
            if watch.result() and not client.begun:
                raise HttpError("bytes behind an open request", 400)
            client.broken = True
            client.done.set()
            wire.abort()
        finally:
            for task in (watch, done):
                task.cancel()
            await asyncio.gather(watch, done, return_exceptions=True)

    async def _until_gone(self, wire: HttpConnection) -> bytes:
        """Returns once the client has closed: nothing; or has sent more behind its open request:
        that.

        Guards against a request whose length was wrong being served as if it were good, and against
        a flood: on a connection one request is open at a time, so what comes behind it ends it.
        """
        try:
            return await wire.reader.read(CHUNK)
        except OSError:
            return b""

    async def stop(self) -> None:
        """A planned end: take no new connections, finish all that was taken, then return."""
        began_us, self.closing = self.clock.now_us(), True
        longest_us = min(END_MOST_US, max(self.core.deadlines.values(), default=END_MOST_US))
        self.wheel.after(REJECT_NEW_DELAY_US, self.core.shutdown.begin)
        self.wheel.after(longest_us + SHUTDOWN_MARGIN_US, self.core.shutdown.fail_unanswered)
        if not self.shared:
            await self.wheel.sleep(LINGER_US)
        await self.finish_accepting()
        self.close_idle()
        while self.connections:
            await asyncio.wait(list(self.connections))
        log.info("all_clients_served", us=self.clock.now_us() - began_us)
