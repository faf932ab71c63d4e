"""A stand-in for Redis: the commands that the project sends, in memory, empty at each start.

Started as ``store.py PORT``; written from the published protocol and command pages.
"""

import asyncio
import contextlib
import fnmatch
import secrets
import sys
import time

RUN_ID = secrets.token_hex(20)


class Store:
    """The keys, and when each expires."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.ends_s: dict[str, float] = {}

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
            case ["PING"]:
                return b"+PONG\r\n"
            case ["CLIENT" | "SELECT", *_]:
                return b"+OK\r\n"
        return b"-ERR unknown command\r\n"

    def _set(self, key: str, value: str, options: list[str]) -> bytes:
        if "NX" in options and key in self.values:
            return bulk(None)
        self.values[key] = value
        self.ends_s.pop(key, None)
        for name, units in (("EX", 1.0), ("PX", 1000.0)):
            if name in options:
                amount = int(options[options.index(name) + 1])
                self.ends_s[key] = time.monotonic() + amount / units
        return b"+OK\r\n"

    def _delete(self, key: str) -> bool:
        self.ends_s.pop(key, None)
        return self.values.pop(key, None) is not None


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
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                writer.write(store.execute(await read_command(reader)))
                await writer.drain()
        writer.close()

    await asyncio.start_server(serve, "127.0.0.1", int(sys.argv[1]))
    sys.stdout.write("serving\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
