"""Case 3: two operators' rollouts in one hall, while the first one's tool is cut off for a while.

The rule is broken if an agent begins an operation of the first rollout while the second one is
under way: between the begin of its first operation and the end of its last one.
"""

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

from common import (
    BROKEN,
    HELD,
    NOT_RUN,
    PYTHON,
    Bench,
    CannotRunError,
    Record,
    free_port,
    program,
    trouble,
)

HERE = Path(__file__).resolve().parent
LEASE_S, LONGEST_S, PAUSE_S = 10.0, 10.0, 3.0
SETTLE_S = 0.7  # after the first operation, till the first tool has seen its end
STEP_S = 45.0  # for an operation to be seen
HOSTS = {"h1": ("d1", "d2"), "h2": ("d3", "d4")}
SETTINGS = {
    "az": "derby",
    "hostTypes": ["reader", "writer"],
    "peersTotal": 4,
    "grades": [
        {
            "name": "part-lookup",
            "promiseUs": 1_200_000,
            "deadlineUs": 6_000_000,
            "value": 3.0,
            "lateWorth": 0.2,
            "streamed": True,
            "repeat": "read_like",
        }
    ],
    "extra": {
        "roleByKind": ["read", "write"],
        "tokensByKind": [240_000, 150_000],
        "tokenAimUs": [60_000],
        "aimUsPer1000PromptTokens": [40_000],
        "releaseWithinUs": 300_000,
    },
    "limits": {"maxAttempts": 4, "cancelling": True, "connectTimeoutUs": 250_000},
}


class Link:
    """The way to one server. While it is cut, whatever is sent on it vanishes, in silence."""

    def __init__(self, target: int) -> None:
        self.target, self.port = target, 0
        self.whole = asyncio.Event()
        self.whole.set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> "Link":
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def heal(self) -> None:
        """Let bytes through again; connections of the time before are reset."""
        for writer in self.writers:
            writer.transport.abort()
        self.whole.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            if self.whole.is_set():
                back, forth = await asyncio.open_connection("127.0.0.1", self.target)
                self.writers.add(forth)
                await asyncio.gather(self._pump(reader, forth), self._pump(back, writer))
                self.writers.discard(forth)
            else:
                await self._pump(reader, None)
        self.writers.discard(writer)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter | None
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if writer is not None and self.whole.is_set():
                    writer.write(data)
        if writer is not None and self.whole.is_set():
            writer.close()


async def call_agent(port: int, key: str, target: str) -> dict[str, Any]:
    """Make one call to an agent, past all links."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"GET {target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
    writer.write(f"{head}Connection: close\r\n\r\n".encode())
    text = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    body: dict[str, Any] = json.loads(text.partition(b"\r\n\r\n")[2])
    return body


async def lease_holder(port: int) -> str:
    """Return the store's record of the hall's lease."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    key = "onyxpass:lease:rollout.recife-halls.derby"
    writer.write(f"*2\r\n$3\r\nGET\r\n${len(key)}\r\n{key}\r\n".encode())
    await reader.readline()
    record = json.loads(await asyncio.wait_for(reader.readline(), 2.0))
    writer.close()
    return f"{record['holder']} token {record['token']}"


class Site:
    """Two hosts with an agent and two dispatchers each, and two operators' files."""

    def __init__(self, bench: Bench, record: Record) -> None:
        self.bench, self.record = bench, record
        names = ("store", *HOSTS, *(name for own in HOSTS.values() for name in own))
        self.ports = {name: free_port() for name in names}
        self.links: dict[str, Link] = {}
        self.key = ""

    async def start(self) -> None:
        """Start everything but the operators' tools."""
        folder = self.bench.folder
        store = str(self.ports["store"])
        self.bench.start_standin("store", HERE.parent / "store.py", store)
        await self.bench.first_line("store")
        fleet = HERE.parent / "fleet.py"
        self.bench.start_standin("fleet", fleet, "2", "2", str(folder / "runs"))
        discovery = await self.bench.first_line("fleet")
        made = await self._run("agent", "key", str(folder / "fleet.key"))
        if made:
            raise CannotRunError("no key was made")
        self.key = (folder / "fleet.key").read_text().strip()
        for name in ("store", *HOSTS):
            self.links[name] = await Link(self.ports[name]).start()
        through = {name: link.port for name, link in self.links.items()}
        self._write_operator("a", through)
        self._write_operator("b", self.ports)
        for host, instances in HOSTS.items():
            for name in instances:
                self._write_instance(name, discovery)
            self._write_agent(host, instances)
            path = folder / f"{host}.toml"
            self.bench.start(host, program("agent", "run", "--config", str(path)))
        for host, instances in HOSTS.items():
            await self._wait_for_instances(host, len(instances))

    async def _run(self, *words: str) -> int:
        process = await asyncio.create_subprocess_exec(
            *(str(PYTHON), "-m", "onyxpass", *words),
            cwd=PYTHON.parents[2],
            stdout=asyncio.subprocess.DEVNULL,
        )
        return await process.wait()

    def _write_instance(self, name: str, discovery: str) -> None:
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.ports[name]}",
            "discovery": discovery,
            "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {},
            "settings": SETTINGS,
        }
        (self.bench.folder / f"{name}.json").write_text(json.dumps(config))

    def _write_agent(self, host: str, instances: tuple[str, ...]) -> None:
        rows = [f'name = "{host}"', f'listen = "127.0.0.1:{self.ports[host]}"']
        rows += ['key = "fleet.key"', f'state = "state-{host}"']
        for name in instances:
            rows += ["[[instances]]", f'name = "{name}"', 'kind = "serve"']
            rows += [f'config = "{name}.json"', f'check = "127.0.0.1:{self.ports[name]}"']
        (self.bench.folder / f"{host}.toml").write_text("\n".join(rows) + "\n")

    def _write_operator(self, operator: str, ports: dict[str, int]) -> None:
        rows = ['name = "recife-halls"', 'key = "fleet.key"', f'state = "rollouts-{operator}"']
        rows += ["[store]", f'url = "redis://127.0.0.1:{ports["store"]}/0"']
        rows += [f"lease_s = {LEASE_S}", f"longest_s = {LONGEST_S}", "wait_s = 45.0"]
        rows += ["[limits]", f"pause_s = {PAUSE_S}", "[[halls]]", 'name = "derby"']
        for host, instances in HOSTS.items():
            rows += ["[[agents]]", f'host = "{host}"', 'hall = "derby"']
            rows += [f'address = "127.0.0.1:{ports[host]}"']
            for name in instances:
                rows += ["[[agents.instances]]", f'name = "{name}"']
        (self.bench.folder / f"{operator}.toml").write_text("\n".join(rows) + "\n")

    async def _wait_for_instances(self, host: str, count: int) -> None:
        for _ in range(100):
            await asyncio.sleep(0.2)
            with contextlib.suppress(OSError, ValueError):
                rows = (await self._call(host, "/v1/instances"))["instances"]
                self.bench.instances |= {int(row["pid"]) for row in rows if row["pid"]}
                if sum(bool((row["live"] or {}).get("ready")) for row in rows) == count:
                    return
        raise CannotRunError(f"the instances of {host} are not ready")

    async def _call(self, host: str, target: str) -> dict[str, Any]:
        return await call_agent(self.ports[host], self.key, target)

    def roll_out(self, operator: str, *names: str) -> Any:
        """Start an operator's rollout."""
        path = str(self.bench.folder / f"{operator}.toml")
        words = ("fleet", "rollout", "run", *names, "--fleet", path, "--method", "restart")
        self.record("rollout", operator=operator, instances=" ".join(names))
        return self.bench.start(operator, program(*words, "--json"))

    async def operations(self) -> list[dict[str, Any]]:
        """Return the begins and ends of all operations, by all agents' events."""
        rows = []
        for host in HOSTS:
            events = (await self._call(host, "/v1/events?since=0"))["events"]
            rows += [{**event, "host": host} for event in events if event["what"] == "restart"]
        return sorted(rows, key=lambda row: row["at"])

    async def wait_for(self, instances: tuple[str, ...], *states: str) -> None:
        """Wait until an operation on one of the instances is in one of the states."""
        for _ in range(int(STEP_S / 0.1)):
            if any(
                row["instance"] in instances and row["state"] in states
                for row in await self.operations()
            ):
                self.record("seen", instances=list(instances), states=list(states))
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"no operation on {instances} is {states}")


async def play(bench: Bench, record: Record) -> int:
    """Run the case and return its exit code."""
    site = Site(bench, record)
    await site.start()
    first = site.roll_out("a", "d1", "d2")
    await site.wait_for(HOSTS["h1"], "done")
    await asyncio.sleep(SETTLE_S)
    if trouble():
        for link in site.links.values():
            link.whole.clear()
        record("the first tool is cut off", lease=await lease_holder(site.ports["store"]))
    second = site.roll_out("b", "d3", "d4")
    await site.wait_for(HOSTS["h2"], "running", "done")
    record("the second rollout has begun", lease=await lease_holder(site.ports["store"]))
    if trouble():
        for link in site.links.values():
            link.heal()
        record("the first tool is back")
    for name, tool in (("a", first), ("b", second)):
        await asyncio.to_thread(tool.wait)
        record("ended", operator=name, exit_code=tool.returncode)
    for name in ("a", "b"):
        record("report", operator=name, text=" ".join(bench.log(name).split())[-900:])
    rows = await site.operations()
    for row in rows:
        record("operation " + json.dumps(row))
    own = [row["at"] for row in rows if row["instance"] in HOSTS["h2"]]
    if second.returncode not in (0, 1, 3) or len(own) < len(("begin", "end")):
        raise CannotRunError("the second rollout did not take place")
    stale = [
        row
        for row in rows
        if row["instance"] in HOSTS["h1"] and row["state"] == "running"
        if min(own) < row["at"] < max(own)
    ]
    record("verdict", second_rollout_s=round(max(own) - min(own), 2), begun_meanwhile=len(stale))
    sys.stdout.write(f"{len(stale)} operations of the first rollout within the second\n")
    return BROKEN if stale else HELD


async def main() -> int:
    """Run the case, and end whatever it has started."""
    record, bench = Record(HERE), Bench()
    try:
        async with asyncio.timeout(105):
            return await play(bench, record)
    except Exception as error:  # noqa: BLE001 - whatever fails here says nothing about the rule
        record("could not run", why=repr(error))
        return NOT_RUN
    finally:
        bench.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
