"""Measures the emulator: `make bench-lab`. Writes docs/measurements/lab.md.

Emulated seconds per second, memory and the cost of one decision, with the router ("module") and
with a simple policy; each run is a process of its own.
"""

import json
import os
import platform
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path

from onyxpass.emulator.policies import POLICIES
from onyxpass.emulator.simulation import Simulation
from onyxpass.emulator.topology import Site

ROOT = Path(__file__).parent.parent
# Servers, dispatchers, emulated seconds
SIZES = ((14, 4, 20.0), (14, 40, 20.0), (100, 4, 5.0), (100, 40, 5.0), (1000, 4, 1.0))
REPEATS = 3


def run_simulation(servers: int, dispatchers: int, seconds: float, policy: str) -> None:
    scale = servers / 14
    readers = round(6 * scale)
    site = Site(
        readers, readers, servers - 2 * readers, dispatchers, rate=50 * scale, seconds=seconds
    )
    simulation = Simulation(site, POLICIES[policy], 1, traced=False)
    began_s = time.perf_counter()
    tally = simulation.run()
    elapsed_s = time.perf_counter() - began_s
    mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    emulated_s = seconds + 40  # the run continues for 40 s after the end of the traffic
    measures = {
        "pace": emulated_s / elapsed_s,
        "took": elapsed_s,
        "mb": mb,
        "us": elapsed_s / tally.decisions * 1e6,
    }
    print(json.dumps({**measures, "asked": tally.asked, "g": tally.g}))


def measure_policy(*arguments: object) -> dict[str, float]:
    runs = [
        json.loads(
            subprocess.run(
                [sys.executable, __file__, *map(str, arguments)],
                stdout=subprocess.PIPE,
                check=True,
                text=True,
            ).stdout
        )
        for _ in range(REPEATS)
    ]
    return {key: statistics.median(run[key] for run in runs) for key in runs[0]}


def main() -> None:
    lines = [
        "# The emulator, measured",
        "",
        f"`make bench-lab` on {platform.machine()}, {os.cpu_count()} cores, Python",
        f"{platform.python_version()}; one core per run, medians of {REPEATS}. Load grows with the servers",
        "(50 requests per second for 14, without retries); each run continues for 40 s after the end of the traffic, with timers still running.",
        "`us`: wall time per event handled by a policy, the emulator's own work included. The ratio is",
        "the module's time divided by the simple policy's.",
        "",
        "| servers | dispatchers | requests | module: s/s | MB | us | prefix hash: s/s | us | ratio |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for servers, dispatchers, seconds in SIZES:
        module = measure_policy(servers, dispatchers, seconds, "module")
        plain = measure_policy(servers, dispatchers, seconds, "prefix-hash")
        lines.append(
            f"| {servers} | {dispatchers} | {module['asked']:.0f} | {module['pace']:.1f} | {module['mb']:.0f} "
            f"| {module['us']:.0f} | {plain['pace']:.1f} | {plain['us']:.0f} "
            f"| {module['took'] / plain['took']:.1f} |"
        )
        print(lines[-1], flush=True)
    (ROOT / "docs" / "measurements" / "lab.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    if len(sys.argv) > 1:
        run_simulation(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4])
    else:
        main()
