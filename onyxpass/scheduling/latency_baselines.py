"""Latency baselines: the usual duration of prefills, state fetches and first tokens."""

from collections import defaultdict

from onyxpass.scheduling.contract import Role
from onyxpass.scheduling.moving_average import (
    BASELINE_WEIGHT,
    LATENCY_WEIGHT,
    STATE_FETCH_WEIGHT,
    moving_average,
)

QUEUE_HALF_LIFE_US = 1_000_000  # of an observed queue without newer observations


class LatencyBaselines:
    """Moving averages over the answers that one router has received."""

    def __init__(self) -> None:
        self.typical_us = dict.fromkeys(Role, 0.0)  # of prefills and first tokens
        # By kind of server: time per token of a prefill that does not wait for another one.
        self.unloaded_us_per_token = defaultdict[str, float](float)
        # By kind of server: share of the objective until the first token of a fetched state.
        self.state_fetch_share = defaultdict[str, float](float)
        self.last_stream_start_us = 0

    def record_answer(self, role: Role, elapsed_us: int) -> None:
        """Count a prefill or first token of a server of this role."""
        mean_us = self.typical_us[role] or float(elapsed_us)
        self.typical_us[role] = moving_average(mean_us, elapsed_us, BASELINE_WEIGHT)

    def record_prefill(self, kind: str, us_per_token: float) -> None:
        """Count a prefill in a baseline like a low quantile, which falls fast and rises slowly."""
        baseline = self.unloaded_us_per_token[kind] or us_per_token
        weight = LATENCY_WEIGHT if us_per_token < baseline else BASELINE_WEIGHT
        self.unloaded_us_per_token[kind] = moving_average(baseline, us_per_token, weight)

    def record_state_fetch(self, kind: str, elapsed_us: int, latency_objective_us: int) -> None:
        """Count a first token from a fetched state, or the time until the attempt was given up."""
        share = elapsed_us / latency_objective_us
        self.state_fetch_share[kind] = moving_average(
            self.state_fetch_share[kind], share, STATE_FETCH_WEIGHT
        )

    def decode_queue_us(self, now_us: int) -> float:
        """Return the estimated wait for a first token, which decays while no stream starts."""
        age_us = now_us - self.last_stream_start_us
        remaining: float = 0.5 ** (age_us / QUEUE_HALF_LIFE_US)
        return self.typical_us[Role.DECODE] * remaining
