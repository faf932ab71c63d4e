"""The agent's API: HTTP/1.1 with JSON on a loopback address, for callers that present the key.

| call | answer |
| --- | --- |
| ``GET /v1/agent`` | the agent, its version, its rollout lock and its fences |
| ``GET /v1/instances`` | all instances with their live status, queried concurrently |
| ``GET /v1/instances/NAME`` | one instance, with its latest exits |
| ``POST /v1/instances/NAME/KIND`` | begins an operation under the caller's id: 202; 409 if busy |
| ``GET /v1/operations/ID?wait_ms=N`` | the operation, once it has ended or N ms have passed |
| ``GET /v1/events?since=N`` | the events after number N, oldest first, at most 500 |
| ``POST /v1/hold``, ``POST /v1/release`` | acquires or releases the agent's rollout lock |
| ``POST /v1/fence`` | announces the holder of a lease, so that earlier ones are rejected here |

An operation or a hold may carry a lease: ``{"lease": {"name": N, "token": T, "holder": H}}``; an
announcement must. It is rejected with 409 and ``stale`` in the answer if a higher token of that
lease, or the same token of another holder, has been admitted here. It is rejected with 409 and
``under_way`` while an effect of an older token is in progress. With ``"until": {"clock": ID, "ms":
MS}`` in the lease it is rejected with 409 and ``expired`` once the agent's clock, whose time
``GET /v1/agent`` returns, has reached that time or is another one.
"""

import asyncio
import ipaddress
import json
import time
from typing import Any
from urllib.parse import parse_qs

import h11
import structlog

from onyxpass.agent.agent_clock import AgentClock
from onyxpass.agent.api_requests import (
    Body,
    LeaseClaim,
    RolloutLockRequest,
    parse_fence,
    parse_lock,
    parse_operation,
    parse_release,
    parse_rollout,
    query_number,
)
from onyxpass.agent.api_views import agent_view, instance_view, lock_view
from onyxpass.agent.credentials import is_authorized
from onyxpass.agent.instance import Instance
from onyxpass.agent.lease_admission import LeaseAdmission, LeaseRejectedError
from onyxpass.agent.lock_records import RolloutLockRecord
from onyxpass.agent.operation_options import OperationKind
from onyxpass.agent.operation_records import Operation, OperationState
from onyxpass.agent.operations import InstanceBusyError, OperationCallback, Operations
from onyxpass.agent.rollout_locks import GrantedRolloutLock, RolloutLockManager
from onyxpass.agent.state_store import StateStoreWriteError
from onyxpass.agent.supervisor import Agent
from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.net.http import header
from onyxpass.net.http_server import BACKLOG, JSON, ApiError, CallServer, Reply, parse_json_object
from onyxpass.net.listen import Listener

MAX_WAIT_MS = 10_000
MAX_EVENT_NUMBER = 2**53
MAX_NAME_SHOWN = 80
RESOURCES = ("agent", "instances", "operations", "events", "hold", "release", "fence")
log = structlog.get_logger("api")


class AgentApi(CallServer):
    """Routes calls to the agent; owns its operations, rollout lock and lease admission."""

    content_type = JSON
    max_calls = 64
    max_body_bytes = 16 * 1024

    def __init__(self, agent: Agent, address: Address, key: str) -> None:
        """Load the stored rollout lock; ``ConfigError`` if the address is not a loopback one."""
        _require_loopback(address)
        super().__init__(agent.wheel, str(address))
        self._agent = agent
        self._address = address
        self._key = key
        self._operations = Operations(agent.state_store, agent.by_name)
        self._clock = AgentClock()
        self._admission = LeaseAdmission(agent.state_store, agent.config.name, self._clock)
        self._locks = RolloutLockManager()
        if (saved := agent.state_store.locks.rollout_lock()) is not None:
            # The full TTL starts again: the time of expiry is not stored, because monotonic times
            # are not valid after a restart of the host.
            self._locks.acquire(saved.rollout, saved.holder, saved.ttl_s, time.monotonic())

    async def interrupt_operations(self) -> None:
        """End all operations in progress as unknown, while the agent's state can be written."""
        await self._operations.interrupt()

    def listen(self) -> Listener:
        """Listen on the agent's address."""
        return Listener.at(self._address.host, self._address.port, BACKLOG)

    def log_listening(self) -> None:
        """Log that the API accepts connections."""
        address = f"{self._address.host}:{self.port}"
        log.info("agent_listening", name=self._agent.config.name, listen=address)

    async def answer(self, head: h11.Request, text: bytes) -> Reply:
        """Answer one call; raises ``ApiError`` if the call is rejected."""
        if not is_authorized(header(head, b"authorization"), self._key):
            raise ApiError(401, "the key is absent or wrong")
        path, _, query_text = bytes(head.target).decode("ascii", "replace").partition("?")
        query = {name: values[-1] for name, values in parse_qs(query_text).items()}
        body = parse_json_object(text)
        method = bytes(head.method).decode("ascii", "replace")
        try:
            return await self._route(method, path.split("/")[1:], query, body)
        except StateStoreWriteError as error:
            reason = f"the agent's record takes nothing at present: {error}"
            raise ApiError(503, reason) from error
        except LeaseRejectedError as error:
            raise ApiError(409, error.reason, **{error.kind.value: True}) from error

    async def _route(
        self, method: str, parts: list[str], query: dict[str, str], body: Body
    ) -> Reply:
        match method, parts:
            case "GET", ["v1", "agent"]:
                return self._get_agent()
            case "GET", ["v1", "instances"]:
                return await self._get_instances()
            case "GET", ["v1", "instances", name]:
                return await self._get_instance(self._find_instance(name))
            case "POST", ["v1", "instances", name, kind] if kind in tuple(OperationKind):
                return self._begin_operation(self._find_instance(name), OperationKind(kind), body)
            case "GET", ["v1", "operations", operation_id]:
                return await self._get_operation(operation_id, query)
            case "GET", ["v1", "events"]:
                return self._get_events(query)
            case "POST", ["v1", ("hold" | "release" | "fence") as call]:
                return self._change_holder(call, body)
            case _, ["v1", resource, *_] if resource in RESOURCES:
                raise ApiError(405 if method not in ("GET", "POST") else 404, "no such call")
        raise ApiError(404, "no such path")

    def _change_holder(self, call: str, body: Body) -> Reply:
        match call:
            case "hold":
                return self._acquire_lock(parse_lock(body))
            case "release":
                return self._release_lock(parse_release(body))
        return self._announce_holder(parse_fence(body))

    def _find_instance(self, name: str) -> Instance:
        if (instance := self._agent.by_name.get(name)) is None:
            raise ApiError(404, f"no instance {name[:MAX_NAME_SHOWN]!r} here")
        return instance

    def _get_agent(self) -> Reply:
        now_s = time.monotonic()
        names = list(self._agent.by_name)
        lock = self._locks.current(now_s)
        fences, clock = self._admission.to_dict(), self._clock.now()
        name = self._agent.config.name
        return _json_reply(200, agent_view(name, names, lock, fences, now_s, clock))

    async def _instance_view(self, instance: Instance) -> dict[str, Any]:
        view = await instance_view(instance)
        running = self._operations.running_on(instance.name)
        view["operation"] = running.to_dict() if running else None
        return view

    async def _get_instances(self) -> Reply:
        views = await asyncio.gather(*map(self._instance_view, self._agent.instances))
        return _json_reply(200, {"agent": self._agent.config.name, "instances": views})

    async def _get_instance(self, instance: Instance) -> Reply:
        view = await self._instance_view(instance)
        exits = self._agent.state_store.instances.latest_exits(instance.name)
        return _json_reply(200, {**view, "exits": [record.to_dict() for record in exits]})

    async def _get_operation(self, operation_id: str, query: dict[str, str]) -> Reply:
        timeout_s = query_number(query, "wait_ms", MAX_WAIT_MS) / 1000
        operation = await self._operations.wait(operation_id, timeout_s)
        if operation is None:
            raise ApiError(404, "no such operation")
        return _json_reply(200, operation.to_dict())

    def _get_events(self, query: dict[str, str]) -> Reply:
        events = self._agent.state_store.events.after(
            query_number(query, "since", MAX_EVENT_NUMBER)
        )
        return _json_reply(200, {"events": [event.to_dict() for event in events]})

    def _begin_operation(self, instance: Instance, kind: OperationKind, body: Body) -> Reply:
        request = parse_operation(body)
        operation_id = request.operation_id
        if (known := self._operations.find(operation_id)) is not None:
            if (known.instance, known.kind) != (instance.name, kind):
                reason = f"operation {operation_id} is another one: {known.kind} {known.instance}"
                raise ApiError(409, reason)
            return _json_reply(202, known.to_dict())
        now_s = time.monotonic()
        if (lock := self._locks.conflicting(parse_rollout(body), now_s)) is not None:
            raise _locked_error(lock, now_s)
        if (running := self._operations.running_on(instance.name)) is not None:
            raise ApiError(409, str(InstanceBusyError(running)), operation=running.to_dict())
        on_end = self._admit_operation(request.lease, operation_id)
        try:
            operation = self._operations.begin(
                operation_id, instance.name, kind, request.options, on_end
            )
        except StateStoreWriteError as error:
            # The operation never began, so the effect that was admitted for it has ended.
            on_end(
                Operation(
                    operation_id, instance.name, kind.value, OperationState.FAILED, error.reason
                )
            )
            raise
        return _json_reply(202, operation.to_dict())

    def _admit_operation(self, lease: LeaseClaim | None, operation_id: str) -> OperationCallback:
        if lease is None:
            return lambda _: None
        return self._admission.begin_effect(lease, operation_id)

    def _acquire_lock(self, request: RolloutLockRequest) -> Reply:
        now_s = time.monotonic()
        previous = self._locks.current(now_s)
        if request.lease is not None:
            conflicting = self._locks.conflicting(request.rollout, now_s)
            if conflicting is not None and self._admission.supersedes(request.lease):
                # This rollout holds the lease now, so it takes over the lock as well.
                self._locks.release(conflicting.rollout, now_s)
            self._admission.admit(request.lease, f"hold-{request.rollout}")
        lock = self._locks.acquire(request.rollout, request.holder, request.ttl_s, now_s)
        if lock.rollout != request.rollout:
            raise _locked_error(lock, now_s)
        owner = (request.rollout, request.holder)
        if previous is None or (previous.rollout, previous.holder) != owner:
            self._record_lock(request)
        return _json_reply(200, {"hold": lock_view(lock, now_s)})

    def _announce_holder(self, lease: LeaseClaim) -> Reply:
        self._admission.admit(lease, "fence")
        return _json_reply(200, {"fences": self._admission.to_dict()})

    def _record_lock(self, request: RolloutLockRequest) -> None:
        """Store a lock that has a new owner, or release it if that fails.

        Prevents a lock that a restart of the agent would lose.
        """
        state_store = self._agent.state_store
        try:
            state_store.locks.save_rollout_lock(
                RolloutLockRecord(request.rollout, request.holder, request.ttl_s)
            )
        except StateStoreWriteError:
            self._locks.release(request.rollout, time.monotonic())
            raise
        state_store.events.append("", "held", rollout=request.rollout, holder=request.holder)

    def _release_lock(self, rollout: str) -> Reply:
        released = self._locks.release(rollout, time.monotonic())
        if released:
            self._agent.state_store.locks.delete_rollout_lock()
            self._agent.state_store.events.append("", "released", rollout=rollout)
        return _json_reply(200, {"released": released})


def _require_loopback(address: Address) -> None:
    """Raise ``ConfigError`` unless the address is a loopback one.

    Prevents the key from crossing a network in clear text.
    """
    try:
        is_loopback = ipaddress.ip_address(address.host).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise ConfigError(f"listen: not a loopback address: {address}")


def _json_reply(status: int, body: dict[str, Any]) -> Reply:
    return status, json.dumps(body).encode() + b"\n"


def _locked_error(lock: GrantedRolloutLock, now_s: float) -> ApiError:
    reason = f"rollout {lock.rollout} holds this agent"
    return ApiError(409, reason, hold=lock_view(lock, now_s))
