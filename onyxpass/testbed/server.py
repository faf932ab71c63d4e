"""The base of all stand-ins: a TCP server that can be stopped with its connections and restarted."""

import asyncio
from collections.abc import Callable


async def until(condition: Callable[[], object], limit_s: float = 10.0) -> None:
    """Wait until the condition holds.

    Raises TimeoutError after ``limit_s``, which only ends a test that has failed already.
    """
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.002)


class Server:
    """A TCP server. ``port`` 0 chooses a free port, which is used again after a restart."""

    def __init__(self, port: int = 0, host: str = "127.0.0.1") -> None:
        self.host, self.port = host, port
        self.connections = 0
        self.writers: dict[asyncio.StreamWriter, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None

    async def start(self) -> "Server":
        self.server = await asyncio.start_server(self._accept, self.host, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer, task in list(self.writers.items()):
            writer.transport.abort()
            task.cancel()
        await until(lambda: not self.writers)

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self.writers[writer] = task
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError
