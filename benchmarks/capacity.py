"""Measures what each role costs by size: `make bench-capacity`; writes its data and
docs/CAPACITY.md.

Each run is a process of its own. Sizes that are not varied stay at those of BASE. Bytes are counted
at the loopback device, headers and acknowledgements included; nothing else may use it meanwhile.

    python benchmarks/capacity.py            # all runs, the data and the page; some minutes
    python benchmarks/capacity.py page       # the page anew from the committed data
    python benchmarks/capacity.py run NAME SIZE     # one run, as JSON
    python benchmarks/capacity.py small NAME SIZE   # the same with short rests and few changes
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

from parties import Found, ListServer, cpu_s, loopback_bytes, memory_mb, resting, until

from onyxpass.agent.credentials import make_key
from onyxpass.config import settings as platform_settings
from onyxpass.config.platform_file import Address
from onyxpass.emulator import capacity, full_scale
from onyxpass.emulator.decision_cost import measure_choosing
from onyxpass.emulator.topology import Trouble
from onyxpass.history_checkers.configuration import propagation_times_s
from onyxpass.hollow.dispatchers import HollowFleet
from onyxpass.testbed.configuration import Trial
from onyxpass.testbed.settings import SETTINGS
from onyxpass.testbed.site import free_port

ROOT = Path(__file__).parent.parent
SERVERS, DISPATCHERS = 600, 370
IDLE_S, CHANGES = 6.0, 20
SETTLE_S = 5.0  # after starts, till first checks and pulls are over
PACE_S = 0.5  # between changes one by one
OUTAGE_S = 12.0  # an hour that a region is cut off, shortened
RATE = 8.0  # requests a second for a dispatcher
SERVE = (sys.executable, "-m", "onyxpass", "serve")  # as the platform starts it


# Hollow dispatchers on the list


async def watched(servers: int, dispatchers: int) -> Found:
    """Hollow dispatchers in this process watch the list: start, rest, changes, a restart of its
    server.
    """
    server = ListServer(servers)
    try:
        settings = platform_settings.read_settings({**SETTINGS, "peersTotal": dispatchers})
        before = loopback_bytes()
        fleet = HollowFleet(settings, Address("127.0.0.1", server.port), dispatchers)
        fleet.start()
        start_s = await until(lambda: fleet.at_least(1) == dispatchers)
        await asyncio.sleep(0.5)
        start_bytes = loopback_bytes() - before
        rest = await resting(server.process.pid, IDLE_S)
        times, before, cpu = [], loopback_bytes(), cpu_s(server.process.pid)
        for _ in range(CHANGES):
            wanted = server.order("change")
            times.append(await until(lambda: fleet.at_least(wanted) == dispatchers))  # noqa: B023
        changes_bytes, changes_cpu = loopback_bytes() - before, cpu_s(server.process.pid) - cpu
        before = loopback_bytes()
        wanted = server.order("restart")
        again_s = await until(lambda: fleet.at_least(wanted) == dispatchers)
        await asyncio.sleep(0.5)
        again_bytes = loopback_bytes() - before
        fleet.stop()
        return {
            "start_s": start_s,
            "start_kb_each": start_bytes / dispatchers / 1e3,
            "rest_bytes_a_s_each": rest["bytes_a_s"] / dispatchers,
            "rest_cpu_ms_a_s": rest["cpu_ms_a_s"],
            "change_s": max(times),
            "change_bytes_each": changes_bytes / CHANGES / dispatchers,
            "change_cpu_ms": changes_cpu / CHANGES * 1e3,
            "restart_s": again_s,
            "restart_kb_each": again_bytes / dispatchers / 1e3,
            "server_mb": memory_mb(server.process.pid),
            "hollow_mb": memory_mb(os.getpid()),
        }
    finally:
        server.end()


# A real dispatcher, and a real agent with real dispatchers


def dispatcher_file(folder: Path, name: str, discovery: str, tenants: int, listen: str) -> Path:
    path = folder / f"{name}.json"
    accounts = [{"name": f"t{n}", "quotaPerS": 1.0} for n in range(tenants)]
    told = {**SETTINGS, "peersTotal": DISPATCHERS, "accounts": accounts}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    whole_file = {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "5eed",
        "limits": limits,
    }
    path.write_text(json.dumps({**whole_file, "known": {}, "settings": told}))
    return path


def environment(config: Path) -> dict[str, str]:
    kept = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
    return {**kept, "ROUTER_CONFIG": str(config), "TMPDIR": str(config.parent)}


async def dispatcher(servers: int, tenants: int) -> Found:
    """Start, rest, changes of the list, at one real process."""
    server = ListServer(servers)
    with tempfile.TemporaryDirectory(prefix="onyxpass-capacity-") as folder:
        path = dispatcher_file(
            Path(folder), "n0", f"127.0.0.1:{server.port}", tenants, "127.0.0.1:0"
        )
        process = await asyncio.create_subprocess_exec(
            *SERVE, stdout=subprocess.PIPE, env=environment(path)
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
            await until(lambda: len(versions) > 1)
            await asyncio.sleep(1.0)
            start_cpu_s = cpu_s(process.pid)
            rest = await resting(process.pid, IDLE_S)
            cpu = cpu_s(process.pid)
            for _ in range(CHANGES):
                wanted = server.order("change")
                await until(lambda: versions[-1] >= wanted)  # noqa: B023
            changes_cpu = cpu_s(process.pid) - cpu
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
            server.end()
        await following
        return found


async def agent(instances: int) -> Found:
    """A real agent at rest over real dispatchers."""
    server = ListServer(SERVERS)
    with tempfile.TemporaryDirectory(prefix="onyxpass-capacity-") as name:
        folder = Path(name)
        make_key(folder / "key")
        rows = ""
        for number in range(instances):
            listen = f"127.0.0.1:{free_port()}"
            dispatcher_file(folder, f"n{number}", f"127.0.0.1:{server.port}", 0, listen)
            rows += (
                f'[[instances]]\nname = "n{number}"\nkind = "serve"\nconfig = "n{number}.json"\n'
            )
            rows += f'check = "{listen}"\n'
        head = f'name = "h0"\nstate = "state"\nlisten = "127.0.0.1:{free_port()}"\nkey = "key"\n'
        (folder / "agent.toml").write_text(head + rows)
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
            await until(lambda: len(children.read_text().split()) >= instances)
            await asyncio.sleep(SETTLE_S)
            rest = await resting(process.pid, IDLE_S)
            return {"cpu_ms_a_s": rest["cpu_ms_a_s"], "mb": memory_mb(process.pid)}
        finally:
            process.terminate()
            await process.wait()
            server.end()


async def together(agents: int) -> Found:
    """Real dispatchers, six under each real agent's place, beside hollow ones up to the whole
    number.
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
                    *SERVE, stdout=subprocess.PIPE, env=environment(path)
                )
                processes.append(process)
                asyncio.create_task(follow(process, logs[number]))  # noqa: RUF006
            fleet.start()

            def have(wanted: int) -> bool:
                real = all(log[-1] >= wanted for log in logs)
                return real and fleet.at_least(wanted) == DISPATCHERS - count

            start_s = await until(lambda: have(1))
            await asyncio.sleep(1.0)
            times = []
            for _ in range(CHANGES):
                wanted = server.order("change")
                times.append(await until(lambda: have(wanted)))  # noqa: B023
            wanted = server.order("restart")
            again_s = await until(lambda: have(wanted))
            mb = sum(memory_mb(process.pid) for process in processes) / count
            return {
                "real": count,
                "start_s": start_s,
                "change_s": max(times),
                "restart_s": again_s,
                "mb": mb,
            }
        finally:
            for process in processes:
                process.terminate()
            await asyncio.gather(*(process.wait() for process in processes))
            fleet.stop()
            server.end()


async def configured(hosts: int) -> Found:
    """Real nodes, so many hosts in each of two regions and three control nodes: orders till in
    force at all.

    Then a tenth of the hosts are down while there are changes, and one region is cut off for
    OUTAGE_S.
    """
    full_scale.check_processes(2 * (hosts + 4))
    with tempfile.TemporaryDirectory(prefix="onyxpass-capacity-") as name:
        async with Trial(Path(name), controls=3, hosts=hosts) as t:
            names = t.host_names
            await t.order("north-c0", start=1)
            await t.in_force(names, lambda values: values.get("start") == 1)
            await asyncio.sleep(SETTLE_S)
            before, across = loopback_bytes(), t.bytes_across
            await asyncio.sleep(IDLE_S)
            rest = (loopback_bytes() - before) / IDLE_S
            rest_across = (t.bytes_across - across) / IDLE_S
            before, began_ns = loopback_bytes(), time.monotonic_ns()
            for number in range(CHANGES):
                await t.order(f"{'north' if number % 2 else 'south'}-c{number % 3}", paced=number)
                await asyncio.sleep(PACE_S)
            paced_s, ended_ns = (time.monotonic_ns() - began_ns) / 1e9, time.monotonic_ns()
            paced_bytes = loopback_bytes() - before - rest * paced_s
            for number in range(CHANGES):
                await t.order("north-c1", burst=number)
            await t.in_force(names, lambda values: values.get("burst") == CHANGES - 1)
            away = names[:: max(1, len(names) // max(1, len(names) // 10))][
                : max(1, len(names) // 10)
            ]
            for host in away:
                await t.kill(host)
            await t.order("south-c0", away=1)
            await t.in_force(
                [n for n in names if n not in away], lambda values: values.get("away") == 1
            )
            began_s = time.monotonic()
            for host in away:
                await t.start(host)
            await t.in_force(names, lambda values: values.get("away") == 1)
            back_s = time.monotonic() - began_s
            t.cut()
            await t.order("north-c0", split=1)
            await t.order("south-c0", other=1)
            await asyncio.sleep(OUTAGE_S)
            t.mend()
            began_s = time.monotonic()
            await t.in_force(
                names, lambda values: values.get("split") == 1 and values.get("other") == 1
            )
            mended_s = time.monotonic() - began_s
            mb = memory_mb(t.process_of(names[0]))
            words = t.words()
            times = sorted(propagation_times_s(words, names))
            paced = propagation_times_s(
                [word for word in words if began_ns <= word.at_ns <= ended_ns], names
            )
            return {
                "hosts": len(names),
                "orders": len(times),
                "paced_median_s": sorted(paced)[len(paced) // 2],
                "paced_most_s": max(paced),
                "paced_orders": len(paced),
                "most_s": times[-1],
                "rest_bytes_a_s": rest,
                "rest_bytes_a_s_across": rest_across,
                "change_bytes": paced_bytes / CHANGES,
                "back_s": back_s,
                "mended_s": mended_s,
                "node_mb": mb,
                "breaches": len(t.breaches()),
            }


def choosing(servers: int) -> Found:
    found = measure_choosing(servers, DISPATCHERS, RATE, 30.0, 1)
    return {"us_a_request": found.us_a_request, "requests": found.requests}


def ordered(instances: int, silent: float) -> Found:
    """One reload of all by the operators' tool, over stand-in agents."""
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
    told = json.loads(run.stdout)
    done = sum(count for outcome, count in told["counts"].items() if outcome == "done")
    return {"seconds": told["seconds"], "mb": told["mb"], "done": done, "asked": instances}


def emulated(part: float, seconds: float, troubles: tuple[Trouble, ...] = ()) -> dict[str, object]:
    return asdict(full_scale.play(full_scale.site_of(part, seconds, troubles), 1))


# Which runs there are: a name, a size, and whether the small form has it

Run = Callable[[float], Found | dict[str, object] | Awaitable[Found]]
RUNS: dict[str, tuple[Run, tuple[float, ...], tuple[float, ...]]] = {
    "choosing by servers": (lambda n: choosing(round(n)), (75, 150, 300, 600), (20, 40)),
    "dispatcher by servers": (lambda n: dispatcher(round(n), 0), (75, 150, 300, 600), (20,)),
    "dispatcher by tenants": (
        lambda n: dispatcher(SERVERS, round(n)),
        (500, 1_000, 2_000, 4_000),
        (),
    ),
    "list by dispatchers": (lambda n: watched(SERVERS, round(n)), (45, 90, 185, 370), (4,)),
    "list by servers": (lambda n: watched(round(n), 90), (75, 150, 300, 600), ()),
    "agent by instances": (lambda n: agent(round(n)), (1, 2, 4, 8), (1,)),
    "order by instances": (lambda n: ordered(round(n), 0.0), (60, 120, 240, 370), (6,)),
    "order, a tenth silent": (lambda n: ordered(round(n), 0.1), (60, 120, 240, 370), ()),
    "configuration by hosts": (lambda n: configured(round(n)), (4, 8, 16, 31), (1,)),
    "real and hollow": (lambda n: together(round(n)), (1, 2, 4, 6), ()),
    "emulated, part of the size": (
        lambda part: emulated(part, 40.0 if part <= 0.25 else 20.0),
        (0.125, 0.25, 0.5, 1.0),
        (0.02,),
    ),
    "emulated, a zone cut off": (
        lambda part: emulated(part, 40.0, (Trouble("cut", 20.0, 8.0, hall=full_scale.ZONES[0]),)),
        (0.125, 0.25),
        (),
    ),
}


def shorten() -> None:
    """For tests: what is measured says little then, and all that is checked is checked."""
    global IDLE_S, CHANGES, OUTAGE_S, PACE_S, SETTLE_S, SERVERS, DISPATCHERS
    SERVERS, DISPATCHERS = 60, 24
    IDLE_S, CHANGES, OUTAGE_S, PACE_S, SETTLE_S = 0.3, 3, 0.5, 0.3, 0.3


def run_one(name: str, size: float) -> dict[str, object]:
    made = RUNS[name][0](size)
    found = asyncio.run(made) if asyncio.iscoroutine(made) else made
    return {"name": name, "size": size, **found}  # type: ignore[dict-item]


def in_a_process(name: str, size: float) -> dict[str, object]:
    words = [sys.executable, __file__, "run", name, str(size)]
    run = subprocess.run(words, stdout=subprocess.PIPE, text=True, check=True, timeout=600)
    found: dict[str, object] = json.loads(run.stdout.strip().splitlines()[-1])
    print(json.dumps(found), file=sys.stderr, flush=True)
    return found


def main(words: list[str]) -> None:
    data_path = ROOT / capacity.DATA
    match words:
        case ["run", name, size]:
            print(json.dumps(run_one(name, float(size))))
            return
        case ["small", name, size]:
            shorten()
            print(json.dumps(run_one(name, float(size))))
            return
        case ["page"]:
            pass
        case []:
            machine = (
                f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
            )
            runs = [
                in_a_process(name, size) for name, (_, sizes, _) in RUNS.items() for size in sizes
            ]
            data_path.write_text(json.dumps({"machine": machine, "runs": runs}, indent=1) + "\n")
        case _:
            raise SystemExit(__doc__)
    (ROOT / capacity.PAGE).write_text(capacity.page(ROOT))


if __name__ == "__main__":
    main(sys.argv[1:])
