"""``docs/PROMISES.md`` names only functions and tests that exist."""

import ast
import re
from pathlib import Path

import pytest

from tests.support.definitions import function_names

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "PROMISES.md").read_text()
FUNCTIONS = sorted(set(re.findall(r"`(onyxpass/[\w/]+\.py):([\w.]+)`", PAGE)))
TESTS = sorted(set(re.findall(r"`(tests/[\w/]+\.py)(?:::(\w+))?`", PAGE)))


def test_the_page_names_functions_and_tests() -> None:
    assert len(FUNCTIONS) > 30 and len(TESTS) > 10


@pytest.mark.parametrize(("path", "name"), FUNCTIONS)
def test_each_function_named_exists(path: str, name: str) -> None:
    assert name in function_names(ast.parse((ROOT / path).read_text()))


@pytest.mark.parametrize(("path", "name"), TESTS)
def test_each_test_named_exists(path: str, name: str) -> None:
    assert not name or name in function_names(ast.parse((ROOT / path).read_text()))
