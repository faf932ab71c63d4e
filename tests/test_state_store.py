"""The agent's state store: durable records, refused files, and a disk that takes no write."""

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from onyxpass.agent.event_records import EventRecords
from onyxpass.agent.instance_records import InstanceRecord, InstanceRecords
from onyxpass.agent.lock_records import FenceRecord, LockRecords, RolloutLockRecord
from onyxpass.agent.operation_records import Operation, OperationRecords, OperationState
from onyxpass.agent.process import ProcessIdentity
from onyxpass.agent.state_database import DATABASE_FILE, SCHEMA_VERSION, StateDatabase
from onyxpass.agent.state_errors import (
    StateStoreInUseError,
    StateStoreVersionError,
    StateStoreWriteError,
)
from onyxpass.agent.state_store import StateStore


@pytest.fixture()
def database() -> Iterator[StateDatabase]:
    opened = StateDatabase(None)
    yield opened
    opened.close()


@contextmanager
def no_writes(database: StateDatabase) -> Iterator[None]:
    """Let the database refuse all writes, as a full disk makes it do."""
    database.execute("PRAGMA query_only=ON")
    try:
        yield
    finally:
        database.execute("PRAGMA query_only=OFF")


def set_version(folder: Path, version: int, statements: str = "") -> None:
    connection = sqlite3.connect(folder / DATABASE_FILE)
    connection.executescript(f"{statements} PRAGMA user_version={version};")
    connection.close()


def test_records_are_read_back_by_the_next_agent(tmp_path: Path) -> None:
    record = InstanceRecord("d1", False, 3, "abc", "l1", ProcessIdentity(7, 8, "boot"), 2, -9)
    with StateStore(tmp_path) as store:
        store.instances.save(record)
        store.locks.save_rollout_lock(RolloutLockRecord("r1", "ana", 30.0))
        store.locks.save_fence("hall", FenceRecord(4, "ana"))
        store.operations.begin(Operation("o1", "d1", "reload"))
    with StateStore(tmp_path) as store:
        assert store.instances.load() == {"d1": record}
        assert store.locks.rollout_lock() == RolloutLockRecord("r1", "ana", 30.0)
        assert store.locks.fences() == {"hall": FenceRecord(4, "ana")}
        (interrupted,) = store.operations.end_interrupted()
        assert interrupted.id == "o1"
        assert interrupted.state is OperationState.UNKNOWN


def test_a_folder_in_use_names_its_owner(tmp_path: Path) -> None:
    with StateStore(tmp_path), pytest.raises(StateStoreInUseError) as caught:
        StateStore(tmp_path)
    assert caught.value.folder == tmp_path
    assert caught.value.owner.isdigit()


def test_a_folder_is_free_again_after_a_refused_opening(tmp_path: Path) -> None:
    StateStore(tmp_path).close()
    set_version(tmp_path, SCHEMA_VERSION + 1)
    with pytest.raises(StateStoreVersionError) as caught:
        StateStore(tmp_path)
    assert (caught.value.found, caught.value.known) == (SCHEMA_VERSION + 1, SCHEMA_VERSION)
    set_version(tmp_path, SCHEMA_VERSION)
    StateStore(tmp_path).close()


def test_a_file_without_fences_is_migrated_and_keeps_its_records(tmp_path: Path) -> None:
    with StateStore(tmp_path) as store:
        store.instances.save(InstanceRecord("d1"))
    set_version(tmp_path, 1, "DROP TABLE fences;")
    with StateStore(tmp_path) as store:
        assert list(store.instances.load()) == ["d1"]
        assert store.locks.fences() == {}


def test_a_launch_is_refused_while_the_disk_takes_no_write(database: StateDatabase) -> None:
    records = InstanceRecords(database)
    with no_writes(database), pytest.raises(StateStoreWriteError, match="readonly"):
        records.save_now(InstanceRecord("d1"))
    assert records.load() == {}


def test_an_operation_is_refused_whole_and_a_later_one_can_begin(database: StateDatabase) -> None:
    records = OperationRecords(database)
    with no_writes(database), pytest.raises(StateStoreWriteError):
        records.begin(Operation("o1", "d1", "drain"))
    records.begin(Operation("o2", "d1", "drain"))
    assert records.find("o1") is None
    assert records.find("o2") is not None


def test_what_happened_on_a_full_disk_is_on_record_after_the_next_flush(
    database: StateDatabase,
) -> None:
    instances, events = InstanceRecords(database), EventRecords(database)
    with no_writes(database):
        instances.save(InstanceRecord("d1", generation=1))
        instances.save(InstanceRecord("d1", generation=2))
        events.append("d1", "running", pid=7)
    assert instances.load() == {}
    database.flush()
    assert instances.load()["d1"].generation == 2
    (event,) = events.after(0)
    assert event.to_dict().items() >= {"instance": "d1", "what": "running", "pid": 7}.items()


def test_a_lock_saved_directly_is_not_undone_by_a_pending_delete(database: StateDatabase) -> None:
    locks = LockRecords(database)
    with no_writes(database):
        locks.delete_rollout_lock()
    lock = RolloutLockRecord("r2", "rui", 10.0)
    locks.save_rollout_lock(lock)
    database.flush()
    assert locks.rollout_lock() == lock
