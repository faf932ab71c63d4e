"""Which requests are rejected: long prompts and whole sessions, with real routers.

Settings and traffic are drawn at random.
"""

import math
import random

import pytest
from helpers import MS, S
from simulated_fleet import SimulatedFleet

from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router

# Fixed cost of a prefill; median and sigma of the lognormal prompt lengths
PREFILL_OVERHEAD_TOKENS, MEDIAN_TOKENS, SIGMA = 1_500, 4_000, 0.5


class QueueingFleet(SimulatedFleet):
    """Prefill servers that process prompts in order of arrival, at ``us_per_token``.

    ``load`` is the mean number of prefills in progress that the traffic asks for.
    """

    classes: tuple[contract.TrafficClass, ...]

    def __init__(
        self,
        seed: int,
        load: float,
        size: tuple[int, int],
        us_per_token: float,
        mean_tokens: float,
    ) -> None:
        (routers, prefill_servers), self.us_per_token, self.free_at_us = (
            size,
            us_per_token,
            dict[str, int](),
        )
        rate = load * S / (us_per_token * mean_tokens)
        super().__init__("none", routers, prefill_servers, rate, seed, classes=self.classes)

    def prefill_us(self, server: str, tokens: int) -> int:
        start = max(self.now, self.free_at_us.get(server, 0))
        self.free_at_us[server] = start + round(
            self.us_per_token * (PREFILL_OVERHEAD_TOKENS + tokens)
        )
        return self.free_at_us[server] - self.now

    def answered_share(self, numbers: list[int]) -> float:
        return sum(self.answered[n] for n in numbers) / len(numbers)

    def longest_first(self, traffic_class: str) -> list[int]:
        """Return the requests of a class that have ended, longest prompts first."""
        ended = [n for n in self.answered if self.arrivals[n].traffic_class == traffic_class]
        return sorted(ended, key=lambda n: -self.arrivals[n].prompt_tokens)


class RandomFleet(QueueingFleet):
    """Sizes, classes, prompts and sessions drawn at random, similar to the deployments."""

    def __init__(self, seed: int, load: float) -> None:
        rng = random.Random(seed)
        routers, prefill_servers = rng.choice([3, 4, 6, 40]), rng.choice([5, 6, 8, 12])
        us_per_token = S / rng.uniform(13_000, 23_000)
        objectives_s = [rng.uniform(0.6, 1.5), rng.uniform(1, 3), rng.uniform(0.8, 2.5)]
        idempotencies = (
            contract.Idempotency.IDEMPOTENT,
            contract.Idempotency.IDEMPOTENT,
            contract.Idempotency.NONE,
        )
        self.classes = tuple(
            contract.TrafficClass(
                name=f"c{n}",
                latency_objective_us=round(objective_s * S),
                deadline_us=round(rng.uniform(4, 6) * objective_s * S),
                priority_weight=rng.choice([1.0, 3.0]),
                late_weight=0.2,
                idempotency=idempotencies[n],
                latency_objective_us_per_1k_tokens=40 * MS,
                token_objective_us=60 * MS,
            )
            for n, objective_s in enumerate(objectives_s)
        )
        mean_tokens = PREFILL_OVERHEAD_TOKENS + MEDIAN_TOKENS * math.exp(SIGMA**2 / 2)
        super().__init__(
            seed,
            load * (prefill_servers + 2),
            (routers, prefill_servers),
            us_per_token,
            mean_tokens,
        )

    def make_arrival(self, number: int) -> contract.Arrival:
        traffic_class = self.random.choice(self.classes)
        tokens = min(32_000, round(self.random.lognormvariate(math.log(MEDIAN_TOKENS), SIGMA)))
        session, prefix = f"s{self.random.randrange(30)}", f"p{self.random.randrange(8)}"
        return contract.Arrival(
            number,
            traffic_class.name,
            session,
            self.now + traffic_class.deadline_us,
            tokens,
            200,
            prefix,
            900,
        )


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("load", "least_share"), [(0.45, 2 / 3), (1.15, 1 / 2)])
def test_the_longest_prompts_get_a_fair_share_of_the_answers_of_their_class(
    seed: int, load: float, least_share: float
) -> None:
    check_long_prompts(RandomFleet(seed, load), load, least_share)


def check_long_prompts(fleet: QueueingFleet, load: float, least_share: float) -> None:
    fleet.run(40 * S)
    for traffic_class in fleet.classes:
        ended = fleet.longest_first(traffic_class.name)
        tenth, class_share = len(ended) // 10, fleet.answered_share(ended)
        assert tenth >= 5 and class_share >= (0.75 if load < 1 else 0.2), (
            f"{traffic_class.name}: {class_share:.2f}"
        )
        for part in (ended[:tenth], ended[tenth : 3 * tenth]):
            assert fleet.answered_share(part) >= least_share * class_share, (
                f"{traffic_class.name}: {fleet.answered_share(part):.2f} of {class_share:.2f}"
            )


@pytest.mark.parametrize("seed", range(6))
def test_no_session_is_rejected_throughout_while_there_is_capacity(seed: int) -> None:
    check_sessions(RandomFleet(seed, 0.45))


def check_sessions(fleet: QueueingFleet) -> None:
    fleet.run(40 * S)
    for traffic_class in fleet.classes:
        sessions: dict[str, list[bool]] = {}
        for number in fleet.longest_first(traffic_class.name):
            sessions.setdefault(fleet.arrivals[number].session, []).append(fleet.answered[number])
        unanswered = sum(not any(turns) for turns in sessions.values())
        rejected_share = 1 - fleet.answered_share(fleet.longest_first(traffic_class.name))
        by_chance = sum(rejected_share ** len(turns) for turns in sessions.values())
        assert unanswered <= by_chance + 0.12 * len(sessions)


def test_the_checks_detect_planted_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = Router._begin
    is_long, is_in_some_sessions = (
        (lambda arrival: arrival.prompt_tokens > 7_000),
        (lambda arrival: arrival.session.endswith(("3", "4", "5"))),
    )
    for rejected, check in (
        (is_long, lambda fleet: check_long_prompts(fleet, 0.45, 2 / 3)),
        (is_in_some_sessions, check_sessions),
    ):
        with monkeypatch.context() as planted:
            planted.setattr(
                Router,
                "_begin",
                lambda self, request, rejected=rejected: (
                    not rejected(request.arrival) and begin(self, request)
                ),
            )
            with pytest.raises(AssertionError):
                check(RandomFleet(1, 0.45))


class TightObjectivesFleet(QueueingFleet):
    """Objectives too short to prefill a tenth of the prompts in time, at a load of 0.4."""

    def __init__(self) -> None:
        self.classes = tuple(
            contract.TrafficClass(
                name,
                objective_ms * MS,
                deadline_ms * MS,
                priority_weight,
                0.2,
                latency_objective_us_per_1k_tokens=per_k,
                token_objective_us=60 * MS,
            )
            for name, objective_ms, deadline_ms, priority_weight, per_k in (
                ("a", 700, 2_500, 3.0, 0),
                ("b", 1_000, 3_000, 1.0, 10_000),
            )
        )
        mean_tokens, prefill_servers = PREFILL_OVERHEAD_TOKENS + 3_000 * math.exp(0.5), 8
        super().__init__(1, 0.4 * prefill_servers, (4, prefill_servers), 130.0, mean_tokens)

    def make_arrival(self, number: int) -> contract.Arrival:
        traffic_class, tokens = (
            self.random.choice(self.classes),
            round(self.random.lognormvariate(math.log(3_000), 1)),
        )
        session, prefix = f"s{self.random.randrange(400)}", f"p{self.random.randrange(6)}"
        deadline_us = self.now + traffic_class.deadline_us
        return contract.Arrival(
            number, traffic_class.name, session, deadline_us, min(32_000, tokens), 200, prefix, 900
        )


def test_requests_are_not_refused_for_their_own_length_while_there_is_room() -> None:
    fleet = TightObjectivesFleet()
    fleet.run(60 * S)
    for traffic_class in fleet.classes:
        share = fleet.answered_share(fleet.longest_first(traffic_class.name))
        assert share >= 0.75, f"{traffic_class.name}: {share:.2f}"
