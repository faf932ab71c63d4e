"""Parsers against random cuts of valid messages and random garbage: the same result, or their
own error.
"""

import asyncio
import json
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import h11
from helpers import SETTINGS, fleet
from hypothesis import example, given, settings
from hypothesis import strategies as st

from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net.endpoint_watcher import EndpointListError, JsonObjectSplitter, parse_endpoint_list
from onyxpass.net.http import HttpConnection, HttpError, read_body
from onyxpass.net.replica import cached_tokens
from onyxpass.net.request_parser import BadRequest, read_arrival
from onyxpass.net.response_reader import EventSplitter, ResponseReader
from onyxpass.scheduling import contract
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.front import Connection, RpcFront

FIXED = settings(derandomize=True, max_examples=150, deadline=None)
BODY = b'{"stream":true}'
ASK = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: 9b1f03aa\r\n"
    b"X-Timeout-Ms: 4800\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
)
STREAM = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
)
VERSIONS = b'{"seq":1,"whole":true,"hosts":[]}\n\n{"seq":2,"whole":false,"hosts":[]}\n'


def cut(text: bytes, places: list[int]) -> list[bytes]:
    marks = sorted({0, len(text), *(p % len(text) for p in places)})
    return [text[a:b] for a, b in pairwise(marks)]


async def hear(role: Any, parts: list[bytes]) -> tuple[Any, bytes]:
    """The head and body that a wire makes of the parts, each read by itself."""
    reader = SimpleNamespace(read=None)
    rest = iter([*parts, b""])

    async def read(_: int) -> bytes:
        return next(rest, b"")

    reader.read = read
    wire = HttpConnection(role, reader, None)
    if role is h11.CLIENT:
        wire.h11.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        wire.h11.send(h11.EndOfMessage())
    head = await wire.next_event()
    return head, await read_body(wire)


PLACES = st.lists(st.integers(0, 400), max_size=30)


@FIXED
@given(PLACES)
def test_cuts_of_http_messages_change_nothing(places: list[int]) -> None:
    head, text = asyncio.run(hear(h11.SERVER, cut(ASK, places)))
    assert head.target == b"/v1/chat/completions" and text == BODY
    head, text = asyncio.run(hear(h11.CLIENT, cut(STREAM, places)))
    assert head.status_code == 200 and text == b"hello world"


@FIXED
@given(PLACES, st.integers(0, len(STREAM) - 1))
def test_a_stream_that_ends_early_is_never_whole(places: list[int], end: int) -> None:
    try:
        asyncio.run(hear(h11.CLIENT, cut(STREAM[:end] or b"\0", places)))
    except HttpError:
        return
    raise AssertionError("taken as whole")


@FIXED
@given(st.binary(max_size=300), st.integers(0, len(ASK)), st.booleans())
def test_garbage_on_http_is_broken_and_nothing_else(junk: bytes, at: int, server: bool) -> None:
    role, good = (h11.SERVER, ASK) if server else (h11.CLIENT, STREAM)
    text = good[:at] + junk + good[at:]
    try:
        head, _ = asyncio.run(hear(role, [text]))
    except HttpError as problem:
        assert problem.status == 0 or 400 <= problem.status < 600
    else:
        assert (
            isinstance(head, h11.Request | h11.Response | h11.InformationalResponse) or not server
        )


@FIXED
@given(PLACES)
def test_cuts_of_the_watch_change_nothing(places: list[int]) -> None:
    lines = JsonObjectSplitter()
    found = [message["seq"] for part in cut(VERSIONS, places) for message in lines.feed(part)]
    assert found == [1, 2]


async def stream(parts: list[bytes]) -> bytes:
    """What a client would see of an answer that comes in these parts, and then no more."""
    rest = iter([*parts, b""])

    async def read(_: int) -> bytes:
        return next(rest, b"")

    wire = HttpConnection(h11.CLIENT, SimpleNamespace(read=read), None)
    wire.h11.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    wire.h11.send(h11.EndOfMessage())
    incoming, events, seen = ResponseReader(wire, TimerWheel(Clock())), EventSplitter(), b""
    assert isinstance(await incoming.next(), h11.Response)
    while isinstance(part := await incoming.next(), bytes):
        seen += events.feed(part)
    if not isinstance(part, h11.EndOfMessage) or events.has_partial_event:
        raise HttpError("not whole")
    return seen


@FIXED
@given(PLACES, st.sampled_from([b"\n", b"\r\n"]), st.lists(st.integers(1, 60), max_size=9))
def test_cuts_of_events_change_no_byte(places: list[int], end: bytes, sizes: list[int]) -> None:
    event = b'event: x%bdata: {"a":1}%b%b' % (end, end, end)
    text = b": hello" + end * 2 + event * 3 + b"data: [DONE]" + end * 2
    chunks = [
        text[a:b] for a, b in pairwise(sorted({0, len(text), *(sum(sizes[:i]) for i in range(9))}))
    ]
    body = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks if c) + b"0\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert asyncio.run(stream(cut(head + body, places))) == text


@FIXED
@given(st.binary(min_size=1, max_size=80), PLACES)
def test_noise_in_place_of_the_opening_is_never_passed_on(junk: bytes, places: list[int]) -> None:
    noise = b"\xff" + junk
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(noise), noise)
    try:
        parts = cut(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body, places)
        assert asyncio.run(stream(parts)) == b""
    except HttpError:
        return


JSON: Any = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)
NAMES = st.sampled_from(["host", "dial", "site", "class", "block", "health", "share", "born_ms"])
ENTRY = st.dictionaries(NAMES, JSON | st.sampled_from(["active", "127.0.0.1:80"]))


@FIXED
@given(st.fixed_dictionaries({"seq": JSON, "hosts": JSON | st.lists(ENTRY, max_size=3)}))
def test_a_list_is_read_or_refused(message: dict[str, Any]) -> None:
    try:
        update, addresses = parse_endpoint_list(message)
    except EndpointListError:
        return
    assert len(update.endpoints) >= len(addresses)


RPC = st.fixed_dictionaries(
    {},
    optional={"jsonrpc": st.just("2.0"), "id": JSON, "method": JSON, "params": JSON, "error": JSON},
)


@FIXED
@given(st.binary(max_size=60) | RPC.map(lambda m: json.dumps(m).encode()))
def test_a_line_of_json_rpc_is_read_or_has_a_code(line: bytes) -> None:
    try:
        message = rpc.parse(line)
    except rpc.RpcError as problem:
        assert problem.code in (rpc.PARSE_ERROR, rpc.INVALID_REQUEST, rpc.INVALID_PARAMS)
        assert rpc.parse(rpc.error(problem.id, problem)).id == problem.id  # type: ignore[union-attr]
    else:
        assert isinstance(message, rpc.RpcRequest | rpc.RpcResponse)


VALUES = st.text(st.characters(codec=None), max_size=4) | st.sampled_from(["light", "once"]) | JSON
KEYS = [
    "request",
    "class",
    "prompt",
    "session",
    "prefix",
    "prefix_tokens",
    "max_tokens",
    "timeout_ms",
]


@FIXED
@given(st.dictionaries(st.sampled_from(KEYS), VALUES), st.booleans())
@example({"session": "\ud800"}, True)
def test_params_of_generate_are_taken_or_have_a_code(params: dict[str, Any], sound: bool) -> None:
    """Found by reading: half a surrogate pair in a session made the module fail on its hash."""
    clock = Clock()
    core = RequestDispatcher(SETTINGS, 1, clock, TimerWheel(clock))
    core.receive(contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, fleet()))
    front = RpcFront(core, None, Address("127.0.0.1", 0), 9)  # type: ignore[arg-type]
    given = {**params, "class": "light", "prompt": "x"} if sound else params
    try:
        client = front._generate(1, given, Connection(None, None, {}))  # type: ignore[arg-type]
    except rpc.RpcError as problem:
        assert problem.code in (rpc.INVALID_PARAMS, rpc.INVALID_REQUEST)
    else:
        assert client.request is not None
        client.has_disconnected = lambda: False  # type: ignore[method-assign]
        core.receive(client.request.arrival)


@FIXED
@given(st.text(max_size=50), PLACES)
def test_cuts_of_json_rpc_lines_change_nothing(text: str, places: list[int]) -> None:
    async def go() -> list[bytes]:
        reader = asyncio.StreamReader(limit=rpc.LINE_LIMIT)
        for part in cut(rpc.notification("text", {"text": text}) * 2 + b'{"cut off', places):
            reader.feed_data(part)
        reader.feed_eof()
        lines = []
        while (line := await rpc.read_line(reader)) is not None:
            lines.append(line)
        return lines

    first, second = asyncio.run(go())
    assert first == second and rpc.parse(first).params["text"] == text  # type: ignore[union-attr]


@FIXED
@given(
    st.dictionaries(
        st.sampled_from(["id", "ms", "attrs", "cost"]),
        st.text("0123456789=,.-ap \xe9", max_size=20),
    )
)
def test_headers_are_read_or_refused(values: dict[str, str]) -> None:
    names = {"id": b"X-Request-ID", "ms": b"X-Timeout-Ms", "attrs": b"X-Attrs", "cost": b"X-Cost"}
    headers = [
        (b"Host", b"x"),
        *((names[k], v.strip().encode("latin-1")) for k, v in values.items()),
    ]
    clock = Clock()
    core = RequestDispatcher(contract.Settings((), ()), 1, clock, TimerWheel(clock))
    try:
        _, arrival = read_arrival(
            h11.Request(method="POST", target="/v1/x", headers=headers), core, 0
        )
    except BadRequest:
        return
    assert arrival.prompt_tokens >= 0 and 0 <= arrival.id < 2**52


@FIXED
@given(st.binary(max_size=40) | JSON.map(lambda m: json.dumps({"cached_tokens": m}).encode()))
def test_small_bodies_and_addresses_are_read_or_refused(text: bytes) -> None:
    assert cached_tokens(text) >= 0
    try:
        assert 0 <= Address.parse(text.decode("latin-1")).port <= 65535
    except ConfigError:
        return
