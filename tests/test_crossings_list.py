"""Crossings at the list of servers: silence, cuts, moves and late words, forced over loopback
sockets.
"""

import asyncio
import json
import resource
import socket
import sys
from pathlib import Path
from typing import Any

import pytest
from standins import until
from test_program import RAW, ROOT
from world import READ, STREAM, Discovery, Replica, message, run, world

from onyxpass.net import endpoint_watcher, poll_schedule
from onyxpass.net.endpoint_watcher import DiscoveryUpdate, EndpointListError, JsonObjectSplitter

WATCH = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(text), text)


class Scripted(Discovery):
    """Each watch is played by the next of ``plays``, the last one again and again."""

    def __init__(self, *plays: Any) -> None:
        super().__init__()
        self.plays = list(plays)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await message(reader)
            self.asked.append(head.split()[1].decode())
            if "watch" in self.asked[-1]:
                play = self.plays.pop(0) if len(self.plays) > 1 else self.plays[0]
                await play(self, reader, writer)
                return
            text = json.dumps(
                {"seq": self.seq, "whole": True, "hosts": self.hosts}, indent=2
            ).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))


async def quiet(d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(WATCH + chunk(b"\n"))
    await reader.read()


async def dribbles(d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Alive by its bytes, and never a whole line."""
    writer.write(WATCH + chunk(b"\n"))
    gone = asyncio.create_task(reader.read())
    while not gone.done():
        writer.write(chunk(b" "))
        await asyncio.sleep(0.005)


def change(seq: int, *hosts: dict[str, Any], **how: Any) -> bytes:
    return json.dumps({"seq": seq, "whole": False, "hosts": hosts}, **how).encode() + b"\n"


def cut_then(first: bytes) -> Any:
    async def play(d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(WATCH + chunk(first))
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    return play


@pytest.mark.parametrize("play", [dribbles, quiet])
def test_a_watch_without_whole_lines_is_opened_anew_whatever_bytes_come(
    play: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def go() -> None:
        monkeypatch.setattr(endpoint_watcher, "SILENT_MS", 60.0)
        async with world([Replica(READ)], [Replica(STREAM)], discovery=Scripted(play)) as w:
            await until(lambda: len(w.discovery.asked) >= 4)

    run(go)


def test_the_answer_to_a_question_has_its_time_whatever_bytes_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        monkeypatch.setattr(poll_schedule, "ANSWER_MS", 40.0)
        monkeypatch.setattr(poll_schedule, "ANSWER_MOST_MS", 40.0)

        async def slow_head(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            gone = asyncio.create_task(reader.read())
            writer.write(b"HTTP/1.1 200 OK\r\nX: ")
            while not gone.done():
                writer.write(b"a")
                await asyncio.sleep(0.005)

        async with world(
            [Replica(READ)], [Replica(STREAM)], discovery=Scripted(slow_head, quiet)
        ) as w:
            await until(lambda: len(w.discovery.asked) >= 3)

    run(go)


def test_a_change_cut_mid_line_is_had_by_the_next_watch_and_taken_once() -> None:
    async def go() -> None:
        d = Scripted()
        entry = d.entry("r9", "r", "127.0.0.1:9", "active")
        whole = change(42, entry)

        async def rest(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(WATCH + chunk(whole) + chunk(whole))
            await reader.read()

        d.plays = [cut_then(b"\n" + whole[: len(whole) // 2]), rest]
        async with world([Replica(READ)], [Replica(STREAM)], discovery=d) as w:
            await until(lambda: "r9" in w.dispatcher.core.endpoints.by_id)
            assert w.dispatcher.endpoint_watcher.seq == 42 and d.asked[-1].endswith("from=41")
            assert not any("from=42" in target for target in d.asked)

    run(go)


@pytest.mark.parametrize("indent", [None, 2])
def test_a_change_between_the_whole_list_and_the_watch_is_not_missed(indent: int | None) -> None:
    async def go() -> None:
        d = Scripted()

        async def at_once(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            leaving = [{**h, "health": "leaving"} for h in d.hosts if h["host"] == "r0"]
            writer.write(WATCH + chunk(b"\n" + change(42, *leaving, indent=indent) + b"\n"))
            await reader.read()

        d.plays = [at_once]
        async with world([Replica(READ), Replica(READ)], [Replica(STREAM)], discovery=d) as w:
            await until(lambda: w.dispatcher.endpoint_watcher.seq == 42)
            assert not w.dispatcher.core.endpoints.accepts_new_work(
                "r0"
            ) and w.dispatcher.core.endpoints.accepts_new_work("r1")
            assert len(d.asked) == 2, "one list and one watch"

    run(go)


def test_objects_are_found_however_they_are_laid_out_and_what_breaks_off_is_an_error() -> None:
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
            assert found == made and lines.ended == text.count(b"\n")
    for broken in (b'{"seq": 1,\n\n', b"[]\n", b"x\n", b'{"seq": }\n', b"{" + b" " * 4096):
        with pytest.raises((EndpointListError, ValueError)):
            JsonObjectSplitter(4000).feed(broken)


def test_what_an_old_address_told_late_is_not_put_over_the_new_ones_list_but_a_drain_holds() -> (
    None
):
    async def go() -> None:
        async with world([Replica(READ), Replica(READ)], [Replica(STREAM)]) as w:
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
                    DiscoveryUpdate({"seq": 90, "whole": False, "hosts": [old]}, actor.era - 1)
                )
            assert not w.dispatcher.core.endpoints.accepts_new_work("r0"), (
                "the new address knows better"
            )
            assert not w.dispatcher.core.endpoints.accepts_new_work("r1"), "told is told"
            actor.receive(DiscoveryUpdate({"seq": 91, "whole": True, "hosts": []}, actor.era - 1))
            assert len(w.dispatcher.core.endpoints.by_id) == 3 and actor.seq == 7
            await new.stop()

    run(go)


def test_a_move_while_a_whole_list_is_half_read_takes_nothing_of_it() -> None:
    async def go() -> None:
        half, ready = Discovery(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await message(reader)
            text = json.dumps({"seq": 5, "whole": True, "hosts": []}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text[:9]))
            ready.set()
            await reader.read()

        half.serve = serve  # type: ignore[method-assign]
        await half.start()
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            actor, before = w.dispatcher.endpoint_watcher, set(w.dispatcher.core.endpoints.by_id)
            actor.set_discovery(endpoint_watcher.Address("127.0.0.1", half.port))
            await ready.wait()
            assert set(w.dispatcher.core.endpoints.by_id) == before and actor.ready
            w.discovery.seq = 3
            actor.set_discovery(endpoint_watcher.Address("127.0.0.1", w.discovery.port))
            await until(lambda: actor.seq == 3)
            assert set(w.dispatcher.core.endpoints.by_id) == before
        await half.stop()

    run(go)


def test_a_whole_list_counts_even_if_its_version_is_older() -> None:
    """A discovery that has lost its memory answers with all that it has."""

    async def go() -> None:
        d = Scripted()

        async def anew(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            text = json.dumps({"seq": 2, "whole": True, "hosts": d.hosts[1:]}).encode()
            writer.write(
                WATCH + chunk(text + b"\n") + chunk(change(3, {**d.hosts[1], "health": "leaving"}))
            )
            await reader.read()

        d.plays = [anew]
        async with world([Replica(READ), Replica(READ)], [Replica(STREAM)], discovery=d) as w:
            await until(lambda: w.dispatcher.endpoint_watcher.seq == 3)
            assert set(w.dispatcher.core.endpoints.by_id) == {
                "r1",
                "w0",
            } and not w.dispatcher.core.endpoints.accepts_new_work("r1")

    run(go)


def test_a_drain_told_between_the_choice_and_the_first_byte_stops_the_send() -> None:
    async def go() -> None:
        async with world([Replica(READ), Replica(READ)], [Replica(STREAM)]) as w:
            core, chosen = w.dispatcher.core, []
            dial = w.dispatcher.replicas.actors["r0"]._open.__func__  # type: ignore[attr-defined]

            async def drained_meanwhile(actor: Any, most_us: int | None = None) -> Any:
                wire = await dial(actor, most_us)
                if not chosen:
                    chosen.append(actor.name)
                    port = w.readers[int(actor.name[1])].address
                    w.discovery.change(w.discovery.entry(actor.name, "r", port, "leaving"))
                    await until(lambda: not core.endpoints.accepts_new_work(actor.name))
                return wire

            for actor in w.dispatcher.replicas.actors.values():
                actor._open = drained_meanwhile.__get__(actor)  # type: ignore[method-assign]
            assert b"HTTP/1.1 200" in await w.ask("a1")
            assert not w.readers[int(chosen[0][1])].heads, "nothing after it was told"

    run(go)


def test_a_known_list_alone_makes_nothing_ready_where_lists_are_pushed() -> None:
    async def go() -> None:
        known = {"seq": 41, "whole": True, "hosts": [Discovery().entry("r0", "r", "127.0.0.1:9")]}

        async def later(
            d: Scripted, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await hold.wait()
            await quiet(d, reader, writer)

        hold, d = asyncio.Event(), Scripted(later)

        async def look() -> None:
            await until(lambda: d.asked)
            assert not made[0].endpoint_watcher.ready and b" 503 " in await health(
                made[0].front.port
            )
            hold.set()

        made: list[Any] = []
        watching = asyncio.create_task(look())
        async with world([], [], discovery=d, known=known, made=made.append) as w:
            assert w.dispatcher.endpoint_watcher.ready and b" 200 " in await health(w.port)
        await watching

    run(go)


async def health(port: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return answer


def test_idle_clients_that_fill_the_descriptors_leave_one_for_discovery(tmp_path: Path) -> None:
    """With a limit of the system's own: discovery goes away, clients take all they can, and it
    comes back.
    """

    async def go() -> None:
        d, reader, writer = Discovery(), Replica(READ), Replica(STREAM)
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
        asked = len(d.asked)
        await d.start()
        d.change(d.entry("r0", "r", reader.address, "leaving"))
        await until(lambda: len(d.asked) > asked and not d.changes.qsize())
        for sock in idle:
            sock.close()
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 10) == 0
        assert b"Traceback" not in await read_on
        for part in (d, reader, writer):
            await part.stop()

    run(go)
