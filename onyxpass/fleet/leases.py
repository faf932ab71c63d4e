"""The leases of a rollout, one for each hall of its selection: all are acquired, or none.

``RolloutLeases`` owns its lease clients and its connection to the store, until ``close``.
"""

import asyncio
import itertools
import os
import secrets
import socket
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from onyxpass.fleet.agent_client import AgentClient
from onyxpass.fleet.config import AgentRef, FleetConfig, Member
from onyxpass.fleet.rollout_lock import RolloutLockedError
from onyxpass.leases.event_log import boottime_ms, record_event
from onyxpass.leases.holder import MAX_CLOCK_DRIFT, LeaseHolder
from onyxpass.leases.lease_client import ChangeListener, LeaseChange, LeaseClient, RequestSender
from onyxpass.leases.messages import LeaseGranted, LeaseReply, LeaseRequest, LeaseUnavailable
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError
from onyxpass.store.leases import LeaseStore

SEEN_TOKEN_TIMEOUT_S = 2.0  # for an agent to report the tokens that it has admitted
MAX_HOST_NAME_LENGTH = 40  # in a holder's name
NS_PER_MS = 1_000_000
RELEASED_REASON = "given back"


class RolloutLeases:
    """Acquires and releases the leases of one rollout, and provides the proofs that orders carry.

    ``on_lost`` is called with the reason when a lease is lost before it was released.
    """

    def __init__(
        self, fleet: FleetConfig, agents: AgentClient, reason: str, on_lost: Callable[[str], None]
    ) -> None:
        if fleet.store is None:
            raise ValueError(f"fleet {fleet.name} has no store for leases")
        self._fleet = fleet
        self._agents = agents
        self._reason = reason
        self._on_lost = on_lost
        self._ttl_ms = round(fleet.store.lease_s * 1000)
        self._store = LeaseStore(fleet.store.url, round(fleet.store.longest_s * 1000))
        self._clients: dict[str, LeaseClient] = {}  # by hall
        host = socket.gethostname()[:MAX_HOST_NAME_LENGTH]
        self._holder_prefix = f"{host}-{os.getpid()}-{secrets.token_hex(4)}"

    def name(self, hall: str) -> str:
        """Return the name of a hall's lease."""
        return f"rollout.{self._fleet.name}.{hall}"

    async def acquire(self, members: Sequence[Member], timeout_s: float) -> None:
        """Acquire the lease of each member's hall, within ``timeout_s`` each.

        Raises ``RolloutLockedError`` if one can't be acquired, and releases the others. Leases are
        acquired in order of name, which prevents a deadlock of two rollouts.
        """
        for hall in sorted({member.hall for member in members}):
            client = self._clients[hall] = self._client(hall)
            if await client.acquire(await self._highest_seen_token(hall), timeout_s):
                continue
            unavailable = client.holder.last_unavailable
            del self._clients[hall]
            await self.release()
            raise RolloutLockedError(f"the lease {self.name(hall)}: {_explain(unavailable)}")

    def proof_for(self, agent: AgentRef) -> Mapping[str, Any] | None:
        """Return the proof of the lease for an order to this agent; None once the lease is lost."""
        client = self._clients.get(agent.hall)
        if client is None or not (token := client.token):
            return None
        return {"name": self.name(agent.hall), "token": token, "holder": client.holder.name}

    async def dated_proof_for(self, agent: AgentRef, timeout_s: float) -> Mapping[str, Any] | None:
        """Return the proof together with the end of the lease by the agent's clock.

        The agent rejects what arrives later, however long it was on its way. The clock is read
        within ``timeout_s``; an agent of an older build has none. Raises ``RequestNotSentError`` or
        ``ResponseLostError``.
        """
        if self.proof_for(agent) is None:
            return None
        answer = await self._agents.call(agent, "GET", "/v1/agent", None, timeout_s)
        client, proof = self._clients.get(agent.hall), self.proof_for(agent)
        clock = answer.body.get("clock")
        if client is None or proof is None or not isinstance(clock, Mapping):
            return proof
        remaining_ms = client.holder.valid_until_ms - boottime_ms()
        until_ms = int(clock["ms"]) + int(remaining_ms * (1 - MAX_CLOCK_DRIFT))
        return {**proof, "until": {"clock": clock["id"], "ms": until_ms}}

    def agents(self) -> list[AgentRef]:
        """Return the agents of the halls whose leases are held."""
        agents = {m.agent.host: m.agent for m in self._fleet.members if m.hall in self._clients}
        return list(agents.values())

    async def release(self) -> None:
        """Release all leases that are held."""
        for client in self._clients.values():
            await client.release()
        self._clients.clear()

    async def close(self) -> None:
        """Release all leases and close the connection to the store."""
        await self.release()
        await self._store.close()

    def _client(self, hall: str) -> LeaseClient:
        name = self.name(hall)
        holder = LeaseHolder(self._holder_prefix, self._ttl_ms, self._reason)
        sender = _recorded(name, self._store.request_sender(name))
        return LeaseClient(holder, sender, boottime_ms, self._change_listener(name, holder))

    def _change_listener(self, name: str, holder: LeaseHolder) -> ChangeListener:
        def on_change(change: LeaseChange, token: int, reason: str) -> None:
            is_lost = change is LeaseChange.LOST
            record_event(
                change.value,
                lease=name,
                holder=holder.name,
                token=token,
                why=reason,
                until_ns=holder.last_valid_until_ms * NS_PER_MS if is_lost else None,
            )
            if is_lost and reason != RELEASED_REASON:
                self._on_lost(f"the lease {name} is lost: {reason}")

        return on_change

    async def _highest_seen_token(self, hall: str) -> int:
        """Return the highest token that the agents of this hall report as admitted.

        An agent that does not answer is ignored, because it rejects an older token itself.
        """
        agents = {m.agent.host: m.agent for m in self._fleet.members if m.hall == hall}
        tokens = await asyncio.gather(
            *(self._token_admitted_by(agent, self.name(hall)) for agent in agents.values())
        )
        return max(tokens, default=0)

    async def _token_admitted_by(self, agent: AgentRef, lease: str) -> int:
        try:
            answer = await self._agents.call(agent, "GET", "/v1/agent", None, SEEN_TOKEN_TIMEOUT_S)
        except (RequestNotSentError, ResponseLostError):
            return 0
        admitted = (answer.body.get("fences") or {}).get(lease) or {}
        return int(admitted.get("token") or 0)


def _recorded(lease: str, send: RequestSender) -> RequestSender:
    """Return a sender that writes each request and its reply to the event log."""
    numbers = itertools.count(1)

    async def send_recorded(request: LeaseRequest) -> LeaseReply:
        fields = {"lease": lease, "holder": request.holder, "number": next(numbers)}
        record_event("ask", **fields)
        reply = await send(request)
        token = reply.token if isinstance(reply, LeaseGranted) else 0
        record_event("answer", **fields, token=token)
        return reply

    return send_recorded


def _explain(unavailable: LeaseUnavailable | None) -> str:
    if unavailable is None:
        return "the store does not answer"
    if unavailable.holder:
        return f"{unavailable.holder} holds it ({unavailable.reason})"
    return "others wait ahead, or the store does not grant it yet"
