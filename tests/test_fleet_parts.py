"""The fleet tool's decisions one by one: orders, selectors, files, drains, lives, digests,
rules.
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
from onyxpass.admin.running import (
    compare,
    digest_of,
    settings_in_flight,
    settings_values,
    with_reloaded_keys,
)
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
from onyxpass.testbed.replicas import Speed, StandinReplica, States

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

OPERATION = {"state": "running"}


def test_an_order_that_never_left_has_failed_and_one_that_may_have_arrived_is_unknown() -> None:
    talk = OrderExchange(0.0, 10.0)
    assert isinstance(talk.next(0.0), SendOrder)
    talk.on_not_sent("refused")
    assert isinstance(talk.next(0.0), BackOff) and isinstance(talk.next(1.0), SendOrder)
    assert talk.next(10.0) == ExchangeEnded(failed("nothing was sent: refused"))
    talk.on_no_answer("silent")
    assert isinstance(talk.next(2.0), BackOff) and isinstance(talk.next(3.0), PollOperation)
    end = talk.next(10.0)
    assert isinstance(end, ExchangeEnded) and end.outcome.kind is OutcomeKind.UNKNOWN


def test_an_agent_that_never_had_the_order_is_told_again_and_one_that_had_it_is_asked() -> None:
    talk = OrderExchange(0.0, 10.0)
    talk.on_no_answer("silent")
    talk.next(0.0)
    assert talk.on_answer(CallKind.POLL, 404, {"error": "no such operation"}) is None
    assert isinstance(talk.next(1.0), SendOrder)
    assert talk.on_answer(CallKind.ORDER, 202, OPERATION) is None
    assert isinstance(talk.next(1.0), PollOperation)
    talk.on_not_sent("refused")  # a question that did not leave changes nothing of the order
    talk.next(2.0)
    assert isinstance(talk.next(3.0), PollOperation)
    assert talk.on_answer(
        CallKind.POLL, 200, {"state": "done", "detail": {"cut": 2, "forced": True}}
    ) == done("forced: 2 cut short")
    assert talk.on_answer(
        CallKind.POLL, 200, {"state": "unknown", "reason": "the agent ended"}
    ) == unknown("the agent ended")


def test_a_refused_order_has_failed_unless_it_may_have_arrived_before() -> None:
    assert OrderExchange(0.0, 9.0).on_answer(CallKind.ORDER, 401, {"error": "the key"}) == failed(
        "the key"
    )
    talk = OrderExchange(0.0, 9.0)
    talk.on_no_answer("silent")
    found = talk.on_answer(CallKind.POLL, 401, {"error": "the key"})
    assert found is not None and found.kind is OutcomeKind.UNKNOWN
    busy = OrderExchange(0.0, 9.0)
    assert busy.on_answer(CallKind.ORDER, 409, {"error": "busy", "operation": {}}) is None
    assert isinstance(busy.next(0.0), BackOff) and isinstance(busy.next(1.0), SendOrder)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(("not sent", "no answer", "404", "running", "500", "busy")), max_size=40
    )
)
def test_an_order_always_ends_and_never_says_failed_of_what_may_have_arrived(
    words: list[str],
) -> None:
    talk, now_s, arrived = OrderExchange(0.0, 20.0), 0.0, False
    for word in [*words, *["no answer"] * 60]:
        step = talk.next(now_s)
        if isinstance(step, ExchangeEnded):
            assert now_s <= 20.0 + 5.0 + 2.0
            assert step.outcome.kind is (OutcomeKind.UNKNOWN if arrived else OutcomeKind.FAILED)
            return
        if isinstance(step, BackOff):
            now_s += step.delay_s
            continue
        now_s += 0.5
        call = CallKind.POLL if isinstance(step, PollOperation) else CallKind.ORDER
        match word:
            case "not sent":
                talk.on_not_sent(word)
            case "no answer":
                arrived = True
                talk.on_no_answer(word)
            case "404" if call is CallKind.POLL:
                arrived = False
                talk.on_answer(CallKind.POLL, 404, {})
            case "running":
                arrived = True
                talk.on_answer(call, 202, OPERATION)
            case "500":
                arrived = True
                talk.on_answer(call, 500, {})
            case _:
                talk.on_answer(call, 409, {"operation": {}})
    raise AssertionError("it never ended")


@given(
    st.lists(st.sampled_from((done(), failed("x"), unknown("y"), not_tried("z"), None)), min_size=1)
)
@settings(derandomize=True)
def test_outcomes_always_add_up_to_the_selected(ends: list[object]) -> None:
    tally = OutcomeTally(str(n) for n in range(len(ends)))
    for n, end in enumerate(ends):
        if end is not None:
            tally.settle(str(n), end)  # type: ignore[arg-type]
    assert sum(tally.counts().values()) == len(ends)
    assert (tally.exit_code() is ExitCode.DONE) == (tally.counts()["done"] == len(ends))
    with pytest.raises(KeyError):
        tally.settle("nobody", done())


# Files and selectors


def file(tmp_path: Path, text: str) -> Path:
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
def test_a_bad_fleet_file_is_one_line_with_its_place_and_exit_code_2(
    tmp_path: Path, old: str, new: str, line: int, why: str
) -> None:
    path = file(tmp_path, FLEET.replace(old, new, 1))
    run = CliRunner().invoke(fleet_app, ["check", "--fleet", str(path)])
    assert run.exit_code == 2 and run.output.count("\n") == 1 and why in run.output
    assert f"{path}:{line}:" in run.output


def test_selectors_choose_and_faults_in_them_are_named(tmp_path: Path) -> None:
    members = fleet_config.load(file(tmp_path, FLEET)).members

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


def test_a_key_must_be_its_owners_alone(tmp_path: Path) -> None:
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


# What runs, and what a reload takes over


def test_a_reload_takes_what_it_can_and_names_what_needs_a_restart() -> None:
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
    change = compare(old, new, settings_in_flight)
    assert change.applied == ("class.light.aim_us", "settings.max_retry_after_us")
    assert change.needs_restart == ("class.light.repeat", "settings.routers")
    assert change.digest not in (digest_of(old), digest_of(new)), "a mixture is neither"
    assert settings_values(with_reloaded_keys(SETTINGS, changed)) == change.values
    fewer = replace(changed, classes=changed.classes[1:])
    assert not [
        key
        for key in compare(old, settings_values(fewer), settings_in_flight).applied
        if "class" in key
    ]
    assert compare(old, dict(reversed(old.items())), settings_in_flight).digest == digest_of(old)


def test_a_drain_ends_only_with_the_last_answer_and_only_force_cuts_it_short() -> None:
    drain, busy, idle = Drain(), OpenRequests(2, 1), OpenRequests(0, 0)
    drain.order(0, deadline_us=10, force=False, notice_us=2)
    assert drain.look(1, idle) == () and drain.phase is DrainPhase.NOTICE
    assert drain.look(2, busy) == (DrainStep.CLOSE,)
    drain.order(3, deadline_us=7, force=False, notice_us=2)
    assert drain.phase is DrainPhase.DRAINING, "a second order gives no second notice"
    assert drain.look(9, busy) == () and not drain.late
    assert drain.look(10, busy) == () and drain.late and drain.phase is DrainPhase.DRAINING
    drain.order(11, deadline_us=1, force=True)
    assert drain.look(12, busy) == (DrainStep.CUT,) and drain.cut == 2
    assert drain.look(13, busy) == (), "cut once"
    assert (
        drain.look(14, idle) == ()
        and drain.phase is DrainPhase.DRAINED
        and drain.to_dict(14, idle)["cut"] == 2
    )
    assert drain.undo() and drain.phase is DrainPhase.SERVING and not drain.undo()


LIFE = st.sampled_from(
    ("start", "stop", "want", "restart", "exit", "due", "launched", "hung", "fine")
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(LIFE, max_size=40))
def test_no_life_ever_has_two_processes_or_forgets_one_that_is_wanted(words: list[str]) -> None:
    life, running, now_s, ending = Lifecycle(RestartPolicy()), 0, 0.0, False
    for word in words:
        now_s += 3.0
        match word:
            case "start":
                actions = life.start(now_s)
            case "stop" | "want":
                actions = life.set_wanted(now_s, word == "want")
            case "restart":
                actions = life.restart(now_s)
            case "exit" if running:
                running, ending = 0, False
                actions = life.exited(now_s, 1)
            case "due":
                actions = life.backoff_elapsed(now_s, life.state_sequence)
            case "hung" | "fine":
                actions = life.checked(now_s, word == "fine")
            case _:
                actions = []
        for action in actions:
            if isinstance(action, Launch):
                assert running == 0
                running = 1
                for more in life.launched(now_s):
                    ending = ending or isinstance(more, Terminate)
            elif isinstance(action, Terminate):
                assert running == 1 and not ending
                ending = True
        assert life.has_process == (running == 1)
        if not life.wanted:
            assert ending or not running
        elif not running:
            assert life.state in (InstanceState.NEW, InstanceState.WAITING)


def test_one_rollout_holds_an_agent_till_it_lets_go_or_is_silent() -> None:
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


# The checkers of the rules: each finds the fault that is planted for it, and nothing in a good
# trace


def good_trace() -> Trace:
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


def after(
    trace: Trace,
    seconds: float,
    what: EventKind,
    request: str = "",
    server: str = "",
    detail: str = "",
) -> None:
    trace.record(what, request, server, detail)
    trace.events[-1] = replace(trace.events[-1], at_s=trace.events[-2].at_s + seconds)


def test_each_checker_finds_the_fault_that_is_planted_for_it() -> None:
    assert breaches(good_trace()) == []
    planted: dict[str, list[tuple[float, EventKind, str, str, str]]] = {
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
    for rule, events in planted.items():
        trace = good_trace()
        for seconds, what, request, server, detail in events:
            after(trace, seconds, what, request, server, detail)
        found = breaches(trace)
        assert found and all(breach.startswith(rule) for breach in found), (rule, found)
    refused = good_trace()
    refused.events[-1] = replace(refused.events[-1], detail="refused")
    assert [breach.partition(":")[0] for breach in breaches(refused)] == ["refusals"]


def test_a_standin_tells_that_an_attempt_is_over_before_its_answer_can_be_read() -> None:
    """Found beside eight busy processes: the next attempt was counted while this one was still
    out.
    """

    async def go() -> None:
        trace, states = Trace(), States()
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

    asyncio.run(asyncio.wait_for(go(), 20))
