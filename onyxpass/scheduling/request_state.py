"""The state of one request in one router, from its arrival to the start of its answer.

The router that made a ``RequestState`` owns it and is the only one to change it.
"""

import hashlib

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus, Role
from onyxpass.scheduling.server_state import PREFILL_OVERHEAD_TOKENS, ServerState

MAX_NAME_CHARACTERS = 64  # of a session or prefix that is kept as it is


def table_key(kind: str, name: str) -> str:
    """Return the key of a session ("s") or prefix ("p"); that of a long name is its digest."""
    if len(name) > MAX_NAME_CHARACTERS:
        name = hashlib.blake2b(name.encode("utf-8", "surrogatepass"), digest_size=16).hexdigest()
    return f"{kind}|{name}"


class RequestState:
    """A request that waits or has an attempt in flight; times in microseconds."""

    __slots__ = (
        "answered_attempts_us",
        "arrival",
        "arrived_us",
        "attempted_servers",
        "attempts",
        "decode_tokens",
        "first_possible_run",
        "latency_objective_us",
        "overtaken_count",
        "prefix_keys",
        "priority",
        "sent_us",
        "server",
        "silence_deadline_us",
        "state_confirmed_us",
        "state_holder",
        "tokens_ahead",
        "traffic_class",
    )

    def __init__(
        self,
        arrival: contract.Arrival,
        traffic_class: contract.TrafficClass,
        now_us: int,
        priority: float,
    ) -> None:
        self.arrival = arrival
        self.traffic_class = traffic_class
        self.priority = priority  # 0 to 1, less for a tenant over its quota
        self.arrived_us = now_us
        self.latency_objective_us = (
            traffic_class.latency_objective_us
            + traffic_class.latency_objective_us_per_1k_tokens * arrival.prompt_tokens // 1000
        )
        if arrival.expected_stream_us and traffic_class.token_objective_us:
            answer_tokens = arrival.expected_stream_us // traffic_class.token_objective_us
        else:
            answer_tokens = arrival.max_tokens // 2
        # Tokens of a decode server's memory that the stream will use.
        self.decode_tokens = arrival.prompt_tokens + max(1, answer_tokens)
        self.prefix_keys = {table_key("s", arrival.session): arrival.prompt_tokens}  # deepest first
        if arrival.prefix:
            self.prefix_keys[table_key("p", arrival.prefix)] = arrival.prefix_tokens
        self.server: ServerState | None = None  # where an attempt is in flight
        self.sent_us = 0
        self.silence_deadline_us = 0  # time at which its server counts as silent
        self.tokens_ahead = 0  # of its attempt and of those before it at its server
        self.attempts = 0
        self.answered_attempts_us = 0  # total time of the attempts that were answered
        # Later sends of the same kind to its server that were answered first
        self.overtaken_count = 0
        self.state_holder: ServerState | None = None  # the prefill server that holds its state
        self.state_confirmed_us = 0  # when an attempt last ended that had reached its server
        self.attempted_servers: set[str] = set()
        # The first attempt that may have run: its endpoint and when it was sent.
        self.first_possible_run: tuple[contract.Endpoint, int] | None = None

    def record_attempt(
        self, server: ServerState, tokens: int, now_us: int, silence_deadline_us: int
    ) -> None:
        """Record an attempt of ``tokens`` tokens that is sent to ``server`` now."""
        self.server = server
        self.sent_us = now_us
        self.silence_deadline_us = silence_deadline_us
        self.attempts += 1
        self.overtaken_count = 0
        self.tokens_ahead = PREFILL_OVERHEAD_TOKENS + tokens + sum(server.pending_tokens.values())

    def record_possible_run(self, server: ServerState, status: AttemptStatus) -> None:
        """Record the attempt that has ended, if it is the first that may have run."""
        if server.role is not Role.PREFILL and status.may_have_run and not self.first_possible_run:
            self.first_possible_run = (server.endpoint, self.sent_us)
