"""Several processes of the program with faults between them; their histories are checked at the end."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from standins import until
from test_fleet import run

from onyxpass.fleet import config as fleet_config
from onyxpass.fleet.controller import FleetController
from onyxpass.fleet.leases import RolloutLeases
from onyxpass.fleet.rollout import ChangeMethod
from onyxpass.fleet.runner import ChangeOrder
from onyxpass.history_checkers import history
from onyxpass.history_checkers.history import HistoryLine
from onyxpass.net.http_client import ResponseLostError
from onyxpass.testbed.process_trial import ProcessTrial, draw_schedule, process_trial, run_schedule


def count_changes(lines: list[HistoryLine], holder: str) -> int:
    return sum(line.kind == "begin" and str(line["holder"]) == holder for line in lines)


def test_a_tool_that_resumes_after_losing_its_lease_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with process_trial(tmp_path) as t:
            await t.start("a")
            await until(lambda: t.find_lines("begin"), 60)
            await t.start("b")
            await until(lambda: t.find_lines("ask", "tool-b"), 60)
            t.tools["a"].send_signal(signal.SIGSTOP)
            await until(lambda: t.find_lines("held", "tool-b"), 60)
            t.tools["a"].send_signal(signal.SIGCONT)
            (code, report, err), (code_a, report_a, _) = await asyncio.gather(
                t.tool_result("b"), t.tool_result("a")
            )
            assert code == 0 and report["counts"]["done"] == 4, (report, err)
            assert code_a == 1 and report_a["counts"]["not tried"] >= 1, report_a
            first, second = (str(line["holder"]) for line in t.find_lines("held"))
            lines = t.history_lines()
            second_start = next(
                i
                for i, line in enumerate(lines)
                if line.kind == "held" and line["holder"] == second
            )
            assert (
                count_changes(lines, first) >= 1 and count_changes(lines[second_start:], first) == 0
            )
            t.check_history()

    run(scenario)


@pytest.mark.parametrize("fault", ["cut", "killed", "store paused", "store empty", "store older"])
def test_a_second_rollout_completes_after_a_fault_in_the_first(tmp_path: Path, fault: str) -> None:
    """A second rollout must run after the first, never at the same time, whatever fails meanwhile."""

    async def inject(t: ProcessTrial, older: dict[str, str]) -> None:
        match fault:
            case "cut":
                t.store_links["a"].cut()
            case "killed":
                t.tools["a"].kill()
            case "store paused":
                t.store.running.clear()
                await until(lambda: t.find_lines("lost", "tool-a"), 60)
                t.store.running.set()
            case "store empty":
                await t.store.restart()
            case "store older":
                await t.store.restart(older)

    async def scenario() -> None:
        async with process_trial(tmp_path) as t:
            older = t.store.snapshot()
            await t.start("a")
            await until(lambda: t.find_lines("begin"), 60)
            await inject(t, older)
            await t.start("b")
            code_a, _, _ = await t.tool_result("a")
            assert code_a != 0, "the first rollout cannot be completed"
            code, report, err = await t.tool_result("b")
            assert code == 0 and report["counts"]["done"] == 4, (report, err)
            t.check_history()

    run(scenario)


def test_an_agent_refuses_changes_of_a_tool_whose_lease_has_expired_unnoticed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The tool's own expiry check is disabled, so that only the agent can refuse its changes."""
    first_proofs: dict[str, Any] = {}
    proof_for: Callable[..., Any] = RolloutLeases.proof_for

    def first_proof_for(self: RolloutLeases, agent: Any) -> Any:
        first_proofs.setdefault(agent.hall, proof_for(self, agent))
        return first_proofs[agent.hall]

    async def scenario() -> None:
        monkeypatch.setattr(RolloutLeases, "proof_for", first_proof_for)
        monkeypatch.setattr("onyxpass.fleet.runner.RolloutRunner.abort", lambda self, reason: None)
        async with process_trial(tmp_path) as t:
            controller = FleetController(fleet_config.load(tmp_path / "fleet-a.toml"))
            members = controller.fleet.members
            rollout = asyncio.create_task(
                controller.run_rollout(members, ChangeOrder(ChangeMethod.RESTART, 20.0))
            )
            await until(lambda: t.find_lines("begin"), 60)
            t.store_links["a"].cut()
            await t.start("b")
            await until(lambda: t.find_lines("held", "tool-b"), 60)
            _, report = await rollout
            assert report.tally.counts()["failed"] >= 1, report.to_dict()
            assert t.find_lines("refused", "agent-"), "the agent had to refuse a change"
            code, report_b, _ = await t.tool_result("b")
            assert code in (0, 1) and report_b
            agents = [line for line in t.history_lines() if line.source.startswith("agent-")]
            assert not history.breaches(agents, ["effects apart", "tokens grow"])

    run(scenario)


class CutOffTool:
    """A tool whose first order does not arrive; it goes on once ``may_go_on`` is set."""

    def __init__(self, trial: ProcessTrial) -> None:
        fleet = fleet_config.load(trial.site.folder / "fleet-a.toml")
        self.controller, self.trial = FleetController(fleet), trial
        self.is_cut_off, self.may_go_on = asyncio.Event(), asyncio.Event()
        self._call = self.controller.agent_client.call
        self.controller.agent_client.call = self.call  # type: ignore[method-assign]

    async def call(self, agent: Any, method: str, target: str, *rest: Any) -> Any:
        is_order = method == "POST" and target.startswith("/v1/instances/")
        if is_order and not self.is_cut_off.is_set():
            self.trial.store_links["a"].cut()
            self.is_cut_off.set()
            await self.may_go_on.wait()
            raise ResponseLostError("planted")
        return await self._call(agent, method, target, *rest)


async def restart_instances(controller: FleetController, *names: str) -> dict[str, int]:
    members = [member for member in controller.fleet.members if member.name in names]
    _, report = await controller.run_rollout(members, ChangeOrder(ChangeMethod.RESTART, 12.0))
    return report.tally.counts()


@pytest.mark.parametrize("guard", ["tool", "fence", "age"])
def test_an_order_under_a_lease_that_has_passed_on_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, guard: str
) -> None:
    """Guards against two holders that act at once, on hosts that do not share an agent: the first
    one's order was sent again, and its agent knew nothing of the second one. Each guard alone.
    """
    first_proofs: dict[str, Any] = {}
    dated_proof_for = RolloutLeases.dated_proof_for

    async def undated_proof_for(self: RolloutLeases, agent: Any, _timeout_s: float) -> Any:
        return self.proof_for(agent)

    async def first_proof_for(self: RolloutLeases, agent: Any, timeout_s: float) -> Any:
        """Return the first proof of each lease, as a tool would that doesn't look at its time."""
        proof = await dated_proof_for(self, agent, timeout_s)
        if self._fleet.state.name != "rollouts-a":
            return proof
        if proof is not None and guard == "fence":
            proof = {name: value for name, value in proof.items() if name != "until"}
        return first_proofs.setdefault(agent.host, proof)

    async def scenario() -> None:
        monkeypatch.setattr(
            RolloutLeases,
            "dated_proof_for",
            undated_proof_for if guard == "tool" else first_proof_for,
        )
        if guard != "fence":
            monkeypatch.setattr(RolloutLeases, "agents", lambda _self: [])
        async with process_trial(tmp_path) as t:
            tool = CutOffTool(t)
            first = asyncio.create_task(restart_instances(tool.controller, "d1", "d2"))
            await asyncio.wait_for(tool.is_cut_off.wait(), 60)
            other = FleetController(fleet_config.load(tmp_path / "fleet-b.toml"))
            second = asyncio.create_task(restart_instances(other, "d3", "d4"))
            await until(lambda: t.find_lines("begin", "agent-h2"), 60)
            tool.may_go_on.set()
            assert (await second)["done"] == 2
            counts = await first
            assert counts["done"] == 0 and counts["failed"] == 1, counts
            begun = [line.source for line in t.history_lines() if line.kind == "begin"]
            assert "agent-h1" not in "".join(begun[begun.index("agent-h2.log") :]), begun
            assert bool(t.find_lines("refused", "agent-h1")) == (guard != "tool")

    run(scenario)


def test_an_order_under_way_at_an_agents_stop_has_an_end(tmp_path: Path) -> None:
    """Guards against an order that is told as failed though it may have had its effect, or that has
    no end at all: the agent closed its state before the orders under way were ended.
    """

    async def scenario() -> None:
        async with process_trial(tmp_path) as t:
            await t.start("a")
            await until(lambda: t.find_lines("begin"), 60)
            begun = t.find_lines("begin")[0]
            host = next(h for h in t.site.hosts if begun.source == f"agent-{h.name}.log")
            assert host.process is not None
            host.process.terminate()
            assert await asyncio.wait_for(host.process.wait(), 60) == 0
            ended = t.find_lines("end", begun.source, effect=begun["effect"])
            assert [line["state"] for line in ended] == ["unknown"]
            await t.site.start(host)
            await t.tool_result("a")

    run(scenario)


def test_a_seed_always_draws_the_same_schedule_and_many_seeds_draw_every_kind_of_fault() -> None:
    assert draw_schedule(5) == draw_schedule(5) != draw_schedule(6)
    assert len({fault.kind for seed in range(40) for fault in draw_schedule(seed)}) == 14


@pytest.mark.parametrize("seed", [1, 2])
def test_a_drawn_fault_schedule_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    """A failure names the faults of its schedule, which the seed repeats.

    `make bench-schedules` runs more seeds.
    """

    async def scenario() -> None:
        try:
            await run_schedule(tmp_path, seed)
        except AssertionError as problem:
            raise AssertionError(
                "\n".join([str(problem), *(s.describe() for s in draw_schedule(seed))])
            ) from problem

    run(scenario)
