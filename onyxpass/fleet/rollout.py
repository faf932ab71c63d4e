"""A change brought to many instances wave by wave, as a state machine without I/O.

It is told what was observed and how each order ended, and says what to do next. Nothing that a
record holds is believed: a rollout that goes on after its tool was killed first asks every instance
how it really stands. Times are seconds of one monotonic clock.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from onyxpass.fleet.outcome import (
    InstanceOutcome,
    OutcomeKind,
    OutcomeTally,
    done,
    failed,
    not_tried,
    unknown,
)
from onyxpass.fleet.planner import DisruptionLimits, PlannedInstance, Planner


class ChangeMethod(Enum):
    RELOAD = "reload"  # what needs a restart fails
    RESTART = "restart"
    AUTO = "auto"  # reload, and restart only where that is needed


@dataclass(frozen=True, slots=True)
class InstanceTarget:
    """What an instance must run on. ``launch``: of the process before; a restart must have
    replaced it.
    """

    digest: str
    launch: str = ""


@dataclass(frozen=True, slots=True)
class Observation:
    """What an instance was last seen to be; None where nothing could be seen."""

    digest: str | None = None
    launch: str | None = None
    serving: bool = False
    under_way: str = ""  # an operation that its agent carries out now
    problem: str = ""


@dataclass(frozen=True, slots=True)
class RolloutPace:
    canaries: int = 1
    pause_s: float = 5.0
    abort_after: int = 1


class RolloutStage(Enum):
    ASKING = "asking"  # how all instances stand, before anything is done
    CHANGING = "changing"
    PAUSING = "pausing"
    VERIFYING = "verifying"  # once more, whether what was done still holds
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ApplyChange:
    """Order the change; ends in ``ended``."""

    name: str


@dataclass(frozen=True, slots=True)
class ObserveInstance:
    """Ask how it stands; ends in ``seen``."""

    name: str


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Call ``tick`` after so long."""

    after_s: float


RolloutAction = ApplyChange | ObserveInstance | WakeAfter


@dataclass(slots=True)
class Rollout:
    """``units``: the whole fleet, as last seen; ``targets``: those to change."""

    units: Iterable[PlannedInstance]
    targets: Mapping[str, InstanceTarget]
    method: ChangeMethod
    limits: DisruptionLimits
    pace: RolloutPace
    barred: Mapping[str, InstanceOutcome] = field(
        default_factory=dict
    )  # whom no order may go to, and why
    tally: OutcomeTally = field(init=False)
    planner: Planner | None = None
    stage: RolloutStage = RolloutStage.ASKING
    waves: list[tuple[str, ...]] = field(default_factory=list)
    out: set[str] = field(default_factory=set)  # ordered, and not ended
    looking: set[str] = field(default_factory=set)
    seen_last: dict[str, Observation] = field(default_factory=dict)
    # ordered by this rollout, now or before it was resumed
    touched: set[str] = field(default_factory=set)
    canaries_left: int = 0
    aborted: str = ""
    due_s: float = 0.0

    def __post_init__(self) -> None:
        self.tally = OutcomeTally(self.targets)
        self.canaries_left = self.pace.canaries

    # Events

    def begin(self, touched: Iterable[str] = ()) -> list[RolloutAction]:
        """Ask all. ``touched``: whom a tool before this one had ordered, by its record."""
        self.touched |= set(touched)
        self.looking = set(self.targets)
        return [ObserveInstance(name) for name in self.targets]

    def seen(self, name: str, observation: Observation, now_s: float) -> list[RolloutAction]:
        if name not in self.looking:
            return []
        self.looking.discard(name)
        self.seen_last[name] = observation
        if self.stage is RolloutStage.VERIFYING:
            self._verify(name, observation)
        if self.looking:
            return []
        if self.stage is RolloutStage.ASKING:
            return self._planned(now_s)
        if self.stage is RolloutStage.VERIFYING:
            self.stage = RolloutStage.ENDED
        return []

    def ended(
        self, name: str, outcome: InstanceOutcome, observation: Observation, now_s: float
    ) -> list[RolloutAction]:
        """An order has ended, and this is how the instance was seen after it.

        Guards against a word that is not true any more: done is what runs on the target, whatever
        was told.
        """
        if name not in self.out:
            return []
        self.out.discard(name)
        self.seen_last[name] = observation
        if outcome.kind is OutcomeKind.DONE and not self._holds(name, observation):
            outcome = self._missed(observation)
        elif outcome.kind is not OutcomeKind.DONE and self._holds(name, observation):
            outcome = done(
                f"it runs on the change, though its order ended otherwise: {outcome.reason}"
            )
        self.tally.settle(name, outcome)
        if self.planner is not None:
            self.planner.observe(name, observation.serving)
        self._judge()
        if self.out:
            return []
        return self._after_wave(now_s)

    def tick(self, now_s: float) -> list[RolloutAction]:
        if self.stage is RolloutStage.PAUSING and now_s >= self.due_s:
            return self._wave(now_s)
        if self.stage is RolloutStage.PAUSING:
            return [WakeAfter(self.due_s - now_s)]
        return []

    def abort(self, reason: str, now_s: float) -> list[RolloutAction]:
        """No more orders; those that are out are waited for."""
        self.aborted = self.aborted or reason
        if self.stage in (RolloutStage.PAUSING, RolloutStage.CHANGING) and not self.out:
            return self._finish()
        return []

    # What follows from them

    def _holds(self, name: str, observation: Observation) -> bool:
        target = self.targets[name]
        if observation.digest != target.digest or not observation.serving:
            return False
        return self.method is not ChangeMethod.RESTART or observation.launch not in (
            None,
            target.launch,
        )

    @staticmethod
    def _missed(observation: Observation) -> InstanceOutcome:
        if observation.digest is None:
            return unknown(f"it can't be asked what it runs on: {observation.problem or 'no word'}")
        if not observation.serving:
            return failed(f"it is not in service: {observation.problem or 'not ready'}")
        return failed(f"it runs on {observation.digest}")

    def _planned(self, now_s: float) -> list[RolloutAction]:
        """All have been asked: whoever runs on the target already is done, and needs no order."""
        change, units = [], []
        for unit in self.units:
            found = self.seen_last.get(unit.name)
            serving = found.serving if found is not None else unit.serving
            units.append(PlannedInstance(unit.name, unit.hall, unit.host, unit.capacity, serving))
        for name in self.targets:
            found = self.seen_last[name]
            if self._holds(name, found) and (
                self.method is not ChangeMethod.RESTART or name in self.touched
            ):
                self.tally.settle(name, done("it runs on the change already"))
            elif (bar := self.barred.get(name)) is not None:
                self.tally.settle(name, bar)
            elif found.digest is None and name in self.touched:
                self.tally.settle(
                    name, unknown(f"it was ordered before: {found.problem or 'no word'}")
                )
            elif found.digest is None:
                self.tally.settle(
                    name, not_tried(f"it can't be asked: {found.problem or 'no word'}")
                )
            else:
                change.append(name)
        self.planner = Planner(units, change, self.limits)
        self._judge()
        return self._wave(now_s)

    def _judge(self) -> None:
        counts = self.tally.counts()
        if not self.aborted and counts["failed"] + counts["unknown"] >= self.pace.abort_after:
            self.aborted = (
                f"aborted after {counts['failed']} failed and {counts['unknown']} unknown"
            )

    def _wave(self, now_s: float) -> list[RolloutAction]:
        if self.aborted or self.planner is None:
            return self._finish()
        most = self.canaries_left if self.canaries_left > 0 else None
        wave = self.planner.next_wave(most)
        if not wave:
            return self._finish()
        self.canaries_left = max(0, self.canaries_left - len(wave))
        self.stage = RolloutStage.CHANGING
        names = tuple(unit.name for unit in wave)
        self.waves.append(names)
        self.out |= set(names)
        self.touched |= set(names)
        return [ApplyChange(name) for name in names]

    def _after_wave(self, now_s: float) -> list[RolloutAction]:
        if self.aborted or self.planner is None or not self.planner.waiting:
            return self._finish()
        self.stage, self.due_s = RolloutStage.PAUSING, now_s + self.pace.pause_s
        return [WakeAfter(self.pace.pause_s)]

    def _finish(self) -> list[RolloutAction]:
        """Settle who was never ordered, and look at all that is done once more."""
        if self.planner is not None:
            stuck = self.planner.blocked()
            for name in sorted(self.planner.waiting):
                reason = (
                    self.aborted
                    or stuck.get(name)
                    or "no wave could take it: others are out of service"
                )
                self.tally.settle(name, not_tried(reason))
        self.looking = {
            name for name, o in self.tally.outcomes().items() if o.kind is OutcomeKind.DONE
        }
        if not self.looking:
            self.stage = RolloutStage.ENDED
            return []
        self.stage = RolloutStage.VERIFYING
        return [ObserveInstance(name) for name in sorted(self.looking)]

    def _verify(self, name: str, observation: Observation) -> None:
        if not self._holds(name, observation):
            before = "it had taken the change"
            if observation.digest is None:
                self.tally.settle(
                    name, unknown(f"{before}, and can't be asked now: {observation.problem}")
                )
            else:
                self.tally.settle(name, failed(f"{before}; now {self._missed(observation).reason}"))
