"""Ramps changed weights to their new values in steps, so that traffic moves gradually. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

STEPS = 20  # steps of one ramp


@dataclass(slots=True)
class WeightTransition:
    start: float
    end: float
    since_s: float


@dataclass(slots=True)
class WeightRamp:
    """The weights in force and those that are changing.

    A new server starts at its full weight; the router applies its slow start.
    """

    ramp_s: float
    current: dict[str, float] = field(default_factory=dict)
    transitions: dict[str, WeightTransition] = field(default_factory=dict)

    def set_targets(
        self, weights: Mapping[str, float], new_servers: set[str], now_s: float
    ) -> None:
        """Set the target weights of a new view; ``new_servers`` are the ids of new servers."""
        for name in [name for name in self.current if name not in weights]:
            del self.current[name]
            self.transitions.pop(name, None)
        for name, weight in weights.items():
            if (
                name in new_servers
                or name not in self.current
                or self.ramp_s <= 0
                or 0 in (weight, self.current[name])
            ):
                # A weight of 0 is a drain and applies at once. A server whose weight was 0 is cold
                # and has its slow start.
                self.current[name] = weight
                self.transitions.pop(name, None)
            elif (
                transition := self.transitions.get(name)
            ) is not None and transition.end == weight:
                continue  # already ramping to this weight
            elif self.current[name] != weight:
                self.transitions[name] = WeightTransition(self.current[name], weight, now_s)
            else:
                self.transitions.pop(name, None)

    def advance(self, now_s: float) -> dict[str, float]:
        """Advance the weights and return those that changed.

        A ramp has ``STEPS`` steps, which limits the number of updates.
        """
        changed = {}
        for name, transition in list(self.transitions.items()):
            progress = min(1.0, max(0.0, (now_s - transition.since_s) / self.ramp_s))
            progress = 1.0 if progress >= 1.0 else int(progress * STEPS) / STEPS
            weight = (
                transition.end
                if progress >= 1.0
                else transition.start + (transition.end - transition.start) * progress
            )
            if weight != self.current[name]:
                self.current[name] = changed[name] = weight
            if progress >= 1.0:
                del self.transitions[name]
        return changed

    @property
    def step_interval_s(self) -> float | None:
        """Seconds between steps; None if no weight is changing."""
        return self.ramp_s / STEPS if self.transitions else None
