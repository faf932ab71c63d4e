"""Helpers of the cases: programs of the project as processes, free ports, and the record."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
PYTHON = ROOT / ".venv" / "bin" / "python"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
PORTS = (15_000, 32_000)
STOP_S = 5.0  # for a process to end after SIGTERM


class CannotRunError(Exception):
    """The case could not run; nothing is said about the rule."""


def trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback address that nobody listens on, below the outgoing ports."""
    generator = random.SystemRandom()
    while True:
        with (
            contextlib.suppress(OSError),
            socket.create_server(("127.0.0.1", generator.randrange(*PORTS))) as sock,
        ):
            return int(sock.getsockname()[1])


def run_command() -> str:
    """Return the command of the deploy file that starts a dispatcher."""
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    return str(tomllib.loads(text)["run"])


def program(*words: str) -> str:
    """Return the shell command of another program, started as the deploy file starts its own."""
    start, found, _ = run_command().partition(" serve")
    if not found:
        raise CannotRunError("the deploy file's run command does not name serve")
    return " ".join([start, *words])


class Record:
    """Writes a case's ``record.txt``: one line an event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._began_s = time.monotonic()

    def __call__(self, what: str, **fields: Any) -> None:
        """Write one event."""
        rest = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {what} {rest}".rstrip() + "\n")


class Bench:
    """The temporary folder and the processes of one case; ``close`` ends and removes them all."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.instances: set[int] = set()  # processes that an agent of the case has started

    def start(
        self, name: str, command: str | list[str], env: Mapping[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a process from the project's root; its output goes to ``NAME.log``."""
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "ONYXPASS"))}
        kept.pop("PYTHONPATH", None)
        words = ["/bin/sh", "-c", command] if isinstance(command, str) else command
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={**kept, **(env or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process

    def start_standin(self, name: str, script: Path, *words: str) -> subprocess.Popen[bytes]:
        """Start a stand-in of the case, which may import this folder's modules."""
        path = {"PYTHONPATH": str(Path(__file__).parent)}
        return self.start(name, [sys.executable, str(script), *words], path)

    def log(self, name: str) -> str:
        """Return what a process has written so far."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def first_line(self, name: str) -> str:
        """Return the first line that a process writes."""
        for _ in range(200):
            line, found, _ = self.log(name).partition("\n")
            if found:
                return line.strip()
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{name} has not started")

    def close(self) -> None:
        """End all processes that were started here, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end_s = time.monotonic() + STOP_S
        for process in self.processes:
            try:
                process.wait(max(0.1, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for pid in self.instances:  # left by an agent that was killed
            command = Path(f"/proc/{pid}/cmdline")
            if command.exists() and str(self.folder).encode() in command.read_bytes():
                os.kill(pid, signal.SIGKILL)
        shutil.rmtree(self.folder, ignore_errors=True)


def peak_memory_kb(pid: int) -> int:
    """Return the largest resident size that a running process has had, in KB; 0 if it is gone."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) for line in lines if line.startswith("VmHWM")), 0)
