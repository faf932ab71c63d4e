"""Measures the fleet tool: `make bench-fleet`. Writes docs/measurements/fleet.md.

`list` and `reload` over 6, 60 and 600 instances with 0, 10 and 50% of the agents silent, six
instances per agent; the agents are stand-ins in a process of their own. Then the planner, compared
with a rollout of one instance at a time.
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
FLEET_SIZES, SILENT_SHARES, INSTANCES_PER_AGENT, REPEATS, DEADLINE_S = (
    (6, 60, 600),
    (0.0, 0.1, 0.5),
    6,
    3,
    2.0,
)
PLANNER_SIZES = (10, 100, 1_000, 10_000)
HALLS = ("boa-vista", "santo-amaro", "derby")


async def serve_agents(count: int, silent: float, key: str) -> None:
    """Run the stand-in agents: print their ports and names, and serve until the input ends."""
    stand_ins = []
    for number in range(-(-count // INSTANCES_PER_AGENT)):
        names = [
            f"i{n:05}"
            for n in range(
                number * INSTANCES_PER_AGENT, min(count, (number + 1) * INSTANCES_PER_AGENT)
            )
        ]
        agent = StandinAgent(names, key)
        await agent.start()
        stand_ins.append(agent)
    for number in range(round(len(stand_ins) * silent)):
        stand_ins[number * len(stand_ins) // round(len(stand_ins) * silent)].silent = True
    print(json.dumps([(agent.port, agent.names) for agent in stand_ins]), flush=True)
    await asyncio.to_thread(sys.stdin.read)


def measure_in_subprocess(
    count: int, silent: float, command: str
) -> tuple[float, int, float, dict[str, int]]:
    """Run a command in a process of its own.

    Return its seconds, most connections open at once, peak memory in MB, and outcomes.
    """
    run = subprocess.run(
        [sys.executable, __file__, "run", str(count), str(silent), command],
        stdout=subprocess.PIPE, check=True, text=True,
    )  # fmt: skip
    output = json.loads(run.stdout)
    return output["seconds"], output["open"], output["mb"], output["counts"]


def run_one(count: int, silent: float, command: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        base = Path(folder)
        make_key(base / "key")
        process = subprocess.Popen(
            [sys.executable, __file__, "agents", str(count), str(silent), read_key(base / "key")],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip
        assert process.stdout is not None and process.stdin is not None
        agent_rows = json.loads(process.stdout.readline())
        text = 'name = "bench"\nkey = "key"\n' + "".join(
            f'[[halls]]\nname = "{hall}"\n' for hall in HALLS
        )
        for number, (port, names) in enumerate(agent_rows):
            agent_keys = (
                f'host = "h{number}"\nhall = "{HALLS[number % 3]}"\naddress = "127.0.0.1:{port}"\n'
            )
            text += "[[agents]]\n" + agent_keys
            text += "".join(f'[[agents.instances]]\nname = "{name}"\n' for name in names)
        halls = {HALLS[n % 3] for n in range(len(agent_rows))}
        for hall in set(HALLS) - halls:
            text = text.replace(f'[[halls]]\nname = "{hall}"\n', "")
        (base / "fleet.toml").write_text(text)
        controller = FleetController(fleet_config.load(base / "fleet.toml"))
        members = controller.fleet.members

        async def run_command() -> Report:
            if command == "list":
                return await controller.survey(members, DEADLINE_S)
            return await controller.order("reload", members, DEADLINE_S, {})

        began_s = time.monotonic()
        report = asyncio.run(run_command())
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


def measure_planner(count: int) -> tuple[float, int, int]:
    """Return the seconds to plan, the number of waves, and the least number that is possible."""
    instances = [
        PlannedInstance(f"i{n:05}", HALLS[n % 3], f"h{n % 3}-{n // 3 // INSTANCES_PER_AGENT}")
        for n in range(count)
    ]
    minimum_available = {
        hall: 0.5 * sum(instance.hall == hall for instance in instances) for hall in HALLS
    }
    limits = DisruptionLimits(max(1, count // 4), max(1, count // 9), 1, minimum_available)
    names = [instance.name for instance in instances]
    began_s = time.perf_counter()
    found = plan(instances, names, limits, canaries=1)
    seconds = time.perf_counter() - began_s
    assert sum(len(wave) for wave in found.waves) == count
    return seconds, len(found.waves), fewest_waves(instances, names, limits)


def main() -> None:
    lines = [
        "# The fleet tool, measured",
        "",
        f"`make bench-fleet` on {platform.machine()}, {os.cpu_count()} cores, Python",
        f"{platform.python_version()}; medians of {REPEATS} runs, each in a process of its own. Six",
        "instances per agent, so one agent at size 6, which none of these shares makes silent; deadline",
        f"{DEADLINE_S:g} s. A reload ends with a survey of all agents, which waits 3 s for a silent one. The",
        "ratio compares with the same command with no agent silent.",
        "",
        "| command | instances | silent agents | seconds | ratio | connections at once | MB | outcomes |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for command in ("list", "reload"):
        for size in FLEET_SIZES:
            base = 0.0
            for silent in SILENT_SHARES:
                runs = [measure_in_subprocess(size, silent, command) for _ in range(REPEATS)]
                seconds = statistics.median(run[0] for run in runs)
                base = base or seconds
                counts = ", ".join(f"{n} {kind}" for kind, n in runs[0][3].items() if n)
                peak_connections, mb = (
                    max(run[1] for run in runs),
                    statistics.median(run[2] for run in runs),
                )
                lines.append(
                    f"| {command} | {size} | {silent:.0%} | {seconds:.2f} | {seconds / base:.1f} | {peak_connections} "
                    f"| {mb:.0f} | {counts} |"
                )
                print(lines[-1], flush=True)
    lines += [
        "",
        "## The planner",
        "",
        "Limits at once: a quarter of all instances, a ninth of all in a hall, one on a host; half of each",
        "hall is kept; one canary. One instance at a time needs as many waves as there are instances.",
        "`fewest`: no plan needs fewer waves, the canary's wave not counted.",
        "",
        "| instances | seconds to plan | waves | fewest | one at a time | ratio of waves |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for size in PLANNER_SIZES:
        planner_runs = [measure_planner(size) for _ in range(REPEATS)]
        seconds = statistics.median(run[0] for run in planner_runs)
        _, waves, fewest = planner_runs[0]
        lines.append(
            f"| {size} | {seconds:.4f} | {waves} | {fewest} | {size} | {waves / size:.3f} |"
        )
        print(lines[-1], flush=True)
    (ROOT / "docs" / "measurements").mkdir(exist_ok=True)
    (ROOT / "docs" / "measurements" / "fleet.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    if sys.argv[1:2] == ["agents"]:
        asyncio.run(serve_agents(int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]))
    elif sys.argv[1:2] == ["run"]:
        run_one(int(sys.argv[2]), float(sys.argv[3]), sys.argv[4])
    else:
        main()
