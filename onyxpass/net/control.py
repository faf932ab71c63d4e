"""The operators' HTTP endpoint: one call per connection, on slots of its own.

Calls are served also while the client connections are at their limit.
"""

from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import h11
import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.net.http_server import (
    BACKLOG,
    CALL_TIMEOUT_US,
    LISTEN_RETRY_US,
    MAX_CALLS,
    CallServer,
    Reply,
)
from onyxpass.net.listen import Listener

PATHS = {
    b"/api/ready": b"GET",
    b"/api/telemetry": b"GET",
    b"/api/exclude": b"POST",
    b"/api/include": b"POST",
}
Exclude = Callable[[str, bool], Awaitable[bool]]
log = structlog.get_logger("control")


class ControlServer(CallServer):
    def __init__(
        self, core: RequestDispatcher, address: Address, ready: Callable[[], bool], exclude: Exclude
    ) -> None:
        super().__init__(core.wheel, str(address))
        self.core, self.address, self.ready, self.exclude = core, address, ready, exclude

    def listen(self) -> Listener:
        return Listener.at(self.address.host, self.address.port, BACKLOG)

    def log_listening(self) -> None:
        log.info("control", listen=f"{self.address.host}:{self.port}")

    async def answer(self, head: h11.Request, text: bytes) -> Reply:
        path, _, query = bytes(head.target).partition(b"?")
        if (method := PATHS.get(path)) is None:
            return 404, b"no such path\n"
        if head.method != method:
            return 405, method + b" only\n"
        if path == b"/api/ready":
            return (200, b"ready\n") if self.ready() else (503, b"not ready\n")
        if path == b"/api/telemetry":
            rows = self.core.metric_rows().items()
            return 200, "".join(f"{name}={value}\n" for name, value in rows).encode(
                "utf-8", "replace"
            )
        return await self._set_excluded(query, path == b"/api/exclude")

    async def _set_excluded(self, query: bytes, excluded: bool) -> Reply:
        try:
            parameters = parse_qs(query.decode("ascii"), True, strict_parsing=True, errors="strict")
        except ValueError:
            return 400, b"the query can't be read\n"
        hosts = parameters.get("host", [])
        if len(hosts) != 1 or not hosts[0]:
            return 400, b"one host is to be named: ?host=ID\n"
        # Accepts an excluded replica that has left the list, so that its exclusion can be undone.
        if (
            hosts[0] not in self.core.endpoints.by_id
            and hosts[0] not in self.core.endpoints.excluded
        ):
            return 404, b"no such replica\n"
        done = await self.exclude(hosts[0], excluded)
        log.info("exclude" if excluded else "include", server=hosts[0], done=done)
        return (
            (200, b"done\n")
            if done
            else (503, b"in force here, but not kept or not everywhere yet\n")
        )


__all__ = ["CALL_TIMEOUT_US", "LISTEN_RETRY_US", "MAX_CALLS", "ControlServer"]
