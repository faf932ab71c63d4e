"""The capacity page, generated from measured data: fitted lines, extrapolated to the planned size.

Each extrapolated value is compared with its budget where there is one.
"""

import json
import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from onyxpass.emulator import full_scale
from onyxpass.emulator.linear_fit import LinearFit, Point, fit

DATA = Path("docs/measurements/capacity.json")
PAGE = Path("docs/CAPACITY.md")
TEMPLATE = "capacity.md.j2"
Run = dict[str, Any]

REGIONS = 2
CHANGES_PER_DAY, CHANGE_DEADLINE_S = 840, 12.0
CPU_MS_PER_S, MEMORY_MB, BYTES_PER_S = 26.0, 32.0, 3_000.0  # a dispatcher's budget for control
TRANSFER_GB_PER_S = 2_900.0
FAILED_PER_DAY, REPLACED_PER_DAY = 17, 58
LIST_CHANGES_PER_DAY = 2 * (FAILED_PER_DAY + REPLACED_PER_DAY)  # each leaves the list and returns
DAY_S = 86_400
IDLE_CONNECTION_S = 15.0  # for which replicas keep an idle connection, as set in the trials
DISPATCHERS_PER_HOST = 6
REPLICAS_PER_RACK, ZONE_COUNT = 8, 6  # one rack's failure removes 8 replicas
# time of one call at a shared discovery server, as in ``net/poll_schedule.py``
DISCOVERY_CALL_S = 0.2


@dataclass(frozen=True, slots=True)
class FittedMeasure:
    """One row of a role's table: a line fitted to a measure, evaluated at ``size``."""

    what: str
    grows_by: str
    fitted_line: LinearFit
    sizes: tuple[float, ...]
    size: float
    budget: float | None = None
    unit: str = ""

    @property
    def value(self) -> float:
        return self.fitted_line.at(self.size)

    @property
    def ratio(self) -> str:
        return f"{self.value / self.budget:.2f}" if self.budget else ""

    @property
    def range_note(self) -> str:
        return "" if self.fitted_line.covers(self.size) else ", beyond twice the largest size"


class CapacityData:
    """The committed measurements."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.machine: str = document["machine"]
        self.runs: list[Run] = document["runs"]

    @classmethod
    def read(cls, root: Path) -> "CapacityData":
        return cls(json.loads((root / DATA).read_text()))

    def runs_named(self, name: str) -> list[Run]:
        return [run for run in self.runs if run["name"] == name]

    def run_at(self, name: str, size: float) -> Run:
        return next(run for run in self.runs_named(name) if run["size"] == size)

    def fitted(
        self,
        name: str,
        key: str,
        what: str,
        size: float,
        budget: float | None = None,
        unit: str = "",
    ) -> FittedMeasure:
        points = [Point(run["size"], float(run[key])) for run in self.runs_named(name)]
        grows_by = name.rpartition(" by ")[2] if " by " in name else "instances"
        return FittedMeasure(
            what, grows_by, fit(points), tuple(point.size for point in points), size, budget, unit
        )


def role_measures(data: CapacityData) -> dict[str, list[FittedMeasure]]:
    """Return the rows of each role's table."""
    servers, dispatchers = full_scale.REPLICAS, full_scale.DISPATCHERS
    dispatcher = [
        data.fitted(
            "dispatcher by servers", "mb", "memory, whole process", servers, MEMORY_MB, "MB"
        ),
        data.fitted(
            "dispatcher by tenants",
            "mb",
            "the same, 600 servers",
            full_scale.TENANTS,
            MEMORY_MB,
            "MB",
        ),
        data.fitted(
            "dispatcher by servers",
            "rest_cpu_ms_a_s",
            "processor at rest",
            servers,
            CPU_MS_PER_S,
            "ms/s",
        ),
        data.fitted(
            "dispatcher by servers", "rest_bytes_a_s", "bytes at rest", servers, BYTES_PER_S, "B/s"
        ),
        data.fitted(
            "dispatcher by servers", "change_cpu_ms", "processor, one change", servers, None, "ms"
        ),
        data.fitted(
            "dispatcher by tenants", "file_kb", "its configuration", full_scale.TENANTS, None, "KB"
        ),
        data.fitted(
            "choosing by servers", "us_a_request", "choosing, a request", servers, None, "us"
        ),
    ]
    lists = [
        data.fitted(
            "list by dispatchers",
            "rest_cpu_ms_a_s",
            "processor at rest",
            dispatchers,
            1_000.0,
            "ms/s",
        ),
        data.fitted(
            "list by dispatchers", "change_cpu_ms", "processor, one change", dispatchers, None, "ms"
        ),
        data.fitted(
            "list by dispatchers",
            "change_s",
            "a change at all",
            dispatchers,
            CHANGE_DEADLINE_S,
            "s",
        ),
        data.fitted(
            "list by dispatchers",
            "restart_s",
            "its restart, till all have it",
            dispatchers,
            CHANGE_DEADLINE_S,
            "s",
        ),
        data.fitted(
            "list by servers", "start_kb_each", "whole list, each dispatcher", servers, None, "KB"
        ),
        data.fitted(
            "list by servers",
            "change_bytes_each",
            "one change, each dispatcher",
            servers,
            None,
            "B",
        ),
        data.fitted("list by dispatchers", "server_mb", "memory", dispatchers, None, "MB"),
    ]
    agents = [
        data.fitted("agent by instances", "cpu_ms_a_s", "processor at rest", 6, None, "ms/s"),
        data.fitted("agent by instances", "mb", "memory", 6, None, "MB"),
    ]
    tool = [
        data.fitted(
            "order by instances", "seconds", "a reload of all", dispatchers, CHANGE_DEADLINE_S, "s"
        ),
        data.fitted(
            "order, a tenth silent",
            "seconds",
            "the same, a tenth silent",
            dispatchers,
            CHANGE_DEADLINE_S,
            "s",
        ),
        data.fitted("order by instances", "mb", "memory", dispatchers, None, "MB"),
    ]
    hosts = dispatchers / DISPATCHERS_PER_HOST / REGIONS
    configuration = [
        data.fitted(
            "configuration by hosts",
            "paced_most_s",
            "a change at all",
            hosts,
            CHANGE_DEADLINE_S,
            "s",
        ),
        data.fitted(
            "configuration by hosts",
            "back_s",
            "all, after being away",
            hosts,
            CHANGE_DEADLINE_S,
            "s",
        ),
        data.fitted(
            "configuration by hosts", "mended_s", "all, after a cut", hosts, CHANGE_DEADLINE_S, "s"
        ),
        data.fitted(
            "configuration by hosts",
            "rest_bytes_a_s",
            "bytes at rest, all nodes",
            hosts,
            None,
            "B/s",
        ),
        data.fitted(
            "configuration by hosts",
            "change_bytes",
            "bytes of a change, all nodes",
            hosts,
            None,
            "B",
        ),
        data.fitted(
            "configuration by hosts", "node_mb", "memory of a host's node", hosts, None, "MB"
        ),
    ]
    return {
        "dispatcher": dispatcher,
        "list": lists,
        "agent": agents,
        "tool": tool,
        "configuration": configuration,
    }


def markdown_table(measures: list[FittedMeasure]) -> str:
    """Format fitted measures as a Markdown table."""
    rows = [
        "| what | grows by | measured at | constant | each | residual | at the size | budget | ratio |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for measure in measures:
        sizes = ", ".join(f"{size:g}" for size in measure.sizes)
        budget = f"{measure.budget:g} {measure.unit}" if measure.budget else ""
        line_cells = f"{measure.fitted_line.intercept:.3g} | {measure.fitted_line.slope:.3g} | {measure.fitted_line.residual:.2f}"
        value = f"{measure.value:.3g} {measure.unit}{measure.range_note}"
        rows.append(
            f"| {measure.what} | {measure.grows_by} | {sizes} | {line_cells} | {value} | {budget} | {measure.ratio} |"
        )
    return "\n".join(rows)


@dataclass(frozen=True, slots=True)
class ControlEvent:
    """What one event costs a dispatcher that watches the list."""

    what: str
    messages: int
    kb: float


def control_events(change_bytes: float, restart_kb: float) -> list[ControlEvent]:
    """Return the events of the page; each replica that leaves or returns is one change of the list."""
    zone = full_scale.REPLICAS // ZONE_COUNT
    changes = (
        ("a replica's machine fails, and comes back", 2),
        ("a rack goes, and comes back (8 replicas, assumed)", 2 * REPLICAS_PER_RACK),
        ("a zone goes, and comes back (100 replicas)", 2 * zone),
        ("the other region is away for an hour, and comes back (300 replicas)", 2 * 3 * zone),
    )
    found = [ControlEvent(what, number, number * change_bytes / 1e3) for what, number in changes]
    return [*found, ControlEvent("the list's server is restarted", 1, restart_kb)]


def page_figures(data: CapacityData) -> dict[str, Any]:
    """Return the template's values other than the tables."""
    servers, dispatchers = full_scale.REPLICAS, full_scale.DISPATCHERS
    lists = data.run_at("list by dispatchers", dispatchers)
    configured = [
        {**run, "most_after_s": max(run["paced_most_s"], run["back_s"], run["mended_s"])}
        for run in data.runs_named("configuration by hosts")
    ]
    rest = data.fitted("configuration by hosts", "rest_bytes_a_s", "", 1)
    change = data.fitted("configuration by hosts", "change_bytes", "", 1)
    silent = data.run_at("order, a tenth silent", dispatchers)
    emulated = data.runs_named("emulated, part of the size")
    return {
        **connections(servers, dispatchers),
        "servers": servers,
        "rest": lists["rest_bytes_a_s_each"],
        "whole_kb": lists["start_kb_each"],
        "restart_s": lists["restart_s"],
        "list_change_s": lists["change_s"],
        "change_bytes": lists["change_bytes_each"],
        "changes_run": 20,
        "changes_a_day": LIST_CHANGES_PER_DAY,
        "day_bytes_a_s": lists["rest_bytes_a_s_each"]
        + lists["change_bytes_each"] * LIST_CHANGES_PER_DAY / DAY_S,
        "events": control_events(lists["change_bytes_each"], lists["restart_kb_each"]),
        "minute_kb": BYTES_PER_S * 60 / 1e3,
        "hour_mb": BYTES_PER_S * 3_600 / 1e6,
        "choosing": data.run_at("choosing by servers", servers)["us_a_request"]
        * full_scale.RATE
        / dispatchers
        / 1e4,
        "shared_s": dispatchers * DISCOVERY_CALL_S,
        "emulated": emulated,
        "largest": emulated[-1],
        "cut": data.runs_named("emulated, a zone cut off"),
        "real": data.runs_named("real and hollow"),
        "configured": configured,
        "host_rest": rest.fitted_line.slope / REGIONS,
        "host_change": change.fitted_line.slope / REGIONS,
        "pushed_s": data.run_at("order by instances", dispatchers)["seconds"],
        "pushed_silent_s": silent["seconds"],
        "pushed_missed": silent["asked"] - silent["done"],
        "handover": TRANSFER_GB_PER_S,
        "in_force_s": CHANGE_DEADLINE_S,
    }


def connections(servers: int, dispatchers: int) -> dict[str, float]:
    """Estimate the connections of the data path.

    Each request is two attempts, spread evenly and at random over all pairs of dispatcher and
    replica.
    """
    rate = full_scale.RATE / dispatchers
    gap_s = servers / (2 * rate)
    attempts = 2 * full_scale.RATE / servers
    cold = math.exp(-IDLE_CONNECTION_S / gap_s)
    return {
        "rate": rate,
        "pair_gap_s": gap_s,
        "warm": 1 - cold,
        "handshakes": attempts * cold,
        "attempts_a_replica": attempts,
        "pairs": servers * dispatchers,
    }


def render_page(root: Path) -> str:
    """Return the whole page, which depends on nothing but the committed data."""
    import jinja2

    data = CapacityData.read(root)
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(Path(__file__).parent / "templates"),
        undefined=jinja2.StrictUndefined,
        keep_trailing_newline=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    tables = {name: markdown_table(lines) for name, lines in role_measures(data).items()}
    template = environment.get_template(TEMPLATE)
    return template.render(machine=data.machine, tables=tables, **page_figures(data))
