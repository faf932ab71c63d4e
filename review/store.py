"""A stand-in for Redis: the commands that the project sends, in memory, empty at each start.

Started as ``store.py PORT``; written from the published protocol and command pages.
"""

import asyncio
import contextlib
import fnmatch
import secrets
import sys
import time
from dataclasses import dataclass, field

RUN_ID = secrets.token_hex(20)


@dataclass
class Session:
    """The transaction of one connection; nothing is queued outside of one."""

    watched: dict[str, int] = field(default_factory=dict)
    queued: list[list[str]] | None = None


class Store:
    """The keys, and when each expires."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.ends_s: dict[str, float] = {}
        self.versions: dict[str, int] = {}  # of each key that was ever changed, for WATCH

    def run(self, words: list[str], session: Session) -> bytes:
        """Carry out one command of a connection, or queue it in a transaction."""
        command = words[0].upper()
        if command == "WATCH":
            session.watched = {key: self.versions.get(key, 0) for key in words[1:]}
        elif command == "UNWATCH":
            session.watched = {}
        elif command == "MULTI":
            session.queued = []
        elif command == "EXEC" and session.queued is not None:
            queued, watched = session.queued, session.watched
            session.queued, session.watched = None, {}
            if any(self.versions.get(key, 0) != version for key, version in watched.items()):
                return b"*-1\r\n"
            replies = [self.execute(each) for each in queued]
            return b"*%d\r\n" % len(replies) + b"".join(replies)
        elif session.queued is not None:
            session.queued.append(words)
            return b"+QUEUED\r\n"
        else:
            return self.execute(words)
        return b"+OK\r\n"

    def execute(self, words: list[str]) -> bytes:
        """Carry out one command and return its reply."""
        now_s = time.monotonic()
        for key in [key for key, end_s in self.ends_s.items() if now_s >= end_s]:
            self._delete(key)
        match [words[0].upper(), *words[1:]]:
            case ["SET", key, value, *options]:
                return self._set(key, value, [option.upper() for option in options])
            case ["GET", key]:
                return bulk(self.values.get(key))
            case ["DEL", *keys]:
                return b":%d\r\n" % sum(self._delete(key) for key in keys)
            case ["KEYS", pattern]:
                found = [key for key in self.values if fnmatch.fnmatchcase(key, pattern)]
                return b"*%d\r\n" % len(found) + b"".join(map(bulk, found))
            case ["INFO", *_]:
                return bulk(f"# Server\r\nredis_version:7.2.0\r\nrun_id:{RUN_ID}\r\n")
            case ["TIME"]:
                now_us = time.time_ns() // 1000
                texts = map(str, divmod(now_us, 1_000_000))
                return b"*2\r\n" + b"".join(map(bulk, texts))
            case ["CLIENT" | "PING" | "SELECT", *_]:
                return b"+OK\r\n"
        return b"-ERR unknown command\r\n"

    def _set(self, key: str, value: str, options: list[str]) -> bytes:
        if "NX" in options and key in self.values:
            return bulk(None)
        self.values[key] = value
        self.versions[key] = self.versions.get(key, 0) + 1
        self.ends_s.pop(key, None)
        for name, units in (("EX", 1.0), ("PX", 1000.0)):
            if name in options:
                amount = int(options[options.index(name) + 1])
                self.ends_s[key] = time.monotonic() + amount / units
        return b"+OK\r\n"

    def _delete(self, key: str) -> bool:
        self.ends_s.pop(key, None)
        if self.values.pop(key, None) is None:
            return False
        self.versions[key] = self.versions.get(key, 0) + 1
        return True


def bulk(value: str | None) -> bytes:
    """Return a value as a reply."""
    if value is None:
        return b"$-1\r\n"
    text = value.encode()
    return b"$%d\r\n%b\r\n" % (len(text), text)


async def read_command(reader: asyncio.StreamReader) -> list[str]:
    """Return the next command."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2].decode())
    return words


async def main() -> None:
    """Serve until killed."""
    store = Store()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Session()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                writer.write(store.run(await read_command(reader), session))
                await writer.drain()
        writer.close()

    await asyncio.start_server(serve, "127.0.0.1", int(sys.argv[1]))
    sys.stdout.write("serving\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
