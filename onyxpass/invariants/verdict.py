"""The result of an invariant check."""

from dataclasses import dataclass
from enum import Enum


class Rule(Enum):
    """An invariant of a dispatcher or an agent; the log and the counters contain the name."""

    UNKNOWN_REQUEST = "only a request that was accepted"
    ONE_ANSWER = "one final answer"
    COMMITTED = "nothing is sent once a stream has begun"
    ONE_OUT = "one attempt in flight at a time"
    ATTEMPTS = "the maximum number of attempts"
    DEADLINE = "nothing is sent past the deadline"
    TIME_TOLD = "the timeout that is sent does not exceed the time left"
    CLIENT_GONE = "nothing is sent for a client that has left"
    DRAINED = "nothing is sent to a server past its drain time"
    RUN_ONCE = "a request that may have run is not run again"
    REFUSAL = "a rejection means that nothing has run"
    UNANSWERED = "no connection is closed with an unanswered request"
    ONE_PROCESS = "one process per instance"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a step is allowed; if not, the rule that it would violate, and details."""

    rule: Rule | None = None
    detail: str = ""

    def __bool__(self) -> bool:
        return self.rule is None

    def log_fields(self) -> dict[str, str]:
        """Return the log fields of the violated rule; none if the step is allowed."""
        return {"rule": self.rule.name, "why": self.detail} if self.rule is not None else {}


ALLOWED = Verdict()
