"""Parts of the fleet commands and agents in isolation: orders, selectors, files, drains, lifecycles,
digests and trace checkers.
"""

import asyncio
import json
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from onyxpass.admin.drain import Drain, DrainPhase, DrainStep, OpenRequests
from onyxpass.admin.running_configuration import (
    classify_changes,
    is_reloadable_setting,
    settings_values,
    table_digest,
    with_reloaded_keys,
)
from onyxpass.agent.agent_clock import AgentClock
from onyxpass.agent.credentials import is_authorized, make_key, read_key
from onyxpass.agent.lifecycle import InstanceState, Launch, Lifecycle, RestartPolicy, Terminate
from onyxpass.agent.rollout_locks import RolloutLockManager
from onyxpass.config.platform_file import ConfigError
from onyxpass.config.toml_config import schema_text
from onyxpass.fleet import config as fleet_config
from onyxpass.fleet.cli import fleet_app
from onyxpass.fleet.order_exchange import (
    BackOff,
    CallKind,
    ExchangeEnded,
    OrderExchange,
    PollOperation,
    SendOrder,
)
from onyxpass.fleet.outcome import (
    ExitCode,
    OutcomeKind,
    OutcomeTally,
    done,
    failed,
    not_tried,
    unknown,
)
from onyxpass.fleet.selector import SelectorError, parse, select
from onyxpass.history_checkers.trace import EventKind, Trace, breaches
from onyxpass.scheduling import contract
from onyxpass.testbed.replicas import PrefillStates, Speed, StandinReplica

ROOT = Path(__file__).parent.parent
FLEET = """name = "f"
key = "k"
[limits]
out = "50%"
[[halls]]
name = "derby"
keep = "50%"
[[halls]]
name = "boa-vista"
[[agents]]
host = "d1"
hall = "derby"
address = "127.0.0.1:7501"
[[agents.instances]]
name = "derby-1"
labels = { front = "http" }
[[agents.instances]]
name = "derby-2"
[[agents]]
host = "b1"
hall = "boa-vista"
address = "127.0.0.1:7502"
[[agents.instances]]
name = "boa-1"
"""


# Orders

RUNNING_OPERATION = {"state": "running"}


def test_unsent_order_has_failed_and_one_that_may_have_arrived_is_unknown() -> None:
    exchange = OrderExchange(0.0, 10.0)
    assert isinstance(exchange.next(0.0), SendOrder)
    exchange.on_not_sent("refused")
    assert isinstance(exchange.next(0.0), BackOff) and isinstance(exchange.next(1.0), SendOrder)
    assert exchange.next(10.0) == ExchangeEnded(failed("nothing was sent: refused"))
    exchange.on_no_answer("silent")
    assert isinstance(exchange.next(2.0), BackOff) and isinstance(exchange.next(3.0), PollOperation)
    end = exchange.next(10.0)
    assert isinstance(end, ExchangeEnded) and end.outcome.kind is OutcomeKind.UNKNOWN


def test_order_is_sent_again_if_the_agent_never_had_it_and_polled_otherwise() -> None:
    exchange = OrderExchange(0.0, 10.0)
    exchange.on_no_answer("silent")
    exchange.next(0.0)
    assert exchange.on_answer(CallKind.POLL, 404, {"error": "no such operation"}) is None
    assert isinstance(exchange.next(1.0), SendOrder)
    assert exchange.on_answer(CallKind.ORDER, 202, RUNNING_OPERATION) is None
    assert isinstance(exchange.next(1.0), PollOperation)
    exchange.on_not_sent("refused")  # a poll that was not sent says nothing about the order
    exchange.next(2.0)
    assert isinstance(exchange.next(3.0), PollOperation)
    assert exchange.on_answer(
        CallKind.POLL, 200, {"state": "done", "detail": {"cut": 2, "forced": True}}
    ) == done("forced: 2 cut short")
    assert exchange.on_answer(
        CallKind.POLL, 200, {"state": "unknown", "reason": "the agent ended"}
    ) == unknown("the agent ended")


def test_rejected_order_has_failed_unless_it_may_have_arrived_before() -> None:
    assert OrderExchange(0.0, 9.0).on_answer(CallKind.ORDER, 401, {"error": "the key"}) == failed(
        "the key"
    )
    exchange = OrderExchange(0.0, 9.0)
    exchange.on_no_answer("silent")
    outcome = exchange.on_answer(CallKind.POLL, 401, {"error": "the key"})
    assert outcome is not None and outcome.kind is OutcomeKind.UNKNOWN
    busy = OrderExchange(0.0, 9.0)
    assert busy.on_answer(CallKind.ORDER, 409, {"error": "busy", "operation": {}}) is None
    assert isinstance(busy.next(0.0), BackOff) and isinstance(busy.next(1.0), SendOrder)


def test_an_order_that_came_too_late_is_sent_again_and_one_without_a_lease_is_not() -> None:
    exchange = OrderExchange(0.0, 9.0)
    assert exchange.on_answer(CallKind.ORDER, 409, {"error": "late", "expired": True}) is None
    assert isinstance(exchange.next(0.0), BackOff) and isinstance(exchange.next(1.0), SendOrder)
    assert exchange.on_lease_lost().kind is OutcomeKind.FAILED


def test_a_time_of_an_agents_clock_has_passed_at_its_end_and_for_every_other_agent() -> None:
    clock, other = AgentClock(), AgentClock()
    later = replace(clock.now(), at_ms=clock.now().at_ms + 60_000)
    assert not clock.has_passed(later)
    assert clock.has_passed(clock.now())
    assert other.has_passed(later)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(("not sent", "no answer", "404", "running", "500", "busy")), max_size=40
    )
)
def test_exchange_always_ends_and_never_reports_failed_if_the_order_may_have_arrived(
    call_results: list[str],
) -> None:
    exchange, now_s, may_have_arrived = OrderExchange(0.0, 20.0), 0.0, False
    for result in [*call_results, *["no answer"] * 60]:
        step = exchange.next(now_s)
        if isinstance(step, ExchangeEnded):
            assert now_s <= 20.0 + 5.0 + 2.0
            assert step.outcome.kind is (
                OutcomeKind.UNKNOWN if may_have_arrived else OutcomeKind.FAILED
            )
            return
        if isinstance(step, BackOff):
            now_s += step.delay_s
            continue
        now_s += 0.5
        call = CallKind.POLL if isinstance(step, PollOperation) else CallKind.ORDER
        match result:
            case "not sent":
                exchange.on_not_sent(result)
            case "no answer":
                may_have_arrived = True
                exchange.on_no_answer(result)
            case "404" if call is CallKind.POLL:
                may_have_arrived = False
                exchange.on_answer(CallKind.POLL, 404, {})
            case "running":
                may_have_arrived = True
                exchange.on_answer(call, 202, RUNNING_OPERATION)
            case "500":
                may_have_arrived = True
                exchange.on_answer(call, 500, {})
            case _:
                exchange.on_answer(call, 409, {"operation": {}})
    raise AssertionError("the exchange never ended")


@given(
    st.lists(st.sampled_from((done(), failed("x"), unknown("y"), not_tried("z"), None)), min_size=1)
)
@settings(derandomize=True)
def test_outcomes_add_up_to_the_selected_instances(outcomes: list[object]) -> None:
    tally = OutcomeTally(str(n) for n in range(len(outcomes)))
    for n, outcome in enumerate(outcomes):
        if outcome is not None:
            tally.settle(str(n), outcome)  # type: ignore[arg-type]
    assert sum(tally.counts().values()) == len(outcomes)
    assert (tally.exit_code() is ExitCode.DONE) == (tally.counts()["done"] == len(outcomes))
    with pytest.raises(KeyError):
        tally.settle("nobody", done())


# Files and selectors


def write_fleet_file(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("old", "new", "line", "why"),
    [
        ('out = "50%"', 'out = "150%"', 4, "limits.out"),
        ('out = "50%"', "outt = 3", 4, "did you mean 'out'"),
        ('hall = "boa-vista"', 'hall = "boa-vsta"', 21, "did you mean 'boa-vista'"),
        ('name = "derby-2"', 'name = "derby-1"', 18, "twice"),
        ('address = "127.0.0.1:7502"', 'address = "127.0.0.1"', 22, "not an address"),
        ('keep = "50%"', "keep = 9", 7, "is to keep 9 of 2"),
        ('name = "boa-1"', 'name = "boa-1"\ncapacity = nan', 25, "capacity"),
        ("[[halls]]", "[[halls]", 5, ""),
        ('labels = { front = "http" }', "labels = 3", 16, "labels"),
    ],
)
def test_invalid_fleet_file_gives_one_error_line_with_its_position_and_exit_code_2(
    tmp_path: Path, old: str, new: str, line: int, why: str
) -> None:
    path = write_fleet_file(tmp_path, FLEET.replace(old, new, 1))
    result = CliRunner().invoke(fleet_app, ["check", "--fleet", str(path)])
    assert result.exit_code == 2 and result.output.count("\n") == 1 and why in result.output
    assert f"{path}:{line}:" in result.output


def test_selectors_select_members_and_report_faults(tmp_path: Path) -> None:
    members = fleet_config.load(write_fleet_file(tmp_path, FLEET)).members

    def names(*patterns: str, where: str = "") -> list[str]:
        return [member.name for member in select(members, patterns, where)]

    assert names() == ["derby-1", "derby-2", "boa-1"]
    assert names("*-1", where="hall=derby|boa-vista") == ["derby-1", "boa-1"]
    assert names(where="label.front!=http, host=d*") == ["derby-2"]
    for where, why in (
        ("hal=derby", "did you mean 'hall'"),
        ("hall=derby,name", "column 12"),
        ("hall=", "empty value"),
        ("hall=nowhere", "no instance is selected"),
    ):
        with pytest.raises(SelectorError, match=why):
            select(members, (), where)
    with pytest.raises(SelectorError, match="did you mean 'derby-1'"):
        names("derby-11")
    assert parse("host!=a|b")[0].negated


def test_the_published_schemas_are_those_of_the_code() -> None:
    from onyxpass.agent.config import AgentFile

    for name, model, title in (
        ("fleet", fleet_config.FleetFile, "onyxpass fleet file"),
        ("agent", AgentFile, "onyxpass agent file"),
    ):
        published = (ROOT / "docs" / "schemas" / f"{name}.schema.json").read_text()
        assert published == schema_text(model, title)
        assert json.loads(published)["additionalProperties"] is False
    assert fleet_config.load(ROOT / "deploy" / "fleet.toml").members


def test_key_file_must_be_accessible_to_its_owner_only(tmp_path: Path) -> None:
    path = tmp_path / "key"
    make_key(path)
    key = read_key(path)
    assert (
        is_authorized(b"Bearer " + key.encode(), key)
        and not is_authorized(b"Bearer x", key)
        and not is_authorized(None, key)
    )
    with pytest.raises(FileExistsError):
        make_key(path)
    path.chmod(0o640)
    with pytest.raises(ConfigError, match="chmod 600"):
        read_key(path)
    path.chmod(0o600)
    path.write_text("short\n")
    with pytest.raises(ConfigError, match="16 or more"):
        read_key(path)


# Reloads, drains and lifecycles


def test_reload_applies_reloadable_keys_and_names_those_that_need_a_restart() -> None:
    changed = replace(
        SETTINGS,
        max_retry_after_us=7,
        routers=9,
        classes=(
            replace(
                SETTINGS.classes[0], latency_objective_us=1, idempotency=contract.Idempotency.NONE
            ),
            *SETTINGS.classes[1:],
        ),
    )
    old, new = settings_values(SETTINGS), settings_values(changed)
    change = classify_changes(old, new, is_reloadable_setting)
    assert change.applied == ("class.light.aim_us", "settings.max_retry_after_us")
    assert change.needs_restart == ("class.light.repeat", "settings.routers")
    assert change.digest not in (table_digest(old), table_digest(new)), (
        "a partly applied change has a digest of its own"
    )
    assert settings_values(with_reloaded_keys(SETTINGS, changed)) == change.values
    fewer = replace(changed, classes=changed.classes[1:])
    assert not [
        key
        for key in classify_changes(old, settings_values(fewer), is_reloadable_setting).applied
        if "class" in key
    ]
    assert classify_changes(
        old, dict(reversed(old.items())), is_reloadable_setting
    ).digest == table_digest(old)


def test_drain_ends_with_the_last_answer_and_only_force_aborts_open_requests() -> None:
    drain, busy, idle = Drain(), OpenRequests(2, 1), OpenRequests(0, 0)
    drain.start(0, deadline_us=10, force=False, notice_us=2)
    assert drain.advance(1, idle) == () and drain.phase is DrainPhase.NOTICE
    assert drain.advance(2, busy) == (DrainStep.REJECT_NEW,)
    drain.start(3, deadline_us=7, force=False, notice_us=2)
    assert drain.phase is DrainPhase.DRAINING, "a second order starts no second notice period"
    assert drain.advance(9, busy) == () and not drain.deadline_passed
    assert (
        drain.advance(10, busy) == ()
        and drain.deadline_passed
        and drain.phase is DrainPhase.DRAINING
    )
    drain.start(11, deadline_us=1, force=True)
    assert drain.advance(12, busy) == (DrainStep.ABORT_OPEN,) and drain.aborted_requests == 2
    assert drain.advance(13, busy) == (), "open requests are aborted once"
    assert (
        drain.advance(14, idle) == ()
        and drain.phase is DrainPhase.DRAINED
        and drain.to_dict(14, idle)["cut"] == 2
    )
    assert drain.cancel() and drain.phase is DrainPhase.SERVING and not drain.cancel()


LIFECYCLE_EVENT = st.sampled_from(
    ("start", "stop", "want", "restart", "exit", "due", "launched", "hung", "fine")
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(LIFECYCLE_EVENT, max_size=40))
def test_lifecycle_never_has_two_processes_and_never_forgets_a_wanted_one(
    events: list[str],
) -> None:
    lifecycle, running, now_s, ending = Lifecycle(RestartPolicy()), 0, 0.0, False
    for event in events:
        now_s += 3.0
        match event:
            case "start":
                actions = lifecycle.start(now_s)
            case "stop" | "want":
                actions = lifecycle.set_wanted(now_s, event == "want")
            case "restart":
                actions = lifecycle.restart(now_s)
            case "exit" if running:
                running, ending = 0, False
                actions = lifecycle.exited(now_s, 1)
            case "due":
                actions = lifecycle.backoff_elapsed(now_s, lifecycle.state_sequence)
            case "hung" | "fine":
                actions = lifecycle.checked(now_s, event == "fine")
            case _:
                actions = []
        for action in actions:
            if isinstance(action, Launch):
                assert running == 0
                running = 1
                for action_at_launch in lifecycle.launched(now_s):
                    ending = ending or isinstance(action_at_launch, Terminate)
            elif isinstance(action, Terminate):
                assert running == 1 and not ending
                ending = True
        assert lifecycle.has_process == (running == 1)
        if not lifecycle.wanted:
            assert ending or not running
        elif not running:
            assert lifecycle.state in (InstanceState.NEW, InstanceState.WAITING)


def test_one_rollout_locks_an_agent_until_it_releases_the_lock_or_the_lock_expires() -> None:
    locks = RolloutLockManager()
    assert locks.acquire("r1", "ana", 10, 0.0).rollout == "r1"
    assert (
        locks.acquire("r2", "rui", 10, 5.0).holder == "ana"
        and locks.conflicting("", 5.0) is not None
    )
    assert (
        locks.acquire("r1", "eva", 10, 6.0).holder == "eva" and locks.conflicting("r1", 6.0) is None
    )
    assert not locks.release("r2", 7.0) and locks.current(16.0) is None
    assert locks.acquire("r2", "rui", 10, 17.0).rollout == "r2" and locks.release("r2", 18.0)


# Trace checkers


def valid_trace() -> Trace:
    trace = Trace(classes={"a": "part-lookup", "b": "stock-booking"})
    for request in ("a", "b"):
        trace.record(EventKind.SENT, request)
        trace.record(EventKind.RECEIVED, request, "reader-1", "read")
        trace.record(EventKind.HELD, request, "reader-1")
        trace.record(EventKind.CLOSED, request, "reader-1")
        trace.record(EventKind.RECEIVED, request, "writer-1", "write")
        trace.record(EventKind.RELEASED, request, "writer-1")
        trace.record(EventKind.RAN, request, "writer-1", "write")
        trace.record(EventKind.CLOSED, request, "writer-1")
        trace.record(EventKind.ANSWERED, request, detail="served")
    return trace


def put_after(
    trace: Trace,
    seconds: float,
    what: EventKind,
    request: str = "",
    server: str = "",
    detail: str = "",
) -> None:
    trace.record(what, request, server, detail)
    trace.events[-1] = replace(trace.events[-1], at_s=trace.events[-2].at_s + seconds)


def test_each_checker_reports_its_planted_violation_and_none_in_a_valid_trace() -> None:
    assert breaches(valid_trace()) == []
    violations: dict[str, list[tuple[float, EventKind, str, str, str]]] = {
        "one final answer": [(0, EventKind.ANSWERED, "a", "", "failed")],
        "no overlap": [
            (0, EventKind.RECEIVED, "a", "writer-1", "write"),
            (0, EventKind.RECEIVED, "a", "writer-2", "write"),
            (1, EventKind.CLOSED, "a", "writer-1", ""),
            (0, EventKind.CLOSED, "a", "writer-2", ""),
        ],
        "attempts": [
            (0, what, "a", "writer-1", "")
            for _ in range(3)
            for what in (EventKind.RECEIVED, EventKind.CLOSED)
        ],
        "bookings once": [(0, EventKind.RAN, "b", "writer-2", "write")],
        "drains": [
            (0, EventKind.DRAIN_ANNOUNCED, "", "reader-1", ""),
            (1.2, EventKind.RECEIVED, "c", "reader-1", "read"),
            (0, EventKind.CLOSED, "c", "reader-1", ""),
        ],
        "held": [
            (0, EventKind.HELD, "c", "reader-1", ""),
            (1, EventKind.RECEIVED, "c", "writer-1", ""),
        ],
    }
    for rule, events in violations.items():
        trace = valid_trace()
        for seconds, what, request, server, detail in events:
            put_after(trace, seconds, what, request, server, detail)
        found = breaches(trace)
        assert found and all(breach.startswith(rule) for breach in found), (rule, found)
    refused = valid_trace()
    refused.events[-1] = replace(refused.events[-1], detail="refused")
    assert [breach.partition(":")[0] for breach in breaches(refused)] == ["refusals"]


def test_standin_records_the_end_of_an_attempt_before_its_answer_can_be_read() -> None:
    """Otherwise the next attempt may be counted while this one is still open.

    That happened next to eight busy processes.
    """

    async def scenario() -> None:
        trace, states = Trace(), PrefillStates()
        for role, ends in (("read", b"}"), ("write", b"0\r\n\r\n")):
            replica = StandinReplica(f"{role}r", role, trace, states, Speed(0.0, 0.0, 0.0))
            await replica.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", replica.port)
            head = "POST / HTTP/1.1\r\nhost: x\r\nx-request-id: a1\r\ncontent-length: 2\r\n\r\n{}"
            writer.write(head.encode())
            await reader.readuntil(ends)
            assert [e.kind for e in trace.events if e.server == replica.name][
                -1
            ] is EventKind.CLOSED
            writer.close()
            await replica.stop()
        assert (
            len(trace.events_of(EventKind.RECEIVED)) == len(trace.events_of(EventKind.CLOSED)) == 2
        )

    asyncio.run(asyncio.wait_for(scenario(), 20))
