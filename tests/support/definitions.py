"""The names of the functions, methods and classes that a module defines."""

import ast


def function_names(tree: ast.Module) -> set[str]:
    """Return the names of functions, and of methods as ``Class.method``."""
    found = set()
    for node in tree.body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.ClassDef):
            methods = [
                n for n in node.body if isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef)
            ]
            found |= {f"{node.name}.{method.name}" for method in methods}
    return found


def definition_names(tree: ast.Module) -> set[str]:
    """Return the names of functions and classes, and of methods as ``Class.method``."""
    return function_names(tree) | {
        node.name for node in tree.body if isinstance(node, ast.ClassDef)
    }
