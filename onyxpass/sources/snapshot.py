"""Snapshots: the last accepted view on disk, replaced atomically and protected by a checksum.

The first line has the format version, the view's number and the checksum of all that follows; each
further line is a server.
"""

import hashlib
import json
from pathlib import Path
from typing import Any

from onyxpass import atomic_file
from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.scheduling import contract
from onyxpass.sources.membership_view import MembershipView
from onyxpass.sources.schema import ServerEntry

FORMAT_VERSION = 1


class SnapshotError(RuntimeError):
    """The snapshot is missing, damaged or of another format; the message says which."""


def _row(entry: ServerEntry) -> dict[str, Any]:
    server = entry.server
    return {
        "id": server.id,
        "kind": server.kind,
        "hall": server.zone,
        "cell": server.cell,
        "started_us": server.started_us,
        "condition": server.condition.value,
        "weight": server.weight,
        "address": str(entry.address) if entry.address is not None else None,
        "file": entry.file,
        "line": entry.line,
    }


def serialize(view: MembershipView) -> bytes:
    body = b"".join(json.dumps(_row(entry)).encode() + b"\n" for entry in view.entries.values())
    checksum = hashlib.sha256(body).hexdigest()
    head = {
        "form": FORMAT_VERSION,
        "view": view.number,
        "servers": len(view.entries),
        "sha256": checksum,
    }
    return json.dumps(head).encode() + b"\n" + body


def parse(text: bytes) -> MembershipView:
    """Parse a snapshot.

    SnapshotError if the first line is invalid, the format version is not supported, or the servers
    do not match the checksum and the count.
    """
    first, _, body = text.partition(b"\n")
    try:
        head = json.loads(first)
        form, number, count, checksum = head["form"], head["view"], head["servers"], head["sha256"]
    except (ValueError, KeyError, TypeError, RecursionError) as problem:
        raise SnapshotError("its first line is invalid") from problem
    if form != FORMAT_VERSION:
        raise SnapshotError(f"its format version is {form}; this program supports {FORMAT_VERSION}")
    if hashlib.sha256(body).hexdigest() != checksum:
        raise SnapshotError("its checksum is wrong: it is damaged or truncated")
    try:
        rows = [json.loads(line) for line in body.splitlines()]
        view = MembershipView.of(int(number), (_entry(row) for row in rows))
    except (ValueError, KeyError, TypeError, ConfigError) as problem:
        raise SnapshotError(f"it cannot be parsed: {problem!r}") from problem
    if len(view.entries) != count or view.number < 1:
        raise SnapshotError("its first line does not match its contents")
    return view


def _entry(row: dict[str, Any]) -> ServerEntry:
    server = contract.Endpoint(
        id=row["id"],
        kind=row["kind"],
        zone=row["hall"],
        cell=row["cell"],
        started_us=row["started_us"],
        condition=contract.EndpointCondition(row["condition"]),
        weight=row["weight"],
    )
    address = Address.parse(row["address"]) if row["address"] is not None else None
    return ServerEntry(server, address, row["file"], row["line"])


def save(path: Path, view: MembershipView) -> None:
    """Replace the snapshot durably; OSError if that fails (see ``atomic_file.replace``)."""
    atomic_file.replace(path, serialize(view))


def load(path: Path) -> MembershipView:
    try:
        return parse(path.read_bytes())
    except OSError as problem:
        raise SnapshotError(problem.strerror or str(problem)) from problem
