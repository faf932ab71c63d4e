"""Stand-in agents: many in one process, for fleets of a size at which real processes don't fit."""

import asyncio
import json
import time
from typing import Any

import h11

from onyxpass.net.http import HttpConnection, HttpError, header, read_body
from onyxpass.testbed.server import Server

DIGEST_OLD, DIGEST_NEW = "0" * 24, "1" * 24


class StandinAgent(Server):
    """``silent``: it takes calls and says nothing. ``takes_s``: for an order to be carried out."""

    def __init__(self, names: list[str], key: str, takes_s: float = 0.02) -> None:
        super().__init__()
        self.names, self.key, self.takes_s = names, key, takes_s
        self.silent = False
        self.digests = dict.fromkeys(names, DIGEST_OLD)
        self.operations: dict[str, dict[str, Any]] = {}
        self.orders: list[tuple[str, str]] = []  # instance and kind, as they came

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = HttpConnection(h11.SERVER, reader, writer)
        try:
            head = await wire.next_event()
            if not isinstance(head, h11.Request):
                return
            text = await read_body(wire)
            if self.silent:
                await reader.read(1)
                return
            shown = header(head, b"authorization") == b"Bearer " + self.key.encode()
            call = json.loads(text) if text else {}
            status, told = self.answer(bytes(head.method), bytes(head.target).decode(), call)
            answer = json.dumps(told if shown else {"error": "no key"}).encode()
            sized = [(b"content-length", b"%d" % len(answer)), (b"connection", b"close")]
            wire.write(h11.Response(status_code=status if shown else 401, headers=sized))
            wire.write(h11.Data(data=answer), h11.EndOfMessage())
            await writer.drain()
        except HttpError:
            return

    def told(self, name: str) -> dict[str, Any]:
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
        self, method: bytes, target: str, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        parts = target.partition("?")[0].split("/")[2:]
        match method, parts:
            case b"GET", ["instances"]:
                return 200, {"instances": [self.told(name) for name in self.names]}
            case b"GET", ["instances", name] if name in self.digests:
                return 200, self.told(name)
            case b"POST", ["instances", name, kind] if name in self.digests:
                return 202, self._order(name, kind, str(call.get("operation")))
            case b"GET", ["operations", id] if id in self.operations:
                return 200, self._stands(self.operations[id])
            case b"POST", ["hold" | "release"]:
                return 200, {}
        return 404, {"error": "no such path"}

    def _order(self, name: str, kind: str, id: str) -> dict[str, Any]:
        if id not in self.operations:
            self.orders.append((name, kind))
            self.operations[id] = {"instance": name, "due_s": time.monotonic() + self.takes_s}
        return self._stands(self.operations[id])

    def _stands(self, operation: dict[str, Any]) -> dict[str, Any]:
        if time.monotonic() < operation["due_s"]:
            return {"state": "running"}
        self.digests[operation["instance"]] = DIGEST_NEW
        return {"state": "done", "detail": {"digest": DIGEST_NEW}}
