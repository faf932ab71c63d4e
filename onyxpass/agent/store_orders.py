"""The orders from the store that this agent has carried out, in memory and in a file of its folder.

An order stays in the store until the next one replaces it, so each agent that starts reads it
again, and a store that is set back to an older copy shows an older one. Carried out again, it would
undo whatever was ordered since by other ways.
"""

import json
from pathlib import Path

import structlog

from onyxpass import atomic_file
from onyxpass.store.desired_running import DesiredRunning

FILE_NAME = "store-orders.json"  # a JSON array of ``[instance, identity]``, the oldest first
MAX_ORDERS = 1_000  # that are remembered, of all instances
log = structlog.get_logger("agent")


class StoreOrders:
    """The orders that were carried out. Without a folder they are kept in memory only."""

    def __init__(self, folder: Path | None) -> None:
        """Load the file; one that can't be used is logged, and its orders count as not known."""
        self._path = folder / FILE_NAME if folder is not None else None
        self._orders: dict[tuple[str, str], None] = {}  # instance and identity, the oldest first
        self._latest: dict[str, str] = {}  # identity by instance
        if self._path is not None and self._path.exists():
            self._load(self._path)

    def _load(self, path: Path) -> None:
        try:
            for name, identity in json.loads(path.read_text()):
                self._remember(str(name), str(identity))
        except (OSError, ValueError, TypeError) as error:
            log.warning("store_orders_unusable", path=str(path), error=str(error))

    def is_new(self, name: str, order: DesiredRunning) -> bool:
        """Return whether an order for an instance has not been recorded.

        An order without an id, of an older tool, is new if the latest one differs.
        """
        if order.id:
            return (name, order.identity) not in self._orders
        return self._latest.get(name) != order.identity

    def record(self, name: str, order: DesiredRunning) -> None:
        """Record an order that was carried out; a failed write is made up for by the next one."""
        self._remember(name, order.identity)
        if self._path is None:
            return
        try:
            atomic_file.replace(self._path, json.dumps(list(self._orders)).encode())
        except OSError as error:
            log.warning("store_orders_unusable", path=str(self._path), error=str(error))

    def _remember(self, name: str, identity: str) -> None:
        self._orders.pop((name, identity), None)
        self._orders[name, identity] = None
        self._latest[name] = identity
        while len(self._orders) > MAX_ORDERS:
            del self._orders[next(iter(self._orders))]
