"""Both programs as an agent manages them: what is open, how a drain closes them, what they run on."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from onyxpass.admin.drain import Load
from onyxpass.admin.running import Change, Values
from onyxpass.admin.values import serve_values, toolcalls_values
from onyxpass.config import Config

if TYPE_CHECKING:
    from onyxpass.core.dispatcher import Core
    from onyxpass.serve import Dispatcher
    from onyxpass.toolcalls.service import ToolcallsConfig, ToolcallService

CUT = "cut short by an operator"


class Managed(Protocol):
    """What the admin socket needs of a program."""

    kind: str
    core: "Core"

    def values(self) -> Values: ...
    def reload(self) -> Change: ...
    def ready(self) -> bool: ...
    def load(self) -> Load: ...
    def leave(self, leaving: bool) -> None: ...
    def shut(self) -> None: ...
    def figures(self) -> dict[str, Any]: ...


class ManagedDispatcher:
    """``serve``."""

    kind = "serve"

    def __init__(self, dispatcher: "Dispatcher", read: Callable[[], Config]) -> None:
        self.dispatcher, self.core, self.read = dispatcher, dispatcher.core, read

    def values(self) -> Values:
        return serve_values(self.dispatcher.config)

    def reload(self) -> Change:
        return self.dispatcher.take_over(self.read)

    def ready(self) -> bool:
        return self.dispatcher.ready()

    def load(self) -> Load:
        """A request is open till its answer has left, so connections count as well."""
        requests, streams, oldest_us = self.core.under_way()
        return Load(max(requests, self.dispatcher.front.answering()), streams, oldest_us)

    def leave(self, leaving: bool) -> None:
        self.dispatcher.front.draining = leaving
        if not leaving:
            self.core.reopen()

    def shut(self) -> None:
        self.core.close()
        self.dispatcher.front.close_idle()

    def figures(self) -> dict[str, Any]:
        files = self.dispatcher.files
        told = {"sources": files.told()} if files is not None else {}
        return {**self.core.rows(), "clients": len(self.dispatcher.front.open), **told}


class ManagedToolcalls:
    """``toolcalls``."""

    kind = "toolcalls"

    def __init__(self, service: "ToolcallService", read: Callable[[], "ToolcallsConfig"]) -> None:
        self.service, self.core, self.read = service, service.core, read

    def values(self) -> Values:
        return toolcalls_values(self.service.config)

    def reload(self) -> Change:
        return self.service.take_over(self.read)

    def ready(self) -> bool:
        return not (self.service.front.closing or self.core.closed)

    def load(self) -> Load:
        requests, streams, oldest_us = self.core.under_way()
        return Load(max(requests, self.service.front.unsent()), streams, oldest_us)

    def leave(self, leaving: bool) -> None:
        """Its connections stay: on each of them more requests are refused by their own answers."""
        if not leaving:
            self.core.reopen()

    def shut(self) -> None:
        self.core.close()

    def figures(self) -> dict[str, Any]:
        files = self.service.files
        told = {"sources": files.told()} if files is not None else {}
        return {**self.core.rows(), "clients": len(self.service.front.open), **told}
