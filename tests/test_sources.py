"""Watched files: each version is applied completely or rejected.

The tests cover the single parts, both fronts, and the ways in which a file can change.
"""

import asyncio
import json
import os
import random
import shutil
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import structlog
from cluster import run_async
from helpers import RouterDriver
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import Client, DecodeServer, PrefillServer, RespStore, ToolServer, send_text, until
from typer.testing import CliRunner

from onyxpass.config.platform_file import Address, Config, ConfigError, parse
from onyxpass.config.settings import read_settings
from onyxpass.config.toml_config import schema_text
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.history_checkers.trace import EventKind, breaches
from onyxpass.scheduling import contract
from onyxpass.serve import DispatcherProcess
from onyxpass.sources import membership, schema, snapshot
from onyxpass.sources.cli import servers_app
from onyxpass.sources.debounce import Debouncer, contents_digest
from onyxpass.sources.format import formatted
from onyxpass.sources.index import ServerIndex
from onyxpass.sources.membership_view import (
    EMPTY_VIEW,
    MembershipView,
    accepts_new_requests,
    compare,
)
from onyxpass.sources.schema import GuardsTable, ParsedFiles, SourcesFile, WatchedFile
from onyxpass.sources.validation import Accepted, Rejected, Unchanged, validate
from onyxpass.sources.weight_ramp import WeightRamp
from onyxpass.testbed.client import send_request
from onyxpass.testbed.replicas import Speed, StandinFleet
from onyxpass.testbed.settings import SETTINGS, dispatcher_config
from onyxpass.toolcalls import service
from onyxpass.toolcalls.service import ToolcallService
from tests.support.dispatcher_bed import ManualClock

ROOT = Path(__file__).parent.parent
ROLES = {"reader": contract.Role.PREFILL, "writer": contract.Role.DECODE}
DEFAULT_GUARDS = GuardsTable()
NO_REMOVAL_LIMITS = GuardsTable(removed="100%", removed_role="100%", removed_hall="100%")


def row(id: str, kind: str = "reader", port: int = 1, hall: str = "derby", **more: object) -> str:
    fields = {
        "id": id,
        "kind": kind,
        "hall": hall,
        "cell": 0,
        "address": f"127.0.0.1:{port}",
        **more,
    }
    return "[[servers]]\n" + "".join(
        f"{k} = {json.dumps(v, ensure_ascii=False)}\n" for k, v in fields.items()
    )


GOOD = (
    row("r1")
    + "\n"
    + row("r2", port=2)
    + "\n"
    + row("w1", "writer", 3)
    + "\n"
    + row("w2", "writer", 4)
)


def validated(
    *texts: str | bytes,
    old: MembershipView = EMPTY_VIEW,
    guards: GuardsTable = NO_REMOVAL_LIMITS,
    now_us: int = 7,
) -> Any:
    files = {f"{i}.toml": t.encode() if isinstance(t, str) else t for i, t in enumerate(texts)}
    return validate(old, schema.parse_files(files, list(ROLES)[:2], True), ROLES, guards, now_us)


def view(*texts: str) -> MembershipView:
    result = validated(*texts)
    assert isinstance(result, Accepted), result
    return result.view


# Parsing


@pytest.mark.parametrize(
    ("old", "new", "place", "why"),
    [
        ('id = "r2"', 'id = "r1"', "0.toml:8:1", "'r1' is defined here and at 0.toml:1"),
        ("127.0.0.1:2", "127.0.0.1:1", "0.toml:8:1", "has the address of 'r1'"),
        ('kind = "writer"', 'kind = "writter"', "0.toml:17:8", "did you mean 'writer'"),
        ('hall = "derby"\n', "", "0.toml:2:6", "no hall"),
        ("cell = 0", "cel = 0", "0.toml:5:7", "did you mean 'cell'"),
        ("cell = 0", "weight = -1", "0.toml:5:10", "weight"),
        ("cell = 0", "weight = nan", "0.toml:5:10", "weight"),
        ("cell = 0", 'cell = "0"', "0.toml:5:8", "cell"),
        ('id = "r2"', 'id = "r\\u200b2"', "0.toml:9:6", "invisible characters"),
        ("[[servers]]", "[[servers]", "0.toml:1:", ""),
        ("127.0.0.1:2", "here", "0.toml:13:11", "not an address"),
        ("127.0.0.1:2", "127.0.0.1:0", "0.toml:13:11", "port 0 can't be reached"),
    ],
)
def test_a_fault_is_reported_with_its_position_and_a_suggestion(
    old: str, new: str, place: str, why: str
) -> None:
    result = validated(GOOD.replace(old, new, 1))
    assert isinstance(result, Rejected)
    assert any(place in reason and why in reason for reason in result.reasons), result.reasons


def cuts(text: str) -> Iterator[str]:
    """Yield every part of a text that a writer held up in its middle may have written."""
    return (text[:length] for length in range(len(text)))


@pytest.mark.parametrize(
    "drain",
    [
        'state = "draining"',
        "weight = 0",
        'weight = 0\nstate = "draining"',
        'state = "active"\nweight = 0',
    ],
)
@pytest.mark.parametrize("order", ["state last", "state first"])
def test_no_part_of_a_file_puts_a_drained_server_back_to_work(drain: str, order: str) -> None:
    """Guards against requests at a drained server: a file that is cut off before the line that
    drains it can be parsed, and the server was taken for active.
    """
    head, *keys = row("w2", "writer", 4).splitlines()
    lines = [head, keys[0], *drain.splitlines(), *keys[1:]]
    drained = "\n".join(lines if order == "state first" else [head, *keys, *drain.splitlines()])
    text = GOOD.replace(row("w2", "writer", 4), drained + "\n")
    old = view(text)
    assert not accepts_new_requests(old.entries["w2"])
    for part in cuts(text.replace('"r1"', '"r7"').replace("127.0.0.1:1", "127.0.0.1:77")):
        result = validated(part, old=old)
        if isinstance(result, Accepted) and "w2" in result.view.entries:
            assert not accepts_new_requests(result.view.entries["w2"]), part


@pytest.mark.parametrize(
    ("drain", "end"),
    [
        ('state = "draining"', 'state = "active"'),
        ("weight = 0", "weight = 0.5"),
        ("weight = 0", 'weight = 1.0\nstate = "active"'),
        ('state = "active"\nweight = 0', 'state = "active"\nweight = 0.5'),
    ],
)
def test_a_drained_server_takes_work_again_if_the_file_says_so(drain: str, end: str) -> None:
    old = view(GOOD + drain)
    assert not accepts_new_requests(old.entries["w2"])
    rejected = validated(GOOD, old=old)
    assert isinstance(rejected, Rejected)
    (reason,) = (reason for reason in rejected.reasons if "0.toml:22" in reason)
    for key, advice in (("weight", "its weight"), ("state", 'state = "active"')):
        assert (key in drain) == (advice in reason), "it says what to write"
    assert accepts_new_requests(validated(GOOD + end, old=old).view.entries["w2"])


def test_a_weight_alone_does_not_end_a_drain_by_state() -> None:
    old = view(GOOD + 'state = "draining"\nweight = 0')
    assert isinstance(validated(GOOD + "weight = 2.0", old=old), Rejected)


def test_a_state_alone_does_not_end_a_drain_by_weight() -> None:
    old = view(GOOD + "weight = 0")
    assert isinstance(validated(GOOD + 'state = "active"', old=old), Rejected)


def test_over_discovery_a_drained_server_is_not_forgotten_by_a_file_that_is_cut_off() -> None:
    def parsed(text: str) -> ParsedFiles:
        return schema.parse_files({"x": text.encode()}, list(ROLES), False)

    def result(old: MembershipView, text: str) -> Any:
        return validate(old, parsed(text), ROLES, NO_REMOVAL_LIMITS, 7, sole_source=False)

    first = '[[servers]]\nid = "r1"\nweight = 2.0\n'
    old = result(EMPTY_VIEW, first + '[[servers]]\nid = "r2"\nstate = "draining"\n').view
    assert isinstance(result(old, first), Rejected)
    assert isinstance(result(old, '[change]\nremoves = ["r2"]\n' + first), Accepted)
    assert isinstance(result(old, first + '[[servers]]\nid = "r2"\n'), Rejected)


@pytest.mark.parametrize(
    ("end", "is_complete"),
    [
        ("[end]\n", True),
        ("[end]", True),
        ("  [ end ]  # written\n\n# by a script\n", True),
        ("", False),
        ("# [end]\n", False),
        ("[end]\n" + row("w9", "writer", 9), False),
        ("[end]\nat = 1\n", False),
    ],
)
def test_with_an_end_mark_a_file_counts_once_it_was_written_to_its_end(
    end: str, is_complete: bool
) -> None:
    files = {"0.toml": (GOOD + end).encode()}
    parsed = schema.parse_files(files, list(ROLES), True, require_end=True)
    assert bool(parsed.faults) != is_complete, parsed.faults


def test_with_an_end_mark_no_part_of_a_file_counts() -> None:
    for part in cuts(GOOD + "[end]"):
        files = {"0.toml": part.encode()}
        assert schema.parse_files(files, list(ROLES), True, require_end=True).faults, part


def test_a_byte_order_mark_is_no_fault() -> None:
    assert set(view(GOOD).entries) == set(validated(b"\xef\xbb\xbf" + GOOD.encode()).view.entries)


def test_ids_may_use_other_alphabets_and_several_files_are_one_list() -> None:
    assert set(view(GOOD, row("лектор-9.ресифи", port=9)).entries) == {
        "r1",
        "r2",
        "w1",
        "w2",
        "лектор-9.ресифи",
    }
    moved = validated(GOOD, row("r1", port=9))
    unread = validate(
        EMPTY_VIEW,
        schema.parse_files({"a": PermissionError(13, "Permission denied")}, [], True),
        ROLES,
        NO_REMOVAL_LIMITS,
        0,
    )
    assert unread == Rejected(("a: Permission denied",))
    assert isinstance(moved, Rejected) and "1.toml:1:1" in moved.reasons[0], (
        "in both files while it moves"
    )


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.integers(0, len(GOOD.encode())), st.data())
def test_no_truncation_or_mutation_crashes_or_gives_a_partial_view(
    cut: int, data: st.DataObject
) -> None:
    old, text = view(GOOD), GOOD.encode()
    kind = data.draw(st.sampled_from(("cut", "flip", "drop", "double")))
    end = data.draw(st.integers(cut, len(text)))
    if kind == "cut":
        text = text[:cut]
    elif kind == "flip":
        text = text[:cut] + bytes([data.draw(st.integers(0, 255))]) + text[cut + 1 :]
    elif kind == "drop":
        text = text[:cut] + text[end:]
    else:
        text = text[:end] + text[cut:]
    result = validated(text, old=old, guards=GuardsTable())
    if isinstance(result, Accepted):
        parsed = schema.parse_files({"x": text}, list(ROLES), True)
        assert not parsed.faults and len(result.view.entries) == len(parsed.entries)
        kinds = Counter(entry.server.kind for entry in result.view.entries.values())
        assert kinds["reader"] >= 1 and kinds["writer"] >= 1
    assert dict(old.entries) == dict(view(GOOD).entries), (
        "validation does not modify the view in force"
    )


# Validation


def test_guards_hold_and_change_removes_lifts_only_those_on_removal() -> None:
    ten = "".join(
        row(f"r{i}", port=i + 1, hall="derby" if i < 5 else "boa-vista") for i in range(10)
    )
    writers = row("w1", "writer", 98, "boa-vista") + row("w2", "writer", 99, "boa-vista")
    old = view(ten + writers)

    def without(*names: str, change: str = "", guards: GuardsTable = DEFAULT_GUARDS) -> Any:
        rows = [r for r in (ten + writers).split("[[servers]]\n") if r and not r.startswith(tuple(
            f'id = "{name}"' for name in names))]  # fmt: skip
        return validated(
            change + "".join("[[servers]]\n" + r for r in rows), old=old, guards=guards
        )

    assert isinstance(without("r1"), Accepted)
    for names, why in (
        (("w1", "w2"), "0 writers would be left"),
        (tuple(f"r{i}" for i in range(10)), "0 readers would be left"),
        (tuple(f"r{i}" for i in (0, 1, 2, 6, 7)), "guards.removed allows 4"),
        (("r0", "r1", "r2"), "hall 'derby'"),
    ):
        result = without(*names)
        assert isinstance(result, Rejected) and why in str(result.reasons)
    removal = '[change]\nremoves = ["r0", "r1", "r2"]\n'
    assert isinstance(without("r0", "r1", "r2", change=removal), Accepted)
    few = without("r0", change=removal, guards=GuardsTable(halls={"derby": 5}))
    assert isinstance(few, Rejected) and "guards.halls.derby is 5" in str(few.reasons)
    nothing = validated(ten + writers + row("r10", port=50, weight=0), old=old)
    assert isinstance(nothing, Accepted)
    assert nothing.view.entries["r10"].server.condition is contract.EndpointCondition.DRAINING
    drained = validated(
        (ten + writers).replace('"writer"', '"writer"\nstate = "draining"'), old=old
    )
    assert isinstance(drained, Rejected), "draining all writers counts as removing them"


def test_a_server_with_a_new_address_is_cold_and_an_unchanged_one_is_not() -> None:
    old = view(GOOD)
    assert isinstance(validated(GOOD, old=old), Unchanged)
    assert isinstance(validated("# a comment\n" + GOOD.replace("\n\n", "\n"), old=old), Unchanged)
    result = validated(
        GOOD.replace("127.0.0.1:2", "127.0.0.1:22") + row("r9", port=9), old=old, now_us=77
    )
    assert isinstance(result, Accepted) and result.difference.moved == ("r2",)
    started_us = {name: entry.server.started_us for name, entry in result.view.entries.items()}
    assert started_us == {"r1": None, "r2": 77, "w1": None, "w2": None, "r9": 77}
    later = validated(GOOD.replace("127.0.0.1:2", "127.0.0.1:22"), old=result.view, now_us=99)
    assert isinstance(later, Accepted) and later.view.entries["r2"].server.started_us == 77
    assert later.view.number == 3 and later.difference.removed == ("r9",)


def test_files_are_validated_once_unchanged_later_for_removals_and_despite_constant_changes() -> (
    None
):
    debouncer = Debouncer(settle_s=0.1, leave_s=1.0)
    assert debouncer.seconds_until_due(b"a", 0.0, False) == pytest.approx(0.1)
    assert debouncer.seconds_until_due(b"a", 0.1, False) == 0.0
    debouncer.mark_validated(b"a")
    assert debouncer.seconds_until_due(b"a", 5.0, False) is None, "each version is validated once"
    assert debouncer.seconds_until_due(b"b", 6.0, True) == pytest.approx(1.0)
    assert debouncer.seconds_until_due(b"c", 6.5, False) == pytest.approx(0.1), (
        "the server has moved to the other file"
    )
    now_s, n = 7.0, 0
    debouncer.mark_validated(b"c")
    while debouncer.seconds_until_due(b"%d" % n, now_s, False) != 0.0:
        now_s, n = now_s + 0.05, n + 1
    assert now_s == pytest.approx(8.0, abs=0.1)
    assert contents_digest({"a": b"xy", "b": b""}) != contents_digest({"a": b"x", "b": b"y"})


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.dictionaries(st.sampled_from("abcd"), st.sampled_from((0.0, 0.5, 1.0, 4.0))), max_size=8
    )
)
def test_weights_move_in_small_steps_to_their_targets(views: list[dict[str, float]]) -> None:
    ramp, now_s = WeightRamp(10.0), 0.0
    for weights in views:
        ramp.set_targets(weights, set(), now_s)
        before = dict(ramp.current)
        for _ in range(7):
            now_s += 0.5
            for name, weight in ramp.advance(now_s).items():
                assert abs(weight - before[name]) <= 4.0 * 0.5 / 10.0 + 4.0 / 20 + 1e-9
            before = dict(ramp.current)
    now_s += 20
    ramp.advance(now_s)
    assert ramp.current == (views[-1] if views else {}) and ramp.step_interval_s is None


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_the_index_updated_in_place_equals_a_rebuilt_one(seed: int) -> None:
    rng = random.Random(seed)
    names = [f"s{i}" for i in range(12)]
    old: dict[str, schema.ServerEntry] = {}
    index = ServerIndex(ROLES)
    for _ in range(12):
        new = {}
        for name in names:
            if rng.random() < 0.7:
                server = contract.Endpoint(
                    name,
                    rng.choice(("reader", "writer")),
                    rng.choice(("a", "b")),
                    rng.randrange(2),
                    condition=rng.choice(
                        (
                            contract.EndpointCondition.UP,
                            contract.EndpointCondition.UP,
                            contract.EndpointCondition.DRAINING,
                        )
                    ),
                    weight=rng.choice((1.0, 2.0)),
                )
                new[name] = schema.ServerEntry(server, Address("127.0.0.1", rng.choice((1, 2))))
        index.apply(compare(old, new), new)
        built = ServerIndex.build(ROLES, new.values())
        assert index.entries == built.entries and index.by_place == built.by_place
        assert {r: n for r, n in index.by_role.items() if n} == built.by_role
        old = new


def test_a_reader_of_higher_weight_gets_more_prefixes_and_only_those_move() -> None:
    def chosen_readers(weight: float) -> list[str]:
        servers = [
            contract.Endpoint(f"r{i}", "r", weight=weight if i == 0 else 1.0) for i in range(4)
        ]
        driver = RouterDriver(
            [*servers, contract.Endpoint("w0", "w"), contract.Endpoint("w1", "w")]
        )
        return [driver.complete_request(n, f"s{n}", f"p{n}") for n in range(240)]

    even, heavy, light = chosen_readers(1.0), chosen_readers(3.0), chosen_readers(0.2)
    assert heavy.count("r0") > 1.5 * even.count("r0") > 4 * light.count("r0")
    assert all(b in (a, "r0") for a, b in zip(even, heavy, strict=True)), (
        "only prefixes of the heavier reader move"
    )


def test_a_server_that_restarts_repeatedly_has_a_slow_start_each_time() -> None:
    servers = [contract.Endpoint(f"r{i}", "r") for i in range(4)] + [
        contract.Endpoint(f"w{i}", "w") for i in range(4)
    ]
    driver, got = RouterDriver(servers), Counter[str]()
    for n in range(400):
        if n % 20 == 0:  # the same id with a new start time
            restarted = replace(servers[0], started_us=driver.now)
            driver.deliver(
                contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (restarted,), n + 2)
            )
        got[driver.complete_request(n, f"s{n}", f"p{n}")] += 1
    assert 0 < got["r0"] < 0.5 * got["r1"], got


# The snapshot


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 4000), st.integers(0, 255))
def test_a_damaged_snapshot_is_rejected_and_never_partly_read(place: int, byte: int) -> None:
    original = view(GOOD)
    text = snapshot.serialize(original)
    assert snapshot.parse(text) == original
    with pytest.raises(snapshot.SnapshotError):
        snapshot.parse(text[: place % len(text)])
    place %= len(text)
    damaged = text[:place] + bytes([byte]) + text[place + 1 :]
    if damaged != text:
        try:
            parsed = snapshot.parse(damaged)
        except snapshot.SnapshotError:
            return
        assert parsed.entries == original.entries, "only the view's number is outside the checksum"


# The watcher, with real files


class Fleet:
    """A fleet that only records the addresses."""

    def __init__(self) -> None:
        self.addresses: dict[str, Address] = {}

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        if left:
            del self.addresses[server.id]
        else:
            self.addresses[server.id] = address


class WatchedFolder:
    def __init__(self, folder: Path, **more: Any) -> None:
        self.folder = folder
        clock = ManualClock()
        self.core = RequestDispatcher(read_settings(SETTINGS), 1, clock, TimerWheel(clock))
        defaults: dict[str, Any] = {
            "settle_s": 0.03,
            "leave_s": 0.06,
            "poll_s": 0.1,
            "ramp_s": 0.0,
            "snapshot": "snap",
        }
        file = SourcesFile(**{"watch": ["servers.d", "more.toml"], **defaults, **more})
        self.fleet = Fleet()
        self.source = membership.FileSource(
            self.core, self.fleet, membership.SourcesConfig(file, folder)
        )
        self.task: asyncio.Task[None] | None = None

    def write(self, text: str | bytes, name: str = "servers.d/a.toml") -> None:
        path = self.folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(text.encode() if isinstance(text, str) else text)

    async def wait_for_servers(self, *names: str) -> None:
        await until(
            lambda: set(self.core.endpoints.by_id) == set(names) == set(self.fleet.addresses)
        )

    async def refuses(self, count: int) -> None:
        await until(lambda: self.source.refused >= count)


@asynccontextmanager
async def watched_folder(
    folder: Path, text: str | None = GOOD, **more: Any
) -> AsyncIterator[WatchedFolder]:
    w = WatchedFolder(folder, **more)
    (folder / "more.toml").write_text("")
    if text is not None:
        w.write(text)
    w.task = asyncio.create_task(w.source.follow())
    try:
        yield w
    finally:
        w.task.cancel()
        await asyncio.gather(w.task, return_exceptions=True)


def test_files_are_applied_completely_however_they_are_changed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with watched_folder(tmp_path, None) as w:
            await w.refuses(1)  # the folder is missing: no reader and no writer
            assert not w.source.ready
            w.write(GOOD)  # the folder appears later
            await w.wait_for_servers("r1", "r2", "w1", "w2")
            w.write(GOOD[: len(GOOD) // 2])  # partly written
            await w.refuses(2)
            w.write(GOOD + row("r3", port=5))
            await w.wait_for_servers("r1", "r2", "r3", "w1", "w2")
            # An editor writes a temporary file and renames it.
            temporary = tmp_path / "servers.d" / ".a.toml.swp"
            temporary.write_text(GOOD)
            temporary.replace(tmp_path / "servers.d" / "a.toml")
            await w.wait_for_servers("r1", "r2", "w1", "w2")
            (tmp_path / "servers.d" / "a.toml").unlink()  # removed, and written again
            w.write(GOOD + row("r4", port=6))
            await w.wait_for_servers("r1", "r2", "r4", "w1", "w2")
            w.write(row("r5", port=7), "more.toml")
            await w.wait_for_servers("r1", "r2", "r4", "r5", "w1", "w2")
            # The server moves to the other file and is in both files for a moment.
            w.write(GOOD + row("r5", port=7))
            w.write("", "more.toml")
            await w.wait_for_servers("r1", "r2", "r5", "w1", "w2")
            for name, text in (("1", GOOD), ("2", GOOD + row("r6", port=8))):
                (tmp_path / name).mkdir()
                (tmp_path / name / "a.toml").write_text(text)
            shutil.rmtree(tmp_path / "servers.d")
            (tmp_path / "servers.d").symlink_to("1")
            await w.wait_for_servers("r1", "r2", "w1", "w2")
            (tmp_path / "next").symlink_to("2")
            (tmp_path / "next").replace(tmp_path / "servers.d")  # the symlink is replaced
            await w.wait_for_servers("r1", "r2", "r6", "w1", "w2")
            version = w.source.view.number
            for _ in range(500):  # the file is replaced with the same contents
                (tmp_path / "2" / "b").write_text(GOOD + row("r6", port=8))
                (tmp_path / "2" / "b").replace(tmp_path / "2" / "a.toml")
            await asyncio.sleep(0.3)
            assert w.source.view.number == version and w.source.status()["notified"]

    run_async(scenario)


def test_polling_finds_a_change_whose_notification_is_lost(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with watched_folder(tmp_path) as w:
            w.source.watcher.changed.set = lambda: None  # type: ignore[method-assign]
            await w.wait_for_servers("r1", "r2", "w1", "w2")
            w.write(GOOD + row("r3", port=5))
            await w.wait_for_servers("r1", "r2", "r3", "w1", "w2")

    run_async(scenario)


def test_a_start_with_invalid_files_serves_from_the_snapshot_and_logs_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with watched_folder(tmp_path) as w:
            await w.wait_for_servers("r1", "r2", "w1", "w2")
            w.write(GOOD + row("r3", port=5))
            await w.wait_for_servers("r1", "r2", "r3", "w1", "w2")
            number = w.source.view.number
            await until(lambda: snapshot.load(tmp_path / "snap").number == number)
        with structlog.testing.capture_logs() as lines:
            async with watched_folder(tmp_path, GOOD[:-20]) as w:
                await w.wait_for_servers("r1", "r2", "r3", "w1", "w2")
                assert w.source.from_snapshot and w.source.view.number == number
                assert any("SNAPSHOT" in line["event"].upper() for line in lines)
                w.write(GOOD)
                await w.wait_for_servers("r1", "r2", "w1", "w2")
                assert w.source.view.number == number + 1 and not w.source.from_snapshot
                # A thread saves the snapshot; without this wait it would overwrite the damage
                # below.
                await until(lambda: snapshot.load(tmp_path / "snap").number == number + 1)
        (tmp_path / "snap").write_bytes((tmp_path / "snap").read_bytes()[:-9])
        async with watched_folder(tmp_path, "nothing") as w:
            await w.refuses(1)
            await asyncio.sleep(0.05)
            assert not w.core.endpoints.by_id and not w.source.ready, (
                "a damaged snapshot is not partly read"
            )

    run_async(scenario)


def test_both_processes_of_an_upgrade_number_the_same_view_alike(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with watched_folder(tmp_path) as old:
            await old.wait_for_servers("r1", "r2", "w1", "w2")
            old.write(GOOD + row("r3", port=5))
            await old.wait_for_servers("r1", "r2", "r3", "w1", "w2")
            await until(lambda: snapshot.load(tmp_path / "snap").number == 2)
            async with watched_folder(tmp_path, GOOD + row("r3", port=5)) as new:
                await new.wait_for_servers("r1", "r2", "r3", "w1", "w2")
                assert new.source.view == old.source.view and new.source.view.number == 2
                for number in range(4, 9):
                    old.write(GOOD + row(f"r{number}", port=number + 10))
                    names = ("r1", "r2", f"r{number}", "w1", "w2")
                    await asyncio.gather(old.wait_for_servers(*names), new.wait_for_servers(*names))
                assert old.source.view.number == new.source.view.number == 7
            await until(lambda: snapshot.load(tmp_path / "snap").number == 7)
            # The thread of the cancelled source may still be saving; it finishes the file.
            await until(lambda: not list(tmp_path.glob("*.new")))

    run_async(scenario)


def test_files_over_discovery_set_weights_and_drains_but_add_no_server() -> None:
    clock = ManualClock()
    core = RequestDispatcher(read_settings(SETTINGS), 1, clock, TimerWheel(clock))
    file = SourcesFile(watch=["x.toml"], mode="over", ramp_s=0.0)
    source = membership.FileSource(core, Fleet(), membership.SourcesConfig(file, Path()))
    rows = ('"r1"\nweight = 2.5\n', '"r2"\nstate = "draining"\n', '"r9"\n')
    text = "".join(f"[[servers]]\nid = {line}" for line in rows)
    result = source._validate(source.view, source._parse({"x.toml": text.encode()}))
    assert isinstance(result, Accepted)
    asyncio.run(source._accept(result.view, result.difference))
    update = contract.EndpointUpdate(
        contract.EndpointUpdateForm.COMPLETE,
        tuple(contract.Endpoint(n, "reader") for n in ("r1", "r2", "r3")),
        version=4,
    )
    by_id = {server.id: server for server in source.apply_overlay(update).endpoints}
    assert (
        by_id["r1"].weight == 2.5 and by_id["r2"].condition is contract.EndpointCondition.DRAINING
    )
    assert by_id["r3"] == update.endpoints[2] and set(by_id) == {"r1", "r2", "r3"}


# Under traffic


def test_thousands_of_versions_under_traffic_route_nothing_by_a_partial_view(
    tmp_path: Path,
) -> None:
    """Guards against requests routed by a partly applied list.

    The files are rewritten as fast as possible, also truncated and invalid; the log line of each
    attempt has the number of the view that routed it.
    """

    async def scenario() -> None:
        fleet = await StandinFleet(
            4, 4, speed=Speed(read_s=0.002, first_s=0.002, token_s=0.0001)
        ).start()
        rng, written, views = random.Random(11), 0, dict[int, frozenset[str]]()
        names = list(fleet.replicas)
        folder = tmp_path / "servers.d"
        folder.mkdir()

        def text(ids: list[str]) -> str:
            rows = [
                row(
                    n,
                    n.split("-")[0],
                    fleet.replicas[n].port,
                    "boa-vista",
                    weight=rng.choice((0.5, 1, 2)),
                )
                for n in ids
            ]
            return "".join(rows)

        def save(content: str) -> None:
            temporary = folder / ".new"
            temporary.write_text(content)
            temporary.replace(folder / "a.toml")

        def in_force(v: MembershipView) -> None:
            views[v.number] = frozenset(v.entries)
            for name in names:
                fleet.trace.record(
                    EventKind.DRAIN_ANNOUNCED, server=name, detail="up" if name in v.entries else ""
                )

        save(text(names))
        guards = '[guards]\nremoved = "100%"\nremoved_role = "100%"\nremoved_hall = "100%"\n'
        (tmp_path / "sources.toml").write_text(
            'watch = ["servers.d"]\nsettle_s = 0.004\nleave_s = 0.004\nramp_s = 0.2\n'
            f'snapshot = "snap"\n{guards}'
        )
        raw = {**dispatcher_config("d", "127.0.0.1:0", fleet), "discovery": ""}
        config: Config = replace(parse(raw, {"ONYXPASS_SERVERS": str(tmp_path / "sources.toml")}))
        with structlog.testing.capture_logs() as lines:
            dispatcher = DispatcherProcess(config)
            assert dispatcher.file_source is not None
            dispatcher.file_source.on_view = in_force
            await dispatcher.start()
            await until(dispatcher.ready)
            stopping = asyncio.Event()

            async def client(number: int) -> None:
                count = 0
                while not stopping.is_set():
                    count += 1
                    traffic_class = ("part-lookup", "shift-summary", "stock-booking")[count % 3]
                    address = ("127.0.0.1", dispatcher.front.port)
                    await send_request(
                        fleet.trace, address, f"c{number}-{count}", traffic_class, f"s{number}", 8
                    )

            clients = [asyncio.create_task(client(n)) for n in range(6)]
            while written < 2500:
                written += 1
                readers = [n for n in names if n.startswith("reader") and rng.random() < 0.7]
                writers = [n for n in names if n.startswith("writer") and rng.random() < 0.7]
                content = text(readers + writers)
                kind = rng.random()
                if kind < 0.2:
                    content = content[: rng.randrange(len(content) + 1)]
                elif kind < 0.3:
                    content += row(names[0], "reader", 9) * 2
                (folder / "a.toml").write_text(content) if kind > 0.9 else save(content)
                await asyncio.sleep(0.006 if written % 8 == 0 else 0.0005)
            save(text(names))
            last = set(names)
            began_s = asyncio.get_running_loop().time()
            await until(lambda: set(dispatcher.core.endpoints.by_id) == last)
            assert asyncio.get_running_loop().time() - began_s < 5.0
            stopping.set()
            await asyncio.gather(*clients)
            await dispatcher.stop()
        await fleet.stop()
        assert len(views) > 20 and dispatcher.file_source.refused > 5
        for members in views.values():
            assert {name.split("-")[0] for name in members} == {"reader", "writer"}
        attempts = [
            line for line in lines if line["event"] in ("served", "attempt") and "server" in line
        ]
        outside = [a for a in attempts if a["end" if "end" in a else "event"] != "not_sent"
                   and a["server"] not in views[a["view"]]]  # fmt: skip
        assert attempts and not outside, outside[:3]
        refusals = [line for line in lines if line["event"] == "refused" and "view" in line]
        assert len(refusals) == dispatcher.file_source.refused and all(
            line["why"] for line in refusals
        )
        served = Counter(event.detail for event in fleet.trace.events_of(EventKind.ANSWERED))
        assert served["served"] > 20 and not served["broken"], served
        assert not breaches(fleet.trace), breaches(fleet.trace)[:5]

    run_async(scenario)


def test_the_second_front_follows_watched_files(tmp_path: Path) -> None:
    async def scenario() -> None:
        store, tools, reader = (
            await RespStore().start(),
            await ToolServer().start(),
            await PrefillServer().start(),
        )
        writers = [
            await DecodeServer(send_text("one")).start(),
            await DecodeServer(send_text("two")).start(),
        ]
        text = (ROOT / "deploy" / "toolcalls.toml").read_text()
        head, rest = (
            text.split("[[servers]]", 1)[0],
            text[text.index("# As the platform's settings") :],
        )
        head = head.replace("127.0.0.1:7410", "127.0.0.1:0").replace(
            "127.0.0.1:7420", tools.address
        )
        (tmp_path / "t.toml").write_text(
            'sources = "s.toml"\n' + head.replace("127.0.0.1:6379", store.address) + rest
        )
        (tmp_path / "s.toml").write_text(
            'watch = ["w.toml"]\nsettle_s = 0.01\nleave_s = 0.01\npoll_s = 0.05\n'
        )

        def save(port: int) -> None:
            (tmp_path / "w.toml").write_text(
                row("reader-1", port=reader.port) + row("writer-1", "writer", port)
            )

        save(writers[0].port)
        front = ToolcallService(service.load(tmp_path / "t.toml"))
        await front.start()
        assert front.file_source is not None
        await until(lambda: len(front.core.endpoints.by_id) == 2)
        client = await Client(front.front.port).start()
        client.generate(1, "part-lookup")
        assert "result" in await client.response(1) and client.texts == ["one"]
        save(writers[1].port)
        await until(lambda: front.file_source is not None and front.file_source.view.number == 2)
        # The server counts as new and cold, so the first requests may be refused.
        for number in range(2, 30):
            client.generate(number, "part-lookup")
            if "result" in await client.response(number):
                break
        assert client.texts == ["one", "two"]
        assert reader.requests[-1]["params"]["view"] == 2
        places: dict[int, set[int]] = {}
        front.file_source.on_view = lambda v: places.update(
            {v.number: {e.address.port for e in v.entries.values() if e.address}}
        )
        before = [len(writer.requests) for writer in writers]
        for number in range(100, 200):  # rapid changes, with a request for each version
            text = row("reader-1", port=reader.port) + row("w-1", "writer", writers[0].port)
            text += (
                row("w-2", "writer", writers[1].port, weight=1 + number % 3) if number % 2 else ""
            )
            cut = len(text) if number % 5 else number % len(text)
            (tmp_path / "w.toml").write_text(text[:cut])
            client.generate(number, ("part-lookup", "stock-booking")[number % 2])
            await asyncio.sleep(0.02)
        for number in range(100, 200):
            assert (
                len(
                    [
                        r
                        for r in client.responses
                        if r["id"] == (await client.response(number))["id"]
                    ]
                )
                == 1
            )
        for writer, count in zip(writers, before, strict=True):
            for asked in writer.requests[count:]:
                if "view" in asked["params"] and asked["method"] == "write":
                    assert (
                        asked["params"]["view"] < 3
                        or writer.port in places[asked["params"]["view"]]
                    )
        assert len(places) >= 2 and len(client.texts) > 5
        refused = front.file_source.refused
        (tmp_path / "w.toml").write_text(
            row("reader-1", port=reader.port).replace("127.0.0.1", "10.0.0.1")
        )
        await until(lambda: front.file_source is not None and front.file_source.refused > refused)
        await client.stop()
        await front.stop()
        for part in (store, tools, reader, *writers):
            await part.stop()
        (tmp_path / "s.toml").write_text('watch = ["w.toml"]\nmode = "over"\n')
        with pytest.raises(ConfigError, match="no discovery"):
            ToolcallService(service.load(tmp_path / "t.toml"))

    run_async(scenario)


# The command line


def test_the_servers_command_checks_compares_formats_and_shows(tmp_path: Path) -> None:
    (tmp_path / "s.toml").write_text('watch = ["w.toml"]\nsnapshot = "snap"\n')
    watched_file, sources = tmp_path / "w.toml", str(tmp_path / "s.toml")
    watched_file.write_text("# readers\n" + GOOD)

    def call(*arguments: str) -> tuple[int, str]:
        invocation = CliRunner().invoke(servers_app, list(arguments))
        assert not isinstance(invocation.exception, Exception), invocation.exception
        return invocation.exit_code, invocation.output

    assert call("check", sources) == (0, "4 servers in 1 files: 4 added\n")
    assert call("show", sources)[0] == 2
    snapshot.save(tmp_path / "snap", view(GOOD))
    assert "view 1, 4 servers" in call("show", sources)[1] and call("diff", sources) == (0, "")
    messy = GOOD.replace(
        'id = "r2"\nkind = "reader"\n', 'kind = "reader" # ours\n\n\n\nid = "r2"\n'
    )
    watched_file.write_text(
        "# readers\n" + messy.replace("127.0.0.1:4", "127.0.0.1:5") + row("r7", port=7)
    )
    code, output = call("diff", sources)
    assert code == 1 and "~ w2: address 127.0.0.1:4 -> 127.0.0.1:5" in output and "+ r7:" in output
    before = watched_file.read_text()
    assert call("fmt", "--check", str(watched_file))[0] == 1 and watched_file.read_text() == before
    assert call("fmt", str(watched_file))[0] == 0
    after = watched_file.read_text()
    assert "# readers" in after and "# ours" in after and formatted(after) == after
    assert (
        schema.parse_files({"a": before.encode()}, [], False).removes
        == schema.parse_files({"a": after.encode()}, [], False).removes
    )
    assert call("fmt", "--check", str(watched_file))[0] == 0
    watched_file.write_text(GOOD[:-9])
    assert call("check", sources)[0] == 1 and call("fmt", str(watched_file))[0] == 2
    assert watched_file.read_text() == GOOD[:-9], "a file with a fault is left unchanged"
    (tmp_path / "s.toml").write_text("watch = []\n")
    code, output = call("check", sources)
    assert code == 2 and f"{sources}:1:" in output and output.count("\n") == 1
    for arguments, model, title, name in (
        ((), WatchedFile, "onyxpass watched file", "servers"),
        (("--sources",), SourcesFile, "onyxpass sources file", "sources"),
    ):
        published = (ROOT / "docs" / "schemas" / f"{name}.schema.json").read_text()
        assert call("schema", *arguments)[1] == published == schema_text(model, title)
    assert membership.load(ROOT / "deploy" / "sources.toml").sole_source
    assert os.path.exists(ROOT / "deploy" / "servers.toml")


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.permutations(("id", "kind", "hall", "cell", "address", "weight")),
    st.integers(0, 3),
    st.booleans(),
)
def test_formatting_changes_no_value_and_is_idempotent(
    keys: list[str], blank: int, comment: bool
) -> None:
    values = {
        "id": '"r1"',
        "kind": '"reader"',
        "hall": '"d"',
        "cell": "3",
        "address": '"127.0.0.1:1"',
        "weight": "2.0",
    }
    body = "".join(
        f"{key} = {values[key]}{' # why' if comment else ''}\n" + "\n" * blank for key in keys
    )
    text = f'# top\n[change]\nremoves = []\n[[servers]]\n{body}# between\n[[servers]]\nid = "r2"\n'
    once = formatted(text)
    assert formatted(once) == once
    before, after = (schema.parse_files({"a": t.encode()}, ["reader"], False) for t in (text, once))
    assert [replace(e, line=0) for e in before.entries] == [
        replace(e, line=0) for e in after.entries
    ]
    assert once.count("#") == text.count("#")
