"""The desired configuration: merges, pages, upstream selection, the state file, and real nodes
with faults.
"""

import asyncio
import itertools
import json
import random
import signal
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from onyxpass.agent.credentials import make_key
from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.desired import state_file
from onyxpass.desired.cli import desired_app
from onyxpass.desired.config import load
from onyxpass.desired.config_rendering import render_config
from onyxpass.desired.node import Node
from onyxpass.desired.state import (
    Conflict,
    DesiredState,
    Page,
    PageCollector,
    StateError,
    Version,
    covers,
    includes,
    page_to_json,
    parse_page,
)
from onyxpass.desired.upstream_selection import PREFERRED_RETRY_S, UpstreamSelector
from onyxpass.history_checkers import configuration as rules
from onyxpass.history_checkers.configuration import NodeEvent
from onyxpass.testbed.configuration import ConfigurationTrial
from onyxpass.testbed.replicas import StandinDiscovery, StandinFleet
from onyxpass.testbed.server import until
from onyxpass.testbed.settings import SETTINGS

TRIAL_TIMEOUT_S = 60  # ends a trial that hangs; trials wait for their conditions otherwise


def pull(receiver: DesiredState, sender: DesiredState, max_bytes: int = 32_768) -> None:
    """Merge the sender's state from all its pages, with JSON as on the wire."""
    collector = PageCollector(receiver.seen)
    for _ in range(1_000):
        page = parse_page(
            json.loads(json.dumps(page_to_json(sender.page_since(collector.seen, max_bytes))))
        )
        if (complete := collector.add(page)) is not None:
            receiver.merge(complete)
            return
    raise AssertionError("pages without an end")


CHANGES = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from("abcd"), st.integers(0, 99), st.booleans()),
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(changes=CHANGES, seed=st.integers(0, 10_000), max_bytes=st.sampled_from([60, 200, 32_768]))
def test_nodes_converge_under_any_order_of_pulls_and_lose_no_change(
    changes: list[tuple[int, str, int, bool]], seed: int, max_bytes: int
) -> None:
    rng, nodes = random.Random(seed), [DesiredState() for _ in range(5)]
    for origin, key, value, is_pulled in changes:
        nodes[origin].change(f"o{origin}", {key: value, "all": value})
        if is_pulled:
            one, other = rng.sample(range(5), 2)
            before = dict(nodes[one].seen)
            pull(nodes[one], nodes[other], max_bytes)
            assert covers(nodes[one].seen, before)
    for _ in range(3):
        for one in range(5):
            for other in range(5):
                pull(nodes[one], nodes[other], max_bytes)
    assert len({node.digest() for node in nodes}) == 1
    assert len({json.dumps(sorted(node.seen.items())) for node in nodes}) == 1
    assert len({tuple(sorted(node.conflicts)) for node in nodes}) == 1, (
        "all nodes report the same conflicts"
    )


@dataclass(frozen=True)
class Change:
    """An accepted change of a key, and what its node knew when it was made."""

    key: str
    version: Version
    past: dict[str, int]


class History:
    """Nodes that change keys, pull, are restarted, and go back to an older disk."""

    def __init__(self, node_count: int) -> None:
        self.nodes = [DesiredState() for _ in range(node_count)]
        self.disks = [node.copy() for node in self.nodes]
        self._starts = itertools.count()
        self.origins = [self._next_origin(number) for number in range(node_count)]
        self.changes: list[Change] = []

    def _next_origin(self, node: int) -> str:
        return f"o{node}.{next(self._starts)}"

    def change(self, node: int, key: str) -> None:
        past = dict(self.nodes[node].seen)
        value = len(self.changes)
        version = self.nodes[node].change(self.origins[node], {key: value})
        self.changes.append(Change(key, version, past))

    def restart(self, node: int, from_older_disk: bool) -> None:
        self.origins[node] = self._next_origin(node)
        if from_older_disk:
            self.nodes[node] = self.disks[node].copy()
        self.disks[node] = self.nodes[node].copy()

    def are_concurrent(self, one: Version, other: Version, key: str) -> bool:
        past_of = {change.version: change.past for change in self.changes if change.key == key}
        return not includes(past_of[one], other) and not includes(past_of[other], one)

    def newest_changes(self, seen: Mapping[str, int]) -> list[Change]:
        """Return the known changes that no known change of their key had seen."""
        known = [change for change in self.changes if includes(seen, change.version)]
        return [
            change
            for change in known
            if not any(
                other.key == change.key and includes(other.past, change.version) for other in known
            )
        ]


NODE_COUNT = 4
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("change"), st.integers(0, NODE_COUNT - 1), st.sampled_from("ab")),
        st.tuples(st.just("pull"), st.integers(0, NODE_COUNT - 1), st.integers(0, NODE_COUNT - 1)),
        st.tuples(st.just("restart"), st.integers(0, NODE_COUNT - 1), st.booleans()),
    ),
    max_size=40,
)


@settings(max_examples=400, deadline=None)
@example(
    [
        ("change", 0, "a"),
        ("pull", 1, 0),
        ("change", 0, "a"),
        ("change", 1, "a"),
        ("change", 1, "a"),
    ],
    32_768,
)
@given(events=EVENTS, max_bytes=st.sampled_from([60, 32_768]))
def test_each_accepted_change_is_in_force_or_seen_by_its_successor_or_named_in_a_conflict(
    events: list[tuple[str, int, Any]], max_bytes: int
) -> None:
    """Guards against a change that is lost without a word: its key was changed more than once on
    the other side meanwhile.
    """
    history = History(NODE_COUNT)
    for kind, node, argument in events:
        match kind:
            case "change":
                history.change(node, argument)
            case "pull":
                pull(history.nodes[node], history.nodes[argument], max_bytes)
            case "restart":
                history.restart(node, argument)
    for _ in range(NODE_COUNT):
        for one in history.nodes:
            for other in history.nodes:
                pull(one, other, max_bytes)
    for state in history.nodes:
        assert state.conflicts == history.nodes[0].conflicts, "alike everywhere"
        named = {(c.key, version) for c in state.conflicts for version in (c.kept, c.dropped)}
        for change in history.newest_changes(state.seen):
            in_force = state.entries[change.key].version == change.version
            assert in_force or (change.key, change.version) in named, change
        for conflict in state.conflicts:
            assert history.are_concurrent(conflict.kept, conflict.dropped, conflict.key), conflict


def test_a_part_of_a_state_is_not_merged_and_pages_without_progress_are_rejected() -> None:
    sender, receiver = DesiredState(), DesiredState()
    for number in range(3):
        sender.change("n", {f"k{number}": "x" * 50})
    first = sender.page_since({}, max_bytes=60)
    assert first.more
    with pytest.raises(StateError, match="part"):
        receiver.merge(first)
    assert not receiver.entries and not receiver.seen
    collector = PageCollector(receiver.seen)
    assert collector.add(first) is None
    with pytest.raises(StateError, match="nothing new"):
        collector.add(first)


def test_concurrent_changes_conflict_and_sequential_changes_do_not() -> None:
    north, south = DesiredState(), DesiredState()
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


def test_truncated_newer_or_contradictory_page_is_rejected_whole() -> None:
    state = DesiredState()
    state.change("n", {"a": 1, "b": 2})
    good = page_to_json(state.page_since({}))
    for key, page in (
        ("check", {**good, "entries": good["entries"][:1]}),
        ("check", {**good, "seen": {"n": 9}}),
        ("format", {**good, "format": 2}),
        ("seen", {**good, "seen": {"n": -1}}),
    ):
        with pytest.raises(StateError) as raised:
            parse_page(page)
        assert raised.value.key == key
    other = DesiredState()
    other.change("n", {"a": 7})
    before = other.digest()
    with pytest.raises(StateError, match="two values"):
        other.merge(parse_page(good))
    assert other.digest() == before and "b" not in other.entries, "nothing of the page was merged"


def test_invalid_keys_and_values_are_rejected() -> None:
    for key, value in (
        ("", 1),
        ("k" * 300, 1),
        ("k", "v" * 20_000),
        ("k", float("nan")),
        ("k", object()),
    ):
        with pytest.raises(StateError):
            DesiredState().change("n", {key: value})


def test_selector_switches_to_the_next_upstream_and_returns_to_the_preferred_one() -> None:
    selector = UpstreamSelector(3, random.Random(1))
    assert selector.next_pull(0.0) == selector.next_pull(0.0)
    tried = []
    for _ in range(3):
        tried.append(selector.next_pull(1.0).upstream)
        assert selector.next_pull(1.0).delay_s == 0, "each upstream is tried once without a delay"
        selector.record_failure(1.0)
    assert tried == [0, 1, 2] and selector.next_pull(1.0).delay_s > 0
    delays_s = []
    for _ in range(30):
        delays_s.append(selector.next_pull(1.0).delay_s)
        selector.record_failure(1.0)
    assert max(delays_s) <= 2.0 and delays_s[-1] > delays_s[0]
    selector.current = 1
    selector.record_success()
    assert (
        selector.next_pull(2.0).upstream == 1
        and selector.next_pull(1.0 + PREFERRED_RETRY_S).upstream == 0
    )


def test_invalid_state_file_is_reported_and_left_unchanged(tmp_path: Path) -> None:
    path, state = tmp_path / "state.json", DesiredState()
    assert state_file.load(path).values() == {}
    state.change("n", {"a": 1})
    state_file.save(path, state)
    assert state_file.load(path).digest() == state.digest()
    text = path.read_text()
    newer = json.dumps({**json.loads(text), "format": 7})
    for invalid, reason in (
        (text[:-9], "page"),
        (text.replace('"a", 1,', '"a", 2,'), "check"),
        (newer, "format"),
    ):
        path.write_text(invalid)
        with pytest.raises(ConfigError, match=rf"state\.json: {reason}"):
            state_file.load(path)
        assert path.read_text() == invalid


def test_values_are_set_at_their_paths_and_unknown_paths_are_rejected() -> None:
    base = {"limits": {"sockets": 1}, "settings": SETTINGS}
    config = render_config(base, {"limits.sockets": 7, "settings.grades.part-lookup.promiseUs": 9})
    assert config["limits"]["sockets"] == 7 and config["settings"]["grades"][0]["promiseUs"] == 9
    assert base["limits"]["sockets"] == 1
    for key in ("limits.sockets.deep", "settings.grades.nobody.promiseUs", "nothing.here"):
        with pytest.raises(StateError) as raised:
            render_config(base, {key: 1})
        assert raised.value.key == key


def test_error_for_an_invalid_node_file_names_file_and_key(tmp_path: Path) -> None:
    path = tmp_path / "n.toml"
    path.write_text('name = "n"\nrole = "host"\nlisten = "127.0.0.1:0"\nkey = "k"\nfolder = "f"\n')
    with pytest.raises(ConfigError, match=r"n\.toml.*upstreams"):
        load(path)


# The checkers, each with a planted violation


def event(node: str, what: str, digest: str, **seen: int) -> NodeEvent:
    return NodeEvent(sum(seen.values()), node, what, digest, seen)


def test_each_checker_reports_its_planted_violation() -> None:
    good = [event("c", "ordered", "x", o=1), event("h", "configuration_in_force", "x", o=1)]
    assert not [
        *rules.regressions(good),
        *rules.digest_conflicts(good),
        *rules.outdated_hosts(good, ["h"]),
    ]
    assert rules.propagation_times_s(good, ["h"]) == [0.0]
    back = [
        event("h", "configuration_in_force", "y", o=2, p=1),
        event("h", "configuration_in_force", "x", o=9),
    ]
    assert [*rules.regressions(back)] and not [*rules.regressions(back[::-1][:1])]
    assert [*rules.digest_conflicts([*good, event("g", "merged", "other", o=1)])]
    assert [*rules.outdated_hosts(good, ["h", "absent"])]
    assert [*rules.outdated_hosts([*good, event("c", "ordered", "z", o=2)], ["h"])]
    differ = [*good, event("g", "configuration_in_force", "w", o=1)]
    assert [*rules.outdated_hosts(differ, ["g", "h"])]


OBJECTIVE_KEY = "settings.grades.part-lookup.promiseUs"


@asynccontextmanager
async def running_discovery() -> AsyncIterator[StandinDiscovery]:
    """Run a discovery service that lists one reader and one writer."""
    fleet = await StandinFleet(1, 1).start()
    try:
        yield fleet.discovery
    finally:
        await fleet.stop()


# Real nodes: two regions, a control node, a relay and two hosts in each


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), TRIAL_TIMEOUT_S))


def has(**wanted: Any) -> Callable[[dict[str, Any]], bool]:
    return lambda values: all(values.get(key) == value for key, value in wanted.items())


def test_disconnected_region_keeps_its_state_and_both_regions_converge_afterwards(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with ConfigurationTrial(tmp_path) as t:
            await t.set_values("north-c0", a=1, b=1)
            await t.wait_until_in_force(t.host_names, has(a=1, b=1))
            t.cut()
            await t.set_values("north-c0", a=2, c="n")
            await t.set_values("south-c0", a=3, d="s")
            north = [name for name in t.host_names if name.startswith("north")]
            south = [name for name in t.host_names if name.startswith("south")]
            await t.wait_until_in_force(north, has(a=2, b=1, c="n"))
            await t.wait_until_in_force(south, has(a=3, b=1, d="s"))
            t.restore()
            await t.wait_until_in_force(t.host_names, has(b=1, c="n", d="s"))
            states = [await t.state(name) for name in t.members]
            while len({state["digest"] for state in states}) > 1 or not all(
                state["conflicts"] for state in states
            ):
                await asyncio.sleep(0.1)
                states = [await t.state(name) for name in t.members]
            assert len({json.dumps(state["conflicts"]) for state in states}) == 1, (
                "all nodes report the same conflicts"
            )
            assert [conflict["key"] for conflict in states[0]["conflicts"]] == ["a"]
            assert t.breaches() == []

    run(scenario)


def saved_value(path: Path, key: str) -> object:
    """Return the value of a key in a state file; None if the file or the key is absent."""
    if not path.exists():
        return None
    entries = json.loads(path.read_text())["entries"]
    return next((value for name, value, *_ in entries if name == key), None)


def test_nodes_that_were_killed_suspended_or_restored_from_an_older_disk_catch_up(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with ConfigurationTrial(tmp_path) as t:
            await t.set_values("north-c0", a=1)
            await t.wait_until_in_force(t.host_names, has(a=1))
            restored = ("north-c0", "north-relay", "north-h0")
            # A host may have pulled from another upstream while the relay had nothing yet.
            await until(lambda: all(saved_value(t.state_file(name), "a") for name in restored))
            older = {name: t.read_state_file(name) for name in restored}
            # One host is suspended; another host and the relay of the south are down.
            t.signal("south-h0", signal.SIGSTOP)
            await t.kill("north-h1")
            await t.kill("south-relay")
            await t.set_values("north-c0", a=2, b=2)
            await t.wait_until_in_force(["north-h0", "south-h1"], has(a=2, b=2))
            for name in older:  # restart with the older state file
                await t.kill(name)
                t.state_file(name).write_text(older[name])
                await t.start(name)
            t.signal("south-h0", signal.SIGCONT)
            await t.start("north-h1")
            await t.start("south-relay")
            await t.wait_until_in_force(t.host_names, has(a=2, b=2))
            await t.set_values("north-c0", c=3)
            await t.wait_until_in_force(t.host_names, has(a=2, b=2, c=3))
            assert t.breaches() == []

    run(scenario)


def test_node_with_a_damaged_state_file_exits_and_leaves_the_file_unchanged(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ConfigurationTrial(tmp_path, hosts=1) as t:
            await t.set_values("north-c0", a=1)
            await t.wait_until_in_force(t.host_names, has(a=1))
            await t.kill("north-h0")
            truncated = t.state_file("north-h0").read_text()[:-20]
            t.state_file("north-h0").write_text(truncated)
            await t.start("north-h0")
            process = t.members["north-h0"].process
            assert process is not None and await process.wait() == 2
            assert t.state_file("north-h0").read_text() == truncated
            assert "state.json: page" in (tmp_path / "north-h0.log").read_text()

    run(scenario)


def test_operator_commands_set_and_show_values(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ConfigurationTrial(tmp_path, hosts=1) as t:
            cli, key = CliRunner(), ["--key", str(tmp_path / "key")]
            at = {name: ["--at", f"127.0.0.1:{member.port}"] for name, member in t.members.items()}
            await t.set_values("north-c0", a=1)
            await t.wait_until_in_force(t.host_names, has(a=1))
            while not await t.state(
                "south-c0"
            ):  # the command does not retry, and the node may start late
                await asyncio.sleep(0.05)
            set_command = ["set", "limits.sockets=900", *at["south-c0"], *key]
            result = await asyncio.to_thread(cli.invoke, desired_app, set_command)
            assert result.exit_code == 0, result.output
            await t.wait_until_in_force(
                t.host_names, lambda values: values.get("limits.sockets") == 900
            )
            # The hosts may have it before another node has it, or has started.
            digests: set[object] = set()
            while len(digests) != 1 or None in digests:
                await asyncio.sleep(0.05)
                digests = {(await t.state(name)).get("digest") for name in t.members}
            shown = await asyncio.to_thread(
                cli.invoke,
                desired_app,
                ["show", *(argument for arguments in at.values() for argument in arguments), *key],
            )
            assert shown.exit_code == 0 and shown.output.count('"in_force"') == len(t.members)
            rejected = ["set", "a=1", *at["north-h0"], *key]
            result = await asyncio.to_thread(cli.invoke, desired_app, rejected)
            assert result.exit_code == 1 and "control" in result.output
            result = await asyncio.to_thread(
                cli.invoke, desired_app, ["set", "a=]", *at["north-c0"], *key]
            )
            assert result.exit_code == 2

    run(scenario)


def test_host_node_applies_the_state_to_its_dispatchers_and_catches_up_after_a_restart(
    tmp_path: Path,
) -> None:
    """The host's node writes its dispatchers' files and has its agent reload them."""

    async def scenario() -> None:
        async with ConfigurationTrial(tmp_path, hosts=0) as t, running_discovery() as discovery:
            await t.set_values("north-c0", **{OBJECTIVE_KEY: 1_300_000})
            agent = await t.start_agent("north-a0", discovery.address, 2)
            host = t.write_host("north-h0", "north", agent, 2)
            await t.start(host)
            await t.wait_until_in_force([host], has(**{OBJECTIVE_KEY: 1_300_000}))
            assert await t.latency_objectives_us(agent) == [1_300_000] * 2, (
                "the running dispatchers report the value"
            )
            await t.kill(host)
            await t.set_values("south-c0", **{OBJECTIVE_KEY: 1_400_000})
            await t.start(host)
            await t.wait_until_in_force([host], has(**{OBJECTIVE_KEY: 1_400_000}))
            assert await t.latency_objectives_us(agent) == [1_400_000] * 2
            accepted = await t.set_values("north-c0", **{"settings.grades.nobody.promiseUs": 1})
            assert accepted.status == 200, "a control node does not know the dispatchers' files"
            while (await t.state(host))["values"].get("settings.grades.nobody.promiseUs") is None:
                await asyncio.sleep(0.05)
            await t.set_values("north-c0", **{OBJECTIVE_KEY: 1_500_000})
            await asyncio.sleep(0.5)
            state = await t.state(host)
            assert (
                state["in_force"] != state["digest"]
                and await t.latency_objectives_us(agent) == [1_400_000] * 2
            )
            assert "no row named 'nobody'" in (tmp_path / f"{host}.log").read_text()

    run(scenario)


def test_changes_far_larger_than_a_page_arrive_whole() -> None:
    sender, receiver = DesiredState(), DesiredState()
    for n in range(50):
        sender.change("n", {f"k{n}": "v" * 3_000})
    assert isinstance(sender.page_since({}), Page) and sender.page_since({}).more
    pull(receiver, sender)
    assert receiver.digest() == sender.digest()


def test_a_backlog_of_several_pages_comes_into_force_as_a_whole(tmp_path: Path) -> None:
    """Guards against a node that passes on a part of a state, whose changes look concurrent."""
    (tmp_path / "node.toml").write_text(
        'name = "n1"\nrole = "relay"\nlisten = "127.0.0.1:0"\nkey = "key"\nfolder = "n1"\n'
        'upstreams = ["127.0.0.1:1"]\n'
    )
    make_key(tmp_path / "key")
    node, sender = Node(load(tmp_path / "node.toml")), DesiredState()
    for number in range(5):
        sender.change("n", {f"k{number}": "x" * 50})
    digests: list[str] = []
    replace_state = node.replace_state

    def record_state(state: DesiredState) -> None:
        digests.append(state.digest())
        replace_state(state)

    async def request_page(_: Address, seen: Mapping[str, int]) -> Page:
        if covers(seen, {"n": 3}) and not covers(sender.seen, {"late": 1}):
            sender.change("late", {"k0": "changed while the pages were sent"})
        return sender.page_since(seen, max_bytes=60)

    node._request_page = request_page  # type: ignore[method-assign]
    node.replace_state = record_state  # type: ignore[method-assign]
    asyncio.run(node._pull(Address("127.0.0.1", 1)))
    assert set(digests) == {sender.digest()} and node.caught_up
    assert node.state.values() == sender.values() and not node.state.conflicts
