"""Requests and their attempts, and the interfaces to clients and to the fleet."""

import asyncio
from dataclasses import dataclass, field
from typing import Any, Protocol

from onyxpass.core.timer_wheel import Timer
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus


class Client(Protocol):
    """The side that waits for one final answer. After a final call nothing more is called."""

    def has_disconnected(self) -> bool:
        """Return whether it has left, as far as the system knows; its reader may not know yet."""

    async def forward(self, event: bytes) -> None:
        """Forward the next event of the stream; return once there is capacity for more."""

    def complete(self) -> None:
        """Complete the stream; final."""

    def abort(self, reason: str) -> None:
        """Break the stream off after it has begun; final."""

    def reject(self, retry_after_us: int) -> None:
        """Reject the request, of which a retry does no harm; final."""

    def fail(self, reason: str, late: bool) -> None:
        """Fail the request, with no promise about what ran; ``late``: out of time; final."""


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
    unanswered_timer: Timer | None = None  # until its server answers, if state is reserved
    stop_status: AttemptStatus | None = None  # what it was stopped with; it ends once it is closed
    ended: bool = False
    delivered: bool = False  # its server is known to have had it: something of an answer has come
    fully_sent: bool = False  # its last byte has gone out
    status: AttemptStatus | None = None  # how it ended
    # Its server, by the endpoint list at the send:
    may_prefill: bool = False
    may_generate: bool = True
    endpoint: contract.Endpoint | None = None
    view_number: int = 0  # of the view that it was sent by; 0 where views are not numbered
    # Its stream:
    first_event_us: int = 0  # from the send to the first event
    event_count: int = 0
    last_event_us: int = 0  # when the last event came
    longest_gap_us: int = 0  # between two events
    duration_us: int = 0  # from the send to its end
    cached_tokens: int = 0  # of the prompt, as a prefill found
    output_tokens: int = 0  # as the last events reported; 0 if they did not

    @property
    def committed(self) -> bool:
        """Whether its stream is the client's."""
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
    payload: Any  # the front's own; the core passes it to the fleet unread
    arrived_us: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: Attempt | None = None  # at most one
    committed: Attempt | None = None  # the attempt whose stream the client has
    finished: bool = False  # the final answer was given, or the client has left
    has_reserved_state: bool = False  # a server may have state reserved for it
    # since when, with no attempt in between that is known to have reached a server
    reserved_since_us: int = 0
    release_task: asyncio.Task[None] | None = None  # what is sent next waits for its end
    state_holder: str = ""  # the server of the last prefill
    prefill_interrupted: bool = False  # the last attempt was a prefill that was broken off
    deadline_timer: Timer | None = None


class ServerFleet(Protocol):
    """Carries out attempts. Each started one ends in one ``AttemptOutcomes.attempt_ended``."""

    def start(self, attempt: Attempt) -> None:
        """Begin on an attempt."""

    def stop(self, attempt: Attempt) -> None:
        """Close the attempt's connection, then report its end as CANCELLED."""

    def release(self, request: Request, prefill_interrupted: bool) -> None:
        """Release all reserved state that no attempt at a server waits for.

        ``prefill_interrupted``: a prefill was just broken off, and may still be ending.
        """

    def check_health(self, server: str) -> None:
        """Check the health of a server."""

    def drop_connections(self, server: str) -> None:
        """Keep no connection to a server that was excluded, or comes back as another."""
