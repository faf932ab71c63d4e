"""The configuration file of one node that distributes the desired configuration."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field

from onyxpass.agent.config import Name
from onyxpass.config import toml_config
from onyxpass.config.platform_file import Address


class InstanceTable(toml_config.Model):
    name: Name
    base: str  # path of the dispatcher's JSON without the desired values
    config: str  # path of the JSON file that its agent starts it with


class NodeFile(toml_config.Model):
    """A ``control`` node accepts changes, a ``relay`` forwards them, a ``host`` applies them."""

    name: Name
    role: Literal["control", "relay", "host"]
    listen: toml_config.ListenAddress
    key: str  # path of the key that the agents share
    folder: str
    upstreams: Annotated[list[toml_config.ConnectAddress], Field(max_length=32)] = Field(
        default_factory=list
    )
    agent: toml_config.ConnectAddress | None = None
    instances: list[InstanceTable] = Field(default_factory=list)

    def faults(self) -> Iterable[tuple[tuple[toml_config.PathPart, ...], str]]:
        if self.role != "control" and not self.upstreams:
            yield ("upstreams",), f"upstreams: a {self.role} needs at least one"
        if self.instances and (self.role != "host" or self.agent is None):
            yield ("instances",), "instances need role 'host' and an agent"


@dataclass(frozen=True, slots=True)
class InstanceFiles:
    """The files of one dispatcher: its configuration without and with the desired values."""

    name: str
    base: Path
    config: Path


@dataclass(frozen=True, slots=True)
class NodeConfig:
    name: str
    role: str
    listen: Address
    key: Path
    folder: Path
    upstreams: tuple[Address, ...]
    agent: Address | None
    instances: tuple[InstanceFiles, ...]


def load(path: Path) -> NodeConfig:
    """Read a node's file; ConfigError with file, key and reason if the file is invalid."""
    file = toml_config.read(NodeFile, path)
    base = path.parent
    return NodeConfig(
        file.name,
        file.role,
        Address.parse(file.listen),
        base / file.key,
        base / file.folder,
        tuple(Address.parse(text) for text in file.upstreams),
        Address.parse(file.agent) if file.agent is not None else None,
        tuple(
            InstanceFiles(row.name, base / row.base, base / row.config) for row in file.instances
        ),
    )
