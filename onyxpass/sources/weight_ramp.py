"""Weights that change reach their new value in steps, so that traffic moves gradually. Without
I/O.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

STEPS = 20  # of one whole ramp


@dataclass(slots=True)
class WeightTransition:
    start: float
    end: float
    since_s: float


@dataclass(slots=True)
class WeightRamp:
    """``now``: the weights in force. A new server starts at its weight; its slow start is the
    module's.
    """

    ramp_s: float
    now: dict[str, float] = field(default_factory=dict)
    slopes: dict[str, WeightTransition] = field(default_factory=dict)

    def aim(self, weights: Mapping[str, float], fresh: set[str], now_s: float) -> None:
        """The weights of a new view; ``fresh``: ids that are new servers."""
        for name in [name for name in self.now if name not in weights]:
            del self.now[name]
            self.slopes.pop(name, None)
        for name, weight in weights.items():
            if (
                name in fresh
                or name not in self.now
                or self.ramp_s <= 0
                or 0 in (weight, self.now[name])
            ):
                # To nothing at once: that is a drain. From nothing: it is cold, and starts slowly
                # by itself.
                self.now[name] = weight
                self.slopes.pop(name, None)
            elif (slope := self.slopes.get(name)) is not None and slope.end == weight:
                continue  # on its way there already
            elif self.now[name] != weight:
                self.slopes[name] = WeightTransition(self.now[name], weight, now_s)
            else:
                self.slopes.pop(name, None)

    def step(self, now_s: float) -> dict[str, float]:
        """The weights that differ now; each moves in ``STEPS`` steps, so that few lists are
        told.
        """
        changed = {}
        for name, slope in list(self.slopes.items()):
            part = min(1.0, max(0.0, (now_s - slope.since_s) / self.ramp_s))
            part = 1.0 if part >= 1.0 else int(part * STEPS) / STEPS
            weight = slope.end if part >= 1.0 else slope.start + (slope.end - slope.start) * part
            if weight != self.now[name]:
                self.now[name] = changed[name] = weight
            if part >= 1.0:
                del self.slopes[name]
        return changed

    @property
    def next_s(self) -> float | None:
        """Seconds between steps while something moves."""
        return self.ramp_s / STEPS if self.slopes else None
