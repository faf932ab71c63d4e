"""The invariant of an agent: one process an instance."""

from collections import Counter

from onyxpass.invariants.verdict import ALLOWED, Rule, Verdict


class ProcessStartChecker:
    """``violations``: how often a second process would have been started."""

    def __init__(self) -> None:
        self.violations: Counter[Rule] = Counter()
        self._pids: dict[str, int] = {}

    def check_start(self, instance: str) -> Verdict:
        """Check that a process of this instance may be started."""
        if (pid := self._pids.get(instance)) is None:
            return ALLOWED
        self.violations[Rule.ONE_PROCESS] += 1
        return Verdict(Rule.ONE_PROCESS, f"process {pid} runs")

    def record_start(self, instance: str, pid: int) -> None:
        """Record that the instance's process runs, started here or adopted."""
        self._pids[instance] = pid

    def record_end(self, instance: str) -> None:
        """Record that the instance's process has ended."""
        self._pids.pop(instance, None)
