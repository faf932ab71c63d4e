"""Tests of the capacity page and its fitted lines, and a small form of each capacity measurement."""

import json
import math
import random
import subprocess
import sys
from pathlib import Path

import pytest

from onyxpass.emulator import capacity, full_scale
from onyxpass.emulator.linear_fit import Point, fit
from onyxpass.emulator.servers import TransferDistance, transfer_distance
from onyxpass.scheduling import contract

ROOT = Path(__file__).parent.parent
BENCHMARK = ROOT / "benchmarks" / "capacity.py"


def test_the_committed_page_matches_the_committed_data() -> None:
    assert (ROOT / capacity.PAGE).read_text() == capacity.render_page(ROOT)


def test_each_line_has_four_sizes_and_marks_too_wide_extrapolation() -> None:
    data = capacity.CapacityData.read(ROOT)
    for measures in capacity.role_measures(data).values():
        for measure in measures:
            assert len(set(measure.sizes)) >= 4
            assert (measure.size <= 2 * max(measure.sizes)) == (measure.range_note == "")
    assert {run["breaches"] for run in data.runs_named("configuration by hosts")} == {0}


@pytest.mark.parametrize("seed", range(5))
def test_fit_recovers_intercept_and_slope(seed: int) -> None:
    generator = random.Random(seed)
    intercept, slope = generator.uniform(0, 100), generator.uniform(0.1, 5)
    points = [Point(size, intercept + slope * size) for size in (75, 150, 300, 600)]
    found = fit(points)
    assert math.isclose(found.intercept, intercept, abs_tol=1e-6) and math.isclose(
        found.slope, slope
    )
    assert found.residual < 1e-9 and found.covers(1_200) and not found.covers(1_201)
    curved = fit([Point(size, size**2) for size in (75, 150, 300, 600)])
    assert curved.residual > 0.1, "the residual shows that a parabola is not a line"
    with pytest.raises(ValueError, match="sizes are needed"):
        fit(points[:3])


def test_a_size_that_exceeds_memory_is_refused_before_the_run() -> None:
    site = full_scale.scaled_site(1.0, 1.0)
    with pytest.raises(full_scale.MemoryLimitError, match=r"0\.\d\d of the size"):
        full_scale.run_site(site, 1, max_mb=full_scale.MB_BASE + 1)
    with pytest.raises(full_scale.MemoryLimitError, match="3 would fit"):
        full_scale.check_processes(4, max_mb=3.5 * full_scale.MB_PER_PROCESS)
    assert (
        full_scale.estimate_mb(site) < full_scale.half_of_memory_mb()
        or full_scale.half_of_memory_mb() < 4_000
    )


def test_transfer_distance_is_the_widest_boundary_crossed() -> None:
    destination = contract.Endpoint("w", "writer", "north/a", 1)
    for source, expected in (
        (destination, TransferDistance.SAME_SERVER),
        (contract.Endpoint("r", "reader", "north/a", 1), TransferDistance.SAME_CELL),
        (contract.Endpoint("r", "reader", "north/a", 2), TransferDistance.OTHER_CELL),
        (contract.Endpoint("r", "reader", "north/b", 1), TransferDistance.OTHER_ZONE),
        (contract.Endpoint("r", "reader", "south/a", 1), TransferDistance.OTHER_REGION),
    ):
        assert transfer_distance(source, destination) is expected


SMALL_RUNS = [
    ("choosing by servers", 20),
    ("dispatcher by servers", 20),
    ("list by dispatchers", 4),
    ("agent by instances", 1),
    ("order by instances", 6),
    ("configuration by hosts", 1),
    ("real and hollow", 1),
    ("emulated, part of the size", 0.02),
]


@pytest.mark.parametrize(("name", "size"), SMALL_RUNS)
def test_each_capacity_measurement_runs_in_its_small_form(name: str, size: float) -> None:
    run = subprocess.run(
        [sys.executable, str(BENCHMARK), "small", name, str(size)],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        timeout=120,
    )
    found = json.loads(run.stdout.strip().splitlines()[-1])
    assert found["name"] == name and found["size"] == size
    if name.startswith("emulated"):
        assert found["served"] + found["refused"] + found["failed"] >= found["asked"] > 0
        assert math.isclose(sum(found["moved"].values()), 1.0)
    if name.startswith("configuration"):
        assert found["breaches"] == 0 and found["paced_orders"] > 0
    if name.startswith("order"):
        assert found["done"] == found["asked"]
