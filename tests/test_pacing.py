"""The poll schedule in a model of a shared discovery's queue, with 40 dispatchers and no sockets."""

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

# as observed in the operators' runs
SERVICE_TIME_MS, QUEUE_SLOTS, CALLER_TIMEOUT_MS = 170.0, 14, 2_000.0
DISPATCHERS = 40


def accepted_times_ms(
    schedules: list[PollSchedule],
    spread: bool,
    until_ms: float,
    lost: bool = False,
    call_ms: float = SERVICE_TIME_MS,
) -> list[float]:
    """Return when each accepted watch was accepted, in order.

    Calls are worked on one at a time, in turn. A caller abandons its call after ``CALLER_TIMEOUT_MS``,
    but the call is worked on all the same: an abandoned call costs as much as one that is answered.
    """
    order, events = count(), list[tuple[float, int, str, int]]()
    queue, busy, asked, accepted = deque[tuple[int, float]](), False, 0, dict[int, float]()
    began = dict.fromkeys(range(len(schedules)), 0.0)

    def at(when_ms: float, what: str, who: int) -> None:
        heapq.heappush(events, (when_ms, next(order), what, who))

    for who, schedule in enumerate(schedules):
        first_ms = (
            schedule.retry_delay_ms(ACCEPTED_WATCH_MS) if lost else schedule.initial_delay_ms()
        )
        at(first_ms if spread else 0.0, "ask", who)
    while events:
        now_ms, _, what, who = heapq.heappop(events)
        if now_ms > until_ms:
            break
        if what == "ask":
            asked, began[who] = asked + 1, now_ms
            schedules[who].line_received()
            if len(queue) >= QUEUE_SLOTS:
                at(now_ms + schedules[who].retry_delay_ms(0.0), "ask", who)
            else:
                queue.append((who, now_ms))
                at(now_ms + CALLER_TIMEOUT_MS, "leave", who)
        elif what == "leave" and who not in accepted and began[who] + CALLER_TIMEOUT_MS <= now_ms:
            at(now_ms + schedules[who].retry_delay_ms(CALLER_TIMEOUT_MS), "ask", who)
        elif what == "done":
            busy, (other, since_ms) = False, queue.popleft()
            if now_ms - since_ms < CALLER_TIMEOUT_MS:
                accepted[other] = now_ms
        if queue and not busy:
            busy = True
            at(now_ms + call_ms, "done", -1)
    return sorted(accepted.values())


def schedules(shared: bool, seed: int, routers: int = DISPATCHERS) -> list[PollSchedule]:
    return [PollSchedule(random.Random(seed * 1000 + i), shared, routers) for i in range(routers)]


@pytest.mark.parametrize("seed", range(8))
def test_all_dispatchers_are_served_by_a_shared_discovery(seed: int) -> None:
    accepted_ms = accepted_times_ms(schedules(True, seed), True, 30_000.0)
    assert len(accepted_ms) == DISPATCHERS and accepted_ms[DISPATCHERS // 2] < 6_000


@pytest.mark.parametrize("seed", range(8))
def test_all_dispatchers_are_served_after_calling_at_once(seed: int) -> None:
    assert len(accepted_times_ms(schedules(True, seed), False, 60_000.0)) == DISPATCHERS


def test_a_schedule_for_an_agent_starves_most_dispatchers_of_a_shared_discovery() -> None:
    """The model shows the fault that the schedule prevents.

    Short delays keep the queue full of abandoned calls.
    """
    accepted_ms = accepted_times_ms(schedules(False, 1), False, 60_000.0)
    assert len(accepted_ms) < DISPATCHERS / 2 and accepted_ms[-1] < 5_000


def test_an_agent_is_called_at_once_and_retried_soon() -> None:
    schedule = PollSchedule(random.Random(1), False, DISPATCHERS)
    assert schedule.initial_delay_ms() == 0
    rows = [
        [one.retry_delay_ms(0.0) for _ in range(30)]
        for one in (schedule, PollSchedule(random.Random(2), False, DISPATCHERS))
    ]
    assert all(0 <= p <= MAX_BACKOFF_MS for row in rows for p in row)
    assert rows[0] != rows[1] and max(rows[0]) > MAX_BACKOFF_MS / 2 > min(rows[0][6:])
    schedule.line_received()
    assert schedule.failures == 0 and schedule.retry_delay_ms(0.0) <= 50


def test_delays_stay_within_the_time_that_a_drain_leaves_after_a_failed_call() -> None:
    schedule = PollSchedule(random.Random(3), True, 10_000, 10_000.0)
    assert max(schedule.initial_delay_ms() for _ in range(200)) <= 8_000
    assert max(schedule.retry_delay_ms(0.0) for _ in range(200)) < 4 * 10_000
    assert schedule.retry_delay_ms(ACCEPTED_WATCH_MS) <= 8_000, (
        "an accepted watch resets the number of failures"
    )


@pytest.mark.parametrize("routers", [4, 30, 200])
@pytest.mark.parametrize("seed", range(3))
def test_after_a_silence_all_are_served_in_time_by_a_discovery_with_capacity(
    routers: int, seed: int
) -> None:
    """All lose their watches together, and missed changes count as known soon after."""
    call_ms = 2_000 / routers
    accepted_ms = accepted_times_ms(
        schedules(True, seed, routers), True, 60_000.0, lost=True, call_ms=call_ms
    )
    assert (
        len(accepted_ms) == routers
        and accepted_ms[-1] <= MISSED_CHANGES_DEADLINE_MS - WATCH_SILENCE_TIMEOUT_MS
    )


@pytest.mark.parametrize("seed", range(3))
def test_a_discovery_without_capacity_still_serves_almost_all(seed: int) -> None:
    """A bound on every delay would keep the queue full of abandoned calls.

    Most dispatchers would then never be served.
    """
    accepted_ms = accepted_times_ms(schedules(True, seed), True, 60_000.0, lost=True)
    assert len(accepted_ms) == DISPATCHERS
    accepted_ms = accepted_times_ms(schedules(True, seed, 200), True, 300_000.0, lost=True)
    assert len(accepted_ms) > 180


def test_a_silence_a_failed_call_and_a_good_one_fit_into_the_deadline_at_an_agent() -> None:
    assert WATCH_SILENCE_TIMEOUT_MS > HEARTBEAT_INTERVAL_MS
    schedule = PollSchedule(random.Random(4), False, 200)
    first = schedule.retry_delay_ms(ACCEPTED_WATCH_MS) + max(
        CONNECT_TIMEOUT_MS, schedule.response_timeout_ms
    )
    again = (
        schedule.retry_delay_ms(CONNECT_TIMEOUT_MS)
        + CONNECT_TIMEOUT_MS
        + schedule.response_timeout_ms
    )
    assert WATCH_SILENCE_TIMEOUT_MS + first + again < MISSED_CHANGES_DEADLINE_MS - 1_000
    for _ in range(40):
        assert (
            schedule.retry_delay_ms(CONNECT_TIMEOUT_MS) + schedule.response_timeout_ms
            <= MAX_BACKOFF_MS + MAX_RESPONSE_TIMEOUT_MS
        )
    assert schedule.response_timeout_ms <= MAX_RESPONSE_TIMEOUT_MS < 1_000, (
        "an agent that is back is called within the grace time of any drain"
    )
