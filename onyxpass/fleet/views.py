"""How instances stand, as their agents tell it: gathered from all at once, and read without
trust.
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
class View:
    """One instance as it was seen. ``told``: its agent's words; ``problem``: why they are not
    all there.
    """

    member: Member
    told: Mapping[str, Any] | None = None
    problem: str = ""

    @property
    def live(self) -> Mapping[str, Any] | None:
        found = self.told.get("live") if self.told is not None else None
        return found if isinstance(found, Mapping) else None

    def at(self, *path: str) -> Any:
        """What stands there in the instance's own words; None if nothing does."""
        found: Any = self.live
        for key in path:
            if not isinstance(found, Mapping):
                return None
            found = found.get(key)
        return found

    @property
    def outcome(self) -> InstanceOutcome:
        if self.told is None:
            return unknown(self.problem)
        if self.live is None and self.told.get("wanted") is not False:
            return unknown(self.problem or f"it is {self.told.get('state')}")
        return done(str(self.told.get("state")))

    @property
    def serving(self) -> bool:
        return self.at("ready") is True and self.at("drain", "phase") == "serving"

    @property
    def file(self) -> str:
        return str((self.told or {}).get("file") or "")

    def observation(self) -> Observation:
        told = self.told or {}
        operation = told.get("operation")
        return Observation(
            digest=self.at("config", "digest"),
            launch=self.at("launch"),
            serving=self.serving,
            under_way=str(operation.get("id")) if isinstance(operation, Mapping) else "",
            problem=self.problem or str(told.get("live_problem") or ""),
        )


async def of_agent(
    agent_client: AgentClient, agent: AgentRef, within_s: float
) -> tuple[Mapping[str, Any], str]:
    """What an agent tells of each of its instances, by name; or why it tells nothing."""
    try:
        answer = await agent_client.call(agent, "GET", "/v1/instances", None, within_s)
    except RequestNotSentError as problem:
        return {}, f"no agent on {agent.host} ({problem}); its instances may serve all the same"
    except ResponseLostError as problem:
        return {}, f"the agent on {agent.host} does not answer: {problem}"
    if answer.status != 200:
        return {}, f"the agent on {agent.host} refuses: {answer.reason}"
    rows = answer.body.get("instances")
    found = {}
    for row in rows if isinstance(rows, list) else ():
        if isinstance(row, Mapping) and isinstance(row.get("name"), str):
            found[row["name"]] = row
    return found, ""


async def gather(
    agent_client: AgentClient, members: Iterable[Member], within_s: float
) -> dict[str, View]:
    """All of them at once; the whole takes ``within_s`` at most, however many are silent."""
    wanted = list(members)
    agents = list({member.host: member.agent for member in wanted}.values())
    answers = await asyncio.gather(*(of_agent(agent_client, agent, within_s) for agent in agents))
    by_host = {agent.host: answer for agent, answer in zip(agents, answers, strict=True)}
    views = {}
    for member in wanted:
        rows, problem = by_host[member.host]
        row = rows.get(member.name)
        if row is None:
            views[member.name] = View(
                member, None, problem or f"the agent on {member.host} has no such instance"
            )
        else:
            views[member.name] = View(member, row, str(row.get("live_problem") or ""))
    return views


async def look(agent_client: AgentClient, member: Member, within_s: float) -> View:
    """One instance alone."""
    try:
        answer = await agent_client.call(
            member.agent, "GET", f"/v1/instances/{member.name}", None, within_s
        )
    except RequestNotSentError as problem:
        return View(member, None, f"no agent on {member.host}: {problem}")
    except ResponseLostError as problem:
        return View(member, None, f"the agent on {member.host} does not answer: {problem}")
    if answer.status != 200:
        return View(member, None, answer.reason)
    return View(member, answer.body, str(answer.body.get("live_problem") or ""))
