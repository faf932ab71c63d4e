"""The operator's file of one agent and its instances.

The models below are the file's form; their names, comments and docstrings make up its published
schema. ``AgentConfig`` is what the agent runs on.
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

    first_s: Seconds = 0.2  # the pause before the first restart; it doubles
    most_s: Seconds = 15.0
    steady_s: Seconds = 30.0  # an instance that ran for so long starts over with the first pause
    grace_s: Seconds = 20.0  # from SIGTERM to SIGKILL
    start_s: Seconds = 5.0  # a check may fail for so long after a start
    poll_s: Seconds = 1.0  # how often instances are checked, and the store told and asked


class InstanceTable(toml_config.Model):  # noqa: D101 - a docstring is part of the schema
    name: Name
    kind: InstanceKind
    config: str  # relative to the agent's file
    env: dict[str, str] = Field(default_factory=dict)
    check: toml_config.ConnectAddress | None = None  # where it must take connections while it runs


class AgentFile(toml_config.Model):  # noqa: D101 - a docstring is part of the schema
    name: Name
    state: str | None = None  # the folder that outlives the agent; without one, nothing does
    listen: toml_config.ListenAddress | None = None  # the agent's own address
    key: str | None = None  # the file with the key that callers must show
    store: StoreTable | None = None
    restart: RestartTable = Field(default_factory=RestartTable)
    instances: list[InstanceTable]

    def faults(self) -> Iterable[tuple[tuple[toml_config.PathPart, ...], str]]:
        """Yield each fault that spans several keys, with its place."""
        names: set[str] = set()
        for number, instance in enumerate(self.instances):
            if instance.name in names:
                yield ("instances", number, "name"), f"two instances are called {instance.name!r}"
            names.add(instance.name)
        if self.listen is not None and (self.key is None or self.state is None):
            # Prevents orders that are forgotten with the agent, and could be carried out twice.
            yield ("listen",), "listen needs a key (the file that holds it) and a state (a folder)"


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """One instance; ``kind`` and ``config`` are empty for any command that is not onyxpass."""

    name: str
    command: tuple[str, ...]
    env: Mapping[str, str] = field(default_factory=dict)
    check: Address | None = None
    kind: str = ""
    config: Path | None = None


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """What one agent runs on, with all paths resolved."""

    name: str
    store_url: str  # empty: no store
    instances: tuple[InstanceSpec, ...]
    restart: RestartPolicy = field(default_factory=RestartPolicy)
    termination_grace_s: float = 20.0  # from SIGTERM to SIGKILL
    poll_interval_s: float = 1.0  # of checks and of the store
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
    """Check a parsed file; ``ConfigError`` names the fault.

    ``base`` is the folder that relative paths start from.
    """
    return _to_config(toml_config.check(AgentFile, raw), base)


def load(path: Path) -> AgentConfig:
    """Read a file; ``ConfigError`` names file, place and reason of a fault."""
    return _to_config(toml_config.read(AgentFile, path), path.parent)
