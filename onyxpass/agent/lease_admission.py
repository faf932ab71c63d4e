"""Admission of calls that are made under a lease: what an old lease holder orders is rejected.

The fence of each lease is on record before anything that it admits takes effect, so an old holder
is still rejected after the agent was restarted. ``LeaseAdmission`` owns the fence.
"""

from collections.abc import Callable, Mapping
from typing import Any

from onyxpass.agent.api_requests import LeaseClaim
from onyxpass.agent.lock_records import FenceRecord
from onyxpass.agent.operation_records import Operation
from onyxpass.agent.state_store import StateStore, StateStoreWriteError
from onyxpass.leases.event_log import record_event
from onyxpass.leases.fence import AdmittedToken, Fence


class LeaseRejectedError(Exception):
    """A lease whose holder may not act here.

    ``under_way``: only until what an older token began has ended; otherwise the lease is stale.
    """

    def __init__(self, reason: str, *, under_way: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.under_way = under_way


class LeaseAdmission:
    """Decides which leases may act on the agent ``resource``."""

    def __init__(self, state_store: StateStore, resource: str) -> None:
        """Load the fences that are on record."""
        self._state_store = state_store
        self._resource = resource
        saved = state_store.locks.fences()
        self._fence = Fence({name: AdmittedToken(f.token, f.holder) for name, f in saved.items()})

    def to_dict(self) -> Mapping[str, object]:
        """Return the fences' JSON form, by lease."""
        return self._fence.to_dict()

    def admit(self, lease: LeaseClaim, effect: str) -> dict[str, Any]:
        """Admit one effect of a lease and return what the history says of it.

        ``LeaseRejectedError`` for an old holder; ``StateStoreWriteError`` if the fence can't be
        recorded, and then nothing is admitted.
        """
        fields = {
            "lease": lease.name,
            "token": lease.token,
            "holder": lease.holder,
            "resource": self._resource,
            "effect": effect,
        }
        if reason := self._fence.rejection_reason(lease.name, lease.token, lease.holder):
            record_event("refused", **fields, why=reason)
            self._state_store.events.append(
                "", "stale", lease=lease.name, token=lease.token, holder=lease.holder
            )
            under_way = self._fence.supersedes_admitted(lease.name, lease.token)
            raise LeaseRejectedError(reason, under_way=under_way)
        self._record_admission(lease)
        return fields

    def _record_admission(self, lease: LeaseClaim) -> None:
        previous = self._fence.admitted.get(lease.name)
        if not self._fence.admit(lease.name, lease.token, lease.holder):
            return
        try:
            self._state_store.locks.save_fence(lease.name, FenceRecord(lease.token, lease.holder))
        except StateStoreWriteError:
            # Prevents the next call from passing as one whose fence is on record.
            self._fence.restore(lease.name, previous)
            raise

    def begin_effect(self, lease: LeaseClaim, effect: str) -> Callable[[Operation], None]:
        """Admit an operation; the callback that is returned must be called at its end."""
        fields = self.admit(lease, effect)
        self._fence.effect_started(lease.name)
        record_event("begin", **fields)

        def on_end(operation: Operation) -> None:
            self._fence.effect_finished(lease.name)
            record_event("end", **fields, state=operation.state.value)

        return on_end

    def supersedes(self, lease: LeaseClaim) -> bool:
        """Whether the lease was another's here before, and nothing of that one is under way."""
        last = self._fence.admitted.get(lease.name)
        is_newer = last is not None and last.token < lease.token
        return is_newer and not self._fence.running.get(lease.name)
