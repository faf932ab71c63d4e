"""JSON-RPC 2.0 messages, one object per line, and the error codes that the front end uses."""

import asyncio
import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NoReturn

from onyxpass.core.loop_turn import StepFlow
from onyxpass.net.step_cost import STEP_NS, input_cost_ns

LINE_LIMIT = 256 * 1024  # bytes
SURROGATE_PATTERN = re.compile("[\ud800-\udfff]")
Id = str | int

# Defined by JSON-RPC 2.0.
PARSE_ERROR, INVALID_REQUEST, METHOD_NOT_FOUND, INVALID_PARAMS, INTERNAL_ERROR = (
    -32700,
    -32600,
    -32601,
    -32602,
    -32603,
)
# Defined by this front end and its servers.
REFUSED, FAILED, DEADLINE_EXCEEDED, OUTCOME_UNKNOWN, CANCELLED = (
    -32001,
    -32002,
    -32003,
    -32004,
    -32005,
)
STORE_UNAVAILABLE, CALL_NOT_MADE, TOOL_OUTCOME_UNKNOWN, ALREADY_CLAIMED = (
    -32010,
    -32011,
    -32012,
    -32013,
)
SERVER_FULL, NO_STATE = -32020, -32021


class RpcError(Exception):
    """An error object. ``id`` is that of the request it answers, None if the id is unknown."""

    def __init__(self, code: int, message: str, id: Id | None = None, data: object = None) -> None:
        super().__init__(message)
        self.code, self.message, self.id, self.data = code, message, id, data

    def to_dict(self) -> dict[str, Any]:
        body: dict[str, Any] = {"code": self.code, "message": self.message}
        return body if self.data is None else {**body, "data": self.data}


@dataclass(frozen=True, slots=True)
class RpcRequest:
    """A request, or a notification, which is never answered, if ``id`` is None."""

    id: Id | None
    method: str
    params: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class RpcResponse:
    id: Id | None
    result: Any = None
    error: RpcError | None = None


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


def parse(line: bytes) -> RpcRequest | RpcResponse:
    """Parse one line.

    Raises RpcError if the line is invalid, with the id of the message if it could be read.
    """
    try:
        message = json.loads(line, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as problem:
        raise RpcError(PARSE_ERROR, f"not JSON: {str(problem)[:100]}") from problem
    if not isinstance(message, dict):
        raise RpcError(INVALID_REQUEST, "not an object; batches are not taken")
    id, has_id = message.get("id"), "id" in message
    if isinstance(id, bool) or not isinstance(id, str | int | None) or len(str(id)[:300]) > 256:
        raise RpcError(
            INVALID_REQUEST, "an id is a string of up to 256 characters or a whole number"
        )
    if message.get("jsonrpc") != "2.0":
        raise RpcError(INVALID_REQUEST, 'jsonrpc must be "2.0"', id)
    if "method" in message:
        method, params = message["method"], message.get("params", {})
        if not isinstance(method, str):
            raise RpcError(INVALID_REQUEST, "method must be a string", id)
        if has_id and id is None:
            raise RpcError(INVALID_REQUEST, "the id of a request is not null")
        if not isinstance(params, dict):
            raise RpcError(
                INVALID_PARAMS if has_id else INVALID_REQUEST, "params must be an object", id
            )
        return RpcRequest(id, method, params)
    if ("result" in message) == ("error" in message) or not has_id:
        raise RpcError(INVALID_REQUEST, "neither a request nor a response", id)
    if "result" in message:
        return RpcResponse(id, message["result"])
    error = message["error"]
    if not isinstance(error, dict) or type(error.get("code")) is not int:
        raise RpcError(INVALID_REQUEST, "an error needs a whole code", id)
    rpc_error = RpcError(error["code"], str(error.get("message") or ""), id, error.get("data"))
    return RpcResponse(id, error=rpc_error)


def encode_line(message: Mapping[str, Any]) -> bytes:
    return json.dumps({"jsonrpc": "2.0", **message}, separators=(",", ":")).encode() + b"\n"


def request(id: Id, method: str, params: Mapping[str, Any]) -> bytes:
    return encode_line({"id": id, "method": method, "params": params})


def notification(method: str, params: Mapping[str, Any]) -> bytes:
    return encode_line({"method": method, "params": params})


def result(id: Id | None, value: object) -> bytes:
    return encode_line({"id": id, "result": value})


def error(id: Id | None, problem: RpcError) -> bytes:
    return encode_line({"id": id, "error": problem.to_dict()})


async def read_line(reader: asyncio.StreamReader, flow: StepFlow) -> bytes | None:
    """Return the next line that is not blank, or None at the end of the stream.

    ``flow`` is that of the peer: the line is returned when the event loop has time for a step of
    it, in which the caller may parse the line.

    A last line without a line feed is dropped. The reader must have been made with
    ``limit=LINE_LIMIT``; raises RpcError if a line is longer.
    """
    while True:
        try:
            text = await reader.readuntil(b"\n")
        except asyncio.IncompleteReadError:
            return None
        except asyncio.LimitOverrunError as problem:
            raise RpcError(INVALID_REQUEST, f"a line of more than {LINE_LIMIT} bytes") from problem
        await flow.begin_step(STEP_NS + input_cost_ns(len(text)))
        if text.strip():
            return text


def string_param(
    params: Mapping[str, Any], name: str, default: str | None = None, reject_surrogates: bool = True
) -> str:
    """Return a string parameter; raises RpcError if it is not a string.

    ``reject_surrogates`` refuses unpaired surrogates as well, which cannot be encoded as UTF-8 and
    so not be hashed or stored as a key. A part of a streamed text may be cut inside a surrogate
    pair, and is passed on unchanged.
    """
    value = params.get(name, default)
    if not isinstance(value, str) or (
        reject_surrogates and SURROGATE_PATTERN.search(value) is not None
    ):
        raise RpcError(INVALID_PARAMS, f"{name} must be a string")
    return value


def integer_param(params: Mapping[str, Any], name: str, default: int, minimum: int = 0) -> int:
    value = params.get(name, default)
    if type(value) is not int or not minimum <= value <= 2**40:
        raise RpcError(INVALID_PARAMS, f"{name} must be a whole number of at least {minimum}")
    return value
