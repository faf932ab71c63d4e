"""Slow start: limits the calls that one router sends to a server that has just started.

Such a server fails if all routers together send it more than its budget of calls in a window. The
budget is the overload multiple of the settings, times the server's present share of its capacity,
times the calls that a warm server of its kind answers in a window, plus a margin for chance.
Routers cannot count their calls together, so each keeps to its own quota of the budget. Where the
quota is less than one call, sampling alone limits the calls as long as the sampled calls are
expected to fit into half of the budget and a warm server may get the others; otherwise the routers
take turns on the other half. Each window belongs to a few of them, so that no burst exceeds the
budget. What whole quotas leave of a larger budget is shared by turns as well. Prefills are sampled
by a hash of the session, so that all routers send the same sessions to the server.

Each router owns one ``SlowStart``; the module does no I/O.
"""

import math
from collections import Counter, deque
from collections.abc import Sequence

from onyxpass.scheduling import contract
from onyxpass.scheduling.stable_hash import stable_hash

US_PER_SECOND = 1_000_000
RATE_HALF_LIFE_US = 8_000_000  # age at which an event counts half in a rate
MIN_RATE_AGE_US = 1_000_000  # time over which a rate is measured before it is used
FEW_CALLS = 30  # in a window, below which the budget has a larger margin for chance
BURST_MULTIPLE = 2  # of the average requests in a window, above which the latest count is used
SAMPLED_SHARE = 0.5  # of a budget of less than one call per router, for sampling alone
# From this number of routers on, sampled sends even out while no rate is known.
SAMPLING_ONLY_MIN_ROUTERS = 16


def window_budget(calls: float) -> float:
    """Return the limit of calls in a window in which a server can take ``calls`` on average.

    The margin for chance is larger for few calls.
    """
    spread = 3 if calls < FEW_CALLS else 2
    return calls + spread * math.sqrt(calls) + spread


def slow_start_factor(settings: contract.Settings, since_us: int, now_us: int) -> float:
    """Return the least share of its capacity that a server started at ``since_us`` has."""
    age = (now_us - since_us) / max(1, settings.slow_start_duration_us)
    return settings.slow_start_initial_factor + (1 - settings.slow_start_initial_factor) * min(
        1.0, max(0.0, age)
    )


class DecayingRate:
    """The rate of events since ``since_us``, in which older events count less."""

    def __init__(self, since_us: int) -> None:
        self._sum = 0.0
        self._since_us = since_us
        self._updated_us = since_us

    def add(self, now_us: int, amount: float) -> None:
        """Count ``amount`` events."""
        self._sum = self._sum * self._decay(now_us) + amount
        self._updated_us = now_us

    def _decay(self, now_us: int) -> float:
        return math.exp2(-max(0, now_us - self._updated_us) / RATE_HALF_LIFE_US)

    def per_second(self, now_us: int) -> float | None:
        """Return the rate, or None before it has been measured for ``MIN_RATE_AGE_US``."""
        age_us = now_us - self._since_us
        if age_us < MIN_RATE_AGE_US:
            return None
        span_us = RATE_HALF_LIFE_US / math.log(2) * (1 - math.exp2(-age_us / RATE_HALF_LIFE_US))
        return self._sum * self._decay(now_us) * US_PER_SECOND / span_us


class SlowStart:
    """Limits one router's sends to servers in slow start by the answer rates of warm servers."""

    def __init__(self, settings: contract.Settings) -> None:
        self.settings = settings
        self._measured_since_us = -1  # when a rate was first needed
        self._rates: dict[str, DecayingRate] = {}  # by kind: answers per server to this router
        self._known_kinds: set[str] = set()  # kinds of which a warm server has answered
        self._attempts = deque[tuple[int, str]]()  # in the last window: time and server
        self._attempts_by_server = Counter[str]()  # number of ``_attempts`` by server
        self._arrival_times = deque[int]()  # of requests in the last window
        self._arrival_rate: DecayingRate | None = None

    def record_answer(
        self, kind: str, factor: float, factors: Sequence[float], now_us: int
    ) -> None:
        """Count a prefill or first token from a server whose slow start factor is ``factor``.

        ``factors`` are those of all servers of its kind. Answers of a server in slow start count
        only until a warm server of the kind has answered: otherwise a budget would grow with the
        calls that it admitted.
        """
        warm_count = sum(other >= 1 for other in factors)
        if factor < 1 and kind in self._known_kinds:
            return
        if factor >= 1:
            self._known_kinds.add(kind)
        self._rate(kind, now_us).add(now_us, 1 / max(1, warm_count or len(factors)))

    def _rate(self, kind: str, now_us: int) -> DecayingRate:
        if self._measured_since_us < 0:
            self._measured_since_us = now_us
        return self._rates.setdefault(kind, DecayingRate(self._measured_since_us))

    def record_attempt(self, server: str, now_us: int) -> None:
        """Count an attempt sent to this server."""
        self._expire_attempts(now_us)
        self._attempts.append((now_us, server))
        self._attempts_by_server[server] += 1

    def _expire_attempts(self, now_us: int) -> None:
        while self._attempts and self._attempts[0][0] <= now_us - self.settings.overload_window_us:
            _, server = self._attempts.popleft()
            self._attempts_by_server[server] -= 1
            if not self._attempts_by_server[server]:
                # Prevents keeping a count for every server that ever existed.
                del self._attempts_by_server[server]

    def record_arrival(self, now_us: int) -> None:
        """Count a new request, whether it will be sent or not."""
        if self._arrival_rate is None:
            self._arrival_rate = DecayingRate(now_us)
        self._arrival_rate.add(now_us, 1.0)
        self._arrival_times.append(now_us)

    def _expected_arrivals(self, now_us: int) -> float:
        """Return the requests per window: the average, or the latest count if far higher."""
        window_us = max(1, self.settings.overload_window_us)
        while self._arrival_times and self._arrival_times[0] <= now_us - window_us:
            self._arrival_times.popleft()
        rate = self._arrival_rate.per_second(now_us) if self._arrival_rate is not None else None
        expected = (rate or 0.0) * window_us / US_PER_SECOND
        recent = len(self._arrival_times)
        return recent if recent > BURST_MULTIPLE * expected + BURST_MULTIPLE else expected

    def sampling_factor(
        self,
        server: str,
        kind: str,
        factor: float,
        probability: float,
        now_us: int,
        others_warm: bool = True,
    ) -> float:
        """Return the factor for the probability that a call is sampled for this server.

        0 means that the server gets no call now, 1 that the probability is unchanged, more that it
        is this router's turn. ``factor`` is the server's slow start factor, ``probability`` the
        probability that any call is sampled for it, and ``others_warm`` tells whether a warm server
        may get the calls instead. Where routers take turns without a quota, the router whose turn
        it is samples more often by the number of turns, so that the server gets on average as many
        calls as by sampling alone.
        """
        if factor >= 1:
            return 1.0
        window_us = max(1, self.settings.overload_window_us)
        routers = max(1, self.settings.routers)
        known_rate = self._rates.get(kind)
        rate = known_rate.per_second(now_us) if known_rate is not None else None
        if rate is None and routers >= SAMPLING_ONLY_MIN_ROUTERS:
            return 1.0
        router_calls = (
            (rate or 0.0) * window_us / US_PER_SECOND * self.settings.overload_multiple * factor
        )
        budget = math.floor(window_budget(router_calls * routers))  # of all routers in a window
        quota, remainder = divmod(budget, routers)
        self._expire_attempts(now_us)
        if not quota:
            sampled = SAMPLED_SHARE * budget
            if others_warm and self._expected_arrivals(now_us) * routers * probability <= sampled:
                return 1.0
            remainder -= math.floor(sampled)
        turns = self._turns(remainder, quota, routers)
        in_turn = turns > 0 and self._window_number(server, now_us, window_us) % turns == 0
        if self._attempts_by_server[server] >= quota + in_turn:
            return 0.0
        return 1.0 if quota else float(turns)

    @staticmethod
    def _turns(remainder: int, quota: int, routers: int) -> int:
        """Return the number of turns in which routers share the remainder of a budget, or 0."""
        # Any window overlaps two turns, so each turn has half of the remainder.
        return math.ceil(routers / max(1, remainder // 2)) if remainder > 1 or not quota else 0

    def _window_number(self, server: str, now_us: int, window_us: int) -> int:
        return now_us // window_us + self.settings.ordinal + stable_hash(server)
