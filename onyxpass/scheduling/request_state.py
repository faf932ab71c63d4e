"""What one router knows of one request, from its arrival to the start of its answer.

The router that made a ``RequestState`` owns it and is the only one to change it.
"""

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus, Role
from onyxpass.scheduling.server_state import PREFILL_OVERHEAD_TOKENS, ServerState


class RequestState:
    """A request that waits or has an attempt in flight; times in microseconds."""

    __slots__ = (
        "answered_attempts_us",
        "arrival",
        "arrived_us",
        "attempted_servers",
        "attempts",
        "decode_tokens",
        "latency_objective_us",
        "may_have_run",
        "overtaken",
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
        # What its stream will use of a decode server's memory.
        self.decode_tokens = arrival.prompt_tokens + max(1, answer_tokens)
        self.prefix_keys = {f"s|{arrival.session}": arrival.prompt_tokens}  # deepest first
        if arrival.prefix:
            self.prefix_keys[f"p|{arrival.prefix}"] = arrival.prefix_tokens
        self.server: ServerState | None = None  # where an attempt is in flight
        self.sent_us = 0
        self.silence_deadline_us = 0  # from when on its server counts as silent
        self.tokens_ahead = 0  # of its attempt, with those that its server had before it
        self.attempts = 0
        self.answered_attempts_us = 0  # time in attempts that were answered
        self.overtaken = 0  # later sends of the same sort to its server that were answered first
        self.state_holder: ServerState | None = None  # the prefill server that holds its state
        self.state_confirmed_us = 0  # when the holder was last seen to have it
        self.attempted_servers: set[str] = set()
        # The first attempt that may have run: where it was sent, and when.
        self.may_have_run: tuple[contract.Endpoint, int] | None = None

    def record_attempt(
        self, server: ServerState, tokens: int, now_us: int, silence_deadline_us: int
    ) -> None:
        """Note an attempt of so many tokens that is sent to ``server`` now."""
        self.server = server
        self.sent_us = now_us
        self.silence_deadline_us = silence_deadline_us
        self.attempts += 1
        self.overtaken = 0
        self.tokens_ahead = PREFILL_OVERHEAD_TOKENS + tokens + sum(server.pending_tokens.values())

    def record_possible_run(self, server: ServerState, status: AttemptStatus) -> None:
        """Note the attempt that has ended, if it is the first that may have run."""
        if server.role is not Role.PREFILL and status.may_have_run and not self.may_have_run:
            self.may_have_run = (server.endpoint, self.sent_us)
