"""One node of the desired configuration as a process: it serves, pulls and applies the state.

Decisions are in ``state`` and ``upstream_selection``; this module has the sockets, the disk and the
log.
"""

import asyncio
import json
import random
import signal
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import h11
import structlog

from onyxpass import reload_signal
from onyxpass.agent.credentials import is_authorized, read_key
from onyxpass.config.platform_file import Address
from onyxpass.core.clock import Clock
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.desired import state_file
from onyxpass.desired.config import InstanceFiles, NodeConfig
from onyxpass.desired.config_rendering import render_config
from onyxpass.desired.state import (
    FORMAT_VERSION,
    DesiredState,
    Page,
    PageCollector,
    StateError,
    VersionVector,
    covers,
    page_to_json,
    parse_page,
    parse_version_vector,
    version_to_json,
)
from onyxpass.desired.upstream_selection import ANSWER_MARGIN_S, LONG_POLL_S, UpstreamSelector
from onyxpass.net.http import header
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError, call_api, tcp_opener
from onyxpass.net.http_server import (
    BACKLOG,
    JSON,
    ApiError,
    CallServer,
    Reply,
    integer_field,
    parse_json_object,
    reject_unknown_fields,
)
from onyxpass.net.listen import Listener
from onyxpass.stop_limit import stop_within

MAX_LONG_POLL_MS = 10_000
RELOAD_TIMEOUT_S = 10.0  # for an agent to complete a reload
RETRY_DELAY_S = 0.5  # before the state is applied again after a failure
STOP_S = 10.0  # for the node's tasks to end
log = structlog.get_logger("desired")


@dataclass(slots=True)
class AppliedState:
    """The state that was last applied to the host's dispatchers."""

    digest: str = ""
    seen: dict[str, int] = field(default_factory=dict)


class Node:
    """Owns the state of this node; the server and the pulls change it only through this class."""

    def __init__(self, config: NodeConfig) -> None:
        """Load the node's state from disk.

        Raises ConfigError with file, key and reason if the state is invalid; its file is not
        changed.
        """
        self.config = config
        config.folder.mkdir(parents=True, exist_ok=True)
        self.state_path = config.folder / "state.json"
        self.state = state_file.load(self.state_path)
        self.applied = self._load_applied()
        self.origin = f"{config.name}.{time.time_ns() // 1_000_000}"  # unique to each start
        self.key = read_key(config.key)
        self.changed = asyncio.Event()  # set at the next change of the state, and then replaced
        # A node other than a control node applies nothing before it has merged the last page of an
        # upstream's state.
        self.caught_up = config.role == "control"

    def _load_applied(self) -> AppliedState:
        try:
            saved = json.loads((self.config.folder / "in-force.json").read_text())
            return AppliedState(str(saved["digest"]), parse_version_vector(saved["seen"]))
        except (OSError, ValueError, KeyError, TypeError):  # no state is known to be applied
            return AppliedState()

    def replace_state(self, state: DesiredState) -> None:
        """Save a state, make it this node's, and wake all tasks that wait for a change.

        Raises OSError if it can't be saved; the node then keeps its previous state and sends
        nothing.
        """
        state_file.save(self.state_path, state)
        self.state = state
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def change(self, values: Mapping[str, Any]) -> None:
        state = self.state.copy()
        version = state.change(self.origin, values)
        self.replace_state(state)
        self.log_state("ordered", version=version.number)

    def log_state(self, event: str, **fields: Any) -> None:
        """Log an event with the digest and the version vector of the present state."""
        seen, digest = dict(self.state.seen), self.state.digest()
        log.info(
            event,
            node=self.config.name,
            at_ns=time.monotonic_ns(),
            digest=digest,
            seen=seen,
            **fields,
        )

    def to_dict(self) -> dict[str, Any]:
        """Return the node's state as ``GET /v1/state`` reports it."""
        conflicts = [
            {
                "key": conflict.key,
                "kept": version_to_json(conflict.kept),
                "dropped": version_to_json(conflict.dropped),
            }
            for conflict in sorted(self.state.conflicts)
        ]
        return {
            "node": self.config.name,
            "role": self.config.role,
            "digest": self.state.digest(),
            "in_force": self.applied.digest,
            "seen": self.state.seen,
            "values": self.state.values(),
            "conflicts": conflicts,
        }

    # Pulling from upstreams

    async def pull_forever(self, upstreams: tuple[Address, ...]) -> None:
        selector = UpstreamSelector(len(upstreams), random.Random(f"{self.config.name}{upstreams}"))
        while True:
            pull = selector.next_pull(time.monotonic())
            if pull.delay_s:
                await asyncio.sleep(pull.delay_s)
            try:
                await self._pull(upstreams[pull.upstream])
            # An OSError means that the state could not be saved.
            except (RequestNotSentError, ResponseLostError, StateError, OSError) as error:
                selector.record_failure(time.monotonic())
                log.warning("pull_failed", upstream=str(upstreams[pull.upstream]), why=str(error))
            else:
                selector.record_success()

    async def _pull(self, upstream: Address) -> None:
        """Merge all that an upstream has beyond this node's state, of any number of pages."""
        collector = PageCollector(self.state.seen)
        while (
            complete := collector.add(await self._request_page(upstream, collector.seen))
        ) is None:
            continue
        state = self.state.copy()
        if state.merge(complete):
            self.replace_state(state)
            self.log_state("merged")
        if not self.caught_up:
            self.replace_state(self.state)  # wakes ``apply_forever``
            self.caught_up = True

    async def _request_page(self, upstream: Address, seen: VersionVector) -> Page:
        request = {
            "format": FORMAT_VERSION,
            "seen": dict(seen),
            "wait_ms": round(LONG_POLL_S * 1000) if self.caught_up else 0,
        }
        answer = await call_api(
            tcp_opener(upstream),
            "POST",
            "/v1/pull",
            request,
            key=self.key,
            timeout_s=LONG_POLL_S + ANSWER_MARGIN_S,
        )
        if answer.status != 200:
            raise ResponseLostError(answer.reason)
        return parse_page(answer.body)

    # Applying the state

    async def apply_forever(self) -> None:
        """Keep the host's dispatchers on the newest state that this node knows."""
        while True:
            changed = self.changed
            if self.caught_up and self.applied.digest != self.state.digest():
                if await self._apply_once():
                    continue
                wait_s: float | None = RETRY_DELAY_S
            else:
                wait_s = None
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _apply_once(self) -> bool:
        """Apply the present state; return whether that succeeded.

        An applied state is never replaced by one that lacks a change of it.
        """
        state = self.state
        if not covers(state.seen, self.applied.seen):
            log.warning("older_configuration_ignored", node=self.config.name)
            return False
        applied = AppliedState(state.digest(), dict(state.seen))
        try:
            files = [
                (instance, render_config(json.loads(instance.base.read_text()), state.values()))
                for instance in self.config.instances
            ]
        # Nothing is written if a key has no place in one of the files.
        except (OSError, ValueError) as error:
            log.error("configuration_not_applied", why=str(error))
            return False
        try:
            for instance, rendered in files:
                state_file.write_json(instance.config, rendered)
        except OSError as error:
            log.error("configuration_not_applied", why=str(error))
            return False
        if not all(
            [await self._reload(instance, applied.digest) for instance in self.config.instances]
        ):
            return False
        if not self._save_applied(applied):
            return False
        log.info(
            "configuration_in_force",
            node=self.config.name,
            at_ns=time.monotonic_ns(),
            digest=applied.digest,
            seen=applied.seen,
        )
        return True

    def _save_applied(self, applied: AppliedState) -> bool:
        """Record what is applied; return whether that succeeded.

        After a failure the state is applied once more, which is harmless.
        """
        record = {"digest": applied.digest, "seen": applied.seen}
        try:
            state_file.write_json(self.config.folder / "in-force.json", record)
        except OSError as error:
            log.error("state_not_saved", why=str(error))
            return False
        self.applied = applied
        return True

    async def _reload(self, instance: InstanceFiles, digest: str) -> bool:
        assert self.config.agent is not None
        opener, operation = tcp_opener(self.config.agent), f"desired.{digest}.{time.monotonic_ns()}"
        path = f"/v1/instances/{instance.name}/reload"
        poll_path = f"/v1/operations/{operation}?wait_ms={round(RELOAD_TIMEOUT_S * 1000)}"
        try:
            accepted = await call_api(opener, "POST", path, {"operation": operation}, key=self.key)
            if accepted.status != 202:
                raise ResponseLostError(accepted.reason)
            ended = await call_api(
                opener, "GET", poll_path, key=self.key, timeout_s=RELOAD_TIMEOUT_S + ANSWER_MARGIN_S
            )
        except (RequestNotSentError, ResponseLostError) as error:
            log.warning("instance_not_reloaded", instance=instance.name, why=str(error))
            return False
        if ended.body.get("state") != "done":
            log.warning("instance_not_reloaded", instance=instance.name, why=ended.body)
            return False
        return True


class NodeServer(CallServer):
    """Serves ``POST /v1/pull`` to nodes, ``POST /v1/change`` and ``GET /v1/state`` to operators."""

    content_type = JSON
    max_calls = 512
    max_body_bytes = 64 * 1024

    def __init__(self, node: Node, wheel: TimerWheel) -> None:
        super().__init__(wheel, str(node.config.listen))
        self.node = node

    def listen(self) -> Listener:
        address = self.node.config.listen
        return Listener.at(address.host, address.port, BACKLOG)

    def log_listening(self) -> None:
        log.info(
            "node", listen=f"{self.node.config.listen.host}:{self.port}", name=self.node.config.name
        )

    async def answer(self, head: h11.Request, text: bytes) -> Reply:
        if not is_authorized(header(head, b"authorization"), self.node.key):
            raise ApiError(401, "the key is absent or wrong")
        call = parse_json_object(text)
        match bytes(head.method), bytes(head.target):
            case b"POST", b"/v1/pull":
                return await self._pull(call)
            case b"POST", b"/v1/change":
                return self._change(call)
            case b"GET", b"/v1/state":
                return 200, json.dumps(self.node.to_dict()).encode()
        raise ApiError(404, "no such call")

    async def _pull(self, call: dict[str, Any]) -> Reply:
        reject_unknown_fields(call, "format", "seen", "wait_ms")
        if call.get("format") != FORMAT_VERSION:
            raise ApiError(
                400, f"format is {call.get('format')!r}; this node knows {FORMAT_VERSION}"
            )
        try:
            seen = parse_version_vector(call.get("seen", {}))
        except StateError as error:
            raise ApiError(400, str(error)) from error
        state, changed = self.node.state, self.node.changed
        if covers(seen, state.seen):
            try:
                async with asyncio.timeout(
                    integer_field(call, "wait_ms", 0, MAX_LONG_POLL_MS) / 1000
                ):
                    await changed.wait()
            except TimeoutError:
                pass
        return 200, json.dumps(page_to_json(self.node.state.page_since(seen))).encode()

    def _change(self, call: dict[str, Any]) -> Reply:
        reject_unknown_fields(call, "values")
        if self.node.config.role != "control":
            raise ApiError(409, "only a control node takes changes")
        values = call.get("values")
        if not isinstance(values, dict) or not values:
            raise ApiError(400, "values must be an object with at least one key")
        try:
            self.node.change(values)
        except StateError as error:
            raise ApiError(400, str(error)) from error
        except OSError as error:
            raise ApiError(503, f"the change can't be kept: {error.strerror}") from error
        return 200, json.dumps(
            {"digest": self.node.state.digest(), "seen": self.node.state.seen}
        ).encode()


def _ignore_reload() -> None:
    log.warning("reload_not_supported", reason="a node reads its file only when it starts")


async def run(config: NodeConfig) -> None:
    """Run a node until SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # Its default action would end the node; there is nothing to reload.
    reload_signal.handle(loop, _ignore_reload)
    node, wheel = Node(config), TimerWheel(Clock())
    coroutines = [wheel.run(), NodeServer(node, wheel).run()]
    if config.role == "control":
        coroutines += [node.pull_forever((peer,)) for peer in config.upstreams]
    else:
        coroutines.append(node.pull_forever(config.upstreams))
    if config.role == "host":
        coroutines.append(node.apply_forever())
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    stop_task = asyncio.create_task(stopping.wait())
    await asyncio.wait([stop_task, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():  # prevents a node from running on without one of its parts
            task.result()
        task.cancel()
    await stop_within(STOP_S, asyncio.gather(*tasks, return_exceptions=True))
