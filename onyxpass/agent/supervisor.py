"""One actor an instance: it alone starts, watches, restarts and stops that instance's process."""

import asyncio
import os
import signal
import time
from dataclasses import dataclass
from typing import Any

import structlog

from onyxpass.agent.config import AgentConfig, InstanceSpec
from onyxpass.core.actor import Actor
from onyxpass.store.redis import Store, StoreDown

CHECK_S, CHECKS = 1.0, 3  # a check's limit; so many failed ones in a row make a hung instance
log = structlog.get_logger("agent")


@dataclass(frozen=True, slots=True)
class Start:
    """Start the process, unless it runs or is no longer wanted."""


@dataclass(frozen=True, slots=True)
class Want:
    running: bool


@dataclass(frozen=True, slots=True)
class Exited:
    code: int


@dataclass(frozen=True, slots=True)
class Checked:
    pid: int
    ok: bool


Order = Start | Want | Exited | Checked


class Instance(Actor[Order]):
    def __init__(self, spec: InstanceSpec, config: AgentConfig) -> None:
        super().__init__(spec.name)
        self.spec, self.config = spec, config
        self.process: asyncio.subprocess.Process | None = None
        self.wanted, self.starting = True, False
        self.state, self.since = "new", time.time()
        self.restarts, self.failures, self.missed = 0, 0, 0
        self.last_exit: int | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.gone = asyncio.Event()  # set while no process runs or is being started
        self.gone.set()

    def beside(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _enter(self, state: str) -> None:
        self.state, self.since = state, time.time()
        log.info("instance", name=self.name, state=state, pid=self.process.pid if self.process else None)

    def receive(self, message: Order) -> None:
        match message:
            case Start():
                if self.wanted and self.process is None and not self.starting:
                    self.starting = True
                    self.gone.clear()
                    self.beside(self._run())
            case Want(running):
                if running and not self.wanted:
                    self.wanted, self.failures = True, 0
                    self.tell(Start())
                elif not running and self.wanted:
                    self.wanted = False
                    if self.process is not None:
                        self._enter("stopping")
                        self.beside(self._end(self.process))
                    elif not self.starting:
                        self._enter("stopped")
            case Exited(code):
                self._exited(code)
            case Checked(pid, ok) if self.process is not None and self.process.pid == pid:
                self.missed = 0 if ok else self.missed + 1
                if self.missed == CHECKS and self.wanted:
                    log.warning("hung", name=self.name, pid=pid)
                    self.beside(self._end(self.process))

    def _exited(self, code: int) -> None:
        ran_s = time.time() - self.since
        self.process, self.starting, self.last_exit = None, False, code
        self.gone.set()
        if not self.wanted:
            self._enter("stopped")
            return
        self.failures = 0 if ran_s >= self.config.steady_s else self.failures + 1
        self.restarts += 1
        pause_s = min(self.config.most_s, self.config.first_s * 2 ** min(20, max(0, self.failures - 1)))
        self._enter("waiting")
        log.warning("exited", name=self.name, code=code, ran_s=round(ran_s, 3), pause_s=pause_s)
        asyncio.get_running_loop().call_later(pause_s, self.tell, Start())

    async def _run(self) -> None:
        code = -1
        try:
            self.process = await asyncio.create_subprocess_exec(
                *self.spec.command,
                env={**os.environ, **self.spec.env},
                stdin=asyncio.subprocess.DEVNULL,
                start_new_session=True,  # the terminal's Ctrl-C goes to the agent, which stops it in order
            )
            self.missed = 0
            self._enter("running")
            if not self.wanted:  # guards against a stop that came while the process was being made
                self.beside(self._end(self.process))
            code = await self.process.wait()
        except OSError as problem:
            log.error("can't start", name=self.name, why=str(problem))
        finally:
            self.tell(Exited(code))

    async def _end(self, process: asyncio.subprocess.Process) -> None:
        """SIGTERM, and SIGKILL if that is not heeded in time."""
        try:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), self.config.grace_s)
            except TimeoutError:
                log.warning("killed", name=self.name, pid=process.pid)
                process.kill()
        except ProcessLookupError:
            log.debug("ended meanwhile", name=self.name)

    async def check(self) -> None:
        """Whether it takes connections, where the operator's file says that it must."""
        if self.process is None or self.spec.check is None or self.state != "running":
            return
        pid, ok = self.process.pid, False
        try:
            opening = asyncio.open_connection(self.spec.check.host, self.spec.check.port)
            _, writer = await asyncio.wait_for(opening, CHECK_S)
            writer.close()
            ok = True
        except (OSError, TimeoutError):
            ok = time.time() - self.since < self.config.start_s  # it may still be starting
        self.tell(Checked(pid, ok))

    def told(self) -> dict[str, Any]:
        return {
            "agent": self.config.name,
            "state": self.state,
            "pid": self.process.pid if self.process else None,
            "restarts": self.restarts,
            "last_exit": self.last_exit,
            "since": round(self.since, 3),
        }


class Agent:
    def __init__(self, config: AgentConfig, store: Store) -> None:
        self.config, self.store = config, store
        self.instances = [Instance(spec, config) for spec in config.instances]
        self.tasks: list[asyncio.Task[None]] = []
        self._store_down = self._stopping = False

    async def start(self) -> None:
        for instance in self.instances:
            self.tasks.append(asyncio.create_task(instance.run()))
        await self._ask_store(look=True)  # what was stopped by an operator before stays so
        for instance in self.instances:
            instance.tell(Start())
        self.tasks.append(asyncio.create_task(self._poll()))

    async def _poll(self) -> None:
        while not self._stopping:
            await asyncio.sleep(self.config.poll_s)
            await self._ask_store(look=True)
            await asyncio.gather(*(instance.check() for instance in self.instances))

    async def _ask_store(self, look: bool) -> None:
        """Instances run on while the store is down; only what is told and asked waits."""
        ttl_s = max(2, round(self.config.poll_s * 5))
        try:
            for instance in self.instances:
                wanted = look and await self.store.wanted(instance.name)
                if look and not self._stopping:
                    instance.tell(Want(wanted))
                await self.store.tell_instance(instance.name, instance.told(), ttl_s)
            self._store_down = False
        except StoreDown as problem:
            if not self._store_down:
                log.warning("store down", why=str(problem))
            self._store_down = True

    async def stop(self) -> None:
        """Stop all instances in order, and leave no word of them behind."""
        # Guards against a word from the store that starts an instance again while the agent stops: the poll
        # has ended before any stop is told, also if its cancel is lost within the store's client.
        self._stopping, poll = True, self.tasks.pop()
        poll.cancel()
        await asyncio.wait([poll])
        for instance in self.instances:
            instance.tell(Want(False))
        await asyncio.sleep(0)
        for instance in self.instances:
            while instance.wanted:
                await asyncio.sleep(0.01)
            await instance.gone.wait()
        for task in self.tasks:
            task.cancel()
        try:
            for instance in self.instances:
                await self.store.forget_instance(instance.name)
        except StoreDown as problem:
            log.warning("store down", why=str(problem))
        await self.store.close()


async def run(config: AgentConfig) -> None:
    """Run till SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    # Guards against SIGHUP's default, which ends the agent alone and leaves its instances without one.
    loop.add_signal_handler(signal.SIGHUP, log.warning, "the agent reads its file at its start only")
    agent = Agent(config, Store(config.store_url))
    await agent.start()
    await stopping.wait()
    await agent.stop()
