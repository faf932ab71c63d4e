"""A stand-in for Redis: the part of RESP2 that the shared store uses, with keys that expire."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from onyxpass.standin.server import Server

WORDS_MOST, WORD_MOST = 1024, 8 * 1024 * 1024


class RespStore(Server):
    """GET, SET with NX and EX, DEL, KEYS by a prefix, PING. ``silent``: it takes commands, says nothing."""

    def __init__(self, port: int = 0, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__(port)
        self.clock = clock
        self.data: dict[str, str] = {}
        self.ttl: dict[str, int] = {}  # seconds, as they were told
        self.ends: dict[str, float] = {}  # when a key is gone, by the clock
        self.silent = False
        self.commands: list[list[str]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (head := await reader.readline()).startswith(b"*"):
            try:
                count = int(head[1:])
                if not 0 < count <= WORDS_MOST:
                    raise ValueError("too many words")
                words = [await self._word(reader) for _ in range(count)]
            except ValueError:
                writer.write(b"-ERR Protocol error\r\n")
                return
            self.commands.append(words)
            if not self.silent:
                writer.write(self.answer(words[0].upper(), words[1:]))

    @staticmethod
    async def _word(reader: asyncio.StreamReader) -> str:
        head = await reader.readline()
        if not head.startswith(b"$") or not 0 <= (size := int(head[1:])) <= WORD_MOST:
            raise ValueError("not a bulk string")
        return (await reader.readexactly(size + 2))[:-2].decode()

    def _expire(self) -> None:
        now_s = self.clock()
        for key in [key for key, end_s in self.ends.items() if now_s >= end_s]:
            self.data.pop(key, None)
            self.ttl.pop(key, None)
            del self.ends[key]

    def answer(self, command: str, words: list[str]) -> bytes:
        self._expire()
        match command:
            case "SET" if len(words) >= 2:
                options = [w.upper() for w in words[2:]]
                if "NX" in options and words[0] in self.data:
                    return b"$-1\r\n"
                self.data[words[0]] = words[1]
                self.ttl.pop(words[0], None)
                self.ends.pop(words[0], None)
                if "EX" in options:
                    self.ttl[words[0]] = int(options[options.index("EX") + 1])
                    self.ends[words[0]] = self.clock() + self.ttl[words[0]]
                return b"+OK\r\n"
            case "GET" if len(words) == 1:
                value = self.data.get(words[0])
                return self.bulk(value) if value is not None else b"$-1\r\n"
            case "DEL":
                return b":%d\r\n" % sum(self.data.pop(w, None) is not None for w in words)
            case "KEYS" if len(words) == 1:
                found = [k for k in self.data if k.startswith(words[0].rstrip("*"))]
                return b"*%d\r\n" % len(found) + b"".join(map(self.bulk, found))
            case "CLIENT" | "SELECT" | "PING":
                return b"+OK\r\n"
        return b"-ERR unknown command\r\n"

    @staticmethod
    def bulk(value: str) -> bytes:
        text = value.encode()
        return b"$%d\r\n%s\r\n" % (len(text), text)

    def calls(self) -> dict[str, dict[str, Any]]:
        """The claims on tool calls, by their keys."""
        prefix = "onyxpass:call:"
        return {k.removeprefix(prefix): json.loads(v) for k, v in self.data.items() if k.startswith(prefix)}
