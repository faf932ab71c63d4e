"""Rules on the records of a soak. Each rule is a function of the records and yields its breaches.

The docstring of a rule says what the rule excuses and why; docs/design/SOAK.md has the list.
"""

from collections.abc import Callable, Iterable, Iterator

from onyxpass.history_checkers import trace as trace_rules
from onyxpass.history_checkers.trace import EventKind
from onyxpass.soak.clients import STALLED_CLIENT_TIMEOUT_S
from onyxpass.soak.dispatchers import BOOKING_CLASSES
from onyxpass.soak.records import DESCHEDULED, ClientRequest, Records

LATE_ANSWER_MARGIN_S = 0.5  # a late answer is worth nothing; one later than this counts as lost
DISCONNECT_MARGIN_S = 0.1  # for attempts after a client's close
ATTEMPT_TIMEOUT_MARGIN_S = 0.15
# The time allowed for attempts after a dispatcher has learned of a drain, and the time after which
# even a dispatcher whose view of discovery was disturbed has learned of the drain.
DRAIN_GRACE_S, MAX_NOTICE_DELAY_S = 1.0, 6.0
# Disturbances of a dispatcher after which it may have to fetch the endpoint list again.
WATCH_LOSING_CAUSES = (
    "restarted",
    "reloaded",
    "killed",
    "ended by SIGKILL",
    "failed calls",
    "broken calls",
)
Rule = Callable[[Records, float], Iterable[str]]


MIN_TIMING_SLACK_S = 0.1


def timing_slack_s(records: Records) -> float:
    """Return how many seconds this process's own pauses may have added to a recorded time."""
    return MIN_TIMING_SLACK_S + 2 * records.lag_s


def arrival_slack_s(records: Records, start_s: float, end_s: float) -> float:
    """Return how much later than it arrived a message may have been recorded in an interval."""
    return MIN_TIMING_SLACK_S + 2 * records.delivery_delay_s(start_s, end_s)


def dispatcher_killed(records: Records, request: ClientRequest) -> bool:
    """Return whether the request's dispatcher was killed while the request was open.

    A killed process can neither answer the request nor release its held state.
    """
    return records.dispatcher_disturbed(
        request.dispatcher, request.sent_s, request.ended_s + 1.0, "killed"
    )


def dispatcher_descheduled(records: Records, request: ClientRequest) -> bool:
    """Return whether the machine did not run the dispatcher for a time while the request was open.

    A process that does not run cannot meet deadlines. Rules that do not depend on time still apply.
    """
    return records.dispatcher_disturbed(
        request.dispatcher, request.sent_s, request.ended_s + 1.0, DESCHEDULED
    )


def missing_or_late_answers(records: Records, slack_s: float) -> Iterator[str]:
    """Yield requests without one complete answer in time, unless their client disconnected.

    Excused are requests that were never sent, whose dispatcher was killed, or that no process could
    take; late answers of a dispatcher that the machine did not run; connections that forced system
    calls may have broken; new connections that may have been closed to make room for others; and
    streams that a recorded disturbance may have broken.
    """
    for request in records.requests.values():
        if not request.sent_s or request.disconnected_s or dispatcher_killed(records, request):
            continue
        if dispatcher_descheduled(records, request) and request.outcome not in ("broken", "never"):
            continue  # late, but answered
        if records.dispatcher_disturbed(
            request.dispatcher, request.sent_s, request.ended_s, "no process"
        ):
            continue
        took_s = (request.first_event_s if request.events else request.ended_s) - request.sent_s
        if request.outcome == "broken" and records.dispatcher_disturbed(
            request.dispatcher, request.sent_s, request.ended_s, "broken calls"
        ):
            continue  # a forced system call may have broken its connection at the dispatcher
        if _closed_unread(records, request):
            continue
        if request.outcome in ("broken", "never") and not request.events:
            on = "a new" if request.on_new_connection else "a kept"
            where = f"at d{request.dispatcher:02} on {on} connection"
            yield (
                f"{request.request_id}: {request.outcome} with no answer after {took_s:.2f} s "
                f"{where}"
            )
        elif took_s > request.timeout_s + LATE_ANSWER_MARGIN_S + slack_s:
            timeout_s = request.timeout_s
            yield (
                f"{request.request_id}: {request.outcome} after {took_s:.2f} s with a timeout of "
                f"{timeout_s:.2f} s"
            )
        elif request.outcome in ("broken", "never") and not _stream_may_break(records, request):
            yield f"{request.request_id}: its stream broke off, and no disturbance explains it"


def _closed_unread(records: Records, request: ClientRequest) -> bool:
    """Return whether a new connection may have been closed unread to make room for idle ones."""
    return (
        request.outcome == "broken"
        and request.on_new_connection
        and not request.status
        and records.dispatcher_disturbed(
            request.dispatcher, request.sent_s, request.ended_s, "crowd"
        )
    )


def _stream_may_break(records: Records, request: ClientRequest) -> bool:
    """Return whether a recorded disturbance excuses that the request's stream broke off.

    Excuses are a fault of a server that received the request or of the link to it, system calls of
    the dispatcher that were made to fail, and SIGKILL at the end of the dispatcher.
    """
    trace = records.trace
    servers = {
        e.server
        for e in trace.events
        if e.kind is EventKind.RECEIVED and e.request == request.request_id
    }
    if any(records.server_disturbed(server, request.sent_s, request.ended_s) for server in servers):
        return True
    if records.sigkill_may_cut_stream(request.dispatcher, request.sent_s):
        return True
    return records.dispatcher_disturbed(
        request.dispatcher, request.sent_s, request.ended_s, "broken calls"
    )


def excessive_attempt_timeouts(records: Records, _: float) -> Iterator[str]:
    """Yield attempts that gave their replica more time than the client had left.

    What this process itself may have added while the request was open is allowed. Attempts over a
    link that delays are excused, because they arrive later than a network delivers, and so are
    attempts of a dispatcher that the machine did not run.
    """
    for attempt in records.attempt_timeouts:
        request = records.requests.get(attempt.request_id)
        if request is None or not request.sent_s or dispatcher_descheduled(records, request):
            continue
        if records.delivery_delayed(attempt.server, request.sent_s, attempt.at_s):
            continue
        left_s = max(0.0, request.sent_s + request.timeout_s - attempt.at_s)
        slack_s = arrival_slack_s(records, request.sent_s, attempt.at_s)
        if attempt.timeout_s > left_s + ATTEMPT_TIMEOUT_MARGIN_S + slack_s:
            timeout_s = f"{attempt.timeout_s:.3f} s with {left_s:.3f} s left"
            yield f"{attempt.request_id}: {attempt.server} was given {timeout_s}"


def attempts_after_disconnect(records: Records, _: float) -> Iterator[str]:
    """Yield attempts that a server received after their client had disconnected.

    What this process itself may have added since then is allowed. Attempts over a link that delays,
    or by a dispatcher that the machine did not run, are excused.
    """
    for event in records.trace.events_of(EventKind.RECEIVED):
        request = records.requests.get(event.request)
        if (
            request is None
            or not request.disconnected_s
            or dispatcher_descheduled(records, request)
            or records.delivery_delayed(event.server, request.sent_s, event.at_s)
        ):
            continue
        slack_s = arrival_slack_s(records, request.disconnected_s, event.at_s)
        if event.at_s > request.disconnected_s + DISCONNECT_MARGIN_S + slack_s:
            late_s = event.at_s - request.disconnected_s
            yield f"{event.request}: at {event.server} {late_s:.2f} s after its client disconnected"


def attempts_after_drain(records: Records, slack_s: float) -> Iterator[str]:
    """Yield attempts that a server received after its drain time.

    The drain time counts from the announcement. If discovery or the dispatcher's watch on it was
    disturbed from 3 s before the announcement on, the dispatcher may learn of the drain up to
    ``MAX_NOTICE_DELAY_S`` after the announcement or the end of discovery's disturbance, whichever
    is later. Attempts over a link that delays, or by a dispatcher that the machine did not run, are
    excused.
    """
    announced_s: dict[str, float] = {}
    for event in records.trace.events_of(EventKind.DRAIN_ANNOUNCED, EventKind.RECEIVED):
        if event.kind is EventKind.DRAIN_ANNOUNCED:
            if event.detail == "up":
                announced_s.pop(event.server, None)
            else:
                announced_s.setdefault(event.server, event.at_s)
            continue
        since_s, request = announced_s.get(event.server), records.requests.get(event.request)
        if (
            since_s is None
            or request is None
            or records.delivery_delayed(event.server, since_s, event.at_s)
        ):
            continue
        if records.dispatcher_disturbed(request.dispatcher, since_s, event.at_s, DESCHEDULED):
            continue
        due_s = since_s + DRAIN_GRACE_S + slack_s
        if any(
            interval.overlaps(since_s - 3.0, event.at_s) for interval in records.discovery_faults
        ) or records.dispatcher_disturbed(
            request.dispatcher, since_s - 3.0, event.at_s, *WATCH_LOSING_CAUSES
        ):
            ends = [
                interval.end_s
                for interval in records.discovery_faults
                if interval.overlaps(since_s - 3.0, event.at_s)
            ]
            due_s = max([since_s, *ends]) + MAX_NOTICE_DELAY_S + DRAIN_GRACE_S + slack_s
        if event.at_s > due_s:
            late_s = event.at_s - since_s
            yield f"{event.request}: at {event.server} {late_s:.2f} s after its drain was announced"


def overlapping_attempts(records: Records, slack_s: float) -> Iterator[str]:
    """Yield attempts that a server received while another attempt of their request was open.

    Excused are requests whose dispatcher was killed, and attempts where the link to either server
    delayed or was cut: a close then arrives late, and an attempt that was closed before the other
    one began may still arrive.
    """
    for breach in trace_rules.overlapping_attempts(records.trace, slack_s):
        request_id, _, servers = breach.partition(":")
        later, _, first = servers.removeprefix(" sent to ").partition(" while still open at ")
        request = records.requests.get(request_id)
        start_s, end_s = (request.sent_s, request.ended_s) if request else (0.0, float("inf"))
        if request is not None and dispatcher_killed(records, request):
            continue
        if not any(
            records.delivery_delayed(server, start_s - 1.0, end_s + 1.0)
            for server in (first.partition(",")[0], later)
        ):
            yield breach


def overlong_holds(records: Records, slack_s: float) -> Iterator[str]:
    """Yield requests whose held state was not used or released in time.

    A dispatcher that was killed is excused. Where the holder was restarted or the link to it was
    disturbed, the answer to the prefill may have been lost or late: for the dispatcher the attempt
    is then still open, however long ago the server ended it. In that case, and where the machine
    did not run the dispatcher, only state that is never released counts.
    """
    never_released = {
        request_id for request_id, released_s in _last_releases(records).items() if not released_s
    }
    for breach in trace_rules.overlong_holds(records.trace, 0.3 + slack_s):
        request_id = breach.partition(":")[0]
        request = records.requests.get(request_id)
        if request is None or dispatcher_killed(records, request):
            continue
        late_excused = _prefill_answer_lost(records, request) or dispatcher_descheduled(
            records, request
        )
        if request_id in never_released or not late_excused:
            yield breach


def _last_releases(records: Records) -> dict[str, float]:
    """Return when each held state was last released, by request; 0 if it is still held."""
    found: dict[str, float] = {}
    for event in records.trace.events_of(EventKind.HELD, EventKind.RELEASED):
        found[event.request] = event.at_s if event.kind is EventKind.RELEASED else 0.0
    return found


def _prefill_answer_lost(records: Records, request: ClientRequest) -> bool:
    holders = {
        e.server for e in records.trace.events_of(EventKind.HELD) if e.request == request.request_id
    }
    return any(
        records.may_lose_answers(name, request.sent_s, request.ended_s + 1.0) for name in holders
    )


def wrong_booking_runs(records: Records, _: float) -> Iterator[str]:
    """Yield bookings that ran twice, and refused bookings that ran.

    Excused are bookings whose dispatcher was killed and whose client then sent them again on a new
    connection: the next process knows nothing of the first send.
    """
    found = [
        *trace_rules.repeated_bookings(records.trace, BOOKING_CLASSES),
        *trace_rules.executed_refusals(records.trace, BOOKING_CLASSES),
    ]
    for breach in found:
        request = records.requests.get(breach.partition(":")[0])
        if request is None or not (request.resent and dispatcher_killed(records, request)):
            yield breach


def excess_attempts(records: Records, _: float) -> Iterator[str]:
    """Yield requests with more attempts than the settings allow."""
    yield from trace_rules.excess_attempts(records.trace)


def lingering_stalled_clients(records: Records, slack_s: float) -> Iterator[str]:
    """Yield clients that stalled and whose connections were not closed in time.

    While no process accepts from an inherited socket, nobody can close its connections, so that
    time does not count. Clients of a dispatcher that the machine did not run are excused.
    """
    for client in records.stalled_clients:
        after_s = client.ended_s - client.began_s
        if records.dispatcher_disturbed(
            client.dispatcher, client.began_s, client.ended_s, DESCHEDULED
        ):
            continue
        unserved_s = records.unserved_s(client.dispatcher, client.began_s, client.ended_s)
        if after_s > STALLED_CLIENT_TIMEOUT_S + unserved_s + slack_s:
            yield f"a client that {client.behavior} was closed after {after_s:.2f} s"


def process_problems(records: Records, _: float) -> Iterator[str]:
    """Yield crashes, invariant violations and internal errors of the dispatcher processes."""
    yield from records.problems


RULES: dict[str, Rule] = {
    "answers": missing_or_late_answers,
    "time told": excessive_attempt_timeouts,
    "clients gone": attempts_after_disconnect,
    "drains": attempts_after_drain,
    "overlap": overlapping_attempts,
    "attempts": excess_attempts,
    "bookings": wrong_booking_runs,
    "held": overlong_holds,
    "bad clients": lingering_stalled_clients,
    "processes": process_problems,
}


def breaches(records: Records) -> list[str]:
    """Return every breach of every rule, each prefixed with the name of its rule."""
    slack_s = timing_slack_s(records)
    return [
        f"{name}: {breach}" for name, rule in RULES.items() for breach in rule(records, slack_s)
    ]
