"""The short way into ``serve``: what a dispatcher does not use is not loaded.

A start takes processor time and memory in every one of hundreds of dispatchers, and after a release
most of them start at the same moment. So ``serve`` with nothing to parse goes round the command
line, and the parts that its libraries load only if they are there (see ``UNUSED_MODULES``) are left out.
"""

import gc
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType
from typing import cast

# rich: structlog's renderer for developers. ssl: asyncio's TLS. _hashlib: OpenSSL's digests, where
# Python's
# own blake2 is meant. Each of the three does without if the import fails.
UNUSED_MODULES = ("rich", "ssl", "_hashlib")


@contextmanager
def blocked_imports(*names: str) -> Iterator[None]:
    """Let imports of these modules fail in the block, if they are not loaded yet; later ones
    succeed.
    """
    modules = cast("dict[str, ModuleType | None]", sys.modules)
    left_out = [name for name in names if name not in modules]
    modules.update(dict.fromkeys(left_out))
    try:
        yield
    finally:
        for name in left_out:
            del modules[name]


def run(path: Path | None = None, level: str = "info") -> int:
    """One dispatcher till SIGTERM; the exit code. ``path``: the platform's JSON, else
    ``$ROUTER_CONFIG``.
    """
    gc.disable()  # nothing that is loaded here is garbage; serve() turns it on again
    with blocked_imports(*UNUSED_MODULES):
        import asyncio

        from onyxpass import logs, serve
        from onyxpass.config import platform_file
        from onyxpass.core import event_loop
    try:
        logs.configure(level)
        with asyncio.Runner(loop_factory=event_loop.make) as runner:
            runner.run(
                serve.serve(
                    platform_file.load(path), lambda: platform_file.load(path, reloading=True)
                )
            )
    except platform_file.ConfigError as problem:
        print(f"onyxpass: {problem}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """The program ``onyxpass``: the short way if there is nothing to parse, else the command line.

    A command whose extra is not there ends with one line and exit code 2.
    """
    try:
        if sys.argv[1:] == ["serve"]:
            return run()
        from onyxpass.cli import main as command_line

        command_line()
        return 0
    except ModuleNotFoundError as problem:
        from onyxpass.optional_dependencies import missing_extra

        if (told := missing_extra(problem)) is None:
            raise
        print(f"onyxpass: {told}", file=sys.stderr)
        return 2


__all__ = ["UNUSED_MODULES", "blocked_imports", "main", "run"]
