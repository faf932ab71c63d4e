"""Operations in progress: each order has an id, is carried out once, and its end is on record.

An order that comes again under its id, because its caller did not get the answer, is answered
with how the first one stands. ``Operations`` owns the tasks and the operations under way; ended
ones are read from the state store.
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

MAX_END_EVENTS = 500  # operations whose end can be waited for
TIMEOUT_MARGIN_S = 30.0  # past the deadline, which each step observes itself
log = structlog.get_logger("operations")

OperationCallback = Callable[[Operation], None]


class InstanceBusyError(Exception):
    """Another operation on the same instance, ``operation``, is under way."""

    def __init__(self, operation: Operation) -> None:
        super().__init__(f"{operation.kind} {operation.id} is under way")
        self.operation = operation


class Operations:
    """The operations on one agent's instances, at most one an instance at a time."""

    def __init__(self, state_store: StateStore, instances: Mapping[str, Instance]) -> None:
        self._state_store = state_store
        self._instances = instances
        self._running: dict[str, Operation] = {}  # by instance
        self._tasks: set[asyncio.Task[None]] = set()
        self._end_events: dict[str, asyncio.Event] = {}  # by id
        self._end_callbacks: dict[str, OperationCallback] = {}  # by id

    def running_on(self, instance: str) -> Operation | None:
        """Return the operation that is under way on an instance, if there is one."""
        return self._running.get(instance)

    def begin(
        self,
        operation_id: str,
        instance: str,
        kind: OperationKind,
        options: OperationOptions,
        on_end: OperationCallback = lambda _: None,
    ) -> Operation:
        """Return the operation under this id: a new one, or the one that was begun before.

        ``InstanceBusyError`` if another runs on the instance; ``StateStoreWriteError``, with
        nothing done, if it can't be recorded. ``on_end`` is called once a new one has ended.
        """
        if (known := self.find(operation_id)) is not None:
            return known
        if (other := self._running.get(instance)) is not None:
            raise InstanceBusyError(other)
        operation = Operation(operation_id, instance, kind.value)
        self._state_store.operations.begin(operation)  # on record before anything is done
        self._running[instance] = operation
        self._end_events[operation_id] = asyncio.Event()
        self._end_callbacks[operation_id] = on_end
        task = asyncio.create_task(self._run(operation, self._instances[instance], options))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return operation

    def find(self, operation_id: str) -> Operation | None:
        """Return an operation under way or on record."""
        for operation in self._running.values():
            if operation.id == operation_id:
                return operation
        return self._state_store.operations.find(operation_id)

    async def wait(self, operation_id: str, timeout_s: float) -> Operation | None:
        """Return the operation once it has ended, or as it stands after ``timeout_s``."""
        ended = self._end_events.get(operation_id)
        if ended is not None and timeout_s > 0:
            try:
                await asyncio.wait_for(ended.wait(), timeout_s)
            except TimeoutError:
                return self.find(operation_id)
        return self.find(operation_id)

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
        except Exception as error:  # noqa: BLE001 - prevents an operation without an end
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
    """Set how an operation ended by an error.

    It failed where it is certain that it has not taken effect, and is unknown otherwise.
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
