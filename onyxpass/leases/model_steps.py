"""The steps that may follow a state of the lease model.

Time passes; messages arrive, are lost or come too late; processes are suspended, resumed or
killed; the store restarts empty or with an older record; commands reach the resource late. Each
step is a description and the state after it. The order of the steps is fixed, so that seeded walks
repeat.
"""

from collections.abc import Iterator
from typing import Any

from onyxpass.leases.holder import HolderState
from onyxpass.leases.messages import AcquireRequest, LeaseGranted
from onyxpass.leases.model_state import (
    START_MS,
    STEP_MS,
    TTL_MS,
    CheckedSystem,
    Disturbance,
    Grant,
    ModelState,
    ReplyInFlight,
    RequestInFlight,
    ResourceCommand,
    SearchBounds,
)

LEASE_NAME = "lease"

Step = tuple[str, ModelState]


class StepGenerator:
    """Generates the steps that the bounds allow. It holds no state of the search."""

    def __init__(self, bounds: SearchBounds, system: CheckedSystem) -> None:
        self._end_ms = START_MS + bounds.duration_ms
        self._limits = bounds.limits()
        self._system = system

    def steps(self, state: ModelState) -> Iterator[Step]:
        """Yield each step that may follow."""
        yield from self._time_steps(state)
        yield from self._request_steps(state)
        yield from self._reply_steps(state)
        for index in range(len(state.holders)):
            yield from self._process_steps(state, index)
        yield from self._store_restart_steps(state)
        yield from self._new_command_steps(state)
        yield from self._command_arrival_steps(state)
        yield from self._effect_end_steps(state)

    def _allowed(self, state: ModelState, disturbance: Disturbance) -> bool:
        return state.spent[disturbance] < self._limits[disturbance]

    def _time_steps(self, state: ModelState) -> Iterator[Step]:
        if state.now_ms >= self._end_ms:
            return
        after = state.copy()
        after.now_ms += STEP_MS
        for index, holder in enumerate(after.holders):
            if index not in after.suspended:
                after.send_requests(index, holder.tick(after.now_ms))
        yield f"{after.now_ms} ms", after

    def _request_steps(self, state: ModelState) -> Iterator[Step]:
        for index, message in enumerate(state.requests):
            kind = type(message.request).__name__
            yield self._request_arrival_step(state, index, message)
            if message.abandoned:
                continue
            if self._allowed(state, Disturbance.LOST_MESSAGE):
                lost = state.copy()
                lost.requests = _without(state.requests, index)
                lost.spend(Disturbance.LOST_MESSAGE)
                _give_up(lost, message)
                yield f"{message.name_prefix}'s {kind} is lost", lost
            if self._allowed(state, Disturbance.LATE_REQUEST):
                late = state.copy()
                late.requests = (
                    *state.requests[:index],
                    message._replace(abandoned=True),
                    *state.requests[index + 1 :],
                )
                late.spend(Disturbance.LATE_REQUEST)
                _give_up(late, message)
                yield (
                    f"{message.name_prefix} gives up on its {kind}, which is still in flight",
                    late,
                )

    def _request_arrival_step(
        self, state: ModelState, index: int, message: RequestInFlight
    ) -> Step:
        after = state.copy()
        after.requests = _without(state.requests, index)
        reply, written = self._system.apply_request(
            after.record, message.request, f"run{after.store_run}", after.now_ms, TTL_MS
        )
        after.record = written or after.record
        if isinstance(message.request, AcquireRequest) and isinstance(reply, LeaseGranted):
            grant = Grant(reply.token, message.name_prefix)
            if grant not in after.granted:
                after.granted += (grant,)
        if not message.abandoned:
            after.replies += (
                ReplyInFlight(message.sender, message.name_prefix, message.number, reply),
            )
        return f"{message.name_prefix}'s {type(message.request).__name__} arrives: {reply}", after

    def _reply_steps(self, state: ModelState) -> Iterator[Step]:
        for index, message in enumerate(state.replies):
            receiver = message.receiver
            if receiver not in state.suspended:
                after = state.copy()
                after.replies = _without(state.replies, index)
                holder = after.holders[receiver]
                if holder.name_prefix == message.name_prefix:
                    actions = holder.on_reply(message.number, message.reply, after.now_ms)
                    after.send_requests(receiver, actions)
                yield f"{message.name_prefix} receives {message.reply}", after
            if self._allowed(state, Disturbance.LOST_MESSAGE):
                lost = state.copy()
                lost.replies = _without(state.replies, index)
                lost.spend(Disturbance.LOST_MESSAGE)
                _give_up(lost, message)
                yield f"the reply to {message.name_prefix} is lost", lost

    def _process_steps(self, state: ModelState, index: int) -> Iterator[Step]:
        holder = state.holders[index]
        if index in state.suspended:
            after = state.copy()
            after.suspended = state.suspended - {index}
            after.send_requests(index, after.holders[index].tick(after.now_ms))
            yield f"{holder.name} is resumed", after
            return
        if holder.state is HolderState.IDLE and self._allowed(state, Disturbance.REACQUISITION):
            after = state.copy()
            after.spend(Disturbance.REACQUISITION)
            after.send_requests(index, after.holders[index].acquire(after.now_ms))
            yield f"{holder.name} requests the lease again", after
        if holder.state is HolderState.HELD:
            after = state.copy()
            after.send_requests(index, after.holders[index].release(after.now_ms))
            yield f"{holder.name} releases the lease", after
        if self._allowed(state, Disturbance.SUSPENSION):
            after = state.copy()
            after.suspended = state.suspended | {index}
            after.spend(Disturbance.SUSPENSION)
            yield f"{holder.name} is suspended", after
        if self._allowed(state, Disturbance.KILL):
            yield self._kill_step(state, index)

    def _kill_step(self, state: ModelState, index: int) -> Step:
        killed = state.holders[index]
        after = state.copy()
        started = self._system.holder(f"{killed.name_prefix}'", TTL_MS)
        after.holders = (*after.holders[:index], started, *after.holders[index + 1 :])
        after.spend(Disturbance.KILL)
        after.send_requests(index, started.acquire(after.now_ms))
        return f"{killed.name} is killed and restarted", after

    def _store_restart_steps(self, state: ModelState) -> Iterator[Step]:
        if not self._allowed(state, Disturbance.STORE_RESTART):
            return
        for description, record in (("empty", None), ("with an older record", state.snapshot)):
            after = state.copy()
            after.record = record
            after.store_run = state.store_run + 1
            after.spend(Disturbance.STORE_RESTART)
            yield f"the store restarts {description}", after

    def _new_command_steps(self, state: ModelState) -> Iterator[Step]:
        for index, holder in enumerate(state.holders):
            may_command = index not in state.suspended and holder.may_act(state.now_ms)
            if may_command and self._allowed(state, Disturbance.COMMAND):
                after = state.copy()
                after.commands += (ResourceCommand(holder.name, holder.token),)
                after.spend(Disturbance.COMMAND)
                yield f"{holder.name} sends a command under token {holder.token}", after

    def _command_arrival_steps(self, state: ModelState) -> Iterator[Step]:
        for index, command in enumerate(state.commands):
            after = state.copy()
            after.commands = _without(state.commands, index)
            rejection = after.fence.rejection_reason(LEASE_NAME, command.token, command.holder)
            if not rejection:
                after.fence.admit(LEASE_NAME, command.token, command.holder)
                after.fence.effect_started(LEASE_NAME)
                after.running += (command,)
                after.last_admitted = (command,)
            yield f"the command of {command.holder} arrives: {rejection or 'admitted'}", after

    def _effect_end_steps(self, state: ModelState) -> Iterator[Step]:
        for index, command in enumerate(state.running):
            after = state.copy()
            after.running = _without(state.running, index)
            after.fence.effect_finished(LEASE_NAME)
            yield f"the effect of token {command.token} ends", after


def _give_up(state: ModelState, message: RequestInFlight | ReplyInFlight) -> None:
    """Report to the requester that no reply comes, unless the requester was killed meanwhile."""
    index = message[0]  # of the holder that sent the request, or that the reply is for
    holder = state.holders[index]
    if holder.name_prefix == message.name_prefix:
        state.send_requests(index, holder.on_no_reply(message.number, state.now_ms))


def _without(items: tuple[Any, ...], index: int) -> tuple[Any, ...]:
    return items[:index] + items[index + 1 :]
