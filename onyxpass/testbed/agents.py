"""Stand-in agents, many in one process, for fleets too large for real agent processes."""

import asyncio
import json
import time
from typing import Any

import h11

from onyxpass.net.http import HttpConnection, HttpError, header, read_body
from onyxpass.testbed.server import Server

DIGEST_OLD, DIGEST_NEW = "0" * 24, "1" * 24


class StandinAgent(Server):
    """An agent whose instances exist in its answers only; each operation takes ``operation_s``.

    If ``silent``, it accepts calls and never answers.
    """

    def __init__(self, names: list[str], key: str, operation_s: float = 0.02) -> None:
        super().__init__()
        self.names, self.key, self.operation_s = names, key, operation_s
        self.silent = False
        self.digests = dict.fromkeys(names, DIGEST_OLD)
        self.operations: dict[str, dict[str, Any]] = {}
        self.received_operations: list[
            tuple[str, str]
        ] = []  # instance and kind, in the order of arrival

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(h11.SERVER, reader, writer)
        try:
            head = await connection.next_event()
            if not isinstance(head, h11.Request):
                return
            text = await read_body(connection)
            if self.silent:
                await reader.read(1)
                return
            authorized = header(head, b"authorization") == b"Bearer " + self.key.encode()
            body = json.loads(text) if text else {}
            status, content = self.answer(bytes(head.method), bytes(head.target).decode(), body)
            answer = json.dumps(content if authorized else {"error": "no key"}).encode()
            sized = [(b"content-length", b"%d" % len(answer)), (b"connection", b"close")]
            connection.write(h11.Response(status_code=status if authorized else 401, headers=sized))
            connection.write(h11.Data(data=answer), h11.EndOfMessage())
            await writer.drain()
        except HttpError:
            return

    def instance_status(self, name: str) -> dict[str, Any]:
        drain = {
            "phase": "serving",
            "requests": 0,
            "streams": 0,
            "oldest_ms": 0,
            "left_ms": 0,
            "late": False,
        }
        config = {"digest": self.digests[name], "generation": 1, "needs_restart": []}
        live = {"ready": True, "launch": "1", "config": config, "drain": drain}
        return {
            "name": name,
            "state": "running",
            "wanted": True,
            "pid": 1,
            "restarts": 0,
            "file": DIGEST_NEW,
            "live": live,
            "operation": None,
        }

    def answer(
        self, method: bytes, target: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        parts = target.partition("?")[0].split("/")[2:]
        match method, parts:
            case b"GET", ["instances"]:
                return 200, {"instances": [self.instance_status(name) for name in self.names]}
            case b"GET", ["instances", name] if name in self.digests:
                return 200, self.instance_status(name)
            case b"POST", ["instances", name, kind] if name in self.digests:
                return 202, self._start_operation(name, kind, str(body.get("operation")))
            case b"GET", ["operations", id] if id in self.operations:
                return 200, self._operation_status(self.operations[id])
            case b"POST", ["hold" | "release"]:
                return 200, {}
        return 404, {"error": "no such path"}

    def _start_operation(self, name: str, kind: str, id: str) -> dict[str, Any]:
        if id not in self.operations:
            self.received_operations.append((name, kind))
            self.operations[id] = {"instance": name, "due_s": time.monotonic() + self.operation_s}
        return self._operation_status(self.operations[id])

    def _operation_status(self, operation: dict[str, Any]) -> dict[str, Any]:
        if time.monotonic() < operation["due_s"]:
            return {"state": "running"}
        self.digests[operation["instance"]] = DIGEST_NEW
        return {"state": "done", "detail": {"digest": DIGEST_NEW}}
