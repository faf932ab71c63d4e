"""Admission: which requests are shed, which have to wait, and how tenants' quotas count.

Each router owns one ``AdmissionController``; the module does no I/O.
"""

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import Idempotency, Role
from onyxpass.scheduling.memory_projection import estimate_all_routers, projected_utilization
from onyxpass.scheduling.moving_average import LATENCY_WEIGHT, moving_average
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.stable_hash import stable_hash

# Projected memory utilization at which requests of the highest priority wait, and by how much this
# threshold is lower for the lowest priority.
MAX_UTILIZATION = 0.92
PRIORITY_SPAN = 0.15
OUTCOME_HALF_LIFE_US = 4_000_000  # age at which an outcome counts half in the throttle
THROTTLE_PRIOR = 0.25  # added to the ended requests, so that the throttle acts less on very few
MAX_SHED_PROBABILITY = 0.9
QUOTA_BURST_US = 2_000_000  # time for which a tenant may save up unused quota
US_PER_SECOND = 1_000_000
UNKNOWN_CLASS = contract.TrafficClass("unknown", 1_000_000, 5_000_000, idempotency=Idempotency.NONE)


class AdaptiveThrottle:
    """Sheds requests of one traffic class when too few of them are answered in time.

    Prevents overload that no load report shows. As in adaptive throttling, requests beyond a
    multiple of those answered in time are shed. Shedding does harm where a few faulty servers cause
    most failures; outlier detection ejects those servers first.
    """

    def __init__(self) -> None:
        self._ended = 0.0  # decayed number of requests that have ended
        self._in_time = 0.0  # decayed number of those answered within the objective
        self._updated_us = 0
        self.objective_share = 0.0  # mean part of the objective that answered attempts took

    def record(self, now_us: int, *, in_time: bool) -> None:
        """Count an ended request, ``in_time`` if its answer began within the objective."""
        self._decay(now_us)
        self._ended += 1
        self._in_time += in_time

    def _decay(self, now_us: int) -> None:
        remaining = 0.5 ** ((now_us - self._updated_us) / OUTCOME_HALF_LIFE_US)
        self._updated_us = now_us
        self._ended *= remaining
        self._in_time *= remaining

    def record_latency(self, objective_share: float) -> None:
        """Count an answer whose attempts took this part of the latency objective."""
        self.objective_share = moving_average(self.objective_share, objective_share, LATENCY_WEIGHT)

    def congestion(self) -> float:
        """Return the congestion: 0 up to a quarter of the objective, 1 from half of it on."""
        return min(1.0, max(0.0, 4 * self.objective_share - 1))

    def shed_probability(self, now_us: int, priority: float) -> float:
        """Return the probability with which to shed a request; 0 or less sheds none.

        Nothing is shed while answers come quickly: missing answers are then lost, and not delayed
        by overload.
        """
        self._decay(now_us)
        excess = self._ended - (1 + priority) * self._in_time
        return min(
            MAX_SHED_PROBABILITY, self.congestion() * (excess / (self._ended + THROTTLE_PRIOR))
        )


class AdmissionController:
    """Decides whether a request that has not been sent yet is shed, and whether it may be sent."""

    def __init__(self, pool: ServerPool) -> None:
        self._pool = pool
        settings = pool.settings
        self.throttles = {
            traffic_class.name: AdaptiveThrottle()
            for traffic_class in (*settings.classes, UNKNOWN_CLASS)
        }
        # By tenant: this router's part of the quota per second, and until when it is spent
        self._quotas = {
            tenant.name: (tenant.quota_per_s / settings.routers, 0) for tenant in settings.tenants
        }
        self.reconfigure(settings)

    def reconfigure(self, settings: contract.Settings) -> None:
        """Apply new traffic classes to later requests."""
        self.classes = {traffic_class.name: traffic_class for traffic_class in settings.classes}
        weights = (traffic_class.priority_weight for traffic_class in settings.classes)
        self._max_weight = max(weights, default=0) or 1.0

    def register(self, arrival: contract.Arrival, now_us: int) -> RequestState:
        """Return the state of a new request, which counts against its tenant's quota."""
        traffic_class = self.classes.get(arrival.traffic_class, UNKNOWN_CLASS)
        priority = traffic_class.priority_weight / self._max_weight
        if not self._within_quota(arrival.tenant, now_us):
            priority *= self._pool.settings.over_quota_weight
        return RequestState(arrival, traffic_class, now_us, priority)

    def _within_quota(self, tenant: str | None, now_us: int) -> bool:
        rate, due_us = self._quotas.get(tenant or "", (0.0, 0))
        if not tenant or rate <= 0:
            return True
        due_us = max(due_us, now_us - QUOTA_BURST_US) + round(US_PER_SECOND / rate)
        if due_us > now_us:
            return False
        self._quotas[tenant] = (rate, due_us)
        return True

    def throttle_of(self, request: RequestState) -> AdaptiveThrottle:
        """Return the throttle of the request's traffic class."""
        return self.throttles[request.traffic_class.name]

    def should_shed(self, request: RequestState, now_us: int) -> bool:
        """Return whether to shed the request; its random draw depends on its id alone."""
        draw = stable_hash(f"fate|{request.arrival.id}") / 2**64
        return draw < self.throttle_of(request).shed_probability(now_us, request.priority)

    def has_capacity(self, request: RequestState, now_us: int) -> bool:
        """Return whether decode servers have memory for a request of this priority."""
        pool = self._pool
        servers = pool.healthy(now_us, Role.DECODE, Role.MIXED)
        if not servers:
            return False
        # Prompts that are being prefilled will need decode memory too.
        prefills = [
            tokens
            for server in pool.available[Role.PREFILL]
            for tokens in server.pending_tokens.values()
        ]
        memory_tokens = sum(server.memory_tokens for server in servers)
        incoming = estimate_all_routers(prefills, pool.settings.routers) / memory_tokens
        projected = projected_utilization(servers, pool.settings, now_us, certain_only=True)
        utilization = incoming + sum(projected.values()) / len(servers)
        return utilization < MAX_UTILIZATION - PRIORITY_SPAN * (1 - request.priority)
