"""All replicas of a dispatcher: their actors by name and their shared connection budget."""

from collections.abc import Container

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.fleet import ActorFleet
from onyxpass.core.release import release
from onyxpass.core.requests import Attempt, Request
from onyxpass.net.connection_budget import ConnectionBudget
from onyxpass.net.replica import (
    CANCEL_SETTLE_US,
    AddressChanged,
    AdoptedStream,
    CloseIdle,
    DropConnections,
    Replica,
    StreamSuccessor,
    max_idle_us,
)
from onyxpass.scheduling import contract


class Replicas(ActorFleet[Replica]):
    """Dispatches to the replicas' actors, and owns the connection budget that they share."""

    def __init__(
        self, core: RequestDispatcher, max_connections: int, connect_us: int, idle_us: int
    ) -> None:
        super().__init__(core)
        self.connect_us, self.idle_us = connect_us, idle_us
        self.successor: StreamSuccessor | None = None
        self.budget = ConnectionBudget(max_connections, make_room=self._make_room)

    def set_address(self, name: str, address: Address, left: bool) -> None:
        """Set a replica's address by the endpoint list; ``left``: it has left the list."""
        if (actor := self.actors.get(name)) is None:
            self._add_replica(name, address)
        else:
            actor.tell(AddressChanged(address, left))

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        """Set a server's address by a source of membership; ``left``: it has left the source."""
        self.set_address(server.id, address, left)

    def _add_replica(self, name: str, address: Address) -> Replica:
        actor = Replica(name, address, self.core, self.budget, self.connect_us, self.idle_us)
        actor.successor = lambda: self.successor
        self.add_actor(actor)
        return actor

    def set_connection_timeouts(self, connect_us: int, idle_us: int) -> None:
        """Set the timeouts of connections opened or kept from now on."""
        self.connect_us, self.idle_us = connect_us, idle_us
        for actor in self.actors.values():
            actor.connect_us, actor.max_idle_us = connect_us, max_idle_us(idle_us)

    def migrate_streams(self, successor: StreamSuccessor) -> None:
        """Migrate streams from now on, including those that wait for their next event."""
        self.successor = successor
        for actor in self.actors.values():
            for incoming in list(actor.streams):
                incoming.interrupt_wait()

    def adopt(self, attempt: Attempt, resumed: AdoptedStream, address: Address) -> None:
        """Relay the rest of a migrated stream.

        If its replica has left the endpoint list, the replica is removed when the stream ends.
        """
        actor = self.actors.get(attempt.server)
        if actor is None:
            actor = self._add_replica(attempt.server, address)
            actor.removed = True
        self.budget.open += 1
        actor.start_task(attempt, actor.run_attempt(attempt, resumed))

    def _make_room(self) -> bool:
        """Close the idle connection unused for longest; False if there is none.

        Prevents idle connections from blocking a request that needs a new one.
        """
        idle = [actor for actor in self.actors.values() if actor.idle]
        if idle:
            min(idle, key=lambda actor: actor.idle[0].since_us).close_oldest_idle()
        return bool(idle)

    def retain_only(self, names: Container[str]) -> None:
        """Mark all replicas that a complete list does not name as removed."""
        for name, actor in self.actors.items():
            if name not in names:
                actor.tell(AddressChanged(actor.address, True))

    def drop_connections(self, server: str) -> None:
        if actor := self.actors.get(server):
            actor.tell(DropConnections())

    def release(self, request: Request, prefill_interrupted: bool) -> None:
        self.track_release(request, self._release(request, prefill_interrupted))

    async def _release(self, request: Request, prefill_interrupted: bool) -> None:
        # a cancelled prefill must have ended at the replica before the release is requested
        if prefill_interrupted:
            await self.core.wheel.sleep(CANCEL_SETTLE_US)
        await release(
            self.core,
            request,
            self._by_last_response,
            lambda name: self._release_lease(name, request.id),
        )

    def _by_last_response(self) -> list[str]:
        return sorted(self.actors, key=lambda name: -self.actors[name].answered_us)

    async def _release_lease(self, name: str, request_id: str) -> bool:
        actor = self.actors.get(name)
        return actor is not None and await actor.release_lease(request_id)

    def sweep(self, everything: bool = False) -> None:
        for actor in list(self.actors.values()):
            if actor.finished:
                self.remove_actor(actor)
            elif actor.idle:  # avoids waking a hundred actors every second for nothing
                actor.tell(CloseIdle(everything))
