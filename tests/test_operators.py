"""The operators' address: readiness, metrics, and replicas excluded by operators."""

import asyncio
import socket
from itertools import pairwise
from typing import Any

import pytest
from cluster import (
    PREFILLED,
    SERVER_FULL,
    STREAM,
    Cluster,
    Replica,
    chat_request,
    hold_last_chunk,
    run_async,
    running_cluster,
)
from helpers import SETTINGS, RouterDriver, make_endpoints
from hypothesis import given, settings
from hypothesis import strategies as st
from standins import until

from onyxpass.config.platform_file import Address, ConfigError, parse
from onyxpass.net import control, front
from onyxpass.scheduling import contract, server_state
from onyxpass.scheduling.contract import AttemptStatus

CONTROL = Address("127.0.0.1", 0)
READY = b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"


async def call(w: Cluster, *parts: bytes, end: bool = False) -> bytes:
    """Send one call part by part and return its complete answer."""
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


async def post_command(w: Cluster, what: str) -> int:
    return int((await call(w, f"POST /api/{what} HTTP/1.1\r\nHost: x\r\n\r\n".encode())).split()[1])


async def metrics(w: Cluster) -> dict[str, int]:
    answer = await call(w, READY.replace(b"ready", b"telemetry"))
    assert answer.startswith(b"HTTP/1.1 200")
    rows = answer.partition(b"\r\n\r\n")[2].decode().split()
    return {name: int(value) for name, value in (row.split("=") for row in rows)}


def test_every_request_and_attempt_is_counted_once_and_bad_requests_are_not_counted() -> None:
    async def scenario() -> None:
        async with running_cluster(
            [Replica(PREFILLED)], [Replica(STREAM, SERVER_FULL)], control=CONTROL
        ) as w:
            at_first = await metrics(w)
            ends = [f"svc.downstream_requests.{c.name}.{e}" for c in SETTINGS.classes for e in
                    ("completed", "rejected", "failed")]  # fmt: skip
            assert all(at_first[name] == 0 for name in ends)
            assert at_first["svc.upstream_requests"] == at_first["svc.pending"] == 0
            assert at_first["svc.members"] == 2 and at_first["svc.members_unavailable"] == 0
            await w.request("a1")
            await w.request("a2")  # the writer is full after this request
            assert b" 400 " in await w.request("b1", traffic_class="unheard-of")
            now = await metrics(w)
            assert now["svc.downstream_requests.light.completed"] == 1
            assert now["svc.downstream_requests.light.rejected"] == 1
            assert sum(now[name] for name in ends) == 2 and now["svc.pending"] == 0
            sent = sum(len(replica.heads) for replica in (*w.readers, *w.writers))
            assert now["svc.upstream_requests"] == sent

    run_async(scenario)


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
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], control=CONTROL) as w:
            assert int((await call(w, text)).split()[1]) == code
            assert not w.dispatcher.core.endpoints.excluded

    run_async(scenario)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.integers(1, len(READY) - 1), max_size=8), st.binary(max_size=60))
def test_calls_may_come_in_pieces_and_garbage_gets_an_error_or_a_close(
    places: list[int], noise: bytes
) -> None:
    marks = sorted({0, len(READY), *places})

    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], control=CONTROL) as w:
            parts = [READY[a:b] for a, b in pairwise(marks)]
            assert (await call(w, *parts)).startswith(b"HTTP/1.1 200")
            answer = await call(w, noise, end=True)
            assert not answer or answer.split()[1].startswith(b"4")

    run_async(scenario)


def test_silent_and_incomplete_calls_time_out_and_do_not_block_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], control=CONTROL) as w:
            assert w.dispatcher.control is not None
            port = w.dispatcher.control.port
            silent = [
                await asyncio.open_connection("127.0.0.1", port)
                for _ in range(control.MAX_CALLS + 4)
            ]
            assert (await call(w, READY)).startswith(b"HTTP/1.1 200"), (
                "a new call takes the place of a silent one"
            )
            monkeypatch.setattr(control, "CALL_TIMEOUT_US", 30_000)
            assert (await call(w, READY[:20])).startswith(b"HTTP/1.1 408")
            assert await call(w) == b""
            for _, writer in silent:
                writer.close()

    run_async(scenario)


def test_not_ready_before_the_complete_list_nor_while_stopping() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], control=CONTROL) as w:
            watcher = w.dispatcher.endpoint_watcher
            # No discovery listens there, so the watcher cannot become ready by itself.
            watcher.set_discovery(Address("127.0.0.1", 1))
            await until(watcher.mailbox.empty)
            await asyncio.sleep(0)
            watcher.ready = False
            assert (await call(w, READY)).startswith(b"HTTP/1.1 503")
            w.dispatcher.endpoint_watcher.ready = True
            assert (await call(w, READY)).startswith(b"HTTP/1.1 200")
            w.dispatcher.front.closing = True
            assert (await call(w, READY)).startswith(b"HTTP/1.1 503")

    run_async(scenario)


def test_an_excluded_replica_gets_no_requests_until_it_is_included_and_then_soon() -> None:
    async def scenario() -> None:
        readers = [Replica(PREFILLED), Replica(PREFILLED)]
        async with running_cluster(readers, [Replica(STREAM)], control=CONTROL) as w:
            await w.request("a0")
            out = readers[0] if readers[0].heads else readers[1]
            name, seen, opened = f"r{readers.index(out)}", len(out.heads), out.connections
            assert await post_command(w, f"exclude?host={name}") == 200
            assert await post_command(w, f"exclude?host={name}") == 200, (
                "a repeated exclusion succeeds"
            )
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
                assert b" 200 " in await w.request(f"b{i}")
            assert len(out.heads) == seen and not actor.idle and not out.writers, (
                "no connection is kept"
            )
            assert (await metrics(w))["svc.members_unavailable"] == 1
            assert await post_command(w, f"include?host={name}") == 200, (
                "one inclusion ends repeated exclusions"
            )
            # The replica is cold: its first request depends on those of the others.
            for i in range(40):
                assert b" 200 " in await w.request(f"c{i}")
            assert len(out.heads) > seen and out.connections > opened

    run_async(scenario)


def test_a_send_that_waits_for_its_connection_is_not_sent_after_the_exclusion() -> None:
    async def scenario() -> None:
        reader = Replica(PREFILLED)
        async with running_cluster([reader], [Replica(STREAM)], control=CONTROL) as w:
            actor = w.dispatcher.replicas.actors["r0"]
            open_one, waiting, go_on = actor._open, asyncio.Event(), asyncio.Event()

            async def open_slowly(most_us: int | None = None) -> Any:
                wire = await open_one(most_us)
                waiting.set()
                await go_on.wait()
                return wire

            actor._open = open_slowly  # type: ignore[method-assign]
            asked = asyncio.create_task(w.request("a1"))
            await waiting.wait()
            assert await post_command(w, "exclude?host=r0") == 200
            go_on.set()
            assert b" 503 " in await asked
            assert not reader.heads

    run_async(scenario)


def test_the_router_avoids_excluded_servers_and_readmits_them_cold() -> None:
    d = RouterDriver(make_endpoints(2, 2))
    d.complete_request(1)
    home = d.sent[1][0]
    d.router.servers[home].ejection_level = 4
    d.deliver(contract.Exclusion(home, True))
    d.deliver(contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, make_endpoints(2, 2)))
    assert d.router.avoided(d.now) == {home}
    assert all(d.complete_request(n) != home for n in range(2, 8))
    d.deliver(contract.Exclusion(home, False))
    back = d.router.servers[home]
    assert (
        not back.ejection_level
        and back.slow_start_factor(d.now) == SETTINGS.slow_start_initial_factor
        and not d.router.avoided(d.now)
    )
    d.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA,
            (contract.Endpoint(home, "r", "z0", 0, d.now - 90_000_000),),
        )
    )
    assert d.router.servers[home].slow_start_factor(d.now) < 0.5, (
        "an older start in the list does not make it warm"
    )
    reads = [d.complete_request(n) for n in range(10, 30)]
    assert home in reads and reads[0] != home, (
        "requests soon, but within the limit of a cold server"
    )


def test_a_server_ejected_by_the_router_counts_as_avoided() -> None:
    d = RouterDriver(make_endpoints(4, 4))
    victim = d.submit(1)
    d.deliver_outcome(1, AttemptStatus.UNREACHABLE)
    d.deliver(contract.HealthCheckResult(str(victim), False))
    assert victim in d.router.avoided(d.now)


def test_variables_override_the_control_address_and_set_the_passed_socket() -> None:
    from test_program import RAW

    assert parse(RAW, {}).control is None and parse(RAW, {}).folder is None
    config = parse(
        {**RAW, "control": "127.0.0.1:5"}, {"ROUTER_PASSED_SOCKET": "4", "TMPDIR": "/tmp"}
    )
    assert (str(config.control), config.listen_descriptor, str(config.folder)) == (
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


def test_a_request_in_progress_counts_as_pending() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], control=CONTROL) as w:
            w.readers[0].answers = [hold := HeldPrefill()]
            reader, writer = await w.send(chat_request("a1", close=True))
            await hold.there.wait()
            assert (await metrics(w))["svc.pending"] == 1
            hold.go.set()
            await reader.read()
            assert (await metrics(w))["svc.pending"] == 0
            writer.close()

    run_async(scenario)


class HeldPrefill:
    """A prefill answer that waits until the test sets ``go``."""

    def __init__(self) -> None:
        self.there, self.go = asyncio.Event(), asyncio.Event()

    async def __call__(self, replica: Any, reader: Any, writer: Any, head: bytes) -> None:
        self.there.set()
        await self.go.wait()
        await PREFILLED(replica, reader, writer, head)


def test_shutdown_rejects_late_requests_and_answers_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        hold = HeldPrefill()
        passed = socket.create_server(("127.0.0.1", 0))
        monkeypatch.setattr(front, "REJECT_NEW_DELAY_US", 0)
        # All open requests are answered soon after the shutdown begins.
        monkeypatch.setattr(front, "SHUTDOWN_MARGIN_US", -2_900_000)
        async with running_cluster(
            [Replica(hold)], [Replica(STREAM)], listen_descriptor=passed.detach()
        ) as w:
            open_one, stays = await w.send(chat_request("a1", ms=9000))
            await hold.there.wait()
            late_source, late = await asyncio.open_connection("127.0.0.1", w.port)
            await until(lambda: len(w.dispatcher.front.connections) == 2)
            stopping = asyncio.create_task(w.dispatcher.stop())
            await until(lambda: w.dispatcher.core.shutdown.begun)
            late.write(chat_request("a2"))
            refused = await late_source.read()
            assert refused.startswith(b"HTTP/1.1 503") and b"connection: close" in refused.lower()
            assert (await open_one.read()).startswith(b"HTTP/1.1 50"), (
                "the request is answered before the process is killed"
            )
            await stopping
            counters = w.dispatcher.core.metrics
            assert counters.pending == 0 and counters.downstream["light"].rejected == 1
            for writer in (stays, late):
                writer.close()

    run_async(scenario)


def test_a_lower_limit_closes_idle_connections_to_replicas() -> None:
    async def scenario() -> None:
        hold = asyncio.Event()
        async with running_cluster([Replica(PREFILLED)], [Replica(hold_last_chunk(hold))]) as w:
            asked = [asyncio.create_task(w.request(f"a{i}")) for i in range(20)]
            await until(lambda: len(w.writers[0].heads) == 20)
            hold.set()
            await asyncio.gather(*asked)
            budget, actors = w.dispatcher.replicas.budget, w.dispatcher.replicas.actors.values()
            await until(lambda: not any(actor.tasks for actor in actors))
            assert budget.open >= 20
            w.dispatcher._apply_descriptor_limit(20)
            assert budget.open <= budget.limit == w.dispatcher.front.max_connections == 8

    run_async(scenario)


def test_a_cold_server_without_answers_is_not_estimated_as_the_fastest() -> None:
    d = RouterDriver(make_endpoints(2, 2))
    for i in range(12):
        d.complete_request(i, f"w{i}", prefix=f"p{i}")
    home = d.sent[0][0]
    d.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, (contract.Endpoint("r9", "r", "z0", 0, d.now),)
        )
    )
    new_server, known = d.router.servers["r9"], d.router.servers[home]
    assert (
        new_server.slow_start_factor(d.now) == SETTINGS.slow_start_initial_factor
        and known.us_per_token > 0
    )
    new_server.pending_tokens[999] = 3_000  # one prefill request is open
    assert new_server.expected_prefill_us(3_000, d.now) == 0.0, (
        "without answers of its own there is no estimate"
    )
    estimate = new_server.expected_prefill_us(3_000, d.now, known.us_per_token)
    assert estimate == pytest.approx(
        known.us_per_token
        / SETTINGS.slow_start_initial_factor
        * (server_state.PREFILL_OVERHEAD_TOKENS + 6_000)
    )
    new_server.record_success(known.us_per_token * 2, d.now)
    assert new_server.expected_prefill_us(3_000, d.now, known.us_per_token) == pytest.approx(
        new_server.us_per_token * (server_state.PREFILL_OVERHEAD_TOKENS + 6_000)
    )
    d.router.candidates.sample_warming = lambda request, servers, now_us, holder: servers  # type: ignore
    sent = []
    # All requests may go to the new server and pile up there unless its queue counts.
    for i in range(20, 24):
        new_server.sample_count = 0
        sent.append(d.submit(i, f"x{i}", prefix=f"q{i}"))
    assert sent.count("r9") < 4
