"""All replicas of a dispatcher: their actors by name, and what concerns them together."""

from collections.abc import Container

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.fleet import ActorFleet
from onyxpass.core.release import release
from onyxpass.core.requests import Attempt, Request
from onyxpass.net.connection_budget import ConnectionBudget
from onyxpass.net.replica import SETTLE_US, Forget, Heirs, Moved, Replica, Resumed, Sweep, keep_us
from onyxpass.scheduling import contract


class Replicas(ActorFleet[Replica]):
    """Finds the actor for an order; owns the budget that all connections to replicas share."""

    def __init__(self, core: RequestDispatcher, most: int, connect_us: int, idle_us: int) -> None:
        super().__init__(core)
        self.connect_us, self.idle_us = connect_us, idle_us
        self.heirs: Heirs | None = None
        self.budget = ConnectionBudget(most, make_room=self._make_room)

    def set_address(self, name: str, address: Address, left: bool) -> None:
        """What the list says of where a replica listens."""
        if (actor := self.actors.get(name)) is None:
            self._enter(name, address)
        else:
            actor.tell(Moved(address, left))

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        """What a source of membership says of a server."""
        self.set_address(server.id, address, left)

    def _enter(self, name: str, address: Address) -> Replica:
        actor = Replica(name, address, self.core, self.budget, self.connect_us, self.idle_us)
        actor.heirs = lambda: self.heirs
        self.add_actor(actor)
        return actor

    def set_connection_timeouts(self, connect_us: int, idle_us: int) -> None:
        """Other limits for connections, from the next one on."""
        self.connect_us, self.idle_us = connect_us, idle_us
        for actor in self.actors.values():
            actor.connect_us, actor.keep_us = connect_us, keep_us(idle_us)

    def migrate_streams(self, heirs: Heirs) -> None:
        """Streams go over from now on, also those that wait for their next event."""
        self.heirs = heirs
        for actor in self.actors.values():
            for incoming in list(actor.streams):
                incoming.nudge()

    def adopt(self, attempt: Attempt, resumed: Resumed, address: Address) -> None:
        """Go on with a stream; its replica may have left the list, and is then forgotten with
        it.
        """
        actor = self.actors.get(attempt.server)
        if actor is None:
            actor = self._enter(attempt.server, address)
            actor.left = True
        self.budget.open += 1
        actor.start_task(attempt, actor.run_attempt(attempt, resumed))

    def _make_room(self) -> bool:
        """Guards against connections that idle while a request can't go out for want of one."""
        idle = [actor for actor in self.actors.values() if actor.idle]
        if idle:
            min(idle, key=lambda actor: actor.idle[0].since_us).give_up_idle()
        return bool(idle)

    def retain_only(self, names: Container[str]) -> None:
        """A whole list has come: what it does not name has left."""
        for name, actor in self.actors.items():
            if name not in names:
                actor.tell(Moved(actor.address, True))

    def drop_connections(self, server: str) -> None:
        if actor := self.actors.get(server):
            actor.tell(Forget())

    def release(self, request: Request, prefill_interrupted: bool) -> None:
        self.track_release(request, self._release(request, prefill_interrupted))

    async def _release(self, request: Request, prefill_interrupted: bool) -> None:
        if (
            prefill_interrupted
        ):  # guards against asking before a read that was just broken off has ended there
            await self.core.wheel.sleep(SETTLE_US)
        await release(self.core, request, self._latest, lambda name: self._let_go(name, request.id))

    def _latest(self) -> list[str]:
        return sorted(self.actors, key=lambda name: -self.actors[name].answered_us)

    async def _let_go(self, name: str, request_id: str) -> bool:
        actor = self.actors.get(name)
        return actor is not None and await actor.let_go(request_id)

    def sweep(self, everything: bool = False) -> None:
        for actor in list(self.actors.values()):
            if actor.finished:
                self.remove_actor(actor)
            elif actor.idle:  # guards against waking a hundred actors each second for nothing
                actor.tell(Sweep(everything))
