"""What a router is configured with: traffic classes, tenants, kinds of servers and limits."""

from dataclasses import dataclass
from enum import Enum

from onyxpass.scheduling.contract.servers import Endpoint, ServerKind


class Idempotency(Enum):
    """Whether a request may be run again."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # with an idempotency key, by which servers discard duplicates
    NONE = "unsafe"


class DeduplicationScope(Enum):
    """Which servers share the idempotency keys that they have seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def covers_both(self, here: Endpoint, there: Endpoint) -> bool:
        """Whether the two servers discard each other's duplicates."""
        if self is DeduplicationScope.ALL:
            return True
        same_zone = here.zone == there.zone
        return same_zone and (self is DeduplicationScope.ZONE or here.cell == there.cell)


class LoadReportMode(Enum):
    """How load reports reach a router."""

    INLINE = "inline"  # in each response
    ON_HEALTH_CHECK = "probed"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class of requests, what it earns and how it may be retried.

    An answer whose first token comes within the latency objective earns ``priority_weight``, a
    later one ``late_weight`` of it. ``latency_objective_us_per_1k_tokens`` is added to the
    objective for each 1,000 prompt tokens. A keyed request is deduplicated for
    ``deduplication_window_us``.
    """

    name: str
    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    latency_objective_us_per_1k_tokens: int = 0
    token_objective_us: int = 0

    @property
    def deduplicated_everywhere(self) -> bool:
        """Whether every server discards duplicates, so that rejecting does no harm."""
        keyed = self.idempotency is Idempotency.KEYED
        return keyed and self.deduplication_scope is DeduplicationScope.ALL


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota: requests per second over all routers; 0 means no quota."""

    name: str
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a router is configured with at its start.

    ``routers`` is the number of routers that share the servers, ``ordinal`` this one's place among
    them. ``watch_endpoints`` tells that the endpoint list must be watched, and polled at least
    every ``poll_within_us``.
    """

    classes: tuple[TrafficClass, ...]
    kinds: tuple[ServerKind, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    ordinal: int = 0
    routers: int = 1
    load_report_mode: LoadReportMode = LoadReportMode.NONE
    watch_endpoints: bool = False
    poll_within_us: int = 10_000_000
    health_checks_allowed: bool = False
    health_check_cost: float = 0.0
    cancellation_allowed: bool = True
    hedging_allowed: bool = False
    retry_after_supported: bool = False
    max_retry_after_us: int = 1_000_000
    max_attempts: int = 4
    decode_servers_prefill: bool = False
    release_within_us: int = 300_000
    drain_grace_us: int = 1_000_000
    answer_grace_us: int = 0
    slow_start_initial_factor: float = 0.3
    slow_start_duration_us: int = 15_000_000
    overload_multiple: float = 3.0
    overload_window_us: int = 2_000_000
    over_quota_weight: float = 1.0
    worst_class_weight: float = 0.0
    worst_tenant_weight: float = 0.0
    worst_window_weight: float = 0.0
    tick_us: int = 1_000
