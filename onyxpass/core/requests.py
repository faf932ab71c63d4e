"""Requests and their attempts, and the interfaces to clients and to the fleet."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Protocol

from onyxpass.core.timer_wheel import Timer
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus


class Client(Protocol):
    """Interface to the client of a request; nothing more is called after a call that is final."""

    def has_disconnected(self) -> bool:
        """Return whether the client has left, which the kernel may know before the reader does."""

    async def forward(self, event: bytes) -> None:
        """Forward the next event of the stream; return once there is capacity for more."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of its connection that the process holds, since the client does not read them."""

    def disconnect(self) -> None:
        """Break the client's connection, which then counts as left by the client."""

    def complete(self) -> None:
        """Complete the stream; final."""

    def abort(self, reason: str) -> None:
        """Cut the stream off after it has begun; final."""

    def reject(self, retry_after_us: int) -> None:
        """Reject the request, for which a retry is harmless; final."""

    def fail(self, reason: str, late: bool) -> None:
        """Fail the request, which may have run; ``late``: its time has run out; final."""


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt at one server.

    ``timeout_us`` counts from ``sent_us`` and never passes the deadline. Times are microseconds of
    the dispatcher's own clock.
    """

    request: "Request"
    number: int
    server: str
    timeout_us: int
    sent_us: int
    timer: Timer | None = None
    unanswered_timer: Timer | None = None  # pending until its server answers, if state is reserved
    stop_status: AttemptStatus | None = None  # of a requested stop; the end follows the close
    ended: bool = False
    delivered: bool = False  # known to have reached its server: part of an answer has come
    fully_sent: bool = False  # its last byte has been sent
    status: AttemptStatus | None = None  # how it ended
    # Its server, according to the endpoint list when the attempt was created:
    may_prefill: bool = False
    may_generate: bool = True
    endpoint: contract.Endpoint | None = None
    view_number: int = 0  # of the endpoint list's view; 0 if views are not numbered
    # Its stream and its answer:
    first_event_us: int = 0  # from the send to the first event
    event_count: int = 0
    last_event_us: int = 0  # when the last event came
    longest_gap_us: int = 0  # between two events
    duration_us: int = 0  # from the send to its end
    cached_tokens: int = 0  # tokens of the prompt that a prefill found cached
    output_tokens: int = 0  # as reported by the last events; 0 if they did not

    @property
    def committed(self) -> bool:
        """Whether its stream is forwarded to the client."""
        return self.request.committed is self

    @property
    def may_have_run(self) -> bool:
        """Whether it has ended, and its server may have begun on an answer."""
        return self.status is not None and self.status.may_have_run


@dataclass(eq=False, slots=True)
class Request:
    """A client's request from its arrival until it is answered and no state is reserved for it."""

    id: str  # as the client named it
    number: int  # as the router knows it
    arrival: contract.Arrival
    client: Client
    payload: Any  # data of the front, which the core only passes on to the fleet
    arrived_us: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: Attempt | None = None  # at most one
    committed: Attempt | None = None  # the attempt whose stream the client has
    finished: bool = False  # the final answer was given, or the client has left
    adopted: bool = False  # its stream was begun by another process
    rejected: bool = False  # with the promise that nothing has run
    has_reserved_state: bool = False  # a server may have state reserved for it
    # Start of the time limit for reserved state: the end of the attempt that reserved it, or of a
    # later one that is known to have reached its server.
    reserved_since_us: int = 0
    release_task: asyncio.Task[None] | None = None  # the next send waits for its end
    state_holder: str = ""  # the server of the last prefill
    prefill_interrupted: bool = False  # the last attempt was a prefill that was interrupted
    deadline_timer: Timer | None = None

    def release(self) -> None:
        """Let go of what the request holds, once nothing more is done for it.

        Its attempts refer to it, its timers and its payload would stay in memory with them.
        """
        self.payload = None
        self.attempts = []
        self.in_flight = self.committed = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have begun on it; False of a request that was rejected."""
        return not self.rejected and any(
            attempt.status is None or attempt.status.may_have_run for attempt in self.attempts
        )


class ServerFleet(Protocol):
    """Carries out attempts and reports the end of each to ``AttemptOutcomes.attempt_ended``."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt."""

    def stop(self, attempt: Attempt) -> None:
        """Close the attempt's connection, then report its end as CANCELLED.

        An attempt of which certainly nothing was sent ends as NOT_SENT.
        """

    def release(self, request: Request, prefill_interrupted: bool) -> None:
        """Release the request's reserved state, except state that an attempt at a server waits for.

        ``prefill_interrupted``: a prefill was just interrupted and may still be ending.
        """

    def check_health(self, server: str) -> None:
        """Check the health of a server."""

    def drop_connections(self, server: str) -> None:
        """Close a server's idle connections, as it may be another process once readmitted."""
