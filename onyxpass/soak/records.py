"""What a soak observed: requests as clients saw them, and when components were disturbed."""

from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass, field

from onyxpass.history_checkers.trace import Trace
from onyxpass.soak.schedule import FaultKind

# A stream that was requested up to this long after SIGTERM may be cut by SIGKILL.
LAST_REQUEST_AFTER_SIGTERM_S = 0.7
# the cause of an interval in which the machine did not run a dispatcher
DESCHEDULED = "not run by the machine"
MAX_STREAM_S = 30.0  # no stream of a soak takes longer
# Faults of a replica or of the link to it, by their possible effect on what is sent.
DELAYING_FAULTS = frozenset(
    kind.value for kind in (FaultKind.STALL, FaultKind.DELAY, FaultKind.PIECES, FaultKind.CUT)
)
ANSWER_LOSING_FAULTS = DELAYING_FAULTS | {FaultKind.RESET.value, FaultKind.RESTART.value}
STREAM_BREAKING_FAULTS = frozenset(kind.value for kind in FaultKind) - {FaultKind.DRAIN.value}


@dataclass(slots=True)
class ClientRequest:
    """One request as its client saw it. Times are seconds of the monotonic clock; 0: never."""

    request_id: str
    traffic_class: str
    dispatcher: int
    timeout_s: float  # for the first event of the answer
    sent_s: float = 0.0  # when the last byte was sent
    ended_s: float = 0.0
    first_event_s: float = 0.0
    status: int = 0
    events: int = 0
    outcome: str = ""  # served, refused, failed, broken, left, never or not taken
    disconnected_s: float = 0.0  # when the client closed before the end of its answer
    resent: bool = False  # the client sent it once more, on a new connection
    on_new_connection: bool = False  # of the last send


@dataclass(frozen=True, slots=True)
class AttemptTimeout:
    """The timeout that an attempt gave its replica, recorded when it arrived there."""

    request_id: str
    server: str
    at_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class StalledClient:
    """A client that sent a part of a request or nothing, and waited until it was closed."""

    behavior: str
    dispatcher: int
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """An interval in which a component was disturbed; seconds of the monotonic clock."""

    start_s: float
    end_s: float
    cause: str

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the two closed intervals have a moment in common."""
        return self.start_s <= end_s and start_s <= self.end_s


@dataclass(frozen=True, slots=True)
class Delivery:
    """A probe that passed the soak's own process; seconds of the monotonic clock."""

    sent_s: float
    received_s: float


@dataclass(slots=True)
class Records:
    """Everything that one soak observed.

    ``dispatcher_faults`` are the disturbances of each dispatcher by its number, ``replica_faults``
    those of each replica and of the link to it by its name.
    """

    trace: Trace
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempt_timeouts: list[AttemptTimeout] = field(default_factory=list)
    dispatcher_faults: dict[int, list[FaultInterval]] = field(
        default_factory=lambda: defaultdict(list)
    )
    replica_faults: dict[str, list[FaultInterval]] = field(
        default_factory=lambda: defaultdict(list)
    )
    discovery_faults: list[FaultInterval] = field(default_factory=list)
    stalled_clients: list[StalledClient] = field(default_factory=list)
    lag_s: float = 0.0  # the longest that this process itself was kept from running
    # unexpected exits, bad log lines and invariant violations of the dispatcher processes
    problems: list[str] = field(default_factory=list)
    descheduled_s: float = 0.0  # the total time for which dispatchers were kept from running
    deliveries: list[Delivery] = field(default_factory=list)

    def delivery_delay_s(self, start_s: float, end_s: float) -> float:
        """Return how long a message may have taken through this process in an interval."""
        return max(
            (
                delivery.received_s - delivery.sent_s
                for delivery in self.deliveries
                if delivery.sent_s <= end_s and start_s <= delivery.received_s
            ),
            default=0.0,
        )

    def dispatcher_disturbed(
        self, dispatcher: int, start_s: float, end_s: float, *causes: str
    ) -> bool:
        """Return whether a dispatcher was disturbed in an interval.

        If ``causes`` are given, only these count.
        """
        intervals = self.dispatcher_faults.get(dispatcher, ())
        return any(
            interval.overlaps(start_s, end_s) and (not causes or interval.cause in causes)
            for interval in intervals
        )

    def unserved_s(self, dispatcher: int, start_s: float, end_s: float) -> float:
        """Return for how much of an interval no process accepted a dispatcher's connections."""
        return sum(
            min(interval.end_s, end_s) - max(interval.start_s, start_s)
            for interval in self.dispatcher_faults.get(dispatcher, ())
            if interval.cause == "no process" and interval.overlaps(start_s, end_s)
        )

    def sigkill_may_cut_stream(self, dispatcher: int, sent_s: float) -> bool:
        """Return whether SIGKILL may have cut a stream that was requested at ``sent_s``."""
        return any(
            interval.cause == "ended by SIGKILL"
            and sent_s <= min(interval.start_s + LAST_REQUEST_AFTER_SIGTERM_S, interval.end_s)
            and interval.end_s <= sent_s + MAX_STREAM_S
            for interval in self.dispatcher_faults.get(dispatcher, ())
        )

    def delivery_delayed(self, server: str, start_s: float, end_s: float) -> bool:
        """Return whether data on the link to a server may have been late or in pieces."""
        return self._server_had(server, start_s, end_s, DELAYING_FAULTS)

    def server_disturbed(self, server: str, start_s: float, end_s: float) -> bool:
        """Return whether a server or the link to it had a fault; a drain does not count."""
        return self._server_had(server, start_s, end_s, STREAM_BREAKING_FAULTS)

    def may_lose_answers(self, server: str, start_s: float, end_s: float) -> bool:
        """Return whether an answer of a server may have been lost or late."""
        return self._server_had(server, start_s, end_s, ANSWER_LOSING_FAULTS)

    def _server_had(
        self, server: str, start_s: float, end_s: float, causes: Container[str]
    ) -> bool:
        intervals = self.replica_faults.get(server, ())
        return any(
            interval.overlaps(start_s, end_s) and interval.cause in causes for interval in intervals
        )
