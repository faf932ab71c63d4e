"""A trial of the desired configuration: real nodes in two regions, links between them that can
be cut.
"""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from onyxpass.agent.credentials import make_key, read_key
from onyxpass.config.platform_file import Address
from onyxpass.history_checkers import configuration as rules
from onyxpass.net.http_client import (
    ApiResponse,
    RequestNotSentError,
    ResponseLostError,
    call_api,
    tcp_opener,
)
from onyxpass.testbed.link import Link
from onyxpass.testbed.settings import SETTINGS
from onyxpass.testbed.site import free_port

REGIONS = ("north", "south")


@dataclass(slots=True)
class Member:
    """One node: its file, its port and its process, if it runs."""

    name: str
    file: Path
    port: int
    process: asyncio.subprocess.Process | None = None


@dataclass(slots=True)
class Trial:
    """``controls`` and ``hosts``: in each region. A relay follows its region, then the other
    one.
    """

    folder: Path
    controls: int = 1
    hosts: int = 2
    members: dict[str, Member] = field(default_factory=dict)
    links: list[Link] = field(default_factory=list)  # all that crosses from one region to the other
    agents: list[Member] = field(default_factory=list)
    key: str = ""

    async def __aenter__(self) -> "Trial":
        make_key(self.folder / "key")
        self.key = read_key(self.folder / "key")
        ports = {f"{r}-c{n}": free_port() for r in REGIONS for n in range(self.controls)}
        ports |= {f"{r}-relay": free_port() for r in REGIONS}
        for region in REGIONS:
            other = REGIONS[1 - REGIONS.index(region)]
            far = [await self._across(ports[f"{other}-c{n}"]) for n in range(self.controls)]
            near = [ports[f"{region}-c{n}"] for n in range(self.controls)]
            for n, port in enumerate(near):
                self.write(f"{region}-c{n}", "control", port, [p for p in near if p != port] + far)
            self.write(f"{region}-relay", "relay", ports[f"{region}-relay"], near + far)
            for n in range(self.hosts):
                self.write(f"{region}-h{n}", "host", free_port(), [ports[f"{region}-relay"], *near])
        for member in self.members.values():
            await self.start(member.name)
        return self

    async def __aexit__(self, *_: object) -> None:
        for member in self.members.values():
            if member.process is not None and member.process.returncode is None:
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
                await member.process.wait()
        for agent in self.agents:
            assert agent.process is not None
            agent.process.terminate()
            await agent.process.wait()
        for link in self.links:
            await link.stop()

    async def _across(self, port: int) -> int:
        link = Link(port)
        await link.start()
        self.links.append(link)
        return link.port

    def write(self, name: str, role: str, port: int, upstreams: list[int], more: str = "") -> None:
        told = ", ".join(f'"127.0.0.1:{p}"' for p in upstreams)
        text = f'name = "{name}"\nrole = "{role}"\nlisten = "127.0.0.1:{port}"\nkey = "key"\n'
        text += f'folder = "{name}"\nupstreams = [{told}]\n'
        path = self.folder / f"{name}.toml"
        path.write_text(text + more)
        self.members[name] = Member(name, path, port)

    async def start(self, name: str) -> None:
        member = self.members[name]
        words = (sys.executable, "-m", "onyxpass", "desired", "run", "--config", str(member.file))
        with (self.folder / f"{name}.log").open("ab") as out:
            member.process = await asyncio.create_subprocess_exec(
                *words, stdout=out, stderr=out, env=dict(os.environ)
            )

    # A host's agent and its dispatchers

    async def start_agent(self, name: str, discovery: str, count: int) -> Member:
        """A real agent over so many real dispatchers."""
        rows = ""
        for n in range(count):
            base = self.dispatcher_file(f"{name}-d{n}", discovery)
            (self.folder / f"{name}-d{n}.json").write_text(base)
            (self.folder / f"{name}-d{n}.base.json").write_text(base)
            rows += f'[[instances]]\nname = "{name}-d{n}"\nkind = "serve"\nconfig = "{name}-d{n}.json"\n'
        member = Member(name, self.folder / f"{name}.toml", free_port())
        head = f'name = "{name}"\nstate = "{name}-state"\nlisten = "127.0.0.1:{member.port}"\nkey = "key"\n'
        member.file.write_text(head + rows)
        words = (sys.executable, "-m", "onyxpass", "agent", "run", "--config", str(member.file))
        with (self.folder / f"{name}.log").open("ab") as out:
            member.process = await asyncio.create_subprocess_exec(*words, stdout=out, stderr=out)
        self.agents.append(member)
        return member

    def dispatcher_file(self, name: str, discovery: str) -> str:
        listen = f"127.0.0.1:{free_port()}"
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        told = {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": "5eed",
            "limits": limits,
        }
        return json.dumps({**told, "known": {}, "settings": {**SETTINGS, "peersTotal": 1}})

    def write_host(self, name: str, region: str, agent: Member, count: int) -> str:
        """A host node that brings the state into that agent's dispatchers."""
        more = f'agent = "127.0.0.1:{agent.port}"\n'
        for n in range(count):
            d = f"{agent.name}-d{n}"
            more += f'[[instances]]\nname = "{d}"\nbase = "{d}.base.json"\nconfig = "{d}.json"\n'
        relay = self.members[f"{region}-relay"].port
        self.write(name, "host", free_port(), [relay], more)
        return name

    async def aims(self, agent: Member) -> list[int]:
        """The first class's aim that each dispatcher runs on, in microseconds; 0 if on another
        file.

        What runs is told by the instance's own digest, which names all of its configuration.
        """
        answer = await call_api(
            tcp_opener(Address("127.0.0.1", agent.port)), "GET", "/v1/instances", key=self.key
        )
        found = []
        for told in answer.body["instances"]:
            runs_on_it = (told["live"] or {}).get("config", {}).get("digest") == told["file"]
            file = json.loads((self.folder / f"{told['name']}.json").read_text())
            found.append(file["settings"]["grades"][0]["promiseUs"] if runs_on_it else 0)
        return found

    async def kill(self, name: str) -> None:
        process = self.members[name].process
        assert process is not None
        process.kill()
        await process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        process = self.members[name].process
        assert process is not None
        process.send_signal(number)

    def process_of(self, name: str) -> int:
        process = self.members[name].process
        assert process is not None
        return process.pid

    async def call(
        self, name: str, method: str, path: str, message: dict[str, Any] | None = None
    ) -> ApiResponse | None:
        """None where there is no answer."""
        opener = tcp_opener(Address("127.0.0.1", self.members[name].port))
        try:
            return await call_api(opener, method, path, message, key=self.key)
        except (RequestNotSentError, ResponseLostError):
            return None

    async def order(self, name: str, **values: Any) -> ApiResponse:
        """Asked till the node is there; a node of a trial that answers has taken it once."""
        while (answer := await self.call(name, "POST", "/v1/change", {"values": values})) is None:
            await asyncio.sleep(0.05)
        return answer

    async def state(self, name: str) -> dict[str, Any]:
        answer = await self.call(name, "GET", "/v1/state")
        return dict(answer.body) if answer is not None else {}

    @property
    def host_names(self) -> list[str]:
        return [name for name in self.members if "-h" in name]

    async def in_force(self, names: list[str], has: Callable[[dict[str, Any]], bool]) -> None:
        """Returns once each of these hosts has such values in force."""
        while True:
            told = [await self.state(name) for name in names]
            if all(t and t["in_force"] == t["digest"] and has(t["values"]) for t in told):
                return
            await asyncio.sleep(0.05)

    def words(self) -> list[rules.NodeEvent]:
        return rules.read(self.folder.glob("*.log"))

    def breaches(self) -> list[str]:
        words = self.words()
        found = [*rules.regressions(words), *rules.digest_conflicts(words)]
        return [*found, *rules.outdated_hosts(words, self.host_names)]

    def cut(self) -> None:
        for link in self.links:
            link.cut()

    def mend(self) -> None:
        for link in self.links:
            link.mend()

    @property
    def bytes_across(self) -> int:
        return sum(link.there.bytes + link.back.bytes for link in self.links)

    def state_file(self, name: str) -> Path:
        return self.folder / name / "state.json"

    def kept(self, name: str) -> str:
        return json.dumps(json.loads(self.state_file(name).read_text()))
