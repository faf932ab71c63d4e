"""Schemas, options and exit codes of the commands, compared with those of earlier builds."""

import re
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.proofs.goldens import golden
from tests.support.black_box import digest, run

SCHEMAS = ("fleet schema", "servers schema")
COMMANDS = (
    "serve",
    "check-config",
    "version",
    "toolcalls",
    "soak",
    "agent run",
    "agent key",
    "agent list",
    "agent stop",
    "agent start",
    "desired run",
    "desired set",
    "desired show",
    "fleet list",
    "fleet inspect",
    "fleet reload",
    "fleet drain",
    "fleet undrain",
    "fleet restart",
    "fleet events",
    "fleet check",
    "fleet schema",
    "fleet rollout plan",
    "fleet rollout run",
    "fleet rollout resume",
    "fleet rollout status",
    "fleet rollout abort",
    "servers check",
    "servers show",
    "servers diff",
    "servers fmt",
    "servers schema",
    "servers watch",
    "standin store",
    "standin fleet",
    "standin demo",
    "lab day",
    "lab run",
    "lab compare",
    "lab report",
    "lab logs",
)
OPTION = re.compile(r"(?<![\w-])--[a-z][a-z-]+")
PROCESSES = 6


def options(command: str, folder: Path) -> list[str]:
    """Return all options that the help of a command names."""
    done = run(*command.split(), "--help", folder=folder)
    assert done.returncode == 0, (command, done.stderr)
    return sorted(set(OPTION.findall(done.stdout)))


def test_every_recorded_command_and_option_exists(tmp_path: Path) -> None:
    with ThreadPoolExecutor(PROCESSES) as pool:
        results = pool.map(lambda command: options(command, tmp_path), COMMANDS)
        found = dict(zip(COMMANDS, results, strict=True))
    for command, expected in golden("options", found).items():
        assert set(expected) <= set(found[command]), command


def test_schemas_equal_the_recorded_ones_byte_for_byte(tmp_path: Path) -> None:
    found = {command: digest(run(*command.split(), folder=tmp_path).stdout) for command in SCHEMAS}
    assert found == golden("schemas", found)


def test_exit_codes_of_wrong_usage(tmp_path: Path) -> None:
    calls = ("", "nonsense", "serve --nonsense", "fleet", "fleet list --fleet none.toml", "agent run",
             "serve --config none.json", "agent key /proc/none/key", "agent list --store redis://127.0.0.1:1/0",
             "servers show none.toml", "desired show --at 127.0.0.1:1 --key none.key")  # fmt: skip
    found = {call: run(*call.split(), folder=tmp_path).returncode for call in calls}
    assert found == golden("exit_codes", found)
