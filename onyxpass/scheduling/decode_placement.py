"""Selects the decode server that fetches a prefilled state and generates the answer."""

from collections.abc import Mapping

from onyxpass.scheduling import contract
from onyxpass.scheduling.candidates import CandidateFilter
from onyxpass.scheduling.contract import Role
from onyxpass.scheduling.latency_baselines import LatencyBaselines
from onyxpass.scheduling.memory_projection import projected_utilization
from onyxpass.scheduling.outlier_detection import MANY_ROUTERS
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState
from onyxpass.scheduling.stable_hash import stable_hash

# Utilization by which a near server may exceed the lowest: more than the noise of load reports.
NEAR_EXCESS_UTILIZATION = 0.10


def place_near(utilization: Mapping[ServerState, float], near: contract.Endpoint) -> ServerState:
    """Return the least utilized server in the cell of ``near``, else in its zone, else anywhere.

    Servers more than ``NEAR_EXCESS_UTILIZATION`` above the lowest utilization are passed over.
    """
    limit = min(utilization.values()) + NEAR_EXCESS_UTILIZATION
    return min(
        utilization,
        key=lambda server: (
            utilization[server] > limit,
            *server.distance(near),
            utilization[server],
            server.tie_breaker,
        ),
    )


class DecodePlacer:
    """Selects decode servers by projected memory utilization, near the holder of the state."""

    def __init__(
        self, pool: ServerPool, candidates: CandidateFilter, baselines: LatencyBaselines
    ) -> None:
        self._pool = pool
        self._candidates = candidates
        self._baselines = baselines

    def select(self, request: RequestState, holder: ServerState, now_us: int) -> ServerState | None:
        """Return the server that fetches the state from ``holder``, or None if there is none."""
        pool = self._pool
        healthy = pool.healthy(now_us, Role.DECODE, Role.MIXED)
        eligible = self._candidates.eligible(request, healthy, now_us, holder)
        warming = [
            server
            for server in eligible
            if server.role is Role.DECODE
            and (server.awaits_first_work or server.slow_start_factor(now_us) < 1)
        ]
        # A server in slow start is eligible only for the requests that are sampled for it.
        eligible = [server for server in warming if server.awaits_first_work] or warming or eligible
        if not eligible:
            return None
        projected = projected_utilization(eligible, pool.settings, now_us)
        unseen = self._unseen_utilization(request, eligible, holder.endpoint)
        fetch_share = self._baselines.state_fetch_share
        utilization = {
            server: projected[server]
            + unseen[server]
            + pool.many_routers * fetch_share[server.endpoint.kind]
            for server in eligible
        }
        return place_near(utilization, holder.endpoint)

    def _unseen_utilization(
        self, request: RequestState, servers: list[ServerState], near: contract.Endpoint
    ) -> dict[ServerState, float]:
        """Return the estimated utilization of each server by the streams of other routers.

        The estimate assumes that the prefill servers of a cell send to its decode servers.
        """
        # Prevents overload of near servers by routers that each see them as empty. Where prefill
        # servers outnumber them, or decode servers have left, only as many states stay near as keep
        # the utilization even.
        settings = self._pool.settings
        routers = settings.routers if settings.routers >= MANY_ROUTERS else 0
        ratios = self._pool.prefill_to_memory
        own_tokens = sum(tokens for server in servers for _, tokens in server.streams.values())
        mean_utilization = routers * own_tokens / sum(server.memory_tokens for server in servers)
        draw = stable_hash(f"turn|{request.arrival.id}") / 2**64
        zone = near.zone
        cell = (near.zone, near.cell)
        limit = mean_utilization + NEAR_EXCESS_UTILIZATION
        stays_in_zone = draw * mean_utilization * ratios.get(zone, 0.0) <= limit
        stays_in_cell = draw * mean_utilization * ratios.get(cell, 0.0) <= limit
        unseen: dict[ServerState, float] = {}
        for server in servers:
            here = (server.endpoint.zone, server.endpoint.cell)
            unseen[server] = mean_utilization * ratios.get(here, 0.0)
            if here[0] == zone and not stays_in_zone:
                unseen[server] = max(unseen[server], mean_utilization * ratios.get(zone, 0.0))
            elif here == cell and stays_in_cell:
                unseen[server] = 0.0
        return unseen
