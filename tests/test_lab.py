"""Tests of the emulator: against queueing theory, for determinism, and with injected faults."""

import hashlib
import json
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from typer.testing import CliRunner

from onyxpass.config import toml_config
from onyxpass.emulator.cli import lab_app
from onyxpass.emulator.compare import bootstrap_interval, compare_policies, failed_runs
from onyxpass.emulator.events import EventQueue, Rank
from onyxpass.emulator.experiment import ExperimentFile, ResultStore, execute_runs, expand_runs
from onyxpass.emulator.policies import POLICIES, RandomPolicy
from onyxpass.emulator.processor_sharing import SharedCapacity
from onyxpass.emulator.servers import PrefillState, Server, ServerAttempt, ServerRequest
from onyxpass.emulator.simulation import PolicyError, Simulation
from onyxpass.emulator.topology import READER, WRITER, InjectedFault, Site
from onyxpass.emulator.traffic import RandomStreams, draw_turns
from onyxpass.history_checkers.trace import breaches
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

SMALL = Site(rate=20.0, seconds=12.0)


class ServerFixture:
    """One emulated server, and the ends and first tokens of its attempts."""

    def __init__(self, **kind: object) -> None:
        self.queue = EventQueue()
        self.states: dict[str, PrefillState] = {}
        base = kind.pop("base", READER)
        self.kind = replace(base, **kind)  # type: ignore[type-var,arg-type]
        spec = contract.Endpoint("x", "x", "derby", 0)
        links = {0: SharedCapacity(self.queue, lambda n: 1e9)}
        self.server = Server(self.queue, SMALL, self.kind, spec, self.states, links)  # type: ignore[arg-type]
        self.ends: dict[str, tuple[AttemptStatus, int]] = {}
        self.first_token_us: dict[str, int] = {}

    def attempt(
        self, key: str, prompt_tokens: int = 1000, output_tokens: int = 100
    ) -> ServerAttempt:
        request = ServerRequest(key, key, None, prompt_tokens, 0, output_tokens, "c")
        return ServerAttempt(
            request,
            lambda status, _: self.ends.setdefault(key, (status, self.queue.now_us)) and None,
            lambda: self.first_token_us.setdefault(key, self.queue.now_us) and None,
        )


def test_simultaneous_events_run_by_rank_and_then_in_scheduling_order() -> None:
    queue, seen = EventQueue(), list[str]()
    for rank, name in (
        (Rank.CLIENT, "d"),
        (Rank.SERVER, "b"),
        (Rank.FAULT, "a"),
        (Rank.SERVER, "c"),
    ):
        queue.schedule_at(5, rank, lambda name=name: seen.append(name))  # type: ignore[misc]
    queue.schedule_at(5, Rank.TIMER, lambda: seen.append("never")).cancel()
    queue.run(5)
    assert seen == ["a", "b", "c", "d"] and queue.executed_count == 4


def test_shared_capacity_is_divided_evenly_between_jobs() -> None:
    queue, ends = EventQueue(), dict[str, int]()
    link = SharedCapacity(queue, lambda n: 1000.0 / n)
    link.add(1000, lambda: ends.setdefault("a", queue.now_us) and None)
    queue.schedule_at(
        500_000,
        Rank.CLIENT,
        lambda: link.add(250, lambda: ends.setdefault("b", queue.now_us)) and None,
    )
    queue.run(10_000_000)
    assert ends["b"] == pytest.approx(1_000_000, abs=2), "250 units at half the rate"
    assert ends["a"] == pytest.approx(1_250_000, abs=2), (
        "500 units alone, 250 at half the rate, 250 alone"
    )
    # A remainder below one microsecond must not make the queue loop forever.
    fast = SharedCapacity(queue, lambda n: 3e5 / n)
    for size in (0.1, 0.11, 7.3):
        fast.add(size, lambda: None)
    queue.run(20_000_000)
    assert fast.open_count == 0


def test_mean_wait_of_a_reader_with_constant_service_matches_queueing_theory() -> None:
    """An M/D/1 queue with load rho and service time s has a mean wait of rho s / (2 (1 - rho))."""
    fixture = ServerFixture(slots=10**6, step_us=0.0, prefill_rate=10_000.0, memory_tokens=10**12)
    generator, now_us, starts, count = (
        RandomStreams(5).of("theory"),
        0.0,
        dict[str, float](),
        40_000,
    )
    service_us, rho = 100_000.0, 0.7
    for n in range(count):
        now_us += float(generator.exponential(service_us / rho))
        starts[f"q{n}"] = now_us
        fixture.queue.schedule_at(
            round(now_us),
            Rank.CLIENT,
            lambda n=n: fixture.server.receive(fixture.attempt(f"q{n}")),  # type: ignore[misc]
        )
    fixture.queue.run(round(now_us) + 10**9)
    waits = [fixture.ends[key][1] - start - service_us for key, start in starts.items()]
    assert sum(waits) / count == pytest.approx(rho * service_us / (2 * (1 - rho)), rel=0.06)
    assert {status for status, _ in fixture.ends.values()} == {AttemptStatus.PREFILLED}


def test_a_writer_out_of_memory_repeats_the_prefill_of_its_newest_answer() -> None:
    fixture = ServerFixture(
        base=WRITER,
        memory_tokens=2_300,
        step_us_per_answer=0.0,
        step_us_per_1k_context=0.0,
        step_us=10_000.0,
        prefill_rate=1e6,
    )
    reader = ServerFixture().server
    reader.port = SharedCapacity(fixture.queue, lambda n: 1e6 / n)
    for key in ("a", "b"):
        fixture.states[key] = PrefillState(reader, 1000)
        reader.state_tokens += 1000
        fixture.server.receive(fixture.attempt(key, 1000, 400))
    fixture.queue.run(60_000_000)
    assert fixture.server.repeated_prefill_count >= 1 and fixture.server.decoded_tokens == 800
    assert {status for status, _ in fixture.ends.values()} == {AttemptStatus.COMPLETED}
    assert fixture.ends["a"][1] < fixture.ends["b"][1] and not fixture.server.decoding
    assert fixture.server._used_tokens() == pytest.approx(0, abs=1), "all memory is free again"


def test_a_reader_crash_during_transfer_loses_the_state_and_a_cancel_frees_everything() -> None:
    fixture, reader = ServerFixture(base=WRITER), ServerFixture().server
    reader.port = SharedCapacity(fixture.queue, lambda n: 100.0 / n)
    fixture.states["a"] = PrefillState(reader, 1000)
    reader.states = fixture.states
    fixture.server.receive(fixture.attempt("a"))
    fixture.queue.run(1_000_000)
    reader.crash()
    fixture.queue.run(30_000_000)
    assert fixture.ends["a"][0] is AttemptStatus.OVERLOADED and not fixture.server.preparing
    fixture.states["b"] = PrefillState(fixture.server, 10)
    cancelled_attempt = fixture.attempt("b", output_tokens=10_000)
    fixture.server.receive(cancelled_attempt)
    fixture.queue.run(31_000_000)
    fixture.server.cancel(cancelled_attempt)
    fixture.queue.run(60_000_000)
    assert (
        "b" not in fixture.ends
        and not fixture.server.decoding
        and fixture.server.decode_capacity.open_count == 0
    )


FAULTS = (
    InjectedFault("flush", 3.0, size=0.8),
    InjectedFault("cut", 4.0, 2.0, hall="derby"),
    InjectedFault("crash", 5.0, 2.0, server="writer-1"),
    InjectedFault("crash", 5.5, 2.0, server="reader-0"),
    InjectedFault("slow", 6.0, 3.0, 5.0, server="writer-2"),
    InjectedFault("lag", 2.0, 6.0, 4.0),
    InjectedFault("hot", 1.0, 5.0, 0.2),
    InjectedFault("flap", 8.0, 3.0, hall="santo-amaro"),
)


@pytest.mark.parametrize("name", ["module", "least-in-flight", "prefix-hash"])
def test_each_request_ends_once_and_the_rules_hold_under_all_faults(name: str) -> None:
    simulation = Simulation(replace(SMALL, rate=40.0, faults=FAULTS), POLICIES[name], 4)
    tally = simulation.run()
    assert tally.asked == len(simulation.turns) > 200
    assert tally.served + tally.refused + tally.failed + tally.gone == tally.asked + tally.retried
    assert not any(dispatcher.open_requests for dispatcher in simulation.dispatchers)
    rules = [breach for breach in breaches(simulation.trace) if not breach.startswith("held")]
    assert not rules, rules[:5]
    assert 0 < tally.worth <= tally.worth_asked
    for server in simulation.servers.values():
        assert (
            not server.decoding and not server.preparing and server.decode_capacity.open_count == 0
        )
        assert server._used_tokens() == pytest.approx(0, abs=2)


def test_the_same_seed_gives_the_same_run_in_any_process() -> None:
    code = (
        "import hashlib; from onyxpass.emulator.policies import POLICIES; from onyxpass.emulator.topology import Site\n"
        "from onyxpass.emulator.simulation import Simulation\n"
        "w = Simulation(Site(rate=20.0, seconds=6.0), POLICIES['module'], 3); t = w.run()\n"
        "print(hashlib.sha256(repr((t, w.trace.events)).encode()).hexdigest())"
    )
    runs = [
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": salt},
        ).stdout
        for salt in ("1", "2")
    ]
    assert runs[0] == runs[1] and len(runs[0].strip()) == hashlib.sha256().digest_size * 2
    assert draw_turns(SMALL, 1) == draw_turns(SMALL, 1) != draw_turns(SMALL, 2)


def test_a_policy_that_raises_or_acts_invalidly_ends_only_its_own_run() -> None:
    class Raises(RandomPolicy):
        def choose_reader(self, request: object, candidates: object) -> str:
            raise KeyError("x")

    class SendsToUnknownServer(RandomPolicy):
        def choose_reader(self, request: object, candidates: object) -> str:
            return "nobody"

    class RepeatsEachAction(RandomPolicy):
        def handle(self, now_us: int, event: contract.Event) -> list[contract.Action]:
            return [action for action in super().handle(now_us, event) for _ in range(2)]

    for policy, why in (
        (Raises, "KeyError"),
        (SendsToUnknownServer, "nobody"),
        (RepeatsEachAction, "has an open attempt or an answer"),
    ):
        with pytest.raises(PolicyError, match=why):
            Simulation(SMALL, policy, 1).run()
    assert Simulation(SMALL, RandomPolicy, 1).run().served > 0


def test_under_load_the_router_beats_random_and_full_knowledge_bounds_both() -> None:
    site = replace(SMALL, rate=110.0, seconds=20.0)
    g = {
        name: Simulation(site, POLICIES.get(name), 2, traced=False).run().g
        for name in ("module", "random", "")
    }
    assert g[""] >= g["module"] - 0.02 and g["module"] > g["random"] + 0.1, g


def test_lab_day_runs_each_policy_and_names_bad_arguments() -> None:
    run = CliRunner()
    good = run.invoke(
        lab_app, ["day", "module", "random", "--seconds", "4", "--rate", "10", "--json"]
    )
    assert good.exit_code == 0 and good.output.count('"g"') == 2 and '"broken": 0' in good.output
    for words, why in (
        (("day", "clever"), "no policy 'clever'"),
        (("day", "random", "--trouble", "fire@3"), "no such trouble"),
        (("day", "random", "--trouble", "cut:mars@3+1"), "no 'mars' on this site"),
        (("day", "random", "--trouble", "flush:x@3"), "trouble 'flush:x@3'"),
    ):
        found = run.invoke(lab_app, list(words))
        assert found.exit_code == 2 and why in found.output and found.output.count("\n") == 1


EXPERIMENT = """name = "x"
policies = ["module", "random"]
baseline = "module"
seeds = [1, 2, 3]
[base]
seconds = 3.0
rate = 20.0
[axes]
writers = [2.0, 3.0]
"""


def test_an_interrupted_experiment_resumes_and_any_number_of_processes_gives_the_same_results(
    tmp_path: Path,
) -> None:
    path = tmp_path / "x.toml"
    path.write_text(EXPERIMENT)
    file = toml_config.read(ExperimentFile, path)
    runs = expand_runs(file)
    assert len(runs) == 12 and len({run.key for run in runs}) == 12
    first = ResultStore(tmp_path / "one.db")
    assert execute_runs(runs[:5], first, 1) == 5  # interrupted here
    assert execute_runs(runs, first, 1) == 7 and execute_runs(runs, first, 1) == 0
    second = ResultStore(tmp_path / "two.db")
    assert execute_runs(runs, second, 2) == 12

    def measures(rows: ResultStore) -> list[dict[str, float]]:
        return [{k: v for k, v in (rows.get(run) or {}).items() if k != "seconds"} for run in runs]

    assert measures(first) == measures(second)
    found = compare_policies(file, first)
    assert [row.pairs for row in found] == [3, 3] and failed_runs(runs, first) == []
    page = tmp_path / "x.html"
    made = ["report", str(path), "--rows", str(tmp_path / "one.db"), "--out", str(page)]
    assert CliRunner().invoke(lab_app, made).exit_code == 0
    text = page.read_text()
    assert text.count("data:image/png;base64,") == 4 and "12 of 12 runs played" in text
    assert "http" not in text, "the page is self-contained"
    first.close()
    second.close()


def test_bootstrap_interval_contains_zero_for_values_of_both_signs() -> None:
    low, high = bootstrap_interval([0.1, 0.12, 0.09, 0.11, 0.1])
    assert 0.08 < low < high < 0.13
    low, high = bootstrap_interval([0.3, -0.3, 0.2, -0.1])
    assert low < 0 < high
    assert bootstrap_interval([1.0]) == (float("-inf"), float("inf"))


@pytest.mark.parametrize(
    ("old", "new", "line", "why"),
    [
        ('"random"]', '"randm"]', 2, "did you mean 'random'"),
        ('baseline = "module"', 'baseline = "other"', 3, "not one of the policies"),
        ("[1, 2, 3]", "[1, 1]", 4, "twice"),
        ("rate = 20.0", "rat = 20.0", 7, "did you mean 'rate'"),
        ("rate = 20.0", "rate = -1", 7, "rate"),
        ("[2.0, 3.0]", "[]", 9, "writers"),
    ],
)
def test_an_invalid_experiment_file_is_rejected_before_the_first_run(
    tmp_path: Path, old: str, new: str, line: int, why: str
) -> None:
    path = tmp_path / "x.toml"
    path.write_text(EXPERIMENT.replace(old, new))
    run = CliRunner().invoke(lab_app, ["run", str(path), "--workers", "1"])
    assert run.exit_code == 2 and f"{path}:{line}:" in run.output and why in run.output
    assert not path.with_suffix(".db").exists()


def test_log_lines_of_all_dispatchers_are_counted_together_by_reason_and_time(
    tmp_path: Path,
) -> None:
    def line(at: str, event: str, clock: str = "07", **more: object) -> str:
        return (
            at
            + json.dumps({"event": event, "timestamp": f"2026-01-01T00:00:{clock}Z", **more})
            + "\n"
        )

    def rows_of(name: str, *files: str) -> dict[str, list[str]]:
        (tmp_path / name).mkdir()
        for number, text in enumerate(files):
            (tmp_path / name / f"n{number}.log").write_text(text)
        shown = CliRunner().invoke(lab_app, ["logs", str(tmp_path / name), "--step", "5"])
        assert shown.exit_code == 0
        assert f"{len(files)} files, 2 lines that are not log lines" in shown.stdout
        return {row[:60].strip(): row[60:].split() for row in shown.stdout.splitlines()}

    lost = line(
        "6.1 ", "attempt", end="unreachable", why="refused ('10.1.0.3', 8443) (kept for 7 ms)"
    )
    first = line("1.0 ", "served", reader="r1", read_us=4_000) + lost + "no line\n[1, 2]\n"
    late = line("6.2 ", "served", reader="r1", read_us=8_000, worth="late")
    second = lost.replace("10.1.0.3", "10.1.0.9") + late + line("7.0 ", "refused", attempts=2)
    rows = rows_of("numbered", first, second)
    assert rows["attempts, from s"] == ["5"] and rows["unreachable refused"] == ["2"]
    assert rows["final answers, from s"] == ["0", "5"] and rows["served"] == ["1", "."]
    assert rows["served late"] == [".", "1"] and rows["refused after 2"] == [".", "1"]
    assert rows["r1"] == ["2", "6.0"]
    clocks = line("", "list") + line("", "list", "09") + line("", "list", "13") + "{\n{}\n"
    assert rows_of("by the clock", clocks)["list"] == ["2", "1"]
    nothing = CliRunner().invoke(lab_app, ["logs", str(tmp_path / "none")])
    assert nothing.exit_code == 2 and "no *.log file" in nothing.output
