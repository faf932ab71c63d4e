"""Base of the fleets of all wire protocols: an actor per server and a task per attempt."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Generic, TypeVar

from onyxpass.core.actor import Actor
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.requests import Attempt, Request
from onyxpass.scheduling.contract import AttemptStatus


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Order to run an attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class StopAttempt:
    """Order to close an attempt."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Order to check the server's health; ignored if the server is excluded by then."""


class ServerActor(Actor[object]):
    """Actor of one server; owns the tasks of the server's attempts.

    Subclasses implement ``run_attempt`` and ``check_health`` for their wire protocol. The end of
    each attempt is reported to ``AttemptOutcomes.attempt_ended``, where the first report counts.
    """

    def __init__(self, name: str, core: RequestDispatcher) -> None:
        super().__init__(name)
        self.core = core
        self.wheel = core.wheel
        self.tasks: dict[Attempt, asyncio.Task[None]] = {}
        self.background_tasks: set[asyncio.Task[None]] = set()

    async def run_attempt(self, attempt: Attempt) -> None:
        """Send the attempt and report its outcome; cancelled to close the attempt."""
        raise NotImplementedError

    async def check_health(self) -> None:
        """Check the server's health and report the result to the router."""
        raise NotImplementedError

    def receive(self, message: object) -> None:
        """Carry out an order."""
        match message:
            case StartAttempt(attempt) if not attempt.ended:
                self.start_task(attempt, self.run_attempt(attempt))
            case StopAttempt(attempt):
                self._stop(attempt)
            # The server may have been excluded while the order was in the mailbox.
            case CheckHealth() if self.name not in self.core.endpoints.excluded:
                self._start_in_background(self.check_health())

    def recover(self, message: object) -> None:
        """End an attempt that could not be started."""
        if isinstance(message, StartAttempt):
            self._report_not_sent(message.attempt, "the dispatcher's own fault")

    async def wait_for_release(self, attempt: Attempt) -> None:
        """Wait for a running release of the request's state.

        Prevents the release from arriving after the next send and removing the state that the send
        needs.
        """
        if (release_task := attempt.request.release_task) is not None:
            await asyncio.wait([release_task])

    def start_task(self, attempt: Attempt, work: Coroutine[object, object, None]) -> None:
        """Run an attempt's work in a task of its own."""
        task = asyncio.create_task(work)
        self.tasks[attempt] = task
        task.add_done_callback(lambda _: self._finish(attempt))

    def _stop(self, attempt: Attempt) -> None:
        if (task := self.tasks.get(attempt)) is not None:
            task.cancel()
        else:
            self._report_not_sent(attempt, "stopped before it began")

    def _finish(self, attempt: Attempt) -> None:
        del self.tasks[attempt]
        # A task that is cancelled before its first step reports nothing; without this, its attempt
        # would never end.
        self._report_not_sent(attempt)

    def _report_not_sent(self, attempt: Attempt, reason: str = "") -> None:
        self.core.outcomes.attempt_ended(attempt, AttemptStatus.NOT_SENT, reason=reason)

    def _start_in_background(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)


Server = TypeVar("Server", bound=ServerActor)


class ActorFleet(Generic[Server]):
    """Owns the server actors and passes each order of the dispatcher to its server's actor."""

    def __init__(self, core: RequestDispatcher) -> None:
        self.core = core
        self.actors: dict[str, Server] = {}
        self.actor_tasks: dict[str, asyncio.Task[None]] = {}
        self.release_tasks: set[asyncio.Task[None]] = set()

    def add_actor(self, actor: Server) -> None:
        """Add an actor and run it."""
        self.actors[actor.name] = actor
        self.actor_tasks[actor.name] = asyncio.create_task(actor.run())

    def remove_actor(self, actor: Server) -> None:
        """Remove an actor that has nothing left to do."""
        del self.actors[actor.name]
        self.actor_tasks.pop(actor.name).cancel()

    def start(self, attempt: Attempt) -> None:
        """Start an attempt, which ends at once if its server has no actor."""
        if (actor := self.actors.get(attempt.server)) is None:
            self.core.outcomes.attempt_ended(attempt, AttemptStatus.NOT_SENT, reason="no address")
        else:
            actor.tell(StartAttempt(attempt))

    def stop(self, attempt: Attempt) -> None:
        """Close an attempt, which then ends as CANCELLED, or as NOT_SENT if nothing was sent."""
        if actor := self.actors.get(attempt.server):
            actor.tell(StopAttempt(attempt))

    def check_health(self, server: str) -> None:
        """Check the health of a server."""
        if actor := self.actors.get(server):
            actor.tell(CheckHealth())

    def drop_connections(self, server: str) -> None:
        """Close a server's idle connections; does nothing in a fleet that keeps none."""

    def track_release(self, request: Request, work: Coroutine[object, object, None]) -> None:
        """Run a release of a request's state in a task that the request's next send waits for.

        A release that is still running is cancelled. The next send waits for the latest release
        only, so a call of an earlier one could arrive after the send and remove its state.
        """
        if request.release_task is not None:
            request.release_task.cancel()
        task = asyncio.create_task(work)
        request.release_task = task
        self.release_tasks.add(task)
        task.add_done_callback(self.release_tasks.discard)
