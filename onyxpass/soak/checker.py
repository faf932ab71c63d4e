"""What must hold of a soak's records. Each rule is a function of them and yields its breaches.

What a rule passes over stands in its docstring, with the reason; docs/design/SOAK.md has the list.
"""

from collections.abc import Callable, Iterable, Iterator

from onyxpass.history_checkers import trace as rules
from onyxpass.history_checkers.trace import EventKind
from onyxpass.soak.clients import BAD_CLIENT_S
from onyxpass.soak.dispatchers import BOOKINGS
from onyxpass.soak.records import NOT_RUN, Asked, Records

LATE_S = 0.5  # past its time an answer earns nothing; later it is lost
GONE_S = 0.1  # after a client's close
TOLD_SLACK_S = 0.15
DRAIN_S, TOLD_LATEST_S = 1.0, 6.0
# Troubles of a dispatcher after which it may have to ask for the list anew.
LOSES_THE_WATCH = (
    "restarted",
    "reloaded",
    "killed",
    "ended by SIGKILL",
    "failed calls",
    "broken calls",
)
Rule = Callable[[Records, float], Iterable[str]]


def slack_of(records: Records) -> float:
    """Return what this process's own pauses may have put on every time that it noted."""
    return 0.1 + 2 * records.lag_s


def freed(records: Records, asked: Asked) -> bool:
    """Return whether its dispatcher was killed while it was open: nobody owes it anything then."""
    return records.troubled(asked.dispatcher, asked.asked_s, asked.ended_s + 1.0, "killed")


def not_run(records: Records, asked: Asked) -> bool:
    """Return whether the machine kept its dispatcher from running while it was open.

    No process keeps times while it does not run. What is not a matter of time still counts.
    """
    return records.troubled(asked.dispatcher, asked.asked_s, asked.ended_s + 1.0, NOT_RUN)


def answers(records: Records, slack_s: float) -> Iterator[str]:
    """Each request of a client that stays has one whole answer, in time."""
    for asked in records.asked.values():
        if not asked.asked_s or asked.left_s or freed(records, asked):
            continue
        if not_run(records, asked) and asked.end not in ("broken", "never"):
            continue  # late, and its answer came all the same
        if records.troubled(asked.dispatcher, asked.asked_s, asked.ended_s, "no process"):
            continue
        took_s = (asked.first_s if asked.events else asked.ended_s) - asked.asked_s
        if asked.end == "broken" and records.troubled(
            asked.dispatcher, asked.asked_s, asked.ended_s, "broken calls"
        ):
            continue  # its own connection was broken at the dispatcher's side
        if _shut_unread(records, asked):
            continue
        if asked.end in ("broken", "never") and not asked.events:
            on = "a new" if asked.on_new_connection else "a kept"
            where = f"at d{asked.dispatcher:02} on {on} connection"
            yield f"{asked.request}: {asked.end} with no answer after {took_s:.2f} s {where}"
        elif took_s > asked.wait_s + LATE_S + slack_s:
            wait_s = asked.wait_s
            yield f"{asked.request}: {asked.end} after {took_s:.2f} s with {wait_s:.2f} s to wait"
        elif asked.end in ("broken", "never") and not _stream_may_break(records, asked):
            yield f"{asked.request}: its stream broke off, and nothing happened to its writer"


def _shut_unread(records: Records, asked: Asked) -> bool:
    """Return whether a new connection may have been closed unread in favour of a crowd's."""
    return (
        asked.end == "broken"
        and asked.on_new_connection
        and not asked.status
        and records.troubled(asked.dispatcher, asked.asked_s, asked.ended_s, "crowd")
    )


def _stream_may_break(records: Records, asked: Asked) -> bool:
    """Return whether something excuses a stream that broke.

    Its writer, the way there or its dispatcher's calls were troubled meanwhile, or SIGKILL met it.
    """
    trace = records.trace
    servers = {
        e.server
        for e in trace.events
        if e.kind is EventKind.RECEIVED and e.request == asked.request
    }
    if any(records.shaken(server, asked.asked_s, asked.ended_s) for server in servers):
        return True
    if records.ended_by_kill(asked.dispatcher, asked.asked_s):
        return True
    return records.troubled(asked.dispatcher, asked.asked_s, asked.ended_s, "broken calls")


def told_times(records: Records, slack_s: float) -> Iterator[str]:
    """No attempt tells its replica more time than the client has left."""
    for told in records.told:
        asked = records.asked.get(told.request)
        if asked is None or not asked.asked_s or not_run(records, asked):
            continue
        if records.delayed(told.server, asked.asked_s, told.at_s):
            continue  # it was on its way for longer than a network takes
        left_s = max(0.0, asked.asked_s + asked.wait_s - told.at_s)
        if told.told_s > left_s + TOLD_SLACK_S + slack_s:
            told_s = f"{told.told_s:.3f} s with {left_s:.3f} s left"
            yield f"{told.request}: {told.server} was told {told_s}"


def clients_gone(records: Records, slack_s: float) -> Iterator[str]:
    """No attempt begins for a client that has left."""
    for event in records.trace.events_of(EventKind.RECEIVED):
        asked = records.asked.get(event.request)
        if (
            asked is None
            or not asked.left_s
            or not_run(records, asked)
            or records.delayed(event.server, asked.asked_s, event.at_s)
        ):
            continue
        if event.at_s > asked.left_s + GONE_S + slack_s:
            late_s = event.at_s - asked.left_s
            yield f"{event.request}: at {event.server} {late_s:.2f} s after its client left"


def drains(records: Records, slack_s: float) -> Iterator[str]:
    """Find what came to a server past its drain time.

    That runs from when the dispatcher counts as notified.
    """
    told: dict[str, float] = {}
    for event in records.trace.events_of(EventKind.DRAIN_ANNOUNCED, EventKind.RECEIVED):
        if event.kind is EventKind.DRAIN_ANNOUNCED:
            if event.detail == "up":
                told.pop(event.server, None)
            else:
                told.setdefault(event.server, event.at_s)
            continue
        since_s, asked = told.get(event.server), records.asked.get(event.request)
        if since_s is None or asked is None or records.delayed(event.server, since_s, event.at_s):
            continue
        if records.troubled(asked.dispatcher, since_s, event.at_s, NOT_RUN):
            continue
        due_s = since_s + DRAIN_S + slack_s
        if any(
            span.meets(since_s - 3.0, event.at_s) for span in records.discovery
        ) or records.troubled(asked.dispatcher, since_s - 3.0, event.at_s, *LOSES_THE_WATCH):
            ends = [
                span.until_s for span in records.discovery if span.meets(since_s - 3.0, event.at_s)
            ]
            due_s = max([since_s, *ends]) + TOLD_LATEST_S + DRAIN_S + slack_s
        if event.at_s > due_s:
            late_s = event.at_s - since_s
            yield f"{event.request}: at {event.server} {late_s:.2f} s after its drain was told"


def overlaps(records: Records, slack_s: float) -> Iterator[str]:
    """Find attempts that came to a server while another one of their request was out.

    Not where the way to either was slow or cut: then a close arrives late, and an attempt that was
    closed before the other began may still come.
    """
    for breach in rules.no_overlap(records.trace, slack_s):
        request, _, servers = breach.partition(":")
        later, _, first = servers.removeprefix(" at ").partition(" while it was out at ")
        asked = records.asked.get(request)
        since_s, until_s = (asked.asked_s, asked.ended_s) if asked else (0.0, float("inf"))
        if asked is not None and freed(records, asked):
            continue
        if not any(
            records.delayed(server, since_s - 1.0, until_s + 1.0)
            for server in (first.partition(",")[0], later)
        ):
            yield breach


def held(records: Records, slack_s: float) -> Iterator[str]:
    """Find state that was not used or let go in time, but by a dispatcher that was killed.

    Where the way to the holder was troubled, the answer to the prefill may have been lost on it:
    the attempt is out then, however long ago its server ended it, and only what is never let go
    counts.
    """
    never = {request for request, freed_s in _last_holds(records).items() if not freed_s}
    for breach in rules.held_briefly(records.trace, 0.3 + slack_s):
        request = breach.partition(":")[0]
        asked = records.asked.get(request)
        if asked is None or freed(records, asked):
            continue
        late_excused = _prefill_answer_lost(records, asked) or not_run(records, asked)
        if request in never or not late_excused:
            yield breach


def _last_holds(records: Records) -> dict[str, float]:
    """By request that was held: when it was let go for the last time, 0 if it still is held."""
    found: dict[str, float] = {}
    for event in records.trace.events_of(EventKind.HELD, EventKind.RELEASED):
        found[event.request] = event.at_s if event.kind is EventKind.RELEASED else 0.0
    return found


def _prefill_answer_lost(records: Records, asked: Asked) -> bool:
    holders = {
        e.server for e in records.trace.events_of(EventKind.HELD) if e.request == asked.request
    }
    return any(
        records.may_lose_answers(name, asked.asked_s, asked.ended_s + 1.0) for name in holders
    )


def bookings(records: Records, _: float) -> Iterator[str]:
    """Find bookings that ran twice, and refused ones that ran.

    Not so where the dispatcher was killed and the client, whose kept connection ended, sent it to
    the next process once more: that one knows nothing of the first.
    """
    broken = [
        *rules.bookings_once(records.trace, BOOKINGS),
        *rules.refused_never_ran(records.trace, BOOKINGS),
    ]
    for breach in broken:
        asked = records.asked.get(breach.partition(":")[0])
        if asked is None or not (asked.again and freed(records, asked)):
            yield breach


def attempts(records: Records, _: float) -> Iterator[str]:
    """Find requests with more attempts than the settings allow."""
    yield from rules.few_attempts(records.trace)


def bad_clients(records: Records, slack_s: float) -> Iterator[str]:
    """Find clients that broke off in the middle, stayed, and were not ended in time.

    While no process takes connections from an inherited socket, nobody can end them.
    """
    for bad in records.bad_clients:
        after_s = bad.ended_s - bad.began_s
        if records.troubled(bad.dispatcher, bad.began_s, bad.ended_s, NOT_RUN):
            continue
        unserved_s = records.unserved_s(bad.dispatcher, bad.began_s, bad.ended_s)
        if after_s > BAD_CLIENT_S + unserved_s + slack_s:
            yield f"a client that {bad.manner} was ended after {after_s:.2f} s"


def processes(records: Records, _: float) -> Iterator[str]:
    """No crash, no violation that the guard counted, no fault of its own in any log."""
    yield from records.problems


RULES: dict[str, Rule] = {
    "answers": answers,
    "time told": told_times,
    "clients gone": clients_gone,
    "drains": drains,
    "overlap": overlaps,
    "attempts": attempts,
    "bookings": bookings,
    "held": held,
    "bad clients": bad_clients,
    "processes": processes,
}


def breaches(records: Records) -> list[str]:
    """Every breach of every rule, each with the rule's name."""
    slack_s = slack_of(records)
    return [
        f"{name}: {breach}" for name, rule in RULES.items() for breach in rule(records, slack_s)
    ]
