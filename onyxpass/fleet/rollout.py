"""A change of many instances, wave by wave, as a state machine without I/O.

Its inputs are observations of instances and the outcomes of orders; its outputs are the actions to
take next. The record of a rollout is no proof of an instance's state: a rollout that is resumed
after its process was killed first observes every instance to change. Times are seconds of one
monotonic clock.
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
    """How an instance takes its change."""

    RELOAD = "reload"  # a change that needs a restart fails
    RESTART = "restart"
    AUTO = "auto"  # reload, and restart only where that is needed


@dataclass(frozen=True, slots=True)
class InstanceTarget:
    """The configuration that an instance must run on.

    ``launch`` is the launch id of the process before the change; a restart must replace it.
    """

    digest: str
    launch: str = ""


@dataclass(frozen=True, slots=True)
class Observation:
    """The observed state of an instance; ``digest`` and ``launch`` are None if it was not read."""

    digest: str | None = None
    launch: str | None = None
    serving: bool = False
    operation_id: str = ""  # of the operation that its agent carries out now
    error: str = ""


@dataclass(frozen=True, slots=True)
class RolloutPace:
    """Number of canaries, pause between waves, and failures after which the rollout aborts."""

    canaries: int = 1
    pause_s: float = 5.0
    abort_after: int = 1


class RolloutStage(Enum):
    """The stages of a rollout, in this order; changing and pausing alternate."""

    ASKING = "asking"  # instances to change are observed before the first order
    CHANGING = "changing"
    PAUSING = "pausing"
    VERIFYING = "verifying"  # instances that are done are observed once more
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ApplyChange:
    """Order the change of an instance; its end is passed to ``on_change_ended``."""

    name: str


@dataclass(frozen=True, slots=True)
class ObserveInstance:
    """Observe an instance; the result is passed to ``on_observed``."""

    name: str


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Call ``on_timer`` after this time."""

    delay_s: float


RolloutAction = ApplyChange | ObserveInstance | WakeAfter


@dataclass(slots=True)
class Rollout:
    """The state of one rollout.

    ``instances`` are all instances of the fleet as last observed, ``targets`` those to change.
    """

    instances: Iterable[PlannedInstance]
    targets: Mapping[str, InstanceTarget]
    method: ChangeMethod
    limits: DisruptionLimits
    pace: RolloutPace
    excluded: Mapping[str, InstanceOutcome] = field(
        default_factory=dict
    )  # outcomes of instances that get no order
    tally: OutcomeTally = field(init=False)
    planner: Planner | None = None
    stage: RolloutStage = RolloutStage.ASKING
    waves: list[tuple[str, ...]] = field(default_factory=list)
    in_progress: set[str] = field(default_factory=set)  # ordered, and not ended
    awaiting_observation: set[str] = field(default_factory=set)
    last_observations: dict[str, Observation] = field(default_factory=dict)
    # instances ordered by this rollout, including before it was resumed
    ordered: set[str] = field(default_factory=set)
    canaries_left: int = 0
    abort_reason: str = ""
    pause_until_s: float = 0.0

    def __post_init__(self) -> None:
        self.tally = OutcomeTally(self.targets)
        self.canaries_left = self.pace.canaries

    # Events

    def begin(self, already_ordered: Iterable[str] = ()) -> list[RolloutAction]:
        """Observe all instances to change.

        ``already_ordered`` names those that an earlier process ordered, according to the record.
        """
        self.ordered |= set(already_ordered)
        self.awaiting_observation = set(self.targets)
        return [ObserveInstance(name) for name in self.targets]

    def on_observed(self, name: str, observation: Observation, now_s: float) -> list[RolloutAction]:
        if name not in self.awaiting_observation:
            return []
        self.awaiting_observation.discard(name)
        self.last_observations[name] = observation
        if self.stage is RolloutStage.VERIFYING:
            self._verify(name, observation)
        if self.awaiting_observation:
            return []
        if self.stage is RolloutStage.ASKING:
            return self._plan(now_s)
        if self.stage is RolloutStage.VERIFYING:
            self.stage = RolloutStage.ENDED
        return []

    def on_change_ended(
        self, name: str, outcome: InstanceOutcome, observation: Observation, now_s: float
    ) -> list[RolloutAction]:
        """Handle the end of an order; the observation was made after it.

        An instance is done if it is observed to run on its target, whatever outcome was reported:
        the report may be outdated.
        """
        if name not in self.in_progress:
            return []
        self.in_progress.discard(name)
        self.last_observations[name] = observation
        if outcome.kind is OutcomeKind.DONE and not self._is_on_target(name, observation):
            outcome = self._off_target_outcome(observation)
        elif outcome.kind is not OutcomeKind.DONE and self._is_on_target(name, observation):
            outcome = done(
                f"it runs on its target, though its order ended otherwise: {outcome.reason}"
            )
        self.tally.settle(name, outcome)
        if self.planner is not None:
            self.planner.observe(name, observation.serving)
        self._check_abort_threshold()
        if self.in_progress:
            return []
        return self._after_wave(now_s)

    def on_timer(self, now_s: float) -> list[RolloutAction]:
        if self.stage is RolloutStage.PAUSING and now_s >= self.pause_until_s:
            return self._start_wave(now_s)
        if self.stage is RolloutStage.PAUSING:
            return [WakeAfter(self.pause_until_s - now_s)]
        return []

    def abort(self, reason: str, now_s: float) -> list[RolloutAction]:
        """Send no further orders; those in progress are waited for."""
        self.abort_reason = self.abort_reason or reason
        if self.stage in (RolloutStage.PAUSING, RolloutStage.CHANGING) and not self.in_progress:
            return self._finish()
        return []

    # Transitions

    def _is_on_target(self, name: str, observation: Observation) -> bool:
        target = self.targets[name]
        if observation.digest != target.digest or not observation.serving:
            return False
        return self.method is not ChangeMethod.RESTART or observation.launch not in (
            None,
            target.launch,
        )

    @staticmethod
    def _off_target_outcome(observation: Observation) -> InstanceOutcome:
        if observation.digest is None:
            return unknown(f"its configuration can't be read: {observation.error or 'no answer'}")
        if not observation.serving:
            return failed(f"it is not in service: {observation.error or 'not ready'}")
        return failed(f"it runs on {observation.digest}")

    def _plan(self, now_s: float) -> list[RolloutAction]:
        """Plan the changes once all targets are observed; one that is reached needs no order."""
        to_change, instances = [], []
        for instance in self.instances:
            observation = self.last_observations.get(instance.name)
            serving = observation.serving if observation is not None else instance.serving
            instances.append(
                PlannedInstance(
                    instance.name, instance.hall, instance.host, instance.capacity, serving
                )
            )
        for name in self.targets:
            observation = self.last_observations[name]
            if self._is_on_target(name, observation) and (
                self.method is not ChangeMethod.RESTART or name in self.ordered
            ):
                self.tally.settle(name, done("it runs on its target already"))
            elif (exclusion := self.excluded.get(name)) is not None:
                self.tally.settle(name, exclusion)
            elif observation.digest is None and name in self.ordered:
                self.tally.settle(
                    name,
                    unknown(
                        "it was ordered before, and its state can't be read: "
                        f"{observation.error or 'no answer'}"
                    ),
                )
            elif observation.digest is None:
                self.tally.settle(
                    name, not_tried(f"its state can't be read: {observation.error or 'no answer'}")
                )
            else:
                to_change.append(name)
        self.planner = Planner(instances, to_change, self.limits)
        self._check_abort_threshold()
        return self._start_wave(now_s)

    def _check_abort_threshold(self) -> None:
        counts = self.tally.counts()
        if not self.abort_reason and counts["failed"] + counts["unknown"] >= self.pace.abort_after:
            self.abort_reason = (
                f"aborted after {counts['failed']} failed and {counts['unknown']} unknown"
            )

    def _start_wave(self, now_s: float) -> list[RolloutAction]:
        if self.abort_reason or self.planner is None:
            return self._finish()
        max_size = self.canaries_left if self.canaries_left > 0 else None
        wave = self.planner.next_wave(max_size)
        if not wave:
            return self._finish()
        self.canaries_left = max(0, self.canaries_left - len(wave))
        self.stage = RolloutStage.CHANGING
        names = tuple(instance.name for instance in wave)
        self.waves.append(names)
        self.in_progress |= set(names)
        self.ordered |= set(names)
        return [ApplyChange(name) for name in names]

    def _after_wave(self, now_s: float) -> list[RolloutAction]:
        if self.abort_reason or self.planner is None or not self.planner.waiting:
            return self._finish()
        self.stage, self.pause_until_s = RolloutStage.PAUSING, now_s + self.pace.pause_s
        return [WakeAfter(self.pace.pause_s)]

    def _finish(self) -> list[RolloutAction]:
        """Settle the instances never ordered, and observe those that are done once more."""
        if self.planner is not None:
            blocked = self.planner.blocked()
            for name in sorted(self.planner.waiting):
                reason = (
                    self.abort_reason
                    or blocked.get(name)
                    or "no wave could include it: others are out of service"
                )
                self.tally.settle(name, not_tried(reason))
        self.awaiting_observation = {
            name
            for name, outcome in self.tally.outcomes().items()
            if outcome.kind is OutcomeKind.DONE
        }
        if not self.awaiting_observation:
            self.stage = RolloutStage.ENDED
            return []
        self.stage = RolloutStage.VERIFYING
        return [ObserveInstance(name) for name in sorted(self.awaiting_observation)]

    def _verify(self, name: str, observation: Observation) -> None:
        if not self._is_on_target(name, observation):
            history = "it had taken the change"
            if observation.digest is None:
                self.tally.settle(
                    name,
                    unknown(f"{history}, and its state can't be read now: {observation.error}"),
                )
            else:
                self.tally.settle(
                    name, failed(f"{history}; now {self._off_target_outcome(observation).reason}")
                )
