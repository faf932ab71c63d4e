"""A trial of several processes with links between them, and fault schedules drawn from seeds.

Two agents with two dispatchers each and the operators' tools run as processes; the store and the
links run in this process. Each tool reaches the store and each agent over links of its own. The
processes record what they do in their logs.
"""

import asyncio
import json
import os
import random
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpass.fleet import config as fleet_config
from onyxpass.fleet.controller import FleetController
from onyxpass.history_checkers import history
from onyxpass.history_checkers.history import HistoryLine
from onyxpass.logs import LOG_FILE_VARIABLE
from onyxpass.testbed.demo import wait_until_serving
from onyxpass.testbed.link import Link, Mode
from onyxpass.testbed.replicas import StandinFleet
from onyxpass.testbed.site import Host, Site
from onyxpass.testbed.store import RespStore, StoreFault

LIMITS = "out = 1\ncanaries = 0\npause_s = 0.4\nabort_after = 1\ndeadline_s = 20.0\n"
RESTART = "first_s = 0.05\ngrace_s = 5.0\npoll_s = 0.2\n"
STORE_TABLE = (
    '[store]\nurl = "redis://{address}/0"\nlease_s = 1.5\nlongest_s = 1.5\nwait_s = 60.0\n'
)
HOSTS = (("h1", "derby", ("d1", "d2")), ("h2", "derby", ("d3", "d4")))
ROLLOUT_COMMAND = ("fleet", "rollout", "run", "--method", "restart", "--json", "--fleet")
START_TIMEOUT_S = 60.0  # for all instances of a site to serve


class SiteNotServingError(Exception):
    """An instance of the site does not serve, so that no trial can be made."""


class ProcessTrial:
    """The agents of a site, a store, operators' tools, and the links between them."""

    def __init__(self, site: Site, store: RespStore, tools: str) -> None:
        self.site, self.store = site, store
        self.store_links = {name: Link(store.port) for name in tools}
        self.agent_links = {
            (name, host.name): Link(host.port) for name in tools for host in site.hosts
        }
        self.tools: dict[str, asyncio.subprocess.Process] = {}

    async def open(self) -> None:
        """Start the links, and write a fleet file with its own record folder for each tool."""
        fleet_file = (self.site.folder / "fleet.toml").read_text()
        for link in (*self.store_links.values(), *self.agent_links.values()):
            await link.start()
        for name, link in self.store_links.items():
            text = fleet_file.replace('state = "rollouts"', f'state = "rollouts-{name}"')
            text = text.replace("[limits]", f"{STORE_TABLE.format(address=link.address)}\n[limits]")
            for host in self.site.hosts:
                text = text.replace(
                    f"127.0.0.1:{host.port}", self.agent_links[name, host.name].address
                )
            (self.site.folder / f"fleet-{name}.toml").write_text(text)

    async def close(self) -> None:
        for process in self.tools.values():
            await self._kill(process)
        for link in (*self.store_links.values(), *self.agent_links.values()):
            await link.stop()

    @staticmethod
    async def _kill(process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.communicate()

    # Tools

    async def start(self, name: str) -> None:
        """Start a tool with a rollout that restarts all instances."""
        self.tools[name] = await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-m",
                "onyxpass",
                *ROLLOUT_COMMAND,
                str(self.site.folder / f"fleet-{name}.toml"),
            ),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, LOG_FILE_VARIABLE: str(self.site.folder / f"tool-{name}.log")},
        )

    async def tool_result(self, name: str) -> tuple[int, dict[str, Any], str]:
        """Return the exit code, the JSON report and the error output of a tool, once it has ended."""
        out, err = await self.tools[name].communicate()
        code = self.tools[name].returncode
        assert code is not None
        return code, json.loads(out) if out.strip() else {}, err.decode()

    # Histories

    def history_lines(self) -> list[HistoryLine]:
        return history.read(sorted(self.site.folder.glob("*.log")))

    def find_lines(self, what: str, source_prefix: str = "", **fields: Any) -> list[HistoryLine]:
        return [
            line
            for line in self.history_lines()
            if line.kind == what
            and line.source.startswith(source_prefix)
            and all(line[name] == value for name, value in fields.items())
        ]

    def check_history(self) -> None:
        """Raise AssertionError if the histories break a rule, or show no lease or no change."""
        lines = self.history_lines()
        found = history.breaches(lines)
        assert not found, "\n".join(found)
        assert [x for x in lines if x.kind == "begin"] and [x for x in lines if x.kind == "held"]


@asynccontextmanager
async def process_trial(folder: Path, tools: str = "ab") -> AsyncIterator[ProcessTrial]:
    fleet = await StandinFleet(1, 1).start()
    site = Site(folder, fleet, tuple(Host(*host) for host in HOSTS), LIMITS, RESTART)
    site.write_files()
    store = RespStore()
    await store.start()
    trial = ProcessTrial(site, store, tools)
    await trial.open()
    try:
        for host in site.hosts:
            await site.start(host)
        controller = FleetController(fleet_config.load(folder / "fleet.toml"))
        report = await wait_until_serving(controller, START_TIMEOUT_S)
        if not all(view.serving for view in report.views.values()):
            raise SiteNotServingError(f"{report.views}; ports {site.ports}")
        yield trial
    finally:
        await trial.close()
        await site.stop()
        for server in (store, fleet):
            await server.stop()


# Schedules


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault of a kind that affects a target from ``start_s`` on.

    It lasts ``duration_s`` unless it is momentary, such as a kill, a reset or a restarted store.
    """

    start_s: float
    kind: str
    target: str
    duration_s: float

    def describe(self) -> str:
        return f"{self.start_s:.2f} s: {self.kind} {self.target} for {self.duration_s:.2f} s"


# The targets of each kind of fault: tools, numbers of hosts, or ``-`` for the only store.
FAULT_TARGETS = {
    "tool stopped": "ab",
    "tool killed": "ab",
    "tool cut off from the store": "ab",
    "tool hears nothing of the store": "ab",
    "tool's connections reset": "ab",
    "tool cut off from an agent": "ab",
    "store paused": "-",
    "store slow": "-",
    "store empty": "-",
    "store older": "-",
    "answers lost": "-",
    "agent stopped": "12",
    "agent killed": "12",
    "agent told to end": "12",
}


def draw_schedule(seed: int, count: int = 6, window_s: float = 6.0) -> list[ScheduledFault]:
    """Draw a schedule; the same seed always gives the same one."""
    generator = random.Random(seed)
    schedule = []
    for _ in range(count):
        kind = generator.choice(sorted(FAULT_TARGETS))
        schedule.append(
            ScheduledFault(
                generator.uniform(0.3, window_s),
                kind,
                generator.choice(FAULT_TARGETS[kind]),
                generator.uniform(0.1, 2.5),
            )
        )
    return sorted(schedule, key=lambda fault: fault.start_s)


class ScheduleRun:
    """Injects the faults of a schedule while two tools repeat rollouts without a pause.

    A third tool's rollout must succeed after the last fault has ended.
    """

    def __init__(self, trial: ProcessTrial, schedule: list[ScheduledFault]) -> None:
        self.trial, self.schedule = trial, schedule
        self.older_snapshot = trial.store.snapshot()

    async def run(self) -> None:
        stopping = asyncio.Event()
        rollouts = [asyncio.create_task(self._repeat_rollouts(name, stopping)) for name in "ab"]
        await asyncio.gather(*(self._inject(fault) for fault in self.schedule))
        stopping.set()
        await asyncio.gather(*rollouts)
        await self.trial.start("z")
        code, report, err = await self.trial.tool_result("z")
        counts = report.get("counts", {})
        assert code == 0 and counts.get("done") == 4, (
            f"the last rollout ended with {code}: {counts} {err}"
        )
        self.trial.check_history()

    async def _repeat_rollouts(self, name: str, stopping: asyncio.Event) -> None:
        while not stopping.is_set():
            await self.trial.start(name)
            with suppress(ValueError):  # a tool that was killed may have written half a report
                await self.trial.tool_result(name)

    def _signal(self, name: str, number: int) -> None:
        process = self.trial.tools.get(name)
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(number)

    async def _inject(self, fault: ScheduledFault) -> None:
        await asyncio.sleep(fault.start_s)
        trial, target, store = self.trial, fault.target, self.trial.store
        link = trial.store_links.get(target)
        match fault.kind:
            case "tool stopped":
                self._signal(target, signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                self._signal(target, signal.SIGCONT)
            case "tool killed":
                self._signal(target, signal.SIGKILL)
            case "tool cut off from the store" if link is not None:
                link.cut()
                await asyncio.sleep(fault.duration_s)
                link.restore()
            case "tool hears nothing of the store" if link is not None:
                link.to_client.set_mode(Mode.STALL)
                await asyncio.sleep(fault.duration_s)
                link.to_client.set_mode(Mode.PASS)
            case "tool's connections reset" if link is not None:
                link.reset()
            case "tool cut off from an agent":
                agent_link = trial.agent_links[target, "h1"]
                agent_link.cut()
                await asyncio.sleep(fault.duration_s)
                agent_link.restore()
            case "store paused":
                store.running.clear()
                await asyncio.sleep(fault.duration_s)
                store.running.set()
            case "store slow":
                store.answer_delay_s = 0.05
                await asyncio.sleep(fault.duration_s)
                store.answer_delay_s = 0.0
            case "store empty":
                await store.restart()
            case "store older":
                await store.restart(self.older_snapshot)
            case "answers lost":
                store.faults = [StoreFault.LOST, StoreFault.REFUSED, StoreFault.LOST]
            case "agent stopped" | "agent killed" | "agent told to end":
                await self._inject_into_agent(fault)

    async def _inject_into_agent(self, fault: ScheduledFault) -> None:
        host = next(host for host in self.trial.site.hosts if host.name == f"h{fault.target}")
        process = host.process
        if process is None or process.returncode is not None:
            return
        if fault.kind == "agent stopped":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            return
        if fault.kind == "agent killed":
            process.kill()
        else:  # perhaps during an order
            process.terminate()
        await process.wait()
        await self.trial.site.start(host)


async def run_schedule(folder: Path, seed: int) -> list[ScheduledFault]:
    """Run the schedule of a seed and return it.

    Raises AssertionError if a history breaks a rule or the last rollout fails.
    """
    schedule = draw_schedule(seed)
    async with process_trial(folder, "abz") as trial:
        await ScheduleRun(trial, schedule).run()
    return schedule
