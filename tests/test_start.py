"""A start: what is loaded and asked of the system, and what a dispatcher costs that has nothing
to do.
"""

import asyncio
import json
import os
import re
import selectors
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest
from test_program import ROOT, small_site
from world import ask

from onyxpass.core import event_loop
from onyxpass.core.clock import Clock
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.hot_restart.process_registry import ProcessRegistry
from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router
from onyxpass.start import UNUSED_MODULES, blocked_imports

# What a host may refuse to a dispatcher. Starting programs ends it at once with exit code 97, so
# that no
# handler of ours can hide it; a Unix socket by its path is refused as such a host does.
GUARD = """
import os, runpy, sys
def guard(event, args):
    if event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen"):
        os.write(2, f"refused: {event}\\n".encode())
        os._exit(97)
    if event in ("socket.bind", "socket.connect") and isinstance(args[1], (str, bytes)):
        os.write(2, b"a Unix socket\\n")
        raise OSError(97, "Address family not supported by protocol")
sys.addaudithook(guard)
sys.argv = ["onyxpass", *sys.argv[1:]]
runpy.run_module("onyxpass", run_name="__main__")
"""


def test_run_ends_in_one_process_that_needs_no_shell() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for key in ("run", "sim"):
        assert re.fullmatch(r"exec \.venv/bin/python -m onyxpass[a-z_. ]*", deploy[key]), key
    assert deploy["run"].endswith(" serve"), "with nothing to parse: the short way in"
    assert "compileall" in deploy["build"], "nothing can be written once it runs"


def guarded(path: Path, folder: Path, script: str, *words: str) -> "subprocess.Popen[str]":
    environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    environ |= {"ROUTER_CONFIG": str(path), "TMPDIR": str(folder)}
    return subprocess.Popen(
        [sys.executable, "-c", script, *words],
        cwd=ROOT, env=environ, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip


def test_serve_starts_no_program_and_needs_no_unix_socket(tmp_path: Path) -> None:
    async def go() -> None:
        discovery, reader, writer, path = await small_site(tmp_path)
        process = await asyncio.to_thread(guarded, path, tmp_path, GUARD, "serve")
        assert process.stdout is not None
        seen: dict[str, int] = {}
        while not {"listening", "list"} <= seen.keys():
            line = json.loads(await asyncio.to_thread(process.stdout.readline))
            seen[line["event"]] = int(str(line.get("listen", "0")).rpartition(":")[2])
        source, sink = await asyncio.open_connection("127.0.0.1", seen["listening"])
        sink.write(ask("a1", "a"))
        assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        process.send_signal(signal.SIGTERM)
        _, told = await asyncio.to_thread(process.communicate)
        assert process.returncode == 0, told
        assert "a Unix socket" in told, "the guard is at work, and what it refused was not needed"
        sink.close()
        for part in (discovery, reader, writer):
            await part.stop()

    asyncio.run(asyncio.wait_for(go(), 60))


def test_the_guard_sees_a_program_that_is_started(tmp_path: Path) -> None:
    planted = GUARD.replace(
        "runpy.run_module", "import subprocess; subprocess.run(['true']); runpy.run_module"
    )
    process = guarded(tmp_path / "none.json", tmp_path, planted, "serve")
    _, told = process.communicate(timeout=30)
    assert process.returncode == 97 and "subprocess.Popen" in told


def test_serve_loads_nothing_that_it_does_not_use(tmp_path: Path) -> None:
    script = GUARD.replace(
        'runpy.run_module("onyxpass", run_name="__main__")',
        "import atexit; atexit.register(lambda: print('\\n'.join(sys.modules)))\n"
        'runpy.run_module("onyxpass", run_name="__main__")',
    )
    process = guarded(tmp_path / "none.json", tmp_path, script, "serve")
    loaded, told = process.communicate(timeout=30)
    assert process.returncode == 2 and told.startswith("onyxpass: ") and told.count("\n") == 1, told
    loaded_now = set(loaded.split())
    assert "onyxpass.serve" in loaded_now, "it got as far as its configuration"
    heavy = {
        *UNUSED_MODULES,
        "typer",
        "pydantic",
        "redis",
        "statistics",
        "importlib.metadata",
        "email",
        "tomllib",
    }
    assert not heavy & loaded_now


def test_what_was_left_out_can_be_loaded_later() -> None:
    sys.modules.pop("symtable", None)
    with blocked_imports("symtable", "json"):
        with pytest.raises(ImportError):
            __import__("symtable")
        assert __import__("json") is json, "what is there stays"
    assert __import__("symtable").symtable


def test_a_bad_level_is_told_in_one_line() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "onyxpass", "serve", "--log-level", "loud"],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2 and "Traceback" not in done.stderr


def test_the_loop_finds_what_is_ready_at_every_look_and_knows_since_when_it_may_be_there() -> None:
    selector = event_loop.TimedSelector()
    ours, theirs = socket.socketpair()
    selector.register(ours, selectors.EVENT_READ)
    theirs.send(b"x")
    for _ in range(8):
        before_ns = time.monotonic_ns()
        assert selector.select(0), "also while calls are ready"
        assert selector.unseen_since_ns <= before_ns, "it came at some time since the look before"
    ours.recv(1)
    waited_from_ns = time.monotonic_ns()
    assert not selector.select(0.02)
    assert selector.unseen_since_ns > waited_from_ns, "it had to wait till the end of this look"
    selector.close()
    for sock in (ours, theirs):
        sock.close()


def test_the_module_asks_for_no_ticks_while_there_is_nothing_to_look_at() -> None:
    kinds = (
        contract.ServerKind("r", contract.Role.PREFILL, 200_000),
        contract.ServerKind("w", contract.Role.DECODE, 150_000),
    )
    settings = contract.Settings(
        classes=(contract.TrafficClass("a", 1_500_000, 6_000_000),), kinds=kinds
    )
    router = Router(settings)

    def ticks(actions: list[contract.Action]) -> int:
        return sum(isinstance(action, contract.SetTimer) for action in actions)

    fleet = (contract.Endpoint("r1", "r"), contract.Endpoint("w1", "w"))
    assert (
        ticks(
            router.handle(0, contract.EndpointUpdate(contract.EndpointUpdateForm.PERSISTED, fleet))
        )
        == 1
    )
    assert ticks(router.handle(50_000, contract.TimerFired(0))) == 0, "nothing to look at"
    ask_one = contract.Arrival(1, "a", "s", deadline_us=5_000_000, prompt_tokens=900, max_tokens=50)
    assert ticks(router.handle(60_000, ask_one)) == 1
    assert ticks(router.handle(110_000, contract.TimerFired(0))) == 1, "a request is out"
    assert (
        ticks(
            router.handle(
                120_000,
                contract.AttemptOutcome(
                    1, 0, "r1", contract.AttemptStatus.TIMED_OUT, 60_000, final=True
                ),
            )
        )
        == 0
    )
    assert ticks(router.handle(160_000, contract.TimerFired(0))) == 1, (
        "a server that is put aside is to come back"
    )


def test_alone_in_an_unchanged_folder_nothing_is_listed(tmp_path: Path) -> None:
    clock = Clock()
    wheel = TimerWheel(clock)
    one, other = (ProcessRegistry(tmp_path, "n0", 100, wheel) for _ in range(2))
    looks: list[None] = []
    one.start()
    look, one.refresh = one.refresh, lambda: (looks.append(None), look())[1]  # type: ignore[method-assign, func-returns-value]
    for _ in range(10):
        one._refresh_if_changed()
    assert len(looks) <= 1, "its own file may still be news"
    other.start()
    one._refresh_if_changed()
    assert [o.name for o in one.others] == [other.name], "a newcomer is seen at the next look"
    for process in (one, other):
        process.end()
