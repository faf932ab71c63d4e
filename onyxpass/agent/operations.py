"""Operations in progress: each has an id, is executed once, and its outcome is stored.

A request that is repeated under its id, because its caller did not receive the answer, is answered
with the state of the operation that the first one began. ``Operations`` owns the tasks and the
operations in progress; ended ones are read from the state store.
"""

import asyncio
from collections.abc import Callable, Mapping

import structlog

from onyxpass.agent.instance import Instance
from onyxpass.agent.operation_options import OperationKind, OperationOptions
from onyxpass.agent.operation_records import INTERRUPTED_REASON, Operation, OperationState
from onyxpass.agent.operation_steps import OperationFailedError, execute_operation
from onyxpass.agent.state_store import StateStore
from onyxpass.config.platform_file import ConfigError
from onyxpass.net.http_client import RequestNotSentError, ResponseLostError

MAX_END_EVENTS = 500  # number of latest operations whose end can be waited for
TIMEOUT_MARGIN_S = 30.0  # past the operation's deadline; the operation then ends as unknown
log = structlog.get_logger("operations")

OperationCallback = Callable[[Operation], None]


class InstanceBusyError(Exception):
    """Another operation on the same instance, ``operation``, is in progress."""

    def __init__(self, operation: Operation) -> None:
        super().__init__(f"{operation.kind} {operation.id} is under way")
        self.operation = operation


class Operations:
    """The operations on one agent's instances, at most one at a time on each instance."""

    def __init__(self, state_store: StateStore, instances: Mapping[str, Instance]) -> None:
        self._state_store = state_store
        self._instances = instances
        self._running: dict[str, Operation] = {}  # by instance
        self._tasks: set[asyncio.Task[None]] = set()
        self._end_events: dict[str, asyncio.Event] = {}  # by id
        self._end_callbacks: dict[str, OperationCallback] = {}  # by id

    def running_on(self, instance: str) -> Operation | None:
        """Return the operation that is in progress on an instance, if there is one."""
        return self._running.get(instance)

    def begin(
        self,
        operation_id: str,
        instance: str,
        kind: OperationKind,
        options: OperationOptions,
        on_end: OperationCallback = lambda _: None,
    ) -> Operation:
        """Begin an operation, or return the one that was begun before under this id.

        Raises ``InstanceBusyError`` if another one is in progress on the instance, and
        ``StateStoreWriteError``, with nothing done, if the operation can't be stored. ``on_end`` is
        called once a new operation has ended.
        """
        if (known := self.find(operation_id)) is not None:
            return known
        if (other := self._running.get(instance)) is not None:
            raise InstanceBusyError(other)
        operation = Operation(operation_id, instance, kind.value)
        self._state_store.operations.begin(operation)  # stored before anything is done
        self._running[instance] = operation
        self._end_events[operation_id] = asyncio.Event()
        self._end_callbacks[operation_id] = on_end
        task = asyncio.create_task(self._run(operation, self._instances[instance], options))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return operation

    def find(self, operation_id: str) -> Operation | None:
        """Return the operation with this id that is in progress or stored, if there is one."""
        for operation in self._running.values():
            if operation.id == operation_id:
                return operation
        return self._state_store.operations.find(operation_id)

    async def wait(self, operation_id: str, timeout_s: float) -> Operation | None:
        """Return the operation once it has ended, or in its state after ``timeout_s``."""
        ended = self._end_events.get(operation_id)
        if ended is not None and timeout_s > 0:
            try:
                async with asyncio.timeout(timeout_s):
                    await ended.wait()
            except TimeoutError:
                return self.find(operation_id)
        return self.find(operation_id)

    async def interrupt(self) -> None:
        """End all operations in progress as unknown, and wait until that is stored."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self, operation: Operation, instance: Instance, options: OperationOptions
    ) -> None:
        self._state_store.events.append(
            instance.name, operation.kind, operation=operation.id, state="running"
        )
        try:
            async with asyncio.timeout(options.deadline_s + TIMEOUT_MARGIN_S):
                detail = await execute_operation(
                    self._state_store, OperationKind(operation.kind), instance, options
                )
            operation.finish(OperationState.DONE, detail=detail)
        except asyncio.CancelledError:
            operation.finish(OperationState.UNKNOWN, INTERRUPTED_REASON)
            raise
        except Exception as error:  # noqa: BLE001 - prevents an operation that never ends
            _finish_after_error(operation, error)
        finally:
            self._complete(operation, instance)

    def _complete(self, operation: Operation, instance: Instance) -> None:
        self._state_store.operations.end(operation)
        self._state_store.events.append(
            instance.name,
            operation.kind,
            operation=operation.id,
            state=operation.state.value,
            reason=operation.reason,
        )
        self._running.pop(instance.name, None)
        self._end_callbacks.pop(operation.id)(operation)
        self._end_events[operation.id].set()
        for old in list(self._end_events)[:-MAX_END_EVENTS]:
            del self._end_events[old]


def _finish_after_error(operation: Operation, error: Exception) -> None:
    """Set the outcome of an operation that was ended by an error.

    The outcome is FAILED if it is certain that the operation did not succeed, else UNKNOWN.
    """
    match error:
        case OperationFailedError():
            operation.finish(OperationState.FAILED, error.reason, error.detail)
        case ConfigError():
            operation.finish(OperationState.FAILED, str(error))
        case TimeoutError():
            operation.finish(OperationState.UNKNOWN, str(error) or "no end within its time")
        case RequestNotSentError():
            reason = f"the instance can't be reached: {error}"
            operation.finish(OperationState.FAILED, reason)
        case ResponseLostError():
            reason = f"the instance does not answer: {error}"
            operation.finish(OperationState.UNKNOWN, reason)
        case _:
            log.exception("operation_crashed", operation=operation.id, exc_info=error)
            operation.finish(OperationState.UNKNOWN, f"the agent's own fault: {error!r}")
