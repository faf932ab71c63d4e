"""A client's request in the module's words, and what of it is turned away before that."""

import json
import re

import h11

from onyxpass.core.dispatcher import ANSWER_MARGIN_US, RequestDispatcher
from onyxpass.net.http import BODY_LIMIT, HttpError, header
from onyxpass.scheduling import contract

NUMBER_MOST = 2**53
WAIT_MOST = 10  # times its class's usual time that a client may wait
HINT_MOST_US = 3_600_000_000
NAME_MOST = 512
SINGLE = (
    b"x-request-id",
    b"x-priority-class",
    b"x-route-key",
    b"x-timeout-ms",
    b"x-attrs",
    b"x-tenant-id",
)
ID = re.compile(rb"[A-Za-z0-9._~-]{1,128}\Z")


class BadRequest(ValueError):
    """A request that lacks something or says it in a form that is not allowed."""


def whole_number(text: bytes | str | None, name: str, fallback: int | None = None) -> int:
    if text is None or len(text) == 0:
        if fallback is None:
            raise BadRequest(f"{name} is absent")
        return fallback
    if not text.isdigit() or len(text) > 16 or not text.isascii() or int(text) > NUMBER_MOST:
        raise BadRequest(f"{name} is not a whole number")
    return int(text)


def read_attrs(text: bytes | None) -> dict[str, str]:
    """``X-Attrs``: names and values, by commas."""
    found: dict[str, str] = {}
    for part in (text or b"").decode("latin-1").split(","):
        name, equals, value = part.strip().partition("=")
        if part.strip() and not equals:
            raise BadRequest("X-Attrs is not a row of name=value")
        if name:
            found[name] = value
    return found


def check_framing(head: h11.Request) -> None:
    """Turn away, by the head alone, what can't be told apart safely or is too large."""
    length = header(head, b"content-length")
    if length is not None and header(head, b"transfer-encoding") is not None:
        # Guards against request smuggling: another server may believe the other of the two.
        raise HttpError("both Content-Length and Transfer-Encoding", 400)
    if length is not None and (len(length) > 9 or int(length) > BODY_LIMIT):
        raise HttpError("body too large", 413)  # before any of it is read
    if head.http_version != b"1.1" and head.method == b"POST":
        # Guards against a stream that breaks and looks whole: to older clients it would have no
        # last chunk.
        raise HttpError("HTTP/1.1 only", 505)


def check_body(text: bytes) -> None:
    """Guards against passing on what no replica can use: its refusal would look like the
    replica's fault.
    """
    try:
        sound = isinstance(json.loads(text), dict)
    except (ValueError, RecursionError):
        sound = False
    if not sound:
        raise BadRequest("the body is no JSON object")


def read_arrival(
    head: h11.Request, core: RequestDispatcher, arrived_us: int, size: int = BODY_LIMIT
) -> tuple[str, contract.Arrival]:
    """The request's headers in the module's words. ``size``: of its body, which bounds its
    prompt.
    """
    named = {bytes(k): bytes(v) for k, v in head.headers}
    for name in SINGLE:
        # guards against two readings of one request
        if sum(k == name for k, _ in head.headers) > 1:
            raise BadRequest(f"{name.decode()} stands there twice")
    if any(len(named.get(name, b"")) > NAME_MOST for name in SINGLE):
        # guards against names that fill the module's tables
        raise BadRequest("a header is too long")
    request_id = named.get(b"x-request-id", b"")
    if not ID.match(request_id):
        raise BadRequest("X-Request-ID is absent or not an id")
    attrs = read_attrs(named.get(b"x-attrs"))
    traffic_class = named.get(b"x-priority-class", b"").decode("latin-1")
    if (most_us := core.deadlines.get(traffic_class)) is None:
        raise BadRequest("no such class")
    wait_us = whole_number(named.get(b"x-timeout-ms"), "X-Timeout-Ms", most_us // 1000) * 1000
    wait_us = min(wait_us, WAIT_MOST * most_us)
    hint = named.get(b"x-cost")
    retried = named.get(b"x-retried", b"")
    text_id = request_id.decode("ascii")
    return text_id, contract.Arrival(
        id=core.registry.allocate_number(text_id),
        traffic_class=traffic_class,
        session=named.get(b"x-route-key", b"").decode("latin-1") or text_id,
        deadline_us=arrived_us + wait_us - ANSWER_MARGIN_US,
        # Guards against lengths that make the module believe that servers are full: a token has a
        # character.
        prompt_tokens=min(size, whole_number(attrs.get("prompt_len"), "prompt_len", 0)),
        max_tokens=min(BODY_LIMIT, whole_number(attrs.get("max_out"), "max_out", 0)),
        prefix=attrs.get("prefix") or None,
        prefix_tokens=min(size, whole_number(attrs.get("prefix_len"), "prefix_len", 0)),
        tenant=named.get(b"x-tenant-id", b"").decode("latin-1") or None,
        expected_stream_us=min(HINT_MOST_US, whole_number(hint, "X-Cost")) if hint else None,
        is_retry=retried == b"1",
        resumed=retried == b"again",
    )
