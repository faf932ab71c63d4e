"""The decisions of this build have the digests that an earlier build recorded, byte by byte.

The tests drive the command ``sim`` of ``deploy/balancer.toml`` through its pipe. They name no
module of the code, so renaming or splitting modules does not change them. To record new digests
after an intended change of decisions, run
``ONYXPASS_RECORD_DIGESTS=1 python -m pytest tests/proofs``.
"""

import ast
import json
import os
import shlex
import shutil
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.support.server_model import RunResult, Simulation

ROOT = Path(__file__).parent.parent.parent
DIGESTS = ROOT / "tests" / "data" / "decision_digests.json"
SEEDS = range(21)
SENSITIVITY_SEEDS = (1, 3, 4, 8)
CHANGED_CONSTANTS = 4
PROCESSES = 4


def adapter_command() -> list[str]:
    """Return the deploy file's ``sim`` command, with this interpreter."""
    words = shlex.split(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"])
    if words[0] == "exec":
        del words[0]
    return [sys.executable, *words[1:]]


def run_seeds(seeds: "range | tuple[int, ...]", root: Path = ROOT) -> dict[int, RunResult]:
    """Run each seed against an adapter process of its own, ``PROCESSES`` at once."""
    with ThreadPoolExecutor(PROCESSES) as pool:
        runs = pool.map(lambda seed: Simulation(seed, adapter_command(), root).run(), seeds)
        return dict(zip(seeds, runs, strict=True))


def test_every_action_is_the_same_to_the_byte() -> None:
    found = {str(seed): run.digest for seed, run in run_seeds(SEEDS).items()}
    if os.environ.get("ONYXPASS_RECORD_DIGESTS"):
        DIGESTS.write_text(json.dumps(found, indent=1) + "\n")
    assert found == json.loads(DIGESTS.read_text())


def test_the_server_model_causes_every_kind_of_action_but_bail_out() -> None:
    actions = {name for run in run_seeds((0, 1, 4, 9, 12)).values() for name in run.actions}
    assert actions >= {
        "transmit",
        "overloadReply",
        "dropRequest",
        "unhold",
        "revoke",
        "ping",
        "defer",
    }
    assert "bailOut" not in actions


def float_constants(source: str) -> list[ast.Constant]:
    """Return the floats from 0.01 to below 10 in the values of a module's constants."""
    found = []
    for statement in ast.parse(source).body:
        if isinstance(statement, ast.Assign | ast.AnnAssign) and statement.value is not None:
            for node in ast.walk(statement.value):
                if (
                    isinstance(node, ast.Constant)
                    and isinstance(node.value, float)
                    and 0.01 <= node.value < 10
                ):
                    found.append(node)
    return found


def copy_with_changed_constant(folder: Path, path: str, constant: ast.Constant) -> None:
    """Copy the code to ``folder`` and increase this one constant by 1 %."""
    shutil.copytree(
        ROOT / "onyxpass", folder / "onyxpass", ignore=shutil.ignore_patterns("__pycache__")
    )
    lines = (folder / path).read_text().splitlines(keepends=True)
    line = lines[constant.lineno - 1]
    lines[constant.lineno - 1] = (
        f"{line[: constant.col_offset]}{constant.value * 1.01!r}{line[constant.end_col_offset :]}"
    )
    (folder / path).write_text("".join(lines))


def decision_files() -> list[str]:
    """Return the Python files that the deploy file lists under ``policy``."""
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    files = []
    for name in listed:
        path = ROOT / name
        files += [path] if path.is_file() else sorted(path.rglob("*.py"))
    return [str(path.relative_to(ROOT)) for path in files]


def test_half_of_the_constants_changed_by_one_percent_change_a_digest(tmp_path: Path) -> None:
    candidates = [
        (path, constant)
        for path in decision_files()
        for constant in float_constants((ROOT / path).read_text())
    ]
    candidates.sort(key=lambda item: (item[1].value, item[0], item[1].lineno, item[1].col_offset))
    chosen = candidates[:: max(1, len(candidates) // CHANGED_CONSTANTS)][:CHANGED_CONSTANTS]
    expected = json.loads(DIGESTS.read_text())
    detected = []
    for number, (path, constant) in enumerate(chosen):
        folder = tmp_path / str(number)
        copy_with_changed_constant(folder, path, constant)
        runs = run_seeds(SENSITIVITY_SEEDS, folder)
        if any(run.digest != expected[str(seed)] for seed, run in runs.items()):
            detected.append((path, constant.lineno))
    assert len(detected) >= CHANGED_CONSTANTS // 2, [
        (path, constant.lineno, constant.value) for path, constant in chosen
    ]
