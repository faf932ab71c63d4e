"""The requests of a dispatcher, from their arrival until nothing is in flight for them."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple

from onyxpass.core.clock import Clock
from onyxpass.core.request_ids import RequestIdTable
from onyxpass.core.requests import Request
from onyxpass.invariants import InvariantChecker

NUMBER_BITS = 52  # JSON readers may hold numbers as floats, which are exact up to here


class InFlightSummary(NamedTuple):
    """Requests without a final answer, how many of them stream, and the age of the oldest."""

    requests: int
    streams: int
    oldest_us: int


class RequestRegistry:
    """Owns the requests in progress, by the router's number and by the client's id."""

    def __init__(self, clock: Clock, invariants: InvariantChecker) -> None:
        self.by_number: dict[int, Request] = {}
        self.by_id: dict[str, Request] = {}  # a request whose id is already in here is a duplicate
        self.ids = RequestIdTable(clock.now_us)  # of requests that are open or may have run
        self.on_idle: Callable[[], None] | None = None  # called when the last request is removed
        self._recently_finished: list[Request] = []
        self._clock = clock
        self._invariants = invariants

    def allocate_number(self, request_id: str) -> int:
        """Return an unused number below 2^52 for the router, evenly distributed over the ids."""
        digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
        number = int.from_bytes(digest, "big") >> (64 - NUMBER_BITS)
        while number in self.by_number:
            number = (number + 1) % 2**NUMBER_BITS
        return number

    def add(self, request: Request) -> None:
        """Register a request under its number and its id."""
        self.by_number[request.number] = request
        self.by_id[request.id] = request

    def finish(self, request: Request) -> None:
        """Mark a request as answered or abandoned; it stays registered until it is removed."""
        request.finished = True
        self._recently_finished.append(request)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    def take_recently_finished(self) -> list[Request]:
        """Return the requests finished since the last call."""
        finished = self._recently_finished
        self._recently_finished = []
        return finished

    def remove(self, request: Request | None) -> None:
        """Remove a request if it is still the one registered under its number."""
        if request is None or self.by_number.get(request.number) is not request:
            return
        del self.by_number[request.number]
        if self.by_id.get(request.id) is request:
            del self.by_id[request.id]
            if not request.may_have_run and not request.adopted:
                self.ids.release(request.id)
            self._invariants.record_removal(request.id)
        request.release()
        if not self.by_number and self.on_idle is not None:
            self.on_idle()

    def unfinished(self) -> list[Request]:
        """Return a new list of the requests that have no final answer yet."""
        return [request for request in self.by_number.values() if not request.finished]

    def in_flight_summary(self) -> InFlightSummary:
        """Summarize the requests without a final answer; the age is in microseconds."""
        unfinished = self.unfinished()
        now_us = self._clock.now_us()
        oldest_us = min((request.arrived_us for request in unfinished), default=now_us)
        streams = sum(request.committed is not None for request in unfinished)
        return InFlightSummary(len(unfinished), streams, max(0, now_us - oldest_us))
