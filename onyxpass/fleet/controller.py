"""What the commands of ``onyxpass fleet`` do, apart from how it is shown."""

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
from onyxpass.fleet.runner import ChangeOrder, RolloutRunner, Told, limits_of, pace_of, units_of
from onyxpass.fleet.views import View, gather, look
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError

if TYPE_CHECKING:
    from onyxpass.fleet.leases import RolloutLeases

LIST_S = 3.0
SETTLE_S = 3.0  # past an order's deadline, for a last look


class CommandRejectedError(ValueError):
    """Nothing was done; the message says why."""


@dataclass(frozen=True, slots=True)
class Report:
    """How a command ended, for each selected instance."""

    command: str
    members: Sequence[Member]
    tally: OutcomeTally
    views: Mapping[str, View] = field(default_factory=dict)
    seconds: float = 0.0
    peak_connections: int = 0  # connections at once

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
                row |= {"told": dict(view.told) if view.told is not None else None}
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
    def __init__(self, fleet: FleetConfig) -> None:
        """ConfigError where a key is no use."""
        self.fleet = fleet
        self.agent_client = AgentClient(fleet.agents)
        self.leases: RolloutLeases | None = None

    def _report(
        self,
        command: str,
        members: Sequence[Member],
        tally: OutcomeTally,
        views: Mapping[str, View],
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

    async def survey(self, members: Sequence[Member], within_s: float = LIST_S) -> Report:
        """How each one stands. Done: it was seen in its own words; unknown: it was not."""
        began_s, tally = time.monotonic(), OutcomeTally(member.name for member in members)
        views = await gather(self.agent_client, members, within_s)
        for name, view in views.items():
            tally.settle(name, view.outcome)
        return self._report("list", members, tally, views, began_s)

    async def inspect(self, members: Sequence[Member], within_s: float = LIST_S) -> Report:
        """As ``list``, one by one, with the last exits."""
        began_s, tally = time.monotonic(), OutcomeTally(member.name for member in members)
        found = await asyncio.gather(
            *(look(self.agent_client, member, within_s) for member in members)
        )
        views = {view.member.name: view for view in found}
        for name, view in views.items():
            tally.settle(name, view.outcome)
        return self._report("inspect", members, tally, views, began_s)

    async def order(
        self,
        kind: str,
        members: Sequence[Member],
        deadline_s: float,
        options: Mapping[str, Any],
        *,
        regardless: bool = False,
        heard: Callable[[str, Mapping[str, Any]], None] = lambda _name, _body: None,
    ) -> Report:
        """One order to all of the selected at once. Refused where that would pass the fleet's
        limits.
        """
        began_s, tally = time.monotonic(), OutcomeTally(member.name for member in members)
        if kind in ("drain", "restart", "stop") and not regardless:
            await self._guard(kind, members)

        async def one(member: Member) -> tuple[str, InstanceOutcome]:
            operation = secrets.token_hex(8)
            told = lambda body: heard(member.name, body)  # noqa: E731
            try:
                return member.name, await self.agent_client.order(
                    member, kind, operation, options, deadline_s, told
                )
            # guards against one instance's fault that hides all the others
            except Exception as problem:
                return member.name, unknown(f"the tool's own fault: {problem!r}")

        for name, outcome in await asyncio.gather(*(one(member) for member in members)):
            tally.settle(name, outcome)
        views = await gather(self.agent_client, members, SETTLE_S)
        return self._report(kind, members, tally, views, began_s)

    async def _guard(self, kind: str, members: Sequence[Member]) -> None:
        views = await gather(self.agent_client, self.fleet.members, LIST_S)
        planner = Planner(
            units_of(views), [member.name for member in members], limits_of(self.fleet)
        )
        wave = {unit.name for unit in planner.next_wave()}
        if barred := sorted({member.name for member in members} - wave):
            raise CommandRejectedError(
                f"{kind} of {len(members)} at once passes the fleet's limits (as it stands, {len(wave)} may "
                f"go together; not {barred[0]}): use a rollout, fewer instances, or --regardless"
            )

    async def events(
        self, since: Mapping[str, int], within_s: float = LIST_S
    ) -> tuple[list[dict[str, Any]], list[str]]:
        """What has happened at every agent after the numbers in ``since``, by time; and who was
        silent.
        """

        async def of(host: str) -> tuple[list[dict[str, Any]], str]:
            agent = next(agent for agent in self.fleet.agents if agent.host == host)
            try:
                target = f"/v1/events?since={since.get(host, 0)}"
                answer = await self.agent_client.call(agent, "GET", target, None, within_s)
            except (RequestNotSentError, ResponseLostError) as problem:
                return [], f"{host}: {problem}"
            if answer.status != 200:
                return [], f"{host}: {answer.reason}"
            return [{"host": host, **event} for event in answer.body.get("events", ())], ""

        answers = await asyncio.gather(*(of(agent.host) for agent in self.fleet.agents))
        events = sorted(
            (e for found, _ in answers for e in found),
            key=lambda e: (e["at"], e["host"], e["number"]),
        )
        return events, [problem for _, problem in answers if problem]

    # Rollouts

    async def plan_rollout(
        self, members: Sequence[Member], method: ChangeMethod
    ) -> tuple[Plan, dict[str, InstanceTarget], dict[str, InstanceOutcome], dict[str, View]]:
        """The waves if all goes well, the targets, and who can't be or need not be changed."""
        views = await gather(self.agent_client, self.fleet.members, LIST_S)
        targets, beside = {}, {}
        for member in members:
            view = views[member.name]
            if view.told is None:
                beside[member.name] = not_tried(view.problem)
            elif not view.file:
                beside[member.name] = failed(
                    str(view.told.get("file_problem") or "its file can't be read")
                )
            else:
                targets[member.name] = InstanceTarget(view.file, str(view.at("launch") or ""))
        change = [
            name
            for name, target in targets.items()
            if method is ChangeMethod.RESTART or views[name].at("config", "digest") != target.digest
        ]
        waves = plan(units_of(views), change, limits_of(self.fleet), self.fleet.limits.canaries)
        return waves, targets, beside, views

    async def run_rollout(
        self,
        members: Sequence[Member],
        order: ChangeOrder,
        told: Told = lambda _what, _detail: None,
    ) -> tuple[str, Report]:
        """A new rollout, to its end. Held where another one is under way."""
        began_s, record = time.monotonic(), RolloutRecord(self.fleet.state)
        try:
            id = time.strftime("%Y%m%d-%H%M%S-") + secrets.token_hex(3)
            record.lock(id)
            _, targets, beside, views = await self.plan_rollout(members, order.method)
            everybody = {m.name: targets.get(m.name, InstanceTarget("")) for m in members}
            runner = self._runner(id, everybody, order, views, record, told)
            runner.rollout.barred = beside
            await self._leased(runner, members)
            await runner.take_agents()
            options = {key: value for key, value in asdict(order).items() if key != "method"}
            record.begin(id, order.method, options, everybody)
            return id, await self._finish(runner, record, members, began_s, {})
        finally:
            await self._given_back()
            record.close()

    async def _given_back(self) -> None:
        leases, self.leases = self.leases, None
        if leases is not None:
            await leases.close()

    async def _leased(self, runner: RolloutRunner, members: Sequence[Member]) -> None:
        """Where a store is told: Held unless the leases of all its halls are had."""
        if self.fleet.store is None:
            return
        from onyxpass.fleet.leases import RolloutLeases

        runner.leases = self.leases = RolloutLeases(
            self.fleet, self.agent_client, f"rollout {runner.id}", runner.abort
        )
        await self.leases.acquire(members, self.fleet.store.wait_s)

    async def resume_rollout(
        self, id: str, told: Told = lambda _what, _detail: None
    ) -> tuple[str, Report]:
        """Go on with a rollout whose tool ended too early: from what is so, not from what is on
        record.
        """
        began_s, record = time.monotonic(), RolloutRecord(self.fleet.state)
        try:
            if (found := record.find(id)) is None:
                raise CommandRejectedError(
                    f"no rollout {id!r}" if id else "no rollout is on record"
                )
            if found.state is not RolloutState.RUNNING:
                raise CommandRejectedError(f"rollout {found.id} has {found.state}")
            record.lock(found.id)
            by_name = {member.name: member for member in self.fleet.members}
            if gone := sorted(found.instances.keys() - by_name.keys()):
                raise CommandRejectedError(
                    f"{gone[0]} is in rollout {found.id}, and no more in the fleet"
                )
            members = [by_name[name] for name in found.instances]
            order = ChangeOrder(found.method, **found.options)
            views = await gather(self.agent_client, self.fleet.members, LIST_S)
            targets = {name: entry.target for name, entry in found.instances.items()}
            runner = self._runner(found.id, targets, order, views, record, told)
            await self._leased(runner, members)
            await runner.take_agents()
            operations = {
                name: entry.operation for name, entry in found.instances.items() if entry.operation
            }
            return found.id, await self._finish(runner, record, members, began_s, operations)
        finally:
            await self._given_back()
            record.close()

    def _runner(
        self,
        id: str,
        targets: Mapping[str, InstanceTarget],
        order: ChangeOrder,
        views: Mapping[str, View],
        record: RolloutRecord,
        told: Told,
    ) -> RolloutRunner:
        rollout = Rollout(
            units_of(views), targets, order.method, limits_of(self.fleet), pace_of(self.fleet)
        )
        members = {member.name: member for member in self.fleet.members}
        return RolloutRunner(id, rollout, order, members, self.agent_client, record, told)

    async def _finish(
        self,
        runner: RolloutRunner,
        record: RolloutRecord,
        members: Sequence[Member],
        began_s: float,
        operations: Mapping[str, str],
    ) -> Report:
        rollout = await runner.run(operations)
        await runner.give_agents_back()
        record.end(
            runner.id,
            RolloutState.ABORTED if rollout.aborted else RolloutState.ENDED,
            rollout.aborted,
        )
        views = await gather(self.agent_client, members, SETTLE_S)
        return self._report("rollout", members, rollout.tally, views, began_s)

    def rollout_status(self, id: str = "") -> tuple[RecordedRollout, str]:
        """A rollout as it is on record, and who runs it now."""
        record = RolloutRecord(self.fleet.state)
        try:
            if (found := record.find(id)) is None:
                raise CommandRejectedError(
                    f"no rollout {id!r}" if id else "no rollout is on record"
                )
            return found, record.lock_owner()
        finally:
            record.close()

    async def abort_rollout(self, id: str, why: str) -> tuple[str, bool]:
        """The rollout's id, and whether a tool still runs it: that one ends it before its next
        order.
        """
        record = RolloutRecord(self.fleet.state)
        try:
            found = record.find(id)
            if found is None or found.state is not RolloutState.RUNNING:
                raise CommandRejectedError(
                    "no such rollout is running" if id else "no rollout is running"
                )
            if record.lock_owner():
                record.request_abort(found.id, why)
                return found.id, True
            record.lock(found.id)
            record.end(found.id, RolloutState.ABORTED, why)
            await asyncio.gather(
                *(self.agent_client.release(agent, found.id) for agent in self.fleet.agents)
            )
            return found.id, False
        finally:
            record.close()


def with_limits(fleet: FleetConfig, **changes: Any) -> FleetConfig:
    """The fleet with some of its limits told otherwise on the command line."""
    given = {key: value for key, value in changes.items() if value is not None}
    if not given:
        return fleet
    from onyxpass.config import toml_config
    from onyxpass.fleet.config import LimitsTable

    raw = {**fleet.limits.model_dump(), **given}
    try:
        return replace(fleet, limits=toml_config.check(LimitsTable, raw, where="the command line"))
    except ConfigError as problem:
        raise CommandRejectedError(str(problem)) from problem
