"""Stand-ins of the cases: discovery, readers, writers, clients and the platform, on loopback.

They need the standard library only. Every sent, answered and run request goes into the record.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
FIRST_PORT, LAST_PORT = 12_000, 30_000  # below the ports that the kernel gives to outgoing calls
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def free_port() -> int:
    """Return a loopback port that nobody listens on."""
    draw = random.SystemRandom()
    while True:
        port = draw.randrange(FIRST_PORT, LAST_PORT)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class Record:
    """The file ``record.txt`` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {values}".rstrip() + "\n")
        self._file.flush()


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(message: object) -> bytes:
    """Return one server-sent event."""
    return b"data: " + json.dumps(message).encode() + b"\n\n"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message; IncompleteReadError at the end."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class Server:
    """A TCP server on a loopback port."""

    def __init__(self, port: int = 0) -> None:
        self.port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address as discovery and settings name it."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """End as a process that dies: connections are reset, new ones are refused."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


@dataclass
class Speed:
    """Times of a replica, in seconds."""

    read: float = 0.02
    first: float = 0.02
    gap: float = 0.03
    events: int = 10


@dataclass
class States:
    """Which reader holds the state of which request."""

    holders: dict[str, str] = field(default_factory=dict)


class Replica(Server):
    """A reader or a writer that follows the protocol page."""

    def __init__(
        self, name: str, role: str, record: Record, states: States, speed: Speed | None = None
    ) -> None:
        super().__init__()
        self.name, self.role, self.record, self.states = name, role, record, states
        self.speed = speed or Speed()
        self.received: list[tuple[float, str]] = []
        self.open: set[str] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests, one after another."""
        while True:
            first, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            target = first.split(" ")[1]
            if target.startswith("/kv/leases/"):
                request = target.removeprefix("/kv/leases/")
                if self.states.holders.pop(request, None) is not None:
                    self.record.write("released", id=request, at=self.name)
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            elif target == "/health/live":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            else:
                request = headers.get("x-request-id", "")
                if not await self._attempt(reader, writer, request, headers, body):
                    return
            await writer.drain()

    async def _attempt(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        self.received.append((self.record.now(), request))
        name = headers.get("x-priority-class")
        self.record.write("attempt", id=request, at=self.name, cls=name, size=len(body))
        self.open.add(request)
        # A dispatcher gives up an attempt by closing its connection or by ending its sending.
        ended = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self.answer(writer, request))
        try:
            await asyncio.wait((ended, work), return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                return work.result()
            self.record.write("given_up", id=request, at=self.name)
            return False
        finally:
            self.open.discard(request)
            for task in (ended, work):
                task.cancel()
            await asyncio.gather(ended, work, return_exceptions=True)

    async def answer(self, writer: asyncio.StreamWriter, request: str) -> bool:
        """Answer one request; return whether the connection goes on."""
        if self.role == "read":
            await asyncio.sleep(self.speed.read)
            self.states.holders[request] = self.name
            self.record.write("read", id=request, at=self.name)
            text = b'{"cached_tokens":0}'
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
            return True
        if self.states.holders.pop(request, None) is None:
            writer.write(b"HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.record.write("run", id=request, at=self.name)
        await asyncio.sleep(self.speed.first)
        writer.write(STREAM_HEAD)
        for number in range(self.speed.events):
            choice = {"index": 0, "delta": {"content": f"w{number} "}, "finish_reason": None}
            writer.write(chunk(event({"choices": [choice]})))
            await asyncio.sleep(self.speed.gap)
        usage = {"prompt_tokens": 10, "completion_tokens": 4 * self.speed.events}
        writer.write(chunk(event({"choices": [], "usage": usage})) + chunk(b"data: [DONE]\n\n"))
        writer.write(LAST_CHUNK)
        self.record.write("ran", id=request, at=self.name)
        return True


class Discovery(Server):
    """The list of replicas, and a watch on it."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.seq = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self._watches: set[asyncio.Queue[bytes]] = set()

    def add(self, replica: Replica, kind: str, site: str, block: int = 0) -> None:
        """Put a replica into the list."""
        self.rows[replica.name] = {
            "host": replica.name,
            "dial": replica.address,
            "site": site,
            "class": kind,
            "block": block,
            "health": "active",
            "share": 1.0,
            "born_ms": 0,
        }

    def tell(self, name: str, **values: object) -> None:
        """Change one entry and tell it on all watches."""
        self.rows[name].update(values)
        self.seq += 1
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": [self.rows[name]]}).encode()
        for queue in self._watches:
            queue.put_nowait(chunk(line + b"\n"))
        self.record.write("told", host=name, **values)

    def whole(self) -> bytes:
        """Return the whole list."""
        hosts = [row for row in self.rows.values() if row["health"] != "left"]
        return json.dumps({"seq": self.seq, "whole": True, "hosts": hosts}).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls for the list, and a watch until its connection ends."""
        while True:
            first, _ = await read_head(reader)
            if "watch=1" not in first:
                text = self.whole()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
                continue
            queue: asyncio.Queue[bytes] = asyncio.Queue()
            self._watches.add(queue)
            try:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(chunk(self.whole() + b"\n"))
                while True:
                    await writer.drain()
                    try:
                        writer.write(await asyncio.wait_for(queue.get(), 2.0))
                    except TimeoutError:
                        writer.write(chunk(b"\n"))
            finally:
                self._watches.discard(queue)


@dataclass
class Answer:
    """What a client got: the status, the events and whether the last chunk came."""

    status: int = 0
    text: bytes = b""
    whole: bool = False
    problem: str = ""
    began_s: float = 0.0  # when the answer's head or the connection's end came


async def send(
    port: int,
    record: Record,
    request: str,
    name: str,
    session: str,
    timeout_s: float = 6.0,
    limit_s: float = 30.0,
) -> Answer:
    """Send one request on a new connection and read its answer to the end."""
    body = b'{"model":"m","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"x"}]}'
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n"
        f"X-Request-ID: {request}\r\nX-Priority-Class: {name}\r\nX-Route-Key: {session}\r\n"
        f"X-Timeout-Ms: {round(timeout_s * 1000)}\r\nX-Attrs: prompt_len=40,max_out=40\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    answer = Answer()
    record.write("sent", id=request, cls=name, port=port)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + body)
            first, headers = await read_head(reader)
            answer.status, answer.began_s = int(first.split(" ")[1]), record.now()
            if headers.get("transfer-encoding", "").lower() == "chunked":
                await _read_chunks(reader, answer)
            else:
                answer.text = await reader.readexactly(int(headers.get("content-length", "0")))
                answer.whole = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        answer.problem = type(error).__name__
        answer.began_s = answer.began_s or record.now()
    finally:
        if writer is not None:
            writer.close()
    record.write(
        "answered",
        id=request,
        status=answer.status,
        whole=answer.whole,
        bytes=len(answer.text),
        problem=answer.problem or "-",
    )
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            answer.whole = True
            return
        answer.text += data[:-2]


async def is_ready(port: int) -> bool:
    """Return whether a dispatcher answers that it is ready."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return line.split()[1:2] == [b"200"]
    except (OSError, TimeoutError):
        return False


async def until(condition: Callable[[], bool], limit_s: float, step_s: float = 0.02) -> bool:
    """Wait for a condition; return whether it came within the limit."""
    due = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() >= due:
            return False
        await asyncio.sleep(step_s)
    return True


class CannotRunError(Exception):
    """The case could not be played."""


class Programs:
    """The project's programs as processes; all of them are ended with the block."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[asyncio.subprocess.Process] = []

    async def __aenter__(self) -> "Programs":
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    with contextlib.suppress(ProcessLookupError):
                        process.send_signal(number)
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def text(self, log: str) -> bytes:
        """Return what a program has logged so far."""
        return (self.folder / log).read_bytes()

    async def start(
        self, command: str, log: str, environment: Mapping[str, str]
    ) -> asyncio.subprocess.Process:
        """Start a command by the shell from the root, as the platform does."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (self.folder / log).open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", command),
                cwd=ROOT,
                env={**kept, **environment},
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process

    async def dispatcher(
        self, config: Mapping[str, Any], environment: Mapping[str, str] | None = None
    ) -> asyncio.subprocess.Process:
        """Start a dispatcher by the command ``run`` of the deploy file; wait until it is ready."""
        path = self.folder / f"{config['name']}.json"
        path.write_text(json.dumps(config))
        private = self.folder / f"tmp-{config['name']}-{len(self.processes)}"
        private.mkdir()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {"ROUTER_CONFIG": str(path), "TMPDIR": str(private), **(environment or {})}
        process = await self.start(run, f"{config['name']}.log", variables)
        port = int(str(config["listen"]).rpartition(":")[2])
        due = time.monotonic() + 20
        while not await is_ready(port):
            if time.monotonic() > due or process.returncode is not None:
                raise CannotRunError(f"{config['name']} was not ready")
            await asyncio.sleep(0.05)
        self.record.write("ready", name=config["name"], pid=process.pid)
        return process


def settings(zones: Iterable[str] = ("boa-vista", "santo-amaro", "derby")) -> dict[str, Any]:
    """Return settings of a small deployment, with the classes of the brief."""
    rows = (
        ("part-lookup", 1_200_000, 6_000_000, 3.0, 0.2, "read_like"),
        ("shift-summary", 3_000_000, 15_000_000, 3.0, 0.2, "read_like"),
        ("stock-booking", 1_500_000, 7_500_000, 2.0, 0.1, "non_idempotent"),
    )
    keys = ("name", "promiseUs", "deadlineUs", "value", "lateWorth", "repeat")
    return {
        "az": "boa-vista",
        "azs": list(zones),
        "hostTypes": ["reader", "writer"],
        "grades": [
            {**dict(zip(keys, row, strict=True)), "streamed": True, "group": "all"} for row in rows
        ],
        "extra": {
            "roleByKind": ["read", "write"],
            "tokensByKind": [240_000, 150_000],
            "tokenAimUs": [60_000, 80_000, 70_000],
            "aimUsPer1000PromptTokens": [40_000, 40_000, 40_000],
            "releaseWithinUs": 300_000,
        },
        "limits": {
            "maxAttempts": 4,
            "cancelling": True,
            "retryAfter": True,
            "maxRetryAfterUs": 1_000_000,
            "connectTimeoutUs": 250_000,
            "connIdleUs": 15_000_000,
            "secondCopies": False,
        },
        "membershipMode": "automatic",
        "rules": {
            "coldFrom": 0.25,
            "coldUs": 13_000_000,
            "drainGraceUs": 1_000_000,
            "fallUs": 1_000_000,
            "graceToAnswerUs": 8_000,
            "tipMultiple": 2.5,
        },
        "peersTotal": 1,
        "ordinal": 0,
    }


def toml(table: Mapping[str, Any]) -> str:
    """Return a table as TOML, nested ones inline; JSON's values are TOML's but for tables."""
    return "".join(f"{key} = {_toml_value(value)}\n" for key, value in table.items())


def _toml_value(value: object) -> str:
    if isinstance(value, Mapping):
        return "{" + ", ".join(f"{key} = {_toml_value(v)}" for key, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml_value, value)) + "]"
    return json.dumps(value)


def dispatcher_config(
    name: str, port: int, discovery: str, memory_mb: int = 192, sockets: int = 1024
) -> dict[str, Any]:
    """Return the platform's file of one dispatcher."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {},
        "settings": settings(),
    }
