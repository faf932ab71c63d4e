"""Client traffic: sessions arrive at random, and each turn's prompt holds all earlier turns.

Each concern (arrivals, lengths and others) draws from its own random generator, and all are drawn
before the run. Two policies with the same seed therefore receive the same sessions, lengths and
times, whatever the policies decide.
"""

import math
from dataclasses import dataclass

import numpy as np

from onyxpass.emulator.topology import ClassProfile, Site

LENGTH_SIGMA = 0.7  # standard deviation of the logarithm of the lognormal lengths


@dataclass(frozen=True, slots=True)
class Turn:
    """One request of a session, without its retries.

    ``at_us`` is drawn in advance, so a turn does not wait for the end of the turn before it.
    """

    at_us: int
    sequence: int
    class_index: int
    session: str
    prefix: str | None
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    dispatcher_ordinal: int  # the dispatcher that its client connects to
    patience: float  # the client waits this share of the time that its class allows
    tenant: str | None = None


class RandomStreams:
    """One random generator per concern, all derived from one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, concern: str) -> np.random.Generator:
        return np.random.default_rng([self.seed, *concern.encode()])


def draw_lengths(generator: np.random.Generator, mean: float, count: int) -> list[int]:
    samples = generator.lognormal(math.log(mean) - LENGTH_SIGMA**2 / 2, LENGTH_SIGMA, count)
    return [max(1, int(value)) for value in samples]


def draw_turns(site: Site, seed: int) -> list[Turn]:
    """Return all turns of a run, ordered by time."""
    streams = RandomStreams(seed)
    arrival_stream, class_stream, length_stream = (
        streams.of("arrivals"),
        streams.of("classes"),
        streams.of("lengths"),
    )
    prefix_stream, think_stream, dispatcher_stream = (
        streams.of("texts"),
        streams.of("think"),
        streams.of("fronts"),
    )
    total_share = sum(c.share for c in site.classes)
    weights = np.array([c.share / c.mean_turns for c in site.classes])
    sessions_per_s = site.rate * float(weights.sum()) / total_share
    prefix_weights = np.arange(1, site.prefixes + 1) ** -site.zipf_exponent
    tenant_stream, tenant_weights = (
        streams.of("tenants"),
        np.arange(1, site.tenants + 1) ** -site.zipf_exponent,
    )
    drawn: list[tuple[float, int, Turn]] = []
    at_s, session, sequence = 0.0, 0, 0
    while True:
        at_s += float(arrival_stream.exponential(1 / sessions_per_s))
        if at_s >= site.seconds:
            break
        session += 1
        class_index = int(class_stream.choice(len(site.classes), p=weights / weights.sum()))
        profile: ClassProfile = site.classes[class_index]
        turns = int(class_stream.geometric(1 / max(1.0, profile.mean_turns)))
        prefix, prefix_tokens = None, 0
        if prefix_stream.random() < profile.shared_prefix_share:
            rank = int(prefix_stream.choice(site.prefixes, p=prefix_weights / prefix_weights.sum()))
            prefix = f"{profile.traffic_class.name}-{rank}"
            prefix_tokens = int(profile.mean_shared_tokens * (0.5 + (rank * 7919 % 100) / 100))
        hot_fraction = hot_share(site, at_s)
        if hot_fraction > 0 and prefix_stream.random() < hot_fraction:
            prefix, prefix_tokens = (
                f"hot-{profile.traffic_class.name}",
                int(profile.mean_shared_tokens * 1.5),
            )
        tenant = None
        if site.tenants:
            tenant = f"t{int(tenant_stream.choice(site.tenants, p=tenant_weights / tenant_weights.sum()))}"
        context_tokens, dispatcher_ordinal = (
            prefix_tokens,
            int(dispatcher_stream.integers(site.dispatchers)),
        )
        when_s = at_s
        new_tokens, output_tokens = (
            draw_lengths(length_stream, profile.mean_new_tokens, turns),
            draw_lengths(length_stream, profile.mean_output_tokens, turns),
        )
        for turn in range(turns):
            context_tokens += new_tokens[turn]
            if when_s < site.seconds:
                sequence += 1
                patience = 0.5 + 0.5 * float(dispatcher_stream.random())
                request_turn = Turn(
                    round(when_s * 1e6), sequence, class_index, f"s{session}", prefix, prefix_tokens, context_tokens,
                    output_tokens[turn], dispatcher_ordinal, patience, tenant,
                )  # fmt: skip
                drawn.append((when_s, sequence, request_turn))
            context_tokens += output_tokens[turn]
            when_s += float(think_stream.exponential(site.think_s)) + 0.5
    drawn.sort(key=lambda row: (row[0], row[1]))
    return [turn for _, _, turn in drawn]


def hot_share(site: Site, at_s: float) -> float:
    """Return the share of new sessions that begin with the prefix of a ``hot`` fault."""
    shares = [
        fault.size
        for fault in site.faults
        if fault.what == "hot" and fault.at_s <= at_s < fault.at_s + fault.for_s
    ]
    return max(shares, default=0.0)
