"""Draws schedules of faults from a seed, without I/O; one seed always gives the same schedule."""

import errno
import random
import signal
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from onyxpass.faultshim.control import SHORT_TRANSFER, ForcedFault, SystemCall

HOUR_S = 3_600.0
GROUP_SPREAD_S = 0.6  # between the first and the last start of the faults of one group
GROUP_GAP_S = 1.5  # between the end of a group and the next group
TRANSIENT_ERRORS = {
    SystemCall.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.EPROTO, errno.EINTR),
    SystemCall.CONNECT: (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ECONNABORTED, errno.ENOBUFS),
    SystemCall.SOCKET: (errno.ENFILE, errno.ENOBUFS),
    SystemCall.RECEIVE: (SHORT_TRANSFER,),
    SystemCall.SEND: (SHORT_TRANSFER,),
    SystemCall.WAIT: (errno.EINTR,),
    SystemCall.WRITE: (errno.ENOSPC, errno.EIO),
    SystemCall.RENAME: (errno.ENOSPC, errno.EIO),
}
CONNECTION_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
MAX_EXTRA_SIGNALS = 2  # before and after the SIGTERM of a series


class FaultKind(Enum):
    """A kind of fault, for a dispatcher, a replica, the link to a replica, or discovery."""

    # of a dispatcher
    TERMINATE = "terminate"  # SIGTERM; started again once it has ended
    # SIGHUPs, SIGTERM and more SIGHUP, SIGTERM or SIGINT; started again once it has ended
    SIGNAL_SERIES = "signals in series"
    IDLE_CONNECTIONS = "crowd"  # idle clients open as many connections as its socket limit
    # clients send bodies that stay one byte short, together more than it may hold
    UNFINISHED_BODIES = "bodies without end"
    KILL = "kill"  # SIGKILL; started again
    SUSPEND = "hold up"  # SIGSTOP, then SIGCONT
    # SIGHUP several times in a row, each time with the other of discovery's two addresses
    RELOAD = "reload"
    # starts a new process beside the old one, which gets SIGTERM; where the socket is not
    # inherited, the old process ends first
    UPGRADE = "upgrade"
    STEP_CLOCK = "step the wall clock"
    FAIL_CALLS = "fail calls"
    BREAK_CONNECTIONS = "break connections"  # reads fail with ETIMEDOUT or EHOSTUNREACH
    DELAY_SENDS = "delay sends"
    # of a replica
    DRAIN = "drain"  # announced as leaving; later active again with a new start time
    HANG = "hang"  # receives requests and never answers
    # resets all connections and refuses new ones; later serves again with a new start time
    RESTART = "restart"
    # of the link to a replica
    CUT = "cut"  # drops data in both directions without an error
    STALL = "stall"
    DELAY = "delay"
    RESET = "reset"
    PIECES = "pieces"
    # of discovery
    DISCOVERY_DOWN = "discovery down"
    DISCOVERY_SILENT = "discovery silent"  # its links are cut
    DISCOVERY_PIECES = "discovery in pieces"


DISPATCHER_FAULTS = frozenset(
    (
        FaultKind.TERMINATE,
        FaultKind.SIGNAL_SERIES,
        FaultKind.IDLE_CONNECTIONS,
        FaultKind.UNFINISHED_BODIES,
        FaultKind.KILL,
        FaultKind.SUSPEND,
        FaultKind.RELOAD,
        FaultKind.UPGRADE,
        FaultKind.STEP_CLOCK,
        FaultKind.FAIL_CALLS,
        FaultKind.BREAK_CONNECTIONS,
        FaultKind.DELAY_SENDS,
    )
)
DISCOVERY_FAULTS = frozenset(
    (FaultKind.DISCOVERY_DOWN, FaultKind.DISCOVERY_SILENT, FaultKind.DISCOVERY_PIECES)
)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and when it starts, in seconds from the start of the soak.

    ``targets`` are numbers of dispatchers, or the number of one replica. ``amount_s`` is the size
    of a clock step, a delay or the pause between signals. ``forced`` are the system calls that
    fail. ``signals`` is a series with at least one SIGTERM.
    """

    at_s: float
    duration_s: float
    kind: FaultKind
    targets: tuple[int, ...] = ()
    amount_s: float = 0.0
    forced: tuple[ForcedFault, ...] = ()
    signals: tuple[signal.Signals, ...] = ()

    def __str__(self) -> str:
        details = [f"{self.amount_s:g} s"] if self.amount_s else []
        details += [str(forced) for forced in self.forced]
        details += [number.name for number in self.signals]
        targets = ",".join(map(str, self.targets))
        text = f"{self.kind.value} {targets} {' '.join(details)}".rstrip()
        return f"{self.at_s:6.2f} s for {self.duration_s:.2f} s: {text}"


@dataclass(frozen=True, slots=True)
class SoakParameters:
    """The size of a soak and its load."""

    dispatchers: int = 24
    readers: int = 4
    writers: int = 5
    length_s: float = 20.0
    requests_per_s: float = 60.0
    deadline_s: float = 3.0  # of all traffic classes

    @property
    def replicas(self) -> int:
        """The number of readers and writers."""
        return self.readers + self.writers


def draw_faults(seed: int, parameters: SoakParameters) -> list[ScheduledFault]:
    """Draw groups of two or three faults that start close together, with a gap between groups."""
    rng = random.Random(seed)
    found: list[ScheduledFault] = []
    at_s = 1.0
    while at_s < parameters.length_s - 4.0:
        group = [_draw_fault(rng, parameters, at_s) for _ in range(rng.choice((2, 3, 3)))]
        found += group
        at_s = max(fault.at_s + fault.duration_s for fault in group) + GROUP_GAP_S
    return sorted(found, key=lambda fault: fault.at_s)


def _draw_fault(rng: random.Random, parameters: SoakParameters, at_s: float) -> ScheduledFault:
    kind = rng.choice(list(FaultKind))
    at_s += rng.uniform(0, GROUP_SPREAD_S)
    duration_s, amount_s, forced = rng.uniform(0.4, 2.0), 0.0, tuple[ForcedFault, ...]()
    signals: tuple[signal.Signals, ...] = ()
    if kind in DISPATCHER_FAULTS:
        count = rng.choice((1, 2, max(1, parameters.dispatchers // 4)))
        targets = tuple(
            sorted(rng.sample(range(parameters.dispatchers), min(count, parameters.dispatchers)))
        )
    elif kind in DISCOVERY_FAULTS:
        targets = ()
    else:
        targets = (rng.randrange(parameters.replicas),)
    match kind:
        case FaultKind.SUSPEND:
            duration_s = rng.uniform(0.03, 0.14)
        case FaultKind.STEP_CLOCK:
            amount_s = rng.choice((-HOUR_S, -10.0, -1.0, 1.0, 10.0, HOUR_S))
        case FaultKind.DELAY_SENDS:
            amount_s = rng.uniform(0.01, 0.04)
        case FaultKind.DELAY:
            amount_s = rng.uniform(0.05, 0.25)
        case FaultKind.FAIL_CALLS:
            calls = rng.sample(list(TRANSIENT_ERRORS), rng.choice((1, 2, 3)))
            forced = tuple(
                ForcedFault(call, rng.choice(TRANSIENT_ERRORS[call]), rng.choice((100, 300, 600)))
                for call in calls
            )
        case FaultKind.BREAK_CONNECTIONS:
            forced = (
                ForcedFault(
                    SystemCall.RECEIVE, rng.choice(CONNECTION_ERRORS), rng.choice((20, 100))
                ),
            )
        case FaultKind.SIGNAL_SERIES:
            amount_s = rng.uniform(0.0, 0.3)
            signals = _draw_signals(rng)
        case FaultKind.DRAIN | FaultKind.HANG:
            duration_s = rng.uniform(2.0, 4.0)
    return ScheduledFault(at_s, duration_s, kind, targets, amount_s, forced, signals)


def _draw_signals(rng: random.Random) -> tuple[signal.Signals, ...]:
    """Draw SIGHUPs, then the SIGTERM that ends the process, then signals that arrive meanwhile."""
    before = [signal.SIGHUP] * rng.randint(0, MAX_EXTRA_SIGNALS)
    ending = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    after = [rng.choice(ending) for _ in range(rng.randint(1, MAX_EXTRA_SIGNALS))]
    return (*before, signal.SIGTERM, *after)


def describe_faults(faults: Iterable[ScheduledFault]) -> str:
    """Return one line for each fault."""
    return "\n".join(f"  {fault}" for fault in faults)
