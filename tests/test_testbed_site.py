"""Sites of the testbed: their ports, and sites that do not start."""

import asyncio
import random
from pathlib import Path

import pytest

from onyxpass.testbed import process_trial as trial
from onyxpass.testbed import site


def test_two_servers_of_a_site_never_get_the_same_port(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a site that never serves: two of its servers had drawn the same port, which
    nobody listened on yet, and a test of rollouts waited for them until its time-out.
    """
    drawn = iter([20_001, 20_001, 20_001, 20_002, 20_001, 20_003])
    monkeypatch.setattr(site, "_chosen_ports", set())
    monkeypatch.setattr(random.SystemRandom, "randrange", lambda *_: next(drawn))
    monkeypatch.setattr(site.socket, "create_server", lambda address: _FakeSocket(address))
    ports = [site.free_port() for _ in range(3)]
    assert ports == [20_001, 20_002, 20_003]


class _FakeSocket:
    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address

    def __enter__(self) -> "_FakeSocket":
        return self

    def __exit__(self, *_: object) -> None:
        pass

    def getsockname(self) -> tuple[str, int]:
        return self.address


def test_a_trial_whose_instances_do_not_serve_says_so(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a time-out that doesn't tell what was missing: two instances share a port."""
    write_files = site.Site.write_files

    def write_files_with_one_port(self: site.Site) -> None:
        write_files(self)
        self.ports["d2"] = self.ports["d1"]
        self.write_instance_config("d2")
        self.write_agent_config(self.hosts[0])

    monkeypatch.setattr(site.Site, "write_files", write_files_with_one_port)
    monkeypatch.setattr(trial, "START_TIMEOUT_S", 3.0)

    async def scenario() -> None:
        async with trial.process_trial(tmp_path):
            pass

    with pytest.raises(trial.SiteNotServingError):
        asyncio.run(asyncio.wait_for(scenario(), 60))
