"""Writes and syncs fail for a while: an agent and a configuration node keep running and catch up."""

import asyncio
import errno
import json
import os
import signal
from pathlib import Path
from typing import Any

from fault_injection import ChildProcess, fault_control, run_async

from onyxpass.agent.credentials import make_key
from onyxpass.config.platform_file import Address
from onyxpass.faultshim.control import ForcedFault, SystemCall
from onyxpass.history_checkers.json_lines import read_objects
from onyxpass.net.http_client import ApiResponse, call_api, tcp_opener
from onyxpass.testbed.replicas import StandinFleet
from onyxpass.testbed.site import Host, Site, free_port

FULL_DISK = (ForcedFault(SystemCall.WRITE, errno.ENOSPC), ForcedFault(SystemCall.SYNC, errno.EIO))
FULL_S = 1.0  # longer than the pause between two starts of an instance


def running_pids(site: Site) -> list[int]:
    """Return the process ids that the agent logged as running, in order."""
    lines = [raw for _, raw in read_objects(sorted(site.folder.glob("agent-*.log")))]
    found: list[Any] = [
        raw["pid"]
        for raw in lines
        if raw.get("event") == "instance_state_changed" and raw["state"] == "running"
    ]
    return found


def test_an_instance_that_exits_while_the_disk_is_full_is_restarted_once_there_is_room(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        fleet = await StandinFleet(1, 1).start()
        restart = "first_s = 0.05\nmost_s = 0.2\ngrace_s = 5.0\npoll_s = 0.2\n"
        site = Site(tmp_path, fleet, (Host("h1", "derby", ("d1",)),), restart=restart)
        site.write_files()
        faults = fault_control(tmp_path)
        try:
            await site.start(site.hosts[0], faults.environment)
            while not running_pids(site):
                await asyncio.sleep(0.02)
            (first,) = running_pids(site)
            faults.force(*FULL_DISK)
            os.kill(first, signal.SIGKILL)
            while not faults.count(SystemCall.WRITE) + faults.count(SystemCall.SYNC):
                await asyncio.sleep(0.02)
            await asyncio.sleep(FULL_S)
            faults.clear()
            while running_pids(site)[-1] == first:
                await asyncio.sleep(0.05)
            assert json.loads((tmp_path / "d1.json").read_text())["name"] == "d1"
        finally:
            faults.clear()
            await site.stop()
            await fleet.stop()

    run_async(scenario())


class FaultyNode:
    """A node of the desired configuration, as a process whose system calls can be forced to fail."""

    def __init__(self, folder: Path, name: str, role: str, upstreams: tuple[int, ...] = ()) -> None:
        self.folder, self.port, self.faults = (
            folder / name,
            free_port(),
            fault_control(folder, name),
        )
        addresses = ", ".join(f'"127.0.0.1:{port}"' for port in upstreams)
        text = f'name = "{name}"\nrole = "{role}"\nlisten = "127.0.0.1:{self.port}"\nkey = "key"\n'
        self.config_file, self.key = folder / f"{name}.toml", (folder / "key").read_text().strip()
        self.config_file.write_text(text + f'folder = "{name}"\nupstreams = [{addresses}]\n')
        self.process: ChildProcess

    async def start(self) -> "FaultyNode":
        arguments = ("desired", "run", "--config", str(self.config_file))
        self.process = await ChildProcess.start(*arguments, control=self.faults)
        await self.process.wait_for_event("node")
        return self

    async def call(
        self, method: str, path: str, message: dict[str, Any] | None = None
    ) -> ApiResponse:
        address = tcp_opener(Address("127.0.0.1", self.port))
        return await call_api(address, method, path, message, key=self.key, timeout_s=5.0)

    async def set(self, **values: object) -> int:
        return (await self.call("POST", "/v1/change", {"values": values})).status

    async def values(self) -> dict[str, Any]:
        found: dict[str, Any] = (await self.call("GET", "/v1/state")).body["values"]
        return found

    async def wait_for_values(self, **values: object) -> None:
        while not values.items() <= (await self.values()).items():
            await asyncio.sleep(0.02)


def test_a_node_survives_a_full_disk_and_neither_keeps_nor_passes_on_rejected_changes(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        make_key(tmp_path / "key")
        top = await FaultyNode(tmp_path, "top", "control").start()
        below = await FaultyNode(tmp_path, "below", "relay", (top.port,)).start()
        assert await top.set(a=1) == 200
        await below.wait_for_values(a=1)
        for full in FULL_DISK:
            top.faults.force(full)
            assert await top.set(a=2, b=2) >= 500, "the change cannot have been saved"
            assert "b" not in await top.values()
            top.faults.clear()
        below.faults.force(*FULL_DISK)
        assert await top.set(a=3) == 200
        while not below.faults.count(SystemCall.WRITE):
            await asyncio.sleep(0.02)
        assert below.process.child.returncode is None
        below.faults.clear()
        await below.wait_for_values(a=3)
        assert "b" not in await below.values(), "a rejected change must not be passed on"
        files = [path.name for node in (top, below) for path in node.folder.iterdir()]
        assert not [name for name in files if name.endswith(".new")], files
        assert await below.process.terminate() == 0 and await top.process.terminate() == 0
        assert json.loads((below.folder / "state.json").read_text()), (
            "the state must have been saved by now"
        )

    run_async(scenario())
