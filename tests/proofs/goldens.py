"""Outputs of earlier builds, stored as JSON files under ``tests/data/goldens``.

``ONYXPASS_RECORD_GOLDENS=1`` records them again, which is right only after an intended change.
"""

import json
import os
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent.parent / "data"
RECORDING = bool(os.environ.get("ONYXPASS_RECORD_GOLDENS"))


def golden(name: str, found: Any) -> Any:
    """Return the recorded value of this name; while recording, record ``found`` first."""
    path = DATA / "goldens" / f"{name}.json"
    if RECORDING:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(found, indent=1, sort_keys=True) + "\n")
    return json.loads(path.read_text())
