"""Weighted rendezvous hashing: all routers rank the servers for a key in the same order.

A server that leaves moves only its own keys, since the draw of a server for a key depends on
nothing else. The module keeps no state.
"""

import math
from collections.abc import Sequence
from typing import Protocol, TypeVar

from onyxpass.scheduling.stable_hash import stable_hash


class WeightedServer(Protocol):
    """The attributes of a server that rendezvous hashing uses."""

    id: str
    rendezvous_weight: float


ServerT = TypeVar("ServerT", bound=WeightedServer)


def rank_by_rendezvous(key: str, servers: Sequence[ServerT]) -> list[ServerT]:
    """Return the servers in the order in which they own ``key``, the first owner first."""
    draws = {server.id: (1 + stable_hash(f"{key}|{server.id}")) / (2 + 2**64) for server in servers}
    return sorted(
        servers,
        key=lambda server: (-math.log(draws[server.id]) / server.rendezvous_weight, server.id),
    )
