"""Races at the endpoint list: silence, cuts, address changes and late messages.

All over loopback sockets.
"""

import asyncio
import json
import resource
import socket
import sys
from pathlib import Path
from typing import Any

import pytest
from cluster import (
    PREFILLED,
    STREAM,
    Discovery,
    Replica,
    read_message,
    run_async,
    running_cluster,
)
from standins import until
from test_program import RAW, ROOT

from onyxpass.net import endpoint_watcher, poll_schedule
from onyxpass.net.endpoint_watcher import DiscoveryUpdate, EndpointListError, JsonObjectSplitter

WATCH = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(text), text)


class Scripted(Discovery):
    """A discovery whose watches are served by ``scripts`` in turn, the last one repeatedly."""

    def __init__(self, *scripts: Any) -> None:
        super().__init__()
        self.scripts = list(scripts)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            self.requested_targets.append(head.split()[1].decode())
            if "watch" in self.requested_targets[-1]:
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                await script(self, reader, writer)
                return
            text = json.dumps(
                {"seq": self.seq, "whole": True, "hosts": self.hosts}, indent=2
            ).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))


async def stay_silent(
    d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.write(WATCH + chunk(b"\n"))
    await reader.read()


async def send_blanks(
    d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Keep sending bytes, but never a complete line."""
    writer.write(WATCH + chunk(b"\n"))
    gone = asyncio.create_task(reader.read())
    while not gone.done():
        writer.write(chunk(b" "))
        await asyncio.sleep(0.005)


def change(seq: int, *hosts: dict[str, Any], **how: Any) -> bytes:
    return json.dumps({"seq": seq, "whole": False, "hosts": hosts}, **how).encode() + b"\n"


def send_then_cut(first: bytes) -> Any:
    async def script(
        d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(WATCH + chunk(first))
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    return script


@pytest.mark.parametrize("script", [send_blanks, stay_silent])
def test_a_watch_without_complete_lines_is_reopened_whatever_bytes_come(
    script: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(endpoint_watcher, "WATCH_SILENCE_TIMEOUT_MS", 60.0)
        async with running_cluster(
            [Replica(PREFILLED)], [Replica(STREAM)], discovery=Scripted(script)
        ) as w:
            await until(lambda: len(w.discovery.requested_targets) >= 4)

    run_async(scenario)


def test_a_call_has_a_time_limit_whatever_bytes_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(poll_schedule, "RESPONSE_TIMEOUT_MS", 40.0)
        monkeypatch.setattr(poll_schedule, "MAX_RESPONSE_TIMEOUT_MS", 40.0)

        async def slow_head(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            gone = asyncio.create_task(reader.read())
            writer.write(b"HTTP/1.1 200 OK\r\nX: ")
            while not gone.done():
                writer.write(b"a")
                await asyncio.sleep(0.005)

        async with running_cluster(
            [Replica(PREFILLED)], [Replica(STREAM)], discovery=Scripted(slow_head, stay_silent)
        ) as w:
            await until(lambda: len(w.discovery.requested_targets) >= 3)

    run_async(scenario)


def test_a_change_cut_mid_line_is_resent_by_the_next_watch_and_applied_once() -> None:
    async def scenario() -> None:
        d = Scripted()
        entry = d.entry("r9", "r", "127.0.0.1:9", "active")
        whole = change(42, entry)

        async def rest(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(WATCH + chunk(whole) + chunk(whole))
            await reader.read()

        d.scripts = [send_then_cut(b"\n" + whole[: len(whole) // 2]), rest]
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], discovery=d) as w:
            await until(lambda: "r9" in w.dispatcher.core.endpoints.by_id)
            assert w.dispatcher.endpoint_watcher.seq == 42 and d.requested_targets[-1].endswith(
                "from=41"
            )
            assert not any("from=42" in target for target in d.requested_targets)

    run_async(scenario)


@pytest.mark.parametrize("indent", [None, 2])
def test_a_change_between_the_whole_list_and_the_watch_is_not_missed(indent: int | None) -> None:
    async def scenario() -> None:
        d = Scripted()

        async def start_with_change(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            leaving = [{**h, "health": "leaving"} for h in d.hosts if h["host"] == "r0"]
            writer.write(WATCH + chunk(b"\n" + change(42, *leaving, indent=indent) + b"\n"))
            await reader.read()

        d.scripts = [start_with_change]
        async with running_cluster(
            [Replica(PREFILLED), Replica(PREFILLED)], [Replica(STREAM)], discovery=d
        ) as w:
            await until(lambda: w.dispatcher.endpoint_watcher.seq == 42)
            assert not w.dispatcher.core.endpoints.accepts_new_work(
                "r0"
            ) and w.dispatcher.core.endpoints.accepts_new_work("r1")
            assert len(d.requested_targets) == 2, "one call for the list and one watch"

    run_async(scenario)


def test_objects_are_split_in_any_layout_and_incomplete_ones_are_errors() -> None:
    made = [
        {"seq": n, "whole": False, "hosts": [{"host": f"a{{{n}", "k": {}}] * n} for n in range(4)
    ]
    for how in ({}, {"indent": 2}, {"indent": 0}):
        text = b"\n".join(json.dumps(m, **how).encode() + b"\n" for m in made) + b"\n"
        for size in (1, 7, len(text)):
            lines = JsonObjectSplitter()
            found = [
                m for at in range(0, len(text), size) for m in lines.feed(text[at : at + size])
            ]
            assert found == made and lines.line_count == text.count(b"\n")
    for broken in (b'{"seq": 1,\n\n', b"[]\n", b"x\n", b'{"seq": }\n', b"{" + b" " * 4096):
        with pytest.raises((EndpointListError, ValueError)):
            JsonObjectSplitter(4000).feed(broken)


def test_late_messages_of_an_old_address_do_not_replace_the_new_list_but_drains_apply() -> None:
    async def scenario() -> None:
        async with running_cluster(
            [Replica(PREFILLED), Replica(PREFILLED)], [Replica(STREAM)]
        ) as w:
            actor, d = w.dispatcher.endpoint_watcher, w.discovery
            new = Discovery()
            await new.start()
            new.hosts, new.seq = [dict(h) for h in d.hosts], 7
            new.hosts[0]["health"] = "leaving"
            actor.set_discovery(endpoint_watcher.Address("127.0.0.1", new.port))
            await until(lambda: actor.seq == 7)
            for health, host in (("active", 0), ("leaving", 1)):
                old = {**d.hosts[host], "health": health}
                actor.receive(
                    DiscoveryUpdate({"seq": 90, "whole": False, "hosts": [old]}, actor.epoch - 1)
                )
            assert not w.dispatcher.core.endpoints.accepts_new_work("r0"), (
                "the list of the new address is newer"
            )
            assert not w.dispatcher.core.endpoints.accepts_new_work("r1"), (
                "a drain of the old address applies"
            )
            actor.receive(DiscoveryUpdate({"seq": 91, "whole": True, "hosts": []}, actor.epoch - 1))
            assert len(w.dispatcher.core.endpoints.by_id) == 3 and actor.seq == 7
            await new.stop()

    run_async(scenario)


def test_an_address_change_while_a_list_is_partly_read_discards_it() -> None:
    async def scenario() -> None:
        half, ready = Discovery(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            text = json.dumps({"seq": 5, "whole": True, "hosts": []}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text[:9]))
            ready.set()
            await reader.read()

        half.serve = serve  # type: ignore[method-assign]
        await half.start()
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            actor, before = w.dispatcher.endpoint_watcher, set(w.dispatcher.core.endpoints.by_id)
            actor.set_discovery(endpoint_watcher.Address("127.0.0.1", half.port))
            await ready.wait()
            assert set(w.dispatcher.core.endpoints.by_id) == before and actor.ready
            w.discovery.seq = 3
            actor.set_discovery(endpoint_watcher.Address("127.0.0.1", w.discovery.port))
            await until(lambda: actor.seq == 3)
            assert set(w.dispatcher.core.endpoints.by_id) == before
        await half.stop()

    run_async(scenario)


def test_a_complete_list_applies_even_if_its_version_is_lower() -> None:
    """A discovery that has lost its state answers with its whole list."""

    async def scenario() -> None:
        d = Scripted()

        async def send_complete_list(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            text = json.dumps({"seq": 2, "whole": True, "hosts": d.hosts[1:]}).encode()
            writer.write(
                WATCH + chunk(text + b"\n") + chunk(change(3, {**d.hosts[1], "health": "leaving"}))
            )
            await reader.read()

        d.scripts = [send_complete_list]
        async with running_cluster(
            [Replica(PREFILLED), Replica(PREFILLED)], [Replica(STREAM)], discovery=d
        ) as w:
            await until(lambda: w.dispatcher.endpoint_watcher.seq == 3)
            assert set(w.dispatcher.core.endpoints.by_id) == {
                "r1",
                "w0",
            } and not w.dispatcher.core.endpoints.accepts_new_work("r1")

    run_async(scenario)


def test_a_drain_between_the_selection_and_the_first_byte_stops_the_send() -> None:
    async def scenario() -> None:
        async with running_cluster(
            [Replica(PREFILLED), Replica(PREFILLED)], [Replica(STREAM)]
        ) as w:
            core, chosen = w.dispatcher.core, []
            connect = w.dispatcher.replicas.actors["r0"]._open.__func__  # type: ignore[attr-defined]

            async def drain_after_connect(actor: Any, timeout_us: int | None = None) -> Any:
                wire = await connect(actor, timeout_us)
                if not chosen:
                    chosen.append(actor.name)
                    port = w.readers[int(actor.name[1])].address
                    w.discovery.change(w.discovery.entry(actor.name, "r", port, "leaving"))
                    await until(lambda: not core.endpoints.accepts_new_work(actor.name))
                return wire

            for actor in w.dispatcher.replicas.actors.values():
                actor._open = drain_after_connect.__get__(actor)  # type: ignore[method-assign]
            assert b"HTTP/1.1 200" in await w.request("a1")
            assert not w.readers[int(chosen[0][1])].heads, (
                "nothing is sent after the drain was announced"
            )

    run_async(scenario)


def test_a_saved_list_alone_does_not_make_ready_where_lists_are_pushed() -> None:
    async def scenario() -> None:
        known = {"seq": 41, "whole": True, "hosts": [Discovery().entry("r0", "r", "127.0.0.1:9")]}

        async def stay_silent_once_released(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await hold.wait()
            await stay_silent(d, reader, writer)

        hold, d = asyncio.Event(), Scripted(stay_silent_once_released)

        async def check_not_ready() -> None:
            await until(lambda: d.requested_targets)
            assert not made[0].endpoint_watcher.ready and b" 503 " in await health(
                made[0].front.port
            )
            hold.set()

        made: list[Any] = []
        watching = asyncio.create_task(check_not_ready())
        async with running_cluster([], [], discovery=d, known=known, on_created=made.append) as w:
            assert w.dispatcher.endpoint_watcher.ready and b" 200 " in await health(w.port)
        await watching

    run_async(scenario)


async def health(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return answer


def test_idle_clients_that_fill_the_descriptors_leave_one_for_discovery(tmp_path: Path) -> None:
    """Guards against clients that leave no descriptor to reconnect to discovery.

    Under a descriptor limit of the system, discovery goes away, clients take all they can get, and
    discovery comes back.
    """

    async def scenario() -> None:
        d, reader, writer = Discovery(), Replica(PREFILLED), Replica(STREAM)
        for part in (d, reader, writer):
            await part.start()
        d.hosts += [d.entry("r0", "r", reader.address), d.entry("w0", "w", writer.address)]
        path, most = tmp_path / "config.json", 64
        path.write_text(json.dumps({**RAW, "discovery": d.address, "limits": {"sockets": most}}))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "onyxpass", "serve", "--config", str(path)),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)),
        )
        assert process.stdout is not None
        port = 0
        while not port:
            line = json.loads(await process.stdout.readline())
            port = int(line["listen"].rpartition(":")[2]) if line["event"] == "listening" else 0
        read_on = asyncio.create_task(process.stdout.read())
        while b" 200 " not in await health(port):
            await asyncio.sleep(0.01)
        await d.stop()
        idle = []
        for _ in range(2 * most):
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
            idle.append(sock)
        asked = len(d.requested_targets)
        await d.start()
        d.change(d.entry("r0", "r", reader.address, "leaving"))
        await until(lambda: len(d.requested_targets) > asked and not d.changes.qsize())
        for sock in idle:
            sock.close()
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 10) == 0
        assert b"Traceback" not in await read_on
        for part in (d, reader, writer):
            await part.stop()

    run_async(scenario)
