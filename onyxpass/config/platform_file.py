"""The platform's configuration of a dispatcher: its environment variables and its JSON file.

The module ``settings`` reads the file's settings object; ``settings_validation`` finds its faults.
The values are immutable once read.
"""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpass.config.settings import read_settings
from onyxpass.config.settings_validation import SettingsFault, find_faults
from onyxpass.core.memory_budget import DEFAULT_MEMORY_MB, max_connections
from onyxpass.scheduling import contract

# Environment variables: the platform's prefix, the path of the sources file, and three that an
# agent sets
VARIABLE_PREFIX = "ROUTER_"
SERVERS_VARIABLE = "ONYXPASS_SERVERS"
ADMIN_VARIABLE = "ONYXPASS_ADMIN"
GENERATION_VARIABLE = "ONYXPASS_GENERATION"
LAUNCH_VARIABLE = "ONYXPASS_LAUNCH"

# Descriptors reserved for discovery, operators, the log and the event loop: their maximum, and the
# divisor that limits their part of all descriptors
RESERVED_SOCKETS = 64
RESERVED_SOCKETS_DIVISOR = 4
MIN_CONNECTION_LIMIT = 8
DEFAULT_SOCKETS = 1024
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_CONNECTION_IDLE_US = 15_000_000
MAX_PORT = 65535
MAX_MEMORY_MB = 1024 * 1024


def managed() -> bool:
    """Return whether an agent started this process and expects it to listen on an admin socket."""
    return bool(os.environ.get(ADMIN_VARIABLE))


class ConfigError(ValueError):
    """A fault in the configuration; the message says in one line where and why."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``HOST:PORT``; an IPv6 host may be in brackets. Raises ConfigError."""
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
            raise ConfigError(f"not an address: {text!r}")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


NO_ADDRESS = Address("", 0)  # of discovery, if watched files are the only source


def connection_limit(sockets: int, memory_mb: int = DEFAULT_MEMORY_MB) -> int:
    """Return the connections for one side, clients or replicas.

    They share ``sockets`` descriptors, and the memory that is left beside the program.
    """
    reserved = min(RESERVED_SOCKETS, sockets // RESERVED_SOCKETS_DIVISOR)
    by_descriptors = max(MIN_CONNECTION_LIMIT, (sockets - reserved) // 2)
    return min(by_descriptors, max_connections(memory_mb))


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one dispatcher."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: contract.Settings
    known_endpoints: Mapping[str, Any]
    sockets: int = DEFAULT_SOCKETS
    memory_mb: int = DEFAULT_MEMORY_MB  # over which the process is killed
    connect_timeout_us: int = DEFAULT_CONNECT_TIMEOUT_US
    conn_idle_us: int = DEFAULT_CONNECTION_IDLE_US
    control: Address | None = None  # where the dispatcher listens for operators
    # descriptor of the inherited listening socket for clients; None if it is not inherited
    listen_descriptor: int | None = None
    folder: Path | None = None  # shared by the two processes of an upgrade
    faults: tuple[SettingsFault, ...] = ()  # of the settings, with which the dispatcher can run
    servers_file: Path | None = None  # which files to watch, beside or instead of discovery

    @property
    def connection_limit(self) -> int:
        """The maximum number of client connections, and likewise of replica connections."""
        return connection_limit(self.sockets, self.memory_mb)


def parse(
    raw: Mapping[str, Any],
    environ: Mapping[str, str],
    reloading: bool = False,
    strict: bool = False,
) -> Config:
    """Read the content of the platform's file, which the environment variables override.

    ``reloading``: the file was replaced while the program is running. The variable for discovery's
    address is then as old as the process, so the file's address takes precedence over it.
    ``strict``: reject also faults that a dispatcher can run with. Raises ConfigError with key and
    reason.
    """
    listen_descriptor = _listen_descriptor(environ)
    settings = raw.get("settings")
    if not isinstance(settings, Mapping):
        raise ConfigError("settings is absent")
    try:
        return _read_config(raw, settings, environ, listen_descriptor, reloading, strict)
    except ConfigError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise ConfigError(f"the settings can't be read: {error!r}") from error


def _read_config(
    raw: Mapping[str, Any],
    settings: Mapping[str, Any],
    environ: Mapping[str, str],
    listen_descriptor: int | None,
    reloading: bool,
    strict: bool,
) -> Config:
    process_limits = raw.get("limits") or {}
    sockets = process_limits.get("sockets")
    faults = tuple(find_faults(settings, sockets))
    if rejected := next((fault for fault in faults if strict or fault.fatal), None):
        raise ConfigError(str(rejected))
    contract_settings = read_settings(settings)
    limits = settings.get("limits") or {}
    return Config(
        name=_required(raw, environ, "name"),
        listen=Address.parse(_required(raw, environ, "listen")),
        discovery=_discovery(raw, environ, reloading),
        seed=int(str(raw.get("seed") or "0"), 16),
        settings=contract_settings,
        known_endpoints=raw.get("known") or {},
        sockets=int(sockets or DEFAULT_SOCKETS),
        memory_mb=read_memory_mb(process_limits.get("memory_mb"), "limits.memory_mb"),
        connect_timeout_us=int(limits.get("connectTimeoutUs") or DEFAULT_CONNECT_TIMEOUT_US),
        conn_idle_us=int(limits.get("connIdleUs") or DEFAULT_CONNECTION_IDLE_US),
        control=_control(raw, environ),
        listen_descriptor=listen_descriptor,
        folder=Path(environ["TMPDIR"]) if environ.get("TMPDIR") else None,
        servers_file=Path(environ[SERVERS_VARIABLE]) if environ.get(SERVERS_VARIABLE) else None,
        faults=faults,
    )


def read_memory_mb(value: object, key: str) -> int:
    """Return a memory limit; the default if it is absent. Raises ConfigError with the key."""
    if value is None:
        return DEFAULT_MEMORY_MB
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
        raise ConfigError(f"{key}: must be a number, 1 at least, not {value!r}")
    return int(min(value, MAX_MEMORY_MB))


def _listen_descriptor(environ: Mapping[str, str]) -> int | None:
    """Return the descriptor of the inherited listening socket, or None."""
    number = environ.get(VARIABLE_PREFIX + "PASSED_SOCKET") or ""
    if number and not (number.isascii() and number.isdigit()):
        raise ConfigError(f"{VARIABLE_PREFIX}PASSED_SOCKET is not a descriptor: {number!r}")
    return int(number) if number else None


def _required(
    raw: Mapping[str, Any], environ: Mapping[str, str], key: str, file_wins: bool = False
) -> str:
    """Return a required value from the environment or the file."""
    variable = VARIABLE_PREFIX + key.upper()
    value = (file_wins and raw.get(key)) or environ.get(variable) or raw.get(key)
    if not value:
        raise ConfigError(f"{key} is not told, neither as {variable} nor in the file")
    return str(value)


def _control(raw: Mapping[str, Any], environ: Mapping[str, str]) -> Address | None:
    text = environ.get(VARIABLE_PREFIX + "CONTROL") or raw.get("control")
    return Address.parse(str(text)) if text else None


def _discovery(raw: Mapping[str, Any], environ: Mapping[str, str], reloading: bool) -> Address:
    """Return discovery's address; NO_ADDRESS if watched files are the only source."""
    address = raw.get("discovery") or environ.get(VARIABLE_PREFIX + "DISCOVERY")
    if environ.get(SERVERS_VARIABLE) and not address:
        return NO_ADDRESS
    return Address.parse(_required(raw, environ, "discovery", file_wins=reloading))


def load(
    path: Path | None = None,
    environ: Mapping[str, str] = os.environ,
    reloading: bool = False,
    strict: bool = False,
) -> Config:
    """Read the file at ``path``, or the one that the platform names; otherwise as ``parse``."""
    if path is None:
        if not (name := environ.get(VARIABLE_PREFIX + "CONFIG")):
            raise ConfigError(f"no configuration file: give one, or set {VARIABLE_PREFIX}CONFIG")
        path = Path(name)
    try:
        raw = json.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not a JSON object")
    try:
        return parse(raw, environ, reloading, strict)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
