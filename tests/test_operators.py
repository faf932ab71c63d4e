"""The operators' address, its figures, and replicas taken out by hand."""

import asyncio
import socket
from itertools import pairwise
from typing import Any

import pytest
from helpers import SETTINGS, Drive, fleet
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import until
from world import FULL, READ, STREAM, Replica, World, ask, ends_with, run, world

from onyxpass.config.platform_file import Address, ConfigError, parse
from onyxpass.net import control, front
from onyxpass.scheduling import contract, server_state
from onyxpass.scheduling.contract import AttemptStatus

CONTROL = Address("127.0.0.1", 0)
READY = b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"


async def call(w: World, *parts: bytes, end: bool = False) -> bytes:
    """One call, written part by part; its whole answer."""
    assert w.dispatcher.control is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", w.dispatcher.control.port)
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)
        if end:
            writer.write_eof()
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


async def post(w: World, what: str) -> int:
    return int((await call(w, f"POST /api/{what} HTTP/1.1\r\nHost: x\r\n\r\n".encode())).split()[1])


async def figures(w: World) -> dict[str, int]:
    answer = await call(w, READY.replace(b"ready", b"telemetry"))
    assert answer.startswith(b"HTTP/1.1 200")
    rows = answer.partition(b"\r\n\r\n")[2].decode().split()
    return {name: int(value) for name, value in (row.split("=") for row in rows)}


def test_every_request_and_attempt_is_counted_once_and_bad_requests_are_none() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM, FULL)], control=CONTROL) as w:
            at_first = await figures(w)
            ends = [f"svc.downstream_requests.{c.name}.{e}" for c in SETTINGS.classes for e in
                    ("completed", "rejected", "failed")]  # fmt: skip
            assert all(at_first[name] == 0 for name in ends)
            assert at_first["svc.upstream_requests"] == at_first["svc.pending"] == 0
            assert at_first["svc.members"] == 2 and at_first["svc.members_unavailable"] == 0
            await w.ask("a1")
            await w.ask("a2")  # the writer is full from now on
            assert b" 400 " in await w.ask("b1", traffic_class="unheard-of")
            now = await figures(w)
            assert now["svc.downstream_requests.light.completed"] == 1
            assert now["svc.downstream_requests.light.rejected"] == 1
            assert sum(now[name] for name in ends) == 2 and now["svc.pending"] == 0
            sent = sum(len(replica.heads) for replica in (*w.readers, *w.writers))
            assert now["svc.upstream_requests"] == sent

    run(go)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (READY, 200),
        (READY.replace(b"ready", b"unready"), 404),
        (READY.replace(b"GET", b"POST"), 405),
        (READY.replace(b"ready", b"exclude"), 405),
        (b"POST /api/exclude HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"POST /api/exclude?host= HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"POST /api/exclude?host=r0&host=w0 HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"POST /api/exclude?host=%ff HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"POST /api/include?host=nobody HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (
            b"POST /api/exclude?host=r0 HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n"
            + b"x" * 9999,
            413,
        ),
        (b"\x16\x03\x01 noise\r\n\r\n", 400),
    ],
)
def test_calls_get_their_status(text: bytes, code: int) -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], control=CONTROL) as w:
            assert int((await call(w, text)).split()[1]) == code
            assert not w.dispatcher.core.endpoints.excluded

    run(go)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.integers(1, len(READY) - 1), max_size=8), st.binary(max_size=60))
def test_calls_may_come_in_pieces_and_garbage_gets_a_no_or_a_close(
    places: list[int], noise: bytes
) -> None:
    marks = sorted({0, len(READY), *places})

    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], control=CONTROL) as w:
            parts = [READY[a:b] for a, b in pairwise(marks)]
            assert (await call(w, *parts)).startswith(b"HTTP/1.1 200")
            answer = await call(w, noise, end=True)
            assert not answer or answer.split()[1].startswith(b"4")

    run(go)


def test_silent_and_half_calls_go_in_time_and_keep_nobody_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], control=CONTROL) as w:
            assert w.dispatcher.control is not None
            port = w.dispatcher.control.port
            silent = [
                await asyncio.open_connection("127.0.0.1", port)
                for _ in range(control.MAX_CALLS + 4)
            ]
            assert (await call(w, READY)).startswith(b"HTTP/1.1 200"), (
                "a newcomer takes a silent one's place"
            )
            monkeypatch.setattr(control, "CALL_TIMEOUT_US", 30_000)
            assert (await call(w, READY[:20])).startswith(b"HTTP/1.1 408")
            assert await call(w) == b""
            for _, writer in silent:
                writer.close()

    run(go)


def test_not_ready_before_the_whole_list_nor_once_it_stops() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], control=CONTROL) as w:
            found = w.dispatcher.endpoint_watcher
            # nobody is there who could make it ready again
            found.set_discovery(Address("127.0.0.1", 1))
            await until(found.mailbox.empty)
            await asyncio.sleep(0)
            found.ready = False
            assert (await call(w, READY)).startswith(b"HTTP/1.1 503")
            w.dispatcher.endpoint_watcher.ready = True
            assert (await call(w, READY)).startswith(b"HTTP/1.1 200")
            w.dispatcher.front.closing = True
            assert (await call(w, READY)).startswith(b"HTTP/1.1 503")

    run(go)


def test_a_replica_taken_out_gets_nothing_new_till_it_is_back_and_then_soon() -> None:
    async def go() -> None:
        readers = [Replica(READ), Replica(READ)]
        async with world(readers, [Replica(STREAM)], control=CONTROL) as w:
            await w.ask("a0")
            out = readers[0] if readers[0].heads else readers[1]
            name, seen, opened = f"r{readers.index(out)}", len(out.heads), out.connections
            assert await post(w, f"exclude?host={name}") == 200
            assert await post(w, f"exclude?host={name}") == 200, "twice is no fault"
            actor = w.dispatcher.replicas.actors[name]
            w.dispatcher.core._apply(contract.HealthCheck(name))
            listed = [
                contract.Endpoint(s.id, s.kind, s.zone, s.cell)
                for s in w.dispatcher.core.endpoints.by_id.values()
            ]
            w.dispatcher.core.update_endpoints(
                contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, tuple(listed), 50)
            )
            for i in range(6):
                assert b" 200 " in await w.ask(f"b{i}")
            assert len(out.heads) == seen and not actor.idle and not out.writers, (
                "and no connection is kept"
            )
            assert (await figures(w))["svc.members_unavailable"] == 1
            assert await post(w, f"include?host={name}") == 200, "once undoes both"
            for i in range(40):  # cold, so it earns its first request by those of the others
                assert b" 200 " in await w.ask(f"c{i}")
            assert len(out.heads) > seen and out.connections > opened

    run(go)


def test_a_send_that_waits_for_its_connection_does_not_go_out_once_the_replica_is_taken_out() -> (
    None
):
    async def go() -> None:
        reader = Replica(READ)
        async with world([reader], [Replica(STREAM)], control=CONTROL) as w:
            actor = w.dispatcher.replicas.actors["r0"]
            open_one, waiting, go_on = actor._open, asyncio.Event(), asyncio.Event()

            async def slowly(most_us: int | None = None) -> Any:
                wire = await open_one(most_us)
                waiting.set()
                await go_on.wait()
                return wire

            actor._open = slowly  # type: ignore[method-assign]
            asked = asyncio.create_task(w.ask("a1"))
            await waiting.wait()
            assert await post(w, "exclude?host=r0") == 200
            go_on.set()
            assert b" 503 " in await asked
            assert not reader.heads

    run(go)


def test_the_module_leaves_out_what_operators_took_out_and_takes_it_back_cold() -> None:
    d = Drive(fleet(2, 2))
    d.serve(1)
    home = d.sent[1][0]
    d.router.servers[home].ejection_level = 4
    d.give(contract.Exclusion(home, True))
    d.give(contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, fleet(2, 2)))
    assert d.router.avoided(d.now) == {home}
    assert all(d.serve(n) != home for n in range(2, 8))
    d.give(contract.Exclusion(home, False))
    back = d.router.servers[home]
    assert (
        not back.ejection_level
        and back.slow_start_factor(d.now) == SETTINGS.slow_start_initial_factor
        and not d.router.avoided(d.now)
    )
    d.give(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA,
            (contract.Endpoint(home, "r", "z0", 0, d.now - 90_000_000),),
        )
    )
    assert d.router.servers[home].slow_start_factor(d.now) < 0.5, (
        "an older start in the list does not make it warm"
    )
    reads = [d.serve(n) for n in range(10, 30)]
    assert home in reads and reads[0] != home, "work soon, but within its cold budget"


def test_what_the_module_puts_aside_counts_as_avoided() -> None:
    d = Drive(fleet(4, 4))
    victim = d.ask(1)
    d.end(1, AttemptStatus.UNREACHABLE)
    d.give(contract.HealthCheckResult(str(victim), False))
    assert victim in d.router.avoided(d.now)


def test_the_new_keys_the_variable_first() -> None:
    from test_program import RAW

    assert parse(RAW, {}).control is None and parse(RAW, {}).folder is None
    told = parse({**RAW, "control": "127.0.0.1:5"}, {"ROUTER_PASSED_SOCKET": "4", "TMPDIR": "/tmp"})
    assert (str(told.control), told.listen_descriptor, str(told.folder)) == (
        "127.0.0.1:5",
        4,
        "/tmp",
    )
    assert (
        str(parse({**RAW, "control": "x:y"}, {"ROUTER_CONTROL": "127.0.0.1:6"}).control)
        == "127.0.0.1:6"
    )
    for wrong in ({"ROUTER_CONTROL": "here"}, {"ROUTER_PASSED_SOCKET": "four"}):
        with pytest.raises(ConfigError):
            parse(RAW, wrong)


def test_a_request_in_the_making_counts_as_pending() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], control=CONTROL) as w:
            w.readers[0].answers = [hold := Held()]
            reader, writer = await w.send(ask("a1", close=True))
            await hold.there.wait()
            assert (await figures(w))["svc.pending"] == 1
            hold.go.set()
            await reader.read()
            assert (await figures(w))["svc.pending"] == 0
            writer.close()

    run(go)


class Held:
    """A read that waits for the test."""

    def __init__(self) -> None:
        self.there, self.go = asyncio.Event(), asyncio.Event()

    async def __call__(self, replica: Any, reader: Any, writer: Any, head: bytes) -> None:
        self.there.set()
        await self.go.wait()
        await READ(replica, reader, writer, head)


def test_at_the_end_new_connections_are_served_late_requests_refused_and_the_rest_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        hold = Held()
        passed = socket.create_server(("127.0.0.1", 0))
        monkeypatch.setattr(front, "REJECT_NEW_DELAY_US", 0)
        monkeypatch.setattr(front, "SHUTDOWN_MARGIN_US", -2_900_000)  # all is answered soon
        async with world(
            [Replica(hold)], [Replica(STREAM)], listen_descriptor=passed.detach()
        ) as w:
            open_one, stays = await w.send(ask("a1", ms=9000))
            await hold.there.wait()
            fresh, late = await asyncio.open_connection("127.0.0.1", w.port)
            await until(lambda: len(w.dispatcher.front.connections) == 2)
            stopping = asyncio.create_task(w.dispatcher.stop())
            await until(lambda: w.dispatcher.core.shutdown.begun)
            late.write(ask("a2"))
            refused = await fresh.read()
            assert refused.startswith(b"HTTP/1.1 503") and b"connection: close" in refused.lower()
            assert (await open_one.read()).startswith(b"HTTP/1.1 50"), (
                "answered before the process is killed"
            )
            await stopping
            figures = w.dispatcher.core.metrics
            assert figures.pending == 0 and figures.downstream["light"].rejected == 1
            for writer in (stays, late):
                writer.close()

    run(go)


def test_a_lower_limit_closes_idle_connections_to_replicas() -> None:
    async def go() -> None:
        hold = asyncio.Event()
        async with world([Replica(READ)], [Replica(ends_with(hold))]) as w:
            asked = [asyncio.create_task(w.ask(f"a{i}")) for i in range(20)]
            await until(lambda: len(w.writers[0].heads) == 20)
            hold.set()
            await asyncio.gather(*asked)
            budget, actors = w.dispatcher.replicas.budget, w.dispatcher.replicas.actors.values()
            await until(lambda: not any(actor.tasks for actor in actors))
            assert budget.open >= 20
            w.dispatcher._apply_descriptor_limit(20)
            assert budget.open <= budget.limit == w.dispatcher.front.max_connections == 8

    run(go)


def test_a_cold_server_that_has_answered_nothing_is_not_taken_to_be_the_quickest() -> None:
    d = Drive(fleet(2, 2))
    for i in range(12):
        d.serve(i, f"w{i}", prefix=f"p{i}")
    home = d.sent[0][0]
    d.give(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, (contract.Endpoint("r9", "r", "z0", 0, d.now),)
        )
    )
    fresh, known = d.router.servers["r9"], d.router.servers[home]
    assert (
        fresh.slow_start_factor(d.now) == SETTINGS.slow_start_initial_factor
        and known.us_per_token > 0
    )
    fresh.pending_tokens[999] = 3_000  # one read is out there
    assert fresh.expected_prefill_us(3_000, d.now) == 0.0, "by its own answers nothing is known"
    guessed = fresh.expected_prefill_us(3_000, d.now, known.us_per_token)
    assert guessed == pytest.approx(
        known.us_per_token
        / SETTINGS.slow_start_initial_factor
        * (server_state.PREFILL_OVERHEAD_TOKENS + 6_000)
    )
    fresh.record_success(known.us_per_token * 2, d.now)
    assert fresh.expected_prefill_us(3_000, d.now, known.us_per_token) == pytest.approx(
        fresh.us_per_token * (server_state.PREFILL_OVERHEAD_TOKENS + 6_000)
    )
    d.router.candidates.sample_warming = lambda request, servers, now_us, holder: servers  # type: ignore
    sent = []
    # reads pile up at the fresh one, open to all of them, unless its queue counts
    for i in range(20, 24):
        fresh.sample_count = 0
        sent.append(d.ask(i, f"x{i}", prefix=f"q{i}"))
    assert sent.count("r9") < 4
