"""The actions that a router asks its caller to carry out."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to this server and give up after ``timeout_us``."""

    id: int
    server: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, and a retry does no harm; ``retry_after_us`` 0 gives no advice."""

    id: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may or may not have run."""

    id: int


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Release the prefilled state of a request, except what an attempt waits for."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of a server; the result comes as a ``HealthCheckResult``."""

    server: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass the router a ``TimerFired`` with this reference after ``delay_us``."""

    ref: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Open a watch on the endpoint list, or close it."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | ReleaseState
    | CancelAttempt
    | HealthCheck
    | SetTimer
    | FetchEndpoints
    | WatchEndpoints
    | LogMessage
)
