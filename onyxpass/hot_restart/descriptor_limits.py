"""Splits one limit of descriptors among the processes of a dispatcher. Holds no state.

An older process yields the descriptors that it does not hold, but keeps half of the total until it
stops. A younger one uses what the older ones have published as yielded, and at least the total
divided by ``MIN_SHARE_DIVISOR``. So two processes never hold much more than one alone may.
"""

from collections.abc import Sequence
from pathlib import Path

from onyxpass.hot_restart.process_files import OtherProcess

MIN_SHARE_DIVISOR = 6  # a process may always hold the total divided by this
RESERVED_DESCRIPTORS = 4  # kept by an older process beyond those that are open now
OWN_DESCRIPTORS = Path("/proc/self/fd")


def descriptor_limit(
    total: int, current: int, own_name: str, others: Sequence[OtherProcess], *, stopping: bool
) -> int:
    """Return how many descriptors this process may hold.

    ``total`` is the limit of all processes together, ``current`` the present limit of this one.
    """
    if not others:
        return total
    minimum = total // MIN_SHARE_DIVISOR
    older = [process for process in others if process.name < own_name]
    if older:
        return max(minimum, total - sum(_limit_of(process, total) for process in older))
    not_yielded = max(_open_descriptors(total), 0 if stopping else total // 2)
    return max(minimum, min(current, not_yielded))


def _limit_of(process: OtherProcess, total: int) -> int:
    """Return the limit of another process: the total until it has published one."""
    published = process.status.descriptor_limit
    return total if published is None else published


def _open_descriptors(default: int) -> int:
    try:
        return len(list(OWN_DESCRIPTORS.iterdir())) + RESERVED_DESCRIPTORS
    except OSError:
        return default
