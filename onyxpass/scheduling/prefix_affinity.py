"""Prefix affinity: which prefill server likely has a prompt's prefix cached, or owns it.

The table maps sessions and shared prefixes to the server that last prefilled them. A key that is
not in the table belongs to its owners by rendezvous hashing: one owner with few routers, several
with many routers, since none of those sees the queue at the server of a popular prefix. Each router
owns one table.
"""

import math
from collections import OrderedDict, deque

from onyxpass.scheduling.contract import Arrival
from onyxpass.scheduling.rendezvous import rank_by_rendezvous
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState

MAX_ENTRIES = 20_000  # some minutes of sessions at hundreds of requests per second
ENTRY_BYTES = 400  # of memory, for each entry with its key
ENTRY_TTL_US = 30_000_000  # a prefix unused for this long has likely been evicted by the server
RECENT_REQUESTS = 30  # over which the popularity of a prefix is measured
MIN_OWNERS = 4  # of a prefix, where there are many routers
MAX_OWNER_LOAD_SHARE = 0.5  # of an even load, that a popular prefix may add to an owner


def shared_key(arrival: Arrival) -> str:
    """Return the key by which a request's owners are ranked: its prefix, else its session."""
    return arrival.prefix or arrival.session


class PrefixAffinityTable:
    """Maps sessions and prefixes to the servers that likely have them cached."""

    def __init__(self, pool: ServerPool) -> None:
        self._pool = pool
        self.memory_limit: int | None = None  # entries that the process has memory for
        self.recent_prefixes = deque[str](maxlen=RECENT_REQUESTS)
        # By key, least recently used first: server, when it was stored, tokens
        self.entries = OrderedDict[str, tuple[ServerState, int, int]]()

    def record_arrival(self, arrival: Arrival) -> None:
        """Count the request's prefix among the recent ones."""
        self.recent_prefixes.append(shared_key(arrival))

    def store(self, request: RequestState, server: ServerState, now_us: int) -> None:
        """Record that the server has prefilled the prompt; drop expired and surplus entries."""
        for key, tokens in request.prefix_keys.items():
            self.entries[key] = (server, now_us, tokens)
            self.entries.move_to_end(key)
        # Prevents the table from growing with sessions that have ended.
        max_entries = min(MAX_ENTRIES, self.memory_limit or MAX_ENTRIES)
        while (
            len(self.entries) > max_entries
            or now_us - next(iter(self.entries.values()))[1] > ENTRY_TTL_US
        ):
            self.entries.popitem(last=False)

    def match(
        self, request: RequestState, ranked: list[ServerState], now_us: int
    ) -> tuple[ServerState, int]:
        """Return the server with the longest known prefix and the tokens it likely has cached.

        If a shared prefix is the longest known one and that server is one of its owners, the
        request's owner is returned instead, since the owners share the prefix. If no prefix is
        known, this is the request's owner, with 0 tokens. ``ranked`` are the eligible servers in
        the order of rendezvous hashing.
        """
        owners = ranked[: self._owner_count(request.arrival, len(ranked))]
        owner = rank_by_rendezvous(request.arrival.session, owners)[0]
        for key in request.prefix_keys:
            entry = self.entries.get(key)
            if entry is None:
                continue
            server, stored_us, tokens = entry
            if now_us - stored_us > ENTRY_TTL_US or not self._is_current(server):
                del self.entries[key]
            elif server in ranked:
                self.entries.move_to_end(key)
                is_shared = key[0] == "p"
                return (owner if is_shared and server in owners else server), tokens
        return owner, 0

    def _is_current(self, server: ServerState) -> bool:
        """Return whether the server is still listed and has not restarted."""
        return self._pool.servers.get(server.id) is server

    def _owner_count(self, arrival: Arrival, eligible_count: int) -> int:
        """Return how many servers own the prefix, which grows with its popularity.

        The popularity is a lower estimate: the count less its standard error.
        """
        if not self._pool.many_routers:
            return 1
        count = self.recent_prefixes.count(shared_key(arrival))
        sample_size = max(RECENT_REQUESTS / 3, len(self.recent_prefixes))
        popularity = (count - math.sqrt(count)) / sample_size * eligible_count
        # Every server has to prefill the unshared tokens: the fewer tokens are shared, the less it
        # costs to have more owners.
        own_tokens = arrival.prompt_tokens - arrival.prefix_tokens
        unshared_owners = MIN_OWNERS * own_tokens / max(1, arrival.prefix_tokens)
        # Powers of two let routers agree although they saw the prefix more or less often.
        wanted = max(1.0, popularity / MAX_OWNER_LOAD_SHARE, unshared_owners)
        return max(MIN_OWNERS, 1 << round(math.log2(wanted)))
