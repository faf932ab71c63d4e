# ruff: noqa
"""An instance was stopped through Redis and later restarted with the fleet tool; its agent is killed."""

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.path.insert(0, str(FOLDER.parent.parent))
from standins_2 import *  # noqa: E402, F403

from onyxpass.testbed.replicas import StandinFleet  # noqa: E402
from onyxpass.testbed.site import Host, Site  # noqa: E402

HOSTS = (Host("h1", "derby", ("d1", "d2")),)
RESTART = "first_s = 0.2\ngrace_s = 8.0\npoll_s = 0.5\n"


async def ready(port):
    """Whether a dispatcher answers its clients."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return answer.startswith(b"HTTP/1.1 200")


async def scenario(bench, record):
    fleet = await StandinFleet(1, 1).start()
    bench.servers.append(fleet)
    store = await bench.serve(Store())
    url = f"redis://{store.address}/0"
    site = Site(bench.folder, fleet, HOSTS, "out = 2\nout_host = 2\nout_hall = 2\n", RESTART)
    site.write_files()
    config = bench.folder / "agent-h1.toml"
    config.write_text(
        config.read_text().replace("[restart]", f'[store]\nurl = "{url}"\n\n[restart]')
    )
    fleet_file = bench.folder / "fleet.toml"
    fleet_file.write_text(
        fleet_file.read_text().replace('name = "derby"\n', 'name = "derby"\nkeep = 0\n')
    )
    agent = await bench.program("agent-h1", "agent", "run", "--config", config)
    port = site.ports["d1"]
    await until(lambda: ready(port), 30.0, "d1 answers")

    async def order(*words):
        code, out = await bench.command("order", *words)
        record(
            f"onyxpass {' '.join(map(str, words[:3]))} -> exit code {code} {out.strip()[-200:]!r}"
        )
        return code

    if await order("agent", "stop", "d1", "--store", url) != 0:
        raise CannotRun("the stop was not taken")

    async def stopped():
        return not await ready(port)

    await until(stopped, 15.0, "d1 has stopped")
    await asyncio.sleep(2.0)
    if await order("fleet", "restart", "d1", "--json", "--fleet", fleet_file) != 0:
        raise CannotRun("the restart was not done")
    if not await ready(port):
        raise CannotRun("d1 does not answer after the restart")
    record("d1 answers again; its operator was told: done")
    await asyncio.sleep(3.0)  # some polls of the agent
    if not await ready(port):
        raise CannotRun("d1 was stopped before the disruption")
    if TROUBLE:
        agent.send_signal(signal.SIGKILL)
        await agent.wait()
        record(f"the agent was killed; d1 answers: {await ready(port)}")
        agent = await bench.program("agent-h1b", "agent", "run", "--config", config)
    out_since, loop = None, asyncio.get_running_loop()
    end = loop.time() + 10.0
    while loop.time() < end:
        if not await ready(port) and out_since is None:
            out_since = loop.time()
            record("d1 no longer answers")
        await asyncio.sleep(0.1)
    for name in ("agent-h1", "agent-h1b"):
        for row in bench.log(name):
            if row.get("event", "").startswith("instance_") and row.get("name") == "d1":
                record(
                    f"{name}: { ({k: v for k, v in row.items() if k not in ('logger', 'level')}) }"
                )
    answers = await ready(port)
    record(f"at the end d1 answers: {answers}; d2 answers: {await ready(site.ports['d2'])}")
    return HELD if answers and out_since is None else BROKEN


run(FOLDER, scenario)
