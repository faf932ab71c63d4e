"""The command line."""

import asyncio
import logging
import sys
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed
from pathlib import Path
from typing import Annotated

import structlog
import typer

from onyxpass import config as configuration

app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="A dispatcher for reader and writer replicas."
)
ConfigFile = Annotated[
    Path | None, typer.Option("--config", help="The platform's JSON; else $ROUTER_CONFIG.")
]


def set_up_logging(level: str) -> None:
    """One JSON object a line on standard output, which is what the platform keeps as the log."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )


def read(path: Path | None) -> configuration.Config:
    try:
        return configuration.load(path)
    except configuration.ConfigError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(2) from problem


@app.command()
def serve(config: ConfigFile = None, log_level: str = "info") -> None:
    """Run one dispatcher in the foreground till SIGTERM."""
    from onyxpass.serve import serve as run

    set_up_logging(log_level)
    asyncio.run(run(read(config)))


@app.command("check-config")
def check_config(config: ConfigFile = None) -> None:
    """Read the configuration and say what it holds; exit code 2 if it is no use."""
    found = read(config)
    known = len(found.known.get("hosts") or ())
    classes = ", ".join(c.name for c in found.settings.classes)
    typer.echo(f"{found.name}: listens on {found.listen}, discovery at {found.discovery}")
    typer.echo(f"classes: {classes}; servers known: {known}; descriptors: {found.sockets}")


def version_text() -> str:
    try:
        return installed("onyxpass")
    except PackageNotFoundError:  # run from the source tree
        from onyxpass import __version__

        return __version__


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"onyxpass {version_text()}")
