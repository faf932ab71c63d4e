"""Hollow dispatchers: each has the real core and watches the endpoint list, but serves no clients."""

import asyncio
from collections.abc import Mapping
from dataclasses import replace

from onyxpass.config.platform_file import Address
from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net.endpoint_watcher import EndpointWatcher
from onyxpass.scheduling import contract


class NoReplicas:
    """Takes the place of the replicas' connections: records addresses and opens nothing."""

    def __init__(self) -> None:
        self.known: dict[str, Address] = {}

    def set_address(self, name: str, address: Address, left: bool) -> None:
        if left:
            self.known.pop(name, None)
        else:
            self.known[name] = address

    def retain_only(self, addresses: Mapping[str, Address]) -> None:
        self.known = dict(addresses)


class HollowDispatcher:
    """One dispatcher's core and its endpoint watcher, which has a connection of its own."""

    def __init__(
        self, settings: contract.Settings, discovery: Address, clock: Clock, wheel: TimerWheel
    ) -> None:
        self.core = RequestDispatcher(settings, settings.ordinal, clock, wheel)
        self.watcher = EndpointWatcher(self.core, NoReplicas(), discovery, settings.ordinal)  # type: ignore[arg-type]
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        for work in (self.core.run(), self.watcher.run(), self.watcher.follow()):
            self.tasks.append(asyncio.create_task(work))

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    @property
    def version(self) -> int:
        """The version of the endpoint list in force; -1 before the first list."""
        return -1 if self.watcher.seq is None else self.watcher.seq


class HollowFleet:
    """Hollow dispatchers in one process, with a common clock and timer wheel."""

    def __init__(self, settings: contract.Settings, discovery: Address, count: int) -> None:
        self.clock = Clock()
        self.wheel = TimerWheel(self.clock)
        self.members = [
            HollowDispatcher(
                replace(settings, ordinal=ordinal, routers=max(count, settings.routers)),
                discovery,
                self.clock,
                self.wheel,
            )
            for ordinal in range(count)
        ]
        self._wheel_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._wheel_task = asyncio.create_task(self.wheel.run())
        for member in self.members:
            member.start()

    def count_at_version(self, version: int) -> int:
        """Return how many dispatchers have this version of the list, or a newer one, in force."""
        return sum(member.version >= version for member in self.members)

    def stop(self) -> None:
        for member in self.members:
            member.stop()
        if self._wheel_task is not None:
            self._wheel_task.cancel()
