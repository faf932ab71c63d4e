"""The wall clock is stepped while a dispatcher runs, or between the two processes of an upgrade."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from cluster import PREFILLED, STREAM, Replica, chat_request, hold_last_chunk
from fault_injection import (
    ChildProcess,
    fault_control,
    open_connection,
    run_async,
    servers_and_config,
)

from tests.support.simulator_settings import WIRE_SETTINGS

HOUR_S = 3_600.0
# A stream is handed over in well under a second; one that is not handed over would never end.
UPGRADE_LIMIT_S = 8.0
REQUESTS = 80
# The overload limits are wide, so that only the random slow-start share decides.
WIDE_LIMITS = {"tipMultiple": 40.0, "fallUs": 2_000_000}


async def send_requests(port: int, name: str, requests: int = REQUESTS) -> None:
    """Send requests of different sessions one after another."""
    for number in range(requests):
        async with open_connection(port) as (reader, writer):
            text = chat_request(f"{name}{number}", "a", close=True)
            writer.write(
                text.replace(b"s1", b"%b%d" % (name.encode(), number)).replace(b"prefix=p1,", b"")
            )
            assert (await reader.read()).startswith(b"HTTP/1.1 200")


def with_rules(rules: dict[str, Any]) -> dict[str, Any]:
    return {**WIRE_SETTINGS, "peersTotal": 1, "rules": {**WIDE_LIMITS, **rules}}


async def cold_share(
    tmp_path: Path, step_s: float, rules: dict[str, Any], wait_s: float = 0.0
) -> float:
    """Return the share of reads that go to a second reader, which starts after the clock was stepped.

    Its start time in the endpoint list is by the stepped clock, as if all machines were stepped.
    """
    warm, cold, faults = Replica(PREFILLED), Replica(PREFILLED), fault_control(tmp_path)
    await cold.start()
    async with servers_and_config(
        tmp_path, [warm], [Replica(STREAM)], settings=with_rules(rules)
    ) as (
        path,
        discovery,
    ):
        process = await ChildProcess.start("serve", "--config", str(path), control=faults)
        port = await process.port()
        await send_requests(port, "before", 10)
        faults.step_wall_clock(step_s)
        born_s = time.time() + step_s
        entry = discovery.entry("r1", "r", cold.address)
        discovery.change({**entry, "born_ms": round(born_s * 1000)})
        await process.wait_for_event("list", form="delta")
        await asyncio.sleep(wait_s)
        before = len(warm.heads)
        await send_requests(port, "after")
        assert await process.terminate() == 0
    await cold.stop()
    return len(cold.heads) / (len(cold.heads) + len(warm.heads) - before)


SLOW_START = {"coldFrom": 0.1, "coldUs": 30_000_000}
SHORT_SLOW_START = {"coldFrom": 0.1, "coldUs": 500_000}
STEPS_S = (0.0, -10.0, -HOUR_S, 10.0, HOUR_S)


async def for_each_step(
    work: Callable[[Path, float], Awaitable[float]], tmp_path: Path
) -> dict[float, float]:
    """Run the work for all steps of the wall clock at the same time, and return each result."""
    folders = {step_s: tmp_path / str(step_s) for step_s in STEPS_S}
    for folder in folders.values():
        folder.mkdir(parents=True)
    found = await asyncio.gather(*(work(folder, step_s) for step_s, folder in folders.items()))
    return dict(zip(STEPS_S, found, strict=True))


def test_a_server_that_joins_after_a_wall_clock_step_gets_a_slow_start(tmp_path: Path) -> None:
    found = run_async(
        for_each_step(lambda folder, step_s: cold_share(folder, step_s, SLOW_START), tmp_path)
    )
    assert all(share < 0.2 for share in found.values()), (
        f"the expected share is 0.1 during slow start and 0.5 after it: {found}"
    )
    found = run_async(
        for_each_step(
            lambda folder, step_s: cold_share(folder, step_s, SHORT_SLOW_START, 0.6),
            tmp_path / "warm",
        )
    )
    assert all(share > 0.3 for share in found.values()), f"the slow start is over: {found}"


async def upgrade_duration_s(tmp_path: Path, step_s: float) -> float:
    """Return the time in which the old process ends; the new one has a stepped wall clock.

    The old process hands its stream over to the new one.
    """
    hold, faults = asyncio.Event(), fault_control(tmp_path)
    writer = Replica(hold_last_chunk(hold), STREAM)
    async with servers_and_config(
        tmp_path, [Replica(PREFILLED)], [writer], settings=with_rules({})
    ) as (path, _):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            options = {
                "control": faults,
                "environment": {
                    "ROUTER_PASSED_SOCKET": str(listener.fileno()),
                    "TMPDIR": str(tmp_path),
                },
                "pass_fds": (listener.fileno(),),
            }
            old = await ChildProcess.start("serve", "--config", str(path), **options)
            port = await old.port()
            async with open_connection(port) as (source, sink):
                sink.write(chat_request("a1", "a"))
                await source.readuntil(b"[DONE]\n\n\r\n")
                faults.step_wall_clock(step_s)
                new = await ChildProcess.start("serve", "--config", str(path), **options)
                await new.port()
                began_s = time.monotonic()
                old.child.terminate()
                ended = asyncio.create_task(old.child.wait())
                await asyncio.wait([ended], timeout=UPGRADE_LIMIT_S)
                took_s = time.monotonic() - began_s
                hold.set()
                assert await source.readuntil(b"0\r\n\r\n") == b"0\r\n\r\n", (
                    "the stream must not be cut"
                )
                sink.write(chat_request("a2", "a"))
                if new.events("stream_adopted"):
                    assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
                served = new.events("served", id="a1") or old.events("served", id="a1")
                assert abs(served[0]["us"]) < 60_000_000, (
                    "a duration must not depend on the wall clock"
                )
                await ended
            assert await old.terminate() == 0 and await new.terminate() == 0
    return took_s


def test_an_upgrade_hands_streams_over_despite_a_wall_clock_step(tmp_path: Path) -> None:
    found = run_async(for_each_step(upgrade_duration_s, tmp_path))
    assert all(took_s < UPGRADE_LIMIT_S for took_s in found.values()), found
