"""``onyxpass soak``: real dispatchers under overlapping faults; for development machines."""

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import structlog
import typer

from onyxpass.soak.minimizer import shrunk
from onyxpass.soak.run import Result, play
from onyxpass.soak.schedule import Fault, Shape, described, drawn

BREACHES_SHOWN = 20
DEADLINES_S = (3.0, 1.6)
Seconds = Annotated[float, typer.Option(min=6, max=3600, help="Of requests in each soak.")]


def soak(
    seed: Annotated[int, typer.Option(min=0, help="The first one.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, max=10_000, help="Soaks, one after another.")] = 10,
    length: Seconds = 20.0,
    dispatchers: Annotated[int, typer.Option(min=1, max=100)] = 24,
    shrink: Annotated[
        bool, typer.Option(help="Reduce the faults of a soak that fails to the fewest.")
    ] = False,
    keep: Annotated[
        Path | None, typer.Option(help="A folder for the logs of soaks that failed.")
    ] = None,
) -> None:
    """Play soaks drawn from seeds, the same from one seed; exit code 1 if a rule was broken."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    failed = [
        number
        for number in range(seed, seed + seeds)
        if not _one(number, _shape(number, dispatchers, length), shrink, keep)
    ]
    typer.echo(
        f"{seeds - len(failed)} of {seeds} kept all rules" + (f"; not: {failed}" if failed else "")
    )
    raise typer.Exit(1 if failed else 0)


def _shape(seed: int, dispatchers: int, length: float) -> Shape:
    """Every second soak has deadlines that count by themselves for the time of SIGKILL."""
    deadline_s = DEADLINES_S[seed % len(DEADLINES_S)]
    return Shape(dispatchers=dispatchers, length_s=length, deadline_s=deadline_s)


def _one(seed: int, shape: Shape, shrink: bool, keep: Path | None) -> bool:
    faults, began_s = drawn(seed, shape), time.monotonic()
    result = asyncio.run(play(seed, shape, faults, keep / str(seed) if keep else None))
    ends = ", ".join(f"{n} {end}" for end, n in sorted(result.ends.items()))
    took_s = time.monotonic() - began_s
    count = len(result.breaches)
    times = f"lag {result.lag_s:.3f} s; not run {result.not_run_s:.1f} s; {took_s:.0f} s"
    typer.echo(f"seed {seed}: {count} breaches; {ends}; {times}")
    if not result.breaches:
        return True
    typer.echo("\n".join(f"  {breach[:240]}" for breach in result.breaches[:BREACHES_SHOWN]))
    if shrink:
        faults = asyncio.run(shrunk(faults, lambda fewer: _fails(seed, shape, fewer)))
        typer.echo("the fewest faults that still break a rule:")
    typer.echo(described(faults))
    return False


async def _fails(seed: int, shape: Shape, faults: Sequence[Fault]) -> bool:
    result: Result = await play(seed, shape, faults)
    return bool(result.breaches)
