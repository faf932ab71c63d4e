"""Comparison of policies with a baseline: paired differences over runs with the same seeds."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from onyxpass.emulator.experiment import ExperimentFile, ExperimentRun, ResultStore, expand_runs

BOOTSTRAP_RESAMPLES = 4_000
CONFIDENCE_LEVEL = 0.95


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """The difference of one measure between a policy and the baseline, at one point of the axes.

    It is taken over the seeds for which both have results. ``low`` and ``high`` bound the mean.
    """

    policy: str
    point: tuple[tuple[str, float], ...]
    measure: str
    pairs: int
    mean: float
    low: float
    high: float
    value: float  # the policy's own mean

    @property
    def noise(self) -> bool:
        """Whether the interval contains zero or there are fewer than three pairs."""
        return self.pairs < 3 or self.low <= 0.0 <= self.high


def bootstrap_interval(values: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """Return a bootstrap interval of the mean; it is the same for the same values and seed.

    Fewer than two values give an infinite interval.
    """
    if len(values) < 2:
        return float("-inf"), float("inf")
    generator = np.random.default_rng(seed)
    samples = np.asarray(values)
    means = generator.choice(samples, (BOOTSTRAP_RESAMPLES, len(samples))).mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE_LEVEL) / 2, (1 + CONFIDENCE_LEVEL) / 2])
    return float(low), float(high)


def compare_policies(
    file: ExperimentFile, results: ResultStore, measure: str = "g"
) -> list[PairedDifference]:
    measures_by_run: dict[tuple[str, tuple[tuple[str, float], ...], int], Mapping[str, Any]] = {}
    for run in expand_runs(file):
        if (measures := results.get(run)) is not None and "problem" not in measures:
            measures_by_run[run.policy, run.point, run.seed] = measures
    points = list(dict.fromkeys(run.point for run in expand_runs(file)))
    return [
        _difference(file, measures_by_run, policy, point, measure)
        for point in points
        for policy in file.policies
        if policy != file.baseline
    ]


def _difference(
    file: ExperimentFile,
    measures_by_run: Mapping[tuple[str, tuple[tuple[str, float], ...], int], Mapping[str, Any]],
    policy: str,
    point: tuple[tuple[str, float], ...],
    measure: str,
) -> PairedDifference:
    pairs = [
        (
            float(measures_by_run[policy, point, seed][measure]),
            float(measures_by_run[file.baseline, point, seed][measure]),
        )
        for seed in file.seeds
        if (policy, point, seed) in measures_by_run
        and (file.baseline, point, seed) in measures_by_run
    ]
    differences = [mine - theirs for mine, theirs in pairs]
    low, high = bootstrap_interval(differences)
    mean = sum(differences) / len(differences) if differences else 0.0
    value = sum(mine for mine, _ in pairs) / len(pairs) if pairs else 0.0
    return PairedDifference(policy, point, measure, len(pairs), mean, low, high, value)


def failed_runs(runs: Iterable[ExperimentRun], results: ResultStore) -> list[str]:
    """Describe the runs that ended with a policy error."""
    descriptions = []
    for run in runs:
        row = results.get(run)
        if row is not None and "problem" in row:
            descriptions.append(
                f"{run.policy}, seed {run.seed}, {dict(run.point)}: {row['problem']}"
            )
    return descriptions
