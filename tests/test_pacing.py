"""Forty dispatchers before one discovery that must be asked, in a model of its queue, without
sockets.
"""

import heapq
import random
from collections import deque
from itertools import count

import pytest

from onyxpass.net.poll_schedule import (
    ACCEPTED_WATCH_MS,
    CONNECT_TIMEOUT_MS,
    HEARTBEAT_INTERVAL_MS,
    MAX_BACKOFF_MS,
    MAX_RESPONSE_TIMEOUT_MS,
    MISSED_CHANGES_DEADLINE_MS,
    WATCH_SILENCE_TIMEOUT_MS,
    PollSchedule,
)

CALL_MS, PLACES, PATIENCE_MS = 170.0, 14, 2_000.0  # as the operators' days show it
ROUTERS = 40


def told_within(
    paces: list[PollSchedule],
    spread: bool,
    until_ms: float,
    lost: bool = False,
    call_ms: float = CALL_MS,
) -> list[float]:
    """When each dispatcher's watch was taken on, if it was.

    One call at a time is worked on, in turn. A caller has left after ``PATIENCE_MS``, but its call
    is worked on all the same: what is given up costs as much as what is answered.
    """
    order, events = count(), list[tuple[float, int, str, int]]()
    queue, busy, asked, taken = deque[tuple[int, float]](), False, 0, dict[int, float]()
    began = dict.fromkeys(range(len(paces)), 0.0)

    def at(when_ms: float, what: str, who: int) -> None:
        heapq.heappush(events, (when_ms, next(order), what, who))

    for who, pace in enumerate(paces):
        first_ms = pace.retry_delay_ms(ACCEPTED_WATCH_MS) if lost else pace.initial_delay_ms()
        at(first_ms if spread else 0.0, "ask", who)
    while events:
        now_ms, _, what, who = heapq.heappop(events)
        if now_ms > until_ms:
            break
        if what == "ask":
            asked, began[who] = asked + 1, now_ms
            paces[who].line_received()
            if len(queue) >= PLACES:
                at(now_ms + paces[who].retry_delay_ms(0.0), "ask", who)
            else:
                queue.append((who, now_ms))
                at(now_ms + PATIENCE_MS, "leave", who)
        elif what == "leave" and who not in taken and began[who] + PATIENCE_MS <= now_ms:
            at(now_ms + paces[who].retry_delay_ms(PATIENCE_MS), "ask", who)
        elif what == "done":
            busy, (other, since_ms) = False, queue.popleft()
            if now_ms - since_ms < PATIENCE_MS:
                taken[other] = now_ms
        if queue and not busy:
            busy = True
            at(now_ms + call_ms, "done", -1)
    return sorted(taken.values())


def paces(shared: bool, seed: int, routers: int = ROUTERS) -> list[PollSchedule]:
    return [PollSchedule(random.Random(seed * 1000 + i), shared, routers) for i in range(routers)]


@pytest.mark.parametrize("seed", range(8))
def test_all_are_told_where_discovery_is_one_for_all(seed: int) -> None:
    told = told_within(paces(True, seed), True, 30_000.0)
    assert len(told) == ROUTERS and told[ROUTERS // 2] < 6_000


@pytest.mark.parametrize("seed", range(8))
def test_all_are_told_also_after_all_asked_at_once(seed: int) -> None:
    assert len(told_within(paces(True, seed), False, 60_000.0)) == ROUTERS


def test_a_pace_made_for_an_agent_leaves_most_untold_for_good() -> None:
    """The model shows the fault that the pace is for: short pauses keep the queue full of
    abandoned calls.
    """
    told = told_within(paces(False, 1), False, 60_000.0)
    assert len(told) < ROUTERS / 2 and told[-1] < 5_000


def test_an_agent_is_asked_at_once_and_again_soon() -> None:
    pace = PollSchedule(random.Random(1), False, ROUTERS)
    assert pace.initial_delay_ms() == 0
    rows = [
        [one.retry_delay_ms(0.0) for _ in range(30)]
        for one in (pace, PollSchedule(random.Random(2), False, ROUTERS))
    ]
    assert all(0 <= p <= MAX_BACKOFF_MS for row in rows for p in row)
    assert rows[0] != rows[1] and max(rows[0]) > MAX_BACKOFF_MS / 2 > min(rows[0][6:])
    pace.line_received()
    assert pace.failures == 0 and pace.retry_delay_ms(0.0) <= 50


def test_pauses_stay_within_what_the_drain_rule_leaves_after_a_failed_call() -> None:
    pace = PollSchedule(random.Random(3), True, 10_000, 10_000.0)
    assert max(pace.initial_delay_ms() for _ in range(200)) <= 8_000
    assert max(pace.retry_delay_ms(0.0) for _ in range(200)) < 4 * 10_000
    assert pace.retry_delay_ms(ACCEPTED_WATCH_MS) <= 8_000, (
        "a watch that was taken on starts the count anew"
    )


@pytest.mark.parametrize("routers", [4, 30, 200])
@pytest.mark.parametrize("seed", range(3))
def test_after_a_silence_all_are_told_in_time_where_discovery_has_the_room(
    routers: int, seed: int
) -> None:
    """All of them lose their watches together, and what they miss counts as told soon after."""
    call_ms = 2_000 / routers
    told = told_within(paces(True, seed, routers), True, 60_000.0, lost=True, call_ms=call_ms)
    assert (
        len(told) == routers and told[-1] <= MISSED_CHANGES_DEADLINE_MS - WATCH_SILENCE_TIMEOUT_MS
    )


@pytest.mark.parametrize("seed", range(3))
def test_a_discovery_without_the_room_still_gets_round_to_all(seed: int) -> None:
    """A bound on every pause would keep its queue full of abandoned calls: then most are never
    told.
    """
    told = told_within(paces(True, seed), True, 60_000.0, lost=True)
    assert len(told) == ROUTERS
    told = told_within(paces(True, seed, 200), True, 300_000.0, lost=True)
    assert len(told) > 180


def test_a_silence_a_failed_call_and_a_good_one_fit_into_the_time_at_an_agent() -> None:
    assert WATCH_SILENCE_TIMEOUT_MS > HEARTBEAT_INTERVAL_MS
    pace = PollSchedule(random.Random(4), False, 200)
    first = pace.retry_delay_ms(ACCEPTED_WATCH_MS) + max(
        CONNECT_TIMEOUT_MS, pace.response_timeout_ms
    )
    again = pace.retry_delay_ms(CONNECT_TIMEOUT_MS) + CONNECT_TIMEOUT_MS + pace.response_timeout_ms
    assert WATCH_SILENCE_TIMEOUT_MS + first + again < MISSED_CHANGES_DEADLINE_MS - 1_000
    for _ in range(40):
        assert (
            pace.retry_delay_ms(CONNECT_TIMEOUT_MS) + pace.response_timeout_ms
            <= MAX_BACKOFF_MS + MAX_RESPONSE_TIMEOUT_MS
        )
    assert pace.response_timeout_ms <= MAX_RESPONSE_TIMEOUT_MS < 1_000, (
        "an agent that is back is asked within any drain's grace"
    )
