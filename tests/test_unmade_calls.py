"""Calls that were not made for want of the store, and the repeats of their requests.

Guards against a booking that runs twice: the writer made its call once more when the store answered
again, and that one was claimed as the second equal call of its stream. When the request was
repeated, its first and only call was new to the store.
"""

import asyncio

import pytest
import standins as st
from test_toolcalls import run, world

from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.tool_call_relay import ToolCall

MAX_CALLS = 8
RETRY_S = 0.1


def call_until_made(outage_ended: asyncio.Event) -> st.Step:
    """Return a step that makes one call, under a new id each time it was not made."""

    async def step(
        self: st.DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for number in range(MAX_CALLS):
            await st.call_tool(f"c{number}")(self, reader, writer)
            error = self.results[-1].get("error", {})
            if error.get("code") not in (rpc.STORE_UNAVAILABLE, rpc.CALL_NOT_MADE):
                return
            await outage_ended.wait()
            await asyncio.sleep(RETRY_S)

    return step


@pytest.mark.parametrize("outage", ["stopped", "silent"])
def test_a_booking_made_after_an_outage_of_the_store_is_not_made_again(outage: str) -> None:
    async def scenario() -> None:
        outage_ended = asyncio.Event()
        async with world(call_until_made(outage_ended)) as bed:
            client = await bed.client()
            if outage == "stopped":
                await bed.store.stop()
            bed.store.silent = True
            client.generate(1, request="r1")
            await st.until(lambda: any(writer.results for writer in bed.writers))
            bed.store.silent = False
            if outage == "stopped":
                await bed.store.restart(bed.store.snapshot())
            outage_ended.set()
            assert (await client.response(1))["result"]["calls"][-1]["state"] == "done"
            client.generate(2, request="r1")
            await client.response(2)
            bed.check_calls(1)

    run(scenario)


def make_call(id: str, *earlier_calls: ToolCall) -> ToolCall:
    call = ToolCall("r1", id, "book_out", {"part": "hv-board"}, is_wanted=lambda: True)
    call.take_place_among(earlier_calls)
    return call


def test_only_a_call_that_left_no_claim_gives_its_place_to_the_next_equal_one() -> None:
    first = make_call("c0")
    second = make_call("c1", first)
    assert second.occurrence == 1 and second.claim_token != first.claim_token
    first.was_claimed = False
    third = make_call("c2", first, second)
    assert third.occurrence == 0 and third.claim_token == first.claim_token
    assert make_call("c3", first, second, third).occurrence == 2


def test_the_claim_of_a_call_that_was_not_made_is_not_held_against_the_next_one() -> None:
    """Guards against a claim whose answer was lost, and which refuses the call made in its place."""

    async def scenario() -> None:
        outage_ended = asyncio.Event()
        async with world(call_until_made(outage_ended)) as bed:
            client = await bed.client()
            execute = bed.store.execute

            def lose_answers_of_the_second_key(command: str, words: list[str]) -> bytes:
                is_second_key = command == "SET" and "\x1f" in "".join(words)
                bed.store.silent = bed.store.silent or is_second_key
                return execute(command, words)

            bed.store.execute = lose_answers_of_the_second_key  # type: ignore[method-assign]
            client.generate(1, request="r1")
            await st.until(lambda: any(writer.results for writer in bed.writers))
            bed.store.execute = execute  # type: ignore[method-assign]
            bed.store.silent = False
            outage_ended.set()
            calls = (await client.response(1))["result"]["calls"]
            assert [call["state"] for call in calls] == ["not made", "done"]
            client.generate(2, request="r1")
            await client.response(2)
            bed.check_calls(1)

    run(scenario)
