"""The configuration file of one agent and its instances.

The models below define the file's format; their names and docstrings appear in its published
schema. ``AgentConfig`` is the resolved configuration that the agent runs on.
"""

import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field

from onyxpass.agent.lifecycle import RestartPolicy
from onyxpass.config import toml_config
from onyxpass.config.platform_file import Address

InstanceKind = Literal["serve", "toolcalls"]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


class StoreTable(toml_config.Model):
    """Redis, where agents tell each other's tools of their instances. An agent needs none."""

    url: str


class RestartTable(toml_config.Model):
    """All times are seconds."""

    first_s: Seconds = 0.2  # backoff before the first restart; doubles with each failure
    most_s: Seconds = 15.0  # the longest backoff
    steady_s: Seconds = 30.0  # a run of this length resets the backoff to first_s
    grace_s: Seconds = 20.0  # from SIGTERM to SIGKILL
    start_s: Seconds = 5.0  # time after a start in which failed checks do not count
    poll_s: Seconds = 1.0  # interval of instance checks and of updates from and to the store


class InstanceTable(toml_config.Model):  # noqa: D101 - a docstring is part of the schema
    name: Name
    kind: InstanceKind
    config: str  # path, relative to the agent's file
    env: dict[str, str] = Field(default_factory=dict)
    check: toml_config.ConnectAddress | None = None  # address that must accept connections


class AgentFile(toml_config.Model):  # noqa: D101 - a docstring is part of the schema
    name: Name
    state: str | None = None  # folder for the state; without one, the state is lost with the agent
    listen: toml_config.ListenAddress | None = None  # address of the agent's API
    key: str | None = None  # file with the key that callers must present
    store: StoreTable | None = None
    restart: RestartTable = Field(default_factory=RestartTable)
    instances: list[InstanceTable]

    def faults(self) -> Iterable[tuple[tuple[toml_config.PathPart, ...], str]]:
        """Yield each fault that involves several keys, with its location."""
        names: set[str] = set()
        for number, instance in enumerate(self.instances):
            if instance.name in names:
                yield ("instances", number, "name"), f"two instances are called {instance.name!r}"
            names.add(instance.name)
        if self.listen is not None and (self.key is None or self.state is None):
            # Prevents operations that a restarted agent would not know and could execute twice.
            yield ("listen",), "listen needs a key (the file that holds it) and a state (a folder)"


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """One instance; ``kind`` is empty and ``config`` None unless it runs onyxpass."""

    name: str
    command: tuple[str, ...]
    env: Mapping[str, str] = field(default_factory=dict)
    check: Address | None = None
    kind: str = ""
    config: Path | None = None


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """The configuration of one agent, with paths relative to the file's folder resolved."""

    name: str
    store_url: str  # empty: no store
    instances: tuple[InstanceSpec, ...]
    restart: RestartPolicy = field(default_factory=RestartPolicy)
    termination_grace_s: float = 20.0  # from SIGTERM to SIGKILL
    poll_interval_s: float = 1.0  # of instance checks and of updates from and to the store
    state: Path | None = None
    listen: Address | None = None
    key: Path | None = None


def _to_config(file: AgentFile, base: Path) -> AgentConfig:
    specs = []
    for entry in file.instances:
        path = base / entry.config
        command = (sys.executable, "-m", "onyxpass", entry.kind, "--config", str(path))
        check = Address.parse(entry.check) if entry.check else None
        specs.append(InstanceSpec(entry.name, command, entry.env, check, entry.kind, path))
    return AgentConfig(
        name=file.name,
        store_url=file.store.url if file.store else "",
        instances=tuple(specs),
        state=base / file.state if file.state else None,
        listen=Address.parse(file.listen) if file.listen else None,
        key=base / file.key if file.key else None,
        restart=RestartPolicy(
            initial_backoff_s=file.restart.first_s,
            max_backoff_s=file.restart.most_s,
            stable_after_s=file.restart.steady_s,
            startup_grace_s=file.restart.start_s,
        ),
        termination_grace_s=file.restart.grace_s,
        poll_interval_s=file.restart.poll_s,
    )


def parse(raw: Mapping[str, Any], base: Path) -> AgentConfig:
    """Validate a parsed file; ``ConfigError`` names the fault.

    Paths are relative to the folder ``base``.
    """
    return _to_config(toml_config.check(AgentFile, raw), base)


def load(path: Path) -> AgentConfig:
    """Read and validate a file; ``ConfigError`` names the file, the location and the reason."""
    return _to_config(toml_config.read(AgentFile, path), path.parent)
