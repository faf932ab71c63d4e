"""The admin socket of one instance: a Unix socket in its agent's folder, for that user only.

``GET /status`` returns the configuration in force, the open requests and the drain. ``POST /reload
{"generation": N}`` reads the configuration file again; if it is invalid, the answer is 409 and
nothing changes. ``POST /drain {"deadline_ms": N, "notice_ms": N, "force": false}`` starts a drain
or gives it a new deadline; ``POST /undrain`` ends it. Every successful call returns the status.
"""

import json
import os
import time
from pathlib import Path
from typing import Any, Protocol

import h11
import structlog

from onyxpass.admin.drain import (
    DEFAULT_DEADLINE_US,
    DEFAULT_NOTICE_US,
    Drain,
    DrainStep,
    OpenRequests,
)
from onyxpass.admin.running_configuration import (
    ConfigurationChange,
    ConfigurationTable,
    RunningConfiguration,
)
from onyxpass.config.platform_file import (
    ADMIN_VARIABLE,
    GENERATION_VARIABLE,
    LAUNCH_VARIABLE,
    ConfigError,
)
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net.http_server import (
    BACKLOG,
    JSON,
    ApiError,
    CallServer,
    Reply,
    boolean_field,
    integer_field,
    parse_json_object,
    reject_unknown_fields,
)
from onyxpass.net.listen import Listener
from onyxpass.net.unix import listen_unix

DRAIN_POLL_US = 20_000  # between two checks of an active drain
MAX_DURATION_MS = 24 * 3600 * 1000  # longest deadline and notice
ABORT_REASON = "cut short by an operator"
log = structlog.get_logger("admin")


class ManagedProgram(Protocol):
    """The interface of an instance that the admin socket uses."""

    kind: str
    core: RequestDispatcher

    def configuration_values(self) -> ConfigurationTable:
        """Return the configuration in force."""

    def reload_now(self) -> ConfigurationChange:
        """Read the file again and apply the reloadable keys; ConfigError if it is invalid."""

    def ready(self) -> bool:
        """Whether the instance accepts requests."""

    def open_requests(self) -> OpenRequests:
        """Return the requests that are open until the last byte of their answer is sent."""

    def set_draining(self, draining: bool) -> None:
        """Report to the front layer that the instance is not ready, or serve again."""

    def stop_admitting(self) -> None:
        """Refuse new requests."""

    def metrics(self) -> dict[str, Any]:
        """Return the metrics by name."""


class AdminServer(CallServer):
    content_type = JSON

    def __init__(self, managed: ManagedProgram, wheel: TimerWheel) -> None:
        self.path = Path(os.environ[ADMIN_VARIABLE])
        super().__init__(wheel, str(self.path))
        self.managed, self.drain = managed, Drain()
        generation_text = os.environ.get(GENERATION_VARIABLE, "0")
        generation = int(generation_text) if generation_text.isdigit() else 0
        self.running = RunningConfiguration(managed.configuration_values(), generation)
        self.launch = os.environ.get(LAUNCH_VARIABLE, "")
        self.started_s = time.time()

    def listen(self) -> Listener:
        return Listener(listen_unix(self.path, BACKLOG))

    def status(self) -> dict[str, Any]:
        now_us = self.wheel.clock.now_us()
        self.running.values = self.managed.configuration_values()  # SIGHUP may have reloaded it
        return {
            "kind": self.managed.kind,
            "pid": os.getpid(),
            "launch": self.launch,
            "started_s": round(self.started_s, 3),
            "ready": self.managed.ready(),
            "config": self.running.to_dict(),
            "drain": self.drain.to_dict(now_us, self.managed.open_requests()),
            "figures": self.managed.metrics(),
        }

    async def answer(self, head: h11.Request, text: bytes) -> Reply:
        path, call = bytes(head.target).decode("ascii", "replace"), parse_json_object(text)
        match head.method, path:
            case b"GET", "/status":
                reject_unknown_fields(call)
            case b"POST", "/reload":
                reject_unknown_fields(call, "generation")
                self._reload(integer_field(call, "generation", self.running.generation, 2**53))
            case b"POST", "/drain":
                reject_unknown_fields(call, "deadline_ms", "notice_ms", "force")
                deadline_us = (
                    integer_field(call, "deadline_ms", DEFAULT_DEADLINE_US // 1000, MAX_DURATION_MS)
                    * 1000
                )
                notice_us = (
                    integer_field(call, "notice_ms", DEFAULT_NOTICE_US // 1000, MAX_DURATION_MS)
                    * 1000
                )
                self._drain(deadline_us, notice_us, boolean_field(call, "force"))
            case b"POST", "/undrain":
                reject_unknown_fields(call)
                if self.drain.cancel():
                    log.info("undrained")
                self.managed.set_draining(False)
            case _, "/status" | "/reload" | "/drain" | "/undrain":
                raise ApiError(405, "not with this method")
            case _:
                raise ApiError(404, "no such path")
        return 200, json.dumps(self.status()).encode() + b"\n"

    def _reload(self, generation: int) -> None:
        try:
            change = self.managed.reload_now()
        except ConfigError as problem:
            self.running.record_rejection(str(problem))
            log.error("configuration_rejected", why=str(problem))
            raise ApiError(409, str(problem), config=self.running.to_dict()) from problem
        self.running.record_reload(change, generation)

    def _drain(self, deadline_us: int, notice_us: int, force: bool) -> None:
        was_active = self.drain.active
        self.drain.start(self.wheel.clock.now_us(), deadline_us, force, notice_us)
        self.managed.set_draining(True)
        log.info("drain", deadline_ms=deadline_us // 1000, force=force)
        if not was_active:
            self._check_drain()

    def _check_drain(self) -> None:
        """Advance the drain and schedule the next check until the drain is cancelled.

        The checks go on after the deadline, since a later order may set ``force``.
        """
        if not self.drain.active:
            return
        try:
            phase_before = self.drain.phase
            for step in self.drain.advance(self.wheel.clock.now_us(), self.managed.open_requests()):
                if step is DrainStep.REJECT_NEW:
                    self.managed.stop_admitting()
                elif step is DrainStep.ABORT_OPEN:
                    log.warning(
                        "drain_cut_short",
                        requests=self.managed.core.shutdown.abort_all(ABORT_REASON),
                    )
            if self.drain.phase is not phase_before:
                log.info("drain", phase=self.drain.phase.value, cut=self.drain.aborted_requests)
        finally:  # an exception must not end the checks of the drain
            self.wheel.after(DRAIN_POLL_US, self._check_drain)
