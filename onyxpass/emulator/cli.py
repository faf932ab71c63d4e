"""``onyxpass lab``: emulated runs that compare policies on the same traffic."""

import json
import os
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer
from rich.progress import Progress

from onyxpass.config import toml_config
from onyxpass.config.platform_file import ConfigError
from onyxpass.emulator.compare import compare_policies, failed_runs
from onyxpass.emulator.experiment import (
    FULL_KNOWLEDGE,
    MEASURES,
    ExperimentFile,
    ResultStore,
    execute_runs,
    expand_runs,
)
from onyxpass.emulator.policies import POLICIES
from onyxpass.emulator.simulation import PolicyError, Simulation
from onyxpass.emulator.topology import InjectedFault, Site
from onyxpass.history_checkers.trace import breaches

lab_app = typer.Typer(no_args_is_help=True, help="Emulated runs to compare policies.")


def parse_faults(texts: list[str]) -> tuple[InjectedFault, ...]:
    """Parse faults such as ``cut:derby@20+10`` and ``flush:0.5@30``.

    The parts are the kind; the hall, server or size; the start and the duration in seconds. Exits
    with code 2 on a malformed one.
    """
    found = []
    for text in texts:
        try:
            head, _, when = text.partition("@")
            what, _, which = head.partition(":")
            at, _, length = when.partition("+")
            sized = what in ("lag", "flush", "hot")
            if what not in ("lag", "flush", "hot", "cut", "flap", "crash", "slow"):
                raise ValueError("no such trouble")
            found.append(
                InjectedFault(
                    what,
                    float(at),
                    float(length or 0),
                    size=float(which) if sized else 4.0 if what == "slow" else 0.0,
                    hall=which if what in ("cut", "flap") else "",
                    server=which if what in ("crash", "slow") else "",
                )
            )
        except ValueError as error:
            typer.echo(f"onyxpass: trouble {text!r}: {error}", err=True)
            raise typer.Exit(2) from error
    return tuple(found)


@lab_app.command("day")
def day(
    policies: Annotated[
        list[str] | None, typer.Argument(help="Policies to run; all if none is named.")
    ] = None,
    rate: Annotated[
        float, typer.Option(min=0.1, max=100_000, help="Requests per second, without retries.")
    ] = 60.0,
    seconds: Annotated[float, typer.Option(min=1, max=86_400)] = 60.0,
    seed: int = 1,
    readers: Annotated[int, typer.Option(min=1, max=100_000)] = 6,
    writers: Annotated[int, typer.Option(min=1, max=100_000)] = 6,
    mixed: Annotated[int, typer.Option(min=0, max=100_000)] = 2,
    dispatchers: Annotated[int, typer.Option(min=1, max=10_000)] = 4,
    trouble: Annotated[
        list[str] | None,
        typer.Option(help="Fault to inject, such as cut:derby@20+10 or flush:0.5@30."),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per policy.")
    ] = False,
) -> None:
    """Run each policy once on the same traffic; print worth answered, ends, violations and speed."""
    known = [*POLICIES, FULL_KNOWLEDGE]
    names = policies or known
    if unknown := [name for name in names if name not in known]:
        typer.echo(
            f"onyxpass: no policy {unknown[0]!r}; known policies: {', '.join(known)}", err=True
        )
        raise typer.Exit(2)
    faults = parse_faults(trouble or [])
    site = Site(readers, writers, mixed, dispatchers, rate=rate, seconds=seconds, faults=faults)
    server_ids = {endpoint.id for _, endpoint in site.servers()}
    for fault in site.faults:
        if (fault.server and fault.server not in server_ids) or (
            fault.hall and fault.hall not in site.halls
        ):
            typer.echo(
                f"onyxpass: trouble {fault.what}: no {fault.server or fault.hall!r} on this site",
                err=True,
            )
            raise typer.Exit(2)
    exit_code = 0
    for name in names:
        began_s = time.perf_counter()
        try:
            simulation = Simulation(site, POLICIES.get(name), seed)
            tally = simulation.run()
        except PolicyError as error:
            typer.echo(f"{name}: run ended with an error: {error}", err=True)
            exit_code = 1
            continue
        elapsed_s = time.perf_counter() - began_s
        violations = breaches(simulation.trace)
        fields = {key: value for key, value in asdict(tally).items() if key != "by_second"}
        if as_json:
            row = {
                "policy": name,
                "g": tally.g,
                **fields,
                "broken": len(violations),
                "seconds": elapsed_s,
            }
            typer.echo(json.dumps(row))
            continue
        ends = ", ".join(
            f"{fields[key]} {key}" for key in ("served", "refused", "failed", "gone", "late")
        )
        pace = f"{seconds / elapsed_s:.0f}x real time"
        typer.echo(f"{name:16} G {tally.g:.3f}  {ends}, {len(violations)} violations; {pace}")
    raise typer.Exit(exit_code)


ExperimentPath = Annotated[Path, typer.Argument(help="The experiment's TOML file.")]
RowsPath = Annotated[
    Path | None,
    typer.Option("--rows", help="SQLite file of the results; by default next to the experiment."),
]


def read_experiment(path: Path) -> ExperimentFile:
    try:
        return toml_config.read(ExperimentFile, path)
    except ConfigError as error:
        typer.echo(f"onyxpass: {error}", err=True)
        raise typer.Exit(2) from error


@lab_app.command("run")
def run(
    file: ExperimentPath,
    rows: RowsPath = None,
    workers: Annotated[int, typer.Option(min=1, max=256, help="Processes.")] = os.cpu_count() or 1,
) -> None:
    """Run what has no stored result; an interrupted experiment resumes."""
    found = read_experiment(file)
    runs, results = expand_runs(found), ResultStore(rows or file.with_suffix(".db"))
    with Progress(transient=True) as progress:
        bar = progress.add_task(found.name, total=len(runs))
        played = execute_runs(runs, results, workers, lambda _: progress.advance(bar))
    typer.echo(f"{found.name}: {len(runs)} runs, {played} of them run now")
    failed = failed_runs(runs, results)
    for text in failed:
        typer.echo(f"run ended with an error: {text}", err=True)
    raise typer.Exit(1 if failed else 0)


@lab_app.command("compare")
def compare(
    file: ExperimentPath,
    rows: RowsPath = None,
    measure: Annotated[str, typer.Option(help=f"One of {', '.join(MEASURES)}.")] = "g",
) -> None:
    """Compare each policy with the baseline: mean difference over the same seeds and its interval.

    A difference is called noise where the interval contains zero or there are too few pairs.
    """
    found = read_experiment(file)
    if measure not in MEASURES:
        typer.echo(
            f"onyxpass: no measure {measure!r}; known measures: {', '.join(MEASURES)}", err=True
        )
        raise typer.Exit(2)
    for row in compare_policies(found, ResultStore(rows or file.with_suffix(".db")), measure):
        where = ", ".join(f"{key} {value:g}" for key, value in row.point) or "base"
        verdict = "noise" if row.noise else "differs"
        typer.echo(
            f"{where:24} {row.policy:16} {measure} {row.value:.3f}  {row.mean:+.3f} to {found.baseline} "
            f"[{row.low:+.3f}, {row.high:+.3f}] over {row.pairs}: {verdict}"
        )


@lab_app.command("report")
def report(
    file: ExperimentPath,
    rows: RowsPath = None,
    out: Annotated[
        Path | None,
        typer.Option("--out", help="HTML file to write; by default next to the experiment."),
    ] = None,
) -> None:
    """Write the stored results as one self-contained HTML page."""
    from onyxpass.emulator.report import write_report

    found, path = read_experiment(file), out or file.with_suffix(".html")
    write_report(found, ResultStore(rows or file.with_suffix(".db")), path)
    typer.echo(f"{path}")


@lab_app.command("logs")
def logs(
    folder: Annotated[Path, typer.Argument(help="Folder with one *.log file per dispatcher.")],
    step: Annotated[float, typer.Option(min=0.1, max=86_400, help="Seconds per column.")] = 5.0,
) -> None:
    """Count the log lines of all dispatchers together by reason and time, and prefills by reader."""
    from onyxpass.emulator.log_summary import summarize_logs

    tables = summarize_logs(folder, step)
    if not tables.files:
        typer.echo(f"onyxpass: {folder}: no *.log file there", err=True)
        raise typer.Exit(2)
    for row in tables.rows():
        typer.echo(row)
    typer.echo(f"{tables.files} files, {tables.skipped} lines that are not log lines")
