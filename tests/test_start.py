"""The start of a dispatcher: imported modules, system calls, and the cost of an idle dispatcher."""

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
from cluster import chat_request
from test_program import ROOT, small_site

from onyxpass.core import event_loop
from onyxpass.core.clock import Clock
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.hot_restart.process_registry import ProcessRegistry
from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router
from onyxpass.start import UNUSED_MODULES, blocked_imports

# Simulates a host that does not allow a dispatcher to start programs or use Unix sockets. Starting a
# program ends the process with exit code 97, so that no exception handler can hide it; a Unix socket
# by path fails with the error of such a host.
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


def test_the_run_commands_exec_python_without_a_shell() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for key in ("run", "sim"):
        assert re.fullmatch(r"exec \.venv/bin/python -m onyxpass[a-z_. ]*", deploy[key]), key
    assert deploy["run"].endswith(" serve"), "without arguments, for the fast start"
    assert "compileall" in deploy["build"], "no files can be written once it runs"


def start_guarded(
    path: Path, folder: Path, script: str, *arguments: str
) -> "subprocess.Popen[str]":
    environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
    environ |= {"ROUTER_CONFIG": str(path), "TMPDIR": str(folder)}
    return subprocess.Popen(
        [sys.executable, "-c", script, *arguments],
        cwd=ROOT, env=environ, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip


def test_serve_starts_no_program_and_needs_no_unix_socket(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery, reader, writer, path = await small_site(tmp_path)
        process = await asyncio.to_thread(start_guarded, path, tmp_path, GUARD, "serve")
        assert process.stdout is not None
        seen: dict[str, int] = {}
        while not {"listening", "list"} <= seen.keys():
            line = json.loads(await asyncio.to_thread(process.stdout.readline))
            seen[line["event"]] = int(str(line.get("listen", "0")).rpartition(":")[2])
        source, sink = await asyncio.open_connection("127.0.0.1", seen["listening"])
        sink.write(chat_request("a1", "a"))
        assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        process.send_signal(signal.SIGTERM)
        _, stderr = await asyncio.to_thread(process.communicate)
        assert process.returncode == 0, stderr
        assert "a Unix socket" in stderr, "the guard refused a Unix socket, which was not needed"
        sink.close()
        for part in (discovery, reader, writer):
            await part.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_the_guard_detects_the_start_of_a_program(tmp_path: Path) -> None:
    planted = GUARD.replace(
        "runpy.run_module", "import subprocess; subprocess.run(['true']); runpy.run_module"
    )
    process = start_guarded(tmp_path / "none.json", tmp_path, planted, "serve")
    _, stderr = process.communicate(timeout=30)
    assert process.returncode == 97 and "subprocess.Popen" in stderr


def test_serve_imports_no_unused_modules(tmp_path: Path) -> None:
    script = GUARD.replace(
        'runpy.run_module("onyxpass", run_name="__main__")',
        "import atexit; atexit.register(lambda: print('\\n'.join(sys.modules)))\n"
        'runpy.run_module("onyxpass", run_name="__main__")',
    )
    process = start_guarded(tmp_path / "none.json", tmp_path, script, "serve")
    loaded, stderr = process.communicate(timeout=30)
    assert (
        process.returncode == 2 and stderr.startswith("onyxpass: ") and stderr.count("\n") == 1
    ), stderr
    modules = set(loaded.split())
    assert "onyxpass.serve" in modules, "the start reached the configuration"
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
    assert not heavy & modules


def test_a_blocked_module_can_be_imported_later() -> None:
    sys.modules.pop("symtable", None)
    with blocked_imports("symtable", "json"):
        with pytest.raises(ImportError):
            __import__("symtable")
        assert __import__("json") is json, "a loaded module stays"
    assert __import__("symtable").symtable


def test_a_bad_log_level_is_reported_without_a_traceback() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "onyxpass", "serve", "--log-level", "loud"],
        cwd=ROOT, capture_output=True, text=True, timeout=30,
    )  # fmt: skip
    assert done.returncode == 2 and "Traceback" not in done.stderr


def test_the_loop_finds_ready_sockets_at_every_poll_and_bounds_when_they_became_ready() -> None:
    selector = event_loop.TimedSelector()
    receiver, sender = socket.socketpair()
    selector.register(receiver, selectors.EVENT_READ)
    sender.send(b"x")
    for _ in range(8):
        before_ns = time.monotonic_ns()
        assert selector.select(0), "ready sockets are found also while callbacks are ready"
        assert selector.unseen_since_ns <= before_ns, "it became ready after the previous poll"
    receiver.recv(1)
    waited_from_ns = time.monotonic_ns()
    assert not selector.select(0.02)
    assert selector.unseen_since_ns > waited_from_ns, "nothing was ready until the end of this poll"
    selector.close()
    for sock in (receiver, sender):
        sock.close()


def test_the_router_sets_no_timer_while_it_has_nothing_to_check() -> None:
    kinds = (
        contract.ServerKind("r", contract.Role.PREFILL, 200_000),
        contract.ServerKind("w", contract.Role.DECODE, 150_000),
    )
    settings = contract.Settings(
        classes=(contract.TrafficClass("a", 1_500_000, 6_000_000),), kinds=kinds
    )
    router = Router(settings)

    def timers(actions: list[contract.Action]) -> int:
        return sum(isinstance(action, contract.SetTimer) for action in actions)

    fleet = (contract.Endpoint("r1", "r"), contract.Endpoint("w1", "w"))
    assert (
        timers(
            router.handle(0, contract.EndpointUpdate(contract.EndpointUpdateForm.PERSISTED, fleet))
        )
        == 1
    )
    assert timers(router.handle(50_000, contract.TimerFired(0))) == 0, "nothing to check"
    arrival = contract.Arrival(1, "a", "s", deadline_us=5_000_000, prompt_tokens=900, max_tokens=50)
    assert timers(router.handle(60_000, arrival)) == 1
    assert timers(router.handle(110_000, contract.TimerFired(0))) == 1, "a request is open"
    assert (
        timers(
            router.handle(
                120_000,
                contract.AttemptOutcome(
                    1, 0, "r1", contract.AttemptStatus.TIMED_OUT, 60_000, final=True
                ),
            )
        )
        == 0
    )
    assert timers(router.handle(160_000, contract.TimerFired(0))) == 1, (
        "an ejected server is to be readmitted"
    )


def test_a_single_process_does_not_list_an_unchanged_folder(tmp_path: Path) -> None:
    clock = Clock()
    wheel = TimerWheel(clock)
    one, other = (ProcessRegistry(tmp_path, "n0", 100, wheel) for _ in range(2))
    refreshes: list[None] = []
    one.start()
    refresh, one.refresh = one.refresh, lambda: (refreshes.append(None), refresh())[1]  # type: ignore[method-assign, func-returns-value]
    for _ in range(10):
        one._refresh_if_changed()
    assert len(refreshes) <= 1, "its own file may still count as a change"
    other.start()
    one._refresh_if_changed()
    assert [o.name for o in one.others] == [other.name], "a new process is found at the next check"
    for process in (one, other):
        process.end()
