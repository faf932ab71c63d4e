"""onyxpass: scheduling decisions for prompts and answers over pools of reader and writer servers."""

from onyxpass.choice import Router

__all__ = ["Router", "__version__"]
__version__ = "0.2.0"
