"""The digest of the configuration that an instance should run on, read from its file."""

import os
from collections.abc import Mapping

from onyxpass.admin.running_configuration import table_digest
from onyxpass.admin.serve_configuration import serve_values
from onyxpass.agent.config import InstanceSpec
from onyxpass.config import platform_file as configuration
from onyxpass.config.platform_file import ConfigError


def expected_digest(
    spec: InstanceSpec, reload: bool = False, environ: Mapping[str, str] = os.environ
) -> str:
    """Return the digest of the instance's configuration file as it is now.

    The file is read by the same code as in the instance. That of a ``serve`` instance is read as
    on a reload with ``reload``, and otherwise as at a start, where environment variables take
    precedence over the file. ``ConfigError`` names the file, the line and the reason if the file is
    invalid.
    """
    if spec.config is None:
        raise ConfigError(f"{spec.name}: its configuration is not known to the agent")
    if spec.kind == "serve":
        return table_digest(
            serve_values(configuration.load(spec.config, {**environ, **spec.env}, reload))
        )
    from onyxpass.toolcalls import service

    return table_digest(service.toolcalls_values(service.load(spec.config)))
