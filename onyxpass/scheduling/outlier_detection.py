"""Outlier detection: which servers are ejected after failures, silence or slow answers.

Each server's ``HealthRecord`` belongs to the one router that made it. A server is ejected for a
time that doubles with each failed trial. After an ejection the server is on trial: it gets one
request at a time, after a health check where those are allowed, until successes have brought its
ejection level to zero.
"""

from collections.abc import Sequence
from enum import Enum, auto

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from onyxpass.scheduling.moving_average import (
    FAILURE_WEIGHT,
    LATENCY_WEIGHT,
    RESET_WEIGHT,
    moving_average,
)

FAILURE_RATE_LIMIT = 0.45  # two failures in a row, or three resets, exceed it
EJECTION_US = 1_500_000  # length of the first ejection where few routers share the servers
MAX_EJECTION_US = 12_000_000
MAX_EJECTION_DOUBLINGS = 5
EJECTION_LEVEL_STEP = 2  # added by an ejection; a success subtracts one
SLOW_MULTIPLE = 3.0  # of the median of its peers, above which a server is an outlier
MIN_SAMPLES = 3  # successes before outlier detection uses a server's mean time
# Number of later sends answered first that shows a lost connection rather than a queue.
OVERTAKEN_LIMIT = 3
MANY_ROUTERS = 16  # from this number on, a router's own sends say little about a queue


class FailureKind(Enum):
    """How an attempt or a health check failed."""

    ERROR = auto()  # the server answered, with an error
    CONNECTION_RESET = auto()
    NO_ANSWER = auto()  # a timeout, no connection, or a failed health check
    CANCELLED = auto()  # this router gave up on the attempt


SERVER_NOT_AT_FAULT = frozenset(
    {AttemptStatus.OVERLOADED, AttemptStatus.NOT_SENT, AttemptStatus.INVALID_REQUEST}
)
FAILURE_KINDS = {
    AttemptStatus.ERROR: FailureKind.ERROR,
    AttemptStatus.RESET: FailureKind.CONNECTION_RESET,
    AttemptStatus.CANCELLED: FailureKind.CANCELLED,
}


def failure_kind(event: contract.AttemptOutcome, overtaken_count: int) -> FailureKind | None:
    """Return how the server failed, or None if the outcome says nothing about its health.

    ``overtaken_count`` is the number of later sends to the server that were answered first.
    """
    if event.status in SERVER_NOT_AT_FAULT:
        return None
    if event.status is AttemptStatus.CANCELLED and overtaken_count >= OVERTAKEN_LIMIT:
        return None  # only the connection was lost
    if event.status is AttemptStatus.RESET and event.note == contract.STALE_CONNECTION:
        return None
    return FAILURE_KINDS.get(event.status, FailureKind.NO_ANSWER)


def median(values: Sequence[float]) -> float:
    """Return the median; importing ``statistics`` for it would cost 1.5 MB and start time."""
    ordered = sorted(values)
    half = len(ordered) // 2
    return (ordered[half] + ordered[~half]) / 2


class HealthRecord:
    """The outcomes and pending attempts of one server, which determine its health."""

    __slots__ = (
        "ejected_until_us",
        "ejection_level",
        "failure_rate",
        "health_check_passed",
        "is_unresponsive",
        "last_answer_us",
        "pending_tokens",
        "reported_in_flight",
        "sample_count",
        "settings",
        "us_per_token",
    )

    def __init__(self, settings: contract.Settings) -> None:
        self.settings = settings
        # By request: the tokens of an attempt that waits for a prefill or a first token.
        self.pending_tokens: dict[int, int] = {}
        self.reported_in_flight: float | None = None
        self.failure_rate = 0.0
        self.us_per_token = 0.0  # mean time of a prefill or first token per token ahead
        self.sample_count = 0
        self.last_answer_us = -1
        self.ejected_until_us = -1
        self.ejection_level = 0
        self.is_unresponsive = False  # ejected because it answered nothing
        self.health_check_passed = False  # since its last ejection

    def record_success(self, us_per_token: float, now_us: int) -> None:
        """Count a prefill or first token that took ``us_per_token``."""
        self.last_answer_us = now_us
        self.is_unresponsive = False
        self.sample_count += 1
        self.failure_rate = moving_average(self.failure_rate, 0.0, FAILURE_WEIGHT)
        weight = LATENCY_WEIGHT if self.sample_count > 1 else 1.0
        self.us_per_token = moving_average(self.us_per_token, us_per_token, weight)
        if self.ejection_level > 0 and now_us >= self.ejected_until_us:
            self.ejection_level -= 1

    def record_failure(self, kind: FailureKind, sent_at_us: int, now_us: int) -> None:
        """Count a failed attempt or health check, and eject the server if a limit is reached.

        If there was no answer, a server that has answered nothing since the send is ejected at
        once.
        """
        # Prevents ejecting healthy servers for a fault that resets a share of all connections:
        # a reset weighs less and does not fail a trial.
        reset = kind is FailureKind.CONNECTION_RESET
        self.failure_rate = moving_average(
            self.failure_rate, 1, RESET_WEIGHT if reset else FAILURE_WEIGHT
        )
        no_answer = kind in (FailureKind.NO_ANSWER, FailureKind.CANCELLED)
        unresponsive = no_answer and self.last_answer_us < sent_at_us
        trial_failed = self.ejection_level > 0 and not reset
        if unresponsive or trial_failed or self.failure_rate >= FAILURE_RATE_LIMIT:
            # Prevents a long ejection after a cancellation, whose cause may be just a queue.
            self.eject(now_us, unresponsive=unresponsive, brief=kind is FailureKind.CANCELLED)

    def eject(self, now_us: int, *, unresponsive: bool, brief: bool = False) -> None:
        """Give the server no work for a time that doubles with each failed trial.

        ``brief`` keeps the first ejection short with many routers too.
        """
        if now_us < self.ejected_until_us:
            return
        short = brief or self.settings.routers < MANY_ROUTERS
        first_us = EJECTION_US if short else MAX_EJECTION_US
        doublings = min(self.ejection_level // EJECTION_LEVEL_STEP, MAX_EJECTION_DOUBLINGS)
        self.ejected_until_us = now_us + min(MAX_EJECTION_US, first_us << doublings)
        self.ejection_level += EJECTION_LEVEL_STEP
        self.is_unresponsive = unresponsive
        self.health_check_passed = False
        self.failure_rate = 0.0
        self.sample_count = 0
        self.reported_in_flight = None

    def record_health_check(self, now_us: int) -> None:
        """Let an ejected server begin its trial, as its health check has passed."""
        if self.ejection_level:
            self.health_check_passed = True
            self.ejected_until_us = min(self.ejected_until_us, now_us)

    def is_healthy(self, now_us: int) -> bool:
        """Return whether the server may get work: it is not ejected, or due for its next trial."""
        if now_us < self.ejected_until_us:
            return False
        if not self.ejection_level:
            return True
        checked = self.health_check_passed or not self.settings.health_checks_allowed
        return not self.pending_tokens and checked


def is_slow_outlier(server: HealthRecord, peers: Sequence[float]) -> bool:
    """Return whether the server is far slower than its peers, given their times per token.

    Servers that are all slow together are no outliers.
    """
    if server.sample_count < MIN_SAMPLES or len(peers) <= 2:
        return False
    return server.us_per_token > SLOW_MULTIPLE * median(peers)
