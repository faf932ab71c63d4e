"""Six real instances under three real agents before stand-in replicas, and what goes wrong in
service.
"""

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from onyxpass.agent.credentials import read_key
from onyxpass.agent.process import Process, identify
from onyxpass.agent.state_store import StateStore, StateStoreError
from onyxpass.fleet import config as fleet_config
from onyxpass.fleet.cli import fleet_app
from onyxpass.fleet.config import Fleet
from onyxpass.fleet.controller import CommandRejectedError, FleetController, Report
from onyxpass.fleet.outcome import ExitCode, OutcomeKind
from onyxpass.fleet.record import RolloutRecord
from onyxpass.fleet.rollout import ChangeMethod
from onyxpass.fleet.rollout_lock import RolloutLockedError
from onyxpass.fleet.runner import ChangeOrder
from onyxpass.history_checkers.trace import breaches
from onyxpass.testbed.client import CLASSES
from onyxpass.testbed.demo import wait_until_serving
from onyxpass.testbed.front import FrontLayer
from onyxpass.testbed.replicas import Speed, StandinFleet
from onyxpass.testbed.site import Host, Site

HOSTS = (("h1", "boa-vista"), ("h2", "santo-amaro"), ("h3", "derby"))
LIMITS = "out = 3\nout_hall = 1\nout_host = 1\ncanaries = 1\npause_s = 0.05\nabort_after = 1\ndeadline_s = 20.0\n"
SLOW = LIMITS.replace("pause_s = 0.05", "pause_s = 0.5")
RESTART = "first_s = 0.05\ngrace_s = 5.0\npoll_s = 0.2\n"


class Trial:
    """A site that runs, its tool, and clients that never stop asking while ``traffic`` is open."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.fleet: Fleet = fleet_config.load(site.folder / "fleet.toml")
        self.controller = FleetController(self.fleet)
        self.trace = site.fleet.trace
        self.ends: Counter[str] = Counter()
        self.number = 0

    def path(self, name: str) -> str:
        return str(self.site.folder / name)

    def host(self, name: str) -> Host:
        return next(host for host in self.site.hosts if host.name == name)

    async def views(self) -> dict[str, Any]:
        return dict((await self.controller.survey(self.fleet.members, 2.0)).views)

    async def pid(self, name: str) -> int:
        return int((await self.views())[name].told["pid"])

    async def reported(self, report: Report, **counts: int) -> None:
        assert sum(report.tally.counts().values()) == len(report.members)
        found = {kind.replace(" ", "_"): n for kind, n in report.tally.counts().items() if n}
        assert found == counts, [
            (n, o) for n, o in report.tally.outcomes().items() if o.kind is not OutcomeKind.DONE
        ]

    @asynccontextmanager
    async def traffic(self, clients: int = 8) -> AsyncIterator[None]:
        front = FrontLayer(self.trace, self.site.ports)
        stopping = asyncio.Event()

        async def client(number: int) -> None:
            while not stopping.is_set():
                self.number += 1
                traffic_class = CLASSES[self.number % len(CLASSES)]
                answer = await front.send_request(f"t{self.number:06}", traffic_class, f"s{number}")
                self.ends[answer.outcome] += 1

        following = asyncio.create_task(front.run())
        asking = [asyncio.create_task(client(number)) for number in range(clients)]
        try:
            yield
        finally:
            stopping.set()
            await asyncio.gather(*asking)
            following.cancel()
        assert self.ends["served"] > 50 and not breaches(self.trace), breaches(self.trace)


@asynccontextmanager
async def trial(folder: Path, hosts: int = 3, limits: str = LIMITS) -> AsyncIterator[Trial]:
    fleet = await StandinFleet(
        2, 3, speed=Speed(read_s=0.004, first_s=0.004, token_s=0.0004)
    ).start()
    made = tuple(Host(name, hall, (f"{hall}-1", f"{hall}-2")) for name, hall in HOSTS[:hosts])
    site = Site(folder, fleet, made, limits, RESTART)
    site.write_files()
    try:
        for host in made:
            await site.start(host)
        found = Trial(site)
        first = await wait_until_serving(found.controller, 30.0)
        assert all(view.serving for view in first.views.values()), first.to_dict()
        yield found
    finally:
        for child in folder.glob("state-*/agent.db"):
            with_stopped(child.parent)
        await site.stop()
        await fleet.stop()


def with_stopped(state: Path) -> None:
    """Let what a test has stopped go on, so that its agent can end it."""
    for line in Path("/proc").iterdir():
        if line.name.isdigit():
            try:
                mine = str(state).encode() in (line / "environ").read_bytes()
                if mine and (line / "stat").read_text().rpartition(")")[2].split()[0] == "T":
                    os.kill(int(line.name), signal.SIGCONT)
            except OSError:
                continue


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 120))


def test_a_rollout_reaches_all_under_traffic_and_each_request_has_one_answer(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with trial(tmp_path) as t:
            before = await t.views()
            async with t.traffic():
                for name in t.site.ports:
                    t.site.write_instance_config(name, {"sockets": 900})
                _, report = await t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.AUTO, 20.0)
                )
                await t.reported(report, done=6)
                reloaded = await t.views()
                assert all(v.at("config", "digest") == v.file and v.file for v in reloaded.values())
                assert all(reloaded[n].at("launch") == before[n].at("launch") for n in before), (
                    "no restart"
                )
                assert all(v.at("config", "generation") == 1 for v in reloaded.values())
                for name in t.site.ports:
                    t.site.write_instance_config(
                        name, {"peers": 7}
                    )  # this can't be changed in flight
                report = await t.controller.order("reload", t.fleet.members, 10.0, {})
                await t.reported(report, failed=6)
                assert "needs a restart: settings.routers" in str(report.to_dict())
                _, report = await t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.AUTO, 20.0)
                )
                await t.reported(report, done=6)
                after = await t.views()
                assert all(after[n].at("launch") != before[n].at("launch") for n in before)
                assert all(after[n].told["restarts"] == 0 for n in after), (
                    "a planned restart is no failure"
                )
            assert set(t.ends) <= {"served", "refused"}

    run(go)


def test_what_is_stopped_half_way_is_reported_and_never_concealed(tmp_path: Path) -> None:
    async def go() -> None:
        async with trial(
            tmp_path, limits=LIMITS.replace("abort_after = 1", "abort_after = 2")
        ) as t:
            stopped = await t.pid("derby-1")
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 800})
            t.site.write_instance_config("santo-amaro-1")
            (t.site.folder / "santo-amaro-1.json").write_text('{"name": "half')
            os.kill(stopped, signal.SIGSTOP)  # its socket accepts, and nothing is said
            async with t.traffic():
                _, report = await t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.RELOAD, 4.0)
                )
            outcomes = report.tally.outcomes()
            assert outcomes["derby-1"].kind in (OutcomeKind.UNKNOWN, OutcomeKind.NOT_TRIED)
            assert outcomes["santo-amaro-1"].kind is OutcomeKind.FAILED
            assert "santo-amaro-1.json" in outcomes["santo-amaro-1"].reason
            assert report.tally.exit_code() is ExitCode.FAILED
            shown = await asyncio.to_thread(
                CliRunner().invoke, fleet_app, ["list", "--fleet", t.path("fleet.toml"), "--json"]
            )
            told = json.loads(shown.output)
            assert shown.exit_code == 3 and told["counts"]["unknown"] == 1 and told["selected"] == 6
            os.kill(stopped, signal.SIGCONT)
            t.site.write_instance_config("santo-amaro-1", {"sockets": 800})
            await wait_until_serving(t.controller)
            _, report = await t.controller.run_rollout(
                t.fleet.members, ChangeOrder(ChangeMethod.RELOAD, 10.0)
            )
            await t.reported(report, done=6)

    run(go)


def test_a_drain_shows_what_is_open_ends_with_it_and_is_cut_only_by_force(tmp_path: Path) -> None:
    async def go() -> None:
        async with trial(tmp_path, hosts=1) as t:
            one, two = t.fleet.members
            with pytest.raises(CommandRejectedError, match="passes the fleet's limits"):
                await t.controller.order("drain", t.fleet.members, 5.0, {})
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.clear()
            front = FrontLayer(t.trace, {one.name: t.site.ports[one.name]})
            front.ready.add(one.name)
            streams = [
                asyncio.create_task(front.send_request(f"d{i}", CLASSES[i % 3], "s"))
                for i in range(3)
            ]
            while (await t.views())[one.name].at("drain", "streams") != 3:
                await asyncio.sleep(0.02)
            report = await t.controller.order("drain", [one], 0.4, {"notice_ms": 100})
            await t.reported(report, failed=1)
            reason = report.tally.outcomes()[one.name].reason
            assert "3 requests open, 3 of them streaming" in reason and "goes on draining" in reason
            view = (await t.views())[one.name]
            assert (
                view.at("drain", "oldest_ms") > 300
                and view.at("drain", "late")
                and not view.serving
            )
            assert (await front.send_request("late", "stock-booking", "s")).outcome == "refused"
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.set()
            report = await t.controller.order(
                "drain", [one], 10.0, {"notice_ms": 0}, regardless=True
            )
            await t.reported(report, done=1)
            assert [(await stream).outcome for stream in streams] == ["served"] * 3
            await t.reported(await t.controller.order("undrain", [one], 5.0, {}), done=1)
            assert (await front.send_request("again", "part-lookup", "s")).outcome == "served"
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.clear()
            stream = asyncio.create_task(front.send_request("cut", "stock-booking", "s"))
            while (await t.views())[one.name].at("drain", "streams") != 1:
                await asyncio.sleep(0.02)
            options = {"notice_ms": 0, "force": True}
            report = await t.controller.order("drain", [one], 0.2, options)
            await t.reported(report, done=1)
            assert report.tally.outcomes()[one.name].reason == "forced: 1 cut short"
            assert (await stream).outcome == "broken"
            assert two.name not in report.tally.outcomes() and not breaches(t.trace)

    run(go)


def test_an_agent_killed_while_it_restarts_adopts_what_runs_and_starts_nothing_twice(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with trial(tmp_path, hosts=1) as t:
            host, (one, two) = t.host("h1"), t.fleet.members
            assert host.process is not None
            before = {name: view.at("launch") for name, view in (await t.views()).items()}
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.clear()
            front = FrontLayer(t.trace, {one.name: t.site.ports[one.name]})
            front.ready.add(one.name)
            stream = asyncio.create_task(front.send_request("r1", "shift-summary", "s"))
            while (await t.views())[one.name].at("drain", "streams") != 1:
                await asyncio.sleep(0.02)
            order = asyncio.create_task(t.controller.order("restart", [one], 6.0, {"notice_ms": 0}))
            while (await t.views())[one.name].at("drain", "phase") != "draining":
                await asyncio.sleep(0.02)
            host.process.kill()
            await host.process.wait()
            gone = await t.controller.survey(t.fleet.members, 1.0)
            await t.reported(gone, unknown=2)
            assert "its instances may serve all the same" in str(gone.to_dict())
            direct = FrontLayer(t.trace, {two.name: t.site.ports[two.name]})
            direct.ready.add(two.name)
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.set()
            assert (await stream).outcome == "served", "the instances serve on without their agent"
            assert (await direct.send_request("r2", "stock-booking", "s")).outcome == "served"
            await t.site.start(host)
            await t.reported(await order, unknown=1)
            while (found := await t.views())[two.name].live is None:
                await asyncio.sleep(0.05)
            assert {name: view.at("launch") for name, view in found.items()} == before
            assert all(
                view.told["adopted"] and view.told["restarts"] == 0 for view in found.values()
            )
            report = await t.controller.order("restart", [one], 10.0, {})
            await t.reported(report, done=1)
            os.kill(await t.pid(two.name), signal.SIGKILL)  # adopted, and still watched
            while (await t.views())[two.name].at("launch") in (None, before[two.name]):
                await asyncio.sleep(0.05)
            assert not breaches(t.trace)

    run(go)


def test_a_tool_killed_in_mid_rollout_is_resumed_from_what_is_so(tmp_path: Path) -> None:
    async def go() -> None:
        async with trial(tmp_path, limits=SLOW) as t:
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 700})
            tool = await asyncio.create_subprocess_exec(
                *(
                    sys.executable,
                    "-m",
                    "onyxpass",
                    "fleet",
                    "rollout",
                    "run",
                    "--fleet",
                    t.path("fleet.toml"),
                ),
                *("--method", "restart"),
                stdout=asyncio.subprocess.PIPE,
            )
            assert tool.stdout is not None
            while b"wave 2" not in await tool.stdout.readline():
                pass
            # a second tool is told who has it
            with pytest.raises(RolloutLockedError, match=f"process {tool.pid}"):
                await t.controller.run_rollout(t.fleet.members, ChangeOrder())
            busy = await asyncio.to_thread(
                CliRunner().invoke, fleet_app, ["rollout", "run", "--fleet", t.path("fleet.toml")]
            )
            assert busy.exit_code == 4 and busy.output.count("\n") == 1
            tool.kill()  # between an order and its answer
            await tool.wait()
            found, holder = t.controller.rollout_status()
            assert found.state == "running" and not holder
            assert any(
                entry.operation and entry.outcome is None for entry in found.instances.values()
            )
            id, report = await t.controller.resume_rollout("")
            assert id == found.id
            await t.reported(report, done=6)
            events, silent = await t.controller.events({})
            restarts = Counter(
                e["instance"] for e in events if e["what"] == "restart" and e["state"] == "done"
            )
            assert restarts == Counter(list(t.site.ports)) and not silent, "each was restarted once"
            with pytest.raises(CommandRejectedError, match="has ended"):
                await t.controller.resume_rollout("")

    run(go)


def test_a_rollout_finds_out_who_went_back_and_an_abort_orders_no_more(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with trial(tmp_path, limits=SLOW) as t:
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 600})
            first: list[str] = []

            def told(what: str, detail: Any) -> None:
                if what == "settled" and not first:
                    first.append(detail["instance"])

            running = asyncio.create_task(
                t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.RELOAD, 10.0), told
                )
            )
            while not first:
                await asyncio.sleep(0.02)
            t.site.write_instance_config(first[0])  # the old file is back, and its instance dies
            os.kill(await t.pid(first[0]), signal.SIGKILL)
            await t.controller.abort_rollout("", "seen enough")
            id, report = await running
            counts = report.tally.counts()
            assert counts["failed"] == 1 and counts["not tried"] >= 2, report.to_dict()
            assert "had taken the change" in report.tally.outcomes()[first[0]].reason
            assert "seen enough" in str(report.to_dict())
            assert t.controller.rollout_status(id)[0].state == "aborted"

    run(go)


def test_a_silent_agent_costs_its_deadline_once_and_is_unknown(tmp_path: Path) -> None:
    async def go() -> None:
        async with trial(tmp_path) as t:
            process = t.host("h2").process
            assert process is not None
            os.kill(process.pid, signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await t.reported(await t.controller.survey(t.fleet.members, 0.5), done=4, unknown=2)
            assert loop.time() - began_s < 4.0, "two silent instances cost one deadline of 0.5 s"
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 500})
            report = await t.controller.order("reload", t.fleet.members, 1.0, {})
            await t.reported(report, done=4, unknown=2)
            assert "it may have arrived" in report.tally.outcomes()["santo-amaro-1"].reason
            os.kill(
                process.pid, signal.SIGCONT
            )  # it takes the order after all: late, and found out by a look
            while (await t.views())["santo-amaro-1"].at("config", "digest") in (None, ""):
                await asyncio.sleep(0.05)
            await t.reported(await t.controller.order("reload", t.fleet.members, 10.0, {}), done=6)

    run(go)


def test_calls_to_an_agent_need_its_key_and_bad_ones_change_nothing(tmp_path: Path) -> None:
    async def go() -> None:
        async with trial(tmp_path, hosts=1) as t:
            port = t.host("h1").port
            key = read_key(t.site.folder / "fleet.key")

            async def call(text: str, body: str = "", shown: str = key) -> tuple[int, Any]:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                head = f"{text} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
                writer.write(f"{head}Authorization: Bearer {shown}\r\n\r\n{body}".encode())
                answer = await reader.read()
                writer.close()
                return int(answer.split()[1]), json.loads(answer.partition(b"\r\n\r\n")[2])

            order = "POST /v1/instances/boa-vista-1/restart"
            for status, text, body, shown in (
                (401, "GET /v1/instances", "", "wrong"),
                (401, order, "{", ""),
                (400, order, "{", key),
                (400, order, "[]", key),
                (400, order, "{}", key),
                (400, order, '{"operation": "a b"}', key),
                (400, order, '{"operation": "a", "deadline_ms": 0}', key),
                (400, order, '{"operation": "a", "force": 1}', key),
                (400, order, '{"operation": "a", "forced": true}', key),
                (404, "POST /v1/instances/nobody/restart", '{"operation": "a"}', key),
                (404, "POST /v1/instances/boa-vista-1/explode", "{}", key),
                (404, "GET /v1/operations/a", "", key),
                (400, "GET /v1/events?since=x", "", key),
                (400, "POST /v1/hold", '{"rollout": "", "holder": "x"}', key),
                (404, "GET /elsewhere", "", key),
            ):
                found, told = await call(text, body, shown)
                assert found == status and told["error"], (text, body, found, told)
            events = (await call("GET /v1/events"))[1]["events"]
            assert not [e for e in events if e["what"] in ("restart", "held")]
            assert (await call("POST /v1/hold", '{"rollout": "r1", "holder": "ana"}'))[0] == 200
            found, told = await call(order, '{"operation": "b"}')
            assert found == 409 and told["hold"]["holder"] == "ana"
            assert (await call("POST /v1/release", '{"rollout": "r1"}'))[1] == {"released": True}
            first = await call("POST /v1/instances/boa-vista-1/reload", '{"operation": "c"}')
            again = await call("POST /v1/instances/boa-vista-1/reload", '{"operation": "c"}')
            assert first[0] == again[0] == 202 and first[1]["began"] == again[1]["began"]
            assert (await call(order, '{"operation": "c"}'))[0] == 409, "one id, one order"

    run(go)


def test_a_process_is_known_by_its_start_and_a_number_used_again_is_not_taken(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        command = (sys.executable, "-c", "import time; time.sleep(600)")
        mine = Process.launch(command, os.environ, None)
        assert Process.adopt(replace(mine.identity, ticks=mine.identity.ticks + 1)) is None
        assert Process.adopt(replace(mine.identity, boot="another")) is None
        again = Process.adopt(mine.identity)
        assert again is not None and again.identity.age_s < 60
        mine.send(signal.SIGKILL)
        assert await again.wait() is None and await mine.wait() == -9
        assert identify(mine.pid) is None and Process.adopt(mine.identity) is None

    run(go)


def test_a_state_that_is_damaged_or_in_use_is_refused_and_not_started_over(tmp_path: Path) -> None:
    ledger = StateStore(tmp_path / "s")
    with pytest.raises(StateStoreError, match="another agent holds it"):
        StateStore(tmp_path / "s")
    ledger.close()
    path = tmp_path / "s" / "agent.db"
    whole = path.read_bytes()
    for text in (
        b"no database at all, and long enough to be looked at" * 9,
        whole[:4200] + b"\xff" * 9000,
    ):
        path.write_bytes(text)
        for extra in ("agent.db-wal", "agent.db-shm"):
            (tmp_path / "s" / extra).unlink(missing_ok=True)
        with pytest.raises(StateStoreError, match="move it aside and start again"):
            StateStore(tmp_path / "s")
        assert path.read_bytes() == text, "it is left as it is"
    record = RolloutRecord(tmp_path / "r")
    record.lock("x")
    with pytest.raises(RolloutLockedError, match="x is held by"):
        RolloutRecord(tmp_path / "r").lock("y")
    record.close()
