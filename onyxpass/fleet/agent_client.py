"""Calls many agents at once; an agent that does not answer delays only its own calls."""

import asyncio
import resource
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from onyxpass.agent.credentials import read_key
from onyxpass.fleet.config import AgentRef, Member
from onyxpass.fleet.order_exchange import (
    BackOff,
    CallKind,
    ExchangeEnded,
    OrderExchange,
    PollOperation,
    SendOrder,
)
from onyxpass.fleet.outcome import InstanceOutcome
from onyxpass.net.http_client import (
    ApiResponse,
    RequestNotSentError,
    ResponseLostError,
    call_api,
    tcp_opener,
)

SPARE_DESCRIPTORS = 64  # file descriptors reserved for other uses than connections
MIN_CONNECTIONS = 16
CALL_TIMEOUT_S = 2.0
MIN_TIMEOUT_S = 0.001
RELEASE_TIMEOUT_S = 3.0
MAX_POLL_WAIT_MS = 1_000  # for which an agent may delay an answer that is not final
POLL_WAIT_MS_PER_TIMEOUT_S = 500  # half of a call's timeout

OperationListener = Callable[[Mapping[str, Any]], None]
"""Called with the body of each answer."""


LeaseProver = Callable[[float], Awaitable[Mapping[str, Any] | None]]
"""Returns the proof of a lease, within a timeout in s; None once the lease is lost.

Raises ``RequestNotSentError`` or ``ResponseLostError``.
"""


def max_connections() -> int:
    """Return how many connections this process may have open at once."""
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return max(MIN_CONNECTIONS, descriptors - SPARE_DESCRIPTORS)


def _ignore_answer(_body: Mapping[str, Any]) -> None:
    pass


class AgentClient:
    """Calls agents, with at most ``max_connections`` open at once.

    Raises ConfigError where a key can't be used, before anything is sent. ``peak_connections`` is
    the highest number of connections that were open together.
    """

    def __init__(self, agents: tuple[AgentRef, ...]) -> None:
        self._keys = {path: read_key(path) for path in {agent.key for agent in agents}}
        self._slots = asyncio.Semaphore(max_connections())
        self._open = 0
        self.peak_connections = 0

    async def call(
        self,
        agent: AgentRef,
        method: str,
        target: str,
        message: Mapping[str, Any] | None = None,
        within_s: float = CALL_TIMEOUT_S,
    ) -> ApiResponse:
        """Call one agent; the wait for a free connection counts towards ``within_s``.

        Raises ``RequestNotSentError`` or ``ResponseLostError``.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + within_s
        try:
            async with asyncio.timeout(within_s):
                await self._slots.acquire()
        except TimeoutError as error:
            raise RequestNotSentError("no descriptor was free in time") from error
        self._open += 1
        self.peak_connections = max(self.peak_connections, self._open)
        try:
            timeout_s = max(MIN_TIMEOUT_S, deadline_s - loop.time())
            opener = tcp_opener(agent.address)
            key = self._keys[agent.key]
            return await call_api(opener, method, target, message, key=key, timeout_s=timeout_s)
        finally:
            self._open -= 1
            self._slots.release()

    async def release(self, agent: AgentRef, rollout: str) -> str:
        """Release an agent from a rollout; return why no answer came, else an empty text.

        An agent that was not reached is free once its lock expires.
        """
        try:
            await self.call(agent, "POST", "/v1/release", {"rollout": rollout}, RELEASE_TIMEOUT_S)
        except (RequestNotSentError, ResponseLostError) as error:
            return str(error)
        return ""

    async def order(
        self,
        member: Member,
        kind: str,
        operation: str,
        message: Mapping[str, Any],
        deadline_s: float,
        on_answer: OperationListener = _ignore_answer,
        prove_lease: LeaseProver | None = None,
    ) -> InstanceOutcome:
        """Send an order to an instance's agent and poll it until its outcome is known or overdue.

        ``deadline_s`` is the order's own limit; ``on_answer`` is called with each answer's body.
        With ``prove_lease`` the order carries a proof, which is asked for before each send; without
        one it is not sent.
        """
        loop = asyncio.get_running_loop()
        exchange = OrderExchange(loop.time(), deadline_s)
        body = {"operation": operation, "deadline_ms": max(1, round(deadline_s * 1000)), **message}
        while True:
            match exchange.next(loop.time()):
                case ExchangeEnded(outcome):
                    return outcome
                case BackOff(delay_s):
                    await asyncio.sleep(delay_s)
                    continue
                case SendOrder(timeout_s):
                    if prove_lease is not None:
                        try:
                            lease = await prove_lease(timeout_s)
                        except (RequestNotSentError, ResponseLostError) as error:
                            exchange.on_not_sent(str(error))
                            continue
                        if lease is None:
                            return exchange.on_lease_lost()
                        body["lease"] = lease
                    call_kind = CallKind.ORDER
                    target = f"/v1/instances/{member.name}/{kind}"
                    call = self.call(member.agent, "POST", target, body, timeout_s)
                case PollOperation(timeout_s):
                    call_kind = CallKind.POLL
                    wait_ms = min(MAX_POLL_WAIT_MS, round(timeout_s * POLL_WAIT_MS_PER_TIMEOUT_S))
                    target = f"/v1/operations/{operation}?wait_ms={wait_ms}"
                    call = self.call(member.agent, "GET", target, None, timeout_s)
            try:
                answer = await call
            except RequestNotSentError as error:
                exchange.on_not_sent(str(error))
                continue
            except ResponseLostError as error:
                exchange.on_no_answer(str(error))
                continue
            on_answer(answer.body)
            outcome_known = exchange.on_answer(call_kind, answer.status, answer.body)
            if outcome_known is not None:
                return outcome_known
