"""The state of one node on disk: replaced atomically, and rejected as a whole if it is invalid."""

import json
from pathlib import Path
from typing import Any

from onyxpass import atomic_file
from onyxpass.config.platform_file import ConfigError
from onyxpass.desired.state import DesiredState, Page, StateError, page_to_json, parse_page


def write_json(path: Path, value: Any) -> None:
    """Replace a file with a JSON value atomically; it is durable once this returns.

    The previous file stays whole until it is replaced. Raises OSError on failure.
    """
    atomic_file.replace(path, json.dumps(value).encode())


def save(path: Path, state: DesiredState) -> None:
    page = Page(tuple(state.entries.values()), dict(state.seen), tuple(sorted(state.conflicts)))
    write_json(path, page_to_json(page))


def load(path: Path) -> DesiredState:
    """Read the state, which is empty if there is no file.

    Raises ConfigError with file, key and reason if the file is invalid.
    """
    state = DesiredState()
    try:
        page = parse_page(json.loads(path.read_text()))
    except FileNotFoundError:
        return state
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        reason = str(error) if isinstance(error, StateError) else f"page: not JSON: {error}"
        raise ConfigError(f"{path}: {reason}") from error
    state.merge(page)
    return state
