"""Reports on a terminal, through rich. Nothing is decided or left out: each selected instance
has a row.
"""

import asyncio
import json
import time
from collections.abc import Coroutine, Iterable, Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.markup import escape
from rich.table import Table

from onyxpass.fleet.config import Member
from onyxpass.fleet.controller import FleetController, Report
from onyxpass.fleet.outcome import OutcomeKind
from onyxpass.fleet.planner import Plan
from onyxpass.fleet.record import RecordedRollout
from onyxpass.fleet.views import View

COLOURS = {
    OutcomeKind.DONE: "green",
    OutcomeKind.FAILED: "red",
    OutcomeKind.UNKNOWN: "yellow",
    OutcomeKind.NOT_TRIED: "magenta",
}
SURVEY = (
    *("instance", "hall", "host", "state", "pid", "configuration"),
    *("open", "streams", "oldest", "drain", "restarts", "outcome"),
)
WATCH_S = 0.5  # between looks while an order runs
SHORT = 12  # characters of a digest that are shown


def console() -> Console:
    """Wide enough for a row a line where the output is no terminal."""
    found = Console(highlight=False, soft_wrap=False)
    return found if found.is_terminal else Console(highlight=False, width=200)


def as_json(value: Any) -> None:
    print(json.dumps(value, indent=2))


def _drain(view: View) -> str:
    phase = view.at("drain", "phase")
    if phase is None:
        return "-"
    if phase == "serving":
        return "no"
    late = ", late" if view.at("drain", "late") else ""
    return f"{phase}{late}, {(view.at('drain', 'left_ms') or 0) / 1000:.1f} s left"


def _config(view: View) -> str:
    digest = view.at("config", "digest")
    if digest is None:
        return "-"
    told = f"{digest[:SHORT]} gen {view.at('config', 'generation')}"
    if keys := view.at("config", "needs_restart"):
        return f"{told}, needs a restart ({len(keys)} keys)"
    return told if not view.file or view.file == digest else f"{told}, file {view.file[:SHORT]}"


def survey(report: Report) -> None:
    """One row an instance: how it stands, or why that is not known."""
    table = Table(*SURVEY)
    outcomes = report.tally.outcomes()
    for member in report.members:
        view, outcome = report.views[member.name], outcomes[member.name]
        told = view.told or {}
        state = str(told.get("state", "?")) + (", not ready" if view.at("ready") is False else "")
        oldest_ms = view.at("drain", "oldest_ms")
        colour = COLOURS[outcome.kind]
        reason = f": {outcome.reason}" if outcome.kind is not OutcomeKind.DONE else ""
        table.add_row(
            member.name,
            member.hall,
            member.host,
            state,
            str(told.get("pid") or "-"),
            _config(view),
            str(view.at("drain", "requests") if view.live else "-"),
            str(view.at("drain", "streams") if view.live else "-"),
            f"{oldest_ms / 1000:.1f} s" if oldest_ms else "-",
            _drain(view),
            str(told.get("restarts", "-")),
            f"[{colour}]{outcome.kind.value}[/]{escape(reason)}",
        )
    out = console()
    out.print(table)
    summary(report)


def outcomes(report: Report) -> None:
    """One row an instance: how its order ended, and why."""
    table = Table("instance", "hall", "host", "outcome", "reason")
    found = report.tally.outcomes()
    for member in report.members:
        outcome = found[member.name]
        colour = COLOURS[outcome.kind]
        table.add_row(
            member.name,
            member.hall,
            member.host,
            f"[{colour}]{outcome.kind.value}[/]",
            escape(outcome.reason),
        )
    console().print(table)
    summary(report)


async def watched(
    controller: FleetController, members: Sequence[Member], order: Coroutine[Any, Any, Report]
) -> Report:
    """The order, and on a terminal meanwhile how each instance stands: what is open, how old,
    how long.
    """
    out = console()
    if not out.is_terminal:
        return await order
    running = asyncio.ensure_future(order)
    with Live(console=out, transient=True, refresh_per_second=4) as live:
        while not running.done():
            report = await controller.survey(members, WATCH_S)
            live.update(progress(report))
            await asyncio.wait([running], timeout=WATCH_S)
    return await running


def progress(report: Report) -> Table:
    table = Table("instance", "state", "open", "streams", "oldest", "drain")
    for member in report.members:
        view = report.views[member.name]
        counts = [
            str(view.at("drain", key) if view.live else "?") for key in ("requests", "streams")
        ]
        oldest_s = (view.at("drain", "oldest_ms") or 0) / 1000
        state = str((view.told or {}).get("state", "?"))
        table.add_row(member.name, state, *counts, f"{oldest_s:.1f} s", escape(_drain(view)))
    return table


def summary(report: Report) -> None:
    counts = report.tally.counts()
    told = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    console().print(
        f"{report.command}: {len(report.members)} selected: {told}; {report.seconds:.1f} s"
    )


def plan(found: Plan, beside: Mapping[str, Any], same: Sequence[str]) -> None:
    table = Table("wave", "instances")
    for number, wave in enumerate(found.waves, 1):
        table.add_row(str(number), ", ".join(unit.name for unit in wave))
    out = console()
    out.print(table)
    for name, outcome in beside.items():
        out.print(f"{name}: {outcome.kind.value}: {escape(outcome.reason)}")
    for name, reason in found.impossible.items():
        out.print(f"{name}: can't be changed within the limits: {escape(reason)}")
    for name in same:
        out.print(f"{name}: runs on its file already")
    count = sum(len(wave) for wave in found.waves)
    out.print(f"{count} to change in {len(found.waves)} waves")


def recorded(found: RecordedRollout, holder: str) -> None:
    table = Table("instance", "target", "ordered", "outcome", "reason")
    for entry in found.instances.values():
        outcome = entry.outcome
        table.add_row(
            entry.name,
            entry.target.digest[:SHORT] or "-",
            "yes" if entry.operation else "no",
            outcome.kind.value if outcome else "-",
            escape(outcome.reason if outcome else ""),
        )
    out = console()
    out.print(table)
    out.print(f"rollout {found.id}: {found.method.value}, {state_of(found, holder)}")


def state_of(found: RecordedRollout, holder: str) -> str:
    """What a record's state means, given who holds the lock."""
    if found.state in ("running", "aborting"):
        return (
            f"{found.state}: {holder}"
            if holder
            else "cut off: its tool ended; `rollout resume` goes on with it"
        )
    return f"{found.state}: {found.why}" if found.why else found.state


def recorded_told(found: RecordedRollout, holder: str) -> dict[str, Any]:
    return {
        "rollout": found.id,
        "method": found.method.value,
        "state": found.state,
        "why": found.why,
        "holder": holder,
        "instances": [
            {
                "instance": entry.name,
                "target": entry.target.digest,
                "operation": entry.operation,
                **(entry.outcome.to_dict() if entry.outcome else {"outcome": None, "reason": ""}),
            }
            for entry in found.instances.values()
        ],
    }


def events(found: Iterable[Mapping[str, Any]]) -> None:
    out = console()
    for event in found:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(float(event["at"])))
        known = ("host", "number", "at", "instance", "what")
        more = " ".join(
            f"{key}={value}"
            for key, value in event.items()
            if key not in known and value not in ("", None)
        )
        out.print(
            escape(
                f"{at} {event['host']} {event['instance'] or '-'} {event['what']} {more}".rstrip()
            )
        )


def step(what: str, detail: Mapping[str, Any]) -> None:
    """A rollout's steps, one line each, as they happen."""
    out = console()
    match what:
        case "wave":
            out.print(f"wave {detail['number']}: {', '.join(detail['instances'])}")
        case "settled":
            reason = f": {detail['reason']}" if detail["reason"] else ""
            out.print(escape(f"  {detail['instance']}: {detail['outcome']}{reason}"))
        case "pause":
            out.print(f"pause of {detail['seconds']:g} s")
        case "release":
            out.print(escape(f"{detail['host']} could not be given back: {detail['problem']}"))
