"""The JSON-RPC front end to end, with stand-ins that count: no ledger call ever comes twice."""

import asyncio
import tomllib
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import standins as st

from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.service import ToolcallService, parse

ROOT = Path(__file__).parent.parent


class World:
    """The front with a store, a tool server, two readers and two writers round it."""

    def __init__(self, *steps: st.Step) -> None:
        self.store, self.ledger = st.RespStore(), st.Ledger()
        self.readers, self.writers = (
            [st.Reader(), st.Reader()],
            [st.Writer(*steps), st.Writer(*steps)],
        )
        self.clients: list[st.Client] = []

    def config(self, **tools: int) -> dict[str, Any]:
        raw = tomllib.loads((ROOT / "deploy" / "toolcalls.toml").read_text())
        raw["listen"], raw["store"]["url"] = "127.0.0.1:0", f"redis://{self.store.address}/0"
        raw["tools"] |= {"address": self.ledger.address, **tools}
        raw["servers"] = [
            {"id": f"{kind}-{i}", "kind": kind, "address": server.address}
            for kind, servers in (("reader", self.readers), ("writer", self.writers))
            for i, server in enumerate(servers)
        ]
        return raw

    @property
    def parts(self) -> list[st.Server]:
        return [self.store, self.ledger, *self.readers, *self.writers]

    async def client(self) -> st.Client:
        self.clients.append(await st.Client(self.service.front.port).start())
        return self.clients[-1]

    def no_call_twice(self, expected: int) -> None:
        assert max(Counter(self.ledger.ledger).values(), default=0) <= 1, self.ledger.ledger
        assert len(self.ledger.ledger) == expected

    @property
    def writes(self) -> int:
        return sum(w.count("write") for w in self.writers)


@asynccontextmanager
async def world(*steps: st.Step, **tools: int) -> AsyncIterator[World]:
    made = World(*steps)
    for part in made.parts:
        await part.start()
    made.service = ToolcallService(parse(made.config(**tools)))  # type: ignore[attr-defined]
    await made.service.start()  # type: ignore[attr-defined]
    try:
        yield made
    finally:
        for client in made.clients:
            await client.stop()
        for part in made.parts:
            await part.stop()
        made.service.front.server.close()  # type: ignore[attr-defined]
        await made.service.close()  # type: ignore[attr-defined]


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def test_text_and_a_call_in_one_stream() -> None:
    async def go() -> None:
        async with world(st.say("Looking. "), st.call("c1"), st.say("Booked.")) as w:
            client = await w.client()
            client.generate(1, request="r1")
            answer = await client.response(1)
            assert client.texts == ["Looking. ", "Booked."]
            assert answer["result"]["finish"] == "stop"
            assert answer["result"]["calls"] == [
                {"call": "c1", "name": "book_out", "state": "done"}
            ]
            assert [r["result"] for x in w.writers for r in x.results] == [{"booked": 1}]
            w.no_call_twice(1)
            await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert w.store.ttl["onyxpass:call:r1:c1"] == 86400
            assert len([r for r in client.responses if r.get("id") == 1]) == 1

    run(go)


def test_a_call_before_any_text_commits_the_attempt() -> None:
    """Hard case one: the writer is lost after the call was relayed and before its result came
    back.
    """

    async def go() -> None:
        async with world(st.call("c1", wait=False), st.die_when_told) as w:
            w.ledger.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            await st.until(lambda: w.ledger.ledger)
            for writer in w.writers:
                writer.hold.set()
            error = (await client.response(1))["error"]
            assert error["code"] == rpc.OUTCOME_UNKNOWN
            assert error["data"]["calls"] == [{"call": "c1", "name": "book_out", "state": "sent"}]
            w.ledger.release.set()  # the late result is recorded
            await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert w.store.recorded_calls()["r1:c1"]["result"] == {"booked": 1}
            assert w.writes == 1, "no new attempt"
            w.no_call_twice(1)
            assert [r.get("id") for r in client.responses] == [1]
            await st.until(lambda: not w.service.core.registry.by_number)

    run(go)


@pytest.mark.parametrize("way", ["close", "cancel"])
def test_the_client_goes_while_a_call_is_out(way: str) -> None:
    """Hard case two: the client gives up, by closing or by saying so, while the call is
    outstanding.
    """

    async def go() -> None:
        async with world(st.say("Wait. "), st.call("c1", wait=False), st.hold_on) as w:
            w.ledger.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            await st.until(lambda: w.ledger.ledger)
            if way == "close":
                await client.stop()
            else:
                st.put(client.writer, method="cancel", params={"id": 1})
                error = (await client.response(1))["error"]
                assert (
                    error["code"] == rpc.OUTCOME_UNKNOWN
                    and error["data"]["calls"][0]["call"] == "c1"
                )
            await st.until(lambda: any(n["method"] == "cancel" for x in w.writers for n in x.notes))
            await st.until(lambda: w.ledger.notes)
            assert w.ledger.notes[0]["method"] == "notifications/cancelled"
            assert w.ledger.notes[0]["params"]["requestId"] == "r1:c1"
            await st.until(lambda: w.store.recorded_calls()["r1:c1"].get("withdrawn"))
            w.ledger.release.set()
            await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert w.store.recorded_calls()["r1:c1"]["withdrawn"] is True
            await st.until(lambda: not w.service.core.registry.by_number)
            assert w.writes == 1
            w.no_call_twice(1)

    run(go)


def test_a_text_may_be_cut_anywhere_even_within_a_surrogate_pair() -> None:
    async def go() -> None:
        parts = ["\ud83d", "\ude00", "\u0000\n\u2028"]
        async with world(*map(st.say, parts)) as w:
            client = await w.client()
            client.generate(1)
            assert "result" in await client.response(1) and client.texts == parts

    run(go)


def test_a_client_that_asks_again_under_the_same_name_gets_the_recorded_result() -> None:
    async def go() -> None:
        async with world(st.call("c1"), st.say("ok")) as w:
            client = await w.client()
            for id in (1, 2):
                client.generate(id, request="r1")
                assert (await client.response(id))["result"]["calls"][0]["state"] == "done"
                await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert [r["result"] for x in w.writers for r in x.results] == [{"booked": 1}] * 2
            w.no_call_twice(1)

    run(go)


def test_a_retry_after_a_lost_writer_does_not_repeat_the_call() -> None:
    async def go() -> None:
        async with world(st.call("c1", wait=False), st.die_when_told) as w:
            w.ledger.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            await st.until(lambda: w.ledger.ledger)
            for writer in w.writers:
                writer.hold.set()
            assert (await client.response(1))["error"]["code"] == rpc.OUTCOME_UNKNOWN
            for writer in w.writers:
                writer.steps = (st.call("c1"),)
            client.generate(2, request="r1")
            await client.response(2)
            (told,) = [r for x in w.writers for r in x.results]
            assert told["error"]["code"] == rpc.ALREADY_CLAIMED
            w.no_call_twice(1)

    run(go)


def test_reads_are_tried_again_and_the_call_is_still_made_once() -> None:
    async def go() -> None:
        async with world(st.call("c1"), st.say("ok")) as w:
            for reader in w.readers:
                reader.ends = [{"error": {"code": rpc.INTERNAL_ERROR, "message": "fault"}}]
            client = await w.client()
            client.generate(1, request="r1", traffic_class="part-lookup")
            assert "result" in await client.response(1)
            assert sum(r.count("read") for r in w.readers) >= 2
            w.no_call_twice(1)

    run(go)


def test_a_booking_that_may_have_run_is_not_written_again() -> None:
    async def go() -> None:
        async with world(st.raw(b"%%")) as w:
            client = await w.client()
            client.generate(1)
            assert (await client.response(1))["error"]["code"] == rpc.FAILED
            assert w.writes == 1
            await st.until(lambda: any(r.released for r in w.readers))

    run(go)


@pytest.mark.parametrize("how", ["stopped", "silent"])
def test_no_call_without_the_store(how: str) -> None:
    async def go() -> None:
        async with world(st.call("c1"), st.say("sorry")) as w:
            if how == "stopped":
                await w.store.stop()
            w.store.silent = True
            client = await w.client()
            client.generate(1)
            answer = await client.response(1)
            (told,) = [r for x in w.writers for r in x.results]
            assert told["error"]["code"] == rpc.STORE_UNAVAILABLE
            assert answer["result"]["calls"][0]["state"] == "not made" and client.texts == ["sorry"]
            w.no_call_twice(0)

    run(go)


def test_a_tool_server_that_is_down_slow_or_talks_garbage() -> None:
    async def go() -> None:
        async with world(st.call("c1"), st.say("."), timeout_ms=200) as w:
            client = await w.client()
            w.ledger.release.clear()  # slow
            client.generate("slow", request="slow")
            answer = await client.response("slow")
            assert answer["result"]["calls"][0]["state"] == "unknown"
            w.ledger.release.set()  # a late result is recorded all the same
            await st.until(lambda: w.store.recorded_calls()["slow:c1"]["state"] == "done")
            w.ledger.garbage = True
            client.generate("garbage", request="garbage")
            assert (await client.response("garbage"))["result"]["calls"][0]["state"] == "unknown"
            await w.ledger.stop()
            client.generate("down", request="down")
            assert (await client.response("down"))["result"]["calls"][0]["state"] == "not made"
            codes = [r["error"]["code"] for x in w.writers for r in x.results]
            assert sorted(codes) == sorted(
                [rpc.TOOL_OUTCOME_UNKNOWN, rpc.TOOL_OUTCOME_UNKNOWN, rpc.CALL_NOT_MADE]
            )
            w.no_call_twice(2)

    run(go)


def test_a_tool_server_that_was_restarted_is_found_again() -> None:
    async def go() -> None:
        async with world(st.call("c1")) as w:
            client = await w.client()
            for id in ("a", "b", "c"):
                client.generate(id, request=id)
                assert (await client.response(id))["result"]["calls"][0]["state"] == "done"
                await w.ledger.stop()
                await w.ledger.start()
            assert w.ledger.connections == 3
            w.no_call_twice(3)

    run(go)


def test_a_writer_that_ends_with_a_call_out_leaves_its_outcome_unknown() -> None:
    async def go() -> None:
        async with world(st.call("c1", wait=False)) as w:
            w.ledger.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            error = (await client.response(1))["error"]
            if error["code"] == rpc.OUTCOME_UNKNOWN:
                await st.until(lambda: w.ledger.ledger)
                w.no_call_twice(1)
            else:  # it ended before the claim: then the call is not made at all
                assert error["code"] == rpc.FAILED
                await st.until(
                    lambda: w.store.recorded_calls().get("r1:c1", {}).get("state") == "not made"
                )
                w.no_call_twice(0)
            assert w.writes == 1

    run(go)


def test_tool_errors_and_call_ids_used_twice_reach_the_writer() -> None:
    async def go() -> None:
        async with world(st.call("c1"), st.call("c1"), st.call("c2", "no_such")) as w:
            w.ledger.answers["no_such"] = {"error": {"code": -32602, "message": "no such tool"}}
            client = await w.client()
            client.generate(1)
            states = [c["state"] for c in (await client.response(1))["result"]["calls"]]
            assert states == ["done", "error"]
            results = [r for x in w.writers for r in x.results]
            assert results[1]["id"] is None and results[1]["error"]["code"] == rpc.INVALID_REQUEST
            assert results[2]["error"] == {"code": -32602, "message": "no such tool"}
            w.no_call_twice(2)

    run(go)


def test_refused_carries_its_advice_and_a_silent_reader_ends_at_the_deadline() -> None:
    async def go() -> None:
        async with world(st.say("x")) as w:
            for reader in w.readers:
                reader.ends = [{"error": {"code": rpc.SERVER_FULL, "message": "full"}}] * 9
            client = await w.client()
            client.generate(1, timeout_ms=900)
            error = (await client.response(1))["error"]
            assert error["code"] == rpc.REFUSED and error["data"] == {"retry_after_ms": 1000}
            for writer in w.writers:
                writer.steps = (st.hold_on,)
            for reader in w.readers:
                reader.ends = []
            client.generate(2, timeout_ms=400)
            assert (await client.response(2))["error"]["code"] == rpc.DEADLINE_EXCEEDED
            assert w.writes == 1

    run(go)


def test_what_a_client_may_get_wrong_has_its_code() -> None:
    cases: list[tuple[bytes, int, object]] = [
        (b"{", rpc.PARSE_ERROR, None),
        (b"\xff\xfe", rpc.PARSE_ERROR, None),
        (b'{"jsonrpc":"2.0","id":1,"method":"generate","params":{"x":NaN}}', rpc.PARSE_ERROR, None),
        (b"[" * 20000, rpc.PARSE_ERROR, None),
        (b"[]", rpc.INVALID_REQUEST, None),
        (b'{"id":2,"method":"generate"}', rpc.INVALID_REQUEST, 2),
        (b'{"jsonrpc":"2.0","id":true,"method":"generate"}', rpc.INVALID_REQUEST, None),
        (b'{"jsonrpc":"2.0","id":3,"method":"nothing"}', rpc.METHOD_NOT_FOUND, 3),
        (b'{"jsonrpc":"2.0","id":4,"method":"generate"}', rpc.INVALID_PARAMS, 4),
        (b'{"jsonrpc":"2.0","id":5,"method":"generate","params":[1]}', rpc.INVALID_PARAMS, 5),
        (
            b'{"jsonrpc":"2.0","id":6,"method":"generate","params":{"class":"?","prompt":""}}',
            rpc.INVALID_PARAMS,
            6,
        ),
    ]

    async def go() -> None:
        async with world(st.hold_on) as w:
            client = await w.client()
            for line, code, id in cases:
                before = len(client.responses)
                client.writer.write(line + b"\n")
                await st.until(lambda n=before: len(client.responses) > n)
                answer = client.responses[-1]
                assert (answer["id"], answer["error"]["code"]) == (id, code), line[:80]
            client.generate(7, request="one")
            client.generate(7, request="two")
            assert (await client.response(None))["error"]["code"]
            client.generate(8, request="one")
            assert (await client.response(8))["error"]["code"] == rpc.INVALID_REQUEST
            st.put(client.writer, id=99, result={})  # a response to nothing is passed over
            st.put(client.writer, method="cancel", params={"id": 12345})
            st.put(client.writer, id=9, method="ping")
            await client.response(9)
            client.writer.write(b"x" * (rpc.LINE_LIMIT + 10) + b"\n")
            await st.until(lambda: client.closed)
            assert client.responses[-1]["error"]["code"] == rpc.INVALID_REQUEST
            await st.until(lambda: not w.service.core.registry.by_number)

    run(go)


def test_a_reload_takes_over_the_servers_and_a_bad_file_changes_nothing() -> None:
    async def go() -> None:
        async with world(st.say("a")) as w:
            late = await st.Writer(st.say("b")).start()
            raw = w.config()
            w.service.reload(lambda: parse({**raw, "servers": "nonsense"}))  # type: ignore[attr-defined]
            client = await w.client()
            client.generate(1)
            assert "result" in await client.response(1) and client.texts == ["a"]
            raw["servers"] = [s for s in raw["servers"] if s["kind"] == "reader"]
            raw["servers"].append({"id": "writer-9", "kind": "writer", "address": late.address})
            w.service.reload(lambda: parse(raw))  # type: ignore[attr-defined]
            client.generate(2)
            assert "result" in await client.response(2) and client.texts == ["a", "b"]
            await late.stop()

    run(go)


def test_what_a_reader_calls_wrong_fails_at_once_and_is_not_its_fault() -> None:
    async def go() -> None:
        async with world(st.say("a")) as w:
            for reader in w.readers:
                reader.ends += [{"error": {"code": rpc.INVALID_PARAMS, "message": "no"}}] * 4
            client = await w.client()
            for i in range(4):
                client.generate(i)
                assert (await client.response(i))["error"]["code"] == rpc.FAILED
            assert sum(reader.count("read") for reader in w.readers) == 4
            assert not any(server.failure_rate for server in w.service.core.router.servers.values())  # type: ignore[attr-defined]

    run(go)


def test_silent_clients_make_room_and_open_requests_do_not() -> None:
    async def go() -> None:
        async with world(st.call("c1", wait=False), st.hold_on) as w:
            w.service.front.max_connections = 2  # type: ignore[attr-defined]
            silent = [await w.client() for _ in range(4)]
            held = [await w.client() for _ in range(2)]
            for client in held:
                client.generate(1)
            await st.until(lambda: len(w.ledger.ledger) == 2)
            assert all(client.closed for client in silent)
            late = await w.client()
            assert (await late.response(None))["error"]["code"] == rpc.REFUSED
            assert not any(client.closed for client in held)

    run(go)


def test_an_orderly_stop_finishes_what_was_taken() -> None:
    async def go() -> None:
        async with world(st.say("a"), st.call("c1"), st.say("b")) as w:
            w.ledger.release.clear()
            client = await w.client()
            client.generate(1)
            await st.until(lambda: w.ledger.ledger)
            stopping = asyncio.create_task(w.service.front.stop())
            client.generate(2)
            assert (await client.response(2))["error"]["code"] == rpc.REFUSED
            w.ledger.release.set()
            assert "result" in await client.response(1)
            await stopping
            assert client.texts == ["a", "b"]

    run(go)
