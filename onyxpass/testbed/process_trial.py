"""Several processes of the program with links between them, and schedules of faults drawn from
seeds.

Two agents with two dispatchers each and operators' tools, all as processes; a store and every link
in this one. Each tool reaches the store and each agent over links of its own. What all did stands
in their logs.
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
from onyxpass.testbed.demo import ready
from onyxpass.testbed.link import Link, Mode
from onyxpass.testbed.replicas import StandinFleet
from onyxpass.testbed.site import Host, Site
from onyxpass.testbed.store import Fault, RespStore

LIMITS = "out = 1\ncanaries = 0\npause_s = 0.4\nabort_after = 1\ndeadline_s = 20.0\n"
RESTART = "first_s = 0.05\ngrace_s = 5.0\npoll_s = 0.2\n"
STORE = '[store]\nurl = "redis://{address}/0"\nlease_s = 1.5\nlongest_s = 1.5\nwait_s = 60.0\n'
HOSTS = (("h1", "derby", ("d1", "d2")), ("h2", "derby", ("d3", "d4")))
WORDS = ("fleet", "rollout", "run", "--method", "restart", "--json", "--fleet")


class Together:
    def __init__(self, site: Site, store: RespStore, tools: str) -> None:
        self.site, self.store = site, store
        self.links = {name: Link(store.port) for name in tools}  # to the store
        self.ways = {(name, host.name): Link(host.port) for name in tools for host in site.hosts}
        self.tools: dict[str, asyncio.subprocess.Process] = {}

    async def open(self) -> None:
        """Each operator has a file and a folder of records of its own."""
        plain = (self.site.folder / "fleet.toml").read_text()
        for link in (*self.links.values(), *self.ways.values()):
            await link.start()
        for name, link in self.links.items():
            text = plain.replace('state = "rollouts"', f'state = "rollouts-{name}"')
            text = text.replace("[limits]", f"{STORE.format(address=link.address)}\n[limits]")
            for host in self.site.hosts:
                text = text.replace(f"127.0.0.1:{host.port}", self.ways[name, host.name].address)
            (self.site.folder / f"fleet-{name}.toml").write_text(text)

    async def close(self) -> None:
        for process in self.tools.values():
            await self.end(process)
        for link in (*self.links.values(), *self.ways.values()):
            await link.stop()

    @staticmethod
    async def end(process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.communicate()

    # Tools

    async def start(self, name: str) -> None:
        """A rollout that restarts all, by a tool of its own."""
        self.tools[name] = await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-m",
                "onyxpass",
                *WORDS,
                str(self.site.folder / f"fleet-{name}.toml"),
            ),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, LOG_FILE_VARIABLE: str(self.site.folder / f"tool-{name}.log")},
        )

    async def ended(self, name: str) -> tuple[int, dict[str, Any], str]:
        out, err = await self.tools[name].communicate()
        code = self.tools[name].returncode
        assert code is not None
        return code, json.loads(out) if out.strip() else {}, err.decode()

    # Histories

    def lines(self) -> list[HistoryLine]:
        return history.read(sorted(self.site.folder.glob("*.log")))

    def seen(self, what: str, of: str = "", **fields: Any) -> list[HistoryLine]:
        return [
            line
            for line in self.lines()
            if line.kind == what
            and line.source.startswith(of)
            and all(line[name] == value for name, value in fields.items())
        ]

    def sound(self) -> None:
        lines = self.lines()
        found = history.breaches(lines)
        assert not found, "\n".join(found)
        assert [x for x in lines if x.kind == "begin"] and [x for x in lines if x.kind == "held"]


@asynccontextmanager
async def together(folder: Path, tools: str = "ab") -> AsyncIterator[Together]:
    fleet = await StandinFleet(1, 1).start()
    site = Site(folder, fleet, tuple(Host(*host) for host in HOSTS), LIMITS, RESTART)
    site.write()
    store = RespStore()
    await store.start()
    found = Together(site, store, tools)
    await found.open()
    try:
        for host in site.hosts:
            await site.start(host)
        await ready(FleetController(fleet_config.load(folder / "fleet.toml")), 60.0)
        yield found
    finally:
        await found.close()
        await site.stop()
        for server in (store, fleet):
            await server.stop()


# Schedules


@dataclass(frozen=True, slots=True)
class Strike:
    """``what`` happens to ``whom`` at ``at_s`` and is mended ``for_s`` later."""

    at_s: float
    what: str
    whom: str
    for_s: float

    def told(self) -> str:
        return f"{self.at_s:.2f} s: {self.what} {self.whom} for {self.for_s:.2f} s"


KINDS = {  # and whom it may strike
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
}


def drawn(seed: int, strikes: int = 6, over_s: float = 6.0) -> list[Strike]:
    """The same schedule for the same seed."""
    draw = random.Random(seed)
    made = []
    for _ in range(strikes):
        what = draw.choice(sorted(KINDS))
        made.append(
            Strike(
                draw.uniform(0.3, over_s), what, draw.choice(KINDS[what]), draw.uniform(0.1, 2.5)
            )
        )
    return sorted(made, key=lambda strike: strike.at_s)


class Play:
    """Carries a schedule out while two tools never stop trying; then, all mended, a third has to
    succeed.
    """

    def __init__(self, trial: Together, schedule: list[Strike]) -> None:
        self.trial, self.schedule = trial, schedule
        self.older = trial.store.snapshot()

    async def run(self) -> None:
        over = asyncio.Event()
        trying = [asyncio.create_task(self._tries(name, over)) for name in "ab"]
        await asyncio.gather(*(self._strike(strike) for strike in self.schedule))
        over.set()
        await asyncio.gather(*trying)
        await self.trial.start("z")
        code, report, err = await self.trial.ended("z")
        counts = report.get("counts", {})
        assert code == 0 and counts.get("done") == 4, (
            f"the last rollout ended with {code}: {counts} {err}"
        )
        self.trial.sound()

    async def _tries(self, name: str, over: asyncio.Event) -> None:
        while not over.is_set():
            await self.trial.start(name)
            with suppress(ValueError):  # one that was killed may have written half
                await self.trial.ended(name)

    def _signal(self, name: str, number: int) -> None:
        process = self.trial.tools.get(name)
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(number)

    async def _strike(self, strike: Strike) -> None:
        await asyncio.sleep(strike.at_s)
        trial, whom, store = self.trial, strike.whom, self.trial.store
        link = trial.links.get(whom)
        match strike.what:
            case "tool stopped":
                self._signal(whom, signal.SIGSTOP)
                await asyncio.sleep(strike.for_s)
                self._signal(whom, signal.SIGCONT)
            case "tool killed":
                self._signal(whom, signal.SIGKILL)
            case "tool cut off from the store" if link is not None:
                link.cut()
                await asyncio.sleep(strike.for_s)
                link.mend()
            case "tool hears nothing of the store" if link is not None:
                link.back.set(Mode.STALL)
                await asyncio.sleep(strike.for_s)
                link.back.set(Mode.PASS)
            case "tool's connections reset" if link is not None:
                link.reset()
            case "tool cut off from an agent":
                way = trial.ways[whom, "h1"]
                way.cut()
                await asyncio.sleep(strike.for_s)
                way.mend()
            case "store paused":
                store.going.clear()
                await asyncio.sleep(strike.for_s)
                store.going.set()
            case "store slow":
                store.slow_s = 0.05
                await asyncio.sleep(strike.for_s)
                store.slow_s = 0.0
            case "store empty":
                await store.restart()
            case "store older":
                await store.restart(self.older)
            case "answers lost":
                store.faults = [Fault.LOST, Fault.REFUSED, Fault.LOST]
            case "agent stopped" | "agent killed":
                await self._agent(strike)

    async def _agent(self, strike: Strike) -> None:
        host = next(host for host in self.trial.site.hosts if host.name == f"h{strike.whom}")
        process = host.process
        if process is None or process.returncode is not None:
            return
        if strike.what == "agent stopped":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(strike.for_s)
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
        else:
            process.kill()
            await process.wait()
            await self.trial.site.start(host)


async def play(folder: Path, seed: int) -> list[Strike]:
    """One schedule to its end; AssertionError where a checker or the last rollout finds a fault."""
    schedule = drawn(seed)
    async with together(folder, "abz") as trial:
        await Play(trial, schedule).run()
    return schedule
