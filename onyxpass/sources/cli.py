"""``onyxpass servers``: checks, compares, formats and shows watched files."""

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
    help="Servers from watched files. Exit codes: 0 success, 1 refused or different, 2 bad input.",
)
SourcesArgument = Annotated[
    Path, typer.Argument(help="The TOML sources file, which names the watched files.")
]
ConfigOption = Annotated[
    Path | None,
    typer.Option(
        "--config", help="The dispatcher's configuration file, which defines the server kinds."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def report_input_error(problem: Exception) -> typer.Exit:
    """Print the problem and return an exit with code 2."""
    typer.echo(f"onyxpass: {problem}", err=True)
    return typer.Exit(2)


def load_sources(path: Path) -> SourcesConfig:
    try:
        return load(path)
    except ConfigError as problem:
        raise report_input_error(problem) from problem


def roles_by_kind(
    config: Path | None, parsed: ParsedFiles | None = None
) -> dict[str, contract.Role]:
    """Map each kind to its role.

    The roles are those of the dispatcher's settings. Without ``config`` they are guessed from the
    names of the kinds in ``parsed``.
    """
    if config is not None:
        try:
            if config.suffix == ".toml":
                from onyxpass.toolcalls import service

                kinds = service.load(config).settings.kinds
            else:
                kinds = configuration.load(config).settings.kinds
        except ConfigError as problem:
            raise report_input_error(problem) from problem
        return {kind.name: kind.role for kind in kinds}
    named = {entry.server.kind for entry in parsed.entries} if parsed is not None else set()
    return {name: guess_role(name) for name in named if name}


def guess_role(kind: str) -> contract.Role:
    """Guess the role from "reader" or "writer" in the name; any other kind is mixed."""
    for word, role in (("reader", contract.Role.PREFILL), ("writer", contract.Role.DECODE)):
        if word in kind.lower():
            return role
    return contract.Role.MIXED


def parse_watched(
    sources: SourcesConfig, config: Path | None
) -> tuple[ParsedFiles, dict[str, contract.Role]]:
    files = read_all(sources.paths)
    roles = roles_by_kind(config)
    if config is None:
        roles = roles_by_kind(None, watched_schema.parse_files(files, (), False))
    parsed = watched_schema.parse_files(
        files, list(roles), sources.sole_source, require_end=sources.file.require_end
    )
    return parsed, roles


def last_view(sources: SourcesConfig) -> MembershipView:
    """Return the last accepted view from its snapshot, or an empty view if none can be loaded."""
    try:
        return snapshot.load(sources.snapshot) if sources.snapshot is not None else EMPTY_VIEW
    except snapshot.SnapshotError:
        return EMPTY_VIEW


@servers_app.command("check")
def check(file: SourcesArgument, config: ConfigOption = None) -> None:
    """Read all files as the dispatcher would, and say whether it would accept them."""
    sources = load_sources(file)
    parsed, roles = parse_watched(sources, config)
    result = validate(
        last_view(sources), parsed, roles, sources.file.guards, 0, sources.sole_source
    )
    if isinstance(result, Rejected):
        for reason in result.reasons:
            typer.echo(f"refused: {reason}", err=True)
        raise typer.Exit(1)
    changes = result.difference.to_dict() if isinstance(result, Accepted) else {}
    counts = ", ".join(f"{len(names)} {what}" for what, names in changes.items())
    typer.echo(
        f"{len(parsed.entries)} servers in {len(read_all(sources.paths))} files: {counts or 'no change'}"
    )


def server_row(entry: ServerEntry) -> dict[str, object]:
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
def show(file: SourcesArgument, as_json: JsonOption = False) -> None:
    """Show the last accepted view from its snapshot."""
    sources = load_sources(file)
    if sources.snapshot is None:
        raise report_input_error(ConfigError(f"{file}: no snapshot is configured"))
    try:
        view = snapshot.load(sources.snapshot)
    except snapshot.SnapshotError as problem:
        raise report_input_error(ConfigError(f"{sources.snapshot}: {problem}")) from problem
    if as_json:
        rows = [server_row(entry) for entry in view.entries.values()]
        typer.echo(
            json.dumps({"view": view.number, "digest": view.digest, "servers": rows}, indent=2)
        )
        return
    typer.echo(f"view {view.number}, {len(view.entries)} servers, digest {view.digest}")
    for entry in view.entries.values():
        typer.echo("  ".join(str(value) for value in server_row(entry).values()))


@servers_app.command("diff")
def diff(file: SourcesArgument, as_json: JsonOption = False) -> None:
    """Show how the files differ from the last accepted view; exit code 1 if they do."""
    sources = load_sources(file)
    parsed, _ = parse_watched(sources, None)
    if parsed.faults:
        for fault in parsed.faults:
            typer.echo(f"refused: {fault}", err=True)
        raise typer.Exit(2)
    old = last_view(sources)
    entries = {entry.server.id: entry for entry in parsed.entries}
    if as_json:
        typer.echo(json.dumps(compare(old.entries, entries).to_dict(), indent=2))
    lines = 0
    for name in sorted(old.entries.keys() | entries.keys()):
        before, after = (
            server_row(view_entries[name]) if name in view_entries else None
            for view_entries in (old.entries, entries)
        )
        if (line := change_line(name, before, after)) is not None:
            lines += 1
            if not as_json:
                typer.echo(line)
    raise typer.Exit(1 if lines else 0)


def change_line(
    name: str, before: dict[str, object] | None, after: dict[str, object] | None
) -> str | None:
    """Describe one server's change in a line; None if nothing changes."""
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
        bool, typer.Option("--check", help="Write nothing; exit code 1 if a file would be changed.")
    ] = False,
) -> None:
    """Format watched files and keep their comments. A file with a fault is left unchanged."""
    from onyxpass.sources.format import formatted

    different = 0
    for path in files:
        try:
            text_before = path.read_bytes()
            parsed = watched_schema.parse_files({str(path): text_before}, (), False)
            wrong = [fault for fault in parsed.faults if "no kind" not in fault.reason]
            if wrong:
                raise ConfigError(str(wrong[0]))
            text_after = formatted(text_before.decode("utf-8-sig")).encode()
        except (OSError, ConfigError) as problem:
            raise report_input_error(problem) from problem
        if text_after != text_before:
            different += 1
            typer.echo(f"{path}: {'would be changed' if check else 'formatted'}")
            if not check:
                temporary = path.with_name(f".{path.name}.new")
                temporary.write_bytes(text_after)
                temporary.chmod(path.stat().st_mode & 0o777)
                temporary.replace(path)
    raise typer.Exit(1 if check and different else 0)


@servers_app.command("schema")
def schema(
    sources: Annotated[
        bool, typer.Option("--sources", help="Print the schema of the sources file instead.")
    ] = False,
) -> None:
    """Print the JSON Schema of watched files."""
    from onyxpass.config.toml_config import schema_text

    model, title = (
        (SourcesFile, "onyxpass sources file")
        if sources
        else (WatchedFile, "onyxpass watched file")
    )
    typer.echo(schema_text(model, title), nl=False)


@servers_app.command("watch")
def watch(file: SourcesArgument, config: ConfigOption = None) -> None:
    """Watch the files until Ctrl-C and say of each version whether it would be accepted."""
    sources = load_sources(file)

    async def follow() -> None:
        watcher = FileWatcher(sources.paths, sources.file.poll_s)
        listening = asyncio.create_task(watcher.listen())
        view = last_view(sources)
        try:
            async for _ in watcher.changes():
                parsed, roles = parse_watched(sources, config)
                result = validate(view, parsed, roles, sources.file.guards, 0, sources.sole_source)
                if isinstance(result, Rejected):
                    typer.echo("refused: " + "; ".join(result.reasons))
                elif isinstance(result, Accepted):
                    view = result.view
                    typer.echo(f"view {view.number}: {json.dumps(result.difference.to_dict())}")
        finally:
            listening.cancel()

    try:
        asyncio.run(follow())
    except KeyboardInterrupt:
        raise typer.Exit(0) from None
