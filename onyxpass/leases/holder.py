"""The holder's side of a lease: a state machine without I/O.

It decides what to request when, and until when its owner may act. A lease is usable from *before*
its request was sent, by the holder's own monotonic clock, and ends a safety margin early. So the
store never takes a holder for gone while that holder takes itself for present, as long as both
clocks agree within ``MAX_CLOCK_DRIFT``.

A reply that never came counts as perhaps granted: nothing is acted on, and the same request is
sent again. A process that was suspended finds its lease expired when it wakes; what it had begun by
then is the resource's to reject (``leases.fence``).
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from onyxpass.leases.messages import (
    AcquireRequest,
    LeaseDenied,
    LeaseGranted,
    LeaseReleased,
    LeaseReply,
    LeaseRequest,
    LeaseUnavailable,
    ReleaseRequest,
    RenewRequest,
)

MAX_CLOCK_DRIFT = 0.05  # the largest relative difference in speed of two clocks
SAFETY_MARGIN_MS = 20  # taken off the end of a lease, besides the drift
RENEW_FRACTION = 1 / 3  # of the ttl, after which a lease is renewed
POLL_FRACTION = 2 / 3  # of the ttl, the longest time between two requests of a waiter
INITIAL_RETRY_DELAY_MS = 50  # after a request without a reply; doubles up to a third of the ttl


class HolderState(Enum):
    """Where a holder stands.

    ``acquire`` leads from IDLE to WAITING, and a grant from WAITING to HELD. ``release`` leads from
    WAITING or HELD to RELEASING, and its end from there to IDLE. A lost lease leads from HELD to
    IDLE.
    """

    IDLE = "idle"
    WAITING = "waiting"
    HELD = "held"
    RELEASING = "leaving"


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send this to the store; then call ``on_reply`` or ``on_no_reply`` with the same number."""

    number: int
    request: LeaseRequest


@dataclass(frozen=True, slots=True)
class BeginActing:
    """The lease is held: act under this token, for as long as ``may_act`` returns True."""

    token: int


@dataclass(frozen=True, slots=True)
class StopActing:
    """Begin nothing more under this token."""

    token: int
    reason: str


@dataclass(frozen=True, slots=True)
class WakeUpAt:
    """Call ``tick`` at this time at the latest."""

    at_ms: int


HolderAction = SendRequest | BeginActing | StopActing | WakeUpAt


class PendingRequest(NamedTuple):
    """A request without a reply so far."""

    request: LeaseRequest
    sent_at_ms: int


def usable_ttl_ms(ttl_ms: int) -> int:
    """Return for how long after sending its request a holder may act on a grant."""
    return max(0, int(ttl_ms * (1 - MAX_CLOCK_DRIFT)) - SAFETY_MARGIN_MS)


@dataclass(slots=True)
class LeaseHolder:
    """One process's claim on one lease; each event returns the actions that follow from it.

    ``name_prefix`` differs from every other process's and is new with each start. Times are
    milliseconds of the process's monotonic clock. ``last_valid_until_ms`` tells until when the
    lease that ended last could be acted on, and ``last_unavailable`` who was in the way last.
    """

    name_prefix: str
    ttl_ms: int
    reason: str = ""
    state: HolderState = HolderState.IDLE
    token: int = 0
    valid_until_ms: int = 0
    last_valid_until_ms: int = 0
    highest_seen_token: int = 0
    last_unavailable: LeaseUnavailable | None = None
    pending: dict[int, PendingRequest] = field(default_factory=dict)  # by number
    requests_sent: int = 0
    acquisitions: int = 0
    next_request_at_ms: int = -1  # negative: none is due
    retry_delay_ms: int = INITIAL_RETRY_DELAY_MS

    @property
    def name(self) -> str:
        """The holder's name in the store.

        New with each acquisition. Prevents a message of the last one, still on its way, from being
        taken for this one's.
        """
        return f"{self.name_prefix}.{self.acquisitions}"

    def may_act(self, now_ms: int) -> bool:
        """Return whether the lease is held and has not expired by the holder's own clock."""
        return self.state is HolderState.HELD and now_ms < self.valid_until_ms

    def acquire(self, now_ms: int, highest_seen_token: int = 0) -> list[HolderAction]:
        """Acquire the lease, or wait for it.

        ``highest_seen_token`` is the highest token that any resource is known to have admitted.
        """
        if self.state is not HolderState.IDLE:
            return []
        self.state = HolderState.WAITING
        self.highest_seen_token = highest_seen_token
        self.acquisitions += 1
        return self._send(self._acquire_request(), now_ms)

    def release(self, now_ms: int) -> list[HolderAction]:
        """Give the lease back, or stop waiting. No effect under it may be in progress any more."""
        if self.state in (HolderState.IDLE, HolderState.RELEASING):
            return []
        actions: list[HolderAction] = []
        if self.state is HolderState.HELD:
            actions.append(StopActing(self.token, "given back"))
            self.last_valid_until_ms = min(now_ms, self.valid_until_ms)
        self.state = HolderState.RELEASING
        self.valid_until_ms = 0
        return [*actions, *self._send(ReleaseRequest(self.name, self.token), now_ms)]

    def on_reply(self, number: int, reply: LeaseReply, now_ms: int) -> list[HolderAction]:
        """Handle the store's reply to a pending request; others are ignored."""
        if (pending := self.pending.pop(number, None)) is None:
            return []
        request = pending.request
        is_current = request.holder == self.name
        if not is_current or self.state in (HolderState.IDLE, HolderState.RELEASING):
            return self._on_late_reply(request, reply, now_ms)
        self.retry_delay_ms = INITIAL_RETRY_DELAY_MS
        match reply:
            case LeaseGranted(token, ttl_ms):
                valid_until_ms = pending.sent_at_ms + usable_ttl_ms(ttl_ms)
                return self._on_granted(token, valid_until_ms, now_ms)
            case LeaseUnavailable() if self.state is HolderState.WAITING:
                self.last_unavailable = reply
                return self._schedule(now_ms, self._poll_delay_ms(reply))
            case LeaseDenied(reason) if self._denies_renewal(request):
                return self._on_lost(reason, now_ms)
        return []

    def on_no_reply(self, number: int, now_ms: int) -> list[HolderAction]:
        """Handle a request of which it is not known whether it took effect."""
        if (pending := self.pending.pop(number, None)) is None:
            return []
        request = pending.request
        is_current = request.holder == self.name
        if isinstance(request, ReleaseRequest) or not is_current:  # expires without a release
            if is_current and self.state is HolderState.RELEASING:
                self.state = HolderState.IDLE
            return []
        delay_ms = self.retry_delay_ms
        self.retry_delay_ms = min(delay_ms * 2, max(1, self.ttl_ms // 3))
        return self._schedule(now_ms, delay_ms)

    def tick(self, now_ms: int) -> list[HolderAction]:
        """Handle the passing of time; to be called at the latest when ``WakeUpAt`` says."""
        if self.state is HolderState.HELD and now_ms >= self.valid_until_ms:
            return self._on_lost("its time is over", now_ms)
        if self.next_request_at_ms < 0 or now_ms < self.next_request_at_ms:
            return []
        self.next_request_at_ms = -1
        if self.state is HolderState.HELD:
            return self._send(RenewRequest(self.name, self.token, self.ttl_ms), now_ms)
        if self.state is HolderState.WAITING:
            return self._send(self._acquire_request(), now_ms)
        return []

    def _acquire_request(self) -> AcquireRequest:
        # A place that is polled every 2/3 of the ttl is then renewed at every second poll.
        queue_ttl_ms = self.ttl_ms * 3 // 2
        return AcquireRequest(
            self.name, self.ttl_ms, self.reason, self.highest_seen_token, queue_ttl_ms
        )

    def _denies_renewal(self, request: LeaseRequest) -> bool:
        return (
            self.state is HolderState.HELD
            and isinstance(request, RenewRequest)
            and request.token == self.token
        )

    def _poll_delay_ms(self, reply: LeaseUnavailable) -> float:
        longest_ms = self.ttl_ms * POLL_FRACTION
        delay_ms = min(reply.remaining_ms, longest_ms) if reply.holder else longest_ms
        return max(INITIAL_RETRY_DELAY_MS, delay_ms)

    def _send(self, request: LeaseRequest, now_ms: int) -> list[HolderAction]:
        self.requests_sent += 1
        self.pending[self.requests_sent] = PendingRequest(request, now_ms)
        self.next_request_at_ms = -1
        return [SendRequest(self.requests_sent, request)]

    def _schedule(self, now_ms: int, delay_ms: float) -> list[HolderAction]:
        """Make the next request due after this delay, and wake up for it or for the expiry."""
        self.next_request_at_ms = now_ms + max(1, round(delay_ms))
        if self.state is HolderState.HELD:
            return [WakeUpAt(min(self.next_request_at_ms, self.valid_until_ms))]
        return [WakeUpAt(self.next_request_at_ms)]

    def _on_late_reply(
        self, request: LeaseRequest, reply: LeaseReply, now_ms: int
    ) -> list[HolderAction]:
        """Handle a reply that comes after its requester has left or started anew."""
        if isinstance(request, AcquireRequest) and isinstance(reply, LeaseGranted):
            # Prevents a grant that nobody else would give back from blocking the lease.
            return self._send(ReleaseRequest(request.holder, reply.token), now_ms)
        is_current = request.holder == self.name
        if isinstance(reply, LeaseReleased) and is_current and self.state is HolderState.RELEASING:
            self.state = HolderState.IDLE
        return []

    def _on_granted(self, token: int, valid_until_ms: int, now_ms: int) -> list[HolderAction]:
        if self.state is HolderState.HELD and token != self.token:
            return self._on_lost("another grant under its own name", now_ms)
        if now_ms >= valid_until_ms:  # the grant was on its way for so long that it has expired
            return self._schedule(now_ms, 0) if self.state is HolderState.WAITING else []
        actions: list[HolderAction] = []
        if self.state is not HolderState.HELD:
            actions.append(BeginActing(token))
        self.state = HolderState.HELD
        self.token = token
        self.last_unavailable = None
        self.valid_until_ms = max(self.valid_until_ms, valid_until_ms)
        return [*actions, *self._schedule(now_ms, self.ttl_ms * RENEW_FRACTION)]

    def _on_lost(self, reason: str, now_ms: int) -> list[HolderAction]:
        """Become idle; the owner decides whether to acquire the lease again."""
        self.last_valid_until_ms = min(now_ms, self.valid_until_ms)
        self.state = HolderState.IDLE
        self.valid_until_ms = 0
        self.next_request_at_ms = -1
        return [StopActing(self.token, reason)]
