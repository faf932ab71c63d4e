"""The simulator adapter over a real pipe; its actions must not depend on the process."""

import ast
import json
import os
import pathlib
import re
import subprocess
import sys

from tests.support.simulator_settings import WIRE_SETTINGS

ROOT = pathlib.Path(__file__).parent.parent
SERVERS = [["z0", k, None, i % 2, "up", f"{k}{i}", 1] for k in "rw" for i in range(4)]


def run_adapter(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "onyxpass.simulator_adapter"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
    )


def batch(number: int, now_us: int, *events: list[object]) -> str:
    return json.dumps({"wallUs": now_us, "batch": number, "happened": list(events)})


def input_lines(instances: list[int]) -> list[str]:
    """Return batches that start these instances and send each 40 requests."""
    lines = [batch(1, 0)]
    begin: list[list[object]] = [["list", 0, SERVERS]]
    for i in instances:
        begin += [["begin", i, 77 + i, WIRE_SETTINGS], ["rosterChange", i, "Persisted", 1, 0]]
    lines.append(batch(2, 1000, *begin))
    for n in range(40):
        events: list[list[object]] = []
        for i in instances:
            request = 1000 * i + n
            events.append(
                [
                    "knock",
                    i,
                    request,
                    "a",
                    None,
                    f"s{request % 7}",
                    9_000_000,
                    None,
                    f"p{n % 5}",
                    900,
                    500,
                    100,
                    False,
                    False,
                ]
            )
            events.append(["wake", i, 0])
        lines.append(batch(3 + n, 2000 + n * 10_000, *events))
    return lines


def test_every_batch_is_answered_and_the_process_exits_cleanly() -> None:
    done = run_adapter(input_lines([3]))
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0 and [r["batch"] for r in replies] == list(range(1, 43))
    sent = [a for r in replies for a in r["outbox"] if a[0] == "transmit"]
    assert sent and all(a[1] == 3 and a[3] in {"r0", "r1", "r2", "r3"} and a[4] > 0 for a in sent)


def test_a_prefilled_request_is_sent_to_decode_and_kill_drops_its_instance() -> None:
    lines = input_lines([3])[:3]
    (first,) = [
        a
        for a in json.loads(run_adapter(lines).stdout.splitlines()[2])["outbox"]
        if a[0] == "transmit"
    ]
    lines.append(
        batch(4, 50_000, ["completed", 3, 3000, 0, first[3], "READ", 48_000, False, 400, [9, 0.5]])
    )
    lines.append(
        batch(
            5,
            60_000,
            ["kill", 3],
            ["begin", 3, 5, WIRE_SETTINGS],
            ["rosterChange", 3, "Persisted", 1, 0],
        )
    )
    replies = [json.loads(line)["outbox"] for line in run_adapter(lines).stdout.splitlines()]
    assert [a[0] for a in replies[3]] == ["transmit"] and replies[3][0][3].startswith("w")
    assert [a[0] for a in replies[4]] == ["defer"]


def test_actions_do_not_depend_on_the_hash_seed_or_on_other_instances() -> None:
    together = run_adapter(input_lines([1, 2, 3]), "1").stdout
    assert together == run_adapter(input_lines([1, 2, 3]), "4242").stdout
    alone = {i: run_adapter(input_lines([i]), str(i)).stdout.splitlines() for i in (1, 2, 3)}
    for k, line in enumerate(together.splitlines()):
        for i in (1, 2, 3):
            own_actions = [a for a in json.loads(line)["outbox"] if a[1] == i]
            assert own_actions == json.loads(alone[i][k])["outbox"]


def test_an_invalid_line_ends_the_process_with_a_message() -> None:
    for line in (
        "nonsense",
        "[]",
        '{"wallUs":1}',
        batch(1, 5, ["what", 1]),
        batch(1, 5, ["knock", 9, 1]),
    ):
        done = run_adapter([line])
        assert done.returncode != 0 and done.stderr.startswith("onyxpass: ") and not done.stdout


def test_an_exception_in_the_router_is_reported_for_its_instance(monkeypatch: object) -> None:
    code = (
        "import sys; from onyxpass import simulator_adapter\nfrom onyxpass.scheduling import router\n"
        "def fail(self, now, event): raise RuntimeError('broken')\n"
        "router.Router.handle = fail\n"
        "sys.exit(simulator_adapter.main(sys.stdin, sys.stdout))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        input=input_lines([4])[1] + "\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
    )
    assert json.loads(done.stdout)["outbox"] == [["bailOut", 4, "RuntimeError: broken"]]


SCHEDULING_PACKAGE = ROOT / "onyxpass" / "scheduling"
ALLOWED_IMPORTS = {
    "math",
    "collections",
    "collections.abc",
    "typing",
    "hashlib",
    "dataclasses",
    "enum",
}
MAX_FUNCTION_LINES = 52


def test_limits_of_the_decision_modules() -> None:
    """The decision modules do no I/O, know no wire format and have no long functions."""
    modules = sorted(SCHEDULING_PACKAGE.rglob("*.py"))
    assert len(modules) >= 3
    for path in modules:
        text = path.read_text()
        assert max(map(len, text.splitlines())) <= 100, path
        tree = ast.parse(text)
        assert ast.get_docstring(tree), path
        found = {
            alias.name
            for node in ast.walk(tree)
            if isinstance(node, ast.Import)
            for alias in node.names
        }
        found |= {str(node.module) for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
        others = {name for name in found if not f"{name}.".startswith("onyxpass.scheduling.")}
        assert others <= ALLOWED_IMPORTS, (path, others - ALLOWED_IMPORTS)
        functions = [node for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)]
        lengths = {node.name: (node.end_lineno or 0) - node.lineno + 1 for node in functions}
        assert max(lengths.values(), default=0) <= MAX_FUNCTION_LINES, (path, lengths)


def test_the_readme_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    done = subprocess.run(
        [sys.executable, "-c", example], capture_output=True, text=True, cwd=ROOT, timeout=60
    )
    assert done.returncode == 0 and "writer" in done.stdout, done.stderr
