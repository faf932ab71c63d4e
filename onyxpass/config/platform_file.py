"""The platform's configuration of a dispatcher: its environment variables and the JSON file.

The file's settings object is read by ``settings``, its faults are found by ``settings_validation``.
Nothing here is changed after it was read.
"""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpass.config.settings import read_settings
from onyxpass.config.settings_validation import SettingsFault, find_faults
from onyxpass.scheduling import contract

# Environment variables: the platform's prefix, our own file of watched files, what an agent sets
VARIABLE_PREFIX = "ROUTER_"
SERVERS_VARIABLE = "ONYXPASS_SERVERS"
ADMIN_VARIABLE = "ONYXPASS_ADMIN"
GENERATION_VARIABLE = "ONYXPASS_GENERATION"
LAUNCH_VARIABLE = "ONYXPASS_LAUNCH"

# Descriptors for discovery, operators, the log and the loop; the part of all that they may be
SPARE_SOCKETS = 64
SPARE_SOCKETS_DIVISOR = 4
LEAST_SHARE = 8
DEFAULT_SOCKETS = 1024
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_CONNECTION_IDLE_US = 15_000_000
HIGHEST_PORT = 65535


def managed() -> bool:
    """Whether an agent has started this process and expects it to listen on an admin socket."""
    return bool(os.environ.get(ADMIN_VARIABLE))


class ConfigError(ValueError):
    """The configuration does not hold what the program needs; one line says where and why."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Read ``HOST:PORT``; an IPv6 host may stand in brackets. Raises ConfigError."""
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit() or not 0 <= int(port) <= HIGHEST_PORT:
            raise ConfigError(f"not an address: {text!r}")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


NO_ADDRESS = Address("", 0)  # no discovery: watched files are the only source


def connection_limit(sockets: int) -> int:
    """Return what one side, clients or replicas, may hold of so many descriptors."""
    spare = min(SPARE_SOCKETS, sockets // SPARE_SOCKETS_DIVISOR)
    return max(LEAST_SHARE, (sockets - spare) // 2)


@dataclass(frozen=True, slots=True)
class Config:
    """What one dispatcher runs on. ``faults``: those of the settings that it can run with."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: contract.Settings
    known_endpoints: Mapping[str, Any]
    sockets: int = DEFAULT_SOCKETS
    connect_timeout_us: int = DEFAULT_CONNECT_TIMEOUT_US
    conn_idle_us: int = DEFAULT_CONNECTION_IDLE_US
    control: Address | None = None  # the operators' address
    # the descriptor of the clients' listening socket, where it is inherited
    listen_descriptor: int | None = None
    folder: Path | None = None  # what the two processes of an upgrade share
    faults: tuple[SettingsFault, ...] = ()  # of the settings; it can run with them
    servers_file: Path | None = (
        None  # our own file of watched files, on top or in place of discovery
    )

    @property
    def connection_limit(self) -> int:
        """The connections that clients may hold; replicas may hold as many."""
        return connection_limit(self.sockets)


def parse(
    raw: Mapping[str, Any],
    environ: Mapping[str, str],
    reloading: bool = False,
    strict: bool = False,
) -> Config:
    """Read the platform's file, whose values its environment variables override.

    ``reloading``: the file was replaced while the program runs. A variable still holds discovery's
    address of the start then, so here the file's wins. ``strict``: faults that a dispatcher can run
    with are rejected too. Raises ConfigError with key and reason.
    """
    listen_descriptor = _listen_descriptor(environ)
    settings = raw.get("settings")
    if not isinstance(settings, Mapping):
        raise ConfigError("settings is absent")
    try:
        return _read_config(raw, settings, environ, listen_descriptor, reloading, strict)
    except ConfigError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as problem:
        raise ConfigError(f"the settings can't be read: {problem!r}") from problem


def _read_config(
    raw: Mapping[str, Any],
    settings: Mapping[str, Any],
    environ: Mapping[str, str],
    listen_descriptor: int | None,
    reloading: bool,
    strict: bool,
) -> Config:
    sockets = (raw.get("limits") or {}).get("sockets")
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
        connect_timeout_us=int(limits.get("connectTimeoutUs") or DEFAULT_CONNECT_TIMEOUT_US),
        conn_idle_us=int(limits.get("connIdleUs") or DEFAULT_CONNECTION_IDLE_US),
        control=_control(raw, environ),
        listen_descriptor=listen_descriptor,
        folder=Path(environ["TMPDIR"]) if environ.get("TMPDIR") else None,
        servers_file=Path(environ[SERVERS_VARIABLE]) if environ.get(SERVERS_VARIABLE) else None,
        faults=faults,
    )


def _listen_descriptor(environ: Mapping[str, str]) -> int | None:
    """Read the descriptor of the inherited listening socket, if there is one."""
    number = environ.get(VARIABLE_PREFIX + "PASSED_SOCKET") or ""
    if number and not (number.isascii() and number.isdigit()):
        raise ConfigError(f"{VARIABLE_PREFIX}PASSED_SOCKET is no descriptor: {number!r}")
    return int(number) if number else None


def _required(
    raw: Mapping[str, Any], environ: Mapping[str, str], key: str, file_wins: bool = False
) -> str:
    """Return a value that has to be there, from the environment or the file."""
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
    named = raw.get("discovery") or environ.get(VARIABLE_PREFIX + "DISCOVERY")
    if environ.get(SERVERS_VARIABLE) and not named:
        return NO_ADDRESS
    return Address.parse(_required(raw, environ, "discovery", file_wins=reloading))


def load(
    path: Path | None = None,
    environ: Mapping[str, str] = os.environ,
    reloading: bool = False,
    strict: bool = False,
) -> Config:
    """Read the file that is named, by the caller or by the platform; the rest as in ``parse``."""
    if path is None:
        if not (named := environ.get(VARIABLE_PREFIX + "CONFIG")):
            raise ConfigError(f"no file is named: give one, or set {VARIABLE_PREFIX}CONFIG")
        path = Path(named)
    try:
        raw = json.loads(path.read_text())
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"{path}: {problem}") from problem
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return parse(raw, environ, reloading, strict)
    except ConfigError as problem:
        raise ConfigError(f"{path}: {problem}") from problem
