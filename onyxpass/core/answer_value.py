"""How timely a completed answer was to its client: in time, late, or too late to have any value.

A complete answer counts as completed even if its first token came past the deadline or its tokens
came at less than half of the wanted pace. To whoever waited for it that is a failure, so the log
and the metrics tell the three apart. Times in microseconds.
"""

from dataclasses import dataclass
from enum import Enum

from onyxpass.scheduling import contract

MAX_PACE_RATIO = 2  # times the class's time a token: beyond it an answer has no value


class Timeliness(Enum):
    """How timely a completed answer was; the value stands in the log."""

    IN_TIME = "in time"
    LATE = "late"  # has a part of the full value
    WORTHLESS = "worthless"


@dataclass(frozen=True, slots=True)
class Assessment:
    """``cause``: what made it late or worthless, ``first`` (token) or ``pace``; else empty."""

    timeliness: Timeliness
    cause: str = ""


def mean_token_us(stream_us: int, tokens: int) -> int:
    """Return the mean time a token after the first; 0 if there was none."""
    return stream_us // (tokens - 1) if tokens > 1 else 0


def assess(
    traffic_class: contract.TrafficClass, prompt_tokens: int, first_us: int, token_us: int
) -> Assessment:
    """Assess an answer by its class's objectives.

    ``first_us``: from the request's last byte to its first token. ``token_us``: as
    ``mean_token_us`` has it. The latency objective grows by ``latency_objective_us_per_1k_tokens``
    for each 1,000 tokens of the prompt, and the deadline by twice that.
    """
    growth_us = traffic_class.latency_objective_us_per_1k_tokens * prompt_tokens // 1000
    latency_objective_us = traffic_class.latency_objective_us + growth_us
    deadline_us = traffic_class.deadline_us + 2 * growth_us
    # Without an objective, any pace is in time.
    token_objective_us = traffic_class.token_objective_us or token_us
    if first_us > deadline_us:
        return Assessment(Timeliness.WORTHLESS, "first")
    if token_us > MAX_PACE_RATIO * token_objective_us:
        return Assessment(Timeliness.WORTHLESS, "pace")
    if first_us > latency_objective_us:
        return Assessment(Timeliness.LATE, "first")
    if token_us > token_objective_us:
        return Assessment(Timeliness.LATE, "pace")
    return Assessment(Timeliness.IN_TIME)
