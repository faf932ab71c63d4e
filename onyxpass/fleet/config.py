"""The operators' file of the fleet: halls, agents, instances, and the limits of a rollout."""

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
        "50%"  # of its capacity, or in units of it, always in service
    )


class InstanceTable(toml_config.Model):
    name: Name
    capacity: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    labels: dict[str, str] = Field(default_factory=dict)


class AgentTable(toml_config.Model):
    host: Name
    hall: Name
    address: toml_config.ConnectAddress
    key: str | None = None  # else the fleet's
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
    pause_s: Seconds = 5.0  # after each wave
    abort_after: Count = 1  # so many failed or unknown ones
    deadline_s: Annotated[float, Field(gt=0, le=86_400)] = 60.0  # for each instance


class StoreTable(toml_config.Model):
    """Where rollouts take their leases. Without it each agent alone holds them apart."""

    url: str
    # a dead tool's lease is free again after it
    lease_s: Annotated[float, Field(ge=0.2, le=600)] = 15.0
    # no tool's is longer; alike in all files
    longest_s: Annotated[float, Field(ge=0.2, le=600)] = 30.0
    wait_s: Annotated[float, Field(ge=0, le=86_400)] = 45.0  # for which a rollout waits for it


class FleetFile(toml_config.Model):
    name: Name
    key: str  # the file with the key of the agents
    state: str = "fleet-state"  # the folder in which rollouts are recorded
    limits: LimitsTable = Field(default_factory=LimitsTable)
    store: StoreTable | None = None
    halls: list[HallTable]
    agents: list[AgentTable]

    def faults(self) -> Iterable[tuple[tuple[toml_config.PathPart, ...], str]]:
        """Names that stand twice, halls that are not named, and more to keep than there is."""
        if self.store is not None and self.store.lease_s > self.store.longest_s:
            yield (
                ("store", "lease_s"),
                f"a lease of {self.store.lease_s:g} s, of {self.store.longest_s:g} at most",
            )
        halls = [hall.name for hall in self.halls]
        named: list[tuple[str, str, tuple[toml_config.PathPart, ...]]] = [
            ("halls", name, ("halls", i, "name")) for i, name in enumerate(halls)
        ]
        for i, agent in enumerate(self.agents):
            named.append(("hosts", agent.host, ("agents", i, "host")))
            named.append(("agents' addresses", agent.address, ("agents", i, "address")))
            for j, instance in enumerate(agent.instances):
                named.append(("instances", instance.name, ("agents", i, "instances", j, "name")))
            if agent.hall not in halls:
                near = toml_config.suggestion(agent.hall, halls)
                yield ("agents", i, "hall"), f"hall {agent.hall!r} is not named{near}"
        seen: set[tuple[str, str]] = set()
        for what, name, where in named:
            if (what, name) in seen:
                yield where, f"{name!r} stands among the {what} twice"
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
        """In units of capacity."""
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
    """One instance of the fleet."""

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
class Fleet:
    name: str
    members: tuple[Member, ...]
    keep: dict[str, float]  # by hall: capacity that must be in service
    limits: LimitsTable
    state: Path
    halls: tuple[str, ...] = field(default=())
    store: StoreTable | None = None

    @property
    def agents(self) -> tuple[AgentRef, ...]:
        return tuple({member.agent.host: member.agent for member in self.members}.values())


def count_of(share: str | int, whole: int) -> int:
    """``"25%"`` of a number of instances, at least one; or the number that is told."""
    if isinstance(share, int):
        return share
    return max(1, whole * int(share.removesuffix("%")) // 100)


def _fleet(file: FleetFile, base: Path) -> Fleet:
    members = []
    for table in file.agents:
        agent = AgentRef(
            table.host, table.hall, Address.parse(table.address), base / (table.key or file.key)
        )
        for entry in table.instances:
            members.append(
                Member(entry.name, agent, entry.capacity, tuple(sorted(entry.labels.items())))
            )
    keep = {hall.name: file.keep(hall) for hall in file.halls}
    names = tuple(hall.name for hall in file.halls)
    return Fleet(file.name, tuple(members), keep, file.limits, base / file.state, names, file.store)


def load(path: Path) -> Fleet:
    """ConfigError with file, line and reason where it is no use."""
    return _fleet(toml_config.read(FleetFile, path), path.parent)
