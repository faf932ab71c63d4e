"""onyxpass: scheduling decisions for prompts and answers over pools of reader and writer servers."""

from onyxpass.choice import Router

__all__ = ["Router"]
