# ruff: noqa
"""Stand-ins and helpers of the second review's cases: standard library only, loopback addresses only.

A case runs its stand-ins in its own process and the project's programs as separate processes.
"""

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTHON = str(ROOT / ".venv" / "bin" / "python")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought to the point that it tests."""


def free_port():
    """Return a port below the range of outgoing ports on which nobody listens."""
    while True:
        port = random.SystemRandom().randrange(12_000, 30_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


async def until(condition, limit_s, what):
    """Wait until the condition holds; CannotRun after ``limit_s``."""
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > end:
            raise CannotRun(f"not within {limit_s} s: {what}")
        await asyncio.sleep(0.02)


class Record:
    """What was sent, answered and run; each line is written to the case's ``record.txt`` at once."""

    def __init__(self, path):
        self.path, self.began = Path(path), time.monotonic()
        self.path.write_text("")

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        with self.path.open("a") as file:
            file.write(line + "\n")


class Bench:
    """The temporary folder, the processes and the servers of one run."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="onyxpass-review-"))
        self.processes, self.servers = [], []

    async def program(self, name, *words, env=None, stdout=None):
        """Start a program of the project: ``.venv/bin/python -m onyxpass`` and these words."""
        log = (self.folder / f"{name}.log").open("ab")
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "ONYXPASS_"))}
        process = await asyncio.create_subprocess_exec(
            *(PYTHON, "-m", "onyxpass", *map(str, words)),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=stdout if stdout is not None else log,
            stderr=log,
            env={**clean, "TMPDIR": str(self.folder), **(env or {})},
        )
        log.close()
        self.processes.append(process)
        return process

    async def command(self, name, *words, env=None, limit_s=60.0):
        """Run a command to its end; return its exit code and output."""
        process = await self.program(name, *words, env=env, stdout=asyncio.subprocess.PIPE)
        try:
            out, _ = await asyncio.wait_for(process.communicate(), limit_s)
        except TimeoutError:
            process.kill()
            raise CannotRun(f"{name} did not end within {limit_s} s") from None
        return process.returncode, out.decode(errors="replace")

    async def serve(self, server):
        self.servers.append(server)
        await server.start()
        return server

    def log(self, name):
        path = self.folder / f"{name}.log"
        rows = []
        for line in path.read_text(errors="replace").splitlines() if path.exists() else ():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if isinstance(row, dict):
                    rows.append(row)
        return rows

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
        for process in self.processes:
            try:
                await asyncio.wait_for(process.wait(), 6.0)
            except TimeoutError:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        end_children(self.folder)
        for server in self.servers:
            await server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def end_children(folder):
    """Kill what an agent of this run left behind: processes with this run's folder as TMPDIR."""
    mark = f"TMPDIR={folder}".encode()
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            with contextlib.suppress(OSError):
                if mark in (entry / "environ").read_bytes().split(b"\0"):
                    os.kill(int(entry.name), signal.SIGKILL)


def run(record_file, scenario):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(record_file)

    async def main():
        bench = Bench(record)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await scenario(bench, record)
        finally:
            await bench.close()

    try:
        code = asyncio.run(main())
    except CannotRun as error:
        record(f"the case couldn't run: {error}")
        code = NOT_RUN
    except BaseException:
        record("the case couldn't run:\n" + traceback.format_exc())
        code = NOT_RUN
    record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "no verdict"))
    sys.exit(code)


class Server:
    """A TCP server on a loopback port."""

    def __init__(self, port=0):
        self.port = port or free_port()
        self.server, self.writers = None, set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, backlog=1024, limit=1 << 20
        )
        return self

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Link(Server):
    """A relay in front of a server that can delay each answer, or drop everything (a partition)."""

    def __init__(self, target_port):
        super().__init__()
        self.target_port, self.is_cut, self.answer_delay_s = target_port, False, 0.0

    def cut(self):
        self.is_cut = True

    def restore(self):
        """Relay again; what was open breaks, since bytes of it were lost."""
        self.is_cut = False
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.is_cut:
            while await reader.read(65536):
                pass
            return
        try:
            there = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        tasks = [
            asyncio.create_task(self._relay(reader, there[1], answers=False)),
            asyncio.create_task(self._relay(there[0], writer, answers=True)),
        ]
        try:
            await asyncio.wait(tasks)
        finally:
            for task in tasks:
                task.cancel()
            there[1].transport.abort()

    async def _relay(self, reader, writer, answers):
        try:
            while data := await reader.read(1 << 20):
                if self.is_cut:
                    continue
                if answers and self.answer_delay_s:
                    await asyncio.sleep(self.answer_delay_s)
                writer.write(data)
                await writer.drain()
            if not self.is_cut and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()


class Store(Server):
    """Redis as far as the programs use it, from its published protocol (RESP2)."""

    def __init__(self):
        super().__init__()
        self.data, self.ends, self.versions = {}, {}, {}
        self.run_id = secrets.token_hex(20)

    async def restart_empty(self):
        """End and start again with nothing kept, as a store without persistence does."""
        await self.stop()
        self.data, self.ends, self.versions = {}, {}, {}
        self.run_id = secrets.token_hex(20)
        await self.start()

    async def serve(self, reader, writer):
        watched, queued = {}, None
        while line := await reader.readline():
            words = []
            for _ in range(int(line[1:])):
                size = int((await reader.readline())[1:])
                words.append((await reader.readexactly(size + 2))[:-2].decode("utf-8", "replace"))
            name = words[0].upper()
            if name == "WATCH":
                watched |= {key: self.versions.get(key, 0) for key in words[1:]}
                answer = b"+OK\r\n"
            elif name == "UNWATCH":
                watched, answer = {}, b"+OK\r\n"
            elif name == "MULTI":
                queued, answer = [], b"+OK\r\n"
            elif name == "DISCARD":
                queued, watched, answer = None, {}, b"+OK\r\n"
            elif name == "EXEC":
                if any(self.versions.get(key, 0) != seen for key, seen in watched.items()):
                    answer = b"*-1\r\n"
                else:
                    answers = [self.execute(each) for each in queued or ()]
                    answer = b"*%d\r\n" % len(answers) + b"".join(answers)
                queued, watched = None, {}
            elif queued is not None:
                queued.append(words)
                answer = b"+QUEUED\r\n"
            else:
                answer = self.execute(words)
            writer.write(answer)
            if not reader._buffer:
                await writer.drain()

    @staticmethod
    def bulk(text):
        if text is None:
            return b"$-1\r\n"
        raw = text.encode()
        return b"$%d\r\n%b\r\n" % (len(raw), raw)

    def get(self, key):
        if key in self.ends and time.monotonic() >= self.ends[key]:
            self.data.pop(key, None)
            del self.ends[key]
        return self.data.get(key)

    def execute(self, words):
        name, words = words[0].upper(), words[1:]
        if name == "GET":
            return self.bulk(self.get(words[0]))
        if name == "SET":
            key, value, options = words[0], words[1], [word.upper() for word in words[2:]]
            if "NX" in options and self.get(key) is not None:
                return b"$-1\r\n"
            self.data[key] = value
            self.versions[key] = self.versions.get(key, 0) + 1
            self.ends.pop(key, None)
            for unit, scale in (("EX", 1.0), ("PX", 0.001)):
                if unit in options:
                    amount = int(options[options.index(unit) + 1])
                    self.ends[key] = time.monotonic() + amount * scale
            return b"+OK\r\n"
        if name == "DEL":
            found = [key for key in words if self.get(key) is not None]
            for key in found:
                del self.data[key]
                self.versions[key] = self.versions.get(key, 0) + 1
            return b":%d\r\n" % len(found)
        if name == "KEYS":
            keys = [key for key in list(self.data) if key.startswith(words[0].rstrip("*"))]
            return b"*%d\r\n" % len(keys) + b"".join(map(self.bulk, keys))
        if name == "TIME":
            now = time.time()
            parts = [str(int(now)), str(int(now % 1 * 1e6))]
            return b"*2\r\n" + b"".join(map(self.bulk, parts))
        if name == "INFO":
            return self.bulk(f"# Server\r\nredis_version:7.2.0\r\nrun_id:{self.run_id}\r\n")
        if name in ("PING", "SELECT", "CLIENT"):
            return b"+OK\r\n"
        return b"-ERR unknown command\r\n"


# JSON-RPC: a reader, a writer, the ledger's tool server and a client


def line(**message):
    return json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n"


class RpcServer(Server):
    async def serve(self, reader, writer):
        while text := await reader.readline():
            await self.handle(json.loads(text), reader, writer)
            await writer.drain()

    async def handle(self, message, reader, writer):
        raise NotImplementedError


class RpcReader(RpcServer):
    """Reads each prompt at once."""

    async def handle(self, message, reader, writer):
        if message.get("id") is None:
            return
        result = {"cached_tokens": 0} if message.get("method") == "read" else {}
        writer.write(line(id=message["id"], result=result))


class RpcWriter(RpcServer):
    """For each ``write``: some text, the calls that ``calls_of`` gives for the request, the end."""

    def __init__(self, calls_of):
        super().__init__()
        self.calls_of = calls_of  # params of the write -> a list of (call id, name, arguments)

    async def handle(self, message, reader, writer):
        if message.get("method") == "write":
            params = message["params"]
            writer.write(line(method="text", params={"text": "Booking. "}))
            for call_id, name, arguments in self.calls_of(params):
                call = {"name": name, "arguments": arguments}
                writer.write(line(id=call_id, method="tools/call", params=call))
                while True:
                    text = await reader.readline()
                    if not text:
                        return
                    answer = json.loads(text)
                    if answer.get("id") == call_id:
                        break
                    if answer.get("method") == "cancel":
                        return
            writer.write(line(method="text", params={"text": "Booked."}))
            writer.write(line(id=message["id"], result={"finish": "stop"}))
        elif message.get("id") is not None:
            writer.write(line(id=message["id"], result={}))


class Ledger(RpcServer):
    """The tool server: runs each call that reaches it, and notes it."""

    def __init__(self):
        super().__init__()
        self.runs = []  # (time, the call's key, name, arguments)

    async def handle(self, message, reader, writer):
        if message.get("method") == "tools/call":
            params = message["params"]
            self.runs.append((time.monotonic(), message["id"], params["name"], params["arguments"]))
            writer.write(line(id=message["id"], result={"ok": True, "number": len(self.runs)}))


class RpcClient:
    """A client of the JSON-RPC front: many requests over one connection."""

    def __init__(self, port):
        self.port, self.waiting, self.number = port, {}, 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=1 << 20
        )
        self.task = asyncio.create_task(self._read())
        return self

    async def _read(self):
        with contextlib.suppress(OSError):
            while text := await self.reader.readline():
                message = json.loads(text)
                if "method" not in message:
                    future = self.waiting.pop(message.get("id"), None)
                    if future is not None and not future.done():
                        future.set_result(message)
        for future in self.waiting.values():
            if not future.done():
                future.set_result({"closed": True})

    async def generate(self, limit_s=30.0, **params):
        self.number += 1
        future = self.waiting[self.number] = asyncio.get_running_loop().create_future()
        self.writer.write(line(id=self.number, method="generate", params=params))
        return await asyncio.wait_for(future, limit_s)

    async def close(self):
        self.task.cancel()
        self.writer.close()


def toolcalls_file(name, port, store_port, tools_port, servers, journal=None, more=""):
    """Return the TOML of a JSON-RPC front; ``servers`` are (id, kind, port)."""
    rows = "".join(
        f'[[servers]]\nid = "{id}"\nkind = "{kind}"\nzone = "boa-vista"\ncell = 0\n'
        f'address = "127.0.0.1:{server_port}"\n\n'
        for id, kind, server_port in servers
    )
    kept = f'journal = "{journal}"\n' if journal else ""
    return f"""name = "{name}"
listen = "127.0.0.1:{port}"
connections = 256

[store]
url = "redis://127.0.0.1:{store_port}/0"
timeout_ms = 300
claim_ttl_s = 86400
{kept}
[tools]
address = "127.0.0.1:{tools_port}"
timeout_ms = 10000

{rows}{RPC_SETTINGS}{more}"""


RPC_SETTINGS = """[settings]
az = "boa-vista"
hostTypes = ["reader", "writer"]

[[settings.grades]]
name = "part-lookup"
promiseUs = 1200000
deadlineUs = 6000000
value = 3.0
lateWorth = 0.2
repeat = "read_like"

[[settings.grades]]
name = "stock-booking"
promiseUs = 1500000
deadlineUs = 7500000
value = 2.0
lateWorth = 0.1
repeat = "non_idempotent"

[settings.extra]
roleByKind = ["read", "write"]
tokensByKind = [240000, 150000]
tokenAimUs = [60000, 70000]
aimUsPer1000PromptTokens = [40000, 40000]

[settings.limits]
maxAttempts = 4
cancelling = true
retryAfter = true
maxRetryAfterUs = 1000000
"""


async def wait_port(port, limit_s=20.0):
    """Wait until something listens on the port."""

    async def listens():
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return False
        writer.close()
        return True

    await until(listens, limit_s, f"a listener on port {port}")
