"""Whether a draft may become the next view: whole or not at all, without I/O."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace

from onyxpass.scheduling import contract
from onyxpass.sources.membership_view import (
    MembershipView,
    ViewDifference,
    accepts_new_requests,
    born_again,
    compare,
)
from onyxpass.sources.schema import GuardsTable, ParsedFiles, ServerEntry

READS = (contract.Role.PREFILL, contract.Role.MIXED)
WRITES = (contract.Role.DECODE, contract.Role.MIXED)


@dataclass(frozen=True, slots=True)
class Accepted:
    view: MembershipView
    difference: ViewDifference


@dataclass(frozen=True, slots=True)
class Rejected:
    """The first reason says what to mend; the view in force serves on."""

    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unchanged:
    """What the files say is in force already."""


ValidationResult = Accepted | Rejected | Unchanged


def part_of(share: str, count: int) -> int:
    """How many of ``count`` a part such as ``"34%"`` is; at least one, so that a fleet of two
    can change.
    """
    return max(1, count * int(share.removesuffix("%")) // 100)


def validate(
    old: MembershipView,
    draft: ParsedFiles,
    roles: Mapping[str, contract.Role],
    guards: GuardsTable,
    now_us: int,
    sole_source: bool = True,
) -> ValidationResult:
    """``old``: the view in force; number 0 if there is none yet, to which nothing can be lost.

    ``sole_source``: the files are the only source. Otherwise they hold only weights and drains on top of
    another source, and the guards on what must be there do not apply: that source knows what is
    there.
    """
    if draft.faults:
        return Rejected(tuple(str(fault) for fault in draft.faults))
    entries: dict[str, ServerEntry] = {}
    for entry in draft.entries:
        before = old.entries.get(entry.server.id)
        if before is not None:
            entry = born_again(before, entry, now_us)
        elif old.number and entry.server.started_us is None:
            # Guards against a rush at a server that was just put in: it is taken for cold.
            entry = replace(entry, server=replace(entry.server, started_us=now_us))
        entries[entry.server.id] = entry
    difference = compare(old.entries, entries)
    if not difference and old.number:
        return Unchanged()
    if sole_source:
        reasons = [*_lacking(entries, roles, guards), *_losing(old, entries, draft, roles, guards)]
        if reasons:
            return Rejected(tuple(reasons))
    return Accepted(MembershipView.of(old.number + 1, entries.values()), difference)


def _lacking(
    entries: Mapping[str, ServerEntry], roles: Mapping[str, contract.Role], guards: GuardsTable
) -> list[str]:
    """What must always be there, counted among those that take new work."""
    up = [entry for entry in entries.values() if accepts_new_requests(entry)]
    found = []
    for what, least, wanted in (
        ("reader", guards.readers, READS),
        ("writer", guards.writers, WRITES),
    ):
        count = sum(roles[entry.server.kind] in wanted for entry in up)
        if count < least:
            found.append(f"{count} {what}s would be left that take work; guards.{what}s is {least}")
    halls = Counter(entry.server.zone for entry in up)
    for hall, least in guards.halls.items():
        if halls[hall] < least:
            found.append(
                f"hall {hall!r} would have {halls[hall]} servers; guards.halls.{hall} is {least}"
            )
    return found


def _losing(
    old: MembershipView,
    entries: Mapping[str, ServerEntry],
    draft: ParsedFiles,
    roles: Mapping[str, contract.Role],
    guards: GuardsTable,
) -> list[str]:
    """The largest part that one change may take away, unless the files say expressly who leaves."""
    before = [entry for entry in old.entries.values() if accepts_new_requests(entry)]
    lost = [
        entry
        for entry in before
        if entry.server.id not in draft.removes
        and ((now := entries.get(entry.server.id)) is None or not accepts_new_requests(now))
    ]
    if not lost:
        return []

    def groups(some: list[ServerEntry]) -> dict[str, Counter[str]]:
        return {
            "role": Counter(
                roles[entry.server.kind].value for entry in some if entry.server.kind in roles
            ),
            "hall": Counter(entry.server.zone for entry in some),
        }

    found = []
    if len(lost) > (most := part_of(guards.removed, len(before))):
        found.append(
            f"{len(lost)} of {len(before)} servers would go at once; guards.removed allows {most}: "
            f"name them in change.removes if that is meant"
        )
    had, loses = groups(before), groups(lost)
    for what, share in (("role", guards.removed_role), ("hall", guards.removed_hall)):
        for name, count in sorted(loses[what].items()):
            most = part_of(share, had[what][name])
            if count > most:
                found.append(
                    f"{count} of {had[what][name]} servers of {what} {name!r} would go at once; "
                    f"guards.removed_{what} allows {most}: name them in change.removes if that is meant"
                )
    return found
