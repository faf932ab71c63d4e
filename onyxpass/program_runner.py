"""Runs the coroutine of a long-running program until the process ends.

Signals that come in the last moments of a stop do not end the process by their default action: the
event loop removes its handlers when it is closed, before the interpreter has ended.
"""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from onyxpass.allocator import return_freed_memory

# Sent by operators and supervisors to a running program; SIGINT also comes from a terminal.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def run_program(
    program: Coroutine[Any, Any, None],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] | None = None,
) -> None:
    """Run a program until it returns; afterwards ``HANDLED_SIGNALS`` no longer end the process.

    To be called from the main thread, as the last thing that the process does. Raises what the
    program raises, with the signals as they were.
    """
    return_freed_memory()
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(_until_stopped(program))


async def _until_stopped(program: Coroutine[Any, Any, None]) -> None:
    await program
    # Blocked rather than ignored: closing the loop sets the default actions again.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
