"""A small site in one folder: agents and dispatchers in front of a stand-in fleet, on loopback."""

import asyncio
import contextlib
import json
import os
import random
import socket
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from onyxpass import atomic_file
from onyxpass.agent.credentials import make_key
from onyxpass.testbed.replicas import StandinFleet
from onyxpass.testbed.settings import dispatcher_config

# The range of ports that the kernel gives to outgoing connections (ip(7)).
OUTGOING_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_PORT = 12_000
# The fewest ports between ``FIRST_PORT`` and the outgoing ports to draw from; if there are fewer,
# the kernel chooses a port.
MIN_PORT_COUNT = 1_000
_chosen_ports: set[int] = set()  # returned by ``free_port`` in this process


def free_port() -> int:
    """Return a port that nobody listens on, outside the range of outgoing ports if possible.

    Prevents a server that is stopped and started again from finding its port in use. A drawn port
    is returned only once, because its server may not listen yet when the next one is drawn.
    """
    first_outgoing = int(OUTGOING_PORT_RANGE.read_text().split()[0])
    draws = first_outgoing - FIRST_PORT >= MIN_PORT_COUNT
    generator = random.SystemRandom()
    while True:
        port = generator.randrange(FIRST_PORT, first_outgoing) if draws else 0
        if port in _chosen_ports:
            continue
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)) as sock:
            port = int(sock.getsockname()[1])
            if draws:
                _chosen_ports.add(port)
            return port


@dataclass(slots=True)
class Host:
    """An agent with its instances; ``process`` is the agent's, once it was started."""

    name: str
    hall: str
    instances: tuple[str, ...]
    port: int = 0
    process: asyncio.subprocess.Process | None = None


@dataclass(slots=True)
class Site:
    """Agents and their dispatchers, with all their files in one folder."""

    folder: Path
    fleet: StandinFleet
    hosts: tuple[Host, ...]
    limits: str = ""  # TOML text of the ``limits`` table in the fleet's file
    restart: str = ""  # TOML text of the ``restart`` table in the agents' files
    ports: dict[str, int] = field(default_factory=dict)  # by instance

    @property
    def instance_count(self) -> int:
        return sum(len(host.instances) for host in self.hosts)

    def write_files(self) -> None:
        """Choose free ports and write all files of the site."""
        make_key(self.folder / "fleet.key")
        tables = []
        for host in self.hosts:
            host.port = free_port()
            for name in host.instances:
                self.ports[name] = free_port()
                self.write_instance_config(name)
            self.write_agent_config(host)
            entries = "".join(f'[[agents.instances]]\nname = "{name}"\n' for name in host.instances)
            where = (
                f'host = "{host.name}"\nhall = "{host.hall}"\naddress = "127.0.0.1:{host.port}"\n'
            )
            tables.append(f"[[agents]]\n{where}{entries}")
        halls = dict.fromkeys(host.hall for host in self.hosts)
        text = 'name = "trial"\nkey = "fleet.key"\nstate = "rollouts"\n\n'
        text += f"[limits]\n{self.limits}\n" if self.limits else ""
        text += "".join(f'[[halls]]\nname = "{hall}"\n' for hall in halls)
        (self.folder / "fleet.toml").write_text(text + "".join(tables))

    def write_agent_config(self, host: Host) -> None:
        rows = [
            f'name = "{host.name}"\nlisten = "127.0.0.1:{host.port}"',
            f'key = "fleet.key"\nstate = "state-{host.name}"',
            f"[restart]\n{self.restart}" if self.restart else "",
        ]
        for name in host.instances:
            rows.append(
                f'[[instances]]\nname = "{name}"\nkind = "serve"\nconfig = "{name}.json"\n'
                f'check = "127.0.0.1:{self.ports[name]}"'
            )
        (self.folder / f"agent-{host.name}.toml").write_text("\n".join(rows) + "\n")

    def write_instance_config(self, name: str, change: Mapping[str, object] | None = None) -> None:
        """Write an instance's file; ``change`` may set ``sockets`` or ``peers``."""
        values = dict(change or {})
        listen, peers = (
            f"127.0.0.1:{self.ports[name]}",
            int(str(values.get("peers", self.instance_count))),
        )
        config = dispatcher_config(name, listen, self.fleet, peers)
        if "sockets" in values:
            config["limits"]["sockets"] = values["sockets"]
        atomic_file.replace(self.folder / f"{name}.json", json.dumps(config).encode())

    async def start(self, host: Host, environment: Mapping[str, str] | None = None) -> None:
        """Start the host's agent; ``environment`` adds variables for it and its instances."""
        log = (self.folder / f"agent-{host.name}.log").open("ab")
        try:
            host.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "onyxpass", "agent", "run"),
                *("--config", str(self.folder / f"agent-{host.name}.toml")),
                stdout=log,
                stderr=log,
                env={
                    **{
                        key: value
                        for key, value in os.environ.items()
                        if not key.startswith("ROUTER_")
                    },
                    **(environment or {}),
                },
            )
        finally:
            log.close()

    async def stop(self, limit_s: float = 20.0) -> None:
        """Stop all agents, which stop their instances, by SIGTERM.

        An agent that does not end within ``limit_s`` is killed.
        """
        running = [
            host.process for host in self.hosts if host.process and host.process.returncode is None
        ]
        for process in running:
            process.terminate()
        for process in running:
            try:
                await asyncio.wait_for(process.wait(), limit_s)
            except TimeoutError:
                process.kill()
                await process.wait()
