"""The memory of this process, as the kernel counts it.

``resource.getrusage`` is no source for it: its peak is handed on through fork and exec, and so may
be that of the process that started this one.
"""

from pathlib import Path
from typing import NamedTuple

STATUS_PATH = Path("/proc/self/status")  # proc(5)


class ProcessMemory(NamedTuple):
    """Resident memory in KiB, with pages that other processes map as well; 0: unknown."""

    resident_kib: int = 0
    peak_resident_kib: int = 0  # since the start of the program


def read_process_memory() -> ProcessMemory:
    """Read the memory of this process; all 0 on a system that does not tell it."""
    try:
        rows = STATUS_PATH.read_text(encoding="ascii", errors="replace").splitlines()
    except OSError:
        return ProcessMemory()
    fields = dict(row.split(":", 1) for row in rows if row.startswith(("VmRSS:", "VmHWM:")))
    return ProcessMemory(_kib(fields.get("VmRSS")), _kib(fields.get("VmHWM")))


def _kib(field: str | None) -> int:
    """Return the number of a field such as ``23456 kB``."""
    number, *_ = (field or "0").split()
    return int(number)
