"""Which rollout an agent takes orders from: one at a time, while it renews its lock.

Without I/O. Times are seconds of the agent's monotonic clock, which nobody sets.
"""

from dataclasses import dataclass

MAX_TTL_S = 600.0


@dataclass(frozen=True, slots=True)
class GrantedRolloutLock:
    """A lock as granted; it expires at ``expires_s``."""

    rollout: str
    holder: str
    expires_s: float


@dataclass(slots=True)
class RolloutLockManager:
    """Grants the agent's one lock. Its owner records a lock before it tells the caller of it."""

    _granted: GrantedRolloutLock | None = None

    def current(self, now_s: float) -> GrantedRolloutLock | None:
        """Return the lock in force, if there is one."""
        if self._granted is not None and now_s >= self._granted.expires_s:
            self._granted = None
        return self._granted

    def acquire(self, rollout: str, holder: str, ttl_s: float, now_s: float) -> GrantedRolloutLock:
        """Return the lock in force: the caller's if its rollout has it now, else another's.

        The same rollout may go on under another holder: that is how the work of a killed tool is
        resumed.
        """
        lock = self.current(now_s)
        if lock is None or lock.rollout == rollout:
            lock = GrantedRolloutLock(rollout, holder, now_s + min(ttl_s, MAX_TTL_S))
            self._granted = lock
        return lock

    def release(self, rollout: str, now_s: float) -> bool:
        """Free the lock; return whether this rollout had it."""
        lock = self.current(now_s)
        if lock is None or lock.rollout != rollout:
            return False
        self._granted = None
        return True

    def conflicting(self, rollout: str, now_s: float) -> GrantedRolloutLock | None:
        """Return the lock that forbids an order of ``rollout``; empty for an order of none."""
        lock = self.current(now_s)
        return lock if lock is not None and lock.rollout != rollout else None
