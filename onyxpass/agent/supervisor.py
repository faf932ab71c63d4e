"""The supervisor of all instances of one host, which starts, adopts, checks and stops them.

``Agent`` owns the state store, the instances' actors and its own polling task. If Redis is
configured, the agent publishes its instances there for tools on other hosts, and reads the desired
states that operators have set. The agent runs its instances without Redis as well.
"""

import asyncio
import shutil
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from onyxpass.agent.config import AgentConfig
from onyxpass.agent.instance import Instance
from onyxpass.agent.instance_messages import EndInstance, SetWanted, StartOrAdopt
from onyxpass.agent.instance_records import InstanceRecord
from onyxpass.agent.process import identify
from onyxpass.agent.state_store import StateStore
from onyxpass.agent.store_orders import StoreOrders
from onyxpass.core.clock import Clock
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.invariants import ProcessStartChecker
from onyxpass.store.desired_running import DesiredRunning

if TYPE_CHECKING:
    from onyxpass.store.redis import RedisStore


STORE_TTL_POLLS = 5  # TTL of an instance's entry in the store, to outlast missed polls
MIN_STORE_TTL_S = 2
STOP_POLL_INTERVAL_S = 0.01
log = structlog.get_logger("agent")


class Agent:
    """The supervisor of one host's instances; ``stop`` or ``close`` must be called once."""

    def __init__(self, config: AgentConfig, store: "RedisStore | None" = None) -> None:
        """Open the state; raises ``StateStoreError`` if it can't be used."""
        self.config = config
        self.store = store
        self._temporary_folder = (
            tempfile.mkdtemp(prefix="onyxpass-agent-") if config.state is None else ""
        )
        self.folder = config.state or Path(self._temporary_folder)
        self.state_store = StateStore(config.state)
        (self.folder / "run").mkdir(mode=0o700, parents=True, exist_ok=True)
        self.wheel = TimerWheel(Clock())
        self.store_orders = StoreOrders(config.state)
        start_checker = ProcessStartChecker()
        self.instances = [
            Instance(spec, config, self.state_store, self.folder, start_checker, self.store_orders)
            for spec in config.instances
        ]
        self.by_name = {instance.name: instance for instance in self.instances}
        self.store_unavailable = False
        self._tasks: list[asyncio.Task[None]] = []
        self._poll_task: asyncio.Task[None] | None = None
        self._order_in_store: dict[str, DesiredRunning] = {}  # as last read, by instance
        self._stopping = False

    async def start(self) -> None:
        """Adopt the instances that still run, and start the others that are wanted."""
        for operation in self.state_store.operations.end_interrupted():
            log.warning(
                "operation_interrupted",
                operation=operation.id,
                instance=operation.instance,
                kind=operation.kind,
            )
        self._remove_unconfigured()
        self._tasks.append(asyncio.create_task(self.wheel.run()))
        self._tasks += [asyncio.create_task(instance.run()) for instance in self.instances]
        await self._sync_store()  # prevents starting an instance that an operator has stopped
        for instance in self.instances:
            instance.tell(StartOrAdopt())
        self._poll_task = asyncio.create_task(self._poll())

    def _remove_unconfigured(self) -> None:
        """Delete the records of instances no longer configured; log those that still run."""
        for name, record in self.state_store.instances.load().items():
            if name in self.by_name:
                continue
            if record.process is not None and _is_running(record):
                log.warning("unconfigured_instance_running", name=name, pid=record.process.pid)
            else:
                self.state_store.instances.delete(name)

    async def _poll(self) -> None:
        while not self._stopping:
            await asyncio.sleep(self.config.poll_interval_s)
            self.state_store.flush()
            await self._sync_store()
            await asyncio.gather(*(instance.check() for instance in self.instances))

    async def _sync_store(self) -> None:
        """Read the desired states from the store and publish the instances there.

        Instances continue to run while the store is unavailable.
        """
        if self.store is None:
            return
        from onyxpass.store.redis import StoreUnavailableError

        try:
            for instance in self.instances:
                await self._sync_instance(self.store, instance)
            self.store_unavailable = False
        except StoreUnavailableError as error:
            if not self.store_unavailable:
                log.warning("store_unavailable", error=str(error))
            self.store_unavailable = True

    async def _sync_instance(self, store: "RedisStore", instance: Instance) -> None:
        order = await store.desired_running(instance.name)
        if order is not None and not self._stopping and self._is_new(instance.name, order):
            self._order_in_store[instance.name] = order
            instance.tell(SetWanted(order.running, order=order))
        ttl_s = max(MIN_STORE_TTL_S, round(self.config.poll_interval_s * STORE_TTL_POLLS))
        await store.publish_instance(instance.name, instance.to_dict(), ttl_s)

    def _is_new(self, name: str, order: DesiredRunning) -> bool:
        """Return whether an order in the store has not been carried out yet.

        Prevents an order that was carried out, also by an earlier agent of this host, from undoing
        a newer operation of the agent's API.
        """
        is_repeated = self._order_in_store.get(name) == order
        return not is_repeated and self.store_orders.is_new(name, order)

    async def stop(self) -> None:
        """Stop all instances, remove them from the store and close the state.

        The stored desired states are kept, so the next agent starts the same instances.
        """
        await self._stop_polling()
        for instance in self.instances:
            instance.tell(EndInstance())
        await asyncio.sleep(0)
        for instance in self.instances:
            while instance.lifecycle.wanted:  # noqa: ASYNC110 - waits for the mailbox to be read
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
            await instance.no_process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.store is not None:
            await self._remove_from_store(self.store)
        self.close()

    def running_processes(self) -> dict[str, object]:
        """Return the instances that have a process, with its id."""
        return {
            "instances": {
                instance.name: instance.process.pid
                for instance in self.instances
                if instance.process is not None
            }
        }

    async def _stop_polling(self) -> None:
        """Cancel the polling task and wait for its end.

        Prevents an entry in the store from starting an instance again while the agent stops: the
        task has ended before any instance is stopped, even if its cancellation is lost in the
        store's client.
        """
        self._stopping = True
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.wait([self._poll_task])

    def close(self) -> None:
        """Release the state folder. Instances that still run are not stopped."""
        self.state_store.close()
        if self._temporary_folder:
            shutil.rmtree(self._temporary_folder, ignore_errors=True)

    async def _remove_from_store(self, store: "RedisStore") -> None:
        from onyxpass.store.redis import StoreUnavailableError

        try:
            for instance in self.instances:
                await store.remove_instance(instance.name)
        except StoreUnavailableError as error:
            log.warning("store_unavailable", error=str(error))
        await store.close()


def _is_running(record: InstanceRecord) -> bool:
    process = record.process
    return process is not None and identify(process.pid) == process
