"""Runs a rollout: carries out what ``rollout`` asks for, and keeps the record and the agents'
holds.
"""

import asyncio
import secrets
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from onyxpass.fleet.agent_client import AgentClient
from onyxpass.fleet.config import AgentRef, FleetConfig, Member, count_of
from onyxpass.fleet.outcome import InstanceOutcome, OutcomeKind, not_tried
from onyxpass.fleet.planner import DisruptionLimits, PlannedInstance
from onyxpass.fleet.record import RolloutRecord
from onyxpass.fleet.rollout import (
    ApplyChange,
    ChangeMethod,
    InstanceTarget,
    Observation,
    ObserveInstance,
    Rollout,
    RolloutAction,
    RolloutPace,
    RolloutStage,
    WakeAfter,
)
from onyxpass.fleet.rollout_lock import RolloutLockedError, process_identity
from onyxpass.fleet.views import View, look
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError

if TYPE_CHECKING:  # Redis comes with it, and only where a store is told
    from onyxpass.fleet.leases import RolloutLeases

HOLD_MS = 60_000  # an agent is free again so long after the last word of a rollout's tool
RENEW_S = 15.0
LOOK_S = 3.0  # one look at an instance
VERIFY_S = 5.0  # for one that can't be asked in the last look to be back
UNDER_WAY_PAUSE_S = 0.2
ABORT_POLL_S = 0.5


def limits_of(fleet: FleetConfig) -> DisruptionLimits:
    """The file's shares as numbers; a hall's share is of the smallest hall, so that it holds in
    each.
    """
    by_hall: dict[str, int] = {}
    for member in fleet.members:
        by_hall[member.hall] = by_hall.get(member.hall, 0) + 1
    return DisruptionLimits(
        out=count_of(fleet.limits.out, len(fleet.members)),
        out_hall=count_of(fleet.limits.out_hall, min(by_hall.values(), default=1)),
        out_host=fleet.limits.out_host,
        keep=fleet.keep,
    )


def units_of(views: Mapping[str, View]) -> list[PlannedInstance]:
    return [
        PlannedInstance(
            name, view.member.hall, view.member.host, view.member.capacity, view.serving
        )
        for name, view in views.items()
    ]


@dataclass(frozen=True, slots=True)
class ChangeOrder:
    """How each instance is ordered to change."""

    method: ChangeMethod = ChangeMethod.AUTO
    deadline_s: float = 60.0
    force: bool = False
    drain: bool = True

    def call(self, target: InstanceTarget, rollout: str) -> tuple[str, dict[str, Any]]:
        """The kind of operation, and what its call holds."""
        body: dict[str, Any] = {
            "rollout": rollout,
            "expect": target.digest,
            "force": self.force,
            "drain": self.drain,
        }
        if self.method is ChangeMethod.RESTART:
            return "restart", body
        return "reload", {**body, "restart": self.method is ChangeMethod.AUTO}


Told = Callable[[str, Mapping[str, Any]], None]


class RolloutRunner:
    """``told`` hears of each step: ``wave``, ``ordered``, ``settled``, ``stage``."""

    def __init__(
        self,
        id: str,
        rollout: Rollout,
        order: ChangeOrder,
        members: Mapping[str, Member],
        agent_client: AgentClient,
        record: RolloutRecord,
        told: Told = lambda _what, _detail: None,
        leases: "RolloutLeases | None" = None,
    ) -> None:
        self.id, self.rollout, self.order, self.members, self.leases = (
            id,
            rollout,
            order,
            members,
            leases,
        )
        self.agent_client, self.record, self.told = agent_client, record, told
        self.tasks: set[asyncio.Task[None]] = set()
        self.changed = asyncio.Event()
        self.known: dict[str, InstanceOutcome] = {}
        self.operations: dict[str, str] = {}  # by name, as they stand on record

    @property
    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    # Holds

    async def take_agents(self) -> None:
        """Held, with nothing done, where an agent is another rollout's. A silent agent is no
        hindrance.
        """
        agents = self._agents()
        answers = await asyncio.gather(*(self._hold(agent) for agent in agents))
        if reasons := [reason for reason in answers if reason]:
            await self.give_agents_back()
            raise RolloutLockedError(reasons[0])

    def _agents(self) -> list[AgentRef]:
        return list(
            {
                m.host: m.agent for name, m in self.members.items() if name in self.rollout.targets
            }.values()
        )

    async def _hold(self, agent: AgentRef) -> str:
        body: dict[str, Any] = {"rollout": self.id, "holder": process_identity(), "ttl_ms": HOLD_MS}
        if self.leases is not None:
            if (shown := self.leases.proof_for(agent)) is None:
                return f"{agent.host}: the lease of its hall is gone"
            body["lease"] = shown
        due_s = self.now_s + self.order.deadline_s
        try:
            answer = await self.agent_client.call(agent, "POST", "/v1/hold", body, LOOK_S)
            # by whoever had the lease before
            while answer.body.get("under_way") and self.now_s < due_s:
                await asyncio.sleep(UNDER_WAY_PAUSE_S)
                answer = await self.agent_client.call(agent, "POST", "/v1/hold", body, LOOK_S)
        except (RequestNotSentError, ResponseLostError):
            return ""
        if answer.status != 409:
            return ""
        if answer.body.get("stale") or answer.body.get("under_way"):
            return f"{agent.host}: {answer.reason}"
        hold = answer.body.get("hold") or {}
        return f"{agent.host}: rollout {hold.get('rollout')} is held by {hold.get('holder')}"

    async def give_agents_back(self) -> None:
        async def release(agent: AgentRef) -> None:
            if problem := await self.agent_client.release(agent, self.id):
                self.told("release", {"host": agent.host, "problem": problem})

        await asyncio.gather(*(release(agent) for agent in self._agents()))

    async def _keep_agents(self) -> None:
        while True:
            await asyncio.sleep(RENEW_S)
            await asyncio.gather(*(self._hold(agent) for agent in self._agents()))

    # The run

    async def run(self, operations: Mapping[str, str] | None = None) -> Rollout:
        """To the end. ``operations``: what a tool before this one ordered, by instance, from the
        record.
        """
        self.operations.update(operations or {})
        beside = [
            asyncio.create_task(self._keep_agents()),
            asyncio.create_task(self._watch_for_abort()),
        ]
        try:
            self._carry_out(self.rollout.begin(self.operations))
            while self.rollout.stage is not RolloutStage.ENDED:
                self.changed.clear()
                await self.changed.wait()
        finally:
            for task in (*beside, *self.tasks):
                task.cancel()
            await asyncio.gather(*beside, *self.tasks, return_exceptions=True)
        self._settled()
        return self.rollout

    async def _watch_for_abort(self) -> None:
        while True:
            await asyncio.sleep(ABORT_POLL_S)
            if reason := self.record.requested_abort(self.id):
                self.abort(reason)
                return

    def abort(self, reason: str) -> None:
        self._carry_out(self.rollout.abort(reason, self.now_s))

    def _carry_out(self, actions: list[RolloutAction]) -> None:
        orders = [action.name for action in actions if isinstance(action, ApplyChange)]
        if orders:
            self.told("wave", {"number": len(self.rollout.waves), "instances": orders})
        for action in actions:
            match action:
                case ApplyChange(name):
                    self._beside(self._apply(name))
                case ObserveInstance(name):
                    self._beside(self._look(name))
                case WakeAfter(after_s):
                    self.told("pause", {"seconds": after_s})
                    self._beside(self._wake(after_s))
        self._settled()
        self.changed.set()

    def _settled(self) -> None:
        """Put on record, and tell, what has become known."""
        for name, outcome in self.rollout.tally.outcomes().items():
            final = outcome.kind is not OutcomeKind.NOT_TRIED or self.rollout.stage in (
                RolloutStage.VERIFYING,
                RolloutStage.ENDED,
            )
            if final and self.known.get(name) != outcome:
                self.known[name] = outcome
                self.record.record_outcome(self.id, name, outcome)
                self.told("settled", {"instance": name, **outcome.to_dict()})

    def _beside(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            # Guards against a rollout that waits for ever for a step that failed here.
            self.rollout.abort(f"the tool's own fault: {problem!r}", self.now_s)
            self.rollout.stage = RolloutStage.ENDED
            self.changed.set()

    async def _wake(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._carry_out(self.rollout.tick(self.now_s))

    async def _apply(self, name: str) -> None:
        lease = self.leases.proof_for(self.members[name].agent) if self.leases is not None else None
        if self.leases is not None and lease is None:
            # Guards against orders by a tool that stood still while its lease went to another.
            self.abort(reason := "its lease is gone")
            self._carry_out(self.rollout.ended(name, not_tried(reason), Observation(), self.now_s))
            return
        operation = secrets.token_hex(8)
        self.record.record_order(self.id, name, operation)
        self.operations[name] = operation
        kind, body = self.order.call(self.rollout.targets[name], self.id)
        body |= {"lease": lease} if lease is not None else {}
        self.told("ordered", {"instance": name, "kind": kind, "operation": operation})
        outcome = await self.agent_client.order(
            self.members[name], kind, operation, body, self.order.deadline_s
        )
        view = await look(self.agent_client, self.members[name], LOOK_S)
        self._carry_out(self.rollout.ended(name, outcome, view.observation(), self.now_s))

    async def _look(self, name: str) -> None:
        """How it stands; what its agent is still carrying out is waited for, within the order's
        own time.
        """
        began_s = self.now_s
        due_s = began_s + self.order.deadline_s
        while True:
            view = await look(self.agent_client, self.members[name], LOOK_S)
            observation: Observation = view.observation()
            waits = bool(observation.under_way)
            if self.rollout.stage is RolloutStage.VERIFYING and observation.digest is None:
                # Guards against one that is just starting being called unknown: it soon says what
                # it is.
                waits, due_s = True, min(due_s, began_s + VERIFY_S)
            if not waits or self.now_s >= due_s:
                break
            await asyncio.sleep(UNDER_WAY_PAUSE_S)
        self._carry_out(self.rollout.seen(name, observation, self.now_s))


def pace_of(fleet: FleetConfig) -> RolloutPace:
    return RolloutPace(fleet.limits.canaries, fleet.limits.pause_s, fleet.limits.abort_after)
