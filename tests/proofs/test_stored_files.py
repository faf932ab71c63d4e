"""Files that an earlier build stored are read, and this build writes files of the same form."""

import json
import shutil
import sqlite3
from pathlib import Path

from tests.proofs.goldens import DATA, RECORDING, golden
from tests.support.black_box import (
    ROOT,
    database_schema,
    dispatcher_file,
    free_port,
    run,
    running,
    wait_for,
)

STORED = DATA / "stored"
EXPERIMENT = """
name = "small"
policies = ["module", "random"]
baseline = "random"
seeds = [1]

[base]
seconds = 3.0

[axes]
rate = [20.0]
"""


def write_sources(folder: Path) -> None:
    """Write a watched file with two servers, and the file that names it."""
    for name in ("sources.toml", "servers.toml"):
        shutil.copy(ROOT / "deploy" / name, folder / name)


def test_the_stored_snapshot_of_watched_servers(tmp_path: Path) -> None:
    write_sources(tmp_path)
    config = dispatcher_file("n1", f"127.0.0.1:{free_port()}", "")
    (tmp_path / "n1.json").write_text(json.dumps(config))
    snapshot = tmp_path / "servers.snapshot"
    with running("serve", "--config", "n1.json", "--servers", "sources.toml", folder=tmp_path):
        wait_for(snapshot.exists, "the snapshot")
    if RECORDING:
        (STORED / "sources").mkdir(parents=True, exist_ok=True)
        shutil.copy(snapshot, STORED / "sources" / "servers.snapshot")
    stored = (STORED / "sources" / "servers.snapshot").read_bytes()
    assert snapshot.read_bytes() == stored, "the same servers give the same bytes"
    snapshot.write_bytes(stored)
    shown = run("servers", "show", "sources.toml", "--json", folder=tmp_path)
    assert shown.returncode == 0, shown.stderr
    servers = json.loads(shown.stdout)
    assert servers == golden("servers_show", servers)
    watched = (tmp_path / "servers.toml").read_text()
    (tmp_path / "servers.toml").write_text(watched.replace("7440", "7441"))
    changed = run("servers", "diff", "sources.toml", "--json", folder=tmp_path)
    assert changed.returncode == 1, changed.stderr
    assert json.loads(changed.stdout) == golden("servers_diff", json.loads(changed.stdout))


def test_the_stored_state_of_a_node_of_the_desired_configuration(tmp_path: Path) -> None:
    assert run("agent", "key", "fleet.key", folder=tmp_path).returncode == 0
    port = free_port()
    (tmp_path / "node.toml").write_text(
        f'name = "c1"\nrole = "control"\nlisten = "127.0.0.1:{port}"\nkey = "fleet.key"\nfolder = "node"\n'
    )
    if not RECORDING:
        shutil.copytree(STORED / "desired", tmp_path / "node")
    sockets = 900 if RECORDING else 901
    node_arguments = ("--at", f"127.0.0.1:{port}", "--key", "fleet.key")
    with running("desired", "run", "--config", "node.toml", folder=tmp_path):
        wait_for(
            lambda: run("desired", "show", *node_arguments, folder=tmp_path).returncode == 0,
            "the node",
        )
        before = run("desired", "show", *node_arguments, folder=tmp_path).stdout
        assert (
            run(
                "desired", "set", f"limits.sockets={sockets}", *node_arguments, folder=tmp_path
            ).returncode
            == 0
        )
    state = tmp_path / "node" / "state.json"
    written = json.loads(state.read_text())
    if RECORDING:
        (STORED / "desired").mkdir(parents=True, exist_ok=True)
        shutil.copy(state, STORED / "desired" / "state.json")
        return
    stored = json.loads((STORED / "desired" / "state.json").read_text())
    assert written.keys() == stored.keys()
    ((key, _, version, _),) = stored["entries"]
    ((again, value, (number, _), replaces),) = written["entries"]
    assert (again, value, number, replaces) == (key, sockets, version[0] + 1, version), (
        "the next version follows the stored one"
    )
    assert stored["seen"].items() <= written["seen"].items()
    assert "c1" in before


def test_the_stored_results_of_an_experiment(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(EXPERIMENT)
    rows = tmp_path / "rows.db"
    done = run("lab", "run", "small.toml", "--rows", "rows.db", "--workers", "2", folder=tmp_path)
    assert done.returncode == 0, done.stderr
    database = sqlite3.connect(rows)
    database.execute("PRAGMA journal_mode=DELETE")  # one file, like the stored database
    database.close()
    if RECORDING:
        (STORED / "emulator").mkdir(parents=True, exist_ok=True)
        shutil.copy(rows, STORED / "emulator" / "rows.db")
    stored = STORED / "emulator" / "rows.db"
    assert database_schema(rows) == database_schema(stored, immutable=True)
    shutil.copy(stored, rows)
    again = run("lab", "run", "small.toml", "--rows", "rows.db", "--workers", "2", folder=tmp_path)
    compared = run("lab", "compare", "small.toml", "--rows", "rows.db", folder=tmp_path)
    assert (again.returncode, compared.returncode) == (0, 0), again.stderr + compared.stderr
    database = sqlite3.connect(rows)
    (table,) = list(database_schema(rows)["tables"])[:1]
    assert database.execute(f"SELECT count(*) FROM {table}").fetchone()[0] == 2, (
        "runs that have stored results are not repeated"
    )
    database.close()


def test_a_day_of_the_emulator_has_the_same_figures(tmp_path: Path) -> None:
    done = run("lab", "day", "module", "--seconds", "8", "--seed", "3", "--json", folder=tmp_path)
    assert done.returncode == 0, done.stderr
    found = json.loads(done.stdout)
    del found["seconds"]  # duration by the wall clock
    assert found == golden("lab_day", found)
