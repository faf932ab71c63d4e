"""The form of watched files, and of our own file that says what is watched. Nothing here does I/O.

A watched file names servers; several are read as one list. Every fault has a place and a likely
intent.
"""

import ipaddress
import re
import tomllib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated, Literal

from pydantic import Field, ValidationError

from onyxpass.config import toml_config
from onyxpass.config.platform_file import Address
from onyxpass.config.toml_config import PathPart
from onyxpass.scheduling import contract

FAULTS_MOST = 50  # of one version that are named
ROW = re.compile(r"\s*\[\[\s*servers\s*\]\]")
SIZE_MOST = 16 * 1024 * 1024  # bytes of one watched file
Id = Annotated[str, Field(min_length=1, max_length=253)]
Weight = Annotated[float, Field(ge=0, le=1000)]
Part = Annotated[str, Field(pattern=r"^(100|[1-9]?[0-9])%$")]


class ServerTable(toml_config.Model):
    """A server of a watched file; ``born`` is when it started, if that was lately."""

    model_config = toml_config.schema_description(
        "``weight``: against others of its kind; 0 for nothing new. "
        "``born``: when it started, if lately."
    )

    id: Id
    kind: str | None = None  # needed where the files are the only source; so are hall and address
    hall: str | None = None
    cell: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    address: toml_config.ConnectAddress | None = None
    weight: Weight = 1.0
    state: Literal["active", "draining"] = "active"
    born: datetime | None = None


class ChangeTable(toml_config.Model):
    """What this version of the files does on purpose."""

    # servers that may leave, whatever the guards say
    removes: list[Id] = Field(default_factory=list)


class WatchedFile(toml_config.Model):
    change: ChangeTable = Field(default_factory=ChangeTable)
    servers: list[ServerTable] = Field(default_factory=list)


class GuardsTable(toml_config.Model):
    """What no change may do. Parts are of what the view in force has."""

    # at least so many that take work, mixed ones among them
    readers: Annotated[int, Field(ge=1)] = 1
    writers: Annotated[int, Field(ge=1)] = 1
    removed: Part = "34%"  # of all servers, in one change
    removed_role: Part = "50%"
    removed_hall: Part = "50%"
    # the fewest of each hall
    halls: dict[str, Annotated[int, Field(ge=0)]] = Field(default_factory=dict)


class SourcesFile(toml_config.Model):
    """Times are seconds."""

    # files, and folders whose *.toml are read by name
    watch: Annotated[list[str], Field(min_length=1)]
    # the only source, or weights and drains on top of discovery
    mode: Literal["only", "over"] = "only"
    settle_s: Annotated[float, Field(ge=0, le=60)] = 0.1  # files must be still for so long
    leave_s: Annotated[float, Field(ge=0, le=600)] = 1.0  # and for so long where a server leaves
    # files are looked at even if nothing was notified
    poll_s: Annotated[float, Field(gt=0, le=600)] = 1.0
    ramp_s: Annotated[float, Field(ge=0, le=3600)] = 10.0  # in which a changed weight is reached
    snapshot: str | None = None  # where the last good view is kept
    guards: GuardsTable = Field(default_factory=GuardsTable)


@dataclass(frozen=True, slots=True)
class FileFault:
    """One thing that is wrong, and where: line and column from 1 on, 0 where there are none."""

    file: str
    reason: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        place = f":{self.line}:{self.column}" if self.line else ""
        return f"{self.file}{place}: {self.reason}"


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server as a file names it. ``address`` None: as discovery tells it."""

    server: contract.Endpoint
    address: Address | None
    file: str = ""
    line: int = 0


@dataclass(frozen=True, slots=True)
class ParsedFiles:
    """All watched files read as one. Only one without faults may become a view."""

    entries: tuple[ServerEntry, ...]
    removes: frozenset[str]
    faults: tuple[FileFault, ...]


def _rows(text: str) -> list[int]:
    """The lines at which servers begin, found in one pass: there may be ten thousand of them."""
    return [number for number, line in enumerate(text.splitlines(), 1) if ROW.match(line)]


def _entry(file: str, line: int, table: ServerTable) -> ServerEntry:
    # A weight of 0 and a drain are one thing to the module: nothing new.
    draining = table.state == "draining" or table.weight == 0
    born = table.born
    if born is not None and born.tzinfo is None:
        born = born.replace(tzinfo=UTC)
    server = contract.Endpoint(
        id=table.id,
        kind=table.kind or "",
        zone=table.hall or "",
        cell=table.cell,
        started_us=round(born.timestamp() * 1e6) if born is not None else None,
        condition=contract.EndpointCondition.DRAINING
        if draining
        else contract.EndpointCondition.UP,
        weight=table.weight,
    )
    return ServerEntry(server, Address.parse(table.address) if table.address else None, file, line)


def _parse(file: str, data: bytes) -> tuple[WatchedFile | None, str, list[FileFault]]:
    if len(data) > SIZE_MOST:
        return None, "", [FileFault(file, f"larger than {SIZE_MOST} bytes")]
    try:
        text = data.decode("utf-8-sig")  # some editors write a byte order mark
        raw = tomllib.loads(text)
    except UnicodeDecodeError as problem:
        line = data[: problem.start].count(b"\n") + 1
        return (
            None,
            "",
            [
                FileFault(
                    file, "not UTF-8", line, problem.start - data.rfind(b"\n", 0, problem.start)
                )
            ],
        )
    except tomllib.TOMLDecodeError as problem:
        reason, line, column = toml_config.syntax_fault(problem)
        if line:
            return None, "", [FileFault(file, reason, line, column)]
        lines = text.split("\n")
        return (
            None,
            "",
            [FileFault(file, f"{reason}: is it cut off?", len(lines), len(lines[-1]) + 1)],
        )
    except (RecursionError, ValueError) as problem:
        return None, "", [FileFault(file, f"it can't be read: {problem}")]
    rows = raw.get("servers")
    faults: list[FileFault] = []
    tables: list[ServerTable] = []
    if isinstance(rows, list):
        # Row by row: one call for ten thousand would hold up everything else in the process
        # meanwhile.
        raw = {**raw, "servers": []}
        for number, row in enumerate(rows):
            try:
                tables.append(ServerTable.model_validate(row))
            except ValidationError as problem:
                faults += _named(file, text, problem, ("servers", number))
                if len(faults) >= FAULTS_MOST:
                    break
    try:
        found = WatchedFile.model_validate(raw)
    except ValidationError as problem:
        faults = [*_named(file, text, problem, ()), *faults]
    if faults:
        return None, text, faults
    return found.model_copy(update={"servers": tables}), text, []


def _named(
    file: str, text: str, problem: ValidationError, base: tuple[PathPart, ...]
) -> list[FileFault]:
    """What a model says of its values, with their places."""
    faults = []
    for error in problem.errors():
        loc = (*base, *error["loc"])
        reason = error["msg"].removeprefix("Value error, ")
        if error["type"] == "extra_forbidden":
            reason = f"unknown key {loc[-1]!r}{toml_config.key_suggestion(WatchedFile, loc)}"
        elif error["type"] == "missing":
            reason = f"{loc[-1]} is absent"
        elif loc:
            reason = f"{loc[-1]}: {reason}"
        faults.append(FileFault(file, reason, *toml_config.position_of(text, loc)))
    return faults


def parse_files(
    files: Mapping[str, bytes | OSError],
    kinds: Sequence[str],
    sole_source: bool,
    loopback: bool = False,
) -> ParsedFiles:
    """All files, in their order, as one draft. ``kinds``: those that the settings name.

    ``sole_source``: the files are the only source, so each server needs its kind, hall and address.
    ``loopback``: addresses must lie on this machine.
    """
    entries: list[ServerEntry] = []
    removes: set[str] = set()
    faults: list[FileFault] = []
    for file, data in files.items():
        if isinstance(data, OSError):
            faults.append(FileFault(file, data.strerror or str(data)))
            continue
        found, text, wrong = _parse(file, data)
        faults += wrong
        if found is None:
            continue
        removes |= set(found.change.removes)
        rows = _rows(text)
        for number, table in enumerate(found.servers):
            entries.append(_entry(file, rows[number] if number < len(rows) else 1, table))
            for key, reason in _lacks(table, kinds, sole_source, loopback):
                # guards against a place looked up for each of ten thousand
                if len(faults) >= FAULTS_MOST:
                    break
                faults.append(
                    FileFault(
                        file, reason, *toml_config.position_of(text, ("servers", number, key))
                    )
                )
    faults += _doubles(entries)
    return ParsedFiles(tuple(entries), frozenset(removes), tuple(faults))


def _lacks(
    table: ServerTable, kinds: Sequence[str], sole_source: bool, loopback: bool
) -> Iterable[tuple[PathPart, str]]:
    """What a server lacks, or names that nothing knows."""
    if sole_source:
        for key in ("kind", "hall", "address"):
            if getattr(table, key) is None:
                yield "id", f"server {table.id!r} has no {key}"
    if table.kind is not None and table.kind not in kinds:
        yield "kind", f"no kind {table.kind!r}{toml_config.suggestion(table.kind, kinds)}"
    if not table.id.isprintable() or table.id != table.id.strip():
        yield "id", f"id {table.id!r} holds characters that can't be seen"
    if loopback and table.address is not None:
        try:
            inside = ipaddress.ip_address(Address.parse(table.address).host).is_loopback
        except ValueError:
            inside = False
        if not inside:
            yield "address", f"not a loopback address: {table.address!r}"


def _doubles(entries: Iterable[ServerEntry]) -> Iterable[FileFault]:
    """The same id or the same address twice, in one file or in two."""
    ids: dict[str, ServerEntry] = {}
    addresses: dict[Address, ServerEntry] = {}
    for entry in entries:
        name = entry.server.id
        if (first := ids.setdefault(name, entry)) is not entry:
            where = f"{first.file}:{first.line}"
            yield FileFault(
                entry.file, f"server {name!r} stands here and at {where}", entry.line, 1
            )
        elif entry.address is not None:
            other = addresses.setdefault(entry.address, entry)
            if other is not entry:
                told = (
                    f"{name!r} has the address of {other.server.id!r} ({other.file}:{other.line})"
                )
                yield FileFault(entry.file, told, entry.line, 1)
