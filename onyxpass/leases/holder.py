"""The holder's side of a lease: a state machine without I/O.

It decides when to send which request, and until when its owner may act. The duration of a lease
counts from *before* its request was sent, by the holder's own monotonic clock, and ends a safety
margin early. So the store never considers a lease expired while its holder considers it valid, as
long as the rates of both clocks agree within ``MAX_CLOCK_DRIFT``.

A request without a reply may have been granted: the holder does not act on it, and sends the same
request again. A process that was suspended finds its lease expired when it resumes; rejecting what
it still sends under the old token is up to the resource (``leases.fence``).
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
SAFETY_MARGIN_MS = 20  # subtracted from the duration of a lease, in addition to the drift
RENEW_FRACTION = 1 / 3  # of the ttl, after which a lease is renewed
POLL_FRACTION = 2 / 3  # of the ttl, the longest time between two requests of a waiter
INITIAL_RETRY_DELAY_MS = 50  # after a request without a reply; doubles up to a third of the ttl


class HolderState(Enum):
    """The state of a holder.

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
    """The lease is no longer held: begin nothing more under this token."""

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
    """One process as a holder of one lease; each event returns the actions to perform.

    ``name_prefix`` is unique to the process and new with each start. Times are milliseconds of the
    process's monotonic clock. ``last_valid_until_ms`` is the time until which the lease that ended
    last was valid. ``last_unavailable`` is the latest reply that the lease is not available, None
    after a grant.
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

        It is new with each acquisition, so that a late message of a previous acquisition is not
        taken for one of the present acquisition.
        """
        return f"{self.name_prefix}.{self.acquisitions}"

    def may_act(self, now_ms: int) -> bool:
        """Return whether the lease is held and has not expired by the holder's own clock."""
        return self.state is HolderState.HELD and now_ms < self.valid_until_ms

    def acquire(self, now_ms: int, highest_seen_token: int = 0) -> list[HolderAction]:
        """Request the lease, and wait for it while it is not available.

        ``highest_seen_token`` is the highest token that any resource is known to have admitted.
        """
        if self.state is not HolderState.IDLE:
            return []
        self.state = HolderState.WAITING
        self.highest_seen_token = highest_seen_token
        self.acquisitions += 1
        return self._send(self._acquire_request(), now_ms)

    def release(self, now_ms: int) -> list[HolderAction]:
        """Release the lease, or stop waiting. No effect under it may still be in progress."""
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
        """Handle the lack of a reply: it is not known whether the request took effect."""
        if (pending := self.pending.pop(number, None)) is None:
            return []
        request = pending.request
        is_current = request.holder == self.name
        # Neither a release nor a request of an earlier acquisition is repeated: the lease or the
        # place in the queue expires.
        if isinstance(request, ReleaseRequest) or not is_current:
            if is_current and self.state is HolderState.RELEASING:
                self.state = HolderState.IDLE
            return []
        delay_ms = self.retry_delay_ms
        self.retry_delay_ms = min(delay_ms * 2, max(1, self.ttl_ms // 3))
        return self._schedule(now_ms, delay_ms)

    def tick(self, now_ms: int) -> list[HolderAction]:
        """Handle the passing of time; must be called at the time of ``WakeUpAt`` at the latest."""
        if self.state is HolderState.HELD and now_ms >= self.valid_until_ms:
            return self._on_lost("the lease has expired", now_ms)
        if self.next_request_at_ms < 0 or now_ms < self.next_request_at_ms:
            return []
        self.next_request_at_ms = -1
        if self.state is HolderState.HELD:
            return self._send(RenewRequest(self.name, self.token, self.ttl_ms), now_ms)
        if self.state is HolderState.WAITING:
            return self._send(self._acquire_request(), now_ms)
        return []

    def _acquire_request(self) -> AcquireRequest:
        # With a poll every 2/3 of the ttl, a place of this duration is renewed at each second poll.
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
        """Schedule the next request; wake up for it, or for the expiry of a held lease."""
        self.next_request_at_ms = now_ms + max(1, round(delay_ms))
        if self.state is HolderState.HELD:
            return [WakeUpAt(min(self.next_request_at_ms, self.valid_until_ms))]
        return [WakeUpAt(self.next_request_at_ms)]

    def _on_late_reply(
        self, request: LeaseRequest, reply: LeaseReply, now_ms: int
    ) -> list[HolderAction]:
        """Handle a reply to an earlier acquisition, or after the lease was lost or released."""
        if isinstance(request, AcquireRequest) and isinstance(reply, LeaseGranted):
            # Prevents a grant that nothing else would release from blocking the lease.
            return self._send(ReleaseRequest(request.holder, reply.token), now_ms)
        is_current = request.holder == self.name
        if isinstance(reply, LeaseReleased) and is_current and self.state is HolderState.RELEASING:
            self.state = HolderState.IDLE
        return []

    def _on_granted(self, token: int, valid_until_ms: int, now_ms: int) -> list[HolderAction]:
        if self.state is HolderState.HELD and token != self.token:
            return self._on_lost("another token was granted under its own name", now_ms)
        if now_ms >= valid_until_ms:  # the grant expired before its reply arrived
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
