"""What one router knows of one server: its endpoint, its load, its health.

The router that made a ``ServerState`` owns it and is the only one to change it.
"""

import math

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import Role
from onyxpass.scheduling.latency_baselines import QUEUE_HALF_LIFE_US
from onyxpass.scheduling.outlier_detection import HealthRecord
from onyxpass.scheduling.slow_start import slow_start_factor
from onyxpass.scheduling.stable_hash import stable_hash

PREFILL_OVERHEAD_TOKENS = 1_500  # what a prefill costs besides its own tokens
DEFAULT_MEMORY_TOKENS = 150_000  # memory of a server whose kind does not say
MAX_UTILIZATION = 2.0  # above which a report makes no sense


class ServerState(HealthRecord):
    """A server as one router sees it."""

    __slots__ = (
        "awaits_first_work",
        "endpoint",
        "id",
        "last_health_check_us",
        "memory_tokens",
        "memory_utilization",
        "overloaded_at_us",
        "readmitted_us",
        "rendezvous_weight",
        "role",
        "streams",
        "tie_breaker",
        "utilization_reported_us",
    )

    def __init__(
        self,
        endpoint: contract.Endpoint,
        kind: contract.ServerKind | None,
        settings: contract.Settings,
    ) -> None:
        super().__init__(settings)
        self.id = endpoint.id
        self.endpoint = endpoint
        # Of equal decode servers each router prefers another.
        self.tie_breaker = stable_hash(f"{settings.ordinal}|{endpoint.id}")
        self.role = kind.role if kind else Role.MIXED
        self.memory_tokens = (kind.memory_tokens if kind else 0) or DEFAULT_MEMORY_TOKENS
        self.rendezvous_weight = 1.0
        # Requests sent to decode, till they end: when, and their tokens.
        self.streams: dict[int, tuple[int, int]] = {}
        self.overloaded_at_us: dict[str, int] = {}  # by traffic class: its last rejection here
        self.memory_utilization = 0.0  # as last reported
        self.utilization_reported_us = -1
        self.last_health_check_us = -1
        self.readmitted_us = -1  # when operators put it back
        self.awaits_first_work = False  # put back by operators, and not yet sent anything

    def in_flight(self) -> float:
        """Return the requests in flight as reported, else those of this router."""
        if self.reported_in_flight is None:
            return len(self.pending_tokens)
        return self.reported_in_flight

    def distance(self, near: contract.Endpoint) -> tuple[bool, bool]:
        """Return a sort key: same cell before same zone before elsewhere."""
        here = self.endpoint
        return (here.zone, here.cell) != (near.zone, near.cell), here.zone != near.zone

    def expected_prefill_us(self, tokens: int, now_us: int, baseline: float = 0.0) -> float:
        """Return the time that a prefill of so many tokens likely takes.

        ``baseline`` is the time per token of an unloaded server of its kind. An old queue is
        believed less and less.
        """
        # Prevents choosing a server that seems quickest because it has answered nothing.
        if self.sample_count:
            least = min(baseline, self.us_per_token)
        else:
            least = baseline / self.slow_start_factor(now_us)
        if self.pending_tokens:
            freshness = 1.0
        else:
            freshness = 0.5 ** ((now_us - self.last_answer_us) / QUEUE_HALF_LIFE_US)
        us_per_token = least + max(0.0, self.us_per_token - least) * freshness
        return us_per_token * (PREFILL_OVERHEAD_TOKENS + tokens + sum(self.pending_tokens.values()))

    def slow_start_factor(self, now_us: int) -> float:
        """Return the share of its capacity that the server has at least (1.0: warm)."""
        since_us = max(self.endpoint.started_us or -1, self.readmitted_us)
        if since_us < 0:
            return 1.0
        return slow_start_factor(self.settings, since_us, now_us)

    def record_report(self, report: contract.LoadReport | None, now_us: int) -> None:
        """Take over what makes sense of a load report.

        A value that is absent, negative or not finite is passed over.
        """
        if report is None:
            return
        utilization = report.memory_utilization
        if utilization is not None and 0 <= utilization <= MAX_UTILIZATION:
            self.memory_utilization = utilization
            self.utilization_reported_us = now_us
        in_flight = report.in_flight
        if in_flight is not None and 0 <= in_flight < math.inf:
            self.reported_in_flight = in_flight
