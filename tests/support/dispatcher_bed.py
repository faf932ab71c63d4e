"""A request dispatcher without sockets, with a scripted router and fakes of fleet and client."""

from typing import Any

from helpers import SETTINGS, make_endpoints

from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.requests import Attempt, Request
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.scheduling import contract


class ManualClock(Clock):
    """A clock that stands still until a test moves it."""

    def __init__(self) -> None:
        self.us = 1_000_000_000

    def now_us(self) -> int:
        """Return the time that was set."""
        return self.us


class FakeFleet:
    """A fleet that records its calls and does nothing else; ``started`` holds the attempts."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []
        self.started: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        """Record the attempt."""
        self.started.append(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Record the stop."""
        self.calls.append(("stop", attempt.number))

    def release(self, request: Request, prefill_interrupted: bool) -> None:
        """Record the release."""
        self.calls.append(("release", prefill_interrupted))

    def check_health(self, server: str) -> None:
        """Record the health check."""
        self.calls.append(("probe", server))


class FakeClient:
    """A client that records its final answers."""

    def __init__(self) -> None:
        self.final_answers: list[str] = []
        self.disconnected = False  # as the kernel reports it

    def has_disconnected(self) -> bool:
        """Return whether the test has set ``disconnected``."""
        return self.disconnected

    async def forward(self, event: bytes) -> None:
        """Raise NotImplementedError: no test forwards an event of a stream."""
        raise NotImplementedError

    def complete(self) -> None:
        """Record the answer."""
        self.final_answers.append("finish")

    def abort(self, reason: str) -> None:
        """Record the answer."""
        self.final_answers.append("cut")

    def reject(self, retry_after_us: int) -> None:
        """Record the answer."""
        self.final_answers.append("refuse")

    def fail(self, reason: str, late: bool) -> None:
        """Record the answer."""
        self.final_answers.append("late" if late else "fail")


class ScriptedRouter:
    """A router that records its events and returns the actions that a test scripts.

    Each event takes the next element of ``answers``, or no actions if there is none.
    """

    def __init__(self) -> None:
        self.answers: list[list[contract.Action]] = []
        self.events: list[contract.Event] = []

    def handle(self, now_us: int, event: contract.Event) -> list[contract.Action]:
        """Record the event, and return the next scripted actions."""
        self.events.append(event)
        return self.answers.pop(0) if self.answers else []


class DispatcherBed:
    """A dispatcher between a scripted router, a fake fleet and a fake client."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.wheel = TimerWheel(self.clock)
        self.core = RequestDispatcher(SETTINGS, 1, self.clock, self.wheel)
        self.fleet, self.script, self.client = FakeFleet(), ScriptedRouter(), FakeClient()
        self.core.connect_fleet(self.fleet)  # type: ignore[arg-type]
        self.core.router = self.script  # type: ignore[assignment]
        self.core.update_endpoints(
            contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, make_endpoints())
        )
        self.step([])

    def step(self, *answers: list[contract.Action]) -> None:
        """Script these actions, and handle all messages in the mailbox as the actor does."""
        self.script.answers += answers
        while not self.core.mailbox.empty():
            message = self.core.mailbox.get_nowait()
            try:
                self.core.receive(message)
            except RuntimeError:
                self.core.recover(message)

    def submit(
        self, *actions: contract.Action, traffic_class: str = "once", wait_us: int = 1_000_000
    ) -> Request:
        """Submit a request; the scripted router answers its arrival with these actions."""
        arrival = contract.Arrival(7, traffic_class, "s", self.clock.us + wait_us, 100, 100)
        request = self.core.submit("abc", arrival, self.client, None)
        self.step(list(actions))
        return request

    def advance(self, us: int) -> None:
        """Advance the clock, and fire the timers that are due."""
        self.clock.us += us
        self.wheel.advance()
