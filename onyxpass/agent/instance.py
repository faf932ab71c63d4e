"""The actor of one instance, which alone starts, watches, restarts and stops its process.

``lifecycle`` decides what to do, and ``state_store`` keeps what must outlive the agent. At most one
process of an instance runs: its launch is stored before the process is created, and a later agent
adopts a process that still runs instead of starting another.
"""

import asyncio
import os
import secrets
import signal
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import structlog

from onyxpass.agent.config import AgentConfig, InstanceSpec
from onyxpass.agent.connection_check import accepts_connections
from onyxpass.agent.instance_messages import (
    BackoffElapsed,
    CheckCompleted,
    EndInstance,
    InstanceMessage,
    ProcessExited,
    RestartInstance,
    SetWanted,
    StartOrAdopt,
)
from onyxpass.agent.instance_records import InstanceRecord
from onyxpass.agent.lifecycle import (
    Action,
    InstanceState,
    Launch,
    Lifecycle,
    ScheduleLaunch,
    Terminate,
)
from onyxpass.agent.process import Process, ProcessIdentity, find_by_environment, rotate_log
from onyxpass.agent.state_store import StateStore, StateStoreWriteError
from onyxpass.agent.store_orders import StoreOrders
from onyxpass.config.platform_file import ADMIN_VARIABLE, GENERATION_VARIABLE, LAUNCH_VARIABLE
from onyxpass.core.actor import Actor
from onyxpass.invariants import ProcessStartChecker
from onyxpass.net.http_client import ApiResponse, call_api, unix_opener

ADMIN_TIMEOUT_S = 2.0  # for an instance to answer on its admin socket
LAUNCH_ID_BYTES = 8
log = structlog.get_logger("agent")


class Instance(Actor[InstanceMessage]):
    """The owner of one instance's process, lifecycle and record."""

    def __init__(
        self,
        spec: InstanceSpec,
        config: AgentConfig,
        state_store: StateStore,
        folder: Path,
        start_checker: ProcessStartChecker,
        store_orders: StoreOrders,
    ) -> None:
        """Load the stored record. All instances of the agent share the last two."""
        super().__init__(spec.name)
        self.spec = spec
        self.config = config
        self.state_store = state_store
        self.folder = folder
        self.start_checker = start_checker
        self.store_orders = store_orders
        self.record = state_store.instances.load().get(spec.name) or InstanceRecord(spec.name)
        self.lifecycle = Lifecycle(
            config.restart, wanted=self.record.wanted, restarts=self.record.restarts
        )
        self.process: Process | None = None
        self.state_since_unix_s = time.time()  # for display only
        self.adopted = False
        self._ending = False  # nothing starts the instance any more
        self.no_process = asyncio.Event()  # set while no process runs and none is being started
        self.no_process.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._state_changed = asyncio.Event()  # replaced at each change of state

    @property
    def state(self) -> str:
        """The name of the lifecycle's state in events and in the agent's API."""
        return self.lifecycle.state.value

    @property
    def admin_socket(self) -> Path:
        """The instance's admin socket."""
        return self.folder / "run" / f"{self.name}.sock"

    @property
    def log_file(self) -> Path | None:
        """The file for the process's output.

        None without a state folder: the output then goes to that of the agent.
        """
        if self.config.state is None:
            return None
        return self.folder / "logs" / f"{self.name}.log"

    def receive(self, message: InstanceMessage) -> None:
        """Report a message to the lifecycle and perform the actions that it returns."""
        state_before = self.lifecycle.state
        for action in self._actions_after(message, time.monotonic()):
            self._perform(action)
        if self.lifecycle.state is not state_before:
            self._report_state()

    def _actions_after(self, message: InstanceMessage, now_s: float) -> list[Action]:
        match message:
            case StartOrAdopt():
                return self._start_or_adopt(now_s)
            case BackoffElapsed(state_sequence):
                return self.lifecycle.backoff_elapsed(now_s, state_sequence)
            case EndInstance():
                self._ending = True
                return self.lifecycle.set_wanted(now_s, False)
            case SetWanted() | RestartInstance() | StartOrAdopt() if self._ending:
                log.warning("order_ignored", name=self.name, reason="the agent ends")
                return []
            case SetWanted(wanted, order):
                actions = self.lifecycle.set_wanted(now_s, wanted)
                self._record_wanted(wanted)
                if order is not None:
                    self.store_orders.record(self.name, order)
                return actions
            case RestartInstance():
                actions = self.lifecycle.restart(now_s)
                self._record_wanted(True)
                return actions
            case ProcessExited(code):
                return self._process_exited(now_s, code)
            case CheckCompleted(pid, accepted):
                is_current = self.process is not None and self.process.pid == pid
                return self.lifecycle.checked(now_s, accepted) if is_current else []

    def _record_wanted(self, wanted: bool) -> None:
        if self.record.wanted != wanted:
            self.record.wanted = wanted
            self.state_store.instances.save(self.record)

    def _report_state(self) -> None:
        self.state_since_unix_s = time.time()
        pid = self.process.pid if self.process else None
        log.info("instance_state_changed", name=self.name, state=self.state, pid=pid)
        self.state_store.events.append(self.name, self.state, pid=pid)
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _perform(self, action: Action) -> None:
        match action:
            case Launch():
                self.no_process.clear()
                self._launch()
            case Terminate(reason):
                if self.process is not None:
                    log.info(
                        "instance_terminating",
                        name=self.name,
                        pid=self.process.pid,
                        reason=reason,
                    )
                    self._spawn(self._terminate(self.process))
            case ScheduleLaunch(delay_s, state_sequence):
                asyncio.get_running_loop().call_later(
                    delay_s, self.tell, BackoffElapsed(state_sequence)
                )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine concurrently with the mailbox.

        The reference in ``_tasks`` protects the task from garbage collection.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_or_adopt(self, now_s: float) -> list[Action]:
        """Adopt the process of an earlier agent if it still runs, or else start a wanted instance.

        Prevents a second process of the instance.
        """
        identity = self._recorded_identity()
        process = Process.adopt(identity) if identity is not None else None
        if process is None:
            if identity is not None:
                self.state_store.events.append(self.name, "gone", pid=identity.pid)
            return self.lifecycle.start(now_s)
        self.no_process.clear()
        self._watch(process, adopted=True)
        log.info("instance_adopted", name=self.name, pid=process.pid)
        self.state_store.events.append(self.name, "adopted", pid=process.pid)
        return self.lifecycle.adopted(now_s, process.identity.age_s)

    def _recorded_identity(self) -> ProcessIdentity | None:
        """Return the identity of the last process, if there is one.

        If an agent was killed before it stored the identity, the process is found by the id of its
        launch, which is in its environment.
        """
        if self.record.process is None and self.record.launch:
            return find_by_environment(LAUNCH_VARIABLE, self.record.launch)
        return self.record.process

    def _launch(self) -> None:
        """Start the process, storing its launch before and its identity right after."""
        verdict = self.start_checker.check_start(self.name)
        if not verdict:
            log.error("violation", name=self.name, **verdict.log_fields())
            return
        if not self._record_launch():
            self.tell(ProcessExited(None))
            return
        try:
            process = Process.launch(self.spec.command, self._environment(), self.log_file)
        except OSError as error:
            log.error("instance_start_failed", name=self.name, error=str(error))
            self.state_store.events.append(self.name, "can't start", why=str(error))
            self.tell(ProcessExited(None))
            return
        self._watch(process, adopted=False)
        for action in self.lifecycle.launched(time.monotonic()):
            self._perform(action)

    def _record_launch(self) -> bool:
        """Store the id of a new launch; return whether the process may be created.

        Prevents a process that no later agent could find.
        """
        self.record.launch = secrets.token_hex(LAUNCH_ID_BYTES)
        self.record.process = None
        try:
            self.state_store.instances.save_now(self.record)
        except StateStoreWriteError as error:
            log.error("instance_launch_not_recorded", name=self.name, error=error.reason)
            self.record.launch = ""
            return False
        return True

    def _environment(self) -> dict[str, str]:
        return {
            **os.environ,
            **self.spec.env,
            ADMIN_VARIABLE: str(self.admin_socket),
            GENERATION_VARIABLE: str(self.record.generation),
            LAUNCH_VARIABLE: self.record.launch,
        }

    def _watch(self, process: Process, adopted: bool) -> None:
        """Store the identity of a running process and wait for its exit."""
        self.process = process
        self.adopted = adopted
        self.start_checker.record_start(self.name, process.pid)
        self.record.process = process.identity
        self.state_store.instances.save(self.record)
        self._spawn(self._report_exit(process))

    async def _report_exit(self, process: Process) -> None:
        self.tell(ProcessExited(await process.wait()))

    async def _terminate(self, process: Process) -> None:
        """Send SIGTERM, and SIGKILL if the process has not ended within the grace period."""
        try:
            process.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(self.config.termination_grace_s):
                    await self._wait_until_ended(process)
            except TimeoutError:
                log.warning("instance_killed", name=self.name, pid=process.pid)
                self.state_store.events.append(self.name, "killed", pid=process.pid)
                process.send(signal.SIGKILL)
        except OSError:
            log.debug("instance_already_ended", name=self.name)

    async def _wait_until_ended(self, process: Process) -> None:
        while self.process is process:
            await self._state_changed.wait()

    def _process_exited(self, now_s: float, code: int | None) -> list[Action]:
        ran_s = now_s - self.lifecycle.state_since_s
        self.process = None
        self.start_checker.record_end(self.name)
        self.no_process.set()
        actions = self.lifecycle.exited(now_s, code)
        self.record.process = None
        self.record.launch = ""
        self.record.restarts = self.lifecycle.restarts
        self.record.last_exit = code
        self.state_store.instances.save(self.record)
        self.state_store.instances.add_exit(self.name, code, ran_s)
        if self.lifecycle.state is InstanceState.WAITING:
            log.warning("instance_exited", name=self.name, code=code, ran_s=round(ran_s, 3))
        return actions

    async def check(self) -> None:
        """Rotate the log; report whether the instance accepts connections, if that is checked."""
        if self.log_file is not None:
            rotate_log(self.log_file)
        address = self.spec.check
        if (
            self.process is None
            or address is None
            or self.lifecycle.state is not InstanceState.RUNNING
        ):
            return
        pid = self.process.pid
        self.tell(CheckCompleted(pid, await accepts_connections(address)))

    async def request(
        self,
        method: str,
        target: str,
        message: dict[str, Any] | None = None,
        timeout_s: float = ADMIN_TIMEOUT_S,
    ) -> ApiResponse:
        """Make one call on the instance's admin socket.

        Raises ``RequestNotSentError`` or ``ResponseLostError`` if there is no answer.
        """
        return await call_api(
            unix_opener(self.admin_socket), method, target, message, timeout_s=timeout_s
        )

    def to_dict(self) -> dict[str, Any]:
        """Return the instance's JSON form in the agent's API and in the store."""
        return {
            "agent": self.config.name,
            "kind": self.spec.kind,
            "wanted": self.lifecycle.wanted,
            "state": self.state,
            "pid": self.process.pid if self.process else None,
            "adopted": self.adopted,
            "launch": self.record.launch,
            "generation": self.record.generation,
            "restarts": self.lifecycle.restarts,
            "last_exit": self.record.last_exit,
            "since": round(self.state_since_unix_s, 3),
        }
