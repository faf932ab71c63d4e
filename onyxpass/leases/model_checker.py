"""Model checker of the lease protocol: explores all states within given bounds.

The model executes the production code (``model_state``) under the faults and the timing that
contenders, store and network can cause (``model_steps``). In every state these properties hold:

- at most one holder may act (by the holders' own clocks, which are identical in the model);
- no token is granted to two holders;
- at the resource, effects of two tokens never overlap, an admitted token is never lower than the
  one before it, and two holders are never admitted in succession under the same token.
"""

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from onyxpass.leases.model_state import (
    START_MS,
    TTL_MS,
    CheckedSystem,
    ModelState,
    SearchBounds,
)
from onyxpass.leases.model_steps import LEASE_NAME, Step, StepGenerator
from onyxpass.leases.record import LeaseRecord

Predecessors = dict[Any, tuple[Any, str]]
"""Maps a state's key to its predecessor's key and the description of the step between."""


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result of a search.

    ``complete``: every state within the bounds was seen. ``violation``: the property that does not
    hold, empty if all do. ``path``: the steps that led to the violation.
    """

    states: int
    complete: bool
    violation: str = ""
    path: tuple[str, ...] = ()


class ModelChecker:
    """Searches the states of a system for one that violates a property."""

    def __init__(
        self, bounds: SearchBounds | None = None, system: CheckedSystem | None = None
    ) -> None:
        self.bounds = bounds or SearchBounds()
        self.system = system or CheckedSystem()
        self._generator = StepGenerator(self.bounds, self.system)

    def initial_state(self) -> ModelState:
        """Return the initial state: the store grants leases, and all contenders request one."""
        holders = tuple(
            self.system.holder(f"h{index}", TTL_MS) for index in range(self.bounds.contenders)
        )
        state = ModelState(
            now_ms=START_MS,
            record=LeaseRecord(token=3, holder="last", store_run_id="run0"),
            store_run=0,
            # A lease that was released long ago.
            snapshot=LeaseRecord(token=1, holder="before", store_run_id="run0"),
            holders=holders,
            fence=self.system.fence(),
        )
        state.fence.admit(LEASE_NAME, 3, "last")
        for index, holder in enumerate(state.holders):
            state.send_requests(index, holder.acquire(state.now_ms))
        return state

    def run(self) -> SearchResult:
        """Explore breadth first until a violation, the last state or ``max_states``."""
        initial = self.initial_state()
        predecessors: Predecessors = {initial.key(): (None, "")}
        queue = deque([initial])
        while queue:
            state = queue.popleft()
            key = state.key()
            for step, after in self._steps(state):
                key_after = after.key()
                if key_after in predecessors:
                    continue
                predecessors[key_after] = (key, step)
                if violation := find_violation(state, after):
                    path = _path_to(key_after, predecessors)
                    return SearchResult(len(predecessors), False, violation, path)
                if len(predecessors) >= self.bounds.max_states:
                    return SearchResult(len(predecessors), False)
                queue.append(after)
        return SearchResult(len(predecessors), True)

    def walk(self, seed: int, walks: int = 2_000, length: int = 60) -> SearchResult:
        """Follow random paths, for bounds too wide for a full search; a seed repeats them."""
        generator = random.Random(seed)
        states = 0
        for _ in range(walks):
            state = self.initial_state()
            path: list[str] = []
            for _ in range(length):
                steps = list(self._steps(state))
                if not steps:
                    break
                step, after = generator.choice(steps)
                path.append(step)
                states += 1
                if violation := find_violation(state, after):
                    return SearchResult(states, False, violation, tuple(path))
                state = after
        return SearchResult(states, False)

    def _steps(self, state: ModelState) -> Iterator[Step]:
        return self._generator.steps(state)


def find_violation(before: ModelState, after: ModelState) -> str:
    """Return which property the step to ``after`` violates; empty if all hold."""
    acting = [holder.name for holder in after.holders if holder.may_act(after.now_ms)]
    if len(acting) > 1:
        return f"{' and '.join(acting)} may act at once"
    if len(after.granted) > len({grant.token for grant in after.granted}):
        return f"one token was granted to two: {after.granted}"
    tokens = {command.token for command in after.running}
    holders = {command.holder for command in after.running}
    if len(tokens) > 1 or len(holders) > 1:
        return f"effects of {after.running} overlap at the resource"
    if after.last_admitted != before.last_admitted and before.last_admitted:
        last = before.last_admitted[0]
        command = after.last_admitted[0]
        if command.token < last.token or (
            command.token == last.token and command.holder != last.holder
        ):
            return (
                f"token {command.token} of {command.holder} was admitted"
                f" after {last.token} of {last.holder}"
            )
    return ""


def _path_to(key: Any, predecessors: Predecessors) -> tuple[str, ...]:
    steps: list[str] = []
    while key is not None:
        key, step = predecessors[key]
        steps.append(step)
    return tuple(reversed(steps[:-1]))
