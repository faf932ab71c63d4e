"""Reads JSON objects from log files that may also contain other text."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any


def read_objects(files: Iterable[Path]) -> Iterator[tuple[Path, dict[str, Any]]]:
    """Yield the JSON object of each log line with its file.

    Text before the first brace of a line is ignored. Lines without a complete object are skipped.
    """
    for path in files:
        for text in path.read_text(errors="replace").splitlines():
            try:
                raw = json.loads(text[text.index("{") :])
            except ValueError:
                continue
            if isinstance(raw, dict):
                yield path, raw
