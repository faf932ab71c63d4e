"""Records what clients and replicas saw of requests in one trace, and checks rules on it.

Times are seconds of one monotonic clock. Each rule is a function of the whole trace that yields its
breaches and reads nothing but the trace.
"""

import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum


class EventKind(Enum):
    """What happened to a request, an attempt or a held state."""

    SENT = "asked"  # the client sent the last byte of its request
    ANSWERED = "answered"  # the client has its complete answer, or its connection ended
    RECEIVED = "received"  # the last byte of an attempt arrived at a replica
    RAN = "ran"  # the replica began to generate an answer
    CLOSED = "closed"  # the attempt is over at the replica
    HELD = "held"  # the replica holds the request's prefill state
    RELEASED = "freed"  # the state was released, or a writer took it over
    # the endpoint list, as sent to the dispatchers, says that a replica drains or takes work again
    DRAIN_ANNOUNCED = "drain told"


@dataclass(frozen=True, slots=True)
class Event:
    """An event as one side saw it."""

    at_s: float
    kind: EventKind
    request: str = ""
    server: str = ""
    # ANSWERED: the outcome, such as served, refused, failed or broken; RECEIVED and RAN: the
    # server's role; DRAIN_ANNOUNCED: "up" if the server takes work again
    detail: str = ""


@dataclass(slots=True)
class Trace:
    """Events in order of their recording; ``classes``: the traffic class of each request."""

    events: list[Event] = field(default_factory=list)
    classes: dict[str, str] = field(default_factory=dict)
    clock: Callable[[], float] = time.monotonic  # the emulator passes its simulated clock

    def record(
        self, kind: EventKind, request: str = "", server: str = "", detail: str = ""
    ) -> None:
        """Append an event that happens now."""
        self.events.append(Event(self.clock(), kind, request, server, detail))

    def events_of(self, *kinds: EventKind) -> list[Event]:
        """Return the events of these kinds in their order."""
        return [event for event in self.events if event.kind in kinds]

    def outcome_counts(self) -> Counter[str]:
        """Return the number of requests for each outcome."""
        return Counter(event.detail for event in self.events_of(EventKind.ANSWERED))


MAX_ATTEMPTS = 4
# The time allowed for attempts after a drain was announced, and for a held state after the
# request's last attempt.
DRAIN_GRACE_S, MAX_HOLD_S = 1.0, 0.3


def wrong_answer_counts(trace: Trace) -> Iterable[str]:
    """Yield requests that were not sent exactly once or do not have exactly one final answer."""
    sent = Counter(event.request for event in trace.events_of(EventKind.SENT))
    answered = Counter(event.request for event in trace.events_of(EventKind.ANSWERED))
    for request in sent.keys() | answered.keys():
        if sent[request] != 1 or answered[request] != 1:
            yield f"{request}: sent {sent[request]} times, answered {answered[request]} times"


def overlapping_attempts(trace: Trace, slack_s: float = 0.05) -> Iterable[str]:
    """Yield attempts that a server received while another attempt of their request was open.

    ``slack_s``: how long a replica may take to notice that the earlier attempt was closed.
    """
    open_attempts: dict[str, tuple[str, float]] = {}
    # by request and server of an attempt that is not closed yet: the server and the time of the
    # attempt that followed it
    superseded: dict[tuple[str, str], tuple[str, float]] = {}
    for event in trace.events_of(EventKind.RECEIVED, EventKind.CLOSED):
        key = (event.request, event.server)
        if event.kind is EventKind.CLOSED:
            if key in superseded:
                later, at_s = superseded.pop(key)
                if event.at_s - at_s > slack_s:
                    yield f"{event.request}: sent to {later} while still open at {event.server}"
            elif open_attempts.get(event.request, ("", 0.0))[0] == event.server:
                del open_attempts[event.request]
            continue
        if event.request in open_attempts:
            superseded[event.request, open_attempts[event.request][0]] = (event.server, event.at_s)
        open_attempts[event.request] = (event.server, event.at_s)
    for (request, server), (later, _) in superseded.items():
        yield f"{request}: sent to {later} while still open at {server}, which never saw its end"


def excess_attempts(trace: Trace) -> Iterable[str]:
    """Yield requests with more than ``MAX_ATTEMPTS`` attempts."""
    for request, count in Counter(
        event.request for event in trace.events_of(EventKind.RECEIVED)
    ).items():
        if count > MAX_ATTEMPTS:
            yield f"{request}: {count} attempts"


def repeated_bookings(trace: Trace, bookings: frozenset[str]) -> Iterable[str]:
    """Yield requests of the traffic classes ``bookings`` that ran more than once."""
    for request, count in Counter(
        event.request for event in trace.events_of(EventKind.RAN)
    ).items():
        if count > 1 and trace.classes.get(request) in bookings:
            yield f"{request}: ran {count} times"


def executed_refusals(trace: Trace, bookings: frozenset[str]) -> Iterable[str]:
    """Yield requests of the traffic classes ``bookings`` that were refused and yet ran.

    A refusal says that the request has not run.
    """
    ran = {event.request for event in trace.events_of(EventKind.RAN)}
    for event in trace.events_of(EventKind.ANSWERED):
        if (
            event.detail == "refused"
            and event.request in ran
            and trace.classes.get(event.request) in bookings
        ):
            yield f"{event.request}: refused, and ran"


def attempts_after_drain(trace: Trace, slack_s: float = 0.05) -> Iterable[str]:
    """Yield attempts that a server received over 1 s and the slack after its drain announcement."""
    announced_s: dict[str, float] = {}
    for event in trace.events_of(EventKind.DRAIN_ANNOUNCED, EventKind.RECEIVED):
        # the server takes work again
        if event.kind is EventKind.DRAIN_ANNOUNCED and event.detail == "up":
            announced_s.pop(event.server, None)
        elif event.kind is EventKind.DRAIN_ANNOUNCED:
            announced_s.setdefault(event.server, event.at_s)
        elif (
            event.server in announced_s
            and event.at_s - announced_s[event.server] > DRAIN_GRACE_S + slack_s
        ):
            late_s = event.at_s - announced_s[event.server]
            yield f"{event.request}: at {event.server} {late_s:.2f} s after its drain"


def overlong_holds(trace: Trace, slack_s: float = 0.35) -> Iterable[str]:
    """Yield requests whose state stayed held over 300 ms and the slack with no attempt open."""
    held: dict[str, float] = {}
    open_attempts: Counter[str] = Counter()
    idle_since_s: dict[str, float] = defaultdict(float)
    end_s = trace.events[-1].at_s if trace.events else 0.0

    def is_overdue(request: str, now_s: float) -> bool:
        return (
            request in held
            and not open_attempts[request]
            and now_s - idle_since_s[request] > MAX_HOLD_S + slack_s
        )

    for event in trace.events_of(
        EventKind.HELD, EventKind.RELEASED, EventKind.RECEIVED, EventKind.CLOSED
    ):
        request = event.request
        if is_overdue(request, event.at_s):
            held_s = event.at_s - idle_since_s[request]
            yield f"{request}: held for {held_s:.2f} s with no open attempt"
            del held[request]
        if event.kind is EventKind.HELD:
            held[request] = event.at_s
            idle_since_s[request] = max(idle_since_s[request], event.at_s)
        elif event.kind is EventKind.RELEASED:
            held.pop(request, None)
        elif event.kind is EventKind.RECEIVED:
            open_attempts[request] += 1
        else:
            open_attempts[request] -= 1
            idle_since_s[request] = event.at_s
    for request in held:
        if is_overdue(request, end_s):
            yield f"{request}: still held at the end"


def breaches(trace: Trace, bookings: Iterable[str] = ("stock-booking",)) -> list[str]:
    """Return every breach of every rule, each prefixed with the name of its rule.

    ``bookings``: the traffic classes whose requests must not run twice.
    """
    booking_classes = frozenset(bookings)
    rules: dict[str, Callable[[], Iterable[str]]] = {
        "one final answer": lambda: wrong_answer_counts(trace),
        "no overlap": lambda: overlapping_attempts(trace),
        "attempts": lambda: excess_attempts(trace),
        "bookings once": lambda: repeated_bookings(trace, booking_classes),
        "refusals": lambda: executed_refusals(trace, booking_classes),
        "drains": lambda: attempts_after_drain(trace),
        "held": lambda: overlong_holds(trace),
    }
    return [f"{name}: {breach}" for name, rule in rules.items() for breach in rule()]
