"""Files of the repository that must agree with each other, and imports that are not allowed."""

import tomllib
from pathlib import Path

from onyxpass import __version__

ROOT = Path(__file__).parent.parent


def test_requirements_version_and_deploy_file_agree() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert sorted(project["dependencies"]) == sorted(
        (ROOT / "requirements.txt").read_text().split()
    )
    assert project["version"] == __version__
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for path in (*deploy["policy"], *deploy["node"]):
        assert (ROOT / path).exists(), path
    assert {"run", "sim", "build"} <= set(deploy)


def test_the_core_imports_no_protocol_or_store() -> None:
    for path in (ROOT / "onyxpass" / "core").glob("*.py"):
        for line in path.read_text().splitlines():
            forbidden = ("onyxpass.net", "onyxpass.toolcalls", "onyxpass.store", "h11", "redis")
            assert not (
                line.startswith(("import ", "from "))
                and any(module in line for module in forbidden)
            ), (
                path,
                line,
            )
