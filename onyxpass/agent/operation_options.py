"""The kinds and the options of an operation."""

from dataclasses import dataclass
from enum import StrEnum


class OperationKind(StrEnum):
    """The operations that an agent executes; the values appear in the paths of its API."""

    RELOAD = "reload"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    RESTART = "restart"
    STOP = "stop"
    START = "start"


@dataclass(frozen=True, slots=True)
class OperationOptions:
    """The options of one operation. Times are seconds.

    ``drain``: drain the instance before a restart or a stop. ``force``: abort requests that are
    open at the deadline of a drain, and continue even if the drain fails. ``allow_restart``: a
    reload may restart the instance if that is needed. ``expected_digest``: the digest of the
    file that the caller has seen; a file that has changed since is rejected. Empty accepts any
    file.
    """

    deadline_s: float = 60.0
    notice_s: float = 1.0
    force: bool = False
    drain: bool = True
    allow_restart: bool = False
    expected_digest: str = ""
