"""A small seeded model of servers and clients that drives the simulator adapter through its pipe.

The model uses only the adapter's protocol, not the code behind it. Every reply line goes into a
digest, so two builds have the same digest for a seed if and only if they replied with the same
bytes.
"""

import hashlib
import heapq
import json
import random
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

SECOND_US = 1_000_000
MILLISECOND_US = 1_000
REPORT_FIELDS = ("x0", "x1", "concurrent", "depth", "mean_ms")
FAULTS = ("error", "full", "full_without_state", "reset", "reset_without_state", "silence", "moot")
ROUTER_COUNTS = (1, 8, 40)
REPORT_MODES = ("inline", "on_probe", "off")
CLASSES: tuple[dict[str, Any], ...] = (
    {
        "name": "lookup",
        "promiseUs": 900_000,
        "deadlineUs": 4_000_000,
        "value": 1.0,
        "lateWorth": 0.2,
    },
    {"name": "summary", "promiseUs": 1_500_000, "deadlineUs": 6_000_000, "value": 3.0},
    {"name": "booking", "promiseUs": 1_200_000, "deadlineUs": 5_000_000, "value": 2.0},
)
IDEMPOTENCY_SETTINGS: tuple[dict[str, Any], ...] = (
    {"repeat": "read_like", "group": "all"},
    {"repeat": "idempotency_key", "group": "all", "windowUs": 2_000_000},
    {"repeat": "idempotency_key", "group": "zone", "windowUs": 2_000_000},
    {"repeat": "idempotency_key", "group": "cell", "windowUs": 400_000},
    {"repeat": "non_idempotent", "group": "cell"},
)


@dataclass
class ModelServer:
    """One server: its place and kind, its faults, and the work in progress."""

    name: str
    kind: str
    zone: str
    cell: int
    fault_rate: float
    slowness: float
    started_us: int | None = None
    condition: str = "up"
    weight: float = 1.0
    silent_until_us: int = 0
    busy_until_us: int = 0
    tokens: int = 0
    running: int = 0

    def row(self) -> list[Any]:
        """Return the server as an entry of the list in the adapter's protocol."""
        return [
            self.zone,
            self.kind,
            self.started_us,
            self.cell,
            self.condition,
            self.name,
            self.weight,
        ]


@dataclass
class ModelRequest:
    """A client's request at one router; ``in_flight`` maps attempts to server names."""

    number: int
    router: int
    traffic_class: str
    prompt_tokens: int
    answer_tokens: int
    attempts: int = 0
    finished: bool = False
    is_prefilled: bool = False
    in_flight: dict[int, str] = field(default_factory=dict)


@dataclass(frozen=True)
class RunResult:
    """The digest of all replies to one seed, and the number of actions by name."""

    digest: str
    actions: dict[str, int]


class Simulation:
    """Runs one seed against an adapter process, whose actions cause later events."""

    def __init__(
        self, seed: int, command: Sequence[str], root: Path, duration_us: int = 4 * SECOND_US
    ) -> None:
        self._random = random.Random(f"server-model-{seed}")
        self._seed = seed
        self._routers = ROUTER_COUNTS[seed % len(ROUTER_COUNTS)]
        self._report_mode = REPORT_MODES[seed // 3 % len(REPORT_MODES)]
        self._subscribes = seed % 2 == 0
        self._duration_us = duration_us
        self._queue: list[tuple[int, int, list[Any]]] = []
        self._order = 0
        self._now_us = SECOND_US
        self._list_version = 0
        self._known_conditions: dict[str, tuple[str, int | None, float]] = {}
        self._requests: dict[tuple[int, int], ModelRequest] = {}
        self._servers = {server.name: server for server in self._make_servers()}
        self._actions: dict[str, int] = {}
        self._digest = hashlib.sha256()
        self._batches = 0
        self._process = subprocess.Popen(
            list(command), cwd=root, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def run(self) -> RunResult:
        """Run the whole simulation and return its result."""
        try:
            self._start_routers()
            end_us = self._now_us + self._duration_us
            while self._queue and self._queue[0][0] <= end_us:
                self._step()
        finally:
            assert self._process.stdin is not None
            self._process.stdin.close()
            code = self._process.wait(timeout=30)
        assert code == 0, f"the adapter exited with code {code}"
        return RunResult(self._digest.hexdigest(), dict(sorted(self._actions.items())))

    def _make_servers(self) -> list[ModelServer]:
        servers = []
        mixed = self._seed % 2 == 1
        fewest, most = (8, 12) if self._routers == max(ROUTER_COUNTS) else (3, 6)
        readers = self._random.randint(fewest, most)
        writers = self._random.randint(fewest, most)
        counts = {"r": readers, "w": writers, "m": 3 if mixed else 0}
        for kind, count in counts.items():
            for i in range(count):
                servers.append(
                    ModelServer(
                        name=f"{kind}{i}",
                        kind=kind,
                        zone=f"z{i % 2}",
                        cell=i % 3,
                        fault_rate=self._random.choice((0.0, 0.0, 0.02, 0.3)),
                        slowness=self._random.choice((1.0, 1.0, 1.1, 5.0)),
                        started_us=self._random.choice((None, None, SECOND_US // 2)),
                        weight=self._random.choice((1, 1, 0.5, 0.15, None)),
                    )
                )
        return servers

    def _settings(self, router: int) -> dict[str, Any]:
        classes = [
            {**c, **IDEMPOTENCY_SETTINGS[(self._seed + i) % len(IDEMPOTENCY_SETTINGS)]}
            for i, c in enumerate(CLASSES)
        ]
        return {
            "az": f"z{router % 2}",
            "ordinal": router,
            "peersTotal": self._routers,
            "grades": classes,
            "accounts": [{"name": "small", "quotaPerS": 4.0}, {"name": "free", "quotaPerS": 0.0}],
            "overShareWorth": 0.3,
            "hostTypes": ["r", "w", "m"],
            "extra": {
                "roleByKind": ["read", "write", "both"],
                "tokensByKind": [60_000, 40_000, 50_000],
                "aimUsPer1000PromptTokens": [20_000, 50_000, 0],
                "tokenAimUs": [60_000, 70_000, 80_000],
                "selfPrefill": self._seed % 5 == 0,
                "releaseWithinUs": 300_000,
            },
            "limits": {
                "maxAttempts": 3 + self._seed % 4,
                "cancelling": self._seed % 7 != 6,
                "mayProbe": self._report_mode == "on_probe" or self._seed % 4 == 1,
                "retryAfter": self._seed % 3 == 0,
                "maxRetryAfterUs": 800_000,
            },
            "rules": {
                "coldFrom": 0.3,
                "coldUs": 3_000_000,
                "tipMultiple": 3.0,
                "fallUs": 1_000_000,
            },
            "prices": {"probe": 0.002},
            "stats": {"fields": list(REPORT_FIELDS), "how": self._report_mode},
            "membershipMode": "subscribe" if self._subscribes else "push",
            "tickUs": 1_000,
        }

    def _start_routers(self) -> None:
        self._exchange([])
        events: list[list[Any]] = [self._list_event()]
        for router in range(self._routers):
            events.append(["begin", router, 100 + router, self._settings(router)])
            events.append(["rosterChange", router, "Persisted", 1, self._list_version])
        self._exchange(events)
        for router in range(self._routers):
            self._schedule(self._random.randint(0, 200_000), ["arrive", router, 0])
        for _ in range(8):
            self._schedule(self._random.randint(300_000, self._duration_us), ["change"])

    def _schedule(self, delay_us: int, event: list[Any]) -> None:
        self._order += 1
        due_us = (
            self._now_us + max(0, delay_us)
        ) // MILLISECOND_US * MILLISECOND_US + MILLISECOND_US
        heapq.heappush(self._queue, (due_us, self._order, event))

    def _step(self) -> None:
        self._now_us = self._queue[0][0]
        events: list[list[Any]] = []
        while self._queue and self._queue[0][0] == self._now_us:
            events += self._process_event(heapq.heappop(self._queue)[2])
        if events:
            self._exchange(events)

    def _exchange(self, events: list[list[Any]]) -> None:
        self._batches += 1
        message = {"wallUs": self._now_us, "batch": self._batches, "happened": events}
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write(json.dumps(message) + "\n")
        self._process.stdin.flush()
        reply = self._process.stdout.readline()
        assert reply, "the adapter closed its output before the end of the run"
        self._digest.update(reply.encode())
        for action in json.loads(reply)["outbox"]:
            self._actions[action[0]] = self._actions.get(action[0], 0) + 1
            self._apply_action(action)

    # Events that are due: each of these methods returns the events to send to the adapter.

    def _process_event(self, event: list[Any]) -> list[list[Any]]:
        match event:
            case ["arrive", router, count]:
                return self._arrive(router, count)
            case ["leave", router, number]:
                return self._leave(router, number)
            case ["change"]:
                return self._change_servers()
            case ["first", router, number, attempt, *_]:
                return (
                    [self._first_token(event)]
                    if self._is_in_flight(router, number, attempt)
                    else []
                )
            case ["end", router, number, attempt, *_]:
                return [self._end(event)] if self._is_in_flight(router, number, attempt) else []
            case _:
                return [event]

    def _arrive(self, router: int, count: int) -> list[list[Any]]:
        rate_per_s = 200 / self._routers
        burst = 2.5 if self._seed % 2 and 1.5 * SECOND_US < self._now_us < 3 * SECOND_US else 1.0
        self._schedule(
            round(self._random.expovariate(rate_per_s * burst) * SECOND_US),
            ["arrive", router, count + 1],
        )
        number = router * 100_000 + count
        traffic_class = self._random.choice([c["name"] for c in CLASSES])
        prompt = self._random.choice((300, 900, 2_500, 6_000))
        request = ModelRequest(number, router, traffic_class, prompt, self._random.randint(20, 300))
        self._requests[router, number] = request
        deadline_us = next(c["deadlineUs"] for c in CLASSES if c["name"] == traffic_class)
        prefix = self._random.choice(
            (None, "p0", "p0", "p0", "p1", f"p{self._random.randint(2, 30)}")
        )
        if self._random.random() < 0.05:
            self._schedule(self._random.randint(10_000, 700_000), ["leave", router, number])
        return [
            [
                "knock",
                router,
                number,
                "unknown" if self._random.random() < 0.01 else traffic_class,
                self._random.choice((None, "small", "free")),
                f"s{self._random.randint(0, 40)}",
                self._now_us + deadline_us,
                self._random.choice((None, 2_000_000)),
                prefix,
                prompt,
                prompt // 2 if prefix else 0,
                300,
                self._random.random() < 0.1,
                False,
            ]
        ]

    def _leave(self, router: int, number: int) -> list[list[Any]]:
        request = self._requests[router, number]
        if request.finished:
            return []
        request.finished = True
        return [["withdrawn", router, number]]

    def _change_servers(self) -> list[list[Any]]:
        """Change a random server: drain, remove, restart, silence or reweight it, or fail the list.

        Routers get the change in one of the forms of a list update, except for a silent server.
        """
        server = self._random.choice([self._servers[name] for name in sorted(self._servers)])
        change = self._random.choice(
            ("drain", "remove", "restart", "silence", "lose_list", "weight")
        )
        forms = ["Complete", "Partial"]
        if change == "silence":
            server.silent_until_us = self._now_us + 900_000
            return []
        if change == "lose_list":
            return [["rosterChange", router, "Error", 0, None] for router in range(self._routers)]
        if change == "weight":
            server.weight = self._random.choice((0.1, 1, 2))
        elif change == "restart":
            server.started_us = self._now_us
            server.condition = "up"
            server.tokens = 0
            server.running = 0
        else:
            server.condition = "draining" if change == "drain" else "removed"
            self._schedule(900_000, ["change"])
        form = self._random.choice(forms)
        listed = [server] if form == "Partial" else list(self._servers.values())
        event = self._list_event(
            [s for s in listed if form == "Partial" or s.condition != "removed"]
        )
        changes = [
            ["rosterChange", router, form, self._list_version, self._list_version]
            for router in range(self._routers)
        ]
        return [event, *changes]

    def _list_event(self, servers: Sequence[ModelServer] | None = None) -> list[Any]:
        self._list_version += 1
        listed = list(self._servers.values()) if servers is None else servers
        return ["list", self._list_version, [server.row() for server in listed]]

    def _is_in_flight(self, router: int, number: int, attempt: int) -> bool:
        return attempt in self._requests[router, number].in_flight

    def _first_token(self, event: list[Any]) -> list[Any]:
        _, router, number, attempt, sent_us, server, stream_us = event
        self._schedule(stream_us, ["end", router, number, attempt, sent_us, "ok", 0])
        self._requests[router, number].finished = True
        return ["underWay", router, number, attempt, self._now_us - sent_us, server]

    def _end(self, event: list[Any]) -> list[Any]:
        _, router, number, attempt, sent_us, status, note = event
        request = self._requests[router, number]
        server = self._servers[request.in_flight.pop(attempt)]
        server.running = max(0, server.running - 1)
        server.tokens = max(0, server.tokens - request.prompt_tokens - request.answer_tokens)
        if status == "READ":
            request.is_prefilled = True
        elif note == 1:
            request.is_prefilled = False
        final = status == "ok" or (status != "READ" and self._random.random() < 0.03)
        if final:
            request.finished = True
        elapsed_us = self._now_us - sent_us
        return [
            "completed",
            router,
            number,
            attempt,
            server.name,
            status,
            elapsed_us,
            final,
            note,
            self._report(server),
        ]

    def _report(self, server: ModelServer, probed: bool = False) -> list[Any] | None:
        if self._report_mode == "off" or (self._report_mode == "on_probe" and not probed):
            return None
        memory = 40_000 if server.kind == "w" else 60_000
        noise = self._random.choice((0.97, 1.0, 1.03))
        share = round(server.tokens / memory * noise, 4)
        queue = round(max(0, server.busy_until_us - self._now_us) / 1e5, 3)
        flight = round(server.running * noise, 2) if self._seed % 3 else None
        return [share, queue, flight, len(server.name), 12.5]

    # Actions of the adapter.

    def _apply_action(self, action: list[Any]) -> None:
        name, router = action[0], action[1]
        if name == "transmit":
            self._transmit(router, *action[2:])
        elif name in ("overloadReply", "dropRequest"):
            self._requests[router, action[2]].finished = True
        elif name == "revoke":
            number, attempt = action[2], action[3]
            self._schedule(2_000, ["end", router, number, attempt, self._now_us, "cancelled", 0])
        elif name == "ping":
            server = self._servers[action[2]]
            is_healthy = self._now_us >= server.silent_until_us and server.condition != "removed"
            elapsed_us = 3_000 if is_healthy else 200_000
            status = "ok" if is_healthy else "timeout"
            report = self._report(server, True) if is_healthy else None
            self._schedule(
                elapsed_us, ["probeDone", router, server.name, status, elapsed_us, report]
            )
        elif name == "defer":
            self._schedule(action[3], ["wake", router, action[2]])
        elif name in ("pull", "watch"):
            self._schedule(20_000, ["rosterChange", router, "Complete", 1, 1])

    def _transmit(self, router: int, number: int, name: str, timeout_us: int) -> None:
        request = self._requests[router, number]
        server = self._servers[name]
        attempt = request.attempts
        request.attempts += 1
        request.in_flight[attempt] = name
        attempt_fields = [router, number, attempt, self._now_us]
        if server.condition == "removed":
            self._schedule(1_000, ["end", *attempt_fields, "connect_failed", 0])
            return
        if self._now_us < server.silent_until_us:
            self._schedule(timeout_us, ["end", *attempt_fields, "timeout", 0])
            return
        if self._random.random() < server.fault_rate:
            self._fail(attempt_fields, timeout_us)
            return
        server.running += 1
        server.tokens += request.prompt_tokens + request.answer_tokens
        needs_prefill = server.kind == "r" or not (request.is_prefilled or server.kind == "m")
        if server.kind == "r":
            self._prefill(attempt_fields, request, server, timeout_us)
        else:
            self._decode(attempt_fields, request, server, timeout_us, needs_prefill)

    def _fail(self, attempt_fields: list[Any], timeout_us: int) -> None:
        fault = self._random.choice(FAULTS)
        delay_us = self._random.randint(1_000, 150_000)
        if fault == "silence":
            self._schedule(
                timeout_us, ["end", *attempt_fields, "timeout", self._random.choice((0, 3))]
            )
        elif fault.endswith("_without_state"):
            self._schedule(
                delay_us, ["end", *attempt_fields, fault.removesuffix("_without_state"), 1]
            )
        elif fault == "reset":
            self._schedule(
                delay_us, ["end", *attempt_fields, fault, self._random.choice((0, 2, 3))]
            )
        else:
            self._schedule(delay_us, ["end", *attempt_fields, fault, 0])

    def _prefill(
        self, attempt_fields: list[Any], request: ModelRequest, server: ModelServer, timeout_us: int
    ) -> None:
        duration_us = round(request.prompt_tokens * 12 * server.slowness)
        server.busy_until_us = max(server.busy_until_us, self._now_us) + duration_us
        delay_us = server.busy_until_us - self._now_us
        if delay_us >= timeout_us:
            self._schedule(timeout_us, ["end", *attempt_fields, "timeout", 0])
        else:
            cached = self._random.choice((0, request.prompt_tokens // 2))
            self._schedule(delay_us, ["end", *attempt_fields, "READ", cached])

    def _decode(
        self,
        attempt_fields: list[Any],
        request: ModelRequest,
        server: ModelServer,
        timeout_us: int,
        needs_prefill: bool,
    ) -> None:
        router, number, attempt, sent_us = attempt_fields
        if server.tokens > 45_000:
            self._schedule(2_000, ["end", *attempt_fields, "full", 0])
            return
        first_us = round(
            20_000 * server.slowness + (request.prompt_tokens * 15 if needs_prefill else 0)
        )
        if first_us >= timeout_us:
            self._schedule(timeout_us, ["end", *attempt_fields, "timeout", 0])
            return
        stream_us = request.answer_tokens * round(2_000 * server.slowness)
        self._schedule(
            first_us, ["first", router, number, attempt, sent_us, server.name, stream_us]
        )
