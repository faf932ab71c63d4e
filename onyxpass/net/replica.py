"""Connections to replicas: one actor per replica, its idle connections and its exchanges."""

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Protocol

import h11
import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.exchange_eviction import evict_exchange
from onyxpass.core.fleet import ServerActor
from onyxpass.core.requests import Attempt
from onyxpass.net.connection_budget import ConnectionBudget, IdleConnection
from onyxpass.net.dialer import ResourceShortageError, connect
from onyxpass.net.event_stream import EventSplitter, contains_data
from onyxpass.net.http import (
    BODY_LIMIT,
    HOP_BY_HOP,
    SERVER_READER_LIMIT,
    ChargedProtocol,
    HttpConnection,
    HttpError,
    header,
    read_body,
)
from onyxpass.net.response_reader import (
    CorruptResponseError,
    Part,
    ResponseReader,
    WaitInterrupted,
    is_framed,
)
from onyxpass.scheduling.contract import (
    STALE_CONNECTION,
    STATE_LOST,
    AttemptStatus,
    HealthCheckResult,
    Idempotency,
)

# an idle connection is not reused this long before the replica may close it
IDLE_MARGIN_US = 1_500_000
MAX_IDLE_CONNECTIONS = 24  # idle connections kept per replica
# after a stream, until its connection may be reused: an unsolicited second response may come late
REUSE_DELAY_US = 50_000
HEALTH_CHECK_TIMEOUT_US = 250_000
FIRST_EVENT_TIMEOUT_US = 2_000_000  # maximum silence before a stream's first event
# a stream without bytes for this long has stalled: healthy ones pause for 0.2 s
STREAM_STALL_TIMEOUT_US = 4_600_000
CLIENT_WRITE_TIMEOUT_US = 30_000_000  # maximum time for which a client may accept no forwarded data
# a reused connection that the replica had closed breaks within this time of the write
REUSED_BREAK_WINDOW_US = 250_000
# break rates of reused connections above which requests use new connections
MAX_BREAK_RATE_NON_IDEMPOTENT, MAX_BREAK_RATE = 0.005, 0.06
CANCEL_SETTLE_US = 25_000  # until a cancelled prefill is assumed to have ended
LEASE_RELEASE_TIMEOUT_US = 100_000  # of one release request
RETRYABLE_STATUSES = (408, 425, 429)  # 4xx responses that do not mean that the request is invalid
log = structlog.get_logger("net")


@dataclass(frozen=True, slots=True)
class Payload:
    """A client's request as it is forwarded to replicas."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class AddressChanged:
    address: Address
    removed: bool = False


@dataclass(frozen=True, slots=True)
class CloseIdle:
    everything: bool = False


@dataclass(frozen=True, slots=True)
class DropConnections:
    pass


@dataclass(frozen=True, slots=True)
class AdoptedStream:
    """A stream that the preceding process had begun to relay."""

    wire: HttpConnection
    events: EventSplitter


class StreamMigrated(Exception):
    """The succeeding process has taken over the stream."""


class StreamSuccessor(Protocol):
    async def migrate(
        self, attempt: Attempt, incoming: ResponseReader, events: EventSplitter
    ) -> bool: ...


class Replica(ServerActor):
    """The actor of one replica; each of its exchanges runs in a task of its own."""

    def __init__(
        self,
        name: str,
        address: Address,
        core: RequestDispatcher,
        budget: ConnectionBudget,
        connect_us: int,
        idle_us: int,
    ) -> None:
        super().__init__(name, core)
        self.address, self.budget = address, budget
        self.connect_us, self.max_idle_us = connect_us, max_idle_us(idle_us)
        self.idle: list[IdleConnection] = []
        self.streams: set[ResponseReader] = set()  # streams that wait for their next part
        self.removed = False
        # the succeeding process, which takes over streams during a hot restart
        self.successor: Callable[[], StreamSuccessor | None] = lambda: None
        self.answered_us = 0  # time of its latest response
        # number of exclusions and inclusions: connections from before the last one are not kept
        self.generation = 0

    @property
    def finished(self) -> bool:
        """Whether the replica has left the endpoint list and has no task, connection or message."""
        return self.removed and not (
            self.tasks or self.background_tasks or self.idle or self.mailbox.qsize()
        )

    def receive(self, message: object) -> None:
        match message:
            case AddressChanged(address, removed):
                self.removed = removed
                if address != self.address or removed:
                    self.address = address
                    self._drop_idle(True)
            case DropConnections():
                self.generation += 1
                self._drop_idle(True)
            case CloseIdle(everything):
                self._drop_idle(everything)
            case _:
                super().receive(message)

    # Connections

    def _drop_idle(self, everything: bool = False) -> None:
        now_us, kept = self.core.clock.now_us(), []
        for idle in self.idle:
            if everything or idle.wire.stale or now_us - idle.since_us >= self.max_idle_us:
                self._discard(idle.wire)
            else:
                kept.append(idle)
        self.idle = kept

    def _discard(self, wire: HttpConnection) -> None:
        wire.abort()
        wire.dispose()
        self.budget.open -= 1

    def _take_idle(self) -> HttpConnection | None:
        """Return the idle connection used last; None if there is none.

        Connections that the replica has closed or may close soon are discarded.
        """
        now_us = self.core.clock.now_us()
        for idle in reversed([idle for idle in self.idle if now_us >= idle.reusable_us]):
            self.idle.remove(idle)
            idle.wire.idle_us = now_us - idle.since_us
            if not idle.wire.stale and idle.wire.idle_us < self.max_idle_us:
                return idle.wire
            self._discard(idle.wire)
        return None

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle longest, in favour of another replica."""
        self._discard(self.idle.pop(0).wire)

    async def _open(self, timeout_us: int | None = None) -> HttpConnection:
        if self.budget.open >= self.budget.limit and not self.budget.make_room():
            raise ResourceShortageError("no descriptors left for replicas")
        self.budget.open += 1
        try:
            async with self.wheel.timeout(self.connect_us if timeout_us is None else timeout_us):
                host, port = self.address.host, self.address.port
                streams = await connect(host, port, SERVER_READER_LIMIT, ChargedProtocol)
        except BaseException:
            self.budget.open -= 1
            raise
        wire = HttpConnection(h11.CLIENT, *streams)
        wire.charge_to(self.core.memory_budget)
        wire.generation = self.generation
        return wire

    def _return_connection(self, wire: HttpConnection, streamed: bool = False) -> None:
        """Keep the connection if both sides are ready for another request on it.

        After a stream it may be reused only after a delay: a second response some milliseconds
        behind the stream would be taken for that of the next request. Bytes that arrive meanwhile
        mark the connection as stale, and it is closed.
        """
        if wire.h11.our_state is h11.DONE and wire.h11.their_state is h11.DONE and not wire.stale:
            wire.start_next_cycle()
            # Connections from before a drain or an exclusion are not kept: their other end may be
            # gone.
            if (
                len(self.idle) < MAX_IDLE_CONNECTIONS
                and self.core.endpoints.accepts_new_work(self.name)
                and wire.generation == self.generation
            ):
                now_us = self.core.clock.now_us()
                self.idle.append(IdleConnection(wire, now_us, now_us + REUSE_DELAY_US * streamed))
                return
        self._discard(wire)

    # Exchanges

    async def run_attempt(self, attempt: Attempt, resumed: AdoptedStream | None = None) -> None:
        """Run an attempt from connection to end, or the rest of one that was adopted.

        Reports the end to the core in every case.
        """
        wire: HttpConnection | None = resumed.wire if resumed else None
        status, note, reason, written, written_us = AttemptStatus.UNREACHABLE, 0, "", False, 0
        migrated = False
        try:
            if resumed is not None:
                written = True
                status, note, reason = await self._resume(resumed, attempt)
                return
            if self._avoids_reuse(attempt) or (wire := self._take_idle()) is None:
                wire = await self._open(
                    self.core.preconditions.connect_timeout_us(attempt.request, self.connect_us)
                )
            await self.wait_for_release(attempt)
            # the replica's state may have changed since it was selected
            if why := self.core.preconditions.check_first_byte(attempt):
                status, reason = AttemptStatus.NOT_SENT, why
            else:
                self._write_head(wire, attempt)
                if wire.writer.is_closing():  # the first write failed, so nothing was sent
                    raise ConnectionResetError("connection closed before the request was written")
                # Set before the flush, during which the last byte may leave at any moment, also in
                # the turn of the loop that cancels this task: the request must not be reported as
                # not sent then.
                written, written_us = True, self.core.clock.now_us()
                self.core.reservations.attempt_begun(attempt, wire.acknowledged)
                await wire.flush()
                self.core.outcomes.request_sent(attempt)
                status, note, reason = await self._receive_response(wire, attempt)
        except StreamMigrated:
            migrated = True
        except ResourceShortageError as error:  # a local shortage is no failure of the replica
            status, reason = AttemptStatus.NOT_SENT, str(error)
        except CorruptResponseError as error:
            status, note, reason = AttemptStatus.RESET, STATE_LOST, f"spoilt: {error}"
        except (HttpError, OSError, TimeoutError) as error:
            # UNREACHABLE only if it is certain that nothing was sent.
            status, reason = (
                AttemptStatus.RESET if written else AttemptStatus.UNREACHABLE,
                str(error) or "no connection",
            )
            now_us = self.core.clock.now_us()
            if (
                written
                and wire is not None
                and wire.idle_us >= 0
                and now_us - written_us < REUSED_BREAK_WINDOW_US
            ):
                note = STALE_CONNECTION
        except asyncio.CancelledError:
            proven = not written or (wire is not None and wire.unsent)
            status = AttemptStatus.NOT_SENT if proven else AttemptStatus.CANCELLED
        except Exception:
            log.exception("exchange_failed", server=self.name)
            status = AttemptStatus.RESET if wire is not None else AttemptStatus.UNREACHABLE
        finally:
            if wire is not None:
                # kept only if the exchange is complete
                self._return_connection(wire, status is AttemptStatus.COMPLETED)
                if written and wire.idle_us >= 0:
                    self.budget.record_reuse(
                        self.core.clock.now_us(),
                        note == STALE_CONNECTION and status is AttemptStatus.RESET,
                    )
                if reason and wire.idle_us >= 0:
                    reason += f" (kept for {wire.idle_us // 1000} ms)"
            if migrated:
                self.core.outcomes.stream_migrated(attempt)
            else:
                self.core.outcomes.attempt_ended(attempt, status, note, reason)

    def _avoids_reuse(self, attempt: Attempt) -> bool:
        """Return whether the attempt should use a new connection.

        Prevents the loss of non-idempotent requests, and wasted attempts, while reused connections
        often break.
        """
        non_idempotent = (
            attempt.may_generate
            and self.core.idempotency_of(attempt.request) is not Idempotency.IDEMPOTENT
        )
        return self.budget.break_rate_at(self.core.clock.now_us()) > (
            MAX_BREAK_RATE_NON_IDEMPOTENT if non_idempotent else MAX_BREAK_RATE
        )

    def _write_head(self, wire: HttpConnection, attempt: Attempt) -> None:
        payload: Payload = attempt.request.payload
        headers = [
            *payload.headers,
            (b"x-timeout-ms", b"%d" % self.core.preconditions.remaining_ms(attempt)),
            (b"content-length", b"%d" % len(payload.body)),
        ]
        if attempt.view_number:
            headers.append((b"x-onyxpass-view", b"%d" % attempt.view_number))
        head = h11.Request(method=payload.method, target=payload.target, headers=headers)
        wire.write(head, h11.Data(data=payload.body), h11.EndOfMessage())

    async def _receive_response(
        self, wire: HttpConnection, attempt: Attempt
    ) -> tuple[AttemptStatus, int, str]:
        incoming = ResponseReader(wire, self.wheel)

        def evict() -> None:
            incoming.drop()
            evict_exchange(attempt, self.name, wire.abort)

        wire.begin_exchange(evict)
        return await self._flag_corrupt(attempt, incoming, self._read_response(incoming, attempt))

    async def _resume(
        self, resumed: AdoptedStream, attempt: Attempt
    ) -> tuple[AttemptStatus, int, str]:
        incoming = ResponseReader(resumed.wire, self.wheel)
        incoming.begun = incoming.chunked = True
        incoming.event_completed()
        rest = self._relay_events(incoming, attempt, resumed.events, True)
        return await self._flag_corrupt(attempt, incoming, rest)

    async def _flag_corrupt(
        self,
        attempt: Attempt,
        incoming: ResponseReader,
        answer: Coroutine[object, object, tuple[AttemptStatus, int, str]],
    ) -> tuple[AttemptStatus, int, str]:
        try:
            return await answer
        except HttpError as error:
            # Any HttpError after the first byte of the response, a stall included, counts as proof
            # that the request has run; silence before that byte proves nothing.
            if incoming.begun:
                raise CorruptResponseError(str(error)) from error
            raise
        finally:
            attempt.delivered = attempt.delivered or incoming.begun

    async def _read_response(
        self, incoming: ResponseReader, attempt: Attempt
    ) -> tuple[AttemptStatus, int, str]:
        head = await incoming.next()
        while isinstance(head, h11.InformationalResponse):
            head = await incoming.next()
        if not isinstance(head, h11.Response):
            raise HttpError("connection closed without a response")
        self.answered_us = self.core.clock.now_us()
        if head.status_code == 200:
            return await self._relay_stream(incoming, attempt, head)
        text = bytearray()
        while isinstance(part := await incoming.next(), bytes):
            text += part
            incoming.settle(len(text))
            if len(text) > BODY_LIMIT:
                raise HttpError("body too large")
        if not isinstance(part, h11.EndOfMessage):
            raise HttpError("connection closed within a body")
        not_run = header(head, b"x-not-processed") is not None
        if head.status_code == 202:
            return AttemptStatus.PREFILLED, cached_tokens(bytes(text)), ""
        if head.status_code == 410:
            return AttemptStatus.OVERLOADED, 1, "no state"
        if head.status_code in (503, 504) and not_run:
            return AttemptStatus.OVERLOADED, 0, f"status {head.status_code}"
        if 400 <= head.status_code < 500 and head.status_code not in RETRYABLE_STATUSES:
            return AttemptStatus.INVALID_REQUEST, 0, f"status {head.status_code}"
        return AttemptStatus.ERROR, 0, f"status {head.status_code}"

    async def _relay_stream(
        self, incoming: ResponseReader, attempt: Attempt, head: h11.Response
    ) -> tuple[AttemptStatus, int, str]:
        """Relay complete events as they arrive; COMPLETED only if the whole stream has come."""
        if not (header(head, b"content-type") or b"").lower().startswith(b"text/event-stream"):
            raise HttpError("not an event stream")
        return await self._relay_events(incoming, attempt, EventSplitter(), is_framed(head))

    async def _relay_events(
        self, incoming: ResponseReader, attempt: Attempt, events: EventSplitter, whole_at_end: bool
    ) -> tuple[AttemptStatus, int, str]:
        client = attempt.request.client
        incoming.events = events
        while True:
            successor = self.successor()
            if (
                successor is not None
                and attempt.committed
                and await successor.migrate(attempt, incoming, events)
            ):
                raise StreamMigrated
            # Until then a chunk is forwarded only once its size has proved right.
            incoming.forwarding = attempt.committed
            try:
                part = await self._next_part(
                    incoming,
                    STREAM_STALL_TIMEOUT_US if attempt.committed else FIRST_EVENT_TIMEOUT_US,
                )
            except WaitInterrupted:
                continue
            if isinstance(part, bytes):
                # Only complete events reach the client: invalid bytes must not commit the request.
                complete, part = events.feed(part), b""  # prevents the part from being held as well
                incoming.settle(events.partial_bytes + len(complete) + client.unsent_bytes)
                if not complete:
                    continue
                if is_progress(attempt, events, complete):
                    incoming.event_completed()
                if not self.core.outcomes.stream_event_received(attempt):
                    raise HttpError("the request does not accept this stream any more")
                # bounded, so that a client that reads nothing does not occupy the replica for ever
                async with self.wheel.timeout(CLIENT_WRITE_TIMEOUT_US):
                    await client.forward(complete)
            elif isinstance(part, h11.EndOfMessage):
                attempt.output_tokens = events.tokens()
                if not attempt.committed or not whole_at_end or events.has_partial_event:
                    raise HttpError("the stream ended incomplete")
                # A server may end its framing in order in the middle of its answer.
                if not events.has_last_event:
                    raise HttpError("the stream ended without its last event")
                return AttemptStatus.COMPLETED, 0, ""
            else:
                raise HttpError("connection closed within the stream")

    async def _next_part(self, incoming: ResponseReader, silence_us: int) -> Part:
        self.streams.add(incoming)
        try:
            return await incoming.next(silence_us)
        finally:
            self.streams.discard(incoming)

    async def check_health(self) -> None:
        began_us, ok, wire = self.core.clock.now_us(), False, None
        try:
            async with self.wheel.timeout(HEALTH_CHECK_TIMEOUT_US):
                wire = self._take_idle() or await self._open()
                # excluded while the connection was being established
                if self.name in self.core.endpoints.excluded:
                    return
                wire.write(build_request(b"GET", b"/health/live"), h11.EndOfMessage())
                head = await wire.next_event()
                if isinstance(head, h11.Response):
                    await read_body(wire)
                    ok = head.status_code == 200
                    self.answered_us = self.core.clock.now_us()
        except ResourceShortageError:  # no request was sent, so there is no result
            return
        except (HttpError, OSError, TimeoutError):
            ok = False
        finally:
            if wire is not None:
                self._return_connection(wire)
        self.core.tell(HealthCheckResult(self.name, ok, self.core.clock.now_us() - began_us))

    async def release_lease(self, request_id: str) -> bool:
        """Request the release of all state held for the request; True once the replica confirms."""
        wire: HttpConnection | None = None
        try:
            async with self.wheel.timeout(LEASE_RELEASE_TIMEOUT_US):
                wire = self._take_idle() or await self._open()
                target = b"/kv/leases/" + request_id.encode("ascii")
                wire.write(build_request(b"DELETE", target), h11.EndOfMessage())
                head = await wire.next_event()
                if not isinstance(head, h11.Response):
                    return False
                await read_body(wire)
                self.answered_us = self.core.clock.now_us()
                return head.status_code == 204
        except (ResourceShortageError, HttpError, OSError, TimeoutError):
            return False
        finally:
            if wire is not None:
                self._return_connection(wire)


def is_progress(attempt: Attempt, events: EventSplitter, complete: bytes) -> bool:
    """Return whether events bring a stream further: its first ones, and those with data up to its end.

    Prevents comments, or events after the last one, from keeping a stream open for ever.
    """
    if not attempt.committed:
        return True
    return contains_data(complete) and not events.ended_before_latest


def max_idle_us(idle_us: int) -> int:
    """Return how long an idle connection is reusable if the replica closes it after ``idle_us``."""
    return max(0, idle_us - IDLE_MARGIN_US)


def build_request(method: bytes, target: bytes) -> h11.Request:
    return h11.Request(method=method, target=target, headers=[(b"host", b"backend.local")])


def cached_tokens(text: bytes) -> int:
    """Return the number of cached tokens in a prefill response; 0 if it can't be read."""
    try:
        return max(0, int(json.loads(text)["cached_tokens"]))
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return 0


def forwarded_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward: all but the hop-by-hop ones and the client's deadline."""
    return [
        (bytes(k), bytes(v)) for k, v in headers if k not in HOP_BY_HOP and k != b"x-timeout-ms"
    ]
