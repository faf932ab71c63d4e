"""A trial of the desired configuration: real nodes in two regions, with links that can be cut."""

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
    """A node or an agent: its file, its port and its process, once it was started."""

    name: str
    file: Path
    port: int
    process: asyncio.subprocess.Process | None = None


@dataclass(slots=True)
class ConfigurationTrial:
    """Nodes as processes; ``controls`` and ``hosts`` count those of each region.

    A relay's upstreams are the control nodes of its own region, then those of the other region.
    """

    folder: Path
    controls: int = 1
    hosts: int = 2
    members: dict[str, Member] = field(default_factory=dict)
    links: list[Link] = field(default_factory=list)  # between the regions
    agents: list[Member] = field(default_factory=list)
    key: str = ""

    async def __aenter__(self) -> "ConfigurationTrial":
        make_key(self.folder / "key")
        self.key = read_key(self.folder / "key")
        ports = {f"{r}-c{n}": free_port() for r in REGIONS for n in range(self.controls)}
        ports |= {f"{r}-relay": free_port() for r in REGIONS}
        for region in REGIONS:
            other = REGIONS[1 - REGIONS.index(region)]
            remote = [await self._link_to(ports[f"{other}-c{n}"]) for n in range(self.controls)]
            local = [ports[f"{region}-c{n}"] for n in range(self.controls)]
            for n, port in enumerate(local):
                self.write_node(
                    f"{region}-c{n}", "control", port, [p for p in local if p != port] + remote
                )
            self.write_node(f"{region}-relay", "relay", ports[f"{region}-relay"], local + remote)
            for n in range(self.hosts):
                self.write_node(
                    f"{region}-h{n}", "host", free_port(), [ports[f"{region}-relay"], *local]
                )
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

    async def _link_to(self, port: int) -> int:
        link = Link(port)
        await link.start()
        self.links.append(link)
        return link.port

    def write_node(
        self, name: str, role: str, port: int, upstreams: list[int], extra: str = ""
    ) -> None:
        addresses = ", ".join(f'"127.0.0.1:{p}"' for p in upstreams)
        text = f'name = "{name}"\nrole = "{role}"\nlisten = "127.0.0.1:{port}"\nkey = "key"\n'
        text += f'folder = "{name}"\nupstreams = [{addresses}]\n'
        path = self.folder / f"{name}.toml"
        path.write_text(text + extra)
        self.members[name] = Member(name, path, port)

    async def start(self, name: str) -> None:
        member = self.members[name]
        command = (sys.executable, "-m", "onyxpass", "desired", "run", "--config", str(member.file))
        with (self.folder / f"{name}.log").open("ab") as out:
            member.process = await asyncio.create_subprocess_exec(
                *command, stdout=out, stderr=out, env=dict(os.environ)
            )

    # A host's agent and its dispatchers

    async def start_agent(self, name: str, discovery: str, count: int) -> Member:
        """Start an agent with ``count`` dispatchers, all as processes."""
        rows = ""
        for n in range(count):
            base = self.dispatcher_config_text(f"{name}-d{n}", discovery)
            (self.folder / f"{name}-d{n}.json").write_text(base)
            (self.folder / f"{name}-d{n}.base.json").write_text(base)
            rows += f'[[instances]]\nname = "{name}-d{n}"\nkind = "serve"\nconfig = "{name}-d{n}.json"\n'
        member = Member(name, self.folder / f"{name}.toml", free_port())
        head = f'name = "{name}"\nstate = "{name}-state"\nlisten = "127.0.0.1:{member.port}"\nkey = "key"\n'
        member.file.write_text(head + rows)
        command = (sys.executable, "-m", "onyxpass", "agent", "run", "--config", str(member.file))
        with (self.folder / f"{name}.log").open("ab") as out:
            member.process = await asyncio.create_subprocess_exec(*command, stdout=out, stderr=out)
        self.agents.append(member)
        return member

    def dispatcher_config_text(self, name: str, discovery: str) -> str:
        listen = f"127.0.0.1:{free_port()}"
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        config = {
            "name": name,
            "listen": listen,
            "discovery": discovery,
            "seed": "5eed",
            "limits": limits,
        }
        return json.dumps({**config, "known": {}, "settings": {**SETTINGS, "peersTotal": 1}})

    def write_host(self, name: str, region: str, agent: Member, count: int) -> str:
        """Write a host node that applies the configuration to an agent's dispatchers."""
        tables = f'agent = "127.0.0.1:{agent.port}"\n'
        for n in range(count):
            d = f"{agent.name}-d{n}"
            tables += f'[[instances]]\nname = "{d}"\nbase = "{d}.base.json"\nconfig = "{d}.json"\n'
        relay = self.members[f"{region}-relay"].port
        self.write_node(name, "host", free_port(), [relay], tables)
        return name

    async def latency_objectives_us(self, agent: Member) -> list[int]:
        """Return the latency objective of the first class on which each dispatcher runs.

        It is 0 for a dispatcher that does not run on its present file, by the instance's own
        digest, which covers its whole configuration.
        """
        answer = await call_api(
            tcp_opener(Address("127.0.0.1", agent.port)), "GET", "/v1/instances", key=self.key
        )
        found = []
        for status in answer.body["instances"]:
            is_in_force = (status["live"] or {}).get("config", {}).get("digest") == status["file"]
            file = json.loads((self.folder / f"{status['name']}.json").read_text())
            found.append(file["settings"]["grades"][0]["promiseUs"] if is_in_force else 0)
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

    def pid_of(self, name: str) -> int:
        process = self.members[name].process
        assert process is not None
        return process.pid

    async def call(
        self, name: str, method: str, path: str, message: dict[str, Any] | None = None
    ) -> ApiResponse | None:
        """Call a node's API; return None if there is no answer."""
        opener = tcp_opener(Address("127.0.0.1", self.members[name].port))
        try:
            return await call_api(opener, method, path, message, key=self.key)
        except (RequestNotSentError, ResponseLostError):
            return None

    async def set_values(self, name: str, **values: Any) -> ApiResponse:
        """Set values at a node, repeated until it answers.

        If an answer is lost, the node orders the same values again, under a new version.
        """
        while (answer := await self.call(name, "POST", "/v1/change", {"values": values})) is None:
            await asyncio.sleep(0.05)
        return answer

    async def state(self, name: str) -> dict[str, Any]:
        answer = await self.call(name, "GET", "/v1/state")
        return dict(answer.body) if answer is not None else {}

    @property
    def host_names(self) -> list[str]:
        return [name for name in self.members if "-h" in name]

    async def wait_until_in_force(
        self, names: list[str], condition: Callable[[dict[str, Any]], bool]
    ) -> None:
        """Wait until the values in force at each of these hosts satisfy the condition."""
        while True:
            states = [await self.state(name) for name in names]
            if all(s and s["in_force"] == s["digest"] and condition(s["values"]) for s in states):
                return
            await asyncio.sleep(0.05)

    def log_entries(self) -> list[rules.NodeEvent]:
        return rules.read(self.folder.glob("*.log"))

    def breaches(self) -> list[str]:
        entries = self.log_entries()
        found = [*rules.regressions(entries), *rules.digest_conflicts(entries)]
        return [*found, *rules.outdated_hosts(entries, self.host_names)]

    def cut(self) -> None:
        for link in self.links:
            link.cut()

    def restore(self) -> None:
        for link in self.links:
            link.restore()

    @property
    def cross_region_bytes(self) -> int:
        return sum(
            link.to_server.forwarded_bytes + link.to_client.forwarded_bytes for link in self.links
        )

    def state_file(self, name: str) -> Path:
        return self.folder / name / "state.json"

    def read_state_file(self, name: str) -> str:
        return json.dumps(json.loads(self.state_file(name).read_text()))
