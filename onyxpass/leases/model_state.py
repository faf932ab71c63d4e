"""One state of the model that ``model_checker`` explores, and the bounds of the exploration.

A state is a moment: the store's record, the holders, the messages on their way, and the resource.
It contains what runs in production (``LeaseHolder``, ``apply_request``, ``Fence``).
"""

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

from onyxpass.leases.fence import Fence
from onyxpass.leases.holder import HolderAction, LeaseHolder, SendRequest
from onyxpass.leases.messages import LeaseReply, LeaseRequest
from onyxpass.leases.record import LeaseRecord
from onyxpass.leases.transitions import Transition, apply_request

START_MS = 1000
STEP_MS = 25
TTL_MS = 100


class Disturbance(IntEnum):
    """What is bounded on one path; the value is its place in ``ModelState.spent``."""

    LOST_MESSAGE = 0
    LATE_REQUEST = 1
    SUSPENSION = 2
    KILL = 3
    STORE_RESTART = 4
    COMMAND = 5
    REACQUISITION = 6


@dataclass(frozen=True, slots=True)
class SearchBounds:
    """How often each disturbance may happen on one path, and how far paths go.

    ``late_requests`` arrive although their sender has given up on them. ``commands`` go to the
    resource, each with any delay and duration. ``reacquisitions`` are acquisitions by a holder
    that released or lost the lease before.
    """

    contenders: int = 2
    duration_ms: int = 300
    lost_messages: int = 1
    late_requests: int = 1
    suspensions: int = 1
    kills: int = 1
    store_restarts: int = 1
    commands: int = 2
    reacquisitions: int = 1
    max_states: int = 200_000

    def limits(self) -> tuple[int, ...]:
        """Return the limit of each ``Disturbance``, in the order of its members."""
        return (
            self.lost_messages,
            self.late_requests,
            self.suspensions,
            self.kills,
            self.store_restarts,
            self.commands,
            self.reacquisitions,
        )


@dataclass(frozen=True, slots=True)
class CheckedSystem:
    """The parts that are checked; tests replace one of them by a faulty one."""

    apply_request: Callable[..., Transition] = apply_request
    holder: type[LeaseHolder] = LeaseHolder
    fence: type[Fence] = Fence


class RequestInFlight(NamedTuple):
    """A request on its way to the store; ``abandoned`` if its sender gave up on it."""

    sender: int
    name_prefix: str
    number: int
    request: LeaseRequest
    abandoned: bool = False


class ReplyInFlight(NamedTuple):
    """A reply on its way to a holder."""

    receiver: int
    name_prefix: str
    number: int
    reply: LeaseReply


class ResourceCommand(NamedTuple):
    """A command to the resource, under a holder's token."""

    holder: str
    token: int


class Grant(NamedTuple):
    """A token, and to whom the store granted it."""

    token: int
    name_prefix: str


@dataclass(slots=True)
class ModelState:
    """A moment of the model.

    ``snapshot`` is the older record that a restarted store may come back with. ``commands`` are in
    flight to the resource, ``running`` are those in effect there, and ``last_admitted`` holds the
    one admitted last, if any. ``spent`` counts each ``Disturbance`` so far.
    """

    now_ms: int
    record: LeaseRecord | None
    store_run: int
    snapshot: LeaseRecord | None
    holders: tuple[LeaseHolder, ...]
    suspended: frozenset[int] = frozenset()
    requests: tuple[RequestInFlight, ...] = ()
    replies: tuple[ReplyInFlight, ...] = ()
    commands: tuple[ResourceCommand, ...] = ()
    running: tuple[ResourceCommand, ...] = ()
    last_admitted: tuple[ResourceCommand, ...] = ()
    fence: Fence = field(default_factory=Fence)
    granted: tuple[Grant, ...] = ()
    spent: tuple[int, ...] = (0,) * len(Disturbance)

    def key(self) -> tuple[Any, ...]:
        """Return a hashable value that is equal for equal states."""
        admitted = tuple(
            sorted((name, last.token, last.holder) for name, last in self.fence.admitted.items())
        )
        return (
            self.now_ms,
            self.record,
            self.store_run,
            self.snapshot,
            tuple(_holder_key(holder) for holder in self.holders),
            self.suspended,
            self.requests,
            self.replies,
            self.commands,
            self.running,
            self.last_admitted,
            self.granted,
            admitted,
            self.spent,
        )

    def copy(self) -> "ModelState":
        """Return a copy that shares nothing mutable with this state."""
        after = copy(self)
        after.holders = tuple(_copy_of(holder) for holder in self.holders)
        after.fence = type(self.fence)(dict(self.fence.admitted), dict(self.fence.running))
        return after

    def send_requests(self, sender: int, actions: list[HolderAction]) -> None:
        """Put the requests among a holder's actions on their way; the rest is in its state."""
        name_prefix = self.holders[sender].name_prefix
        self.requests += tuple(
            RequestInFlight(sender, name_prefix, action.number, action.request)
            for action in actions
            if isinstance(action, SendRequest)
        )

    def spend(self, disturbance: Disturbance) -> None:
        """Count one more of these."""
        self.spent = tuple(count + (index == disturbance) for index, count in enumerate(self.spent))


def _holder_key(holder: LeaseHolder) -> tuple[Any, ...]:
    return (
        holder.name,
        holder.state,
        holder.requests_sent,
        holder.token,
        holder.valid_until_ms,
        holder.highest_seen_token,
        holder.next_request_at_ms,
        holder.retry_delay_ms,
        tuple(holder.pending.items()),
    )


def _copy_of(holder: LeaseHolder) -> LeaseHolder:
    after = copy(holder)
    after.pending = dict(holder.pending)
    return after
