"""Readers and writers of the JSON-RPC front, as docs/TOOLCALLS.md describes them.

Started as ``servers.py RUNS NAME:ROLE:PORT ...``; writes each read and write that has begun
as a line of JSON to the file ``RUNS``. A writer writes a request only if a reader holds its state.
"""

import asyncio
import contextlib
import json
import sys
from typing import Any, TextIO

READ_S = 0.8
WORDS, WORD_S = 8, 0.05
NO_STATE = -32021
Message = dict[str, Any]


class Server:
    """One server; every connection carries one attempt, or one other call."""

    def __init__(self, name: str, role: str, states: set[str], runs: TextIO) -> None:
        self.name, self.role, self.states, self.runs = name, role, states, runs

    def _record(self, what: str, request: str) -> None:
        self.runs.write(json.dumps({"what": what, "request": request, "server": self.name}) + "\n")
        self.runs.flush()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer what comes on one connection, till the dispatcher closes it."""

        def send(**message: Any) -> None:
            writer.write(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")

        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                call: Message = json.loads(line)
                method, params = call.get("method"), call.get("params", {})
                request = str(params.get("request", ""))
                if method == "read" and self.role == "reader":
                    self._record("read", request)
                    await asyncio.sleep(READ_S)
                    self.states.add(request)
                    send(id=call["id"], result={"cached_tokens": 0})
                elif method == "write" and self.role == "writer":
                    if request not in self.states:
                        send(id=call["id"], error={"code": NO_STATE, "message": "no state"})
                        continue
                    self.states.discard(request)
                    self._record("write", request)
                    for number in range(WORDS):
                        await asyncio.sleep(WORD_S)
                        send(method="text", params={"text": f"word{number} "})
                    send(id=call["id"], result={"finish": "stop"})
                elif method == "release":
                    self.states.discard(request)
                    send(id=call["id"], result={})
                elif "id" in call:
                    send(id=call["id"], result={})
                await writer.drain()
        writer.close()


async def main() -> None:
    """Serve until killed."""
    states: set[str] = set()
    with open(sys.argv[1], "w") as runs:  # noqa: ASYNC230, PTH123 - before anything is served
        for word in sys.argv[2:]:
            name, role, port = word.split(":")
            server = Server(name, role, states, runs)
            await asyncio.start_server(server.serve, "127.0.0.1", int(port))
        sys.stdout.write("serving\n")
        sys.stdout.flush()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
