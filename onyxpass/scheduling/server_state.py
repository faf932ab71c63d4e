"""The state of one server as one router knows it: its endpoint, load and health.

The router that made a ``ServerState`` owns it and is the only one to change it.
"""

import math

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import Role
from onyxpass.scheduling.latency_baselines import QUEUE_HALF_LIFE_US
from onyxpass.scheduling.outlier_detection import HealthRecord
from onyxpass.scheduling.slow_start import slow_start_factor
from onyxpass.scheduling.stable_hash import stable_hash

PREFILL_OVERHEAD_TOKENS = 1_500  # fixed cost of a prefill, as a number of tokens
DEFAULT_MEMORY_TOKENS = 150_000  # memory of a server whose kind does not state it
MAX_PLAUSIBLE_UTILIZATION = 2.0  # a reported utilization above this is ignored


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
        # Makes routers prefer different servers among equal decode servers.
        self.tie_breaker = stable_hash(f"{settings.ordinal}|{endpoint.id}")
        self.role = kind.role if kind else Role.MIXED
        self.memory_tokens = (kind.memory_tokens if kind else 0) or DEFAULT_MEMORY_TOKENS
        self.rendezvous_weight = 1.0
        # By request sent to a decode or mixed server, until its attempt ends: send time and tokens.
        self.streams: dict[int, tuple[int, int]] = {}
        self.overloaded_at_us: dict[str, int] = {}  # by traffic class: when it was last rejected
        self.memory_utilization = 0.0  # as last reported
        self.utilization_reported_us = -1
        self.last_health_check_us = -1
        self.readmitted_us = -1  # when operators readmitted the server
        self.awaits_first_work = False  # readmitted by operators and sent no attempt since

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
        """Return the expected time of a prefill of ``tokens`` tokens.

        ``baseline`` is the time per token of an unloaded server of its kind. An observed queue
        counts less as it ages.
        """
        # Prevents choosing a server that seems quickest only because it has answered nothing.
        if self.sample_count:
            unloaded = min(baseline, self.us_per_token)
        else:
            unloaded = baseline / self.slow_start_factor(now_us)
        if self.pending_tokens:
            freshness = 1.0
        else:
            freshness = 0.5 ** ((now_us - self.last_answer_us) / QUEUE_HALF_LIFE_US)
        us_per_token = unloaded + max(0.0, self.us_per_token - unloaded) * freshness
        return us_per_token * (PREFILL_OVERHEAD_TOKENS + tokens + sum(self.pending_tokens.values()))

    def slow_start_factor(self, now_us: int) -> float:
        """Return the least share of its capacity that the server has (1.0: warm)."""
        since_us = max(self.endpoint.started_us or -1, self.readmitted_us)
        if since_us < 0:
            return 1.0
        return slow_start_factor(self.settings, since_us, now_us)

    def record_report(self, report: contract.LoadReport | None, now_us: int) -> None:
        """Record the plausible values of a load report.

        A value that is absent, negative or not finite is ignored, and so is a utilization above
        ``MAX_PLAUSIBLE_UTILIZATION``.
        """
        if report is None:
            return
        utilization = report.memory_utilization
        if utilization is not None and 0 <= utilization <= MAX_PLAUSIBLE_UTILIZATION:
            self.memory_utilization = utilization
            self.utilization_reported_us = now_us
        in_flight = report.in_flight
        if in_flight is not None and 0 <= in_flight < math.inf:
            self.reported_in_flight = in_flight
