"""Runs a rollout: performs its actions, writes its record and renews its locks on the agents."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from functools import partial
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
from onyxpass.fleet.views import InstanceView, fetch_view
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError

if TYPE_CHECKING:  # the module imports Redis, which is needed only with a configured store
    from onyxpass.fleet.leases import RolloutLeases

HOLD_TTL_MS = 60_000  # after which an agent releases a rollout's lock that is not renewed
HOLD_RENEWAL_S = 15.0
CALL_TIMEOUT_S = 3.0  # for reading an instance's state or taking an agent's lock
VERIFY_TIMEOUT_S = 5.0  # for an instance to answer while changes are verified
IN_PROGRESS_POLL_S = 0.2
ABORT_POLL_S = 0.5


def disruption_limits(fleet: FleetConfig) -> DisruptionLimits:
    """Return the fleet's limits as numbers of instances.

    A hall's share is taken of the smallest hall, so that it holds in each hall.
    """
    hall_sizes: dict[str, int] = {}
    for member in fleet.members:
        hall_sizes[member.hall] = hall_sizes.get(member.hall, 0) + 1
    return DisruptionLimits(
        out=count_of(fleet.limits.out, len(fleet.members)),
        out_hall=count_of(fleet.limits.out_hall, min(hall_sizes.values(), default=1)),
        out_host=fleet.limits.out_host,
        keep=fleet.keep,
    )


def planned_instances(views: Mapping[str, InstanceView]) -> list[PlannedInstance]:
    return [
        PlannedInstance(
            name, view.member.hall, view.member.host, view.member.capacity, view.serving
        )
        for name, view in views.items()
    ]


@dataclass(frozen=True, slots=True)
class ChangeOrder:
    """How each instance is changed: the method, its time limit, and the options of the order."""

    method: ChangeMethod = ChangeMethod.AUTO
    deadline_s: float = 60.0
    force: bool = False
    drain: bool = True

    def request(self, target: InstanceTarget, rollout: str) -> tuple[str, dict[str, Any]]:
        """Return the kind of operation and the body of its request."""
        body: dict[str, Any] = {
            "rollout": rollout,
            "expect": target.digest,
            "force": self.force,
            "drain": self.drain,
        }
        if self.method is ChangeMethod.RESTART:
            return "restart", body
        return "reload", {**body, "restart": self.method is ChangeMethod.AUTO}


StepListener = Callable[[str, Mapping[str, Any]], None]
"""Called with the name of a step and its details."""


class RolloutRunner:
    """Runs one rollout.

    ``on_step`` is called with the steps ``wave``, ``ordered``, ``settled`` and ``pause``, and with
    ``release`` for an agent that could not be released.
    """

    def __init__(
        self,
        id: str,
        rollout: Rollout,
        order: ChangeOrder,
        members: Mapping[str, Member],
        agent_client: AgentClient,
        record: RolloutRecord,
        on_step: StepListener = lambda _what, _detail: None,
        leases: "RolloutLeases | None" = None,
    ) -> None:
        self.id, self.rollout, self.order, self.members, self.leases = (
            id,
            rollout,
            order,
            members,
            leases,
        )
        self.agent_client, self.record, self.on_step = agent_client, record, on_step
        self.tasks: set[asyncio.Task[None]] = set()
        self.changed = asyncio.Event()
        self.reported_outcomes: dict[str, InstanceOutcome] = {}
        self.operations: dict[str, str] = {}  # operation ids on record, by instance

    @property
    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    # Locks on agents

    async def acquire_agents(self) -> None:
        """Lock all agents of the instances to change for this rollout.

        All other agents of the leased halls learn who holds the lease now. Raises
        RolloutLockedError, and releases all agents, if another rollout holds one or a lease is lost
        or rejected. An agent that does not answer, or reports another error, is ignored.
        """
        answers = await self._claim_agents()
        if reasons := [reason for reason in answers if reason]:
            await self.release_agents()
            raise RolloutLockedError(reasons[0])

    def _agents(self) -> list[AgentRef]:
        return list(
            {
                m.host: m.agent for name, m in self.members.items() if name in self.rollout.targets
            }.values()
        )

    async def _claim_agents(self) -> list[str]:
        """Lock agents and announce the lease, or renew that; return the reasons of refusals."""
        locked = self._agents()
        hosts = {agent.host for agent in locked}
        others = self.leases.agents() if self.leases is not None else ()
        return await asyncio.gather(
            *(self._acquire_agent(agent) for agent in locked),
            *(
                self._claim_agent(agent, "/v1/fence", {})
                for agent in others
                if agent.host not in hosts
            ),
        )

    async def _acquire_agent(self, agent: AgentRef) -> str:
        """Lock an agent, or renew its lock; see ``_claim_agent``."""
        body = {"rollout": self.id, "holder": process_identity(), "ttl_ms": HOLD_TTL_MS}
        return await self._claim_agent(agent, "/v1/hold", body)

    async def _claim_agent(self, agent: AgentRef, target: str, body: Mapping[str, Any]) -> str:
        """Call an agent under its lease; return why it is refused, else an empty text.

        The text is also empty if the agent does not answer or its error is not a conflict.
        """
        due_s = self.now_s + self.order.deadline_s
        while True:
            try:
                proof = await self._prove_lease(agent, CALL_TIMEOUT_S)
                if self.leases is not None and proof is None:
                    return f"{agent.host}: the lease of its hall is lost"
                request = {**body, "lease": proof} if proof is not None else body
                answer = await self.agent_client.call(
                    agent, "POST", target, request, CALL_TIMEOUT_S
                )
            except (RequestNotSentError, ResponseLostError):
                return ""
            # Waits for an operation that the previous holder of the lease ordered.
            must_wait = answer.body.get("under_way") or answer.body.get("expired")
            if not must_wait or self.now_s >= due_s:
                break
            await asyncio.sleep(IN_PROGRESS_POLL_S)
        if answer.status != 409:
            return ""
        if must_wait or answer.body.get("stale"):
            return f"{agent.host}: {answer.reason}"
        hold = answer.body.get("hold") or {}
        return f"{agent.host}: rollout {hold.get('rollout')} is held by {hold.get('holder')}"

    async def _prove_lease(self, agent: AgentRef, timeout_s: float) -> Mapping[str, Any] | None:
        if self.leases is None:
            return None
        return await self.leases.dated_proof_for(agent, timeout_s)

    async def release_agents(self) -> None:
        """Release all agents; a failure is passed to ``on_step``."""

        async def release(agent: AgentRef) -> None:
            if error := await self.agent_client.release(agent, self.id):
                self.on_step("release", {"host": agent.host, "problem": error})

        await asyncio.gather(*(release(agent) for agent in self._agents()))

    async def _renew_agents(self) -> None:
        while True:
            await asyncio.sleep(HOLD_RENEWAL_S)
            await self._claim_agents()

    # The run

    async def run(self, operations: Mapping[str, str] | None = None) -> Rollout:
        """Run the rollout to its end.

        ``operations`` are the ids of the operations that an earlier process ordered, by instance,
        from the record.
        """
        self.operations.update(operations or {})
        background = [
            asyncio.create_task(self._renew_agents()),
            asyncio.create_task(self._watch_for_abort()),
        ]
        try:
            self._perform(self.rollout.begin(self.operations))
            while self.rollout.stage is not RolloutStage.ENDED:
                self.changed.clear()
                await self.changed.wait()
        finally:
            for task in (*background, *self.tasks):
                task.cancel()
            await asyncio.gather(*background, *self.tasks, return_exceptions=True)
        self._report_settled()
        return self.rollout

    async def _watch_for_abort(self) -> None:
        while True:
            await asyncio.sleep(ABORT_POLL_S)
            if reason := self.record.requested_abort(self.id):
                self.abort(reason)
                return

    def abort(self, reason: str) -> None:
        self._perform(self.rollout.abort(reason, self.now_s))

    def _perform(self, actions: list[RolloutAction]) -> None:
        orders = [action.name for action in actions if isinstance(action, ApplyChange)]
        if orders:
            self.on_step("wave", {"number": len(self.rollout.waves), "instances": orders})
        for action in actions:
            match action:
                case ApplyChange(name):
                    self._start_task(self._apply(name))
                case ObserveInstance(name):
                    self._start_task(self._observe(name))
                case WakeAfter(delay_s):
                    self.on_step("pause", {"seconds": delay_s})
                    self._start_task(self._wake(delay_s))
        self._report_settled()
        self.changed.set()

    def _report_settled(self) -> None:
        """Record and report the outcomes that are new or have changed."""
        for name, outcome in self.rollout.tally.outcomes().items():
            is_settled = outcome.kind is not OutcomeKind.NOT_TRIED or self.rollout.stage in (
                RolloutStage.VERIFYING,
                RolloutStage.ENDED,
            )
            if is_settled and self.reported_outcomes.get(name) != outcome:
                self.reported_outcomes[name] = outcome
                self.record.record_outcome(self.id, name, outcome)
                self.on_step("settled", {"instance": name, **outcome.to_dict()})

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            # Prevents the rollout from waiting forever for the step that failed.
            self.rollout.abort(f"internal error: {error!r}", self.now_s)
            self.rollout.stage = RolloutStage.ENDED
            self.changed.set()

    async def _wake(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._perform(self.rollout.on_timer(self.now_s))

    async def _apply(self, name: str) -> None:
        agent = self.members[name].agent
        if self.leases is not None and self.leases.proof_for(agent) is None:
            # Prevents an order by a process that was suspended while another took over its lease.
            self.abort(reason := "the lease of its hall is lost")
            self._perform(
                self.rollout.on_change_ended(name, not_tried(reason), Observation(), self.now_s)
            )
            return
        operation = secrets.token_hex(8)
        self.record.record_order(self.id, name, operation)
        self.operations[name] = operation
        kind, body = self.order.request(self.rollout.targets[name], self.id)
        self.on_step("ordered", {"instance": name, "kind": kind, "operation": operation})
        outcome = await self.agent_client.order(
            self.members[name],
            kind,
            operation,
            body,
            self.order.deadline_s,
            prove_lease=partial(self._prove_lease, agent) if self.leases is not None else None,
        )
        view = await fetch_view(self.agent_client, self.members[name], CALL_TIMEOUT_S)
        self._perform(self.rollout.on_change_ended(name, outcome, view.observation(), self.now_s))

    async def _observe(self, name: str) -> None:
        """Observe an instance once its agent has no operation in progress on it.

        The wait is limited to the order's deadline.
        """
        began_s = self.now_s
        due_s = began_s + self.order.deadline_s
        while True:
            view = await fetch_view(self.agent_client, self.members[name], CALL_TIMEOUT_S)
            observation: Observation = view.observation()
            must_wait = bool(observation.operation_id)
            if self.rollout.stage is RolloutStage.VERIFYING and observation.digest is None:
                # Prevents an instance that is just starting from being reported as unknown.
                must_wait, due_s = True, min(due_s, began_s + VERIFY_TIMEOUT_S)
            if not must_wait or self.now_s >= due_s:
                break
            await asyncio.sleep(IN_PROGRESS_POLL_S)
        self._perform(self.rollout.on_observed(name, observation, self.now_s))


def rollout_pace(fleet: FleetConfig) -> RolloutPace:
    return RolloutPace(fleet.limits.canaries, fleet.limits.pause_s, fleet.limits.abort_after)
