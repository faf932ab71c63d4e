"""The configurations of both programs as flat tables, and which of their keys a reload takes over.

Left out is what belongs to one process and not to its configuration: seeds, the list as last known, inherited
descriptors, the folder of temporary files.
"""

from typing import TYPE_CHECKING, Any

from onyxpass.admin.running import settings_in_flight, settings_values
from onyxpass.config import Config

if TYPE_CHECKING:
    from onyxpass.toolcalls.service import ToolcallsConfig

SERVE_IN_FLIGHT = frozenset(("discovery", "sockets", "connect_timeout_us", "conn_idle_us"))
TOOLCALLS_IN_FLIGHT = frozenset(("servers", "claim_ttl_s"))


def serve_values(config: Config) -> dict[str, Any]:
    return {
        "name": config.name,
        "listen": str(config.listen),
        "discovery": str(config.discovery),
        "control": str(config.control) if config.control else None,
        "sockets": config.sockets,
        "connect_timeout_us": config.connect_timeout_us,
        "conn_idle_us": config.conn_idle_us,
        "servers_file": str(config.servers) if config.servers else None,
        **settings_values(config.settings),
    }


def serve_in_flight(key: str) -> bool:
    return key in SERVE_IN_FLIGHT or settings_in_flight(key)


def toolcalls_values(config: "ToolcallsConfig") -> dict[str, Any]:
    servers = [[s.id, s.kind, s.zone, s.cell, str(address)] for s, address in config.servers]
    return {
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


def toolcalls_in_flight(key: str) -> bool:
    return key in TOOLCALLS_IN_FLIGHT or settings_in_flight(key)
