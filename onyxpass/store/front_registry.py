"""Which fronts have claimed bookings, and which of them have reclaimed since a loss, without I/O.

A claim that the store has lost is known to the front that made it, and to nobody else. So that no
front takes bookings again before it, all fronts of a store keep a *registry* of the journals whose
claims have not expired: in the store, and a copy with each front, which outlives the store's.

Copies are merged entry by entry. The entry with the higher version holds; only its owner increments
it, and an operator who has a front forgotten. A write that was overtaken by another one is repaired
by the next look of a front that knows more.
"""

import json
from dataclasses import dataclass, replace
from typing import Any

MAX_ENTRIES = 1_000  # those whose claims expire first are dropped beyond this


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """One journal: its front's name, and the generation to which all its claims were written.

    ``claims_until_s`` (Unix time) is not earlier than the end of any of its claims.
    """

    front: str
    generation: str
    claims_until_s: int
    version: int
    is_forgotten: bool = False  # an operator does not expect its claims any more

    @property
    def precedence(self) -> tuple[int, bool, int, str]:
        """Of two entries of one journal, the higher one holds; of equal versions the safer one."""
        return self.version, not self.is_forgotten, self.claims_until_s, self.generation

    def to_dict(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "front": self.front,
            "generation": self.generation,
            "claims_until": self.claims_until_s,
            "version": self.version,
            "forgotten": self.is_forgotten,
        }

    @classmethod
    def from_dict(cls, raw: object) -> "RegistryEntry | None":
        """Return the entry of a JSON form; None if it is none."""
        if not isinstance(raw, dict):
            return None
        texts = raw.get("front"), raw.get("generation")
        numbers = raw.get("claims_until"), raw.get("version")
        if not all(isinstance(text, str) for text in texts):
            return None
        if not all(type(number) is int for number in numbers):
            return None
        return cls(*texts, *numbers, is_forgotten=raw.get("forgotten") is True)  # type: ignore[arg-type]


class FrontRegistry:
    """The entries by journal id."""

    def __init__(self, entries: dict[str, RegistryEntry] | None = None) -> None:
        self.entries = entries or {}

    @classmethod
    def from_text(cls, text: str | None) -> "FrontRegistry":
        """Return the registry of a JSON text; what can't be understood is left out."""
        try:
            raw = json.loads(text or "{}")
        except (ValueError, RecursionError):
            return cls()
        rows = raw.items() if isinstance(raw, dict) else ()
        entries = ((journal_id, RegistryEntry.from_dict(row)) for journal_id, row in rows)
        return cls({journal_id: entry for journal_id, entry in entries if entry is not None})

    def to_text(self) -> str:
        """Return the JSON text, the same for the same entries."""
        return json.dumps({key: entry.to_dict() for key, entry in sorted(self.entries.items())})

    def merge(self, other: "FrontRegistry") -> None:
        """Take over the entries of another copy that are newer, or not known."""
        for journal_id, entry in other.entries.items():
            known = self.entries.get(journal_id)
            if known is None or known.precedence < entry.precedence:
                self.entries[journal_id] = entry

    def includes(self, other: "FrontRegistry") -> bool:
        """Return whether merging another copy would change nothing."""
        merged = FrontRegistry(dict(self.entries))
        merged.merge(other)
        return merged.entries == self.entries

    def entries_of(self, front: str) -> "FrontRegistry":
        """Return a copy with the entries of one front only."""
        return FrontRegistry({key: e for key, e in self.entries.items() if e.front == front})

    def drop_expired(self, now_s: float) -> None:
        """Drop the entries whose claims have all expired."""
        valid = [item for item in self.entries.items() if item[1].claims_until_s > now_s]
        valid.sort(key=lambda item: item[1].claims_until_s)
        self.entries = dict(valid[-MAX_ENTRIES:])

    def register(self, journal_id: str, front: str, generation: str, claims_until_s: int) -> None:
        """Set a front's own entry: its claims are all in the store of this generation."""
        known = self.entries.get(journal_id)
        if known is None:
            self.entries[journal_id] = RegistryEntry(front, generation, claims_until_s, 1)
            return
        entry = replace(
            known,
            generation=generation,
            claims_until_s=max(claims_until_s, known.claims_until_s),
            is_forgotten=False,
        )
        if entry != known:
            self.entries[journal_id] = replace(entry, version=known.version + 1)

    def forget(self, front: str) -> bool:
        """Expect no claims of a front any more; return whether a journal of it is known."""
        own = self.entries_of(front).entries
        for journal_id, entry in own.items():
            if not entry.is_forgotten:
                version = entry.version + 1
                self.entries[journal_id] = replace(entry, is_forgotten=True, version=version)
        return bool(own)

    def missing_fronts(self, generation: str) -> list[str]:
        """Return the names of fronts whose claims are not all in the store of this generation."""
        entries = self.entries.values()
        missing = (e for e in entries if e.generation != generation and not e.is_forgotten)
        return sorted({entry.front for entry in missing})

    def remaining_s(self, now_s: float) -> int:
        """Return the time until the last claim expires, in s, at least one."""
        return max((int(e.claims_until_s - now_s) for e in self.entries.values()), default=0) + 1
