"""The models of watched files and of the sources file that names them, and their parser; no I/O.

A watched file lists servers; several files are read as one list. A fault is reported with its
position if that is known and, where a key or a kind is misspelt, with a suggestion.
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

MAX_FAULTS = 50  # faults after which servers are not checked for more
END_HEADER = "[end]"
SERVER_HEADER = re.compile(r"\s*\[\[\s*servers\s*\]\]")
MAX_FILE_BYTES = 16 * 1024 * 1024  # size of one watched file
ServerId = Annotated[str, Field(min_length=1, max_length=253)]
Weight = Annotated[float, Field(ge=0, le=1000)]
Percentage = Annotated[str, Field(pattern=r"^(100|[1-9]?[0-9])%$")]


class ServerTable(toml_config.Model):
    """A server of a watched file; ``born`` is its start time if it started recently."""

    model_config = toml_config.schema_description(
        "``weight``: against others of its kind; 0 for nothing new. "
        "``born``: when it started, if lately."
    )

    id: ServerId
    kind: str | None = None  # required if the files are the only source, like hall and address
    hall: str | None = None
    cell: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    address: toml_config.ConnectAddress | None = None
    weight: Weight = 1.0
    state: Literal["active", "draining"] = "active"
    born: datetime | None = None


class ChangeTable(toml_config.Model):
    """Changes of this version of the files that are intended."""

    model_config = toml_config.schema_description("What this version of the files does on purpose.")

    # ids of servers that may be removed regardless of the guards on removal
    removes: list[ServerId] = Field(default_factory=list)


class EndTable(toml_config.Model):
    """The mark of a file that was written to its end; it has no keys."""

    model_config = toml_config.schema_description(
        "The last table of a file, if ``require_end`` is set: what comes without it is half written."
    )


class WatchedFile(toml_config.Model):
    change: ChangeTable = Field(default_factory=ChangeTable)
    servers: list[ServerTable] = Field(default_factory=list)
    end: EndTable | None = None


class GuardsTable(toml_config.Model):
    """Limits that every change must keep; percentages are of the view in force."""

    model_config = toml_config.schema_description(
        "What no change may do. Parts are of what the view in force has."
    )

    # fewest servers that accept new requests; mixed servers count for both
    readers: Annotated[int, Field(ge=1)] = 1
    writers: Annotated[int, Field(ge=1)] = 1
    removed: Percentage = "34%"  # of all servers that accept new requests, in one change
    removed_role: Percentage = "50%"
    removed_hall: Percentage = "50%"
    # fewest servers of each hall that accept new requests
    halls: dict[str, Annotated[int, Field(ge=0)]] = Field(default_factory=dict)


class SourcesFile(toml_config.Model):
    """The sources file; all times are in seconds."""

    model_config = toml_config.schema_description("Times are seconds.")

    # files, and folders whose *.toml files are read in the order of their names
    watch: Annotated[list[str], Field(min_length=1)]
    # "only": the only source; "over": weights and drains on top of discovery
    mode: Literal["only", "over"] = "only"
    settle_s: Annotated[float, Field(ge=0, le=60)] = 0.1  # how long files must be unchanged
    # how long files must be unchanged, at least, if a server would be removed
    leave_s: Annotated[float, Field(ge=0, le=600)] = 1.0
    # interval at which files are checked even without a notification
    poll_s: Annotated[float, Field(gt=0, le=600)] = 1.0
    ramp_s: Annotated[float, Field(ge=0, le=3600)] = 10.0  # duration of a weight change
    snapshot: str | None = None  # file for the last accepted view
    # whether each file must end with the table ``[end]``
    require_end: bool = False
    guards: GuardsTable = Field(default_factory=GuardsTable)


@dataclass(frozen=True, slots=True)
class FileFault:
    """A fault and its position; line and column count from 1, 0 means unknown."""

    file: str
    reason: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        place = f":{self.line}:{self.column}" if self.line else ""
        return f"{self.file}{place}: {self.reason}"


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A server of a watched file. ``address`` None: discovery provides the address.

    ``has_state`` and ``has_weight`` tell whether these keys are written out.
    """

    server: contract.Endpoint
    address: Address | None
    file: str = ""
    line: int = 0
    has_state: bool = False
    has_weight: bool = False


@dataclass(frozen=True, slots=True)
class ParsedFiles:
    """All watched files read as one list; it can become a view only without faults."""

    entries: tuple[ServerEntry, ...]
    removes: frozenset[str]
    faults: tuple[FileFault, ...]


def _header_lines(text: str) -> list[int]:
    """Return the line numbers of the server headers.

    One pass finds them all, since there may be ten thousand servers.
    """
    return [number for number, line in enumerate(text.splitlines(), 1) if SERVER_HEADER.match(line)]


def _server_entry(file: str, line: int, table: ServerTable) -> ServerEntry:
    # To the router a weight of 0 and a drain are the same: no new requests.
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
    return ServerEntry(
        server,
        Address.parse(table.address) if table.address else None,
        file,
        line,
        has_state="state" in table.model_fields_set,
        has_weight="weight" in table.model_fields_set,
    )


def _parse_file(file: str, data: bytes) -> tuple[WatchedFile | None, str, list[FileFault]]:
    if len(data) > MAX_FILE_BYTES:
        return None, "", [FileFault(file, f"larger than {MAX_FILE_BYTES} bytes")]
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
        return None, "", [FileFault(file, f"cannot be parsed: {problem}")]
    rows = raw.get("servers")
    faults: list[FileFault] = []
    tables: list[ServerTable] = []
    if isinstance(rows, list):
        # Rows are validated one by one: a single call for ten thousand servers would block the
        # other threads of the process for its whole duration.
        raw = {**raw, "servers": []}
        for number, row in enumerate(rows):
            try:
                tables.append(ServerTable.model_validate(row))
            except ValidationError as problem:
                faults += _model_faults(file, text, problem, ("servers", number))
                if len(faults) >= MAX_FAULTS:
                    break
    try:
        watched_file = WatchedFile.model_validate(raw)
    except ValidationError as problem:
        faults = [*_model_faults(file, text, problem, ()), *faults]
    if faults:
        return None, text, faults
    return watched_file.model_copy(update={"servers": tables}), text, []


def _model_faults(
    file: str, text: str, problem: ValidationError, base: tuple[PathPart, ...]
) -> list[FileFault]:
    """Convert a model's validation errors to faults with their positions."""
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
    loopback_only: bool = False,
    require_end: bool = False,
) -> ParsedFiles:
    """Parse all files, in their order, as one list of servers.

    ``kinds`` are the kinds that the settings define. With ``sole_source`` the files are the only
    source, so each server needs its kind, hall and address. With ``loopback_only`` only loopback
    addresses are allowed. With ``require_end`` the last table of each file must be ``[end]``.
    """
    entries: list[ServerEntry] = []
    removes: set[str] = set()
    faults: list[FileFault] = []
    for file, data in files.items():
        if isinstance(data, OSError):
            faults.append(FileFault(file, data.strerror or str(data)))
            continue
        watched_file, text, file_faults = _parse_file(file, data)
        faults += file_faults
        if watched_file is None:
            continue
        if require_end and not _ends_with_mark(text):
            last_line = text.count("\n") + 1
            faults.append(
                FileFault(file, "half written: its last table is not [end]", last_line, 1)
            )
        removes |= set(watched_file.change.removes)
        rows = _header_lines(text)
        for number, table in enumerate(watched_file.servers):
            entries.append(_server_entry(file, rows[number] if number < len(rows) else 1, table))
            for key, reason in _server_faults(table, kinds, sole_source, loopback_only):
                # prevents a position lookup for each of ten thousand servers
                if len(faults) >= MAX_FAULTS:
                    break
                faults.append(
                    FileFault(
                        file, reason, *toml_config.position_of(text, ("servers", number, key))
                    )
                )
    faults += _duplicate_faults(entries)
    return ParsedFiles(tuple(entries), frozenset(removes), tuple(faults))


def _ends_with_mark(text: str) -> bool:
    """Return whether the last line that is neither empty nor a comment is the table ``[end]``."""
    for line in reversed(text.splitlines()):
        if content := line.partition("#")[0].strip():
            return content.replace(" ", "") == END_HEADER
    return False


def _server_faults(
    table: ServerTable, kinds: Sequence[str], sole_source: bool, loopback_only: bool
) -> Iterable[tuple[PathPart, str]]:
    """Yield the key and reason of each missing, unknown or invalid value of a server."""
    if sole_source:
        for key in ("kind", "hall", "address"):
            if getattr(table, key) is None:
                yield "id", f"server {table.id!r} has no {key}"
    if table.kind is not None and table.kind not in kinds:
        yield "kind", f"no kind {table.kind!r}{toml_config.suggestion(table.kind, kinds)}"
    if not table.id.isprintable() or table.id != table.id.strip():
        yield "id", f"id {table.id!r} contains invisible characters"
    if loopback_only and table.address is not None:
        try:
            inside = ipaddress.ip_address(Address.parse(table.address).host).is_loopback
        except ValueError:
            inside = False
        if not inside:
            yield "address", f"not a loopback address: {table.address!r}"


def _duplicate_faults(entries: Iterable[ServerEntry]) -> Iterable[FileFault]:
    """Yield a fault for each id or address that is listed twice, in one file or in two."""
    ids: dict[str, ServerEntry] = {}
    addresses: dict[Address, ServerEntry] = {}
    for entry in entries:
        name = entry.server.id
        if (first := ids.setdefault(name, entry)) is not entry:
            where = f"{first.file}:{first.line}"
            yield FileFault(
                entry.file, f"server {name!r} is defined here and at {where}", entry.line, 1
            )
        elif entry.address is not None:
            other = addresses.setdefault(entry.address, entry)
            if other is not entry:
                reason = (
                    f"{name!r} has the address of {other.server.id!r} ({other.file}:{other.line})"
                )
                yield FileFault(entry.file, reason, entry.line, 1)
