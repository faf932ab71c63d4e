"""The list's actor: keeps a watch on discovery and tells the core and the replicas what it says."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

import h11
import structlog

from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.core.actor import Actor
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.net.http import HttpConnection, HttpError
from onyxpass.net.poll_schedule import CONNECT_MS, SILENT_MS, PollSchedule
from onyxpass.net.replicas import Replicas
from onyxpass.scheduling import contract

LIST = b"/registry/instances"
LINE_LIMIT = 4 * 1024 * 1024
CONDITIONS = {
    "active": contract.EndpointCondition.UP,
    "leaving": contract.EndpointCondition.DRAINING,
    "left": contract.EndpointCondition.REMOVED,
}
EXPECTED = (HttpError, OSError, TimeoutError, ValueError, RecursionError)  # of a watch that is lost
log = structlog.get_logger("list")


class EndpointListError(ValueError):
    """Discovery said something that is not a list."""


def parse_endpoint_list(
    message: Mapping[str, Any], form: contract.EndpointUpdateForm | None = None
) -> tuple[contract.EndpointUpdate, dict[str, Address]]:
    """One of discovery's objects in the module's words, and where each replica listens."""
    try:
        servers, addresses = [], {}
        for entry in message.get("hosts") or ():
            name, born_ms = str(entry["host"]), int(entry.get("born_ms") or 0)
            servers.append(
                contract.Endpoint(
                    id=name,
                    kind=str(entry["class"]),
                    zone=str(entry.get("site") or ""),
                    cell=int(entry.get("block") or 0),
                    started_us=born_ms * 1000 if born_ms > 0 else None,
                    condition=CONDITIONS[entry["health"]],
                    weight=float(entry.get("share") or 1.0),
                )
            )
            # guards against a name that can't be hashed: every choice would fail on it
            name.encode()
            addresses[name] = Address.parse(str(entry["dial"]))
        form = form or (
            contract.EndpointUpdateForm.COMPLETE
            if message.get("whole")
            else contract.EndpointUpdateForm.DELTA
        )
        return contract.EndpointUpdate(form, tuple(servers), int(message["seq"])), addresses
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigError) as problem:
        raise EndpointListError(f"not a list: {problem!r}") from problem


class JsonObjectSplitter:
    """Cuts a stream of parts into objects, one a line or indented over many; empty lines part them.

    One that grows past the limit, and one that a sign of life breaks into, is an error.
    """

    def __init__(self, most: int = LINE_LIMIT) -> None:
        self._rest, self._begun, self._size, self._most = b"", list[bytes](), 0, most
        self._depth = 0  # of what has begun, by its braces
        self.ended = 0  # whole lines so far, empty ones among them

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        *lines, self._rest = (self._rest + data).split(b"\n")
        self.ended += len(lines)
        found = [message for line in lines if (message := self._line(line.strip())) is not None]
        if self._size + len(self._rest) > self._most:
            raise EndpointListError("a line without an end")
        return found

    def _line(self, line: bytes) -> dict[str, Any] | None:
        if not line:
            if self._begun:
                raise EndpointListError("an object that breaks off")
            return None
        if not self._begun and not line.startswith(b"{"):
            raise EndpointListError("not an object")
        self._begun.append(line)
        self._size += len(line)
        self._depth += line.count(b"{") - line.count(b"}")
        # Guards against parsing an indented list of a hundred servers at each of its lines.
        if self._depth > 0 and (len(self._begun) > 1 or not line.endswith(b"}")) and line != b"}":
            return None
        try:
            message = json.loads(b"\n".join(self._begun))
        except ValueError:
            if self._depth > 0:
                return None  # a brace within a word, or the end of an entry
            raise
        self._begun, self._size, self._depth = [], 0, 0
        return cast("dict[str, Any]", message)  # it begins with a brace


@dataclass(frozen=True, slots=True)
class DiscoveryUpdate:
    """One of discovery's objects, and the how-manieth address it was heard at."""

    # None: all that there was to tell since our version has been told
    message: Mapping[str, Any] | None
    era: int
    absent_us: int | None = None  # when the list was last heard of without it


class EndpointWatcher(Actor[DiscoveryUpdate]):
    """Its mailbox takes discovery's objects in order; ``follow`` fills it from the watch."""

    def __init__(
        self, core: RequestDispatcher, replicas: Replicas, discovery: Address, seed: int = 0
    ) -> None:
        super().__init__("list")
        asked = core.settings
        within_ms = asked.poll_within_us / 1000
        self.pace = PollSchedule(
            random.Random(seed), asked.watch_endpoints, asked.routers, within_ms
        )
        self.core, self.replicas, self.discovery = core, replicas, discovery
        self.seq: int | None = None
        self.era = 0  # how often discovery has moved
        self._moved = asyncio.Event()  # since it was asked last
        self.ready = False
        self.heard_us: int | None = None  # when the list was last known to be as told
        self._watch: asyncio.Task[None] | None = None
        self.overlay: Callable[[contract.EndpointUpdate], contract.EndpointUpdate] | None = (
            None  # another source on top of this
        )
        self.raw: dict[str, contract.Endpoint] = {}  # with an overlay: what discovery said itself
        self.on_ready: Callable[[], None] | None = None

    def load_saved(self, known: Mapping[str, Any]) -> None:
        """The list as this dispatcher last had it. It may be old, so it makes nothing ready by
        itself.

        But where discovery is shared its first answer may take long, and meanwhile an old list
        serves better than none: a herd that waits for it leaves the whole load to those few that
        were not restarted.
        """
        try:
            update, addresses = parse_endpoint_list(known, contract.EndpointUpdateForm.PERSISTED)
        except EndpointListError as problem:
            if known:
                log.warning("known_endpoints_unusable", why=str(problem))
            update, addresses = contract.EndpointUpdate(contract.EndpointUpdateForm.PERSISTED), {}
        # guards against a herd that asks for the whole list where little has changed
        if update.endpoints:
            self.seq = update.version
        self._apply(update, addresses)
        if update.endpoints and self.pace.shared:
            self._be_ready()

    def _apply(
        self,
        update: contract.EndpointUpdate,
        addresses: Mapping[str, Address],
        absent_us: int | None = None,
    ) -> None:
        for server in update.endpoints:
            left = server.condition is contract.EndpointCondition.REMOVED
            self.replicas.set_address(server.id, addresses[server.id], left)
        if update.form is not contract.EndpointUpdateForm.DELTA:
            self.replicas.retain_only(addresses)
        self.core.update_endpoints(self._overlaid(update), absent_us)

    def _overlaid(self, update: contract.EndpointUpdate) -> contract.EndpointUpdate:
        if self.overlay is None:
            return update
        if update.form is not contract.EndpointUpdateForm.DELTA:
            self.raw = {}
        for server in update.endpoints:
            if server.condition is contract.EndpointCondition.REMOVED:
                self.raw.pop(server.id, None)
            else:
                self.raw[server.id] = server
        return self.overlay(update)

    def reapply_overlay(self) -> None:
        """Tell the list anew, since what lies over it has changed."""
        update = contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, tuple(self.raw.values()), self.seq or 0
        )
        self.core.update_endpoints(self._overlaid(update))

    def receive(self, message: DiscoveryUpdate) -> None:
        if message.message is None:
            self._be_ready()
            return
        update, addresses = parse_endpoint_list(message.message)
        if message.era != self.era and self.seq is not None:
            # Guards against an older state put over the new address's list. A drain was told all
            # the same.
            leaving = tuple(
                s for s in update.endpoints if s.condition is not contract.EndpointCondition.UP
            )
            update = contract.EndpointUpdate(
                contract.EndpointUpdateForm.DELTA, leaving, update.version
            )
        # Guards against versions of two addresses being compared: each counts for itself.
        known = self.seq if message.era == self.era else None
        if (
            update.form is contract.EndpointUpdateForm.DELTA
            and known is not None
            and update.version <= known
        ):
            return  # heard of already, on a watch that was lost
        self._apply(update, addresses, message.absent_us)
        if message.era == self.era:
            self.seq = update.version
        log.info("list", seq=update.version, form=update.form.value, n=len(update.endpoints))
        if update.form is contract.EndpointUpdateForm.COMPLETE:
            self._be_ready()

    def _be_ready(self) -> None:
        if not self.ready:
            self.ready = True
            if self.on_ready:
                self.on_ready()

    def set_discovery(self, discovery: Address) -> None:
        """Discovery is somewhere else from now on: leave the old watch, ask there for the whole
        list.

        Readiness and the list stay; what the old address told and the mailbox still holds is taken
        over.
        """
        if discovery == self.discovery:
            return
        self.discovery, self.seq, self.era = discovery, None, self.era + 1
        self.pace.failures = 0
        self._moved.set()
        if self._watch is not None:
            self._watch.cancel()

    async def follow(self) -> None:
        """Never ends: the old list holds while the watch is lost, and it resumes from the last
        version.
        """
        if self.seq is not None:
            await self._sleep(self.pace.first_ms())
        while True:
            self._moved.clear()
            began_us = self.core.clock.now_us()
            watch = self._watch = asyncio.create_task(self._once())
            try:
                await asyncio.wait([watch])
            finally:
                watch.cancel()
            problem = None if watch.cancelled() else watch.exception()
            if isinstance(problem, EXPECTED):
                log.warning("watch_lost", why=str(problem) or type(problem).__name__, seq=self.seq)
            elif problem is not None:
                log.error("watch_failed", exc_info=problem)
            if not self._moved.is_set():
                await self._sleep(self.pace.lost_ms((self.core.clock.now_us() - began_us) / 1000))

    async def _sleep(self, wait_ms: float) -> None:
        """No longer than till discovery moves."""
        if wait_ms > 0:
            with contextlib.suppress(TimeoutError):
                async with self.core.wheel.timeout(round(wait_ms * 1000)):
                    await self._moved.wait()

    async def _once(self) -> None:
        wheel = self.core.wheel
        async with wheel.timeout(round(CONNECT_MS * 1000)):
            streams = await asyncio.open_connection(self.discovery.host, self.discovery.port)
        wire = HttpConnection(h11.CLIENT, *streams)
        try:
            if self.seq is None:
                await self._ask_whole(wire)
                wire.h11.start_next_cycle()
            await self._ask_watch(wire)
        finally:
            wire.abort()

    def _ask(self, wire: HttpConnection, target: bytes) -> int:
        """Ask; by when there has to be an answer."""
        host = str(self.discovery).encode()
        wire.write(
            h11.Request(method=b"GET", target=target, headers=[(b"host", host)]), h11.EndOfMessage()
        )
        return self._in(self.pace.answer_ms)

    def _in(self, wait_ms: float) -> int:
        return self.core.clock.now_us() + round(wait_ms * 1000)

    async def _part(self, wire: HttpConnection, due_us: int) -> bytes | None:
        """What comes next of an answer; None at its end. Whatever else comes does not put off
        ``due_us``.
        """
        while True:
            async with self.core.wheel.timeout(due_us - self.core.clock.now_us()):
                event = await wire.next_event()
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise HttpError(f"discovery answers {event.status_code}")
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise HttpError("closed")

    async def _ask_whole(self, wire: HttpConnection) -> None:
        due_us, text = self._ask(wire, LIST), b""
        while (part := await self._part(wire, due_us)) is not None:
            text += part
            if len(text) > LINE_LIMIT:
                raise EndpointListError("a list too long")
        message = json.loads(text)
        if not isinstance(message, dict):
            raise EndpointListError("not an object")
        self._hear(message)
        self._heard_now()

    async def _ask_watch(self, wire: HttpConnection) -> None:
        """The one clock of silence: since the last whole line, or since the question."""
        lines, due_us = (
            JsonObjectSplitter(),
            self._ask(wire, LIST + b"?watch=1&from=%d" % (self.seq or 0)),
        )
        while (part := await self._part(wire, due_us)) is not None:
            ended = lines.ended
            for message in lines.feed(part):
                self._hear(message)
            # guards against bytes that never make a line and keep a dead watch alive
            if lines.ended > ended:
                due_us = self._in(SILENT_MS)
                self._heard_now()
                self.pace.heard()
                if not self.ready:
                    self.tell(DiscoveryUpdate(None, self.era))
        raise HttpError("the watch has ended")

    def _heard_now(self) -> None:
        """The list is known to be as told, and the wall clock is looked at."""
        self.heard_us = self.core.clock.now_us()
        self.core.endpoints.start_times.observe_wall_clock(self.heard_us, self.core.clock.wall_us())

    def _hear(self, message: dict[str, Any]) -> None:
        parse_endpoint_list(
            message
        )  # what is no list ends this watch rather than reach the mailbox
        news = DiscoveryUpdate(message, self.era, self.heard_us)
        if self.seq is None:
            self.receive(news)  # the first list settles from where to watch
        else:
            self.tell(news)
