"""The state of instances as their agents report it, fetched from all agents at once.

No field of a report is assumed to be present: what is absent is treated as unknown.
"""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from onyxpass.fleet.agent_client import AgentClient
from onyxpass.fleet.config import AgentRef, Member
from onyxpass.fleet.outcome import InstanceOutcome, done, unknown
from onyxpass.fleet.rollout import Observation
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError


@dataclass(frozen=True, slots=True)
class InstanceView:
    """The state of one instance as it was read.

    ``report`` is what its agent reported; ``error`` says why the report is absent or incomplete.
    """

    member: Member
    report: Mapping[str, Any] | None = None
    error: str = ""

    @property
    def live_report(self) -> Mapping[str, Any] | None:
        report = self.report.get("live") if self.report is not None else None
        return report if isinstance(report, Mapping) else None

    def live_value(self, *path: str) -> Any:
        """Return the value at this path of the instance's live report; None if there is none."""
        value: Any = self.live_report
        for key in path:
            if not isinstance(value, Mapping):
                return None
            value = value.get(key)
        return value

    @property
    def outcome(self) -> InstanceOutcome:
        if self.report is None:
            return unknown(self.error)
        if self.live_report is None and self.report.get("wanted") is not False:
            return unknown(self.error or f"it is {self.report.get('state')}")
        return done(str(self.report.get("state")))

    @property
    def serving(self) -> bool:
        return self.live_value("ready") is True and self.live_value("drain", "phase") == "serving"

    @property
    def file_digest(self) -> str:
        return str((self.report or {}).get("file") or "")

    def observation(self) -> Observation:
        report = self.report or {}
        operation = report.get("operation")
        return Observation(
            digest=self.live_value("config", "digest"),
            launch=self.live_value("launch"),
            serving=self.serving,
            operation_id=str(operation.get("id")) if isinstance(operation, Mapping) else "",
            error=self.error or str(report.get("live_problem") or ""),
        )


async def fetch_agent_reports(
    agent_client: AgentClient, agent: AgentRef, within_s: float
) -> tuple[Mapping[str, Any], str]:
    """Return an agent's report of each of its instances, by name, or why there is none."""
    try:
        answer = await agent_client.call(agent, "GET", "/v1/instances", None, within_s)
    except RequestNotSentError as error:
        return {}, f"no agent on {agent.host} ({error}); its instances may still serve"
    except ResponseLostError as error:
        return {}, f"the agent on {agent.host} does not answer: {error}"
    if answer.status != 200:
        return {}, f"the agent on {agent.host} refused the call: {answer.reason}"
    rows = answer.body.get("instances")
    reports = {}
    for row in rows if isinstance(rows, list) else ():
        if isinstance(row, Mapping) and isinstance(row.get("name"), str):
            reports[row["name"]] = row
    return reports, ""


async def fetch_views(
    agent_client: AgentClient, members: Iterable[Member], within_s: float
) -> dict[str, InstanceView]:
    """Fetch all views at once, within ``within_s`` however many agents do not answer."""
    selected = list(members)
    agents = list({member.host: member.agent for member in selected}.values())
    answers = await asyncio.gather(
        *(fetch_agent_reports(agent_client, agent, within_s) for agent in agents)
    )
    by_host = {agent.host: answer for agent, answer in zip(agents, answers, strict=True)}
    views = {}
    for member in selected:
        rows, error = by_host[member.host]
        row = rows.get(member.name)
        if row is None:
            views[member.name] = InstanceView(
                member, None, error or f"the agent on {member.host} has no such instance"
            )
        else:
            views[member.name] = InstanceView(member, row, str(row.get("live_problem") or ""))
    return views


async def fetch_view(agent_client: AgentClient, member: Member, within_s: float) -> InstanceView:
    """Fetch the view of one instance."""
    try:
        answer = await agent_client.call(
            member.agent, "GET", f"/v1/instances/{member.name}", None, within_s
        )
    except RequestNotSentError as error:
        return InstanceView(member, None, f"no agent on {member.host}: {error}")
    except ResponseLostError as error:
        return InstanceView(member, None, f"the agent on {member.host} does not answer: {error}")
    if answer.status != 200:
        return InstanceView(member, None, answer.reason)
    return InstanceView(member, answer.body, str(answer.body.get("live_problem") or ""))
