"""Delays between calls to discovery; no I/O.

If the list comes from an agent on the dispatcher's own machine, a call costs next to nothing.
Otherwise discovery is one service shared by all dispatchers: it queues calls and works on one after
the other, and a call that its client has abandoned costs as much as one that is answered.
Dispatchers that all call at once, and call again as soon as they are rejected, keep its queue full
of abandoned calls, and then none is ever answered.

Changes that a watch misses count as known ``MISSED_CHANGES_DEADLINE_MS`` after the watch fell
silent. That time must cover the detection of the silence, a delay, a failed call, another delay,
and a successful call.
"""

import random
from dataclasses import dataclass, field

# time from the start of a watch's silence until the changes missed during it count as known
MISSED_CHANGES_DEADLINE_MS = 6_000.0
HEARTBEAT_INTERVAL_MS = 2_000.0  # maximum time between two lines of a healthy watch
# time since the last complete line after which a watch counts as broken
WATCH_SILENCE_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS + 400
CONNECT_TIMEOUT_MS = 500.0  # to establish a connection
# first and largest upper bound of the random delay before a retry at an agent
BACKOFF_MS, MAX_BACKOFF_MS = 50, 150
# For the whole list, or the first line of a watch, at an agent. An agent answers at once, and a
# retry costs nothing: an agent that was silent while discovery was down must be called again within
# the grace time of a drain once it is back.
RESPONSE_TIMEOUT_MS, MAX_RESPONSE_TIMEOUT_MS = 250.0, 500.0
# a shared discovery rejects within 2 s a call that it can't serve in turn
SHARED_RESPONSE_TIMEOUT_MS = 3_000.0
# time of one call at a shared discovery, rounded up: it serves 5 to 8 calls per second
SHARED_CALL_MS = 200
# share of ``first_call_within_ms`` over which the first calls are spread at most
FIRST_CALL_SHARE = 0.8
# a shared watch that lasted this long had been accepted: a rejection comes within 2 s
ACCEPTED_WATCH_MS = 3_000
# Maximum delay of the first retry after a lost watch: a later call can't be answered in time any
# more. Later retries are not bounded like this: with a bound on every retry, a discovery that can't
# serve all kept a queue full of abandoned calls, and in the model with 200 dispatchers all but the
# first 12 were never served.
MAX_FIRST_RETRY_MS = MISSED_CHANGES_DEADLINE_MS - WATCH_SILENCE_TIMEOUT_MS - 600
# maximum doublings of the retry delay after consecutive failures: with more, the list would get
# too old
MAX_DOUBLINGS = 1


@dataclass(slots=True)
class PollSchedule:
    """Schedule of one dispatcher's calls to discovery."""

    rng: random.Random
    shared: bool = False  # discovery is shared by all dispatchers
    routers: int = 1
    first_call_within_ms: float = 10_000.0
    failures: int = field(default=0, init=False)  # consecutive failures

    @property
    def response_timeout_ms(self) -> float:
        """Time limit of a call for the whole list, or of a watch until its first line.

        The limit is short at first, so that an address that accepts a call and stays silent is
        called again soon. It grows with each failure, because a busy address that never gets enough
        time spends as much on abandoned calls as on answered ones.
        """
        if self.shared:
            return SHARED_RESPONSE_TIMEOUT_MS
        return min(MAX_RESPONSE_TIMEOUT_MS, RESPONSE_TIMEOUT_MS * (1 << min(self.failures, 10)))

    @property
    def round_ms(self) -> float:
        """Time over which calls to a shared discovery are spread; 0 with an agent.

        It suffices to answer every dispatcher once, unless ``first_call_within_ms`` is too short.
        """
        return (
            min(FIRST_CALL_SHARE * self.first_call_within_ms, self.routers * SHARED_CALL_MS)
            if self.shared
            else 0.0
        )

    def initial_delay_ms(self) -> float:
        """Return the delay before the first call.

        Spreads the calls of dispatchers that start together and share a discovery.
        """
        return self.rng.uniform(0, self.round_ms)

    def line_received(self) -> None:
        """Record a line on the watch.

        This proves nothing for a shared discovery, which sends a line before it accepts a watch.
        """
        if not self.shared:
            self.failures = 0

    def retry_delay_ms(self, lasted_ms: float) -> float:
        """Return the delay after a watch that ended, for any reason, after ``lasted_ms``.

        Prevents dispatchers that lose discovery together from calling it in step, or more often
        than it can answer.
        """
        if self.shared and lasted_ms >= ACCEPTED_WATCH_MS:
            self.failures = 0
        failures, self.failures = self.failures, self.failures + 1
        if not self.shared:
            return self.rng.uniform(0, min(MAX_BACKOFF_MS, BACKOFF_MS << min(failures, 10)))
        if not failures:
            return self.rng.uniform(0, min(self.round_ms, MAX_FIRST_RETRY_MS))
        return self.rng.uniform(0.5, 1.5) * self.round_ms * (1 << min(failures - 1, MAX_DOUBLINGS))
