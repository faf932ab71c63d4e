"""A dispatcher's configuration as a flat table, and the keys of it that a reload can change.

Values of one process that are not part of its configuration are left out: seeds, the last known
list of servers, inherited descriptors, the folder of temporary files.
"""

from typing import Any

from onyxpass.admin.running_configuration import is_reloadable_setting, settings_values
from onyxpass.config.platform_file import Config
from onyxpass.core.memory_budget import DEFAULT_MEMORY_MB

RELOADABLE_SERVE_KEYS = frozenset(("discovery", "sockets", "connect_timeout_us", "conn_idle_us"))


def serve_values(config: Config) -> dict[str, Any]:
    # A limit that is not set is left out: the configuration digest stays that of earlier versions.
    memory = {} if config.memory_mb == DEFAULT_MEMORY_MB else {"memory_mb": config.memory_mb}
    return {
        **memory,
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


def is_reloadable(key: str) -> bool:
    return key in RELOADABLE_SERVE_KEYS or is_reloadable_setting(key)
