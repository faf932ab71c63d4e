"""``onyxpass desired``: run a node, change the desired configuration, show its state at several
nodes.
"""

import asyncio
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import typer

from onyxpass.agent.credentials import read_key
from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.net.http_client import (
    ApiResponse,
    RequestNotSentError,
    ResponseLostError,
    call_api,
    tcp_opener,
)

desired_app = typer.Typer(no_args_is_help=True, help="Configuration in force everywhere.")
Nodes = Annotated[list[str], typer.Option("--at", help="A node's address; several times.")]
Key = Annotated[Path, typer.Option("--key", help="The file with the key that agents share.")]
CALL_S = 2.0


def stop(text: str, code: int = 2) -> typer.Exit:
    typer.echo(f"onyxpass: {text}", err=True)
    return typer.Exit(code)


async def called(
    address: str, key: str, method: str, path: str, message: Mapping[str, Any] | None
) -> ApiResponse:
    return await call_api(
        tcp_opener(Address.parse(address)), method, path, message, key=key, timeout_s=CALL_S
    )


@desired_app.command("run")
def run_node(
    config: Annotated[Path, typer.Option("--config", help="The node's TOML file.")],
    log_level: Annotated[str, typer.Option("--log-level")] = "info",
) -> None:
    """Run one node in the foreground till SIGTERM."""
    from onyxpass import logs
    from onyxpass.desired import config as node_config
    from onyxpass.desired import node

    logs.configure(log_level)
    try:
        asyncio.run(node.run(node_config.load(config)))
    except ConfigError as problem:
        raise stop(str(problem)) from problem


@desired_app.command("set")
def set_values(
    pairs: Annotated[list[str], typer.Argument(help="KEY=VALUE, the value as JSON.")],
    at: Nodes,
    key: Key,
) -> None:
    """Order a change at the first of the named control nodes that takes it."""
    values: dict[str, Any] = {}
    for pair in pairs:
        name, equals, text = pair.partition("=")
        try:
            values[name] = json.loads(text)
        except ValueError as problem:
            raise stop(f"{name}: no JSON value: {text!r}") from problem
        if not equals or not name:
            raise stop(f"{pair!r} is not KEY=VALUE")
    shown_key = guarded_key(key)
    reasons = []
    for address in at:
        try:
            answer = asyncio.run(
                called(address, shown_key, "POST", "/v1/change", {"values": values})
            )
        except RequestNotSentError as problem:
            reasons.append(f"{address}: {problem}")
            continue
        # it may have been taken: not ordered a second time
        except (ResponseLostError, ConfigError) as problem:
            raise stop(f"{address}: {problem}", 3) from problem
        if answer.status != 200:
            raise stop(f"{address}: {answer.reason}", 1)
        typer.echo(json.dumps(dict(answer.body)))
        return
    raise stop("; ".join(reasons), 1)


@desired_app.command("show")
def show(at: Nodes, key: Key) -> None:
    """A line for each node: its state, what is in force there, and conflicts. Exit code 1 if
    they differ.
    """
    shown_key = guarded_key(key)
    digests = set()
    for address in at:
        try:
            answer = asyncio.run(called(address, shown_key, "GET", "/v1/state", None))
        except (RequestNotSentError, ResponseLostError, ConfigError) as problem:
            typer.echo(json.dumps({"at": address, "problem": str(problem)}))
            digests.add(f"unknown at {address}")
            continue
        told = dict(answer.body)
        digests.add(str(told.get("digest")))
        if told.get("role") == "host":
            digests.add(str(told.get("in_force")))
        typer.echo(json.dumps({"at": address, **told}))
    raise typer.Exit(0 if len(digests) == 1 else 1)


def guarded_key(path: Path) -> str:
    try:
        return read_key(path)
    except ConfigError as problem:
        raise stop(str(problem)) from problem
