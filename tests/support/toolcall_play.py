"""Plays bookings and their repeats at several JSON-RPC fronts, while their store and they fail.

A play is drawn from a seed. At its end no request may have booked twice, whatever ids its writer has
given to the booking. The faults keep to what docs/design/CLAIMS.md covers: others know of a front
before it goes, and a copy of the store is older than a heartbeat.
"""

import asyncio
import contextlib
import random
from collections import Counter
from enum import Enum
from pathlib import Path

import standins as st
from test_store_loss import Fronts, fronts, fronts_known_to, heartbeats

from onyxpass.toolcalls import rpc

FRONTS = ("f1", "f2", "f3")
BOOKINGS_AT_ONCE = 6
ANSWER_S = 20.0  # for an answer, or for a front that was killed
NOT_MADE_CODES = (rpc.STORE_UNAVAILABLE, rpc.CALL_NOT_MADE)
MAX_CALLS = 3  # of a writer that is told that its call was not made
RECOVERY_MS = 300
MAX_SILENCE_S = 0.8
KNOWN_S = 5.0  # for others to learn of a front's claims


class Fault(Enum):
    """A fault of the store or of a front."""

    STORE_SILENT = "store silent"  # executes commands, and answers none
    STORE_EMPTIED = "store emptied"
    STORE_RESTARTED = "store restarted empty"
    STORE_SET_BACK = "store set back"
    FRONT_KILLED = "front killed"  # and started again with its journal
    FRONT_WITHOUT_JOURNAL = "front killed, its journal lost"
    FRONT_STOPPED = "front stopped"  # in order, and started again


FAULTS = (*tuple(Fault) * 3, Fault.STORE_EMPTIED, Fault.FRONT_KILLED)


class ToolCallPlay:
    """One play; ``made`` has the ids of all calls that reached the tool server."""

    def __init__(self, bed: Fronts, seed: int) -> None:
        self.bed, self.rng = bed, random.Random(seed)
        self.names: list[str] = []
        self.states: Counter[str] = Counter()
        self.faults: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        for writer in bed.writers:
            writer.steps = (self.book,)

    async def run(self, fault_count: int) -> None:
        for name in FRONTS:
            await self.bed.open_front(name)
        for _ in range(fault_count):
            self.ask_some()
            await asyncio.sleep(self.rng.uniform(0, 0.3))
            await self.inject(self.rng.choice(FAULTS))
            self.ask_some()
            await asyncio.sleep(self.rng.uniform(0, 0.5))
        if self.tasks:
            await asyncio.wait(self.tasks)

    def doubled(self) -> dict[str, list[str]]:
        """Return the calls of each request that has booked more than once."""
        by_request: dict[str, list[str]] = {}
        for call_id in self.bed.tool_server.call_ids:
            by_request.setdefault(call_id.partition(":")[0], []).append(call_id)
        return {name: ids for name, ids in by_request.items() if len(ids) > 1}

    # Requests

    def ask_some(self) -> None:
        for _ in range(self.rng.randint(1, BOOKINGS_AT_ONCE)):
            is_repeat = self.names and self.rng.random() < 0.6
            name = self.rng.choice(self.names) if is_repeat else f"r{len(self.names)}"
            if not is_repeat:
                self.names.append(name)
            task = asyncio.create_task(self.ask(self.rng.choice(FRONTS), name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def ask(self, front: str, name: str) -> None:
        state = "front lost"
        # A front may be down, or go before it has answered.
        with contextlib.suppress(OSError, KeyError, TimeoutError):
            answer = await asyncio.wait_for(self.bed.ask(front, name), ANSWER_S)
            state = str(answer.get("state") or answer.get("code"))
        self.states[state] += 1

    async def book(
        self, server: st.DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Book once, under an id made up anew; again if told that the call was not made."""
        prefix = self.rng.choice("abc")
        for number in range(MAX_CALLS):
            params = {"name": "book_out", "arguments": {"part": "hv-board"}}
            st.send_message(writer, id=f"{prefix}{number}", method="tools/call", params=params)
            answer = await server.receive(reader)
            if answer.get("error", {}).get("code") not in NOT_MADE_CODES:
                return
            await asyncio.sleep(0.05)

    # Faults

    async def inject(self, fault: Fault) -> None:
        store = self.bed.store
        self.faults.append(fault.value)
        match fault:
            case Fault.STORE_SILENT:
                store.silent = True
                await asyncio.sleep(self.rng.uniform(0.1, MAX_SILENCE_S))
                store.silent = False
            case Fault.STORE_EMPTIED:
                await self.until_known()
                store.data.clear()
            case Fault.STORE_RESTARTED:
                await self.until_known()
                await store.restart()
            case Fault.STORE_SET_BACK:
                copy, beats = store.snapshot(), heartbeats(self.bed)
                await asyncio.sleep(self.rng.uniform(0.2, 0.6))
                await self.until_known()
                await self.until_newer(beats)
                store.data = copy
            case Fault.FRONT_KILLED | Fault.FRONT_WITHOUT_JOURNAL | Fault.FRONT_STOPPED:
                await self.restart_front(self.rng.choice(FRONTS), fault)

    async def restart_front(self, name: str, fault: Fault) -> None:
        await self.until_known()
        if fault is Fault.FRONT_STOPPED:
            await self.bed.services.pop(name).stop()
        else:
            await self.bed.kill(name)
        if fault is Fault.FRONT_WITHOUT_JOURNAL:
            (self.bed.folder / name).unlink()
        await asyncio.sleep(self.rng.uniform(0, 1.0))
        await self.bed.start_front(name)

    async def until_known(self) -> None:
        """Wait until all fronts know of each one that has claims, as long as the store answers."""

        def is_known() -> bool:
            running = self.bed.services
            registered = {n for n in running if running[n].claims.is_registered}
            return all(registered <= fronts_known_to(self.bed, name) for name in running)

        with contextlib.suppress(TimeoutError):
            await st.until(is_known, KNOWN_S)

    async def until_newer(self, beats: dict[str, str]) -> None:
        """Wait until the store has a newer heartbeat of each running front."""
        with contextlib.suppress(TimeoutError):
            await st.until(
                lambda: all(v > beats.get(k, "") for k, v in heartbeats(self.bed).items()), KNOWN_S
            )


async def play(folder: Path, seed: int, fault_count: int) -> ToolCallPlay:
    """Run the play of a seed and return it."""
    async with fronts(folder, RECOVERY_MS) as bed:
        toolcall_play = ToolCallPlay(bed, seed)
        await toolcall_play.run(fault_count)
        return toolcall_play
