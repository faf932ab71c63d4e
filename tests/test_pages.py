"""The documentation agrees with the code: modules, functions, contract names and log events."""

import ast
import re
from pathlib import Path

import pytest

from tests.support.definitions import definition_names

ROOT = Path(__file__).parent.parent
ARCHITECTURE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
GLOSSARY = (ROOT / "docs" / "GLOSSARY.md").read_text()
CONTRACT = ROOT / "onyxpass" / "scheduling" / "contract"
FUNCTIONS = sorted(set(re.findall(r"`(onyxpass/[\w/]+\.py):([\w.]+)`", ARCHITECTURE)))


def test_the_architecture_page_names_functions() -> None:
    assert len(FUNCTIONS) > 25


@pytest.mark.parametrize(("path", "name"), FUNCTIONS)
def test_each_function_of_the_architecture_exists(path: str, name: str) -> None:
    assert name in definition_names(ast.parse((ROOT / path).read_text()))


def test_each_module_of_the_glossary_exists() -> None:
    for name in re.findall(r"`([a-z_]+/(?:[a-z_]+\.py)?)`", GLOSSARY):
        assert (ROOT / "onyxpass" / name).exists(), name


def test_each_name_of_the_contract_in_the_glossary_exists() -> None:
    text = "".join(path.read_text() for path in CONTRACT.glob("*.py"))
    column = " ".join(row.split("|")[3] for row in GLOSSARY.splitlines() if row.count("|") == 5)
    names = set(re.findall(r"`(?:contract\.)?([A-Z]\w+(?:\.\w+)?)`", column))
    assert len(names) > 20
    for name in names:
        for part in name.split("."):
            assert re.search(rf"\b{part}\b", text), name


def logged_events(levels: set[str]) -> set[str]:
    """Return the names of the events that the package logs at these levels."""
    found = set()
    for path in (ROOT / "onyxpass").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(value=ast.Name("log"), attr=level), args=[event, *_]
                ):
                    if level in levels:
                        names = (
                            [event.body, event.orelse] if isinstance(event, ast.IfExp) else [event]
                        )
                        found |= {name.value for name in names if isinstance(name, ast.Constant)}
    return found


def test_each_event_of_warning_and_above_has_its_row_in_the_runbook() -> None:
    page = (ROOT / "docs" / "ONCALL.md").read_text()
    rows = set(re.findall(r"`([a-z_]+)`", page.partition("## Log events of warning and above")[2]))
    events = logged_events({"warning", "error", "exception", "critical"})
    assert len(events) > 40
    assert events <= rows, events - rows


def test_log_events_are_names_and_not_sentences() -> None:
    events = logged_events({"debug", "info", "warning", "error", "exception", "critical"})
    assert {event for event in events if not re.fullmatch(r"[a-z0-9_]+", event)} == set()
