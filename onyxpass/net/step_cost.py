"""Estimates what it costs to parse received input, for the order of the steps that parse it."""

from dataclasses import dataclass

STEP_NS = 20_000
LINE_NS = 3_000  # for each line of a head
BYTE_NS = 5  # for each byte, most of which are the content of JSON strings


def step_cost_ns(received_bytes: int, head_lines: int = 0) -> int:
    """Return the estimated processor time of a step, in ns."""
    return STEP_NS + head_lines * LINE_NS + received_bytes * BYTE_NS


@dataclass(slots=True)
class UnparsedInput:
    """What a connection has received since its last step."""

    received_bytes: int = 0
    head_lines: int = 0

    def take_cost_ns(self) -> int:
        """Return the estimated cost of the next step, in ns, and begin anew."""
        cost_ns = step_cost_ns(self.received_bytes, self.head_lines)
        self.received_bytes = self.head_lines = 0
        return cost_ns
