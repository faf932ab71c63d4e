"""An operator's order to run or stop an instance, as it is stored for the instance's agent."""

import secrets
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DesiredRunning:
    """Whether an instance is to run; ``id`` tells orders apart, and is empty in older entries."""

    running: bool
    id: str = ""

    @classmethod
    def new(cls, running: bool) -> "DesiredRunning":
        """Return an order of its own."""
        return cls(running, secrets.token_hex(8))

    @property
    def identity(self) -> str:
        """The id, or what stands for it in an order without one."""
        return self.id or f"running={self.running}"

    def to_dict(self) -> dict[str, Any]:
        """Return the JSON form of the stored entry."""
        return {"running": self.running, "order": self.id}

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> "DesiredRunning | None":
        """Return the order of an entry; None if it has none."""
        running, order_id = raw.get("running"), raw.get("order", "")
        if not isinstance(running, bool):
            return None
        return cls(running, order_id if isinstance(order_id, str) else "")
