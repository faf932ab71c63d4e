"""Timeliness of completed answers and its counters, the cancellation budget of many routers, byte
order marks and missing extras.
"""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import CLASSES, RouterDriver, make_endpoints
from test_program import ROOT

from onyxpass.config import toml_config
from onyxpass.config.platform_file import ConfigError
from onyxpass.core.answer_value import Assessment, Timeliness, assess, mean_token_us
from onyxpass.net.event_stream import EventSplitter
from onyxpass.optional_dependencies import EXTRAS
from onyxpass.scheduling import attempt_timeouts, contract
from onyxpass.scheduling.contract import AttemptStatus
from tests.support.dispatcher_bed import DispatcherBed

TRAFFIC_CLASS = contract.TrafficClass(
    "a", 1_000_000, 4_000_000, token_objective_us=60_000, latency_objective_us_per_1k_tokens=100_000
)


@pytest.mark.parametrize(
    ("prompt", "first_us", "token_us", "timeliness", "cause"),
    [
        (0, 1_000_000, 60_000, Timeliness.IN_TIME, ""),
        (0, 1_000_001, 60_000, Timeliness.LATE, "first"),
        (2_000, 1_200_000, 60_000, Timeliness.IN_TIME, ""),
        (2_000, 1_200_001, 60_000, Timeliness.LATE, "first"),
        (0, 4_000_001, 0, Timeliness.WORTHLESS, "first"),
        (2_000, 4_400_000, 0, Timeliness.LATE, "first"),
        (2_000, 4_400_001, 0, Timeliness.WORTHLESS, "first"),
        (0, 0, 60_001, Timeliness.LATE, "pace"),
        (0, 0, 120_001, Timeliness.WORTHLESS, "pace"),
        (0, 2_000_000, 120_001, Timeliness.WORTHLESS, "pace"),
    ],
)
def test_objectives_and_deadlines_grow_with_the_prompt(
    prompt: int, first_us: int, token_us: int, timeliness: Timeliness, cause: str
) -> None:
    assert assess(TRAFFIC_CLASS, prompt, first_us, token_us) == Assessment(timeliness, cause)


def test_any_pace_is_in_time_without_a_token_objective() -> None:
    assert assess(contract.TrafficClass("a", 1, 2), 0, 0, 10**9).timeliness is Timeliness.IN_TIME
    assert (mean_token_us(900_000, 10), mean_token_us(900_000, 1), mean_token_us(900_000, 0)) == (
        100_000,
        0,
        0,
    )


def test_the_token_usage_is_found_wherever_the_stream_is_split() -> None:
    events = [
        b'data: {"choices":[{"delta":{"content":"' + b"x" * 600 + b'"}}]}\n\n',
        b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":40}}\n\n',
        b"data: [DONE]\n\n",
    ]
    text = b"".join(events)
    for size in (1, 7, 100, len(text)):
        splitter = EventSplitter()
        for at in range(0, len(text), size):
            splitter.feed(text[at : at + size])
        assert splitter.tokens() == 40
    assert EventSplitter().tokens() == 0


def test_a_completed_answer_that_was_too_slow_is_logged_and_counted() -> None:
    bed = DispatcherBed()
    request = bed.submit(
        contract.SendAttempt(7, "r0", 500_000), traffic_class="light", wait_us=5_000_000
    )
    bed.clock.us += 300_000
    bed.core.outcomes.attempt_ended(bed.fleet.started[-1], AttemptStatus.PREFILLED, 512)
    bed.step([contract.SendAttempt(7, "w0", 2_000_000)])
    attempt = bed.fleet.started[-1]
    bed.clock.us += 200_000
    assert bed.core.outcomes.stream_event_received(attempt)
    attempt.output_tokens = 11
    bed.clock.us += 10 * 2 * CLASSES[0].token_objective_us + 10
    logged: dict[str, object] = {}
    original = bed.core.outcomes._count_completed
    bed.core.outcomes._count_completed = lambda ended: logged.update(original(ended)) or logged  # type: ignore[method-assign, func-returns-value]
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.COMPLETED)
    assert request.finished and logged["wait_us"] == 500_000 and logged["first_us"] == 200_000
    assert (logged["reader"], logged["read_us"], logged["kept"]) == ("r0", 300_000, 512)
    assert (logged["worth"], logged["for"]) == ("worthless", "pace")
    rows = bed.core.metrics.rows(0, 0)
    assert rows["svc.served.light.worthless"] == 1 and rows["svc.served.light.late"] == 0
    assert rows["svc.downstream_requests.light.completed"] == 1, (
        "the request also counts as completed"
    )


def cancellations(routers: int, requests_per_router: int) -> int:
    """Number of cancellations by a fleet of routers that receive nothing from any server."""
    count = 0
    for ordinal in range(routers):
        driver = RouterDriver(make_endpoints(4, 8), ordinal=ordinal, routers=routers)
        for i in range(requests_per_router):
            driver.submit(i, f"s{i}", f"p{i}", prompt_tokens=9, max_tokens=9)
        for _ in range(40):
            driver.tick()
            count += sum(
                isinstance(action, contract.CancelAttempt) for action in driver.last_actions
            )
    return count


def test_the_cancellation_budget_holds_over_many_routers_with_few_requests_each() -> None:
    """Guards against routers with few requests whose cancellation budget never fills.

    With 200 routers, prefills that waited 3 s at an overloaded home server were never tried
    elsewhere.
    """
    routers, requests_per_router = 100, 4
    expected = (
        routers * requests_per_router * attempt_timeouts.CANCELLATIONS_PER_REQUEST_MANY_ROUTERS
    )
    assert 0.6 * expected <= cancellations(routers, requests_per_router) <= 1.5 * expected


def test_a_file_may_begin_with_a_byte_order_mark(tmp_path: Path) -> None:
    class File(toml_config.Model):
        a: int
        at: toml_config.ConnectAddress = "127.0.0.1:1"

    path = tmp_path / "f.toml"
    path.write_bytes(b"\xef\xbb\xbfa = 1\n")
    assert toml_config.read(File, path).a == 1
    path.write_text('a = 1\nat = "127.0.0.1:0"\n')
    with pytest.raises(ConfigError, match=r"f\.toml:2: at: port 0 can't be reached"):
        toml_config.read(File, path)


def test_a_command_whose_extra_is_missing_ends_with_a_one_line_message() -> None:
    blocked = "import runpy, sys; sys.modules.update(dict.fromkeys({names!r})); sys.argv[0] = 'onyxpass'; "
    script = (
        blocked.format(names=sorted(EXTRAS)) + "runpy.run_module('onyxpass', run_name='__main__')"
    )
    for words in (["lab", "day", "module"], ["servers", "fmt", "none.toml"]):
        done = subprocess.run(
            [sys.executable, "-c", script, *words],
            cwd=ROOT, capture_output=True, text=True, timeout=60, env={**os.environ, "COLUMNS": "200"},
        )  # fmt: skip
        assert done.returncode == 2, json.dumps([words, done.stderr[-500:]])
        assert done.stderr.startswith("onyxpass: this needs ") and done.stderr.count("\n") == 1, (
            done.stderr
        )
