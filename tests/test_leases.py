"""Leases: the record, the holder, the fence, the store, and the model checker.

The model checker must find each of several faults that are injected into the system.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import pytest
from standins import RespStore, until

from onyxpass.leases.event_log import boottime_ms
from onyxpass.leases.fence import Fence
from onyxpass.leases.holder import (
    BeginActing,
    HolderState,
    LeaseHolder,
    SendRequest,
    StopActing,
    usable_ttl_ms,
)
from onyxpass.leases.lease_client import LeaseClient, LeaseUnansweredError
from onyxpass.leases.messages import (
    AcquireRequest,
    LeaseDenied,
    LeaseGranted,
    LeaseReleased,
    LeaseUnavailable,
    ReleaseRequest,
    RenewRequest,
)
from onyxpass.leases.model_checker import ModelChecker
from onyxpass.leases.model_state import CheckedSystem, SearchBounds
from onyxpass.leases.record import CorruptRecordError, LeaseRecord, parse_record
from onyxpass.leases.transitions import apply_request
from onyxpass.store.leases import LEASE_KEY_PREFIX, LeaseStore
from onyxpass.store.redis import StoreUnavailableError
from onyxpass.testbed.link import Link
from onyxpass.testbed.store import StoreFault

FREE = LeaseRecord(token=3, holder="last", expires_at_ms=0, store_run_id="r")
SMALL_BOUNDS = SearchBounds(duration_ms=175, max_states=15_000)


def sent_request(actions: list[Any]) -> Any:
    return next(action for action in actions if isinstance(action, SendRequest))


# The record of a lease


def test_a_lease_is_granted_renewed_and_granted_to_another_after_it_expired() -> None:
    reply, held = apply_request(FREE, AcquireRequest("a", 1000, "why"), "r", 5000)
    assert reply == LeaseGranted(4, 1000) and held is not None and held.expires_at_ms == 6000
    assert apply_request(held, AcquireRequest("b", 1000), "r", 5500)[0] == LeaseUnavailable(
        "a", 500, 0, "why"
    )
    again, renewed = apply_request(held, RenewRequest("a", 4, 1000), "r", 5500)
    assert again == LeaseGranted(4, 1000) and renewed is not None and renewed.expires_at_ms == 6500
    assert isinstance(
        apply_request(renewed, RenewRequest("a", 4, 1000), "r", 6500)[0], LeaseDenied
    ), "the lease had expired"
    assert apply_request(renewed, AcquireRequest("b", 1000), "r", 6500)[0] == LeaseGranted(5, 1000)


def test_a_repeated_request_of_the_holder_yields_the_same_grant() -> None:
    _, held = apply_request(FREE, AcquireRequest("a", 1000), "r", 5000)
    assert apply_request(held, AcquireRequest("a", 1000), "r", 5600)[0] == LeaseGranted(4, 1000)


def test_only_the_holder_can_release_a_lease() -> None:
    _, held = apply_request(FREE, AcquireRequest("a", 1000), "r", 5000)
    assert apply_request(held, ReleaseRequest("b", 4), "r", 5100) == (LeaseReleased(), None)
    assert apply_request(held, ReleaseRequest("a", 3), "r", 5100) == (LeaseReleased(), None)
    _, left = apply_request(held, ReleaseRequest("a", 4), "r", 5100)
    assert left is not None and not left.is_held(5100) and left.token == 4


def test_waiters_are_served_in_order_and_skipped_once_their_places_expire() -> None:
    _, record = apply_request(FREE, AcquireRequest("a", 1000, queue_ttl_ms=500), "r", 0)
    for name in ("b", "c", "d"):
        _, record = apply_request(record, AcquireRequest(name, 1000, queue_ttl_ms=500), "r", 10)
    assert record is not None and [waiter.holder for waiter in record.waiters] == ["b", "c", "d"]
    _, record = apply_request(record, AcquireRequest("c", 1000, queue_ttl_ms=2000), "r", 400)
    _, record = apply_request(record, AcquireRequest("d", 1000, queue_ttl_ms=2000), "r", 410)
    assert record is not None and [waiter.holder for waiter in record.waiters] == ["b", "c", "d"], (
        "renewed places keep their positions"
    )
    assert isinstance(
        apply_request(record, AcquireRequest("e", 1000), "r", 1100)[0], LeaseUnavailable
    ), "a newcomer does not overtake waiters"
    assert isinstance(
        apply_request(record, AcquireRequest("d", 1000, queue_ttl_ms=500), "r", 1100)[0],
        LeaseUnavailable,
    )
    reply, record = apply_request(record, AcquireRequest("c", 1000, queue_ttl_ms=500), "r", 1100)
    assert reply == LeaseGranted(5, 1000), "the place of b has expired"
    assert record is not None and [waiter.holder for waiter in record.waiters] == ["d"]


@pytest.mark.parametrize(
    "stored", [None, LeaseRecord(token=1, holder="x", expires_at_ms=9**9, store_run_id="old")]
)
def test_a_restarted_store_grants_nothing_until_every_earlier_lease_has_expired(
    stored: LeaseRecord | None,
) -> None:
    reply, restarted = apply_request(
        stored, AcquireRequest("a", 1000, highest_seen_token=7, queue_ttl_ms=500), "new", 5000, 2000
    )
    assert (
        isinstance(reply, LeaseUnavailable)
        and restarted is not None
        and restarted.grants_open_at_ms == 7000
    )
    assert isinstance(
        apply_request(
            restarted,
            AcquireRequest("a", 1000, highest_seen_token=7, queue_ttl_ms=500),
            "new",
            6999,
            2000,
        )[0],
        LeaseUnavailable,
    )
    assert isinstance(
        apply_request(restarted, RenewRequest("x", 1, 1000), "new", 6000, 2000)[0], LeaseDenied
    )
    assert apply_request(
        restarted, AcquireRequest("b", 1000, highest_seen_token=7), "new", 7000, 2000
    )[0] == LeaseGranted(5001, 1000)
    assert apply_request(
        restarted, AcquireRequest("b", 1000, highest_seen_token=9000), "new", 7000, 2000
    )[0] == LeaseGranted(9001, 1000)


def test_a_ttl_above_the_maximum_is_denied() -> None:
    assert isinstance(apply_request(FREE, AcquireRequest("a", 2001), "r", 0, 2000)[0], LeaseDenied)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "null",
        '{"version":2}',
        "x" * 40_000,
        FREE.to_json().replace('"token": 3', '"token": -3'),
    ],
)
def test_a_malformed_record_is_reported_as_corrupt(text: str) -> None:
    with pytest.raises(CorruptRecordError):
        parse_record(text)
    assert parse_record(FREE.to_json()) == FREE


# The holder


def test_the_duration_of_a_lease_counts_from_before_the_request_was_sent() -> None:
    holder = LeaseHolder("a", 1000)
    sent = sent_request(holder.acquire(5000))
    assert holder.on_reply(sent.number, LeaseGranted(4, 1000), 5600)[0] == BeginActing(4)
    assert holder.may_act(5000 + usable_ttl_ms(1000) - 1) and not holder.may_act(
        5000 + usable_ttl_ms(1000)
    )
    assert usable_ttl_ms(1000) < 1000 / 1.05, (
        "the lease also ends in time on a clock that is 5% slower"
    )


def test_a_grant_that_arrives_after_its_expiry_is_not_used() -> None:
    holder = LeaseHolder("a", 1000)
    sent = sent_request(holder.acquire(5000))
    assert BeginActing(4) not in holder.on_reply(sent.number, LeaseGranted(4, 1000), 6000)
    assert holder.state is HolderState.WAITING and not holder.may_act(6000)


def test_a_request_without_a_reply_is_repeated_and_its_late_reply_is_ignored() -> None:
    holder = LeaseHolder("a", 1000)
    first = sent_request(holder.acquire(5000))
    assert not any(isinstance(a, BeginActing) for a in holder.on_no_reply(first.number, 5300))
    second = sent_request(holder.tick(5400))
    assert holder.on_reply(first.number, LeaseGranted(4, 1000), 5410) == [], (
        "the late reply is ignored"
    )
    assert holder.on_reply(second.number, LeaseGranted(4, 1000), 5420)[0] == BeginActing(4)


def test_a_process_that_was_suspended_finds_its_lease_expired() -> None:
    holder = LeaseHolder("a", 1000)
    holder.on_reply(sent_request(holder.acquire(5000)).number, LeaseGranted(4, 1000), 5001)
    assert not holder.may_act(9000)
    assert isinstance(holder.tick(9000)[0], StopActing) and holder.state is HolderState.IDLE


def test_a_grant_that_arrives_after_its_requester_has_released_is_released() -> None:
    holder = LeaseHolder("a", 1000)
    sent = sent_request(holder.acquire(5000))
    holder.release(5010)
    assert sent_request(
        holder.on_reply(sent.number, LeaseGranted(4, 1000), 5020)
    ).request == ReleaseRequest("a.1", 4)


# The resource


def test_a_fence_rejects_outdated_tokens_and_newer_ones_during_an_effect() -> None:
    fence = Fence()
    assert not fence.rejection_reason("l", 4, "a") and fence.admit("l", 4, "a")
    assert (
        fence.rejection_reason("l", 3, "b")
        and fence.rejection_reason("l", 4, "b")
        and fence.rejection_reason("l", 0, "a")
    )
    assert not fence.rejection_reason("l", 4, "a") and not fence.admit("l", 4, "a"), (
        "nothing new has to be stored"
    )
    fence.effect_started("l")
    assert "under way" in fence.rejection_reason("l", 5, "b")
    fence.effect_finished("l")
    assert not fence.rejection_reason("l", 5, "b") and not fence.rejection_reason("other", 1, "c")


# The model checker


NO_FAULTS = SearchBounds(
    lost_messages=0,
    late_requests=0,
    suspensions=0,
    kills=0,
    store_restarts=0,
    commands=0,
    reacquisitions=0,
)
MANY_FAULTS = SearchBounds(
    duration_ms=1000,
    lost_messages=3,
    late_requests=3,
    suspensions=2,
    kills=2,
    store_restarts=1,
    commands=4,
    reacquisitions=3,
    contenders=3,
)


def test_the_model_checker_finds_no_violation_in_the_production_code() -> None:
    full = ModelChecker(replace(NO_FAULTS, duration_ms=100)).run()
    assert full.complete and full.states > 10_000 and not full.violation, full.path
    for result in (
        ModelChecker(SMALL_BOUNDS).run(),
        ModelChecker(MANY_FAULTS).walk(1, 150),
        ModelChecker(replace(MANY_FAULTS, store_restarts=0)).walk(2, 150),
    ):
        assert not result.violation, "\n".join((result.violation, *result.path))


class CountsFromReply(LeaseHolder):
    """Injected fault: the duration of a lease counts from the reply."""

    def on_reply(self, number: int, reply: Any, now_ms: int) -> list[Any]:
        if number in self.pending:
            self.pending[number] = self.pending[number]._replace(sent_at_ms=now_ms)
        return LeaseHolder.on_reply(self, number, reply, now_ms)


class ExtendsWithoutReply(LeaseHolder):
    """Injected fault: a request without a reply extends a held lease by its TTL."""

    def on_no_reply(self, number: int, now_ms: int) -> list[Any]:
        if self.state is HolderState.HELD:
            self.valid_until_ms = now_ms + self.ttl_ms
        return LeaseHolder.on_no_reply(self, number, now_ms)


class AdmitsEverything(Fence):
    """Injected fault: the resource rejects nothing."""

    def rejection_reason(self, lease: str, token: int, holder: str) -> str:
        return ""


def grants_after_restart(
    record: Any, request: Any, store_run_id: str, now_ms: int, max_ttl_ms: int
) -> Any:
    """Injected fault: a restarted store grants at once."""
    if record is None or record.store_run_id != store_run_id:
        record = LeaseRecord(store_run_id=store_run_id, token=record.token if record else 0)
    return apply_request(record, request, store_run_id, now_ms, max_ttl_ms)


def renews_after_expiry(
    record: Any, request: Any, store_run_id: str, now_ms: int, max_ttl_ms: int
) -> Any:
    """Injected fault: a renewal is granted after the expiry, to any former holder."""
    if (
        isinstance(request, RenewRequest)
        and record is not None
        and record.store_run_id == store_run_id
    ):
        again = replace(
            record,
            holder=request.holder,
            token=request.token,
            expires_at_ms=now_ms + request.ttl_ms,
        )
        return LeaseGranted(request.token, request.ttl_ms), again
    return apply_request(record, request, store_run_id, now_ms, max_ttl_ms)


def releases_for_anyone(
    record: Any, request: Any, store_run_id: str, now_ms: int, max_ttl_ms: int
) -> Any:
    """Injected fault: anyone can release the lease."""
    if isinstance(request, ReleaseRequest) and record is not None:
        return LeaseReleased(), replace(record, expires_at_ms=now_ms)
    return apply_request(record, request, store_run_id, now_ms, max_ttl_ms)


RELEASES = replace(NO_FAULTS, late_requests=2, reacquisitions=2, duration_ms=600)


@pytest.mark.parametrize(
    ("faulty_system", "bounds"),
    [
        (CheckedSystem(holder=CountsFromReply), NO_FAULTS),
        (
            CheckedSystem(holder=ExtendsWithoutReply),
            replace(NO_FAULTS, lost_messages=8, duration_ms=1000),
        ),
        (CheckedSystem(fence=AdmitsEverything), replace(NO_FAULTS, commands=2, duration_ms=600)),
        (CheckedSystem(apply_request=grants_after_restart), replace(NO_FAULTS, store_restarts=1)),
        (CheckedSystem(apply_request=renews_after_expiry), replace(RELEASES, suspensions=1)),
        (CheckedSystem(apply_request=releases_for_anyone), RELEASES),
    ],
    ids=[
        "counts from the reply",
        "extends without a reply",
        "no fence",
        "grants at once after a restart",
        "renews after the expiry",
        "released by another",
    ],
)
def test_the_model_checker_finds_each_injected_fault(
    faulty_system: CheckedSystem, bounds: SearchBounds
) -> None:
    result = ModelChecker(bounds, faulty_system).walk(3, 1_500)
    assert result.violation and result.path, result
    clean = ModelChecker(bounds).walk(7, 100)
    assert not clean.violation, "\n".join((clean.violation, *clean.path))


# The store


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 60))


async def open_store(server: RespStore, name: str = "l", max_ttl_ms: int = 1) -> LeaseStore:
    """Return a store whose wait after its first start is over, with a maximum TTL of 60 s."""
    store = LeaseStore(f"redis://{server.address}/0", max_ttl_ms)
    await store.execute(name, AcquireRequest("first", 1))
    server.data[LEASE_KEY_PREFIX + name] = replace(
        parse_record(server.data[LEASE_KEY_PREFIX + name]) or LeaseRecord(), grants_open_at_ms=0
    ).to_json()
    store.max_ttl_ms = 60_000
    return store


def test_a_request_repeated_after_a_lost_reply_yields_the_same_grant() -> None:
    async def scenario() -> None:
        server = await RespStore().start()
        store = await open_store(server)
        server.faults = [StoreFault.LOST]
        with pytest.raises(StoreUnavailableError):
            await store.execute("l", AcquireRequest("a", 5000))
        held = parse_record(server.data[LEASE_KEY_PREFIX + "l"])
        assert held is not None and held.holder == "a", (
            "the request took effect although its reply was lost"
        )
        assert await store.execute("l", AcquireRequest("a", 5000)) == LeaseGranted(held.token, 5000)
        assert isinstance(await store.execute("l", AcquireRequest("b", 5000)), LeaseUnavailable)
        await store.close()
        await server.stop()

    run(scenario)


@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.LOADING, StoreFault.READONLY])
def test_an_error_of_the_store_raises_and_changes_nothing(fault: StoreFault) -> None:
    async def scenario() -> None:
        server = await RespStore().start()
        store = await open_store(server)
        before = server.data[LEASE_KEY_PREFIX + "l"]
        server.faults = [fault]
        with pytest.raises(StoreUnavailableError):
            await store.execute("l", AcquireRequest("a", 5000))
        assert server.data[LEASE_KEY_PREFIX + "l"] == before
        await store.close()
        await server.stop()

    run(scenario)


def test_a_corrupt_record_is_never_overwritten() -> None:
    async def scenario() -> None:
        server = await RespStore().start()
        store = LeaseStore(f"redis://{server.address}/0")
        for text in ("{", '{"version": 99}'):
            server.data[LEASE_KEY_PREFIX + "l"] = text
            with pytest.raises(StoreUnavailableError, match="unusable"):
                await store.execute("l", AcquireRequest("a", 5000))
            assert server.data[LEASE_KEY_PREFIX + "l"] == text
        await store.close()
        await server.stop()

    run(scenario)


def test_one_of_many_concurrent_requests_is_granted() -> None:
    async def scenario() -> None:
        server = await RespStore().start()
        store = await open_store(server)
        replies = await asyncio.gather(
            *(store.execute("l", AcquireRequest(f"h{i}", 5000)) for i in range(8))
        )
        assert sum(isinstance(reply, LeaseGranted) for reply in replies) == 1
        await store.close()
        await server.stop()

    run(scenario)


def test_a_holder_cut_off_from_the_store_loses_the_lease_before_another_gets_it() -> None:
    async def scenario() -> None:
        server = await RespStore().start()
        link = Link(server.port)
        await link.start()
        inside = await open_store(server)
        outside = LeaseStore(f"redis://{link.address}/0", 60_000)
        changes: list[tuple[str, str, int]] = []
        clients = [
            LeaseClient(
                LeaseHolder(name, 600),
                store.request_sender("l"),
                boottime_ms,
                lambda what, _token, _why, name=name: changes.append((name, what, boottime_ms())),  # type: ignore[misc]
            )
            for name, store in (("cut", outside), ("other", inside))
        ]
        assert await clients[0].acquire()
        link.cut()
        assert await clients[1].acquire(timeout_s=20)
        await until(lambda: len(changes) >= 3)
        assert [(name, what) for name, what, _ in changes[:3]] == [
            ("cut", "held"),
            ("cut", "lost"),
            ("other", "held"),
        ], changes
        assert clients[0].token == 0 and clients[1].token > 0
        await clients[1].release()
        for resource in (*clients, outside, inside):
            closing = resource.close()
            if closing is not None:
                await closing
        await link.stop()
        await server.stop()

    run(scenario)


def test_a_request_without_a_reply_is_repeated_until_the_store_answers() -> None:
    async def scenario() -> None:
        requests: list[Any] = []

        async def store(request: Any) -> Any:
            requests.append(request)
            if len(requests) < 4:
                raise LeaseUnansweredError("down")
            return LeaseGranted(9, 1000)

        client = LeaseClient(LeaseHolder("a", 1000), store, boottime_ms)
        assert await client.acquire() and client.token == 9 and len(requests) == 4
        client.close()

    run(scenario)
