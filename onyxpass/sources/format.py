"""Formats watched files: keys in a fixed order, one blank line between servers, comments kept."""

import tomlkit
from tomlkit.items import AoT, Table

KEY_ORDER = ("id", "kind", "hall", "cell", "address", "weight", "state", "born")


def formatted(text: str) -> str:
    """Return the text in the standard format, with the same values.

    Formatting is idempotent.
    """
    document = tomlkit.parse(text)
    servers = document.get("servers")
    if isinstance(servers, AoT):
        for table in servers.body:
            _sort_keys(table)
    lines: list[str] = []
    for line in tomlkit.dumps(document).splitlines():
        line = line.rstrip()
        if not line and (not lines or not lines[-1]):
            continue  # at most one blank line in a row, and none at the start
        header = line.startswith("[")
        if header and lines and lines[-1] and not lines[-1].startswith("#"):
            lines.append("")
        lines.append(line)
    while lines and not lines[-1]:
        lines.pop()
    return "\n".join(lines) + "\n" if lines else ""


def _sort_keys(table: Table) -> None:
    """Sort the table's keys; each keeps the comment on its line.

    Comments on lines of their own stay in front of all keys.
    """
    items = {key: table.item(key) for key in KEY_ORDER if key in table}
    for key in items:
        table.remove(key)
    for key, item in items.items():
        table.add(key, item)
