"""The drain of one instance as a state machine without I/O.

Ordered, an instance tells the front layer that it is not ready, and goes on serving what still
comes for the notice. After the notice new requests are refused. It is drained once the last final
answer has gone out. At the deadline the order itself has failed; the instance goes on draining.
Only an explicit ``force`` cuts short what is open, and how much that was is told for as long as the
drain stands.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

DEFAULT_NOTICE_US = (
    1_000_000  # new requests are served for so long, while the front layer hears of it
)
DEFAULT_DEADLINE_US = 60_000_000


class DrainPhase(Enum):
    SERVING = "serving"
    NOTICE = "notice"  # not ready any more, but what comes is served
    DRAINING = "draining"  # what comes is refused
    DRAINED = "drained"


class DrainStep(Enum):
    """What the instance has to do next, each told once."""

    REJECT_NEW = "close"  # refuse new requests
    ABORT_OPEN = "cut"  # end what is open


@dataclass(frozen=True, slots=True)
class OpenRequests:
    """What is open at one moment."""

    requests: int  # without their final answer
    streams: int  # of them, those that have begun to stream
    oldest_us: int = 0  # age of the oldest


@dataclass(slots=True)
class Drain:
    phase: DrainPhase = DrainPhase.SERVING
    since_us: int = 0
    notice_us: int = DEFAULT_NOTICE_US
    due_us: int = 0
    force: bool = False
    deadline_passed: bool = False  # the deadline passed with something open
    aborted_requests: int = 0  # requests that force ended

    @property
    def active(self) -> bool:
        return self.phase is not DrainPhase.SERVING

    def start(
        self, now_us: int, deadline_us: int, force: bool, notice_us: int = DEFAULT_NOTICE_US
    ) -> None:
        """Begin, or change the deadline of what has begun: a second order never starts the
        notice again.
        """
        if self.phase is DrainPhase.SERVING:
            self.phase, self.since_us, self.aborted_requests = DrainPhase.NOTICE, now_us, 0
            self.notice_us = min(notice_us, deadline_us)
        self.due_us, self.force, self.deadline_passed = now_us + deadline_us, force, False

    def cancel(self) -> bool:
        """Serve again. True if there was a drain to undo."""
        was, self.phase = self.active, DrainPhase.SERVING
        self.force = self.deadline_passed = False
        self.aborted_requests = 0
        return was

    def advance(self, now_us: int, load: OpenRequests) -> tuple[DrainStep, ...]:
        """What is due, given what is open now. Call it at least every few tens of milliseconds."""
        steps: list[DrainStep] = []
        if self.phase is DrainPhase.NOTICE and now_us - self.since_us >= self.notice_us:
            self.phase = DrainPhase.DRAINING
            steps.append(DrainStep.REJECT_NEW)
        if self.phase is DrainPhase.DRAINING:
            if load.requests == 0:
                self.phase = DrainPhase.DRAINED
            elif now_us >= self.due_us and not self.deadline_passed:
                self.deadline_passed = True
                if self.force:
                    self.aborted_requests += load.requests
                    steps.append(DrainStep.ABORT_OPEN)
        return tuple(steps)

    def to_dict(self, now_us: int, load: OpenRequests) -> dict[str, Any]:
        left_us = max(0, self.due_us - now_us) if self.active else 0
        return {
            "phase": self.phase.value,
            "requests": load.requests,
            "streams": load.streams,
            "oldest_ms": load.oldest_us // 1000,
            "left_ms": left_us // 1000,
            "late": self.deadline_passed,
            "cut": self.aborted_requests,
        }
