"""The JSON-RPC front end from client to tool server, with stand-ins that record every tool call.

No test may find a tool call that reached the tool server twice.
"""

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
RECOVERY_MS = 50  # after the loss of the store's keys, and after a start
STOP_TIMEOUT_S = 10.0


class ToolCallTestBed:
    """The front end with a store, a tool server, two readers and two writers."""

    def __init__(self, *steps: st.Step) -> None:
        self.store, self.tool_server = st.RespStore(), st.ToolServer()
        self.readers, self.writers = (
            [st.PrefillServer(), st.PrefillServer()],
            [st.DecodeServer(*steps), st.DecodeServer(*steps)],
        )
        self.clients: list[st.Client] = []

    def config(self, **tools: int) -> dict[str, Any]:
        raw = tomllib.loads((ROOT / "deploy" / "toolcalls.toml").read_text())
        raw["listen"], raw["store"]["url"] = "127.0.0.1:0", f"redis://{self.store.address}/0"
        raw["store"]["recovery_ms"] = RECOVERY_MS
        raw["tools"] |= {"address": self.tool_server.address, **tools}
        raw["servers"] = [
            {"id": f"{kind}-{i}", "kind": kind, "address": server.address}
            for kind, servers in (("reader", self.readers), ("writer", self.writers))
            for i, server in enumerate(servers)
        ]
        return raw

    @property
    def servers(self) -> list[st.Server]:
        return [self.store, self.tool_server, *self.readers, *self.writers]

    async def client(self) -> st.Client:
        self.clients.append(await st.Client(self.service.front.port).start())
        return self.clients[-1]

    def check_calls(self, expected: int) -> None:
        """Assert that this many calls reached the tool server, none of them twice."""
        assert max(Counter(self.tool_server.call_ids).values(), default=0) <= 1, (
            self.tool_server.call_ids
        )
        assert len(self.tool_server.call_ids) == expected

    @property
    def writes(self) -> int:
        return sum(w.count("write") for w in self.writers)


@asynccontextmanager
async def world(*steps: st.Step, **tools: int) -> AsyncIterator[ToolCallTestBed]:
    bed = ToolCallTestBed(*steps)
    for server in bed.servers:
        await server.start()
    bed.service = ToolcallService(parse(bed.config(**tools)))  # type: ignore[attr-defined]
    await bed.service.start()  # type: ignore[attr-defined]
    generation = bed.service.claims.generation  # type: ignore[attr-defined]
    await st.until(lambda: generation.is_open)  # type: ignore[attr-defined]
    try:
        yield bed
    finally:
        for client in bed.clients:
            await client.stop()
        for server in bed.servers:
            await server.stop()
        bed.service.front.server.close()  # type: ignore[attr-defined]
        await bed.service.close()  # type: ignore[attr-defined]


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


def test_text_and_a_call_in_one_stream() -> None:
    async def scenario() -> None:
        async with world(
            st.send_text("Looking. "), st.call_tool("c1"), st.send_text("Booked.")
        ) as w:
            client = await w.client()
            client.generate(1, request="r1")
            answer = await client.response(1)
            assert client.texts == ["Looking. ", "Booked."]
            assert answer["result"]["finish"] == "stop"
            assert answer["result"]["calls"] == [
                {"call": "c1", "name": "book_out", "state": "done"}
            ]
            assert [r["result"] for x in w.writers for r in x.results] == [{"booked": 1}]
            w.check_calls(1)
            await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert w.store.ttl["onyxpass:call:r1:c1"] == 86400
            assert len([r for r in client.responses if r.get("id") == 1]) == 1

    run(scenario)


def test_a_call_before_any_text_commits_the_attempt() -> None:
    """The writer is lost after its call was sent and before the result arrived."""

    async def scenario() -> None:
        async with world(st.call_tool("c1", wait=False), st.abort_on_event) as w:
            w.tool_server.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            await st.until(lambda: w.tool_server.call_ids)
            for writer in w.writers:
                writer.abort_event.set()
            error = (await client.response(1))["error"]
            assert error["code"] == rpc.OUTCOME_UNKNOWN
            assert error["data"]["calls"] == [{"call": "c1", "name": "book_out", "state": "sent"}]
            w.tool_server.release.set()  # the late result is recorded
            await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert w.store.recorded_calls()["r1:c1"]["result"] == {"booked": 1}
            assert w.writes == 1, "there must be no new attempt"
            w.check_calls(1)
            assert [r.get("id") for r in client.responses] == [1]
            await st.until(lambda: not w.service.core.registry.by_number)

    run(scenario)


@pytest.mark.parametrize("ending", ["close", "cancel"])
def test_a_client_that_disconnects_or_cancels_withdraws_its_open_call(ending: str) -> None:
    """The client closes its connection or cancels the request while the call has no result yet."""

    async def scenario() -> None:
        async with world(
            st.send_text("Wait. "), st.call_tool("c1", wait=False), st.read_until_closed
        ) as w:
            w.tool_server.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            await st.until(lambda: w.tool_server.call_ids)
            if ending == "close":
                await client.stop()
            else:
                st.send_message(client.writer, method="cancel", params={"id": 1})
                error = (await client.response(1))["error"]
                assert (
                    error["code"] == rpc.OUTCOME_UNKNOWN
                    and error["data"]["calls"][0]["call"] == "c1"
                )
            await st.until(
                lambda: any(n["method"] == "cancel" for x in w.writers for n in x.notifications)
            )
            await st.until(lambda: w.tool_server.notifications)
            assert w.tool_server.notifications[0]["method"] == "notifications/cancelled"
            assert w.tool_server.notifications[0]["params"]["requestId"] == "r1:c1"
            await st.until(lambda: w.store.recorded_calls()["r1:c1"].get("withdrawn"))
            w.tool_server.release.set()
            await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert w.store.recorded_calls()["r1:c1"]["withdrawn"] is True
            await st.until(lambda: not w.service.core.registry.by_number)
            assert w.writes == 1
            w.check_calls(1)

    run(scenario)


def test_a_text_may_be_cut_anywhere_even_within_a_surrogate_pair() -> None:
    async def scenario() -> None:
        parts = ["\ud83d", "\ude00", "\u0000\n\u2028"]
        async with world(*map(st.send_text, parts)) as w:
            client = await w.client()
            client.generate(1)
            assert "result" in await client.response(1) and client.texts == parts

    run(scenario)


def test_a_repeated_request_id_gets_the_recorded_tool_result() -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1"), st.send_text("ok")) as w:
            client = await w.client()
            for id in (1, 2):
                client.generate(id, request="r1")
                assert (await client.response(id))["result"]["calls"][0]["state"] == "done"
                await st.until(lambda: w.store.recorded_calls()["r1:c1"]["state"] == "done")
            assert [r["result"] for x in w.writers for r in x.results] == [{"booked": 1}] * 2
            w.check_calls(1)

    run(scenario)


def test_a_retry_after_a_lost_writer_does_not_repeat_the_call() -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1", wait=False), st.abort_on_event) as w:
            w.tool_server.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            await st.until(lambda: w.tool_server.call_ids)
            for writer in w.writers:
                writer.abort_event.set()
            assert (await client.response(1))["error"]["code"] == rpc.OUTCOME_UNKNOWN
            for writer in w.writers:
                writer.steps = (st.call_tool("c1"),)
            client.generate(2, request="r1")
            await client.response(2)
            (response,) = [r for x in w.writers for r in x.results]
            assert response["error"]["code"] == rpc.ALREADY_CLAIMED
            w.check_calls(1)

    run(scenario)


def test_a_failed_read_is_retried_and_the_tool_call_is_made_once() -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1"), st.send_text("ok")) as w:
            for reader in w.readers:
                reader.prefill_replies = [
                    {"error": {"code": rpc.INTERNAL_ERROR, "message": "fault"}}
                ]
            client = await w.client()
            client.generate(1, request="r1", traffic_class="part-lookup")
            assert "result" in await client.response(1)
            assert sum(r.count("read") for r in w.readers) >= 2
            w.check_calls(1)

    run(scenario)


def test_a_non_idempotent_request_that_may_have_run_is_not_sent_again() -> None:
    async def scenario() -> None:
        async with world(st.send_line(b"%%")) as w:
            client = await w.client()
            client.generate(1)
            assert (await client.response(1))["error"]["code"] == rpc.FAILED
            assert w.writes == 1
            await st.until(lambda: any(r.released for r in w.readers))

    run(scenario)


@pytest.mark.parametrize("outage", ["stopped", "silent"])
def test_no_tool_call_is_made_while_the_store_is_unavailable(outage: str) -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1"), st.send_text("sorry")) as w:
            if outage == "stopped":
                await w.store.stop()
            w.store.silent = True
            client = await w.client()
            client.generate(1)
            answer = await client.response(1)
            (response,) = [r for x in w.writers for r in x.results]
            assert response["error"]["code"] == rpc.STORE_UNAVAILABLE
            assert answer["result"]["calls"][0]["state"] == "not made" and client.texts == ["sorry"]
            w.check_calls(0)

    run(scenario)


def test_calls_to_a_slow_invalid_or_stopped_tool_server_report_their_state() -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1"), st.send_text("."), timeout_ms=200) as w:
            client = await w.client()
            w.tool_server.release.clear()  # slow
            client.generate("slow", request="slow")
            answer = await client.response("slow")
            assert answer["result"]["calls"][0]["state"] == "unknown"
            w.tool_server.release.set()  # a late result is still recorded
            await st.until(lambda: w.store.recorded_calls()["slow:c1"]["state"] == "done")
            w.tool_server.replies_garbage = True
            client.generate("garbage", request="garbage")
            assert (await client.response("garbage"))["result"]["calls"][0]["state"] == "unknown"
            await w.tool_server.stop()
            client.generate("down", request="down")
            assert (await client.response("down"))["result"]["calls"][0]["state"] == "not made"
            codes = [r["error"]["code"] for x in w.writers for r in x.results]
            assert sorted(codes) == sorted(
                [rpc.TOOL_OUTCOME_UNKNOWN, rpc.TOOL_OUTCOME_UNKNOWN, rpc.CALL_NOT_MADE]
            )
            w.check_calls(2)

    run(scenario)


def test_a_restarted_tool_server_is_reconnected() -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1")) as w:
            client = await w.client()
            for id in ("a", "b", "c"):
                client.generate(id, request=id)
                assert (await client.response(id))["result"]["calls"][0]["state"] == "done"
                await w.tool_server.stop()
                await w.tool_server.start()
            assert w.tool_server.connections == 3
            w.check_calls(3)

    run(scenario)


def test_a_writer_that_ends_before_its_call_has_a_result_leaves_the_outcome_unknown() -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1", wait=False)) as w:
            w.tool_server.release.clear()
            client = await w.client()
            client.generate(1, request="r1")
            error = (await client.response(1))["error"]
            if error["code"] == rpc.OUTCOME_UNKNOWN:
                await st.until(lambda: w.tool_server.call_ids)
                w.check_calls(1)
            else:  # the writer ended before the claim, so the call is not made
                assert error["code"] == rpc.FAILED
                await st.until(
                    lambda: w.store.recorded_calls().get("r1:c1", {}).get("state") == "not made"
                )
                w.check_calls(0)
            assert w.writes == 1

    run(scenario)


def test_tool_errors_and_duplicate_call_ids_are_reported_to_the_writer() -> None:
    async def scenario() -> None:
        async with world(
            st.call_tool("c1"), st.call_tool("c1"), st.call_tool("c2", "no_such")
        ) as w:
            w.tool_server.answers["no_such"] = {
                "error": {"code": -32602, "message": "no such tool"}
            }
            client = await w.client()
            client.generate(1)
            states = [c["state"] for c in (await client.response(1))["result"]["calls"]]
            assert states == ["done", "error"]
            results = [r for x in w.writers for r in x.results]
            assert results[1]["id"] is None and results[1]["error"]["code"] == rpc.INVALID_REQUEST
            assert results[2]["error"] == {"code": -32602, "message": "no such tool"}
            w.check_calls(2)

    run(scenario)


def test_a_rejection_carries_a_retry_delay_and_a_silent_writer_ends_at_the_deadline() -> None:
    async def scenario() -> None:
        async with world(st.send_text("x")) as w:
            for reader in w.readers:
                reader.prefill_replies = [
                    {"error": {"code": rpc.SERVER_FULL, "message": "full"}}
                ] * 9
            client = await w.client()
            client.generate(1, timeout_ms=900)
            error = (await client.response(1))["error"]
            assert error["code"] == rpc.REFUSED and error["data"] == {"retry_after_ms": 1000}
            for writer in w.writers:
                writer.steps = (st.read_until_closed,)
            for reader in w.readers:
                reader.prefill_replies = []
            client.generate(2, timeout_ms=400)
            assert (await client.response(2))["error"]["code"] == rpc.DEADLINE_EXCEEDED
            assert w.writes == 1

    run(scenario)


def test_each_invalid_message_has_its_error_code() -> None:
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

    async def scenario() -> None:
        async with world(st.read_until_closed) as w:
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
            st.send_message(
                client.writer, id=99, result={}
            )  # a response without a request is ignored
            st.send_message(client.writer, method="cancel", params={"id": 12345})
            st.send_message(client.writer, id=9, method="ping")
            await client.response(9)
            client.writer.write(b"x" * (rpc.LINE_LIMIT + 10) + b"\n")
            await st.until(lambda: client.closed)
            assert client.responses[-1]["error"]["code"] == rpc.INVALID_REQUEST
            await st.until(lambda: not w.service.core.registry.by_number)

    run(scenario)


def test_a_reload_applies_the_servers_and_an_invalid_file_changes_nothing() -> None:
    async def scenario() -> None:
        async with world(st.send_text("a")) as w:
            late = await st.DecodeServer(st.send_text("b")).start()
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

    run(scenario)


def test_a_request_that_a_reader_rejects_as_invalid_fails_without_retry_or_penalty() -> None:
    async def scenario() -> None:
        async with world(st.send_text("a")) as w:
            for reader in w.readers:
                reader.prefill_replies += [
                    {"error": {"code": rpc.INVALID_PARAMS, "message": "no"}}
                ] * 4
            client = await w.client()
            for i in range(4):
                client.generate(i)
                assert (await client.response(i))["error"]["code"] == rpc.FAILED
            assert sum(reader.count("read") for reader in w.readers) == 4
            assert not any(server.failure_rate for server in w.service.core.router.servers.values())  # type: ignore[attr-defined]

    run(scenario)


def test_idle_connections_are_closed_for_new_ones_but_not_those_with_open_requests() -> None:
    async def scenario() -> None:
        async with world(st.call_tool("c1", wait=False), st.read_until_closed) as w:
            w.service.front.max_connections = 2  # type: ignore[attr-defined]
            silent = [await w.client() for _ in range(4)]
            held = [await w.client() for _ in range(2)]
            for client in held:
                client.generate(1)
            await st.until(lambda: len(w.tool_server.call_ids) == 2)
            assert all(client.closed for client in silent)
            late = await w.client()
            assert (await late.response(None))["error"]["code"] == rpc.REFUSED
            assert not any(client.closed for client in held)

    run(scenario)


def test_a_graceful_stop_finishes_open_requests() -> None:
    async def scenario() -> None:
        async with world(st.send_text("a"), st.call_tool("c1"), st.send_text("b")) as w:
            w.tool_server.release.clear()
            client = await w.client()
            client.generate(1)
            await st.until(lambda: w.tool_server.call_ids)
            stopping = asyncio.create_task(w.service.front.stop())
            client.generate(2)
            assert (await client.response(2))["error"]["code"] == rpc.REFUSED
            w.tool_server.release.set()
            assert "result" in await client.response(1)
            await stopping
            assert client.texts == ["a", "b"]

    run(scenario)


@pytest.mark.parametrize(("kind", "method"), [("reader", "read"), ("writer", "write")])
def test_an_answer_counts_as_what_its_attempt_was_sent_as(kind: str, method: str) -> None:
    """Guards against a prefill's answer that is told as a booking, and a booking that is written twice.

    The server's id is given to a server of the other kind while an attempt is out at the old one.
    """

    async def scenario() -> None:
        hold = asyncio.Event()

        async def wait(*_: object) -> None:
            await hold.wait()

        class HeldPrefillServer(st.PrefillServer):
            async def handle_message(self, message: dict[str, Any], *streams: Any) -> None:
                if method == "read" and message.get("method") == "read":
                    await hold.wait()
                await super().handle_message(message, *streams)

        async with world(st.send_text("a"), *([wait] if method == "write" else [])) as w:
            held = [await HeldPrefillServer().start(), await HeldPrefillServer().start()]
            raw = w.config()  # type: ignore[attr-defined]
            readers = [s for s in raw["servers"] if s["kind"] == "reader"]
            for entry, server in zip(readers, held, strict=True):
                entry["address"] = server.address
            w.service.reload(lambda: parse(raw))  # type: ignore[attr-defined]
            client = await w.client()
            client.generate(1, request="r1")
            servers = held if method == "read" else w.writers
            await st.until(lambda: sum(s.count(method) for s in servers) == 1)
            changed = w.config()  # type: ignore[attr-defined]
            (position,) = [i for i, s in enumerate(servers) if s.count(method)]
            for entry in changed["servers"]:
                if entry["id"] == f"{kind}-{position}":
                    entry["kind"] = "writer" if kind == "reader" else "reader"
                    entry["address"] = (w.writers if kind == "reader" else w.readers)[0].address
            w.service.reload(lambda: parse(changed))  # type: ignore[attr-defined]
            hold.set()
            answer = await client.response(1)
            assert answer["result"]["finish"] == "stop", "as a writer has answered"
            assert client.texts == ["a"]
            assert w.writes == 1
            for server in held:
                await server.stop()

    run(scenario)


def test_a_front_stops_beside_a_client_that_reads_nothing() -> None:
    """Guards against a SIGTERM that waits for ever for such a client's connection to close."""

    async def scenario() -> None:
        async with world(st.send_text("a")) as w:
            front = w.service.front  # type: ignore[attr-defined]
            _reader, writer = await asyncio.open_connection("127.0.0.1", front.port, limit=1)
            ping = b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n'
            while not front.count_unsent():
                writer.write(ping * 1000)
                await asyncio.sleep(0.01)
            await asyncio.wait_for(front.stop(), STOP_TIMEOUT_S)
            assert not front.connections
            writer.transport.abort()

    run(scenario)
