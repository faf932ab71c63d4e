"""What a router is notified of."""

from dataclasses import dataclass
from enum import Enum

from onyxpass.scheduling.contract.servers import Endpoint, LoadReport
from onyxpass.scheduling.contract.settings import Settings

# Notes of an AttemptOutcome
STATE_LOST = 1  # with OVERLOADED or RESET: there is no prefilled state left to fetch
# with RESET: an idle connection from the pool broke, which says nothing of the server
STALE_CONNECTION = 2
# with TIMED_OUT, CANCELLED or RESET: nothing shows that the server ever got the attempt
DELIVERY_UNCONFIRMED = 3


class AttemptStatus(Enum):
    """How an attempt ended."""

    COMPLETED = "served"
    ERROR = "error"
    OVERLOADED = "full"  # the server has no capacity for it and has not begun
    TIMED_OUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    PREFILLED = "read"
    INVALID_REQUEST = "unfit"  # rejected because of the request itself, which no server would take

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun on an answer: a prefill has had no effect."""
        return self not in (
            AttemptStatus.OVERLOADED,
            AttemptStatus.UNREACHABLE,
            AttemptStatus.NOT_SENT,
            AttemptStatus.PREFILLED,
            AttemptStatus.INVALID_REQUEST,
        )


class EndpointUpdateForm(Enum):
    """What an update of the endpoint list carries.

    FAILED carries nothing, and the list before it still holds. PERSISTED is a complete list that
    was stored earlier and may be out of date.
    """

    DELTA = "delta"
    COMPLETE = "full"
    PERSISTED = "saved"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """News of the endpoint list."""

    form: EndpointUpdateForm
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request; the router owes it exactly one final answer by ``deadline_us``.

    ``prefix`` names what its prompt shares with others at the start, ``prefix_tokens`` its length.
    ``expected_stream_us`` is how long the client expects its answer to stream.
    """

    id: int
    traffic_class: str
    session: str
    deadline_us: int
    prompt_tokens: int
    max_tokens: int
    prefix: str | None = None
    prefix_tokens: int = 0
    tenant: str | None = None
    expected_stream_us: int | None = None
    is_retry: bool = False
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first event of an answer came, which commits the request to this attempt."""

    id: int
    attempt: int
    server: str
    elapsed_us: int = 0


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The end of one attempt.

    ``note`` is the number of prompt tokens that the server had cached if the status is PREFILLED,
    else one of the notes above or 0. ``final`` tells that the request has its final answer.
    """

    id: int
    attempt: int
    server: str
    status: AttemptStatus
    elapsed_us: int = 0
    final: bool = False
    note: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """The client has gone: nothing more is owed to it."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router has set is due."""

    ref: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The end of a health check, with the load report that came with it."""

    server: str
    ok: bool
    elapsed_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Exclusion:
    """Operators take a server out of use, whatever the list says, or put it back."""

    server: str
    excluded: bool


@dataclass(frozen=True, slots=True)
class StreamAdopted:
    """A stream in progress that another process of this router began; it ends with an outcome."""

    id: int
    server: str
    tokens: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings for later requests; names, kinds and idempotency are as they were."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class IgnoredEvent:
    """Anything that the decisions have no use for, such as messages of other routers."""


Event = (
    EndpointUpdate
    | Arrival
    | StreamStarted
    | AttemptOutcome
    | RequestWithdrawn
    | TimerFired
    | HealthCheckResult
    | Exclusion
    | StreamAdopted
    | SettingsChanged
    | IgnoredEvent
)
