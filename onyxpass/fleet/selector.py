"""Selects the instances that a command applies to, without I/O.

    hall=derby|boa-vista,name=*-1,label.front!=http

Terms are separated by ``,`` (all must match), values by ``|`` (one must match); a value may contain
``*``, ``?`` and ``[...]``. Keys are ``hall``, ``host``, ``name`` and ``label.KEY``.
"""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase

from onyxpass.config.toml_config import suggestion
from onyxpass.fleet.config import Member

KEYS = ("hall", "host", "name")
TERM = re.compile(r"\s*([A-Za-z0-9._-]+)\s*(!=|=)\s*(.*?)\s*$")


class SelectorError(ValueError):
    """A selector is invalid, or nothing is selected; the message says why."""


@dataclass(frozen=True, slots=True)
class Term:
    key: str
    values: tuple[str, ...]
    negated: bool = False

    def matches(self, member: Member) -> bool:
        if self.key.startswith("label."):
            actual = dict(member.labels).get(self.key.removeprefix("label."))
        else:
            actual = {"hall": member.hall, "host": member.host, "name": member.name}[self.key]
        is_match = actual is not None and any(fnmatchcase(actual, value) for value in self.values)
        return is_match is not self.negated


def parse(text: str) -> tuple[Term, ...]:
    """Parse a selector; SelectorError names the column of a fault, counted from 1."""
    terms, column = [], 1
    for part in text.split(","):
        if (match := TERM.match(part)) is None:
            raise SelectorError(f"column {column}: {part.strip()!r} is not KEY=VALUE")
        key, operator, value = match.groups()
        if key not in KEYS and not (key.startswith("label.") and len(key) > len("label.")):
            raise SelectorError(
                f"column {column}: no key {key!r}{suggestion(key, (*KEYS, 'label.'))}"
            )
        values = tuple(v.strip() for v in value.split("|"))
        if not all(values):
            raise SelectorError(f"column {column}: {key} has an empty value")
        terms.append(Term(key, values, operator == "!="))
        column += len(part) + 1
    return tuple(terms)


def select(
    members: Sequence[Member], names: Iterable[str] = (), where: str = ""
) -> tuple[Member, ...]:
    """Return the members that match one of ``names`` and every term, in the file's order.

    Without names all members match. Raises SelectorError for a name or a selector without a match,
    so that a command for no instance doesn't look like success.
    """
    wanted = list(names)
    known = [member.name for member in members]
    for name in wanted:
        if not any(fnmatchcase(known_name, name) for known_name in known):
            raise SelectorError(f"no instance {name!r}{suggestion(name, known)}")
    terms = parse(where) if where.strip() else ()
    selected = tuple(
        member
        for member in members
        if (not wanted or any(fnmatchcase(member.name, name) for name in wanted))
        and all(term.matches(member) for term in terms)
    )
    if not selected:
        raise SelectorError("no instance is selected")
    return selected
