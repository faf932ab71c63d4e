"""Several processes of the program, faults between them, and their histories checked after the fact."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from standins import RespStore, until
from test_fleet import RESTART, run

from onyxpass.fleet import config as fleet_config
from onyxpass.fleet.leases import Leases
from onyxpass.fleet.rollout import Method
from onyxpass.fleet.runner import Order
from onyxpass.fleet.tool import Tool
from onyxpass.logs import HISTORY
from onyxpass.rules import history
from onyxpass.rules.history import Line
from onyxpass.standin.demo import ready
from onyxpass.standin.link import Link
from onyxpass.standin.replicas import StandinFleet
from onyxpass.standin.site import Host, Site

LIMITS = "out = 1\ncanaries = 0\npause_s = 0.4\nabort_after = 1\ndeadline_s = 20.0\n"
STORE = '[store]\nurl = "redis://{address}/0"\nlease_s = 1.5\nlongest_s = 1.5\nwait_s = 60.0\n'


class Trial:
    """Two agents with two dispatchers each, a store, and a link to it for each of two operators' tools."""

    def __init__(self, site: Site, store: RespStore, links: dict[str, Link]) -> None:
        self.site, self.store, self.links = site, store, links
        self.tools: dict[str, asyncio.subprocess.Process] = {}
        plain = (site.folder / "fleet.toml").read_text()
        for name, link in links.items():  # each operator has a folder of records of its own
            text = plain.replace('state = "rollouts"', f'state = "rollouts-{name}"')
            store_table = STORE.format(address=link.address)
            (site.folder / f"fleet-{name}.toml").write_text(
                text.replace("[limits]", f"{store_table}\n[limits]")
            )

    def log(self, name: str) -> Path:
        return self.site.folder / f"tool-{name}.log"

    def lines(self) -> list[Line]:
        return history.read(sorted(self.site.folder.glob("*.log")))

    def seen(self, what: str, of: str = "", **fields: Any) -> list[Line]:
        return [
            line
            for line in self.lines()
            if line.what == what
            and line.source.startswith(of)
            and all(line[name] == value for name, value in fields.items())
        ]

    async def start(self, name: str) -> None:
        """A rollout that restarts all, by a tool of its own."""
        words = ("fleet", "rollout", "run", "--method", "restart", "--json", "--fleet")
        self.tools[name] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "onyxpass", *words, str(self.site.folder / f"fleet-{name}.toml")),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, HISTORY: str(self.log(name))},
        )

    async def ended(self, name: str) -> tuple[int, dict[str, Any], str]:
        out, err = await self.tools[name].communicate()
        code = self.tools[name].returncode
        assert code is not None
        return code, json.loads(out) if out.strip() else {}, err.decode()

    def sound(self) -> None:
        lines = self.lines()
        assert not (found := history.breaches(lines)), "\n".join(found)
        assert [x for x in lines if x.what == "begin"] and [x for x in lines if x.what == "held"]


@asynccontextmanager
async def together(folder: Path, tools: str = "ab") -> AsyncIterator[Trial]:
    fleet = await StandinFleet(1, 1).start()
    hosts = (Host("h1", "derby", ("d1", "d2")), Host("h2", "derby", ("d3", "d4")))
    site = Site(folder, fleet, hosts, LIMITS, RESTART)
    site.write()
    store = await RespStore().start()
    assert isinstance(store, RespStore)
    links = {name: Link(store.port) for name in tools}
    for link in links.values():
        await link.start()
    found = Trial(site, store, links)
    try:
        for host in hosts:
            await site.start(host)
        await ready(Tool(fleet_config.load(folder / "fleet.toml")), 60.0)
        yield found
    finally:
        for process in found.tools.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await site.stop()
        for server in (*links.values(), store, fleet):
            await server.stop()


def changed(lines: list[Line], holder: str) -> int:
    return sum(line.what == "begin" and str(line["holder"]) == holder for line in lines)


def test_a_tool_that_was_stopped_and_wakes_changes_nothing(tmp_path: Path) -> None:
    async def go() -> None:
        async with together(tmp_path) as t:
            await t.start("a")
            await until(lambda: t.seen("begin"), 60)
            await t.start("b")
            await until(lambda: t.seen("ask", "tool-b"), 60)
            t.tools["a"].send_signal(signal.SIGSTOP)
            await until(lambda: t.seen("held", "tool-b"), 60)
            t.tools["a"].send_signal(signal.SIGCONT)
            (code, report, err), (code_a, report_a, _) = await asyncio.gather(t.ended("b"), t.ended("a"))
            assert code == 0 and report["counts"]["done"] == 4, (report, err)
            assert code_a == 1 and report_a["counts"]["not tried"] >= 1, report_a
            first, second = (str(line["holder"]) for line in t.seen("held"))
            lines = t.lines()
            late = next(i for i, line in enumerate(lines) if line.what == "held" and line["holder"] == second)
            assert changed(lines, first) >= 1 and changed(lines[late:], first) == 0
            t.sound()

    run(go)


@pytest.mark.parametrize("fault", ["cut", "killed", "store paused", "store empty", "store older"])
def test_faults_between_two_tools_agents_and_the_store(tmp_path: Path, fault: str) -> None:
    """Whatever fails under the first rollout, the second has its turn after it and never beside it."""

    async def strike(t: Trial, older: dict[str, str]) -> None:
        match fault:
            case "cut":
                t.links["a"].cut()
            case "killed":
                t.tools["a"].kill()
            case "store paused":
                t.store.going.clear()
                await until(lambda: t.seen("lost", "tool-a"), 60)
                t.store.going.set()
            case "store empty":
                await t.store.restart()
            case "store older":
                await t.store.restart(older)

    async def go() -> None:
        async with together(tmp_path) as t:
            older = t.store.snapshot()
            await t.start("a")
            await until(lambda: t.seen("begin"), 60)
            await strike(t, older)
            await t.start("b")
            code_a, _, _ = await t.ended("a")
            assert code_a != 0, "it could not go on to its end"
            code, report, err = await t.ended("b")
            assert code == 0 and report["counts"]["done"] == 4, (report, err)
            t.sound()

    run(go)


def test_an_agent_refuses_a_tool_that_does_not_know_that_its_lease_is_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Planted: the tool's own time is not looked at, so only the resource stands between two holders."""
    believed: dict[str, Any] = {}
    truth: Callable[..., Any] = Leases.shown

    def believes(self: Leases, agent: Any) -> Any:
        believed.setdefault(agent.hall, truth(self, agent))
        return believed[agent.hall]

    async def go() -> None:
        monkeypatch.setattr(Leases, "shown", believes)
        monkeypatch.setattr("onyxpass.fleet.runner.Runner.abort", lambda self, reason: None)
        async with together(tmp_path) as t:
            tool = Tool(fleet_config.load(tmp_path / "fleet-a.toml"))
            members = tool.fleet.members
            rollout = asyncio.create_task(tool.run(members, Order(Method.RESTART, 20.0)))
            await until(lambda: t.seen("begin"), 60)
            t.links["a"].cut()
            await t.start("b")
            await until(lambda: t.seen("held", "tool-b"), 60)
            _, report = await rollout
            assert report.tally.counts()["failed"] >= 1, report.told()
            assert t.seen("refused", "agent-"), "the agent had to refuse it"
            code, told, _ = await t.ended("b")
            assert code in (0, 1) and told
            agents = [line for line in t.lines() if line.source.startswith("agent-")]
            assert not history.breaches(agents, ["effects apart", "tokens grow"])

    run(go)
