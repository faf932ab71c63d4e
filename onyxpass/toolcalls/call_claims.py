"""Claims on tool calls: which calls are made for the first time, also after the store lost its keys."""

import asyncio
import math
import secrets
import time
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
from onyxpass.store.front_registry import FrontRegistry
from onyxpass.store.redis import RedisStore, StoreUnavailableError
from onyxpass.toolcalls.call_journal import CallJournal

MAX_RESTORED_CLAIMS = 500  # written again with one round trip to the store
MAX_RESTORED_CHARACTERS = 512 * 1024  # of their records
MAX_JOIN_ATTEMPTS = 4  # while other fronts begin generations at the same time
OPEN_POLL_US = 20_000  # between two looks whether claims count again
# beyond the recovery period, until a call that waits for it is given up
OPEN_MARGIN_US = 2 * HEARTBEAT_INTERVAL_US
REGISTRATION_S = 3_600  # for which a front registers its later claims in advance
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
        front_name: str = "",
    ) -> None:
        """``front`` names this process among all that share the store.

        ``front_name`` is the name by which operators know it; by default it is the same.
        """
        self.store, self.journal, self.front = store, journal, front
        self.wheel, self.generation = wheel, generation
        self._front_name = front_name or front
        self._fronts = FrontRegistry.from_text(journal.fronts)
        # until when claims of this front are to be registered (Unix time, s), and are in the store
        self._claims_until_s = math.ceil(journal.latest_expiry_s())
        self._registered_until_s = 0
        self._logged_missing_fronts: tuple[str, ...] = ()
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
        is_new_request: bool = False,
    ) -> dict[str, Any] | None:
        """Claim a call by all of its keys; None if it is made for the first time, else its record.

        The first key that was claimed before decides, and its record is stored under the keys before
        it. A claim with the same ``token`` is the call's own. A call that may be repeated does not
        wait for a recovery period, nor does one of a request that this front has named itself, of
        which no other front can know. Raises ``StoreUnavailableError`` if it can't be told whether the
        call was made before, and ``CallNotWantedError``.
        """
        for position, key in enumerate(keys):
            found = await self._claim_key(
                key,
                record,
                ttl_s,
                token=token,
                idempotent=idempotent,
                is_wanted=is_wanted,
                is_new_request=is_new_request,
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
        is_new_request: bool = False,
    ) -> dict[str, Any] | None:
        record = {**record, CLAIM_TOKEN_KEY: token}
        due_us = self.wheel.clock.now_us() + self.generation.recovery_period_us + OPEN_MARGIN_US
        while True:
            if (known := self.journal.get(key)) is not None:
                return known
            if not idempotent:
                if not is_new_request:
                    await self._wait_until_open(due_us, is_wanted)
                await self.register(ttl_s)
            is_first, reading = await self.store.claim_call(key, record, ttl_s, self.front)
            if not idempotent and not self._proves_first_call(reading, is_new_request):
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

    def _proves_first_call(self, reading: StoreReading, is_new_request: bool) -> bool:
        """Return whether a claim with this reading counts.

        The front may have noticed a loss, and joined a new generation, while the claim was made.
        """
        is_open = self.generation.is_open or is_new_request
        return is_open and self.generation.compare(reading) is StoreChange.NONE

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
                missing = ", ".join(self.generation.missing_fronts) or "none"
                raise StoreUnavailableError(
                    f"the store has lost its records: fronts are recovering (missing: {missing})"
                )
            await self.wheel.sleep(OPEN_POLL_US)

    @property
    def is_registered(self) -> bool:
        """Whether the store's registry of fronts has this one, as far as it has looked."""
        return self._registered_until_s > time.time()

    async def register(self, ttl_s: int) -> None:
        """Let all fronts know of the claims of this one before it makes one that lasts ``ttl_s``.

        Raises ``StoreUnavailableError``.
        """
        needed_until_s = math.ceil(time.time()) + ttl_s
        if self._registered_until_s < needed_until_s:
            self._claims_until_s = needed_until_s + REGISTRATION_S
            await self._look()
        if self._registered_until_s < needed_until_s:
            raise StoreUnavailableError("other fronts can't be told of the claims of this one")

    async def _look(self) -> None:
        """Compare the store with what this front knows, and write its claims again after a loss."""
        async with self._looking:
            for _ in range(MAX_JOIN_ATTEMPTS):
                read_from_us = self.wheel.clock.now_us()
                reading = await self.store.read_claims(self.front)
                change = self.generation.compare(reading)
                if change is StoreChange.NONE:
                    missing_fronts = await self._synchronize_fronts(reading)
                    self.generation.confirm(reading, read_from_us, missing_fronts)
                    self._log_missing_fronts()
                    break
                self.generation.close()
                self._registered_until_s = 0
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

    async def _synchronize_fronts(self, reading: StoreReading) -> list[str]:
        """Merge the registry of fronts with the store's; return the fronts whose claims miss."""
        assert reading.generation is not None
        now_s = time.time()
        stored = FrontRegistry.from_text(reading.fronts)
        self._fronts.merge(stored)
        journal_id = self.journal.journal_id
        if self._claims_until_s > now_s or journal_id in self._fronts.entries:
            self._fronts.register(
                journal_id, self._front_name, reading.generation, self._claims_until_s
            )
        self._fronts.drop_expired(now_s)
        if self._fronts.entries != stored.entries:
            await self.store.write_fronts(self._fronts.to_text(), self._fronts.remaining_s(now_s))
        self.journal.save_fronts(self._fronts.to_text())
        self._registered_until_s = self._claims_until_s
        return self._fronts.missing_fronts(reading.generation)

    def _log_missing_fronts(self) -> None:
        missing_fronts = self.generation.missing_fronts
        if missing_fronts and missing_fronts != self._logged_missing_fronts:
            log.warning("claims_wait_for_fronts", fronts=list(missing_fronts))
        self._logged_missing_fronts = missing_fronts

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
