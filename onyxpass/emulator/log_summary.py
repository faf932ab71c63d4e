"""Counts of the log lines of all dispatchers of a fleet together, by reason and time."""

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from statistics import median
from typing import Any

FINAL_EVENTS = ("served", "refused", "failed", "client_gone", "overdue")
VARIABLE_PARTS = re.compile(
    r"\(kept for \d+ ms\)|\('[^']*', \d+\)|\b\d+ ms\b"
)  # parts of a reason that differ from line to line


@dataclass(slots=True)
class LogSummary:
    """``counts``: by table, by reason, by the start of the time step in seconds."""

    step_s: float
    counts: dict[str, dict[str, Counter[float]]] = field(default_factory=dict)
    # Prefill durations in milliseconds, by reader.
    prefills_ms: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    files: int = 0
    skipped: int = 0  # lines that are not log lines

    def add(self, at_s: float, fields: dict[str, Any]) -> None:
        step = at_s // self.step_s * self.step_s
        event = str(fields.get("event"))
        if event in FINAL_EVENTS:
            words = [
                event,
                fields.get("worth"),
                fields.get("for") and f"by its {fields['for']}",
                fields.get("why"),
            ]
            if fields.get("attempts") is not None:
                words.append(f"after {fields['attempts']}")
            self._count("final answers", words, step)
            if "reader" in fields:
                self.prefills_ms[str(fields["reader"])].append(float(fields["read_us"]) / 1000)
        elif event == "attempt":
            self._count(
                "attempts",
                [fields.get("end"), VARIABLE_PARTS.sub("", str(fields.get("why") or ""))],
                step,
            )
        else:
            self._count(
                "other", [event, VARIABLE_PARTS.sub("", str(fields.get("why") or ""))], step
            )

    def _count(self, table: str, words: Iterable[object], step: float) -> None:
        reason = " ".join(" ".join(str(word).split()) for word in words if word)
        self.counts.setdefault(table, {}).setdefault(reason, Counter())[step] += 1

    def rows(self) -> Iterable[str]:
        for name, reasons in sorted(self.counts.items()):
            steps = sorted({step for row in reasons.values() for step in row})
            yield f"{name + ', from s':60}" + "".join(f"{step:6g}" for step in steps)
            for reason, row in sorted(reasons.items()):
                yield f"{reason[:59]:60}" + "".join(f"{row[step] or '.':>6}" for step in steps)
            yield ""
        yield f"{'reads by reader':60} number median ms"
        for reader, durations_ms in sorted(
            self.prefills_ms.items(), key=lambda row: (-len(row[1]), row[0])
        ):
            yield f"{reader[:59]:60} {len(durations_ms):6} {median(durations_ms):9.1f}"


def parse_line(text: str) -> tuple[float | None, datetime | None, dict[str, Any]] | None:
    """Return the seconds or the timestamp of a line, and its fields; None if it is not a log line.

    A number before the JSON object is its time in seconds; without one its ``timestamp`` is used.
    """
    before, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
        at_s = float(before) if before.strip() else None
        clock = datetime.fromisoformat(str(fields["timestamp"])) if at_s is None else None
        return (at_s, clock, fields) if "event" in fields else None
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def summarize_logs(folder: Path, step_s: float = 5.0) -> LogSummary:
    """Count the lines of all ``*.log`` files of a folder.

    Lines with only a timestamp are placed by their distance to the earliest timestamp.
    """
    summary, by_clock = LogSummary(step_s), list[tuple[datetime, dict[str, Any]]]()
    for path in sorted(folder.glob("*.log")):
        summary.files += 1
        for text in path.read_text(errors="replace").splitlines():
            if (line := parse_line(text)) is None:
                summary.skipped += bool(text.strip())
            elif line[1] is not None:
                by_clock.append((line[1], line[2]))
            elif line[0] is not None:
                summary.add(line[0], line[2])
    if by_clock:
        first = min(clock for clock, _ in by_clock)
        for clock, fields in by_clock:
            summary.add((clock - first).total_seconds(), fields)
    return summary
