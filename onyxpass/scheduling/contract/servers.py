"""Servers as the endpoint list and their load reports describe them."""

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The work of a kind of server: prefill of prompts, decode of answers, or both."""

    PREFILL = "reader"
    DECODE = "writer"
    MIXED = "mixed"


class EndpointCondition(Enum):
    """The condition of a server according to the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class ServerKind:
    """A kind of server and the tokens that its memory holds (0: unknown)."""

    name: str
    role: Role
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    ``started_us`` is the time at which the server started, None if that was long ago. ``weight``
    scales its share of the work.
    """

    id: str
    kind: str
    zone: str = ""
    cell: int = 0
    started_us: int | None = None
    condition: EndpointCondition = EndpointCondition.UP
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a server reports of itself; None for a value that is not reported.

    Reports arrive late and are noisy. ``memory_utilization`` is the share of the server's memory
    that is in use, 1.0 if full.
    """

    memory_utilization: float | None = None
    waiting_k_tokens: float | None = None
    in_flight: float | None = None
    queued: float | None = None
    latency_ms: float | None = None
