"""A TCP relay between two processes that can drop, stall, delay and split data and reset connections.

Each direction of a link is controlled separately.
"""

import asyncio
from enum import Enum

from onyxpass.testbed.server import Server

READ_BYTES = 64 * 1024
PIECE_BYTES, PIECE_INTERVAL_S = 61, 0.0005


class Mode(Enum):
    """How one direction of a link handles data, including data that is in transit already."""

    PASS = "pass"
    STALL = "stall"  # nothing is forwarded until the mode changes
    PIECES = "pieces"  # ``PIECE_BYTES`` at a time
    # Data is discarded, as in a network partition; the connection is unusable afterwards.
    DROP = "drop"


class Direction:
    """One direction of all connections over a link."""

    def __init__(self) -> None:
        self.mode, self.delay_s, self.forwarded_bytes = Mode.PASS, 0.0, 0
        self.changed = asyncio.Event()

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        self.mode, self.delay_s = mode, delay_s
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_while_stalled(self) -> None:
        while self.mode is Mode.STALL:
            await self.changed.wait()


class Link(Server):
    """Listens in place of a server and relays connections to it."""

    def __init__(self, server_port: int, server_host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(port)
        self.server_host, self.server_port = server_host, server_port
        self.to_server, self.to_client = Direction(), Direction()
        # If false, new connections are accepted but not relayed, as in a network partition.
        self.relays_new = True

    def cut(self) -> None:
        """Discard all data, on old and new connections, without closing any: a partition."""
        self.to_server.set_mode(Mode.DROP)
        self.to_client.set_mode(Mode.DROP)
        self.relays_new = False

    def restore(self) -> None:
        """Relay data again; reset the old connections, because data sent in the meantime is lost."""
        self.to_server.set_mode(Mode.PASS)
        self.to_client.set_mode(Mode.PASS)
        self.relays_new = True
        self.reset()

    def reset(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.relays_new:
            await reader.read()
            return
        server_reader, server_writer = await asyncio.open_connection(
            self.server_host, self.server_port
        )
        tasks = (
            asyncio.create_task(self._relay(self.to_server, reader, server_writer)),
            asyncio.create_task(self._relay(self.to_client, server_reader, writer)),
        )
        try:
            await asyncio.gather(*tasks)
        except OSError:  # a reset on one side resets the other side
            writer.transport.abort()
        finally:
            for task in tasks:
                task.cancel()
            server_writer.transport.abort()

    @staticmethod
    async def _relay(
        direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await direction.wait_while_stalled()
            data = await reader.read(READ_BYTES)
            await direction.wait_while_stalled()
            if direction.mode is Mode.DROP:
                if not data:
                    return
                continue
            if direction.delay_s:
                await asyncio.sleep(direction.delay_s)
            if not data:  # the sender has closed its side
                if writer.can_write_eof():
                    writer.write_eof()
                return
            direction.forwarded_bytes += len(data)
            size = PIECE_BYTES if direction.mode is Mode.PIECES else READ_BYTES
            for at in range(0, len(data), size):
                writer.write(data[at : at + size])
                await writer.drain()
                if direction.mode is Mode.PIECES:
                    await asyncio.sleep(PIECE_INTERVAL_S)
