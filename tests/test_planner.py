"""The planner of waves and the rollout's state machine, in every order of results that chance
finds.
"""

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


def units(count: int, hosts: int = 4) -> list[PlannedInstance]:
    return [
        PlannedInstance(f"i{n:05}", HALLS[n % 3], f"h{n % 3}-{n // 3 % hosts}")
        for n in range(count)
    ]


def limits(out: int = 4, hall: int = 2, host: int = 1, **keep: float) -> DisruptionLimits:
    return DisruptionLimits(
        out, hall, host, {name.replace("_", "-"): value for name, value in keep.items()}
    )


@st.composite
def fleets(draw: st.DrawFn) -> tuple[list[PlannedInstance], list[str], DisruptionLimits]:
    made = [
        PlannedInstance(
            f"i{n}",
            draw(st.sampled_from(HALLS)),
            f"h{draw(st.integers(0, 3))}",
            draw(st.sampled_from((0.5, 1.0, 3.0))),
            draw(st.booleans()) or draw(st.booleans()),
        )
        for n in range(draw(st.integers(1, 14)))
    ]
    made = [
        PlannedInstance(u.name, u.hall, f"{u.hall}-{u.host}", u.capacity, u.serving) for u in made
    ]
    change = [u.name for u in made if draw(st.booleans())]
    keep = {hall: draw(st.floats(0, 6)) for hall in HALLS}
    return (
        made,
        change,
        DisruptionLimits(
            draw(st.integers(1, 6)), draw(st.integers(1, 4)), draw(st.integers(1, 3)), keep
        ),
    )


def held(planner: Planner, before: Planner | None, taken: tuple[PlannedInstance, ...]) -> None:
    """The limits, counted anew from the units after each wave that took somebody out of service."""
    out = set(planner.out)
    fresh = [u for u in taken if before is None or u.name not in before.out]
    if not fresh:
        return
    assert len(out) <= planner.limits.out
    for unit in fresh:
        in_hall = [n for n in out if planner.instances[n].hall == unit.hall]
        on_host = [n for n in out if planner.instances[n].host == unit.host]
        assert len(in_hall) <= planner.limits.out_hall and len(on_host) <= planner.limits.out_host
        serving = sum(
            u.capacity for u in planner.instances.values() if u.hall == unit.hall and u.serving
        )
        assert serving >= planner.limits.keep.get(unit.hall, 0.0) - CAPACITY_TOLERANCE


@settings(max_examples=150, deadline=None, derandomize=True)
@given(fleets(), st.randoms(use_true_random=False))
def test_the_limits_hold_in_every_state_under_any_order_of_results(
    fleet: tuple[list[PlannedInstance], list[str], DisruptionLimits], chance: random.Random
) -> None:
    made, change, bound = fleet
    planner = Planner(made, change, bound)
    pending: list[str] = []
    seen: list[str] = []
    for _ in range(60):
        if chance.random() < 0.5:
            before = Planner(planner.instances.values(), (), bound)
            before.out = set(planner.out)
            wave = planner.next_wave(chance.choice((None, 1, 2)))
            held(planner, before, wave)
            pending += [unit.name for unit in wave]
            seen += [unit.name for unit in wave]
        elif pending and chance.random() < 0.7:
            planner.observe(pending.pop(chance.randrange(len(pending))), chance.random() < 0.8)
        else:  # something breaks, or mends, by itself
            name = chance.choice(sorted(planner.instances))
            if name not in pending:
                planner.observe(name, chance.random() < 0.5)
        for hall in planner.halls.values():
            mine = [u for u in planner.instances.values() if u.hall == hall.name]
            assert abs(hall.serving_capacity - sum(u.capacity for u in mine if u.serving)) < 1e-6
            assert hall.out == sum(u.name in planner.out for u in mine)
    assert len(seen) == len(set(seen)) and set(seen) <= set(change), (
        "each is taken once, and no other"
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(1, 80), st.integers(1, 9), st.integers(1, 5), st.integers(1, 3), st.integers(1, 7)
)
def test_with_one_capacity_no_order_needs_fewer_waves(
    count: int, out: int, hall: int, host: int, hosts: int
) -> None:
    made, bound = units(count, hosts), limits(out, hall, host)
    names = [unit.name for unit in made]
    found = plan(made, names, bound)
    assert sorted(unit.name for wave in found.waves for unit in wave) == names
    assert len(found.waves) == fewest_waves(made, names, bound)


def test_what_a_hall_can_never_spare_is_named_and_the_rest_goes() -> None:
    made = [*units(6), PlannedInstance("big", "derby", "d9", 5.0)]
    found = plan(made, [unit.name for unit in made], limits(derby=6.0))
    assert set(found.impossible) == {"big"} and "must keep 6" in found.impossible["big"]
    assert sum(len(wave) for wave in found.waves) == 6


def test_one_that_is_out_already_goes_even_where_the_hall_has_nothing_to_spare() -> None:
    made = [PlannedInstance("a", "derby", "h1"), PlannedInstance("b", "derby", "h2", serving=False)]
    planner = Planner(made, ["a", "b"], limits(out=1, hall=1, derby=1.0))
    assert [unit.name for unit in planner.next_wave()] == ["b"]
    assert planner.next_wave() == ()
    planner.observe("b", True)
    assert [unit.name for unit in planner.next_wave()] == ["a"]


# The rollout


class Play:
    """A fleet of one-word instances, and the rollout that changes them. ``fates``: what befalls
    an order.
    """

    def __init__(
        self, count: int = 6, method: ChangeMethod = ChangeMethod.RELOAD, **pace: float
    ) -> None:
        self.units = units(count)
        self.now_s = 0.0
        self.digests = {unit.name: "old" for unit in self.units}
        self.serving = {unit.name: True for unit in self.units}
        self.launches = {unit.name: "l0" for unit in self.units}
        self.silent: set[str] = set()
        self.fates: dict[str, str] = {}
        self.ordered: list[str] = []
        self.loses = ""
        made = RolloutPace(**{"canaries": 1, "pause_s": 5.0, "abort_after": 1, **pace})  # type: ignore[arg-type]
        targets = {unit.name: InstanceTarget("new", "l0") for unit in self.units}
        self.rollout = Rollout(self.units, targets, method, limits(3, 1, 1), made)

    def seen(self, name: str) -> Observation:
        if name in self.silent:
            return Observation(problem="silent")
        return Observation(self.digests[name], self.launches[name], self.serving[name])

    def change(self, name: str) -> None:
        self.digests[name] = "new"
        if self.rollout.method is ChangeMethod.RESTART:
            self.launches[name] = "l1"

    def run(self, touched: tuple[str, ...] = ()) -> Rollout:
        actions = self.rollout.begin(touched)
        for _ in range(10_000):
            if not actions:
                break
            action = actions.pop(0)
            match action:
                case ObserveInstance(name):
                    if name == self.loses and self.rollout.stage is RolloutStage.VERIFYING:
                        self.digests[name] = "old"
                    actions += self.rollout.seen(name, self.seen(name), self.now_s)
                case ApplyChange(name):
                    self.ordered.append(name)
                    fate, outcome = self.fates.get(name, "well"), done()
                    if fate in ("well", "late word"):
                        self.change(name)
                    if fate == "late word":
                        outcome = unknown("no answer")
                    elif fate == "lies":
                        outcome = done("so it says")
                    elif fate == "fails":
                        outcome = failed("the file is no use")
                    elif fate == "hangs":
                        self.silent.add(name)
                        outcome = unknown("no answer")
                    actions += self.rollout.ended(name, outcome, self.seen(name), self.now_s)
                case WakeAfter(after_s):
                    self.now_s += after_s
                    actions += self.rollout.tick(self.now_s)
        assert self.rollout.stage is RolloutStage.ENDED
        assert sum(self.rollout.tally.counts().values()) == len(self.units)
        return self.rollout

    def kinds(self) -> dict[str, OutcomeKind]:
        return {name: outcome.kind for name, outcome in self.rollout.tally.outcomes().items()}


def test_a_rollout_goes_canary_first_by_waves_and_verifies_all() -> None:
    play = Play()
    found = play.run()
    assert found.tally.exit_code() is ExitCode.DONE and [len(wave) for wave in found.waves] == [
        1,
        3,
        2,
    ]
    assert play.now_s == 10.0, "a pause after each wave but the last"


def test_a_failed_canary_leaves_the_others_untried() -> None:
    play = Play()
    play.fates = {unit.name: "fails" for unit in play.units}
    found = play.run()
    assert found.tally.counts() == {"done": 0, "failed": 1, "unknown": 0, "not tried": 5}
    assert len(play.ordered) == 1 and found.tally.exit_code() is ExitCode.FAILED


def test_one_that_hangs_half_way_is_unknown_and_counts_against_the_limits() -> None:
    play = Play(9, abort_after=3)
    play.fates = {"i00001": "hangs"}
    found = play.run()
    assert play.kinds()["i00001"] is OutcomeKind.UNKNOWN
    same_hall = [name for name in play.kinds() if name != "i00001" and int(name[1:]) % 3 == 1]
    told = [found.tally.outcomes()[name] for name in same_hall if name not in play.ordered]
    assert (
        all(o.kind is OutcomeKind.NOT_TRIED and "out of service" in o.reason for o in told) and told
    )


def test_done_is_only_what_was_read_back_and_a_late_word_is_found_out() -> None:
    play = Play(6, abort_after=6)
    play.fates = {"i00001": "lies", "i00002": "late word"}
    found = play.run()
    outcomes = found.tally.outcomes()
    assert (
        outcomes["i00001"].kind is OutcomeKind.FAILED and "runs on old" in outcomes["i00001"].reason
    )
    assert (
        outcomes["i00002"].kind is OutcomeKind.DONE
        and "ended otherwise" in outcomes["i00002"].reason
    )


def test_what_loses_the_change_again_is_not_reported_as_done() -> None:
    play = Play()
    play.loses = "i00000"  # once it is looked at again, it has restarted with the old file
    found = play.run()
    outcome = found.tally.outcomes()["i00000"]
    assert outcome.kind is OutcomeKind.FAILED and "had taken the change" in outcome.reason
    assert found.tally.exit_code() is ExitCode.FAILED


def test_resumed_it_asks_again_and_orders_only_what_needs_it() -> None:
    play = Play(6, ChangeMethod.RESTART)
    for name in ("i00000", "i00001"):
        play.change(name)
    play.silent = {"i00002"}
    found = play.run(touched=("i00000", "i00001", "i00002"))
    assert "i00000" not in play.ordered and "i00001" not in play.ordered
    assert play.kinds()["i00002"] is OutcomeKind.UNKNOWN, "it was ordered, and can't be asked"
    assert found.tally.counts()["done"] == 2, (
        "the unknown one counts as a failure, so nothing more is tried"
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(1, 12), st.data())
def test_whatever_befalls_orders_the_outcomes_add_up_and_tell_the_truth(
    count: int, data: st.DataObject
) -> None:
    play = Play(
        count, abort_after=data.draw(st.integers(1, 4)), canaries=data.draw(st.integers(0, 3))
    )
    fates = st.sampled_from(("well", "well", "fails", "hangs", "lies", "late word"))
    play.fates = {unit.name: data.draw(fates) for unit in play.units}
    play.run()
    for name, kind in play.kinds().items():
        if kind is OutcomeKind.DONE:
            assert play.digests[name] == "new" and name not in play.silent
        if kind is OutcomeKind.NOT_TRIED:
            assert name not in play.ordered
        if name in play.ordered and play.digests[name] == "old" and name not in play.silent:
            assert kind is OutcomeKind.FAILED
