"""Parsers with valid messages split at random positions, and with random garbage.

A split message gives the same result, and garbage gives the parser's own error.
"""

import asyncio
import json
import tracemalloc
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import h11
import pytest
from helpers import SETTINGS, make_endpoints
from hypothesis import example, given, settings
from hypothesis import strategies as st

from onyxpass.config.platform_file import Address, ConfigError
from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.loop_turn import StepFlow
from onyxpass.core.memory_budget import Standing
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net.chunked_body import ChunkedBody, FramingPart
from onyxpass.net.endpoint_watcher import EndpointListError, JsonObjectSplitter, parse_endpoint_list
from onyxpass.net.event_stream import EventSplitter
from onyxpass.net.http import HttpConnection, HttpError, read_body
from onyxpass.net.replica import cached_tokens
from onyxpass.net.request_parser import MAX_PARSED_VALUES, BadRequest, check_body, read_arrival
from onyxpass.net.response_reader import ResponseReader
from onyxpass.scheduling import contract
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.front import Connection, RpcFront

DETERMINISTIC = settings(derandomize=True, max_examples=150, deadline=None)
BODY = b'{"stream":true}'
REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: 9b1f03aa\r\n"
    b"X-Timeout-Ms: 4800\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
)
STREAM = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
)
LIST_UPDATES = b'{"seq":1,"whole":true,"hosts":[]}\n\n{"seq":2,"whole":false,"hosts":[]}\n'


def split_at(text: bytes, positions: list[int]) -> list[bytes]:
    bounds = sorted({0, len(text), *(position % len(text) for position in positions)})
    return [text[start:end] for start, end in pairwise(bounds)]


async def read_message(role: Any, parts: list[bytes]) -> tuple[Any, bytes]:
    """Return the head and body that a connection parses from the parts, one part per read."""
    reader = SimpleNamespace(read=None)
    remaining = iter([*parts, b""])

    async def read(_: int) -> bytes:
        return next(remaining, b"")

    reader.read = read
    connection = HttpConnection(role, reader, None)
    if role is h11.CLIENT:
        connection.h11.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        connection.h11.send(h11.EndOfMessage())
    head = await connection.next_event()
    return head, await read_body(connection)


POSITIONS = st.lists(st.integers(0, 400), max_size=30)


@DETERMINISTIC
@given(POSITIONS)
def test_split_http_messages_are_read_unchanged(positions: list[int]) -> None:
    head, text = asyncio.run(read_message(h11.SERVER, split_at(REQUEST, positions)))
    assert head.target == b"/v1/chat/completions" and text == BODY
    head, text = asyncio.run(read_message(h11.CLIENT, split_at(STREAM, positions)))
    assert head.status_code == 200 and text == b"hello world"


@DETERMINISTIC
@given(POSITIONS, st.integers(0, len(STREAM) - 1))
def test_a_truncated_stream_is_never_accepted(positions: list[int], end: int) -> None:
    try:
        asyncio.run(read_message(h11.CLIENT, split_at(STREAM[:end] or b"\0", positions)))
    except HttpError:
        return
    raise AssertionError("the truncated stream was accepted")


@DETERMINISTIC
@given(st.binary(max_size=300), st.integers(0, len(REQUEST)), st.booleans())
def test_garbage_in_http_raises_only_http_errors(garbage: bytes, at: int, server: bool) -> None:
    role, valid = (h11.SERVER, REQUEST) if server else (h11.CLIENT, STREAM)
    text = valid[:at] + garbage + valid[at:]
    try:
        head, _ = asyncio.run(read_message(role, [text]))
    except HttpError as error:
        assert error.status == 0 or 400 <= error.status < 600
    else:
        assert (
            isinstance(head, h11.Request | h11.Response | h11.InformationalResponse) or not server
        )


@DETERMINISTIC
@given(POSITIONS)
def test_split_list_updates_are_read_unchanged(positions: list[int]) -> None:
    lines = JsonObjectSplitter()
    numbers = [
        message["seq"] for part in split_at(LIST_UPDATES, positions) for message in lines.feed(part)
    ]
    assert numbers == [1, 2]


CHUNK_CONTENTS = st.lists(st.binary(min_size=1, max_size=40) | st.just(b"fffff\r\n0\r\n\r\n"))
EXTENSIONS = st.sampled_from([b"", b";a=b", b';a="f;0"'])


@DETERMINISTIC
@given(CHUNK_CONTENTS, EXTENSIONS, st.sampled_from([b"", b"fffff: 0\r\nb: c\r\n"]), POSITIONS)
def test_the_position_in_a_chunked_body_is_known_however_it_is_split(
    contents: list[bytes], extension: bytes, trailers: bytes, positions: list[int]
) -> None:
    body, boundaries = b"", {0}
    for content in contents:
        body += b"00%X%b\r\n%b\r\n" % (len(content), extension, content)
        boundaries.add(len(body))
    text = body + b"0\r\n" + trailers + b"\r\n"
    position, end = ChunkedBody(max_chunk_bytes=40), 0
    for part in split_at(text, positions):
        position.received(part)
        end += len(part)
        assert position.is_between_chunks == (end in boundaries)
    assert position.part is FramingPart.END and not position.exceeds_limit
    assert position.trailer_lines == trailers.count(b"\n")
    position = ChunkedBody(max_chunk_bytes=40)
    for part in split_at(body + b"029" + b"f" * 6000, positions):
        position.received(part)
    assert position.exceeds_limit


async def read_stream(parts: list[bytes]) -> bytes:
    """Return what a client would receive of an answer that arrives in these parts and then ends."""
    remaining = iter([*parts, b""])

    async def read(_: int) -> bytes:
        return next(remaining, b"")

    connection = HttpConnection(h11.CLIENT, SimpleNamespace(read=read), None)
    connection.h11.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.h11.send(h11.EndOfMessage())
    response, splitter, received = (
        ResponseReader(connection, TimerWheel(Clock())),
        EventSplitter(),
        b"",
    )
    assert isinstance(await response.next(), h11.Response)
    while isinstance(part := await response.next(), bytes):
        received += splitter.feed(part)
    if not isinstance(part, h11.EndOfMessage) or splitter.has_partial_event:
        raise HttpError("the stream is incomplete")
    return received


@DETERMINISTIC
@given(POSITIONS, st.sampled_from([b"\n", b"\r\n"]), st.lists(st.integers(1, 60), max_size=9))
def test_split_events_are_forwarded_unchanged(
    positions: list[int], line_end: bytes, sizes: list[int]
) -> None:
    event = b'event: x%bdata: {"a":1}%b%b' % (line_end, line_end, line_end)
    text = b": hello" + line_end * 2 + event * 3 + b"data: [DONE]" + line_end * 2
    chunks = [
        text[a:b] for a, b in pairwise(sorted({0, len(text), *(sum(sizes[:i]) for i in range(9))}))
    ]
    body = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks if c) + b"0\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert asyncio.run(read_stream(split_at(head + body, positions))) == text


@DETERMINISTIC
@given(st.binary(min_size=1, max_size=80), POSITIONS)
def test_garbage_instead_of_the_first_event_is_never_forwarded(
    garbage: bytes, positions: list[int]
) -> None:
    invalid = b"\xff" + garbage
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(invalid), invalid)
    try:
        parts = split_at(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body, positions)
        assert asyncio.run(read_stream(parts)) == b""
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


@DETERMINISTIC
@given(st.fixed_dictionaries({"seq": JSON, "hosts": JSON | st.lists(ENTRY, max_size=3)}))
def test_a_list_is_read_or_rejected(message: dict[str, Any]) -> None:
    try:
        update, addresses = parse_endpoint_list(message)
    except EndpointListError:
        return
    assert len(update.endpoints) >= len(addresses)


RPC = st.fixed_dictionaries(
    {},
    optional={"jsonrpc": st.just("2.0"), "id": JSON, "method": JSON, "params": JSON, "error": JSON},
)


@DETERMINISTIC
@given(st.binary(max_size=60) | RPC.map(lambda m: json.dumps(m).encode()))
def test_a_json_rpc_line_is_read_or_gets_an_error_code(line: bytes) -> None:
    try:
        message = rpc.parse(line)
    except rpc.RpcError as error:
        assert error.code in (rpc.PARSE_ERROR, rpc.INVALID_REQUEST, rpc.INVALID_PARAMS)
        assert rpc.parse(rpc.error(error.id, error)).id == error.id  # type: ignore[union-attr]
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


@DETERMINISTIC
@given(st.dictionaries(st.sampled_from(KEYS), VALUES), st.booleans())
@example({"session": "\ud800"}, True)
def test_params_of_generate_are_accepted_or_get_an_error_code(
    params: dict[str, Any], valid: bool
) -> None:
    """Guards against half a surrogate pair in a session, on whose hash the router failed."""
    clock = Clock()
    core = RequestDispatcher(SETTINGS, 1, clock, TimerWheel(clock))
    core.receive(contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, make_endpoints()))
    front = RpcFront(core, None, Address("127.0.0.1", 0), 9)  # type: ignore[arg-type]
    call_params = {**params, "class": "light", "prompt": "x"} if valid else params
    try:
        account = core.memory_budget.open(lambda: None, lambda: Standing.PROTECTED)
        connection = Connection(None, None, {}, account, account)  # type: ignore[arg-type]
        front._generate(1, call_params, connection)
    except rpc.RpcError as error:
        assert error.code in (rpc.INVALID_PARAMS, rpc.INVALID_REQUEST)
    else:
        client = connection.clients[1]
        assert client.request is not None
        client.has_disconnected = lambda: False  # type: ignore[method-assign]
        core.receive(client.request.arrival)


@DETERMINISTIC
@given(st.text(max_size=50), POSITIONS)
def test_split_json_rpc_lines_are_read_unchanged(text: str, positions: list[int]) -> None:
    async def scenario() -> list[bytes]:
        reader = asyncio.StreamReader(limit=rpc.LINE_LIMIT)
        for part in split_at(
            rpc.notification("text", {"text": text}) * 2 + b'{"cut off', positions
        ):
            reader.feed_data(part)
        reader.feed_eof()
        lines = []
        while (line := await rpc.read_line(reader, StepFlow())) is not None:
            lines.append(line)
        return lines

    first, second = asyncio.run(scenario())
    assert first == second and rpc.parse(first).params["text"] == text  # type: ignore[union-attr]


@DETERMINISTIC
@given(
    st.dictionaries(
        st.sampled_from(["id", "ms", "attrs", "cost"]),
        st.text("0123456789=,.-ap \xe9", max_size=20),
    )
)
def test_headers_are_read_or_rejected(values: dict[str, str]) -> None:
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


@DETERMINISTIC
@given(st.binary(max_size=40) | JSON.map(lambda m: json.dumps({"cached_tokens": m}).encode()))
def test_small_bodies_and_addresses_are_read_or_rejected(text: bytes) -> None:
    assert cached_tokens(text) >= 0
    try:
        assert 0 <= Address.parse(text.decode("latin-1")).port <= 65535
    except ConfigError:
        return


MANY = b"[],{}," * 20_000


@pytest.mark.parametrize(
    ("body", "accepted"),
    [
        (b'{"a":[' + MANY + b"0]}", True),
        (b'{"a":"' + b"," * 60_000 + b'"}', True),
        (b'{"a":"' + b"," * 60_000 + b"}", False),
        (b'{"a":"' + b'\\"{' * 30_000 + b'"}', True),
        (b"[" + MANY + b"0]", False),
        (b'"' + MANY + b'"', False),
        (b'{"a":' + b"[" * 90_000 + b"}", False),
        (b'{"a":' + b"[" * 5_000 + b"}", False),
        (b"{" + b'"' * 100_001, False),
    ],
)
def test_a_body_of_very_many_values_is_checked_without_being_parsed(
    body: bytes, accepted: bool
) -> None:
    """Guards against a body of 256 KiB that takes 5 MB for a moment, twice what may be left."""
    tracemalloc.start()
    try:
        check_body(body)
        found = True
    except BadRequest:
        found = False
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert found == accepted
    assert peak_bytes <= 2 * len(body) + 64 * MAX_PARSED_VALUES * 2
