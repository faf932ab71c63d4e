"""The router under random settings that cover both deployments and what lies between them."""

from dataclasses import dataclass

from helpers import MS, RouterDriver, S
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

FAILED_STATUSES = (
    AttemptStatus.ERROR,
    AttemptStatus.OVERLOADED,
    AttemptStatus.TIMED_OUT,
    AttemptStatus.UNREACHABLE,
    AttemptStatus.RESET,
)


@dataclass(frozen=True)
class Deployment:
    settings: dict[str, object]
    servers: tuple[contract.Endpoint, ...]
    class_names: tuple[str, ...]


@st.composite
def deployments(draw: st.DrawFn) -> Deployment:
    count = draw(st.integers(2, 3))
    classes = []
    for number in range(count):
        objective_us = draw(st.integers(800, 3_000)) * MS
        non_idempotent = number == count - 1
        classes.append(
            contract.TrafficClass(
                f"c{number}",
                objective_us,
                5 * objective_us,
                priority_weight=float(draw(st.integers(1, 5))),
                late_weight=draw(st.sampled_from((0.1, 0.2, 0.3))),
                idempotency=contract.Idempotency.NONE
                if non_idempotent
                else contract.Idempotency.IDEMPOTENT,
                latency_objective_us_per_1k_tokens=draw(st.sampled_from((40_000, 60_000))),
                token_objective_us=draw(st.sampled_from((50_000, 60_000, 80_000))),
            )
        )
    kinds = [
        contract.ServerKind("r", contract.Role.PREFILL, 250_000),
        contract.ServerKind("w", contract.Role.DECODE, 150_000),
    ]
    mixed = draw(st.booleans())
    if mixed:
        kinds.append(contract.ServerKind("m", contract.Role.MIXED, 250_000))
    zones = draw(st.integers(2, 3))
    servers = tuple(
        contract.Endpoint(f"{kind.name}{i}", kind.name, f"z{i % zones}", i % zones)
        for kind in kinds
        for i in range(draw(st.integers(3, 7)))
    )
    drawn_settings: dict[str, object] = {
        "classes": tuple(classes),
        "kinds": tuple(kinds),
        "routers": draw(st.sampled_from((2, 3, 4, 40, 200))),
        "load_report_mode": draw(
            st.sampled_from((contract.LoadReportMode.NONE, contract.LoadReportMode.INLINE))
        ),
        "max_attempts": draw(st.sampled_from((4, 6))),
        "hedging_allowed": draw(st.booleans()),
        "decode_servers_prefill": draw(st.booleans()),
        "health_checks_allowed": draw(st.booleans()),
        "overload_multiple": draw(st.sampled_from((2.5, 3.0))),
        "drain_grace_us": draw(st.sampled_from((250_000, 1_000_000))),
        "tenants": (contract.Tenant("a", draw(st.floats(1, 20))), contract.Tenant("b", 5.0)),
        "over_quota_weight": 0.1,
    }
    return Deployment(
        drawn_settings, servers, tuple(traffic_class.name for traffic_class in classes)
    )


class CheckedRouterDriver(RouterDriver):
    """Records the attempts of every request and checks the rules that hold for any settings."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment.servers, **deployment.settings)
        self.deployment = deployment
        self.ended: dict[int, list[AttemptStatus]] = {}
        self.streams: set[int] = set()

    def add_request(self, number: int, wait_us: int = 4 * S) -> None:
        traffic_class = self.deployment.class_names[number % len(self.deployment.class_names)]
        tenant = "ab"[number % 2]
        deadline_us = self.now + wait_us
        self.submit(
            number,
            f"s{number % 9}",
            f"p{number % 4}",
            traffic_class=traffic_class,
            tenant=tenant,
            deadline_us=deadline_us,
        )

    def in_flight(self) -> list[int]:
        """Return the requests with an attempt in flight."""
        return [
            number
            for number, sent in self.sent.items()
            if len(sent) > len(self.ended.get(number, ())) and number not in self.streams
        ]

    def end_attempt(self, number: int, status: AttemptStatus, after_us: int) -> None:
        """End the attempt of a request; a successful decode is a complete stream."""
        server = self.sent[number][-1]
        is_decode = not server.startswith("r") and not (
            server.startswith("m") and self.needs_prefill(number)
        )
        if status is AttemptStatus.PREFILLED and is_decode:
            self.streams.add(number)
            self.deliver(
                contract.StreamStarted(number, len(self.sent[number]) - 1, server, after_us),
                after_us,
            )
            self.deliver_outcome(number, AttemptStatus.COMPLETED, after_us, final=True)
        else:
            self.ended.setdefault(number, []).append(status)
            self.deliver_outcome(number, status, after_us)

    def needs_prefill(self, number: int) -> bool:
        request = self.router.requests.get(number)
        return request is not None and request.state_holder is None

    def check_rules(self) -> None:
        for number, sent in self.sent.items():
            ended = self.ended.get(number, [])
            assert len(sent) - len(ended) in (0, 1), "one attempt at a time"
            assert len(sent) <= self.settings.max_attempts
            traffic_class = self.settings.classes[number % len(self.settings.classes)]
            if traffic_class.idempotency is not contract.Idempotency.NONE:
                continue
            ran = [
                i
                for i, status in enumerate(ended)
                if status.may_have_run and sent[i].startswith("w")
            ]
            assert not ran or len(sent) == ran[0] + 1, "no attempt after one that may have run"
            if ran and number in self.answers:
                assert self.answers[number] == [contract.Fail(number)]
        assert all(len(answers) == 1 for answers in self.answers.values()), "one final answer"
        assert not self.answers.keys() & self.streams


STEPS = st.lists(
    st.tuples(st.sampled_from(("ask", "tick", "good", *FAILED_STATUSES)), st.integers(1, 1_500)),
    max_size=60,
)


@given(deployments(), STEPS)
@settings(derandomize=True, max_examples=120, deadline=None)
def test_the_rules_hold_for_any_settings_and_outcomes(
    deployment: Deployment, steps: list[tuple[object, int]]
) -> None:
    driver, number = CheckedRouterDriver(deployment), 0
    for step, ms in steps:
        in_flight = driver.in_flight()
        if step == "ask":
            number += 1
            driver.add_request(number)
        elif step == "tick" or not in_flight:
            driver.tick()
        else:
            driver.end_attempt(
                in_flight[ms % len(in_flight)],
                AttemptStatus.PREFILLED if step == "good" else step,  # type: ignore[arg-type]
                ms * MS,
            )
        driver.check_rules()
    for _ in range(400):  # until all deadlines have passed and every request has its answer
        for waiting in driver.in_flight():
            driver.end_attempt(waiting, AttemptStatus.TIMED_OUT, 0)
        driver.tick()
    driver.check_rules()
    assert set(range(1, number + 1)) == driver.answers.keys() | driver.streams


@given(deployments(), st.sampled_from(("slow", *FAILED_STATUSES)), st.integers(5, 40))
@settings(derandomize=True, max_examples=120, deadline=None)
def test_requests_are_served_again_after_a_period_of_failures(
    deployment: Deployment, failure: object, requests: int
) -> None:
    """After one overload, all dispatchers rejected every request from then on."""
    driver = CheckedRouterDriver(deployment)
    for number in range(1, requests + 1):
        driver.add_request(number)
        driver.tick()
        for in_flight in driver.in_flight():
            driver.end_attempt(
                in_flight,
                AttemptStatus.PREFILLED if failure == "slow" else failure,  # type: ignore[arg-type]
                1_500 * MS,
            )
    driver.now += 15 * S
    for _ in range(40):
        driver.tick()
    # The rejected share falls with the answers to the requests that are sent.
    for number in range(1_000, 1_300):
        driver.add_request(number)
        for _ in range(2):
            driver.tick()
            for in_flight in driver.in_flight():
                driver.end_attempt(in_flight, AttemptStatus.PREFILLED, 20 * MS)
    last = [number for number in range(1_200, 1_300) if number in driver.streams]
    assert len(last) >= 10, "requests are not rejected for good"
