"""The planner of waves and the state machine of a rollout, under random orders of results."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpass.fleet.outcome import ExitCode, OutcomeKind, done, failed, unknown
from onyxpass.fleet.planner import (
    CAPACITY_TOLERANCE,
    DisruptionLimits,
    PlannedInstance,
    Planner,
    fewest_waves,
    plan,
)
from onyxpass.fleet.rollout import (
    ApplyChange,
    ChangeMethod,
    InstanceTarget,
    Observation,
    ObserveInstance,
    Rollout,
    RolloutPace,
    RolloutStage,
    WakeAfter,
)

HALLS = ("boa-vista", "santo-amaro", "derby")


def make_instances(count: int, hosts: int = 4) -> list[PlannedInstance]:
    return [
        PlannedInstance(f"i{n:05}", HALLS[n % 3], f"h{n % 3}-{n // 3 % hosts}")
        for n in range(count)
    ]


def make_limits(out: int = 4, hall: int = 2, host: int = 1, **keep: float) -> DisruptionLimits:
    return DisruptionLimits(
        out, hall, host, {name.replace("_", "-"): value for name, value in keep.items()}
    )


@st.composite
def fleet_changes(draw: st.DrawFn) -> tuple[list[PlannedInstance], list[str], DisruptionLimits]:
    instances = [
        PlannedInstance(
            f"i{n}",
            draw(st.sampled_from(HALLS)),
            f"h{draw(st.integers(0, 3))}",
            draw(st.sampled_from((0.5, 1.0, 3.0))),
            draw(st.booleans()) or draw(st.booleans()),
        )
        for n in range(draw(st.integers(1, 14)))
    ]
    instances = [
        PlannedInstance(
            instance.name,
            instance.hall,
            f"{instance.hall}-{instance.host}",
            instance.capacity,
            instance.serving,
        )
        for instance in instances
    ]
    to_change = [instance.name for instance in instances if draw(st.booleans())]
    keep = {hall: draw(st.floats(0, 6)) for hall in HALLS}
    return (
        instances,
        to_change,
        DisruptionLimits(
            draw(st.integers(1, 6)), draw(st.integers(1, 4)), draw(st.integers(1, 3)), keep
        ),
    )


def assert_limits_met(
    planner: Planner, before: Planner | None, taken: tuple[PlannedInstance, ...]
) -> None:
    """Check the limits, counted from the instances, if the wave took one out of service."""
    out = set(planner.out)
    newly_out = [
        instance for instance in taken if before is None or instance.name not in before.out
    ]
    if not newly_out:
        return
    assert len(out) <= planner.limits.out
    for instance in newly_out:
        in_hall = [n for n in out if planner.instances[n].hall == instance.hall]
        on_host = [n for n in out if planner.instances[n].host == instance.host]
        assert len(in_hall) <= planner.limits.out_hall and len(on_host) <= planner.limits.out_host
        serving = sum(
            other.capacity
            for other in planner.instances.values()
            if other.hall == instance.hall and other.serving
        )
        assert serving >= planner.limits.keep.get(instance.hall, 0.0) - CAPACITY_TOLERANCE


@settings(max_examples=150, deadline=None, derandomize=True)
@given(fleet_changes(), st.randoms(use_true_random=False))
def test_the_limits_hold_in_every_state_under_any_order_of_results(
    fleet: tuple[list[PlannedInstance], list[str], DisruptionLimits], rng: random.Random
) -> None:
    instances, to_change, limits = fleet
    planner = Planner(instances, to_change, limits)
    pending: list[str] = []
    taken: list[str] = []
    for _ in range(60):
        if rng.random() < 0.5:
            before = Planner(planner.instances.values(), (), limits)
            before.out = set(planner.out)
            wave = planner.next_wave(rng.choice((None, 1, 2)))
            assert_limits_met(planner, before, wave)
            pending += [instance.name for instance in wave]
            taken += [instance.name for instance in wave]
        elif pending and rng.random() < 0.7:
            planner.observe(pending.pop(rng.randrange(len(pending))), rng.random() < 0.8)
        else:  # an instance fails or recovers by itself
            name = rng.choice(sorted(planner.instances))
            if name not in pending:
                planner.observe(name, rng.random() < 0.5)
        for hall in planner.halls.values():
            in_hall = [i for i in planner.instances.values() if i.hall == hall.name]
            assert abs(hall.serving_capacity - sum(i.capacity for i in in_hall if i.serving)) < 1e-6
            assert hall.out == sum(i.name in planner.out for i in in_hall)
    assert len(taken) == len(set(taken)) and set(taken) <= set(to_change), (
        "each instance to change is taken at most once, and no other"
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(1, 80), st.integers(1, 9), st.integers(1, 5), st.integers(1, 3), st.integers(1, 7)
)
def test_plan_has_the_fewest_possible_waves_if_all_capacities_are_equal(
    count: int, out: int, hall: int, host: int, hosts: int
) -> None:
    instances, limits = make_instances(count, hosts), make_limits(out, hall, host)
    names = [instance.name for instance in instances]
    wave_plan = plan(instances, names, limits)
    assert sorted(instance.name for wave in wave_plan.waves for instance in wave) == names
    assert len(wave_plan.waves) == fewest_waves(instances, names, limits)


def test_instance_that_its_hall_can_never_spare_is_reported_and_the_others_are_planned() -> None:
    instances = [*make_instances(6), PlannedInstance("big", "derby", "d9", 5.0)]
    wave_plan = plan(instances, [instance.name for instance in instances], make_limits(derby=6.0))
    assert set(wave_plan.impossible) == {"big"} and "must keep 6" in wave_plan.impossible["big"]
    assert sum(len(wave) for wave in wave_plan.waves) == 6


def test_instance_out_of_service_is_taken_even_if_its_hall_has_no_spare_capacity() -> None:
    instances = [
        PlannedInstance("a", "derby", "h1"),
        PlannedInstance("b", "derby", "h2", serving=False),
    ]
    planner = Planner(instances, ["a", "b"], make_limits(out=1, hall=1, derby=1.0))
    assert [instance.name for instance in planner.next_wave()] == ["b"]
    assert planner.next_wave() == ()
    planner.observe("b", True)
    assert [instance.name for instance in planner.next_wave()] == ["a"]


# Rollouts


class SimulatedRollout:
    """A rollout on simulated instances.

    ``order_results`` says, by instance, how an order ends; ``reverting`` names the instance that is
    back on its old configuration when the changes are verified.
    """

    def __init__(
        self, count: int = 6, method: ChangeMethod = ChangeMethod.RELOAD, **pace: float
    ) -> None:
        self.instances = make_instances(count)
        self.now_s = 0.0
        self.digests = {instance.name: "old" for instance in self.instances}
        self.serving = {instance.name: True for instance in self.instances}
        self.launches = {instance.name: "l0" for instance in self.instances}
        self.silent: set[str] = set()
        self.order_results: dict[str, str] = {}
        self.ordered: list[str] = []
        self.reverting = ""
        rollout_pace = RolloutPace(**{"canaries": 1, "pause_s": 5.0, "abort_after": 1, **pace})  # type: ignore[arg-type]
        targets = {instance.name: InstanceTarget("new", "l0") for instance in self.instances}
        self.rollout = Rollout(self.instances, targets, method, make_limits(3, 1, 1), rollout_pace)

    def observe(self, name: str) -> Observation:
        if name in self.silent:
            return Observation(error="silent")
        return Observation(self.digests[name], self.launches[name], self.serving[name])

    def change(self, name: str) -> None:
        self.digests[name] = "new"
        if self.rollout.method is ChangeMethod.RESTART:
            self.launches[name] = "l1"

    def run(self, already_ordered: tuple[str, ...] = ()) -> Rollout:
        actions = self.rollout.begin(already_ordered)
        for _ in range(10_000):
            if not actions:
                break
            action = actions.pop(0)
            match action:
                case ObserveInstance(name):
                    if name == self.reverting and self.rollout.stage is RolloutStage.VERIFYING:
                        self.digests[name] = "old"
                    actions += self.rollout.on_observed(name, self.observe(name), self.now_s)
                case ApplyChange(name):
                    self.ordered.append(name)
                    order_result, outcome = self.order_results.get(name, "succeeds"), done()
                    if order_result in ("succeeds", "applied but unknown"):
                        self.change(name)
                    if order_result == "applied but unknown":
                        outcome = unknown("no answer")
                    elif order_result == "not applied but done":
                        outcome = done("reported")
                    elif order_result == "fails":
                        outcome = failed("the file is invalid")
                    elif order_result == "hangs":
                        self.silent.add(name)
                        outcome = unknown("no answer")
                    actions += self.rollout.on_change_ended(
                        name, outcome, self.observe(name), self.now_s
                    )
                case WakeAfter(delay_s):
                    self.now_s += delay_s
                    actions += self.rollout.on_timer(self.now_s)
        assert self.rollout.stage is RolloutStage.ENDED
        assert sum(self.rollout.tally.counts().values()) == len(self.instances)
        return self.rollout

    def kinds(self) -> dict[str, OutcomeKind]:
        return {name: outcome.kind for name, outcome in self.rollout.tally.outcomes().items()}


def test_rollout_changes_the_canary_first_and_pauses_between_waves() -> None:
    simulation = SimulatedRollout()
    rollout = simulation.run()
    assert rollout.tally.exit_code() is ExitCode.DONE and [len(wave) for wave in rollout.waves] == [
        1,
        3,
        2,
    ]
    assert simulation.now_s == 10.0, "a pause after each wave but the last"


def test_failed_canary_leaves_the_other_instances_untried() -> None:
    simulation = SimulatedRollout()
    simulation.order_results = {instance.name: "fails" for instance in simulation.instances}
    rollout = simulation.run()
    assert rollout.tally.counts() == {"done": 0, "failed": 1, "unknown": 0, "not tried": 5}
    assert len(simulation.ordered) == 1 and rollout.tally.exit_code() is ExitCode.FAILED


def test_instance_that_hangs_is_unknown_and_counts_against_the_limits() -> None:
    simulation = SimulatedRollout(9, abort_after=3)
    simulation.order_results = {"i00001": "hangs"}
    rollout = simulation.run()
    assert simulation.kinds()["i00001"] is OutcomeKind.UNKNOWN
    same_hall = [name for name in simulation.kinds() if name != "i00001" and int(name[1:]) % 3 == 1]
    unordered = [
        rollout.tally.outcomes()[name] for name in same_hall if name not in simulation.ordered
    ]
    assert (
        all(o.kind is OutcomeKind.NOT_TRIED and "out of service" in o.reason for o in unordered)
        and unordered
    )


def test_outcome_follows_the_observed_state_and_not_the_reported_end() -> None:
    simulation = SimulatedRollout(6, abort_after=6)
    simulation.order_results = {"i00001": "not applied but done", "i00002": "applied but unknown"}
    rollout = simulation.run()
    outcomes = rollout.tally.outcomes()
    assert (
        outcomes["i00001"].kind is OutcomeKind.FAILED and "runs on old" in outcomes["i00001"].reason
    )
    assert (
        outcomes["i00002"].kind is OutcomeKind.DONE
        and "ended otherwise" in outcomes["i00002"].reason
    )


def test_instance_that_reverts_its_change_is_reported_as_failed() -> None:
    simulation = SimulatedRollout()
    simulation.reverting = "i00000"  # restarted with the old file before it is verified
    rollout = simulation.run()
    outcome = rollout.tally.outcomes()["i00000"]
    assert outcome.kind is OutcomeKind.FAILED and "had taken the change" in outcome.reason
    assert rollout.tally.exit_code() is ExitCode.FAILED


def test_resumed_rollout_observes_all_instances_and_orders_no_changed_one_again() -> None:
    simulation = SimulatedRollout(6, ChangeMethod.RESTART)
    for name in ("i00000", "i00001"):
        simulation.change(name)
    simulation.silent = {"i00002"}
    rollout = simulation.run(already_ordered=("i00000", "i00001", "i00002"))
    assert "i00000" not in simulation.ordered and "i00001" not in simulation.ordered
    assert simulation.kinds()["i00002"] is OutcomeKind.UNKNOWN, (
        "an order was sent to it, and its state can't be read"
    )
    assert rollout.tally.counts()["done"] == 2, (
        "the unknown instance reaches the abort threshold, so no others are tried"
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(1, 12), st.data())
def test_outcomes_add_up_and_match_the_instances_however_orders_end(
    count: int, data: st.DataObject
) -> None:
    simulation = SimulatedRollout(
        count, abort_after=data.draw(st.integers(1, 4)), canaries=data.draw(st.integers(0, 3))
    )
    results = st.sampled_from(
        ("succeeds", "succeeds", "fails", "hangs", "not applied but done", "applied but unknown")
    )
    simulation.order_results = {
        instance.name: data.draw(results) for instance in simulation.instances
    }
    simulation.run()
    for name, kind in simulation.kinds().items():
        if kind is OutcomeKind.DONE:
            assert simulation.digests[name] == "new" and name not in simulation.silent
        if kind is OutcomeKind.NOT_TRIED:
            assert name not in simulation.ordered
        if (
            name in simulation.ordered
            and simulation.digests[name] == "old"
            and name not in simulation.silent
        ):
            assert kind is OutcomeKind.FAILED
