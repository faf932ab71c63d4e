"""The planned full-size site, or a fraction of it, for the emulator; and the results of a run."""

import resource
import time
from collections import Counter
from dataclasses import dataclass, replace

from onyxpass.emulator.policies import POLICIES
from onyxpass.emulator.servers import TransferDistance
from onyxpass.emulator.simulation import Simulation
from onyxpass.emulator.topology import CLASSES, MIXED, READER, WRITER, InjectedFault, Site

REPLICAS, DISPATCHERS, RATE = 600, 370, 3_000.0
READER_SHARE = 0.4  # share of the replicas that are readers
TENANTS = 4_000
FIRST_TOKEN_US, TOKEN_US = 1_100_000, 25_000  # objectives for 95% of the requests
ZONES = tuple(f"{region}/{zone}" for region in ("north", "south") for zone in ("a", "b", "c"))
# per pair of dispatcher and server: twice the memory that a run at full size uses
MB_PER_PAIR = 0.002
MB_BASE = 120.0
MB_PER_PROCESS = 50.0  # of a node or an agent, whichever is larger


class MemoryLimitError(ValueError):
    """A run would need more memory than it may use."""


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """Results of a run. ``moved``: share of the transferred state tokens by distance."""

    replicas: int
    dispatchers: int
    rate: float
    seconds: float
    asked: int
    served: int
    refused: int
    failed: int
    first_token_in_aim: float
    tokens_in_aim: float
    moved: dict[str, float]
    wall_s: float
    mb: float


def scaled_site(fraction: float, seconds: float, faults: tuple[InjectedFault, ...] = ()) -> Site:
    """Return a site with this fraction of the full size's servers, dispatchers and requests."""
    replicas = max(8, round(REPLICAS * fraction))
    readers = round(READER_SHARE * replicas)
    classes = tuple(
        replace(
            c,
            traffic_class=replace(
                c.traffic_class,
                latency_objective_us=FIRST_TOKEN_US,
                latency_objective_us_per_1k_tokens=0,
                token_objective_us=TOKEN_US,
            ),
        )
        for c in CLASSES
    )
    return Site(
        readers,
        replicas - readers,
        0,
        dispatchers=max(2, round(DISPATCHERS * fraction)),
        halls=ZONES,
        kinds=(READER, WRITER, MIXED),
        classes=classes,
        rate=RATE * fraction,
        seconds=seconds,
        tenants=TENANTS,
        prefixes=400,
        faults=faults,
    )


def estimate_mb(site: Site) -> float:
    """Estimate the memory of a run: mostly each dispatcher's view of each server."""
    servers = site.readers + site.writers + site.mixed
    return MB_BASE + MB_PER_PAIR * servers * site.dispatchers


def check_memory(site: Site, max_mb: float) -> None:
    """Raise MemoryLimitError, with the fraction that would fit, where a run needs too much memory."""
    if (needed_mb := estimate_mb(site)) <= max_mb:
        return
    fraction = max(0.0, (max_mb - MB_BASE) / (needed_mb - MB_BASE)) ** 0.5
    raise MemoryLimitError(
        f"{site.dispatchers} dispatchers and {site.readers + site.writers} servers need about {needed_mb:.0f} MB, "
        f"{max_mb:.0f} may be used; {fraction:.2f} of the size on each side would fit"
    )


def check_processes(count: int, max_mb: float | None = None) -> None:
    """Raise MemoryLimitError, with the number that would fit, for too many processes.

    The limit is half of the machine's memory where ``max_mb`` is None.
    """
    max_mb = half_of_memory_mb() if max_mb is None else max_mb
    if count * MB_PER_PROCESS > max_mb:
        process_limit = int(max_mb // MB_PER_PROCESS)
        raise MemoryLimitError(
            f"{count} processes need about {count * MB_PER_PROCESS:.0f} MB; {process_limit} would fit"
        )


def half_of_memory_mb() -> float:
    """Return half of this machine's memory in MB."""
    with open("/proc/meminfo", encoding="ascii") as lines:
        total_kb = next(int(line.split()[1]) for line in lines if line.startswith("MemTotal:"))
    return total_kb / 1024 / 2


def run_site(site: Site, seed: int, max_mb: float | None = None) -> ScaleResult:
    """Run a site with the router; raise MemoryLimitError before the start where it does not fit.

    The limit is half of the machine's memory where ``max_mb`` is None.
    """
    check_memory(site, half_of_memory_mb() if max_mb is None else max_mb)
    began_s = time.perf_counter()
    simulation = Simulation(site, POLICIES["module"], seed, traced=False)
    tally = simulation.run()
    wall_s = time.perf_counter() - began_s
    moved = Counter[TransferDistance]()
    for server in simulation.servers.values():
        moved.update(server.transferred_tokens)
    tokens = max(1, sum(moved.values()))
    served = max(1, len(tally.waits_us))
    return ScaleResult(
        replicas=len(simulation.servers),
        dispatchers=site.dispatchers,
        rate=site.rate,
        seconds=site.seconds,
        asked=tally.asked,
        served=tally.served,
        refused=tally.refused,
        failed=tally.failed,
        first_token_in_aim=sum(wait <= FIRST_TOKEN_US for wait in tally.waits_us) / served,
        tokens_in_aim=sum(pace <= TOKEN_US for pace in tally.paces_us) / served,
        moved={kind.value: moved[kind] / tokens for kind in TransferDistance},
        wall_s=wall_s,
        mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    )
