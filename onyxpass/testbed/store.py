"""A stand-in for Redis with the commands that onyxpass uses, and with faults.

It is written from the published protocol and command pages. A restart breaks all connections and
begins a new run id, empty or from an older snapshot, as after the loss of a disk.
"""

import asyncio
import fnmatch
import heapq
import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import hiredis

from onyxpass.testbed.server import Server

MAX_WORDS = 1024
READ_BYTES = 64 * 1024
TRANSACTION_COMMANDS = ("MULTI", "EXEC", "DISCARD", "WATCH", "UNWATCH")
OK, NIL = b"+OK\r\n", b"$-1\r\n"
Reply = bytes


class StoreFault(Enum):
    """What happens to one command that writes."""

    LOST = "lost"  # it takes effect, but its connection breaks before the answer
    REFUSED = "refused"  # its connection breaks without any effect
    LOADING = "loading"
    READONLY = "readonly"


ERRORS = {
    StoreFault.LOADING: b"-LOADING Redis is loading the dataset in memory\r\n",
    StoreFault.READONLY: b"-READONLY You can't write against a read only replica.\r\n",
}
WRITES = ("SET", "DEL")


@dataclass(slots=True)
class Session:
    """The transaction state of one connection."""

    watched: dict[str, int] = field(default_factory=dict)  # key -> its version at the WATCH
    queued: list[list[str]] | None = None  # commands since MULTI; None outside a transaction


class RespStore(Server):
    """The server. If ``silent``, it executes commands and sends no replies.

    Each reply is delayed by ``answer_delay_s``.
    """

    def __init__(
        self,
        port: int = 0,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__(port)
        self.clock, self.wall_clock = clock, wall_clock
        self.data: dict[str, str] = {}
        self.ttl: dict[str, int] = {}  # seconds, as set by the client
        self.expires_at_s: dict[str, float] = {}  # by the clock, in seconds
        self._expirations: list[tuple[float, str]] = []  # a heap, also of times that were replaced
        self.versions: dict[str, int] = {}  # of every key that was ever changed, for WATCH
        self.run_id = secrets.token_hex(20)
        self.silent, self.answer_delay_s = False, 0.0
        self.running = asyncio.Event()  # cleared while the server is paused: nothing is processed
        self.running.set()
        # For the next commands that write, in order; None leaves a command without a fault.
        self.faults: list[StoreFault | None] = []
        self.commands: list[list[str]] = []

    # Faults

    def snapshot(self) -> dict[str, str]:
        self._expire()
        return dict(self.data)

    async def restart(self, data: dict[str, str] | None = None) -> None:
        """Restart with a new run id, empty or from a snapshot."""
        await self.stop()
        self.data, self.expires_at_s, self.ttl = dict(data or {}), {}, {}
        self.versions = {}
        self.run_id = secrets.token_hex(20)
        self.running.set()
        await self.start()

    # Connections

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, session = hiredis.Reader(encoding="utf-8"), Session()
        while data := await reader.read(READ_BYTES):
            await self.running.wait()
            try:
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    if not self._is_command(words):
                        writer.write(b"-ERR Protocol error\r\n")
                        return
                    if not await self._handle([str(word) for word in words], session, writer):
                        return
            except (hiredis.ProtocolError, UnicodeDecodeError):
                writer.write(b"-ERR Protocol error\r\n")
                return

    @staticmethod
    def _is_command(words: object) -> bool:
        return (
            isinstance(words, list)
            and 0 < len(words) <= MAX_WORDS
            and all(isinstance(word, str | bytes) for word in words)
        )

    async def _handle(
        self, words: list[str], session: Session, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one command; return False if its connection must break."""
        self.commands.append(words)
        command = words[0].upper()
        # A transaction counts as one write.
        writes = command == "EXEC" or (command in WRITES and session.queued is None)
        fault = self.faults.pop(0) if self.faults and writes else None
        if fault is StoreFault.REFUSED:
            writer.transport.abort()
            return False
        reply = (
            ERRORS[fault] if fault in ERRORS else self.execute_or_queue(command, words[1:], session)
        )
        if fault is StoreFault.LOST:
            writer.transport.abort()
            return False
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if not self.silent:
            writer.write(reply)
        return True

    # Commands

    def execute_or_queue(self, command: str, words: list[str], session: Session) -> Reply:
        """Execute a command of a connection, or queue it inside a transaction."""
        self._expire()
        if command in TRANSACTION_COMMANDS:
            return self._transaction(command, words, session)
        if session.queued is not None:
            session.queued.append([command, *words])
            return b"+QUEUED\r\n"
        return self.execute(command, words)

    def _transaction(self, command: str, words: list[str], session: Session) -> Reply:
        match command:
            case "WATCH" if session.queued is None:
                session.watched.update({key: self.versions.get(key, 0) for key in words})
            case "UNWATCH":
                session.watched.clear()
            case "MULTI" if session.queued is None:
                session.queued = []
            case "DISCARD" if session.queued is not None:
                session.queued, session.watched = None, {}
            case "EXEC" if session.queued is not None:
                queued, watched = session.queued, session.watched
                session.queued, session.watched = None, {}
                if any(self.versions.get(key, 0) != version for key, version in watched.items()):
                    return b"*-1\r\n"
                replies = [self.execute(each[0], each[1:]) for each in queued]
                return b"*%d\r\n" % len(replies) + b"".join(replies)
            case _:
                return b"-ERR " + command.encode() + b" is not allowed here\r\n"
        return OK

    def _expire(self) -> None:
        now_s = self.clock()
        while self._expirations and self._expirations[0][0] <= now_s:
            end_s, key = heapq.heappop(self._expirations)
            if self.expires_at_s.get(key) == end_s:
                self._delete(key)

    def _delete(self, key: str) -> bool:
        self.ttl.pop(key, None)
        self.expires_at_s.pop(key, None)
        if self.data.pop(key, None) is None:
            return False
        self._increment_version(key)
        return True

    def _increment_version(self, key: str) -> None:
        self.versions[key] = self.versions.get(key, 0) + 1

    def execute(self, command: str, words: list[str]) -> Reply:
        self._expire()
        match command:
            case "SET" if len(words) >= 2:
                return self._set(words[0], words[1], [w.upper() for w in words[2:]])
            case "GET" if len(words) == 1:
                return self.bulk(self.data.get(words[0]))
            case "DEL":
                return b":%d\r\n" % sum(self._delete(word) for word in words)
            case "EXISTS":
                return b":%d\r\n" % sum(word in self.data for word in words)
            case "PTTL" if len(words) == 1:
                if words[0] not in self.data:
                    return b":-2\r\n"
                end_s = self.expires_at_s.get(words[0])
                return b":%d\r\n" % (-1 if end_s is None else round((end_s - self.clock()) * 1000))
            case "KEYS" if len(words) == 1:
                return self.array([key for key in self.data if fnmatch.fnmatchcase(key, words[0])])
            case "SCAN" if words:
                return self._scan(int(words[0]), words[1:])
            case "TIME":
                now_us = round(self.wall_clock() * 1e6)
                return self.array([str(now_us // 1_000_000), str(now_us % 1_000_000)])
            case "INFO":
                return self.bulk(f"# Server\r\nredis_version:7.2.0\r\nrun_id:{self.run_id}\r\n")
            case "CLIENT" | "SELECT" | "PING":
                return OK
        return b"-ERR unknown command\r\n"

    def _set(self, key: str, value: str, options: list[str]) -> Reply:
        if ("NX" in options and key in self.data) or ("XX" in options and key not in self.data):
            return NIL
        self.data[key] = value
        self._increment_version(key)
        if "KEEPTTL" not in options:
            self.ttl.pop(key, None)
            self.expires_at_s.pop(key, None)
        for name, units_per_s in (("EX", 1.0), ("PX", 1000.0)):
            if name in options:
                amount = int(options[options.index(name) + 1])
                self.ttl[key] = max(1, int(amount / units_per_s))
                end_s = self.clock() + amount / units_per_s
                self.expires_at_s[key] = end_s
                heapq.heappush(self._expirations, (end_s, key))
        return OK

    def _scan(self, cursor: int, options: list[str]) -> Reply:
        named_options = {options[i].upper(): options[i + 1] for i in range(0, len(options) - 1, 2)}
        count, keys = max(1, int(named_options.get("COUNT", "10"))), sorted(self.data)
        page = [
            k
            for k in keys[cursor : cursor + count]
            if fnmatch.fnmatchcase(k, named_options.get("MATCH", "*"))
        ]
        next_cursor = cursor + count if cursor + count < len(keys) else 0
        return b"*2\r\n" + self.bulk(str(next_cursor)) + self.array(page)

    @staticmethod
    def bulk(value: str | None) -> Reply:
        if value is None:
            return NIL
        text = value.encode()
        return b"$%d\r\n%s\r\n" % (len(text), text)

    @classmethod
    def array(cls, values: list[str]) -> Reply:
        return b"*%d\r\n" % len(values) + b"".join(map(cls.bulk, values))

    def recorded_calls(self) -> dict[str, dict[str, Any]]:
        """Return the records of tool calls, by their keys."""
        prefix = "onyxpass:call:"
        return {
            k.removeprefix(prefix): json.loads(v)
            for k, v in self.data.items()
            if k.startswith(prefix)
        }
