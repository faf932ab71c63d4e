"""Leases: the machine, the search over it, and the store's side; each checker finds a planted
fault.
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

OPEN = LeaseRecord(token=3, holder="last", expires_at_ms=0, store_run_id="r")
SMALL = SearchBounds(duration_ms=175, max_states=15_000)


def put_in(actions: list[Any]) -> Any:
    return next(action for action in actions if isinstance(action, SendRequest))


# The record


def test_a_grant_a_renewal_and_its_end() -> None:
    answer, held = apply_request(OPEN, AcquireRequest("a", 1000, "why"), "r", 5000)
    assert answer == LeaseGranted(4, 1000) and held is not None and held.expires_at_ms == 6000
    assert apply_request(held, AcquireRequest("b", 1000), "r", 5500)[0] == LeaseUnavailable(
        "a", 500, 0, "why"
    )
    again, renewed = apply_request(held, RenewRequest("a", 4, 1000), "r", 5500)
    assert again == LeaseGranted(4, 1000) and renewed is not None and renewed.expires_at_ms == 6500
    assert isinstance(
        apply_request(renewed, RenewRequest("a", 4, 1000), "r", 6500)[0], LeaseDenied
    ), "its time was over"
    assert apply_request(renewed, AcquireRequest("b", 1000), "r", 6500)[0] == LeaseGranted(5, 1000)


def test_asked_again_it_gives_the_same_grant() -> None:
    _, held = apply_request(OPEN, AcquireRequest("a", 1000), "r", 5000)
    assert apply_request(held, AcquireRequest("a", 1000), "r", 5600)[0] == LeaseGranted(4, 1000)


def test_only_its_holder_gives_it_back() -> None:
    _, held = apply_request(OPEN, AcquireRequest("a", 1000), "r", 5000)
    assert apply_request(held, ReleaseRequest("b", 4), "r", 5100) == (LeaseReleased(), None)
    assert apply_request(held, ReleaseRequest("a", 3), "r", 5100) == (LeaseReleased(), None)
    _, left = apply_request(held, ReleaseRequest("a", 4), "r", 5100)
    assert left is not None and not left.is_held(5100) and left.token == 4


def test_who_waits_comes_first_and_who_stops_asking_is_passed_by() -> None:
    _, record = apply_request(OPEN, AcquireRequest("a", 1000, queue_ttl_ms=500), "r", 0)
    for name in ("b", "c", "d"):
        _, record = apply_request(record, AcquireRequest(name, 1000, queue_ttl_ms=500), "r", 10)
    assert record is not None and [p.holder for p in record.waiters] == ["b", "c", "d"]
    _, record = apply_request(record, AcquireRequest("c", 1000, queue_ttl_ms=2000), "r", 400)
    _, record = apply_request(record, AcquireRequest("d", 1000, queue_ttl_ms=2000), "r", 410)
    assert record is not None and [p.holder for p in record.waiters] == ["b", "c", "d"], (
        "places are kept"
    )
    assert isinstance(
        apply_request(record, AcquireRequest("e", 1000), "r", 1100)[0], LeaseUnavailable
    ), "a newcomer passes nobody by"
    assert isinstance(
        apply_request(record, AcquireRequest("d", 1000, queue_ttl_ms=500), "r", 1100)[0],
        LeaseUnavailable,
    )
    answer, record = apply_request(record, AcquireRequest("c", 1000, queue_ttl_ms=500), "r", 1100)
    assert answer == LeaseGranted(5, 1000), "b has not asked for longer than its place was kept"
    assert record is not None and [p.holder for p in record.waiters] == ["d"]


@pytest.mark.parametrize(
    "older", [None, LeaseRecord(token=1, holder="x", expires_at_ms=9**9, store_run_id="old")]
)
def test_a_store_that_came_back_grants_nothing_till_all_has_run_out(
    older: LeaseRecord | None,
) -> None:
    answer, closed = apply_request(
        older, AcquireRequest("a", 1000, highest_seen_token=7, queue_ttl_ms=500), "new", 5000, 2000
    )
    assert (
        isinstance(answer, LeaseUnavailable)
        and closed is not None
        and closed.grants_open_at_ms == 7000
    )
    assert isinstance(
        apply_request(
            closed,
            AcquireRequest("a", 1000, highest_seen_token=7, queue_ttl_ms=500),
            "new",
            6999,
            2000,
        )[0],
        LeaseUnavailable,
    )
    assert isinstance(
        apply_request(closed, RenewRequest("x", 1, 1000), "new", 6000, 2000)[0], LeaseDenied
    )
    assert apply_request(
        closed, AcquireRequest("b", 1000, highest_seen_token=7), "new", 7000, 2000
    )[0] == LeaseGranted(5001, 1000)
    assert apply_request(
        closed, AcquireRequest("b", 1000, highest_seen_token=9000), "new", 7000, 2000
    )[0] == LeaseGranted(9001, 1000)


def test_a_lease_time_that_is_too_long_is_not_granted() -> None:
    assert isinstance(apply_request(OPEN, AcquireRequest("a", 2001), "r", 0, 2000)[0], LeaseDenied)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "null",
        '{"version":2}',
        "x" * 40_000,
        OPEN.to_json().replace('"token": 3', '"token": -3'),
    ],
)
def test_a_record_that_is_no_use_is_torn(text: str) -> None:
    with pytest.raises(CorruptRecordError):
        parse_record(text)
    assert parse_record(OPEN.to_json()) == OPEN


# The holder


def test_its_time_counts_from_before_it_asked() -> None:
    holder = LeaseHolder("a", 1000)
    ask = put_in(holder.acquire(5000))
    assert holder.on_reply(ask.number, LeaseGranted(4, 1000), 5600)[0] == BeginActing(4)
    assert holder.may_act(5000 + usable_ttl_ms(1000) - 1) and not holder.may_act(
        5000 + usable_ttl_ms(1000)
    )
    assert usable_ttl_ms(1000) < 1000 / 1.05, "a clock that runs slower by 5% ends in time"


def test_a_grant_that_was_long_under_way_is_none() -> None:
    holder = LeaseHolder("a", 1000)
    ask = put_in(holder.acquire(5000))
    assert BeginActing(4) not in holder.on_reply(ask.number, LeaseGranted(4, 1000), 6000)
    assert holder.state is HolderState.WAITING and not holder.may_act(6000)


def test_what_was_not_answered_is_asked_again_and_never_acted_on() -> None:
    holder = LeaseHolder("a", 1000)
    first = put_in(holder.acquire(5000))
    assert not any(isinstance(a, BeginActing) for a in holder.on_no_reply(first.number, 5300))
    second = put_in(holder.tick(5400))
    assert holder.on_reply(first.number, LeaseGranted(4, 1000), 5410) == [], (
        "too late to be believed"
    )
    assert holder.on_reply(second.number, LeaseGranted(4, 1000), 5420)[0] == BeginActing(4)


def test_a_process_that_was_stopped_finds_its_time_over() -> None:
    holder = LeaseHolder("a", 1000)
    holder.on_reply(put_in(holder.acquire(5000)).number, LeaseGranted(4, 1000), 5001)
    assert not holder.may_act(9000)
    assert isinstance(holder.tick(9000)[0], StopActing) and holder.state is HolderState.IDLE


def test_a_grant_that_comes_after_its_asker_has_left_is_given_back() -> None:
    holder = LeaseHolder("a", 1000)
    ask = put_in(holder.acquire(5000))
    holder.release(5010)
    assert put_in(
        holder.on_reply(ask.number, LeaseGranted(4, 1000), 5020)
    ).request == ReleaseRequest("a.1", 4)


# The resource


def test_a_resource_refuses_what_an_old_holder_asks() -> None:
    fence = Fence()
    assert not fence.rejection_reason("l", 4, "a") and fence.admit("l", 4, "a")
    assert (
        fence.rejection_reason("l", 3, "b")
        and fence.rejection_reason("l", 4, "b")
        and fence.rejection_reason("l", 0, "a")
    )
    assert not fence.rejection_reason("l", 4, "a") and not fence.admit("l", 4, "a"), (
        "nothing new to be kept"
    )
    fence.effect_started("l")
    assert "under way" in fence.rejection_reason("l", 5, "b")
    fence.effect_finished("l")
    assert not fence.rejection_reason("l", 5, "b") and not fence.rejection_reason("other", 1, "c")


# The search


QUIET = SearchBounds(
    lost_messages=0,
    late_requests=0,
    suspensions=0,
    kills=0,
    store_restarts=0,
    commands=0,
    reacquisitions=0,
)
WILD = SearchBounds(
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


def test_the_search_finds_no_breach_in_what_runs() -> None:
    full = ModelChecker(replace(QUIET, duration_ms=100)).run()
    assert full.complete and full.states > 10_000 and not full.violation, full.path
    for found in (
        ModelChecker(SMALL).run(),
        ModelChecker(WILD).walk(1, 150),
        ModelChecker(replace(WILD, store_restarts=0)).walk(2, 150),
    ):
        assert not found.violation, "\n".join((found.violation, *found.path))


class FromTheAnswer(LeaseHolder):
    """Planted: its time counts from the answer."""

    def on_reply(self, number: int, reply: Any, now_ms: int) -> list[Any]:
        if number in self.pending:
            self.pending[number] = self.pending[number]._replace(sent_at_ms=now_ms)
        return LeaseHolder.on_reply(self, number, reply, now_ms)


class NoMargin(LeaseHolder):
    """Planted: it goes on for the whole lease time after its last renewal was put, answered or
    not.
    """

    def on_no_reply(self, number: int, now_ms: int) -> list[Any]:
        if self.state is HolderState.HELD:
            self.valid_until_ms = now_ms + self.ttl_ms
        return LeaseHolder.on_no_reply(self, number, now_ms)


class Open(Fence):
    """Planted: nothing is checked at the resource."""

    def rejection_reason(self, lease: str, token: int, holder: str) -> str:
        return ""


def forgetful(record: Any, ask: Any, run: str, now_ms: int, max_ttl_ms: int) -> Any:
    """Planted: a store that came back begins anew at once."""
    if record is None or record.store_run_id != run:
        record = LeaseRecord(store_run_id=run, token=record.token if record else 0)
    return apply_request(record, ask, run, now_ms, max_ttl_ms)


def generous(record: Any, ask: Any, run: str, now_ms: int, max_ttl_ms: int) -> Any:
    """Planted: a renewal after the end is granted, to whoever had it once."""
    if isinstance(ask, RenewRequest) and record is not None and record.store_run_id == run:
        again = replace(
            record, holder=ask.holder, token=ask.token, expires_at_ms=now_ms + ask.ttl_ms
        )
        return LeaseGranted(ask.token, ask.ttl_ms), again
    return apply_request(record, ask, run, now_ms, max_ttl_ms)


def anybodys(record: Any, ask: Any, run: str, now_ms: int, max_ttl_ms: int) -> Any:
    """Planted: whoever gives it back, it is free."""
    if isinstance(ask, ReleaseRequest) and record is not None:
        return LeaseReleased(), replace(record, expires_at_ms=now_ms)
    return apply_request(record, ask, run, now_ms, max_ttl_ms)


LEAVES = replace(QUIET, late_requests=2, reacquisitions=2, duration_ms=600)


@pytest.mark.parametrize(
    ("planted", "bounds"),
    [
        (CheckedSystem(holder=FromTheAnswer), QUIET),
        (CheckedSystem(holder=NoMargin), replace(QUIET, lost_messages=8, duration_ms=1000)),
        (CheckedSystem(fence=Open), replace(QUIET, commands=2, duration_ms=600)),
        (CheckedSystem(apply_request=forgetful), replace(QUIET, store_restarts=1)),
        (CheckedSystem(apply_request=generous), replace(LEAVES, suspensions=1)),
        (CheckedSystem(apply_request=anybodys), LEAVES),
    ],
    ids=[
        "from the answer",
        "no margin",
        "no fence",
        "forgetful store",
        "renewed after the end",
        "left by another",
    ],
)
def test_the_search_finds_each_planted_fault(planted: CheckedSystem, bounds: SearchBounds) -> None:
    found = ModelChecker(bounds, planted).walk(3, 1_500)
    assert found.violation and found.path, found
    clean = ModelChecker(bounds).walk(7, 100)
    assert not clean.violation, "\n".join((clean.violation, *clean.path))


# The store


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 60))


async def opened(server: RespStore, name: str = "l", max_ttl_ms: int = 1) -> LeaseStore:
    """A store whose first closed time is over, with a longest lease time of its own after that."""
    store = LeaseStore(f"redis://{server.address}/0", max_ttl_ms)
    await store.execute(name, AcquireRequest("first", 1))
    server.data[LEASE_KEY_PREFIX + name] = replace(
        parse_record(server.data[LEASE_KEY_PREFIX + name]) or LeaseRecord(), grants_open_at_ms=0
    ).to_json()
    store.max_ttl_ms = 60_000
    return store


def test_a_lost_answer_gives_the_same_grant_when_it_is_asked_again() -> None:
    async def go() -> None:
        server = await RespStore().start()
        store = await opened(server)
        server.faults = [StoreFault.LOST]
        with pytest.raises(StoreUnavailableError):
            await store.execute("l", AcquireRequest("a", 5000))
        held = parse_record(server.data[LEASE_KEY_PREFIX + "l"])
        assert held is not None and held.holder == "a", "nobody knows, and it has it"
        assert await store.execute("l", AcquireRequest("a", 5000)) == LeaseGranted(held.token, 5000)
        assert isinstance(await store.execute("l", AcquireRequest("b", 5000)), LeaseUnavailable)
        await store.close()
        await server.stop()

    run(go)


@pytest.mark.parametrize("fault", [StoreFault.REFUSED, StoreFault.LOADING, StoreFault.READONLY])
def test_what_the_store_refuses_is_no_answer_and_changes_nothing(fault: StoreFault) -> None:
    async def go() -> None:
        server = await RespStore().start()
        store = await opened(server)
        before = server.data[LEASE_KEY_PREFIX + "l"]
        server.faults = [fault]
        with pytest.raises(StoreUnavailableError):
            await store.execute("l", AcquireRequest("a", 5000))
        assert server.data[LEASE_KEY_PREFIX + "l"] == before
        await store.close()
        await server.stop()

    run(go)


def test_a_torn_record_is_never_written_over() -> None:
    async def go() -> None:
        server = await RespStore().start()
        store = LeaseStore(f"redis://{server.address}/0")
        for text in ("{", '{"version": 99}'):
            server.data[LEASE_KEY_PREFIX + "l"] = text
            with pytest.raises(StoreUnavailableError, match="no use"):
                await store.execute("l", AcquireRequest("a", 5000))
            assert server.data[LEASE_KEY_PREFIX + "l"] == text
        await store.close()
        await server.stop()

    run(go)


def test_many_takers_at_once_get_it_one_after_another() -> None:
    async def go() -> None:
        server = await RespStore().start()
        store = await opened(server)
        answers = await asyncio.gather(
            *(store.execute("l", AcquireRequest(f"h{i}", 5000)) for i in range(8))
        )
        assert sum(isinstance(answer, LeaseGranted) for answer in answers) == 1
        await store.close()
        await server.stop()

    run(go)


def test_a_keeper_that_is_cut_off_stops_by_itself_before_another_is_let_in() -> None:
    async def go() -> None:
        server = await RespStore().start()
        link = Link(server.port)
        await link.start()
        inside = await opened(server)
        outside = LeaseStore(f"redis://{link.address}/0", 60_000)
        spans: list[tuple[str, str, int]] = []
        keepers = [
            LeaseClient(
                LeaseHolder(name, 600),
                store.request_sender("l"),
                boottime_ms,
                lambda what, _token, _why, name=name: spans.append((name, what, boottime_ms())),  # type: ignore[misc]
            )
            for name, store in (("cut", outside), ("other", inside))
        ]
        assert await keepers[0].acquire()
        link.cut()
        assert await keepers[1].acquire(timeout_s=20)
        await until(lambda: len(spans) >= 3)
        assert [(name, what) for name, what, _ in spans[:3]] == [
            ("cut", "held"),
            ("cut", "lost"),
            ("other", "held"),
        ], spans
        assert keepers[0].token == 0 and keepers[1].token > 0
        await keepers[1].release()
        for each in (*keepers, outside, inside):
            closing = each.close()
            if closing is not None:
                await closing
        await link.stop()
        await server.stop()

    run(go)


def test_an_unanswered_ask_is_put_again_till_the_store_is_back() -> None:
    async def go() -> None:
        asked: list[Any] = []

        async def store(ask: Any) -> Any:
            asked.append(ask)
            if len(asked) < 4:
                raise LeaseUnansweredError("down")
            return LeaseGranted(9, 1000)

        keeper = LeaseClient(LeaseHolder("a", 1000), store, boottime_ms)
        assert await keeper.acquire() and keeper.token == 9 and len(asked) == 4
        keeper.close()

    run(go)
