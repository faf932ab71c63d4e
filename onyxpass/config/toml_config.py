"""Reads our own TOML files and checks them against a model.

Each fault is a ConfigError of one line with file, line, key and reason.
"""

import difflib
import json
import re
import tomllib
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, ValidationError

from onyxpass.config.platform_file import Address, ConfigError

HEADER = re.compile(r"\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(#.*)?$")
KEY = re.compile(r"""\s*("[^"]*"|'[^']*'|[A-Za-z0-9_.-]+)\s*=""")
PathPart = str | int


def check_listen_address(text: str) -> str:
    """Check an address to listen at; ValueError, as pydantic wants it, if it is none."""
    try:
        Address.parse(text)
    except ConfigError as problem:
        raise ValueError(str(problem)) from problem
    return text


def check_connect_address(text: str) -> str:
    """Check an address to connect to, which can't have port 0; ValueError if it is none."""
    if Address.parse(check_listen_address(text)).port == 0:
        raise ValueError(f"port 0 can't be reached: {text!r}")
    return text


# where one may listen, so the port may be 0
ListenAddress = Annotated[str, AfterValidator(check_listen_address)]
ConnectAddress = Annotated[
    str, AfterValidator(check_connect_address)
]  # where somebody else listens


def schema_description(description: str) -> ConfigDict:
    """Configure a model to keep the description that its published JSON Schema has.

    Without it a schema would change with the wording of a docstring.
    """
    return ConfigDict(json_schema_extra={"description": description})


class Model(BaseModel):
    """Frozen, exact about types, and closed: a key that is unknown is a fault, not a remark."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)

    def faults(self) -> Iterable[tuple[tuple[PathPart, ...], str]]:
        """Yield where and why several values that are each well formed don't go together."""
        return ()


Found = TypeVar("Found", bound=Model)


def split_key(dotted: str) -> list[str]:
    """Split a dotted key."""
    return [part.strip().strip("\"'") for part in dotted.split(".")]


class _LineFinder:
    """Follows a TOML text line by line and keeps the line that is nearest to a wanted path."""

    def __init__(self, wanted: Sequence[PathPart]) -> None:
        self.best_line = 1
        self._best_depth = 0
        self._wanted = wanted
        self._table: tuple[PathPart, ...] = ()
        self._array_lengths: dict[tuple[PathPart, ...], int] = {}  # the index of the last

    def header(self, dotted: str, is_array: bool, number: int) -> None:
        """Take in the header of a table or of an element of an array of tables."""
        names = split_key(dotted)
        at: tuple[PathPart, ...] = ()
        for i, name in enumerate(names):
            at = (*at, name)
            if is_array and i == len(names) - 1:
                self._array_lengths[at] = self._array_lengths.get(at, -1) + 1
            if at in self._array_lengths:
                at = (*at, self._array_lengths[at])
        self._table = at
        inner = [key for key in self._array_lengths if len(key) > len(at) and key[: len(at)] == at]
        for key in inner:
            del self._array_lengths[key]
        self._consider(at, number)

    def key(self, dotted: str, number: int) -> None:
        """Take in a key of the present table."""
        self._consider((*self._table, *split_key(dotted)), number)

    def _consider(self, at: tuple[PathPart, ...], number: int) -> None:
        pairs = zip(at, self._wanted, strict=False)
        shared = min(len(at), len(self._wanted))
        depth = next((i for i, (here, wanted) in enumerate(pairs) if here != wanted), shared)
        if depth == len(at) and depth > self._best_depth:
            self.best_line = number
            self._best_depth = depth


def line_of(text: str, path: Sequence[PathPart]) -> int:
    """Return the line, from 1 on, of the value at ``path``, or of the nearest table above it.

    Made for files of ours: headers and keys at the start of a line; what stands within an inline
    table or a list is found by the line of its key.
    """
    finder = _LineFinder(path)
    for number, line in enumerate(text.splitlines(), 1):
        if header := HEADER.match(line):
            finder.header(header[2], header[1] == "[[", number)
        elif key := KEY.match(line):
            finder.key(key[1], number)
    return finder.best_line


def position_of(text: str, path: Sequence[PathPart]) -> tuple[int, int]:
    """Return line and column, from 1 on, of a value, or of its key's line."""
    number = line_of(text, path)
    line = text.splitlines()[number - 1] if text else ""
    key = KEY.match(line)
    if key is not None and path and split_key(key[1])[-1] == path[-1]:
        return number, len(line) - len(line[key.end() :].lstrip()) + 1
    return number, len(line) - len(line.lstrip()) + 1


def suggestion(word: str, known: Sequence[str]) -> str:
    """Return what a misspelt word was probably meant to be, as the end of a sentence."""
    near = difflib.get_close_matches(word, known, 1, 0.6)
    return f"; did you mean {near[0]!r}?" if near else ""


def known_keys(model: type[BaseModel], path: Sequence[PathPart]) -> list[str]:
    """Return the keys that are known in the table at ``path``."""
    schema = model.model_json_schema()
    at: Any = schema
    for step in path:
        if "$ref" in at:
            at = schema["$defs"][at["$ref"].rpartition("/")[2]]
        at = (
            at.get("items") if isinstance(step, int) else at.get("properties", {}).get(step)
        ) or {}
        for choice in at.get("anyOf", ()):
            if "$ref" in choice or "properties" in choice or "items" in choice:
                at = choice
    if "$ref" in at:
        at = schema["$defs"][at["$ref"].rpartition("/")[2]]
    return list(at.get("properties", ()))


def key_suggestion(model: type[BaseModel], loc: Sequence[PathPart]) -> str:
    """Return what an unknown key was probably meant to be, as the end of a sentence."""
    return suggestion(str(loc[-1]), known_keys(model, loc[:-1]))


def check(
    model: type[Found], raw: Mapping[str, Any], text: str = "", where: str = "the file"
) -> Found:
    """Return ``raw`` as a model; ConfigError names the first fault with its line in ``text``."""
    try:
        found = model.model_validate(raw)
    except ValidationError as problem:
        raise ConfigError(_first_fault(model, problem, text, where)) from problem
    for loc, reason in found.faults():
        raise ConfigError(f"{where}{_line_suffix(text, loc)}: {reason}")
    return found


def _line_suffix(text: str, path: Sequence[PathPart]) -> str:
    return f":{line_of(text, path)}" if text else ""


def _first_fault(model: type[BaseModel], problem: ValidationError, text: str, where: str) -> str:
    """Describe the fault that stands first in the text, and how many more there are."""
    first = min(problem.errors(), key=lambda error: line_of(text, error["loc"]))
    loc = first["loc"]
    key = ".".join(str(part + 1) if isinstance(part, int) else part for part in loc)
    reason = first["msg"].removeprefix("Value error, ")
    if first["type"] == "extra_forbidden":
        reason = "unknown key" + key_suggestion(model, loc)
    elif first["type"] == "missing":
        reason = "is absent"
    others = problem.error_count() - 1
    more = f" (and {others} more)" if others else ""
    prefix = f"{key}: " if key else ""
    return f"{where}{_line_suffix(text, loc)}: {prefix}{reason}{more}"


def syntax_fault(problem: tomllib.TOMLDecodeError) -> tuple[str, int, int]:
    """Return reason, line and column; line 0 where the text ends too early."""
    place = re.search(r"\(at line (\d+), column (\d+)\)", str(problem))
    reason = re.sub(r" \(at .*\)$", "", str(problem))
    return (reason, int(place[1]), int(place[2])) if place else (reason, 0, 0)


def read(model: type[Found], path: Path) -> Found:
    """Read a file as a model; ConfigError with file, line and reason."""
    try:
        text = path.read_text(encoding="utf-8-sig")  # some editors write a byte order mark
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        reason, line, column = syntax_fault(problem)
        at = f":{line}:{column}" if line else ""
        raise ConfigError(f"{path}{at}: {reason}") from problem
    except (OSError, UnicodeDecodeError, RecursionError) as problem:
        reason = (
            problem.strerror if isinstance(problem, OSError) and problem.strerror else str(problem)
        )
        raise ConfigError(f"{path}: {reason}") from problem
    return check(model, raw, text, str(path))


def schema_text(model: type[Model], title: str) -> str:
    """Return the JSON Schema of a file, as it is published under ``docs/schemas``."""
    schema = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        **model.model_json_schema(),
    }
    return json.dumps({**schema, "title": title}, indent=2) + "\n"
