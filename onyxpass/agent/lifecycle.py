"""The states of one instance: starts, backoff, hung checks and ordered restarts. Without I/O.

``now_s`` is a monotonic clock's time in seconds. Each event returns the actions to take, in
order; the instance's actor takes them and reports what came of them as further events.

| state | means | left by |
| --- | --- | --- |
| new | the agent has not decided yet | ``start``, ``adopted``, ``set_wanted``, ``restart`` |
| starting | the process is being made | ``launched``, ``exited``, ``set_wanted`` |
| running | the process runs | ``exited``, ``set_wanted``, ``restart``, ``checked`` |
| stopping | the process has been told to end | ``exited`` |
| waiting | backoff before the next launch | ``backoff_elapsed``, ``set_wanted``, ``restart`` |
| stopped | not wanted, and no process runs | ``set_wanted``, ``restart``, ``start`` |
"""

from dataclasses import dataclass
from enum import Enum

MAX_FAILED_CHECKS = 3  # failed checks in a row that make an instance hung
MAX_BACKOFF_DOUBLINGS = 20  # prevents an overflow; the longest backoff is reached far before


class InstanceState(Enum):
    """Where an instance stands; the values are those on record and at the agent's address."""

    NEW = "new"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    WAITING = "waiting"
    STOPPED = "stopped"


STATES_WITH_PROCESS = frozenset(
    {InstanceState.STARTING, InstanceState.RUNNING, InstanceState.STOPPING}
)


@dataclass(frozen=True, slots=True)
class Launch:
    """Start the process."""


@dataclass(frozen=True, slots=True)
class Terminate:
    """Send SIGTERM, and SIGKILL if the process has not ended within the grace period."""

    reason: str


@dataclass(frozen=True, slots=True)
class ScheduleLaunch:
    """Report ``backoff_elapsed`` with this sequence number after ``delay_s``."""

    delay_s: float
    state_sequence: int


Action = Launch | Terminate | ScheduleLaunch


@dataclass(frozen=True, slots=True)
class RestartPolicy:
    """When an instance that ended is started again. All times are seconds."""

    initial_backoff_s: float = 0.2
    max_backoff_s: float = 15.0
    stable_after_s: float = 30.0  # a run this long starts over with the initial backoff
    startup_grace_s: float = 5.0  # failed checks do not count for so long after a start

    def backoff_s(self, failures: int) -> float:
        """Return the pause after so many failures in a row: it doubles up to the maximum."""
        doublings = min(MAX_BACKOFF_DOUBLINGS, max(0, failures - 1))
        return min(self.max_backoff_s, self.initial_backoff_s * 2.0**doublings)


@dataclass(slots=True)
class Lifecycle:
    """The state machine of one instance; its actor alone reports events to it."""

    policy: RestartPolicy
    state: InstanceState = InstanceState.NEW
    wanted: bool = True
    state_since_s: float = 0.0  # when the state was entered
    restarts: int = 0  # after a failure, not by an operator's order
    consecutive_failures: int = 0
    failed_checks: int = 0  # in a row
    restart_requested: bool = False  # it stops because a restart was ordered
    state_sequence: int = 0  # counts the states entered; prevents a late timer from acting
    last_exit: int | None = None

    def _enter(self, state: InstanceState, now_s: float) -> None:
        self.state = state
        self.state_since_s = now_s
        self.state_sequence += 1

    @property
    def has_process(self) -> bool:
        """Whether a process runs or is being started."""
        return self.state in STATES_WITH_PROCESS

    def start(self, now_s: float) -> list[Action]:
        """Launch the instance if it is wanted and nothing runs yet."""
        if self.has_process:
            return []
        if self.wanted:
            self._enter(InstanceState.STARTING, now_s)
            return [Launch()]
        self._enter(InstanceState.STOPPED, now_s)
        return []

    def adopted(self, now_s: float, age_s: float) -> list[Action]:
        """Take note of a process that an earlier agent started ``age_s`` ago."""
        self._enter(InstanceState.RUNNING, now_s - age_s)
        return [] if self.wanted else self._stop(now_s, "not wanted")

    def set_wanted(self, now_s: float, wanted: bool) -> list[Action]:
        """Start or stop the instance as an operator wants it."""
        if wanted == self.wanted:
            return []
        self.wanted = wanted
        if wanted:
            self.consecutive_failures = 0
            return self.start(now_s)
        if self.state in (InstanceState.RUNNING, InstanceState.STARTING):
            return self._stop(now_s, "stopped by an operator")
        if not self.has_process:
            self._enter(InstanceState.STOPPED, now_s)
        return []

    def restart(self, now_s: float) -> list[Action]:
        """Stop the instance by an operator's order and start it at once, without backoff."""
        self.wanted = True
        if self.state is InstanceState.RUNNING:
            self.restart_requested = True
            return self._stop(now_s, "restarted by an operator")
        if self.has_process:
            self.restart_requested = True
            return []
        self.consecutive_failures = 0
        return self.start(now_s)

    def _stop(self, now_s: float, reason: str) -> list[Action]:
        self._enter(InstanceState.STOPPING, now_s)
        return [Terminate(reason)]

    def launched(self, now_s: float) -> list[Action]:
        """Take note that the process has been made."""
        if self.state is InstanceState.STOPPING:  # a stop came while the process was being made
            return [Terminate("stopped while it started")]
        self.failed_checks = 0
        self._enter(InstanceState.RUNNING, now_s)
        return []

    def exited(self, now_s: float, code: int | None) -> list[Action]:
        """Take note that the process has ended, or could not be made at all."""
        ran_s = now_s - self.state_since_s if self.state is InstanceState.RUNNING else 0.0
        self.last_exit = code
        self.failed_checks = 0
        if not self.wanted:
            self._enter(InstanceState.STOPPED, now_s)
            return []
        if self.restart_requested:
            self.restart_requested = False
            self.consecutive_failures = 0
            self._enter(InstanceState.STARTING, now_s)
            return [Launch()]
        is_stable = ran_s >= self.policy.stable_after_s
        self.consecutive_failures = 0 if is_stable else self.consecutive_failures + 1
        self.restarts += 1
        self._enter(InstanceState.WAITING, now_s)
        delay_s = self.policy.backoff_s(self.consecutive_failures)
        return [ScheduleLaunch(delay_s, self.state_sequence)]

    def backoff_elapsed(self, now_s: float, state_sequence: int) -> list[Action]:
        """Launch again after the backoff, unless the state has changed since it began."""
        is_current = state_sequence == self.state_sequence
        return self.start(now_s) if is_current and self.state is InstanceState.WAITING else []

    def checked(self, now_s: float, accepted: bool) -> list[Action]:
        """Count whether the instance took a connection; one that is still starting may not."""
        if self.state is not InstanceState.RUNNING:
            return []
        if accepted or now_s - self.state_since_s < self.policy.startup_grace_s:
            self.failed_checks = 0
            return []
        self.failed_checks += 1
        if self.failed_checks < MAX_FAILED_CHECKS:
            return []
        return self._stop(now_s, "hung")
