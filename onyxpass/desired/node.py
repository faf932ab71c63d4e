"""One node of the desired configuration as a process: what it serves, follows and brings in force.

What is decided is in ``state`` and ``puller``; here are the sockets, the disk and the log.
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

from onyxpass.agent.credentials import is_authorized, read_key
from onyxpass.config.platform_file import Address
from onyxpass.core.clock import Clock
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.desired import state_file
from onyxpass.desired.config import NodeConfig, Target
from onyxpass.desired.config_rendering import rendered
from onyxpass.desired.state import (
    FORMAT,
    State,
    StateError,
    covers,
    page_told,
    read_page,
    read_seen,
    version_told,
)
from onyxpass.desired.upstream_selection import ANSWER_S, HOLD_S, Puller
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

HOLD_MOST_MS = 10_000
RELOAD_S = 10.0  # for an agent to carry a reload out
AGAIN_S = 0.5  # till an instance that did not take its file is told again
log = structlog.get_logger("desired")


@dataclass(slots=True)
class InForce:
    """What the host's dispatchers were last brought to."""

    digest: str = ""
    seen: dict[str, int] = field(default_factory=dict)


class Node:
    """Owns the state of this node; the server and the followers change it only through here."""

    def __init__(self, config: NodeConfig) -> None:
        """ConfigError, with file, key and reason, where what is on disk is no use; it is left as
        it is.
        """
        self.config = config
        config.folder.mkdir(parents=True, exist_ok=True)
        self.file = config.folder / "state.json"
        self.state = state_file.load(self.file)
        self.in_force = self._load_in_force()
        self.origin = f"{config.name}.{time.time_ns() // 1_000_000}"  # another one after each start
        self.key = read_key(config.key)
        self.changed = asyncio.Event()
        self.caught_up = config.role == "control"

    def _load_in_force(self) -> InForce:
        try:
            told = json.loads((self.config.folder / "in-force.json").read_text())
            return InForce(str(told["digest"]), read_seen(told["seen"]))
        except (OSError, ValueError, KeyError, TypeError):  # then nothing is known to be in force
            return InForce()

    def take_over(self, state: State) -> None:
        """Keep a state, go on from it and wake all who wait for a change.

        OSError if it can't be kept: then it is told to nobody, and the state before it holds.
        """
        state_file.save(self.file, state)
        self.state = state
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def change(self, values: Mapping[str, Any]) -> None:
        state = self.state.copy()
        version = state.change(self.origin, values)
        self.take_over(state)
        self.note("ordered", version=version.number)

    def note(self, what: str, **more: Any) -> None:
        """A line of this node's history."""
        seen, digest = dict(self.state.seen), self.state.digest()
        log.info(
            what, node=self.config.name, at_ns=time.monotonic_ns(), digest=digest, seen=seen, **more
        )

    def told(self) -> dict[str, Any]:
        """What an operator is shown."""
        conflicts = [
            {"key": c.key, "kept": version_told(c.kept), "dropped": version_told(c.dropped)}
            for c in sorted(self.state.conflicts)
        ]
        return {
            "node": self.config.name,
            "role": self.config.role,
            "digest": self.state.digest(),
            "in_force": self.in_force.digest,
            "seen": self.state.seen,
            "values": self.state.values(),
            "conflicts": conflicts,
        }

    # Following others

    async def follow(self, upstreams: tuple[Address, ...]) -> None:
        puller = Puller(len(upstreams), random.Random(f"{self.config.name}{upstreams}"))
        while True:
            pull = puller.next(time.monotonic())
            if pull.in_s:
                await asyncio.sleep(pull.in_s)
            try:
                await self._pull(upstreams[pull.upstream])
            # OSError: it could not be kept
            except (RequestNotSentError, ResponseLostError, StateError, OSError) as problem:
                puller.failed(time.monotonic())
                log.warning("pull_failed", upstream=str(upstreams[pull.upstream]), why=str(problem))
            else:
                puller.answered()

    async def _pull(self, upstream: Address) -> None:
        asked = {"format": FORMAT, "seen": self.state.seen, "wait_ms": round(HOLD_S * 1000)}
        if not self.caught_up:
            asked["wait_ms"] = 0
        answer = await call_api(
            tcp_opener(upstream),
            "POST",
            "/v1/pull",
            asked,
            key=self.key,
            timeout_s=HOLD_S + ANSWER_S,
        )
        if answer.status != 200:
            raise ResponseLostError(answer.reason)
        page = read_page(answer.body)
        state = self.state.copy()
        if state.merge(page):
            self.take_over(state)
            self.note("merged")
        if not page.more and not self.caught_up:
            self.take_over(self.state)
            self.caught_up = True

    # Bringing it in force

    async def apply(self) -> None:
        """Keep the host's dispatchers on the newest state that is known here."""
        while True:
            changed = self.changed
            if self.caught_up and self.in_force.digest != self.state.digest():
                if await self._apply_once():
                    continue
                wait_s: float | None = AGAIN_S
            else:
                wait_s = None
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _apply_once(self) -> bool:
        """Whether it is in force now. What is in force is never replaced by less."""
        state = self.state
        if not covers(state.seen, self.in_force.seen):
            log.warning("older_configuration_ignored", node=self.config.name)
            return False
        wanted = InForce(state.digest(), dict(state.seen))
        try:
            files = [
                (t, rendered(json.loads(t.base.read_text()), state.values()))
                for t in self.config.targets
            ]
        except (OSError, ValueError) as problem:  # nothing is written where one key fits nowhere
            log.error("configuration_not_applied", why=str(problem))
            return False
        try:
            for target, told in files:
                state_file.write_json(target.config, told)
        except OSError as problem:
            log.error("configuration_not_applied", why=str(problem))
            return False
        if not all([await self._reload(target, wanted.digest) for target in self.config.targets]):
            return False
        if not self._keep_in_force(wanted):
            return False
        log.info(
            "configuration_in_force",
            node=self.config.name,
            at_ns=time.monotonic_ns(),
            digest=wanted.digest,
            seen=wanted.seen,
        )
        return True

    def _keep_in_force(self, wanted: InForce) -> bool:
        """False where that can't be kept: it is brought in force again then, which does no harm."""
        told = {"digest": wanted.digest, "seen": wanted.seen}
        try:
            state_file.write_json(self.config.folder / "in-force.json", told)
        except OSError as problem:
            log.error("state_not_saved", why=str(problem))
            return False
        self.in_force = wanted
        return True

    async def _reload(self, target: Target, digest: str) -> bool:
        assert self.config.agent is not None
        agent, operation = tcp_opener(self.config.agent), f"desired.{digest}.{time.monotonic_ns()}"
        path = f"/v1/instances/{target.name}/reload"
        wait = f"/v1/operations/{operation}?wait_ms={round(RELOAD_S * 1000)}"
        try:
            begun = await call_api(agent, "POST", path, {"operation": operation}, key=self.key)
            if begun.status != 202:
                raise ResponseLostError(begun.reason)
            ended = await call_api(agent, "GET", wait, key=self.key, timeout_s=RELOAD_S + ANSWER_S)
        except (RequestNotSentError, ResponseLostError) as problem:
            log.warning("instance_not_reloaded", instance=target.name, why=str(problem))
            return False
        if ended.body.get("state") != "done":
            log.warning("instance_not_reloaded", instance=target.name, why=ended.body)
            return False
        return True


class NodeServer(CallServer):
    """``POST /v1/pull`` for other nodes; ``POST /v1/change`` and ``GET /v1/state`` for
    operators.
    """

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
                return 200, json.dumps(self.node.told()).encode()
        raise ApiError(404, "no such call")

    async def _pull(self, call: dict[str, Any]) -> Reply:
        reject_unknown_fields(call, "format", "seen", "wait_ms")
        if call.get("format") != FORMAT:
            raise ApiError(400, f"format is {call.get('format')!r}; this node knows {FORMAT}")
        try:
            seen = read_seen(call.get("seen", {}))
        except StateError as problem:
            raise ApiError(400, str(problem)) from problem
        state, changed = self.node.state, self.node.changed
        if covers(seen, state.seen):
            try:
                async with asyncio.timeout(integer_field(call, "wait_ms", 0, HOLD_MOST_MS) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        return 200, json.dumps(page_told(state.since(seen))).encode()

    def _change(self, call: dict[str, Any]) -> Reply:
        reject_unknown_fields(call, "values")
        if self.node.config.role != "control":
            raise ApiError(409, "only a control node takes changes")
        values = call.get("values")
        if not isinstance(values, dict) or not values:
            raise ApiError(400, "values must be an object with at least one key")
        try:
            self.node.change(values)
        except StateError as problem:
            raise ApiError(400, str(problem)) from problem
        except OSError as problem:
            raise ApiError(503, f"the change can't be kept: {problem.strerror}") from problem
        return 200, json.dumps(
            {"digest": self.node.state.digest(), "seen": self.node.state.seen}
        ).encode()


async def run(config: NodeConfig) -> None:
    """Till SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    node, wheel = Node(config), TimerWheel(Clock())
    works = [wheel.run(), NodeServer(node, wheel).run()]
    if config.role == "control":
        works += [node.follow((peer,)) for peer in config.upstreams]
    else:
        works.append(node.follow(config.upstreams))
    if config.role == "host":
        works.append(node.apply())
    tasks = [asyncio.create_task(work) for work in works]
    ended = asyncio.create_task(stopping.wait())
    await asyncio.wait([ended, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():  # guards against a node that lives on without one of its parts
            task.result()
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
