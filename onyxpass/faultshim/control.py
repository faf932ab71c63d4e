"""The control block of the fault library: which system calls of a process fail, and how.

The block is a small file that the process under test maps (``faults.c``), so that faults can begin
and end while it runs. A dispatcher does not import this module.
"""

import ctypes
import errno
import mmap
import os
import shutil
import subprocess
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
CONTROL_FILE_VARIABLE = "ONYXPASS_FAULTS"
MAX_RULES = 32
SHORT_TRANSFER = -1  # in place of an errno: the call transfers one byte
UNLIMITED = -1  # for ``ForcedFault.times``
NS_PER_S = 1_000_000_000


class SystemCall(IntEnum):
    """The system calls that can be forced to fail."""

    ACCEPT = 1
    CONNECT = 2
    SOCKET = 3
    RECEIVE = 4
    SEND = 5
    WAIT = 6
    WRITE = 7  # to regular files
    SYNC = 8
    RENAME = 9


@dataclass(frozen=True, slots=True)
class ForcedFault:
    """A fault of one system call.

    ``error`` is an errno or ``SHORT_TRANSFER``. Each call fails with a probability of
    ``per_thousand`` / 1000, up to ``times`` calls in all; a negative number sets no bound.
    """

    call: SystemCall
    error: int
    per_thousand: int = 1000
    times: int = UNLIMITED

    def __str__(self) -> str:
        name = (
            "SHORT"
            if self.error == SHORT_TRANSFER
            else errno.errorcode.get(self.error, str(self.error))
        )
        return f"{self.call.name.lower()} {name} {self.per_thousand / 10:g}%"


class _Rule(ctypes.Structure):
    _fields_ = (
        ("call", ctypes.c_uint32),
        ("error", ctypes.c_int32),
        ("per_thousand", ctypes.c_uint32),
        ("remaining", ctypes.c_int32),
    )


class _Block(ctypes.Structure):
    _fields_ = (
        ("wall_offset_ns", ctypes.c_int64),
        ("send_delay_ns", ctypes.c_int64),
        ("seed", ctypes.c_uint64),
        ("draws", ctypes.c_uint64),
        ("forced", ctypes.c_uint64 * (len(SystemCall) + 1)),
        ("rules", _Rule * MAX_RULES),
    )


class NoCompilerError(RuntimeError):
    """There is no C compiler on this machine, so the library cannot be built."""


def build_library(folder: Path) -> Path:
    """Compile the library into ``folder``, unless it is there, and return its path.

    Raises NoCompilerError if there is no ``cc``.
    """
    library = folder / "faults.so"
    if library.exists():
        return library
    if (compiler := shutil.which("cc")) is None:
        raise NoCompilerError("no C compiler (cc) was found")
    temporary = library.with_suffix(f".{os.getpid()}.new")
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(temporary), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    temporary.replace(library)
    return library


class FaultControl:
    """Controls the faults of one process; the file of the block must outlive the process."""

    def __init__(self, library: Path, path: Path, seed: int = 1) -> None:
        self.library, self.path = library, path
        path.write_bytes(bytes(ctypes.sizeof(_Block)))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), ctypes.sizeof(_Block))
        self._block = _Block.from_buffer(self._map)
        self._block.seed = seed

    @property
    def environment(self) -> Mapping[str, str]:
        """The environment variables that put a child process under this control."""
        return {"LD_PRELOAD": str(self.library), CONTROL_FILE_VARIABLE: str(self.path)}

    def step_wall_clock(self, seconds: float) -> None:
        """Set the offset of the wall clock from the true time; the monotonic clock is unaffected."""
        self._block.wall_offset_ns = round(seconds * NS_PER_S)

    def delay_sends(self, seconds: float) -> None:
        """Delay each send on a network socket by this time, which blocks the calling thread."""
        self._block.send_delay_ns = round(seconds * NS_PER_S)

    def force(self, *faults: ForcedFault) -> None:
        """Force these faults from now on, in place of all earlier ones."""
        for rule in self._block.rules:
            rule.remaining = 0
        for rule, fault in zip(self._block.rules, faults, strict=False):
            rule.call, rule.error, rule.per_thousand = fault.call, fault.error, fault.per_thousand
            rule.remaining = fault.times

    def clear(self) -> None:
        """End all forced faults and delays; the offset of the wall clock stays."""
        self.force()
        self.delay_sends(0)

    def count(self, call: SystemCall) -> int:
        """Return how many of these calls have been forced to fail so far."""
        return int(self._block.forced[call])
