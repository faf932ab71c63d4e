"""Reads the project's TOML files and validates them against pydantic models.

A fault is raised as a ConfigError whose message is one line with file, line, key and reason.
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
    """Return ``text`` if it is an address to listen at; otherwise raise ValueError for pydantic."""
    try:
        Address.parse(text)
    except ConfigError as error:
        raise ValueError(str(error)) from error
    return text


def check_connect_address(text: str) -> str:
    """Return ``text`` if it is an address to connect to; ValueError otherwise and for port 0."""
    if Address.parse(check_listen_address(text)).port == 0:
        raise ValueError(f"port 0 can't be reached: {text!r}")
    return text


# Addresses as text: ``ListenAddress`` of a socket of this process, whose port 0 lets the system
# choose, and ``ConnectAddress`` of another process.
ListenAddress = Annotated[str, AfterValidator(check_listen_address)]
ConnectAddress = Annotated[str, AfterValidator(check_connect_address)]


def schema_description(description: str) -> ConfigDict:
    """Return a model's configuration that sets the description in its published JSON Schema.

    Prevents the schema from changing with the wording of the model's docstring.
    """
    return ConfigDict(json_schema_extra={"description": description})


class Model(BaseModel):
    """Base of models that are frozen, check types strictly and reject unknown keys."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)

    def faults(self) -> Iterable[tuple[tuple[PathPart, ...], str]]:
        """Yield path and reason of faults between several values that are each valid."""
        return ()


ModelT = TypeVar("ModelT", bound=Model)


def split_key(dotted: str) -> list[str]:
    """Split a dotted key."""
    return [part.strip().strip("\"'") for part in dotted.split(".")]


class _LineFinder:
    """Scans a TOML text line by line for the line that is nearest to a wanted path."""

    def __init__(self, wanted: Sequence[PathPart]) -> None:
        self.best_line = 1
        self._best_depth = 0
        self._wanted = wanted
        self._table: tuple[PathPart, ...] = ()
        self._last_indexes: dict[tuple[PathPart, ...], int] = {}  # by array of tables

    def add_header(self, dotted: str, is_array: bool, number: int) -> None:
        """Process the header of a table or of an element of an array of tables."""
        names = split_key(dotted)
        at: tuple[PathPart, ...] = ()
        for i, name in enumerate(names):
            at = (*at, name)
            if is_array and i == len(names) - 1:
                self._last_indexes[at] = self._last_indexes.get(at, -1) + 1
            if at in self._last_indexes:
                at = (*at, self._last_indexes[at])
        self._table = at
        inner = [key for key in self._last_indexes if len(key) > len(at) and key[: len(at)] == at]
        for key in inner:
            del self._last_indexes[key]
        self._consider(at, number)

    def add_key(self, dotted: str, number: int) -> None:
        """Process a key of the current table."""
        self._consider((*self._table, *split_key(dotted)), number)

    def _consider(self, at: tuple[PathPart, ...], number: int) -> None:
        pairs = zip(at, self._wanted, strict=False)
        shared = min(len(at), len(self._wanted))
        depth = next((i for i, (here, wanted) in enumerate(pairs) if here != wanted), shared)
        if depth == len(at) and depth > self._best_depth:
            self.best_line = number
            self._best_depth = depth


def line_of(text: str, path: Sequence[PathPart]) -> int:
    """Return the line, from 1, of the value at ``path``, or of the nearest table above it.

    Headers and keys must start a line, as in the project's files; the line of a value within an
    inline table or a list is that of its key.
    """
    finder = _LineFinder(path)
    for number, line in enumerate(text.splitlines(), 1):
        if header := HEADER.match(line):
            finder.add_header(header[2], header[1] == "[[", number)
        elif key := KEY.match(line):
            finder.add_key(key[1], number)
    return finder.best_line


def position_of(text: str, path: Sequence[PathPart]) -> tuple[int, int]:
    """Return line and column, from 1, of the value at ``path``, or of the start of its line."""
    number = line_of(text, path)
    line = text.splitlines()[number - 1] if text else ""
    key = KEY.match(line)
    if key is not None and path and split_key(key[1])[-1] == path[-1]:
        return number, len(line) - len(line[key.end() :].lstrip()) + 1
    return number, len(line) - len(line.lstrip()) + 1


def suggestion(word: str, known: Sequence[str]) -> str:
    """Return a message suffix with the known word nearest to ``word``; empty if none is near."""
    matches = difflib.get_close_matches(word, known, 1, 0.6)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def known_keys(model: type[BaseModel], path: Sequence[PathPart]) -> list[str]:
    """Return the valid keys of the table at ``path``."""
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
    """Return a message suffix with the valid key nearest to the last of ``loc``, or nothing."""
    return suggestion(str(loc[-1]), known_keys(model, loc[:-1]))


def check(
    model: type[ModelT], raw: Mapping[str, Any], text: str = "", where: str = "the file"
) -> ModelT:
    """Return ``raw`` as a model; raise ConfigError with the first fault and its line."""
    try:
        found = model.model_validate(raw)
    except ValidationError as error:
        raise ConfigError(_first_fault(model, error, text, where)) from error
    for loc, reason in found.faults():
        raise ConfigError(f"{where}{_line_suffix(text, loc)}: {reason}")
    return found


def _line_suffix(text: str, path: Sequence[PathPart]) -> str:
    return f":{line_of(text, path)}" if text else ""


def _first_fault(model: type[BaseModel], failure: ValidationError, text: str, where: str) -> str:
    """Describe the fault that is first in the text, with the number of further faults."""
    first = min(failure.errors(), key=lambda error: line_of(text, error["loc"]))
    loc = first["loc"]
    key = ".".join(str(part + 1) if isinstance(part, int) else part for part in loc)
    reason = first["msg"].removeprefix("Value error, ")
    if first["type"] == "extra_forbidden":
        reason = "unknown key" + key_suggestion(model, loc)
    elif first["type"] == "missing":
        reason = "is absent"
    others = failure.error_count() - 1
    more = f" (and {others} more)" if others else ""
    prefix = f"{key}: " if key else ""
    return f"{where}{_line_suffix(text, loc)}: {prefix}{reason}{more}"


def syntax_fault(error: tomllib.TOMLDecodeError) -> tuple[str, int, int]:
    """Return reason, line and column; line and column are 0 if the text ends too early."""
    position = re.search(r"\(at line (\d+), column (\d+)\)", str(error))
    reason = re.sub(r" \(at .*\)$", "", str(error))
    return (reason, int(position[1]), int(position[2])) if position else (reason, 0, 0)


def read(model: type[ModelT], path: Path) -> ModelT:
    """Read a file as a model; raise ConfigError with file, line and reason."""
    try:
        text = path.read_text(encoding="utf-8-sig")  # some editors write a byte order mark
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        reason, line, column = syntax_fault(error)
        at = f":{line}:{column}" if line else ""
        raise ConfigError(f"{path}{at}: {reason}") from error
    except (OSError, UnicodeDecodeError, RecursionError) as error:
        reason = error.strerror if isinstance(error, OSError) and error.strerror else str(error)
        raise ConfigError(f"{path}: {reason}") from error
    return check(model, raw, text, str(path))


def schema_text(model: type[Model], title: str) -> str:
    """Return the JSON Schema of a file's model, as published under ``docs/schemas``."""
    schema = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        **model.model_json_schema(),
    }
    return json.dumps({**schema, "title": title}, indent=2) + "\n"
