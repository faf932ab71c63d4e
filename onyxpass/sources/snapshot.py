"""The last good view on disk: with a checksum, written beside and renamed, and never read half.

The first line names the form, the view's number and the checksum of all that follows; then a server
a line.
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

FORM = 1


class SnapshotError(RuntimeError):
    """It is absent, damaged or of another form; the message says which."""


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


def text_of(view: MembershipView) -> bytes:
    body = b"".join(json.dumps(_row(entry)).encode() + b"\n" for entry in view.entries.values())
    checksum = hashlib.sha256(body).hexdigest()
    head = {"form": FORM, "view": view.number, "servers": len(view.entries), "sha256": checksum}
    return json.dumps(head).encode() + b"\n" + body


def view_of(text: bytes) -> MembershipView:
    """SnapshotError unless every byte is as it was written."""
    first, _, body = text.partition(b"\n")
    try:
        head = json.loads(first)
        form, number, count, checksum = head["form"], head["view"], head["servers"], head["sha256"]
    except (ValueError, KeyError, TypeError, RecursionError) as problem:
        raise SnapshotError("its first line is damaged") from problem
    if form != FORM:
        raise SnapshotError(f"it is of form {form}; this program knows {FORM}")
    if hashlib.sha256(body).hexdigest() != checksum:
        raise SnapshotError("its checksum is wrong: it is damaged or cut off")
    try:
        rows = [json.loads(line) for line in body.splitlines()]
        view = MembershipView.of(int(number), (_entry(row) for row in rows))
    except (ValueError, KeyError, TypeError, ConfigError) as problem:
        raise SnapshotError(f"it can't be read: {problem!r}") from problem
    if len(view.entries) != count or view.number < 1:
        raise SnapshotError("it does not hold what its first line says")
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
    """Durable once this returns; OSError if it can't be, and then the one before is still there."""
    atomic_file.replace(path, text_of(view))


def load(path: Path) -> MembershipView:
    try:
        return view_of(path.read_bytes())
    except OSError as problem:
        raise SnapshotError(problem.strerror or str(problem)) from problem
