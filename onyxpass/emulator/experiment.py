"""Experiments from a file: a base, axes that vary, seeds and policies; each run once, whatever
is killed.

Rows go into an SQLite file, one transaction a run, under the digest of all that the run depends on.
So an experiment that was cut off goes on where it was, and a row that is there is a whole one.
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
from onyxpass.emulator.simulation import PolicyFault, World
from onyxpass.emulator.topology import Site, Trouble
from onyxpass.history_checkers.trace import breaches

KNOWING = "full-knowledge"
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
COUNTS = ("readers", "writers", "mixed", "dispatchers", "retries")
MEASURES = ("g", "served", "refused", "failed", "gone", "late", "attempts", "worst_10s", "broken")
Number = Annotated[float, Field(gt=0, le=1e6)]


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
    baseline: str  # the policy that the others are held against
    seeds: Annotated[list[int], Field(min_length=1)]
    base: dict[str, Number] = Field(default_factory=dict)
    axes: dict[str, Annotated[list[Number], Field(min_length=1)]] = Field(default_factory=dict)
    troubles: list[TroubleTable] = Field(default_factory=list)

    def faults(self) -> Iterable[tuple[tuple[toml_config.PathPart, ...], str]]:
        known = [*POLICIES, KNOWING]
        for number, name in enumerate(self.policies):
            if name not in known:
                yield (
                    ("policies", number),
                    f"no policy {name!r}{toml_config.suggestion(name, known)}",
                )
        if self.baseline not in self.policies:
            yield ("baseline",), f"baseline {self.baseline!r} is none of the policies"
        for table, keys in (("base", self.base), ("axes", self.axes)):
            for key in keys:
                if key not in AXES:
                    yield (table, key), f"no key {key!r}{toml_config.suggestion(key, AXES)}"
        for number, trouble in enumerate(self.troubles):
            if trouble.what not in ("lag", "flush", "hot", "cut", "flap", "crash", "slow"):
                yield ("troubles", number, "what"), f"no trouble {trouble.what!r}"
        if len(set(self.seeds)) < len(self.seeds):
            yield ("seeds",), "a seed stands there twice"


@dataclass(frozen=True, slots=True)
class Run:
    """One day of one policy."""

    policy: str
    seed: int
    point: tuple[tuple[str, float], ...]  # of the axes
    base: tuple[tuple[str, float], ...]
    troubles: tuple[Trouble, ...]

    @property
    def key(self) -> str:
        told = json.dumps(asdict(self), sort_keys=True)
        return hashlib.blake2b(told.encode(), digest_size=12).hexdigest()

    def site(self) -> Site:
        values = {**dict(self.base), **dict(self.point)}
        typed = {key: int(value) if key in COUNTS else value for key, value in values.items()}
        return Site(**typed, troubles=self.troubles)  # type: ignore[arg-type]


def runs_of(file: ExperimentFile) -> list[Run]:
    """All of them, in a fixed order."""
    names = sorted(file.axes)
    troubles = tuple(Trouble(**table.model_dump()) for table in file.troubles)
    found = []
    for values in itertools.product(*(file.axes[name] for name in names)):
        point = tuple(zip(names, values, strict=True))
        for seed, policy in itertools.product(file.seeds, file.policies):
            found.append(Run(policy, seed, point, tuple(sorted(file.base.items())), troubles))
    return found


def play(run: Run) -> dict[str, float | str]:
    """A run's measures. One whose policy fails has its reason in place of them."""
    began_s = time.perf_counter()
    try:
        world = World(run.site(), POLICIES.get(run.policy), run.seed)
        tally = world.run()
    except PolicyFault as problem:
        return {"problem": str(problem)}
    told = asdict(tally)
    found: dict[str, float | str] = {key: float(told[key]) for key in MEASURES if key in told}
    seconds = sorted(tally.by_second.items())
    windows = [seconds[i : i + 10] for i in range(max(1, len(seconds) - 9))]
    shares = [sum(row[0] for _, row in w) / max(1e-9, sum(row[1] for _, row in w)) for w in windows]
    found |= {
        "g": tally.g,
        "worst_10s": min(shares, default=0.0),
        "broken": float(len(breaches(world.trace))),
    }
    found["seconds"] = time.perf_counter() - began_s
    return found


class Rows:
    """The results of experiments, by run."""

    def __init__(self, path: Path) -> None:
        self.db = sqlite3.connect(str(path), isolation_level=None)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute(
            "CREATE TABLE IF NOT EXISTS runs (key TEXT PRIMARY KEY, policy TEXT, seed INTEGER, point TEXT,"
            " measures TEXT NOT NULL)"
        )

    def close(self) -> None:
        self.db.close()

    def put(self, run: Run, measures: Mapping[str, float | str]) -> None:
        row = (
            run.key,
            run.policy,
            run.seed,
            json.dumps(run.point),
            json.dumps(dict(measures), sort_keys=True),
        )
        self.db.execute("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", row)

    def get(self, run: Run) -> dict[str, Any] | None:
        row = self.db.execute("SELECT measures FROM runs WHERE key = ?", (run.key,)).fetchone()
        return json.loads(row[0]) if row is not None else None


def carry_out(
    runs: Iterable[Run], rows: Rows, workers: int, done: Callable[[Run], None] = lambda _: None
) -> int:
    """Play what has no row yet; how many that were."""
    missing = []
    for run in runs:
        if rows.get(run) is None:
            missing.append(run)
        else:
            done(run)
    if workers <= 1:
        for run in missing:
            rows.put(run, play(run))
            done(run)
        return len(missing)
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        playing = {pool.submit(play, run): run for run in missing}
        for ended in as_completed(playing):
            rows.put(playing[ended], ended.result())
            done(playing[ended])
    return len(missing)
