"""What a process has counted since its start, for any front and any wire."""

from collections.abc import Iterable
from dataclasses import dataclass

from onyxpass.core.answer_value import Timeliness


@dataclass(slots=True)
class FinalAnswerCounts:
    """Requests of one class by final answer; one whose client has left counts as failed."""

    completed: int = 0
    rejected: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """All requests that are finished."""
        return self.completed + self.rejected + self.failed


@dataclass(slots=True)
class TimelinessCounts:
    """Completed requests of one class that were late, or too late or slow to have any value."""

    late: int = 0
    worthless: int = 0


class Metrics:
    """Owner of a process's counters.

    Every class has its counters from the start, at 0: an absent one could as well be lost.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.downstream = {name: FinalAnswerCounts() for name in classes}
        self.timeliness = {name: TimelinessCounts() for name in self.downstream}
        self.received = 0  # requests of clients
        self.upstream = 0  # attempts that were sent completely
        self.unanswered_sends = 0  # sends without an answer when reserved state was due
        self.states_released = 0
        self.states_not_released = 0  # releases that no server confirmed

    def count_completed(self, traffic_class: str) -> None:
        """Count a completed request."""
        self._of(traffic_class).completed += 1

    def count_rejected(self, traffic_class: str) -> None:
        """Count a rejected request."""
        self._of(traffic_class).rejected += 1

    def count_failed(self, traffic_class: str) -> None:
        """Count a failed request."""
        self._of(traffic_class).failed += 1

    def count_timeliness(self, traffic_class: str, timeliness: Timeliness) -> None:
        """Count how timely a request was that ``count_completed`` counts as well."""
        counts = self.timeliness.setdefault(traffic_class, TimelinessCounts())
        counts.late += timeliness is Timeliness.LATE
        counts.worthless += timeliness is Timeliness.WORTHLESS

    @property
    def pending(self) -> int:
        """Requests taken that have no final answer yet."""
        return self.received - sum(counts.total for counts in self.downstream.values())

    def rows(self, members: int, unavailable: int) -> dict[str, int]:
        """Return all metrics by name, in the order in which they are shown."""
        rows = {
            f"svc.downstream_requests.{name}.{end}": getattr(counts, end)
            for name, counts in self.downstream.items()
            for end in FinalAnswerCounts.__slots__
        }
        for name, timeliness in self.timeliness.items():
            for key in TimelinessCounts.__slots__:
                rows[f"svc.served.{name}.{key}"] = getattr(timeliness, key)
        rows["svc.upstream_requests"] = self.upstream
        rows["svc.unanswered_sends"] = self.unanswered_sends
        rows["svc.states_released"] = self.states_released
        rows["svc.states_not_released"] = self.states_not_released
        rows["svc.pending"] = self.pending
        rows["svc.members"] = members
        rows["svc.members_unavailable"] = unavailable
        return rows

    def _of(self, traffic_class: str) -> FinalAnswerCounts:
        return self.downstream.setdefault(traffic_class, FinalAnswerCounts())
