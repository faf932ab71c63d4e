"""The desired configuration: its join, its pages, whom a node asks, its disk; and real nodes
with faults.
"""

import asyncio
import json
import random
import signal
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from onyxpass.config.platform_file import ConfigError
from onyxpass.desired import state_file
from onyxpass.desired.cli import desired_app
from onyxpass.desired.config import load
from onyxpass.desired.config_rendering import rendered
from onyxpass.desired.state import Conflict, Page, State, StateError, covers, page_told, read_page
from onyxpass.desired.upstream_selection import PREFER_S, Puller
from onyxpass.history_checkers import configuration as rules
from onyxpass.history_checkers.configuration import NodeEvent
from onyxpass.testbed.configuration import Trial
from onyxpass.testbed.replicas import StandinDiscovery, StandinFleet
from onyxpass.testbed.settings import SETTINGS

LIMIT_S = 60  # of a trial; what is meant is waited for, and this only ends one that hangs


def pull(receiver: State, sender: State, most_bytes: int = 32_768) -> None:
    """As over the wire, page by page."""
    for _ in range(1_000):
        page = read_page(json.loads(json.dumps(page_told(sender.since(receiver.seen, most_bytes)))))
        receiver.merge(page)
        if not page.more:
            return
    raise AssertionError("pages without an end")


ORDERS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from("abcd"), st.integers(0, 99), st.booleans()),
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(orders=ORDERS, seed=st.integers(0, 10_000), most=st.sampled_from([60, 200, 32_768]))
def test_any_order_of_pulls_ends_in_one_state_that_never_went_back(
    orders: list[tuple[int, str, int, bool]], seed: int, most: int
) -> None:
    chance, nodes = random.Random(seed), [State() for _ in range(5)]
    for who, key, value, gossip in orders:
        nodes[who].change(f"o{who}", {key: value, "all": value})
        if gossip:
            one, other = chance.sample(range(5), 2)
            before = dict(nodes[one].seen)
            pull(nodes[one], nodes[other], most)
            assert covers(nodes[one].seen, before)
    for _ in range(3):
        for one in range(5):
            for other in range(5):
                pull(nodes[one], nodes[other], most)
    assert len({node.digest() for node in nodes}) == 1
    assert len({json.dumps(sorted(node.seen.items())) for node in nodes}) == 1
    assert len({tuple(sorted(node.conflicts)) for node in nodes}) == 1, (
        "conflicts are said alike everywhere"
    )


def test_two_changes_that_had_not_seen_each_other_are_a_conflict_and_one_after_the_other_are_none() -> (
    None
):
    north, south = State(), State()
    first = north.change("n", {"k": 1})
    pull(south, north)
    second = south.change("s", {"k": 2})
    pull(north, south)
    assert north.values() == {"k": 2} and not north.conflicts
    one, other = north.change("n", {"k": 3}), south.change("s", {"k": 4})
    pull(north, south)
    pull(south, north)
    kept, dropped = max(one, other), min(one, other)
    assert north.values() == south.values() == {"k": 4 if kept is other else 3}
    assert north.conflicts == south.conflicts == {Conflict("k", kept, dropped)}
    assert first < second < dropped


def test_a_page_that_is_torn_newer_or_contradictory_is_refused_whole() -> None:
    state = State()
    state.change("n", {"a": 1, "b": 2})
    good = page_told(state.since({}))
    for key, spoil in (
        ("check", {**good, "entries": good["entries"][:1]}),
        ("check", {**good, "seen": {"n": 9}}),
        ("format", {**good, "format": 2}),
        ("seen", {**good, "seen": {"n": -1}}),
    ):
        with pytest.raises(StateError) as told:
            read_page(spoil)
        assert told.value.key == key
    other = State()
    other.change("n", {"a": 7})
    before = other.digest()
    with pytest.raises(StateError, match="two values"):
        other.merge(read_page(good))
    assert other.digest() == before and "b" not in other.entries, "nothing of it was taken"


def test_values_have_bounds() -> None:
    for key, value in (
        ("", 1),
        ("k" * 300, 1),
        ("k", "v" * 20_000),
        ("k", float("nan")),
        ("k", object()),
    ):
        with pytest.raises(StateError):
            State().change("n", {key: value})


def test_a_puller_goes_on_to_the_next_upstream_and_comes_back_to_the_best() -> None:
    puller = Puller(3, random.Random(1))
    assert puller.next(0.0) == puller.next(0.0)
    tried = []
    for _ in range(3):
        tried.append(puller.next(1.0).upstream)
        assert puller.next(1.0).in_s == 0, "each is asked once without a pause"
        puller.failed(1.0)
    assert tried == [0, 1, 2] and puller.next(1.0).in_s > 0
    pauses = []
    for _ in range(30):
        pauses.append(puller.next(1.0).in_s)
        puller.failed(1.0)
    assert max(pauses) <= 2.0 and pauses[-1] > pauses[0]
    puller.current = 1
    puller.answered()
    assert puller.next(2.0).upstream == 1 and puller.next(1.0 + PREFER_S).upstream == 0


def test_a_state_on_disk_that_is_no_use_is_named_and_left_as_it_is(tmp_path: Path) -> None:
    path, state = tmp_path / "state.json", State()
    assert state_file.load(path).values() == {}
    state.change("n", {"a": 1})
    state_file.save(path, state)
    assert state_file.load(path).digest() == state.digest()
    text = path.read_text()
    newer = json.dumps({**json.loads(text), "format": 7})
    for spoilt, reason in (
        (text[:-9], "page"),
        (text.replace('"a", 1,', '"a", 2,'), "check"),
        (newer, "format"),
    ):
        path.write_text(spoilt)
        with pytest.raises(ConfigError, match=rf"state\.json: {reason}"):
            state_file.load(path)
        assert path.read_text() == spoilt


def test_values_go_into_a_dispatchers_file_by_their_paths_or_not_at_all() -> None:
    base = {"limits": {"sockets": 1}, "settings": SETTINGS}
    made = rendered(base, {"limits.sockets": 7, "settings.grades.part-lookup.promiseUs": 9})
    assert made["limits"]["sockets"] == 7 and made["settings"]["grades"][0]["promiseUs"] == 9
    assert base["limits"]["sockets"] == 1
    for key in ("limits.sockets.deep", "settings.grades.nobody.promiseUs", "nothing.here"):
        with pytest.raises(StateError) as told:
            rendered(base, {key: 1})
        assert told.value.key == key


def test_a_nodes_file_names_its_fault(tmp_path: Path) -> None:
    path = tmp_path / "n.toml"
    path.write_text('name = "n"\nrole = "host"\nlisten = "127.0.0.1:0"\nkey = "k"\nfolder = "f"\n')
    with pytest.raises(ConfigError, match=r"n\.toml.*upstreams"):
        load(path)


# The checkers, each with a planted fault


def word(node: str, what: str, digest: str, **seen: int) -> NodeEvent:
    return NodeEvent(sum(seen.values()), node, what, digest, seen)


def test_each_checker_finds_its_planted_fault() -> None:
    good = [word("c", "ordered", "x", o=1), word("h", "configuration_in_force", "x", o=1)]
    assert not [
        *rules.regressions(good),
        *rules.digest_conflicts(good),
        *rules.outdated_hosts(good, ["h"]),
    ]
    assert rules.propagation_times_s(good, ["h"]) == [0.0]
    back = [
        word("h", "configuration_in_force", "y", o=2, p=1),
        word("h", "configuration_in_force", "x", o=9),
    ]
    assert [*rules.regressions(back)] and not [*rules.regressions(back[::-1][:1])]
    assert [*rules.digest_conflicts([*good, word("g", "merged", "other", o=1)])]
    assert [*rules.outdated_hosts(good, ["h", "absent"])]
    assert [*rules.outdated_hosts([*good, word("c", "ordered", "z", o=2)], ["h"])]
    differ = [*good, word("g", "configuration_in_force", "w", o=1)]
    assert [*rules.outdated_hosts(differ, ["g", "h"])]


AIM = "settings.grades.part-lookup.promiseUs"


@asynccontextmanager
async def listed() -> AsyncIterator[StandinDiscovery]:
    """A list with one reader and one writer."""
    fleet = await StandinFleet(1, 1).start()
    try:
        yield fleet.discovery
    finally:
        await fleet.stop()


# Real nodes: two regions, a control node, a relay and two hosts in each


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), LIMIT_S))


def has(**wanted: Any) -> Callable[[dict[str, Any]], bool]:
    return lambda values: all(values.get(key) == value for key, value in wanted.items())


def test_a_region_that_is_cut_off_keeps_what_it_had_and_both_end_alike(tmp_path: Path) -> None:
    async def go() -> None:
        async with Trial(tmp_path) as t:
            await t.order("north-c0", a=1, b=1)
            await t.in_force(t.host_names, has(a=1, b=1))
            t.cut()
            await t.order("north-c0", a=2, c="n")
            await t.order("south-c0", a=3, d="s")
            north = [name for name in t.host_names if name.startswith("north")]
            south = [name for name in t.host_names if name.startswith("south")]
            await t.in_force(north, has(a=2, b=1, c="n"))
            await t.in_force(south, has(a=3, b=1, d="s"))
            t.mend()
            await t.in_force(t.host_names, has(b=1, c="n", d="s"))
            told = [await t.state(name) for name in t.members]
            while len({s["digest"] for s in told}) > 1 or not all(s["conflicts"] for s in told):
                await asyncio.sleep(0.1)
                told = [await t.state(name) for name in t.members]
            assert len({json.dumps(s["conflicts"]) for s in told}) == 1, "said alike everywhere"
            assert [c["key"] for c in told[0]["conflicts"]] == ["a"]
            assert t.breaches() == []

    run(go)


def test_who_was_killed_stopped_or_comes_back_with_an_older_disk_is_brought_up_to_date(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with Trial(tmp_path) as t:
            await t.order("north-c0", a=1)
            await t.in_force(t.host_names, has(a=1))
            older = {name: t.kept(name) for name in ("north-c0", "north-relay", "north-h0")}
            # one hangs, one is down, and the relay of the south as well
            t.signal("south-h0", signal.SIGSTOP)
            await t.kill("north-h1")
            await t.kill("south-relay")
            await t.order("north-c0", a=2, b=2)
            await t.in_force(["north-h0", "south-h1"], has(a=2, b=2))
            for name in older:  # these come back with the disk of before
                await t.kill(name)
                t.state_file(name).write_text(older[name])
                await t.start(name)
            t.signal("south-h0", signal.SIGCONT)
            await t.start("north-h1")
            await t.start("south-relay")
            await t.in_force(t.host_names, has(a=2, b=2))
            await t.order("north-c0", c=3)
            await t.in_force(t.host_names, has(a=2, b=2, c=3))
            assert t.breaches() == []

    run(go)


def test_a_node_with_a_damaged_state_does_not_start_and_does_not_touch_it(tmp_path: Path) -> None:
    async def go() -> None:
        async with Trial(tmp_path, hosts=1) as t:
            await t.order("north-c0", a=1)
            await t.in_force(t.host_names, has(a=1))
            await t.kill("north-h0")
            torn = t.state_file("north-h0").read_text()[:-20]
            t.state_file("north-h0").write_text(torn)
            await t.start("north-h0")
            process = t.members["north-h0"].process
            assert process is not None and await process.wait() == 2
            assert t.state_file("north-h0").read_text() == torn
            assert "state.json: page" in (tmp_path / "north-h0.log").read_text()

    run(go)


def test_an_operator_sets_and_sees_it_by_commands(tmp_path: Path) -> None:
    async def go() -> None:
        async with Trial(tmp_path, hosts=1) as t:
            cli, key = CliRunner(), ["--key", str(tmp_path / "key")]
            at = {name: ["--at", f"127.0.0.1:{member.port}"] for name, member in t.members.items()}
            await t.order("north-c0", a=1)
            await t.in_force(t.host_names, has(a=1))
            while not await t.state("south-c0"):  # the command calls once; the node may start late
                await asyncio.sleep(0.05)
            set_it = ["set", "limits.sockets=900", *at["south-c0"], *key]
            told = await asyncio.to_thread(cli.invoke, desired_app, set_it)
            assert told.exit_code == 0, told.output
            await t.in_force(t.host_names, lambda values: values.get("limits.sockets") == 900)
            shown = await asyncio.to_thread(
                cli.invoke,
                desired_app,
                ["show", *(word for words in at.values() for word in words), *key],
            )
            assert shown.exit_code == 0 and shown.output.count('"in_force"') == len(t.members)
            refused = ["set", "a=1", *at["north-h0"], *key]
            told = await asyncio.to_thread(cli.invoke, desired_app, refused)
            assert told.exit_code == 1 and "control" in told.output
            told = await asyncio.to_thread(
                cli.invoke, desired_app, ["set", "a=]", *at["north-c0"], *key]
            )
            assert told.exit_code == 2

    run(go)


def test_dispatchers_under_an_agent_run_on_it_and_one_that_was_down_starts_with_it(
    tmp_path: Path,
) -> None:
    """The last hop: the host's node writes its dispatchers' files and has its agent reload them."""

    async def go() -> None:
        async with Trial(tmp_path, hosts=0) as t, listed() as discovery:
            await t.order("north-c0", **{AIM: 1_300_000})
            agent = await t.start_agent("north-a0", discovery.address, 2)
            host = t.write_host("north-h0", "north", agent, 2)
            await t.start(host)
            await t.in_force([host], has(**{AIM: 1_300_000}))
            assert await t.aims(agent) == [1_300_000] * 2, "read back from what runs"
            await t.kill(host)
            await t.order("south-c0", **{AIM: 1_400_000})
            await t.start(host)
            await t.in_force([host], has(**{AIM: 1_400_000}))
            assert await t.aims(agent) == [1_400_000] * 2
            refused = await t.order("north-c0", **{"settings.grades.nobody.promiseUs": 1})
            assert refused.status == 200, "the control node knows no dispatcher's file"
            while (await t.state(host))["values"].get("settings.grades.nobody.promiseUs") is None:
                await asyncio.sleep(0.05)
            await t.order("north-c0", **{AIM: 1_500_000})
            await asyncio.sleep(0.5)
            told = await t.state(host)
            assert told["in_force"] != told["digest"] and await t.aims(agent) == [1_400_000] * 2
            assert "no row named 'nobody'" in (tmp_path / f"{host}.log").read_text()

    run(go)


def test_changes_far_larger_than_a_page_arrive_whole() -> None:
    sender, receiver = State(), State()
    for n in range(50):
        sender.change("n", {f"k{n}": "v" * 3_000})
    assert isinstance(sender.since({}), Page) and sender.since({}).more
    pull(receiver, sender)
    assert receiver.digest() == sender.digest()
