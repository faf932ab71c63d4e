"""Follows the endpoint list of the discovery service and applies it to the core and the replicas."""

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
from onyxpass.net.poll_schedule import CONNECT_TIMEOUT_MS, WATCH_SILENCE_TIMEOUT_MS, PollSchedule
from onyxpass.net.replicas import Replicas
from onyxpass.scheduling import contract

ENDPOINTS_PATH = b"/registry/instances"
MAX_LIST_BYTES = 4 * 1024 * 1024
CONDITIONS = {
    "active": contract.EndpointCondition.UP,
    "leaving": contract.EndpointCondition.DRAINING,
    "left": contract.EndpointCondition.REMOVED,
}
# errors that are expected to end a watch
WATCH_ERRORS = (HttpError, OSError, TimeoutError, ValueError, RecursionError)
log = structlog.get_logger("list")


class EndpointListError(ValueError):
    """Discovery sent something that is not an endpoint list."""


def parse_endpoint_list(
    message: Mapping[str, Any], form: contract.EndpointUpdateForm | None = None
) -> tuple[contract.EndpointUpdate, dict[str, Address]]:
    """Return a discovery message as an endpoint update, and the address of each replica.

    Raises ``EndpointListError`` if it is not an endpoint list.
    """
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
            # prevents a name that can't be encoded: every server selection would fail to hash it
            name.encode()
            addresses[name] = Address.parse(str(entry["dial"]))
        form = form or (
            contract.EndpointUpdateForm.COMPLETE
            if message.get("whole")
            else contract.EndpointUpdateForm.DELTA
        )
        return contract.EndpointUpdate(form, tuple(servers), int(message["seq"])), addresses
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigError) as error:
        raise EndpointListError(f"invalid endpoint list: {error!r}") from error


class JsonObjectSplitter:
    """Splits a byte stream into JSON objects, each on one line or indented over several.

    Objects may be separated by empty lines, which discovery also sends as heartbeats. An object
    that exceeds the size limit, or that an empty line interrupts, raises ``EndpointListError``.
    """

    def __init__(self, max_bytes: int = MAX_LIST_BYTES) -> None:
        self._partial_line = bytearray()
        self._lines: list[bytes] = []
        self._size = 0
        self._max_bytes = max_bytes
        self._depth = 0  # nesting depth of the current object, by its braces
        self.line_count = 0  # complete lines so far, including empty ones

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        line, *more_lines = data.split(b"\n")
        self._partial_line += line
        for next_line in more_lines:
            self.line_count += 1
            if (message := self._line(bytes(self._partial_line).strip())) is not None:
                found.append(message)
            self._partial_line = bytearray(next_line)
        if self._size + len(self._partial_line) > self._max_bytes:
            raise EndpointListError("an object or line exceeds the size limit")
        return found

    def _line(self, line: bytes) -> dict[str, Any] | None:
        if not line:
            if self._lines:
                raise EndpointListError("an object is interrupted by an empty line")
            return None
        if not self._lines and not line.startswith(b"{"):
            raise EndpointListError("not a JSON object")
        self._lines.append(line)
        self._size += len(line)
        self._depth += line.count(b"{") - line.count(b"}")
        # Prevents parsing an indented list of a hundred servers again at each of its lines.
        if self._depth > 0 and (len(self._lines) > 1 or not line.endswith(b"}")) and line != b"}":
            return None
        try:
            message = json.loads(b"\n".join(self._lines))
        except ValueError:
            if self._depth > 0:
                return None  # the brace was in a string, or closed a nested object
            raise
        self._lines, self._size, self._depth = [], 0, 0
        return cast("dict[str, Any]", message)  # the text begins with a brace


@dataclass(frozen=True, slots=True)
class DiscoveryUpdate:
    """A message from discovery, and the epoch of the address that sent it."""

    # None: every change since the last known version has been received
    message: Mapping[str, Any] | None
    epoch: int
    absent_us: int | None = None  # when the list was last confirmed without this message


class EndpointWatcher(Actor[DiscoveryUpdate]):
    """Applies messages from discovery in order; ``follow`` fills its mailbox from the watch."""

    def __init__(
        self, core: RequestDispatcher, replicas: Replicas, discovery: Address, seed: int = 0
    ) -> None:
        super().__init__("list")
        settings = core.settings
        within_ms = settings.poll_within_us / 1000
        self.schedule = PollSchedule(
            random.Random(seed), settings.watch_endpoints, settings.routers, within_ms
        )
        self.core, self.replicas, self.discovery = core, replicas, discovery
        self.seq: int | None = None
        self.epoch = 0  # number of changes of the discovery address
        # set when the address changes, cleared before each watch
        self._address_changed = asyncio.Event()
        self.ready = False
        self.confirmed_us: int | None = None  # when discovery last confirmed the list
        self._watch_task: asyncio.Task[None] | None = None
        # merges another source into each update
        self.overlay: Callable[[contract.EndpointUpdate], contract.EndpointUpdate] | None = None
        # with an overlay: the endpoints as discovery sent them
        self.discovered: dict[str, contract.Endpoint] = {}
        self.on_ready: Callable[[], None] | None = None

    def load_saved(self, known: Mapping[str, Any]) -> None:
        """Apply the list that this dispatcher saved last.

        The list may be outdated, so it alone makes the dispatcher ready only with a shared
        discovery, whose first response may take long: many dispatchers that restart together and
        wait for it would leave the whole load to the few that were not restarted.
        """
        try:
            update, addresses = parse_endpoint_list(known, contract.EndpointUpdateForm.PERSISTED)
        except EndpointListError as error:
            if known:
                log.warning("known_endpoints_unusable", why=str(error))
            update, addresses = contract.EndpointUpdate(contract.EndpointUpdateForm.PERSISTED), {}
        # prevents many dispatchers from fetching the whole list where little has changed
        if update.endpoints:
            self.seq = update.version
        self._apply(update, addresses)
        if update.endpoints and self.schedule.shared:
            self._set_ready()

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
        self.core.update_endpoints(self._with_overlay(update), absent_us)

    def _with_overlay(self, update: contract.EndpointUpdate) -> contract.EndpointUpdate:
        if self.overlay is None:
            return update
        if update.form is not contract.EndpointUpdateForm.DELTA:
            self.discovered = {}
        for server in update.endpoints:
            if server.condition is contract.EndpointCondition.REMOVED:
                self.discovered.pop(server.id, None)
            else:
                self.discovered[server.id] = server
        return self.overlay(update)

    def reapply_overlay(self) -> None:
        """Apply the discovered endpoints again after a change of the overlay."""
        update = contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, tuple(self.discovered.values()), self.seq or 0
        )
        self.core.update_endpoints(self._with_overlay(update))

    def receive(self, message: DiscoveryUpdate) -> None:
        if message.message is None:
            self._set_ready()
            return
        update, addresses = parse_endpoint_list(message.message)
        if message.epoch != self.epoch and self.seq is not None:
            # Prevents state of the old address from replacing the list of the new one. A drain that
            # the old address announced still applies.
            leaving = tuple(
                s for s in update.endpoints if s.condition is not contract.EndpointCondition.UP
            )
            update = contract.EndpointUpdate(
                contract.EndpointUpdateForm.DELTA, leaving, update.version
            )
        # Versions of two addresses are not comparable: each address counts its own.
        known = self.seq if message.epoch == self.epoch else None
        if (
            update.form is contract.EndpointUpdateForm.DELTA
            and known is not None
            and update.version <= known
        ):
            return  # already received on an earlier watch
        self._apply(update, addresses, message.absent_us)
        if message.epoch == self.epoch:
            self.seq = update.version
        log.info("list", seq=update.version, form=update.form.value, n=len(update.endpoints))
        if update.form is contract.EndpointUpdateForm.COMPLETE:
            self._set_ready()

    def _set_ready(self) -> None:
        if not self.ready:
            self.ready = True
            if self.on_ready:
                self.on_ready()

    def set_discovery(self, discovery: Address) -> None:
        """Switch to another discovery address.

        Ends the current watch and fetches the whole list there. Readiness and the current list are
        kept. Messages of the old address that are still in the mailbox are processed by
        ``receive``.
        """
        if discovery == self.discovery:
            return
        self.discovery, self.seq, self.epoch = discovery, None, self.epoch + 1
        self.schedule.failures = 0
        self._address_changed.set()
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def follow(self) -> None:
        """Watch discovery until cancelled.

        While no watch is up the last list stays in force; the next watch resumes from the last
        version.
        """
        if self.seq is not None:
            await self._sleep(self.schedule.initial_delay_ms())
        while True:
            self._address_changed.clear()
            began_us = self.core.clock.now_us()
            self._watch_task = asyncio.create_task(self._watch_once())
            try:
                await asyncio.wait([self._watch_task])
            finally:
                self._watch_task.cancel()
            self._log_end(self._watch_task)
            self._watch_task = None  # its error refers to the connection
            if not self._address_changed.is_set():
                await self._sleep(
                    self.schedule.retry_delay_ms((self.core.clock.now_us() - began_us) / 1000)
                )

    def _log_end(self, watch: asyncio.Task[None]) -> None:
        error = None if watch.cancelled() else watch.exception()
        if isinstance(error, WATCH_ERRORS):
            log.warning("watch_lost", why=str(error) or type(error).__name__, seq=self.seq)
        elif error is not None:
            log.error("watch_failed", exc_info=error)

    async def _sleep(self, wait_ms: float) -> None:
        """Sleep, but end early if the discovery address changes."""
        if wait_ms > 0:
            with contextlib.suppress(TimeoutError):
                async with self.core.wheel.timeout(round(wait_ms * 1000)):
                    await self._address_changed.wait()

    async def _watch_once(self) -> None:
        wheel = self.core.wheel
        async with wheel.timeout(round(CONNECT_TIMEOUT_MS * 1000)):
            streams = await asyncio.open_connection(self.discovery.host, self.discovery.port)
        wire = HttpConnection(h11.CLIENT, *streams)
        wire.limit_chunks(MAX_LIST_BYTES)
        try:
            if self.seq is None:
                await self._fetch_list(wire)
                wire.start_next_cycle()
            await self._run_watch(wire)
        finally:
            wire.abort()
            wire.dispose()

    def _send_get(self, wire: HttpConnection, target: bytes) -> int:
        """Send a GET request; return the deadline of its response."""
        host = str(self.discovery).encode()
        wire.write(
            h11.Request(method=b"GET", target=target, headers=[(b"host", host)]), h11.EndOfMessage()
        )
        return self._deadline_us(self.schedule.response_timeout_ms)

    def _deadline_us(self, wait_ms: float) -> int:
        return self.core.clock.now_us() + round(wait_ms * 1000)

    async def _next_body_part(self, wire: HttpConnection, due_us: int) -> bytes | None:
        """Return the next part of a response body; None at its end.

        ``due_us`` bounds the wait, whatever other bytes arrive.
        """
        while True:
            async with self.core.wheel.timeout(due_us - self.core.clock.now_us()):
                event = await wire.next_event()
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise HttpError(f"discovery answered with status {event.status_code}")
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            if not isinstance(event, h11.Response | h11.InformationalResponse):
                raise HttpError("connection closed")

    async def _fetch_list(self, wire: HttpConnection) -> None:
        due_us, text = self._send_get(wire, ENDPOINTS_PATH), bytearray()
        while (part := await self._next_body_part(wire, due_us)) is not None:
            text += part
            if len(text) > MAX_LIST_BYTES:
                raise EndpointListError("the endpoint list exceeds the size limit")
        message = json.loads(text)
        if not isinstance(message, dict):
            raise EndpointListError("not a JSON object")
        self._handle(message)
        self._confirm_list()

    async def _run_watch(self, wire: HttpConnection) -> None:
        """Watch for changes until the watch ends, which raises.

        The time limit runs from the last complete line, or from the request until there is one.
        """
        lines, due_us = (
            JsonObjectSplitter(),
            self._send_get(wire, ENDPOINTS_PATH + b"?watch=1&from=%d" % (self.seq or 0)),
        )
        while (part := await self._next_body_part(wire, due_us)) is not None:
            line_count = lines.line_count
            for message in lines.feed(part):
                self._handle(message)
            # prevents bytes without a line end from keeping a dead watch alive
            if lines.line_count > line_count:
                due_us = self._deadline_us(WATCH_SILENCE_TIMEOUT_MS)
                self._confirm_list()
                self.schedule.line_received()
                if not self.ready:
                    self.tell(DiscoveryUpdate(None, self.epoch))
        raise HttpError("the watch has ended")

    def _confirm_list(self) -> None:
        """Note that the list is current, and compare the wall clock for server start times."""
        self.confirmed_us = self.core.clock.now_us()
        self.core.endpoints.start_times.observe_wall_clock(
            self.confirmed_us, self.core.clock.wall_us()
        )

    def _handle(self, message: dict[str, Any]) -> None:
        # a malformed message ends this watch instead of reaching the mailbox
        parse_endpoint_list(message)
        update = DiscoveryUpdate(message, self.epoch, self.confirmed_us)
        if self.seq is None:
            self.receive(update)  # the watch starts from the version of the first list
        else:
            self.tell(update)
