"""A dispatcher's configuration as a flat table, and which of its keys a reload takes over.

Left out is what belongs to one process and not to its configuration: seeds, the list as last known,
inherited descriptors, the folder of temporary files.
"""

from typing import Any

from onyxpass.admin.running import settings_in_flight, settings_values
from onyxpass.config.platform_file import Config

SERVE_IN_FLIGHT = frozenset(("discovery", "sockets", "connect_timeout_us", "conn_idle_us"))


def serve_values(config: Config) -> dict[str, Any]:
    return {
        "name": config.name,
        "listen": str(config.listen),
        "discovery": str(config.discovery),
        "control": str(config.control) if config.control else None,
        "sockets": config.sockets,
        "connect_timeout_us": config.connect_timeout_us,
        "conn_idle_us": config.conn_idle_us,
        "servers_file": str(config.servers_file) if config.servers_file else None,
        **settings_values(config.settings),
    }


def serve_in_flight(key: str) -> bool:
    return key in SERVE_IN_FLIGHT or settings_in_flight(key)
