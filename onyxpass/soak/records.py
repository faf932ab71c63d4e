"""What a soak saw: every request from its client's side, and when each party was troubled."""

from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field

from onyxpass.history_checkers.trace import Trace
from onyxpass.soak.schedule import Kind

# A stream that was asked for so long after SIGTERM, or earlier, may meet SIGKILL.
LAST_TAKEN_S = 0.7
NOT_RUN = "not run by the machine"
STREAM_MOST_S = 30.0  # no stream of a soak takes longer
# Faults of a server or the way to it by what they may do to what is sent.
DELAYS = frozenset(kind.value for kind in (Kind.STALL, Kind.DELAY, Kind.PIECES, Kind.CUT))
LOSES_ANSWERS = DELAYS | {Kind.RESET.value, Kind.RESTART.value}
TROUBLES = frozenset(kind.value for kind in Kind) - {Kind.DRAIN.value}


@dataclass(slots=True)
class Asked:
    """One request as its client knows it. Times are seconds of one monotonic clock."""

    request: str
    traffic_class: str
    dispatcher: int
    wait_s: float  # how long the client waits for the first event
    asked_s: float = 0.0  # its last byte went out
    ended_s: float = 0.0
    first_s: float = 0.0  # the first event came
    status: int = 0
    events: int = 0
    end: str = ""  # served, refused, failed, broken, left
    left_s: float = 0.0  # when the client closed, if it did not stay
    again: bool = False  # its client sent it once more, on a new connection
    on_new_connection: bool = False  # the last time that it was sent


@dataclass(frozen=True, slots=True)
class Told:
    """The time that an attempt told its replica, as it came there."""

    request: str
    server: str
    at_s: float
    told_s: float


@dataclass(frozen=True, slots=True)
class BadClient:
    """A client that said half a request or nothing, and stayed until it was ended."""

    manner: str
    dispatcher: int
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class Span:
    """For how long a party was troubled, and by what; seconds of the monotonic clock."""

    since_s: float
    until_s: float
    what: str

    def meets(self, since_s: float, until_s: float) -> bool:
        """Return whether it and that time have a moment in common."""
        return self.since_s <= until_s and since_s <= self.until_s


@dataclass(slots=True)
class Records:
    """All that one soak saw; ``dispatchers`` and ``replicas``: when each was troubled."""

    trace: Trace
    asked: dict[str, Asked] = field(default_factory=dict)
    told: list[Told] = field(default_factory=list)
    dispatchers: dict[int, list[Span]] = field(default_factory=lambda: defaultdict(list))
    replicas: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))
    discovery: list[Span] = field(default_factory=list)
    bad_clients: list[BadClient] = field(default_factory=list)
    lag_s: float = 0.0  # the longest that this process itself was kept from running
    # of the processes: ends, log lines, violations
    problems: list[str] = field(default_factory=list)
    not_run_s: float = 0.0  # for how long processes were kept from running, in all

    def troubled(self, dispatcher: int, since_s: float, until_s: float, *whats: str) -> bool:
        """Return whether a dispatcher was troubled then, by one of ``whats`` if any are named."""
        spans = self.dispatchers.get(dispatcher, ())
        return any(
            span.meets(since_s, until_s) and (not whats or span.what in whats) for span in spans
        )

    def unserved_s(self, dispatcher: int, since_s: float, until_s: float) -> float:
        """Return for how long of that time no process took a dispatcher's connections."""
        return sum(
            min(span.until_s, until_s) - max(span.since_s, since_s)
            for span in self.dispatchers.get(dispatcher, ())
            if span.what == "no process" and span.meets(since_s, until_s)
        )

    def ended_by_kill(self, dispatcher: int, asked_s: float) -> bool:
        """Return whether SIGKILL may have met a stream that was asked for in time."""
        return any(
            span.what == "ended by SIGKILL"
            and asked_s <= min(span.since_s + LAST_TAKEN_S, span.until_s)
            and span.until_s <= asked_s + STREAM_MOST_S
            for span in self.dispatchers.get(dispatcher, ())
        )

    def delayed(self, server: str, since_s: float, until_s: float) -> bool:
        """Return whether the way there was such that what was sent came later, or in pieces."""
        return self._had(server, since_s, until_s, DELAYS)

    def shaken(self, server: str, since_s: float, until_s: float) -> bool:
        """Return whether a server, or the way to it, was troubled then; a drain is no trouble."""
        return self._had(server, since_s, until_s, TROUBLES)

    def may_lose_answers(self, server: str, since_s: float, until_s: float) -> bool:
        """Return whether an answer of that server may have been lost, or have come late."""
        return self._had(server, since_s, until_s, LOSES_ANSWERS)

    def _had(self, server: str, since_s: float, until_s: float, whats: Container[str]) -> bool:
        spans = self.replicas.get(server, ())
        return any(span.meets(since_s, until_s) and span.what in whats for span in spans)
