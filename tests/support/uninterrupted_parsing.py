"""Pytest plugin: the garbage collector does not run while Python converts a syntax tree.

Guards against ``SystemError: AST constructor recursion depth mismatch`` of CPython 3.11.6
(gh-106905): the converter's depth is one variable of the interpreter, and a collection in its
middle may run other code that converts a tree as well, such as the formatting of a traceback.
Pytest's assertion rewriting, tracebacks and tests of the repository all call ``ast.parse``.
"""

import ast
import functools
import gc
from collections.abc import Callable
from typing import Any


def without_collections(parse: Callable[..., Any]) -> Callable[..., Any]:
    """Return ``parse`` with the garbage collector disabled during each call."""

    @functools.wraps(parse)
    def uninterrupted(*arguments: Any, **options: Any) -> Any:
        was_enabled = gc.isenabled()
        gc.disable()
        try:
            return parse(*arguments, **options)
        finally:
            if was_enabled:
                gc.enable()

    return uninterrupted


ast.parse = without_collections(ast.parse)
