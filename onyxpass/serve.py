"""A dispatcher process: the core, its router, the HTTP front and the connections to replicas."""

import asyncio
import gc
import signal
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog

from onyxpass import reload_signal
from onyxpass.config.platform_file import NO_ADDRESS, Config, ConfigError, connection_limit, managed
from onyxpass.core import event_loop
from onyxpass.core.clock import Clock, cpu_us
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.process_memory import read_process_memory
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.hot_restart.inherited_listener import inherited_listener
from onyxpass.hot_restart.process_registry import ProcessRegistry
from onyxpass.hot_restart.shared_request_ids import open_shared_table
from onyxpass.net.control import ControlServer
from onyxpass.net.endpoint_watcher import EndpointWatcher
from onyxpass.net.front import Front
from onyxpass.net.http import count_in_memory
from onyxpass.net.replicas import Replicas
from onyxpass.net.stream_migration import StreamReceiver, StreamSender

if TYPE_CHECKING:  # keeps modules that only a managed instance needs out of the start
    from typing import Any

    from onyxpass.admin.drain import OpenRequests
    from onyxpass.admin.running_configuration import ConfigurationChange, ConfigurationTable
    from onyxpass.admin.server import AdminServer
    from onyxpass.sources.interface import MembershipSource
    from onyxpass.sources.membership import FileSource

SWEEP_INTERVAL_US = 1_000_000
# Between two log lines of the state; shorter in the first seconds of a process, which may be its last.
FIRST_STATE_LOG_INTERVAL_US, STATE_LOG_INTERVAL_US = 1_000_000, 10_000_000
log = structlog.get_logger("serve")


class DispatcherProcess:
    """The parts of one dispatcher, their start, reload and stop."""

    kind = "serve"

    def __init__(self, config: Config, load_config: Callable[[], Config] | None = None) -> None:
        self.config = config
        self.load_config = load_config or (lambda: self.config)
        self.clock = Clock()
        self.wheel = TimerWheel(self.clock)
        self.core = RequestDispatcher(config.settings, config.seed, self.clock, self.wheel)
        self.core.limit_memory(config.memory_mb, config.connection_limit)
        self.replicas = Replicas(
            self.core, config.connection_limit, config.connect_timeout_us, config.conn_idle_us
        )
        self.core.connect_fleet(self.replicas)
        self.endpoint_watcher = EndpointWatcher(
            self.core, self.replicas, config.discovery, config.seed
        )
        self.file_source: FileSource | None = None
        if config.servers_file is not None:
            from onyxpass.sources import membership

            sources = membership.load(config.servers_file)
            if sources.file.mode == "over" and config.discovery == NO_ADDRESS:
                raise ConfigError(
                    f"{config.servers_file}: mode 'over' needs a discovery whose list it can modify"
                )
            self.file_source = membership.FileSource(
                self.core,
                self.replicas,
                sources,
                reapply_overlay=self.endpoint_watcher.reapply_overlay,
            )
            if not sources.sole_source:
                self.endpoint_watcher.overlay = self.file_source.apply_overlay
        listener = inherited_listener(config.listen_descriptor)
        self.front = Front(
            self.core, config.listen, self.has_complete_list, config.connection_limit, listener
        )
        self.process_registry = ProcessRegistry(
            config.folder, f"{config.name}|{config.listen}", config.sockets, self.wheel
        )
        self.process_registry.exclusions.on_change = self.core.set_exclusions
        self.process_registry.on_descriptor_limit = self._apply_descriptor_limit
        self.control: ControlServer | None = None
        if config.control is not None:
            self.control = ControlServer(
                self.core, config.control, self.ready, self.process_registry.set_excluded
            )
        self.stream_receiver: StreamReceiver | None = None
        self.admin: AdminServer | None = None
        self.tasks: list[asyncio.Task[None]] = []

    def _apply_descriptor_limit(self, sockets: int) -> None:
        """Set the connection limits from the number of descriptors that this process may hold.

        The number is lower while another process of the same dispatcher runs.
        """
        limit = connection_limit(sockets, self.config.memory_mb)
        self.front.max_connections = self.replicas.budget.limit = limit
        self.core.memory_budget.set_connection_limit(self.front.max_connections)
        self.replicas.budget.shrink()

    @property
    def watches_files_only(self) -> bool:
        return self.file_source is not None and self.file_source.sources.sole_source

    def has_complete_list(self) -> bool:
        """Whether the source in use is ready.

        It then has a complete list of servers, or, with a shared discovery, a saved list.
        """
        source: MembershipSource = (
            self.file_source
            if self.file_source is not None and self.watches_files_only
            else self.endpoint_watcher
        )
        return source.ready

    def ready(self) -> bool:
        """Whether the source in use is ready and the front accepts clients, without a drain."""
        accepting = self.front.accepting
        return (
            self.has_complete_list()
            and not self.front.closes_after_answer
            and accepting is not None
            and not accepting.done()
        )

    async def start(self) -> None:
        self.process_registry.start()
        self._share_request_ids()
        for work in (self.core.run(), self.wheel.run()):
            self.tasks.append(asyncio.create_task(work))
        if not self.watches_files_only:
            for work in (self.endpoint_watcher.run(), self.endpoint_watcher.follow()):
                self.tasks.append(asyncio.create_task(work))
            self.endpoint_watcher.load_saved(self.config.known_endpoints)
        if self.file_source is not None:
            self.tasks.append(asyncio.create_task(self.file_source.follow()))
        self.tasks.append(await self.front.start())
        if (path := self.process_registry.migration_socket()) is not None:
            self.stream_receiver = StreamReceiver(path, self.core, self.front, self.replicas)
            self.tasks.append(asyncio.create_task(self.stream_receiver.run()))
        if self.control is not None:
            self.tasks.append(asyncio.create_task(self.control.run()))
        if managed():
            from onyxpass.admin.server import AdminServer

            self.admin = AdminServer(self, self.wheel)
            self.tasks.append(asyncio.create_task(self.admin.run()))
        self._sweep()
        self._log_state_after(FIRST_STATE_LOG_INTERVAL_US)
        for fault in self.config.faults:
            log.warning("settings_fault", key=fault.key, why=fault.reason)
        log.info(
            "listening",
            name=self.config.name,
            listen=f"{self.config.listen.host}:{self.front.port}",
        )

    def _share_request_ids(self) -> None:
        """Share the ids of requests with the process of an upgrade, if there may be one."""
        folder = self.process_registry.folder
        if folder is None or not self.front.shared:
            return
        try:
            self.core.registry.ids = open_shared_table(
                folder, lambda: self.clock.to_monotonic_us(self.clock.now_us())
            )
        except OSError as problem:  # this process's own ids are remembered all the same
            log.warning("request_ids_not_shared", folder=str(folder), error=str(problem))

    def _sweep(self) -> None:
        # scheduled first, so that one failure does not end the repetition
        self.wheel.after(SWEEP_INTERVAL_US, self._sweep)
        self.replicas.sweep()

    def _log_state_after(self, delay_us: int) -> None:
        """Log the state after this time, and again after intervals that double up to the usual."""
        next_delay_us = min(2 * delay_us, STATE_LOG_INTERVAL_US)

        def log_state() -> None:
            self._log_state_after(next_delay_us)  # first, as in ``_sweep``
            self._log_state()

        self.wheel.after(delay_us, log_state)

    def _log_state(self) -> None:
        """Log the open resources and the servers whose exchanges differ from the router's count."""
        tracked = {
            server.id: len(server.pending_tokens.keys() | server.streams.keys())
            for server in self.core.router.servers.values()
        }
        open_exchanges = {name: len(actor.tasks) for name, actor in self.replicas.actors.items()}
        memory = read_process_memory()
        log.info(
            "state",
            requests=len(self.core.registry.by_number),
            cpu_us=cpu_us(),
            resident_kib=memory.resident_kib,
            peak_resident_kib=memory.peak_resident_kib,
            held_bytes=self.core.memory_budget.charged_bytes,
            evictions=self.core.memory_budget.evictions,
            longest_turn_us=event_loop.take_recent_longest_turn_us(),
            clients=len(self.front.connections),
            connections=self.replicas.budget.open,
            connections_in_memory=count_in_memory(),
            exchanges=sum(open_exchanges.values()),
            closed={why.value: n for why, n in self.front.connections.closed.items()},
            violations=self.core.invariants.violations.total(),
            differ={
                name: [count, open_exchanges.get(name, 0)]
                for name, count in tracked.items()
                if count != open_exchanges.get(name, 0)
            },
            aside=[
                server.id for server in self.core.router.servers.values() if server.ejection_level
            ],
        )

    def reload(self, read: Callable[[], Config]) -> None:
        """Apply the reloadable keys of the changed file; called on SIGHUP."""
        try:
            self.apply_reload(read)
        except ConfigError as problem:
            # The file may be partly written; the old settings stay.
            log.error("configuration_rejected", why=str(problem))
        except Exception:  # an unforeseen error in the file must not end the process
            log.exception("configuration_unreadable")

    def apply_reload(self, read: Callable[[], Config]) -> "ConfigurationChange":
        """Apply the reloadable keys and return the change; the other keys wait for a restart.

        ConfigError if the file is invalid.
        """
        from onyxpass.admin.running_configuration import classify_changes, with_reloaded_keys
        from onyxpass.admin.serve_configuration import is_reloadable, serve_values

        new, old = read(), self.config
        change = classify_changes(serve_values(old), serve_values(new), is_reloadable)
        self.config = replace(
            old,
            discovery=new.discovery,
            sockets=new.sockets,
            connect_timeout_us=new.connect_timeout_us,
            conn_idle_us=new.conn_idle_us,
            settings=with_reloaded_keys(old.settings, new.settings),
        )
        if not self.watches_files_only:
            self.endpoint_watcher.set_discovery(new.discovery)
        if new.sockets != old.sockets:
            self.process_registry.resize(new.sockets)
        self.replicas.set_connection_timeouts(new.connect_timeout_us, new.conn_idle_us)
        if self.config.settings != old.settings:
            self.core.apply_settings(self.config.settings)
        log.info(
            "reloaded",
            discovery=str(new.discovery),
            taken=list(change.applied),
            needs_a_restart=list(change.needs_restart),
        )
        return change

    # The interface for the admin socket (ManagedProgram)

    def configuration_values(self) -> "ConfigurationTable":
        from onyxpass.admin.serve_configuration import serve_values

        return serve_values(self.config)

    def reload_now(self) -> "ConfigurationChange":
        return self.apply_reload(self.load_config)

    def open_requests(self) -> "OpenRequests":
        """Return the open requests.

        A request is open until its answer is sent, so connections that answer count as well.
        """
        from onyxpass.admin.drain import OpenRequests

        requests, streams, oldest_us = self.core.registry.in_flight_summary()
        return OpenRequests(max(requests, self.front.count_answering()), streams, oldest_us)

    def set_draining(self, draining: bool) -> None:
        self.front.draining = draining
        if not draining:
            self.core.shutdown.cancel()

    def stop_admitting(self) -> None:
        self.core.shutdown.begin()
        self.front.close_idle()

    def metrics(self) -> "dict[str, Any]":
        sources = {"sources": self.file_source.status()} if self.file_source is not None else {}
        return {**self.core.metric_rows(), "clients": len(self.front.connections), **sources}

    async def stop(self) -> None:
        self.process_registry.stopping = True
        self.process_registry.refresh()
        if (path := self.process_registry.successor_socket()) is not None:
            self.replicas.migrate_streams(StreamSender(path, self.core))
        await self.front.stop()
        # Requests whose clients have disconnected are still being cleaned up.
        while self.core.registry.by_number:
            await self.wheel.sleep(10_000)
        await asyncio.gather(*self.replicas.release_tasks, return_exceptions=True)
        for task in self.tasks:
            task.cancel()
        self.process_registry.end()
        log.info("stopped", name=self.config.name)


async def serve(config: Config, load_config: Callable[[], Config]) -> None:
    """Run until SIGTERM or SIGINT, then finish the accepted requests; SIGHUP reloads the file."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    dispatcher = DispatcherProcess(config, load_config)
    # Without a handler SIGHUP would end the process and its requests.
    reload_signal.handle(loop, lambda: dispatcher.reload(load_config))
    try:
        await dispatcher.start()
    except OSError as problem:  # the address is in use or not of this machine
        log.error("start_failed", why=str(problem))
        raise SystemExit(1) from problem
    gc.collect()
    gc.enable()  # disabled by start.run() during the imports
    gc.freeze()  # excludes the objects of the start from later collections
    event_loop.restart_longest_turn()
    stop_signal = asyncio.create_task(stopping.wait())
    await asyncio.wait([stop_signal, *dispatcher.tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in dispatcher.tasks:
        # Raises a failed task's exception, so that the process does not run on without its core,
        # timer wheel or list.
        if task.done():
            task.result()
    await dispatcher.stop()


__all__ = ["DispatcherProcess", "serve"]
