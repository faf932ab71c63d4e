"""The execution of each kind of operation on one instance.

An operation is done only when its effect has been observed on the instance. Each step returns the
detail that the operation's record shows. It raises ``OperationFailedError`` if the operation does
not succeed on the instance or with its file, ``ConfigError`` if the file is invalid, and
``RequestNotSentError`` or ``ResponseLostError`` if the instance does not answer.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from onyxpass.agent.expected_config import expected_digest
from onyxpass.agent.instance import Instance
from onyxpass.agent.instance_messages import RestartInstance, SetWanted
from onyxpass.agent.lifecycle import InstanceState
from onyxpass.agent.operation_options import OperationKind, OperationOptions
from onyxpass.agent.state_store import StateStore
from onyxpass.net.http_client import ApiResponse, RequestNotSentError, ResponseLostError

POLL_INTERVAL_S = 0.03
DRAIN_CLEANUP_S = 5.0  # past the deadline, to clean up requests that were cut
MAX_KEYS_SHOWN = 4
DRAIN_CONTINUES = "; it goes on draining"

Detail = Mapping[str, Any]


class OperationFailedError(Exception):
    """An operation did not succeed; its record shows ``reason`` and ``detail``."""

    def __init__(self, reason: str, **detail: Any) -> None:
        super().__init__(reason)
        self.reason = reason
        self.detail = detail


async def execute_operation(
    state_store: StateStore, kind: OperationKind, instance: Instance, options: OperationOptions
) -> Detail:
    """Execute one operation; the module's docstring names the errors that it raises."""
    steps = OperationSteps(state_store, instance, options)
    step: Callable[[], Awaitable[Detail]] = {
        OperationKind.RELOAD: steps.reload,
        OperationKind.DRAIN: steps.drain,
        OperationKind.UNDRAIN: steps.undrain,
        OperationKind.RESTART: steps.restart,
        OperationKind.STOP: steps.stop,
        OperationKind.START: steps.start,
    }[kind]
    return await step()


class OperationSteps:
    """The steps of one operation on one instance, by its kind."""

    def __init__(
        self, state_store: StateStore, instance: Instance, options: OperationOptions
    ) -> None:
        self._state_store = state_store
        self._instance = instance
        self._options = options

    async def reload(self) -> Detail:
        """Reload the instance's file, and restart the instance if that is needed and allowed."""
        self._require_running()
        digest = self._file_digest(reload=True)
        generation = self._assign_generation(digest)
        _successful_body(
            await self._instance.request("POST", "/reload", {"generation": generation})
        )
        # The answer to the reload is no proof that the instance runs on the new file.
        config = (await self._status())["config"]
        if config["digest"] == digest:
            return {"digest": digest, "generation": config["generation"], "restarted": False}
        keys = [str(key) for key in config["needs_restart"]]
        if not keys:
            raise OperationFailedError(
                f"it runs on {config['digest']}, its file is {digest}", digest=config["digest"]
            )
        if self._options.allow_restart:
            return await self.restart()
        raise OperationFailedError(
            f"needs a restart: {_abbreviated(keys)}", digest=config["digest"], needs_restart=keys
        )

    async def drain(self) -> Detail:
        """Drain the instance and wait until it is drained; fail if it is not by the deadline."""
        self._require_running()
        drain_request = {
            "deadline_ms": round(self._options.deadline_s * 1000),
            "notice_ms": round(self._options.notice_s * 1000),
            "force": self._options.force,
        }
        _successful_body(await self._instance.request("POST", "/drain", drain_request))
        end_s = time.monotonic() + self._options.deadline_s + DRAIN_CLEANUP_S
        while True:
            drain = (await self._status())["drain"]
            if drain["phase"] == "drained":
                return {"cut": drain["cut"], "forced": drain["cut"] > 0}
            if drain["phase"] == "serving":
                raise OperationFailedError("the drain was undone meanwhile")
            is_late = drain["late"] and not self._options.force
            if is_late or time.monotonic() > end_s:
                open_requests = (
                    f"{drain['requests']} requests open, {drain['streams']} of them streaming"
                )
                raise OperationFailedError(
                    f"not drained by the deadline: {open_requests}{DRAIN_CONTINUES}", drain=drain
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def undrain(self) -> Detail:
        """Make the instance accept requests again."""
        _successful_body(await self._instance.request("POST", "/undrain"))
        status = await self._status()
        if status["drain"]["phase"] != "serving":
            raise OperationFailedError(f"it is {status['drain']['phase']} still")
        return {"ready": status["ready"]}

    async def restart(self) -> Detail:
        """Drain the instance if requested, restart it, and wait until it is ready on its file."""
        digest = self._file_digest(reload=False)  # an invalid file fails before the drain
        end_s = time.monotonic() + self._options.deadline_s
        drained = await self._drain_if_requested()
        previous_launch = self._instance.record.launch
        generation = self._assign_generation(digest)
        self._instance.tell(RestartInstance())
        reason = "it has not started"
        while time.monotonic() < end_s + self._instance.config.termination_grace_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            reason = await self._restart_pending_reason(previous_launch, digest)
            if not reason:
                return {"digest": digest, "generation": generation, "restarted": True, **drained}
        raise self._timeout_error(reason)

    async def _restart_pending_reason(self, previous_launch: str, digest: str) -> str:
        """Return why the new process is not ready yet; empty once it is ready.

        Raises ``OperationFailedError`` if it is ready on another configuration than ``digest``.
        """
        launch = self._instance.record.launch
        is_running = self._instance.lifecycle.state is InstanceState.RUNNING
        if not is_running or launch in ("", previous_launch):
            return f"the instance is {self._instance.state}"
        try:
            status = await self._status()
        except (RequestNotSentError, ResponseLostError) as error:
            return f"it does not answer yet: {error}"
        if status["launch"] != self._instance.record.launch or not status["ready"]:
            return "it is not ready"
        config = status["config"]
        if config["digest"] != digest:
            raise OperationFailedError(
                f"it runs on {config['digest']}, its file was {digest}", digest=config["digest"]
            )
        return ""

    async def stop(self) -> Detail:
        """Drain the instance if requested, and stop it."""
        drained = await self._drain_if_requested()
        self._instance.tell(SetWanted(False))
        end_s = (
            time.monotonic() + self._options.deadline_s + self._instance.config.termination_grace_s
        )
        while self._instance.lifecycle.state is not InstanceState.STOPPED:
            if time.monotonic() > end_s:
                raise self._wrong_state_error()
            await asyncio.sleep(POLL_INTERVAL_S)
        return drained

    async def start(self) -> Detail:
        """Start the instance and wait until it is ready."""
        digest = self._file_digest(reload=False)
        if self._instance.lifecycle.state is not InstanceState.RUNNING:
            self._assign_generation(digest)
        self._instance.tell(SetWanted(True))
        end_s = time.monotonic() + self._options.deadline_s
        reason = "it has not started"
        while time.monotonic() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._instance.lifecycle.state is not InstanceState.RUNNING:
                continue
            try:
                status = await self._status()
            except (RequestNotSentError, ResponseLostError) as error:
                reason = f"it does not answer yet: {error}"
                continue
            if status["ready"]:
                process = self._instance.process
                return {"pid": process.pid if process else None}
            reason = "it is not ready"
        raise self._timeout_error(reason)

    async def _drain_if_requested(self) -> Detail:
        """Drain the instance if it runs and the options ask for it.

        If the drain fails, a forced operation continues. Any other operation fails, and the
        instance is undrained unless it did not answer.
        """
        is_running = self._instance.lifecycle.state is InstanceState.RUNNING
        if not self._options.drain or not is_running:
            return {}
        try:
            return await self.drain()
        except OperationFailedError as error:
            if self._options.force:
                return {"forced": True, "why": error.reason}
            await self._instance.request("POST", "/undrain")
            reason = error.reason.removesuffix(DRAIN_CONTINUES)
            raise OperationFailedError(f"{reason}; it serves on", **error.detail) from error
        except (RequestNotSentError, ResponseLostError) as error:
            if self._options.force:
                return {"forced": True, "why": f"it did not answer: {error}"}
            raise

    async def _status(self) -> Detail:
        return _successful_body(await self._instance.request("GET", "/status"))

    def _file_digest(self, reload: bool) -> str:
        """Return the digest of the instance's file; fail if it is not the expected one."""
        digest = expected_digest(self._instance.spec, reload)
        planned = self._options.expected_digest
        if planned and digest != planned:
            raise OperationFailedError(
                f"the file is {digest} now, not {planned} as planned", digest=digest
            )
        return digest

    def _assign_generation(self, digest: str) -> int:
        """Return the count of configurations that this instance has been told to run on.

        A digest that differs from the stored one begins a new generation, which is stored.
        """
        record = self._instance.record
        if digest != record.digest:
            record.digest = digest
            record.generation += 1
            self._state_store.instances.save(record)
        return record.generation

    def _require_running(self) -> None:
        if self._instance.lifecycle.state is not InstanceState.RUNNING:
            raise self._wrong_state_error()

    def _wrong_state_error(self) -> OperationFailedError:
        return OperationFailedError(f"the instance is {self._instance.state}")

    def _timeout_error(self, reason: str) -> OperationFailedError:
        return OperationFailedError(f"{reason} {self._options.deadline_s:g} s after the order")


def _successful_body(response: ApiResponse) -> Detail:
    if response.status != 200:
        raise OperationFailedError(response.reason)
    return response.body


def _abbreviated(keys: list[str]) -> str:
    shown = ", ".join(keys[:MAX_KEYS_SHOWN])
    hidden = len(keys) - MAX_KEYS_SHOWN
    return f"{shown} and {hidden} more" if hidden > 0 else shown
