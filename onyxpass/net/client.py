"""The core's ``Client`` over HTTP: relays a stream event by event, or writes one final response."""

import asyncio
from collections.abc import Callable

import h11
import structlog

from onyxpass.net.http import HttpConnection

log = structlog.get_logger("front")


class HttpClient:
    """The ``Client`` of one HTTP exchange."""

    def __init__(self, wire: HttpConnection, closing: Callable[[], bool]) -> None:
        self.wire, self._closing = wire, closing
        self.done = asyncio.Event()
        self.broken = False
        self.stream_aborted = False  # aborted by this dispatcher after its stream had begun
        self.stream_begun = False  # whether the response head of the stream was written
        self.keep_alive = True  # whether both the client and the response head allow reuse

    def has_disconnected(self) -> bool:
        return self.broken or self.wire.hung_up

    def _headers(self, *more: tuple[bytes, bytes]) -> list[tuple[bytes, bytes]]:
        return [*more, (b"connection", b"close")] if self._closing() else list(more)

    async def forward(self, event: bytes) -> None:
        if self.done.is_set():
            return
        if self.stream_begun:
            self.wire.write(h11.Data(data=event))
        else:
            self.stream_begun, self.keep_alive = True, self.keep_alive and not self._closing()
            kind = (b"content-type", b"text/event-stream")
            headers = self._headers(kind, (b"transfer-encoding", b"chunked"))
            self.wire.write(h11.Response(status_code=200, headers=headers), h11.Data(data=event))
        try:
            await self.wire.writer.drain()
        except OSError:
            # the task that reads from the client reports this to the core
            log.debug("client_disconnected")

    @property
    def unsent_bytes(self) -> int:
        return self.wire.writer.transport.get_write_buffer_size()

    def disconnect(self) -> None:
        self.wire.abort()

    def complete(self) -> None:
        self.wire.write(h11.EndOfMessage())
        self.done.set()

    def abort(self, reason: str) -> None:
        self.broken = self.stream_aborted = True
        self.wire.abort()  # no last chunk, so the client sees that the stream is incomplete
        self.done.set()

    def detach(self) -> None:
        """Close this process's copy of the connection after another process has taken it over.

        Nothing is sent to the client.
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
