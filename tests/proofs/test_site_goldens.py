"""Outputs and files of a running site, an agent with two dispatchers, compared with earlier builds.

The agent and the fleet tool start with the state that an earlier build stored, which also proves
that stored data stays readable. The tests compare the keys and types of every JSON form and the
schemas of the databases.
"""

import fcntl
import json
import os
import re
import shutil
import socket
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import redis

from tests.proofs.goldens import DATA, RECORDING, golden
from tests.support.black_box import (
    Site,
    database_schema,
    dispatcher_file,
    free_port,
    http_call,
    run,
    running,
    same_shape,
    send_request,
    shape,
    stand_in_fleet,
    stand_in_store,
    wait_for,
)

STORED = DATA / "stored"
READER = "reader-1"  # a server that the stand-in fleet lists
PROCESS_FILE = re.compile(r"\d{20}-\d+\.process\Z")
SUCCESSOR = "99999999999999999999-1"
DISPATCHER_FOLDER = re.compile(r"onyxpass-[0-9a-f]{12}\Z")


def assert_recorded_shape(name: str, found: Any) -> None:
    """Fail unless keys and types are those that are recorded under this name."""
    expected = golden(f"shape_{name}", shape(found))
    assert same_shape(expected, shape(found)), (name, expected, shape(found))


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site on the stored state of an earlier build; yield it once it serves requests."""
    folder = tmp_path_factory.mktemp("site")
    with stand_in_fleet(folder) as discovery, stand_in_store(folder) as store:
        running_site = Site(folder, discovery, store)
        running_site.write_files()
        if not RECORDING:
            shutil.copytree(STORED / "agent", folder / "state")
            shutil.copytree(STORED / "fleet", folder / "rollouts")
        with running("agent", "run", "--config", "agent.toml", folder=folder):
            wait_for(running_site.is_serving, "the site to serve")
            yield running_site
        if RECORDING:
            record_databases(folder)


def record_databases(folder: Path) -> None:
    """Record the databases that this build has written."""
    for source, target in (
        ("state/agent.db", "agent/agent.db"),
        ("rollouts/rollouts.db", "fleet/rollouts.db"),
    ):
        (STORED / target).parent.mkdir(parents=True, exist_ok=True)
        database = sqlite3.connect(folder / source)
        database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        database.execute("PRAGMA journal_mode=DELETE")
        database.close()
        shutil.copy(folder / source, STORED / target)


def json_values(text: str) -> list[Any]:
    """Return the JSON values of a text that holds one after another."""
    decoder = json.JSONDecoder()
    found = []
    rest = text.lstrip()
    while rest:
        value, end = decoder.raw_decode(rest)
        found.append(value)
        rest = rest[end:].lstrip()
    return found


def test_a_rollout_by_reload_and_by_restart(site: Site) -> None:
    for name in site.names:
        site.configure(name, sockets=900)
    plan = site.run_fleet("rollout", "plan", "--json")
    assert plan.returncode == 0, plan.stderr
    assert_recorded_shape("rollout_plan", json.loads(plan.stdout))
    for method in ("reload", "restart"):
        done = site.run_fleet("rollout", "run", "--json", "--method", method)
        assert done.returncode == 0, done.stdout + done.stderr
        assert_recorded_shape("rollout_run", json.loads(done.stdout))
    status = site.run_fleet("rollout", "status", "--json")
    assert_recorded_shape("rollout_status", json.loads(status.stdout))
    wait_for(site.is_serving, "the site to serve again")


def test_orders_and_the_agents_reports_on_instances(site: Site) -> None:
    for order in ("reload", "drain", "undrain"):
        done = site.run_fleet(order, "two", "--json", "--deadline", "10")
        assert done.returncode == 0, done.stdout + done.stderr
        assert_recorded_shape(f"order_{order}", json.loads(done.stdout))
    wait_for(site.is_serving, "the site to serve again")
    assert_recorded_shape("fleet_list", json.loads(site.run_fleet("list", "--json").stdout))
    inspected = json.loads(site.run_fleet("inspect", "--deadline", "10").stdout)
    assert_recorded_shape("fleet_inspect", inspected)
    events = json_values(site.run_fleet("events", "--json").stdout)
    assert_recorded_shape("fleet_events", events)


def test_the_database_of_an_earlier_build_is_read_and_keeps_its_schema(site: Site) -> None:
    stored = json_values(site.run_fleet("events", "--json").stdout)
    assert_recorded_shape("database_agent", database_schema(site.folder / "state" / "agent.db"))
    found = database_schema(site.folder / "state" / "agent.db")
    assert found == golden("schema_agent", found)
    found = database_schema(site.folder / "rollouts" / "rollouts.db")
    assert found == golden("schema_fleet", found)
    if RECORDING:
        return
    old = sqlite3.connect(f"file:{STORED / 'agent' / 'agent.db'}?mode=ro", uri=True)
    last = old.execute("SELECT max(number) FROM events").fetchone()[0]
    kinds = [row[0] for row in old.execute("SELECT what FROM events ORDER BY number")]
    old.close()
    assert [event["what"] for event in stored if event["number"] <= last] == kinds
    old = sqlite3.connect(f"file:{STORED / 'fleet' / 'rollouts.db'}?mode=ro", uri=True)
    rollout, state = old.execute(
        "SELECT id, state FROM rollouts ORDER BY number LIMIT 1"
    ).fetchone()
    old.close()
    status = json.loads(site.run_fleet("rollout", "status", rollout, "--json").stdout)
    assert status["state"] == state
    assert_recorded_shape("rollout_status", status)


def test_an_agents_database_of_the_first_schema_is_brought_up_to_date(tmp_path: Path) -> None:
    if RECORDING:
        return
    shutil.copytree(STORED / "agent", tmp_path / "state")
    database = sqlite3.connect(tmp_path / "state" / "agent.db")
    database.executescript("DROP TABLE fences; PRAGMA user_version=1;")
    database.close()
    assert run("agent", "key", "fleet.key", folder=tmp_path).returncode == 0
    (tmp_path / "agent.toml").write_text(
        f'name = "h1"\nlisten = "127.0.0.1:{free_port()}"\nkey = "fleet.key"\nstate = "state"\n'
        '[[instances]]\nname = "other"\nkind = "serve"\nconfig = "none.json"\ncheck = "127.0.0.1:1"\n'
    )
    expected = golden("schema_agent", None)
    with running("agent", "run", "--config", "agent.toml", folder=tmp_path):
        wait_for(
            lambda: database_schema(tmp_path / "state" / "agent.db") == expected, "the new schema"
        )


def test_records_in_the_store(site: Site) -> None:
    store = redis.Redis.from_url(site.store, protocol=2, driver_info=None)

    def stored_records() -> dict[str, Any]:
        keys = sorted(key.decode() for key in store.keys("*"))
        return {key: json.loads(store.get(key)) for key in keys}

    wait_for(
        lambda: len([key for key in stored_records() if ":instance:" in key]) == len(site.names),
        "both instances",
    )
    found = stored_records()
    assert_recorded_shape("store", found)
    store.close()


def test_the_http_interface_for_operators(site: Site, tmp_path: Path) -> None:
    port, control = free_port(), free_port()
    (tmp_path / "n1.json").write_text(
        json.dumps(dispatcher_file("n1", f"127.0.0.1:{port}", site.discovery))
    )
    with running(
        "serve",
        "--config",
        "n1.json",
        folder=tmp_path,
        variables={"ROUTER_CONTROL": f"127.0.0.1:{control}"},
    ):
        wait_for(
            lambda: try_http_call(control, "GET", "/api/ready") == (200, "ready\n"),
            "the dispatcher",
        )
        assert send_request(port, 1).read()
        status, telemetry = http_call(control, "GET", "/api/telemetry")
        calls = [
            ("GET", "/api/ready"),
            ("POST", "/api/ready"),
            ("GET", "/nowhere"),
            ("GET", "/api/exclude?host=x"),
            ("POST", "/api/exclude"),
            ("POST", "/api/exclude?host="),
            ("POST", "/api/exclude?host=a&host=b"),
            ("POST", "/api/exclude?host=none"),
            ("POST", f"/api/exclude?host={READER}"),
            ("POST", f"/api/include?host={READER}"),
        ]
        found = {
            f"{method} {target}": http_call(control, method, target) for method, target in calls
        }
        found["telemetry"] = (status, sorted(row.partition("=")[0] for row in telemetry.split()))
        assert json.loads(json.dumps(found)) == golden("operators_address", found)
        check_shared_files(tmp_path)


def try_http_call(port: int, method: str, target: str) -> tuple[int, str] | None:
    """Return status and body, or None if the call failed, as while nothing listens yet."""
    try:
        return http_call(port, method, target)
    except OSError:
        return None


def check_shared_files(folder: Path) -> None:
    """Check names and keys of the files that the processes of one dispatcher share."""
    (shared,) = [path for path in folder.iterdir() if DISPATCHER_FOLDER.match(path.name)]
    (process,) = [path for path in shared.iterdir() if PROCESS_FILE.match(path.name)]
    assert_recorded_shape("process_file", json.loads(process.read_text()))
    excluded = json.loads((shared / "excluded.json").read_text())
    assert_recorded_shape("exclusions", excluded)
    assert excluded["excluded"] == []


def test_exclusions_of_an_earlier_process_stay_in_force(site: Site, tmp_path: Path) -> None:
    port, control = free_port(), free_port()
    (tmp_path / "n1.json").write_text(
        json.dumps(dispatcher_file("n1", f"127.0.0.1:{port}", site.discovery))
    )
    control_variables = {"ROUTER_CONTROL": f"127.0.0.1:{control}"}
    for attempt in range(2):
        with running("serve", "--config", "n1.json", folder=tmp_path, variables=control_variables):
            wait_for(
                lambda: try_http_call(control, "GET", "/api/ready") == (200, "ready\n"),
                "the dispatcher",
            )
            rows = dict(
                row.split("=") for row in http_call(control, "GET", "/api/telemetry")[1].split()
            )
            assert rows["svc.members_unavailable"] == str(attempt)
            if not attempt:
                (shared,) = [
                    path for path in tmp_path.iterdir() if DISPATCHER_FOLDER.match(path.name)
                ]
                stored = json.dumps({"version": 3, "excluded": [READER]})
        (shared / "excluded.json").write_text(stored)


def test_the_message_that_offers_a_stream_for_migration(site: Site, tmp_path: Path) -> None:
    """The test acts as the successor process: it receives an offer and does not accept it."""
    port, control = free_port(), free_port()
    (tmp_path / "n1.json").write_text(
        json.dumps(dispatcher_file("n1", f"127.0.0.1:{port}", site.discovery))
    )
    with running(
        "serve",
        "--config",
        "n1.json",
        folder=tmp_path,
        variables={"ROUTER_CONTROL": f"127.0.0.1:{control}"},
    ) as process:
        wait_for(
            lambda: try_http_call(control, "GET", "/api/ready") == (200, "ready\n"),
            "the dispatcher",
        )
        (shared,) = [path for path in tmp_path.iterdir() if DISPATCHER_FOLDER.match(path.name)]
        receiver = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        original_folder = os.getcwd()
        os.chdir(shared)
        receiver.bind(f"{SUCCESSOR}.heir")
        os.chdir(original_folder)
        receiver.listen(8)
        receiver.settimeout(30)
        with (shared / f"{SUCCESSOR}.new").open("w") as process_file:
            fcntl.flock(process_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            process_file.write(json.dumps({"seen": 0, "limit": 512}).ljust(64))
            process_file.flush()
            (shared / f"{SUCCESSOR}.new").rename(shared / f"{SUCCESSOR}.process")
            stream = send_request(port, 7, tokens=5_000)
            assert stream.read(1)
            process.terminate()
            offer, _ = receiver.accept()
            message, descriptors, _, _ = socket.recv_fds(offer, 64 * 1024, 2)
            offer.close()
            for descriptor in descriptors:
                os.close(descriptor)
            assert len(descriptors) == 2
            assert_recorded_shape("migration", json.loads(message))
            assert json.loads(message)["version"] == 2
            if RECORDING:
                (STORED / "migration.json").write_bytes(message)
        receiver.close()


@pytest.mark.parametrize("version", [1, 2])
def test_a_stored_migration_message_is_accepted(site: Site, tmp_path: Path, version: int) -> None:
    """The test acts as the previous process and offers a stream; the real successor accepts it."""
    if RECORDING:
        return
    port, control = free_port(), free_port()
    (tmp_path / "n1.json").write_text(
        json.dumps(dispatcher_file("n1", f"127.0.0.1:{port}", site.discovery))
    )
    with running(
        "serve",
        "--config",
        "n1.json",
        folder=tmp_path,
        variables={"ROUTER_CONTROL": f"127.0.0.1:{control}"},
    ):
        wait_for(
            lambda: try_http_call(control, "GET", "/api/ready") == (200, "ready\n"),
            "the dispatcher",
        )
        (shared,) = [path for path in tmp_path.iterdir() if DISPATCHER_FOLDER.match(path.name)]
        (offer_socket,) = wait_for(
            lambda: list(shared.glob("*.heir")), "the socket for offers of streams"
        )
        message = json.loads((STORED / "migration.json").read_text())
        message["version"] = version
        with socket.create_server(("127.0.0.1", 0)) as server:
            pairs = [
                (socket.create_connection(server.getsockname()), server.accept()[0])
                for _ in range(2)
            ]
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as offer:
            offer.settimeout(30)
            original_folder = os.getcwd()
            os.chdir(shared)
            offer.connect(offer_socket.name)
            os.chdir(original_folder)
            socket.send_fds(
                offer, [json.dumps(message).encode()], [near.fileno() for near, _ in pairs]
            )
            assert offer.recv(1) == b"1"
        for near, far in pairs:
            near.close()
            far.close()
