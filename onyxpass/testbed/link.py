"""A relay between two processes, whose directions can each be dropped, stalled, delayed, closed
or reset.
"""

import asyncio
from enum import Enum

from onyxpass.testbed.server import Server

READ_MOST = 64 * 1024
PIECE, PIECE_S = 61, 0.0005  # bytes at a time, and the rest between them


class Mode(Enum):
    """Of one direction; what is on its way follows it as well."""

    PASS = "pass"
    STALL = "stall"  # nothing is read: what is sent waits, and goes on once this ends
    PIECES = "pieces"  # a few bytes at a time
    # what is sent goes nowhere, as behind a cut; the connection is of no use after that
    DROP = "drop"


class Direction:
    """One direction of all connections over a link."""

    def __init__(self) -> None:
        self.mode, self.delay_s, self.bytes = Mode.PASS, 0.0, 0
        self.changed = asyncio.Event()

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        self.mode, self.delay_s = mode, delay_s
        self.changed.set()
        self.changed = asyncio.Event()

    async def open(self) -> None:
        while self.mode is Mode.STALL:
            await self.changed.wait()


class Link(Server):
    """Listens in place of the server at ``to``. ``there``: towards it, ``back``: from it."""

    def __init__(self, to_port: int, to_host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(port)
        self.to_host, self.to_port = to_host, to_port
        self.to_server, self.to_client = Direction(), Direction()
        self.accepts = True  # or new connections come up and lead nowhere, as behind a cut

    def cut(self) -> None:
        """Both directions silent, old connections and new ones alike; nothing is told."""
        self.to_server.set_mode(Mode.DROP)
        self.to_client.set_mode(Mode.DROP)
        self.accepts = False

    def restore(self) -> None:
        """As it was. What went over the cut is lost, so connections from before are reset."""
        self.to_server.set_mode(Mode.PASS)
        self.to_client.set_mode(Mode.PASS)
        self.accepts = True
        self.reset()

    def reset(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.accepts:
            await reader.read()
            return
        far_reader, far_writer = await asyncio.open_connection(self.to_host, self.to_port)
        ways = (
            asyncio.create_task(self._relay(self.to_server, reader, far_writer)),
            asyncio.create_task(self._relay(self.to_client, far_reader, writer)),
        )
        try:
            await asyncio.gather(*ways)
        except OSError:  # a reset on one side is one on the other
            writer.transport.abort()
        finally:
            for way in ways:
                way.cancel()
            far_writer.transport.abort()

    @staticmethod
    async def _relay(
        way: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await way.open()
            data = await reader.read(READ_MOST)
            await way.open()
            if way.mode is Mode.DROP:
                if not data:
                    return
                continue
            if way.delay_s:
                await asyncio.sleep(way.delay_s)
            if not data:  # half closed
                if writer.can_write_eof():
                    writer.write_eof()
                return
            way.bytes += len(data)
            size = PIECE if way.mode is Mode.PIECES else READ_MOST
            for at in range(0, len(data), size):
                writer.write(data[at : at + size])
                await writer.drain()
                if way.mode is Mode.PIECES:
                    await asyncio.sleep(PIECE_S)
