"""Estimates what it costs to parse received input, for the order of the steps that parse it."""

STEP_NS = 20_000  # of processor time, for each step
LINE_NS = 3_000  # for each line of a head
BYTE_NS = 5  # for each byte, most of which are the content of JSON strings


def input_cost_ns(received_bytes: int, head_lines: int = 0) -> int:
    """Return the estimated processor time for parsing this input, in ns."""
    return head_lines * LINE_NS + received_bytes * BYTE_NS
