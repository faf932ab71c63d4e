"""Settings and endpoints of a small fleet, and a driver that feeds events to one router."""

from collections.abc import Sequence
from dataclasses import replace

from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router

MS = 1_000
S = 1_000_000
CLASSES = (
    contract.TrafficClass(
        "light", 1_500 * MS, 6 * S, priority_weight=1.0, late_weight=0.1, token_objective_us=60_000
    ),
    contract.TrafficClass(
        "heavy", 3 * S, 15 * S, priority_weight=2.0, late_weight=0.1, token_objective_us=80_000
    ),
    contract.TrafficClass(
        "keyed",
        2 * S,
        8 * S,
        1.0,
        0.0,
        contract.Idempotency.KEYED,
        contract.DeduplicationScope.ZONE,
        5 * S,
    ),
    contract.TrafficClass("once", 2 * S, 8 * S, 1.0, 0.0, contract.Idempotency.NONE),
)
KINDS = (
    contract.ServerKind("r", contract.Role.PREFILL, 200_000),
    contract.ServerKind("w", contract.Role.DECODE, 150_000),
    contract.ServerKind("m", contract.Role.MIXED, 150_000),
)
SETTINGS = contract.Settings(
    classes=CLASSES, kinds=KINDS, zone="z0", routers=2, retry_after_supported=True
)


def make_endpoints(
    prefill_servers: int = 4, decode_servers: int = 4, mixed_servers: int = 0
) -> tuple[contract.Endpoint, ...]:
    """Return endpoints of each kind, alternately in two zones and two cells."""
    endpoints = []
    for kind, count in (("r", prefill_servers), ("w", decode_servers), ("m", mixed_servers)):
        for i in range(count):
            endpoints.append(
                contract.Endpoint(id=f"{kind}{i}", kind=kind, zone=f"z{i % 2}", cell=i % 2)
            )
    return tuple(endpoints)


class RouterDriver:
    """Delivers events to one router and records its actions.

    ``sent`` maps each request to the servers of its attempts, ``answers`` to its final answers,
    which are rejections and failures, and ``last_actions`` holds the actions of the last event.
    """

    def __init__(self, servers: Sequence[contract.Endpoint] = (), **settings: object) -> None:
        self.settings = replace(SETTINGS, **settings)  # type: ignore[arg-type]
        self.router = Router(self.settings, 7)
        self.now = 1_000 * S
        self.sent: dict[int, list[str]] = {}
        self.answers: dict[int, list[contract.Action]] = {}
        self.last_actions: list[contract.Action] = []
        self.deliver(
            contract.EndpointUpdate(
                contract.EndpointUpdateForm.PERSISTED, tuple(servers or make_endpoints())
            )
        )

    def deliver(self, event: contract.Event, after_us: int = 0) -> list[contract.Action]:
        """Advance the time, let the router handle the event, and return its actions."""
        self.now += after_us
        self.last_actions = self.router.handle(self.now, event)
        for action in self.last_actions:
            if isinstance(action, contract.SendAttempt):
                self.sent.setdefault(action.id, []).append(action.server)
            elif isinstance(action, contract.Reject | contract.Fail):
                self.answers.setdefault(action.id, []).append(action)
        return self.last_actions

    def submit(
        self, number: int, session: str = "s", prefix: str | None = "p", **overrides: object
    ) -> str | None:
        """Submit a request and return the server it was sent to, if any."""
        fields: dict[str, object] = {
            "traffic_class": "light",
            "deadline_us": self.now + 5 * S,
            "prompt_tokens": 3_000,
            "prefix_tokens": 2_000,
            "max_tokens": 300,
        }
        fields.update(overrides)
        self.deliver(contract.Arrival(id=number, session=session, prefix=prefix, **fields))  # type: ignore[arg-type]
        return self.sent.get(number, [None])[-1]

    def deliver_outcome(
        self, number: int, status: contract.AttemptStatus, after_us: int = 50 * MS, **fields: object
    ) -> list[contract.Action]:
        """Deliver the outcome of the last attempt of a request, and return the actions."""
        sends = self.sent[number]
        event = contract.AttemptOutcome(
            number, len(sends) - 1, sends[-1], status, after_us, **fields
        )  # type: ignore[arg-type]
        return self.deliver(event, after_us)

    def complete_request(
        self, number: int, session: str = "s", prefix: str | None = "p", **overrides: object
    ) -> str:
        """Submit a request that completes, and return its prefill server."""
        prefill_server = self.submit(number, session, prefix, **overrides)
        assert prefill_server is not None
        self.deliver_outcome(number, contract.AttemptStatus.PREFILLED, note=1_000)
        decode_server = self.sent[number][-1]
        self.deliver(contract.StreamStarted(number, 1, decode_server, 30 * MS), 30 * MS)
        self.deliver_outcome(number, contract.AttemptStatus.COMPLETED, final=True)
        return prefill_server

    def tick(self, times: int = 1) -> None:
        """Deliver timer events, 25 ms apart."""
        for _ in range(times):
            self.deliver(contract.TimerFired(0), 25 * MS)
