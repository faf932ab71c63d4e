"""Signals in the first moments of a program, and in the last ones.

Guards against an exit code of -1: a SIGHUP that came once the event loop had closed met the default
action, although every request had its answer.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from onyxpass.agent.credentials import make_key
from onyxpass.agent.process import Process
from tests.support.black_box import clean_environment, dispatcher_file

# Sends SIGTERM soon after the start, and more signals once the event loop has closed.
PROGRAM_WITH_LATE_SIGNALS = """
import asyncio.unix_events, os, signal, sys
loop_type = asyncio.SelectorEventLoop
close_loop = loop_type.close

def send(number):
    os.kill(os.getpid(), number)

def close_and_send(self):
    was_closed = self.is_closed()
    close_loop(self)
    if not was_closed:
        print("late signals", file=sys.stderr)
        for number in LATE_SIGNALS:
            send(number)

class Stopper(asyncio.Event):
    def __init__(self):
        super().__init__()
        asyncio.get_running_loop().call_later(1.0, send, signal.SIGTERM)
        asyncio.Event = plain_event

plain_event, asyncio.Event = asyncio.Event, Stopper
loop_type.close = close_and_send
from onyxpass.start import main
sys.exit(main())
"""
TOOLCALLS_FILE = """
name = "front-1"
listen = "127.0.0.1:0"
[store]
url = "redis://127.0.0.1:1/0"
[tools]
address = "127.0.0.1:1"
[[servers]]
id = "reader-1"
kind = "reader"
address = "127.0.0.1:1"
[settings]
hostTypes = ["reader", "writer"]
grades = [{ name = "part-lookup", promiseUs = 1200000, deadlineUs = 6000000, repeat = "read_like" }]
extra = { roleByKind = ["read", "write"] }
"""
AGENT_FILE = """
name = "h1"
state = "state"
[[instances]]
name = "d1"
kind = "serve"
config = "serve.json"
"""
NODE_FILE = """
name = "n1"
role = "control"
listen = "127.0.0.1:0"
key = "fleet.key"
folder = "node"
upstreams = []
"""
COMMANDS = {
    "serve": (),
    "toolcalls": ("--config", "toolcalls.toml"),
    "agent": ("run", "--config", "agent.toml"),
    "desired": ("run", "--config", "node.toml"),
}


def write_files(folder: Path) -> dict[str, str]:
    """Write the files of all programs; return the variables that ``serve`` needs."""
    config = dispatcher_file("d1", "127.0.0.1:0", "127.0.0.1:1")
    (folder / "serve.json").write_text(json.dumps(config))
    (folder / "toolcalls.toml").write_text(TOOLCALLS_FILE)
    (folder / "agent.toml").write_text(AGENT_FILE)
    (folder / "node.toml").write_text(NODE_FILE)
    make_key(folder / "fleet.key")
    return {"ROUTER_CONFIG": str(folder / "serve.json")}


def run_program(
    folder: Path, command: str, late_signals: str
) -> "subprocess.CompletedProcess[str]":
    program = PROGRAM_WITH_LATE_SIGNALS.replace("LATE_SIGNALS", late_signals)
    done = subprocess.run(
        [sys.executable, "-c", program, command, *COMMANDS[command]],
        cwd=folder,
        env=clean_environment(folder, write_files(folder)),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert "late signals" in done.stderr, done
    return done


@pytest.mark.parametrize("command", COMMANDS)
def test_signals_after_the_end_of_a_stop_do_not_change_the_exit_code(
    tmp_path: Path, command: str
) -> None:
    late_signals = "(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)"
    done = run_program(tmp_path, command, late_signals)
    assert done.returncode == 0, done


def test_the_planted_signals_are_delivered(tmp_path: Path) -> None:
    """The check above would miss nothing: a signal that no program handles ends this one."""
    done = run_program(tmp_path, "serve", "(signal.SIGUSR1,)")
    assert done.returncode == -10, done


# Sends SIGHUP from the first import that the program makes on, until it has its handlers.
PROGRAM_WITH_EARLY_SIGNALS = """
import os, signal, sys, time
from onyxpass import start

class Sender:
    def __init__(self):
        self.begun = False

    def find_spec(self, name, path=None, target=None):
        os.kill(os.getpid(), signal.SIGHUP)
        if not self.begun:
            self.begun = True
            if os.fork() == 0:
                send(os.getppid())

def send(program):
    for _ in range(40):
        time.sleep(0.02)
        os.kill(program, signal.SIGHUP)
    print("early signals", file=sys.stderr, flush=True)
    time.sleep(1.0)
    os.kill(program, signal.SIGTERM)
    os._exit(0)

sys.meta_path.insert(0, Sender())
sys.exit(start.main())
"""


@pytest.mark.parametrize("command", COMMANDS)
def test_signals_during_the_start_do_not_end_a_program(tmp_path: Path, command: str) -> None:
    """Guards against exit code -1 of a process that was told to reload while it was starting."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM_WITH_EARLY_SIGNALS, command, *COMMANDS[command]],
        cwd=tmp_path,
        env=clean_environment(tmp_path, write_files(tmp_path)),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0 and "early signals" in done.stderr, done


@pytest.mark.parametrize("command", ["serve", "toolcalls"])
def test_a_signal_at_the_birth_of_an_instance_does_not_end_it(tmp_path: Path, command: str) -> None:
    """Guards against the same before the interpreter runs, for processes that an agent starts."""
    environment = clean_environment(tmp_path, write_files(tmp_path))
    environment["PYTHONPATH"] = str(Path(__file__).parent.parent)
    arguments = [argument.replace("too", str(tmp_path / "too")) for argument in COMMANDS[command]]
    command_line = [sys.executable, "-m", "onyxpass", command, *arguments]
    log = tmp_path / "log"
    process = Process.launch(command_line, environment, log)
    try:
        deadline_s = time.monotonic() + 30
        while b'"listening"' not in log.read_bytes() and time.monotonic() < deadline_s:
            os.kill(process.identity.pid, signal.SIGHUP)
            time.sleep(0.002)
        while b'"reloaded"' not in log.read_bytes() and time.monotonic() < deadline_s:
            time.sleep(0.01)
        assert b'"reloaded"' in log.read_bytes(), log.read_text()
    finally:
        os.kill(process.identity.pid, signal.SIGKILL)
