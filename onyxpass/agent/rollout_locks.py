"""The lock with which one rollout at a time controls an agent, for as long as it renews the lock.

Without I/O. Times are seconds of the agent's monotonic clock, which can't be set.
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
    """Grants the agent's one lock. Its owner stores a lock before it reports the grant."""

    _granted: GrantedRolloutLock | None = None

    def current(self, now_s: float) -> GrantedRolloutLock | None:
        """Return the lock in force, if there is one."""
        if self._granted is not None and now_s >= self._granted.expires_s:
            self._granted = None
        return self._granted

    def acquire(self, rollout: str, holder: str, ttl_s: float, now_s: float) -> GrantedRolloutLock:
        """Acquire or renew the lock; return the lock in force, which may be another rollout's.

        The same rollout may continue under another holder, which resumes the work of a tool that
        was killed.
        """
        lock = self.current(now_s)
        if lock is None or lock.rollout == rollout:
            lock = GrantedRolloutLock(rollout, holder, now_s + min(ttl_s, MAX_TTL_S))
            self._granted = lock
        return lock

    def release(self, rollout: str, now_s: float) -> bool:
        """Release the lock; return whether this rollout held it."""
        lock = self.current(now_s)
        if lock is None or lock.rollout != rollout:
            return False
        self._granted = None
        return True

    def conflicting(self, rollout: str, now_s: float) -> GrantedRolloutLock | None:
        """Return the lock that forbids operations of ``rollout`` (empty: of no rollout), if any."""
        lock = self.current(now_s)
        return lock if lock is not None and lock.rollout != rollout else None
