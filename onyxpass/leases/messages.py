"""Requests to a lease and the replies to them, as immutable values without I/O."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """Grant the lease for ``ttl_ms``, or queue the requester.

    Idempotent: repeated by the holder it yields the same token, so a lost reply does no harm.
    ``highest_seen_token`` is the highest token that any resource is known to have admitted; the
    granted token is higher. A place in the queue lasts ``queue_ttl_ms``; 0 takes no place.
    """

    holder: str
    ttl_ms: int
    reason: str = ""
    highest_seen_token: int = 0
    queue_ttl_ms: int = 0


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """Extend a lease that is held under this token."""

    holder: str
    token: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Release the lease, or leave the waiter queue."""

    holder: str
    token: int = 0


LeaseRequest = AcquireRequest | RenewRequest | ReleaseRequest


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The requester holds the lease for ``ttl_ms``, under this fencing token."""

    token: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class LeaseUnavailable:
    """The requester has to wait.

    ``holder`` holds the lease for another ``remaining_ms``. It is empty if the store grants nothing
    yet, or if other waiters come first. ``waiters_ahead`` is the number of these waiters.
    """

    holder: str
    remaining_ms: int
    waiters_ahead: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """The requester does not hold the lease (any more), or the request is not valid."""

    reason: str


@dataclass(frozen=True, slots=True)
class LeaseReleased:
    """The requester neither holds the lease nor waits for it."""


LeaseReply = LeaseGranted | LeaseUnavailable | LeaseDenied | LeaseReleased
