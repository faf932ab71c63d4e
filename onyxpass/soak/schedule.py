"""Schedules of faults drawn from a seed, without I/O: the same seed always gives the same ones."""

import errno
import random
import signal
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from onyxpass.faultshim.control import SHORT_TRANSFER, ForcedFault, SystemCall

HOUR_S = 3_600.0
OVERLAP_S = 0.6  # from the first to the last beginning of the faults of one group
REST_S = 1.5  # between two groups
MOMENTARY = {
    SystemCall.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.EPROTO, errno.EINTR),
    SystemCall.CONNECT: (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ECONNABORTED, errno.ENOBUFS),
    SystemCall.SOCKET: (errno.ENFILE, errno.ENOBUFS),
    SystemCall.RECEIVE: (SHORT_TRANSFER,),
    SystemCall.SEND: (SHORT_TRANSFER,),
    SystemCall.WAIT: (errno.EINTR,),
    SystemCall.WRITE: (errno.ENOSPC, errno.EIO),
    SystemCall.RENAME: (errno.ENOSPC, errno.EIO),
}
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
MAX_EXTRA_SIGNALS = 2  # before and after the SIGTERM of a series


class Kind(Enum):
    """What happens to one party of the soak."""

    # to a dispatcher
    TERMINATE = "terminate"  # SIGTERM, and started again once it has ended
    SIGNALS = "signals in series"  # SIGHUPs, SIGTERM and more of both; then as above
    CROWD = "crowd"  # idle clients take every connection that it may have
    KILL = "kill"  # SIGKILL, and started again
    HOLD_UP = "hold up"  # SIGSTOP and SIGCONT
    RELOAD = "reload"  # SIGHUP with discovery moved to its other address, several times in a row
    UPGRADE = "upgrade"  # a new process beside it, then SIGTERM to the old one
    STEP_CLOCK = "step the wall clock"
    FAIL_CALLS = "fail calls"
    BREAK_CALLS = "break connections"  # reads that say ETIMEDOUT or EHOSTUNREACH
    DELAY_SENDS = "delay sends"
    # to a replica
    DRAIN = "drain"  # told as leaving, later back, born anew
    HANG = "hang"  # takes requests and says nothing
    RESTART = "restart"  # all connections reset, new ones refused, then back and born anew
    # to the way to a replica
    CUT = "cut"  # silent in both directions, with no error
    STALL = "stall"
    DELAY = "delay"
    RESET = "reset"
    PIECES = "pieces"
    # to discovery
    DISCOVERY_DOWN = "discovery down"
    DISCOVERY_SILENT = "discovery silent"  # the way to it is cut
    DISCOVERY_PIECES = "discovery in pieces"


DISPATCHER = frozenset(
    (
        Kind.TERMINATE,
        Kind.SIGNALS,
        Kind.CROWD,
        Kind.KILL,
        Kind.HOLD_UP,
        Kind.RELOAD,
        Kind.UPGRADE,
        Kind.STEP_CLOCK,
        Kind.FAIL_CALLS,
        Kind.BREAK_CALLS,
        Kind.DELAY_SENDS,
    )
)
DISCOVERY = frozenset((Kind.DISCOVERY_DOWN, Kind.DISCOVERY_SILENT, Kind.DISCOVERY_PIECES))


@dataclass(frozen=True, slots=True)
class Fault:
    """``target``: the number of a dispatcher or replica; several dispatchers may be struck at once.

    ``amount``: seconds of a step, a delay or between signals; ``forced``: the calls that fail;
    ``signals``: a series with one SIGTERM or more.
    """

    at_s: float
    for_s: float
    kind: Kind
    targets: tuple[int, ...] = ()
    amount: float = 0.0
    forced: tuple[ForcedFault, ...] = ()
    signals: tuple[signal.Signals, ...] = ()

    def __str__(self) -> str:
        more = [f"{self.amount:g} s"] if self.amount else []
        more += [str(forced) for forced in self.forced]
        more += [number.name for number in self.signals]
        whom = ",".join(map(str, self.targets))
        what = f"{self.kind.value} {whom} {' '.join(more)}".rstrip()
        return f"{self.at_s:6.2f} s for {self.for_s:.2f} s: {what}"


@dataclass(frozen=True, slots=True)
class Shape:
    """How large a soak is."""

    dispatchers: int = 24
    readers: int = 4
    writers: int = 5
    length_s: float = 20.0
    requests_per_s: float = 60.0
    deadline_s: float = 3.0  # of all classes

    @property
    def replicas(self) -> int:
        """The number of all servers."""
        return self.readers + self.writers


def drawn(seed: int, shape: Shape) -> list[Fault]:
    """Draw groups of two or three faults that overlap in time, with a rest between groups."""
    chance = random.Random(seed)
    found: list[Fault] = []
    at_s = 1.0
    while at_s < shape.length_s - 4.0:
        group = [_fault(chance, shape, at_s) for _ in range(chance.choice((2, 3, 3)))]
        found += group
        at_s = max(fault.at_s + fault.for_s for fault in group) + REST_S
    return sorted(found, key=lambda fault: fault.at_s)


def _fault(chance: random.Random, shape: Shape, at_s: float) -> Fault:
    kind = chance.choice(list(Kind))
    at_s += chance.uniform(0, OVERLAP_S)
    for_s, amount, forced = chance.uniform(0.4, 2.0), 0.0, tuple[ForcedFault, ...]()
    signals: tuple[signal.Signals, ...] = ()
    if kind in DISPATCHER:
        many = chance.choice((1, 2, max(1, shape.dispatchers // 4)))
        targets = tuple(
            sorted(chance.sample(range(shape.dispatchers), min(many, shape.dispatchers)))
        )
    elif kind in DISCOVERY:
        targets = ()
    else:
        targets = (chance.randrange(shape.replicas),)
    match kind:
        case Kind.HOLD_UP:
            for_s = chance.uniform(0.03, 0.14)
        case Kind.STEP_CLOCK:
            amount = chance.choice((-HOUR_S, -10.0, -1.0, 1.0, 10.0, HOUR_S))
        case Kind.DELAY_SENDS:
            amount = chance.uniform(0.01, 0.04)
        case Kind.DELAY:
            amount = chance.uniform(0.05, 0.25)
        case Kind.FAIL_CALLS:
            calls = chance.sample(list(MOMENTARY), chance.choice((1, 2, 3)))
            forced = tuple(
                ForcedFault(call, chance.choice(MOMENTARY[call]), chance.choice((100, 300, 600)))
                for call in calls
            )
        case Kind.BREAK_CALLS:
            forced = (
                ForcedFault(SystemCall.RECEIVE, chance.choice(BROKEN), chance.choice((20, 100))),
            )
        case Kind.SIGNALS:
            amount = chance.uniform(0.0, 0.3)
            signals = _signal_series(chance)
        case Kind.DRAIN | Kind.HANG:
            for_s = chance.uniform(2.0, 4.0)
    return Fault(at_s, for_s, kind, targets, amount, forced, signals)


def _signal_series(chance: random.Random) -> tuple[signal.Signals, ...]:
    """Draw reloads, the SIGTERM that ends the process, and what comes while it ends."""
    before = [signal.SIGHUP] * chance.randint(0, MAX_EXTRA_SIGNALS)
    ending = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    after = [chance.choice(ending) for _ in range(chance.randint(1, MAX_EXTRA_SIGNALS))]
    return (*before, signal.SIGTERM, *after)


def described(faults: Iterable[Fault]) -> str:
    """Return a line for each fault."""
    return "\n".join(f"  {fault}" for fault in faults)
