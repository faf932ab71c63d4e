"""The control block of the fault library: which calls of a process fail from now on, and how.

The block is a small file that the process under test maps (``faults.c``), so faults begin and end
while it runs. Nothing here is loaded by a dispatcher.
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
VARIABLE = "ONYXPASS_FAULTS"
RULES = 32
SHORT_TRANSFER = -1  # in place of an errno: a read or write of one byte
UNLIMITED = -1
NS = 1_000_000_000


class SystemCall(IntEnum):
    """The calls that can be made to fail."""

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
    """``error``: an errno, or ``SHORT_TRANSFER``. ``times``: how often at most; negative:
    without end.
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
        ("left", ctypes.c_int32),
    )


class _Block(ctypes.Structure):
    _fields_ = (
        ("wall_offset_ns", ctypes.c_int64),
        ("send_delay_ns", ctypes.c_int64),
        ("seed", ctypes.c_uint64),
        ("draws", ctypes.c_uint64),
        ("forced", ctypes.c_uint64 * (len(SystemCall) + 1)),
        ("rules", _Rule * RULES),
    )


class NoCompilerError(RuntimeError):
    """There is no C compiler on this machine, so the library can't be built."""


def build_library(folder: Path) -> Path:
    """Compile the library into ``folder`` once; NoCompilerError where there is no ``cc``."""
    library = folder / "faults.so"
    if library.exists():
        return library
    if (compiler := shutil.which("cc")) is None:
        raise NoCompilerError("no C compiler (cc) was found")
    fresh = library.with_suffix(f".{os.getpid()}.new")
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(fresh), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    fresh.replace(library)
    return library


class FaultControl:
    """The faults of one process; its file must outlive the process."""

    def __init__(self, library: Path, path: Path, seed: int = 1) -> None:
        self.library, self.path = library, path
        path.write_bytes(bytes(ctypes.sizeof(_Block)))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), ctypes.sizeof(_Block))
        self._block = _Block.from_buffer(self._map)
        self._block.seed = seed

    @property
    def environment(self) -> Mapping[str, str]:
        """The variables that a child process needs to be under this control."""
        return {"LD_PRELOAD": str(self.library), VARIABLE: str(self.path)}

    def step_wall_clock(self, seconds: float) -> None:
        """Put the wall clock so far from the true time, at once; the monotonic clock runs on."""
        self._block.wall_offset_ns = round(seconds * NS)

    def delay_sends(self, seconds: float) -> None:
        """Hold the process up for so long before each write to a socket."""
        self._block.send_delay_ns = round(seconds * NS)

    def force(self, *faults: ForcedFault) -> None:
        """Just these calls fail from now on; those forced before do no more."""
        for rule in self._block.rules:
            rule.left = 0
        for rule, fault in zip(self._block.rules, faults, strict=False):
            rule.call, rule.error, rule.per_thousand = fault.call, fault.error, fault.per_thousand
            rule.left = fault.times

    def clear(self) -> None:
        """No fault at all; a stepped wall clock stays where it is."""
        self.force()
        self.delay_sends(0)

    def count(self, call: SystemCall) -> int:
        """How many of these calls have been made to fail so far."""
        return int(self._block.forced[call])
