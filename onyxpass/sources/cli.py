"""``onyxpass servers``: watched files checked, compared, formatted and shown."""

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer

from onyxpass.config import platform_file as configuration
from onyxpass.config.platform_file import ConfigError
from onyxpass.scheduling import contract
from onyxpass.sources import schema as watched_schema
from onyxpass.sources import snapshot
from onyxpass.sources.membership import SourcesConfig, load
from onyxpass.sources.membership_view import EMPTY_VIEW, MembershipView, compare
from onyxpass.sources.schema import ParsedFiles, ServerEntry, SourcesFile, WatchedFile
from onyxpass.sources.validation import Accepted, Rejected, validate
from onyxpass.sources.watcher import FileWatcher, read_all

servers_app = typer.Typer(
    no_args_is_help=True,
    help="Servers from watched files. Exit codes: 0 good, 1 refused or different, 2 bad input.",
)
File = Annotated[Path, typer.Argument(help="Our TOML file that names what is watched.")]
Config = Annotated[
    Path | None,
    typer.Option("--config", help="The dispatcher's file, whose kinds the servers must have."),
]
Json = Annotated[bool, typer.Option("--json", help="For programs.")]


def stop(problem: Exception) -> typer.Exit:
    typer.echo(f"onyxpass: {problem}", err=True)
    return typer.Exit(2)


def opened(path: Path) -> SourcesConfig:
    try:
        return load(path)
    except ConfigError as problem:
        raise stop(problem) from problem


def roles_of(config: Path | None, draft: ParsedFiles | None = None) -> dict[str, contract.Role]:
    """Of the kinds in the dispatcher's settings; without them, by names that say it."""
    if config is not None:
        try:
            if config.suffix == ".toml":
                from onyxpass.toolcalls import service

                kinds = service.load(config).settings.kinds
            else:
                kinds = configuration.load(config).settings.kinds
        except ConfigError as problem:
            raise stop(problem) from problem
        return {kind.name: kind.role for kind in kinds}
    named = {entry.server.kind for entry in draft.entries} if draft is not None else set()
    return {name: guessed(name) for name in named if name}


def guessed(kind: str) -> contract.Role:
    for word, role in (("reader", contract.Role.PREFILL), ("writer", contract.Role.DECODE)):
        if word in kind.lower():
            return role
    return contract.Role.MIXED


def drafted(
    sources: SourcesConfig, config: Path | None
) -> tuple[ParsedFiles, dict[str, contract.Role]]:
    files = read_all(sources.paths)
    roles = roles_of(config)
    if config is None:
        roles = roles_of(None, watched_schema.parse_files(files, (), False))
    return watched_schema.parse_files(files, list(roles), sources.sole_source), roles


def in_force(sources: SourcesConfig) -> MembershipView:
    """The last good view, as its snapshot tells it; none where none is kept."""
    try:
        return snapshot.load(sources.snapshot) if sources.snapshot is not None else EMPTY_VIEW
    except snapshot.SnapshotError:
        return EMPTY_VIEW


@servers_app.command("check")
def check(file: File, config: Config = None) -> None:
    """Read all files as the dispatcher would, and say whether they would come into force."""
    sources = opened(file)
    draft, roles = drafted(sources, config)
    verdict = validate(in_force(sources), draft, roles, sources.file.guards, 0, sources.sole_source)
    if isinstance(verdict, Rejected):
        for reason in verdict.reasons:
            typer.echo(f"refused: {reason}", err=True)
        raise typer.Exit(1)
    told = verdict.difference.told() if isinstance(verdict, Accepted) else {}
    counts = ", ".join(f"{len(names)} {what}" for what, names in told.items())
    typer.echo(
        f"{len(draft.entries)} servers in {len(read_all(sources.paths))} files: {counts or 'no change'}"
    )


def row(entry: ServerEntry) -> dict[str, object]:
    server = entry.server
    return {
        "id": server.id,
        "kind": server.kind,
        "hall": server.zone,
        "cell": server.cell,
        "address": str(entry.address) if entry.address else None,
        "weight": server.weight,
        "state": "active" if server.condition is contract.EndpointCondition.UP else "draining",
        "at": f"{entry.file}:{entry.line}",
    }


@servers_app.command("show")
def show(file: File, as_json: Json = False) -> None:
    """The last good view, from its snapshot."""
    sources = opened(file)
    if sources.snapshot is None:
        raise stop(ConfigError(f"{file}: no snapshot is kept"))
    try:
        view = snapshot.load(sources.snapshot)
    except snapshot.SnapshotError as problem:
        raise stop(ConfigError(f"{sources.snapshot}: {problem}")) from problem
    if as_json:
        rows = [row(entry) for entry in view.entries.values()]
        typer.echo(
            json.dumps({"view": view.number, "digest": view.digest, "servers": rows}, indent=2)
        )
        return
    typer.echo(f"view {view.number}, {len(view.entries)} servers, digest {view.digest}")
    for entry in view.entries.values():
        typer.echo("  ".join(str(value) for value in row(entry).values()))


@servers_app.command("diff")
def diff(file: File, as_json: Json = False) -> None:
    """What the files would change of the last good view; exit code 1 if anything."""
    sources = opened(file)
    draft, _ = drafted(sources, None)
    if draft.faults:
        for fault in draft.faults:
            typer.echo(f"refused: {fault}", err=True)
        raise typer.Exit(2)
    old = in_force(sources)
    entries = {entry.server.id: entry for entry in draft.entries}
    if as_json:
        typer.echo(json.dumps(compare(old.entries, entries).told(), indent=2))
    lines = 0
    for name in sorted(old.entries.keys() | entries.keys()):
        before, after = (
            row(some[name]) if name in some else None for some in (old.entries, entries)
        )
        if (told := line_of(name, before, after)) is not None:
            lines += 1
            if not as_json:
                typer.echo(told)
    raise typer.Exit(1 if lines else 0)


def line_of(
    name: str, before: dict[str, object] | None, after: dict[str, object] | None
) -> str | None:
    """One server's change in words; None if there is none."""
    if before is None:
        return f"+ {name}: " + ", ".join(
            f"{k} {v}" for k, v in (after or {}).items() if k not in ("id", "at")
        )
    if after is None:
        return f"- {name}"
    changes = [
        f"{k} {before[k]} -> {after[k]}" for k in before if k != "at" and before[k] != after[k]
    ]
    return f"~ {name}: {', '.join(changes)}" if changes else None


@servers_app.command("fmt")
def fmt(
    files: Annotated[list[Path], typer.Argument(help="Watched files.")],
    check: Annotated[
        bool, typer.Option("--check", help="Change nothing; exit code 1 if it would.")
    ] = False,
) -> None:
    """Bring watched files into one form, comments kept. A file with a fault is not touched."""
    from onyxpass.sources.format import formatted

    different = 0
    for path in files:
        try:
            text = path.read_bytes()
            draft = watched_schema.parse_files({str(path): text}, (), False)
            wrong = [fault for fault in draft.faults if "no kind" not in fault.reason]
            if wrong:
                raise ConfigError(str(wrong[0]))
            fresh = formatted(text.decode("utf-8-sig")).encode()
        except (OSError, ConfigError) as problem:
            raise stop(problem) from problem
        if fresh != text:
            different += 1
            typer.echo(f"{path}: {'would be changed' if check else 'formatted'}")
            if not check:
                beside = path.with_name(f".{path.name}.new")
                beside.write_bytes(fresh)
                beside.chmod(path.stat().st_mode & 0o777)
                beside.replace(path)
    raise typer.Exit(1 if check and different else 0)


@servers_app.command("schema")
def schema(
    sources: Annotated[bool, typer.Option("--sources", help="Of our own file instead.")] = False,
) -> None:
    """The JSON Schema of watched files."""
    from onyxpass.config.toml_config import schema_text

    model, title = (
        (SourcesFile, "onyxpass sources file")
        if sources
        else (WatchedFile, "onyxpass watched file")
    )
    typer.echo(schema_text(model, title), nl=False)


@servers_app.command("watch")
def watch(file: File, config: Config = None) -> None:
    """Follow the files and say of each version whether it would come into force, till Ctrl-C."""
    sources = opened(file)

    async def follow() -> None:
        watcher = FileWatcher(sources.paths, sources.file.poll_s)
        listening = asyncio.create_task(watcher.listen())
        view = in_force(sources)
        try:
            async for _ in watcher.looks():
                draft, roles = drafted(sources, config)
                verdict = validate(view, draft, roles, sources.file.guards, 0, sources.sole_source)
                if isinstance(verdict, Rejected):
                    typer.echo("refused: " + "; ".join(verdict.reasons))
                elif isinstance(verdict, Accepted):
                    view = verdict.view
                    typer.echo(f"view {view.number}: {json.dumps(verdict.difference.told())}")
        finally:
            listening.cancel()

    try:
        asyncio.run(follow())
    except KeyboardInterrupt:
        raise typer.Exit(0) from None
