"""The outcome of a command for each selected instance, and the exit code that follows from it.

The counts of the four outcomes always add up to the number of selected instances.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum


class OutcomeKind(Enum):
    """What is known of an instance at the end of a command; the values appear in reports."""

    DONE = "done"  # the change was read back from the instance itself
    FAILED = "failed"  # known not to have taken the change, or to have lost it again
    UNKNOWN = "unknown"  # it may have taken the change
    NOT_TRIED = "not tried"  # nothing was sent


class ExitCode(IntEnum):
    """The exit codes of ``onyxpass fleet``."""

    DONE = 0  # every selected instance is done
    FAILED = 1  # at least one failed or was not tried
    BAD_INPUT = 2  # nothing was done
    UNKNOWN = 3  # at least one is unknown, and all others are done
    HELD = 4  # another rollout is in progress; nothing was done


@dataclass(frozen=True, slots=True)
class InstanceOutcome:
    """The outcome of a command for one instance, with a reason for people."""

    kind: OutcomeKind
    reason: str = ""

    def to_dict(self) -> dict[str, str]:
        """Return the outcome as reports show it."""
        return {"outcome": self.kind.value, "reason": self.reason}


def done(reason: str = "") -> InstanceOutcome:
    """Return the outcome of an instance that took the change."""
    return InstanceOutcome(OutcomeKind.DONE, reason)


def failed(reason: str) -> InstanceOutcome:
    """Return the outcome of an instance that is known not to have the change."""
    return InstanceOutcome(OutcomeKind.FAILED, reason)


def unknown(reason: str) -> InstanceOutcome:
    """Return the outcome of an instance that may have the change."""
    return InstanceOutcome(OutcomeKind.UNKNOWN, reason)


def not_tried(reason: str) -> InstanceOutcome:
    """Return the outcome of an instance to which nothing was sent."""
    return InstanceOutcome(OutcomeKind.NOT_TRIED, reason)


class OutcomeTally:
    """Holds one outcome for each selected instance, and for no other.

    An instance that was never settled counts as not tried.
    """

    def __init__(self, selected: Iterable[str]) -> None:
        self._outcomes: dict[str, InstanceOutcome | None] = dict.fromkeys(selected)

    def settle(self, name: str, outcome: InstanceOutcome) -> None:
        """Set an outcome; a later one replaces it. KeyError if the instance was not selected."""
        if name not in self._outcomes:
            raise KeyError(f"{name} was not selected")
        self._outcomes[name] = outcome

    def outcomes(self) -> Mapping[str, InstanceOutcome]:
        """Return the outcome of each selected instance, by name."""
        return {
            name: outcome or not_tried("nothing was sent to it")
            for name, outcome in self._outcomes.items()
        }

    def counts(self) -> dict[str, int]:
        """Return the number of instances by the outcome's value; 0 for an outcome that none has."""
        counts = {kind.value: 0 for kind in OutcomeKind}
        for outcome in self.outcomes().values():
            counts[outcome.kind.value] += 1
        return counts

    def exit_code(self) -> ExitCode:
        """Return the exit code of a command with these outcomes."""
        kinds = {outcome.kind for outcome in self.outcomes().values()}
        if kinds & {OutcomeKind.FAILED, OutcomeKind.NOT_TRIED}:
            return ExitCode.FAILED
        return ExitCode.UNKNOWN if OutcomeKind.UNKNOWN in kinds else ExitCode.DONE
