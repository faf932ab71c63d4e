"""The operations behind the commands of ``onyxpass fleet``, without their output."""

import asyncio
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass, field, replace
from typing import TYPE_CHECKING, Any

from onyxpass.config.platform_file import ConfigError
from onyxpass.fleet.agent_client import AgentClient
from onyxpass.fleet.config import FleetConfig, Member
from onyxpass.fleet.outcome import InstanceOutcome, OutcomeTally, failed, not_tried, unknown
from onyxpass.fleet.planner import Plan, Planner, plan
from onyxpass.fleet.record import RecordedRollout, RolloutRecord, RolloutState
from onyxpass.fleet.rollout import ChangeMethod, InstanceTarget, Rollout
from onyxpass.fleet.runner import (
    ChangeOrder,
    RolloutRunner,
    StepListener,
    disruption_limits,
    planned_instances,
    rollout_pace,
)
from onyxpass.fleet.views import InstanceView, fetch_view, fetch_views
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError

if TYPE_CHECKING:
    from onyxpass.fleet.leases import RolloutLeases

VIEW_TIMEOUT_S = 3.0
FINAL_VIEW_TIMEOUT_S = 3.0  # for reading the instances' state after an order


class CommandRejectedError(ValueError):
    """The command was rejected before anything was done; the message says why."""


@dataclass(frozen=True, slots=True)
class Report:
    """The outcome of a command for each selected instance."""

    command: str
    members: Sequence[Member]
    tally: OutcomeTally
    views: Mapping[str, InstanceView] = field(default_factory=dict)
    seconds: float = 0.0
    peak_connections: int = 0  # most connections open at once

    def to_dict(self) -> dict[str, Any]:
        rows = []
        for member in self.members:
            row: dict[str, Any] = {
                "instance": member.name,
                "hall": member.hall,
                "host": member.host,
            }
            row |= self.tally.outcomes()[member.name].to_dict()
            if (view := self.views.get(member.name)) is not None:
                row |= {"told": dict(view.report) if view.report is not None else None}
            rows.append(row)
        return {
            "command": self.command,
            "selected": len(self.members),
            "counts": self.tally.counts(),
            "exit": int(self.tally.exit_code()),
            "seconds": round(self.seconds, 3),
            "instances": rows,
        }


class FleetController:
    """Carries out commands on a fleet through the agents of its instances."""

    def __init__(self, fleet: FleetConfig) -> None:
        """Read the agents' keys; ConfigError if one can't be used."""
        self.fleet = fleet
        self.agent_client = AgentClient(fleet.agents)
        self.leases: RolloutLeases | None = None

    def _make_report(
        self,
        command: str,
        members: Sequence[Member],
        tally: OutcomeTally,
        views: Mapping[str, InstanceView],
        began_s: float,
    ) -> Report:
        return Report(
            command,
            members,
            tally,
            views,
            time.monotonic() - began_s,
            self.agent_client.peak_connections,
        )

    async def survey(self, members: Sequence[Member], within_s: float = VIEW_TIMEOUT_S) -> Report:
        """Read the state of each member.

        The outcome is done if the member's state was read, else unknown.
        """
        began_s, tally = time.monotonic(), OutcomeTally(member.name for member in members)
        views = await fetch_views(self.agent_client, members, within_s)
        for name, view in views.items():
            tally.settle(name, view.outcome)
        return self._make_report("list", members, tally, views, began_s)

    async def inspect(self, members: Sequence[Member], within_s: float = VIEW_TIMEOUT_S) -> Report:
        """Read the state of each member with a call of its own, which adds the last exits."""
        began_s, tally = time.monotonic(), OutcomeTally(member.name for member in members)
        fetched = await asyncio.gather(
            *(fetch_view(self.agent_client, member, within_s) for member in members)
        )
        views = {view.member.name: view for view in fetched}
        for name, view in views.items():
            tally.settle(name, view.outcome)
        return self._make_report("inspect", members, tally, views, began_s)

    async def order(
        self,
        kind: str,
        members: Sequence[Member],
        deadline_s: float,
        options: Mapping[str, Any],
        *,
        regardless: bool = False,
        on_answer: Callable[[str, Mapping[str, Any]], None] = lambda _name, _body: None,
    ) -> Report:
        """Send one order to all members at once.

        Raises CommandRejectedError if that would exceed the fleet's limits, unless ``regardless``.
        ``on_answer`` is called with an instance's name and the body of each answer.
        """
        began_s, tally = time.monotonic(), OutcomeTally(member.name for member in members)
        if kind in ("drain", "restart", "stop") and not regardless:
            await self._check_limits(kind, members)

        async def order_one(member: Member) -> tuple[str, InstanceOutcome]:
            operation = secrets.token_hex(8)
            listener = lambda body: on_answer(member.name, body)  # noqa: E731
            try:
                return member.name, await self.agent_client.order(
                    member, kind, operation, options, deadline_s, listener
                )
            # prevents a fault with one instance from hiding the outcomes of all others
            except Exception as error:
                return member.name, unknown(f"internal error: {error!r}")

        for name, outcome in await asyncio.gather(*(order_one(member) for member in members)):
            tally.settle(name, outcome)
        views = await fetch_views(self.agent_client, members, FINAL_VIEW_TIMEOUT_S)
        return self._make_report(kind, members, tally, views, began_s)

    async def _check_limits(self, kind: str, members: Sequence[Member]) -> None:
        views = await fetch_views(self.agent_client, self.fleet.members, VIEW_TIMEOUT_S)
        planner = Planner(
            planned_instances(views),
            [member.name for member in members],
            disruption_limits(self.fleet),
        )
        wave = {instance.name for instance in planner.next_wave()}
        if excluded := sorted({member.name for member in members} - wave):
            raise CommandRejectedError(
                f"{kind} of {len(members)} at once exceeds the fleet's limits (in its present state "
                f"{len(wave)} may go together; not {excluded[0]}): use a rollout, fewer instances, "
                "or --regardless"
            )

    async def events(
        self, since: Mapping[str, int], within_s: float = VIEW_TIMEOUT_S
    ) -> tuple[list[dict[str, Any]], list[str]]:
        """Return the events of all agents, sorted by time, and an error line for each failed call.

        ``since`` is the number of the last known event by host; only later events are returned.
        """

        async def fetch_events(host: str) -> tuple[list[dict[str, Any]], str]:
            agent = next(agent for agent in self.fleet.agents if agent.host == host)
            try:
                target = f"/v1/events?since={since.get(host, 0)}"
                answer = await self.agent_client.call(agent, "GET", target, None, within_s)
            except (RequestNotSentError, ResponseLostError) as error:
                return [], f"{host}: {error}"
            if answer.status != 200:
                return [], f"{host}: {answer.reason}"
            return [{"host": host, **event} for event in answer.body.get("events", ())], ""

        answers = await asyncio.gather(*(fetch_events(agent.host) for agent in self.fleet.agents))
        events = sorted(
            (event for host_events, _ in answers for event in host_events),
            key=lambda event: (event["at"], event["host"], event["number"]),
        )
        return events, [error for _, error in answers if error]

    # Rollouts

    async def plan_rollout(
        self, members: Sequence[Member], method: ChangeMethod
    ) -> tuple[
        Plan, dict[str, InstanceTarget], dict[str, InstanceOutcome], dict[str, InstanceView]
    ]:
        """Return the waves if all changes succeed, the targets, the excluded members, all views.

        A member is excluded, with its outcome, if its agent reports no state of it or no digest of
        its file.
        """
        views = await fetch_views(self.agent_client, self.fleet.members, VIEW_TIMEOUT_S)
        targets, excluded = {}, {}
        for member in members:
            view = views[member.name]
            if view.report is None:
                excluded[member.name] = not_tried(view.error)
            elif not view.file_digest:
                excluded[member.name] = failed(
                    str(view.report.get("file_problem") or "its file can't be read")
                )
            else:
                targets[member.name] = InstanceTarget(
                    view.file_digest, str(view.live_value("launch") or "")
                )
        to_change = [
            name
            for name, target in targets.items()
            if method is ChangeMethod.RESTART
            or views[name].live_value("config", "digest") != target.digest
        ]
        wave_plan = plan(
            planned_instances(views),
            to_change,
            disruption_limits(self.fleet),
            self.fleet.limits.canaries,
        )
        return wave_plan, targets, excluded, views

    async def run_rollout(
        self,
        members: Sequence[Member],
        order: ChangeOrder,
        on_step: StepListener = lambda _what, _detail: None,
    ) -> tuple[str, Report]:
        """Run a new rollout to its end; return its id and report.

        Raises RolloutLockedError if another rollout is in progress.
        """
        began_s, record = time.monotonic(), RolloutRecord(self.fleet.state)
        try:
            id = time.strftime("%Y%m%d-%H%M%S-") + secrets.token_hex(3)
            record.lock(id)
            _, targets, excluded, views = await self.plan_rollout(members, order.method)
            all_targets = {m.name: targets.get(m.name, InstanceTarget("")) for m in members}
            runner = self._make_runner(id, all_targets, order, views, record, on_step)
            runner.rollout.excluded = excluded
            await self._acquire_leases(runner, members)
            await runner.acquire_agents()
            options = {key: value for key, value in asdict(order).items() if key != "method"}
            record.begin(id, order.method, options, all_targets)
            return id, await self._finish(runner, record, members, began_s, {})
        finally:
            await self._release_leases()
            record.close()

    async def _release_leases(self) -> None:
        leases, self.leases = self.leases, None
        if leases is not None:
            await leases.close()

    async def _acquire_leases(self, runner: RolloutRunner, members: Sequence[Member]) -> None:
        """Acquire the leases of the members' halls if the fleet has a store.

        Raises RolloutLockedError if one of them is not available.
        """
        if self.fleet.store is None:
            return
        from onyxpass.fleet.leases import RolloutLeases

        runner.leases = self.leases = RolloutLeases(
            self.fleet, self.agent_client, f"rollout {runner.id}", runner.abort
        )
        await self.leases.acquire(members, self.fleet.store.wait_s)

    async def resume_rollout(
        self, id: str, on_step: StepListener = lambda _what, _detail: None
    ) -> tuple[str, Report]:
        """Resume a rollout whose process ended early; return its id and report.

        It continues from the present state of the instances, not from the recorded one.
        """
        began_s, record = time.monotonic(), RolloutRecord(self.fleet.state)
        try:
            if (recorded := record.find(id)) is None:
                raise CommandRejectedError(
                    f"no rollout {id!r}" if id else "no rollout is on record"
                )
            if recorded.state is not RolloutState.RUNNING:
                raise CommandRejectedError(f"rollout {recorded.id} has {recorded.state}")
            record.lock(recorded.id)
            by_name = {member.name: member for member in self.fleet.members}
            if missing := sorted(recorded.instances.keys() - by_name.keys()):
                raise CommandRejectedError(
                    f"{missing[0]} is in rollout {recorded.id}, but no longer in the fleet"
                )
            members = [by_name[name] for name in recorded.instances]
            order = ChangeOrder(recorded.method, **recorded.options)
            views = await fetch_views(self.agent_client, self.fleet.members, VIEW_TIMEOUT_S)
            targets = {name: entry.target for name, entry in recorded.instances.items()}
            runner = self._make_runner(recorded.id, targets, order, views, record, on_step)
            await self._acquire_leases(runner, members)
            await runner.acquire_agents()
            operations = {
                name: entry.operation
                for name, entry in recorded.instances.items()
                if entry.operation
            }
            return recorded.id, await self._finish(runner, record, members, began_s, operations)
        finally:
            await self._release_leases()
            record.close()

    def _make_runner(
        self,
        id: str,
        targets: Mapping[str, InstanceTarget],
        order: ChangeOrder,
        views: Mapping[str, InstanceView],
        record: RolloutRecord,
        on_step: StepListener,
    ) -> RolloutRunner:
        rollout = Rollout(
            planned_instances(views),
            targets,
            order.method,
            disruption_limits(self.fleet),
            rollout_pace(self.fleet),
        )
        members = {member.name: member for member in self.fleet.members}
        return RolloutRunner(id, rollout, order, members, self.agent_client, record, on_step)

    async def _finish(
        self,
        runner: RolloutRunner,
        record: RolloutRecord,
        members: Sequence[Member],
        began_s: float,
        operations: Mapping[str, str],
    ) -> Report:
        rollout = await runner.run(operations)
        await runner.release_agents()
        record.end(
            runner.id,
            RolloutState.ABORTED if rollout.abort_reason else RolloutState.ENDED,
            rollout.abort_reason,
        )
        views = await fetch_views(self.agent_client, members, FINAL_VIEW_TIMEOUT_S)
        return self._make_report("rollout", members, rollout.tally, views, began_s)

    def rollout_status(self, id: str = "") -> tuple[RecordedRollout, str]:
        """Return a recorded rollout, and who runs a rollout now: an empty text if nobody does."""
        record = RolloutRecord(self.fleet.state)
        try:
            if (recorded := record.find(id)) is None:
                raise CommandRejectedError(
                    f"no rollout {id!r}" if id else "no rollout is on record"
                )
            return recorded, record.lock_owner()
        finally:
            record.close()

    async def abort_rollout(self, id: str, why: str) -> tuple[str, bool]:
        """Abort a rollout; return its id, and whether another process still runs it.

        Such a process polls for the request and then ends the rollout.
        """
        record = RolloutRecord(self.fleet.state)
        try:
            recorded = record.find(id)
            if recorded is None or recorded.state is not RolloutState.RUNNING:
                raise CommandRejectedError(
                    "no such rollout is running" if id else "no rollout is running"
                )
            if record.lock_owner():
                record.request_abort(recorded.id, why)
                return recorded.id, True
            record.lock(recorded.id)
            record.end(recorded.id, RolloutState.ABORTED, why)
            await asyncio.gather(
                *(self.agent_client.release(agent, recorded.id) for agent in self.fleet.agents)
            )
            return recorded.id, False
        finally:
            record.close()


def with_limits(fleet: FleetConfig, **changes: Any) -> FleetConfig:
    """Return the fleet with the limits that the command line sets instead of its own."""
    overrides = {key: value for key, value in changes.items() if value is not None}
    if not overrides:
        return fleet
    from onyxpass.config import toml_config
    from onyxpass.fleet.config import LimitsTable

    raw = {**fleet.limits.model_dump(), **overrides}
    try:
        return replace(fleet, limits=toml_config.check(LimitsTable, raw, where="the command line"))
    except ConfigError as error:
        raise CommandRejectedError(str(error)) from error
