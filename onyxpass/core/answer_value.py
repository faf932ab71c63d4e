"""How timely a completed answer was for its client: in time, late, or too late to have any value.

An answer counts as completed even if its first token came after the deadline or its tokens came at
less than half of the pace that its class asks for. For the client that is a failure, so the log and
the metrics distinguish the three cases. Times are in microseconds.
"""

from dataclasses import dataclass
from enum import Enum

from onyxpass.scheduling import contract

# An answer has no value if its mean time per token exceeds this multiple of the class's objective.
MAX_TOKEN_TIME_RATIO = 2


class Timeliness(Enum):
    """How timely a completed answer was; the values are written to the log."""

    IN_TIME = "in time"
    LATE = "late"  # has a fraction of the full value
    WORTHLESS = "worthless"


@dataclass(frozen=True, slots=True)
class Assessment:
    """``cause`` of a late or worthless answer: ``first`` (token) or ``pace``; empty if in time."""

    timeliness: Timeliness
    cause: str = ""


def mean_token_us(stream_us: int, tokens: int) -> int:
    """Return the mean time per token after the first; 0 if there is no such token."""
    return stream_us // (tokens - 1) if tokens > 1 else 0


def assess(
    traffic_class: contract.TrafficClass, prompt_tokens: int, first_us: int, token_us: int
) -> Assessment:
    """Assess an answer against the objectives of its class.

    ``first_us``: time from the request's acceptance, after its last byte was read, to the first
    event of its answer. ``token_us``: result of ``mean_token_us``. The latency objective grows by
    ``latency_objective_us_per_1k_tokens`` for each 1,000 tokens of the prompt, and the deadline by
    twice that.
    """
    growth_us = traffic_class.latency_objective_us_per_1k_tokens * prompt_tokens // 1000
    latency_objective_us = traffic_class.latency_objective_us + growth_us
    deadline_us = traffic_class.deadline_us + 2 * growth_us
    # For a class without a token objective, any pace is in time.
    token_objective_us = traffic_class.token_objective_us or token_us
    if first_us > deadline_us:
        return Assessment(Timeliness.WORTHLESS, "first")
    if token_us > MAX_TOKEN_TIME_RATIO * token_objective_us:
        return Assessment(Timeliness.WORTHLESS, "pace")
    if first_us > latency_objective_us:
        return Assessment(Timeliness.LATE, "first")
    if token_us > token_objective_us:
        return Assessment(Timeliness.LATE, "pace")
    return Assessment(Timeliness.IN_TIME)
