"""The fleet's configuration file: halls, agents, instances, and the limits of a rollout."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from pydantic import Field

from onyxpass.agent.config import Name
from onyxpass.config import toml_config
from onyxpass.config.platform_file import Address

Share = Annotated[str, Field(pattern=r"^(100|[1-9]?[0-9])%$")]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]


class HallTable(toml_config.Model):
    name: Name
    keep: Share | Annotated[float, Field(ge=0)] = (
        "50%"  # capacity that always stays in service: a share of the hall's, or in its units
    )


class InstanceTable(toml_config.Model):
    name: Name
    capacity: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    labels: dict[str, str] = Field(default_factory=dict)


class AgentTable(toml_config.Model):
    host: Name
    hall: Name
    address: toml_config.ConnectAddress
    key: str | None = None  # file with the agent's key; the fleet's key by default
    instances: list[InstanceTable]


class LimitsTable(toml_config.Model):
    """The limits of a rollout: how many instances may be out of service at once, and for how long."""

    model_config = toml_config.schema_description(
        "What a rollout keeps to. ``out``: instances that are being changed or are not well, at once."
    )

    out: Share | Count = "25%"
    out_hall: Share | Count = "34%"
    out_host: Count = 1
    canaries: Annotated[int, Field(ge=0, le=1_000)] = 1
    pause_s: Seconds = 5.0  # pause after each wave
    abort_after: Count = 1  # failed or unknown instances at which the rollout aborts
    deadline_s: Annotated[float, Field(gt=0, le=86_400)] = 60.0  # time limit for each instance


class StoreTable(toml_config.Model):
    """Where rollouts take their leases. Without it each agent alone holds them apart."""

    url: str
    # time to live of a lease; the lease of a process that has ended is free again after it
    lease_s: Annotated[float, Field(ge=0.2, le=600)] = 15.0
    # maximum of lease_s; must be the same in the files of all operators
    longest_s: Annotated[float, Field(ge=0.2, le=600)] = 30.0
    wait_s: Annotated[float, Field(ge=0, le=86_400)] = (
        45.0  # maximum wait of a rollout for each lease
    )


class FleetFile(toml_config.Model):
    name: Name
    key: str  # file with the agents' key
    state: str = "fleet-state"  # folder in which rollouts are recorded
    limits: LimitsTable = Field(default_factory=LimitsTable)
    store: StoreTable | None = None
    halls: list[HallTable]
    agents: list[AgentTable]

    def faults(self) -> Iterable[tuple[tuple[toml_config.PathPart, ...], str]]:
        """Yield each fault that involves several keys, with its location.

        These are duplicate names, unknown halls, halls that keep more than their capacity, and a
        lease that is longer than the maximum.
        """
        if self.store is not None and self.store.lease_s > self.store.longest_s:
            yield (
                ("store", "lease_s"),
                f"a lease of {self.store.lease_s:g} s exceeds longest_s, {self.store.longest_s:g} s",
            )
        halls = [hall.name for hall in self.halls]
        names: list[tuple[str, str, tuple[toml_config.PathPart, ...]]] = [
            ("halls", name, ("halls", i, "name")) for i, name in enumerate(halls)
        ]
        for i, agent in enumerate(self.agents):
            names.append(("hosts", agent.host, ("agents", i, "host")))
            names.append(("agents' addresses", agent.address, ("agents", i, "address")))
            for j, instance in enumerate(agent.instances):
                names.append(("instances", instance.name, ("agents", i, "instances", j, "name")))
            if agent.hall not in halls:
                hint = toml_config.suggestion(agent.hall, halls)
                yield ("agents", i, "hall"), f"hall {agent.hall!r} is not defined{hint}"
        seen: set[tuple[str, str]] = set()
        for what, name, where in names:
            if (what, name) in seen:
                yield where, f"{name!r} occurs twice among the {what}"
            seen.add((what, name))
        for i, hall in enumerate(self.halls):
            capacity, keep = self.capacity(hall.name), self.keep(hall)
            if keep > capacity:
                yield (
                    ("halls", i, "keep"),
                    f"hall {hall.name!r} is to keep {keep:g} of {capacity:g}",
                )

    def capacity(self, hall: str) -> float:
        return sum(
            i.capacity for agent in self.agents if agent.hall == hall for i in agent.instances
        )

    def keep(self, hall: HallTable) -> float:
        """Return the capacity of a hall that must stay in service, in units of capacity."""
        if isinstance(hall.keep, str):
            return self.capacity(hall.name) * int(hall.keep.removesuffix("%")) / 100
        return hall.keep


@dataclass(frozen=True, slots=True)
class AgentRef:
    host: str
    hall: str
    address: Address
    key: Path


@dataclass(frozen=True, slots=True)
class Member:
    """One instance of the fleet, and the agent that manages it."""

    name: str
    agent: AgentRef
    capacity: float = 1.0
    labels: tuple[tuple[str, str], ...] = ()

    @property
    def hall(self) -> str:
        return self.agent.hall

    @property
    def host(self) -> str:
        return self.agent.host


@dataclass(frozen=True, slots=True)
class FleetConfig:
    name: str
    members: tuple[Member, ...]
    keep: dict[str, float]  # capacity that must stay in service, by hall
    limits: LimitsTable
    state: Path
    halls: tuple[str, ...] = field(default=())
    store: StoreTable | None = None

    @property
    def agents(self) -> tuple[AgentRef, ...]:
        return tuple({member.agent.host: member.agent for member in self.members}.values())


def count_of(share: str | int, total: int) -> int:
    """Return a share, such as ``"25%"``, of ``total``, at least 1; a number is returned as is."""
    if isinstance(share, int):
        return share
    return max(1, total * int(share.removesuffix("%")) // 100)


def _fleet_config(file: FleetFile, base: Path) -> FleetConfig:
    members = []
    for table in file.agents:
        agent = AgentRef(
            table.host, table.hall, Address.parse(table.address), base / (table.key or file.key)
        )
        for instance in table.instances:
            members.append(
                Member(
                    instance.name,
                    agent,
                    instance.capacity,
                    tuple(sorted(instance.labels.items())),
                )
            )
    keep = {hall.name: file.keep(hall) for hall in file.halls}
    halls = tuple(hall.name for hall in file.halls)
    return FleetConfig(
        file.name, tuple(members), keep, file.limits, base / file.state, halls, file.store
    )


def load(path: Path) -> FleetConfig:
    """Read a fleet's file.

    Raises ConfigError with file, line and reason if the file is invalid.
    """
    return _fleet_config(toml_config.read(FleetFile, path), path.parent)
