"""Processes, identified for certain: by process id, start time and boot.

A ``Process`` owns a descriptor of its process (``pidfd``), so a signal can never reach another one
that has been given its number. A process that a dead agent left running is adopted by its
identity, and only by that.
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

MAX_LOG_BYTES = 16 * 1024 * 1024  # of an instance's log; one older part of it stays
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
START_TIME_FIELD = 19  # of /proc/PID/stat, counted after the name in brackets
LOG_OPEN_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
ENDED_STATES = "ZX"  # of /proc/PID/stat: a zombie, dead


def boot_id() -> str:
    """Return the id of this boot; process ids and start times mean nothing beyond it."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Names one process; ``ticks`` is its start in clock ticks since ``boot``."""

    pid: int
    ticks: int
    boot: str

    @property
    def age_s(self) -> float:
        """Seconds since its start, by a clock that nobody sets."""
        return max(0.0, time.clock_gettime(time.CLOCK_BOOTTIME) - self.ticks / CLOCK_TICKS_PER_S)


def identify(pid: int) -> ProcessIdentity | None:
    """Return the identity of the process under this id; None if none runs, or only a zombie."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None
    fields = text.rpartition(")")[2].split()  # the name in brackets may hold anything
    if fields[0] in ENDED_STATES:
        return None
    return ProcessIdentity(pid, int(fields[START_TIME_FIELD]), boot_id())


def find_by_environment(variable: str, launch: str) -> ProcessIdentity | None:
    """Return the process that has ``variable=launch`` in its environment, if one runs.

    Finds a process whose id could not be recorded in time.
    """
    entry = f"{variable}={launch}".encode()
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            if entry in (folder / "environ").read_bytes().split(b"\0"):
                return identify(int(folder.name))
        except OSError:  # another user's, or gone meanwhile
            continue
    return None


class Process:
    """A process that was started here or adopted; ``wait`` must be called once to free it."""

    def __init__(
        self, identity: ProcessIdentity, descriptor: int, child: subprocess.Popen[bytes] | None
    ) -> None:
        self.identity = identity
        self.pidfd = descriptor
        self.child = child  # None where it was another process's child

    @property
    def pid(self) -> int:
        """The process id."""
        return self.identity.pid

    @classmethod
    def launch(cls, command: Sequence[str], env: Mapping[str, str], log: Path | None) -> "Process":
        """Start a process with a session and, if ``log`` is given, a log file of its own.

        ``OSError`` if it can't be started. The session of its own prevents an instance from
        ending with its agent's terminal.
        """
        with contextlib.ExitStack() as resources:
            output = None
            if log is not None:
                log.parent.mkdir(parents=True, exist_ok=True)
                output = os.open(log, LOG_OPEN_FLAGS, 0o600)
                resources.callback(os.close, output)
            child = subprocess.Popen(
                list(command),
                env=dict(env),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT if output is not None else None,
                start_new_session=True,
            )
        descriptor = os.pidfd_open(child.pid)
        return cls(
            identify(child.pid) or ProcessIdentity(child.pid, 0, boot_id()), descriptor, child
        )

    @classmethod
    def adopt(cls, identity: ProcessIdentity) -> "Process | None":
        """Adopt a process that runs already; None if that very process has ended."""
        try:
            descriptor = os.pidfd_open(identity.pid)
        except OSError:
            return None
        # Compared after the descriptor is open: from here on the id can't be used again.
        if identify(identity.pid) != identity:
            os.close(descriptor)
            return None
        return cls(identity, descriptor, None)

    def send(self, number: signal.Signals) -> None:
        """Send a signal; ``ProcessLookupError`` once the process has ended."""
        signal.pidfd_send_signal(self.pidfd, number)

    async def wait(self) -> int | None:
        """Wait for its end and free its descriptor.

        Returns its exit code, or None where another process was its parent.
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
    """Start a log over once it is too long; its last ``max_bytes`` become the one older part."""
    try:
        if log.stat().st_size > max_bytes:
            older = log.with_suffix(".log.1")
            older.write_bytes(log.read_bytes()[-max_bytes:])
            os.truncate(log, 0)  # its writer appends, so goes on at the new end
    except FileNotFoundError:
        return
