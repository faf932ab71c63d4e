"""SIGHUP in the first moments of a program, before its handler is there.

Its default action ends the process. It is blocked until then, which keeps it: a program blocks it
as its first step, and whoever starts one blocks it before that.
"""

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # not imported: the signal is blocked before anything that takes time
    from asyncio import AbstractEventLoop

# The commands whose programs handle the signal.
HANDLING_COMMANDS = frozenset(("serve", "toolcalls", "agent", "desired"))


def block() -> None:
    """Keep the signal back until ``handle`` is called."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))


def handle(loop: "AbstractEventLoop", callback: Callable[[], object]) -> None:
    """Call ``callback`` in the loop at each signal, and for one that was kept back."""
    loop.add_signal_handler(signal.SIGHUP, callback)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))


@contextmanager
def blocked_for_child() -> Iterator[None]:
    """Block the signal in the block, in which a program is started that handles it."""
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)
