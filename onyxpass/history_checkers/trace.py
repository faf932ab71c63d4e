"""What was seen at both ends, clients and replicas, in one order; and the rules, checked on it.

Times are seconds of one monotonic clock. Each rule is a function of the whole trace and returns its
breaches; none looks at anything but the trace.
"""

import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum


class EventKind(Enum):
    """What happened to a request, an attempt or a state."""

    SENT = "asked"  # the client's last byte went out
    ANSWERED = "answered"  # its final answer came whole, or its connection ended
    RECEIVED = "received"  # the last byte of an attempt came to a replica
    RAN = "ran"  # the replica began on an answer
    CLOSED = "closed"  # the attempt is over at the replica
    HELD = "held"  # a read state is held there
    RELEASED = "freed"  # it was let go, or taken by a writer
    DRAIN_ANNOUNCED = (
        "drain told"  # the list, as written to a dispatcher, says that a replica drains
    )


@dataclass(frozen=True, slots=True)
class Event:
    """One thing that one end saw."""

    at_s: float
    kind: EventKind
    request: str = ""
    server: str = ""
    # of ANSWERED: served, refused, failed or broken; of RECEIVED and RAN: the role
    detail: str = ""


@dataclass(slots=True)
class Trace:
    """``classes``: of each request that was asked."""

    events: list[Event] = field(default_factory=list)
    classes: dict[str, str] = field(default_factory=dict)
    clock: Callable[[], float] = time.monotonic  # the emulator has its own

    def record(
        self, kind: EventKind, request: str = "", server: str = "", detail: str = ""
    ) -> None:
        """Record an event of this moment."""
        self.events.append(Event(self.clock(), kind, request, server, detail))

    def events_of(self, *kinds: EventKind) -> list[Event]:
        """Return the events of these kinds, in their order."""
        return [event for event in self.events if event.kind in kinds]

    def outcome_counts(self) -> Counter[str]:
        """Return how many requests ended in which way."""
        return Counter(event.detail for event in self.events_of(EventKind.ANSWERED))


ATTEMPTS_MOST = 4
DRAIN_S, HELD_S = 1.0, 0.3


def one_answer(trace: Trace) -> Iterable[str]:
    """Find requests that were asked and have not one final answer, or the other way round."""
    asked = Counter(event.request for event in trace.events_of(EventKind.SENT))
    answered = Counter(event.request for event in trace.events_of(EventKind.ANSWERED))
    for request in asked.keys() | answered.keys():
        if asked[request] != 1 or answered[request] != 1:
            yield f"{request}: asked {asked[request]} times, answered {answered[request]} times"


def no_overlap(trace: Trace, slack_s: float = 0.05) -> Iterable[str]:
    """Find attempts that were out beside another one of their request.

    ``slack_s``: for a replica to notice a close before the next attempt.
    """
    out: dict[str, tuple[str, float]] = {}
    # not seen closed yet, and what came after it when
    before: dict[tuple[str, str], tuple[str, float]] = {}
    for event in trace.events_of(EventKind.RECEIVED, EventKind.CLOSED):
        key = (event.request, event.server)
        if event.kind is EventKind.CLOSED:
            if key in before:
                later, at_s = before.pop(key)
                if event.at_s - at_s > slack_s:
                    yield f"{event.request}: at {later} while it was out at {event.server}"
            elif out.get(event.request, ("", 0.0))[0] == event.server:
                del out[event.request]
            continue
        if event.request in out:
            before[event.request, out[event.request][0]] = (event.server, event.at_s)
        out[event.request] = (event.server, event.at_s)
    for (request, server), (later, _) in before.items():
        yield f"{request}: at {later} while it was out at {server}, which never saw its end"


def few_attempts(trace: Trace) -> Iterable[str]:
    """Find requests with more attempts than are allowed."""
    for request, count in Counter(
        event.request for event in trace.events_of(EventKind.RECEIVED)
    ).items():
        if count > ATTEMPTS_MOST:
            yield f"{request}: {count} attempts"


def bookings_once(trace: Trace, bookings: frozenset[str]) -> Iterable[str]:
    """Find bookings that ran more than once."""
    for request, count in Counter(
        event.request for event in trace.events_of(EventKind.RAN)
    ).items():
        if count > 1 and trace.classes.get(request) in bookings:
            yield f"{request}: ran {count} times"


def refused_never_ran(trace: Trace, bookings: frozenset[str]) -> Iterable[str]:
    """Find bookings that were refused, which says that they have not run, and ran."""
    ran = {event.request for event in trace.events_of(EventKind.RAN)}
    for event in trace.events_of(EventKind.ANSWERED):
        if (
            event.detail == "refused"
            and event.request in ran
            and trace.classes.get(event.request) in bookings
        ):
            yield f"{event.request}: refused, and ran"


def drains_kept(trace: Trace, slack_s: float = 0.05) -> Iterable[str]:
    """Find what came to a server later than 1 s after its drain was told."""
    told: dict[str, float] = {}
    for event in trace.events_of(EventKind.DRAIN_ANNOUNCED, EventKind.RECEIVED):
        if event.kind is EventKind.DRAIN_ANNOUNCED and event.detail == "up":  # it takes work again
            told.pop(event.server, None)
        elif event.kind is EventKind.DRAIN_ANNOUNCED:
            told.setdefault(event.server, event.at_s)
        elif event.server in told and event.at_s - told[event.server] > DRAIN_S + slack_s:
            late_s = event.at_s - told[event.server]
            yield f"{event.request}: at {event.server} {late_s:.2f} s after its drain"


def held_briefly(trace: Trace, slack_s: float = 0.35) -> Iterable[str]:
    """Find state that was not used or let go within 300 ms of the last attempt's end."""
    held: dict[str, float] = {}
    out: Counter[str] = Counter()
    idle_since: dict[str, float] = defaultdict(float)
    end_s = trace.events[-1].at_s if trace.events else 0.0

    def late(request: str, now_s: float) -> bool:
        return (
            request in held and not out[request] and now_s - idle_since[request] > HELD_S + slack_s
        )

    for event in trace.events_of(
        EventKind.HELD, EventKind.RELEASED, EventKind.RECEIVED, EventKind.CLOSED
    ):
        request = event.request
        if late(request, event.at_s):
            held_s = event.at_s - idle_since[request]
            yield f"{request}: held for {held_s:.2f} s with no attempt out"
            del held[request]
        if event.kind is EventKind.HELD:
            held[request] = event.at_s
            idle_since[request] = max(idle_since[request], event.at_s)
        elif event.kind is EventKind.RELEASED:
            held.pop(request, None)
        elif event.kind is EventKind.RECEIVED:
            out[request] += 1
        else:
            out[request] -= 1
            idle_since[request] = event.at_s
    for request in held:
        if late(request, end_s):
            yield f"{request}: still held at the end"


def breaches(trace: Trace, bookings: Iterable[str] = ("stock-booking",)) -> list[str]:
    """Return every breach of every rule, each with the rule's name."""
    never_twice = frozenset(bookings)
    rules: dict[str, Callable[[], Iterable[str]]] = {
        "one final answer": lambda: one_answer(trace),
        "no overlap": lambda: no_overlap(trace),
        "attempts": lambda: few_attempts(trace),
        "bookings once": lambda: bookings_once(trace, never_twice),
        "refusals": lambda: refused_never_ran(trace, never_twice),
        "drains": lambda: drains_kept(trace),
        "held": lambda: held_briefly(trace),
    }
    return [f"{name}: {breach}" for name, rule in rules.items() for breach in rule()]
