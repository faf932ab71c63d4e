"""The program as users start it: command line, environment variables of the platform, signals."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from cluster import PREFILLED, STREAM, Discovery, Replica, chat_request, hold_last_chunk
from typer.testing import CliRunner

from onyxpass import __version__
from onyxpass.cli import app
from onyxpass.config.platform_file import ConfigError, load, parse
from onyxpass.toolcalls import service
from tests.support.simulator_settings import WIRE_SETTINGS

ROOT = Path(__file__).parent.parent
RAW = {
    "name": "n3",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "8c1f",
    "settings": WIRE_SETTINGS,
}


def test_version_and_check_config(tmp_path: Path) -> None:
    run = CliRunner()
    assert __version__ in run.invoke(app, ["version"]).output
    path = tmp_path / "c.json"
    path.write_text(json.dumps(RAW))
    good = run.invoke(app, ["check-config", "--config", str(path)])
    assert good.exit_code == 0 and "n3: listens on 127.0.0.1:0" in good.output
    for expected in (
        "1024, of them 480 for clients",
        "2.5 s for a request",
        "operators' address: none",
        "clients' socket: bound here",
        "on SIGHUP: discovery at 127.0.0.1:1",
    ):
        assert expected in good.output
    path.write_text("{")
    bad = run.invoke(app, ["check-config", "--config", str(path)])
    assert bad.exit_code == 2 and "Traceback" not in bad.output


def test_variables_override_the_file_and_missing_keys_are_named() -> None:
    config = parse(RAW, {"ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.2:5"})
    assert (config.name, str(config.listen), config.seed) == ("n9", "127.0.0.2:5", 0x8C1F)
    for absent in ("name", "listen", "discovery", "settings"):
        with pytest.raises(ConfigError, match=absent):
            parse({k: v for k, v in RAW.items() if k != absent}, {})
    for wrong in ({"listen": "here"}, {"seed": "zz"}, {"settings": {"grades": [{}]}}):
        with pytest.raises(ConfigError):
            parse({**RAW, **wrong}, {})


def test_on_a_reload_the_discovery_in_the_file_overrides_the_variable() -> None:
    environ = {"ROUTER_DISCOVERY": "127.0.0.9:9"}
    assert str(parse(RAW, environ).discovery) == "127.0.0.9:9"
    assert str(parse(RAW, environ, reloading=True).discovery) == RAW["discovery"]
    assert str(parse({**RAW, "discovery": ""}, environ, reloading=True).discovery) == "127.0.0.9:9"


def test_the_second_front_accepts_loopback_addresses_only() -> None:
    config = service.load(ROOT / "deploy" / "toolcalls.toml")
    assert [s.id for s, _ in config.servers] == ["reader-1", "writer-1"]
    with pytest.raises(ConfigError, match="loopback"):
        service.parse_loopback_address("10.0.0.1:80")


async def start_program(
    path: Path, *fds: int, **environ: str
) -> tuple[asyncio.subprocess.Process, dict[str, int]]:
    """Start the program, wait for its complete list, and return it with its ports by log event."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "onyxpass", "serve", "--config", str(path)),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        pass_fds=fds,
        env={**os.environ, **environ},
    )
    assert process.stdout is not None
    ports: dict[str, int] = {}
    seen: set[str] = set()
    while not {"listening", "full"} <= seen or (
        "ROUTER_CONTROL" in environ and "control" not in seen
    ):
        line = json.loads(await process.stdout.readline())
        seen |= {line["event"], str(line.get("form"))}
        if "listen" in line:
            ports[line["event"]] = int(line["listen"].rpartition(":")[2])
    return process, ports


async def call(port: int, what: str) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{what} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    return answer


def test_an_upgrade_hands_over_new_clients_and_keeps_excluded_replicas_excluded(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        discovery, reader, writer = Discovery(), Replica(PREFILLED), Replica(STREAM)
        spare = Replica(PREFILLED)
        for part in (discovery, reader, writer, spare):
            await part.start()
        for name, kind, part in (("r0", "r", reader), ("r1", "r", spare), ("w0", "w", writer)):
            discovery.hosts.append(discovery.entry(name, kind, part.address))
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**RAW, "discovery": discovery.address}))
        listener = socket.create_server(("127.0.0.1", 0))
        port, number = listener.getsockname()[1], listener.fileno()
        environ = {
            "ROUTER_PASSED_SOCKET": str(number),
            "TMPDIR": str(tmp_path),
            "ROUTER_CONTROL": "127.0.0.1:0",
        }
        old, at_old = await start_program(path, number, **environ)
        assert at_old["listening"] == port
        idle_source, idle = await asyncio.open_connection("127.0.0.1", port)
        idle.write(chat_request("a1", "a"))
        assert (await idle_source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        # This connection's request is sent in part only.
        late_source, late = await asyncio.open_connection("127.0.0.1", port)
        late.write(chat_request("a2", "a")[:40])
        new, at_new = await start_program(path, number, **environ)
        assert (await call(at_new["control"], "GET /api/ready")).startswith(b"HTTP/1.1 200")
        assert (await call(at_old["control"], "POST /api/exclude?host=r1")).startswith(
            b"HTTP/1.1 200"
        )
        assert b"members_unavailable=1\n" in await call(at_new["control"], "GET /api/telemetry")
        old.send_signal(signal.SIGTERM)
        assert await idle_source.read() == b"", "an idle connection is closed"
        late.write(chat_request("a2", "a")[40:])
        served = await late_source.read()
        assert served.startswith(b"HTTP/1.1 200") and b"connection: close" in served.lower()
        assert await old.wait() == 0
        for i in range(6):
            source, sink = await asyncio.open_connection("127.0.0.1", port)
            sink.write(chat_request(f"b{i}", "a", close=True))
            assert (await source.read()).startswith(b"HTTP/1.1 200"), (
                "the listener was not shut down"
            )
            sink.close()
        assert not any(b"b" + str(i).encode() in head for head in spare.heads for i in range(6))
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0
        listener.close()
        idle.close()
        late.close()
        for part in (discovery, reader, writer, spare):
            await part.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_an_open_stream_and_its_connections_migrate_to_the_new_process(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        hold = asyncio.Event()
        discovery, reader, writer = (
            Discovery(),
            Replica(PREFILLED),
            Replica(hold_last_chunk(hold), STREAM),
        )
        for part in (discovery, reader, writer):
            await part.start()
        for name, kind, part in (("r0", "r", reader), ("w0", "w", writer)):
            discovery.hosts.append(discovery.entry(name, kind, part.address))
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**RAW, "discovery": discovery.address}))
        listener = socket.create_server(("127.0.0.1", 0))
        port, number = listener.getsockname()[1], listener.fileno()
        environ = {
            "ROUTER_PASSED_SOCKET": str(number),
            "TMPDIR": str(tmp_path),
            "ROUTER_CONTROL": "127.0.0.1:0",
        }
        old, _ = await start_program(path, number, **environ)
        source, sink = await asyncio.open_connection("127.0.0.1", port)
        sink.write(chat_request("a1", "a"))
        await source.readuntil(b"[DONE]\n\n\r\n")
        new, at_new = await start_program(path, number, **environ)
        old.send_signal(signal.SIGTERM)
        while b"svc.pending=1\n" not in await call(at_new["control"], "GET /api/telemetry"):
            await asyncio.sleep(0.01)
        assert await old.wait() == 0, "the old process ends although the stream has not ended"
        hold.set()
        assert (await source.readuntil(b"0\r\n\r\n")) == b"0\r\n\r\n"
        sink.write(chat_request("a2", "a"))  # the new process owns the connection
        assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        metrics = await call(at_new["control"], "GET /api/telemetry")
        assert b".completed=2\n" in metrics and b"svc.pending=0\n" in metrics
        assert len(writer.heads) == 2, "nothing was sent twice"
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0
        listener.close()
        sink.close()
        for part in (discovery, reader, writer):
            await part.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60))


def test_an_address_in_use_ends_the_start_with_one_log_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**RAW, "listen": f"127.0.0.1:{listener.getsockname()[1]}"}))
        done = subprocess.run(
            (sys.executable, "-m", "onyxpass", "serve", "--config", str(path)),
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert done.returncode == 1 and "start_failed" in done.stdout and "Traceback" not in done.stderr


async def small_site(folder: Path) -> tuple[Discovery, Replica, Replica, Path]:
    """Start a discovery, a reader and a writer, and write a dispatcher's configuration for them."""
    discovery, reader, writer = Discovery(), Replica(PREFILLED), Replica(STREAM)
    for part in (discovery, reader, writer):
        await part.start()
    discovery.hosts = [
        discovery.entry("r0", "r", reader.address),
        discovery.entry("w0", "w", writer.address),
    ]
    path = folder / "config.json"
    path.write_text(json.dumps({**RAW, "discovery": discovery.address, "listen": "127.0.0.1:0"}))
    return discovery, reader, writer, path


def test_serve_from_start_to_sigterm(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery, reader, writer, path = await small_site(tmp_path)
        process, ports = await start_program(path)
        assert process.stdout is not None
        source, sink = await asyncio.open_connection("127.0.0.1", ports["listening"])
        sink.write(chat_request("a1", "a"))
        assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        path.write_text('{"name":')  # partly written: the old settings stay
        process.send_signal(signal.SIGHUP)
        while json.loads(await process.stdout.readline())["event"] != "configuration_rejected":
            pass
        moved = Discovery()
        await moved.start()
        moved.hosts, moved.seq = discovery.hosts, 7
        path.write_text(json.dumps({**RAW, "discovery": moved.address, "listen": "127.0.0.1:0"}))
        process.send_signal(signal.SIGHUP)
        while json.loads(await process.stdout.readline()).get("seq") != 7:
            pass
        sink.write(chat_request("a2", "a"))
        assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        process.send_signal(signal.SIGTERM)
        assert await source.read() == b"", "the idle connection is closed"
        assert await process.wait() == 0
        for part in (discovery, moved, reader, writer):
            await part.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60))


GRADE = {
    "name": "a",
    "promiseUs": 1000,
    "deadlineUs": 5000,
    "repeat": "idempotency_key",
    "windowUs": 400,
}


@pytest.mark.parametrize(
    ("change", "key", "runs"),
    [
        (
            {"grades": [{**GRADE, "windowUs": 9000}]},
            "settings.grades[0].windowUs: 9000 is longer",
            True,
        ),
        (
            {"grades": [GRADE, {**GRADE, "name": "b", "deadlineUs": -1}]},
            "settings.grades[1].deadlineUs: ",
            False,
        ),
        (
            {"grades": [{"name": "a", "promiseUs": 5}]},
            "settings.grades[0].deadlineUs: is absent",
            False,
        ),
        (
            {"grades": [{**GRADE, "promiseUs": 0}]},
            "settings.grades[0].promiseUs: must be above 0",
            False,
        ),
        ({"grades": [GRADE, GRADE]}, "settings.grades[1].name: 'a' stands there twice", True),
        (
            {"grades": [{**GRADE, "repeat": "often"}]},
            "settings.grades[0].repeat: must be one of",
            True,
        ),
        ({"grades": 7}, "settings.grades: no class", False),
        ({"grades": []}, "settings.grades: no class", True),
        ({"limits": {"maxAttempts": 0}}, "settings.limits.maxAttempts: must be 1 at least", False),
        ({"limits": {"connIdleUs": -5}}, "settings.limits.connIdleUs: must be a number, 0", False),
        (
            {"rules": {"drainGraceUs": "soon"}},
            "settings.rules.drainGraceUs: must be a number",
            False,
        ),
        ({"rules": []}, "settings.rules: must be an object", False),
        ({"peersTotal": 0}, "settings.peersTotal: must be 1 at least", True),
        (
            {"extra": {"tokenAimUs": [1, 2, 3, 4, 5, 6, 7]}},
            "settings.extra.tokenAimUs: 7 figures for",
            True,
        ),
        ({"extra": {"roleByKind": 5}}, "settings can't be read", False),
    ],
)
def test_bad_settings_are_reported_in_one_line_with_file_key_and_reason(
    tmp_path: Path, change: dict[str, object], key: str, runs: bool
) -> None:
    path = tmp_path / "c.json"
    path.write_text(json.dumps({**RAW, "settings": {**WIRE_SETTINGS, **change}}))
    result = CliRunner().invoke(app, ["check-config", "--config", str(path)])
    assert result.exit_code == 2 and "Traceback" not in result.output
    assert (
        result.output.startswith(f"onyxpass: {path}: ")
        and key in result.output
        and result.output.count("\n") == 1
    )
    if runs:  # a value with a safe interpretation must not block a deployment
        assert key.startswith(load(path).faults[0].key)
    else:
        with pytest.raises(ConfigError):
            load(path)


def test_a_negative_limit_outside_the_settings_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text(json.dumps({**RAW, "limits": {"sockets": -4}}))
    result = CliRunner().invoke(app, ["check-config", "--config", str(path)])
    assert (
        result.exit_code == 2
        and f"{path}: limits.sockets: must be a number, 0 at least" in result.output
    )
