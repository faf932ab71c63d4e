"""Selects the upstream that is polled next, and when, without I/O.

A pull is a long poll: its upstream delays the answer until there is something new, so that a change
is passed on at once and an idle node makes few calls. Upstreams are listed by preference: those of
the node's zone first, then those of its region, then those of the other region.
"""

import random
from dataclasses import dataclass, field

LONG_POLL_S = 3.0  # for which an upstream may delay its answer when it has nothing new
# time beyond LONG_POLL_S after which a pull fails; two hops that stall still fit into 12 s
ANSWER_MARGIN_S = 1.5
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0  # doubles each time all upstreams have failed
PREFERRED_RETRY_S = 10.0  # after which the preferred upstream is tried again


@dataclass(frozen=True, slots=True)
class ScheduledPull:
    """A pull from the upstream of this index, after ``delay_s``."""

    upstream: int
    delay_s: float


@dataclass(slots=True)
class UpstreamSelector:
    """Selects among ``upstream_count`` upstreams, which are ordered by preference."""

    upstream_count: int
    rng: random.Random
    current: int = 0
    failures: int = field(default=0, init=False)  # consecutive ones, over all upstreams
    _preferred_switch_s: float = field(
        default=0.0, init=False
    )  # time of the last switch from or to the preferred upstream

    def next_pull(self, now_s: float) -> ScheduledPull:
        if self.current and now_s - self._preferred_switch_s >= PREFERRED_RETRY_S:
            self.current, self._preferred_switch_s = 0, now_s
        if self.failures < self.upstream_count:
            return ScheduledPull(self.current, 0.0)
        rounds = self.failures // self.upstream_count
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(10, rounds))
        return ScheduledPull(self.current, self.rng.uniform(0.5, 1.0) * backoff_s)

    def record_success(self) -> None:
        self.failures = 0

    def record_failure(self, now_s: float) -> None:
        """Switch to the next upstream after a missing or invalid answer."""
        self.failures += 1
        if self.current == 0:
            self._preferred_switch_s = now_s
        self.current = (self.current + 1) % max(1, self.upstream_count)
