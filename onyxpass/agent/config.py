"""The operator's file of instances."""

import sys
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from onyxpass.config import Address, ConfigError

COMMANDS = ("serve", "toolcalls")


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    name: str
    command: tuple[str, ...]
    env: Mapping[str, str] = field(default_factory=dict)
    check: Address | None = None  # where it must take connections while it runs


@dataclass(frozen=True, slots=True)
class AgentConfig:
    name: str
    store_url: str
    instances: tuple[InstanceSpec, ...]
    first_s: float = 0.2  # the pause before the first restart; it doubles
    most_s: float = 15.0
    steady_s: float = 30.0  # an instance that ran for so long starts over with the first pause
    grace_s: float = 20.0  # from SIGTERM to SIGKILL
    start_s: float = 5.0  # a check may fail for so long after a start
    poll_s: float = 1.0  # how often the store is told and asked, and the check made


def parse(raw: Mapping[str, Any], base: Path) -> AgentConfig:
    """``base``: the folder that relative paths of configurations start from."""
    try:
        specs = []
        for entry in raw["instances"]:
            kind, name = entry["kind"], str(entry["name"])
            if kind not in COMMANDS:
                raise ConfigError(f"instance {name!r}: kind must be one of {', '.join(COMMANDS)}")
            path = str(base / entry["config"])
            command = (sys.executable, "-m", "onyxpass", kind, "--config", path)
            env = {str(k): str(v) for k, v in (entry.get("env") or {}).items()}
            check = Address.parse(entry["check"]) if "check" in entry else None
            specs.append(InstanceSpec(name, command, env, check))
        if len({spec.name for spec in specs}) < len(specs):
            raise ConfigError("two instances have the same name")
        pauses = raw.get("restart") or {}
        known = ("first_s", "most_s", "steady_s", "grace_s", "start_s", "poll_s")
        if unknown := set(pauses) - set(known):
            raise ConfigError(f"restart: unknown {', '.join(sorted(unknown))}")
        timing = {key: float(pauses[key]) for key in known if key in pauses}
        if any(value <= 0 for value in timing.values()):
            raise ConfigError("restart: all times must be above 0")
        return AgentConfig(str(raw["name"]), str(raw["store"]["url"]), tuple(specs), **timing)
    except ConfigError:
        raise
    except (ValueError, KeyError, TypeError, AttributeError) as problem:
        raise ConfigError(f"the file can't be read: {problem!r}") from problem


def load(path: Path) -> AgentConfig:
    try:
        return parse(tomllib.loads(path.read_text()), path.parent)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"{path}: {problem}") from problem
