"""One dispatcher for the platform: the core, its module, the HTTP front and the fleet behind it."""

import asyncio
import gc
import signal

import structlog

from onyxpass.config import Config
from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import Core
from onyxpass.core.wheel import Wheel
from onyxpass.net.front import Front
from onyxpass.net.replica import Replicas
from onyxpass.net.watch import ListActor

SPARE = 64  # descriptors for discovery, the log, the loop itself and what is just being closed
SWEEP_US = 1_000_000
log = structlog.get_logger("serve")


class Dispatcher:
    def __init__(self, config: Config) -> None:
        self.config = config
        self.clock = Clock()
        self.wheel = Wheel(self.clock)
        self.core = Core(config.settings, config.seed, self.clock, self.wheel)
        room = max(64, config.sockets - SPARE)
        self.replicas = Replicas(self.core, room // 2, config.connect_timeout_us, config.conn_idle_us)
        self.core.fleet = self.replicas
        self.list = ListActor(self.core, self.replicas, config.discovery)
        self.front = Front(self.core, config.listen, lambda: self.list.ready, room // 2)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        for work in (self.core.run(), self.wheel.run(), self.list.run(), self.list.follow()):
            self.tasks.append(asyncio.create_task(work))
        self.list.saved(self.config.known)
        await self.front.start()
        self._sweep()
        log.info("listening", name=self.config.name, listen=self.front.bound)

    def _sweep(self) -> None:
        self.replicas.sweep()
        self.wheel.after(SWEEP_US, self._sweep)

    async def stop(self) -> None:
        await self.front.stop()
        while self.core.requests:  # what was taken and left by its client is still being tidied up
            await self.wheel.sleep(10_000)
        await asyncio.gather(*self.replicas.releases, return_exceptions=True)
        for task in self.tasks:
            task.cancel()
        log.info("stopped", name=self.config.name)


async def serve(config: Config) -> None:
    """Run till SIGTERM or SIGINT, then finish what was taken."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    dispatcher = Dispatcher(config)
    await dispatcher.start()
    gc.collect()
    gc.freeze()  # what lives as long as the process is not looked at again by the collector
    ended = asyncio.create_task(stopping.wait())
    await asyncio.wait([ended, *dispatcher.tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in dispatcher.tasks:
        if task.done():  # guards against a dispatcher that lives on without its module, wheel or list
            task.result()
    await dispatcher.stop()


__all__ = ["Dispatcher", "serve"]
