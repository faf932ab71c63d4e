"""The agent with real processes and a fake Redis server."""

import asyncio
import itertools
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from standins import RespStore, until
from typer.testing import CliRunner

from onyxpass.agent import config as agent_config
from onyxpass.agent import main
from onyxpass.agent.config import AgentConfig, InstanceSpec
from onyxpass.agent.expected_config import expected_digest
from onyxpass.agent.instance import Instance
from onyxpass.agent.instance_messages import RestartInstance, SetWanted
from onyxpass.agent.lifecycle import Lifecycle, RestartPolicy, ScheduleLaunch
from onyxpass.agent.store_orders import FILE_NAME, MAX_ORDERS, StoreOrders
from onyxpass.agent.supervisor import Agent
from onyxpass.cli import app
from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.store.desired_running import DesiredRunning
from onyxpass.store.redis import DESIRED_KEY_PREFIX, RedisStore

ROOT = Path(__file__).parent.parent
SLEEPER = (sys.executable, "-c", "import time; time.sleep(600)")
STUBBORN = (
    sys.executable,
    "-c",
    "import signal, sys, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); "
    "print(flush=True); open(sys.argv[1], 'w').close(); time.sleep(600)",
)
RESTART = RestartPolicy(
    initial_backoff_s=0.01, max_backoff_s=0.04, stable_after_s=60.0, startup_grace_s=0.01
)
TERMINATION_GRACE_S = 30.0
POLL_INTERVAL_S = 0.02
START_ORDER = DesiredRunning.new(True)


def make_config(
    url: str,
    *specs: InstanceSpec,
    restart: RestartPolicy = RESTART,
    termination_grace_s: float = TERMINATION_GRACE_S,
) -> AgentConfig:
    return AgentConfig(
        "test",
        url,
        specs,
        restart=restart,
        termination_grace_s=termination_grace_s,
        poll_interval_s=POLL_INTERVAL_S,
    )


def is_alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@asynccontextmanager
async def running_agent(
    *specs: InstanceSpec,
    restart: RestartPolicy = RESTART,
    termination_grace_s: float = TERMINATION_GRACE_S,
) -> AsyncIterator[tuple[RespStore, Agent, str]]:
    store = RespStore()
    await store.start()
    url = f"redis://{store.address}/0"
    config = make_config(url, *specs, restart=restart, termination_grace_s=termination_grace_s)
    agent = Agent(config, RedisStore(url))
    await agent.start()
    pids = []
    try:
        yield store, agent, url
        pids = [instance.process.pid for instance in agent.instances if instance.process]
    finally:
        await agent.stop()
        await store.stop()
    assert not any(is_alive(pid) for pid in pids)


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 60))


def is_running(instance: Instance) -> bool:
    return instance.state == "running"


def test_an_instance_that_exits_is_restarted_and_listed_by_the_cli_until_the_agent_stops() -> None:
    async def scenario() -> None:
        exiting = InstanceSpec("dies", (sys.executable, "-c", "raise SystemExit(3)"))
        async with running_agent(exiting, InstanceSpec("lives", SLEEPER)) as (store, agent, url):
            first, second = agent.instances
            await until(lambda: first.lifecycle.restarts >= 3 and is_running(second), 30)
            assert (
                first.lifecycle.last_exit == 3
                and first.lifecycle.consecutive_failures >= 3
                and second.lifecycle.restarts == 0
            )
            # The published count may skip any single number.
            key = "onyxpass:instance:dies"
            await until(
                lambda: json.loads(store.data.get(key, '{"restarts": 0}'))["restarts"] >= 3, 30
            )
            result = await asyncio.to_thread(
                CliRunner().invoke, app, ["agent", "list", "--store", url]
            )
            assert result.exit_code == 0
            rows = {line.split()[0]: line.split() for line in result.output.splitlines()}
            assert rows["lives"][1:3] == ["test", "running"] and rows["dies"][-1] == "3"
        assert not [k for k in store.data if "instance" in k], (
            "an agent that stopped leaves no entries in the store"
        )

    run(scenario)


def test_the_backoff_doubles_up_to_the_maximum_and_resets_after_a_stable_run() -> None:
    lifecycle = Lifecycle(RestartPolicy(initial_backoff_s=1, max_backoff_s=5, stable_after_s=30))
    backoffs_s: list[float] = []
    now_s = 0.0
    for ran_s in (0, 0, 0, 0, 31):
        lifecycle.start(now_s)
        lifecycle.launched(now_s)
        now_s += ran_s
        (action,) = lifecycle.exited(now_s, 1)
        assert isinstance(action, ScheduleLaunch)
        backoffs_s.append(action.delay_s)
    assert backoffs_s == [1, 2, 4, 5, 1] and lifecycle.restarts == 5


def test_jumps_of_the_wall_clock_change_no_restart_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        exiting = InstanceSpec("dies", (sys.executable, "-c", "import time; time.sleep(0.02)"))
        async with running_agent(exiting, InstanceSpec("lives", SLEEPER)) as (_, agent, _url):
            first, second = agent.instances
            jumps = itertools.cycle((0.0, 4e9, -1.0, 1e6))
            monkeypatch.setattr(time, "time", lambda: next(jumps))
            await until(lambda: first.lifecycle.restarts >= 4 and is_running(second), 30)
            assert first.lifecycle.consecutive_failures >= 4, "no run counted as a stable one"
            assert second.lifecycle.restarts == 0 and second.lifecycle.wanted

    run(scenario)


def test_an_operator_stops_and_starts_an_instance() -> None:
    async def scenario() -> None:
        async with running_agent(InstanceSpec("one", SLEEPER)) as (_, agent, url):
            (one,) = agent.instances
            await until(lambda: is_running(one), 30)
            assert one.process is not None
            pid = one.process.pid
            await asyncio.to_thread(
                CliRunner().invoke, app, ["agent", "stop", "one", "--store", url]
            )
            await until(lambda: one.state == "stopped", 30)
            assert not is_alive(pid) and one.lifecycle.restarts == 0
            await asyncio.to_thread(
                CliRunner().invoke, app, ["agent", "start", "one", "--store", url]
            )
            await until(lambda: is_running(one), 30)

    run(scenario)


def test_a_late_answer_of_the_store_starts_no_instance_while_the_agent_stops() -> None:
    """Guards against a poll that outlives its cancellation and starts an instance again.

    The cancellation can be lost in the store's client. A test failed from this once in six runs.
    """

    class LateStore(RedisStore):
        async def desired_running(self, name: str) -> DesiredRunning:
            desired_state_requested.set()
            try:
                await asyncio.sleep(600)
            except asyncio.CancelledError:
                return START_ORDER  # the cancellation is lost, as in a client's own time-out
            return START_ORDER

    desired_state_requested = asyncio.Event()

    async def scenario() -> None:
        async with running_agent(InstanceSpec("one", SLEEPER)) as (_, agent, url):
            (one,) = agent.instances
            await until(lambda: is_running(one), 30)
            agent.store = LateStore(url)
            await asyncio.wait_for(desired_state_requested.wait(), 30)
        assert one.state == "stopped" and one.lifecycle.restarts == 0

    run(scenario)


@pytest.mark.parametrize("is_legacy", [False, True])
def test_an_order_from_the_store_is_carried_out_once_also_by_the_next_agent(
    tmp_path: Path, is_legacy: bool
) -> None:
    """Guards against an old stop order that ends a serving instance again: its agent was killed,
    and the next one took the entry that still stood in the store for a new order.
    """

    async def scenario() -> None:
        store = await RespStore().start()
        url = f"redis://{store.address}/0"
        config = replace(make_config(url, InstanceSpec("d1", SLEEPER)), state=tmp_path / "state")
        operator = RedisStore(url)

        async def order(running: bool) -> None:
            await operator.set_desired_running("d1", running)
            if is_legacy:
                store.data[f"{DESIRED_KEY_PREFIX}d1"] = json.dumps({"running": running})

        async def start_agent() -> Agent:
            agent = Agent(config, RedisStore(url))
            await agent.start()
            return agent

        agent = await start_agent()
        await until(lambda: is_running(agent.instances[0]), 30)
        await order(False)
        await until(lambda: agent.instances[0].state == "stopped", 30)
        copy = store.snapshot()
        agent.instances[0].tell(RestartInstance())  # as `fleet restart d1` does
        await until(lambda: is_running(agent.instances[0]), 30)
        process = agent.instances[0].process
        assert process is not None
        await end_without_stopping(agent)

        agent = await start_agent()
        await until(lambda: agent.instances[0].adopted, 30)
        await until_polled(store, 3)
        assert is_running(agent.instances[0]) and is_alive(process.pid)
        await order(True)
        await until_polled(store, 3)
        await order(False)
        await until(lambda: agent.instances[0].state == "stopped", 30)
        await order(True)
        await until(lambda: is_running(agent.instances[0]), 30)
        if not is_legacy:
            store.data = copy
            await until_polled(store, 3)
            assert is_running(agent.instances[0]), "the store went back to an older order"
        await agent.stop()
        await operator.close()
        await store.stop()

    run(scenario)


@pytest.mark.parametrize("order", [RestartInstance(), SetWanted(True)])
def test_an_agent_stops_although_a_restart_is_ordered_meanwhile(
    tmp_path: Path, order: RestartInstance | SetWanted
) -> None:
    """Guards against a SIGTERM that waits for ever: while another instance was still stopping, an
    order that had waited for a drain started an instance again.
    """

    async def scenario() -> None:
        ready_file = tmp_path / "up"
        slow = InstanceSpec("slow", (*STUBBORN, str(ready_file)))
        specs = (slow, InstanceSpec("d1", SLEEPER))
        config = make_config("redis://127.0.0.1:1/0", *specs, termination_grace_s=2.0)
        agent = Agent(config)
        await agent.start()
        instance = agent.by_name["d1"]
        await until(lambda: is_running(instance) and ready_file.exists(), 30)
        stopping = asyncio.create_task(agent.stop())
        await until(lambda: instance.state == "stopped", 30)
        instance.tell(order)
        await asyncio.wait_for(stopping, 30)
        assert instance.process is None
        assert instance.record.wanted, "the next agent starts it again"

    run(scenario)


def test_recorded_orders_survive_a_damaged_file_and_are_bounded(tmp_path: Path) -> None:
    (tmp_path / FILE_NAME).write_text('[["d1", "x"], ["d1"')
    orders = StoreOrders(tmp_path)
    last = [DesiredRunning.new(number % 2 == 0) for number in range(MAX_ORDERS + 1)]
    for order in last:
        assert orders.is_new("d1", order)
        orders.record("d1", order)
    for kept in (orders, StoreOrders(tmp_path)):
        assert not any(kept.is_new("d1", order) for order in last[1:])
        assert kept.is_new("d1", last[0]) and kept.is_new("d2", last[1])
        assert kept.is_new("d1", DesiredRunning(True)), "an order of an older tool"


async def end_without_stopping(agent: Agent) -> None:
    """End an agent as a kill does: its instances go on."""
    await agent._stop_polling()
    for task in agent._tasks:
        task.cancel()
    await asyncio.gather(*agent._tasks, return_exceptions=True)
    agent.close()


async def until_polled(store: RespStore, times: int) -> None:
    """Wait until an agent has read its orders and handled them so many times."""
    before = len(store.commands)

    def polls() -> int:
        return sum(words[0] == "GET" for words in store.commands[before:])

    await until(lambda: polls() > times, 30)


def test_an_instance_that_ignores_sigterm_is_killed(tmp_path: Path) -> None:
    async def scenario() -> None:
        ready_file = tmp_path / "up"
        spec = InstanceSpec("stubborn", (*STUBBORN, str(ready_file)))
        async with running_agent(spec, termination_grace_s=0.05) as (_, agent, _url):
            await until(lambda: is_running(agent.instances[0]) and ready_file.exists(), 30)

    run(scenario)


def test_an_instance_that_accepts_no_connections_is_restarted() -> None:
    async def scenario() -> None:
        closed = RespStore()  # reserves a port that nothing listens on afterwards
        await closed.start()
        await closed.stop()
        spec = InstanceSpec("hung", SLEEPER, check=Address("127.0.0.1", closed.port))
        async with running_agent(spec) as (_, agent, _url):
            await until(lambda: agent.instances[0].lifecycle.restarts >= 1, 30)
            assert agent.instances[0].lifecycle.last_exit == -15

    run(scenario)


def test_a_real_toolcalls_instance_is_reloaded_drained_and_stopped(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with asyncio.timeout(50):
            reserved = await RespStore().start()  # reserves a port that is free afterwards
            await reserved.stop()
            text = (ROOT / "deploy" / "toolcalls.toml").read_text()
            (tmp_path / "t.toml").write_text(text.replace("127.0.0.1:7410", reserved.address))
            entry = {
                "name": "t",
                "kind": "toolcalls",
                "config": "t.toml",
                "check": reserved.address,
            }
            raw = {"name": "a", "store": {"url": "x"}, "instances": [entry]}
            (spec,) = agent_config.parse(raw, tmp_path).instances
            async with running_agent(spec, restart=replace(RESTART, startup_grace_s=40.0)) as (
                _,
                agent,
                _url,
            ):
                while True:
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", reserved.port)
                        break
                    except ConnectionRefusedError:
                        await asyncio.sleep(0.05)
                writer.write(b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n')
                assert b'"ready":true' in await reader.readline()
                (one,) = agent.instances
                status = (await one.request("GET", "/status")).body
                assert status["kind"] == "toolcalls" and status["launch"] == one.record.launch
                assert status["config"]["digest"] == expected_digest(one.spec)
                path = tmp_path / "t.toml"
                path.write_text(path.read_text().replace("127.0.0.1:7440", "127.0.0.1:7441"))
                await one.request("POST", "/reload", {"generation": 4})
                config = (await one.request("GET", "/status")).body["config"]
                assert config["digest"] == expected_digest(one.spec) and config["generation"] == 4
                path.write_text("name = 3")
                rejected = await one.request("POST", "/reload")
                assert (
                    rejected.status == 409 and rejected.body["config"]["digest"] == config["digest"]
                )
                assert (await one.request("POST", "/drain", {"deadline_ms": -1})).status == 400
                await one.request("POST", "/drain", {"notice_ms": 0})
                while (await one.request("GET", "/status")).body["drain"]["phase"] != "drained":
                    await asyncio.sleep(0.02)
                params = {"class": "part-lookup", "session": "s", "prompt": "p"}
                call = {"jsonrpc": "2.0", "id": 2, "method": "generate", "params": params}
                writer.write(json.dumps(call).encode() + b"\n")
                assert b"refused" in await reader.readline()
                assert (await one.request("POST", "/undrain")).body["ready"] is True
                writer.close()
            assert one.lifecycle.last_exit == 0 and one.lifecycle.restarts == 0, (
                "SIGTERM ends it with exit code 0"
            )

    run(scenario)


def test_instances_continue_to_run_while_the_store_is_down() -> None:
    async def scenario() -> None:
        async with running_agent(InstanceSpec("one", SLEEPER)) as (store, agent, url):
            await until(lambda: is_running(agent.instances[0]), 30)
            await store.stop()
            await until(lambda: agent.store_unavailable, 30)
            assert is_running(agent.instances[0])
            result = await asyncio.to_thread(
                CliRunner().invoke, app, ["agent", "list", "--store", url]
            )
            assert result.exit_code == 1 and "Traceback" not in result.output

    run(scenario)


def test_sighup_leaves_the_agent_and_its_instances_running() -> None:
    async def scenario() -> None:
        ended: list[int] = []
        # Replaces the default action, which would end the test process.
        signal.signal(signal.SIGHUP, lambda number, _: ended.append(number))
        store = RespStore()
        await store.start()
        config = make_config(f"redis://{store.address}/0", InstanceSpec("a", SLEEPER))
        running = asyncio.create_task(main.run(config))
        await until(
            lambda: any(json.loads(v).get("pid") for k, v in store.data.items() if k.endswith(":a"))
        )
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        assert not ended and not running.done()
        os.kill(os.getpid(), signal.SIGTERM)
        await running
        await store.stop()

    before = signal.getsignal(signal.SIGHUP)
    try:
        run(scenario)
    finally:
        signal.signal(signal.SIGHUP, before)


def test_the_shipped_configuration_is_valid_and_faulty_ones_are_rejected() -> None:
    shipped = agent_config.load(ROOT / "deploy" / "agent.toml")
    assert shipped.instances[0].command[-1] == str(ROOT / "deploy" / "toolcalls.toml")
    good = {
        "name": "a",
        "store": {"url": "x"},
        "instances": [{"name": "i", "kind": "serve", "config": "c"}],
    }
    for change in (
        {"instances": None},
        {"instances": [{"name": "i", "kind": "sh", "config": "c"}]},
        {"instances": good["instances"] * 2},  # type: ignore[operator]
        {"restart": {"first_s": 0}},
        {"restart": {"firsts": 1}},
        {"store": {}},
    ):
        with pytest.raises(ConfigError):
            agent_config.parse({**good, **change}, ROOT)
