"""The exchange of one order with an instance's agent: a state machine without I/O.

An order is sent and then polled until its end is known. It carries an operation id, under which the
agent carries it out at most once, so it may be sent again. The outcome is what is known: an order
of which nothing was sent has failed; an order that may have arrived is unknown until the agent
reports its state.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from onyxpass.fleet.outcome import InstanceOutcome, done, failed, unknown

CALL_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_DOUBLINGS = 10
LATE_END_S = 5.0  # time past the deadline for an agent to report the end


class CallKind(Enum):
    """The two calls of an exchange."""

    ORDER = "order"
    POLL = "poll"


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send the order (again), with this timeout."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class PollOperation:
    """Request the state of the operation, with this timeout."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class BackOff:
    """Wait for this time."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class ExchangeEnded:
    """The exchange is over; ``outcome`` is what is known."""

    outcome: InstanceOutcome


ExchangeStep = SendOrder | PollOperation | BackOff | ExchangeEnded


@dataclass(slots=True)
class OrderExchange:
    """The state of one exchange. Times are seconds of a monotonic clock.

    ``deadline_s`` is the time limit of the order, counted from ``start_s``. ``known`` means that
    the agent has the operation on record; ``failures`` counts failed calls in a row.
    """

    start_s: float
    deadline_s: float
    may_have_arrived: bool = False
    known: bool = False
    failures: int = 0
    reason: str = ""
    _back_off: bool = False

    def next(self, now_s: float) -> ExchangeStep:
        """Return the next step: a call, a wait, or the end of the exchange."""
        late_s = LATE_END_S if self.known else 0.0
        remaining_s = self.start_s + self.deadline_s + late_s - now_s
        if remaining_s <= 0:
            return ExchangeEnded(self._outcome_at_deadline())
        if self._back_off:
            self._back_off = False
            return BackOff(min(remaining_s, self._backoff_s()))
        timeout_s = min(CALL_TIMEOUT_S, remaining_s)
        return PollOperation(timeout_s) if self.may_have_arrived else SendOrder(timeout_s)

    def on_not_sent(self, reason: str) -> None:
        """Handle a call of which nothing was sent."""
        self._fail_call(reason)

    def on_no_answer(self, reason: str) -> None:
        """Handle a call that may have arrived."""
        self.may_have_arrived = True
        self._fail_call(reason)

    def on_lease_lost(self) -> InstanceOutcome:
        """Return the outcome of an order that is not sent, since its lease is lost."""
        return failed("nothing was sent: the lease of its hall is lost")

    def on_answer(
        self, call: CallKind, status: int, body: Mapping[str, Any]
    ) -> InstanceOutcome | None:
        """Handle the agent's answer; return the outcome if that settles it."""
        reason = str(body.get("error") or f"status {status}")
        if status in (200, 202):
            self.known = True
            self.may_have_arrived = True
            self.failures = 0
            return _outcome_of(body)
        if call is CallKind.POLL and status == 404:
            # The agent never had the order, and its record survives a restart of the agent, so the
            # order can be sent (again).
            self.may_have_arrived = False
            self.known = False
            return None
        if status == 409 and body.get(
            "stale"
        ):  # an agent that had admitted the operation would report it instead
            return failed(f"refused: {reason}")
        may_be_sent_again = "operation" in body or body.get("under_way") or body.get("expired")
        if status == 409 and may_be_sent_again:  # for example another operation is in progress
            self._fail_call(reason)
            return None
        if status >= 500:
            self.on_no_answer(reason)
            return None
        if self.may_have_arrived:
            return unknown(f"it may have arrived, and then the agent answered: {reason}")
        return failed(reason)

    def _fail_call(self, reason: str) -> None:
        self.reason = reason
        self.failures += 1
        self._back_off = True

    def _backoff_s(self) -> float:
        doublings = min(MAX_BACKOFF_DOUBLINGS, max(0, self.failures - 1))
        return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings)

    def _outcome_at_deadline(self) -> InstanceOutcome:
        if self.known:
            return unknown(
                f"the agent has not reported its end: {self.reason or 'it is in progress'}"
            )
        if self.may_have_arrived:
            return unknown(f"it may have arrived: {self.reason}")
        return failed(f"nothing was sent: {self.reason or 'no time was left'}")


def _outcome_of(operation: Mapping[str, Any]) -> InstanceOutcome | None:
    """Return the outcome of an operation as its agent reports it; None while it is in progress."""
    reason = str(operation.get("reason") or "")
    match operation.get("state"):
        case "done":
            return done(describe_detail(operation.get("detail") or {}))
        case "failed":
            return failed(reason)
        case "unknown":
            return unknown(reason)
    return None


def describe_detail(detail: Mapping[str, Any]) -> str:
    """Describe a completed order for people: what it cut short, the new digest and a restart."""
    parts = []
    if detail.get("forced"):
        cause = detail.get("why") or f"{detail.get('cut', 0)} cut short"
        parts.append(f"forced: {cause}")
    if detail.get("digest"):
        parts.append(f"runs on {detail['digest']}")
    if detail.get("restarted"):
        parts.append("restarted")
    return ", ".join(parts)
