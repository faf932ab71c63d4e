"""Watched files: whole views or none, in parts and under both fronts, through every way a file
can change.
"""

import asyncio
import json
import os
import random
import shutil
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import structlog
from helpers import Drive
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import Client, Ledger, Reader, RespStore, Writer, say, until
from typer.testing import CliRunner
from world import run

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
from onyxpass.sources.debounce import Settle, contents_of
from onyxpass.sources.format import formatted
from onyxpass.sources.index import Index
from onyxpass.sources.membership_view import EMPTY, View, compare
from onyxpass.sources.schema import GuardsTable, SourcesFile, WatchedFile
from onyxpass.sources.validation import Accepted, Refused, Same, judge
from onyxpass.sources.weight_ramp import Ramp
from onyxpass.testbed.client import ask
from onyxpass.testbed.replicas import Speed, StandinFleet
from onyxpass.testbed.settings import SETTINGS, dispatcher_file
from onyxpass.toolcalls import service
from onyxpass.toolcalls.service import ToolcallService
from tests.support.dispatcher_bed import HandClock

ROOT = Path(__file__).parent.parent
ROLES = {"reader": contract.Role.PREFILL, "writer": contract.Role.DECODE}
STRICT = GuardsTable()
LOOSE = GuardsTable(removed="100%", removed_role="100%", removed_hall="100%")


def row(id: str, kind: str = "reader", port: int = 1, hall: str = "derby", **more: object) -> str:
    told = {"id": id, "kind": kind, "hall": hall, "cell": 0, "address": f"127.0.0.1:{port}", **more}
    return "[[servers]]\n" + "".join(
        f"{k} = {json.dumps(v, ensure_ascii=False)}\n" for k, v in told.items()
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


def verdict(
    *texts: str | bytes, old: View = EMPTY, guards: GuardsTable = LOOSE, now_us: int = 7
) -> Any:
    files = {f"{i}.toml": t.encode() if isinstance(t, str) else t for i, t in enumerate(texts)}
    return judge(old, schema.read(files, list(ROLES)[:2], True), ROLES, guards, now_us)


def view(*texts: str) -> View:
    found = verdict(*texts)
    assert isinstance(found, Accepted), found
    return found.view


# The form


@pytest.mark.parametrize(
    ("old", "new", "place", "why"),
    [
        ('id = "r2"', 'id = "r1"', "0.toml:8:1", "'r1' stands here and at 0.toml:1"),
        ("127.0.0.1:2", "127.0.0.1:1", "0.toml:8:1", "has the address of 'r1'"),
        ('kind = "writer"', 'kind = "writter"', "0.toml:17:8", "did you mean 'writer'"),
        ('hall = "derby"\n', "", "0.toml:2:6", "no hall"),
        ("cell = 0", "cel = 0", "0.toml:5:7", "did you mean 'cell'"),
        ("cell = 0", "weight = -1", "0.toml:5:10", "weight"),
        ("cell = 0", "weight = nan", "0.toml:5:10", "weight"),
        ("cell = 0", 'cell = "0"', "0.toml:5:8", "cell"),
        ('id = "r2"', 'id = "r\\u200b2"', "0.toml:9:6", "can't be seen"),
        ("[[servers]]", "[[servers]", "0.toml:1:", ""),
        ("127.0.0.1:2", "here", "0.toml:13:11", "not an address"),
        ("127.0.0.1:2", "127.0.0.1:0", "0.toml:13:11", "port 0 can't be reached"),
    ],
)
def test_a_fault_is_named_with_its_place_and_likely_intent(
    old: str, new: str, place: str, why: str
) -> None:
    found = verdict(GOOD.replace(old, new, 1))
    assert isinstance(found, Refused)
    assert any(place in reason and why in reason for reason in found.reasons), found.reasons


def test_a_byte_order_mark_is_no_fault() -> None:
    assert set(view(GOOD).entries) == set(verdict(b"\xef\xbb\xbf" + GOOD.encode()).view.entries)


def test_names_of_other_alphabets_are_names_and_a_folder_is_one_list() -> None:
    assert set(view(GOOD, row("лектор-9.ресифи", port=9)).entries) == {
        "r1",
        "r2",
        "w1",
        "w2",
        "лектор-9.ресифи",
    }
    moved = verdict(GOOD, row("r1", port=9))
    unread = judge(
        EMPTY,
        schema.read({"a": PermissionError(13, "Permission denied")}, [], True),
        ROLES,
        LOOSE,
        0,
    )
    assert unread == Refused(("a: Permission denied",))
    assert isinstance(moved, Refused) and "1.toml:1:1" in moved.reasons[0], (
        "seen twice while it moves"
    )


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.integers(0, len(GOOD.encode())), st.data())
def test_no_cut_or_mutation_crashes_or_gives_half_a_view(cut: int, data: st.DataObject) -> None:
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
    found = verdict(text, old=old, guards=GuardsTable())
    if isinstance(found, Accepted):
        draft = schema.read({"x": text}, list(ROLES), True)
        assert not draft.faults and len(found.view.entries) == len(draft.entries)
        kinds = Counter(entry.server.kind for entry in found.view.entries.values())
        assert kinds["reader"] >= 1 and kinds["writer"] >= 1
    assert dict(old.entries) == dict(view(GOOD).entries), "the view in force never changes"


# The judgement


def test_guards_hold_unless_the_files_say_expressly_who_leaves() -> None:
    ten = "".join(
        row(f"r{i}", port=i + 1, hall="derby" if i < 5 else "boa-vista") for i in range(10)
    )
    writers = row("w1", "writer", 98, "boa-vista") + row("w2", "writer", 99, "boa-vista")
    old = view(ten + writers)

    def without(*names: str, change: str = "", guards: GuardsTable = STRICT) -> Any:
        rows = [r for r in (ten + writers).split("[[servers]]\n") if r and not r.startswith(tuple(
            f'id = "{name}"' for name in names))]  # fmt: skip
        return verdict(change + "".join("[[servers]]\n" + r for r in rows), old=old, guards=guards)

    assert isinstance(without("r1"), Accepted)
    for names, why in (
        (("w1", "w2"), "0 writers would be left"),
        (tuple(f"r{i}" for i in range(10)), "0 readers would be left"),
        (tuple(f"r{i}" for i in (0, 1, 2, 6, 7)), "guards.removed allows 4"),
        (("r0", "r1", "r2"), "hall 'derby'"),
    ):
        found = without(*names)
        assert isinstance(found, Refused) and why in str(found.reasons)
    told = '[change]\nremoves = ["r0", "r1", "r2"]\n'
    assert isinstance(without("r0", "r1", "r2", change=told), Accepted)
    few = without("r0", change=told, guards=GuardsTable(halls={"derby": 5}))
    assert isinstance(few, Refused) and "guards.halls.derby is 5" in str(few.reasons)
    nothing = verdict(ten + writers + row("r10", port=50, weight=0), old=old)
    assert isinstance(nothing, Accepted)
    assert nothing.view.entries["r10"].server.condition is contract.EndpointCondition.DRAINING
    drained = verdict((ten + writers).replace('"writer"', '"writer"\nstate = "draining"'), old=old)
    assert isinstance(drained, Refused), "a drain of all writers takes them all away"


def test_what_is_new_at_an_old_id_is_cold_and_what_is_the_same_is_not() -> None:
    old = view(GOOD)
    assert isinstance(verdict(GOOD, old=old), Same)
    assert isinstance(verdict("# a comment\n" + GOOD.replace("\n\n", "\n"), old=old), Same)
    found = verdict(
        GOOD.replace("127.0.0.1:2", "127.0.0.1:22") + row("r9", port=9), old=old, now_us=77
    )
    assert isinstance(found, Accepted) and found.difference.moved == ("r2",)
    born = {name: entry.server.started_us for name, entry in found.view.entries.items()}
    assert born == {"r1": None, "r2": 77, "w1": None, "w2": None, "r9": 77}
    later = verdict(GOOD.replace("127.0.0.1:2", "127.0.0.1:22"), old=found.view, now_us=99)
    assert isinstance(later, Accepted) and later.view.entries["r2"].server.started_us == 77
    assert later.view.number == 3 and later.difference.removed == ("r9",)


def test_files_are_judged_once_still_later_if_servers_leave_and_in_a_storm_all_the_same() -> None:
    settle = Settle(settle_s=0.1, leave_s=1.0)
    assert settle.look(b"a", 0.0, False) == pytest.approx(0.1)
    assert settle.look(b"a", 0.1, False) == 0.0
    settle.done(b"a")
    assert settle.look(b"a", 5.0, False) is None, "judged once"
    assert settle.look(b"b", 6.0, True) == pytest.approx(1.0)
    assert settle.look(b"c", 6.5, False) == pytest.approx(0.1), (
        "the server is in the other file now"
    )
    now_s, n = 7.0, 0
    settle.done(b"c")
    while settle.look(b"%d" % n, now_s, False) != 0.0:
        now_s, n = now_s + 0.05, n + 1
    assert now_s == pytest.approx(8.0, abs=0.1)
    assert contents_of({"a": b"xy", "b": b""}) != contents_of({"a": b"x", "b": b"y"})


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.dictionaries(st.sampled_from("abcd"), st.sampled_from((0.0, 0.5, 1.0, 4.0))), max_size=8
    )
)
def test_weights_move_in_small_steps_to_where_they_should_be(views: list[dict[str, float]]) -> None:
    ramp, now_s = Ramp(10.0), 0.0
    for weights in views:
        ramp.aim(weights, set(), now_s)
        before = dict(ramp.now)
        for _ in range(7):
            now_s += 0.5
            for name, weight in ramp.step(now_s).items():
                assert abs(weight - before[name]) <= 4.0 * 0.5 / 10.0 + 4.0 / 20 + 1e-9
            before = dict(ramp.now)
    now_s += 20
    ramp.step(now_s)
    assert ramp.now == (views[-1] if views else {}) and ramp.next_s is None


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_the_index_changed_in_place_is_the_one_built_anew(seed: int) -> None:
    chance = random.Random(seed)
    names = [f"s{i}" for i in range(12)]
    old: dict[str, schema.Entry] = {}
    index = Index(ROLES)
    for _ in range(12):
        new = {}
        for name in names:
            if chance.random() < 0.7:
                server = contract.Endpoint(
                    name,
                    chance.choice(("reader", "writer")),
                    chance.choice(("a", "b")),
                    chance.randrange(2),
                    condition=chance.choice(
                        (
                            contract.EndpointCondition.UP,
                            contract.EndpointCondition.UP,
                            contract.EndpointCondition.DRAINING,
                        )
                    ),
                    weight=chance.choice((1.0, 2.0)),
                )
                new[name] = schema.Entry(server, Address("127.0.0.1", chance.choice((1, 2))))
        index.change(compare(old, new), new)
        built = Index.built(ROLES, new.values())
        assert index.entries == built.entries and index.by_place == built.by_place
        assert {r: n for r, n in index.by_role.items() if n} == built.by_role
        old = new


def test_a_heavier_reader_gets_more_homes_and_a_weight_moves_few() -> None:
    def homes(weight: float) -> list[str]:
        servers = [
            contract.Endpoint(f"r{i}", "r", weight=weight if i == 0 else 1.0) for i in range(4)
        ]
        drive = Drive([*servers, contract.Endpoint("w0", "w"), contract.Endpoint("w1", "w")])
        return [drive.serve(n, f"s{n}", f"p{n}") for n in range(240)]

    even, heavy, light = homes(1.0), homes(3.0), homes(0.2)
    assert heavy.count("r0") > 1.5 * even.count("r0") > 4 * light.count("r0")
    assert all(b in (a, "r0") for a, b in zip(even, heavy, strict=True)), (
        "what moves, moves to the heavier"
    )


def test_a_server_that_is_new_again_and_again_is_spared_each_time() -> None:
    servers = [contract.Endpoint(f"r{i}", "r") for i in range(4)] + [
        contract.Endpoint(f"w{i}", "w") for i in range(4)
    ]
    drive, got = Drive(servers), Counter[str]()
    for n in range(400):
        if n % 20 == 0:  # a storm of changes: the same id, born again each time
            fresh = replace(servers[0], started_us=drive.now)
            drive.give(contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (fresh,), n + 2))
        got[drive.serve(n, f"s{n}", f"p{n}")] += 1
    assert 0 < got["r0"] < 0.5 * got["r1"], got


# The snapshot


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 4000), st.integers(0, 255))
def test_a_damaged_snapshot_is_refused_and_never_read_half(place: int, byte: int) -> None:
    whole = view(GOOD)
    text = snapshot.text_of(whole)
    assert snapshot.view_of(text) == whole
    with pytest.raises(snapshot.SnapshotError):
        snapshot.view_of(text[: place % len(text)])
    place %= len(text)
    damaged = text[:place] + bytes([byte]) + text[place + 1 :]
    if damaged != text:
        try:
            found = snapshot.view_of(damaged)
        except snapshot.SnapshotError:
            return
        assert found.entries == whole.entries, "only the number of the view is beside the checksum"


# The watch, with real files


class Fleet:
    """A fleet that only hears what it is told."""

    def __init__(self) -> None:
        self.addresses: dict[str, Address] = {}

    def member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        if left:
            del self.addresses[server.id]
        else:
            self.addresses[server.id] = address


class Watched:
    def __init__(self, folder: Path, **more: Any) -> None:
        self.folder = folder
        clock = HandClock()
        self.core = RequestDispatcher(read_settings(SETTINGS), 1, clock, TimerWheel(clock))
        told: dict[str, Any] = {
            "settle_s": 0.03,
            "leave_s": 0.06,
            "poll_s": 0.1,
            "ramp_s": 0.0,
            "snapshot": "snap",
        }
        file = SourcesFile(**{"watch": ["servers.d", "more.toml"], **told, **more})
        self.fleet = Fleet()
        self.source = membership.FileSource(self.core, self.fleet, membership.Sources(file, folder))
        self.task: asyncio.Task[None] | None = None

    def write(self, text: str | bytes, name: str = "servers.d/a.toml") -> None:
        path = self.folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(text.encode() if isinstance(text, str) else text)

    async def holds(self, *names: str) -> None:
        await until(
            lambda: set(self.core.endpoints.by_id) == set(names) == set(self.fleet.addresses)
        )

    async def refuses(self, count: int) -> None:
        await until(lambda: self.source.refused >= count)


@asynccontextmanager
async def watched(folder: Path, text: str | None = GOOD, **more: Any) -> AsyncIterator[Watched]:
    w = Watched(folder, **more)
    (folder / "more.toml").write_text("")
    if text is not None:
        w.write(text)
    w.task = asyncio.create_task(w.source.follow())
    try:
        yield w
    finally:
        w.task.cancel()
        await asyncio.gather(w.task, return_exceptions=True)


def test_files_come_into_force_whole_however_they_are_changed(tmp_path: Path) -> None:
    async def go() -> None:
        async with watched(tmp_path, None) as w:
            await w.refuses(1)  # the folder is not there: no reader, no writer
            assert not w.source.ready
            w.write(GOOD)  # and appears later
            await w.holds("r1", "r2", "w1", "w2")
            w.write(GOOD[: len(GOOD) // 2])  # half written
            await w.refuses(2)
            w.write(GOOD + row("r3", port=5))
            await w.holds("r1", "r2", "r3", "w1", "w2")
            fresh = tmp_path / "servers.d" / ".a.toml.swp"  # an editor's draft, then its rename
            fresh.write_text(GOOD)
            fresh.replace(tmp_path / "servers.d" / "a.toml")
            await w.holds("r1", "r2", "w1", "w2")
            (tmp_path / "servers.d" / "a.toml").unlink()  # removed, and written again
            w.write(GOOD + row("r4", port=6))
            await w.holds("r1", "r2", "r4", "w1", "w2")
            w.write(row("r5", port=7), "more.toml")
            await w.holds("r1", "r2", "r4", "r5", "w1", "w2")
            # it moves to the other file: for a moment it is seen twice
            w.write(GOOD + row("r5", port=7))
            w.write("", "more.toml")
            await w.holds("r1", "r2", "r5", "w1", "w2")
            for name, text in (("1", GOOD), ("2", GOOD + row("r6", port=8))):
                (tmp_path / name).mkdir()
                (tmp_path / name / "a.toml").write_text(text)
            shutil.rmtree(tmp_path / "servers.d")
            (tmp_path / "servers.d").symlink_to("1")
            await w.holds("r1", "r2", "w1", "w2")
            (tmp_path / "next").symlink_to("2")
            (tmp_path / "next").replace(tmp_path / "servers.d")  # a symlink that is switched
            await w.holds("r1", "r2", "r6", "w1", "w2")
            version = w.source.view.number
            for _ in range(500):  # a file replaced with itself
                (tmp_path / "2" / "b").write_text(GOOD + row("r6", port=8))
                (tmp_path / "2" / "b").replace(tmp_path / "2" / "a.toml")
            await asyncio.sleep(0.3)
            assert w.source.view.number == version and w.source.told()["notified"]

    run(go)


def test_a_notification_that_is_lost_costs_one_poll(tmp_path: Path) -> None:
    async def go() -> None:
        async with watched(tmp_path) as w:
            w.source.watcher.told.set = lambda: None  # type: ignore[method-assign]
            await w.holds("r1", "r2", "w1", "w2")
            w.write(GOOD + row("r3", port=5))
            await w.holds("r1", "r2", "r3", "w1", "w2")

    run(go)


def test_a_start_with_broken_files_serves_from_the_snapshot_and_says_so(tmp_path: Path) -> None:
    async def go() -> None:
        async with watched(tmp_path) as w:
            await w.holds("r1", "r2", "w1", "w2")
            w.write(GOOD + row("r3", port=5))
            await w.holds("r1", "r2", "r3", "w1", "w2")
            number = w.source.view.number
            await until(lambda: snapshot.load(tmp_path / "snap").number == number)
        with structlog.testing.capture_logs() as lines:
            async with watched(tmp_path, GOOD[:-20]) as w:
                await w.holds("r1", "r2", "r3", "w1", "w2")
                assert w.source.from_snapshot and w.source.view.number == number
                assert any("SNAPSHOT" in line["event"].upper() for line in lines)
                w.write(GOOD)
                await w.holds("r1", "r2", "w1", "w2")
                assert w.source.view.number == number + 1 and not w.source.from_snapshot
                # Or what is damaged below is written over: saving goes on in a thread.
                await until(lambda: snapshot.load(tmp_path / "snap").number == number + 1)
        (tmp_path / "snap").write_bytes((tmp_path / "snap").read_bytes()[:-9])
        async with watched(tmp_path, "nothing") as w:
            await w.refuses(1)
            await asyncio.sleep(0.05)
            assert not w.core.endpoints.by_id and not w.source.ready, (
                "a damaged snapshot is not read half"
            )

    run(go)


def test_two_processes_of_an_upgrade_have_the_same_view_under_the_same_number(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with watched(tmp_path) as old:
            await old.holds("r1", "r2", "w1", "w2")
            old.write(GOOD + row("r3", port=5))
            await old.holds("r1", "r2", "r3", "w1", "w2")
            await until(lambda: snapshot.load(tmp_path / "snap").number == 2)
            async with watched(tmp_path, GOOD + row("r3", port=5)) as new:
                await new.holds("r1", "r2", "r3", "w1", "w2")
                assert new.source.view == old.source.view and new.source.view.number == 2
                for number in range(4, 9):
                    old.write(GOOD + row(f"r{number}", port=number + 10))
                    names = ("r1", "r2", f"r{number}", "w1", "w2")
                    await asyncio.gather(old.holds(*names), new.holds(*names))
                assert old.source.view.number == new.source.view.number == 7
            await until(lambda: snapshot.load(tmp_path / "snap").number == 7)
            # The one that was ended may still have been saving: its thread finishes what it has
            # begun.
            await until(lambda: not list(tmp_path.glob("*.new")))

    run(go)


def test_files_over_discovery_weigh_and_drain_and_add_nobody() -> None:
    clock = HandClock()
    core = RequestDispatcher(read_settings(SETTINGS), 1, clock, TimerWheel(clock))
    file = SourcesFile(watch=["x.toml"], mode="over", ramp_s=0.0)
    source = membership.FileSource(core, Fleet(), membership.Sources(file, Path()))
    rows = ('"r1"\nweight = 2.5\n', '"r2"\nstate = "draining"\n', '"r9"\n')
    text = "".join(f"[[servers]]\nid = {told}" for told in rows)
    verdict = source._judged(source.view, source._draft_of({"x.toml": text.encode()}))
    assert isinstance(verdict, Accepted)
    asyncio.run(source._accept(verdict.view, verdict.difference))
    told = contract.EndpointUpdate(
        contract.EndpointUpdateForm.COMPLETE,
        tuple(contract.Endpoint(n, "reader") for n in ("r1", "r2", "r3")),
        version=4,
    )
    found = {server.id: server for server in source.over(told).endpoints}
    assert (
        found["r1"].weight == 2.5 and found["r2"].condition is contract.EndpointCondition.DRAINING
    )
    assert found["r3"] == told.endpoints[2] and set(found) == {"r1", "r2", "r3"}


# Under traffic


def test_thousands_of_versions_under_traffic_route_nothing_by_half_a_view(
    tmp_path: Path,
) -> None:
    """Rewritten as fast as it goes, also cut off and invalid; each attempt tells the view that
    routed it.
    """

    async def go() -> None:
        fleet = await StandinFleet(
            4, 4, speed=Speed(read_s=0.002, first_s=0.002, token_s=0.0001)
        ).start()
        chance, written, views = random.Random(11), 0, dict[int, frozenset[str]]()
        names = list(fleet.replicas)
        folder = tmp_path / "servers.d"
        folder.mkdir()

        def text(some: list[str]) -> str:
            rows = [
                row(
                    n,
                    n.split("-")[0],
                    fleet.replicas[n].port,
                    "boa-vista",
                    weight=chance.choice((0.5, 1, 2)),
                )
                for n in some
            ]
            return "".join(rows)

        def save(content: str) -> None:
            fresh = folder / ".new"
            fresh.write_text(content)
            fresh.replace(folder / "a.toml")

        def in_force(v: View) -> None:
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
        raw = {**dispatcher_file("d", "127.0.0.1:0", fleet), "discovery": ""}
        config: Config = replace(parse(raw, {"ONYXPASS_SERVERS": str(tmp_path / "sources.toml")}))
        with structlog.testing.capture_logs() as lines:
            dispatcher = DispatcherProcess(config)
            assert dispatcher.files is not None
            dispatcher.files.on_view = in_force
            await dispatcher.start()
            await until(dispatcher.ready)
            stopping = asyncio.Event()

            async def client(number: int) -> None:
                count = 0
                while not stopping.is_set():
                    count += 1
                    traffic_class = ("part-lookup", "shift-summary", "stock-booking")[count % 3]
                    address = ("127.0.0.1", dispatcher.front.port)
                    await ask(
                        fleet.trace, address, f"c{number}-{count}", traffic_class, f"s{number}", 8
                    )

            clients = [asyncio.create_task(client(n)) for n in range(6)]
            while written < 2500:
                written += 1
                readers = [n for n in names if n.startswith("reader") and chance.random() < 0.7]
                writers = [n for n in names if n.startswith("writer") and chance.random() < 0.7]
                whole = text(readers + writers)
                kind = chance.random()
                if kind < 0.2:
                    whole = whole[: chance.randrange(len(whole) + 1)]
                elif kind < 0.3:
                    whole += row(names[0], "reader", 9) * 2
                (folder / "a.toml").write_text(whole) if kind > 0.9 else save(whole)
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
        assert len(views) > 20 and dispatcher.files.refused > 5
        for members in views.values():
            assert {name.split("-")[0] for name in members} == {"reader", "writer"}
        attempts = [
            line for line in lines if line["event"] in ("served", "attempt") and "server" in line
        ]
        outside = [a for a in attempts if a["end" if "end" in a else "event"] != "not_sent"
                   and a["server"] not in views[a["view"]]]  # fmt: skip
        assert attempts and not outside, outside[:3]
        refusals = [line for line in lines if line["event"] == "refused" and "view" in line]
        assert len(refusals) == dispatcher.files.refused and all(line["why"] for line in refusals)
        served = Counter(event.detail for event in fleet.trace.events_of(EventKind.ANSWERED))
        assert served["served"] > 20 and not served["broken"], served
        assert not breaches(fleet.trace), breaches(fleet.trace)[:5]

    run(go)


def test_the_second_front_follows_watched_files(tmp_path: Path) -> None:
    async def go() -> None:
        store, tools, reader = (
            await RespStore().start(),
            await Ledger().start(),
            await Reader().start(),
        )
        writers = [await Writer(say("one")).start(), await Writer(say("two")).start()]
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
        assert front.files is not None
        await until(lambda: len(front.core.endpoints.by_id) == 2)
        client = await Client(front.front.port).start()
        client.generate(1, "part-lookup")
        assert "result" in await client.response(1) and client.texts == ["one"]
        save(writers[1].port)
        await until(lambda: front.files is not None and front.files.view.number == 2)
        # it is another server now, and cold: the first ones may be refused
        for number in range(2, 30):
            client.generate(number, "part-lookup")
            if "result" in await client.response(number):
                break
        assert client.texts == ["one", "two"]
        assert reader.asked[-1]["params"]["view"] == 2
        places: dict[int, set[int]] = {}
        front.files.on_view = lambda v: places.update(
            {v.number: {e.address.port for e in v.entries.values() if e.address}}
        )
        before = [len(writer.asked) for writer in writers]
        for number in range(100, 200):  # a storm, with a request for each version
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
            for asked in writer.asked[count:]:
                if "view" in asked["params"] and asked["method"] == "write":
                    assert (
                        asked["params"]["view"] < 3
                        or writer.port in places[asked["params"]["view"]]
                    )
        assert len(places) >= 2 and len(client.texts) > 5
        refused = front.files.refused
        (tmp_path / "w.toml").write_text(
            row("reader-1", port=reader.port).replace("127.0.0.1", "10.0.0.1")
        )
        await until(lambda: front.files is not None and front.files.refused > refused)
        await client.stop()
        await front.stop()
        for part in (store, tools, reader, *writers):
            await part.stop()
        (tmp_path / "s.toml").write_text('watch = ["w.toml"]\nmode = "over"\n')
        with pytest.raises(ConfigError, match="no discovery"):
            ToolcallService(service.load(tmp_path / "t.toml"))

    run(go)


# The tool


def test_the_servers_command_checks_compares_formats_and_shows(tmp_path: Path) -> None:
    (tmp_path / "s.toml").write_text('watch = ["w.toml"]\nsnapshot = "snap"\n')
    watched_file, sources = tmp_path / "w.toml", str(tmp_path / "s.toml")
    watched_file.write_text("# readers\n" + GOOD)

    def call(*words: str) -> tuple[int, str]:
        found = CliRunner().invoke(servers_app, list(words))
        assert not isinstance(found.exception, Exception), found.exception
        return found.exit_code, found.output

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
    code, told = call("diff", sources)
    assert code == 1 and "~ w2: address 127.0.0.1:4 -> 127.0.0.1:5" in told and "+ r7:" in told
    before = watched_file.read_text()
    assert call("fmt", "--check", str(watched_file))[0] == 1 and watched_file.read_text() == before
    assert call("fmt", str(watched_file))[0] == 0
    after = watched_file.read_text()
    assert "# readers" in after and "# ours" in after and formatted(after) == after
    assert (
        schema.read({"a": before.encode()}, [], False).removes
        == schema.read({"a": after.encode()}, [], False).removes
    )
    assert call("fmt", "--check", str(watched_file))[0] == 0
    watched_file.write_text(GOOD[:-9])
    assert call("check", sources)[0] == 1 and call("fmt", str(watched_file))[0] == 2
    assert watched_file.read_text() == GOOD[:-9], "what has a fault is not touched"
    (tmp_path / "s.toml").write_text("watch = []\n")
    code, told = call("check", sources)
    assert code == 2 and f"{sources}:1:" in told and told.count("\n") == 1
    for words, model, title, name in (
        ((), WatchedFile, "onyxpass watched file", "servers"),
        (("--sources",), SourcesFile, "onyxpass sources file", "sources"),
    ):
        published = (ROOT / "docs" / "schemas" / f"{name}.schema.json").read_text()
        assert call("schema", *words)[1] == published == schema_text(model, title)
    assert membership.load(ROOT / "deploy" / "sources.toml").whole
    assert os.path.exists(ROOT / "deploy" / "servers.toml")


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.permutations(("id", "kind", "hall", "cell", "address", "weight")),
    st.integers(0, 3),
    st.booleans(),
)
def test_formatting_changes_no_value_and_twice_is_once(
    keys: list[str], blank: int, comment: bool
) -> None:
    told = {
        "id": '"r1"',
        "kind": '"reader"',
        "hall": '"d"',
        "cell": "3",
        "address": '"127.0.0.1:1"',
        "weight": "2.0",
    }
    body = "".join(
        f"{key} = {told[key]}{' # why' if comment else ''}\n" + "\n" * blank for key in keys
    )
    text = f'# top\n[change]\nremoves = []\n[[servers]]\n{body}# between\n[[servers]]\nid = "r2"\n'
    once = formatted(text)
    assert formatted(once) == once
    before, after = (schema.read({"a": t.encode()}, ["reader"], False) for t in (text, once))
    assert [replace(e, line=0) for e in before.entries] == [
        replace(e, line=0) for e in after.entries
    ]
    assert once.count("#") == text.count("#")
