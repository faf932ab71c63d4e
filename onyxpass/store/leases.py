"""Leases in Redis: each change reads, decides and writes in one transaction on one connection.

The store's run id is requested on that same connection. A store that restarts breaks its
connections, so what is written after the run id was read is written under that run id.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import structlog
from redis.asyncio import Redis
from redis.asyncio.client import Pipeline
from redis.exceptions import RedisError, WatchError

from onyxpass.leases.lease_client import LeaseUnansweredError, RequestSender
from onyxpass.leases.messages import AcquireRequest, LeaseReply, LeaseRequest, LeaseUnavailable
from onyxpass.leases.record import (
    MAX_NAME_LENGTH,
    CorruptRecordError,
    LeaseRecord,
    parse_record,
)
from onyxpass.leases.transitions import MAX_TTL_MS, Transition, apply_request
from onyxpass.store.redis import StoreUnavailableError, create_client

LEASE_KEY_PREFIX = "onyxpass:lease:"
MAX_TRANSACTION_ATTEMPTS = 8
TRANSACTION_RETRY_STEP_S = 0.002  # the delay before a retry grows by this at each attempt
DEFAULT_TIMEOUT_MS = 300
TIMEOUTS_PER_REQUEST = 4  # a request's deadline, in timeouts of one command

Result = TypeVar("Result")
log = structlog.get_logger("leases")


class LeaseStore:
    """Executes lease requests in Redis. It owns its connections, until ``close``.

    ``commands`` counts the commands sent, for measurements.
    """

    def __init__(
        self,
        url: str,
        max_ttl_ms: int = MAX_TTL_MS,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
        apply_request: Callable[..., Transition] = apply_request,
    ) -> None:
        self.max_ttl_ms = max_ttl_ms
        self.commands = 0
        self._apply_request = apply_request
        self._redis: Redis = create_client(url, timeout_ms)
        self._request_timeout_s = TIMEOUTS_PER_REQUEST * timeout_ms / 1000
        self._reported_corrupt: set[str] = set()

    async def close(self) -> None:
        """Close all connections."""
        await self._redis.aclose()

    async def execute(self, name: str, request: LeaseRequest) -> LeaseReply:
        """Execute a request on the lease of this name.

        Raises ``StoreUnavailableError`` if it is not known whether the request took effect, or if
        the record can't be used.
        """
        return await self._within_timeout(self._execute(name, request))

    def request_sender(self, name: str) -> RequestSender:
        """Return the function with which a ``LeaseClient`` of this lease sends its requests."""

        async def send(request: LeaseRequest) -> LeaseReply:
            try:
                return await self.execute(name, request)
            except StoreUnavailableError as error:
                raise LeaseUnansweredError(str(error)) from error

        return send

    async def _within_timeout(self, work: Awaitable[Result]) -> Result:
        try:
            async with asyncio.timeout(self._request_timeout_s):
                return await work
        except CorruptRecordError as error:
            raise StoreUnavailableError(f"the lease's record is unusable: {error}") from error
        except (RedisError, OSError, TimeoutError, ValueError) as error:
            raise StoreUnavailableError(f"{type(error).__name__}: {error}") from error

    async def _execute(self, name: str, request: LeaseRequest) -> LeaseReply:
        if isinstance(request, AcquireRequest):
            reply = await self._read_only_reply(name, request)
            if reply is not None:
                return reply
        async with self._redis.pipeline(transaction=True) as pipe:
            for attempt in range(MAX_TRANSACTION_ATTEMPTS):
                try:
                    return await self._transaction(pipe, name, request)
                except WatchError as error:
                    _raise_if_reply_lost(error)
                    await asyncio.sleep(TRANSACTION_RETRY_STEP_S * attempt)
        raise StoreUnavailableError("other clients changed the lease during each attempt")

    async def _read_only_reply(self, name: str, request: AcquireRequest) -> LeaseUnavailable | None:
        """Return the reply to a waiter if nothing has to be written, otherwise None.

        Prevents many waiters from watching one key. The run id is not requested, because a restart
        of the store matters only to a grant.
        """
        record, now_ms = await self._read_with_time(name)
        if record is None:
            return None
        reply, written = self._apply_request(
            record, request, record.store_run_id, now_ms, self.max_ttl_ms
        )
        return reply if written is None and isinstance(reply, LeaseUnavailable) else None

    async def _read_with_time(self, name: str) -> tuple[LeaseRecord | None, int]:
        """Return the record, and the store's time in milliseconds."""
        async with self._redis.pipeline(transaction=False) as pipe:
            pipe.get(LEASE_KEY_PREFIX + name)
            pipe.time()
            self.commands += 2
            text, time = await pipe.execute()
        return self._parse(name, text), milliseconds_of(time)

    async def _transaction(self, pipe: Pipeline, name: str, request: LeaseRequest) -> LeaseReply:
        """Read, decide and write once; WatchError if the record was changed meanwhile."""
        key = LEASE_KEY_PREFIX + name
        await pipe.watch(key)
        store_run_id = run_id_of(await pipe.info("server"))
        now_ms = milliseconds_of(await pipe.time())
        record = self._parse(name, await pipe.get(key))
        reply, written = self._apply_request(record, request, store_run_id, now_ms, self.max_ttl_ms)
        self.commands += 4
        if written is not None:
            pipe.multi()  # type: ignore[no-untyped-call]  # the library does not annotate it
            pipe.set(key, written.to_json())
            self.commands += 3
            await pipe.execute()
        return reply

    def _parse(self, name: str, text: bytes | str | None) -> LeaseRecord | None:
        try:
            return parse_record(text)
        except CorruptRecordError as error:
            self._report_corrupt(name, error)
            raise  # prevents overwriting a record that can't be parsed

    def _report_corrupt(self, name: str, error: CorruptRecordError) -> None:
        """Log a corrupt record, once for each lease."""
        if name not in self._reported_corrupt:
            self._reported_corrupt.add(name)
            log.error("lease_record_corrupt", lease=name, error=error.reason)


def _raise_if_reply_lost(error: WatchError) -> None:
    """Raise StoreUnavailableError if the transaction may have taken effect.

    Prevents a lost reply from being taken for a change by others: the library raises WatchError for
    both, but only after such a change it is certain that nothing took effect.
    """
    cause = error.__cause__ or error.__context__
    if isinstance(cause, RedisError | OSError):
        raise StoreUnavailableError(f"{type(cause).__name__}: {cause}") from error


def run_id_of(info: Any) -> str:
    """Return the run id in a reply to INFO; ValueError if there is none."""
    run_id = info.get("run_id") if isinstance(info, dict) else None
    if not isinstance(run_id, str) or not 0 < len(run_id) <= MAX_NAME_LENGTH:
        raise ValueError("the store's reply to INFO has no valid run id")
    return run_id


def milliseconds_of(time: Any) -> int:
    """Return the milliseconds in a reply to TIME."""
    seconds, microseconds = time
    return int(seconds) * 1000 + int(microseconds) // 1000
