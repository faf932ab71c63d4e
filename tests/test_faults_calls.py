"""System calls of a dispatcher process fail for a short time, in the ways that Linux documents."""

import asyncio
import errno
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from cluster import PREFILLED, STREAM, Replica, chat_request
from fault_injection import (
    ChildProcess,
    fault_control,
    open_connection,
    run_async,
    servers_and_config,
)

from onyxpass.faultshim.control import SHORT_TRANSFER, FaultControl, ForcedFault, SystemCall
from onyxpass.testbed.site import free_port

CLIENTS = 20


class FaultyDispatcher:
    """A dispatcher process whose system calls can be forced to fail."""

    def __init__(self, process: ChildProcess, port: int, faults: FaultControl) -> None:
        self.process, self.port, self.faults = process, port, faults

    async def request(self, name: str) -> bytes:
        """Return the complete answer, or nothing if the connection was reset or refused."""
        try:
            async with open_connection(self.port) as (reader, writer):
                writer.write(chat_request(name, "a", close=True))
                return await reader.read()
        except ConnectionError:
            return b""


@asynccontextmanager
async def faulty_dispatcher(
    folder: Path, *faults: ForcedFault, environment: dict[str, str] | None = None
) -> AsyncIterator[FaultyDispatcher]:
    """Run a dispatcher with a reader and a writer; ``faults`` apply from the start of its process."""
    async with servers_and_config(folder, [Replica(PREFILLED)], [Replica(STREAM)]) as (path, _):
        forced = fault_control(folder)
        forced.force(*faults)
        process = await ChildProcess.start(
            "serve", "--config", str(path), control=forced, environment=environment or {}
        )
        yield FaultyDispatcher(process, await process.port(), forced)
        forced.clear()
        assert await process.terminate() == 0, process.other_output
        assert not process.other_output


def test_connections_in_the_accept_queue_at_shutdown_are_answered_despite_accept_errors(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        for error in (errno.ECONNABORTED, errno.EPROTO, errno.EHOSTUNREACH):
            async with faulty_dispatcher(tmp_path) as s:
                s.faults.force(ForcedFault(SystemCall.ACCEPT, error, per_thousand=500))
                s.process.child.terminate()
                answers = await asyncio.gather(*(s.request(f"a{n}") for n in range(CLIENTS)))
                assert all(a.startswith(b"HTTP/1.1") for a in answers), (error, answers.count(b""))

    run_async(scenario())


def test_shutdown_waits_for_descriptors_while_clients_are_in_the_accept_queue(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with faulty_dispatcher(tmp_path) as s:
            s.faults.force(ForcedFault(SystemCall.ACCEPT, errno.ENFILE))
            s.process.child.terminate()
            requests = [asyncio.create_task(s.request(f"a{n}")) for n in range(CLIENTS)]
            # By then the second pass over the accept queue has failed as well.
            while s.faults.count(SystemCall.ACCEPT) < 4:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            s.faults.force()
            answers = await asyncio.gather(*requests)
            assert all(a.startswith(b"HTTP/1.1") for a in answers), answers.count(b"")

    run_async(scenario())


def test_a_dispatcher_survives_accept_errors_of_its_stream_receiver(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        faults = (ForcedFault(SystemCall.ACCEPT, errno.ENFILE, times=3),)
        async with faulty_dispatcher(tmp_path, *faults, environment={"TMPDIR": str(tmp_path)}) as s:
            assert (await s.request("a1")).startswith(b"HTTP/1.1 200")

    run_async(scenario())


def test_connects_that_fail_briefly_lose_no_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        for call, error in (
            (SystemCall.CONNECT, errno.ENETUNREACH),
            (SystemCall.CONNECT, errno.EADDRNOTAVAIL),
            (SystemCall.CONNECT, errno.ECONNABORTED),
            (SystemCall.CONNECT, errno.EAGAIN),
            (SystemCall.CONNECT, errno.EINTR),
            (SystemCall.SOCKET, errno.ENOBUFS),
            (SystemCall.SOCKET, errno.ENFILE),
        ):
            async with faulty_dispatcher(tmp_path) as s:
                s.faults.force(ForcedFault(call, error, times=3))
                answer = await s.request("a1")
                assert answer.startswith(b"HTTP/1.1 200"), (
                    call,
                    error,
                    answer,
                    s.process.lines[-6:],
                )

    run_async(scenario())


def test_short_transfers_and_interrupted_waits_do_not_affect_answers(tmp_path: Path) -> None:
    async def scenario() -> None:
        short = [
            ForcedFault(call, -1, per_thousand=300)
            for call in (SystemCall.RECEIVE, SystemCall.SEND)
        ]
        async with faulty_dispatcher(
            tmp_path, *short, ForcedFault(SystemCall.WAIT, errno.EINTR, per_thousand=200)
        ) as s:
            for number in range(10):
                answer = await s.request(f"a{number}")
                assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"0\r\n\r\n")

    run_async(scenario())


def test_a_log_that_cannot_be_written_loses_no_request(tmp_path: Path) -> None:
    """The log is a file on a disk that is full, has I/O errors and takes short writes for a while."""

    async def scenario() -> None:
        log_file, port = tmp_path / "log", free_port()
        listen = f"127.0.0.1:{port}"
        async with servers_and_config(
            tmp_path, [Replica(PREFILLED)], [Replica(STREAM)], listen=listen
        ) as (
            path,
            _,
        ):
            faults = fault_control(tmp_path)
            with log_file.open("wb") as log:
                process = await ChildProcess.start(
                    "serve", "--config", str(path), control=faults, stdout=log
                )
            while b'"full"' not in log_file.read_bytes():
                await asyncio.sleep(0.02)
            s = FaultyDispatcher(process, port, faults)
            for forced in (
                ForcedFault(SystemCall.WRITE, errno.ENOSPC),
                ForcedFault(SystemCall.WRITE, errno.EIO, per_thousand=500),
                ForcedFault(SystemCall.WRITE, SHORT_TRANSFER, per_thousand=500),
            ):
                faults.force(forced)
                answers = await asyncio.gather(
                    *(s.request(f"{forced.error}x{n}") for n in range(4))
                )
                assert all(a.startswith(b"HTTP/1.1 200") for a in answers), (forced, answers)
            faults.clear()
            assert (await s.request("last")).startswith(b"HTTP/1.1 200")
            process.child.terminate()
            assert await process.child.wait() == 0
            last_lines = [line for line in log_file.read_bytes().splitlines() if b'"last"' in line]
            assert last_lines and all(json.loads(line)["id"] == "last" for line in last_lines), (
                "later lines must be complete again"
            )
            assert b"Traceback" not in log_file.read_bytes()

    run_async(scenario())
