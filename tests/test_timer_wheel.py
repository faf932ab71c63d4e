"""The timer wheel: order of timers, timeouts, sleep, stalls and failure."""

import asyncio
import time

import pytest
import structlog

from onyxpass.core.clock import Clock, cpu_us
from onyxpass.core.timer_wheel import TICK_US, TimerWheel
from tests.support.dispatcher_bed import ManualClock


def test_timers_fire_in_order_and_never_early() -> None:
    clock = ManualClock()
    wheel = TimerWheel(clock)
    fired: list[tuple[int, int]] = []
    cancelled = wheel.after(20_000, lambda: fired.append((0, 0)))
    for us in (3_000_000, 7_000, 40_000, 0):
        due = clock.us + us
        wheel.after(us, lambda us=us, due=due: fired.append((us, clock.us - due)))  # type: ignore[misc]
    cancelled.cancel()
    for _ in range(400):
        clock.us += 10_000
        wheel.advance()
    assert [us for us, _ in fired] == [0, 7_000, 40_000, 3_000_000]
    assert all(0 <= late <= 2 * TICK_US + 10_000 for _, late in fired)
    wheel.after(1_000_000, lambda: fired.append((1, 0)))
    clock.us += 60_000_000  # a stall of many revolutions
    wheel.advance()
    assert fired[-1] == (1, 0)


def test_a_timeout_ends_only_its_own_block() -> None:
    async def scenario() -> None:
        wheel = TimerWheel(Clock())
        running = asyncio.create_task(wheel.run())
        try:
            async with wheel.timeout(10_000_000), wheel.timeout(1):
                await asyncio.sleep(60)
        except TimeoutError:
            await asyncio.sleep(0)  # raises if the task is still cancelled
        else:
            raise AssertionError("the block was not timed out")
        running.cancel()

    asyncio.run(scenario())


def test_input_that_arrived_during_a_stall_is_processed_before_timers_fire() -> None:
    """Guards against timing out input that arrived while the process did not run.

    A process that continues after a stop finds due timers and arrived answers at the same time.
    """

    async def scenario() -> None:
        wheel = TimerWheel(Clock())
        running = asyncio.create_task(wheel.run())
        server = await asyncio.start_server(lambda _, writer: writer.write(b"here"), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await wheel.sleep(0)
        async with wheel.timeout(50_000):
            connecting = asyncio.create_task(asyncio.open_connection("127.0.0.1", port))
            await asyncio.sleep(0)
            time.sleep(0.1)
            reader, writer = await connecting
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

    asyncio.run(scenario())


def test_a_stall_of_the_process_is_logged_with_its_cpu_time() -> None:
    async def scenario() -> None:
        wheel = TimerWheel(Clock())
        running = asyncio.create_task(wheel.run())
        await wheel.sleep(20_000)
        delayed = wheel.after(20_000, lambda: None)
        time.sleep(0.4)
        await wheel.sleep(20_000)
        delayed.cancel()
        running.cancel()

    async def start_only() -> None:
        running = asyncio.create_task(TimerWheel(Clock()).run())
        await asyncio.sleep(0.01)
        running.cancel()

    with structlog.testing.capture_logs() as lines:
        asyncio.run(start_only())
    assert not lines, "the start is not logged as a stall"
    with structlog.testing.capture_logs() as lines:
        asyncio.run(scenario())
    stalls = [line for line in lines if line["event"] == "process_held_up"]
    assert stalls and max(line["late_us"] for line in stalls) >= 300_000
    assert all(abs(line["at_us"] / 1e6 - time.monotonic()) < 60 for line in stalls)
    assert all(0 < line["cpu_us"] <= cpu_us() for line in stalls)


def test_the_wheel_sleeps_until_the_next_timer_and_wakes_for_an_earlier_one() -> None:
    async def scenario() -> None:
        wheel, fired = TimerWheel(Clock()), list[str]()
        wakeups, wake = 0, wheel._advance_and_sleep

        def counting_wake() -> None:
            nonlocal wakeups
            wakeups += 1
            wake()

        wheel._advance_and_sleep = counting_wake  # type: ignore[method-assign]
        running = asyncio.create_task(wheel.run())
        await asyncio.sleep(0)
        later = wheel.after(3_000_000, lambda: fired.append("late"))
        await wheel.sleep(150_000)
        assert wakeups < 15, "the wheel does not wake for empty ticks"
        wheel.after(20_000, lambda: fired.append("soon"))
        wheel.after(20_000, lambda: wheel.after(0, lambda: fired.append("from within")))
        await wheel.sleep(60_000)
        assert fired == ["soon", "from within"]
        later.cancel()
        running.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_an_error_of_the_wheel_ends_its_task() -> None:
    async def scenario() -> None:
        wheel = TimerWheel(Clock())
        running = asyncio.create_task(wheel.run())
        await asyncio.sleep(0)
        wheel.advance = lambda: 1 // 0  # type: ignore[method-assign, assignment, return-value]
        wheel.after(0, lambda: None)
        with pytest.raises(ZeroDivisionError):
            await running

    asyncio.run(asyncio.wait_for(scenario(), 30))
