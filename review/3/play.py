"""Case 3: an instance that an operator has started again, after its agent was killed.

The rule is broken if the new agent ends the instance that runs and that it should adopt.
"""

import asyncio
import json
import signal
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
AGENT_AWAY_S = 1.0
WATCH_S = 12.0  # how long the instance is asked for requests after the agent's return
ASK_EVERY_S = 0.5
STEP_S = 15.0  # for a state to be reached
SETTINGS = {
    "az": "boa-vista",
    "hostTypes": ["reader", "writer"],
    "peersTotal": 1,
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
    "limits": {
        "maxAttempts": 4,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1_000_000,
        "connectTimeoutUs": 250_000,
        "connIdleUs": 15_000_000,
    },
}
AGENT = """
name = "h1"
listen = "127.0.0.1:{agent}"
key = "fleet.key"
state = "state"
[store]
url = "redis://127.0.0.1:{store}/0"
[[instances]]
name = "d1"
kind = "serve"
config = "d1.json"
check = "127.0.0.1:{listen}"
"""
FLEET = """
name = "recife-halls"
key = "fleet.key"
state = "rollouts"
[[halls]]
name = "boa-vista"
[[agents]]
host = "h1"
hall = "boa-vista"
address = "127.0.0.1:{agent}"
[[agents.instances]]
name = "d1"
"""


class Operator:
    """Gives commands as an operator does, and reads what they print."""

    def __init__(self, bench: Bench, record: Record, ports: dict[str, int]) -> None:
        self.bench, self.record = bench, record
        self.store = ["--store", f"redis://127.0.0.1:{ports['store']}/0"]
        self.fleet = ["--fleet", str(bench.folder / "fleet.toml")]

    async def run(self, *words: str) -> str:
        """Run one command and return what it printed."""
        process = await asyncio.create_subprocess_exec(
            *(str(PYTHON), "-m", "onyxpass", *words),
            cwd=PYTHON.parents[2],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        text = output.decode(errors="replace")
        self.record("command", words=" ".join(words[:3]), exit_code=process.returncode)
        if process.returncode not in (0, 1, 3):
            raise CannotRunError(f"{words[:3]}: {text[-300:]}")
        return text

    async def instance(self) -> dict[str, Any]:
        """Return how the instance stands, as the fleet tool tells it."""
        text = await self.run("fleet", "list", *self.fleet, "--json")
        row: dict[str, Any] = json.loads(text)["instances"][0]
        return row.get("told") or {}

    async def wait_for(self, state: str) -> dict[str, Any]:
        """Wait until the instance is in a state."""
        for _ in range(int(STEP_S / 0.5)):
            told = await self.instance()
            if told.get("pid"):
                self.bench.instances.add(int(told["pid"]))
            if told.get("state") == state:
                self.record("instance", state=state, pid=told.get("pid"))
                return told
            await asyncio.sleep(0.5)
        raise CannotRunError(f"the instance is not {state}")


async def ask(port: int, number: int) -> str:
    """Send one request to the instance; return its status, or why there was none."""
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 20, "messages": []}).encode()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Request-ID: r{number:04d}\r\nX-Priority-Class: part-lookup\r\n"
            f"X-Timeout-Ms: 5000\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        line = await asyncio.wait_for(reader.readline(), 6.0)
        writer.close()
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    return line.decode("latin-1").split(" ")[1] if line else "closed"


async def set_up(bench: Bench, ports: dict[str, int]) -> None:
    """Start the stand-ins and write the files of the site."""
    bench.start_standin("store", HERE.parent / "store.py", str(ports["store"]))
    await bench.first_line("store")
    bench.start_standin("fleet", HERE.parent / "fleet.py", "2", "2", str(bench.folder / "runs"))
    config = {
        "name": "d1",
        "listen": f"127.0.0.1:{ports['listen']}",
        "discovery": await bench.first_line("fleet"),
        "seed": "5eed",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {},
        "settings": SETTINGS,
    }
    (bench.folder / "d1.json").write_text(json.dumps(config))
    (bench.folder / "agent.toml").write_text(AGENT.format(**ports))
    (bench.folder / "fleet.toml").write_text(FLEET.format(**ports))


async def play(bench: Bench, record: Record) -> int:
    """Run the case and return its exit code."""
    ports = {name: free_port() for name in ("store", "agent", "listen")}
    await set_up(bench, ports)
    operator = Operator(bench, record, ports)
    await operator.run("agent", "key", str(bench.folder / "fleet.key"))
    command = program("agent", "run", "--config", str(bench.folder / "agent.toml"))
    agent = bench.start("agent", command)
    await operator.wait_for("running")
    await operator.run("agent", "stop", "d1", *operator.store)
    await operator.wait_for("stopped")
    await operator.run("fleet", "restart", "d1", *operator.fleet, "--regardless")
    before = await operator.wait_for("running")
    for number in range(4):
        record("asked", status=await ask(ports["listen"], number))
        await asyncio.sleep(ASK_EVERY_S)
    if trouble():
        agent.send_signal(signal.SIGKILL)
        agent.wait()
        record("the agent is killed", instance_answers=await ask(ports["listen"], 10))
        await asyncio.sleep(AGENT_AWAY_S)
        bench.start("agent-2", command)
        record("the agent is started again")
    statuses = []
    for number in range(int(WATCH_S / ASK_EVERY_S)):
        await asyncio.sleep(ASK_EVERY_S)
        statuses.append(await ask(ports["listen"], 100 + number))
        record("asked", status=statuses[-1])
    after = await operator.instance()
    record("instance", state=after.get("state"), pid=after.get("pid"), wanted=after.get("wanted"))
    for line in bench.log("agent-2").splitlines():
        record("the new agent's log " + line)
    same = after.get("state") == "running" and after.get("pid") == before.get("pid")
    unserved = sum(status != "200" for status in statuses)
    record("verdict", adopted_and_running=same, unserved=unserved, asked=len(statuses))
    sys.stdout.write(f"{len(statuses)} requests, {unserved} unserved; running on: {same}\n")
    return HELD if same else BROKEN


async def main() -> int:
    """Run the case, and end whatever it has started."""
    record, bench = Record(HERE), Bench()
    try:
        async with asyncio.timeout(100):
            return await play(bench, record)
    except Exception as error:  # noqa: BLE001 - whatever fails here says nothing about the rule
        record("could not run", why=repr(error))
        return NOT_RUN
    finally:
        bench.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
