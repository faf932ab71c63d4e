"""The invariants of one dispatcher: its own record of requests, attempts and servers, checked.

The record follows what is done, not what was meant, and shares no state with the core or the
router: an error there does not blind it. Times are microseconds of the dispatcher's own clock.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxpass.invariants.verdict import ALLOWED, Rule, Verdict
from onyxpass.scheduling import contract

# A process may be held up for so long between reading its clock and writing.
SCHEDULING_DELAY_US = 150_000
CLIENT_GONE_GRACE_US = 100_000  # after a client's close, in which a send may still begin
MAX_REMOVED_SERVERS = 1_000  # whose drain is remembered
TIMEOUT_SLACK_US = 150_000  # by which the timeout sent to a server may pass what is left


@dataclass(slots=True)
class _SentAttempt:
    server: str
    endpoint: contract.Endpoint | None
    sent_us: int
    generates: bool
    in_flight: bool = True
    may_have_run: bool = False


@dataclass(slots=True)
class _RequestRecord:
    deadline_us: int
    traffic_class: contract.TrafficClass | None
    sent: dict[int, _SentAttempt] = field(default_factory=dict)
    answered: bool = False
    committed: int | None = None  # the attempt whose stream the client has
    client_left_us: int | None = None  # when its client was found to have left

    @property
    def idempotency(self) -> contract.Idempotency:
        """How often the request may run; one of an unknown class only once."""
        if self.traffic_class is None:
            return contract.Idempotency.NONE
        return self.traffic_class.idempotency


class _Violation(NamedTuple):
    rule: Rule
    detail: str


class _Send(NamedTuple):
    """An attempt whose first byte is about to go out."""

    attempt: int
    server: str
    generates: bool
    timeout_us: int
    now_us: int


class InvariantChecker:
    """``violations``: how often each rule would have been violated, or was."""

    def __init__(self, settings: contract.Settings) -> None:
        self.violations: Counter[Rule] = Counter()
        self._requests: dict[str, _RequestRecord] = {}
        self._servers: dict[str, contract.Endpoint] = {}
        # servers that take nothing new, and since when that is known; the oldest first
        self._draining_since_us: dict[str, int] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: contract.Settings) -> None:
        """Use new settings, for requests that are taken from now on."""
        self._settings = settings
        self._classes = {traffic_class.name: traffic_class for traffic_class in settings.classes}

    # What has happened

    def record_request(self, request: str, traffic_class: str, deadline_us: int) -> None:
        """Record that a client's request was taken on."""
        self._requests[request] = _RequestRecord(deadline_us, self._classes.get(traffic_class))

    def record_removal(self, request: str) -> None:
        """Record that the request is finished, and nothing of it is in flight."""
        self._requests.pop(request, None)

    def record_client_disconnect(self, request: str, now_us: int) -> None:
        """Record that the request's client was found to have left."""
        record = self._requests.get(request)
        if record is not None and record.client_left_us is None:
            record.client_left_us = now_us

    def record_attempt_end(
        self, request: str, attempt: int, status: contract.AttemptStatus
    ) -> None:
        """Record how an attempt ended; one that was never sent is ignored."""
        record = self._requests.get(request)
        if record is not None and (sent := record.sent.get(attempt)) is not None:
            sent.in_flight = False
            sent.may_have_run = status.may_have_run

    def record_adopted_stream(
        self, request: str, traffic_class: str, attempt: int, server: str, now_us: int
    ) -> None:
        """Record that a stream goes on here which another process had begun."""
        record = _RequestRecord(now_us, self._classes.get(traffic_class), committed=attempt)
        record.sent[attempt] = _SentAttempt(server, self._servers.get(server), now_us, True)
        self._requests[request] = record

    def record_endpoints(
        self, servers: Iterable[contract.Endpoint], complete: bool, now_us: int
    ) -> None:
        """Record an endpoint update; ``complete``: what it does not name has been removed."""
        if complete:
            named = {server.id: server for server in servers}
            self._mark_draining(self._servers.keys() - named.keys(), now_us)
            self._servers = {}
            servers = named.values()
        for server in servers:
            if server.condition is contract.EndpointCondition.UP:
                self._draining_since_us.pop(server.id, None)
            else:
                self._draining_since_us.setdefault(server.id, now_us)
            if server.condition is contract.EndpointCondition.REMOVED:
                self._servers.pop(server.id, None)
            else:
                self._servers[server.id] = server
        while len(self._draining_since_us) > len(self._servers) + MAX_REMOVED_SERVERS:
            del self._draining_since_us[next(iter(self._draining_since_us))]

    def _mark_draining(self, names: Iterable[str], now_us: int) -> None:
        for name in names:
            self._draining_since_us.setdefault(name, now_us)

    # What is about to happen

    def check_send(
        self,
        request: str,
        attempt: int,
        server: str,
        generates: bool,
        timeout_us: int,
        now_us: int,
    ) -> Verdict:
        """Check the first byte of an attempt, whether a first one, a retry or a hedge.

        ``generates``: whether the server may begin on an answer. ``timeout_us``: the time that is
        sent to it.
        """
        record = self._requests.get(request)
        if record is None:
            return self._violated(Rule.UNKNOWN_REQUEST, f"attempt {attempt}")
        send = _Send(attempt, server, generates, timeout_us, now_us)
        violation = (
            self._request_violation(record, send)
            or _time_violation(record, send)
            or self._server_violation(record, send)
        )
        if violation is not None:
            return self._violated(*violation)
        record.sent[attempt] = _SentAttempt(server, self._servers.get(server), now_us, generates)
        return ALLOWED

    def check_commit(self, request: str, attempt: int) -> Verdict:
        """Check the first event of an attempt, which is about to be the client's."""
        record = self._requests.get(request)
        if record is None:
            return self._violated(Rule.UNKNOWN_REQUEST, f"attempt {attempt}")
        if record.answered:
            return self._violated(Rule.ONE_ANSWER, "it has been answered")
        if record.committed is not None and record.committed != attempt:
            return self._violated(Rule.COMMITTED, f"attempt {record.committed} streams")
        record.committed = attempt
        return ALLOWED

    def check_answer(self, request: str, rejection: bool = False) -> Verdict:
        """Check a final answer; ``rejection``: one that promises that nothing has run."""
        record = self._requests.get(request)
        if record is None:
            return self._violated(Rule.UNKNOWN_REQUEST, "an answer")
        if record.answered:
            return self._violated(Rule.ONE_ANSWER, "it has been answered")
        if rejection and _may_have_run(record):
            return self._violated(Rule.REFUSAL, "an attempt may have run")
        record.answered = True
        return ALLOWED

    def check_close(self, unanswered: bool) -> Verdict:
        """Check that a client's connection may be closed by us.

        ``unanswered``: a request that was read on it has had no answer, and its client has not
        left.
        """
        return self._violated(Rule.UNANSWERED, "") if unanswered else ALLOWED

    def _request_violation(self, record: _RequestRecord, send: _Send) -> _Violation | None:
        if record.committed is not None:
            return _Violation(Rule.COMMITTED, f"attempt {record.committed} streams")
        if record.answered:
            return _Violation(Rule.ONE_ANSWER, "it has been answered")
        for number, sent in record.sent.items():
            if sent.in_flight:
                return _Violation(Rule.ONE_OUT, f"attempt {number} is out at {sent.server}")
        if send.attempt in record.sent or len(record.sent) >= self._settings.max_attempts:
            return _Violation(Rule.ATTEMPTS, f"{len(record.sent)} were sent")
        return None

    def _server_violation(self, record: _RequestRecord, send: _Send) -> _Violation | None:
        since_us = self._draining_since_us.get(send.server)
        limit_us = self._settings.drain_grace_us - SCHEDULING_DELAY_US
        if since_us is not None and send.now_us - since_us > limit_us:
            return _Violation(Rule.DRAINED, f"told {send.now_us - since_us} us ago")
        if send.generates and not self._may_run_again(record, send):
            return _Violation(Rule.RUN_ONCE, "an attempt before it may have run")
        return None

    def _may_run_again(self, record: _RequestRecord, send: _Send) -> bool:
        ran = [sent for sent in record.sent.values() if sent.generates and sent.may_have_run]
        if not ran or record.idempotency is contract.Idempotency.IDEMPOTENT:
            return True
        traffic_class = record.traffic_class
        if traffic_class is None or record.idempotency is contract.Idempotency.NONE:
            return False
        window_us = traffic_class.deduplication_window_us + SCHEDULING_DELAY_US
        if send.now_us >= ran[0].sent_us + window_us:
            return False
        scope = traffic_class.deduplication_scope
        if scope is contract.DeduplicationScope.ALL:
            return True
        here = self._servers.get(send.server)
        return here is not None and all(
            sent.endpoint is not None and scope.covers_both(here, sent.endpoint) for sent in ran
        )

    def _violated(self, rule: Rule, detail: str) -> Verdict:
        self.violations[rule] += 1
        return Verdict(rule, detail)


def _time_violation(record: _RequestRecord, send: _Send) -> _Violation | None:
    left_us = record.deadline_us - send.now_us
    if left_us < -SCHEDULING_DELAY_US:
        return _Violation(Rule.DEADLINE, f"{-left_us} us past it")
    if send.timeout_us > max(0, left_us) + TIMEOUT_SLACK_US:
        return _Violation(Rule.TIME_TOLD, f"{send.timeout_us} us with {left_us} us left")
    if record.client_left_us is not None:
        gone_for_us = send.now_us - record.client_left_us
        if gone_for_us > CLIENT_GONE_GRACE_US:
            return _Violation(Rule.CLIENT_GONE, f"{gone_for_us} us ago")
    return None


def _may_have_run(record: _RequestRecord) -> bool:
    traffic_class = record.traffic_class
    if traffic_class is not None and traffic_class.deduplicated_everywhere:
        return False
    if record.idempotency is contract.Idempotency.IDEMPOTENT:
        return False
    return any(
        sent.generates and (sent.in_flight or sent.may_have_run) for sent in record.sent.values()
    )
