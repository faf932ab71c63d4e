"""The program as its users start it: the command line, the platform's variables, signals."""

import asyncio
import json
import signal
import sys
from pathlib import Path

import pytest
from test_adapter import CONF
from test_net import READ, STREAM, Discovery, Replica, ask
from typer.testing import CliRunner

from onyxpass import __version__
from onyxpass.cli import app
from onyxpass.config import ConfigError, parse
from onyxpass.toolcalls import service

ROOT = Path(__file__).parent.parent
RAW = {"name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f", "settings": CONF}


def test_version_and_check_config(tmp_path: Path) -> None:
    run = CliRunner()
    assert __version__ in run.invoke(app, ["version"]).output
    path = tmp_path / "c.json"
    path.write_text(json.dumps(RAW))
    good = run.invoke(app, ["check-config", "--config", str(path)])
    assert good.exit_code == 0 and "n3: listens on 127.0.0.1:0" in good.output
    for told in (
        "1024, of them 480 for clients",
        "2.5 s for a request",
        "on SIGHUP: discovery at 127.0.0.1:1",
    ):
        assert told in good.output
    path.write_text("{")
    bad = run.invoke(app, ["check-config", "--config", str(path)])
    assert bad.exit_code == 2 and "Traceback" not in bad.output


def test_variables_win_over_the_file_and_what_is_missing_is_named() -> None:
    config = parse(RAW, {"ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.2:5"})
    assert (config.name, str(config.listen), config.seed) == ("n9", "127.0.0.2:5", 0x8C1F)
    for absent in ("name", "listen", "discovery", "settings"):
        with pytest.raises(ConfigError, match=absent):
            parse({k: v for k, v in RAW.items() if k != absent}, {})
    for wrong in ({"listen": "here"}, {"seed": "zz"}, {"settings": {"grades": [{}]}}):
        with pytest.raises(ConfigError):
            parse({**RAW, **wrong}, {})


def test_on_a_reload_the_files_discovery_wins() -> None:
    started = {"ROUTER_DISCOVERY": "127.0.0.9:9"}
    assert str(parse(RAW, started).discovery) == "127.0.0.9:9"
    assert str(parse(RAW, started, again=True).discovery) == RAW["discovery"]
    assert str(parse({**RAW, "discovery": ""}, started, again=True).discovery) == "127.0.0.9:9"


def test_the_second_front_serves_the_loopback_only() -> None:
    found = service.load(ROOT / "deploy" / "toolcalls.toml")
    assert [s.id for s, _ in found.servers] == ["reader-1", "writer-1"]
    with pytest.raises(ConfigError, match="loopback"):
        service.loopback("10.0.0.1:80")


def test_serve_from_start_to_sigterm(tmp_path: Path) -> None:
    async def go() -> None:
        discovery, reader, writer = Discovery(), Replica(READ), Replica(STREAM)
        for part in (discovery, reader, writer):
            await part.start()
        discovery.hosts = [
            discovery.entry("r0", "r", reader.address),
            discovery.entry("w0", "w", writer.address),
        ]
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**RAW, "discovery": discovery.address, "listen": "127.0.0.1:0"}))
        command = (sys.executable, "-m", "onyxpass", "serve", "--config", str(path))
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        assert process.stdout is not None
        port = 0
        while (line := json.loads(await process.stdout.readline())).get("form") != "full":
            port = int(line["listen"].rpartition(":")[2]) if line["event"] == "listening" else port
        source, sink = await asyncio.open_connection("127.0.0.1", port)
        sink.write(ask("a1", "a"))
        assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        path.write_text('{"name":')  # half written: the old settings hold
        process.send_signal(signal.SIGHUP)
        while json.loads(await process.stdout.readline())["event"] != "the new configuration is no use":
            pass
        moved = Discovery()
        await moved.start()
        moved.hosts, moved.seq = discovery.hosts, 7
        path.write_text(json.dumps({**RAW, "discovery": moved.address, "listen": "127.0.0.1:0"}))
        process.send_signal(signal.SIGHUP)
        while json.loads(await process.stdout.readline()).get("seq") != 7:
            pass
        sink.write(ask("a2", "a"))
        assert (await source.readuntil(b"0\r\n\r\n")).startswith(b"HTTP/1.1 200")
        process.send_signal(signal.SIGTERM)
        assert await source.read() == b"", "the idle connection is closed"
        assert await process.wait() == 0
        for part in (discovery, moved, reader, writer):
            await part.stop()

    asyncio.run(asyncio.wait_for(go(), 60))
