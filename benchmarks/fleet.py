"""Measures the fleet tool: `make bench-fleet`. Writes docs/measurements/fleet.md.

`list` and `reload` over 6, 60 and 600 instances with 0, 10 and 50% of the agents silent, six
instances an agent, agents as stand-ins in a process of their own. Then the planner against one
instance at a time.
"""

import asyncio
import json
import os
import platform
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from onyxpass.agent.credentials import make_key, read_key
from onyxpass.fleet import config as fleet_config
from onyxpass.fleet.controller import FleetController, Report
from onyxpass.fleet.planner import DisruptionLimits, PlannedInstance, fewest_waves, plan
from onyxpass.testbed.agents import StandinAgent

ROOT = Path(__file__).parent.parent
SIZES, SILENT, EACH, REPEATS, DEADLINE_S = (6, 60, 600), (0.0, 0.1, 0.5), 6, 3, 2.0
PLANNED = (10, 100, 1_000, 10_000)
HALLS = ("boa-vista", "santo-amaro", "derby")


async def agents(count: int, silent: float, key: str) -> None:
    """The process of the stand-in agents: tells their ports, and stays till its input ends."""
    made = []
    for number in range(-(-count // EACH)):
        names = [f"i{n:05}" for n in range(number * EACH, min(count, (number + 1) * EACH))]
        agent = StandinAgent(names, key)
        await agent.start()
        made.append(agent)
    for number in range(round(len(made) * silent)):
        made[number * len(made) // round(len(made) * silent)].silent = True
    print(json.dumps([(agent.port, agent.names) for agent in made]), flush=True)
    await asyncio.to_thread(sys.stdin.read)


def measured(count: int, silent: float, command: str) -> tuple[float, int, float, dict[str, int]]:
    """Seconds, connections at once, peak memory in MB, and outcomes of one run in a process of
    its own.
    """
    run = subprocess.run(
        [sys.executable, __file__, "run", str(count), str(silent), command],
        stdout=subprocess.PIPE, check=True, text=True,
    )  # fmt: skip
    told = json.loads(run.stdout)
    return told["seconds"], told["open"], told["mb"], told["counts"]


def run_one(count: int, silent: float, command: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        base = Path(folder)
        make_key(base / "key")
        process = subprocess.Popen(
            [sys.executable, __file__, "agents", str(count), str(silent), read_key(base / "key")],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert process.stdout is not None and process.stdin is not None
        rows = json.loads(process.stdout.readline())
        text = 'name = "bench"\nkey = "key"\n' + "".join(
            f'[[halls]]\nname = "{hall}"\n' for hall in HALLS
        )
        for number, (port, names) in enumerate(rows):
            where = (
                f'host = "h{number}"\nhall = "{HALLS[number % 3]}"\naddress = "127.0.0.1:{port}"\n'
            )
            text += "[[agents]]\n" + where
            text += "".join(f'[[agents.instances]]\nname = "{name}"\n' for name in names)
        halls = {HALLS[n % 3] for n in range(len(rows))}
        for hall in set(HALLS) - halls:
            text = text.replace(f'[[halls]]\nname = "{hall}"\n', "")
        (base / "fleet.toml").write_text(text)
        controller = FleetController(fleet_config.load(base / "fleet.toml"))
        members = controller.fleet.members

        async def go() -> Report:
            if command == "list":
                return await controller.survey(members, DEADLINE_S)
            return await controller.order("reload", members, DEADLINE_S, {})

        began_s = time.monotonic()
        report = asyncio.run(go())
        seconds = time.monotonic() - began_s
        process.stdin.close()
        process.wait(10)
    mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    counts = report.tally.counts()
    assert sum(counts.values()) == count
    print(
        json.dumps(
            {
                "seconds": seconds,
                "open": controller.agent_client.peak_connections,
                "mb": mb,
                "counts": counts,
            }
        )
    )


def planner(count: int) -> tuple[float, int, int]:
    """Seconds to plan, waves, and the fewest that any order needs."""
    units = [
        PlannedInstance(f"i{n:05}", HALLS[n % 3], f"h{n % 3}-{n // 3 // EACH}")
        for n in range(count)
    ]
    keep = {hall: 0.5 * sum(unit.hall == hall for unit in units) for hall in HALLS}
    limits = DisruptionLimits(max(1, count // 4), max(1, count // 9), 1, keep)
    names = [unit.name for unit in units]
    began_s = time.perf_counter()
    found = plan(units, names, limits, canaries=1)
    seconds = time.perf_counter() - began_s
    assert sum(len(wave) for wave in found.waves) == count
    return seconds, len(found.waves), fewest_waves(units, names, limits)


def main() -> None:
    lines = [
        "# The fleet tool, measured",
        "",
        f"`make bench-fleet` on {platform.machine()}, {os.cpu_count()} cores, Python",
        f"{platform.python_version()}; medians of {REPEATS} runs, each in a process of its own. Six",
        "instances an agent, so one agent at size 6, which none of these shares silences; deadline",
        f"{DEADLINE_S:g} s. A reload ends with one more look at all, which gives a silent agent 3 s. The",
        "ratio is to the same command with no agent silent.",
        "",
        "| command | instances | silent agents | seconds | ratio | connections at once | MB | outcomes |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for command in ("list", "reload"):
        for size in SIZES:
            base = 0.0
            for silent in SILENT:
                runs = [measured(size, silent, command) for _ in range(REPEATS)]
                seconds = statistics.median(run[0] for run in runs)
                base = base or seconds
                counts = ", ".join(f"{n} {kind}" for kind, n in runs[0][3].items() if n)
                most, mb = max(run[1] for run in runs), statistics.median(run[2] for run in runs)
                lines.append(
                    f"| {command} | {size} | {silent:.0%} | {seconds:.2f} | {seconds / base:.1f} | {most} "
                    f"| {mb:.0f} | {counts} |"
                )
                print(lines[-1], flush=True)
    lines += [
        "",
        "## The planner",
        "",
        "At once a quarter of all, a ninth of all in a hall, one on a host; half of each hall kept; one",
        "canary. The plain order takes one instance at a time, so it has as many waves as instances.",
        "`fewest`: no order needs fewer waves, the canary's apart.",
        "",
        "| instances | seconds to plan | waves | fewest | one at a time | ratio of waves |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for size in PLANNED:
        runs_of = [planner(size) for _ in range(REPEATS)]
        seconds = statistics.median(run[0] for run in runs_of)
        _, waves, fewest = runs_of[0]
        lines.append(
            f"| {size} | {seconds:.4f} | {waves} | {fewest} | {size} | {waves / size:.3f} |"
        )
        print(lines[-1], flush=True)
    (ROOT / "docs" / "measurements").mkdir(exist_ok=True)
    (ROOT / "docs" / "measurements" / "fleet.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    if sys.argv[1:2] == ["agents"]:
        asyncio.run(agents(int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]))
    elif sys.argv[1:2] == ["run"]:
        run_one(int(sys.argv[2]), float(sys.argv[3]), sys.argv[4])
    else:
        main()
