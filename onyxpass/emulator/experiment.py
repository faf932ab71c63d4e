"""Experiments from a file: base values, axes that vary, seeds and policies.

Results are stored in an SQLite file, one transaction per run, under a digest of the run's
parameters. An interrupted experiment therefore resumes with the missing runs, and each stored
result is complete.
"""

import hashlib
import itertools
import json
import sqlite3
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field

from onyxpass.config import toml_config
from onyxpass.emulator.policies import POLICIES
from onyxpass.emulator.simulation import PolicyError, Simulation
from onyxpass.emulator.topology import InjectedFault, Site
from onyxpass.history_checkers.trace import breaches

FULL_KNOWLEDGE = "full-knowledge"
AXES = (
    "readers",
    "writers",
    "mixed",
    "dispatchers",
    "rate",
    "seconds",
    "think_s",
    "list_lag_s",
    "retries",
)
INTEGER_FIELDS = ("readers", "writers", "mixed", "dispatchers", "retries")
MEASURES = ("g", "served", "refused", "failed", "gone", "late", "attempts", "worst_10s", "broken")
PositiveNumber = Annotated[float, Field(gt=0, le=1e6)]


class TroubleTable(toml_config.Model):
    what: str
    at_s: float
    for_s: float = 0.0
    size: float = 0.0
    hall: str = ""
    server: str = ""


class ExperimentFile(toml_config.Model):
    name: str
    policies: Annotated[list[str], Field(min_length=1)]
    baseline: str  # the policy that the others are compared with
    seeds: Annotated[list[int], Field(min_length=1)]
    base: dict[str, PositiveNumber] = Field(default_factory=dict)
    axes: dict[str, Annotated[list[PositiveNumber], Field(min_length=1)]] = Field(
        default_factory=dict
    )
    troubles: list[TroubleTable] = Field(default_factory=list)

    def faults(self) -> Iterable[tuple[tuple[toml_config.PathPart, ...], str]]:
        known = [*POLICIES, FULL_KNOWLEDGE]
        for number, name in enumerate(self.policies):
            if name not in known:
                yield (
                    ("policies", number),
                    f"no policy {name!r}{toml_config.suggestion(name, known)}",
                )
        if self.baseline not in self.policies:
            yield ("baseline",), f"baseline {self.baseline!r} is not one of the policies"
        for table, keys in (("base", self.base), ("axes", self.axes)):
            for key in keys:
                if key not in AXES:
                    yield (table, key), f"no key {key!r}{toml_config.suggestion(key, AXES)}"
        for number, fault in enumerate(self.troubles):
            if fault.what not in ("lag", "flush", "hot", "cut", "flap", "crash", "slow"):
                yield ("troubles", number, "what"), f"no trouble {fault.what!r}"
        if len(set(self.seeds)) < len(self.seeds):
            yield ("seeds",), "a seed is listed twice"


@dataclass(frozen=True, slots=True)
class ExperimentRun:
    """One run of one policy with one seed."""

    policy: str
    seed: int
    point: tuple[tuple[str, float], ...]  # values of the axes
    base: tuple[tuple[str, float], ...]
    troubles: tuple[InjectedFault, ...]

    @property
    def key(self) -> str:
        fields = json.dumps(asdict(self), sort_keys=True)
        return hashlib.blake2b(fields.encode(), digest_size=12).hexdigest()

    def site(self) -> Site:
        values = {**dict(self.base), **dict(self.point)}
        typed = {
            key: int(value) if key in INTEGER_FIELDS else value for key, value in values.items()
        }
        return Site(**typed, faults=self.troubles)  # type: ignore[arg-type]


def expand_runs(file: ExperimentFile) -> list[ExperimentRun]:
    """Return all runs of an experiment in a fixed order."""
    names = sorted(file.axes)
    troubles = tuple(InjectedFault(**table.model_dump()) for table in file.troubles)
    runs = []
    for values in itertools.product(*(file.axes[name] for name in names)):
        point = tuple(zip(names, values, strict=True))
        for seed, policy in itertools.product(file.seeds, file.policies):
            runs.append(
                ExperimentRun(policy, seed, point, tuple(sorted(file.base.items())), troubles)
            )
    return runs


def execute_run(run: ExperimentRun) -> dict[str, float | str]:
    """Return the measures of a run, or only ``problem`` with the reason where the policy failed."""
    began_s = time.perf_counter()
    try:
        simulation = Simulation(run.site(), POLICIES.get(run.policy), run.seed)
        tally = simulation.run()
    except PolicyError as error:
        return {"problem": str(error)}
    fields = asdict(tally)
    measures: dict[str, float | str] = {
        key: float(fields[key]) for key in MEASURES if key in fields
    }
    seconds = sorted(tally.by_second.items())
    windows = [seconds[i : i + 10] for i in range(max(1, len(seconds) - 9))]
    shares = [sum(row[0] for _, row in w) / max(1e-9, sum(row[1] for _, row in w)) for w in windows]
    measures |= {
        "g": tally.g,
        "worst_10s": min(shares, default=0.0),
        "broken": float(len(breaches(simulation.trace))),
    }
    measures["seconds"] = time.perf_counter() - began_s
    return measures


class ResultStore:
    """The stored results, by run."""

    def __init__(self, path: Path) -> None:
        self.db = sqlite3.connect(str(path), isolation_level=None)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(
            "CREATE TABLE IF NOT EXISTS runs (key TEXT PRIMARY KEY, policy TEXT, seed INTEGER, point TEXT,"
            " measures TEXT NOT NULL)"
        )

    def close(self) -> None:
        self.db.close()

    def put(self, run: ExperimentRun, measures: Mapping[str, float | str]) -> None:
        row = (
            run.key,
            run.policy,
            run.seed,
            json.dumps(run.point),
            json.dumps(dict(measures), sort_keys=True),
        )
        self.db.execute("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", row)

    def get(self, run: ExperimentRun) -> dict[str, Any] | None:
        row = self.db.execute("SELECT measures FROM runs WHERE key = ?", (run.key,)).fetchone()
        return json.loads(row[0]) if row is not None else None


def execute_runs(
    runs: Iterable[ExperimentRun],
    results: ResultStore,
    workers: int,
    done: Callable[[ExperimentRun], None] = lambda _: None,
) -> int:
    """Run what has no stored result; return the number of these runs.

    ``done`` is called for each run, stored before or now.
    """
    missing = []
    for run in runs:
        if results.get(run) is None:
            missing.append(run)
        else:
            done(run)
    if workers <= 1:
        for run in missing:
            results.put(run, execute_run(run))
            done(run)
        return len(missing)
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        run_by_future = {pool.submit(execute_run, run): run for run in missing}
        for future in as_completed(run_by_future):
            results.put(run_by_future[future], future.result())
            done(run_by_future[future])
    return len(missing)
