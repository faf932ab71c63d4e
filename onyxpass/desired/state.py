"""The desired state as a merge of changes, without I/O: any order of merges gives the same state.

Each change sets keys under one version. Of two changes to a key the higher version wins on every
node; if neither change had seen the other, both versions are recorded as a conflict. ``seen`` is a
version vector: for each origin the number up to which its changes are known, so that a pull states
what it lacks in a few numbers. An origin is one run of one control node's process, so that a node
that returns with an older disk never issues a version a second time.

Two states are merged as a whole, never by halves: a state then knows all that the makers of its
changes knew, and two entries of a key whose states don't know each other's are concurrent.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

FORMAT_VERSION = 1
MAX_KEY_LENGTH, MAX_VALUE_BYTES = 256, 16_384
MAX_PAGE_BYTES = 32_768
MAX_CONFLICTS = 64
VersionVector = Mapping[str, int]
"""The highest known change number of each origin."""


class StateError(ValueError):
    """A page, a file, a key or a value is invalid or contradicts the known state.

    ``key`` names what is at fault.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key, self.reason = key, reason


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """The version of a change; ``number`` is higher than all that its origin had seen.

    ``origin`` orders two versions of the same number.
    """

    number: int
    origin: str


@dataclass(frozen=True, slots=True)
class VersionedEntry:
    """A key's value and version; ``replaces`` is the version that the change replaced.

    That the change had seen the replaced version is certain; of lower ones it says nothing.
    """

    key: str
    value: Any
    version: Version
    replaces: Version | None = None


@dataclass(frozen=True, slots=True, order=True)
class Conflict:
    """Two concurrent changes of a key: the versions that were kept and dropped."""

    key: str
    kept: Version
    dropped: Version


@dataclass(frozen=True, slots=True)
class Page:
    """Part of a state.

    ``seen`` is what is known once the page is merged; ``more`` says that another page follows.
    """

    entries: tuple[VersionedEntry, ...]
    seen: VersionVector
    conflicts: tuple[Conflict, ...] = ()
    more: bool = False


def covers(known: VersionVector, other: VersionVector) -> bool:
    """Return whether ``known`` includes all changes of ``other``."""
    return all(known.get(origin, 0) >= number for origin, number in other.items())


def includes(known: VersionVector, version: Version) -> bool:
    """Return whether ``known`` includes the change of this version."""
    return known.get(version.origin, 0) >= version.number


class PageCollector:
    """Collects the pages of one state, which may change meanwhile, into a single one."""

    def __init__(self, seen: VersionVector) -> None:
        """``seen`` is what the receiver knows."""
        self.seen = seen  # what is known with the pages so far
        self._entries: dict[str, VersionedEntry] = {}

    def add(self, page: Page) -> Page | None:
        """Add the next page; return all of them as one after the last.

        Raises StateError if another page is to follow one that had nothing new.
        """
        if page.more and covers(self.seen, page.seen):
            raise StateError("more", "a page brings nothing new, and another is to follow")
        self._entries.update((entry.key, entry) for entry in page.entries)
        self.seen = page.seen
        if page.more:
            return None
        return Page(tuple(self._entries.values()), page.seen, page.conflicts)


@dataclass(slots=True)
class DesiredState:
    """The entries by key, the version vector, and the recorded conflicts."""

    entries: dict[str, VersionedEntry] = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    conflicts: set[Conflict] = field(default_factory=set)

    def change(self, origin: str, values: Mapping[str, Any]) -> Version:
        """Set all values under one new version of ``origin``; return the version.

        Raises StateError if a key or a value is invalid; nothing is changed then.
        """
        for key, value in values.items():
            check_value(key, value)
        version = Version(max(self.seen.values(), default=0) + 1, origin)
        for key, value in values.items():
            known = self.entries.get(key)
            self.entries[key] = VersionedEntry(
                key, value, version, known.version if known else None
            )
        self.seen[origin] = version.number
        return version

    def copy(self) -> "DesiredState":
        """Return an independent copy; it shares the entries, which are never changed in place."""
        return replace(
            self, entries=dict(self.entries), seen=dict(self.seen), conflicts=set(self.conflicts)
        )

    def merge(self, page: Page) -> bool:
        """Merge all that another state has beyond this one; return whether anything was new.

        The page must be the only one, or collected from all by ``PageCollector``. Raises
        StateError, with nothing changed, if it has another value for a known version.
        """
        if page.more:
            raise StateError("more", "a part of a state can't be merged")
        for entry in page.entries:
            known = self.entries.get(entry.key)
            if known is not None and known.version == entry.version and known != entry:
                raise StateError(entry.key, f"two values under version {entry.version.number}")
        known_conflicts = len(self.conflicts)
        is_new = False
        for entry in page.entries:
            is_new = self._merge_entry(entry, page.seen) or is_new
        for origin, number in page.seen.items():
            is_new = is_new or number > self.seen.get(origin, 0)
            self.seen[origin] = max(number, self.seen.get(origin, 0))
        self.conflicts.update(page.conflicts)
        by_version = sorted(self.conflicts, key=lambda each: (each.kept, each.key, each.dropped))
        self.conflicts = set(by_version[-MAX_CONFLICTS:])
        return is_new or len(self.conflicts) > known_conflicts

    def _merge_entry(self, entry: VersionedEntry, seen_there: VersionVector) -> bool:
        known = self.entries.get(entry.key)
        if known is None:
            self.entries[entry.key] = entry
            return True
        if known.version == entry.version:
            return False
        older, newer = sorted((known, entry), key=lambda candidate: candidate.version)
        is_concurrent = not includes(self.seen, entry.version) and not includes(
            seen_there, known.version
        )
        if is_concurrent and newer.replaces != older.version:
            self.conflicts.add(Conflict(entry.key, newer.version, older.version))
        self.entries[entry.key] = newer
        return newer is entry

    def page_since(self, seen: VersionVector, max_bytes: int = MAX_PAGE_BYTES) -> Page:
        """Return the first page of what a node that knows ``seen`` lacks.

        The page has whole changes only. The JSON of its entries exceeds ``max_bytes`` only by
        entries of the page's last change.
        """
        missing = [
            entry
            for entry in self.entries.values()
            if entry.version.number > seen.get(entry.version.origin, 0)
        ]
        missing.sort(key=lambda entry: (entry.version.origin, entry.version.number, entry.key))
        page_entries: list[VersionedEntry] = []
        size = 0
        for entry in missing:
            size += len(json.dumps(entry_to_json(entry)))
            if size > max_bytes and page_entries and page_entries[-1].version != entry.version:
                known = {
                    **seen,
                    **{sent.version.origin: sent.version.number for sent in page_entries},
                }
                return Page(tuple(page_entries), known, (), True)
            page_entries.append(entry)
        return Page(tuple(page_entries), dict(self.seen), tuple(sorted(self.conflicts)))

    def digest(self) -> str:
        """Return a digest of all keys, values and versions."""
        entries = [entry_to_json(self.entries[key]) for key in sorted(self.entries)]
        return hashlib.blake2b(json.dumps(entries).encode(), digest_size=12).hexdigest()

    def values(self) -> dict[str, Any]:
        return {key: self.entries[key].value for key in sorted(self.entries)}


def check_value(key: str, value: Any) -> None:
    """Raise StateError unless key and value are valid: a JSON value, both of limited length."""
    if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise StateError(key[:80] or "key", f"must be 1 to {MAX_KEY_LENGTH} printable characters")
    try:
        size = len(json.dumps(value, allow_nan=False))
    except (TypeError, ValueError, RecursionError) as error:
        raise StateError(key, f"no JSON value: {error}") from error
    if size > MAX_VALUE_BYTES:
        raise StateError(key, f"a value of {size} bytes; {MAX_VALUE_BYTES} are allowed")


# JSON


def version_to_json(version: Version | None) -> list[Any] | None:
    return None if version is None else [version.number, version.origin]


def entry_to_json(entry: VersionedEntry) -> list[Any]:
    return [entry.key, entry.value, version_to_json(entry.version), version_to_json(entry.replaces)]


def page_to_json(page: Page) -> dict[str, Any]:
    conflicts = [
        [c.key, version_to_json(c.kept), version_to_json(c.dropped)] for c in page.conflicts
    ]
    entries = [entry_to_json(entry) for entry in page.entries]
    return {
        "format": FORMAT_VERSION,
        "entries": entries,
        "seen": dict(page.seen),
        "conflicts": conflicts,
        "more": page.more,
        "check": checksum(entries, page.seen, conflicts),
    }


def checksum(entries: Any, seen: VersionVector, conflicts: Any) -> str:
    text = json.dumps([entries, sorted(seen.items()), conflicts])
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


def parse_version(raw: Any, key: str) -> Version:
    match raw:
        case [int(number), str(origin)] if not isinstance(number, bool) and number > 0 and origin:
            return Version(number, origin)
    raise StateError(key, "not a version")


def parse_version_vector(raw: Any) -> dict[str, int]:
    """Return a version vector; StateError unless it maps origins to integers of at least 0."""
    if not isinstance(raw, dict) or not all(type(n) is int and n >= 0 for n in raw.values()):
        raise StateError("seen", "must be a table of whole numbers")
    return dict(raw)


def parse_page(raw: Any) -> Page:
    """Return a page; StateError, with the key that is at fault, if any part is invalid."""
    if not isinstance(raw, dict):
        raise StateError("page", "not an object")
    if raw.get("format") != FORMAT_VERSION:
        raise StateError(
            "format", f"is {raw.get('format')!r}; this program supports {FORMAT_VERSION}"
        )
    seen = parse_version_vector(raw.get("seen"))
    if raw.get("check") != checksum(raw.get("entries"), seen, raw.get("conflicts", [])):
        raise StateError("check", "the checksum does not match: the data is truncated or damaged")
    entries = tuple(_parse_entries(raw.get("entries"), seen))
    conflicts = tuple(_parse_conflicts(raw.get("conflicts", [])))
    return Page(entries, seen, conflicts, raw.get("more") is True)


def _parse_entries(raw: Any, seen: VersionVector) -> Iterable[VersionedEntry]:
    if not isinstance(raw, list):
        raise StateError("entries", "not a list")
    keys: set[str] = set()
    for row in raw:
        match row:
            case [str(key), value, version, replaces]:
                check_value(key, value)
                parsed_version = parse_version(version, key)
                if key in keys:
                    raise StateError(key, "occurs twice")
                if parsed_version.number > seen.get(parsed_version.origin, 0):
                    raise StateError(
                        key,
                        f"version {parsed_version.number} is not covered by the page's seen numbers",
                    )
                keys.add(key)
                yield VersionedEntry(
                    key,
                    value,
                    parsed_version,
                    None if replaces is None else parse_version(replaces, key),
                )
            case _:
                raise StateError("entries", "a row is not an entry")


def _parse_conflicts(raw: Any) -> Iterable[Conflict]:
    if not isinstance(raw, list):
        raise StateError("conflicts", "not a list")
    for row in raw:
        match row:
            case [str(key), kept, dropped]:
                yield Conflict(key, parse_version(kept, key), parse_version(dropped, key))
            case _:
                raise StateError("conflicts", "a row is not a conflict")
