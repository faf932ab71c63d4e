"""Stored locks: the agent's rollout lock, and the fencing tokens that the agent has admitted."""

from dataclasses import dataclass

from onyxpass.agent.state_database import StateDatabase

ROLLOUT_LOCK_KEY = "hold"  # among the keys of pending writes


@dataclass(frozen=True, slots=True)
class RolloutLockRecord:
    """A rollout lock as it was granted to its holder; ``ttl_s`` is its full duration."""

    rollout: str
    holder: str
    ttl_s: float


@dataclass(frozen=True, slots=True)
class FenceRecord:
    """The highest token of a lease that was admitted, and its holder."""

    token: int
    holder: str


class LockRecords:
    """The tables ``holds`` and ``fences``."""

    def __init__(self, database: StateDatabase) -> None:
        self._database = database

    def rollout_lock(self) -> RolloutLockRecord | None:
        """Return the stored lock, if there is one."""
        rows = self._database.query("SELECT rollout, holder, ttl_s FROM holds")
        if not rows:
            return None
        rollout, holder, ttl_s = rows[0]
        return RolloutLockRecord(str(rollout), str(holder), float(ttl_s))

    def save_rollout_lock(self, lock: RolloutLockRecord) -> None:
        """Store a lock before its grant is reported; ``StateStoreWriteError`` if that fails."""
        self._database.write_now(
            ROLLOUT_LOCK_KEY,
            "INSERT OR REPLACE INTO holds VALUES (1, ?, ?, ?)",
            (lock.rollout, lock.holder, lock.ttl_s),
        )

    def delete_rollout_lock(self) -> None:
        """Delete the stored lock, now or once the disk accepts writes."""
        self._database.write_state(ROLLOUT_LOCK_KEY, "DELETE FROM holds")

    def fences(self) -> dict[str, FenceRecord]:
        """Return the fence of each lease, by the lease's name."""
        rows = self._database.query("SELECT lease, token, holder FROM fences")
        return {str(lease): FenceRecord(int(token), str(holder)) for lease, token, holder in rows}

    def save_fence(self, lease: str, fence: FenceRecord) -> None:
        """Store a fence before it admits anything; ``StateStoreWriteError`` if that fails."""
        self._database.write_now(
            f"fence {lease}",
            "INSERT OR REPLACE INTO fences VALUES (?, ?, ?)",
            (lease, fence.token, fence.holder),
        )
