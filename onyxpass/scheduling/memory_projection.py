"""Projects the memory use of decode servers from late load reports and this router's sends.

Load reports are late and noisy, and each router sees only its own sends; those of the others are
estimated. The functions keep no state of their own.
"""

import math
from collections import Counter
from collections.abc import Sequence

from onyxpass.scheduling import contract
from onyxpass.scheduling.server_state import ServerState

REPORT_DELAY_US = 400_000  # age up to which sends are missing from a load report
REPORT_HALF_LIFE_US = 4_000_000  # age at which a load report counts half
MAX_HALVINGS = 50.0  # keeps the trust in a report above zero
MIN_CAPACITY_SHARE = 0.2  # of its memory, for a server of low weight in the endpoint list


def estimate_all_routers(own: Sequence[int], routers: int) -> float:
    """Return the estimated tokens sent by all routers, given the sends ``own`` of this router.

    A few sends say nothing about the other routers and count alone.
    """
    certainty = max(0.0, 1 - 2 / math.sqrt(max(1, len(own))))
    return sum(own) * (1 + (routers - 1) * certainty)


def projected_utilization(
    servers: Sequence[ServerState],
    settings: contract.Settings,
    now_us: int,
    *,
    certain_only: bool = False,
) -> dict[ServerState, float]:
    """Return the share of each server's memory that is likely in use.

    The projection is the last reported share, which fades to the average of all servers with its
    age, plus the memory of streams sent since that report. All routers are taken to have sent as
    much as this one; with ``certain_only``, only as far as its number of sends makes that certain.
    """
    ages = {
        server: (now_us - server.utilization_reported_us) / REPORT_HALF_LIFE_US
        for server in servers
        if server.utilization_reported_us >= 0
    }
    trust = {server: 0.5 ** min(MAX_HALVINGS, ages.get(server, MAX_HALVINGS)) for server in servers}
    weighted = sum(server.memory_utilization * trust[server] for server in servers)
    average = weighted / sum(trust.values())
    projected: dict[ServerState, float] = {}
    for server in servers:
        unreported = 0.0
        if server.streams:
            since_us = -1.0
            if ages:
                report_age_us = min(1.0, ages.get(server, 1.0)) * REPORT_HALF_LIFE_US
                since_us = now_us - report_age_us - REPORT_DELAY_US
            unreported = _tokens_sent_since(server, since_us, settings.routers, certain_only)
        capacity = server.memory_tokens * max(MIN_CAPACITY_SHARE, server.endpoint.weight)
        faded = average + (server.memory_utilization - average) * trust[server]
        projected[server] = faded + unreported / capacity
    return projected


def _tokens_sent_since(
    server: ServerState, since_us: float, routers: int, certain_only: bool
) -> float:
    """Estimate the tokens of the streams that all routers sent to a server after ``since_us``."""
    sends = [tokens for sent_us, tokens in server.streams.values() if sent_us > since_us]
    if not sends:
        return 0.0
    return estimate_all_routers(sends, routers) if certain_only else routers * sum(sends)


def prefill_to_memory_ratios(
    prefill: Sequence[ServerState], decode: Sequence[ServerState]
) -> dict[object, float]:
    """Return each place's share of the prefill servers divided by its share of the memory.

    The keys are zones, and cells as pairs of zone and cell number.
    """
    prefill_share = Counter[object]()
    memory_share = Counter[object]()
    for server in prefill:
        here = server.endpoint
        prefill_share.update(
            {here.zone: 1 / len(prefill), (here.zone, here.cell): 1 / len(prefill)}
        )
    memory_tokens = sum(server.memory_tokens for server in decode)
    for server in decode:
        here = server.endpoint
        share = server.memory_tokens / memory_tokens
        memory_share.update({here.zone: share, (here.zone, here.cell): share})
    return {place: prefill_share[place] / share for place, share in memory_share.items()}
