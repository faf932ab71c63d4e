"""The log tells the process's own memory, beside what the kernel says of it."""

from pathlib import Path

from cluster import PREFILLED, STREAM, Replica
from fault_injection import ChildProcess, run_async, servers_and_config

BALLAST_BYTES = 160_000_000  # of the process that starts the program, more than that will need
MAX_GROWTH = 1.1  # of the peak, between the log line and the reading of the test


def kernel_peak_kib(pid: int) -> int:
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(row.split()[1]) for row in rows if row.startswith("VmHWM"))


def test_the_log_tells_the_memory_of_the_process_and_not_of_its_starter(tmp_path: Path) -> None:
    """Guards against a peak that the kernel hands on from the process that started this one."""

    async def scenario() -> None:
        servers = servers_and_config(tmp_path, [Replica(PREFILLED)], [Replica(STREAM)])
        async with servers as (path, _):
            ballast = bytearray(b"x") * BALLAST_BYTES
            process = await ChildProcess.start("serve", environment={"ROUTER_CONFIG": str(path)})
            del ballast
            state = await process.wait_for_event("state")  # in its first seconds
            peak_kib = kernel_peak_kib(process.child.pid)
            assert peak_kib * 1024 < BALLAST_BYTES
            assert state["peak_resident_kib"] <= peak_kib
            assert peak_kib <= MAX_GROWTH * state["peak_resident_kib"]
            assert 0 < state["resident_kib"] <= state["peak_resident_kib"]
            assert await process.terminate() == 0

    run_async(scenario())
