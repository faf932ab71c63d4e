"""Replicas: an actor for each, which owns its idle connections, and the exchanges that it
starts.
"""

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Protocol

import h11
import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.fleet import ServerActor
from onyxpass.core.loop_turn import LoopTurn
from onyxpass.core.requests import Attempt
from onyxpass.net.connection_budget import ConnectionBudget, IdleConnection
from onyxpass.net.dialer import ResourceShortageError, connect
from onyxpass.net.http import BODY_LIMIT, HOP_BY_HOP, HttpConnection, HttpError, header, read_body
from onyxpass.net.response_reader import EventSplitter, Nudged, Part, ResponseReader, Spoilt, framed
from onyxpass.scheduling.contract import (
    STALE_CONNECTION,
    STATE_LOST,
    AttemptStatus,
    HealthCheckResult,
    Idempotency,
)

# so long before the replica may close it, an idle connection is no longer used
IDLE_MARGIN_US = 1_500_000
MOST_IDLE = 24  # idle connections kept to one replica
REST_US = 50_000  # after a stream, till its connection is used again: a second answer may come late
PROBE_US = 250_000
FIRST_EVENT_TIMEOUT_US = 2_000_000  # from the head of a stream to its first event
# a begun stream that is silent for so long has stopped: good ones pause for 0.2 s
STREAM_STALL_TIMEOUT_US = 4_600_000
TAKE_US = 30_000_000  # so long a client may take nothing of what is passed on to it
# a kept connection that is of no use breaks so soon after it was written to
KEPT_BROKE_US = 250_000
RISK_BOOKING, RISK_ANY = 0.005, 0.06  # shares past which requests go out on new connections
SETTLE_US = 25_000  # till a read that was just broken off has ended for sure at the replica's side
LEASE_TRY_US = 100_000  # one try at letting go
MAY_PASS = (408, 425, 429)  # answers 4xx that say nothing against the request
log = structlog.get_logger("net")


@dataclass(frozen=True, slots=True)
class Payload:
    """A client's request as it passes on to replicas."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class Moved:
    address: Address
    left: bool = False


@dataclass(frozen=True, slots=True)
class Sweep:
    everything: bool = False


@dataclass(frozen=True, slots=True)
class Forget:
    pass


@dataclass(frozen=True, slots=True)
class Resumed:
    """A stream that the process before this one had begun to pass on."""

    wire: HttpConnection
    events: EventSplitter


class HandedOver(Exception):
    """The process that comes after this one goes on with the stream."""


class Heirs(Protocol):
    async def take(
        self, attempt: Attempt, incoming: ResponseReader, events: EventSplitter
    ) -> bool: ...


class Replica(ServerActor):
    """One replica as its own actor; exchanges run beside it, one for each connection in use."""

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
        self.connect_us, self.keep_us = connect_us, keep_us(idle_us)
        self.idle: list[IdleConnection] = []
        self.streams: set[ResponseReader] = set()  # those that wait for their next part
        self.left = False
        self.heirs: Callable[[], Heirs | None] = lambda: (
            None
        )  # who goes on with streams, once this process ends
        self.answered_us = 0  # when it last answered anything
        self.born = 0  # how often it was taken out or in: connections from before are not kept

    @property
    def finished(self) -> bool:
        """Whether it has left the list and nothing of it is under way."""
        return self.left and not (
            self.tasks or self.background_tasks or self.idle or self.mailbox.qsize()
        )

    def receive(self, message: object) -> None:
        match message:
            case Moved(address, left):
                self.left = left
                if address != self.address or left:
                    self.address = address
                    self._drop_idle(True)
            case Forget():
                self.born += 1
                self._drop_idle(True)
            case Sweep(everything):
                self._drop_idle(everything)
            case _:
                super().receive(message)

    # Connections

    def _drop_idle(self, everything: bool = False) -> None:
        now_us, kept = self.core.clock.now_us(), []
        for idle in self.idle:
            if everything or idle.wire.stale or now_us - idle.since_us >= self.keep_us:
                self._discard(idle.wire)
            else:
                kept.append(idle)
        self.idle = kept

    def _discard(self, wire: HttpConnection) -> None:
        wire.abort()
        self.budget.open -= 1

    def _reuse(self) -> HttpConnection | None:
        """The connection used last. One that may be closed by the other side soon is not used
        again.
        """
        now_us = self.core.clock.now_us()
        for idle in reversed([idle for idle in self.idle if now_us >= idle.ready_us]):
            self.idle.remove(idle)
            idle.wire.kept_us = now_us - idle.since_us
            if not idle.wire.stale and idle.wire.kept_us < self.keep_us:
                return idle.wire
            self._discard(idle.wire)
        return None

    def give_up_idle(self) -> None:
        """Close the connection that is idle for longest, in favour of another replica."""
        self._discard(self.idle.pop(0).wire)

    async def _open(self, most_us: int | None = None) -> HttpConnection:
        if self.budget.open >= self.budget.limit and not self.budget.make_room():
            raise ResourceShortageError("no descriptors left for replicas")
        self.budget.open += 1
        try:
            async with self.wheel.timeout(self.connect_us if most_us is None else most_us):
                streams = await connect(self.address.host, self.address.port)
        except BaseException:
            self.budget.open -= 1
            raise
        wire = HttpConnection(h11.CLIENT, *streams)
        wire.born = self.born
        return wire

    def _give_back(self, wire: HttpConnection, streamed: bool = False) -> None:
        """Keep the connection if both sides are ready for another request on it.

        Guards against a second answer, some milliseconds behind a stream, that answers the next
        request: what comes unasked while the connection rests is found on it, and it is closed.
        """
        if wire.h11.our_state is h11.DONE and wire.h11.their_state is h11.DONE and not wire.stale:
            wire.h11.start_next_cycle()
            # Guards against connections kept from before a drain or a ban: their other end has
            # gone.
            if (
                len(self.idle) < MOST_IDLE
                and self.core.endpoints.accepts_new_work(self.name)
                and wire.born == self.born
            ):
                now_us = self.core.clock.now_us()
                self.idle.append(IdleConnection(wire, now_us, now_us + REST_US * streamed))
                return
        self._discard(wire)

    # Exchanges

    async def run_attempt(self, attempt: Attempt, resumed: Resumed | None = None) -> None:
        """One attempt from connection to end, or the rest of one; however it ends, the core is
        told.
        """
        wire: HttpConnection | None = resumed.wire if resumed else None
        status, note, reason, written, written_us = AttemptStatus.UNREACHABLE, 0, "", False, 0
        handed_over = False
        try:
            if resumed is not None:
                written = True
                status, note, reason = await self._resume(resumed, attempt)
                return
            if self._wary(attempt) or (wire := self._reuse()) is None:
                wire = await self._open(
                    self.core.preconditions.connect_timeout_us(attempt.request, self.connect_us)
                )
            await self.wait_for_release(attempt)
            if why := self.core.preconditions.check_first_byte(
                attempt
            ):  # what has changed since it was chosen
                status, reason = AttemptStatus.NOT_SENT, why
            else:
                self._write_head(wire, attempt)
                if wire.writer.is_closing():  # the first write failed, so nothing has left
                    raise ConnectionResetError("closed before it was written")
                # Guards against a refusal of what has run: while the rest is being flushed its last
                # byte may
                # leave at any moment, also in the turn of the loop that cancels this task.
                written, written_us = True, self.core.clock.now_us()
                self.core.reservations.attempt_begun(attempt, wire.acknowledged)
                await wire.flush()
                self.core.outcomes.request_sent(attempt)
                status, note, reason = await self._answer(wire, attempt)
        except HandedOver:
            handed_over = True
        except (
            ResourceShortageError
        ) as problem:  # guards against a replica blamed for what is lacking here
            status, reason = AttemptStatus.NOT_SENT, str(problem)
        except Spoilt as problem:
            status, note, reason = AttemptStatus.RESET, STATE_LOST, f"spoilt: {problem}"
        except (HttpError, OSError, TimeoutError) as problem:
            # Only what is proven never to have been sent may be called unreachable.
            status, reason = (
                AttemptStatus.RESET if written else AttemptStatus.UNREACHABLE,
                str(problem) or "no connection",
            )
            now_us = self.core.clock.now_us()
            if (
                written
                and wire is not None
                and wire.kept_us >= 0
                and now_us - written_us < KEPT_BROKE_US
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
                # closed unless it is whole and clean
                self._give_back(wire, status is AttemptStatus.COMPLETED)
                if written and wire.kept_us >= 0:
                    self.budget.met(
                        self.core.clock.now_us(),
                        note == STALE_CONNECTION and status is AttemptStatus.RESET,
                    )
                if reason and wire.kept_us >= 0:
                    reason += f" (kept for {wire.kept_us // 1000} ms)"
            if handed_over:
                self.core.outcomes.stream_migrated(attempt)
            else:
                self.core.outcomes.attempt_ended(attempt, status, note, reason)

    def _wary(self, attempt: Attempt) -> bool:
        """Guards against bookings lost and attempts spent where kept connections break when used
        again.
        """
        booking = (
            attempt.may_generate
            and self.core.idempotency_of(attempt.request) is not Idempotency.IDEMPOTENT
        )
        return self.budget.risk_at(self.core.clock.now_us()) > (
            RISK_BOOKING if booking else RISK_ANY
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

    async def _answer(
        self, wire: HttpConnection, attempt: Attempt
    ) -> tuple[AttemptStatus, int, str]:
        incoming = ResponseReader(wire, self.wheel)
        return await self._or_spoilt(attempt, incoming, self._read_answer(incoming, attempt))

    async def _resume(self, resumed: Resumed, attempt: Attempt) -> tuple[AttemptStatus, int, str]:
        incoming = ResponseReader(resumed.wire, self.wheel)
        incoming.begun = incoming.chunked = True
        rest = self._pass_on(incoming, attempt, resumed.events, True)
        return await self._or_spoilt(attempt, incoming, rest)

    async def _or_spoilt(
        self,
        attempt: Attempt,
        incoming: ResponseReader,
        answer: Coroutine[object, object, tuple[AttemptStatus, int, str]],
    ) -> tuple[AttemptStatus, int, str]:
        try:
            return await answer
        except HttpError as problem:
            # Noise, or a break within the answer, proves that the request has run; silence proves
            # nothing.
            if incoming.begun:
                raise Spoilt(str(problem)) from problem
            raise
        finally:
            attempt.delivered = attempt.delivered or incoming.begun

    async def _read_answer(
        self, incoming: ResponseReader, attempt: Attempt
    ) -> tuple[AttemptStatus, int, str]:
        head = await incoming.next()
        while isinstance(head, h11.InformationalResponse):
            head = await incoming.next()
        if not isinstance(head, h11.Response):
            raise HttpError("closed without an answer")
        self.answered_us = self.core.clock.now_us()
        if head.status_code == 200:
            return await self._stream(incoming, attempt, head)
        text = b""
        while isinstance(part := await incoming.next(), bytes):
            text += part
            if len(text) > BODY_LIMIT:
                raise HttpError("body too large")
        if not isinstance(part, h11.EndOfMessage):
            raise HttpError("ended within a body")
        not_run = header(head, b"x-not-processed") is not None
        if head.status_code == 202:
            return AttemptStatus.PREFILLED, cached_tokens(text), ""
        if head.status_code == 410:
            return AttemptStatus.OVERLOADED, 1, "no state"
        if head.status_code in (503, 504) and not_run:
            return AttemptStatus.OVERLOADED, 0, f"status {head.status_code}"
        if 400 <= head.status_code < 500 and head.status_code not in MAY_PASS:
            return AttemptStatus.INVALID_REQUEST, 0, f"status {head.status_code}"
        return AttemptStatus.ERROR, 0, f"status {head.status_code}"

    async def _stream(
        self, incoming: ResponseReader, attempt: Attempt, head: h11.Response
    ) -> tuple[AttemptStatus, int, str]:
        """Pass whole events on as they come; served only if the stream is whole."""
        if not (header(head, b"content-type") or b"").lower().startswith(b"text/event-stream"):
            raise HttpError("not a stream of events")
        return await self._pass_on(incoming, attempt, EventSplitter(), framed(head))

    async def _pass_on(
        self, incoming: ResponseReader, attempt: Attempt, events: EventSplitter, whole_at_end: bool
    ) -> tuple[AttemptStatus, int, str]:
        client = attempt.request.client
        turn = LoopTurn(self.core.clock)
        while True:
            heirs = self.heirs()
            if (
                heirs is not None
                and attempt.committed
                and await heirs.take(attempt, incoming, events)
            ):
                raise HandedOver
            try:
                part = await self._next(
                    incoming,
                    STREAM_STALL_TIMEOUT_US if attempt.committed else FIRST_EVENT_TIMEOUT_US,
                )
            except Nudged:
                continue
            if isinstance(part, bytes):
                # Guards against noise that commits the request: only whole events reach the client.
                if not (whole := events.feed(part)):
                    continue
                if not self.core.outcomes.stream_event_received(attempt):
                    raise HttpError("nobody waits for this stream")
                # a client that takes nothing holds no replica for ever
                turn.begin_step()
                async with self.wheel.timeout(TAKE_US):
                    await client.forward(whole)
                await turn.end_step()
            elif isinstance(part, h11.EndOfMessage):
                attempt.output_tokens = events.tokens()
                if attempt.committed and whole_at_end and not events.has_partial_event:
                    return AttemptStatus.COMPLETED, 0, ""
                raise HttpError("the stream was not whole")
            else:
                raise HttpError("ended within the stream")

    async def _next(self, incoming: ResponseReader, quiet_us: int) -> Part:
        self.streams.add(incoming)
        try:
            return await incoming.next(quiet_us)
        finally:
            self.streams.discard(incoming)

    async def check_health(self) -> None:
        began_us, ok, wire = self.core.clock.now_us(), False, None
        try:
            async with self.wheel.timeout(PROBE_US):
                wire = self._reuse() or await self._open()
                if (
                    self.name in self.core.endpoints.excluded
                ):  # taken out while the connection was coming up
                    return
                wire.write(request(b"GET", b"/health/live"), h11.EndOfMessage())
                head = await wire.next_event()
                if isinstance(head, h11.Response):
                    await read_body(wire)
                    ok = head.status_code == 200
                    self.answered_us = self.core.clock.now_us()
        except ResourceShortageError:  # nothing was asked, so nothing can be told
            return
        except (HttpError, OSError, TimeoutError):
            ok = False
        finally:
            if wire is not None:
                self._give_back(wire)
        self.core.tell(HealthCheckResult(self.name, ok, self.core.clock.now_us() - began_us))

    async def let_go(self, request_id: str) -> bool:
        """Ask this replica to release all that is held; True once it has answered."""
        wire: HttpConnection | None = None
        try:
            async with self.wheel.timeout(LEASE_TRY_US):
                wire = self._reuse() or await self._open()
                target = b"/kv/leases/" + request_id.encode("ascii")
                wire.write(request(b"DELETE", target), h11.EndOfMessage())
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
                self._give_back(wire)


def keep_us(idle_us: int) -> int:
    """How long an idle connection is used, where the replica closes it after ``idle_us``."""
    return max(0, idle_us - IDLE_MARGIN_US)


def request(method: bytes, target: bytes) -> h11.Request:
    return h11.Request(method=method, target=target, headers=[(b"host", b"backend.local")])


def cached_tokens(text: bytes) -> int:
    """What a reader tells of its kept text; what can't be read counts as nothing kept."""
    try:
        return max(0, int(json.loads(text)["cached_tokens"]))
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return 0


def passed_on(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """The headers that go on to a replica: all but those of the one connection and the client's
    deadline.
    """
    return [
        (bytes(k), bytes(v)) for k, v in headers if k not in HOP_BY_HOP and k != b"x-timeout-ms"
    ]
