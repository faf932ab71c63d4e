"""All instances of one host: started, adopted, checked and stopped in order.

``Agent`` owns the state store, the instances' actors and its own polling task. Redis, where one is
configured, shows the instances to other hosts' tools and carries operators' wishes; the agent
needs none of it to run them.
"""

import asyncio
import shutil
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from onyxpass.agent.config import AgentConfig
from onyxpass.agent.instance import Instance
from onyxpass.agent.instance_messages import SetWanted, StartOrAdopt
from onyxpass.agent.instance_records import InstanceRecord
from onyxpass.agent.process import identify
from onyxpass.agent.state_store import StateStore
from onyxpass.core.clock import Clock
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.invariants import ProcessStartChecker

if TYPE_CHECKING:
    from onyxpass.store.redis import RedisStore


STORE_TTL_POLLS = 5  # an instance's entry in the store outlives so many missed polls
MIN_STORE_TTL_S = 2
STOP_POLL_INTERVAL_S = 0.01
log = structlog.get_logger("agent")


class Agent:
    """The supervisor of one host's instances; ``stop`` or ``close`` must be called once."""

    def __init__(self, config: AgentConfig, store: "RedisStore | None" = None) -> None:
        """Open the state; ``StateStoreError`` if it can't be used."""
        self.config = config
        self.store = store
        self._temporary_folder = (
            tempfile.mkdtemp(prefix="onyxpass-agent-") if config.state is None else ""
        )
        self.folder = config.state or Path(self._temporary_folder)
        self.state_store = StateStore(config.state)
        (self.folder / "run").mkdir(mode=0o700, parents=True, exist_ok=True)
        self.wheel = TimerWheel(Clock())
        start_checker = ProcessStartChecker()
        self.instances = [
            Instance(spec, config, self.state_store, self.folder, start_checker)
            for spec in config.instances
        ]
        self.by_name = {instance.name: instance for instance in self.instances}
        self.store_unavailable = False
        self._tasks: list[asyncio.Task[None]] = []
        self._poll_task: asyncio.Task[None] | None = None
        self._wanted_in_store: dict[str, bool | None] = {}  # as last read, by instance
        self._stopping = False

    async def start(self) -> None:
        """Adopt or start the instances that are wanted."""
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
        await self._sync_store()  # what an operator stopped before stays stopped
        for instance in self.instances:
            instance.tell(StartOrAdopt())
        self._poll_task = asyncio.create_task(self._poll())

    def _remove_unconfigured(self) -> None:
        """Forget instances that left the file, or report those whose process still runs."""
        for name, record in self.state_store.instances.load().items():
            if name in self.by_name:
                continue
            if record.process is not None and _still_runs(record):
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
        """Read operators' wishes from the store and show the instances there.

        Instances run on while the store is down.
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
        wanted = await store.desired_running(instance.name)
        # Prevents an old entry in the store from undoing a newer order at the agent's address.
        is_new = self._wanted_in_store.get(instance.name) != wanted
        self._wanted_in_store[instance.name] = wanted
        if is_new and wanted is not None and not self._stopping:
            instance.tell(SetWanted(wanted))
        ttl_s = max(MIN_STORE_TTL_S, round(self.config.poll_interval_s * STORE_TTL_POLLS))
        await store.publish_instance(instance.name, instance.to_dict(), ttl_s)

    async def stop(self) -> None:
        """Stop all instances, remove them from the store and close the state.

        What was wanted stays on record, so the next agent starts the same instances.
        """
        await self._stop_polling()
        for instance in self.instances:
            instance.tell(SetWanted(False, persist=False))
        await asyncio.sleep(0)
        for instance in self.instances:
            while instance.lifecycle.wanted:  # noqa: ASYNC110 - until its mailbox has been read
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
            await instance.no_process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.store is not None:
            await self._remove_from_store(self.store)
        self.close()

    async def _stop_polling(self) -> None:
        """Prevent an entry in the store from starting an instance again while the agent stops.

        The poll has ended before any instance is stopped, also if its cancellation is lost within
        the store's client.
        """
        self._stopping = True
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.wait([self._poll_task])

    def close(self) -> None:
        """Free the state folder. The instances run on, if any do."""
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


def _still_runs(record: InstanceRecord) -> bool:
    process = record.process
    return process is not None and identify(process.pid) == process
