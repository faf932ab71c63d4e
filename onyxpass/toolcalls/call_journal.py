"""The calls that this front has claimed, in memory and, if there is a file, across its restarts.

A call is entered before it is sent (write-ahead). The journal answers for a call whose record the
store has lost. Entries are kept for as long as claims are. A file outlives the process, not a crash
of the machine: it is written, and not synced. Only one process writes it at a time.

The file has an id of its own, by which a front that comes back without its file is told from one
that remembers its calls, and a copy of the registry of fronts.
"""

import fcntl
import json
import math
import os
import secrets
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO

import structlog

from onyxpass import atomic_file

MAX_ENTRIES = 50_000  # the oldest are forgotten beyond this
MAX_RECORD_CHARACTERS = 16 * 1024  # a longer record is kept without its result, as unknown
# lines of the file that are not needed any more, beside as many as are needed, until it is rewritten
MAX_OBSOLETE_LINES = 1_000
JOURNAL_ID_KEY, FRONTS_KEY = "journal", "fronts"  # of the lines that are JSON objects
log = structlog.get_logger("tools")


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """A claimed call: its record as the store holds it, and when its claim expires (Unix time, s)."""

    record: str
    expires_at_s: float

    @property
    def remaining_s(self) -> int:
        """Seconds until the claim expires, at least one."""
        return max(1, round(self.expires_at_s - time.time()))


class CallJournal:
    """Entries by the key of the call, oldest first."""

    def __init__(self, path: Path | None = None) -> None:
        """Load the file, and keep it open and locked until ``close``.

        A file that can't be used is logged, and the journal is then kept in memory only.
        """
        self._entries: dict[str, JournalEntry] = {}
        self._path = path
        self._file: TextIO | None = None
        self._line_count = 0
        self.journal_id = secrets.token_hex(8)
        self.fronts = ""  # the text of the registry of fronts, as this front knows it
        if path is not None:
            try:
                self._open(path)
            except OSError as error:
                log.warning("call_journal_unusable", path=str(path), error=str(error))

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> dict[str, Any] | None:
        """Return the record of a call; None if this front has not claimed it, or its claim expired."""
        entry = self._entries.get(key)
        if entry is None or entry.expires_at_s <= time.time():
            return None
        record: dict[str, Any] = json.loads(entry.record)
        return record

    def put(self, key: str, record: Mapping[str, Any], ttl_s: int) -> None:
        """Enter the present record of a call; its claim expires in ``ttl_s``."""
        text = json.dumps(record)
        if len(text) > MAX_RECORD_CHARACTERS:
            text = json.dumps({**record, "state": "unknown", "result": None})
        entry = JournalEntry(text, time.time() + ttl_s)
        self._entries.pop(key, None)
        self._entries[key] = entry
        self._drop_expired()
        self._append_row([key, entry.record, entry.expires_at_s])

    def newest_first(self) -> Iterator[tuple[str, JournalEntry]]:
        """Iterate over the entries whose claims have not expired."""
        now_s = time.time()
        entries = reversed(list(self._entries.items()))
        return ((key, entry) for key, entry in entries if entry.expires_at_s > now_s)

    def save_fronts(self, text: str) -> None:
        """Keep the registry of fronts, as this front knows it now."""
        if text != self.fronts:
            self.fronts = text
            self._append_row({FRONTS_KEY: text})

    def latest_expiry_s(self) -> float:
        """Return when the last claim expires (Unix time, s); 0 if there is none."""
        return max((entry.expires_at_s for entry in self._entries.values()), default=0.0)

    def close(self) -> None:
        """Close the file, which another process may use then."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _drop_expired(self) -> None:
        now_s = time.time()
        while self._entries:
            key = next(iter(self._entries))
            if len(self._entries) <= MAX_ENTRIES and self._entries[key].expires_at_s > now_s:
                return
            del self._entries[key]

    # The file: a JSON array ``[key, record, expires_at_s]`` a line, or a JSON object with the
    # journal's id or the registry of fronts

    def _open(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        file = self._locked(path)
        line, created_id = "\n", self.journal_id
        for line in file:
            self._line_count += 1
            self._load(line)
        file.seek(0, os.SEEK_END)
        if not line.endswith("\n"):  # a kill has cut it off
            file.write("\n")
        self._file = file
        if self.journal_id == created_id:
            self._append_row({JOURNAL_ID_KEY: created_id})
        self._drop_expired()
        self._rewrite_if_long()

    @staticmethod
    def _locked(path: Path) -> TextIO:
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return os.fdopen(descriptor, "r+", encoding="utf-8", errors="replace")

    def _load(self, line: str) -> None:
        """Load one line; a damaged one is left out, such as the last one after a kill."""
        try:
            row = json.loads(line)
            if isinstance(row, dict):
                self._load_property(row)
                return
            key, record, expires_at_s = row
            is_valid = isinstance(json.loads(record), dict) and math.isfinite(expires_at_s)
        except (ValueError, TypeError, RecursionError, OverflowError):
            return
        if is_valid and isinstance(key, str):
            self._entries.pop(key, None)
            self._entries[key] = JournalEntry(record, expires_at_s)

    def _load_property(self, row: Mapping[str, Any]) -> None:
        if isinstance(journal_id := row.get(JOURNAL_ID_KEY), str):
            self.journal_id = journal_id
        if isinstance(fronts := row.get(FRONTS_KEY), str):
            self.fronts = fronts

    def _append_row(self, row: Mapping[str, Any] | Sequence[Any]) -> None:
        if self._file is None:
            return
        try:
            self._file.write(json.dumps(row) + "\n")
            self._file.flush()
            self._line_count += 1
            self._rewrite_if_long()
        except OSError as error:
            call = row[0] if isinstance(row, Sequence) else None
            log.warning("call_not_journaled", call=call, error=str(error))

    def _rewrite_if_long(self) -> None:
        if self._path is None or self._line_count <= 2 * len(self._entries) + MAX_OBSOLETE_LINES:
            return
        properties = [{JOURNAL_ID_KEY: self.journal_id}, {FRONTS_KEY: self.fronts}]
        claims = [[k, e.record, e.expires_at_s] for k, e in self._entries.items()]
        text = "".join(json.dumps(row) + "\n" for row in (*properties, *claims))
        atomic_file.replace(self._path, text.encode())
        new_file = self._locked(self._path)
        new_file.seek(0, os.SEEK_END)
        self.close()
        self._file, self._line_count = new_file, len(properties) + len(claims)
