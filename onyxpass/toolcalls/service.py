"""The JSON-RPC front end as a program: its configuration file and the service."""

import asyncio
import hashlib
import ipaddress
import secrets
import signal
import tempfile
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from onyxpass import reload_signal
from onyxpass.admin.drain import OpenRequests
from onyxpass.admin.running_configuration import (
    ConfigurationChange,
    ConfigurationTable,
    classify_changes,
    is_reloadable_setting,
    settings_values,
    with_reloaded_keys,
)
from onyxpass.config.platform_file import Address, ConfigError, managed, read_memory_mb
from onyxpass.config.settings import read_settings
from onyxpass.core import event_loop
from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.memory_budget import DEFAULT_MEMORY_MB, max_connections
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.scheduling import contract
from onyxpass.stop_limit import stop_within
from onyxpass.store.claim_generation import RECOVERY_PERIOD_US, StoreGeneration
from onyxpass.store.redis import RedisStore
from onyxpass.toolcalls.call_claims import CallClaims
from onyxpass.toolcalls.call_journal import CallJournal
from onyxpass.toolcalls.front import RpcFront
from onyxpass.toolcalls.replicas import STREAM_STALL_TIMEOUT_US, RpcReplicas
from onyxpass.toolcalls.tool_call_relay import ToolCallRelay, ToolServer

if TYPE_CHECKING:  # keeps start-up short: only watched files need this module
    from onyxpass.sources.membership import FileSource

DEFAULT_STOP_S = 120.0  # longer than any usual request and its tool calls take together
MAX_STOP_S = 24 * 3600
REMAINING_SHOWN = 8  # requests, and calls, that are named if a stop takes too long
CLOSE_S = 5.0  # for tasks to end once they are cancelled
log = structlog.get_logger("rpc")


@dataclass(frozen=True, slots=True)
class ToolcallsConfig:
    name: str
    listen: Address
    settings: contract.Settings
    servers: tuple[tuple[contract.Endpoint, Address], ...]
    tools: Address
    store_url: str
    seed: int = 0
    connect_us: int = 250_000
    tool_timeout_us: int = 10_000_000
    store_timeout_ms: int = 300
    claim_ttl_s: int = 86_400
    recovery_us: int = RECOVERY_PERIOD_US  # without claims, after the store has lost its keys
    journal: Path | None = None  # None: ``journal_path`` chooses
    connections: int = 256
    memory_mb: int = DEFAULT_MEMORY_MB  # that the process may use
    stop_s: float = DEFAULT_STOP_S  # from SIGTERM until what is left is closed
    sources: Path | None = None  # the file that names the watched files, in place of ``servers``


RELOADABLE_KEYS = frozenset(("servers", "claim_ttl_s"))


def toolcalls_values(config: ToolcallsConfig) -> dict[str, Any]:
    servers = [[s.id, s.kind, s.zone, s.cell, str(address)] for s, address in config.servers]
    # Keys that are not set are left out: the configuration digest stays that of earlier versions.
    optional_values: dict[str, Any] = {}
    if config.recovery_us != RECOVERY_PERIOD_US:
        optional_values["recovery_us"] = config.recovery_us
    if config.memory_mb != DEFAULT_MEMORY_MB:
        optional_values["memory_mb"] = config.memory_mb
    if config.stop_s != DEFAULT_STOP_S:
        optional_values["stop_s"] = config.stop_s
    if config.journal is not None:
        optional_values["journal"] = str(config.journal)
    return {
        **optional_values,
        "name": config.name,
        "listen": str(config.listen),
        "servers": sorted(servers),
        "tools": str(config.tools),
        "store_url": config.store_url,
        "connect_us": config.connect_us,
        "tool_timeout_us": config.tool_timeout_us,
        "store_timeout_ms": config.store_timeout_ms,
        "claim_ttl_s": config.claim_ttl_s,
        "connections": config.connections,
        "sources": str(config.sources) if config.sources else None,
        **settings_values(config.settings),
    }


def is_reloadable(key: str) -> bool:
    return key in RELOADABLE_KEYS or is_reloadable_setting(key)


def parse_loopback_address(text: str) -> Address:
    """Parse an address, which must be a loopback one: this front end has no transport security.

    Raises ConfigError if it is not.
    """
    address = Address.parse(text)
    try:
        is_loopback = ipaddress.ip_address(address.host).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise ConfigError(f"not a loopback address: {text!r}")
    return address


def parse(raw: Mapping[str, Any], base: Path = Path()) -> ToolcallsConfig:
    """Parse a configuration; relative paths are resolved against ``base``.

    Raises ConfigError if it is invalid.
    """
    try:
        settings = read_settings(raw["settings"])
        kinds = {kind.name for kind in settings.kinds}
        servers = []
        if "sources" in raw and "servers" in raw:
            raise ConfigError("sources and servers: only one of the two keys may be set")
        for entry in raw["servers"] if "sources" not in raw else ():
            if entry["kind"] not in kinds:
                raise ConfigError(f"server {entry['id']!r} is of no kind that the settings name")
            zone, cell = str(entry.get("zone", "")), int(entry.get("cell", 0))
            server = contract.Endpoint(str(entry["id"]), str(entry["kind"]), zone, cell)
            servers.append((server, parse_loopback_address(str(entry["address"]))))
        tools, store = raw["tools"], raw["store"]
        config = ToolcallsConfig(
            name=str(raw["name"]),
            listen=parse_loopback_address(raw["listen"]),
            settings=settings,
            servers=tuple(servers),
            tools=parse_loopback_address(tools["address"]),
            store_url=str(store["url"]),
            tool_timeout_us=int(tools.get("timeout_ms", 10_000)) * 1000,
            store_timeout_ms=int(store.get("timeout_ms", 300)),
            claim_ttl_s=int(store.get("claim_ttl_s", 86_400)),
            recovery_us=int(store.get("recovery_ms", RECOVERY_PERIOD_US // 1000)) * 1000,
            journal=base / str(store["journal"]) if "journal" in store else None,
            connections=int(raw.get("connections", 256)),
            memory_mb=read_memory_mb(raw.get("memory_mb"), "memory_mb"),
            stop_s=float(raw.get("stop_s", DEFAULT_STOP_S)),
            sources=base / str(raw["sources"]) if "sources" in raw else None,
        )
    except ConfigError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as problem:
        raise ConfigError(f"the file can't be read: {problem!r}") from problem
    if not 0 < config.tool_timeout_us < STREAM_STALL_TIMEOUT_US:
        raise ConfigError(
            f"tools.timeout_ms must lie between 0 and {STREAM_STALL_TIMEOUT_US // 1000}"
        )
    if config.recovery_us <= 0:
        raise ConfigError("store.recovery_ms must be positive")
    if not 0 < config.stop_s <= MAX_STOP_S:
        raise ConfigError(f"stop_s must lie between 0 and {MAX_STOP_S}")
    if len({server.id for server, _ in servers}) < len(servers):
        raise ConfigError("two servers have the same id")
    return config


def load(path: Path) -> ToolcallsConfig:
    try:
        return parse(tomllib.loads(path.read_text()), path.parent)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"{path}: {problem}") from problem


def journal_path(config: ToolcallsConfig) -> Path:
    """Return the path of a front's journal: by default in the folder for temporary files."""
    if config.journal is not None:
        return config.journal
    identity = f"{config.name}|{config.listen}|{config.store_url}"
    digest = hashlib.blake2b(identity.encode("utf-8", "surrogatepass"), digest_size=6).hexdigest()
    return Path(tempfile.gettempdir()) / f"onyxpass-calls-{digest}.jsonl"


class ToolcallService:
    """The JSON-RPC front end with its servers, its store and its tool server."""

    kind = "toolcalls"

    def __init__(
        self,
        config: ToolcallsConfig,
        load_config: Callable[[], ToolcallsConfig] | None = None,
        journal: Path | None = None,
    ) -> None:
        """``journal`` is the file of the calls that this front has claimed; None: in memory only."""
        self.config = config
        self.load_config = load_config or (lambda: self.config)
        self.clock = Clock()
        self.wheel = TimerWheel(self.clock)
        self.core = RequestDispatcher(config.settings, config.seed, self.clock, self.wheel)
        connections = min(config.connections, max_connections(config.memory_mb))
        self.core.limit_memory(config.memory_mb, connections)
        self.store = RedisStore(config.store_url, config.store_timeout_ms)
        self.journal = CallJournal(journal)
        self.claims = CallClaims(
            self.store,
            self.journal,
            f"{config.name}:{secrets.token_hex(4)}",
            self.wheel,
            StoreGeneration(config.recovery_us),
            config.name,
        )
        self.relay = ToolCallRelay(self.claims, config.claim_ttl_s)
        self.tool_server = ToolServer(
            config.tools, self.wheel, self.relay.record, config.tool_timeout_us, config.connect_us
        )
        self.relay.tool_server = self.tool_server
        self.replicas = RpcReplicas(self.core, self.relay, config.connect_us, connections)
        self.core.connect_fleet(self.replicas)
        self.front = RpcFront(self.core, self.relay, config.listen, connections)
        self.tasks: list[asyncio.Task[None]] = []
        self.file_source: FileSource | None = None
        if config.sources is not None:
            from onyxpass.sources import membership

            sources = membership.load(config.sources)
            if not sources.sole_source:
                raise ConfigError(
                    f"{config.sources}: this front end has no discovery for the file to overlay"
                )
            self.file_source = membership.FileSource(
                self.core, self.replicas, sources, loopback_only=True
            )

    async def start(self) -> None:
        for work in (
            self.core.run(),
            self.wheel.run(),
            self.tool_server.run(),
            self.claims.run(),
        ):
            self.tasks.append(asyncio.create_task(work))
        if self.file_source is not None:
            self.tasks.append(asyncio.create_task(self.file_source.follow()))
        else:
            self._apply_servers(self.config)
        await self.front.start()
        if managed():
            from onyxpass.admin.server import AdminServer

            admin = AdminServer(self, self.wheel)
            self.tasks.append(asyncio.create_task(admin.run()))
        log.info(
            "listening",
            name=self.config.name,
            listen=f"{self.config.listen.host}:{self.front.port}",
        )

    def _apply_servers(self, config: ToolcallsConfig) -> None:
        for server, address in config.servers:
            self.replicas.add(server.id, address)
        self.core.update_endpoints(
            contract.EndpointUpdate(
                contract.EndpointUpdateForm.COMPLETE, tuple(s for s, _ in config.servers)
            )
        )

    def reload(self, read: Callable[[], ToolcallsConfig]) -> None:
        """Apply the present file as far as a running process can; called on SIGHUP.

        An invalid file is logged and changes nothing.
        """
        try:
            self.apply_reload(read)
        except ConfigError as problem:  # for example a file half written: the old servers stay
            log.error("configuration_rejected", why=str(problem))
        except Exception:  # prevents a file with an unforeseen fault from ending the process
            log.exception("configuration_unreadable")

    def apply_reload(self, read: Callable[[], ToolcallsConfig]) -> ConfigurationChange:
        """Apply every key that a running process can change, and return the change.

        The change names the keys that need a restart. Raises ConfigError if the file is invalid.
        """
        new, old = read(), self.config
        if unknown := {server.kind for server, _ in new.servers} - set(self.core.endpoints.roles):
            raise ConfigError(f"kinds that need a restart: {', '.join(sorted(unknown))}")
        change = classify_changes(toolcalls_values(old), toolcalls_values(new), is_reloadable)
        self.config = replace(
            old,
            servers=new.servers,
            claim_ttl_s=new.claim_ttl_s,
            settings=with_reloaded_keys(old.settings, new.settings),
        )
        self.relay.ttl_s = new.claim_ttl_s
        if self.config.settings != old.settings:
            self.core.apply_settings(self.config.settings)
        if self.file_source is None:
            self._apply_servers(new)
        log.info("reloaded", servers=len(new.servers), needs_a_restart=list(change.needs_restart))
        return change

    # Interface for the admin server

    def configuration_values(self) -> ConfigurationTable:
        return toolcalls_values(self.config)

    def reload_now(self) -> ConfigurationChange:
        return self.apply_reload(self.load_config)

    def ready(self) -> bool:
        return not (self.front.closing or self.core.shutdown.begun)

    def open_requests(self) -> OpenRequests:
        requests, streams, oldest_us = self.core.registry.in_flight_summary()
        return OpenRequests(max(requests, self.front.count_unsent()), streams, oldest_us)

    def set_draining(self, draining: bool) -> None:
        """Resume admitting requests once draining ends.

        Draining closes no connection: each new request on an open connection is rejected.
        """
        if not draining:
            self.core.shutdown.cancel()

    def stop_admitting(self) -> None:
        self.core.shutdown.begin()

    def metrics(self) -> dict[str, Any]:
        sources = {"sources": self.file_source.status()} if self.file_source is not None else {}
        return {**self.core.metric_rows(), "clients": len(self.front.connections), **sources}

    async def stop(self) -> None:
        """Finish the open requests and tool calls; what is left after ``stop_s`` is closed."""
        await stop_within(self.config.stop_s, self._finish(), self._remaining)
        await stop_within(CLOSE_S, self.close(), self._remaining)
        log.info("stopped", name=self.config.name)

    async def _finish(self) -> None:
        await self.front.stop()
        await self.relay.finish()

    def _remaining(self) -> dict[str, object]:
        """Return what keeps this front from ending, for the log."""
        requests = sorted(request.id for request in self.core.registry.by_number.values())
        return {
            "requests": requests[:REMAINING_SHOWN],
            "calls": sorted(self.relay.open_calls)[:REMAINING_SHOWN],
            "clients": len(self.front.connections),
        }

    async def close(self) -> None:
        """Cancel all tasks, without waiting for open requests, and close the store."""
        self.claims.stop()
        tasks = [
            *self.tasks,
            *self.replicas.actor_tasks.values(),
            *self.replicas.release_tasks,
            *self.relay.tasks,
        ]
        tasks += [
            task
            for replica in self.replicas.actors.values()
            for task in (*replica.tasks.values(), *replica.background_tasks)
        ]
        tasks += [self.tool_server.task] if self.tool_server.task else []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.store.close()
        self.journal.close()


async def serve(config: ToolcallsConfig, load_config: Callable[[], ToolcallsConfig]) -> None:
    """Run until SIGTERM or SIGINT, then finish the open requests. SIGHUP reloads the file."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    service = ToolcallService(config, load_config, journal_path(config))
    # Without a handler SIGHUP would end the process, also while it starts.
    reload_signal.handle(loop, lambda: service.reload(load_config))
    await service.start()
    event_loop.restart_longest_turn()
    ended = asyncio.create_task(stopping.wait())
    await asyncio.wait([ended, *service.tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in service.tasks:
        if task.done():
            task.result()
    await service.stop()
