"""The entry point, with a fast start of ``serve`` that does not import unused modules.

Each of hundreds of dispatchers spends processor time and memory on its start, and after a release
most of them start at the same moment. So ``serve`` without arguments bypasses the command line, and
optional imports of its libraries (see ``UNUSED_MODULES``) are blocked.
"""

import gc
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType
from typing import cast

from onyxpass import reload_signal

# rich: structlog's renderer for development. ssl: asyncio's TLS. _hashlib: OpenSSL's digests, which
# are not needed beside Python's own blake2. The importing modules work without them.
UNUSED_MODULES = ("rich", "ssl", "_hashlib")


@contextmanager
def blocked_imports(*names: str) -> Iterator[None]:
    """Make imports of these modules fail in the block unless they are loaded already.

    Imports after the block succeed.
    """
    modules = cast("dict[str, ModuleType | None]", sys.modules)
    blocked = [name for name in names if name not in modules]
    modules.update(dict.fromkeys(blocked))
    try:
        yield
    finally:
        for name in blocked:
            del modules[name]


def run(path: Path | None = None, level: str = "info") -> int:
    """Run one dispatcher until SIGTERM and return the exit code.

    ``path`` is the platform's JSON file; the default is ``$ROUTER_CONFIG``.
    """
    gc.disable()  # the imports leave no garbage; serve() enables it again
    with blocked_imports(*UNUSED_MODULES):
        from onyxpass import logs, serve
        from onyxpass.config import platform_file
        from onyxpass.core import event_loop
        from onyxpass.program_runner import run_program
    try:
        logs.configure(level)
        config = platform_file.load(path)
        run_program(
            serve.serve(config, lambda: platform_file.load(path, reloading=True)), event_loop.make
        )
    except platform_file.ConfigError as problem:
        print(f"onyxpass: {problem}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Run the program ``onyxpass`` and return the exit code.

    ``serve`` without arguments starts directly; everything else goes through the command line. A
    command whose extra is not installed prints one line and ends with exit code 2.
    """
    if sys.argv[1:2] and sys.argv[1] in reload_signal.HANDLING_COMMANDS:
        reload_signal.block()
    try:
        if sys.argv[1:] == ["serve"]:
            return run()
        from onyxpass.cli import main as command_line

        command_line()
        return 0
    except ModuleNotFoundError as problem:
        from onyxpass.optional_dependencies import missing_extra_message

        if (message := missing_extra_message(problem)) is None:
            raise
        print(f"onyxpass: {message}", file=sys.stderr)
        return 2


__all__ = ["UNUSED_MODULES", "blocked_imports", "main", "run"]
