"""The messages of an instance's actor: commands, and the outcomes of its own actions."""

from dataclasses import dataclass

from onyxpass.store.desired_running import DesiredRunning


@dataclass(frozen=True, slots=True)
class StartOrAdopt:
    """Adopt the process that an earlier agent started, or start one if the instance is wanted."""


@dataclass(frozen=True, slots=True)
class BackoffElapsed:
    """The backoff that was scheduled in the state with this sequence number has elapsed."""

    state_sequence: int


@dataclass(frozen=True, slots=True)
class SetWanted:
    """Run or stop the instance."""

    wanted: bool
    order: DesiredRunning | None = None  # the order from the store that is carried out


@dataclass(frozen=True, slots=True)
class EndInstance:
    """Stop the process for good, because the agent ends; nothing starts it again.

    The stored desired state does not change: the next agent starts the instance again.
    """


@dataclass(frozen=True, slots=True)
class RestartInstance:
    """Stop the process and start another at once."""


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """The process has ended, or could not be created; ``code`` is None if it is not known."""

    code: int | None


@dataclass(frozen=True, slots=True)
class CheckCompleted:
    """The result of a check: whether the process ``pid`` accepted a connection."""

    pid: int
    accepted: bool


InstanceMessage = (
    StartOrAdopt
    | BackoffElapsed
    | SetWanted
    | EndInstance
    | RestartInstance
    | ProcessExited
    | CheckCompleted
)
