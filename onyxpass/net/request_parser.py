"""Parses a client's request into an arrival for the router, and rejects invalid ones."""

import json
import re

import h11

from onyxpass.core.dispatcher import ANSWER_MARGIN_US, RequestDispatcher
from onyxpass.net.http import BODY_LIMIT, HttpError, header
from onyxpass.scheduling import contract

MAX_NUMBER = 2**53
# maximum deadline of a request, in multiples of its class's default deadline
MAX_WAIT_MULTIPLE = 10
MAX_HINT_US = 3_600_000_000
MAX_HEADER_BYTES = 512
SINGLE_VALUE_HEADERS = (
    b"x-request-id",
    b"x-priority-class",
    b"x-route-key",
    b"x-timeout-ms",
    b"x-attrs",
    b"x-tenant-id",
)
MAX_PARSED_VALUES = 8_192  # of a body that is parsed; each takes some 64 bytes then
VALUE_MARKS = (b",", b"[", b"{")  # one precedes each value, if they are not within strings
BRACKETS = ((b"[", b"]"), (b"{", b"}"))
STRING_PATTERN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
NO_OBJECT = "the body is no JSON object"
REQUEST_ID_PATTERN = re.compile(rb"[A-Za-z0-9._~-]{1,128}\Z")


class BadRequest(ValueError):
    """A request that lacks a required value or has an invalid one."""


def parse_integer(text: bytes | str | None, name: str, fallback: int | None = None) -> int:
    if text is None or len(text) == 0:
        if fallback is None:
            raise BadRequest(f"{name} is absent")
        return fallback
    if not text.isdigit() or len(text) > 16 or not text.isascii() or int(text) > MAX_NUMBER:
        raise BadRequest(f"{name} is not a whole number")
    return int(text)


def read_attrs(text: bytes | None) -> dict[str, str]:
    """Parse the ``X-Attrs`` header: comma-separated ``name=value`` pairs."""
    found: dict[str, str] = {}
    for part in (text or b"").decode("latin-1").split(","):
        name, equals, value = part.strip().partition("=")
        if part.strip() and not equals:
            raise BadRequest("X-Attrs is not a row of name=value")
        if name:
            found[name] = value
    return found


def check_framing(head: h11.Request) -> None:
    """Reject, by the head alone, a request with ambiguous framing or a body that is too large."""
    length = header(head, b"content-length")
    if length is not None and header(head, b"transfer-encoding") is not None:
        # Prevents request smuggling: another server may use the other of the two.
        raise HttpError("both Content-Length and Transfer-Encoding", 400)
    if length is not None and (len(length) > 9 or int(length) > BODY_LIMIT):
        raise HttpError("body too large", 413)  # before any of the body is read
    if head.http_version != b"1.1" and head.method == b"POST":
        # HTTP/1.0 has no chunks: an interrupted stream without a last chunk would look complete.
        raise HttpError("HTTP/1.1 only", 505)


def looks_like_object(structure: bytes) -> bool:
    """Return whether JSON without its strings may be an object."""
    balanced = all(structure.count(a) == structure.count(b) for a, b in BRACKETS)
    ended_strings = b'"' not in structure
    return balanced and ended_strings and structure.startswith(b"{") and structure.endswith(b"}")


def check_body(text: bytes) -> None:
    """Reject a body that is not a JSON object.

    No replica can use it, and its rejection there would look like a failure of the replica. Of a
    body with very many values only the ends and the brackets are looked at: parsed, it would take
    twenty times its size.
    """
    if sum(map(text.count, VALUE_MARKS)) > MAX_PARSED_VALUES:
        structure = STRING_PATTERN.sub(b"", text).strip()
        if sum(map(structure.count, VALUE_MARKS)) > MAX_PARSED_VALUES:
            if not looks_like_object(structure):
                raise BadRequest(NO_OBJECT)
            return
    try:
        is_object = isinstance(json.loads(text), dict)
    except (ValueError, RecursionError):
        is_object = False
    if not is_object:
        raise BadRequest(NO_OBJECT)


def read_arrival(
    head: h11.Request, core: RequestDispatcher, arrived_us: int, size: int = BODY_LIMIT
) -> tuple[str, contract.Arrival]:
    """Return the request's ID and its headers as an arrival.

    ``size`` is the length of the body in bytes and bounds the prompt's tokens.
    """
    headers: dict[bytes, bytes] = {}
    for key, value in head.headers:
        # prevents two interpretations of one request
        if key in headers and key in SINGLE_VALUE_HEADERS:
            raise BadRequest(f"{key.decode()} stands there twice")
        headers[bytes(key)] = bytes(value)
    if any(len(headers.get(name, b"")) > MAX_HEADER_BYTES for name in SINGLE_VALUE_HEADERS):
        # prevents long names from filling the router's tables
        raise BadRequest("a header is too long")
    request_id = headers.get(b"x-request-id", b"")
    if not REQUEST_ID_PATTERN.match(request_id):
        raise BadRequest("X-Request-ID is absent or not an id")
    attrs = read_attrs(headers.get(b"x-attrs"))
    traffic_class = headers.get(b"x-priority-class", b"").decode("latin-1")
    if (class_deadline_us := core.deadlines.get(traffic_class)) is None:
        raise BadRequest("no such class")
    wait_us = (
        parse_integer(headers.get(b"x-timeout-ms"), "X-Timeout-Ms", class_deadline_us // 1000)
        * 1000
    )
    wait_us = min(wait_us, MAX_WAIT_MULTIPLE * class_deadline_us)
    hint = headers.get(b"x-cost")
    retried = headers.get(b"x-retried", b"")
    text_id = request_id.decode("ascii")
    return text_id, contract.Arrival(
        id=core.registry.allocate_number(text_id),
        traffic_class=traffic_class,
        session=headers.get(b"x-route-key", b"").decode("latin-1") or text_id,
        deadline_us=arrived_us + wait_us - ANSWER_MARGIN_US,
        # Bounded by the body, at one character per token at least: larger values would make servers
        # look full.
        prompt_tokens=min(size, parse_integer(attrs.get("prompt_len"), "prompt_len", 0)),
        max_tokens=min(BODY_LIMIT, parse_integer(attrs.get("max_out"), "max_out", 0)),
        prefix=attrs.get("prefix") or None,
        prefix_tokens=min(size, parse_integer(attrs.get("prefix_len"), "prefix_len", 0)),
        tenant=headers.get(b"x-tenant-id", b"").decode("latin-1") or None,
        expected_stream_us=min(MAX_HINT_US, parse_integer(hint, "X-Cost")) if hint else None,
        is_retry=retried == b"1",
        resumed=retried == b"again",
    )
