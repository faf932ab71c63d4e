"""The drain of one instance as a state machine without I/O.

After the order an instance reports to the front layer that it is not ready, and goes on serving new
requests for the notice period. After the notice it refuses new requests. It is drained once the
last final answer has been sent. At the deadline the order counts as failed, but the instance goes
on draining. Only ``force`` aborts open requests, and their number is reported until the drain is
cancelled.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

# While the front layer learns that the instance is not ready, new requests are still served.
DEFAULT_NOTICE_US = 1_000_000
DEFAULT_DEADLINE_US = 60_000_000


class DrainPhase(Enum):
    SERVING = "serving"
    NOTICE = "notice"  # not ready, but new requests are still served
    DRAINING = "draining"  # new requests are refused
    DRAINED = "drained"


class DrainStep(Enum):
    """What the instance has to do next; a step is returned when it becomes due."""

    REJECT_NEW = "close"  # refuse new requests
    ABORT_OPEN = "cut"  # abort open requests


@dataclass(frozen=True, slots=True)
class OpenRequests:
    """The open requests at one moment."""

    requests: int  # requests whose final answer is not sent
    streams: int  # those of them that have begun to stream
    oldest_us: int = 0  # age of the oldest open request


@dataclass(slots=True)
class Drain:
    phase: DrainPhase = DrainPhase.SERVING
    since_us: int = 0
    notice_us: int = DEFAULT_NOTICE_US
    due_us: int = 0
    force: bool = False
    deadline_passed: bool = False  # the deadline passed while requests were open
    aborted_requests: int = 0  # number of requests that ``force`` aborted

    @property
    def active(self) -> bool:
        return self.phase is not DrainPhase.SERVING

    def start(
        self, now_us: int, deadline_us: int, force: bool, notice_us: int = DEFAULT_NOTICE_US
    ) -> None:
        """Start the drain, or change the deadline of a running one without a second notice."""
        if self.phase is DrainPhase.SERVING:
            self.phase, self.since_us, self.aborted_requests = DrainPhase.NOTICE, now_us, 0
            self.notice_us = min(notice_us, deadline_us)
        self.due_us, self.force, self.deadline_passed = now_us + deadline_us, force, False

    def cancel(self) -> bool:
        """Return to serving; True if a drain was active."""
        was_active, self.phase = self.active, DrainPhase.SERVING
        self.force = self.deadline_passed = False
        self.aborted_requests = 0
        return was_active

    def advance(self, now_us: int, load: OpenRequests) -> tuple[DrainStep, ...]:
        """Advance the phase and return the steps that are due.

        To be called at least every few tens of milliseconds.
        """
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
