"""The commands of ``onyxpass standin``: stand-ins as programs, and a demonstration."""

import asyncio
from collections.abc import Coroutine
from typing import Annotated, Any

import typer

standin_app = typer.Typer(
    no_args_is_help=True, help="Stand-ins for trials, on loopback addresses only."
)
Port = Annotated[int, typer.Option("--port", min=0, max=65535, help="0 chooses a free port.")]


async def _wait_forever() -> None:
    await asyncio.Event().wait()


@standin_app.command("store")
def store(port: Port = 6379) -> None:
    """Run a stand-in for Redis, with keys that expire and without persistence."""
    from onyxpass.testbed.store import RespStore

    async def serve() -> None:
        server = await RespStore(port).start()
        typer.echo(f"redis://{server.address}/0")
        await _wait_forever()

    _run(serve())


@standin_app.command("fleet")
def fleet(
    readers: Annotated[int, typer.Option(min=1, max=1000)] = 2,
    writers: Annotated[int, typer.Option(min=1, max=1000)] = 2,
    port: Port = 8500,
    token_ms: Annotated[float, typer.Option(min=0, max=1000, help="Time for each token.")] = 1.0,
) -> None:
    """Run stand-in readers, writers and their discovery, for dispatchers to serve from."""
    from onyxpass.testbed.replicas import Speed, StandinFleet

    async def serve() -> None:
        standin_fleet = StandinFleet(
            readers, writers, speed=Speed(token_s=token_ms / 1000), port=port
        )
        await standin_fleet.start()
        typer.echo(
            f"discovery: {standin_fleet.discovery.address}; {readers} readers, {writers} writers"
        )
        await _wait_forever()

    _run(serve())


@standin_app.command("demo")
def demo(
    requests: Annotated[int, typer.Option(min=1, max=100_000)] = 300,
) -> None:
    """Run two dispatchers under an agent, send requests of all classes and count every answer."""
    from onyxpass.testbed.demo import demonstrate

    raise typer.Exit(asyncio.run(demonstrate(requests)))


def _run(work: Coroutine[Any, Any, None]) -> None:
    try:
        asyncio.run(work)
    except KeyboardInterrupt:
        raise typer.Exit(0) from None
    except OSError as problem:
        typer.echo(f"onyxpass: {problem.strerror or problem}", err=True)
        raise typer.Exit(1) from problem
