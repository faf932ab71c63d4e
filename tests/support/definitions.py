"""Which functions, methods and classes a module defines."""

import ast


def functions(tree: ast.Module) -> set[str]:
    """Return functions, and methods as ``Class.method``."""
    found = set()
    for node in tree.body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.ClassDef):
            inner = [n for n in node.body if isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef)]
            found |= {f"{node.name}.{method.name}" for method in inner}
    return found


def defined(tree: ast.Module) -> set[str]:
    """Return functions, classes, and methods as ``Class.method``."""
    return functions(tree) | {node.name for node in tree.body if isinstance(node, ast.ClassDef)}
