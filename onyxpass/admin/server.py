"""The admin socket of one instance: a Unix socket in its agent's folder, which only that user
may open.

``GET /status`` tells what it runs on, what is open, and its drain. ``POST /reload {"generation":
N}`` reads the file again; 409 where that is no use, and nothing is changed. ``POST /drain
{"deadline_ms": N, "notice_ms": N, "force": false}`` begins a drain, or gives it a new deadline;
``POST /undrain`` serves again.
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

LOOK_US = 20_000  # between looks at a drain
MOST_MS = 24 * 3600 * 1000
CUT = "cut short by an operator"
log = structlog.get_logger("admin")


class ManagedProgram(Protocol):
    """What the admin socket needs of a program."""

    kind: str
    core: RequestDispatcher

    def configuration_values(self) -> ConfigurationTable:
        """What it runs on."""

    def reload_now(self) -> ConfigurationChange:
        """Read the file again and take over what can be; ConfigError where it is no use."""

    def ready(self) -> bool:
        """Whether it takes requests."""

    def open_requests(self) -> OpenRequests:
        """What is open, up to the last byte of the last answer."""

    def set_draining(self, draining: bool) -> None:
        """Tell the front layer that it is not ready, or serve again."""

    def stop_admitting(self) -> None:
        """Refuse new requests."""

    def metrics(self) -> dict[str, Any]:
        """Its figures."""


class AdminServer(CallServer):
    content_type = JSON

    def __init__(self, managed: ManagedProgram, wheel: TimerWheel) -> None:
        self.path = Path(os.environ[ADMIN_VARIABLE])
        super().__init__(wheel, str(self.path))
        self.managed, self.drain = managed, Drain()
        told = os.environ.get(GENERATION_VARIABLE, "0")
        generation = int(told) if told.isdigit() else 0
        self.running = RunningConfiguration(managed.configuration_values(), generation)
        self.launch = os.environ.get(LAUNCH_VARIABLE, "")
        self.started_s = time.time()

    def listen(self) -> Listener:
        return Listener(listen_unix(self.path, BACKLOG))

    def status(self) -> dict[str, Any]:
        now_us = self.wheel.clock.now_us()
        self.running.values = (
            self.managed.configuration_values()
        )  # a reload by SIGHUP counts as well
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
                    integer_field(call, "deadline_ms", DEFAULT_DEADLINE_US // 1000, MOST_MS) * 1000
                )
                notice_us = (
                    integer_field(call, "notice_ms", DEFAULT_NOTICE_US // 1000, MOST_MS) * 1000
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
            self.running.refused(str(problem))
            log.error("configuration_rejected", why=str(problem))
            raise ApiError(409, str(problem), config=self.running.to_dict()) from problem
        self.running.took(change, generation)

    def _drain(self, deadline_us: int, notice_us: int, force: bool) -> None:
        was = self.drain.active
        self.drain.start(self.wheel.clock.now_us(), deadline_us, force, notice_us)
        self.managed.set_draining(True)
        log.info("drain", deadline_ms=deadline_us // 1000, force=force)
        if not was:
            self._look()

    def _look(self) -> None:
        """Follow the drain till it is undone: once drained it stays so, and a later force still
        counts.
        """
        if not self.drain.active:
            return
        try:
            before = self.drain.phase
            for step in self.drain.advance(self.wheel.clock.now_us(), self.managed.open_requests()):
                if step is DrainStep.REJECT_NEW:
                    self.managed.stop_admitting()
                elif step is DrainStep.ABORT_OPEN:
                    log.warning(
                        "drain_cut_short", requests=self.managed.core.shutdown.abort_all(CUT)
                    )
            if self.drain.phase is not before:
                log.info("drain", phase=self.drain.phase.value, cut=self.drain.aborted_requests)
        finally:  # guards against a drain that is never looked at again after one bad look
            self.wheel.after(LOOK_US, self._look)
