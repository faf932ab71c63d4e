"""Bounds the bytes that the process holds for its peers, without I/O.

Each connection has an account, which is charged with what arrives on it and is not done with: for a
connection to a server also with what its client has not taken yet. What exceeds the budget is taken
from one connection after the other: first from those without a valid request, among them from the
one that holds most, among equals from the oldest; then in the same order from the exchanges with
servers. A small part of each account is free of charge, so that usual requests are served however
full the budget is.
"""

from collections.abc import Callable
from enum import IntEnum

MIB = 1024 * 1024
MEGABYTE = 1_000_000  # the unit of the limit: the smaller one of two readings
DEFAULT_MEMORY_MB = 192
PROGRAM_MB = 26  # resident, for all that is not held for a client
# For each client connection and one to a server: their objects, parsers' buffers and free bytes.
CONNECTION_BYTES = 48 * 1024
CONNECTIONS_DIVISOR = 2  # part of what is left beside the program that connections may take
MIN_CONNECTIONS = 8
# The remaining memory is divided by this: bytes are held twice while they are passed on, and the
# allocator doesn't return all that was freed.
BUDGET_DIVISOR = 3
MIN_BUDGET_BYTES = MIB
FREE_BYTES = 8 * 1024  # of each account
RESERVED_DIVISOR = 2  # part of the budget for open requests that are held beside their input


def max_connections(memory_mb: int) -> int:
    """Return how many client connections a process with this memory may have at once."""
    remaining = (memory_mb - PROGRAM_MB) * MEGABYTE
    return max(MIN_CONNECTIONS, remaining // CONNECTIONS_DIVISOR // CONNECTION_BYTES)


class Standing(IntEnum):
    """What the bytes of an account belong to; the lowest is evicted first."""

    NO_REQUEST = 0  # no valid request that is open
    OPEN_REQUEST = 1  # a client with an open request, beside it
    EXCHANGE = 2  # an attempt's answer, and what its client has not taken of it
    PROTECTED = 3  # an open request; never evicted


def _do_nothing() -> None:
    """Evict an account that is closed."""


def _no_request() -> Standing:
    """Return the standing of an account that is closed."""
    return Standing.NO_REQUEST


class MemoryAccount:
    """Bytes that are held for one connection."""

    def __init__(
        self,
        budget: "MemoryBudget",
        number: int,
        evict: Callable[[], None],
        standing: Callable[[], Standing],
    ) -> None:
        self._budget = budget
        self.number = number
        self.standing = standing
        self.held_bytes = 0
        self.is_evicted = False
        self.is_closed = False
        self.evict = evict

    @property
    def charged_bytes(self) -> int:
        """Bytes that count against the budget."""
        return max(0, self.held_bytes - FREE_BYTES)

    def charge(self, count: int) -> bool:
        """Charge ``count`` bytes that have arrived; return whether they may be kept.

        May evict this account or others, by calling their ``evict``.
        """
        if self.is_evicted or self.is_closed:
            return False
        self._budget.set_held(self, self.held_bytes + count)
        self._budget.enforce()
        return not self.is_evicted

    def reserve(self, count: int) -> bool:
        """Charge ``count`` bytes of an open request if they fit; return whether they do.

        Open requests may take a part of the budget only: input needs the rest. Only accounts
        without a request are evicted for it.
        """
        if self._budget.reserved_bytes + count > self._budget.limit_bytes // RESERVED_DIVISOR:
            return False
        self._budget.reserved_bytes += count
        self._budget.set_held(self, self.held_bytes + count)
        self._budget.enforce(Standing.NO_REQUEST)
        return True

    def release(self, count: int) -> None:
        """Give back bytes that were reserved."""
        self._budget.reserved_bytes -= count
        self._budget.set_held(self, max(0, self.held_bytes - count))

    def settle(self, held_bytes: int) -> None:
        """Set what is still held, once a part of it has been passed on or dropped."""
        self._budget.set_held(self, 0 if self.is_evicted else held_bytes)

    def close(self) -> None:
        """End the account; nothing is held any more, nor kept."""
        self.is_closed = True
        self._budget.remove(self)
        # They refer to the connection, and the connection to its account.
        self.evict, self.standing = _do_nothing, _no_request


class MemoryBudget:
    """The accounts of all connections of a process, and their common limit."""

    def __init__(self, memory_mb: int = DEFAULT_MEMORY_MB, connections: int = 0) -> None:
        """``memory_mb`` is what the process may use in all, with so many connections at once."""
        self.memory_mb = memory_mb
        self.limit_bytes = 0
        self.set_connection_limit(connections)
        self.charged_bytes = 0
        self.reserved_bytes = 0
        self.evictions = 0
        self._accounts: set[MemoryAccount] = set()
        self._last_number = 0

    def set_connection_limit(self, connections: int) -> None:
        """Set the limit that remains beside so many connections."""
        remaining = (self.memory_mb - PROGRAM_MB) * MEGABYTE - connections * CONNECTION_BYTES
        self.limit_bytes = max(MIN_BUDGET_BYTES, remaining // BUDGET_DIVISOR)

    def open(self, evict: Callable[[], None], standing: Callable[[], Standing]) -> MemoryAccount:
        """Return the account of a new connection.

        ``evict`` is called at most once, and must drop what is held for the connection.
        ``standing`` returns its present standing.
        """
        self._last_number += 1
        account = MemoryAccount(self, self._last_number, evict, standing)
        self._accounts.add(account)
        return account

    def remove(self, account: MemoryAccount) -> None:
        """Remove an account with all that it holds; an unknown one is ignored."""
        self.set_held(account, 0)
        self._accounts.discard(account)

    def set_held(self, account: MemoryAccount, held_bytes: int) -> None:
        """Change what an account holds."""
        self.charged_bytes -= account.charged_bytes
        account.held_bytes = held_bytes
        self.charged_bytes += account.charged_bytes

    def enforce(self, highest: Standing = Standing.EXCHANGE) -> None:
        """Evict accounts, up to this standing, until the charged bytes are within the limit."""
        while self.charged_bytes > self.limit_bytes:
            victim = self._next_victim()
            if victim is None or victim.standing() > highest:
                return
            self.evictions += 1
            victim.is_evicted = True
            self.set_held(victim, 0)
            victim.evict()

    def _next_victim(self) -> MemoryAccount | None:
        candidates = (
            (account.standing(), -account.charged_bytes, account.number, account)
            for account in self._accounts
            if account.charged_bytes
        )
        first = min(candidates, default=None)
        return None if first is None or first[0] is Standing.PROTECTED else first[-1]
