"""Log files of our processes as objects, one a line; whatever else stands there is passed over."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any


def read_objects(files: Iterable[Path]) -> Iterator[tuple[Path, dict[str, Any]]]:
    """Yield each line's JSON object with its file; a line that is cut off is passed over."""
    for path in files:
        for text in path.read_text(errors="replace").splitlines():
            try:
                raw = json.loads(text[text.index("{") :])
            except ValueError:
                continue
            if isinstance(raw, dict):
                yield path, raw
