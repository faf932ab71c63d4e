"""Claims on tool calls: which calls are made for the first time, also after the store lost its keys."""

import asyncio
import secrets
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import structlog

from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.store.claim_generation import (
    HEARTBEAT_INTERVAL_US,
    StoreChange,
    StoreGeneration,
    StoreReading,
)
from onyxpass.store.redis import RedisStore, StoreUnavailableError
from onyxpass.toolcalls.call_journal import CallJournal

MAX_RESTORED_CLAIMS = 500  # written again with one round trip to the store
MAX_RESTORED_CHARACTERS = 512 * 1024  # of their records
MAX_JOIN_ATTEMPTS = 4  # while other fronts begin generations at the same time
OPEN_POLL_US = 20_000  # between two looks whether claims count again
# beyond the recovery period, until a call that waits for it is given up
OPEN_MARGIN_US = 2 * HEARTBEAT_INTERVAL_US
CLAIM_TOKEN_KEY = "claim"  # of a record: which claim has written it
log = structlog.get_logger("tools")


class CallNotWantedError(Exception):
    """The stream that made a call ended while the call waited to be claimed."""


class CallClaims:
    """The claims of one front; ``run`` must be running for them to count."""

    def __init__(
        self,
        store: RedisStore,
        journal: CallJournal,
        front: str,
        wheel: TimerWheel,
        generation: StoreGeneration,
    ) -> None:
        """``front`` names this process among all that share the store."""
        self.store, self.journal, self.front = store, journal, front
        self.wheel, self.generation = wheel, generation
        self._store_error = ""  # of the last look at the store; empty: it answered
        self._looking = asyncio.Lock()
        self._stopping = False

    def stop(self) -> None:
        """Let ``run`` and the claims that wait end at their next step.

        To be called before their tasks are cancelled: the store's client may lose a cancellation.
        """
        self._stopping = True

    async def run(self) -> None:
        """Look at the store at each heartbeat, until cancelled or stopped."""
        while not self._stopping:
            try:
                await self._look()
            except StoreUnavailableError as error:
                if not self._store_error:
                    log.warning("store_unavailable", why=str(error))
                self._store_error = str(error)
            if not self._stopping:
                now_us = self.wheel.clock.now_us()
                await self.wheel.sleep(self.generation.next_look_us(now_us))

    async def claim(
        self,
        keys: Sequence[str],
        record: Mapping[str, Any],
        ttl_s: int,
        *,
        token: str,
        idempotent: bool,
        is_wanted: Callable[[], bool],
    ) -> dict[str, Any] | None:
        """Claim a call by all of its keys; None if it is made for the first time, else its record.

        The first key that was claimed before decides, and its record is stored under the keys before
        it. A claim with the same ``token`` is the call's own. A call that may be repeated does not
        wait for a recovery period. Raises ``StoreUnavailableError`` if it can't be told whether the
        call was made before, and ``CallNotWantedError``.
        """
        for position, key in enumerate(keys):
            found = await self._claim_key(
                key, record, ttl_s, token=token, idempotent=idempotent, is_wanted=is_wanted
            )
            if found is not None:
                for earlier_key in keys[:position]:
                    self.journal.put(earlier_key, found, ttl_s)
                    await self.store.record_call(earlier_key, found, ttl_s)
                return found
        return None

    async def _claim_key(
        self,
        key: str,
        record: Mapping[str, Any],
        ttl_s: int,
        *,
        token: str,
        idempotent: bool,
        is_wanted: Callable[[], bool],
    ) -> dict[str, Any] | None:
        record = {**record, CLAIM_TOKEN_KEY: token}
        due_us = self.wheel.clock.now_us() + self.generation.recovery_period_us + OPEN_MARGIN_US
        while True:
            if (known := self.journal.get(key)) is not None:
                return known
            if not idempotent:
                await self._wait_until_open(due_us, is_wanted)
            is_first, reading = await self.store.claim_call(key, record, ttl_s, self.front)
            if not idempotent and not self._proves_first_call(reading):
                await self._look()
                continue
            if not is_first:
                found = await self.store.recorded_call(key)
                if found is None:
                    raise StoreUnavailableError("the claim on the call is gone")
                if found.get(CLAIM_TOKEN_KEY) != token:
                    return found
            self.journal.put(key, record, ttl_s)
            return None

    def _proves_first_call(self, reading: StoreReading) -> bool:
        """Return whether a claim with this reading counts.

        The front may have noticed a loss, and joined a new generation, while the claim was made.
        """
        return self.generation.is_open and self.generation.compare(reading) is StoreChange.NONE

    async def _wait_until_open(self, due_us: int, is_wanted: Callable[[], bool]) -> None:
        """Wait for the end of a recovery period.

        Raises ``StoreUnavailableError`` if the store does not answer or the period does not end in
        time, and ``CallNotWantedError``.
        """
        while not self.generation.is_open:
            if self._store_error:
                raise StoreUnavailableError(self._store_error)
            if self._stopping or not is_wanted():
                raise CallNotWantedError
            if self.wheel.clock.now_us() >= due_us:
                raise StoreUnavailableError("the store has lost its records: fronts are recovering")
            await self.wheel.sleep(OPEN_POLL_US)

    async def _look(self) -> None:
        """Compare the store with what this front knows, and write its claims again after a loss."""
        async with self._looking:
            for _ in range(MAX_JOIN_ATTEMPTS):
                read_from_us = self.wheel.clock.now_us()
                reading = await self.store.read_claims(self.front)
                change = self.generation.compare(reading)
                if change is StoreChange.NONE:
                    self.generation.confirm(reading, read_from_us)
                    break
                self.generation.close()
                if change is StoreChange.REPLACED and reading.generation is not None:
                    await self._join(reading.generation, reading.heartbeat or 0)
                else:
                    log.warning("store_lost_claims", change=change.value, claims=len(self.journal))
                    await self.store.begin_claims(
                        secrets.token_hex(8), replace=change is StoreChange.RESTORED
                    )
            heartbeat = self.generation.heartbeat + 1
            await self.store.write_heartbeat(self.front, heartbeat)
            self.generation.heartbeat = heartbeat
            self._store_error = ""

    async def _join(self, generation: str, heartbeat: int) -> None:
        """Write all claims of this front to the store, and take part in its generation."""
        noticed_us = self.wheel.clock.now_us()
        for batch in self._reclaim_batches():
            await self.store.restore_calls(batch, self.front, self._reclaim_mark_ttl_ms)
        self.generation.join(generation, heartbeat, noticed_us)
        log.info("claims_generation_joined", generation=generation, claims=len(self.journal))

    @property
    def _reclaim_mark_ttl_ms(self) -> int:
        """Time for which the reclaim mark outlasts a batch, so that one failed batch is repeated.

        A batch and the two commands after the pause may each take until their time-out.
        """
        return self.generation.look_interval_us // 1000 + 3 * self.store.timeout_ms

    def _reclaim_batches(self) -> Iterator[list[tuple[str, str, int]]]:
        """Yield key, record and remaining TTL in s of each claim, bounded in number and length."""
        batch: list[tuple[str, str, int]] = []
        characters = 0
        for key, entry in self.journal.newest_first():
            batch.append((key, entry.record, entry.remaining_s))
            characters += len(entry.record)
            if len(batch) >= MAX_RESTORED_CLAIMS or characters >= MAX_RESTORED_CHARACTERS:
                yield batch
                batch, characters = [], 0
        if batch:
            yield batch
