"""The report of an experiment: plots and tables in one self-contained HTML file."""

import base64
import io
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from jinja2 import Environment, PackageLoader, select_autoescape

from onyxpass.emulator.compare import (
    PairedDifference,
    bootstrap_interval,
    compare_policies,
    failed_runs,
)
from onyxpass.emulator.experiment import ExperimentFile, ExperimentRun, ResultStore, expand_runs

PLOTTED = ("g", "worst_10s", "late", "refused")
TITLES = {
    "g": "G: worth answered, as a share of the worth asked for",
    "worst_10s": "G in the worst ten seconds",
    "late": "requests served late",
    "refused": "requests refused",
}


@dataclass(frozen=True, slots=True)
class Plot:
    measure: str
    title: str
    png: str  # as base64


@dataclass(frozen=True, slots=True)
class Cell:
    """The mean of a measure over runs, and its interval."""

    mean: float
    low: float
    high: float
    seeds: int


def mean_cell(runs: Sequence[ExperimentRun], results: ResultStore, measure: str) -> Cell | None:
    values = [
        float(found[measure])
        for run in runs
        if (found := results.get(run)) is not None and "problem" not in found
    ]
    if not values:
        return None
    low, high = bootstrap_interval(values) if len(values) > 1 else (values[0], values[0])
    return Cell(sum(values) / len(values), low, high, len(values))


def plot(file: ExperimentFile, results: ResultStore, axis: str, measure: str) -> Plot:
    """Plot a measure over an axis, one line per policy, averaged over other axes and seeds.

    The band is the interval of the mean.
    """
    figure, axes = plt.subplots(figsize=(7.0, 3.6), dpi=110)
    for policy in file.policies:
        points: list[tuple[float, Cell]] = []
        for value in file.axes[axis]:
            here = [
                run
                for run in expand_runs(file)
                if run.policy == policy and dict(run.point)[axis] == value
            ]
            if (found := mean_cell(here, results, measure)) is not None:
                points.append((value, found))
        x_values = [value for value, _ in points]
        width = 2.4 if policy == file.baseline else 1.2
        axes.plot(
            x_values, [found.mean for _, found in points], marker="o", label=policy, linewidth=width
        )
        axes.fill_between(
            x_values, [f.low for _, f in points], [f.high for _, f in points], alpha=0.15
        )
    axes.set_xlabel(axis)
    axes.set_ylabel(measure)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    image = io.BytesIO()
    figure.tight_layout()
    figure.savefig(image, format="png", metadata={"Software": None})
    plt.close(figure)
    return Plot(
        measure, f"{TITLES[measure]}, over {axis}", base64.b64encode(image.getvalue()).decode()
    )


def write_report(file: ExperimentFile, results: ResultStore, path: Path) -> None:
    """Write the report to ``path``; without axes it has tables only."""
    runs = expand_runs(file)
    plots = [
        plot(file, results, axis, measure) for axis in sorted(file.axes) for measure in PLOTTED
    ]
    differences: dict[str, list[PairedDifference]] = {
        m: compare_policies(file, results, m) for m in ("g", "worst_10s")
    }
    played = sum(results.get(run) is not None for run in runs)
    broken: dict[str, int] = {}
    for run in runs:
        found = results.get(run) or {}
        broken[run.policy] = broken.get(run.policy, 0) + int(found.get("broken", 0))
    environment = Environment(
        loader=PackageLoader("onyxpass.emulator"), autoescape=select_autoescape()
    )
    text = environment.get_template("report.html").render(
        file=file,
        plots=plots,
        differences=differences,
        played=played,
        planned=len(runs),
        broken=broken,
        problems=failed_runs(runs, results),
    )
    temporary = path.with_name(path.name + ".new")
    temporary.write_text(text)
    temporary.replace(path)
