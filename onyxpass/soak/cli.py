"""The command ``onyxpass soak``, which puts real dispatchers under overlapping faults.

It is meant for development machines.
"""

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import structlog
import typer

from onyxpass.soak.minimizer import minimize_faults
from onyxpass.soak.run import SoakResult, run_soak
from onyxpass.soak.schedule import (
    ScheduledFault,
    SoakParameters,
    describe_faults,
    draw_faults,
)

MAX_BREACHES_SHOWN = 20
DEADLINES_S = (3.0, 1.6)
Seconds = Annotated[
    float, typer.Option(min=6, max=3600, help="Seconds of client traffic in each soak.")
]


def soak(
    seed: Annotated[int, typer.Option(min=0, help="The first seed.")] = 1,
    seeds: Annotated[
        int, typer.Option(min=1, max=10_000, help="Number of soaks, run one after another.")
    ] = 10,
    length: Seconds = 20.0,
    dispatchers: Annotated[int, typer.Option(min=1, max=100)] = 24,
    shrink: Annotated[
        bool, typer.Option(help="Reduce the faults of a failed soak to the fewest that still fail.")
    ] = False,
    keep: Annotated[Path | None, typer.Option(help="A folder for the logs of the soaks.")] = None,
) -> None:
    """Run soaks with faults drawn from seeds, repeatable by seed; exit code 1 on a broken rule."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    failed = [
        number
        for number in range(seed, seed + seeds)
        if not _run_seed(number, _parameters(number, dispatchers, length), shrink, keep)
    ]
    typer.echo(
        f"{seeds - len(failed)} of {seeds} kept all rules" + (f"; not: {failed}" if failed else "")
    )
    raise typer.Exit(1 if failed else 0)


def _parameters(seed: int, dispatchers: int, length: float) -> SoakParameters:
    """Return the parameters of a seed's soak.

    Every second soak has a deadline below the longest that delays SIGKILL, so that the deadline
    itself determines when SIGKILL is sent.
    """
    deadline_s = DEADLINES_S[seed % len(DEADLINES_S)]
    return SoakParameters(dispatchers=dispatchers, length_s=length, deadline_s=deadline_s)


def _run_seed(seed: int, parameters: SoakParameters, shrink: bool, keep: Path | None) -> bool:
    """Run one soak, print its result and return whether it kept all rules."""
    faults, began_s = draw_faults(seed, parameters), time.monotonic()
    result = asyncio.run(run_soak(seed, parameters, faults, keep / str(seed) if keep else None))
    outcomes = ", ".join(f"{n} {outcome}" for outcome, n in sorted(result.outcomes.items()))
    took_s = time.monotonic() - began_s
    count = len(result.breaches)
    times = f"lag {result.lag_s:.3f} s; descheduled {result.descheduled_s:.1f} s; {took_s:.0f} s"
    typer.echo(f"seed {seed}: {count} breaches; {outcomes}; {times}")
    if not result.breaches:
        return True
    typer.echo("\n".join(f"  {breach[:240]}" for breach in result.breaches[:MAX_BREACHES_SHOWN]))
    if shrink:
        faults = asyncio.run(minimize_faults(faults, lambda fewer: _fails(seed, parameters, fewer)))
        typer.echo("the fewest faults that still break a rule:")
    typer.echo(describe_faults(faults))
    return False


async def _fails(seed: int, parameters: SoakParameters, faults: Sequence[ScheduledFault]) -> bool:
    result: SoakResult = await run_soak(seed, parameters, faults)
    return bool(result.breaches)
