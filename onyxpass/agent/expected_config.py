"""The configuration that an instance should run on, read from its file by its own code."""

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
    """Return the digest of the instance's file as it is now.

    ``reload`` reads it as a reload does; otherwise as a start does, where the environment wins
    over the file. ``ConfigError`` names file, line and reason where the file is invalid.
    """
    if spec.config is None:
        raise ConfigError(f"{spec.name}: its configuration is not known to the agent")
    if spec.kind == "serve":
        return table_digest(
            serve_values(configuration.load(spec.config, {**environ, **spec.env}, reload))
        )
    from onyxpass.toolcalls import service

    return table_digest(service.toolcalls_values(service.load(spec.config)))
