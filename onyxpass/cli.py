"""The command line of onyxpass."""

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
agent_app = typer.Typer(no_args_is_help=True, help="Manage many instances on this machine.")
app.add_typer(agent_app, name="agent")
Result = TypeVar("Result")
Loaded = TypeVar("Loaded")
Level = Literal["debug", "info", "warning", "error", "critical"]
ConfigFile = Annotated[
    Path | None,
    typer.Option("--config", help="The platform's JSON file; the default is $ROUTER_CONFIG."),
]


# Commands that must start quickly and with little memory.
LIGHTWEIGHT_COMMANDS = ("serve", "toolcalls", "check-config", "version")


def main() -> None:
    """Run the command line; lightweight commands do not import the operators' groups."""
    if (sys.argv[1:2] or [""])[0] not in LIGHTWEIGHT_COMMANDS:
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
    if (sys.argv[1:2] or [""])[0] == "lab":  # needs numpy, which only an extra installs
        from onyxpass.emulator.cli import lab_app

        app.add_typer(lab_app, name="lab")
    app(prog_name="onyxpass")


def load_toml(load: Callable[[Path], Loaded], path: Path) -> Loaded:
    try:
        return load(path)
    except configuration.ConfigError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(2) from problem


def load_config(path: Path | None) -> configuration.Config:
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
        typer.Option("--servers", help="The TOML sources file; the default is $ONYXPASS_SERVERS."),
    ] = None,
    log_level: Level = "info",
) -> None:
    """Run one dispatcher in the foreground until SIGTERM; SIGHUP reloads the configuration."""
    from onyxpass.start import run

    if servers is not None:
        os.environ[configuration.SERVERS_VARIABLE] = str(servers)
    raise typer.Exit(run(config, log_level))


@app.command("check-config")
def check_config(config: ConfigFile = None) -> None:
    """Check the configuration and print a summary; exit code 2 if it is invalid."""
    from onyxpass.net import front, replica

    loaded = load_config(config)
    known_count = len(loaded.known_endpoints.get("hosts") or ())
    classes = ", ".join(c.name for c in loaded.settings.classes)
    typer.echo(f"{loaded.name}: listens on {loaded.listen}, discovery at {loaded.discovery}")
    typer.echo(
        f"operators' address: {loaded.control or 'none'}; kept in {loaded.folder or 'memory only'}"
    )
    listener = (
        "bound here"
        if loaded.listen_descriptor is None
        else f"passed as descriptor {loaded.listen_descriptor}"
    )
    typer.echo(f"clients' socket: {listener}")
    typer.echo(f"classes: {classes}; servers known: {known_count}")
    typer.echo(
        f"descriptors: {loaded.sockets}, of them {loaded.connection_limit} for clients, as many for replicas"
    )
    typer.echo(
        f"clients: {front.REQUEST_TIMEOUT_US / 1e6:g} s for a request, "
        f"{front.IDLE_TIMEOUT_US / 1e6:g} s between two"
    )
    open_s, silence_s = replica.FIRST_EVENT_TIMEOUT_US / 1e6, replica.STREAM_STALL_TIMEOUT_US / 1e6
    typer.echo(f"streams: {open_s:g} s to open, cut off after {silence_s:g} s of silence")
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
        bool, typer.Option("--check", help="Only check the file and print a summary.")
    ] = False,
    forget_front: Annotated[
        str,
        typer.Option(
            "--forget-front",
            help="Only let the fronts of the store expect no claims of this front any more.",
        ),
    ] = "",
    log_level: Level = "info",
) -> None:
    """Run the JSON-RPC front in the foreground until SIGTERM; SIGHUP reloads its servers."""
    from onyxpass.core import event_loop
    from onyxpass.program_runner import run_program
    from onyxpass.toolcalls import service

    loaded = load_toml(service.load, config)
    if check:
        typer.echo(f"{loaded.name}: listens on {loaded.listen}, tool server at {loaded.tools}")
        typer.echo(f"servers: {', '.join(server.id for server, _ in loaded.servers)}")
        return
    if forget_front:
        from onyxpass.toolcalls.front_removal import run_forget_front

        raise typer.Exit(run_forget_front(loaded, forget_front))
    logs.configure(log_level)
    run_program(service.serve(loaded, lambda: service.load(config)), event_loop.make)


@agent_app.command("run")
def agent_run(
    config: Annotated[Path, typer.Option("--config", help="The operator's TOML file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Only check the file and print a summary.")
    ] = False,
    log_level: Level = "info",
) -> None:
    """Start, supervise and restart the instances of a file until SIGTERM; then stop them all."""
    from onyxpass.agent import config as agent_config
    from onyxpass.agent import main
    from onyxpass.agent.state_store import StateStoreError
    from onyxpass.program_runner import run_program

    loaded = load_toml(agent_config.load, config)
    if check:
        typer.echo(
            f"{loaded.name}: address {loaded.listen or 'none'}, state in {loaded.state or 'memory only'}"
        )
        typer.echo(f"instances: {', '.join(spec.name for spec in loaded.instances)}")
        return
    logs.configure(log_level)
    try:
        run_program(main.run(loaded))
    except configuration.ConfigError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(2) from problem
    except StateStoreError as problem:
        typer.echo(f"onyxpass: {problem}", err=True)
        raise typer.Exit(1) from problem


@agent_app.command("key")
def agent_key(path: Path) -> None:
    """Generate a key for an agent and its callers in a new file that only you may read."""
    from onyxpass.agent.credentials import make_key

    try:
        make_key(path)
    except OSError as problem:
        typer.echo(f"onyxpass: {path}: {problem.strerror or problem}", err=True)
        raise typer.Exit(2) from problem


StoreUrl = Annotated[str, typer.Option("--store", help="The Redis to which the agents report.")]
LOCAL_STORE = "redis://127.0.0.1:6379/0"


def query_store(query: Callable[[Any], Awaitable[Result]], url: str) -> Result:
    from onyxpass.store.redis import RedisStore, StoreUnavailableError

    async def ask() -> Result:
        store = RedisStore(url, 2000)
        try:
            return await query(store)
        finally:
            await store.close()

    try:
        return asyncio.run(ask())
    except (StoreUnavailableError, ValueError) as problem:
        typer.echo(f"onyxpass: store: {problem}", err=True)
        raise typer.Exit(1) from problem


@agent_app.command("list")
def agent_list(store: StoreUrl = LOCAL_STORE) -> None:
    """List the instances that agents have reported recently."""
    instances: dict[str, dict[str, Any]] = query_store(lambda s: s.instances(), store)
    columns = ("instance", "agent", "state", "pid", "restarts", "last_exit")
    rows = [
        columns,
        *(
            (name, *(str(state.get(c, "-")) for c in columns[1:]))
            for name, state in instances.items()
        ),
    ]
    widths = [max(len(row[i]) for row in rows) for i in range(len(columns))]
    for row in rows:
        typer.echo(
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        )


@agent_app.command("stop")
def agent_stop(name: str, store: StoreUrl = LOCAL_STORE) -> None:
    """Request that an instance is stopped and stays stopped; its agent acts within its poll time."""
    query_store(lambda s: s.set_desired_running(name, False), store)


@agent_app.command("start")
def agent_start(name: str, store: StoreUrl = LOCAL_STORE) -> None:
    """Request that a stopped instance runs again."""
    query_store(lambda s: s.set_desired_running(name, True), store)
