"""Prints reports on a terminal with rich; each selected instance has a row."""

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
from onyxpass.fleet.views import InstanceView

OUTCOME_COLOURS = {
    OutcomeKind.DONE: "green",
    OutcomeKind.FAILED: "red",
    OutcomeKind.UNKNOWN: "yellow",
    OutcomeKind.NOT_TRIED: "magenta",
}
SURVEY_COLUMNS = (
    *("instance", "hall", "host", "state", "pid", "configuration"),
    *("open", "streams", "oldest", "drain", "restarts", "outcome"),
)
PROGRESS_INTERVAL_S = 0.5  # between updates while an order runs
SHORT_DIGEST_LENGTH = 12  # characters of a digest that are printed


def console() -> Console:
    """Return a console that is wide enough for one line per row if the output is no terminal."""
    terminal = Console(highlight=False, soft_wrap=False)
    return terminal if terminal.is_terminal else Console(highlight=False, width=200)


def print_json(value: Any) -> None:
    print(json.dumps(value, indent=2))


def _drain(view: InstanceView) -> str:
    phase = view.live_value("drain", "phase")
    if phase is None:
        return "-"
    if phase == "serving":
        return "no"
    late = ", late" if view.live_value("drain", "late") else ""
    return f"{phase}{late}, {(view.live_value('drain', 'left_ms') or 0) / 1000:.1f} s left"


def _config(view: InstanceView) -> str:
    digest = view.live_value("config", "digest")
    if digest is None:
        return "-"
    text = f"{digest[:SHORT_DIGEST_LENGTH]} gen {view.live_value('config', 'generation')}"
    if keys := view.live_value("config", "needs_restart"):
        return f"{text}, needs a restart ({len(keys)} keys)"
    return (
        text
        if not view.file_digest or view.file_digest == digest
        else f"{text}, file {view.file_digest[:SHORT_DIGEST_LENGTH]}"
    )


def survey(report: Report) -> None:
    """Print a row for each instance: its state, or why the state is unknown."""
    table = Table(*SURVEY_COLUMNS)
    outcomes = report.tally.outcomes()
    for member in report.members:
        view, outcome = report.views[member.name], outcomes[member.name]
        agent_report = view.report or {}
        state = str(agent_report.get("state", "?")) + (
            ", not ready" if view.live_value("ready") is False else ""
        )
        oldest_ms = view.live_value("drain", "oldest_ms")
        colour = OUTCOME_COLOURS[outcome.kind]
        reason = f": {outcome.reason}" if outcome.kind is not OutcomeKind.DONE else ""
        table.add_row(
            member.name,
            member.hall,
            member.host,
            state,
            str(agent_report.get("pid") or "-"),
            _config(view),
            str(view.live_value("drain", "requests") if view.live_report else "-"),
            str(view.live_value("drain", "streams") if view.live_report else "-"),
            f"{oldest_ms / 1000:.1f} s" if oldest_ms else "-",
            _drain(view),
            str(agent_report.get("restarts", "-")),
            f"[{colour}]{outcome.kind.value}[/]{escape(reason)}",
        )
    out = console()
    out.print(table)
    summary(report)


def outcomes(report: Report) -> None:
    """Print a row for each instance: the outcome of its order, and the reason."""
    table = Table("instance", "hall", "host", "outcome", "reason")
    outcomes_by_name = report.tally.outcomes()
    for member in report.members:
        outcome = outcomes_by_name[member.name]
        colour = OUTCOME_COLOURS[outcome.kind]
        table.add_row(
            member.name,
            member.hall,
            member.host,
            f"[{colour}]{outcome.kind.value}[/]",
            escape(outcome.reason),
        )
    console().print(table)
    summary(report)


async def run_with_progress(
    controller: FleetController, members: Sequence[Member], order: Coroutine[Any, Any, Report]
) -> Report:
    """Run the order and return its report; on a terminal, show each instance's state meanwhile.

    The table has the open requests, the age of the oldest one, and the drain of each instance.
    """
    out = console()
    if not out.is_terminal:
        return await order
    running = asyncio.ensure_future(order)
    with Live(console=out, transient=True, refresh_per_second=4) as live:
        while not running.done():
            report = await controller.survey(members, PROGRESS_INTERVAL_S)
            live.update(progress_table(report))
            await asyncio.wait([running], timeout=PROGRESS_INTERVAL_S)
    return await running


def progress_table(report: Report) -> Table:
    table = Table("instance", "state", "open", "streams", "oldest", "drain")
    for member in report.members:
        view = report.views[member.name]
        counts = [
            str(view.live_value("drain", key) if view.live_report else "?")
            for key in ("requests", "streams")
        ]
        oldest_s = (view.live_value("drain", "oldest_ms") or 0) / 1000
        state = str((view.report or {}).get("state", "?"))
        table.add_row(member.name, state, *counts, f"{oldest_s:.1f} s", escape(_drain(view)))
    return table


def summary(report: Report) -> None:
    counts = report.tally.counts()
    counts_text = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    console().print(
        f"{report.command}: {len(report.members)} selected: {counts_text}; {report.seconds:.1f} s"
    )


def plan(wave_plan: Plan, excluded: Mapping[str, Any], unchanged: Sequence[str]) -> None:
    table = Table("wave", "instances")
    for number, wave in enumerate(wave_plan.waves, 1):
        table.add_row(str(number), ", ".join(instance.name for instance in wave))
    out = console()
    out.print(table)
    for name, outcome in excluded.items():
        out.print(f"{name}: {outcome.kind.value}: {escape(outcome.reason)}")
    for name, reason in wave_plan.impossible.items():
        out.print(f"{name}: can't be changed within the limits: {escape(reason)}")
    for name in unchanged:
        out.print(f"{name}: already runs on its file")
    count = sum(len(wave) for wave in wave_plan.waves)
    out.print(f"{count} to change in {len(wave_plan.waves)} waves")


def recorded_rollout(rollout: RecordedRollout, holder: str) -> None:
    table = Table("instance", "target", "ordered", "outcome", "reason")
    for entry in rollout.instances.values():
        outcome = entry.outcome
        table.add_row(
            entry.name,
            entry.target.digest[:SHORT_DIGEST_LENGTH] or "-",
            "yes" if entry.operation else "no",
            outcome.kind.value if outcome else "-",
            escape(outcome.reason if outcome else ""),
        )
    out = console()
    out.print(table)
    out.print(f"rollout {rollout.id}: {rollout.method.value}, {describe_state(rollout, holder)}")


def describe_state(rollout: RecordedRollout, holder: str) -> str:
    """Describe the state of a recorded rollout; ``holder`` runs a rollout now, if not empty."""
    if rollout.state in ("running", "aborting"):
        return (
            f"{rollout.state}: {holder}"
            if holder
            else "interrupted: the process that ran it has ended; `rollout resume` continues it"
        )
    return f"{rollout.state}: {rollout.why}" if rollout.why else rollout.state


def recorded_rollout_dict(rollout: RecordedRollout, holder: str) -> dict[str, Any]:
    return {
        "rollout": rollout.id,
        "method": rollout.method.value,
        "state": rollout.state,
        "why": rollout.why,
        "holder": holder,
        "instances": [
            {
                "instance": entry.name,
                "target": entry.target.digest,
                "operation": entry.operation,
                **(entry.outcome.to_dict() if entry.outcome else {"outcome": None, "reason": ""}),
            }
            for entry in rollout.instances.values()
        ],
    }


def events(rows: Iterable[Mapping[str, Any]]) -> None:
    out = console()
    for event in rows:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(float(event["at"])))
        shown_first = ("host", "number", "at", "instance", "what")
        details = " ".join(
            f"{key}={value}"
            for key, value in event.items()
            if key not in shown_first and value not in ("", None)
        )
        out.print(
            escape(
                f"{at} {event['host']} {event['instance'] or '-'} {event['what']} {details}".rstrip()
            )
        )


def step(what: str, detail: Mapping[str, Any]) -> None:
    """Print a line for one step of a rollout."""
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
            out.print(escape(f"{detail['host']} could not be released: {detail['problem']}"))
