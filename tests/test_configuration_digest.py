"""A configuration has the same digest in every version, since processes of two versions compare it."""

import json
from pathlib import Path

from onyxpass.agent.config import InstanceSpec
from onyxpass.agent.expected_config import expected_digest
from tests.support.black_box import ROOT, dispatcher_file

DISPATCHER_DIGEST = "f0a7049ebae1211a24c60cbd"  # computed by an earlier version
TOOLCALLS_DIGEST = "66f667276bf67e5d06d9fbe1"


def test_a_dispatchers_configuration_digest_is_that_of_earlier_versions(tmp_path: Path) -> None:
    path = tmp_path / "n1.json"
    path.write_text(json.dumps(dispatcher_file("n1", "127.0.0.1:7400", "127.0.0.1:7401")))
    spec = InstanceSpec("n1", (), kind="serve", config=path)
    assert expected_digest(spec, environ={}) == DISPATCHER_DIGEST


def test_the_tool_call_services_configuration_digest_is_that_of_earlier_versions() -> None:
    spec = InstanceSpec("t1", (), kind="toolcalls", config=ROOT / "deploy" / "toolcalls.toml")
    assert expected_digest(spec, environ={}) == TOOLCALLS_DIGEST
