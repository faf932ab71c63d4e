"""Runs the program as its users do, and describes its output without naming any of its modules.

All access is through commands, sockets and files, so that renaming code does not change the tests.
"""

import hashlib
import http.client
import itertools
import json
import os
import re
import signal
import socket
import sqlite3
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent.parent
PROGRAM = (sys.executable, "-m", "onyxpass")
TIMEOUT_S = 60.0  # only ends a command or a wait that hangs
POLL_S = 0.05
Shape = Any  # JSON with each leaf replaced by the name of its type

CLASSES: tuple[dict[str, Any], ...] = (
    {
        "name": "part-lookup",
        "promiseUs": 1_200_000,
        "deadlineUs": 6_000_000,
        "value": 3.0,
        "lateWorth": 0.2,
        "repeat": "read_like",
    },
    {
        "name": "stock-booking",
        "promiseUs": 1_500_000,
        "deadlineUs": 7_500_000,
        "value": 2.0,
        "lateWorth": 0.1,
        "repeat": "non_idempotent",
    },
)
SETTINGS: dict[str, Any] = {
    "az": "boa-vista",
    "hostTypes": ["reader", "writer"],
    "grades": list(CLASSES),
    "extra": {
        "roleByKind": ["read", "write"],
        "tokensByKind": [240_000, 150_000],
        "tokenAimUs": [60_000, 70_000],
        "aimUsPer1000PromptTokens": [40_000, 40_000],
    },
    "limits": {
        "maxAttempts": 4,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1_000_000,
        "connectTimeoutUs": 250_000,
        "connIdleUs": 15_000_000,
    },
    "peersTotal": 2,
}


def free_port() -> int:
    """Return a loopback port that nothing listens on at present."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def wait_for(condition: Callable[[], Any], description: str, limit_s: float = TIMEOUT_S) -> Any:
    """Return the first true value of the condition; raise AssertionError after ``limit_s``."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if found := condition():
            return found
        time.sleep(POLL_S)
    raise AssertionError(f"timed out waiting for {description}")


def clean_environment(folder: Path, variables: Mapping[str, str] | None = None) -> dict[str, str]:
    """Return this process's environment without variables of the program, plus ``variables``.

    Temporary files go to ``folder``, and help texts have a width of 120 columns.
    """
    prefixes = ("ROUTER_", "ONYXPASS_")
    kept = {name: value for name, value in os.environ.items() if not name.startswith(prefixes)}
    return {
        **kept,
        "TMPDIR": str(folder),
        "COLUMNS": "120",
        "PYTHONPATH": str(ROOT),
        **(variables or {}),
    }


def run(
    *arguments: str, folder: Path, variables: Mapping[str, str] | None = None
) -> "subprocess.CompletedProcess[str]":
    """Run one command of the program to its end, in ``folder``."""
    return subprocess.run(
        [*PROGRAM, *arguments],
        cwd=folder,
        env=clean_environment(folder, variables),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@contextmanager
def running(
    *arguments: str,
    folder: Path,
    variables: Mapping[str, str] | None = None,
    pass_fds: Sequence[int] = (),
) -> Iterator["subprocess.Popen[str]"]:
    """Run one command of the program in the background; SIGTERM ends it at the end of the block."""
    process = subprocess.Popen(
        [*PROGRAM, *arguments],
        cwd=folder,
        env=clean_environment(folder, variables),
        stdout=subprocess.PIPE,
        stderr=(folder / f"{arguments[0]}.stderr").open("ab"),
        text=True,
        pass_fds=pass_fds,
    )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.communicate(timeout=TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()


@contextmanager
def stand_in_fleet(folder: Path) -> Iterator[str]:
    """Run stand-ins of model servers and discovery; yield the address of discovery."""
    with running("standin", "fleet", "--port", "0", folder=folder) as process:
        assert process.stdout is not None
        line = process.stdout.readline()
        found = re.search(r"127\.0\.0\.1:\d+", line)
        assert found, line
        yield found[0]


@contextmanager
def stand_in_store(folder: Path) -> Iterator[str]:
    """Run a stand-in of Redis; yield its URL."""
    with running("standin", "store", "--port", "0", folder=folder) as process:
        assert process.stdout is not None
        yield process.stdout.readline().strip()


def dispatcher_file(name: str, listen: str, discovery: str) -> dict[str, Any]:
    """Return the content of the JSON file by which the platform configures one dispatcher."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "5eed",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {},
        "settings": SETTINGS,
    }


def http_call(port: int, method: str, target: str) -> tuple[int, str]:
    """Make one HTTP call and return its status and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request(method, target)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


REQUEST_NUMBERS = itertools.count()


def send_request(
    port: int, number: int, traffic_class: str = "part-lookup", tokens: int = 40
) -> http.client.HTTPResponse:
    """Send one request to a dispatcher; return the response, whose body has not been read."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    headers = {
        # New with each request, as a client's ids are: one that has run is refused.
        "x-request-id": f"q{number}-{next(REQUEST_NUMBERS)}",
        "x-priority-class": traffic_class,
        "x-route-key": f"s{number}",
        "x-timeout-ms": "6000",
        "x-attrs": f"prefix=p{number},prompt_len=400,prefix_len=200,max_out={tokens}",
        "connection": "close",
    }
    body = json.dumps(
        {"model": traffic_class, "stream": True, "max_tokens": tokens, "messages": []}
    )
    connection.request("POST", "/v1/chat/completions", body, headers)
    return connection.getresponse()


@dataclass
class Site:
    """An agent with two dispatchers, and stand-ins of the model servers and the store.

    ``discovery`` and ``store`` are the address and the URL of stand-ins that run already.
    """

    folder: Path
    discovery: str
    store: str
    names: tuple[str, ...] = ("one", "two")
    ports: dict[str, int] = field(default_factory=dict)
    agent_port: int = 0

    def write_files(self) -> None:
        """Write the files of the agent, the fleet tool and the dispatchers."""
        assert run("agent", "key", "fleet.key", folder=self.folder).returncode == 0
        self.agent_port = free_port()
        rows = [
            f'name = "h1"\nlisten = "127.0.0.1:{self.agent_port}"\nkey = "fleet.key"\nstate = "state"',
            f'[store]\nurl = "{self.store}"',
            "[restart]\nfirst_s = 0.05\ngrace_s = 5.0\npoll_s = 0.2",
        ]
        for name in self.names:
            self.ports[name] = free_port()
            self.configure(name)
            rows.append(
                f'[[instances]]\nname = "{name}"\nkind = "serve"\nconfig = "{name}.json"\n'
                f'check = "127.0.0.1:{self.ports[name]}"'
            )
        (self.folder / "agent.toml").write_text("\n".join(rows) + "\n")
        entries = "".join(f'[[agents.instances]]\nname = "{name}"\n' for name in self.names)
        (self.folder / "fleet.toml").write_text(
            'name = "trial"\nkey = "fleet.key"\nstate = "rollouts"\n'
            f'[store]\nurl = "{self.store}"\nlease_s = 1.0\nlongest_s = 1.0\n'
            "[limits]\nout = 2\nout_hall = 1\nout_host = 1\ncanaries = 1\npause_s = 0.05\n"
            "abort_after = 1\ndeadline_s = 20.0\n"
            '[[halls]]\nname = "boa-vista"\n'
            f'[[agents]]\nhost = "h1"\nhall = "boa-vista"\naddress = "127.0.0.1:{self.agent_port}"\n{entries}'
        )

    def configure(self, name: str, sockets: int = 1024) -> None:
        """Write the file of one dispatcher."""
        content = dispatcher_file(name, f"127.0.0.1:{self.ports[name]}", self.discovery)
        content["limits"]["sockets"] = sockets
        (self.folder / f"{name}.json").write_text(json.dumps(content))

    def run_fleet(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run one command of the fleet tool."""
        return run("fleet", *arguments, "--fleet", "fleet.toml", folder=self.folder)

    def is_serving(self) -> bool:
        """Return whether ``fleet list`` succeeds and all instances answer requests."""
        done = self.run_fleet("list", "--json")
        return done.returncode == 0 and all(self._answers(port) for port in self.ports.values())

    @staticmethod
    def _answers(port: int) -> bool:
        try:
            response = send_request(port, 1)
            return response.status == 200 and bool(response.read())
        except (OSError, http.client.HTTPException):
            return False


# Shapes


def shape(value: Any) -> Shape:
    """Replace each leaf by its type's name, and each list by the list of its distinct shapes."""
    if isinstance(value, dict):
        return {str(key): shape(inner) for key, inner in sorted(value.items())}
    if isinstance(value, list):
        distinct = {json.dumps(shape(inner), sort_keys=True) for inner in value}
        return [json.loads(text) for text in sorted(distinct)]
    return type(value).__name__


def same_shape(expected: Shape, found: Shape) -> bool:
    """Return whether keys and types agree; a null on either side matches any type."""
    if "NoneType" in (expected, found):
        return True
    if isinstance(expected, dict) and isinstance(found, dict):
        return expected.keys() == found.keys() and all(
            same_shape(expected[k], found[k]) for k in expected
        )
    if isinstance(expected, list) and isinstance(found, list):
        return all(any(same_shape(one, other) for one in expected) for other in found)
    return bool(expected == found)


def database_schema(path: Path, immutable: bool = False) -> dict[str, Any]:
    """Return version, tables and columns of a SQLite file.

    ``immutable`` prevents SQLite from writing files next to it.
    """
    database = sqlite3.connect(f"file:{path}?mode=ro&immutable={int(immutable)}", uri=True)
    try:
        names = [
            row[0]
            for row in database.execute("SELECT name FROM sqlite_master WHERE type = 'table'")
        ]
        tables = {
            name: [list(row[1:4]) for row in database.execute(f"PRAGMA table_info({name})")]
            for name in sorted(names)
        }
        version = database.execute("PRAGMA user_version").fetchone()[0]
    finally:
        database.close()
    return {"version": version, "tables": tables}


def digest(text: str) -> str:
    """Return a digest of 16 hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]
