"""Measures the cost of the invariant checker: `make bench-guard`; writes docs/measurements/guard.md.

Compares the processor time of the checker's calls for one successful request with that of a whole
request at a real dispatcher with stand-in servers, in the same run.

    python benchmarks/guard.py [REQUESTS]
"""

import asyncio
import os
import platform
import sys
import time

from bench_support import ROOT, cpu_s, running_dispatcher

from onyxpass.config.settings import read_settings
from onyxpass.invariants import InvariantChecker
from onyxpass.scheduling import contract
from onyxpass.testbed.client import send_request
from onyxpass.testbed.replicas import StandinFleet
from onyxpass.testbed.settings import SETTINGS

ROUNDS = 20_000
MAX_CONCURRENT = 8


def checker_us() -> float:
    """Return the checker's processor time per request in microseconds.

    The calls are those of a prefill, a decode, the first event and the answer.
    """
    checker = InvariantChecker(read_settings(SETTINGS))
    checker.record_endpoints([contract.Endpoint(name, "reader") for name in ("r0", "w0")], True, 0)
    began = time.process_time()
    for number in range(ROUNDS):
        request = f"r{number}"
        checker.record_request(request, "part-lookup", 6_000_000)
        checker.check_send(request, 0, "r0", False, 5_000_000, 1_000)
        checker.record_attempt_end(request, 0, contract.AttemptStatus.PREFILLED)
        checker.check_send(request, 1, "w0", True, 5_000_000, 2_000)
        checker.check_commit(request, 1)
        checker.record_attempt_end(request, 1, contract.AttemptStatus.COMPLETED)
        checker.check_answer(request)
        checker.record_removal(request)
    assert not checker.violations
    return (time.process_time() - began) / ROUNDS * 1e6


async def request_us(requests: int) -> float:
    """Return a real dispatcher's processor time per served request in microseconds."""
    fleet = await StandinFleet(2, 2).start()
    async with running_dispatcher(fleet) as (pid, port):
        slots = asyncio.Semaphore(MAX_CONCURRENT)

        async def send_numbered(number: int) -> str:
            async with slots:
                answer = await send_request(
                    fleet.trace, ("127.0.0.1", port), f"r{number}", "part-lookup", f"s{number % 50}"
                )
                return answer.outcome

        await asyncio.gather(*(send_numbered(number) for number in range(100)))
        before_s = cpu_s(pid)
        ends = await asyncio.gather(
            *(send_numbered(number) for number in range(100, 100 + requests))
        )
        used_s = cpu_s(pid) - before_s
    await fleet.stop()
    assert ends.count("served") == requests, set(ends)
    return used_s / requests * 1e6


def main() -> None:
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else 1500
    request_cpu_us, checker_cpu_us = asyncio.run(request_us(requests)), checker_us()
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    text = f"""# What the guard costs

`make bench-guard`, for the invariant checker ("guard"). {machine}; {requests} requests at a real dispatcher, {MAX_CONCURRENT} at once, and {ROUNDS}
rounds of the checker's calls for one successful request (a prefill, a decode, an event, the answer), in the same run.

| | processor time in us |
| --- | --- |
| a whole request at the dispatcher, the checker's calls included | {request_cpu_us:.0f} |
| the checker's calls for one request | {checker_cpu_us:.1f} |
| the second divided by the first | {checker_cpu_us / request_cpu_us:.4f} |
"""
    (ROOT / "docs" / "measurements" / "guard.md").write_text(text)
    print(text)


if __name__ == "__main__":
    main()
