"""A dispatcher of requests without sockets: its router, fleet and client do what a test says."""

from typing import Any

from helpers import SETTINGS, make_endpoints

from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.requests import Attempt, Request
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.scheduling import contract


class ManualClock(Clock):
    """A clock that stands until it is moved."""

    def __init__(self) -> None:
        self.us = 1_000_000_000

    def now_us(self) -> int:
        """Return the time that was set."""
        return self.us


class FakeFleet:
    """A fleet that does nothing by itself, and notes what it is asked to do."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []
        self.started: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        """Note the attempt."""
        self.started.append(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Note the stop."""
        self.calls.append(("stop", attempt.number))

    def release(self, request: Request, prefill_interrupted: bool) -> None:
        """Note the release."""
        self.calls.append(("release", prefill_interrupted))

    def check_health(self, server: str) -> None:
        """Note the health check."""
        self.calls.append(("probe", server))


class FakeClient:
    """A client that notes its final answers."""

    def __init__(self) -> None:
        self.final_answers: list[str] = []
        self.disconnected = False  # by the kernel's word

    def has_disconnected(self) -> bool:
        """Return whether the test had it leave."""
        return self.disconnected

    async def forward(self, event: bytes) -> None:
        """Fail: no stream comes this far."""
        raise NotImplementedError

    def complete(self) -> None:
        """Note the answer."""
        self.final_answers.append("finish")

    def abort(self, reason: str) -> None:
        """Note the answer."""
        self.final_answers.append("cut")

    def reject(self, retry_after_us: int) -> None:
        """Note the answer."""
        self.final_answers.append("refuse")

    def fail(self, reason: str, late: bool) -> None:
        """Note the answer."""
        self.final_answers.append("late" if late else "fail")


class ScriptedRouter:
    """A module that does what the test says."""

    def __init__(self) -> None:
        self.answers: list[list[contract.Action]] = []
        self.heard: list[contract.Event] = []

    def handle(self, now_us: int, event: contract.Event) -> list[contract.Action]:
        """Note the event, and return what the test scripted next."""
        self.heard.append(event)
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
        """Handle all that is in the mailbox, as the actor does."""
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
        """Submit a request, and answer its arrival with these actions."""
        arrival = contract.Arrival(7, traffic_class, "s", self.clock.us + wait_us, 100, 100)
        request = self.core.submit("abc", arrival, self.client, None)
        self.step(list(actions))
        return request

    def advance(self, us: int) -> None:
        """Move the clock, and fire what is due."""
        self.clock.us += us
        self.wheel.advance()
