"""The list's actor: keeps a watch on discovery and tells the core and the replicas what it says."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import h11
import structlog

from onyxpass import interface as api
from onyxpass.config import Address, ConfigError
from onyxpass.core.actor import Actor
from onyxpass.core.dispatcher import Core
from onyxpass.net.http import Broken, Wire
from onyxpass.net.pacing import Pace
from onyxpass.net.replica import Replicas

LIST = b"/registry/instances"
QUIET_US = 6_000_000  # a watch sends a line every 2 s at least
CONNECT_US = 500_000
WHOLE_US, WHOLE_MOST_US = 1_000_000, 6_000_000  # for the whole list; twice as long each time, up to this
LINE_LIMIT = 4 * 1024 * 1024
CONDITIONS = {
    "active": api.Condition.UP,
    "leaving": api.Condition.DRAINING,
    "left": api.Condition.REMOVED,
}
EXPECTED = (Broken, OSError, TimeoutError, ValueError, RecursionError)  # of a watch that is lost
log = structlog.get_logger("list")


class ListError(ValueError):
    """Discovery said something that is not a list."""


def read_list(
    message: Mapping[str, Any], form: api.ListForm | None = None
) -> tuple[api.ListUpdate, dict[str, Address]]:
    """One of discovery's objects in the module's words, and where each replica listens."""
    try:
        servers, addresses = [], {}
        for entry in message.get("hosts") or ():
            name, born_ms = str(entry["host"]), int(entry.get("born_ms") or 0)
            servers.append(
                api.Server(
                    id=name,
                    kind=str(entry["class"]),
                    zone=str(entry.get("site") or ""),
                    cell=int(entry.get("block") or 0),
                    started_us=born_ms * 1000 if born_ms > 0 else None,
                    condition=CONDITIONS[entry["health"]],
                    weight=float(entry.get("share") or 1.0),
                )
            )
            name.encode()  # guards against a name that can't be hashed: every choice would fail on it
            addresses[name] = Address.parse(str(entry["dial"]))
        form = form or (api.ListForm.FULL if message.get("whole") else api.ListForm.DELTA)
        return api.ListUpdate(form, tuple(servers), int(message["seq"])), addresses
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigError) as problem:
        raise ListError(f"not a list: {problem!r}") from problem


class Lines:
    """Cuts a stream of parts into lines; one that grows past the limit is an error."""

    def __init__(self, most: int = LINE_LIMIT) -> None:
        self._rest, self._most = b"", most
        self.ended = False  # whether there has been a whole line, if only an empty one

    def feed(self, data: bytes) -> list[bytes]:
        *lines, self._rest = (self._rest + data).split(b"\n")
        self.ended = self.ended or bool(lines)
        if len(self._rest) > self._most:
            raise ListError("a line without an end")
        return [line.strip() for line in lines if line.strip()]


@dataclass(frozen=True, slots=True)
class News:
    """One of discovery's objects, and the how-manieth address it was heard at."""

    message: Mapping[str, Any] | None  # None: all that there was to tell since our version has been told
    era: int


class ListActor(Actor[News]):
    """Its mailbox takes discovery's objects in order; ``follow`` fills it from the watch."""

    def __init__(self, core: Core, replicas: Replicas, discovery: Address, seed: int = 0) -> None:
        super().__init__("list")
        asked = core.settings
        within_ms = asked.ask_within_us / 1000
        self.pace = Pace(random.Random(seed), asked.subscribe, asked.routers, within_ms)
        self.core, self.replicas, self.discovery = core, replicas, discovery
        self.seq: int | None = None
        self.era = 0  # how often discovery has moved
        self._moved = asyncio.Event()  # since it was asked last
        self.ready = False
        self._watch: asyncio.Task[None] | None = None
        self.overlay: Callable[[api.ListUpdate], api.ListUpdate] | None = (
            None  # another source on top of this
        )
        self.raw: dict[str, api.Server] = {}  # with an overlay: what discovery said itself
        self.on_ready: Callable[[], None] | None = None

    def saved(self, known: Mapping[str, Any]) -> None:
        """The list as this dispatcher last had it. It may be old, so it makes nothing ready by itself.

        But where discovery is shared its first answer may take long, and meanwhile an old list serves better
        than none: a herd that waits for it leaves the whole load to those few that were not restarted.
        """
        try:
            update, addresses = read_list(known, api.ListForm.SAVED)
        except ListError as problem:
            if known:
                log.warning("the known list is no use", why=str(problem))
            update, addresses = api.ListUpdate(api.ListForm.SAVED), {}
        if update.servers:  # guards against a herd that asks for the whole list where little has changed
            self.seq = update.version
        self._apply(update, addresses)
        if update.servers and self.pace.shared:
            self._be_ready()

    def _apply(self, update: api.ListUpdate, addresses: Mapping[str, Address]) -> None:
        for server in update.servers:
            left = server.condition is api.Condition.REMOVED
            self.replicas.told(server.id, addresses[server.id], left)
        if update.form is not api.ListForm.DELTA:
            self.replicas.only(addresses)
        self.core.listed(self._overlaid(update))

    def _overlaid(self, update: api.ListUpdate) -> api.ListUpdate:
        if self.overlay is None:
            return update
        if update.form is not api.ListForm.DELTA:
            self.raw = {}
        for server in update.servers:
            if server.condition is api.Condition.REMOVED:
                self.raw.pop(server.id, None)
            else:
                self.raw[server.id] = server
        return self.overlay(update)

    def relist(self) -> None:
        """Tell the list anew, since what lies over it has changed."""
        update = api.ListUpdate(api.ListForm.DELTA, tuple(self.raw.values()), self.seq or 0)
        self.core.listed(self._overlaid(update))

    def receive(self, message: News) -> None:
        if message.message is None:
            self._be_ready()
            return
        update, addresses = read_list(message.message)
        # Guards against versions of two addresses being compared: each counts for itself.
        known = self.seq if message.era == self.era else None
        if update.form is api.ListForm.DELTA and known is not None and update.version <= known:
            return  # heard of already, on a watch that was lost
        self._apply(update, addresses)
        if message.era == self.era:
            self.seq = update.version
        log.info("list", seq=update.version, form=update.form.value, n=len(update.servers))
        if update.form is api.ListForm.FULL:
            self._be_ready()

    def _be_ready(self) -> None:
        if not self.ready:
            self.ready = True
            if self.on_ready:
                self.on_ready()

    def move(self, discovery: Address) -> None:
        """Discovery is somewhere else from now on: leave the old watch, ask there for the whole list.

        Readiness and the list stay; what the old address told and the mailbox still holds is taken over.
        """
        if discovery == self.discovery:
            return
        self.discovery, self.seq, self.era = discovery, None, self.era + 1
        self.pace.failures = 0
        self._moved.set()
        if self._watch is not None:
            self._watch.cancel()

    async def follow(self) -> None:
        """Never ends: the old list holds while the watch is lost, and it resumes from the last version."""
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
                log.warning("watch lost", why=str(problem) or type(problem).__name__, seq=self.seq)
            elif problem is not None:
                log.error("the watch failed", exc_info=problem)
            if not self._moved.is_set():
                await self._sleep(self.pace.lost_ms((self.core.clock.now_us() - began_us) / 1000))

    async def _sleep(self, wait_ms: float) -> None:
        """No longer than till discovery moves."""
        if wait_ms > 0:
            with contextlib.suppress(TimeoutError):
                async with self.core.wheel.limit(round(wait_ms * 1000)):
                    await self._moved.wait()

    async def _once(self) -> None:
        wheel = self.core.wheel
        async with wheel.limit(CONNECT_US):
            streams = await asyncio.open_connection(self.discovery.host, self.discovery.port)
        wire = Wire(h11.CLIENT, *streams)
        try:
            if self.seq is None:
                # Guards against an address that takes the question and says nothing: it is asked again soon;
                # and against a busy one that never has the time to answer: what is given up costs it as well.
                doublings = 10 if self.pace.shared else min(self.pace.failures, 10)
                async with wheel.limit(min(WHOLE_MOST_US, WHOLE_US << doublings)):
                    await self._ask(wire, LIST, whole=True)
                wire.h11.start_next_cycle()
            await self._ask(wire, LIST + b"?watch=1&from=%d" % (self.seq or 0), whole=False)
        finally:
            wire.abort()

    async def _ask(self, wire: Wire, target: bytes, whole: bool) -> None:
        host = str(self.discovery).encode()
        wire.write(h11.Request(method=b"GET", target=target, headers=[(b"host", host)]), h11.EndOfMessage())
        lines, text = Lines(), b""
        while True:
            async with self.core.wheel.limit(QUIET_US):
                event = await wire.event()
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise Broken(f"discovery answers {event.status_code}")
            if isinstance(event, h11.Data):
                if whole:
                    text += bytes(event.data)
                    if len(text) > LINE_LIMIT:
                        raise ListError("a list too long")
                    continue
                for line in lines.feed(bytes(event.data)):
                    self._hear(line)
                if lines.ended:
                    self.pace.heard()
                    if not self.ready:
                        self.tell(News(None, self.era))
            elif isinstance(event, h11.EndOfMessage):
                if whole:
                    self._hear(text)
                    return
                raise Broken("the watch has ended")
            elif not isinstance(event, h11.Response | h11.InformationalResponse):
                raise Broken("closed")

    def _hear(self, text: bytes) -> None:
        message = json.loads(text)
        if not isinstance(message, dict):
            raise ListError("not an object")
        read_list(message)  # what is no list ends this watch rather than reach the mailbox
        news = News(message, self.era)
        if self.seq is None:
            self.receive(news)  # the first list settles from where to watch
        else:
            self.tell(news)
