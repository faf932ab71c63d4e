"""The command line."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import typer

from onyxpass import logs
from onyxpass.config import platform_file as configuration

app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="A dispatcher for reader and writer replicas."
)
agent_app = typer.Typer(no_args_is_help=True, help="Many instances on this machine.")
app.add_typer(agent_app, name="agent")
Answer = TypeVar("Answer")
Found = TypeVar("Found")
Level = Literal["debug", "info", "warning", "error", "critical"]
ConfigFile = Annotated[
    Path | None, typer.Option("--config", help="The platform's JSON; else $ROUTER_CONFIG.")
]


# what must start at once, with little memory
LIGHT = ("serve", "toolcalls", "check-config", "version")


def main() -> None:
    """The whole command line; the operators' groups are loaded only where they are asked for."""
    if (sys.argv[1:2] or [""])[0] not in LIGHT:
        from onyxpass.desired.cli import desired_app
        from onyxpass.fleet.cli import fleet_app
        from onyxpass.soak.cli import soak
        from onyxpass.sources.cli import servers_app
        from onyxpass.testbed.cli import standin_app

        app.add_typer(desired_app, name="desired")
        app.add_typer(fleet_app, name="fleet")
        app.add_typer(servers_app, name="servers")
        app.add_typer(standin_app, name="standin")
        app.command("soak")(soak)
    if (sys.argv[1:2] or [""])[0] == "lab":  # an extra: it needs numpy
        from onyxpass.emulator.cli import lab_app

        app.add_typer(lab_app, name="lab")
    app(prog_name="onyxpass")


def read_toml(load: Callable[[Path], Found], path: Path) -> Found:
    try:
        return load(path)
    except configuration.ConfigError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(2) from problem


def read(path: Path | None) -> configuration.Config:
    try:
        return configuration.load(path, strict=True)
    except configuration.ConfigError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(2) from problem


@app.command()
def serve(
    config: ConfigFile = None,
    servers: Annotated[
        Path | None,
        typer.Option("--servers", help="Our TOML file of watched files; else $ONYXPASS_SERVERS."),
    ] = None,
    log_level: Level = "info",
) -> None:
    """Run one dispatcher in the foreground till SIGTERM; SIGHUP reads the configuration again."""
    from onyxpass.start import run

    if servers is not None:
        os.environ[configuration.SERVERS_VARIABLE] = str(servers)
    raise typer.Exit(run(config, log_level))


@app.command("check-config")
def check_config(config: ConfigFile = None) -> None:
    """Read the configuration and say what it holds; exit code 2 if it is no use."""
    from onyxpass.net import front, replica

    found = read(config)
    known = len(found.known_endpoints.get("hosts") or ())
    classes = ", ".join(c.name for c in found.settings.classes)
    typer.echo(f"{found.name}: listens on {found.listen}, discovery at {found.discovery}")
    typer.echo(
        f"operators' address: {found.control or 'none'}; kept in {found.folder or 'memory only'}"
    )
    passed = (
        "bound here"
        if found.listen_descriptor is None
        else f"passed as descriptor {found.listen_descriptor}"
    )
    typer.echo(f"clients' socket: {passed}")
    typer.echo(f"classes: {classes}; servers known: {known}")
    typer.echo(
        f"descriptors: {found.sockets}, of them {found.connection_limit} for clients, as many for replicas"
    )
    typer.echo(
        f"clients: {front.REQUEST_TIMEOUT_US / 1e6:g} s for a request, "
        f"{front.IDLE_TIMEOUT_US / 1e6:g} s between two"
    )
    opening, silence = replica.FIRST_EVENT_TIMEOUT_US / 1e6, replica.STREAM_STALL_TIMEOUT_US / 1e6
    typer.echo(f"streams: {opening:g} s to open, cut off after {silence:g} s of silence")
    typer.echo(f"on SIGHUP: discovery at {configuration.load(config, reloading=True).discovery}")


def version_text() -> str:
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    try:
        return installed("onyxpass")
    except PackageNotFoundError:  # run from the source tree
        from onyxpass import __version__

        return __version__


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"onyxpass {version_text()}")


@app.command()
def toolcalls(
    config: Annotated[Path, typer.Option("--config", help="The operator's TOML file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Only read the file and say what it holds.")
    ] = False,
    log_level: Level = "info",
) -> None:
    """Run the JSON-RPC front in the foreground till SIGTERM; SIGHUP reads its servers again."""
    from onyxpass.core import event_loop
    from onyxpass.toolcalls import service

    found = read_toml(service.load, config)
    if check:
        typer.echo(f"{found.name}: listens on {found.listen}, tool server at {found.tools}")
        typer.echo(f"servers: {', '.join(server.id for server, _ in found.servers)}")
        return
    logs.configure(log_level)
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(service.serve(found, lambda: service.load(config)))


@agent_app.command("run")
def agent_run(
    config: Annotated[Path, typer.Option("--config", help="The operator's TOML file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Only read the file and say what it holds.")
    ] = False,
    log_level: Level = "info",
) -> None:
    """Start, watch and restart the instances of a file till SIGTERM; then stop them all."""
    from onyxpass.agent import config as agent_config
    from onyxpass.agent import main
    from onyxpass.agent.state_store import StateStoreError

    found = read_toml(agent_config.load, config)
    if check:
        typer.echo(
            f"{found.name}: address {found.listen or 'none'}, state in {found.state or 'memory only'}"
        )
        typer.echo(f"instances: {', '.join(spec.name for spec in found.instances)}")
        return
    logs.configure(log_level)
    try:
        asyncio.run(main.run(found))
    except configuration.ConfigError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(2) from problem
    except StateStoreError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(1) from problem


@agent_app.command("key")
def agent_key(path: Path) -> None:
    """Make a key for an agent and its callers, in a new file that only you may read."""
    from onyxpass.agent.credentials import make_key

    try:
        make_key(path)
    except OSError as problem:
        typer.echo(f"onyxpass: {path}: {problem.strerror or problem}", err=True)
        raise typer.Exit(2) from problem


StoreUrl = Annotated[str, typer.Option("--store", help="The Redis that the agents tell.")]
LOCAL_STORE = "redis://127.0.0.1:6379/0"


def ask_store(question: Callable[[Any], Awaitable[Answer]], url: str) -> Answer:
    from onyxpass.store.redis import RedisStore, StoreUnavailableError

    async def ask() -> Answer:
        store = RedisStore(url, 2000)
        try:
            return await question(store)
        finally:
            await store.close()

    try:
        return asyncio.run(ask())
    except (StoreUnavailableError, ValueError) as problem:
        typer.echo(f"onyxpass: store: {problem}", err=True)
        raise typer.Exit(1) from problem


@agent_app.command("list")
def agent_list(store: StoreUrl = LOCAL_STORE) -> None:
    """List the instances of all agents that have been heard of lately."""
    found: dict[str, dict[str, Any]] = ask_store(lambda s: s.instances(), store)
    columns = ("instance", "agent", "state", "pid", "restarts", "last_exit")
    rows = [
        columns,
        *((name, *(str(state.get(c, "-")) for c in columns[1:])) for name, state in found.items()),
    ]
    widths = [max(len(row[i]) for row in rows) for i in range(len(columns))]
    for row in rows:
        typer.echo(
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        )


@agent_app.command("stop")
def agent_stop(name: str, store: StoreUrl = LOCAL_STORE) -> None:
    """Ask for an instance to be stopped and kept so; its agent follows within its poll time."""
    ask_store(lambda s: s.set_desired_running(name, False), store)


@agent_app.command("start")
def agent_start(name: str, store: StoreUrl = LOCAL_STORE) -> None:
    """Ask for a stopped instance to run again."""
    ask_store(lambda s: s.set_desired_running(name, True), store)
