"""Emulated servers: readers prefill prompts, writers decode answers.

A reader prefills one prompt at a time, first come first served, and skips the prefix that is in its
cache. A writer works in steps: each step produces one token of every open answer, and takes longer
the more answers are open and the longer their contexts are. A prefill state is transferred from the
reader to the writer over the reader's port or, out of the cell, over the cell's link; concurrent
transfers share the bandwidth evenly.
"""

import math
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

from onyxpass.emulator.events import EventQueue, Rank, ScheduledEvent
from onyxpass.emulator.processor_sharing import ServiceJob, SharedCapacity
from onyxpass.emulator.topology import ServerProfile, Site
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

TOKEN_TOLERANCE = 1e-6


class TransferDistance(Enum):
    """The widest boundary that a state transfer crosses; the values are names in the results."""

    SAME_SERVER = "same server"
    SAME_CELL = "same cell"
    OTHER_CELL = "other cell"
    OTHER_ZONE = "other zone"
    OTHER_REGION = "other region"


def region_of(zone: str) -> str:
    """Return the region of a zone named ``region/zone``; empty for a zone without a region."""
    return zone.partition("/")[0] if "/" in zone else ""


def transfer_distance(
    source: contract.Endpoint, destination: contract.Endpoint
) -> TransferDistance:
    if source.id == destination.id:
        return TransferDistance.SAME_SERVER
    if region_of(source.zone) != region_of(destination.zone):
        return TransferDistance.OTHER_REGION
    if source.zone != destination.zone:
        return TransferDistance.OTHER_ZONE
    return (
        TransferDistance.SAME_CELL
        if source.cell == destination.cell
        else TransferDistance.OTHER_CELL
    )


@dataclass(eq=False, slots=True)
class ServerRequest:
    """One request as servers see it; ``key`` is unique in the whole simulation."""

    key: str
    session: str
    prefix: str | None
    prompt_tokens: int
    prefix_tokens: int
    output_tokens: int  # length of the answer, which is known to the emulator only
    traffic_class: str


@dataclass(eq=False, slots=True)
class ServerAttempt:
    """One attempt at one server.

    ``on_end`` is called once at most; ``on_first_token`` when the first token is sent.
    """

    request: ServerRequest
    on_end: Callable[[AttemptStatus, int], None]
    on_first_token: Callable[[], None]
    closed: bool = False
    streaming: bool = False  # the answer has begun to stream
    decode_job: ServiceJob | None = None
    transfer_job: ServiceJob | None = None
    link: SharedCapacity | None = None
    timer: ScheduledEvent | None = None
    produced_tokens: int = 0  # tokens decoded before it was evicted
    context_tokens: int = 0


@dataclass(eq=False, slots=True)
class PrefillState:
    """A prefill result, in its reader's memory until a writer has fetched it or it is released."""

    reader: "Server"
    tokens: int


class PrefixCache:
    """Cached prompt prefixes of a server; the least recently used are evicted first."""

    def __init__(self, max_tokens: int) -> None:
        self.max_tokens, self.total_tokens = max_tokens, 0
        self.entries: OrderedDict[str, int] = OrderedDict()

    def cached_tokens(self, request: ServerRequest) -> int:
        """Return how many tokens at the start of the prompt are cached; at least one is not."""
        best = 0
        for key, limit in (
            ("s" + request.session, request.prompt_tokens),
            ("p" + (request.prefix or ""), request.prefix_tokens),
        ):
            if key in self.entries:
                self.entries.move_to_end(key)
                best = max(best, min(self.entries[key], limit))
        return min(best, max(0, request.prompt_tokens - 1))

    def store(self, key: str, tokens: int) -> None:
        self.total_tokens += tokens - self.entries.pop(key, 0)
        self.entries[key] = tokens
        while self.total_tokens > self.max_tokens and len(self.entries) > 1:
            self.total_tokens -= self.entries.popitem(last=False)[1]

    def clear(self) -> None:
        self.entries.clear()
        self.total_tokens = 0


class Server:
    """An emulated reader, writer or mixed server.

    ``states``: prefill states of all servers, by request key. ``links``: by cell, the link for
    transfers out of the cell.
    """

    def __init__(
        self,
        queue: EventQueue,
        site: Site,
        kind: ServerProfile,
        endpoint: contract.Endpoint,
        states: dict[str, PrefillState],
        links: dict[int, SharedCapacity],
    ) -> None:
        self.queue, self.site, self.kind, self.endpoint = queue, site, kind, endpoint
        self.states, self.links = states, links
        self.up, self.overloaded = True, False
        self.slowdown = 1.0  # factor on the duration of prefills and decode steps
        self.started_us: int | None = None
        # Decaying sum of the work received while cold, in seconds at full speed.
        self.recent_work_s, self.work_updated_us = 0.0, 0
        self.prefix_cache = PrefixCache(kind.memory_tokens)
        self.state_tokens = 0  # tokens of prefill states in its memory
        self.prefill_queue: deque[ServerAttempt] = deque()
        self.prefilling: ServerAttempt | None = None
        self.port = SharedCapacity(queue, lambda n: site.port_rate / n)
        self.decode_capacity = SharedCapacity(queue, self._token_rate)
        self.decoding: dict[ServerAttempt, None] = {}  # in order of their start
        # Sum over the open answers of the context length at the start of decoding minus the virtual
        # time at that moment; ``_used_tokens`` adds the present virtual time of each.
        self.context_tokens = 0.0
        # Attempts whose state is being transferred or whose prefill is repeated.
        self.preparing: dict[ServerAttempt, None] = {}
        self.overflow_event: ScheduledEvent | None = None
        self.prefill_count = self.repeated_prefill_count = self.decoded_tokens = 0
        self.transferred_tokens = Counter[TransferDistance]()
        # Attempts that wait for a decode slot and for memory.
        self.decode_queue: deque[ServerAttempt] = deque()

    # Speed

    def speed_factor(self) -> float:
        """Return the present speed as a share of full speed; it rises linearly during warm-up."""
        if self.started_us is None:
            return 1.0 / self.slowdown
        age = (self.queue.now_us - self.started_us) / self.site.warmup_us
        warmth = self.site.cold_speed_factor + (1 - self.site.cold_speed_factor) * min(
            1.0, max(0.0, age)
        )
        return warmth / self.slowdown

    def _token_rate(self, n: int) -> float:
        """Return the tokens per second of each of ``n`` open answers."""
        context_tokens = self.context_tokens + n * self.decode_capacity.virtual_time
        step_us = (
            self.kind.step_us
            + n * self.kind.step_us_per_answer
            + context_tokens / 1000 * self.kind.step_us_per_1k_context
        )
        return 1e6 / step_us * self.speed_factor()

    # Attempts from dispatchers

    def receive(self, attempt: ServerAttempt) -> None:
        """Accept an attempt whose last byte has arrived, or end it at once."""
        if not self.up or self.overloaded:
            attempt.on_end(AttemptStatus.UNREACHABLE, 0)
            return
        self._check_cold_overload(attempt)
        if self.overloaded:
            attempt.on_end(AttemptStatus.RESET, 0)
        elif attempt.request.key in self.states or self.kind.role is contract.Role.DECODE:
            self._enqueue_decode(attempt)
        else:
            self._enqueue_prefill(attempt)

    def _check_cold_overload(self, attempt: ServerAttempt) -> None:
        """Crash a cold server that receives more work than a multiple of its present speed.

        It stays unreachable until it is started again.
        """
        if self.started_us is None or self.queue.now_us - self.started_us >= self.site.warmup_us:
            return
        now_us = self.queue.now_us
        self.recent_work_s *= math.exp(
            -(now_us - self.work_updated_us) / self.site.overload_window_us
        )
        self.work_updated_us = now_us
        if self.kind.role is contract.Role.DECODE:
            self.recent_work_s += (
                attempt.request.output_tokens
                * (self.kind.step_us / max(1, self.kind.slots) + self.kind.step_us_per_answer)
                / 1e6
            )
        else:
            self.recent_work_s += (
                attempt.request.prompt_tokens - self.prefix_cache.cached_tokens(attempt.request)
            ) / self.kind.prefill_rate
        if (
            self.recent_work_s
            > self.site.overload_multiple * self.speed_factor() * self.site.overload_window_us / 1e6
            + 1.0
        ):
            self.crash()
            self.overloaded = True

    def _enqueue_prefill(self, attempt: ServerAttempt) -> None:
        if (
            len(self.prefill_queue) + (self.prefilling is not None)
            >= self.kind.slots + self.kind.queue_limit
        ):
            attempt.on_end(AttemptStatus.OVERLOADED, 0)
            return
        self.prefill_queue.append(attempt)
        self._start_next_prefill()

    def _start_next_prefill(self) -> None:
        while self.up and self.prefilling is None and self.prefill_queue:
            attempt = self.prefill_queue.popleft()
            if attempt.closed:
                continue
            request = attempt.request
            if (
                self.state_tokens + request.prompt_tokens > self.kind.memory_tokens
                and self.state_tokens
            ):
                self.prefill_queue.appendleft(attempt)  # until a state is fetched or released
                return
            self.prefilling = attempt
            cached_tokens = self.prefix_cache.cached_tokens(request)
            duration_us = (
                self.kind.step_us
                + (request.prompt_tokens - cached_tokens) / self.kind.prefill_rate * 1e6
            )
            duration_us /= self.speed_factor()
            attempt.timer = self.queue.schedule_after(
                duration_us, Rank.SERVER, partial(self._finish_prefill, attempt, cached_tokens)
            )

    def _finish_prefill(self, attempt: ServerAttempt, cached_tokens: int) -> None:
        request, self.prefilling = attempt.request, None
        self.prefill_count += 1
        if request.prefix:
            self.prefix_cache.store("p" + request.prefix, request.prefix_tokens)
        self.prefix_cache.store("s" + request.session, request.prompt_tokens)
        self.state_tokens += request.prompt_tokens
        self.states[request.key] = PrefillState(self, request.prompt_tokens)
        if self.kind.role is contract.Role.MIXED:  # a mixed server decodes what it has prefilled
            self._enqueue_decode(attempt)
        else:
            attempt.closed = True
            attempt.on_end(AttemptStatus.PREFILLED, cached_tokens)
        self._start_next_prefill()

    def release_state(self, key: str) -> None:
        """Release the prefill state of a request."""
        if (state := self.states.pop(key, None)) is not None:
            state.reader.state_tokens -= state.tokens
            state.reader._start_next_prefill()

    # Decode

    def _enqueue_decode(self, attempt: ServerAttempt) -> None:
        if attempt.request.key not in self.states:
            attempt.on_end(AttemptStatus.OVERLOADED, contract.STATE_LOST)
            return
        if (
            len(self.decoding) + len(self.preparing) >= self.kind.slots
            and len(self.decode_queue) >= self.kind.queue_limit
        ):
            attempt.on_end(AttemptStatus.OVERLOADED, 0)
            return
        self.decode_queue.append(attempt)
        self._start_next_decodes()

    def _used_tokens(self) -> float:
        return self.context_tokens + len(self.decoding) * self.decode_capacity.virtual_time

    def _start_next_decodes(self) -> None:
        while (
            self.up
            and self.decode_queue
            and len(self.decoding) + len(self.preparing) < self.kind.slots
        ):
            attempt = self.decode_queue[0]
            if attempt.closed:
                self.decode_queue.popleft()
                continue
            needed_tokens = attempt.request.prompt_tokens + attempt.produced_tokens
            if self._used_tokens() + needed_tokens > self.kind.memory_tokens and (
                self.decoding or self.preparing
            ):
                return
            self.decode_queue.popleft()
            state = self.states.get(attempt.request.key)
            if attempt.streaming:  # it was evicted when memory ran out
                self.preparing[attempt] = None
                duration_us = needed_tokens / self.kind.prefill_rate * 1e6 / self.speed_factor()
                self.repeated_prefill_count += 1
                attempt.timer = self.queue.schedule_after(
                    duration_us,
                    Rank.SERVER,
                    lambda v=attempt: self._begin_decode(v),  # type: ignore[misc]
                )
            elif state is None:
                attempt.closed = True
                attempt.on_end(AttemptStatus.OVERLOADED, contract.STATE_LOST)
            else:
                self.preparing[attempt] = None
                self._fetch_state(attempt, state)

    def _fetch_state(self, attempt: ServerAttempt, state: PrefillState) -> None:
        """Start the transfer of a state to this server.

        A transfer within the cell uses the reader's port and one out of the cell the link of the
        reader's cell; a transfer to another hall takes longer for each token.
        """
        reader, size = state.reader, float(state.tokens)
        self.transferred_tokens[transfer_distance(reader.endpoint, self.endpoint)] += state.tokens
        if reader is self:
            size, attempt.link = 0.0, self.port
        elif reader.endpoint.cell == self.endpoint.cell:
            attempt.link = reader.port
        else:
            attempt.link = self.links[reader.endpoint.cell]
            if reader.endpoint.zone != self.endpoint.zone:
                size *= self.site.cross_hall_factor
        attempt.transfer_job = attempt.link.add(size, lambda: self._finish_fetch(attempt))

    def _finish_fetch(self, attempt: ServerAttempt) -> None:
        attempt.transfer_job = None
        if (
            attempt.request.key not in self.states
        ):  # its reader crashed during the transfer, or it was released
            del self.preparing[attempt]
            attempt.closed = True
            attempt.on_end(AttemptStatus.OVERLOADED, contract.STATE_LOST)
            self._start_next_decodes()
            return
        self.release_state(attempt.request.key)
        self._begin_decode(attempt)

    def _begin_decode(self, attempt: ServerAttempt) -> None:
        del self.preparing[attempt]
        attempt.timer = None
        attempt.context_tokens = attempt.request.prompt_tokens + attempt.produced_tokens
        self.decoding[attempt] = None
        self.decode_capacity._advance()
        self.context_tokens += attempt.context_tokens - self.decode_capacity.virtual_time
        remaining = max(1, attempt.request.output_tokens - attempt.produced_tokens)
        attempt.decode_job = self.decode_capacity.add(
            remaining, lambda: self._finish_decode(attempt)
        )
        if not attempt.streaming:
            attempt.streaming = True
            step_us = 1e6 / self._token_rate(len(self.decoding))
            self.queue.schedule_after(
                step_us, Rank.SERVER, lambda: None if attempt.closed else attempt.on_first_token()
            )
        self._schedule_overflow()
        self._start_next_decodes()

    def _end_decode(self, attempt: ServerAttempt, served: float) -> None:
        """Free the memory of the attempt's context and of its decoded tokens."""
        del self.decoding[attempt]
        self.context_tokens -= attempt.context_tokens + served - self.decode_capacity.virtual_time
        self.decoded_tokens += round(served)
        self.decode_capacity.update_rate()
        self._schedule_overflow()

    def _schedule_overflow(self) -> None:
        """Schedule the moment at which memory runs out if nothing changes, up to 30 s ahead."""
        if self.overflow_event is not None:
            self.overflow_event.cancel()
            self.overflow_event = None
        count = len(self.decoding)
        if count < 2:
            return
        remaining = (self.kind.memory_tokens - self._used_tokens()) / count
        rate = self._token_rate(count)
        if remaining / rate < 30.0:
            self.overflow_event = self.queue.schedule_after(
                max(0.0, remaining / rate * 1e6) + 1, Rank.SERVER, self._evict_newest_decode
            )

    def _evict_newest_decode(self) -> None:
        """Return the newest answer to the queue; its prefill is repeated on this server."""
        self.overflow_event = None
        self.decode_capacity._advance()
        if (
            self._used_tokens() < self.kind.memory_tokens - TOKEN_TOLERANCE
            or len(self.decoding) < 2
        ):
            self._schedule_overflow()
            return
        attempt = next(reversed(self.decoding))
        assert attempt.decode_job is not None
        served = self.decode_capacity.remove(attempt.decode_job)
        attempt.decode_job = None
        attempt.produced_tokens += round(served)
        self._end_decode(attempt, served)
        self.decode_queue.appendleft(attempt)

    def _finish_decode(self, attempt: ServerAttempt) -> None:
        attempt.closed = True
        remaining = max(1, attempt.request.output_tokens - attempt.produced_tokens)
        self._end_decode(attempt, remaining)
        attempt.on_end(AttemptStatus.COMPLETED, 0)
        self._start_next_decodes()

    def cancel(self, attempt: ServerAttempt) -> None:
        """Stop the work on an attempt that its dispatcher has closed."""
        if attempt.closed:
            return
        attempt.closed = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        if self.prefilling is attempt:
            self.prefilling = None
            self._start_next_prefill()
        elif attempt.transfer_job is not None and attempt.link is not None:
            attempt.link.remove(attempt.transfer_job)
            attempt.transfer_job = None
            del self.preparing[attempt]
            self._start_next_decodes()
        elif attempt.decode_job is not None:
            self._end_decode(attempt, self.decode_capacity.remove(attempt.decode_job))
            self._start_next_decodes()
        elif attempt in self.preparing:
            del self.preparing[attempt]
            self._start_next_decodes()

    # Faults

    def crash(self) -> None:
        """Stop the process: attempts, states and cache are lost, and connections are reset."""
        self.up = False
        attempts = (
            self.prefilling,
            *self.prefill_queue,
            *self.decode_queue,
            *self.preparing,
            *self.decoding,
        )
        for attempt in [v for v in attempts if v is not None and not v.closed]:
            self.cancel(attempt)
            attempt.on_end(AttemptStatus.RESET, 0)
        self.prefill_queue.clear()
        self.decode_queue.clear()
        for key in [key for key, state in self.states.items() if state.reader is self]:
            del self.states[key]
        self.state_tokens = 0
        self.prefix_cache.clear()

    def start(self) -> None:
        """Start the process again, empty and cold."""
        self.up, self.overloaded, self.recent_work_s = True, False, 0.0
        self.started_us = self.queue.now_us
