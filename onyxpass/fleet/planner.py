"""Plans which instances may be out of service together, without I/O.

The planner returns one wave at a time. The state of each instance after its change is passed back
to it, so that each wave is planned from the present state. In each state, whatever the order of
results:

- at most ``out`` instances are out in all, ``out_hall`` of a hall, ``out_host`` of a host;
- each hall has its ``keep`` of capacity in service.

An instance is out while it changes, and for as long as it is not in service. An instance that fails
by itself may exceed a limit; the planner then takes nothing more out under that limit until it is
met again. An instance that is already out of service costs its hall no capacity, so it may be
changed even if the hall has no capacity to spare.

The limits are nested (hosts within halls within the fleet). Taking first from the halls and hosts
that still need the most waves therefore gives, for instances of one capacity, no more waves than
the tightest limit alone would.
"""

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class PlannedInstance:
    name: str
    hall: str
    host: str
    capacity: float = 1.0
    serving: bool = True


@dataclass(frozen=True, slots=True)
class DisruptionLimits:
    """Limits on instances that are out of service together: in all, of a hall and of a host."""

    out: int
    out_hall: int
    out_host: int
    keep: Mapping[str, float]  # capacity that stays in service, by hall


CAPACITY_TOLERANCE = 1e-9  # for rounding errors in sums of capacities


class HostState:
    """The instances of one host that are in service and wait for their change."""

    __slots__ = ("name", "out", "waiting")

    def __init__(self, name: str) -> None:
        self.name, self.out = name, 0
        self.waiting: list[PlannedInstance] = []  # by capacity, the largest last


class HallState:
    """The state of one hall.

    ``queue`` is a heap of the hosts with waiting instances; the host that needs the most waves
    comes first.
    """

    __slots__ = (
        "hosts",
        "keep",
        "min_waiting_capacity",
        "name",
        "out",
        "queue",
        "serving_capacity",
        "waiting_count",
        "waiting_out",
    )

    def __init__(self, name: str, keep: float) -> None:
        self.name, self.keep = name, keep
        self.hosts: dict[str, HostState] = {}
        self.queue: list[tuple[int, str]] = []
        self.waiting_out: set[str] = set()  # out of service, and waiting for their change
        self.waiting_count = 0  # instances that wait for their change
        self.out = 0
        self.serving_capacity = 0.0
        self.min_waiting_capacity = math.inf  # no waiting instance has a smaller capacity

    def min_remaining_waves(self, limits: DisruptionLimits) -> int:
        """Return a lower bound on the waves that this hall still needs."""
        hosts = -self.queue[0][0] if self.queue else 0
        return max(hosts, -(-self.waiting_count // limits.out_hall))

    def can_spare(self, capacity: float) -> bool:
        return self.serving_capacity - capacity >= self.keep - CAPACITY_TOLERANCE


class Planner:
    """Plans the waves of one change.

    ``instances`` are all of the fleet, because the limits also count those that are not changed;
    ``to_change`` names those that are.
    """

    def __init__(
        self,
        instances: Iterable[PlannedInstance],
        to_change: Iterable[str],
        limits: DisruptionLimits,
    ) -> None:
        self.limits = limits
        self.instances = {instance.name: instance for instance in instances}
        self.halls: dict[str, HallState] = {}
        self.out: set[str] = set()
        self.waiting: set[str] = set()
        for instance in self.instances.values():
            hall = self.halls.setdefault(
                instance.hall, HallState(instance.hall, limits.keep.get(instance.hall, 0.0))
            )
            host = hall.hosts.setdefault(instance.host, HostState(instance.host))
            if instance.serving:
                hall.serving_capacity += instance.capacity
            else:
                self._take_out(instance, hall, host)
        for name in to_change:
            instance, hall, host = self._locate(name)
            hall.waiting_count += 1
            self.waiting.add(name)
            hall.min_waiting_capacity = min(hall.min_waiting_capacity, instance.capacity)
            if instance.serving:
                host.waiting.append(instance)
            else:
                hall.waiting_out.add(name)
        for hall in self.halls.values():
            for host in hall.hosts.values():
                host.waiting.sort(key=lambda instance: (instance.capacity, instance.name))
            hall.queue = [self._queue_entry(host) for host in hall.hosts.values() if host.waiting]
            heapq.heapify(hall.queue)

    def _queue_entry(self, host: HostState) -> tuple[int, str]:
        return -math.ceil(len(host.waiting) / self.limits.out_host), host.name

    def _take_out(self, instance: PlannedInstance, hall: HallState, host: HostState) -> None:
        self.out.add(instance.name)
        hall.out += 1
        host.out += 1

    def _locate(self, name: str) -> tuple[PlannedInstance, HallState, HostState]:
        instance = self.instances[name]
        hall = self.halls[instance.hall]
        return instance, hall, hall.hosts[instance.host]

    def observe(self, name: str, serving: bool) -> None:
        """Update whether an instance is in service, after its change or at any other time."""
        instance, hall, host = self._locate(name)
        if instance.serving != serving:
            hall.serving_capacity += instance.capacity if serving else -instance.capacity
            updated = self.instances[name] = replace(instance, serving=serving)
            if name in self.waiting and serving:
                hall.waiting_out.discard(name)
                host.waiting.append(updated)
                host.waiting.sort(key=lambda instance: (instance.capacity, instance.name))
                hall.queue = [entry for entry in hall.queue if entry[1] != host.name]
                hall.queue.append(self._queue_entry(host))
                heapq.heapify(hall.queue)
            elif name in self.waiting:
                host.waiting.remove(instance)
                hall.waiting_out.add(name)
            instance = updated
        if serving and name in self.out:
            self.out.discard(name)
            hall.out -= 1
            host.out -= 1
        elif not serving and name not in self.out:
            self._take_out(instance, hall, host)

    def drop(self, name: str) -> None:
        """Remove an instance from those that wait for their change."""
        if name in self.waiting:
            instance, hall, host = self._locate(name)
            if instance.serving:
                host.waiting.remove(instance)
            hall.waiting_out.discard(name)
            hall.waiting_count -= 1
            self.waiting.discard(name)

    def next_wave(self, max_size: int | None = None) -> tuple[PlannedInstance, ...]:
        """Return the instances that may be changed together now, at most ``max_size``.

        The wave is empty if the limits allow none. Its instances count as out of service until
        ``observe`` reports them as serving.
        """
        taken: list[PlannedInstance] = []
        skipped: list[tuple[HallState, HostState]] = []  # hosts without an instance for this wave
        halls = [
            (-hall.min_remaining_waves(self.limits), name)
            for name, hall in self.halls.items()
            if hall.waiting_count
        ]
        heapq.heapify(halls)
        while halls and (max_size is None or len(taken) < max_size):
            hall = self.halls[heapq.heappop(halls)[1]]
            if (instance := self._take_next(hall, skipped)) is None:
                continue
            hall.waiting_count -= 1
            self.waiting.discard(instance.name)
            taken.append(self.instances[instance.name])
            if hall.waiting_count:
                heapq.heappush(halls, (-hall.min_remaining_waves(self.limits), hall.name))
        for hall, host in skipped:
            if host.waiting:
                heapq.heappush(hall.queue, self._queue_entry(host))
        return tuple(taken)

    def _take_next(
        self, hall: HallState, skipped: list[tuple[HallState, HostState]]
    ) -> PlannedInstance | None:
        """Return the next instance of this hall that the limits allow; None if there is none.

        An instance that is already out of service comes first: its change takes no capacity out.
        """
        if hall.waiting_out:
            name = min(hall.waiting_out)
            hall.waiting_out.discard(name)
            return self.instances[name]
        if len(self.out) >= self.limits.out or hall.out >= self.limits.out_hall:
            return None
        if not hall.can_spare(hall.min_waiting_capacity):
            return None
        while hall.queue:
            host = hall.hosts[hall.queue[0][1]]
            instance = None
            if host.out < self.limits.out_host:
                instance = next(
                    (
                        instance
                        for instance in reversed(host.waiting)
                        if hall.can_spare(instance.capacity)
                    ),
                    None,
                )
            if instance is None:
                heapq.heappop(hall.queue)
                skipped.append((hall, host))
                continue
            host.waiting.remove(instance)
            if host.waiting:
                heapq.heapreplace(hall.queue, self._queue_entry(host))
            else:
                heapq.heappop(hall.queue)
            self._take_out(instance, hall, host)
            hall.serving_capacity -= instance.capacity
            self.instances[instance.name] = replace(instance, serving=False)
            return instance
        return None

    def blocked(self) -> dict[str, str]:
        """Return the waiting instances that ``keep`` excludes, by name, with the reason.

        They could not be taken out even if all other instances were in service.
        """
        total_capacity: dict[str, float] = {}
        for instance in self.instances.values():
            total_capacity[instance.hall] = (
                total_capacity.get(instance.hall, 0.0) + instance.capacity
            )
        reasons = {}
        for name in sorted(self.waiting):
            instance, hall, _ = self._locate(name)
            if (
                instance.serving
                and total_capacity[hall.name] - instance.capacity < hall.keep - CAPACITY_TOLERANCE
            ):
                reasons[name] = (
                    f"hall {hall.name} must keep {hall.keep:g} of {total_capacity[hall.name]:g}"
                )
        return reasons


@dataclass(frozen=True, slots=True)
class Plan:
    waves: tuple[tuple[PlannedInstance, ...], ...]
    impossible: Mapping[str, str]  # reason, by name


def plan(
    instances: Iterable[PlannedInstance],
    to_change: Iterable[str],
    limits: DisruptionLimits,
    canaries: int = 0,
) -> Plan:
    """Return the waves that follow if each change succeeds.

    The canaries come first, in waves of their own.
    """
    planner = Planner(instances, to_change, limits)
    waves: list[tuple[PlannedInstance, ...]] = []
    while canaries > 0 and (wave := planner.next_wave(canaries)):
        canaries -= len(wave)
        waves.append(wave)
        for instance in wave:
            planner.observe(instance.name, True)
    while wave := planner.next_wave():
        waves.append(wave)
        for instance in wave:
            planner.observe(instance.name, True)
    return Plan(tuple(waves), planner.blocked())


def fewest_waves(
    instances: Iterable[PlannedInstance], to_change: Iterable[str], limits: DisruptionLimits
) -> int:
    """Return a lower bound on the number of waves.

    It is what the tightest limit alone requires if all instances are in service and have the same
    capacity.
    """
    wanted, by_hall, by_host = set(to_change), dict[str, list[PlannedInstance]](), dict[str, int]()
    total_capacity: dict[str, float] = {}
    for instance in instances:
        total_capacity[instance.hall] = total_capacity.get(instance.hall, 0.0) + instance.capacity
        if instance.name in wanted:
            by_hall.setdefault(instance.hall, []).append(instance)
            by_host[instance.host] = by_host.get(instance.host, 0) + 1
    minimum = math.ceil(len(wanted) / limits.out)
    for hall, hall_instances in by_hall.items():
        spare = total_capacity[hall] - limits.keep.get(hall, 0.0) + CAPACITY_TOLERANCE
        at_once = min(
            limits.out_hall, int(spare / min(instance.capacity for instance in hall_instances))
        )
        minimum = max(minimum, math.ceil(len(hall_instances) / at_once) if at_once else 0)
    return max([minimum, *(math.ceil(n / limits.out_host) for n in by_host.values())])
