"""Admission of API calls that are made under a lease: calls of an outdated holder are rejected.

The fence of each lease is stored before anything that it admits takes effect, so an outdated holder
is still rejected after a restart of the agent. ``LeaseAdmission`` owns the fence.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any

from onyxpass.agent.agent_clock import AgentClock
from onyxpass.agent.api_requests import LeaseClaim
from onyxpass.agent.lock_records import FenceRecord
from onyxpass.agent.operation_records import Operation
from onyxpass.agent.state_store import StateStore, StateStoreWriteError
from onyxpass.leases.event_log import record_event
from onyxpass.leases.fence import AdmittedToken, Fence


class LeaseRejection(StrEnum):
    """Why the holder of a lease may not act; the values are fields of the API's answers."""

    STALE = "stale"
    UNDER_WAY = "under_way"  # the token is newer, but effects of the admitted one have not finished
    EXPIRED = "expired"  # the call came after the end of the lease that it states


class LeaseRejectedError(Exception):
    """The holder of a lease may not act on this agent."""

    def __init__(self, reason: str, kind: LeaseRejection) -> None:
        super().__init__(reason)
        self.reason = reason
        self.kind = kind


class LeaseAdmission:
    """Decides which lease holders may act on the agent of the name ``resource``."""

    def __init__(self, state_store: StateStore, resource: str, clock: AgentClock) -> None:
        """Load the stored fences."""
        self._state_store = state_store
        self._clock = clock
        self._resource = resource
        saved = state_store.locks.fences()
        self._fence = Fence({name: AdmittedToken(f.token, f.holder) for name, f in saved.items()})

    def to_dict(self) -> Mapping[str, object]:
        """Return the fences' JSON form, by lease."""
        return self._fence.to_dict()

    def admit(self, lease: LeaseClaim, effect: str) -> dict[str, Any]:
        """Admit one effect of a lease and return the fields of its history events.

        Raises ``LeaseRejectedError`` if the holder may not act, and ``StateStoreWriteError`` if the
        fence can't be stored; nothing is admitted then.
        """
        fields = {
            "lease": lease.name,
            "token": lease.token,
            "holder": lease.holder,
            "resource": self._resource,
            "effect": effect,
        }
        if (rejection := self._rejection(lease)) is not None:
            record_event("refused", **fields, why=rejection.reason)
            self._state_store.events.append(
                "", "stale", lease=lease.name, token=lease.token, holder=lease.holder
            )
            raise rejection
        self._record_admission(lease)
        return fields

    def _rejection(self, lease: LeaseClaim) -> LeaseRejectedError | None:
        if reason := self._fence.rejection_reason(lease.name, lease.token, lease.holder):
            under_way = self._fence.supersedes_admitted(lease.name, lease.token)
            kind = LeaseRejection.UNDER_WAY if under_way else LeaseRejection.STALE
            return LeaseRejectedError(reason, kind)
        if lease.until is not None and self._clock.has_passed(lease.until):
            reason = f"the call came after the end of {lease.name} that it states"
            return LeaseRejectedError(reason, LeaseRejection.EXPIRED)
        return None

    def _record_admission(self, lease: LeaseClaim) -> None:
        previous = self._fence.admitted.get(lease.name)
        if not self._fence.admit(lease.name, lease.token, lease.holder):
            return
        try:
            self._state_store.locks.save_fence(lease.name, FenceRecord(lease.token, lease.holder))
        except StateStoreWriteError:
            # Prevents the next call from being admitted under a fence that is not stored.
            self._fence.restore(lease.name, previous)
            raise

    def begin_effect(self, lease: LeaseClaim, effect: str) -> Callable[[Operation], None]:
        """Admit an operation; return the callback that must be called when it ends."""
        fields = self.admit(lease, effect)
        self._fence.effect_started(lease.name)
        record_event("begin", **fields)

        def on_end(operation: Operation) -> None:
            self._fence.effect_finished(lease.name)
            record_event("end", **fields, state=operation.state.value)

        return on_end

    def supersedes(self, lease: LeaseClaim) -> bool:
        """Return whether an older token of the lease was admitted and has no effect in progress."""
        last = self._fence.admitted.get(lease.name)
        is_newer = last is not None and last.token < lease.token
        return is_newer and not self._fence.running.get(lease.name)
