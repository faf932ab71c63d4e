"""Up to six real instances under three real agents in front of stand-in replicas, under faults."""

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
from onyxpass.fleet.config import FleetConfig
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
SLOW_LIMITS = LIMITS.replace("pause_s = 0.05", "pause_s = 0.5")
RESTART_POLICY = "first_s = 0.05\ngrace_s = 5.0\npoll_s = 0.2\n"


class RunningSite:
    """A running site with its fleet controller; clients send requests while ``traffic`` is open."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.fleet: FleetConfig = fleet_config.load(site.folder / "fleet.toml")
        self.controller = FleetController(self.fleet)
        self.trace = site.fleet.trace
        self.answer_counts: Counter[str] = Counter()
        self.request_number = 0

    def path(self, name: str) -> str:
        return str(self.site.folder / name)

    def host(self, name: str) -> Host:
        return next(host for host in self.site.hosts if host.name == name)

    async def views(self) -> dict[str, Any]:
        return dict((await self.controller.survey(self.fleet.members, 2.0)).views)

    async def pid(self, name: str) -> int:
        return int((await self.views())[name].report["pid"])

    async def assert_counts(self, report: Report, **counts: int) -> None:
        assert sum(report.tally.counts().values()) == len(report.members)
        found = {kind.replace(" ", "_"): n for kind, n in report.tally.counts().items() if n}
        assert found == counts, [
            (name, outcome)
            for name, outcome in report.tally.outcomes().items()
            if outcome.kind is not OutcomeKind.DONE
        ]

    @asynccontextmanager
    async def traffic(self, clients: int = 8) -> AsyncIterator[None]:
        front = FrontLayer(self.trace, self.site.ports)
        stopping = asyncio.Event()

        async def client(number: int) -> None:
            while not stopping.is_set():
                self.request_number += 1
                traffic_class = CLASSES[self.request_number % len(CLASSES)]
                answer = await front.send_request(
                    f"t{self.request_number:06}", traffic_class, f"s{number}"
                )
                self.answer_counts[answer.outcome] += 1

        front_task = asyncio.create_task(front.run())
        client_tasks = [asyncio.create_task(client(number)) for number in range(clients)]
        try:
            yield
        finally:
            stopping.set()
            await asyncio.gather(*client_tasks)
            front_task.cancel()
        assert self.answer_counts["served"] > 50 and not breaches(self.trace), breaches(self.trace)


@asynccontextmanager
async def running_site(
    folder: Path, hosts: int = 3, limits: str = LIMITS
) -> AsyncIterator[RunningSite]:
    fleet = await StandinFleet(
        2, 3, speed=Speed(read_s=0.004, first_s=0.004, token_s=0.0004)
    ).start()
    site_hosts = tuple(Host(name, hall, (f"{hall}-1", f"{hall}-2")) for name, hall in HOSTS[:hosts])
    site = Site(folder, fleet, site_hosts, limits, RESTART_POLICY)
    site.write_files()
    try:
        for host in site_hosts:
            await site.start(host)
        running = RunningSite(site)
        first = await wait_until_serving(running.controller, 30.0)
        assert all(view.serving for view in first.views.values()), first.to_dict()
        yield running
    finally:
        for child in folder.glob("state-*/agent.db"):
            continue_stopped_processes(child.parent)
        await site.stop()
        await fleet.stop()


def continue_stopped_processes(state: Path) -> None:
    """Continue the processes that a test has stopped, so that their agent can end them."""
    for process in Path("/proc").iterdir():
        if process.name.isdigit():
            try:
                is_of_agent = str(state).encode() in (process / "environ").read_bytes()
                if (
                    is_of_agent
                    and (process / "stat").read_text().rpartition(")")[2].split()[0] == "T"
                ):
                    os.kill(int(process.name), signal.SIGCONT)
            except OSError:
                continue


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 120))


def test_rollout_changes_all_instances_under_traffic_and_each_request_gets_one_answer(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as t:
            before = await t.views()
            async with t.traffic():
                for name in t.site.ports:
                    t.site.write_instance_config(name, {"sockets": 900})
                _, report = await t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.AUTO, 20.0)
                )
                await t.assert_counts(report, done=6)
                reloaded = await t.views()
                assert all(
                    v.live_value("config", "digest") == v.file_digest and v.file_digest
                    for v in reloaded.values()
                )
                assert all(
                    reloaded[n].live_value("launch") == before[n].live_value("launch")
                    for n in before
                ), "reload restarts no instance"
                assert all(v.live_value("config", "generation") == 1 for v in reloaded.values())
                for name in t.site.ports:
                    t.site.write_instance_config(
                        name, {"peers": 7}
                    )  # a change of this key needs a restart
                report = await t.controller.order("reload", t.fleet.members, 10.0, {})
                await t.assert_counts(report, failed=6)
                assert "needs a restart: settings.routers" in str(report.to_dict())
                _, report = await t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.AUTO, 20.0)
                )
                await t.assert_counts(report, done=6)
                after = await t.views()
                assert all(
                    after[n].live_value("launch") != before[n].live_value("launch") for n in before
                )
                assert all(after[n].report["restarts"] == 0 for n in after), (
                    "an ordered restart does not count as a failure"
                )
            assert set(t.answer_counts) <= {"served", "refused"}

    run(scenario)


def test_suspended_instance_and_invalid_file_are_reported_and_not_counted_as_done(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(
            tmp_path, limits=LIMITS.replace("abort_after = 1", "abort_after = 2")
        ) as t:
            stopped = await t.pid("derby-1")
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 800})
            t.site.write_instance_config("santo-amaro-1")
            (t.site.folder / "santo-amaro-1.json").write_text('{"name": "half')
            os.kill(stopped, signal.SIGSTOP)  # its socket accepts connections, but nothing answers
            async with t.traffic():
                _, report = await t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.RELOAD, 4.0)
                )
            outcomes = report.tally.outcomes()
            assert outcomes["derby-1"].kind in (OutcomeKind.UNKNOWN, OutcomeKind.NOT_TRIED)
            assert outcomes["santo-amaro-1"].kind is OutcomeKind.FAILED
            assert "santo-amaro-1.json" in outcomes["santo-amaro-1"].reason
            assert report.tally.exit_code() is ExitCode.FAILED
            result = await asyncio.to_thread(
                CliRunner().invoke, fleet_app, ["list", "--fleet", t.path("fleet.toml"), "--json"]
            )
            listing = json.loads(result.output)
            assert (
                result.exit_code == 3
                and listing["counts"]["unknown"] == 1
                and listing["selected"] == 6
            )
            os.kill(stopped, signal.SIGCONT)
            t.site.write_instance_config("santo-amaro-1", {"sockets": 800})
            await wait_until_serving(t.controller)
            _, report = await t.controller.run_rollout(
                t.fleet.members, ChangeOrder(ChangeMethod.RELOAD, 10.0)
            )
            await t.assert_counts(report, done=6)

    run(scenario)


def test_drain_reports_open_requests_waits_for_them_and_aborts_them_only_by_force(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, hosts=1) as t:
            one, two = t.fleet.members
            with pytest.raises(CommandRejectedError, match="exceeds the fleet's limits"):
                await t.controller.order("drain", t.fleet.members, 5.0, {})
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.clear()
            front = FrontLayer(t.trace, {one.name: t.site.ports[one.name]})
            front.ready.add(one.name)
            streams = [
                asyncio.create_task(front.send_request(f"d{i}", CLASSES[i % 3], "s"))
                for i in range(3)
            ]
            while (await t.views())[one.name].live_value("drain", "streams") != 3:
                await asyncio.sleep(0.02)
            report = await t.controller.order("drain", [one], 0.4, {"notice_ms": 100})
            await t.assert_counts(report, failed=1)
            reason = report.tally.outcomes()[one.name].reason
            assert "3 requests open, 3 of them streaming" in reason and "goes on draining" in reason
            view = (await t.views())[one.name]
            assert (
                view.live_value("drain", "oldest_ms") > 300
                and view.live_value("drain", "late")
                and not view.serving
            )
            assert (await front.send_request("late", "stock-booking", "s")).outcome == "refused"
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.set()
            report = await t.controller.order(
                "drain", [one], 10.0, {"notice_ms": 0}, regardless=True
            )
            await t.assert_counts(report, done=1)
            assert [(await stream).outcome for stream in streams] == ["served"] * 3
            await t.assert_counts(await t.controller.order("undrain", [one], 5.0, {}), done=1)
            assert (await front.send_request("again", "part-lookup", "s")).outcome == "served"
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.clear()
            stream = asyncio.create_task(front.send_request("cut", "stock-booking", "s"))
            while (await t.views())[one.name].live_value("drain", "streams") != 1:
                await asyncio.sleep(0.02)
            options = {"notice_ms": 0, "force": True}
            report = await t.controller.order("drain", [one], 0.2, options)
            await t.assert_counts(report, done=1)
            assert report.tally.outcomes()[one.name].reason == "forced: 1 cut short"
            assert (await stream).outcome == "broken"
            assert two.name not in report.tally.outcomes() and not breaches(t.trace)

    run(scenario)


def test_agent_killed_during_a_restart_adopts_running_instances_and_starts_none_twice(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, hosts=1) as t:
            host, (one, two) = t.host("h1"), t.fleet.members
            assert host.process is not None
            before = {name: view.live_value("launch") for name, view in (await t.views()).items()}
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.clear()
            front = FrontLayer(t.trace, {one.name: t.site.ports[one.name]})
            front.ready.add(one.name)
            stream = asyncio.create_task(front.send_request("r1", "shift-summary", "s"))
            while (await t.views())[one.name].live_value("drain", "streams") != 1:
                await asyncio.sleep(0.02)
            order = asyncio.create_task(t.controller.order("restart", [one], 6.0, {"notice_ms": 0}))
            while (await t.views())[one.name].live_value("drain", "phase") != "draining":
                await asyncio.sleep(0.02)
            host.process.kill()
            await host.process.wait()
            without_agent = await t.controller.survey(t.fleet.members, 1.0)
            await t.assert_counts(without_agent, unknown=2)
            assert "its instances may still serve" in str(without_agent.to_dict())
            direct = FrontLayer(t.trace, {two.name: t.site.ports[two.name]})
            direct.ready.add(two.name)
            for replica in t.site.fleet.replicas.values():
                replica.streams_may_continue.set()
            assert (await stream).outcome == "served", "the instances serve without their agent"
            assert (await direct.send_request("r2", "stock-booking", "s")).outcome == "served"
            await t.site.start(host)
            await t.assert_counts(await order, unknown=1)
            while (found := await t.views())[two.name].live_report is None:
                await asyncio.sleep(0.05)
            assert {name: view.live_value("launch") for name, view in found.items()} == before
            assert all(
                view.report["adopted"] and view.report["restarts"] == 0 for view in found.values()
            )
            report = await t.controller.order("restart", [one], 10.0, {})
            await t.assert_counts(report, done=1)
            os.kill(await t.pid(two.name), signal.SIGKILL)  # the agent watches an adopted instance
            while (await t.views())[two.name].live_value("launch") in (None, before[two.name]):
                await asyncio.sleep(0.05)
            assert not breaches(t.trace)

    run(scenario)


def test_rollout_whose_process_was_killed_resumes_and_restarts_each_instance_once(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, limits=SLOW_LIMITS) as t:
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 700})
            process = await asyncio.create_subprocess_exec(
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
            assert process.stdout is not None
            while b"wave 2" not in await process.stdout.readline():
                pass
            # A second rollout is rejected and names the process that runs the first.
            with pytest.raises(RolloutLockedError, match=f"process {process.pid}"):
                await t.controller.run_rollout(t.fleet.members, ChangeOrder())
            second = await asyncio.to_thread(
                CliRunner().invoke, fleet_app, ["rollout", "run", "--fleet", t.path("fleet.toml")]
            )
            assert second.exit_code == 4 and second.output.count("\n") == 1
            process.kill()  # between an order and its answer
            await process.wait()
            found, holder = t.controller.rollout_status()
            assert found.state == "running" and not holder
            assert any(
                entry.operation and entry.outcome is None for entry in found.instances.values()
            )
            id, report = await t.controller.resume_rollout("")
            assert id == found.id
            await t.assert_counts(report, done=6)
            events, silent = await t.controller.events({})
            restarts = Counter(
                e["instance"] for e in events if e["what"] == "restart" and e["state"] == "done"
            )
            assert restarts == Counter(list(t.site.ports)) and not silent, (
                "each instance was restarted once"
            )
            with pytest.raises(CommandRejectedError, match="has ended"):
                await t.controller.resume_rollout("")

    run(scenario)


def test_rollout_reports_a_reverted_instance_and_sends_no_orders_after_an_abort(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, limits=SLOW_LIMITS) as t:
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 600})
            settled: list[str] = []

            def on_step(what: str, detail: Any) -> None:
                if what == "settled" and not settled:
                    settled.append(detail["instance"])

            running = asyncio.create_task(
                t.controller.run_rollout(
                    t.fleet.members, ChangeOrder(ChangeMethod.RELOAD, 10.0), on_step
                )
            )
            while not settled:
                await asyncio.sleep(0.02)
            t.site.write_instance_config(settled[0])  # the instance restarts with its old file
            os.kill(await t.pid(settled[0]), signal.SIGKILL)
            await t.controller.abort_rollout("", "seen enough")
            id, report = await running
            counts = report.tally.counts()
            assert counts["failed"] == 1 and counts["not tried"] >= 2, report.to_dict()
            assert "had taken the change" in report.tally.outcomes()[settled[0]].reason
            assert "seen enough" in str(report.to_dict())
            assert t.controller.rollout_status(id)[0].state == "aborted"

    run(scenario)


def test_silent_agent_delays_a_command_by_one_deadline_and_its_instances_are_unknown(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as t:
            process = t.host("h2").process
            assert process is not None
            os.kill(process.pid, signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await t.assert_counts(
                await t.controller.survey(t.fleet.members, 0.5), done=4, unknown=2
            )
            assert loop.time() - began_s < 4.0, "two silent instances cost one deadline of 0.5 s"
            for name in t.site.ports:
                t.site.write_instance_config(name, {"sockets": 500})
            report = await t.controller.order("reload", t.fleet.members, 1.0, {})
            await t.assert_counts(report, done=4, unknown=2)
            assert "it may have arrived" in report.tally.outcomes()["santo-amaro-1"].reason
            # The agent executes the order late, which the next observation shows.
            os.kill(process.pid, signal.SIGCONT)
            while (await t.views())["santo-amaro-1"].live_value("config", "digest") in (None, ""):
                await asyncio.sleep(0.05)
            await t.assert_counts(
                await t.controller.order("reload", t.fleet.members, 10.0, {}), done=6
            )

    run(scenario)


def lease_until(until: str) -> str:
    """Return the body of an announcement whose lease states this end."""
    return f'{{"lease": {{"name": "l", "token": 1, "holder": "h", "until": {until}}}}}'


def test_agent_rejects_calls_without_its_key_and_invalid_calls_change_nothing(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, hosts=1) as t:
            port = t.host("h1").port
            key = read_key(t.site.folder / "fleet.key")

            async def call(
                request_line: str, body: str = "", sent_key: str = key
            ) -> tuple[int, Any]:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                head = f"{request_line} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
                writer.write(f"{head}Authorization: Bearer {sent_key}\r\n\r\n{body}".encode())
                response = await reader.read()
                writer.close()
                return int(response.split()[1]), json.loads(response.partition(b"\r\n\r\n")[2])

            order = "POST /v1/instances/boa-vista-1/restart"
            for status, request_line, body, sent_key in (
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
                (400, "POST /v1/fence", "{}", key),
                (400, "POST /v1/fence", '{"lease": {"name": "l", "token": 0, "holder": "h"}}', key),
                (400, "POST /v1/fence", lease_until('"never"'), key),
                (400, "POST /v1/fence", lease_until('{"clock": "c", "ms": -1}'), key),
                (400, "POST /v1/fence", lease_until('{"clock": "c", "s": 1}'), key),
                (
                    409,
                    "POST /v1/fence",
                    lease_until('{"clock": "another", "ms": 9000000000000000}'),
                    key,
                ),
                (404, "GET /v1/fence", "", key),
                (404, "GET /elsewhere", "", key),
            ):
                answer_status, answer = await call(request_line, body, sent_key)
                assert answer_status == status and answer["error"], (
                    request_line,
                    body,
                    answer_status,
                    answer,
                )
            events = (await call("GET /v1/events"))[1]["events"]
            assert not [event for event in events if event["what"] in ("restart", "held")]
            assert (await call("POST /v1/hold", '{"rollout": "r1", "holder": "ana"}'))[0] == 200
            answer_status, answer = await call(order, '{"operation": "b"}')
            assert answer_status == 409 and answer["hold"]["holder"] == "ana"
            assert (await call("POST /v1/release", '{"rollout": "r1"}'))[1] == {"released": True}
            first = await call("POST /v1/instances/boa-vista-1/reload", '{"operation": "c"}')
            again = await call("POST /v1/instances/boa-vista-1/reload", '{"operation": "c"}')
            assert first[0] == again[0] == 202 and first[1]["began"] == again[1]["began"]
            assert (await call(order, '{"operation": "c"}'))[0] == 409, (
                "an operation id is valid for one order only"
            )

    run(scenario)


def test_process_is_identified_by_its_start_time_and_a_reused_pid_is_not_adopted(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        command = (sys.executable, "-c", "import time; time.sleep(600)")
        launched = Process.launch(command, os.environ, None)
        assert Process.adopt(replace(launched.identity, ticks=launched.identity.ticks + 1)) is None
        assert Process.adopt(replace(launched.identity, boot="another")) is None
        adopted = Process.adopt(launched.identity)
        assert adopted is not None and adopted.identity.age_s < 60
        launched.send(signal.SIGKILL)
        assert await adopted.wait() is None and await launched.wait() == -9
        assert identify(launched.pid) is None and Process.adopt(launched.identity) is None

    run(scenario)


def test_damaged_or_locked_state_is_rejected_and_left_unchanged(tmp_path: Path) -> None:
    store = StateStore(tmp_path / "s")
    with pytest.raises(StateStoreError, match="another agent holds it"):
        StateStore(tmp_path / "s")
    store.close()
    path = tmp_path / "s" / "agent.db"
    valid = path.read_bytes()
    for text in (
        b"no database at all, and long enough to be looked at" * 9,
        valid[:4200] + b"\xff" * 9000,
    ):
        path.write_bytes(text)
        for extra in ("agent.db-wal", "agent.db-shm"):
            (tmp_path / "s" / extra).unlink(missing_ok=True)
        with pytest.raises(StateStoreError, match="move it aside and start again"):
            StateStore(tmp_path / "s")
        assert path.read_bytes() == text, "the file is left unchanged"
    record = RolloutRecord(tmp_path / "r")
    record.lock("x")
    with pytest.raises(RolloutLockedError, match="x is held by"):
        RolloutRecord(tmp_path / "r").lock("y")
    record.close()
