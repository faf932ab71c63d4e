"""The description of an emulated site: halls, servers, traffic and clients.

The defaults resemble the operators' site.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from onyxpass.scheduling import contract

SECOND_US = 1_000_000


@dataclass(frozen=True, slots=True)
class ServerProfile:
    """One kind of server. Times are in microseconds, rates in tokens per second, memory in tokens."""

    name: str
    role: contract.Role
    slots: int
    queue_limit: int
    memory_tokens: int
    prefill_rate: float = 16_000.0
    step_us: float = 14_000.0
    step_us_per_answer: float = 150.0  # added to a decode step for each open answer
    step_us_per_1k_context: float = 40.0  # added to a step per 1,000 tokens of all contexts


READER = ServerProfile("reader", contract.Role.PREFILL, 6, 40, 240_000, 18_000.0)
WRITER = ServerProfile("writer", contract.Role.DECODE, 90, 24, 150_000, 7_000.0)
MIXED = ServerProfile("mixed", contract.Role.MIXED, 60, 30, 230_000, 12_000.0)


@dataclass(frozen=True, slots=True)
class ClassProfile:
    """One class of requests. ``share``: part of all requests; lengths are in tokens."""

    traffic_class: contract.TrafficClass
    share: float
    mean_turns: float
    mean_new_tokens: float
    mean_output_tokens: float
    shared_prefix_share: float  # part of the sessions that begin with a shared prefix
    mean_shared_tokens: float


def _traffic_class(
    name: str,
    latency_objective_s: float,
    deadline_s: float,
    priority_weight: float,
    late_weight: float,
    idempotency: contract.Idempotency,
    token_objective_us: int,
) -> contract.TrafficClass:
    return contract.TrafficClass(
        name,
        round(latency_objective_s * SECOND_US),
        round(deadline_s * SECOND_US),
        priority_weight,
        late_weight,
        idempotency,
        latency_objective_us_per_1k_tokens=40_000,
        token_objective_us=token_objective_us,
    )


SAFE, UNSAFE = contract.Idempotency.IDEMPOTENT, contract.Idempotency.NONE
CLASSES = (
    ClassProfile(
        _traffic_class("part-lookup", 1.2, 6, 3, 0.2, SAFE, 60_000), 0.47, 2.7, 420, 170, 0.84, 2600
    ),
    ClassProfile(
        _traffic_class("shift-summary", 3, 15, 3, 0.2, SAFE, 80_000), 0.31, 5.7, 460, 100, 0.8, 5200
    ),
    ClassProfile(
        _traffic_class("stock-booking", 1.5, 7.5, 2, 0.1, UNSAFE, 70_000),
        0.22,
        1.9,
        370,
        230,
        0.77,
        1300,
    ),
)


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """One injected fault.

    ``what`` is one of:

    - lag: ``size`` more seconds until dispatchers see a change of the list;
    - flush: clears the prefix cache of a random share ``size`` of the servers;
    - hot: a share ``size`` of the new sessions begins with a new prefix, one per class;
    - cut, flap: ``hall`` is partitioned from the others, once or twice;
    - crash: ``server`` stops, and starts again after ``for_s`` if that is not zero;
    - slow: prefills and decode steps of ``server`` take ``size`` times as long.
    """

    what: str
    at_s: float
    for_s: float = 0.0
    size: float = 0.0
    hall: str = ""
    server: str = ""


@dataclass(frozen=True, slots=True)
class Site:
    """A site, its traffic and its injected faults."""

    readers: int = 6
    writers: int = 6
    mixed: int = 2
    dispatchers: int = 4
    halls: tuple[str, ...] = ("boa-vista", "santo-amaro", "derby")
    kinds: tuple[ServerProfile, ...] = (READER, WRITER, MIXED)
    classes: tuple[ClassProfile, ...] = CLASSES
    rate: float = 25.0  # requests per second, retries not counted
    seconds: float = 60.0
    think_s: float = 5.0
    tenants: int = 0  # number of tenants, drawn by Zipf's law
    prefixes: int = 40  # number of shared prefixes per class, drawn by Zipf's law
    zipf_exponent: float = 0.9
    port_rate: float = 300_000.0  # tokens per second of state transfers over one reader's port
    cell_link_rate: float = 900_000.0  # tokens per second out of a cell, shared by all its readers
    cross_hall_factor: float = 2.2  # time per token to another hall, relative to another cell
    one_way_us: int = 600  # network delay between halls; a quarter of it within one
    list_lag_s: float = 2.0  # until dispatchers learn of a changed server
    tick_us: int = 1_000
    retries: int = 1  # zero: clients never retry
    cold_speed_factor: float = 0.3  # share of full speed of a server that has just started
    warmup_us: int = 13 * SECOND_US
    overload_multiple: float = 2.5
    overload_window_us: int = 1 * SECOND_US
    faults: tuple[InjectedFault, ...] = ()
    extra: Mapping[str, object] = field(default_factory=dict)

    def settings(self, ordinal: int) -> contract.Settings:
        """Return the settings of the dispatcher with this ordinal."""
        return contract.Settings(
            classes=tuple(c.traffic_class for c in self.classes),
            kinds=tuple(contract.ServerKind(k.name, k.role, k.memory_tokens) for k in self.kinds),
            zone=self.halls[ordinal % len(self.halls)],
            ordinal=ordinal,
            routers=self.dispatchers,
            retry_after_supported=True,
            slow_start_initial_factor=self.cold_speed_factor,
            slow_start_duration_us=self.warmup_us,
            overload_multiple=self.overload_multiple,
            overload_window_us=self.overload_window_us,
            tick_us=self.tick_us,
        )

    def servers(self) -> list[tuple[ServerProfile, contract.Endpoint]]:
        """Return all servers, spread evenly over halls and cells."""
        counts = {
            contract.Role.PREFILL: self.readers,
            contract.Role.DECODE: self.writers,
            contract.Role.MIXED: self.mixed,
        }
        placed = []
        for kind in self.kinds:
            for n in range(counts[kind.role]):
                hall = self.halls[n % len(self.halls)]
                cell = n % len(self.halls) + len(self.halls) * (n // 16)
                placed.append((kind, contract.Endpoint(f"{kind.name}-{n}", kind.name, hall, cell)))
        return placed
