"""Every stop has an end, whatever does not end in it.

Guards against programs that wait for ever at SIGTERM, and are killed by their supervisor without a
word of what they were waiting for.
"""

import asyncio
import time
from dataclasses import replace
from pathlib import Path

import pytest
import standins as st
import structlog
import test_toolcalls as calls
from test_endless_input import run_rpc

from onyxpass.agent import main
from onyxpass.agent.config import AgentConfig
from onyxpass.agent.supervisor import Agent
from onyxpass.config.platform_file import ConfigError
from onyxpass.stop_limit import stop_within
from onyxpass.toolcalls.service import DEFAULT_STOP_S, parse

SHORT_S = 0.1
SLACK_S = 5.0  # on a busy machine; without a limit the stops below never end


async def wait_for_ever(*_: object) -> None:
    await asyncio.Event().wait()


def test_a_stop_that_does_not_end_is_left_and_what_remains_is_logged() -> None:
    async def scenario() -> None:
        with structlog.testing.capture_logs() as lines:
            assert not await stop_within(SHORT_S, wait_for_ever(), lambda: {"requests": ["r1"]})
        (line,) = lines
        assert (line["event"], line["requests"]) == ("stop_overdue", ["r1"])
        assert await stop_within(SLACK_S, asyncio.sleep(0))

    asyncio.run(scenario())


def test_a_time_out_within_a_stop_is_not_taken_for_its_limit() -> None:
    async def fail() -> None:
        raise TimeoutError("its own")

    with pytest.raises(TimeoutError, match="its own"):
        asyncio.run(stop_within(SLACK_S, fail()))


def test_the_rpc_front_closes_what_is_left_after_its_time() -> None:
    async def scenario() -> None:
        async with calls.world(wait_for_ever) as bed:
            client = await bed.client()
            client.generate(1, request="r1", timeout_ms=600_000)
            await st.until(lambda: bed.service.core.registry.by_number)
            bed.service.config = replace(bed.service.config, stop_s=SHORT_S)
            began_s = time.monotonic()
            with structlog.testing.capture_logs() as lines:
                await bed.service.stop()
            assert time.monotonic() - began_s <= SHORT_S + SLACK_S
            overdue = [line for line in lines if line["event"] == "stop_overdue"]
            assert [line["requests"] for line in overdue] == [["r1"]]

    run_rpc(scenario)


@pytest.mark.parametrize("value", [0, -1, float("inf"), float("nan"), "soon"])
def test_a_time_for_the_stop_that_is_none_is_rejected(value: object) -> None:
    raw = calls.ToolCallTestBed().config()
    assert parse(raw).stop_s == DEFAULT_STOP_S
    with pytest.raises(ConfigError):
        parse({**raw, "stop_s": value})


def test_an_agent_ends_although_an_instance_does_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        config = AgentConfig("h1", "", (), state=tmp_path / "state", termination_grace_s=SHORT_S)
        agent = Agent(config)
        monkeypatch.setattr(main, "STOP_MARGIN_S", SHORT_S)
        monkeypatch.setattr(agent, "stop", wait_for_ever)
        with structlog.testing.capture_logs() as lines:
            await asyncio.wait_for(main.stop_agent(agent, None), SLACK_S)
        assert [line["event"] for line in lines] == ["stop_overdue"]
        Agent(config).close()

    asyncio.run(scenario())
