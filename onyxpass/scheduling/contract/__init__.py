"""The contract of the decisions: what a router is notified of and what it may ask for.

Times are whole microseconds (``_us``) on the caller's own clock. Feed a router its events in the
order in which they happen and carry out the actions that it returns, in order. Nothing is decided
here. Names on the wire and in files differ from these; the modules that read or write such a form
hold the mapping.
"""

from onyxpass.scheduling.contract.actions import (
    Action,
    CancelAttempt,
    Fail,
    FetchEndpoints,
    HealthCheck,
    LogMessage,
    Reject,
    ReleaseState,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from onyxpass.scheduling.contract.events import (
    DELIVERY_UNCONFIRMED,
    STALE_CONNECTION,
    STATE_LOST,
    Arrival,
    AttemptOutcome,
    AttemptStatus,
    EndpointUpdate,
    EndpointUpdateForm,
    Event,
    Exclusion,
    HealthCheckResult,
    IgnoredEvent,
    RequestWithdrawn,
    SettingsChanged,
    StreamAdopted,
    StreamStarted,
    TimerFired,
)
from onyxpass.scheduling.contract.servers import (
    Endpoint,
    EndpointCondition,
    LoadReport,
    Role,
    ServerKind,
)
from onyxpass.scheduling.contract.settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportMode,
    Settings,
    Tenant,
    TrafficClass,
)

__all__ = [
    "DELIVERY_UNCONFIRMED",
    "STALE_CONNECTION",
    "STATE_LOST",
    "Action",
    "Arrival",
    "AttemptOutcome",
    "AttemptStatus",
    "CancelAttempt",
    "DeduplicationScope",
    "Endpoint",
    "EndpointCondition",
    "EndpointUpdate",
    "EndpointUpdateForm",
    "Event",
    "Exclusion",
    "Fail",
    "FetchEndpoints",
    "HealthCheck",
    "HealthCheckResult",
    "Idempotency",
    "IgnoredEvent",
    "LoadReport",
    "LoadReportMode",
    "LogMessage",
    "Reject",
    "ReleaseState",
    "RequestWithdrawn",
    "Role",
    "SendAttempt",
    "ServerKind",
    "SetTimer",
    "Settings",
    "SettingsChanged",
    "StreamAdopted",
    "StreamStarted",
    "Tenant",
    "TimerFired",
    "TrafficClass",
    "WatchEndpoints",
]
