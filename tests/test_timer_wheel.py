"""The timer wheel: order, limits, sleep, stalls and failure."""

import asyncio
import time

import pytest
import structlog

from onyxpass.core.clock import Clock, cpu_us
from onyxpass.core.timer_wheel import TICK_US, TimerWheel
from tests.support.dispatcher_bed import HandClock


def test_timers_fire_in_order_and_never_early() -> None:
    clock = HandClock()
    wheel = TimerWheel(clock)
    fired: list[tuple[int, int]] = []
    dropped = wheel.after(20_000, lambda: fired.append((0, 0)))
    for us in (3_000_000, 7_000, 40_000, 0):
        due = clock.us + us
        wheel.after(us, lambda us=us, due=due: fired.append((us, clock.us - due)))  # type: ignore[misc]
    dropped.cancel()
    for _ in range(400):
        clock.us += 10_000
        wheel.advance()
    assert [us for us, _ in fired] == [0, 7_000, 40_000, 3_000_000]
    assert all(0 <= late <= 2 * TICK_US + 10_000 for _, late in fired)
    wheel.after(1_000_000, lambda: fired.append((1, 0)))
    clock.us += 60_000_000  # a stall of many turns
    wheel.advance()
    assert fired[-1] == (1, 0)


def test_a_limit_breaks_off_its_block_only() -> None:
    async def go() -> None:
        wheel = TimerWheel(Clock())
        ticking = asyncio.create_task(wheel.run())
        try:
            async with wheel.timeout(10_000_000), wheel.timeout(1):
                await asyncio.sleep(60)
        except TimeoutError:
            await asyncio.sleep(0)  # the task is not left cancelled
        else:
            raise AssertionError("not broken off")
        ticking.cancel()

    asyncio.run(go())


def test_what_came_during_a_stall_is_taken_in_before_time_outs_fire() -> None:
    """A process that is stopped, or kept from running, wakes to timers and to answers that lie
    there.
    """

    async def go() -> None:
        wheel = TimerWheel(Clock())
        running = asyncio.create_task(wheel.run())
        server = await asyncio.start_server(lambda _, writer: writer.write(b"here"), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await wheel.sleep(0)
        async with wheel.timeout(50_000):
            opening = asyncio.create_task(asyncio.open_connection("127.0.0.1", port))
            await asyncio.sleep(0)
            time.sleep(0.1)
            reader, writer = await opening
        async with wheel.timeout(50_000):
            while not len(reader._buffer):  # type: ignore[attr-defined]
                await asyncio.sleep(0)
            time.sleep(0.1)
            assert await reader.read(4) == b"here"
        with pytest.raises(TimeoutError):
            async with wheel.timeout(50_000):
                time.sleep(0.1)
                await reader.read(4)
        writer.close()
        running.cancel()
        server.close()

    asyncio.run(go())


def test_a_stall_of_the_process_is_logged_with_the_processor_time_it_had() -> None:
    async def go() -> None:
        wheel = TimerWheel(Clock())
        running = asyncio.create_task(wheel.run())
        await wheel.sleep(20_000)
        late = wheel.after(20_000, lambda: None)
        time.sleep(0.4)
        await wheel.sleep(20_000)
        late.cancel()
        running.cancel()

    async def only_start() -> None:
        running = asyncio.create_task(TimerWheel(Clock()).run())
        await asyncio.sleep(0.01)
        running.cancel()

    with structlog.testing.capture_logs() as lines:
        asyncio.run(only_start())
    assert not lines, "a start is no stall"
    with structlog.testing.capture_logs() as lines:
        asyncio.run(go())
    held_up = [line for line in lines if line["event"] == "process_held_up"]
    assert held_up and max(line["late_us"] for line in held_up) >= 300_000
    assert all(abs(line["at_us"] / 1e6 - time.monotonic()) < 60 for line in held_up)
    assert all(0 < line["cpu_us"] <= cpu_us() for line in held_up)


def test_the_wheel_sleeps_till_the_next_timer_and_wakes_for_an_earlier_one() -> None:
    async def go() -> None:
        wheel, fired = TimerWheel(Clock()), list[str]()
        turns, turn = 0, wheel._advance_and_sleep

        def counted() -> None:
            nonlocal turns
            turns += 1
            turn()

        wheel._advance_and_sleep = counted  # type: ignore[method-assign]
        running = asyncio.create_task(wheel.run())
        await asyncio.sleep(0)
        late = wheel.after(3_000_000, lambda: fired.append("late"))
        await wheel.sleep(150_000)
        assert turns < 15, "it does not tick for nothing"
        wheel.after(20_000, lambda: fired.append("soon"))
        wheel.after(20_000, lambda: wheel.after(0, lambda: fired.append("from within")))
        await wheel.sleep(60_000)
        assert fired == ["soon", "from within"]
        late.cancel()
        running.cancel()

    asyncio.run(asyncio.wait_for(go(), 30))


def test_a_wheel_that_fails_ends_its_task() -> None:
    async def go() -> None:
        wheel = TimerWheel(Clock())
        running = asyncio.create_task(wheel.run())
        await asyncio.sleep(0)
        wheel.advance = lambda: 1 // 0  # type: ignore[method-assign, assignment, return-value]
        wheel.after(0, lambda: None)
        with pytest.raises(ZeroDivisionError):
            await running

    asyncio.run(asyncio.wait_for(go(), 30))
