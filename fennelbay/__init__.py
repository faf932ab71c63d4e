"""fennelbay: scheduling decisions for prompts and answers over pools of reader and writer servers."""

from fennelbay.choice import Router

__all__ = ["Router"]
