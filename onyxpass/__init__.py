"""onyxpass: a dispatcher for prompts over pools of prefill and decode servers."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxpass.scheduling.router import Router

__all__ = ["Router", "__version__"]
__version__ = "0.2.0"


def __getattr__(name: str) -> object:
    """Import the router at its first use, after ``start`` has blocked unused imports."""
    if name == "Router":
        from onyxpass.scheduling.router import Router

        return Router
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
