"""Processes, identified unambiguously by process id, start time and boot.

A ``Process`` owns a ``pidfd``, so a signal can never reach another process that has been given the
same process id. A process that an earlier agent left running is adopted only if its identity is
the stored one.
"""

import asyncio
import contextlib
import os
import signal
import subprocess
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from onyxpass import reload_signal

MAX_LOG_BYTES = 16 * 1024 * 1024  # of an instance's log; one older part of it is kept
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
START_TIME_FIELD = 19  # index in /proc/PID/stat, after the parenthesized command name
LOG_OPEN_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
ENDED_STATES = "ZX"  # process states in /proc/PID/stat: zombie and dead


def boot_id() -> str:
    """Return the id of this boot; process ids and start times are only valid within one boot."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Identifies one process; ``ticks`` is its start time in clock ticks since ``boot``."""

    pid: int
    ticks: int
    boot: str

    @property
    def age_s(self) -> float:
        """Seconds since the process started, by a clock that can't be set."""
        return max(0.0, time.clock_gettime(time.CLOCK_BOOTTIME) - self.ticks / CLOCK_TICKS_PER_S)


def identify(pid: int) -> ProcessIdentity | None:
    """Return the identity of the process with this id; None if none runs, or only a zombie."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None
    # The command name in parentheses may contain any character.
    fields = text.rpartition(")")[2].split()
    if fields[0] in ENDED_STATES:
        return None
    return ProcessIdentity(pid, int(fields[START_TIME_FIELD]), boot_id())


def find_by_environment(variable: str, value: str) -> ProcessIdentity | None:
    """Return the process that has ``variable=value`` in its environment, if one runs.

    Finds a process whose identity was not stored before its agent was killed.
    """
    entry = f"{variable}={value}".encode()
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            if entry in (folder / "environ").read_bytes().split(b"\0"):
                return identify(int(folder.name))
        except OSError:  # the process belongs to another user, or has ended meanwhile
            continue
    return None


class Process:
    """A process that was started here or adopted; ``wait`` must be called once to release it."""

    def __init__(
        self, identity: ProcessIdentity, pidfd: int, child: subprocess.Popen[bytes] | None
    ) -> None:
        self.identity = identity
        self.pidfd = pidfd
        self.child = child  # None if the process was adopted

    @property
    def pid(self) -> int:
        """The process id."""
        return self.identity.pid

    @classmethod
    def launch(cls, command: Sequence[str], env: Mapping[str, str], log: Path | None) -> "Process":
        """Start a process in a new session, with its output in ``log`` if that is given.

        Raises ``OSError`` if it can't be started. The new session prevents an instance from ending
        with the agent's terminal.
        """
        with contextlib.ExitStack() as resources:
            output = None
            if log is not None:
                log.parent.mkdir(parents=True, exist_ok=True)
                output = os.open(log, LOG_OPEN_FLAGS, 0o600)
                resources.callback(os.close, output)
            resources.enter_context(reload_signal.blocked_for_child())
            child = subprocess.Popen(
                list(command),
                env=dict(env),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT if output is not None else None,
                start_new_session=True,
            )
        pidfd = os.pidfd_open(child.pid)
        return cls(identify(child.pid) or ProcessIdentity(child.pid, 0, boot_id()), pidfd, child)

    @classmethod
    def adopt(cls, identity: ProcessIdentity) -> "Process | None":
        """Adopt a running process; None if it has ended or no pidfd of it can be opened."""
        try:
            pidfd = os.pidfd_open(identity.pid)
        except OSError:
            return None
        # Compared after the pidfd is open, so a match proves that the pidfd is of this process.
        if identify(identity.pid) != identity:
            os.close(pidfd)
            return None
        return cls(identity, pidfd, None)

    def send(self, number: signal.Signals) -> None:
        """Send a signal; raises ``ProcessLookupError`` once the process has ended."""
        signal.pidfd_send_signal(self.pidfd, number)

    async def wait(self) -> int | None:
        """Wait for the process to end and close its pidfd.

        Returns the exit code, or None if the process was adopted.
        """
        loop = asyncio.get_running_loop()
        ended = asyncio.Event()
        loop.add_reader(self.pidfd, ended.set)
        try:
            await ended.wait()
        finally:
            loop.remove_reader(self.pidfd)
        code = self.child.wait() if self.child is not None else None
        os.close(self.pidfd)
        return code


def rotate_log(log: Path, max_bytes: int = MAX_LOG_BYTES) -> None:
    """Empty a log that exceeds ``max_bytes``; its last ``max_bytes`` become the one older part."""
    try:
        if log.stat().st_size > max_bytes:
            older = log.with_suffix(".log.1")
            older.write_bytes(log.read_bytes()[-max_bytes:])
            # The process has the log open for appending, so its next write goes to the new end.
            os.truncate(log, 0)
    except FileNotFoundError:
        return
