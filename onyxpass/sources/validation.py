"""Validates parsed files against the guards: all of them become the next view, or none. No I/O."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace

from onyxpass.scheduling import contract
from onyxpass.sources.membership_view import (
    MembershipView,
    ViewDifference,
    accepts_new_requests,
    compare,
    with_start_time,
)
from onyxpass.sources.schema import GuardsTable, ParsedFiles, ServerEntry

PREFILL_ROLES = (contract.Role.PREFILL, contract.Role.MIXED)
DECODE_ROLES = (contract.Role.DECODE, contract.Role.MIXED)


@dataclass(frozen=True, slots=True)
class Accepted:
    view: MembershipView
    difference: ViewDifference


@dataclass(frozen=True, slots=True)
class Rejected:
    """The files are invalid or break a guard; the view in force stays.

    ``reasons`` are the faults of the files or, if there are none, the guards that are broken.
    """

    reasons: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The files describe the view that is already in force."""


ValidationResult = Accepted | Rejected | Unchanged


def removable_count(percentage: str, count: int) -> int:
    """Return how many of ``count`` a percentage such as ``"34%"`` is, rounded down.

    It is at least one, so that a fleet of two can change.
    """
    return max(1, count * int(percentage.removesuffix("%")) // 100)


def validate(
    old: MembershipView,
    parsed: ParsedFiles,
    roles: Mapping[str, contract.Role],
    guards: GuardsTable,
    now_us: int,
    sole_source: bool = True,
) -> ValidationResult:
    """Decide whether the parsed files become the next view.

    ``old`` is the view in force; number 0 means that there is none yet. With ``sole_source`` the
    files are the only source. Otherwise they have only weights and drains on top of another source
    and the guards do not apply, since that source lists the servers.
    """
    if parsed.faults:
        return Rejected(tuple(str(fault) for fault in parsed.faults))
    entries: dict[str, ServerEntry] = {}
    for entry in parsed.entries:
        before = old.entries.get(entry.server.id)
        if before is not None:
            entry = with_start_time(before, entry, now_us)
        elif old.number and entry.server.started_us is None:
            # Prevents a burst of requests to a server that was just added: it counts as cold.
            entry = replace(entry, server=replace(entry.server, started_us=now_us))
        entries[entry.server.id] = entry
    if reasons := _unstated_returns(old, entries, parsed, sole_source):
        return Rejected(tuple(reasons))
    difference = compare(old.entries, entries)
    if not difference and old.number:
        return Unchanged()
    if sole_source:
        reasons = [
            *_minimum_violations(entries, roles, guards),
            *_removal_violations(old, entries, parsed, roles, guards),
        ]
        if reasons:
            return Rejected(tuple(reasons))
    return Accepted(MembershipView.of(old.number + 1, entries.values()), difference)


def _unstated_returns(
    old: MembershipView, entries: Mapping[str, ServerEntry], parsed: ParsedFiles, sole_source: bool
) -> list[str]:
    """Return a reason for each drained server that would take work again without being told to.

    A file that is cut off before ``state = "draining"`` can be parsed, and must not end a drain.
    """
    reasons = []
    for name, before in old.entries.items():
        if accepts_new_requests(before):
            continue
        entry = entries.get(name)
        if entry is None:
            if not sole_source and name not in parsed.removes:
                reasons.append(
                    f"server {name!r} drains and is not listed any more: list it in "
                    "change.removes if it is to take work again"
                )
        elif accepts_new_requests(entry) and not _states_return(before, entry):
            reasons.append(
                f"{entry.file}:{entry.line}: server {name!r} drained, and no key says otherwise now: "
                f"write {_keys_to_write(before)} if it is to take work again"
            )
    return reasons


def _keys_to_write(before: ServerEntry) -> str:
    if before.server.weight != 0:
        return 'state = "active"'
    return 'its weight and state = "active"' if before.has_state else "its weight"


def _states_return(before: ServerEntry, entry: ServerEntry) -> bool:
    """Return whether a file has each key that may have drained a server, and not for want of it."""
    if before.server.weight != 0:
        return entry.has_state
    return entry.has_weight and (entry.has_state or not before.has_state)


def _minimum_violations(
    entries: Mapping[str, ServerEntry], roles: Mapping[str, contract.Role], guards: GuardsTable
) -> list[str]:
    """Return the guards on minimum numbers that the servers accepting new requests break."""
    up = [entry for entry in entries.values() if accepts_new_requests(entry)]
    violations = []
    for what, minimum, accepted_roles in (
        ("reader", guards.readers, PREFILL_ROLES),
        ("writer", guards.writers, DECODE_ROLES),
    ):
        count = sum(roles[entry.server.kind] in accepted_roles for entry in up)
        if count < minimum:
            violations.append(
                f"{count} {what}s would be left that take work; guards.{what}s is {minimum}"
            )
    halls = Counter(entry.server.zone for entry in up)
    for hall, minimum in guards.halls.items():
        if halls[hall] < minimum:
            violations.append(
                f"hall {hall!r} would have {halls[hall]} servers; guards.halls.{hall} is {minimum}"
            )
    return violations


def _removal_violations(
    old: MembershipView,
    entries: Mapping[str, ServerEntry],
    parsed: ParsedFiles,
    roles: Mapping[str, contract.Role],
    guards: GuardsTable,
) -> list[str]:
    """Return the guards on removal that the change breaks.

    Servers that ``change.removes`` lists are not counted.
    """
    before = [entry for entry in old.entries.values() if accepts_new_requests(entry)]
    lost = [
        entry
        for entry in before
        if entry.server.id not in parsed.removes
        and ((now := entries.get(entry.server.id)) is None or not accepts_new_requests(now))
    ]
    if not lost:
        return []

    def counts(group: list[ServerEntry]) -> dict[str, Counter[str]]:
        return {
            "role": Counter(
                roles[entry.server.kind].value for entry in group if entry.server.kind in roles
            ),
            "hall": Counter(entry.server.zone for entry in group),
        }

    violations = []
    if len(lost) > (allowed := removable_count(guards.removed, len(before))):
        violations.append(
            f"{len(lost)} of {len(before)} servers would be removed at once; guards.removed allows {allowed}: "
            f"list them in change.removes if this is intended"
        )
    totals, losses = counts(before), counts(lost)
    for what, percentage in (("role", guards.removed_role), ("hall", guards.removed_hall)):
        for name, count in sorted(losses[what].items()):
            allowed = removable_count(percentage, totals[what][name])
            if count > allowed:
                violations.append(
                    f"{count} of {totals[what][name]} servers of {what} {name!r} would be removed at once; "
                    f"guards.removed_{what} allows {allowed}: list them in change.removes if this is intended"
                )
    return violations
