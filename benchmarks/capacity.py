"""Measures the cost of each role by size: `make bench-capacity`.

Writes docs/measurements/capacity.json and docs/CAPACITY.md. Each run is a process of its own. Bytes
are counted at the loopback device, headers and acknowledgements included, so nothing else may use
the device during a run.

    python benchmarks/capacity.py            # all runs, the data and the page; several minutes
    python benchmarks/capacity.py page       # regenerates the page from the committed data
    python benchmarks/capacity.py run NAME SIZE     # one run, as JSON
    python benchmarks/capacity.py small NAME SIZE   # the same with short idle times and few changes
"""

import asyncio
import json
import os
import platform
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path

from bench_support import (
    ListServer,
    Measurements,
    cpu_s,
    loopback_bytes,
    measure_idle,
    memory_mb,
    wait_until,
)

from onyxpass.agent.credentials import make_key
from onyxpass.config import settings as platform_settings
from onyxpass.config.platform_file import Address
from onyxpass.emulator import capacity, full_scale
from onyxpass.emulator.decision_cost import measure_decision_cost
from onyxpass.emulator.topology import InjectedFault
from onyxpass.history_checkers.configuration import propagation_times_s
from onyxpass.hollow.dispatchers import HollowFleet
from onyxpass.testbed.configuration import ConfigurationTrial
from onyxpass.testbed.settings import SETTINGS
from onyxpass.testbed.site import free_port

ROOT = Path(__file__).parent.parent
SERVERS, DISPATCHERS = 600, 370
IDLE_S, CHANGES = 6.0, 20
SETTLE_S = 5.0  # after a start, until the first checks and pulls are over
CHANGE_INTERVAL_S = 0.5  # between consecutive changes
OUTAGE_S = 12.0  # partition between the regions, shortened from an hour
RATE = 8.0  # requests per second of one dispatcher
SERVE_COMMAND = (sys.executable, "-m", "onyxpass", "serve")  # the platform's command line


# Hollow dispatchers that watch the list


async def measure_list(servers: int, dispatchers: int) -> Measurements:
    """Measure the list's server while hollow dispatchers of this process watch it.

    The phases are start, idle, changes one by one and a restart of the server.
    """
    server = ListServer(servers)
    try:
        settings = platform_settings.read_settings({**SETTINGS, "peersTotal": dispatchers})
        bytes_before = loopback_bytes()
        fleet = HollowFleet(settings, Address("127.0.0.1", server.port), dispatchers)
        fleet.start()
        start_s = await wait_until(lambda: fleet.count_at_version(1) == dispatchers)
        await asyncio.sleep(0.5)
        start_bytes = loopback_bytes() - bytes_before
        rest = await measure_idle(server.process.pid, IDLE_S)
        times, bytes_before, cpu_before_s = [], loopback_bytes(), cpu_s(server.process.pid)
        for _ in range(CHANGES):
            version = server.request_change("change")
            times.append(await wait_until(lambda: fleet.count_at_version(version) == dispatchers))  # noqa: B023
        changes_bytes, changes_cpu = (
            loopback_bytes() - bytes_before,
            cpu_s(server.process.pid) - cpu_before_s,
        )
        bytes_before = loopback_bytes()
        version = server.request_change("restart")
        restart_s = await wait_until(lambda: fleet.count_at_version(version) == dispatchers)
        await asyncio.sleep(0.5)
        restart_bytes = loopback_bytes() - bytes_before
        fleet.stop()
        return {
            "start_s": start_s,
            "start_kb_each": start_bytes / dispatchers / 1e3,
            "rest_bytes_a_s_each": rest["bytes_a_s"] / dispatchers,
            "rest_cpu_ms_a_s": rest["cpu_ms_a_s"],
            "change_s": max(times),
            "change_bytes_each": changes_bytes / CHANGES / dispatchers,
            "change_cpu_ms": changes_cpu / CHANGES * 1e3,
            "restart_s": restart_s,
            "restart_kb_each": restart_bytes / dispatchers / 1e3,
            "server_mb": memory_mb(server.process.pid),
            "hollow_mb": memory_mb(os.getpid()),
        }
    finally:
        server.stop()


# Real dispatchers and agents


def dispatcher_file(folder: Path, name: str, discovery: str, tenants: int, listen: str) -> Path:
    path = folder / f"{name}.json"
    accounts = [{"name": f"t{n}", "quotaPerS": 1.0} for n in range(tenants)]
    settings_document = {**SETTINGS, "peersTotal": DISPATCHERS, "accounts": accounts}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    document = {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "5eed",
        "limits": limits,
    }
    path.write_text(json.dumps({**document, "known": {}, "settings": settings_document}))
    return path


def dispatcher_environment(config: Path) -> dict[str, str]:
    inherited = {
        name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")
    }
    return {**inherited, "ROUTER_CONFIG": str(config), "TMPDIR": str(config.parent)}


async def measure_dispatcher(servers: int, tenants: int) -> Measurements:
    """Measure one real dispatcher: start, idle, changes of the list."""
    server = ListServer(servers)
    with tempfile.TemporaryDirectory(prefix="onyxpass-capacity-") as folder:
        path = dispatcher_file(
            Path(folder), "n0", f"127.0.0.1:{server.port}", tenants, "127.0.0.1:0"
        )
        process = await asyncio.create_subprocess_exec(
            *SERVE_COMMAND, stdout=subprocess.PIPE, env=dispatcher_environment(path)
        )
        assert process.stdout is not None
        try:
            versions = [0]

            async def follow() -> None:
                assert process.stdout is not None
                while line := await process.stdout.readline():
                    if b'"event": "list"' in line or b'"event":"list"' in line:
                        versions.append(json.loads(line)["seq"])

            following = asyncio.create_task(follow())
            await wait_until(lambda: len(versions) > 1)
            await asyncio.sleep(1.0)
            start_cpu_s = cpu_s(process.pid)
            rest = await measure_idle(process.pid, IDLE_S)
            cpu_before_s = cpu_s(process.pid)
            for _ in range(CHANGES):
                version = server.request_change("change")
                await wait_until(lambda: versions[-1] >= version)  # noqa: B023
            changes_cpu = cpu_s(process.pid) - cpu_before_s
            found = {
                "start_cpu_s": start_cpu_s,
                "mb": memory_mb(process.pid),
                "rest_cpu_ms_a_s": rest["cpu_ms_a_s"],
                "rest_bytes_a_s": rest["bytes_a_s"],
                "change_cpu_ms": changes_cpu / CHANGES * 1e3,
                "file_kb": path.stat().st_size / 1e3,
            }
        finally:
            process.terminate()
            await process.wait()
            server.stop()
        await following
        return found


async def measure_agent(instances: int) -> Measurements:
    """Measure an idle real agent that manages real dispatchers."""
    server = ListServer(SERVERS)
    with tempfile.TemporaryDirectory(prefix="onyxpass-capacity-") as name:
        folder = Path(name)
        make_key(folder / "key")
        instance_tables = ""
        for number in range(instances):
            listen = f"127.0.0.1:{free_port()}"
            dispatcher_file(folder, f"n{number}", f"127.0.0.1:{server.port}", 0, listen)
            instance_tables += (
                f'[[instances]]\nname = "n{number}"\nkind = "serve"\nconfig = "n{number}.json"\n'
            )
            instance_tables += f'check = "{listen}"\n'
        agent_table = (
            f'name = "h0"\nstate = "state"\nlisten = "127.0.0.1:{free_port()}"\nkey = "key"\n'
        )
        (folder / "agent.toml").write_text(agent_table + instance_tables)
        process = await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-m",
                "onyxpass",
                "agent",
                "run",
                "--config",
                str(folder / "agent.toml"),
            ),
            stdout=subprocess.DEVNULL,
        )
        try:
            children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
            await wait_until(lambda: len(children.read_text().split()) >= instances)
            await asyncio.sleep(SETTLE_S)
            rest = await measure_idle(process.pid, IDLE_S)
            return {"cpu_ms_a_s": rest["cpu_ms_a_s"], "mb": memory_mb(process.pid)}
        finally:
            process.terminate()
            await process.wait()
            server.stop()


async def measure_real_and_hollow(agents: int) -> Measurements:
    """Measure six real dispatchers per agent, with hollow ones up to the full number.

    The agents themselves are not started.
    """
    count = 6 * agents
    full_scale.check_processes(count)
    server = ListServer(SERVERS)
    settings = platform_settings.read_settings({**SETTINGS, "peersTotal": DISPATCHERS})
    fleet = HollowFleet(settings, Address("127.0.0.1", server.port), DISPATCHERS - count)
    logs: list[list[int]] = [[0] for _ in range(count)]
    processes: list[asyncio.subprocess.Process] = []

    async def follow(process: asyncio.subprocess.Process, log: list[int]) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            if b"list" in line and b"seq" in line:
                log.append(json.loads(line).get("seq") or 0)

    with tempfile.TemporaryDirectory(prefix="onyxpass-capacity-") as name:
        try:
            for number in range(count):
                path = dispatcher_file(
                    Path(name), f"n{number}", f"127.0.0.1:{server.port}", 0, "127.0.0.1:0"
                )
                process = await asyncio.create_subprocess_exec(
                    *SERVE_COMMAND, stdout=subprocess.PIPE, env=dispatcher_environment(path)
                )
                processes.append(process)
                asyncio.create_task(follow(process, logs[number]))  # noqa: RUF006
            fleet.start()

            def all_have(version: int) -> bool:
                real = all(log[-1] >= version for log in logs)
                return real and fleet.count_at_version(version) == DISPATCHERS - count

            start_s = await wait_until(lambda: all_have(1))
            await asyncio.sleep(1.0)
            times = []
            for _ in range(CHANGES):
                version = server.request_change("change")
                times.append(await wait_until(lambda: all_have(version)))  # noqa: B023
            version = server.request_change("restart")
            restart_s = await wait_until(lambda: all_have(version))
            mb = sum(memory_mb(process.pid) for process in processes) / count
            return {
                "real": count,
                "start_s": start_s,
                "change_s": max(times),
                "restart_s": restart_s,
                "mb": mb,
            }
        finally:
            for process in processes:
                process.terminate()
            await asyncio.gather(*(process.wait() for process in processes))
            fleet.stop()
            server.stop()


async def measure_configuration(hosts: int) -> Measurements:
    """Measure how long changes take until they are in force at all hosts.

    Real nodes in two regions, each with three control nodes and this number of hosts. After changes
    with all hosts up there is one change while a tenth of the hosts are down, and one change in each
    region while the regions are partitioned for OUTAGE_S.
    """
    full_scale.check_processes(2 * (hosts + 4))
    with tempfile.TemporaryDirectory(prefix="onyxpass-capacity-") as name:
        async with ConfigurationTrial(Path(name), controls=3, hosts=hosts) as trial:
            names = trial.host_names
            await trial.set_values("north-c0", start=1)
            await trial.wait_until_in_force(names, lambda values: values.get("start") == 1)
            await asyncio.sleep(SETTLE_S)
            bytes_before, cross_region_before = loopback_bytes(), trial.cross_region_bytes
            await asyncio.sleep(IDLE_S)
            rest = (loopback_bytes() - bytes_before) / IDLE_S
            rest_across = (trial.cross_region_bytes - cross_region_before) / IDLE_S
            bytes_before, began_ns = loopback_bytes(), time.monotonic_ns()
            for number in range(CHANGES):
                await trial.set_values(
                    f"{'north' if number % 2 else 'south'}-c{number % 3}", paced=number
                )
                await asyncio.sleep(CHANGE_INTERVAL_S)
            spaced_duration_s, ended_ns = (
                (time.monotonic_ns() - began_ns) / 1e9,
                time.monotonic_ns(),
            )
            spaced_bytes = loopback_bytes() - bytes_before - rest * spaced_duration_s
            for number in range(CHANGES):
                await trial.set_values("north-c1", burst=number)
            await trial.wait_until_in_force(
                names, lambda values: values.get("burst") == CHANGES - 1
            )
            stopped_hosts = names[:: max(1, len(names) // max(1, len(names) // 10))][
                : max(1, len(names) // 10)
            ]
            for host in stopped_hosts:
                await trial.kill(host)
            await trial.set_values("south-c0", away=1)
            await trial.wait_until_in_force(
                [n for n in names if n not in stopped_hosts], lambda values: values.get("away") == 1
            )
            began_s = time.monotonic()
            for host in stopped_hosts:
                await trial.start(host)
            await trial.wait_until_in_force(names, lambda values: values.get("away") == 1)
            catch_up_s = time.monotonic() - began_s
            trial.cut()
            await trial.set_values("north-c0", split=1)
            await trial.set_values("south-c0", other=1)
            await asyncio.sleep(OUTAGE_S)
            trial.restore()
            began_s = time.monotonic()
            await trial.wait_until_in_force(
                names, lambda values: values.get("split") == 1 and values.get("other") == 1
            )
            heal_s = time.monotonic() - began_s
            mb = memory_mb(trial.pid_of(names[0]))
            records = trial.log_entries()
            times = sorted(propagation_times_s(records, names))
            spaced_latencies = propagation_times_s(
                [record for record in records if began_ns <= record.at_ns <= ended_ns], names
            )
            return {
                "hosts": len(names),
                "orders": len(times),
                "paced_median_s": sorted(spaced_latencies)[len(spaced_latencies) // 2],
                "paced_most_s": max(spaced_latencies),
                "paced_orders": len(spaced_latencies),
                "most_s": times[-1],
                "rest_bytes_a_s": rest,
                "rest_bytes_a_s_across": rest_across,
                "change_bytes": spaced_bytes / CHANGES,
                "back_s": catch_up_s,
                "mended_s": heal_s,
                "node_mb": mb,
                "breaches": len(trial.breaches()),
            }


def measure_choosing(servers: int) -> Measurements:
    found = measure_decision_cost(servers, DISPATCHERS, RATE, 30.0, 1)
    return {"us_a_request": found.us_a_request, "requests": found.requests}


def measure_reload(instances: int, silent: float) -> Measurements:
    """Measure one reload of all instances by the fleet tool, with stand-in agents."""
    run = subprocess.run(
        [
            sys.executable,
            str(ROOT / "benchmarks" / "fleet.py"),
            "run",
            str(instances),
            str(silent),
            "reload",
        ],
        stdout=subprocess.PIPE,
        check=True,
        text=True,
    )
    output = json.loads(run.stdout)
    done = sum(count for outcome, count in output["counts"].items() if outcome == "done")
    return {"seconds": output["seconds"], "mb": output["mb"], "done": done, "asked": instances}


def measure_emulated(
    fraction: float, seconds: float, faults: tuple[InjectedFault, ...] = ()
) -> dict[str, object]:
    return asdict(full_scale.run_site(full_scale.scaled_site(fraction, seconds, faults), 1))


# By name: the measurement, its sizes, and the sizes of its small form

Run = Callable[[float], Measurements | dict[str, object] | Awaitable[Measurements]]
RUNS: dict[str, tuple[Run, tuple[float, ...], tuple[float, ...]]] = {
    "choosing by servers": (lambda n: measure_choosing(round(n)), (75, 150, 300, 600), (20, 40)),
    "dispatcher by servers": (
        lambda n: measure_dispatcher(round(n), 0),
        (75, 150, 300, 600),
        (20,),
    ),
    "dispatcher by tenants": (
        lambda n: measure_dispatcher(SERVERS, round(n)),
        (500, 1_000, 2_000, 4_000),
        (),
    ),
    "list by dispatchers": (lambda n: measure_list(SERVERS, round(n)), (45, 90, 185, 370), (4,)),
    "list by servers": (lambda n: measure_list(round(n), 90), (75, 150, 300, 600), ()),
    "agent by instances": (lambda n: measure_agent(round(n)), (1, 2, 4, 8), (1,)),
    "order by instances": (lambda n: measure_reload(round(n), 0.0), (60, 120, 240, 370), (6,)),
    "order, a tenth silent": (lambda n: measure_reload(round(n), 0.1), (60, 120, 240, 370), ()),
    "configuration by hosts": (lambda n: measure_configuration(round(n)), (4, 8, 16, 31), (1,)),
    "real and hollow": (lambda n: measure_real_and_hollow(round(n)), (1, 2, 4, 6), ()),
    "emulated, part of the size": (
        lambda fraction: measure_emulated(fraction, 40.0 if fraction <= 0.25 else 20.0),
        (0.125, 0.25, 0.5, 1.0),
        (0.02,),
    ),
    "emulated, a zone cut off": (
        lambda fraction: measure_emulated(
            fraction, 40.0, (InjectedFault("cut", 20.0, 8.0, hall=full_scale.ZONES[0]),)
        ),
        (0.125, 0.25),
        (),
    ),
}


def use_small_settings() -> None:
    """Shorten the runs for tests: the figures mean little, but every check still runs."""
    global IDLE_S, CHANGES, OUTAGE_S, CHANGE_INTERVAL_S, SETTLE_S, SERVERS, DISPATCHERS
    SERVERS, DISPATCHERS = 60, 24
    IDLE_S, CHANGES, OUTAGE_S, CHANGE_INTERVAL_S, SETTLE_S = 0.3, 3, 0.5, 0.3, 0.3


def run_one(name: str, size: float) -> dict[str, object]:
    made = RUNS[name][0](size)
    found = asyncio.run(made) if asyncio.iscoroutine(made) else made
    return {"name": name, "size": size, **found}  # type: ignore[dict-item]


def run_in_subprocess(name: str, size: float) -> dict[str, object]:
    arguments = [sys.executable, __file__, "run", name, str(size)]
    run = subprocess.run(arguments, stdout=subprocess.PIPE, text=True, check=True, timeout=600)
    found: dict[str, object] = json.loads(run.stdout.strip().splitlines()[-1])
    print(json.dumps(found), file=sys.stderr, flush=True)
    return found


def main(arguments: list[str]) -> None:
    data_path = ROOT / capacity.DATA
    match arguments:
        case ["run", name, size]:
            print(json.dumps(run_one(name, float(size))))
            return
        case ["small", name, size]:
            use_small_settings()
            print(json.dumps(run_one(name, float(size))))
            return
        case ["page"]:
            pass
        case []:
            machine = (
                f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
            )
            runs = [
                run_in_subprocess(name, size)
                for name, (_, sizes, _) in RUNS.items()
                for size in sizes
            ]
            data_path.write_text(json.dumps({"machine": machine, "runs": runs}, indent=1) + "\n")
        case _:
            raise SystemExit(__doc__)
    (ROOT / capacity.PAGE).write_text(capacity.render_page(ROOT))


if __name__ == "__main__":
    main(sys.argv[1:])
