"""The core's client over HTTP: relays a stream event by event, or writes one final answer."""

import asyncio
from collections.abc import Callable

import h11
import structlog

from onyxpass.net.http import HttpConnection

log = structlog.get_logger("front")


class HttpClient:
    """The core's client over one HTTP exchange."""

    def __init__(self, wire: HttpConnection, closing: Callable[[], bool]) -> None:
        self.wire, self._closing = wire, closing
        self.done = asyncio.Event()
        self.broken = False
        self.was_cut = False  # by us, since its stream broke
        self.begun = False  # whether the stream's head has gone out
        self.keeps = True  # whether the client, and then that head, lets the connection stay open

    def has_disconnected(self) -> bool:
        return self.broken or self.wire.hung_up

    def _headers(self, *more: tuple[bytes, bytes]) -> list[tuple[bytes, bytes]]:
        return [*more, (b"connection", b"close")] if self._closing() else list(more)

    async def forward(self, event: bytes) -> None:
        if self.done.is_set():
            return
        if self.begun:
            self.wire.write(h11.Data(data=event))
        else:
            self.begun, self.keeps = True, self.keeps and not self._closing()
            kind = (b"content-type", b"text/event-stream")
            headers = self._headers(kind, (b"transfer-encoding", b"chunked"))
            self.wire.write(h11.Response(status_code=200, headers=headers), h11.Data(data=event))
        try:
            await self.wire.writer.drain()
        except OSError:
            log.debug("client_disconnected")  # its reading side tells the core

    def complete(self) -> None:
        self.wire.write(h11.EndOfMessage())
        self.done.set()

    def abort(self, reason: str) -> None:
        self.broken = self.was_cut = True
        self.wire.abort()  # guards against a broken stream that looks whole: no last chunk
        self.done.set()

    def leave(self) -> None:
        """Another process goes on with it: close this one's hold on the connection and nothing
        else.
        """
        self.abort("")

    def reject(self, retry_after_us: int) -> None:
        advice = [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
        self.answer(503, b"refused\n", *advice)

    def fail(self, reason: str, late: bool) -> None:
        self.answer(504 if late else 502, b"failed\n")

    def answer(self, status: int, text: bytes, *more: tuple[bytes, bytes]) -> None:
        headers = self._headers(*more, (b"content-length", b"%d" % len(text)))
        self.wire.write(
            h11.Response(status_code=status, headers=headers),
            h11.Data(data=text),
            h11.EndOfMessage(),
        )
        self.done.set()
