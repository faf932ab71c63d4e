"""The rules of a lease on the store's side, as pure functions.

``apply_request`` decides from the record as it was read; its result is to be written only if
nobody has written since. Times are milliseconds of the store's clock. A holder loses the lease once
``expires_at_ms`` has passed.

A store that restarts may have lost what it granted: it has no record or an older one, and another
run id. Before anything is granted under a new run id, every lease that may be outstanding must have
expired (``grants_open_at_ms``). The next token is higher than the record's and than any that a
resource is known to have admitted, so that tokens increase with every change of holder.
"""

from dataclasses import replace

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
from onyxpass.leases.record import MAX_REASON_LENGTH, MAX_WAITERS, LeaseRecord, Waiter

# No lease is granted for longer, so none can be outstanding for longer. One value per fleet.
MAX_TTL_MS = 30_000

Transition = tuple[LeaseReply, LeaseRecord | None]


def apply_request(
    record: LeaseRecord | None,
    request: LeaseRequest,
    store_run_id: str,
    now_ms: int,
    max_ttl_ms: int = MAX_TTL_MS,
) -> Transition:
    """Return the reply, and the record to be written (None: it is not changed)."""
    if not isinstance(request, ReleaseRequest) and not 0 < request.ttl_ms <= max_ttl_ms:
        reason = f"a TTL of {request.ttl_ms} ms is not within 1 to {max_ttl_ms} ms"
        return LeaseDenied(reason), None
    if record is None or record.store_run_id != store_run_id:
        return _apply_after_store_restart(record, request, store_run_id, now_ms, max_ttl_ms)
    match request:
        case AcquireRequest():
            return _acquire(record, request, now_ms)
        case RenewRequest():
            return _renew(record, request, now_ms)
        case ReleaseRequest():
            return _release(record, request, now_ms)


def _apply_after_store_restart(
    record: LeaseRecord | None,
    request: LeaseRequest,
    store_run_id: str,
    now_ms: int,
    max_ttl_ms: int,
) -> Transition:
    """Grant nothing until every lease of an earlier run must have expired.

    Prevents two holders if the store has lost a grant or restarted with an older record.
    """
    last_token = record.token if record is not None else 0
    closed = LeaseRecord(
        # The store may have lost which tokens it granted. With less than one
        # grant per millisecond, the time in milliseconds is higher than all of them.
        token=max(last_token, now_ms),
        store_run_id=store_run_id,
        grants_open_at_ms=now_ms + max_ttl_ms,
    )
    if not isinstance(request, AcquireRequest):
        return LeaseDenied("the store has restarted"), closed
    queued = _enqueue(closed, request, now_ms)
    return LeaseUnavailable("", max_ttl_ms, _waiters_ahead(queued, request.holder)), queued


def _acquire(record: LeaseRecord, request: AcquireRequest, now_ms: int) -> Transition:
    if record.is_held(now_ms) and record.holder == request.holder:
        return _extend(record, request.ttl_ms, now_ms)
    queued = _enqueue(record, request, now_ms)
    if (unavailable := _unavailable_reply(record, queued, request, now_ms)) is not None:
        needs_write = _place_needs_write(record, queued, request, now_ms)
        return unavailable, queued if needs_write else None
    granted = replace(
        queued,
        token=max(record.token, request.highest_seen_token) + 1,
        holder=request.holder,
        expires_at_ms=now_ms + request.ttl_ms,
        reason=request.reason[:MAX_REASON_LENGTH],
        waiters=_without_holder(queued.waiters, request.holder),
    )
    return LeaseGranted(granted.token, request.ttl_ms), granted


def _unavailable_reply(
    record: LeaseRecord, queued: LeaseRecord, request: AcquireRequest, now_ms: int
) -> LeaseUnavailable | None:
    ahead = _waiters_ahead(queued, request.holder)
    if record.is_held(now_ms):
        remaining_ms = record.expires_at_ms - now_ms
        return LeaseUnavailable(record.holder, remaining_ms, ahead, record.reason)
    if now_ms < record.grants_open_at_ms:
        return LeaseUnavailable("", record.grants_open_at_ms - now_ms, ahead)
    if ahead:  # prevents a newcomer from starving the waiters
        first_expiry_ms = min(waiter.expires_at_ms for waiter in queued.waiters)
        return LeaseUnavailable("", first_expiry_ms - now_ms, ahead)
    return None


def _place_needs_write(
    record: LeaseRecord, queued: LeaseRecord, request: AcquireRequest, now_ms: int
) -> bool:
    """Return whether a waiter's place in the queue has to be written.

    Prevents many waiters from writing at every poll: a place is renewed once half of its time has
    passed.
    """
    if not any(waiter.holder == request.holder for waiter in queued.waiters):
        return False
    remaining_ms = next(
        (
            waiter.expires_at_ms - now_ms
            for waiter in record.waiters
            if waiter.holder == request.holder
        ),
        0,
    )
    return 2 * remaining_ms < request.queue_ttl_ms


def _renew(record: LeaseRecord, request: RenewRequest, now_ms: int) -> Transition:
    if record.holder != request.holder or record.token != request.token:
        reason = f"{record.holder or 'nobody'} holds the lease, with token {record.token}"
        return LeaseDenied(reason), None
    if not record.is_held(now_ms):
        # Prevents the renewal of a lease that others may already have seen expire.
        return LeaseDenied("the lease has expired"), None
    return _extend(record, request.ttl_ms, now_ms)


def _extend(record: LeaseRecord, ttl_ms: int, now_ms: int) -> Transition:
    extended = replace(record, expires_at_ms=max(record.expires_at_ms, now_ms + ttl_ms))
    return LeaseGranted(record.token, ttl_ms), extended


def _release(record: LeaseRecord, request: ReleaseRequest, now_ms: int) -> Transition:
    waiters = _without_holder(record.waiters, request.holder)
    is_holder = record.holder == request.holder and record.token == request.token
    if is_holder and record.is_held(now_ms):
        return LeaseReleased(), replace(record, expires_at_ms=now_ms, waiters=waiters)
    if waiters != record.waiters:
        return LeaseReleased(), replace(record, waiters=waiters)
    return LeaseReleased(), None


def _enqueue(record: LeaseRecord, request: AcquireRequest, now_ms: int) -> LeaseRecord:
    """Drop expired places, and renew the requester's place or add one if there is room.

    A request with ``queue_ttl_ms`` 0 takes no place, and gives up the one it had.
    """
    live = [waiter for waiter in record.waiters if now_ms < waiter.expires_at_ms]
    others = [waiter for waiter in live if waiter.holder != request.holder]
    place = Waiter(request.holder, now_ms + request.queue_ttl_ms)
    had_place = any(waiter.holder == request.holder for waiter in record.waiters)
    if request.queue_ttl_ms and had_place:
        # A place that was renewed in time keeps its position; one that expired goes to the end.
        position = next(
            (index for index, waiter in enumerate(live) if waiter.holder == request.holder),
            len(others),
        )
        others.insert(position, place)
    elif request.queue_ttl_ms and len(others) < MAX_WAITERS:
        others.append(place)
    return replace(record, waiters=tuple(others))


def _without_holder(waiters: tuple[Waiter, ...], holder: str) -> tuple[Waiter, ...]:
    return tuple(waiter for waiter in waiters if waiter.holder != holder)


def _waiters_ahead(record: LeaseRecord, holder: str) -> int:
    """Return the number of waiters before ``holder``; all of them if it has no place."""
    names = [waiter.holder for waiter in record.waiters]
    return names.index(holder) if holder in names else len(names)
