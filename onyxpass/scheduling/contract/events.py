"""The events that a router is notified of."""

from dataclasses import dataclass
from enum import Enum

from onyxpass.scheduling.contract.servers import Endpoint, LoadReport
from onyxpass.scheduling.contract.settings import Settings

# Values of ``AttemptOutcome.note``
STATE_LOST = 1  # with OVERLOADED or RESET: there is no prefilled state left to fetch
# With RESET: an idle connection from the pool broke, which says nothing about the server's health.
STALE_CONNECTION = 2
# With TIMED_OUT, CANCELLED or RESET: nothing shows that the server received the attempt.
DELIVERY_UNCONFIRMED = 3


class AttemptStatus(Enum):
    """How an attempt ended."""

    COMPLETED = "served"
    ERROR = "error"
    OVERLOADED = "full"  # rejected for lack of capacity before it ran
    TIMED_OUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    PREFILLED = "read"
    INVALID_REQUEST = "unfit"  # the request is at fault: every server would reject it

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun an answer; a prefill alone has no effect."""
        return self not in (
            AttemptStatus.OVERLOADED,
            AttemptStatus.UNREACHABLE,
            AttemptStatus.NOT_SENT,
            AttemptStatus.PREFILLED,
            AttemptStatus.INVALID_REQUEST,
        )


class EndpointUpdateForm(Enum):
    """What an update of the endpoint list carries.

    FAILED carries no endpoints, and the previous list stays in force. PERSISTED is a complete list
    that was stored earlier and may be out of date.
    """

    DELTA = "delta"
    COMPLETE = "full"
    PERSISTED = "saved"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list, or the failure to get one."""

    form: EndpointUpdateForm
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A new request, which must get exactly one final answer by ``deadline_us``.

    ``prefix`` identifies the start of the prompt that other requests share, ``prefix_tokens`` is
    its length. ``expected_stream_us`` is how long the client expects the answer to stream.
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
    """The first event of an answer has arrived, which commits the request to this attempt."""

    id: int
    attempt: int
    server: str
    elapsed_us: int = 0


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """The end of one attempt.

    ``note`` is the number of prompt tokens that the server had cached if the status is PREFILLED,
    else 0 or a constant of this module such as ``STATE_LOST``. ``final`` means that the request has
    its final answer.
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
    """The client has gone, and the request needs no answer."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router has set is due."""

    ref: int


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of a health check, with the load report that came with it, if any."""

    server: str
    ok: bool
    elapsed_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Exclusion:
    """Operators exclude a server, whatever the endpoint list says, or readmit it."""

    server: str
    excluded: bool


@dataclass(frozen=True, slots=True)
class StreamAdopted:
    """A running stream that another process of this router began.

    An ``AttemptOutcome`` reports its end.
    """

    id: int
    server: str
    tokens: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings; names, kinds and idempotency in them must be unchanged.

    Requests in progress keep the traffic class that they arrived with.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class IgnoredEvent:
    """An event that no decision depends on, such as a message from another router."""


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
