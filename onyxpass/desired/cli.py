"""``onyxpass desired``: run a node, change the desired configuration, show the state of nodes."""

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

desired_app = typer.Typer(
    no_args_is_help=True, help="Distribute one desired configuration to all hosts."
)
NodesOption = Annotated[
    list[str], typer.Option("--at", help="Address of a node; may be given several times.")
]
KeyOption = Annotated[Path, typer.Option("--key", help="File with the key that the agents share.")]
CALL_TIMEOUT_S = 2.0


def error_exit(text: str, code: int = 2) -> typer.Exit:
    typer.echo(f"onyxpass: {text}", err=True)
    return typer.Exit(code)


async def call_node(
    address: str, key: str, method: str, path: str, message: Mapping[str, Any] | None
) -> ApiResponse:
    return await call_api(
        tcp_opener(Address.parse(address)), method, path, message, key=key, timeout_s=CALL_TIMEOUT_S
    )


@desired_app.command("run")
def run_node(
    config: Annotated[Path, typer.Option("--config", help="The node's TOML file.")],
    log_level: Annotated[str, typer.Option("--log-level")] = "info",
) -> None:
    """Run one node in the foreground until SIGTERM."""
    from onyxpass import logs
    from onyxpass.desired import config as node_config
    from onyxpass.desired import node
    from onyxpass.program_runner import run_program

    logs.configure(log_level)
    try:
        run_program(node.run(node_config.load(config)))
    except ConfigError as error:
        raise error_exit(str(error)) from error


@desired_app.command("set")
def set_values(
    pairs: Annotated[list[str], typer.Argument(help="KEY=VALUE, the value as JSON.")],
    at: NodesOption,
    key: KeyOption,
) -> None:
    """Send a change to the first named control node that can be reached."""
    values: dict[str, Any] = {}
    for pair in pairs:
        name, equals, text = pair.partition("=")
        try:
            values[name] = json.loads(text)
        except ValueError as error:
            raise error_exit(f"{name}: not a JSON value: {text!r}") from error
        if not equals or not name:
            raise error_exit(f"{pair!r} is not KEY=VALUE")
    key_text = read_key_or_exit(key)
    errors = []
    for address in at:
        try:
            answer = asyncio.run(
                call_node(address, key_text, "POST", "/v1/change", {"values": values})
            )
        except RequestNotSentError as error:
            errors.append(f"{address}: {error}")
            continue
        # The node may have received the change, so it is not sent to another one.
        except (ResponseLostError, ConfigError) as error:
            raise error_exit(f"{address}: {error}", 3) from error
        if answer.status != 200:
            raise error_exit(f"{address}: {answer.reason}", 1)
        typer.echo(json.dumps(dict(answer.body)))
        return
    raise error_exit("; ".join(errors), 1)


@desired_app.command("show")
def show(at: NodesOption, key: KeyOption) -> None:
    """Print a line for each node: its state, its conflicts, and the digest applied there.

    The exit code is 1 if the nodes differ.
    """
    key_text = read_key_or_exit(key)
    digests = set()
    for address in at:
        try:
            answer = asyncio.run(call_node(address, key_text, "GET", "/v1/state", None))
        except (RequestNotSentError, ResponseLostError, ConfigError) as error:
            typer.echo(json.dumps({"at": address, "problem": str(error)}))
            digests.add(f"unknown at {address}")
            continue
        state = dict(answer.body)
        digests.add(str(state.get("digest")))
        if state.get("role") == "host":
            digests.add(str(state.get("in_force")))
        typer.echo(json.dumps({"at": address, **state}))
    raise typer.Exit(0 if len(digests) == 1 else 1)


def read_key_or_exit(path: Path) -> str:
    try:
        return read_key(path)
    except ConfigError as error:
        raise error_exit(str(error)) from error
