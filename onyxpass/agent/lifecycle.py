"""The state machine of one instance: starts, backoff, health checks and restarts. Without I/O.

``now_s`` is a monotonic clock's time in seconds. Each event returns the actions to take, in
order; the instance's actor takes them and reports their outcomes as further events.

| state | means | left by |
| --- | --- | --- |
| new | neither started nor adopted yet | ``start``, ``adopted``, ``set_wanted``, ``restart`` |
| starting | the process is being created | ``launched``, ``exited``, ``set_wanted`` |
| running | the process runs | ``exited``, ``set_wanted``, ``restart``, ``checked`` |
| stopping | the process is being terminated | ``exited`` |
| waiting | backoff before a launch | ``backoff_elapsed``, ``start``, ``set_wanted``, ``restart`` |
| stopped | not wanted, and no process runs | ``set_wanted``, ``restart``, ``start`` |
"""

from dataclasses import dataclass
from enum import Enum

MAX_FAILED_CHECKS = 3  # consecutive failed checks after which an instance counts as hung
MAX_BACKOFF_DOUBLINGS = 20  # prevents an overflow; the default maximum is reached far earlier


class InstanceState(Enum):
    """The state of an instance; the values appear in stored events and in the agent's API."""

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
    """When an instance that ended is started again. All times are in seconds."""

    initial_backoff_s: float = 0.2
    max_backoff_s: float = 15.0
    stable_after_s: float = 30.0  # a run of this length resets the backoff
    startup_grace_s: float = 5.0  # time after a start in which failed checks do not count

    def backoff_s(self, failures: int) -> float:
        """Return the backoff, which doubles with each consecutive failure up to the maximum."""
        doublings = min(MAX_BACKOFF_DOUBLINGS, max(0, failures - 1))
        return min(self.max_backoff_s, self.initial_backoff_s * 2.0**doublings)


@dataclass(slots=True)
class Lifecycle:
    """The state machine of one instance; only the instance's actor reports events to it."""

    policy: RestartPolicy
    state: InstanceState = InstanceState.NEW
    wanted: bool = True
    state_since_s: float = 0.0  # when the state was entered, or an adopted process started
    restarts: int = 0  # automatic ones, without those that an operator requested
    consecutive_failures: int = 0
    failed_checks: int = 0  # consecutive ones
    restart_requested: bool = False  # a new process is launched once the current one has ended
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
        """Handle the adoption of a process that an earlier agent started ``age_s`` ago."""
        self._enter(InstanceState.RUNNING, now_s - age_s)
        return [] if self.wanted else self._stop(now_s, "not wanted")

    def set_wanted(self, now_s: float, wanted: bool) -> list[Action]:
        """Start or stop the instance as its new desired state requires."""
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
        """Stop the instance at an operator's request and start it again without backoff."""
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
        """Handle the creation of the process."""
        if self.state is InstanceState.STOPPING:  # stopped while the process was being created
            return [Terminate("stopped while it started")]
        self.failed_checks = 0
        self._enter(InstanceState.RUNNING, now_s)
        return []

    def exited(self, now_s: float, code: int | None) -> list[Action]:
        """Handle the end of the process, or the failure to create it."""
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
        """Handle the result of a check: stop the instance after ``MAX_FAILED_CHECKS`` failures.

        Failures within the start-up grace period do not count.
        """
        if self.state is not InstanceState.RUNNING:
            return []
        if accepted or now_s - self.state_since_s < self.policy.startup_grace_s:
            self.failed_checks = 0
            return []
        self.failed_checks += 1
        if self.failed_checks < MAX_FAILED_CHECKS:
            return []
        return self._stop(now_s, "hung")
